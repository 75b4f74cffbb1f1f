#include "residency/parts.hpp"

#include <algorithm>
#include <tuple>

namespace bulrush::residency {
namespace {

/// What a model is asked for and held.
struct model_use
{
  const model_row* model = nullptr;
  double rate = 0;
  std::uint32_t waiting = 0;
  steady_time askedAt;    ///< last request for it or an adapter of it
  std::size_t copies = 0; ///< on engines that take work, or on their way
  std::size_t ready = 0;  ///< of these, loaded

  /// Rate that each copy bears after aMore copies came.
  double Pressure(std::size_t aMore) const
  {
    return rate / static_cast<double>(std::max<std::size_t>(1, copies + aMore));
  }
};

std::size_t
CountReady(const tables& aTables, model_id aModel)
{
  const auto engines = aTables.engines.Rows();
  return static_cast<std::size_t>(std::count_if(
    engines.begin(), engines.end(), [&](const engine_row& aEngine) {
      const bool goes = aEngine.open &&
                        aEngine.open->kind == order_kind::eUnloadModel &&
                        aEngine.open->what.model == aModel;
      return aEngine.told.takesWork && !goes &&
             FindHeld(aEngine, aModel) != nullptr;
    }));
}

std::vector<model_use>
CountUse(const tables& aTables)
{
  std::vector<model_use> uses;
  for (const model_row& model : aTables.models) {
    model_use use;
    use.model = &model;
    use.copies = CountCopies(aTables, { model.id, {} });
    use.ready = CountReady(aTables, model.id);
    for (const want_row& want : aTables.wants) {
      if (want.what.model == model.id) {
        use.rate += want.rate;
        use.waiting += want.waiting;
        use.askedAt = std::max(use.askedAt, want.askedAt);
      }
    }
    uses.push_back(use);
  }
  return uses;
}

std::uint64_t
FreeBytes(const tables& aTables, const engine_row& aEngine)
{
  const std::uint64_t held = HeldBytes(aTables, aEngine);
  return aEngine.told.memoryBytes > held ? aEngine.told.memoryBytes - held : 0;
}

const model_use*
FindUse(const std::vector<model_use>& aUses, model_id aModel)
{
  const auto found =
    std::find_if(aUses.begin(), aUses.end(), [&](const model_use& aUse) {
      return aUse.model->id == aModel;
    });
  return found == aUses.end() ? nullptr : &*found;
}

// Requests/s of all models on an engine, each copy of a model taking its part.
double
LoadOf(const std::vector<model_use>& aUses, const engine_row& aEngine)
{
  double load = 0;
  for (const held_model& held : aEngine.held) {
    const model_use* use = FindUse(aUses, held.model);
    load += use == nullptr ? 0 : use->Pressure(0);
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
  if (Contains(aEngine.told.inMemory, aModel)) {
    return load_source::eMemory;
  }
  return Contains(aEngine.told.onDisk, aModel) ? load_source::eDisk
                                               : load_source::eStore;
}

// The engine that has it as soon as any; of equals, the one that is asked for
// least. The store's pace may allow none now.
engine_row*
FindRoom(tables& aTables,
         const std::vector<model_use>& aUses,
         const model_row& aModel)
{
  engine_row* best = nullptr;
  load_source bestSource = load_source::eStore;
  double bestLoad = 0;
  for (engine_row& engine : aTables.engines) {
    const bool fits = IsReady(engine) && engine.told.pool == aModel.pool &&
                      FindHeld(engine, aModel.id) == nullptr &&
                      FreeBytes(aTables, engine) >= aModel.bytes;
    if (!fits) {
      continue;
    }
    const double load = LoadOf(aUses, engine);
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

/// A copy that could make room.
struct victim
{
  engine_row* engine = nullptr;
  model_id model;
  double loss = 0; ///< pressure on what is left of the model
  load_source source = load_source::eStore; ///< of what is to come there
  double load = 0;                          ///< of its engine
};

// The last copy of a model goes only when nobody asks for the model. Copies
// that are being loaded serve nobody yet.
std::optional<double>
LossOf(const settings& aOptions, const model_use& aUse, steady_time aNow)
{
  if (aUse.ready > 1) {
    return aUse.rate / static_cast<double>(aUse.ready - 1);
  }
  const bool isIdle =
    aUse.waiting == 0 && aUse.askedAt + aOptions.idleAfter <= aNow;
  return isIdle ? std::optional<double>(0.0) : std::nullopt;
}

// What is missed least goes; of equals, that on the engine which loads fastest,
// then that on the quietest one.
bool
IsBetter(const victim& aLeft, const victim& aRight)
{
  return std::tie(aLeft.loss, aLeft.source, aLeft.load) <
         std::tie(aRight.loss, aRight.source, aRight.load);
}

bool
IsNew(const settings& aOptions,
      const engine_row& aEngine,
      model_id aModel,
      steady_time aNow)
{
  return std::any_of(
    aEngine.loads.begin(), aEngine.loads.end(), [&](const loaded_model& aLoad) {
      return aLoad.model == aModel && aNow < aLoad.at + aOptions.leastStay;
    });
}

std::optional<victim>
FindVictim(tables& aTables,
           const std::vector<model_use>& aUses,
           const model_row& aFor,
           steady_time aNow)
{
  std::optional<victim> best;
  for (engine_row& engine : aTables.engines) {
    if (!IsReady(engine) || engine.told.pool != aFor.pool ||
        FindHeld(engine, aFor.id) != nullptr) {
      continue;
    }
    const double load = LoadOf(aUses, engine);
    for (const held_model& held : engine.held) {
      const model_use* use = FindUse(aUses, held.model);
      const auto loss =
        use == nullptr ? 0.0 : LossOf(aTables.options, *use, aNow);
      const std::uint64_t bytes = use == nullptr ? 0 : use->model->bytes;
      if (!loss || FreeBytes(aTables, engine) + bytes < aFor.bytes ||
          IsNew(aTables.options, engine, held.model, aNow)) {
        continue;
      }
      const victim found{
        &engine, held.model, *loss, SourceOf(engine, aFor.id), load
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
  Order(
    aTables, aEngine, order_kind::eLoadModel, { aModel.id, {} }, aNow, aOutbox);
  if (SourceOf(aEngine, aModel.id) != load_source::eStore) {
    return; // it does not concern the store
  }
  const std::chrono::duration<double> pause{
    1.0 / aTables.options.storeLoadsPerSecond
  };
  aTables.nextLoad =
    aNow + std::chrono::duration_cast<std::chrono::nanoseconds>(pause);
}

// Anything that somebody asks for and nobody holds is worth more than any
// second copy.
constexpr double kWorthOfFirstCopy = 1e9;

/// A copy that is wanted, and what it is worth.
struct need
{
  const model_use* use = nullptr;
  double worth = 0;
};

// Missing models first, the ones with most callers before the others; then the
// copies that take most pressure away.
std::vector<need>
FindNeeds(const settings& aOptions,
          const std::vector<model_use>& aUses,
          steady_time aNow)
{
  std::vector<need> needs;
  for (const model_use& use : aUses) {
    const bool isAsked =
      use.waiting > 0 ||
      (use.rate > 0 && aNow < use.askedAt + aOptions.idleAfter);
    if (use.copies == 0 && isAsked) {
      needs.push_back({ &use, kWorthOfFirstCopy + use.waiting + use.rate });
    } else if (use.copies > 0 && use.Pressure(0) > aOptions.copyRate) {
      needs.push_back({ &use, use.Pressure(1) });
    }
  }
  std::sort(
    needs.begin(), needs.end(), [](const need& aLeft, const need& aRight) {
      return aLeft.worth > aRight.worth;
    });
  return needs;
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

// False when no copy is worth less than what is needed.
bool
MakeRoom(tables& aTables,
         const std::vector<model_use>& aUses,
         const need& aNeed,
         steady_time aNow,
         outbox& aOutbox)
{
  const auto leaves = FindVictim(aTables, aUses, *aNeed.use->model, aNow);
  if (!leaves || leaves->loss * aTables.options.evictionFactor >= aNeed.worth) {
    return false;
  }
  Order(aTables,
        *leaves->engine,
        order_kind::eUnloadModel,
        { leaves->model, {} },
        aNow,
        aOutbox);
  return true;
}

} // namespace

std::size_t
CountCopies(const tables& aTables, const artifact& aWhat)
{
  std::size_t copies = 0;
  for (const engine_row& engine : aTables.engines) {
    if (!engine.told.takesWork) {
      continue;
    }
    const bool goes = engine.open && engine.open->what == aWhat &&
                      (engine.open->kind == order_kind::eUnloadModel ||
                       engine.open->kind == order_kind::eUnloadAdapter);
    const bool comes = engine.open && engine.open->what == aWhat &&
                       (engine.open->kind == order_kind::eLoadModel ||
                        engine.open->kind == order_kind::eLoadAdapter);
    copies += (Holds(engine, aWhat) && !goes) || comes ? 1 : 0;
  }
  return copies;
}

// Loads leave at the store's pace, one each time it allows. Room for what is to
// come next is made meanwhile, on several engines at once, since an unload
// waits for the last run of its model.
void
RunModels(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  if (aNow < aTables.nextLoad) {
    aOutbox.wake.NoLaterThan(aTables.nextLoad);
  }
  const std::vector<model_use> uses = CountUse(aTables);
  std::size_t unloading = CountUnloading(aTables);
  std::size_t promised = unloading; // rooms that are being made
  for (const need& next : FindNeeds(aTables.options, uses, aNow)) {
    if (engine_row* room = FindRoom(aTables, uses, *next.use->model)) {
      const bool needsStore =
        SourceOf(*room, next.use->model->id) == load_source::eStore;
      if (!needsStore || aNow >= aTables.nextLoad) {
        Load(aTables, *room, *next.use->model, aNow, aOutbox);
      }
      continue;
    }
    if (promised > 0) {
      --promised;
    } else if (unloading < aTables.options.unloadsAtOnce &&
               MakeRoom(aTables, uses, next, aNow, aOutbox)) {
      ++unloading;
    }
  }
}

} // namespace bulrush::residency
