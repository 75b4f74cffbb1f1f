// Placement of one copy: the engine with the most free memory, or the next
// eviction or move that frees memory on an engine.

#include "placement/systems.hpp"

#include <algorithm>

namespace bulrush::placement {

namespace {

/// Added to the score of the last copy in a failure domain, so that other
/// copies are evicted first.
constexpr double kLastInDomainScore = 1e9;

bool
Holds(const tables& aTables,
      const engine_view& aEngine,
      const artifact& aArtifact)
{
  if (aTables.residents.Find(ResidentId(aEngine.endpoint, aArtifact)) !=
      nullptr) {
    return true;
  }
  return std::ranges::any_of(aEngine.orders, [&](order_id aId) {
    const order_row* order = aTables.orders.Find(aId);
    return order != nullptr && IsUnresolved(*order) && IsLoad(order->kind) &&
           order->target == aArtifact;
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
            const copy_request& aRequest)
{
  if (Holds(aTables, aEngine, aRequest.target)) {
    return false;
  }
  return !aRequest.target.adapter ||
         HasCurrentBase(aTables, aEngine, aRequest.target.model);
}

std::uint64_t
RequiredBytes(const tables& aTables,
              const engine_view& aEngine,
              const copy_request& aRequest)
{
  return ExtraBytes(aTables, aEngine, aRequest.target, aRequest.bytes) +
         (aRequest.bytesWithAdapters - aRequest.bytes);
}

/// Copies of the model in the engine's failure domain.
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

/// A resident that may be evicted for a requested copy.
struct victim
{
  artifact content;
  std::uint64_t bytes = 0;
  double score = 0;
};

// The last copy of a model in a failure domain may be evicted only for the
// minimum copies of another model.
std::optional<victim>
FindVictim(const tables& aTables,
           const engine_view& aEngine,
           const resident_row& aResident,
           const copy_request& aRequest,
           steady_time aNow)
{
  const artifact& held = aResident.content;
  const std::uint64_t bytes = BytesFreed(aTables, aResident);
  const bool isBase =
    aRequest.target.adapter && held.model == aRequest.target.model;
  if (held.adapter || isBase || bytes == 0 || held == aRequest.target ||
      aResident.state != resident_state::eReady ||
      !MayUnload(aTables, aResident)) {
    return std::nullopt;
  }
  if (!IsCurrent(aTables, held)) {
    return victim{ held, bytes, 0 };
  }
  const model_row& model = *aTables.models.Find(held.model);
  const std::size_t copies = CopiesInDomain(aTables, aEngine, held.model);
  double score =
    ScoreOf(aTables, model, aTables.view.domains[aEngine.domain], copies, aNow);
  if (copies < 2) {
    if (aRequest.reason != copy_reason::eMinimum) {
      return std::nullopt;
    }
    score += kLastInDomainScore;
  }
  if (aRequest.reason == copy_reason::eReplica &&
      (aNow - aResident.since < aTables.options.minimumResidence ||
       score * aTables.options.evictionFactor >= aRequest.score)) {
    return std::nullopt;
  }
  return victim{ held, bytes, score };
}

/// Evictions that free enough memory on one engine.
struct eviction_plan
{
  artifact first; ///< resident to evict first
  double score = 0;
  std::uint64_t shortfallBytes = 0; ///< zero: the evictions suffice
};

eviction_plan
PlanEvictions(const tables& aTables,
              const engine_view& aEngine,
              const copy_request& aRequest,
              steady_time aNow)
{
  std::vector<victim> victims;
  const engine_row* engine = aTables.engines.Find(aEngine.endpoint);
  for (const resident_id id : engine->residents) {
    const resident_row* resident = aTables.residents.Find(id);
    if (resident == nullptr) {
      continue;
    }
    if (auto found = FindVictim(aTables, aEngine, *resident, aRequest, aNow)) {
      victims.push_back(*found);
    }
  }
  std::ranges::sort(victims, [](const victim& aLeft, const victim& aRight) {
    return aLeft.score != aRight.score ? aLeft.score < aRight.score
                                       : aLeft.content < aRight.content;
  });
  eviction_plan result;
  const std::uint64_t required = RequiredBytes(aTables, aEngine, aRequest);
  std::uint64_t freeBytes = FreeBytes(aEngine);
  for (const victim& next : victims) {
    if (freeBytes >= required) {
      break;
    }
    if (result.score == 0 && result.first == artifact{}) {
      result.first = next.content;
    }
    result.score += next.score;
    freeBytes += next.bytes;
  }
  result.shortfallBytes = required - std::min(required, freeBytes);
  return result;
}

demand_id
ReclaimId(const tables& aTables, const copy_request& aRequest)
{
  const domain_id domain =
    aRequest.domain ? aTables.view.domains[*aRequest.domain] : domain_id{};
  const model_id target{ aRequest.target.model.value ^
                         (aRequest.target.adapter.value * 3U) };
  return DemandId(target, domain);
}

void
RecordReclaim(tables& aTables,
              const copy_request& aRequest,
              endpoint_id aEndpoint,
              steady_time aNow)
{
  const demand_id id = ReclaimId(aTables, aRequest);
  if (aTables.reclaims.Find(id) == nullptr) {
    aTables.reclaims.Insert(
      { id, aEndpoint, aNow + aTables.options.reclaimTimeout });
  }
}

/// Positions of the engines that could load the artifact. If there are engines
/// on which no late unload can remove it, only those.
std::vector<std::size_t>
Candidates(const tables& aTables, const copy_request& aRequest)
{
  std::vector<std::size_t> stableCurrent;
  std::vector<std::size_t> unstable;
  const auto classify = [&](std::size_t aPosition) {
    const engine_view& engine = aTables.view.engines[aPosition];
    if (IsCandidate(aTables, engine, aRequest)) {
      const bool isStable =
        !MayBeUnloadedLate(aTables, engine.endpoint, aRequest.target);
      (isStable ? stableCurrent : unstable).push_back(aPosition);
    }
  };
  const auto& byDomain = aTables.view.enginesOfDomain;
  for (std::size_t domain = 0; domain < byDomain.size(); ++domain) {
    if (!aRequest.domain || *aRequest.domain == domain) {
      std::ranges::for_each(byDomain[domain], classify);
    }
  }
  return stableCurrent.empty() ? unstable : stableCurrent;
}

enum class placement_result
{
  eOrdered,  ///< an order was created
  eBusy,     ///< a suitable engine is busy
  eNoMemory, ///< no engine can free enough memory
};

placement_result
LoadWhereItFits(tables& aTables,
                const copy_request& aRequest,
                std::span<const std::size_t> aCandidates)
{
  engine_view* best = nullptr;
  for (const std::size_t position : aCandidates) {
    engine_view& engine = aTables.view.engines[position];
    if (FreeBytes(engine) < RequiredBytes(aTables, engine, aRequest)) {
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
    return placement_result::eNoMemory;
  }
  if (!best->isIdle) {
    return placement_result::eBusy;
  }
  IntendOrder(
    aTables, *best, LoadKind(aRequest.target), aRequest.target, aRequest.bytes);
  aTables.reclaims.Erase(ReclaimId(aTables, aRequest));
  return placement_result::eOrdered;
}

placement_result
UnloadOneVictim(tables& aTables,
                const copy_request& aRequest,
                std::span<const std::size_t> aCandidates,
                steady_time aNow)
{
  engine_view* best = nullptr;
  eviction_plan chosen;
  for (const std::size_t position : aCandidates) {
    engine_view& engine = aTables.view.engines[position];
    if (!engine.isIdle) {
      continue;
    }
    const eviction_plan found = PlanEvictions(aTables, engine, aRequest, aNow);
    if (found.shortfallBytes == 0 && found.first != artifact{} &&
        (best == nullptr || found.score < chosen.score)) {
      best = &engine;
      chosen = found;
    }
  }
  if (best == nullptr) {
    return placement_result::eNoMemory;
  }
  IntendUnload(aTables, *best, chosen.first);
  RecordReclaim(aTables, aRequest, best->endpoint, aNow);
  return placement_result::eOrdered;
}

/// Residents of an engine that can be unloaded only after another copy was
/// loaded elsewhere, the smallest first.
std::vector<const resident_row*>
MovableResidents(const tables& aTables,
                 const engine_view& aEngine,
                 const copy_request& aRequest)
{
  std::vector<const resident_row*> residents;
  const engine_row* engine = aTables.engines.Find(aEngine.endpoint);
  for (const resident_id id : engine->residents) {
    const resident_row* row = aTables.residents.Find(id);
    if (row != nullptr && !row->content.adapter &&
        row->state == resident_state::eReady &&
        row->content.model != aRequest.target.model &&
        IsCurrent(aTables, row->content) && BytesFreed(aTables, *row) > 0 &&
        !MayUnload(aTables, *row)) {
      residents.push_back(row);
    }
  }
  std::ranges::sort(
    residents, [](const resident_row* aLeft, const resident_row* aRight) {
      return aLeft->bytes != aRight->bytes ? aLeft->bytes < aRight->bytes
                                           : aLeft->id < aRight->id;
    });
  return residents;
}

/// Defragments: loads another copy of one resident elsewhere, so that it can be
/// unloaded here. Needed when the fleet has enough free memory, but no engine.
placement_result
CopyOneElsewhere(tables& aTables,
                 const copy_request& aRequest,
                 std::span<const std::size_t> aCandidates,
                 steady_time aNow)
{
  std::vector<std::pair<std::uint64_t, std::size_t>> byShortfall;
  for (const std::size_t position : aCandidates) {
    const engine_view& engine = aTables.view.engines[position];
    byShortfall.emplace_back(
      PlanEvictions(aTables, engine, aRequest, aNow).shortfallBytes, position);
  }
  std::ranges::sort(byShortfall);
  for (const auto& [shortfall, position] : byShortfall) {
    const engine_view& engine = aTables.view.engines[position];
    for (const resident_row* resident :
         MovableResidents(aTables, engine, aRequest)) {
      const model_row& model = *aTables.models.Find(resident->content.model);
      const auto& counts = aTables.view.models[*PositionOf(aTables, model.id)];
      if (counts.stableCurrent > counts.readyCurrent) {
        return placement_result::eBusy;
      }
      const copy_request moved =
        RequestFor(aTables, copy_reason::eMinimum, model, std::nullopt, aNow);
      std::vector<std::size_t> elsewhere = Candidates(aTables, moved);
      std::erase(elsewhere, position);
      placement_result result = LoadWhereItFits(aTables, moved, elsewhere);
      if (result == placement_result::eNoMemory) {
        result = UnloadOneVictim(aTables, moved, elsewhere, aNow);
      }
      if (result != placement_result::eNoMemory) {
        RecordReclaim(aTables, aRequest, engine.endpoint, aNow);
        return result;
      }
    }
  }
  return placement_result::eNoMemory;
}

/// Restricts the candidates to the engine on which memory is already being
/// freed for this copy.
void
RestrictToReclaim(tables& aTables,
                  const copy_request& aRequest,
                  std::vector<std::size_t>& aCandidates,
                  steady_time aNow)
{
  const reclaim_row* reclaim =
    aTables.reclaims.Find(ReclaimId(aTables, aRequest));
  if (reclaim == nullptr) {
    return;
  }
  const auto found = aTables.view.enginePositions.find(reclaim->endpoint);
  const bool isCandidate =
    aNow < reclaim->until && found != aTables.view.enginePositions.end() &&
    std::ranges::find(aCandidates, found->second) != aCandidates.end();
  if (isCandidate) {
    aCandidates = { found->second };
  } else {
    aTables.reclaims.Erase(reclaim->id);
  }
}

placement_result
FreeMemory(tables& aTables,
           const copy_request& aRequest,
           std::span<const std::size_t> aCandidates,
           steady_time aNow)
{
  placement_result result =
    UnloadOneVictim(aTables, aRequest, aCandidates, aNow);
  if (result == placement_result::eNoMemory &&
      aRequest.reason == copy_reason::eMinimum) {
    result = CopyOneElsewhere(aTables, aRequest, aCandidates, aNow);
  }
  return result;
}

} // namespace

copy_request
RequestFor(const tables& aTables,
           copy_reason aReason,
           const model_row& aModel,
           std::optional<std::size_t> aDomain,
           steady_time aNow)
{
  copy_request result;
  result.reason = aReason;
  result.target = { aModel.id, {}, aModel.version };
  result.bytes = aModel.bytes;
  result.bytesWithAdapters =
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
Place(tables& aTables, const copy_request& aRequest, steady_time aNow)
{
  std::vector<std::size_t> candidates = Candidates(aTables, aRequest);
  if (LoadWhereItFits(aTables, aRequest, candidates) !=
      placement_result::eNoMemory) {
    return true;
  }
  RestrictToReclaim(aTables, aRequest, candidates, aNow);
  if (candidates.size() == 1) {
    const engine_view& only = aTables.view.engines[candidates.front()];
    if (!only.isIdle) {
      return true;
    }
  }
  return FreeMemory(aTables, aRequest, candidates, aNow) !=
         placement_result::eNoMemory;
}

} // namespace bulrush::placement
