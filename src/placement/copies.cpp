// The index over the tables: which copies of a model or adapter count, and
// which of them may go.

#include "placement/systems.hpp"

#include <algorithm>

namespace bulrush::placement {

engine_view*
ViewOf(tables& aTables, endpoint_id aEndpoint)
{
  const auto found = aTables.view.enginePositions.find(aEndpoint);
  return found == aTables.view.enginePositions.end()
           ? nullptr
           : &aTables.view.engines[found->second];
}

const engine_view*
ViewOf(const tables& aTables, endpoint_id aEndpoint)
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
Unloads(const order_row& aOrder, const artifact& aWhat)
{
  if (aOrder.kind == order_kind::eUnloadModel) {
    return aOrder.what.model == aWhat.model &&
           (aWhat.adapter || aOrder.what == aWhat);
  }
  return aOrder.kind == order_kind::eUnloadAdapter && aOrder.what == aWhat;
}

/// Whether an unresolved order takes the artifact away.
bool
IsLeaving(const tables& aTables,
          const engine_view& aEngine,
          const artifact& aWhat)
{
  return std::ranges::any_of(aEngine.orders, [&](order_id aId) {
    const order_row* order = aTables.orders.Find(aId);
    return order != nullptr && IsUnresolved(*order) && Unloads(*order, aWhat);
  });
}

/// Whether the engine has a ready copy of the adapter's model that stays.
bool
HasBase(const tables& aTables, const engine_view& aEngine, model_id aModel)
{
  const engine_row* engine = aTables.engines.Find(aEngine.endpoint);
  return std::ranges::any_of(engine->residents, [&](resident_id aId) {
    const resident_row* row = aTables.residents.Find(aId);
    return row != nullptr && row->what.model == aModel && !row->what.adapter &&
           row->state == resident_state::eReady &&
           !IsLeaving(aTables, aEngine, row->what);
  });
}

/// What one copy adds to the counts: each member is 0 or 1.
copy_counts
CountsOf(const tables& aTables, const resident_row& aResident)
{
  const engine_view* engine = ViewOf(aTables, aResident.endpoint);
  if (engine == nullptr || !engine->isUsable ||
      aResident.state == resident_state::eUnloading ||
      IsLeaving(aTables, *engine, aResident.what)) {
    return {};
  }
  const bool isCurrent = IsCurrent(aTables, aResident.what);
  const bool stays = aResident.state == resident_state::eReady &&
                     !MayVanish(aTables, aResident.endpoint, aResident.what) &&
                     (!aResident.what.adapter ||
                      HasBase(aTables, *engine, aResident.what.model));
  const bool lasts =
    isCurrent && !MayVanish(aTables, aResident.endpoint, aResident.what);
  return { stays ? 1U : 0U,
           stays && isCurrent ? 1U : 0U,
           lasts ? 1U : 0U,
           isCurrent ? 1U : 0U };
}

void
Apply(copy_counts& aCounts, const copy_counts& aChange, bool aIsAdded)
{
  const auto change = [aIsAdded](std::size_t& aCount, std::size_t aBy) {
    aCount = aIsAdded ? aCount + aBy : aCount - std::min(aCount, aBy);
  };
  change(aCounts.reachable, aChange.reachable);
  change(aCounts.safe, aChange.safe);
  change(aCounts.lasting, aChange.lasting);
  change(aCounts.current, aChange.current);
}

} // namespace

// Adds or removes one copy in the counts of its model or adapter.
void
CountCopy(tables& aTables,
          const engine_view& aEngine,
          const artifact& aWhat,
          const copy_counts& aChange,
          bool aIsAdded)
{
  fleet_view& view = aTables.view;
  const std::optional<std::size_t> position =
    aWhat.adapter ? PositionOf(aTables, aWhat.adapter)
                  : PositionOf(aTables, aWhat.model);
  if (!position) {
    return;
  }
  Apply((aWhat.adapter ? view.adapters : view.models)[*position],
        aChange,
        aIsAdded);
  if (aChange.current == 0) {
    return;
  }
  std::uint32_t& inDomain =
    (aWhat.adapter
       ? view.adaptersInDomain
       : view.modelsInDomain)[*position * view.domains.size() + aEngine.domain];
  inDomain = aIsAdded ? inDomain + 1 : inDomain - std::min(inDomain, 1U);
}

bool
IsCurrent(const tables& aTables, const artifact& aWhat)
{
  if (aWhat.adapter) {
    const adapter_row* adapter = aTables.adapters.Find(aWhat.adapter);
    return adapter != nullptr && adapter->model == aWhat.model &&
           adapter->version == aWhat.version;
  }
  const model_row* model = aTables.models.Find(aWhat.model);
  return model != nullptr && model->version == aWhat.version;
}

