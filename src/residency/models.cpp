#include "residency/internal.hpp"

#include <algorithm>
#include <tuple>

namespace bulrush::residency {
namespace {

/// Demand and copies of one model.
struct model_use
{
  const model_row* model = nullptr;
  double rate = 0;
  std::uint32_t waiting = 0;
  steady_time lastRequestAt; ///< last request for it or an adapter of it
  std::size_t copies = 0;    ///< loaded or loading
  std::size_t ready = 0;     ///< loaded copies

  /// Requests/s for each copy if aMore copies are added.
  double RatePerCopy(std::size_t aMore) const
  {
    return rate / static_cast<double>(std::max<std::size_t>(1, copies + aMore));
  }
};

/// Use of every model, in the order of the rows of tables::models.
using model_uses = std::vector<model_use>;

model_use*
FindUse(const tables& aTables, model_uses& aUses, model_id aModel)
{
  const model_row* row = aTables.models.Find(aModel);
  return row == nullptr ? nullptr
                        : &aUses[static_cast<std::size_t>(
                            row - aTables.models.Rows().data())];
}

const model_use*
FindUse(const tables& aTables, const model_uses& aUses, model_id aModel)
{
  return FindUse(aTables, const_cast<model_uses&>(aUses), aModel);
}

// The model that the engine's open order loads or unloads, zero if none.
model_id
ModelOfOrder(const engine_row& aEngine, order_kind aKind)
{
  return aEngine.open && aEngine.open->kind == aKind
           ? aEngine.open->artifact.model
           : model_id{};
}

// A copy that is being unloaded is not counted.
void
CountCopiesOn(const engine_row& aEngine,
              const tables& aTables,
              model_uses& aUses)
{
  const model_id loading = ModelOfOrder(aEngine, order_kind::eLoadModel);
  const model_id unloading = ModelOfOrder(aEngine, order_kind::eUnloadModel);
  for (const held_model& held : aEngine.held) {
    model_use* use = FindUse(aTables, aUses, held.model);
    const bool isRepeated = FindHeld(aEngine, held.model) != &held;
    if (use != nullptr && held.model != unloading && !isRepeated) {
      ++use->copies;
      ++use->ready;
    }
  }
  model_use* use = FindUse(aTables, aUses, loading);
  if (use != nullptr && FindHeld(aEngine, loading) == nullptr) {
    ++use->copies;
  }
}

// Engines and demands are read once each, since the number of models times that
// of engines is large.
model_uses
CountUse(const tables& aTables)
{
  model_uses uses;
  for (const model_row& model : aTables.models) {
    model_use use;
    use.model = &model;
    uses.push_back(use);
  }
  for (const engine_row& engine : aTables.engines) {
    if (engine.announced.acceptsRequests) {
      CountCopiesOn(engine, aTables, uses);
    }
  }
  for (const artifact_demand_row& demand : aTables.demands) {
    if (model_use* use = FindUse(aTables, uses, demand.artifact.model)) {
      use->rate += demand.rate;
      use->waiting += demand.waiting;
      use->lastRequestAt = std::max(use->lastRequestAt, demand.lastRequestAt);
    }
  }
  return uses;
}

std::uint64_t
FreeBytes(const tables& aTables, const engine_row& aEngine)
{
  const std::uint64_t held = HeldBytes(aTables, aEngine);
  return aEngine.announced.memoryBytes > held
           ? aEngine.announced.memoryBytes - held
           : 0;
}

// Requests/s to an engine, with a model's rate divided equally among its
// copies.
double
LoadOf(const tables& aTables,
       const model_uses& aUses,
       const engine_row& aEngine)
{
  double load = 0;
  for (const held_model& held : aEngine.held) {
    const model_use* use = FindUse(aTables, aUses, held.model);
    load += use == nullptr ? 0 : use->RatePerCopy(0);
  }
  return load;
}

/// Where an engine would load a model from, the fastest first.
enum class load_source : std::uint8_t
{
  eMemory,
  eDisk,
  eStore,
};

bool
Contains(const std::vector<model_id>& aModels, model_id aModel)
{
  return std::find(aModels.begin(), aModels.end(), aModel) != aModels.end();
}

load_source
SourceOf(const engine_row& aEngine, model_id aModel)
{
  if (Contains(aEngine.announced.inMemory, aModel)) {
    return load_source::eMemory;
  }
  return Contains(aEngine.announced.onDisk, aModel) ? load_source::eDisk
                                                    : load_source::eStore;
}

// The engine with the fastest load source, among equals the one with the least
// load. The store's rate limit is checked by the caller.
engine_row*
FindEngineWithRoom(tables& aTables,
                   const model_uses& aUses,
                   const model_row& aModel)
{
  engine_row* best = nullptr;
  load_source bestSource = load_source::eStore;
  double bestLoad = 0;
  for (engine_row& engine : aTables.engines) {
    const bool fits = IsReady(engine) && engine.announced.pool == aModel.pool &&
                      FindHeld(engine, aModel.id) == nullptr &&
                      FreeBytes(aTables, engine) >= aModel.bytes;
    if (!fits) {
      continue;
    }
    const double load = LoadOf(aTables, aUses, engine);
    const load_source source = SourceOf(engine, aModel.id);
    const bool isBetter =
      source != bestSource ? source < bestSource : load < bestLoad;
    if (best == nullptr || isBetter) {
      best = &engine;
      bestSource = source;
      bestLoad = load;
    }
  }
  return best;
}

/// A copy that could be evicted to make room.
struct eviction_candidate
{
  engine_row* engine = nullptr;
  model_id model;
  double cost = 0; ///< requests/s for each remaining copy
  load_source source = load_source::eStore; ///< of the model to be loaded there
  double load = 0;                          ///< of its engine
};

// Value of the only copy of a model that may yield. Its waiting requests add to
// it, so that no model waits for ever behind those with more requests.
double
LastCopyValue(const settings& aOptions, const model_use& aUse)
{
  return aOptions.lastCopyFactor * (aUse.rate + aUse.waiting);
}

// Otherwise the last copy of a model is evicted only when the model is idle.
// Copies that are being loaded do not count, since they serve no requests yet.
std::optional<double>
EvictionCost(const settings& aOptions, const model_use& aUse, steady_time aNow)
{
  if (aUse.ready > 1) {
    return aUse.rate / static_cast<double>(aUse.ready - 1);
  }
  const bool isIdle =
    aUse.waiting == 0 && aUse.lastRequestAt + aOptions.idleAfter <= aNow;
  if (isIdle) {
    return 0.0;
  }
  return aUse.model->mayYield
           ? std::optional<double>(LastCopyValue(aOptions, aUse))
           : std::nullopt;
}

// The copy with the lowest cost; among equals the one on the engine with the
// fastest load source, then on the one with the least load.
bool
IsBetter(const eviction_candidate& aLeft, const eviction_candidate& aRight)
{
  return std::tie(aLeft.cost, aLeft.source, aLeft.load) <
         std::tie(aRight.cost, aRight.source, aRight.load);
}

bool
IsRecentlyLoaded(const settings& aOptions,
                 const engine_row& aEngine,
                 model_id aModel,
                 steady_time aNow)
{
  return std::any_of(
    aEngine.loads.begin(), aEngine.loads.end(), [&](const loaded_model& aLoad) {
      return aLoad.model == aModel && aNow < aLoad.at + aOptions.minStay;
    });
}

// An order names its model, so one that this process has never seen declared
// cannot be unloaded.
bool
IsKnownModel(const tables& aTables, model_id aModel)
{
  return aTables.models.Find(aModel) != nullptr ||
         aTables.withdrawnModels.Find(aModel) != nullptr;
}

std::optional<eviction_candidate>
FindEvictionCandidate(tables& aTables,
                      const model_uses& aUses,
                      const model_row& aFor,
                      steady_time aNow)
{
  std::optional<eviction_candidate> best;
  for (engine_row& engine : aTables.engines) {
    if (!IsReady(engine) || engine.announced.pool != aFor.pool ||
        FindHeld(engine, aFor.id) != nullptr) {
      continue;
    }
    const double load = LoadOf(aTables, aUses, engine);
    for (const held_model& held : engine.held) {
      const model_use* use = FindUse(aTables, aUses, held.model);
      const auto cost =
        use == nullptr ? 0.0 : EvictionCost(aTables.options, *use, aNow);
      const std::uint64_t bytes =
        BytesOf(aTables.models, aTables.withdrawnModels, held.model);
      if (!cost || !IsKnownModel(aTables, held.model) ||
          FreeBytes(aTables, engine) + bytes < aFor.bytes ||
          IsRecentlyLoaded(aTables.options, engine, held.model, aNow)) {
        continue;
      }
      const eviction_candidate found{
        &engine, held.model, *cost, SourceOf(engine, aFor.id), load
      };
      if (!best || IsBetter(found, *best)) {
        best = found;
      }
    }
  }
  return best;
}

void
Load(tables& aTables,
     engine_row& aEngine,
     const model_row& aModel,
     steady_time aNow,
     outbox& aOutbox)
{
  IssueOrder(
    aTables, aEngine, order_kind::eLoadModel, { aModel.id, {} }, aNow, aOutbox);
  if (SourceOf(aEngine, aModel.id) != load_source::eStore) {
    return; // the store's rate limit does not apply
  }
  const std::chrono::duration<double> pause{
    1.0 / aTables.options.storeLoadsPerSecond
  };
  aTables.nextLoad =
    aNow + std::chrono::duration_cast<std::chrono::nanoseconds>(pause);
}

// A requested model without a copy has priority over any further copy.
constexpr double kFirstCopyValue = 1e9;

/// A copy to be loaded, with its priority.
struct needed_copy
{
  const model_use* use = nullptr;
  double value = 0;
};

// Missing models that may not yield first, by their waiting requests and rate;
// then further copies by the rate that each copy would get.
std::vector<needed_copy>
FindNeededCopies(const settings& aOptions,
                 const model_uses& aUses,
                 steady_time aNow)
{
  std::vector<needed_copy> neededCopies;
  for (const model_use& use : aUses) {
    const bool isRequested =
      use.waiting > 0 ||
      (use.rate > 0 && aNow < use.lastRequestAt + aOptions.idleAfter);
    if (use.copies == 0 && isRequested) {
      const double value = use.model->mayYield
                             ? LastCopyValue(aOptions, use)
                             : kFirstCopyValue + use.waiting + use.rate;
      neededCopies.push_back({ &use, value });
    } else if (use.copies > 0 && use.RatePerCopy(0) > aOptions.maxRatePerCopy) {
      neededCopies.push_back({ &use, use.RatePerCopy(1) });
    }
  }
  std::sort(neededCopies.begin(),
            neededCopies.end(),
            [](const needed_copy& aLeft, const needed_copy& aRight) {
              return aLeft.value > aRight.value;
            });
  return neededCopies;
}

std::size_t
CountUnloading(const tables& aTables)
{
  const auto engines = aTables.engines.Rows();
  return static_cast<std::size_t>(std::count_if(
    engines.begin(), engines.end(), [](const engine_row& aEngine) {
      return aEngine.open && aEngine.open->kind == order_kind::eUnloadModel;
    }));
}

// False when no copy has a sufficiently lower value than the needed one.
bool
EvictFor(tables& aTables,
         const model_uses& aUses,
         const needed_copy& aNeeded,
         steady_time aNow,
         outbox& aOutbox)
{
  const auto candidate =
    FindEvictionCandidate(aTables, aUses, *aNeeded.use->model, aNow);
  if (!candidate ||
      candidate->cost * aTables.options.evictionFactor >= aNeeded.value) {
    return false;
  }
  IssueOrder(aTables,
             *candidate->engine,
             order_kind::eUnloadModel,
             { candidate->model, {} },
             aNow,
             aOutbox);
  return true;
}

} // namespace

std::size_t
CountCopies(const tables& aTables, const artifact& aArtifact)
{
  std::size_t copies = 0;
  for (const engine_row& engine : aTables.engines) {
    if (!engine.announced.acceptsRequests) {
      continue;
    }
    const bool isUnloading = engine.open &&
                             engine.open->artifact == aArtifact &&
                             (engine.open->kind == order_kind::eUnloadModel ||
                              engine.open->kind == order_kind::eUnloadAdapter);
    const bool isLoading = engine.open && engine.open->artifact == aArtifact &&
                           (engine.open->kind == order_kind::eLoadModel ||
                            engine.open->kind == order_kind::eLoadAdapter);
    copies += (Holds(engine, aArtifact) && !isUnloading) || isLoading ? 1 : 0;
  }
  return copies;
}

// Loads from the store start one by one at its rate limit. Meanwhile room for
// the next ones is made on several engines at once, since an unload waits for
// the last running request of its model.
void
RunModels(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  if (aNow < aTables.nextLoad) {
    aOutbox.wake.NoLaterThan(aTables.nextLoad);
  }
  const model_uses uses = CountUse(aTables);
  std::size_t unloading = CountUnloading(aTables);
  std::size_t pendingUnloads = unloading; // engines that are making room
  for (const needed_copy& next :
       FindNeededCopies(aTables.options, uses, aNow)) {
    if (engine_row* engine =
          FindEngineWithRoom(aTables, uses, *next.use->model)) {
      const bool needsStore =
        SourceOf(*engine, next.use->model->id) == load_source::eStore;
      if (!needsStore || aNow >= aTables.nextLoad) {
        Load(aTables, *engine, *next.use->model, aNow, aOutbox);
      }
      continue;
    }
    if (pendingUnloads > 0) {
      --pendingUnloads;
    } else if (unloading < aTables.options.maxConcurrentUnloads &&
               EvictFor(aTables, uses, next, aNow, aOutbox)) {
      ++unloading;
    }
  }
}

} // namespace bulrush::residency
