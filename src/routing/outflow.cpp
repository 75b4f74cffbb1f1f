#include "routing/parts.hpp"

#include <algorithm>

namespace bulrush::routing {

namespace {

constexpr std::chrono::milliseconds kDecisionInterval{ 100 };
/// A target that was not requested for this long no longer decides.
constexpr std::chrono::seconds kTargetLifetime{ 10 };
constexpr double kLoggedChange = 0.1;
constexpr std::chrono::seconds kLogInterval{ 1 };

model_id
OutflowId(const request_facts& aFacts)
{
  return aFacts.adapter ? model_id{ aFacts.adapter.value } : aFacts.model;
}

// The other domains may be partitioned off, so only endpoints whose load is
// recent have room there.
bool
HasKnownRoom(const tables& aTables,
             const endpoint_row& aEndpoint,
             steady_time aNow)
{
  const bool isLocal = aEndpoint.facts.domain == aTables.settings.localDomain;
  const bool isRecent =
    aEndpoint.facts.reportedInFlight &&
    aNow - aEndpoint.facts.reportedAt < aTables.settings.maxReportAge;
  return IsServing(aEndpoint) && !IsSuspect(aEndpoint, aNow) &&
         (isLocal || isRecent);
}

room::domain_room&
RoomOf(std::vector<room::domain_room>& aDomains, domain_id aDomain)
{
  for (room::domain_room& each : aDomains) {
    if (each.id == aDomain) {
      return each;
    }
  }
  aDomains.push_back({ .id = aDomain });
  return aDomains.back();
}

// The local domain is listed first. The times are weighted by slots.
void
CollectRooms(tables& aTables,
             const request_row& aRequest,
             std::span<const holder> aHolders,
             const model_load& aLoad,
             steady_time aNow)
{
  auto& domains = aTables.domains;
  domains.clear();
  RoomOf(domains, aTables.settings.localDomain);
  for (const holder& each : aHolders) {
    const endpoint_row& endpoint = aTables.endpoints.Rows()[each.position];
    if (!HasKnownRoom(aTables, endpoint, aNow)) {
      continue;
    }
    const double slots = std::max(1U, endpoint.facts.slots);
    const time_input input{ aRequest, endpoint, aLoad, aNow };
    room::domain_room& domain = RoomOf(domains, endpoint.facts.domain);
    const auto sum = domain.wait * domain.slots +
                     aTables.policy.expectedTime(input).total * slots;
    domain.slots += slots;
    domain.requests += endpoint.facts.reportedInFlight.value_or(0);
    domain.wait =
      std::chrono::duration_cast<std::chrono::microseconds>(sum / domain.slots);
  }
}

// Requests of the shortest target decide for all of their model.
bool
IsDecisionDue(outflow_state_row& aState,
              const request_facts& aFacts,
              steady_time aNow)
{
  if (aFacts.targetFirstByte > aState.target &&
      aNow < aState.targetSeenAt + kTargetLifetime) {
    return false;
  }
  aState.target = aFacts.targetFirstByte;
  aState.targetSeenAt = aNow;
  return aNow >= aState.decideAt;
}

std::chrono::microseconds
ShortestWait(std::span<const room::domain_room> aOthers)
{
  auto shortest = std::chrono::microseconds::max();
  for (const room::domain_room& each : aOthers) {
    shortest = std::min(shortest, each.wait);
  }
  return aOthers.empty() ? std::chrono::microseconds{ 0 } : shortest;
}

void
ReportChange(tables& aTables,
             outflow_state_row& aState,
             const room::outflow_row& aRow,
             steady_time aNow)
{
  const double change = aRow.share - aState.loggedShare;
  if (std::max(change, -change) <= kLoggedChange ||
      aNow < aState.loggedAt + kLogInterval) {
    return;
  }
  aState.loggedShare = aRow.share;
  aState.loggedAt = aNow;
  const std::span<const room::domain_room> domains = aTables.domains;
  aTables.outflowChanges.push_back(
    { aRow, domains.front().wait, ShortestWait(domains.subspan(1)) });
}

void
DecideShare(tables& aTables,
            outflow_state_row& aState,
            const request_row& aRequest,
            std::span<const holder> aHolders,
            const model_load& aLoad,
            steady_time aNow)
{
  CollectRooms(aTables, aRequest, aHolders, aLoad, aNow);
  const std::span<const room::domain_room> domains = aTables.domains;
  const room::model_room room{
    aState.id, domains.front(), domains.subspan(1), aState.target, aLoad.meanRun
  };
  aState.decideAt = aNow + kDecisionInterval;
  const room::outflow_row row = room::DecideOutflow(
    aTables.outflows, room, { .cost = aTables.settings.outflowCost }, aNow);
  ReportChange(aTables, aState, row, aNow);
}

} // namespace

bool
MayLeaveDomain(tables& aTables,
               const request_row& aRequest,
               std::span<const holder> aHolders,
               const model_load& aLoad,
               steady_time aNow)
{
  if (aTables.settings.outflowCost.count() == 0) {
    return false;
  }
  const model_id id = OutflowId(aRequest.facts);
  outflow_state_row* state = aTables.outflowStates.Find(id);
  if (state == nullptr) {
    aTables.outflowStates.Insert({ .id = id });
    state = aTables.outflowStates.Find(id);
  }
  if (IsDecisionDue(*state, aRequest.facts, aNow)) {
    DecideShare(aTables, *state, aRequest, aHolders, aLoad, aNow);
  }
  const room::outflow_row* row = aTables.outflows.Find(id);
  constexpr std::uint64_t kDraws = 1'000'000;
  return row != nullptr && row->share > 0 &&
         static_cast<double>(aTables.random() % kDraws) < row->share * kDraws;
}

// Bounded by one change of each model in a second.
void
RunOutflow(tables& aTables, steady_time /*aNow*/, outbox& aOutbox)
{
  aOutbox.outflows.insert(aOutbox.outflows.end(),
                          aTables.outflowChanges.begin(),
                          aTables.outflowChanges.end());
  aTables.outflowChanges.clear();
}

} // namespace bulrush::routing
