#include "room/room.hpp"

#include <algorithm>

namespace bulrush::room {

namespace {

/// Other hosts and domains may send there on the same loads.
constexpr double kShareOfFreeRoom = 0.5;

using real_seconds = std::chrono::duration<double>;

/// Numbers of requests that may leave, and that should.
struct outflow_numbers
{
  double most = 0;
  double wanted = 0;
};

double
MostInto(const domain_room& aOther, const model_room& aRoom)
{
  const bool isShort = aOther.wait > aRoom.target;
  return isShort
           ? 0.0
           : std::max(0.0, aOther.slots - aOther.requests) * kShareOfFreeRoom;
}

// Each request that moves shortens the local wait by the time of a run divided
// by the local slots, and prolongs the other wait likewise.
double
EqualizingNumber(const domain_room& aOther,
                 const model_room& aRoom,
                 std::chrono::milliseconds aCost)
{
  const real_seconds gain = aRoom.local.wait - aOther.wait - aCost;
  const real_seconds run = aRoom.meanRun;
  if (gain.count() <= 0 || run.count() <= 0) {
    return 0;
  }
  return gain / (run / aRoom.local.slots + run / aOther.slots);
}

outflow_numbers
CountOutflow(const model_room& aRoom, std::chrono::milliseconds aCost)
{
  outflow_numbers sum;
  for (const domain_room& other : aRoom.others) {
    const double most = other.slots > 0 ? MostInto(other, aRoom) : 0.0;
    if (most > 0) {
      sum.most += most;
      sum.wanted += std::min(most, EqualizingNumber(other, aRoom, aCost));
    }
  }
  return sum;
}

double
Fallen(const outflow_row& aRow, double aPerSecond, steady_time aNow)
{
  const real_seconds since = aNow - aRow.changedAt;
  return std::max(0.0, aRow.share - aPerSecond * since.count());
}

// Without a usable local endpoint there is nothing to weigh.
void
Decide(outflow_row& aRow,
       const model_room& aRoom,
       const outflow_options& aOptions,
       steady_time aNow)
{
  if (aRoom.local.slots <= 0) {
    aRow.share = 1;
    aRow.reason = outflow_reason::eNoLocal;
    return;
  }
  const outflow_numbers numbers = CountOutflow(aRoom, aOptions.cost);
  const double requests = std::max(1.0, aRoom.local.requests);
  const double most = std::min(1.0, numbers.most / requests);
  const bool hasRoom = aRoom.local.wait <= aRoom.target;
  const double wanted = hasRoom ? 0.0 : numbers.wanted / requests;
  const double fallen = Fallen(aRow, aOptions.fallPerSecond, aNow);
  aRow.share = std::min(most, std::max(wanted, fallen));
  if (wanted > 0) {
    aRow.reason = outflow_reason::eShort;
  } else if (aRow.share > 0) {
    aRow.reason = outflow_reason::eFalling;
  } else {
    aRow.reason = hasRoom ? outflow_reason::eRoom : outflow_reason::eNoOther;
  }
}

} // namespace

const char*
Name(outflow_reason aReason)
{
  switch (aReason) {
    case outflow_reason::eRoom:
      return "room";
    case outflow_reason::eShort:
      return "short";
    case outflow_reason::eNoOther:
      return "no_other";
    case outflow_reason::eNoLocal:
      return "no_local";
    default:
      return "falling";
  }
}

outflow_row
DecideOutflow(table<model_id, outflow_row>& aShares,
              const model_room& aRoom,
              const outflow_options& aOptions,
              steady_time aNow)
{
  const outflow_row* known = aShares.Find(aRoom.id);
  outflow_row row = known != nullptr ? *known : outflow_row{ .id = aRoom.id };
  Decide(row, aRoom, aOptions, aNow);
  row.changedAt = aNow;
  aShares.Insert(row);
  return row;
}

} // namespace bulrush::room
