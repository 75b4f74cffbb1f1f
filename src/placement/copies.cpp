// The index over the tables: which copies of a model or adapter count, and
// which of them may be unloaded.

#include "placement/systems.hpp"

#include <algorithm>

namespace bulrush::placement {

engine_view*
FindEngineView(tables& aTables, endpoint_id aEndpoint)
{
  const auto found = aTables.view.enginePositions.find(aEndpoint);
  return found == aTables.view.enginePositions.end()
           ? nullptr
           : &aTables.view.engines[found->second];
}

const engine_view*
FindEngineView(const tables& aTables, endpoint_id aEndpoint)
{
  const auto found = aTables.view.enginePositions.find(aEndpoint);
  return found == aTables.view.enginePositions.end()
           ? nullptr
           : &aTables.view.engines[found->second];
}

namespace {

/// Whether an order of the engine unloads the artifact, or the model that the
/// adapter belongs to.
bool
Unloads(const order_row& aOrder, const artifact& aArtifact)
{
  if (aOrder.kind == order_kind::eUnloadModel) {
    return aOrder.target.model == aArtifact.model &&
           (aArtifact.adapter || aOrder.target == aArtifact);
  }
  return aOrder.kind == order_kind::eUnloadAdapter &&
         aOrder.target == aArtifact;
}

/// Whether an unresolved order unloads the artifact.
bool
IsBeingUnloaded(const tables& aTables,
                const engine_view& aEngine,
                const artifact& aArtifact)
{
  return std::ranges::any_of(aEngine.orders, [&](order_id aId) {
    const order_row* order = aTables.orders.Find(aId);
    return order != nullptr && IsUnresolved(*order) &&
           Unloads(*order, aArtifact);
  });
}

/// Whether the engine has a ready copy of the adapter's model that no
/// unresolved order unloads.
bool
HasBase(const tables& aTables, const engine_view& aEngine, model_id aModel)
{
  const engine_row* engine = aTables.engines.Find(aEngine.endpoint);
  return std::ranges::any_of(engine->residents, [&](resident_id aId) {
    const resident_row* row = aTables.residents.Find(aId);
    return row != nullptr && row->content.model == aModel &&
           !row->content.adapter && row->state == resident_state::eReady &&
           !IsBeingUnloaded(aTables, aEngine, row->content);
  });
}

/// Contribution of one copy to the counts: each member is 0 or 1.
copy_counts
CountsOf(const tables& aTables, const resident_row& aResident)
{
  const engine_view* engine = FindEngineView(aTables, aResident.endpoint);
  if (engine == nullptr || !engine->isUsable ||
      aResident.state == resident_state::eUnloading ||
      IsBeingUnloaded(aTables, *engine, aResident.content)) {
    return {};
  }
  const bool isCurrent = IsCurrent(aTables, aResident.content);
  const bool isReady =
    aResident.state == resident_state::eReady &&
    !MayBeUnloadedLate(aTables, aResident.endpoint, aResident.content) &&
    (!aResident.content.adapter ||
     HasBase(aTables, *engine, aResident.content.model));
  const bool isStable =
    isCurrent &&
    !MayBeUnloadedLate(aTables, aResident.endpoint, aResident.content);
  return { isReady ? 1U : 0U,
           isReady && isCurrent ? 1U : 0U,
           isStable ? 1U : 0U,
           isCurrent ? 1U : 0U };
}

void
Apply(copy_counts& aCounts, const copy_counts& aChange, bool aIsAdded)
{
  const auto change = [aIsAdded](std::size_t& aCount, std::size_t aBy) {
    aCount = aIsAdded ? aCount + aBy : aCount - std::min(aCount, aBy);
  };
  change(aCounts.ready, aChange.ready);
  change(aCounts.readyCurrent, aChange.readyCurrent);
  change(aCounts.stableCurrent, aChange.stableCurrent);
  change(aCounts.current, aChange.current);
}

} // namespace

void
CountCopy(tables& aTables,
          const engine_view& aEngine,
          const artifact& aArtifact,
          const copy_counts& aChange,
          bool aIsAdded)
{
  fleet_view& view = aTables.view;
  const std::optional<std::size_t> position =
    aArtifact.adapter ? PositionOf(aTables, aArtifact.adapter)
                      : PositionOf(aTables, aArtifact.model);
  if (!position) {
    return;
  }
  Apply((aArtifact.adapter ? view.adapters : view.models)[*position],
        aChange,
        aIsAdded);
  if (aChange.current == 0) {
    return;
  }
  std::uint32_t& inDomain =
    (aArtifact.adapter
       ? view.adaptersInDomain
       : view.modelsInDomain)[*position * view.domains.size() + aEngine.domain];
  inDomain = aIsAdded ? inDomain + 1 : inDomain - std::min(inDomain, 1U);
}

bool
IsCurrent(const tables& aTables, const artifact& aArtifact)
{
  if (aArtifact.adapter) {
    const adapter_row* adapter = aTables.adapters.Find(aArtifact.adapter);
    return adapter != nullptr && adapter->model == aArtifact.model &&
           adapter->version == aArtifact.version;
  }
  const model_row* model = aTables.models.Find(aArtifact.model);
  return model != nullptr && model->version == aArtifact.version;
}

bool
MayBeUnloadedLate(const tables& aTables,
                  endpoint_id aEndpoint,
                  const artifact& aArtifact)
{
  const engine_view* engine = FindEngineView(aTables, aEndpoint);
  return engine != nullptr &&
         std::ranges::any_of(engine->orders, [&](order_id aId) {
           const order_row* order = aTables.orders.Find(aId);
           return order != nullptr && !IsUnresolved(*order) &&
                  Unloads(*order, aArtifact);
         });
}

// Make before break: a copy of the declared version may be unloaded only if
// minimumCopies others of that version remain; one of an older version if any
// other copy remains.
bool
MayUnload(const tables& aTables, const resident_row& aResident)
{
  const artifact& held = aResident.content;
  const std::optional<std::size_t> position =
    held.adapter ? PositionOf(aTables, held.adapter)
                 : PositionOf(aTables, held.model);
  if (!position) {
    return true;
  }
  const copy_counts& all =
    (held.adapter ? aTables.view.adapters : aTables.view.models)[*position];
  const copy_counts counts = CountsOf(aTables, aResident);
  std::size_t needed = 1;
  if (!IsCurrent(aTables, held)) {
    if (all.ready < needed + counts.ready) {
      return false;
    }
  } else {
    if (!held.adapter) {
      needed = std::max(needed, aTables.models.Find(held.model)->minimumCopies);
    }
    if (all.readyCurrent < needed + counts.readyCurrent) {
      return false;
    }
  }
  if (held.adapter) {
    return true;
  }
  const engine_row* engine = aTables.engines.Find(aResident.endpoint);
  return std::ranges::all_of(engine->residents, [&](resident_id aId) {
    const resident_row* other = aTables.residents.Find(aId);
    return other == nullptr || !other->content.adapter ||
           other->content.model != held.model || MayUnload(aTables, *other);
  });
}

namespace {

// Called for usable engines only: domains without one need no coverage and get
// no position.
std::size_t
DomainPosition(fleet_view& aView, domain_id aDomain)
{
  const auto found = std::ranges::find(aView.domains, aDomain);
  if (found == aView.domains.end()) {
    aView.domains.push_back(aDomain);
    aView.enginesOfDomain.emplace_back();
    aView.idleInDomain.push_back(0);
    return aView.domains.size() - 1;
  }
  return static_cast<std::size_t>(found - aView.domains.begin());
}

void
IndexEngines(tables& aTables, steady_time aNow)
{
  fleet_view& view = aTables.view;
  for (const engine_row& engine : aTables.engines) {
    engine_view row;
    row.endpoint = engine.id;
    row.memoryBytes = engine.memoryBytes;
    row.isUsable = !IsSilent(aTables, engine, aNow) && !engine.isDraining &&
                   !engine.isTakenOut;
    row.isIdle = row.isUsable && aNow >= engine.backoffUntil;
    if (row.isUsable) {
      row.domain = DomainPosition(view, engine.domain);
    }
    if (row.isUsable) {
      view.enginesOfDomain[row.domain].push_back(view.engines.size());
    }
    view.enginePositions.emplace(engine.id, view.engines.size());
    view.engines.push_back(std::move(row));
  }
}

void
IndexOrders(tables& aTables)
{
  for (const order_row& order : aTables.orders) {
    engine_view* engine = FindEngineView(aTables, order.endpoint);
    if (engine == nullptr) {
      continue;
    }
    engine->orders.push_back(order.id);
    if (IsUnresolved(order)) {
      engine->isIdle = false;
    }
  }
  for (engine_view& engine : aTables.view.engines) {
    engine.reservedBytes = ReservedBytes(
      aTables, *aTables.engines.Find(engine.endpoint), engine.orders);
    if (engine.isIdle) {
      ++aTables.view.idleInDomain[engine.domain];
    }
  }
}

void
IndexCopies(tables& aTables)
{
  for (const resident_row& resident : aTables.residents) {
    const engine_view* engine = FindEngineView(aTables, resident.endpoint);
    if (engine != nullptr) {
      CountCopy(
        aTables, *engine, resident.content, CountsOf(aTables, resident), true);
    }
  }
  for (const order_row& order : aTables.orders) {
    const engine_view* engine = FindEngineView(aTables, order.endpoint);
    if (engine == nullptr || !engine->isUsable || !IsLoad(order.kind) ||
        !IsUnresolved(order) || !IsCurrent(aTables, order.target) ||
        aTables.residents.Find(ResidentId(order.endpoint, order.target)) !=
          nullptr) {
      continue;
    }
    const bool isStable =
      !MayBeUnloadedLate(aTables, order.endpoint, order.target);
    CountCopy(
      aTables, *engine, order.target, { 0, 0, isStable ? 1U : 0U, 1 }, true);
  }
}

} // namespace

void
BuildView(tables& aTables, steady_time aNow)
{
  fleet_view& view = aTables.view;
  view = {};
  view.engines.reserve(aTables.engines.Size());
  IndexEngines(aTables, aNow);
  const std::size_t domains = view.domains.size();
  view.models.assign(aTables.models.Size(), {});
  view.adapters.assign(aTables.adapters.Size(), {});
  view.adapterBytes.assign(aTables.models.Size(), 0);
  for (const adapter_row& adapter : aTables.adapters) {
    if (const auto position = PositionOf(aTables, adapter.model)) {
      view.adapterBytes[*position] += adapter.bytes;
    }
  }
  view.modelsInDomain.assign(aTables.models.Size() * domains, 0);
  view.adaptersInDomain.assign(aTables.adapters.Size() * domains, 0);
  IndexOrders(aTables);
  IndexCopies(aTables);
  IndexCalls(aTables, aNow);
}

// Done when the order is created, so that later decisions of the same tick
// don't rely on this copy.
void
CountUnload(tables& aTables, engine_view& aEngine, const artifact& aArtifact)
{
  const engine_row* engine = aTables.engines.Find(aEngine.endpoint);
  for (const resident_id id : engine->residents) {
    const resident_row* resident = aTables.residents.Find(id);
    if (resident == nullptr || resident->content.model != aArtifact.model) {
      continue;
    }
    if (resident->content == aArtifact ||
        (!aArtifact.adapter && resident->content.adapter)) {
      CountCopy(aTables,
                aEngine,
                resident->content,
                CountsOf(aTables, *resident),
                false);
    }
  }
}

std::vector<model_id>
ModelsOnlyIn(const tables& aTables, domain_id aDomain, steady_time aNow)
{
  tables scratch = aTables;
  for (engine_row& engine : scratch.engines) {
    engine.isTakenOut = engine.isTakenOut || engine.domain == aDomain;
  }
  BuildView(scratch, aNow);
  std::vector<model_id> models;
  for (std::size_t i = 0; i < scratch.models.Size(); ++i) {
    if (scratch.view.models[i].ready == 0) {
      models.push_back(scratch.models.Rows()[i].id);
    }
  }
  return models;
}

} // namespace bulrush::placement
