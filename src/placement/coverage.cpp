// Coverage: every declared model in the fleet, then in each failure domain, and
// its adapters beside it; what is no longer declared goes.

#include "placement/systems.hpp"

#include <algorithm>
#include <limits>

namespace bulrush::placement {

// Plans are spread out: a report that changes nothing costs no plan, and a
// burst of changes costs one.
void
StartPlan(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  leadership& leader = aTables.leader;
  leader.isPlanning =
    leader.isLeader && aNow < leader.leaseUntil && aNow >= leader.nextPlan;
  if (!leader.isLeader) {
    return;
  }
  if (leader.isPlanning) {
    aTables.rooms.EraseIf(
      [aNow](const room_row& aRoom) { return aRoom.until <= aNow; });
    BuildView(aTables, aNow);
    leader.isPlanDue = false;
    leader.nextPlan = aNow + aTables.options.planInterval;
  } else if (leader.isPlanDue) {
    leader.nextPlan =
      std::max(leader.planFrom,
               std::min(leader.nextPlan, aNow + aTables.options.planGap));
    leader.isPlanDue = false;
  }
  aOutbox.wake.NoLaterThan(leader.nextPlan);
}

namespace {

/// Whether an engine that the need could use takes orders in this plan.
bool
HasIdleEngine(const tables& aTables, const need& aNeed)
{
  const auto& idle = aTables.view.idleInDomain;
  return aNeed.domain ? idle[*aNeed.domain] > 0
                      : std::ranges::any_of(
                          idle, [](std::size_t aCount) { return aCount > 0; });
}

/// Places the needs in their order until no load may start.
void
PlaceAll(tables& aTables, std::vector<need>& aNeeds, steady_time aNow)
{
  std::ranges::stable_sort(aNeeds, [](const need& aLeft, const need& aRight) {
    return aLeft.reason != aRight.reason ? aLeft.reason < aRight.reason
                                         : aLeft.score > aRight.score;
  });
  // A domain that had no room for one model has none for a larger one.
  std::vector<std::uint64_t> tooLarge(
    aTables.view.domains.size(), std::numeric_limits<std::uint64_t>::max());
  for (const need& next : aNeeds) {
    if (!HasLoadSlot(aTables, LoadKind(next.what), aNow)) {
      return;
    }
    const bool isGiven = next.domain && !next.what.adapter;
    if (!HasIdleEngine(aTables, next) ||
        (isGiven && next.roomBytes >= tooLarge[*next.domain])) {
      continue;
    }
    if (!Place(aTables, next, aNow) && isGiven) {
      tooLarge[*next.domain] = next.roomBytes;
    }
  }
}

} // namespace

void
CoverModels(tables& aTables, steady_time aNow, outbox&)
{
  if (!aTables.leader.isPlanning) {
    return;
  }
  std::vector<need> needs;
  const fleet_view& view = aTables.view;
  const std::size_t domains = view.domains.size();
  for (std::size_t i = 0; i < aTables.models.Size(); ++i) {
    const model_row& model = aTables.models.Rows()[i];
    if (view.models[i].lasting <
        std::max<std::size_t>(1, model.minimumCopies)) {
      needs.push_back(
        NeedOf(aTables, need_class::eMinimum, model, std::nullopt, aNow));
      continue;
    }
    for (std::size_t domain = 0; domain < domains; ++domain) {
      if (view.modelsInDomain[i * domains + domain] == 0) {
        needs.push_back(
          NeedOf(aTables, need_class::eDomain, model, domain, aNow));
      }
    }
  }
  PlaceAll(aTables, needs, aNow);
}

void
CoverAdapters(tables& aTables, steady_time aNow, outbox&)
{
  if (!aTables.leader.isPlanning) {
    return;
  }
  std::vector<need> needs;
  const fleet_view& view = aTables.view;
  const std::size_t domains = view.domains.size();
  for (std::size_t i = 0; i < aTables.adapters.Size(); ++i) {
    const adapter_row& adapter = aTables.adapters.Rows()[i];
    need wanted;
    wanted.what = { adapter.model, adapter.id, adapter.version };
    wanted.bytes = adapter.bytes;
    wanted.roomBytes = adapter.bytes;
    if (view.adapters[i].lasting == 0) {
      needs.push_back(wanted);
      continue;
    }
    wanted.reason = need_class::eDomain;
    for (std::size_t domain = 0; domain < domains; ++domain) {
      if (view.adaptersInDomain[i * domains + domain] == 0) {
        wanted.domain = domain;
        needs.push_back(wanted);
      }
    }
  }
  PlaceAll(aTables, needs, aNow);
}

namespace {

/// Whether the resident is of no further use: no longer declared, or replaced
/// by the declared version in the fleet and in this domain.
bool
IsObsolete(const tables& aTables,
           const engine_view& aEngine,
           const resident_row& aResident)
{
  const artifact& what = aResident.what;
  if (IsCurrent(aTables, what)) {
    return false;
  }
  const fleet_view& view = aTables.view;
  const auto position = what.adapter ? PositionOf(aTables, what.adapter)
                                     : PositionOf(aTables, what.model);
  if (!position) {
    return true;
  }
  const std::size_t cell = *position * view.domains.size() + aEngine.domain;
  const bool isReplaced =
    what.adapter
      ? view.adapters[*position].safe > 0 && view.adaptersInDomain[cell] > 0
      : view.models[*position].safe > 0 && view.modelsInDomain[cell] > 0;
  return isReplaced && MayUnload(aTables, aResident);
}

} // namespace

// Memory that a late copy of a load may take again is not freed by an unload;
// such a resident stays.
void
RemoveUndeclared(tables& aTables, steady_time, outbox&)
{
  if (!aTables.leader.isPlanning) {
    return;
  }
  for (engine_view& view : aTables.view.engines) {
    const engine_row* engine = aTables.engines.Find(view.endpoint);
    for (const resident_id id : engine->residents) {
      const resident_row* resident = aTables.residents.Find(id);
      if (view.isIdle && resident != nullptr &&
          resident->state == resident_state::eReady &&
          !MayReturn(aTables, *resident) &&
          IsObsolete(aTables, view, *resident)) {
        IntendUnload(aTables, view, resident->what);
      }
    }
  }
}

} // namespace bulrush::placement
