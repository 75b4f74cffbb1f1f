#include "routing/parts.hpp"

#include <algorithm>
#include <cmath>

namespace bulrush::routing {

namespace {

constexpr double kPrefixBonus = 0.5;
constexpr double kBestMargin = 0.05;
constexpr int kMaxPriorityWeight = 4;
constexpr double kPriorityStep = 0.25;
/// A failed attempt costs a request about as much as all slots in use.
constexpr double kFailureWeight = 2.0;

/// Candidates of a better tier exclude all of a worse one.
enum class tier : std::uint8_t
{
  eOwnDomain,
  eOtherDomain,
  eDoubtful, ///< fell silent lately
  eTriedBefore,
  eNone
};

/// What one look at a holder gave.
struct look
{
  tier rank = tier::eNone;
  bool isUsable = false; ///< resident and serving, perhaps without a free slot
};

bool
IsServing(const endpoint_row& aEndpoint)
{
  return !aEndpoint.isGone && !aEndpoint.facts.isDraining &&
         !aEndpoint.facts.isDomainOut;
}

bool
HasVersion(const holder& aHolder, const request_facts& aFacts)
{
  return aFacts.version == 0 || aHolder.version == aFacts.version;
}

// Reports lag. What others had in flight fades with the age of the report;
// what this thread has in flight is known exactly.
double
EstimateLoad(const endpoint_row& aEndpoint,
             steady_time aNow,
             std::chrono::milliseconds aHorizon)
{
  const endpoint_facts& facts = aEndpoint.facts;
  const std::chrono::duration<double> age = aNow - facts.reportedAt;
  const std::chrono::duration<double> horizon = aHorizon;
  const double weight = std::clamp(1.0 - age / horizon, 0.0, 1.0);
  const std::uint32_t others =
    facts.reportedInFlight > aEndpoint.ownWhenReported
      ? facts.reportedInFlight - aEndpoint.ownWhenReported
      : 0;
  const std::uint32_t slots =
    aEndpoint.coldStart.isCold ? aEndpoint.coldStart.limit : facts.slots;
  return (aEndpoint.inFlight + others * weight) / std::max(1U, slots);
}

bool
HoldsPrefix(const tables& aTables, std::uint64_t aPrefix, endpoint_id aEndpoint)
{
  if (aPrefix == 0) {
    return false;
  }
  const prefix_slot& slot = aTables.prefixes[aPrefix % kPrefixSlots];
  return slot.prefix == aPrefix && slot.endpoint == aEndpoint;
}

// Old failures fade, so that an endpoint that nobody uses is tried again.
double
RecentFailures(const endpoint_row& aEndpoint,
               steady_time aNow,
               std::chrono::milliseconds aHalfLife)
{
  const std::chrono::duration<double> age = aNow - aEndpoint.failedAt;
  const std::chrono::duration<double> halfLife = aHalfLife;
  return aEndpoint.failureShare * std::exp2(-age / halfLife);
}

bool
IsMissing(const tables& aTables,
          const endpoint_row& aEndpoint,
          const request_facts& aFacts,
          steady_time aNow)
{
  return std::any_of(
    aTables.misses.begin(), aTables.misses.end(), [&](const miss_row& aMiss) {
      return aMiss.id == aEndpoint.id && aMiss.model == aFacts.model &&
             aMiss.adapter == aFacts.adapter && aNow < aMiss.until;
    });
}

// A broken stream goes on only where the engine resumes it from its offset.
bool
CanContinue(const endpoint_row& aEndpoint, const request_row& aRequest)
{
  return aRequest.forwarded == 0 || aEndpoint.facts.canResume;
}

// A second try at once finds out whether a packet was lost. Further ones would
// use up the request's attempts while the endpoint stays away.
bool
IsOutOfReach(const endpoint_row& aEndpoint,
             const request_row& aRequest,
             steady_time aNow)
{
  constexpr std::uint32_t kTriesAtOnce = 2;
  return aNow < aEndpoint.doubtUntil &&
         aRequest.attemptsUnsent >= kTriesAtOnce &&
         HasTried(aRequest, aEndpoint.id);
}

look
LookAt(const tables& aTables,
       endpoint_row& aEndpoint,
       const request_row& aRequest,
       steady_time aNow)
{
  look seen;
  if (!IsServing(aEndpoint) || !CanContinue(aEndpoint, aRequest) ||
      IsMissing(aTables, aEndpoint, aRequest.facts, aNow) ||
      IsOutOfReach(aEndpoint, aRequest, aNow)) {
    return seen;
  }
  seen.isUsable = true;
  if (aEndpoint.inFlight >= ConcurrencyLimit(aEndpoint) ||
      aNow < aEndpoint.avoidUntil || !MayStartCold(aTables, aEndpoint, aNow)) {
    return seen;
  }
  if (HasTried(aRequest, aEndpoint.id)) {
    seen.rank = tier::eTriedBefore;
  } else if (aNow < aEndpoint.doubtUntil) {
    seen.rank = tier::eDoubtful;
  } else if (aEndpoint.facts.domain == aTables.settings.ownDomain) {
    seen.rank = tier::eOwnDomain;
  } else {
    seen.rank = tier::eOtherDomain;
  }
  return seen;
}

double
Score(const tables& aTables,
      const endpoint_row& aEndpoint,
      const request_row& aRequest,
      steady_time aNow)
{
  const score_input input{
    aRequest.facts,
    aEndpoint,
    HoldsPrefix(aTables, aRequest.facts.prefix, aEndpoint.id),
    EstimateLoad(aEndpoint, aNow, aTables.settings.reportHorizon),
    RecentFailures(aEndpoint, aNow, aTables.settings.failureHalfLife)
  };
  return aTables.policy.score(input);
}

attempt_id
NewAttemptId(tables& aTables)
{
  attempt_id id;
  do {
    id.value = aTables.random();
  } while (!id || aTables.attempts.Find(id) != nullptr);
  return id;
}

// The budget is a share of the traffic: every first attempt adds to it.
void
CountAttempt(tables& aTables, request_row& aRequest, endpoint_id aEndpoint)
{
  if (aRequest.attemptsMade == 0) {
    retry_row& retries = RetriesOf(aTables, aRequest.facts.service);
    retries.budget = std::min(aTables.settings.retryBurst,
                              retries.budget + aTables.settings.retryShare);
  }
  aRequest.tried[aRequest.attemptsMade % kTriedEndpoints] = aEndpoint;
  ++aRequest.attemptsMade;
}

void
Start(tables& aTables,
      request_row& aRequest,
      endpoint_row& aEndpoint,
      steady_time aNow,
      outbox& aOutbox)
{
  attempt_row attempt;
  attempt.id = NewAttemptId(aTables);
  attempt.request = aRequest.id;
  attempt.endpoint = aEndpoint.id;
  attempt.coldEpoch = aEndpoint.coldStart.epoch;
  attempt.startedAt = aNow;
  const auto timeout =
    AttemptTimeout(aTables.settings, aRequest, TimeLeft(aRequest, aNow));
  attempt.dueAt = aNow + timeout;
  attempt.startOffset = aRequest.forwarded;
  attempt.received = aRequest.forwarded;

  if (aEndpoint.silences > 0) {
    DoubtSilent(aTables.settings, aEndpoint, aNow); // this one finds out
  }
  CountAttempt(aTables, aRequest, aEndpoint.id);
  RememberPrefix(aTables, aRequest.facts.prefix, aEndpoint.id);
  aRequest.attempt = attempt.id;
  aRequest.state = request_state::eRunning;
  ++aEndpoint.inFlight;
  if (IsGated(aTables, aEndpoint)) {
    attempt.gateIncarnation = aEndpoint.facts.incarnation;
    const steady_time ends = std::max(attempt.dueAt, aRequest.facts.deadline);
    aTables.policy.coldGate.enter(aEndpoint.facts, ends, aNow);
  }
  aEndpoint.coldBudget -= aEndpoint.coldStart.isCold ? 1.0 : 0.0;
  attempt.wasBusy = 2 * aEndpoint.inFlight >= ConcurrencyLimit(aEndpoint);
  aOutbox.starts.push_back(
    { attempt.id,
      aRequest.id,
      aEndpoint.id,
      aEndpoint.facts.address,
      !aRequest.facts.isIdempotent || !aEndpoint.facts.echoesAttempt,
      attempt.startOffset,
      timeout });
  aTables.attempts.Insert(attempt);
}

// Ran out of time while it waited: nothing is in flight for it.
void
EndWaiting(tables& aTables,
           request_row& aRequest,
           steady_time aNow,
           outbox& aOutbox)
{
  request_outcome outcome = aRequest.wasNotResident
                              ? request_outcome::eNotResident
                              : request_outcome::eNoSlot;
  if (aRequest.hasForwarded) {
    outcome = request_outcome::eBrokenStream;
  }
  EndRequest(
    aTables.settings, aRequest, outcome, RanSoFar(aRequest), aNow, aOutbox);
}

// Higher priority first, then in the order in which the fair queue of
// admission let them through.
bool
GoesFirst(const waiting_request& aLeft, const waiting_request& aRight)
{
  if (aLeft.priority != aRight.priority) {
    return aLeft.priority > aRight.priority;
  }
  return aLeft.arrival < aRight.arrival;
}

void
CollectWaiting(tables& aTables)
{
  aTables.full.clear();
  aTables.waiting.clear();
  for (const request_id id : aTables.attention) {
    const request_row& request = *aTables.requests.Find(id);
    if (request.state == request_state::eReady) {
      aTables.waiting.push_back(
        { request.facts.priority, request.arrival, id });
    }
  }
  std::sort(aTables.waiting.begin(), aTables.waiting.end(), GoesFirst);
}

// With many waiting for a model that has no slot, the first one's answer does
// for them all. One that was tried before may see other endpoints.
choice
ChooseOnce(tables& aTables, const request_row& aRequest, steady_time aNow)
{
  const request_facts& facts = aRequest.facts;
  const wanted_model wanted{ { facts.model, facts.adapter }, facts.version };
  const bool isFirst = aRequest.attemptsMade == 0;
  if (isFirst && std::find(aTables.full.begin(), aTables.full.end(), wanted) !=
                   aTables.full.end()) {
    return { 0, choice_failure::eNoSlot };
  }
  const choice chosen = ChooseEndpoint(aTables, aRequest, aNow);
  if (isFirst && chosen.failure == choice_failure::eNoSlot) {
    aTables.full.push_back(wanted);
  }
  return chosen;
}

} // namespace

// Load counts for more, the higher the priority: an urgent request would
// rather find an idle endpoint than a cached prefix.
double
ScoreByLoadAndPrefix(const score_input& aInput)
{
  const int priority =
    std::clamp(aInput.request.priority, 0, kMaxPriorityWeight);
  const double loadWeight = 1.0 + kPriorityStep * priority;
  return (aInput.hasPrefix ? kPrefixBonus : 0.0) - loadWeight * aInput.load -
         kFailureWeight * aInput.failures;
}

// Many hosts choose with the same late reports. Two random draws among the
// best keep them from all falling upon the one that looks idlest. The first
// draw wins a tie: else the candidate listed first would be used most.
std::size_t
PickTwoRandom(std::span<const candidate> aCandidates, random_engine& aRandom)
{
  double best = aCandidates[0].score;
  for (const candidate& each : aCandidates) {
    best = std::max(best, each.score);
  }
  const double bar = best - kBestMargin;
  const auto isGood = [bar](const candidate& aEach) {
    return aEach.score >= bar;
  };
  const auto count = static_cast<std::uint64_t>(
    std::count_if(aCandidates.begin(), aCandidates.end(), isGood));
  const std::uint64_t first = aRandom() % count;
  const std::uint64_t second = aRandom() % count;
  std::uint64_t ordinal = 0;
  std::size_t firstAt = 0;
  std::size_t secondAt = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (!isGood(aCandidates[i])) {
      continue;
    }
    firstAt = ordinal == first ? i : firstAt;
    secondAt = ordinal == second ? i : secondAt;
    ++ordinal;
  }
  const bool isSecondBetter =
    aCandidates[secondAt].score > aCandidates[firstAt].score;
  return isSecondBetter ? secondAt : firstAt;
}

