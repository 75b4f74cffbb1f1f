/// Usage counts of this host, and their reports to the leader.

#include "entry/control_systems.hpp"
#include "observe/observe.hpp"

namespace bulrush::entry {
namespace {

constexpr log_component kLog{ "entry" };
/// Each change of the totals publishes a view to the traffic threads.
constexpr std::chrono::milliseconds kTotalsInterval{ 500 };

wire::usage_report
ReportOf(const entry_tables& aTables,
         const std::vector<duties::reported_slice>& aSlices)
{
  wire::usage_report report;
  report.incarnation = aTables.usage->incarnation;
  report.sentAt = aTables.wallClock();
  for (const duties::reported_slice& from : aSlices) {
    wire::usage_slice slice{ from.id.value, from.age, {} };
    for (const duties::started_count& count : from.counts) {
      slice.counts.push_back({ count.id, count.requests });
    }
    report.slices.push_back(std::move(slice));
  }
  return report;
}

void
LogLost(const entry_tables& aTables, const duties::lost_slices& aLost)
{
  if (aLost.slices == 0) {
    return;
  }
  LogEvent(kLog,
           log_level::eWarning,
           "usage_lost",
           { { "requests", std::to_string(aLost.requests) },
             { "slices", std::to_string(aLost.slices) },
             { "first", std::to_string(aLost.first.value) },
             { "last", std::to_string(aLost.last.value) },
             { "leader", aTables.leader },
             { "term", std::to_string(aTables.leaderTerm) } });
}

void
UpdateTotals(entry_tables& aTables, steady_time aNow)
{
  if (aNow < aTables.nextUsageTotals) {
    return;
  }
  const duties::counter_tables& usage = *aTables.usage;
  aTables.nextUsageTotals = aNow + kTotalsInterval;
  aTables.usageTotals = { usage.counted,
                          duties::UnacknowledgedRequests(usage),
                          usage.lost };
}

} // namespace

// Only the leader sums usage up, so reports go to it alone.
void
RunUsage(entry_tables& aTables, steady_time aNow, entry_outbox& aOutbox)
{
  if (!aTables.usage) {
    return;
  }
  for (const request_start& start : std::exchange(aTables.starts, {})) {
    duties::RecordStart(*aTables.usage, start.workspace, start.at);
  }
  if (std::exchange(aTables.closesUsage, false)) {
    duties::CloseCurrentSlice(*aTables.usage, aNow);
  }
  LogLost(aTables, duties::ExpireSlices(*aTables.usage, aNow));
  const control_row* leader =
    aTables.controls.Find(IdOf<replica_id>(aTables.leader));
  duties::SetLeader(
    *aTables.usage,
    { leader == nullptr ? replica_id{} : leader->id, aTables.leaderTerm });
  const auto slices =
    duties::RunUsageReports(*aTables.usage, aNow, aOutbox.wake);
  if (slices && leader != nullptr) {
    aOutbox.messages.push_back({ leader->address, ReportOf(aTables, *slices) });
  }
  UpdateTotals(aTables, aNow);
}

// An acknowledgement of a former leader states what that process holds.
void
HandleUsageAck(entry_tables& aTables,
               const std::string& aSender,
               const wire::usage_ack& aAck)
{
  if (aTables.usage && aSender == aTables.leader) {
    duties::HandleAck(
      *aTables.usage, aAck.incarnation, duties::slice_id{ aAck.through });
  }
}

} // namespace bulrush::entry
