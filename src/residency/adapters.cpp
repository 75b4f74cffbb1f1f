#include "residency/parts.hpp"

#include <algorithm>

namespace bulrush::residency {
namespace {

double
RateOf(const tables& aTables, const artifact& aWhat)
{
  const want_row* want = aTables.wants.Find(WantOf(aWhat));
  return want == nullptr ? 0 : want->rate + want->waiting;
}

bool
HasPlace(const tables& aTables, const engine_row& aEngine, std::uint64_t aBytes)
{
  const std::uint32_t places = aEngine.told.adapterPlaces;
  return (places == 0 || CountAdapters(aEngine) < places) &&
         HeldBytes(aTables, aEngine) + aBytes <= aEngine.told.memoryBytes;
}

bool
IsUnderWay(const tables& aTables, const artifact& aWhat)
{
  const auto engines = aTables.engines.Rows();
  return std::any_of(
    engines.begin(), engines.end(), [&](const engine_row& aEngine) {
      return aEngine.open && aEngine.open->what == aWhat;
    });
}

// The adapter of an engine that is asked for least.
struct victim
{
  artifact what;
  double rate = 0;
};

std::optional<victim>
LeastWanted(const tables& aTables, const engine_row& aEngine)
{
  std::optional<victim> least;
  for (const held_model& held : aEngine.held) {
    for (const adapter_id& adapter : held.adapters) {
      const artifact what{ held.model, adapter };
      const double rate = RateOf(aTables, what);
      if (!least || rate < least->rate) {
        least = victim{ what, rate };
      }
    }
  }
  return least;
}

// An engine with a free place, of those the one with the fewest adapters; else
// the one whose least wanted adapter is missed least.
void
Bring(tables& aTables, const want_row& aWant, steady_time aNow, outbox& aOutbox)
{
  const adapter_row* adapter = aTables.adapters.Find(aWant.what.adapter);
  engine_row* best = nullptr;
  engine_row* crowded = nullptr;
  std::optional<victim> leaves;
  for (engine_row& engine : aTables.engines) {
    if (!IsReady(engine) || FindHeld(engine, aWant.what.model) == nullptr) {
      continue;
    }
    if (HasPlace(aTables, engine, adapter->bytes)) {
      if (best == nullptr || CountAdapters(engine) < CountAdapters(*best)) {
        best = &engine;
      }
      continue;
    }
    const auto least = LeastWanted(aTables, engine);
    if (least && (!leaves || least->rate < leaves->rate)) {
      leaves = least;
      crowded = &engine;
    }
  }
  if (best != nullptr) {
    Order(aTables, *best, order_kind::eLoadAdapter, aWant.what, aNow, aOutbox);
  } else if (crowded != nullptr && leaves->rate < RateOf(aTables, aWant.what)) {
    Order(aTables,
          *crowded,
          order_kind::eUnloadAdapter,
          leaves->what,
          aNow,
          aOutbox);
  }
}

} // namespace

// What callers wait for goes first, then what is asked for most.
void
RunAdapters(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  std::vector<want_id> missing;
  for (const want_row& want : aTables.wants) {
    if (want.what.adapter && want.waiting > 0 &&
        CountCopies(aTables, want.what) == 0 &&
        !IsUnderWay(aTables, want.what)) {
      missing.push_back(want.id);
    }
  }
  std::sort(missing.begin(), missing.end(), [&](want_id aLeft, want_id aRight) {
    const want_row& left = *aTables.wants.Find(aLeft);
    const want_row& right = *aTables.wants.Find(aRight);
    return left.waiting + left.rate > right.waiting + right.rate;
  });
  for (const want_id id : missing) {
    Bring(aTables, *aTables.wants.Find(id), aNow, aOutbox);
  }
}

} // namespace bulrush::residency