pick_hook
MakeRoundRobin()
{
  return [turn = std::size_t{ 0 }](std::span<const candidate> aCandidates,
                                   random_engine& /*aRandom*/) mutable {
    return turn++ % aCandidates.size();
  };
}

bool
HasTried(const request_row& aRequest, endpoint_id aEndpoint)
{
  return std::find(aRequest.tried.begin(), aRequest.tried.end(), aEndpoint) !=
         aRequest.tried.end();
}

void
RememberPrefix(tables& aTables, std::uint64_t aPrefix, endpoint_id aEndpoint)
{
  if (aPrefix != 0) {
    aTables.prefixes[aPrefix % kPrefixSlots] = { aPrefix, aEndpoint };
  }
}

// True when an endpoint that takes work and holds the request's model in its
// version fits.
template<class predicate>
static bool
AnyHolder(const tables& aTables, const request_facts& aFacts, predicate aFits)
{
  const auto found = aTables.holders.find({ aFacts.model, aFacts.adapter });
  if (found == aTables.holders.end()) {
    return false;
  }
  const auto rows = aTables.endpoints.Rows();
  return std::any_of(
    found->second.begin(), found->second.end(), [&](const holder& aHolder) {
      const endpoint_row& endpoint = rows[aHolder.position];
      return HasVersion(aHolder, aFacts) && IsServing(endpoint) &&
             aFits(endpoint);
    });
}

