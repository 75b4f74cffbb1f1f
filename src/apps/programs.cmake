# Adds a program that is linked with the libraries that all programs use.
function(bulrush_program aName)
  add_executable(${aName} ${ARGN})
  target_link_libraries(${aName} PRIVATE bulrush_program bulrush_wire
    bulrush_net bulrush_observe bulrush_settings bulrush_json bulrush_fleet)
endfunction()

bulrush_program(bulrush-control src/apps/control_main.cpp)
target_link_libraries(bulrush-control PRIVATE bulrush_control bulrush_platform)
bulrush_program(bulrush-entry src/apps/entry_main.cpp)
target_link_libraries(bulrush-entry PRIVATE bulrush_entry bulrush_platform)
bulrush_program(fake-endpoint src/apps/fake_main.cpp
  src/apps/fake_requests.cpp src/apps/fake_systems.cpp)
bulrush_program(bulrushctl src/apps/ctl_main.cpp src/apps/ctl_call.cpp
  src/apps/ctl_commands.cpp src/apps/ctl_keys.cpp src/apps/ctl_manifest.cpp
  src/apps/ctl_outcome.cpp src/apps/ctl_status.cpp src/apps/ctl_trace.cpp
  src/apps/ctl_trace_logs.cpp)
bulrush_program(bulrush-load src/apps/load_main.cpp src/apps/load_process.cpp)
target_link_libraries(bulrush-load PRIVATE bulrush_load)

# --- bulrush-bench ---------------------------------------------------------
find_package(CLI11 REQUIRED)
add_executable(bulrush-bench src/apps/bench_main.cpp)
target_link_libraries(bulrush-bench PRIVATE bulrush_routing bulrush_placement CLI11::CLI11
  fmt::fmt)
# The signature changes whenever a decision does. A commit that changes it on
# purpose updates it here and states the new one in its message.
add_test(NAME bench_signature COMMAND bulrush-bench)
set_tests_properties(bench_signature PROPERTIES PASS_REGULAR_EXPRESSION
  "signature: 14460ec9a21f8133")
bulrush_program(bulrush-swarm src/apps/swarm_main.cpp
  src/apps/swarm_systems.cpp)

add_executable(bulrush-bench-admission src/apps/bench_admission.cpp)
target_link_libraries(bulrush-bench-admission PRIVATE bulrush_admission fmt::fmt)
add_test(NAME bench_admission_signature COMMAND bulrush-bench-admission)
set_tests_properties(bench_admission_signature PROPERTIES PASS_REGULAR_EXPRESSION
  "signature: 99ce824d25f4940d")
