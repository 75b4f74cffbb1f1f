#ifndef BULRUSH_DUTIES_COUNTER_HPP
#define BULRUSH_DUTIES_COUNTER_HPP

/// The usage counter of a host: requests of each workspace that began to run,
/// in slices of the host's steady time, until the leader has stored them.

#include "core/core.hpp"

namespace bulrush::duties {

inline constexpr std::chrono::milliseconds kSliceLength{ 250 };
/// A slice is kept for this long after its end, also if it was acknowledged: a
/// new leader may not have it.
inline constexpr std::chrono::seconds kSliceLifetime{ 30 };
/// Slices are not sent before, since traffic threads report starts in batches.
inline constexpr std::chrono::milliseconds kCloseDelay{ 150 };
inline constexpr std::chrono::milliseconds kUsageReportInterval{ 500 };
/// The leader takes the clocks of hosts that reported within 10 s.
inline constexpr std::chrono::milliseconds kUsageHeartbeat{ 2'000 };
inline constexpr std::size_t kMaxReportedSlices = 60;

/// Number of a slice; 1 is the first of an incarnation.
using slice_id = typed_id<struct slice_tag>;

/// Requests of a workspace that began to run in a slice.
struct started_count
{
  workspace_id id;
  std::uint64_t requests = 0;
};

/// A slice without requests has no row.
struct counter_slice
{
  slice_id id;
  table<workspace_id, started_count> counts;
};

/// The process that slices are sent to. Without an id, none is known.
struct counter_leader
{
  replica_id id;
  std::uint64_t term = 0;

  bool operator==(const counter_leader&) const = default;
};

struct counter_tables
{
  std::uint64_t incarnation = 0; ///< of this host
  steady_time startedAt;         ///< slice 1 begins
  table<slice_id, counter_slice> slices;
  slice_id closed; ///< up to it, counts do not change any more
  counter_leader leader;
  slice_id sent;         ///< highest one sent to this leader
  slice_id acknowledged; ///< highest one that this leader has stored
  slice_id stored;       ///< highest one that any leader has stored
  std::optional<steady_time> lastReport; ///< to this leader
  std::uint64_t counted = 0;             ///< requests since the start
  std::uint64_t lost = 0;                ///< requests since the start
};

/// A closed slice, with the time since its end.
struct reported_slice
{
  slice_id id;
  std::chrono::milliseconds age{ 0 };
  std::vector<started_count> counts;
};

/// Slices that were dropped before any leader had stored them.
struct lost_slices
{
  std::size_t slices = 0;
  std::uint64_t requests = 0;
  slice_id first;
  slice_id last;
};

/// Counts a request that began to run. If the slice of that time is closed, it
/// is counted in the earliest open one.
void RecordStart(counter_tables& aTables,
                 workspace_id aWorkspace,
                 steady_time aStartedAt);

/// Another leader, or another term of the same one, gets all slices again.
void SetLeader(counter_tables& aTables, const counter_leader& aLeader);

/// The leader has stored all slices up to aThrough. False for an
/// acknowledgement that changes nothing: of another incarnation of this host, a
/// duplicate, or of a slice that this leader was not sent.
bool HandleAck(counter_tables& aTables,
               std::uint64_t aIncarnation,
               slice_id aThrough);

/// Closes slices and returns those that are not acknowledged, oldest first, if
/// a report is due; a heartbeat has none. Every report begins with the oldest
/// one, so all numbers up to its last one that were used are stored once it is.
std::optional<std::vector<reported_slice>>
RunUsageReports(counter_tables& aTables, steady_time aNow, wake_time& aWake);

/// Closes the slice of aNow as well and makes a report due, for a host that
/// stops.
void CloseCurrentSlice(counter_tables& aTables, steady_time aNow);

/// Drops slices at the end of their lifetime.
lost_slices ExpireSlices(counter_tables& aTables, steady_time aNow);

/// Requests in slices that the leader has not acknowledged.
std::uint64_t UnacknowledgedRequests(const counter_tables& aTables);

} // namespace bulrush::duties

#endif
