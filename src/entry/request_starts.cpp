#include "entry/request_starts.hpp"

#include "duties/duties.hpp"

namespace bulrush::entry {
namespace {

/// One post to the control thread for each start would cost a tick there.
constexpr std::chrono::milliseconds kBatchInterval{ 100 };
static_assert(kBatchInterval < duties::kCloseDelay);

} // namespace

start_reporter::start_reporter(start_hook aOnStarts)
  : mOnStarts(std::move(aOnStarts))
{
}

void
start_reporter::Record(workspace_id aWorkspace, steady_time aNow)
{
  if (mOnStarts) {
    mStarts.push_back({ aWorkspace, aNow });
  }
}

void
start_reporter::Report(steady_time aNow, wake_time& aWake)
{
  if (mStarts.empty()) {
    return;
  }
  const steady_time dueAt = mStarts.front().at + kBatchInterval;
  if (aNow < dueAt) {
    aWake.NoLaterThan(dueAt);
  } else {
    Flush();
  }
}

void
start_reporter::Flush()
{
  if (!mStarts.empty()) {
    mOnStarts(std::exchange(mStarts, {}));
  }
}

} // namespace bulrush::entry
