# One small binary per program.
function(bulrush_program aName)
  add_executable(${aName} ${ARGN})
  target_link_libraries(${aName} PRIVATE bulrush_wire bulrush_net
    bulrush_observe bulrush_settings bulrush_fleet)
endfunction()

bulrush_program(bulrush-control src/apps/control_main.cpp
  src/apps/control_systems.cpp)
bulrush_program(bulrush-entry src/apps/entry_main.cpp
  src/apps/entry_control.cpp src/apps/entry_traffic.cpp
  src/apps/entry_http.cpp)
