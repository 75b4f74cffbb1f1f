#include "entry/load_reports.hpp"

namespace bulrush::entry {
namespace {

/// Bounds the messages between the threads; short compared with the interval
/// of reports to control processes.
constexpr std::chrono::milliseconds kBatchInterval{ 100 };

} // namespace

load_reporter::load_reporter(load_hook aOnLoads)
  : mOnLoads(std::move(aOnLoads))
{
}

// Loads are shared for endpoints that tell their slowdown, and for requests
// that are scheduled by their targets; other deployments pay nothing for them.
bool
load_reporter::Record(const room::load_row& aLoad, bool aIsScheduledByTarget)
{
  if (!aLoad.slowdown && !aIsScheduledByTarget) {
    return false;
  }
  const room::load_row* known = mLoads.Find(aLoad.id);
  const bool isOlder =
    known != nullptr && known->incarnation > aLoad.incarnation;
  if (!isOlder) {
    mLoads.Insert(aLoad);
  }
  return true;
}

void
load_reporter::Report(steady_time aNow, wake_time& aWake)
{
  if (mLoads.Empty()) {
    return;
  }
  if (aNow < mNextReport) {
    aWake.NoLaterThan(mNextReport);
    return;
  }
  mNextReport = aNow + kBatchInterval;
  std::vector<room::load_row> batch(mLoads.begin(), mLoads.end());
  mLoads.Clear();
  mOnLoads(std::move(batch));
}

} // namespace bulrush::entry