bool
MayVanish(const tables& aTables, endpoint_id aEndpoint, const artifact& aWhat)
{
  const engine_view* engine = ViewOf(aTables, aEndpoint);
  return engine != nullptr &&
         std::ranges::any_of(engine->orders, [&](order_id aId) {
           const order_row* order = aTables.orders.Find(aId);
           return order != nullptr && !IsUnresolved(*order) &&
                  Unloads(*order, aWhat);
         });
}

// Make before break: a copy of the declared version goes only when enough
// others of that version stay; one of an older version when any other stays.
bool
MayUnload(const tables& aTables, const resident_row& aResident)
{
  const artifact& what = aResident.what;
  const std::optional<std::size_t> position =
    what.adapter ? PositionOf(aTables, what.adapter)
                 : PositionOf(aTables, what.model);
  if (!position) {
    return true;
  }
  const copy_counts& all =
    (what.adapter ? aTables.view.adapters : aTables.view.models)[*position];
  const copy_counts own = CountsOf(aTables, aResident);
  std::size_t needed = 1;
  if (!IsCurrent(aTables, what)) {
    if (all.reachable < needed + own.reachable) {
      return false;
    }
  } else {
    if (!what.adapter) {
      needed = std::max(needed, aTables.models.Find(what.model)->minimumCopies);
    }
    if (all.safe < needed + own.safe) {
      return false;
    }
  }
  if (what.adapter) {
    return true;
  }
  const engine_row* engine = aTables.engines.Find(aResident.endpoint);
  return std::ranges::all_of(engine->residents, [&](resident_id aId) {
    const resident_row* other = aTables.residents.Find(aId);
    return other == nullptr || !other->what.adapter ||
           other->what.model != what.model || MayUnload(aTables, *other);
  });
}

namespace {

// Domains without a usable engine have no coverage to keep, so they get no
// position.
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
ViewEngines(tables& aTables, steady_time aNow)
{
  fleet_view& view = aTables.view;
  for (const engine_row& engine : aTables.engines) {
    engine_view row;
    row.endpoint = engine.id;
    row.memoryBytes = engine.memoryBytes;
    row.isUsable = !IsSilent(aTables, engine, aNow) && !engine.isDraining &&
                   !engine.isTakenOut;
    row.isIdle = row.isUsable && aNow >= engine.notBefore;
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
ViewOrders(tables& aTables)
{
  for (const order_row& order : aTables.orders) {
    engine_view* engine = ViewOf(aTables, order.endpoint);
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
ViewCopies(tables& aTables)
{
  for (const resident_row& resident : aTables.residents) {
    const engine_view* engine = ViewOf(aTables, resident.endpoint);
    if (engine != nullptr) {
      CountCopy(
        aTables, *engine, resident.what, CountsOf(aTables, resident), true);
    }
  }
  for (const order_row& order : aTables.orders) {
    const engine_view* engine = ViewOf(aTables, order.endpoint);
    if (engine == nullptr || !engine->isUsable || !IsLoad(order.kind) ||
        !IsUnresolved(order) || !IsCurrent(aTables, order.what) ||
        aTables.residents.Find(ResidentId(order.endpoint, order.what)) !=
          nullptr) {
      continue;
    }
    const bool lasts = !MayVanish(aTables, order.endpoint, order.what);
    CountCopy(aTables, *engine, order.what, { 0, 0, lasts ? 1U : 0U, 1 }, true);
  }
}

} // namespace

void
BuildView(tables& aTables, steady_time aNow)
{
  fleet_view& view = aTables.view;
  view = {};
  view.engines.reserve(aTables.engines.Size());
  ViewEngines(aTables, aNow);
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
  ViewOrders(aTables);
  ViewCopies(aTables);
  ViewCalls(aTables, aNow);
}

// The counts lose the artifact at once, so that a later decision of the same
// tick does not lean on a copy that is about to go.
void
CountUnload(tables& aTables, engine_view& aEngine, const artifact& aWhat)
{
  const engine_row* engine = aTables.engines.Find(aEngine.endpoint);
  for (const resident_id id : engine->residents) {
    const resident_row* resident = aTables.residents.Find(id);
    if (resident == nullptr || resident->what.model != aWhat.model) {
      continue;
    }
    if (resident->what == aWhat || (!aWhat.adapter && resident->what.adapter)) {
      CountCopy(
        aTables, aEngine, resident->what, CountsOf(aTables, *resident), false);
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
    if (scratch.view.models[i].reachable == 0) {
      models.push_back(scratch.models.Rows()[i].id);
    }
  }
  return models;
}

} // namespace bulrush::placement
