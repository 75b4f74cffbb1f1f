/// Loads of endpoints that hosts observed.

#include "control/tables.hpp"
#include "observe/observe.hpp"

namespace bulrush::control {
namespace {

constexpr log_component kLog{ "control" };
constexpr std::chrono::seconds kLogInterval{ 5 };
constexpr std::size_t kMostInUpdate = 64;
constexpr std::size_t kMostInGossip = 128;
/// A gossip is a message to each control process, and a load is of use for
/// about a second.
constexpr std::chrono::milliseconds kLoadGossipInterval{ 250 };

} // namespace

// Loads of endpoints that are not listed here are kept as well: the endpoint's
// own report may still be on its way.
void
MergeLoads(control_tables& aTables,
           const std::vector<room::load_row>& aLoads,
           host_id aSource,
           steady_time aNow)
{
  load_sharing& sharing = aTables.loads;
  sharing.received += aLoads.size();
  for (room::load_row load : aLoads) {
    load.source = aSource;
    if (room::MergeLoad(sharing.known, load, aNow)) {
      ++sharing.merged;
      sharing.hasNew = sharing.hasNew || aSource;
    }
  }
}

// The age of a load that returned to the host would lack its time under way, so
// that the host would take it for a newer one than its own.
std::vector<room::load_row>
LoadsFor(control_tables& aTables, host_row& aHost)
{
  load_sharing& sharing = aTables.loads;
  if (aHost.sentLoads == sharing.known.serial) {
    return {};
  }
  auto loads = room::LoadsSince(
    sharing.known,
    aHost.sentLoads,
    kMostInUpdate,
    [&](const room::load_row& aRow) { return aRow.source != aHost.id; });
  aHost.sentLoads = sharing.known.serial;
  sharing.sent += loads.size();
  return loads;
}

steady_time
NextLoadGossip(const control_tables& aTables)
{
  return aTables.loads.hasNew ? aTables.loads.nextGossip : steady_time::max();
}

// Those that came by gossip were sent to all by the process that has them from
// a host.
std::vector<room::load_row>
TakeLoadsForGossip(control_tables& aTables, steady_time aNow)
{
  load_sharing& sharing = aTables.loads;
  if (!sharing.hasNew) {
    return {};
  }
  auto loads = room::LoadsSince(
    sharing.known,
    sharing.gossiped,
    kMostInGossip,
    [](const room::load_row& aRow) { return static_cast<bool>(aRow.source); });
  sharing.gossiped = sharing.known.serial;
  sharing.hasNew = false;
  sharing.nextGossip = aNow + kLoadGossipInterval;
  sharing.sent += loads.size() * aTables.controls.Size();
  return loads;
}

void
RunLoads(control_tables& aTables, steady_time aNow, control_outbox&)
{
  load_sharing& sharing = aTables.loads;
  room::ExpireLoads(sharing.known, aNow);
  if (sharing.known.loads.Empty() || aNow < sharing.nextLog) {
    return;
  }
  sharing.nextLog = aNow + kLogInterval;
  LogEvent(kLog,
           log_level::eInfo,
           "endpoint_loads",
           { { "known", std::to_string(sharing.known.loads.Size()) },
             { "mean_age_ms",
               std::to_string(room::MeanAge(sharing.known, aNow).count()) },
             { "received", std::to_string(sharing.received) },
             { "merged", std::to_string(sharing.merged) },
             { "sent", std::to_string(sharing.sent) } });
}

} // namespace bulrush::control
