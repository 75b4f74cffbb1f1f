/// Loads of endpoints that this host and others observed.

#include "entry/control_systems.hpp"
#include "observe/observe.hpp"

namespace bulrush::entry {
namespace {

constexpr log_component kLog{ "entry" };
constexpr std::chrono::seconds kLogInterval{ 5 };
constexpr std::size_t kMostReported = 64;

} // namespace

void
HandleLoads(entry_tables& aTables,
            const std::vector<room::load_row>& aLoads,
            steady_time aNow)
{
  const auto self = IdOf<host_id>(aTables.self.name);
  for (room::load_row load : aLoads) {
    load.source = self;
    if (room::MergeLoad(aTables.loads, load, aNow)) {
      aTables.hasUnreportedLoads = true;
    }
  }
}

void
MergeLoads(entry_tables& aTables,
           const std::vector<room::load_row>& aLoads,
           steady_time aNow,
           entry_outbox& aOutbox)
{
  for (room::load_row load : aLoads) {
    load.source = {};
    if (room::MergeLoad(aTables.loads, load, aNow)) {
      aOutbox.loads.push_back(load);
    }
  }
}

// What came from control is not reported to it again.
std::vector<room::load_row>
TakeUnreportedLoads(entry_tables& aTables)
{
  if (!aTables.hasUnreportedLoads) {
    return {};
  }
  auto loads = room::LoadsSince(
    aTables.loads,
    aTables.reportedLoads,
    kMostReported,
    [](const room::load_row& aRow) { return static_cast<bool>(aRow.source); });
  aTables.reportedLoads = aTables.loads.serial;
  aTables.hasUnreportedLoads = false;
  return loads;
}

void
RunLoads(entry_tables& aTables, steady_time aNow, entry_outbox&)
{
  room::ExpireLoads(aTables.loads, aNow);
  if (aTables.loads.loads.Empty() || aNow < aTables.nextLoadLog) {
    return;
  }
  aTables.nextLoadLog = aNow + kLogInterval;
  LogEvent(kLog,
           log_level::eInfo,
           "endpoint_loads",
           { { "known", std::to_string(aTables.loads.loads.Size()) },
             { "mean_age_ms",
               std::to_string(room::MeanAge(aTables.loads, aNow).count()) } });
}

} // namespace bulrush::entry
