#include "admission/admission.hpp"

#include <algorithm>

namespace bulrush::admission {

namespace {

/// A holder counts a lease as shorter by 1/kDriftDivisor than its parent does,
/// which tolerates as much clock drift.
constexpr std::int64_t kDriftDivisor = 20;

} // namespace

std::chrono::nanoseconds
LessDrift(std::chrono::nanoseconds aLease)
{
  return aLease - aLease / kDriftDivisor;
}

std::chrono::nanoseconds
PlusDrift(std::chrono::nanoseconds aTime)
{
  return aTime + aTime / (kDriftDivisor - 1);
}

// The time is read at the point of use, not at the start of the tick, so that a
// process that resumes after a suspension finds its lease expired.
bool
MayServe(const link_row& aLink, steady_time aNow)
{
  return aNow < aLink.servesUntil;
}

// A new parent with a share of its own does not record the previous parent's
// grants. These keep the previous epoch, and the previous parent keeps them
// recorded until their leases end.
void
FollowParent(escrow_tables& aTables,
             std::uint64_t aEpoch,
             parent_succession aSuccession)
{
  link_row& link = aTables.link;
  if (aEpoch <= link.epoch) {
    return;
  }
  for (holding_row& holding : aTables.holdings) {
    if (aSuccession == parent_succession::eContinues &&
        holding.epoch == link.epoch) {
      holding.epoch = aEpoch;
    }
  }
  link.epoch = aEpoch;
  link.isAwaiting = false;
  link.hasShortfall = true;
}

// Only processes that may still serve count. A new parent does not know those
// with a lease from the previous parent until these leases have ended.
std::uint64_t
CoveredRevision(const escrow_tables& aTables, steady_time aNow)
{
  if (aNow < aTables.settings.coverageKnownFrom) {
    return 0;
  }
  std::uint64_t covered = aTables.revision;
  for (const holder_row& holder : aTables.holders) {
    if (aNow < holder.servesUntil) {
      covered = std::min(covered, holder.revision);
    }
  }
  return covered;
}

std::vector<pending_holder>
HoldersBehind(const escrow_tables& aTables,
              std::uint64_t aRevision,
              steady_time aNow)
{
  std::vector<pending_holder> behind;
  for (const holder_row& holder : aTables.holders) {
    if (aNow < holder.servesUntil && holder.revision < aRevision) {
      behind.push_back({ holder.holder, holder.revision, holder.servesUntil });
    }
  }
  return behind;
}

} // namespace bulrush::admission
