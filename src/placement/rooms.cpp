// The place of a model or adapter: the engine with most room for it, or the
// next step to make room on one.

#include "placement/systems.hpp"

#include <algorithm>

namespace bulrush::placement {

namespace {

/// Added to the worth of the last copy in a failure domain, so that copies
/// beyond it go first.
constexpr double kLastInDomainWorth = 1e9;

bool
Holds(const tables& aTables, const engine_view& aEngine, const artifact& aWhat)
{
  if (aTables.residents.Find(ResidentId(aEngine.endpoint, aWhat)) != nullptr) {
    return true;
  }
  return std::ranges::any_of(aEngine.orders, [&](order_id aId) {
    const order_row* order = aTables.orders.Find(aId);
    return order != nullptr && IsUnresolved(*order) && IsLoad(order->kind) &&
           order->what == aWhat;
  });
}

/// Whether the engine has a ready copy of the model in its declared version.
bool
HasCurrentBase(const tables& aTables,
               const engine_view& aEngine,
               model_id aModel)
{
  const model_row* model = aTables.models.Find(aModel);
  if (model == nullptr) {
    return false;
  }
  const resident_row* base = aTables.residents.Find(
    ResidentId(aEngine.endpoint, { aModel, {}, model->version }));
  return base != nullptr && base->state == resident_state::eReady;
}

bool
IsCandidate(const tables& aTables,
            const engine_view& aEngine,
            const need& aNeed)
{
  if (Holds(aTables, aEngine, aNeed.what)) {
    return false;
  }
  return !aNeed.what.adapter ||
         HasCurrentBase(aTables, aEngine, aNeed.what.model);
}

std::uint64_t
RoomWanted(const tables& aTables, const engine_view& aEngine, const need& aNeed)
{
  return ExtraBytes(aTables, aEngine, aNeed.what, aNeed.bytes) +
         (aNeed.roomBytes - aNeed.bytes);
}

/// Copies of the resident's model in the engine's domain.
std::size_t
CopiesInDomain(const tables& aTables,
               const engine_view& aEngine,
               model_id aModel)
{
  const fleet_view& view = aTables.view;
  const auto position = PositionOf(aTables, aModel);
  return position
           ? view
               .modelsInDomain[*position * view.domains.size() + aEngine.domain]
           : 0;
}

/// A resident that may make room for a need, with what is lost by it.
struct victim
{
  artifact what;
  std::uint64_t bytes = 0;
  double worth = 0;
};

// Coverage of one model is never paid with that of another; only the minimum in
// the fleet may take a copy that another failure domain has too.
std::optional<victim>
VictimOf(const tables& aTables,
         const engine_view& aEngine,
         const resident_row& aResident,
         const need& aNeed,
         steady_time aNow)
{
  const artifact& what = aResident.what;
  const std::uint64_t bytes = BytesFreed(aTables, aResident);
  const bool isBase = aNeed.what.adapter && what.model == aNeed.what.model;
  if (what.adapter || isBase || bytes == 0 || what == aNeed.what ||
      aResident.state != resident_state::eReady ||
      !MayUnload(aTables, aResident)) {
    return std::nullopt;
  }
  if (!IsCurrent(aTables, what)) {
    return victim{ what, bytes, 0 };
  }
  const model_row& model = *aTables.models.Find(what.model);
  const std::size_t copies = CopiesInDomain(aTables, aEngine, what.model);
  double worth =
    ScoreOf(aTables, model, aTables.view.domains[aEngine.domain], copies, aNow);
  if (copies < 2) {
    if (aNeed.reason != need_class::eMinimum) {
      return std::nullopt;
    }
    worth += kLastInDomainWorth;
  }
  if (aNeed.reason == need_class::eReplica &&
      (aNow - aResident.since < aTables.options.minimumResidence ||
       worth * aTables.options.evictionFactor >= aNeed.score)) {
    return std::nullopt;
  }
  return victim{ what, bytes, worth };
}

/// What it takes to make room on one engine.
struct clearing
{
  artifact first; ///< the resident to unload first
  double worth = 0;
  std::uint64_t missingBytes = 0; ///< zero: the victims suffice
};

clearing
ClearingOf(const tables& aTables,
           const engine_view& aEngine,
           const need& aNeed,
           steady_time aNow)
{
  std::vector<victim> victims;
  const engine_row* engine = aTables.engines.Find(aEngine.endpoint);
  for (const resident_id id : engine->residents) {
    const resident_row* resident = aTables.residents.Find(id);
    if (resident == nullptr) {
      continue;
    }
    if (auto found = VictimOf(aTables, aEngine, *resident, aNeed, aNow)) {
      victims.push_back(*found);
    }
  }
  std::ranges::sort(victims, [](const victim& aLeft, const victim& aRight) {
    return aLeft.worth != aRight.worth ? aLeft.worth < aRight.worth
                                       : aLeft.what < aRight.what;
  });
  clearing result;
  const std::uint64_t wanted = RoomWanted(aTables, aEngine, aNeed);
  std::uint64_t room = FreeBytes(aEngine);
  for (const victim& next : victims) {
    if (room >= wanted) {
      break;
    }
    if (result.worth == 0 && result.first == artifact{}) {
      result.first = next.what;
    }
    result.worth += next.worth;
    room += next.bytes;
  }
  result.missingBytes = wanted - std::min(wanted, room);
  return result;
}

demand_id
RoomId(const tables& aTables, const need& aNeed)
{
  const domain_id domain =
    aNeed.domain ? aTables.view.domains[*aNeed.domain] : domain_id{};
  const model_id target{ aNeed.what.model.value ^
                         (aNeed.what.adapter.value * 3U) };
  return DemandId(target, domain);
}

void
RememberRoom(tables& aTables,
             const need& aNeed,
             endpoint_id aEndpoint,
             steady_time aNow)
{
  const demand_id id = RoomId(aTables, aNeed);
  if (aTables.rooms.Find(id) == nullptr) {
    aTables.rooms.Insert(
      { id, aEndpoint, aNow + aTables.options.roomLifetime });
  }
}

/// Positions of the engines that could take the artifact; those on which it
/// would last come alone when there are any.
std::vector<std::size_t>
Candidates(const tables& aTables, const need& aNeed)
{
  std::vector<std::size_t> lasting;
  std::vector<std::size_t> others;
  const auto look = [&](std::size_t aPosition) {
    const engine_view& engine = aTables.view.engines[aPosition];
    if (IsCandidate(aTables, engine, aNeed)) {
      const bool lasts = !MayVanish(aTables, engine.endpoint, aNeed.what);
      (lasts ? lasting : others).push_back(aPosition);
    }
  };
  const auto& byDomain = aTables.view.enginesOfDomain;
  for (std::size_t domain = 0; domain < byDomain.size(); ++domain) {
    if (!aNeed.domain || *aNeed.domain == domain) {
      std::ranges::for_each(byDomain[domain], look);
    }
  }
  return lasting.empty() ? others : lasting;
}

enum class attempt
{
  eDone,   ///< an order was intended
  eWaits,  ///< an engine that suits is busy
  eNoRoom, ///< nothing fits
};

attempt
LoadWhereItFits(tables& aTables,
                const need& aNeed,
                std::span<const std::size_t> aCandidates)
{
  engine_view* best = nullptr;
  for (const std::size_t position : aCandidates) {
    engine_view& engine = aTables.view.engines[position];
    if (FreeBytes(engine) < RoomWanted(aTables, engine, aNeed)) {
      continue;
    }
    const bool isBetter =
      best == nullptr || (engine.isIdle && !best->isIdle) ||
      (engine.isIdle == best->isIdle && FreeBytes(engine) > FreeBytes(*best));
    if (isBetter) {
      best = &engine;
    }
  }
  if (best == nullptr) {
    return attempt::eNoRoom;
  }
  if (!best->isIdle) {
    return attempt::eWaits;
  }
  IntendOrder(aTables, *best, LoadKind(aNeed.what), aNeed.what, aNeed.bytes);
  aTables.rooms.Erase(RoomId(aTables, aNeed));
  return attempt::eDone;
}

attempt
UnloadOneVictim(tables& aTables,
                const need& aNeed,
                std::span<const std::size_t> aCandidates,
                steady_time aNow)
{
  engine_view* best = nullptr;
  clearing chosen;
  for (const std::size_t position : aCandidates) {
    engine_view& engine = aTables.view.engines[position];
    if (!engine.isIdle) {
      continue;
    }
    const clearing found = ClearingOf(aTables, engine, aNeed, aNow);
    if (found.missingBytes == 0 && found.first != artifact{} &&
        (best == nullptr || found.worth < chosen.worth)) {
      best = &engine;
      chosen = found;
    }
  }
  if (best == nullptr) {
    return attempt::eNoRoom;
  }
  IntendUnload(aTables, *best, chosen.first);
  RememberRoom(aTables, aNeed, best->endpoint, aNow);
  return attempt::eDone;
}

/// The residents of an engine that only another copy elsewhere would free, the
/// smallest first.
std::vector<const resident_row*>
Movable(const tables& aTables, const engine_view& aEngine, const need& aNeed)
{
  std::vector<const resident_row*> movable;
  const engine_row* engine = aTables.engines.Find(aEngine.endpoint);
  for (const resident_id id : engine->residents) {
    const resident_row* row = aTables.residents.Find(id);
    if (row != nullptr && !row->what.adapter &&
        row->state == resident_state::eReady &&
        row->what.model != aNeed.what.model && IsCurrent(aTables, row->what) &&
        BytesFreed(aTables, *row) > 0 && !MayUnload(aTables, *row)) {
      movable.push_back(row);
    }
  }
  std::ranges::sort(
    movable, [](const resident_row* aLeft, const resident_row* aRight) {
      return aLeft->bytes != aRight->bytes ? aLeft->bytes < aRight->bytes
                                           : aLeft->id < aRight->id;
    });
  return movable;
}

/// Loads another copy of one resident elsewhere, so that it can be unloaded
/// here. Memory is fragmented when it has room in total but on no engine.
attempt
MoveOneAway(tables& aTables,
            const need& aNeed,
            std::span<const std::size_t> aCandidates,
            steady_time aNow)
{
  std::vector<std::pair<std::uint64_t, std::size_t>> byMissing;
  for (const std::size_t position : aCandidates) {
    const engine_view& engine = aTables.view.engines[position];
    byMissing.emplace_back(
      ClearingOf(aTables, engine, aNeed, aNow).missingBytes, position);
  }
  std::ranges::sort(byMissing);
  for (const auto& [missing, position] : byMissing) {
    const engine_view& engine = aTables.view.engines[position];
    for (const resident_row* resident : Movable(aTables, engine, aNeed)) {
      const model_row& model = *aTables.models.Find(resident->what.model);
      const auto& counts = aTables.view.models[*PositionOf(aTables, model.id)];
      if (counts.lasting > counts.safe) {
        return attempt::eWaits;
      }
      const need moved =
        NeedOf(aTables, need_class::eMinimum, model, std::nullopt, aNow);
      std::vector<std::size_t> elsewhere = Candidates(aTables, moved);
      std::erase(elsewhere, position);
      attempt result = LoadWhereItFits(aTables, moved, elsewhere);
      if (result == attempt::eNoRoom) {
        result = UnloadOneVictim(aTables, moved, elsewhere, aNow);
      }
      if (result != attempt::eNoRoom) {
        RememberRoom(aTables, aNeed, engine.endpoint, aNow);
        return result;
      }
    }
  }
  return attempt::eNoRoom;
}

/// Narrows the candidates to the engine on which room is being made already.
void
KeepToRoom(tables& aTables,
           const need& aNeed,
           std::vector<std::size_t>& aCandidates,
           steady_time aNow)
{
  const room_row* room = aTables.rooms.Find(RoomId(aTables, aNeed));
  if (room == nullptr) {
    return;
  }
  const auto found = aTables.view.enginePositions.find(room->endpoint);
  const bool isOpen =
    aNow < room->until && found != aTables.view.enginePositions.end() &&
    std::ranges::find(aCandidates, found->second) != aCandidates.end();
  if (isOpen) {
    aCandidates = { found->second };
  } else {
    aTables.rooms.Erase(room->id);
  }
}

attempt
TryToPlace(tables& aTables,
           const need& aNeed,
           std::span<const std::size_t> aCandidates,
           steady_time aNow)
{
  attempt result = UnloadOneVictim(aTables, aNeed, aCandidates, aNow);
  if (result == attempt::eNoRoom && aNeed.reason == need_class::eMinimum) {
    result = MoveOneAway(aTables, aNeed, aCandidates, aNow);
  }
  return result;
}

} // namespace

need
NeedOf(const tables& aTables,
       need_class aReason,
       const model_row& aModel,
       std::optional<std::size_t> aDomain,
       steady_time aNow)
{
  need result;
  result.reason = aReason;
  result.what = { aModel.id, {}, aModel.version };
  result.bytes = aModel.bytes;
  result.roomBytes =
    aModel.bytes + aTables.view.adapterBytes[*PositionOf(aTables, aModel.id)];
  result.domain = aDomain;
  if (aDomain) {
    const std::size_t copies =
      aTables.view.modelsInDomain[*PositionOf(aTables, aModel.id) *
                                    aTables.view.domains.size() +
                                  *aDomain];
    result.score = ScoreOf(
      aTables, aModel, aTables.view.domains[*aDomain], copies + 1, aNow);
  }
  return result;
}

bool
Place(tables& aTables, const need& aNeed, steady_time aNow)
{
  std::vector<std::size_t> candidates = Candidates(aTables, aNeed);
  if (LoadWhereItFits(aTables, aNeed, candidates) != attempt::eNoRoom) {
    return true;
  }
  KeepToRoom(aTables, aNeed, candidates, aNow);
  if (candidates.size() == 1) {
    const engine_view& only = aTables.view.engines[candidates.front()];
    if (!only.isIdle) {
      return true;
    }
  }
  return TryToPlace(aTables, aNeed, candidates, aNow) != attempt::eNoRoom;
}

} // namespace bulrush::placement
