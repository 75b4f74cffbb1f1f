#include "admission/admission.hpp"

#include <algorithm>

namespace bulrush::admission {

namespace {

constexpr std::int64_t kNanosPerSecond = 1'000'000'000;

/// Marks kept of the history of one bucket.
constexpr std::size_t kMostMarks = 128;

// Whole seconds and the rest apart: the products fit into 64 bits for rates up
// to nine million tokens a second.
std::int64_t
Inflow(std::int64_t aRate, std::chrono::nanoseconds aAge, std::int64_t aMost)
{
  const std::int64_t seconds = aAge.count() / kNanosPerSecond;
  const std::int64_t nanos = aAge.count() % kNanosPerSecond;
  if (seconds > aMost / aRate) {
    return aMost;
  }
  const std::int64_t inflow = seconds * aRate + nanos * aRate / kNanosPerSecond;
  return std::min(inflow, aMost);
}

// Rounded up, so that a bucket is never credited with time twice.
std::chrono::nanoseconds
TimeFor(std::int64_t aUnits, std::int64_t aRate)
{
  const std::int64_t rest = aUnits % aRate;
  const std::int64_t nanos = (rest * kNanosPerSecond + aRate - 1) / aRate;
  return std::chrono::seconds{ aUnits / aRate } +
         std::chrono::nanoseconds{ nanos };
}

// Two neighbours become one with the later point and the smaller room, which
// errs on the side of putting less back.
void
MergeOldest(std::vector<room_mark>& aRooms)
{
  aRooms[1].room = aRooms[0].room;
  aRooms.erase(aRooms.begin());
}

// A mark is superseded by a later one with as little room.
void
NoteRoom(token_bucket& aBucket)
{
  const std::int64_t room = aBucket.share.size - aBucket.level;
  ++aBucket.point;
  while (!aBucket.rooms.empty() && aBucket.rooms.back().room >= room) {
    aBucket.rooms.pop_back();
  }
  aBucket.rooms.push_back({ aBucket.point, room });
  if (aBucket.rooms.size() > kMostMarks) {
    MergeOldest(aBucket.rooms);
  }
}

// Time that gave no whole unit stays uncredited: frequent calls lose nothing.
void
AddInflow(token_bucket& aBucket, steady_time aNow)
{
  const std::int64_t rate = aBucket.share.rate;
  const std::int64_t room = aBucket.share.size - aBucket.level;
  if (rate == 0 || room <= 0) {
    aBucket.filledAt = aNow;
    return;
  }
  const std::int64_t added = Inflow(rate, aNow - aBucket.filledAt, room);
  aBucket.level += added;
  aBucket.filledAt =
    added == room ? aNow : aBucket.filledAt + TimeFor(added, rate);
}

} // namespace

void
Refill(token_bucket& aBucket, steady_time aNow)
{
  if (aNow > aBucket.filledAt) {
    AddInflow(aBucket, aNow);
    NoteRoom(aBucket);
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
  NoteRoom(aBucket);
  return overflow;
}

// The point after the take is the reservation's: the room before it does not
// count against what may be put back.
bool
Take(token_bucket& aBucket, std::int64_t aUnits, steady_time aNow)
{
  Refill(aBucket, aNow);
  if (aBucket.level < aUnits) {
    return false;
  }
  aBucket.level -= aUnits;
  NoteRoom(aBucket);
  return true;
}

void
Put(token_bucket& aBucket, std::int64_t aUnits, steady_time aNow)
{
  Refill(aBucket, aNow);
  aBucket.level = std::min(aBucket.level + aUnits, aBucket.share.size);
  NoteRoom(aBucket);
}

// Without this limit a bucket that had filled up in the meantime would give the
// same tokens twice: once as inflow and once as what was put back.
std::int64_t
PutBack(token_bucket& aBucket,
        std::int64_t aUnits,
        std::uint64_t aPoint,
        steady_time aNow)
{
  Refill(aBucket, aNow);
  auto since =
    std::ranges::lower_bound(aBucket.rooms, aPoint, {}, &room_mark::point);
  if (since == aBucket.rooms.end()) {
    return 0;
  }
  const std::int64_t back = std::clamp<std::int64_t>(aUnits, 0, since->room);
  aBucket.level += back;
  for (auto mark = since; mark != aBucket.rooms.end(); ++mark) {
    mark->room -= back;
  }
  const auto superseded = std::ranges::lower_bound(
    aBucket.rooms.begin(), since, since->room, {}, &room_mark::room);
  aBucket.rooms.erase(superseded, since);
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