bool
HasOtherEndpoint(tables& aTables, const request_row& aRequest, steady_time aNow)
{
  IndexHolders(aTables);
  return AnyHolder(aTables, aRequest.facts, [&](const endpoint_row& aEndpoint) {
    return CanContinue(aEndpoint, aRequest) &&
           !HasTried(aRequest, aEndpoint.id) && aNow >= aEndpoint.doubtUntil;
  });
}

bool
CanResumeSomewhere(const tables& aTables, const request_row& aRequest)
{
  return AnyHolder(aTables, aRequest.facts, [](const endpoint_row& aEndpoint) {
    return aEndpoint.facts.canResume;
  });
}

// The own failure domain comes first: another is a longer way and may be cut
// off. An endpoint that was tried is used again only if no other could ever
// serve the request.
choice
ChooseEndpoint(tables& aTables, const request_row& aRequest, steady_time aNow)
{
  IndexHolders(aTables);
  const request_facts& facts = aRequest.facts;
  const auto found = aTables.holders.find({ facts.model, facts.adapter });
  if (found == aTables.holders.end()) {
    return { 0, choice_failure::eNotResident };
  }
  aTables.candidates.clear();
  tier best = tier::eNone;
  bool hasUsable = false;
  bool hasUntried = false;
  const auto rows = aTables.endpoints.Rows();
  for (const holder& each : found->second) {
    endpoint_row& endpoint = rows[each.position];
    if (!HasVersion(each, facts)) {
      continue;
    }
    const look seen = LookAt(aTables, endpoint, aRequest, aNow);
    hasUsable |= seen.isUsable;
    hasUntried |= seen.isUsable && !HasTried(aRequest, endpoint.id);
    if (seen.rank == tier::eNone || seen.rank > best) {
      continue;
    }
    if (seen.rank < best) {
      aTables.candidates.clear();
      best = seen.rank;
    }
    aTables.candidates.push_back(
      { each.position, Score(aTables, endpoint, aRequest, aNow) });
  }
  if (!hasUsable) {
    return { 0, choice_failure::eNotResident };
  }
  const bool mustWait = best == tier::eTriedBefore && hasUntried;
  if (aTables.candidates.empty() || mustWait) {
    return { 0, choice_failure::eNoSlot };
  }
  const std::size_t picked =
    aTables.policy.pick(aTables.candidates, aTables.random);
  return { aTables.candidates[picked].position, std::nullopt };
}

