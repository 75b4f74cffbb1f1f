#include "admission/admission.hpp"

#include <algorithm>

namespace bulrush::admission {

namespace {

constexpr std::int64_t kNanosPerSecond = 1'000'000'000;

/// Headroom marks kept for one bucket.
constexpr std::size_t kMaxMarks = 128;

// Whole seconds and the remainder are multiplied separately, so that the
// products fit into 64 bits for rates up to nine million tokens/s.
std::int64_t
Inflow(std::int64_t aRate, std::chrono::nanoseconds aAge, std::int64_t aMax)
{
  const std::int64_t seconds = aAge.count() / kNanosPerSecond;
  const std::int64_t nanos = aAge.count() % kNanosPerSecond;
  if (seconds > aMax / aRate) {
    return aMax;
  }
  const std::int64_t inflow = seconds * aRate + nanos * aRate / kNanosPerSecond;
  return std::min(inflow, aMax);
}

// Rounded up, so that no time is credited twice.
std::chrono::nanoseconds
TimeFor(std::int64_t aUnits, std::int64_t aRate)
{
  const std::int64_t rest = aUnits % aRate;
  const std::int64_t nanos = (rest * kNanosPerSecond + aRate - 1) / aRate;
  return std::chrono::seconds{ aUnits / aRate } +
         std::chrono::nanoseconds{ nanos };
}

// Merges the two oldest marks into one with the later change and the smaller
// headroom, so the error is on the side of a smaller refund.
void
MergeOldest(std::vector<headroom_mark>& aMarks)
{
  aMarks[1].headroom = aMarks[0].headroom;
  aMarks.erase(aMarks.begin());
}

// A later mark with no more headroom replaces the earlier ones.
void
RecordHeadroom(token_bucket& aBucket)
{
  const std::int64_t headroom = aBucket.share.size - aBucket.level;
  ++aBucket.changeCount;
  while (!aBucket.headroomMarks.empty() &&
         aBucket.headroomMarks.back().headroom >= headroom) {
    aBucket.headroomMarks.pop_back();
  }
  aBucket.headroomMarks.push_back({ aBucket.changeCount, headroom });
  if (aBucket.headroomMarks.size() > kMaxMarks) {
    MergeOldest(aBucket.headroomMarks);
  }
}

// Time that yields no whole unit is credited by a later call, so that frequent
// calls lose no inflow.
void
AddInflow(token_bucket& aBucket, steady_time aNow)
{
  const std::int64_t rate = aBucket.share.rate;
  const std::int64_t headroom = aBucket.share.size - aBucket.level;
  if (rate == 0 || headroom <= 0) {
    aBucket.filledAt = aNow;
    return;
  }
  const std::int64_t added = Inflow(rate, aNow - aBucket.filledAt, headroom);
  aBucket.level += added;
  aBucket.filledAt =
    added == headroom ? aNow : aBucket.filledAt + TimeFor(added, rate);
}

} // namespace

void
Refill(token_bucket& aBucket, steady_time aNow)
{
  if (aNow > aBucket.filledAt) {
    AddInflow(aBucket, aNow);
    RecordHeadroom(aBucket);
  }
}

std::int64_t
Resize(token_bucket& aBucket, const share& aShare, steady_time aNow)
{
  Refill(aBucket, aNow);
  if (aShare == aBucket.share) {
    return 0;
  }
  aBucket.filledAt = std::max(aBucket.filledAt, aNow);
  aBucket.share = aShare;
  const std::int64_t overflow =
    std::max<std::int64_t>(0, aBucket.level - aShare.size);
  aBucket.level -= overflow;
  RecordHeadroom(aBucket);
  return overflow;
}

// The change count after the call belongs to the reservation: headroom before
// it does not limit the refund.
bool
TryConsume(token_bucket& aBucket, std::int64_t aUnits, steady_time aNow)
{
  Refill(aBucket, aNow);
  if (aBucket.level < aUnits) {
    return false;
  }
  aBucket.level -= aUnits;
  RecordHeadroom(aBucket);
  return true;
}

void
AddUnits(token_bucket& aBucket, std::int64_t aUnits, steady_time aNow)
{
  Refill(aBucket, aNow);
  aBucket.level = std::min(aBucket.level + aUnits, aBucket.share.size);
  RecordHeadroom(aBucket);
}

// Without this limit a bucket that was full in the meantime would yield the
// same tokens twice: once as inflow and once as the refund.
std::int64_t
Refund(token_bucket& aBucket,
       std::int64_t aUnits,
       std::uint64_t aChangeCount,
       steady_time aNow)
{
  Refill(aBucket, aNow);
  auto since = std::ranges::lower_bound(
    aBucket.headroomMarks, aChangeCount, {}, &headroom_mark::changeCount);
  if (since == aBucket.headroomMarks.end()) {
    return 0;
  }
  const std::int64_t back =
    std::clamp<std::int64_t>(aUnits, 0, since->headroom);
  aBucket.level += back;
  for (auto mark = since; mark != aBucket.headroomMarks.end(); ++mark) {
    mark->headroom -= back;
  }
  const auto superseded =
    std::ranges::lower_bound(aBucket.headroomMarks.begin(),
                             since,
                             since->headroom,
                             {},
                             &headroom_mark::headroom);
  aBucket.headroomMarks.erase(superseded, since);
  return back;
}

std::optional<std::chrono::nanoseconds>
TimeUntil(const token_bucket& aBucket, std::int64_t aUnits, steady_time aNow)
{
  token_bucket later = aBucket;
  Refill(later, aNow);
  if (later.level >= aUnits) {
    return std::chrono::nanoseconds{ 0 };
  }
  if (later.share.rate == 0 || later.share.size < aUnits) {
    return std::nullopt;
  }
  return TimeFor(aUnits - later.level, later.share.rate);
}

} // namespace bulrush::admission
