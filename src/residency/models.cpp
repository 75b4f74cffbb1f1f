#include "residency/parts.hpp"

#include <algorithm>

namespace bulrush::residency {
namespace {

/// What a model is asked for and held.
struct model_use
{
  const model_row* model = nullptr;
  double rate = 0;
  std::uint32_t waiting = 0;
  std::size_t copies = 0; ///< on engines that take work, or on their way

  /// Rate that each copy bears after aMore copies came.
  double Pressure(std::size_t aMore) const
  {
    return rate / static_cast<double>(std::max<std::size_t>(1, copies + aMore));
  }
};

std::vector<model_use>
CountUse(const tables& aTables)
{
  std::vector<model_use> uses;
  for (const model_row& model : aTables.models) {
    model_use use;
    use.model = &model;
    use.copies = CountCopies(aTables, { model.id, {} });
    for (const want_row& want : aTables.wants) {
      if (want.what.model == model.id) {
        use.rate += want.rate;
        use.waiting += want.waiting;
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

// The engine with the most memory left, so that large models find room later.
engine_row*
FindRoom(tables& aTables, const model_row& aModel)
{
  engine_row* best = nullptr;
  for (engine_row& engine : aTables.engines) {
    const bool fits = IsReady(engine) && engine.told.pool == aModel.pool &&
                      FindHeld(engine, aModel.id) == nullptr &&
                      FreeBytes(aTables, engine) >= aModel.bytes;
    if (fits && (best == nullptr ||
                 FreeBytes(aTables, engine) > FreeBytes(aTables, *best))) {
      best = &engine;
    }
  }
  return best;
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

/// A copy that could make room.
struct victim
{
  engine_row* engine = nullptr;
  model_id model;
  double loss = 0; ///< pressure on what is left of the model
};

// The last copy of a model goes only when nobody asks for the model.
std::optional<double>
LossOf(const model_use& aUse)
{
  if (aUse.copies > 1) {
    return aUse.rate / static_cast<double>(aUse.copies - 1);
  }
  return aUse.rate > 0 || aUse.waiting > 0 ? std::nullopt
                                           : std::optional<double>(0.0);
}

std::optional<victim>
FindVictim(tables& aTables,
           const std::vector<model_use>& aUses,
           const model_row& aFor)
{
  std::optional<victim> best;
  for (engine_row& engine : aTables.engines) {
    if (!IsReady(engine) || engine.told.pool != aFor.pool ||
        FindHeld(engine, aFor.id) != nullptr) {
      continue;
    }
    for (const held_model& held : engine.held) {
      const model_use* use = FindUse(aUses, held.model);
      const auto loss = use == nullptr ? 0.0 : LossOf(*use);
      const std::uint64_t bytes = use == nullptr ? 0 : use->model->bytes;
      if (!loss || FreeBytes(aTables, engine) + bytes < aFor.bytes) {
        continue;
      }
      if (!best || *loss < best->loss) {
        best = victim{ &engine, held.model, *loss };
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
  const std::chrono::duration<double> pause{
    1.0 / aTables.options.storeLoadsPerSecond
  };
  aTables.nextLoad =
    aNow + std::chrono::duration_cast<std::chrono::nanoseconds>(pause);
}

// A copy where there is room; else room is made, and the next tick finds it.
void
Bring(tables& aTables,
      const std::vector<model_use>& aUses,
      const model_use& aUse,
      double aWorth,
      steady_time aNow,
      outbox& aOutbox)
{
  if (engine_row* room = FindRoom(aTables, *aUse.model)) {
    Load(aTables, *room, *aUse.model, aNow, aOutbox);
    return;
  }
  const auto leaves = FindVictim(aTables, aUses, *aUse.model);
  if (leaves && leaves->loss * aTables.options.evictionFactor < aWorth) {
    Order(aTables,
          *leaves->engine,
          order_kind::eUnloadModel,
          { leaves->model, {} },
          aNow,
          aOutbox);
  }
}

// Anything that somebody asks for and nobody holds is worth more than any
// second copy.
constexpr double kWorthOfFirstCopy = 1e9;

bool
IsUnloading(const tables& aTables)
{
  const auto engines = aTables.engines.Rows();
  return std::any_of(
    engines.begin(), engines.end(), [](const engine_row& aEngine) {
      return aEngine.open && aEngine.open->kind == order_kind::eUnloadModel;
    });
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

// One load at a time leaves, at the store's pace: missing models first, then
// the copy that takes most pressure away.
void
RunModels(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  if (aNow < aTables.nextLoad) {
    aOutbox.wake.NoLaterThan(aTables.nextLoad);
    return;
  }
  const std::vector<model_use> uses = CountUse(aTables);
  const model_use* missing = nullptr;
  const model_use* pressed = nullptr;
  for (const model_use& use : uses) {
    const bool isAsked = use.rate > 0 || use.waiting > 0;
    if (use.copies == 0 && isAsked &&
        (missing == nullptr ||
         use.waiting + use.rate > missing->waiting + missing->rate)) {
      missing = &use;
    }
    if (use.copies > 0 && use.Pressure(0) > aTables.options.copyRate &&
        (pressed == nullptr || use.Pressure(0) > pressed->Pressure(0))) {
      pressed = &use;
    }
  }
  if (IsUnloading(aTables)) {
    return;
  }
  if (missing != nullptr) {
    Bring(aTables, uses, *missing, kWorthOfFirstCopy, aNow, aOutbox);
  } else if (pressed != nullptr) {
    Bring(aTables, uses, *pressed, pressed->Pressure(1), aNow, aOutbox);
  }
}

} // namespace bulrush::residency