bool
IsServed(tables& aTables, const wanted_model& aWanted)
{
  IndexHolders(aTables);
  const auto found = aTables.holders.find(aWanted.key);
  if (found == aTables.holders.end()) {
    return false;
  }
  const auto rows = aTables.endpoints.Rows();
  return std::any_of(
    found->second.begin(), found->second.end(), [&](const holder& aHolder) {
      return aHolder.version == aWanted.version &&
             IsServing(rows[aHolder.position]);
    });
}

std::uint32_t
FreeSlots(tables& aTables, const model_key& aKey)
{
  IndexHolders(aTables);
  const auto found = aTables.holders.find(aKey);
  if (found == aTables.holders.end()) {
    return 0;
  }
  std::uint32_t freeSlots = 0;
  for (const holder& each : found->second) {
    const endpoint_row& endpoint = aTables.endpoints.Rows()[each.position];
    const std::uint32_t limit = ConcurrencyLimit(endpoint);
    if (IsServing(endpoint) && limit > endpoint.inFlight) {
      freeSlots += limit - endpoint.inFlight;
    }
  }
  return freeSlots;
}

// A request that waits for an endpoint to be tried again is looked at then.
static void
WakeForAvoided(const tables& aTables, steady_time aNow, wake_time& aWake)
{
  for (const endpoint_row& endpoint : aTables.endpoints) {
    for (const steady_time until :
         { endpoint.avoidUntil, endpoint.doubtUntil }) {
      if (aNow < until) {
        aWake.NoLaterThan(until);
      }
    }
  }
}

// The deadline is checked here, at the point of use: a thread that was frozen
// sends nothing that is overdue.
void
RunChoose(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  CollectWaiting(aTables);
  for (const waiting_request& each : aTables.waiting) {
    request_row& request = *aTables.requests.Find(each.id);
    if (aNow >= std::min(request.facts.deadline, aTables.settings.placeBy)) {
      EndWaiting(aTables, request, aNow, aOutbox);
      continue;
    }
    const choice chosen = ChooseOnce(aTables, request, aNow);
    request.wasNotResident = chosen.failure == choice_failure::eNotResident;
    if (chosen.failure && aNow >= request.facts.placeBy) {
      EndWaiting(aTables, request, aNow, aOutbox);
      continue;
    }
    if (chosen.failure) {
      WakeForAvoided(aTables, aNow, aOutbox.wake);
    }
    if (!chosen.failure) {
      endpoint_row& endpoint = aTables.endpoints.Rows()[chosen.position];
      Start(aTables, request, endpoint, aNow, aOutbox);
    }
  }
}

} // namespace bulrush::routing
