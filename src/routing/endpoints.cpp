#include "routing/parts.hpp"

#include <algorithm>

namespace bulrush::routing {

// A cold endpoint fails under full load, so the limit is reset at once and
// raised by successes. The new epoch excludes results of attempts that were
// started before the reset.
void
ResetToCold(endpoint_row& aEndpoint)
{
  cold_start_state& state = aEndpoint.coldStart;
  state.isCold = true;
  state.limit = aEndpoint.facts.coldSlots;
  state.samples = 0;
  state.meanFirstByte = std::chrono::microseconds{ 0 };
  ++state.epoch;
}

// The statement holds for one process of the endpoint only.
static bool
IsKnownLeaving(const tables& aTables, const endpoint_facts& aFacts)
{
  const leaving_row* row = aTables.leaving.Find(aFacts.id);
  return row != nullptr && row->incarnation == aFacts.incarnation;
}

void
MarkLeaving(tables& aTables, const attempt_row& aAttempt, steady_time aNow)
{
  aTables.leaving.EraseIf([&](const leaving_row& aRow) {
    return aTables.endpoints.Find(aRow.id) == nullptr &&
           aRow.statedAt + aTables.settings.leavingLifetime <= aNow;
  });
  const leaving_row* known = aTables.leaving.Find(aAttempt.endpoint);
  if (known != nullptr && known->incarnation > aAttempt.incarnation) {
    return;
  }
  aTables.leaving.Insert({ aAttempt.endpoint, aAttempt.incarnation, aNow });
  endpoint_row& endpoint = *aTables.endpoints.Find(aAttempt.endpoint);
  endpoint.isLeaving = IsKnownLeaving(aTables, endpoint.facts);
}

// A new endpoint is assumed cold, since this host cannot know, unless the
// endpoint reports its cold state.
static void
AddEndpoint(tables& aTables, const endpoint_facts& aFacts)
{
  endpoint_row row;
  row.id = aFacts.id;
  row.facts = aFacts;
  if (!aFacts.reportsColdState || aFacts.reportsCold) {
    ResetToCold(row);
  } else {
    row.coldStart.isCold = false;
  }
  row.isLeaving = IsKnownLeaving(aTables, aFacts);
  aTables.endpoints.Insert(std::move(row));
  aTables.holdersAreStale = true;
}

// A report counts the requests of all hosts. The requests that this thread had
// in flight at that time are kept, to compute the share of other hosts.
void
UpdateEndpoint(tables& aTables, const endpoint_facts& aFacts)
{
  endpoint_row* row = aTables.endpoints.Find(aFacts.id);
  if (row == nullptr) {
    AddEndpoint(aTables, aFacts);
    return;
  }
  const bool isRestarted = row->facts.incarnation != aFacts.incarnation;
  if (aFacts.reportedInFlight && aFacts.reportedAt > row->facts.reportedAt) {
    row->inFlightWhenReported = row->inFlight;
  }
  const auto toldInFlight = row->facts.reportedInFlight;
  const steady_time toldAt = row->facts.reportedAt;
  row->facts = aFacts;
  if (!aFacts.reportedInFlight && !isRestarted) {
    row->facts.reportedInFlight = toldInFlight; // by an answer
    row->facts.reportedAt = toldAt;
  }
  row->isRemoved = false;
  row->isLeaving = IsKnownLeaving(aTables, aFacts);
  if (isRestarted) {
    row->slowdown = std::nullopt;
    row->reportedQueued = 0;
    row->avoidUntil = {}; // its former process requested the backoff
    ClearBroken(*row);
  }
  if (aFacts.reportsColdState) {
    row->coldStart.isCold = aFacts.reportsCold;
    row->coldStart.limit = aFacts.coldSlots;
  } else if (isRestarted || aFacts.reportsCold) {
    ResetToCold(*row);
  }
}

void
OnEndpointLoad(tables& aTables,
               endpoint_id aEndpoint,
               const endpoint_load& aLoad,
               steady_time aNow)
{
  endpoint_row* row = aTables.endpoints.Find(aEndpoint);
  if (row != nullptr) {
    row->facts.reportedInFlight = aLoad.running + aLoad.queued;
    row->facts.reportedAt = aNow;
    row->inFlightWhenReported = row->inFlight;
    row->reportedQueued = aLoad.queued;
    row->slowdown = aLoad.slowdown;
  }
}

// How many requests of this thread the endpoint had at the observation is not
// known, so the present number stands for it. A load below that number was
// observed before some of them arrived there.
bool
OnSharedLoad(tables& aTables,
             endpoint_id aEndpoint,
             std::uint64_t aIncarnation,
             const endpoint_load& aLoad,
             steady_time aObservedAt)
{
  endpoint_row* row = aTables.endpoints.Find(aEndpoint);
  if (row == nullptr || row->facts.incarnation != aIncarnation) {
    return false;
  }
  if (row->facts.reportedInFlight && row->facts.reportedAt >= aObservedAt) {
    return false;
  }
  OnEndpointLoad(aTables, aEndpoint, aLoad, aObservedAt);
  row->facts.reportedInFlight =
    std::max(aLoad.running + aLoad.queued, row->inFlight);
  return true;
}

bool
IsColdGated(const tables& aTables, const endpoint_row& aEndpoint)
{
  return aTables.policy.coldGate.isOpen && aEndpoint.coldStart.isCold &&
         aEndpoint.facts.reportsCold;
}

// Token bucket with a capacity of 0.25 s, at least one request: the endpoint is
// limited to a rate and must not get a burst after a pause.
bool
HasColdCapacity(const tables& aTables,
                endpoint_row& aEndpoint,
                steady_time aNow)
{
  if (IsColdGated(aTables, aEndpoint)) {
    return aTables.policy.coldGate.isOpen(aEndpoint.facts, aNow);
  }
  const double rate = aEndpoint.facts.coldRequestRate;
  if (!aEndpoint.coldStart.isCold || rate <= 0) {
    return true;
  }
  constexpr double kBurstSeconds = 0.25;
  const std::chrono::duration<double> since =
    aNow - aEndpoint.coldBudgetFilledAt;
  aEndpoint.coldBudgetFilledAt = aNow;
  aEndpoint.coldBudget = std::min(std::max(1.0, rate * kBurstSeconds),
                                  aEndpoint.coldBudget + rate * since.count());
  return aEndpoint.coldBudget >= 1.0;
}

void
MarkSuspect(const options& aOptions, endpoint_row& aEndpoint, steady_time aNow)
{
  constexpr std::uint32_t kMaxDoublings = 2;
  const std::uint32_t doublings =
    std::min(aEndpoint.unansweredAttempts - 1, kMaxDoublings);
  aEndpoint.suspectUntil = aNow + aOptions.suspectDuration * (1U << doublings);
}

void
MarkBroken(const options& aOptions, endpoint_row& aEndpoint, steady_time aNow)
{
  aEndpoint.brokenAt = aNow;
  ++aEndpoint.brokenAnswers;
  AvoidBroken(aOptions, aEndpoint, aNow);
}

void
AvoidBroken(const options& aOptions, endpoint_row& aEndpoint, steady_time aNow)
{
  constexpr std::uint32_t kMinBrokenAnswers = 2;
  constexpr std::uint32_t kMaxDoublings = 5;
  if (aEndpoint.brokenAnswers >= kMinBrokenAnswers) {
    const std::uint32_t doublings =
      std::min(aEndpoint.brokenAnswers - kMinBrokenAnswers, kMaxDoublings);
    aEndpoint.brokenUntil = aNow + aOptions.brokenDuration * (1U << doublings);
  }
}

void
ClearBroken(endpoint_row& aEndpoint)
{
  aEndpoint.brokenAnswers = 0;
  aEndpoint.brokenUntil = {};
}

bool
IsSuspect(const endpoint_row& aEndpoint, steady_time aNow)
{
  return aNow < aEndpoint.suspectUntil || aNow < aEndpoint.brokenUntil;
}

// The row is kept while attempts are in flight, because their ends update it.
void
RemoveEndpoint(tables& aTables, endpoint_id aEndpoint)
{
  endpoint_row* row = aTables.endpoints.Find(aEndpoint);
  if (row != nullptr) {
    row->isRemoved = true;
    aTables.hasRemovedEndpoints = true;
  }
}

// Most reports repeat the same residents; only a change invalidates the index.
void
SetResidents(tables& aTables,
             endpoint_id aEndpoint,
             std::vector<resident> aResidents)
{
  std::sort(aResidents.begin(), aResidents.end());
  const resident_row* row = aTables.residents.Find(aEndpoint);
  if (row != nullptr && row->residents == aResidents) {
    return;
  }
  aTables.residents.Insert({ aEndpoint, std::move(aResidents) });
  aTables.holdersAreStale = true;
}

// An allotment is valid for one incarnation; for any other the limit is 0.
std::uint32_t
ConcurrencyLimit(const endpoint_row& aEndpoint)
{
  const endpoint_facts& facts = aEndpoint.facts;
  if (facts.allottedIncarnation != facts.incarnation) {
    return 0;
  }
  const cold_start_state& state = aEndpoint.coldStart;
  const std::uint32_t limit =
    state.isCold ? std::min(state.limit, facts.slots) : facts.slots;
  return std::min(limit, facts.allottedSlots);
}

// Rebuilt completely when residents change, a few times per second at most.
// That is simpler and less error-prone than incremental updates.
void
IndexHolders(tables& aTables)
{
  if (!aTables.holdersAreStale) {
    return;
  }
  for (auto& [key, holders] : aTables.holders) {
    holders.clear();
  }
  std::uint32_t position = 0;
  for (const endpoint_row& endpoint : aTables.endpoints) {
    const resident_row* row = aTables.residents.Find(endpoint.id);
    if (row != nullptr) {
      for (const resident& loaded : row->residents) {
        aTables.holders[{ loaded.model, loaded.adapter }].push_back(
          { position, loaded.version });
      }
    }
    ++position;
  }
  std::erase_if(aTables.holders,
                [](const auto& aEntry) { return aEntry.second.empty(); });
  aTables.holdersAreStale = false;
}

void
RunIndexHolders(tables& aTables, steady_time /*aNow*/, outbox& /*aOutbox*/)
{
  IndexHolders(aTables);
}

} // namespace bulrush::routing
