// Coverage: the minimum copies of every declared model, then one in each
// failure domain, with its adapters. Unloads what is no longer declared.

#include "placement/systems.hpp"

#include <algorithm>
#include <limits>

namespace bulrush::placement {

// Limits the rate of plans: a report that changes nothing starts no plan, and a
// burst of changes starts one.
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
    aTables.reclaims.EraseIf(
      [aNow](const reclaim_row& aReclaim) { return aReclaim.until <= aNow; });
    BuildView(aTables, aNow);
    leader.isPlanDue = false;
    leader.nextPlan = aNow + aTables.options.maxPlanInterval;
  } else if (leader.isPlanDue) {
    leader.nextPlan = std::max(
      leader.earliestPlan,
      std::min(leader.nextPlan, aNow + aTables.options.minPlanInterval));
    leader.isPlanDue = false;
  }
  aOutbox.wake.NoLaterThan(leader.nextPlan);
}

namespace {

/// Whether an engine in the requested domain is idle, that is, takes orders.
bool
HasIdleEngine(const tables& aTables, const copy_request& aRequest)
{
  const auto& idle = aTables.view.idleInDomain;
  return aRequest.domain ? idle[*aRequest.domain] > 0
                         : std::ranges::any_of(idle, [](std::size_t aCount) {
                             return aCount > 0;
                           });
}

/// Places the copies by priority, then score, until the pacing rule allows no
/// further load.
void
PlaceAll(tables& aTables,
         std::vector<copy_request>& aRequests,
         steady_time aNow)
{
  std::ranges::stable_sort(
    aRequests, [](const copy_request& aLeft, const copy_request& aRight) {
      return aLeft.reason != aRight.reason ? aLeft.reason < aRight.reason
                                           : aLeft.score > aRight.score;
    });
  // If a model did not fit in a domain, a larger one does not either.
  std::vector<std::uint64_t> unplaceableBytes(
    aTables.view.domains.size(), std::numeric_limits<std::uint64_t>::max());
  for (const copy_request& next : aRequests) {
    if (!HasLoadSlot(aTables, LoadKind(next.target), aNow)) {
      return;
    }
    const bool isModelInDomain = next.domain && !next.target.adapter;
    if (!HasIdleEngine(aTables, next) ||
        (isModelInDomain &&
         next.bytesWithAdapters >= unplaceableBytes[*next.domain])) {
      continue;
    }
    if (!Place(aTables, next, aNow) && isModelInDomain) {
      unplaceableBytes[*next.domain] = next.bytesWithAdapters;
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
  std::vector<copy_request> requests;
  const fleet_view& view = aTables.view;
  const std::size_t domains = view.domains.size();
  for (std::size_t i = 0; i < aTables.models.Size(); ++i) {
    const model_row& model = aTables.models.Rows()[i];
    if (view.models[i].stableCurrent <
        std::max<std::size_t>(1, model.minimumCopies)) {
      requests.push_back(
        RequestFor(aTables, copy_reason::eMinimum, model, std::nullopt, aNow));
      continue;
    }
    for (std::size_t domain = 0; domain < domains; ++domain) {
      if (view.modelsInDomain[i * domains + domain] == 0) {
        requests.push_back(
          RequestFor(aTables, copy_reason::eDomain, model, domain, aNow));
      }
    }
  }
  PlaceAll(aTables, requests, aNow);
}

void
CoverAdapters(tables& aTables, steady_time aNow, outbox&)
{
  if (!aTables.leader.isPlanning) {
    return;
  }
  std::vector<copy_request> requests;
  const fleet_view& view = aTables.view;
  const std::size_t domains = view.domains.size();
  for (std::size_t i = 0; i < aTables.adapters.Size(); ++i) {
    const adapter_row& adapter = aTables.adapters.Rows()[i];
    copy_request missing;
    missing.target = { adapter.model, adapter.id, adapter.version };
    missing.bytes = adapter.bytes;
    missing.bytesWithAdapters = adapter.bytes;
    if (view.adapters[i].stableCurrent == 0) {
      requests.push_back(missing);
      continue;
    }
    missing.reason = copy_reason::eDomain;
    for (std::size_t domain = 0; domain < domains; ++domain) {
      if (view.adaptersInDomain[i * domains + domain] == 0) {
        missing.domain = domain;
        requests.push_back(missing);
      }
    }
  }
  PlaceAll(aTables, requests, aNow);
}

namespace {

/// Whether the resident is no longer declared, or replaced by the declared
/// version in the fleet and in this domain.
bool
IsObsolete(const tables& aTables,
           const engine_view& aEngine,
           const resident_row& aResident)
{
  const artifact& held = aResident.content;
  if (IsCurrent(aTables, held)) {
    return false;
  }
  const fleet_view& view = aTables.view;
  const auto position = held.adapter ? PositionOf(aTables, held.adapter)
                                     : PositionOf(aTables, held.model);
  if (!position) {
    return true;
  }
  const std::size_t cell = *position * view.domains.size() + aEngine.domain;
  const bool isReplaced = held.adapter
                            ? view.adapters[*position].readyCurrent > 0 &&
                                view.adaptersInDomain[cell] > 0
                            : view.models[*position].readyCurrent > 0 &&
                                view.modelsInDomain[cell] > 0;
  return isReplaced && MayUnload(aTables, aResident);
}

} // namespace

// A resident that a late copy of its load may load again is kept: unloading it
// would free no memory.
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
          !MayBeReloadedLate(aTables, *resident) &&
          IsObsolete(aTables, view, *resident)) {
        IntendUnload(aTables, view, resident->content);
      }
    }
  }
}

} // namespace bulrush::placement
