#include "room/room.hpp"

#include <algorithm>

namespace bulrush::room {

// Reports arrive late, twice and out of order. Incarnations rise with each
// start of an endpoint, so a load of an earlier one is outdated. A time in the
// future comes from an error in conversion and would block later loads.
bool
MergeLoad(tables& aTables, const load_row& aLoad, steady_time aNow)
{
  load_row next = aLoad;
  next.observedAt = std::min(next.observedAt, aNow);
  if (next.observedAt + aTables.lifetime <= aNow) {
    return false;
  }
  const load_row* known = aTables.loads.Find(next.id);
  const bool isOutdated =
    known != nullptr && (known->incarnation > next.incarnation ||
                         (known->incarnation == next.incarnation &&
                          known->observedAt >= next.observedAt));
  if (isOutdated) {
    return false;
  }
  next.serial = ++aTables.serial;
  aTables.loads.Insert(next);
  return true;
}

std::vector<load_row>
LoadsSince(const tables& aTables,
           std::uint64_t aSerial,
           std::size_t aMost,
           const load_filter& aFilter)
{
  std::vector<load_row> changed;
  for (const load_row& row : aTables.loads) {
    if (row.serial > aSerial && (!aFilter || aFilter(row))) {
      changed.push_back(row);
    }
  }
  std::ranges::sort(changed, [](const load_row& aLeft, const load_row& aRight) {
    return aLeft.observedAt > aRight.observedAt;
  });
  if (changed.size() > aMost) {
    changed.resize(aMost);
  }
  return changed;
}

std::chrono::milliseconds
MeanAge(const tables& aTables, steady_time aNow)
{
  std::chrono::nanoseconds sum{ 0 };
  for (const load_row& row : aTables.loads) {
    sum += aNow - row.observedAt;
  }
  const auto count = static_cast<std::int64_t>(aTables.loads.Size());
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    sum / std::max<std::int64_t>(1, count));
}

void
ExpireLoads(tables& aTables, steady_time aNow)
{
  aTables.loads.EraseIf([&](const load_row& aRow) {
    return aRow.observedAt + aTables.lifetime <= aNow;
  });
}

} // namespace bulrush::room
