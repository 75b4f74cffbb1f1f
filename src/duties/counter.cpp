#include "duties/counter.hpp"

#include <algorithm>

namespace bulrush::duties {
namespace {

using std::chrono::milliseconds;

slice_id
SliceAt(const counter_tables& aTables, steady_time aTime)
{
  const auto passed =
    std::max(aTime - aTables.startedAt, steady_time::duration::zero());
  return slice_id{ static_cast<std::uint64_t>(passed / kSliceLength) + 1 };
}

steady_time
EndOf(const counter_tables& aTables, slice_id aSlice)
{
  return aTables.startedAt +
         kSliceLength * static_cast<std::int64_t>(aSlice.value);
}

std::uint64_t
RequestsOf(const counter_slice& aSlice)
{
  std::uint64_t requests = 0;
  for (const started_count& count : aSlice.counts) {
    requests += count.requests;
  }
  return requests;
}

// Zero if all are acknowledged.
slice_id
OldestUnacknowledged(const counter_tables& aTables)
{
  slice_id oldest;
  for (const counter_slice& slice : aTables.slices) {
    if (slice.id > aTables.acknowledged && (!oldest || slice.id < oldest)) {
      oldest = slice.id;
    }
  }
  return oldest;
}

steady_time
ReportDueAt(const counter_tables& aTables)
{
  if (!aTables.lastReport) {
    return {};
  }
  const steady_time heartbeat = *aTables.lastReport + kUsageHeartbeat;
  const slice_id oldest = OldestUnacknowledged(aTables);
  if (!oldest) {
    return heartbeat;
  }
  return std::min(heartbeat,
                  std::max(*aTables.lastReport + kUsageReportInterval,
                           EndOf(aTables, oldest) + kCloseDelay));
}

void
CloseSlices(counter_tables& aTables, steady_time aNow)
{
  const slice_id open = SliceAt(aTables, aNow - kCloseDelay);
  aTables.closed = std::max(aTables.closed, slice_id{ open.value - 1 });
}

std::vector<const counter_slice*>
UnacknowledgedSlices(const counter_tables& aTables)
{
  std::vector<const counter_slice*> rows;
  for (const counter_slice& slice : aTables.slices) {
    if (slice.id > aTables.acknowledged && slice.id <= aTables.closed) {
      rows.push_back(&slice);
    }
  }
  std::ranges::sort(
    rows, {}, [](const counter_slice* aSlice) { return aSlice->id; });
  rows.resize(std::min(rows.size(), kMaxReportedSlices));
  return rows;
}

} // namespace

// A slice that may have been sent does not change, since the leader stores the
// first copy of each.
void
RecordStart(counter_tables& aTables,
            workspace_id aWorkspace,
            steady_time aStartedAt)
{
  const slice_id id = std::max(SliceAt(aTables, aStartedAt),
                               slice_id{ aTables.closed.value + 1 });
  counter_slice* slice = aTables.slices.Find(id);
  if (slice == nullptr) {
    slice = &aTables.slices.Insert({ id, {} });
  }
  started_count* count = slice->counts.Find(aWorkspace);
  if (count == nullptr) {
    count = &slice->counts.Insert({ aWorkspace, 0 });
  }
  ++count->requests;
  ++aTables.counted;
}

void
SetLeader(counter_tables& aTables, const counter_leader& aLeader)
{
  if (aTables.leader == aLeader) {
    return;
  }
  aTables.leader = aLeader;
  aTables.sent = {};
  aTables.acknowledged = {};
  aTables.lastReport.reset();
}

// An acknowledgement of a slice that this leader was not sent belongs to an
// earlier term, whose slices it may have dropped.
bool
HandleAck(counter_tables& aTables,
          std::uint64_t aIncarnation,
          slice_id aThrough)
{
  if (aIncarnation != aTables.incarnation || aThrough > aTables.sent ||
      aThrough <= aTables.acknowledged) {
    return false;
  }
  aTables.acknowledged = aThrough;
  aTables.stored = std::max(aTables.stored, aThrough);
  return true;
}

std::optional<std::vector<reported_slice>>
RunUsageReports(counter_tables& aTables, steady_time aNow, wake_time& aWake)
{
  if (!aTables.leader.id) {
    return std::nullopt;
  }
  const steady_time dueAt = ReportDueAt(aTables);
  if (aNow < dueAt) {
    aWake.NoLaterThan(dueAt);
    return std::nullopt;
  }
  CloseSlices(aTables, aNow);
  std::vector<reported_slice> report;
  for (const counter_slice* slice : UnacknowledgedSlices(aTables)) {
    // A slice that was closed before its end has no age yet.
    const auto age = std::max(milliseconds{ 0 },
                              std::chrono::duration_cast<milliseconds>(
                                aNow - EndOf(aTables, slice->id)));
    report.push_back(
      { slice->id, age, { slice->counts.begin(), slice->counts.end() } });
    aTables.sent = std::max(aTables.sent, slice->id);
  }
  aTables.lastReport = aNow;
  aWake.NoLaterThan(ReportDueAt(aTables));
  return report;
}

void
CloseCurrentSlice(counter_tables& aTables, steady_time aNow)
{
  aTables.closed = std::max(aTables.closed, SliceAt(aTables, aNow));
  aTables.lastReport.reset();
}

lost_slices
ExpireSlices(counter_tables& aTables, steady_time aNow)
{
  lost_slices lost;
  aTables.slices.EraseIf([&](const counter_slice& aSlice) {
    if (EndOf(aTables, aSlice.id) + kSliceLifetime > aNow) {
      return false;
    }
    if (aSlice.id > aTables.stored) {
      ++lost.slices;
      lost.requests += RequestsOf(aSlice);
      lost.first = lost.first ? std::min(lost.first, aSlice.id) : aSlice.id;
      lost.last = std::max(lost.last, aSlice.id);
    }
    aTables.closed = std::max(aTables.closed, aSlice.id);
    return true;
  });
  aTables.lost += lost.requests;
  return lost;
}

std::uint64_t
UnacknowledgedRequests(const counter_tables& aTables)
{
  std::uint64_t requests = 0;
  for (const counter_slice& slice : aTables.slices) {
    requests += slice.id > aTables.acknowledged ? RequestsOf(slice) : 0;
  }
  return requests;
}

} // namespace bulrush::duties
