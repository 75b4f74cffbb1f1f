#include "routing/check.hpp"
#include "routing/holders.hpp"

#include <algorithm>
#include <cmath>

namespace bulrush::routing {

namespace {

constexpr double kPrefixBonus = 0.5;
constexpr double kBestMargin = 0.05;
constexpr int kMaxPriorityWeight = 4;
constexpr double kPriorityStep = 0.25;
/// A failed attempt costs a request about as much as a fully loaded endpoint.
constexpr double kFailureWeight = 2.0;

// Reports are stale: requests of other hosts lose weight with the age of the
// report. Requests of this thread are counted exactly, and are all that is
// known of an endpoint that does not tell its load.
double
EstimateLoad(const endpoint_row& aEndpoint,
             steady_time aNow,
             std::chrono::milliseconds aMaxAge)
{
  const endpoint_facts& facts = aEndpoint.facts;
  const std::chrono::duration<double> age = aNow - facts.reportedAt;
  const std::chrono::duration<double> maxAge = aMaxAge;
  const double weight = std::clamp(1.0 - age / maxAge, 0.0, 1.0);
  const std::uint32_t reported = facts.reportedInFlight.value_or(0);
  const std::uint32_t others = reported > aEndpoint.inFlightWhenReported
                                 ? reported - aEndpoint.inFlightWhenReported
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

// Failures decay with time, so that an endpoint without traffic is used again.
double
RecentFailureShare(const endpoint_row& aEndpoint,
                   steady_time aNow,
                   std::chrono::milliseconds aHalfLife)
{
  const std::chrono::duration<double> age = aNow - aEndpoint.failedAt;
  const std::chrono::duration<double> halfLife = aHalfLife;
  return aEndpoint.failureShare * std::exp2(-age / halfLife);
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
    EstimateLoad(aEndpoint, aNow, aTables.settings.maxReportAge),
    RecentFailureShare(aEndpoint, aNow, aTables.settings.failureHalfLife)
  };
  return aTables.policy.score(input);
}

// The expected time applies to requests with a target that are scheduled by it,
// and once an endpoint of their model tells its slowdown; nullopt otherwise.
std::optional<model_load>
LoadOfModel(const tables& aTables,
            const request_facts& aFacts,
            std::span<const holder> aHolders)
{
  if (aFacts.targetFirstByte.count() == 0) {
    return std::nullopt;
  }
  model_load load;
  for (const holder& each : aHolders) {
    const endpoint_row& endpoint = aTables.endpoints.Rows()[each.position];
    if (HasVersion(each, aFacts) && IsServing(endpoint)) {
      AddToModelLoad(load, endpoint);
    }
  }
  if (load.countOfSlowdowns == 0 && !aFacts.isScheduledByTarget) {
    return std::nullopt;
  }
  FinishModelLoad(load);
  return load;
}

time_estimate
Estimate(const tables& aTables,
         const endpoint_row& aEndpoint,
         const request_row& aRequest,
         const model_load& aLoad,
         steady_time aNow)
{
  const request_facts& facts = aRequest.facts;
  const options& settings = aTables.settings;
  const bool isCached = HoldsPrefix(aTables, facts.prefix, aEndpoint.id);
  return aTables.policy.expectedTime(
    { aRequest,
      aEndpoint,
      aLoad,
      aNow,
      isCached ? facts.prefixTokens : 0,
      RecentFailureShare(aEndpoint, aNow, settings.failureHalfLife),
      aEndpoint.facts.domain != settings.localDomain,
      settings.outflowCost });
}

// Score in units of the request's target.
candidate
RateByTime(const tables& aTables,
           std::uint32_t aPosition,
           const request_row& aRequest,
           const model_load& aLoad,
           steady_time aNow)
{
  const endpoint_row& endpoint = aTables.endpoints.Rows()[aPosition];
  const auto expected =
    Estimate(aTables, endpoint, aRequest, aLoad, aNow).total;
  const std::chrono::duration<double> time = expected;
  return { aPosition, -(time / aRequest.facts.targetFirstByte), expected };
}

// Rendezvous hash: the order of the others stays when an endpoint comes or
// goes. The constants are those of SplitMix64.
std::uint64_t
RankOf(std::uint64_t aHost, endpoint_id aEndpoint)
{
  std::uint64_t value = aHost ^ (aEndpoint.value * 0x9E3779B97F4A7C15U);
  value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9U;
  value = (value ^ (value >> 27U)) * 0x94D049BB133111EBU;
  return value ^ (value >> 31U);
}

// A third of the endpoints is enough to spread the load of a host, and a host
// with few requests keeps its connections to these in use.
void
MarkOwn(tables& aTables, std::span<const holder> aHolders)
{
  constexpr std::size_t kOwnPart = 3;
  const std::uint64_t host = aTables.settings.seed;
  const auto rows = aTables.endpoints.Rows();
  auto& ranks = aTables.ranks;
  ranks.clear();
  for (const holder& each : aHolders) {
    if (IsServing(rows[each.position])) {
      ranks.push_back(RankOf(host, rows[each.position].id));
    }
  }
  const auto last =
    ranks.begin() + static_cast<std::ptrdiff_t>((ranks.size() - 1) / kOwnPart);
  std::nth_element(ranks.begin(), last, ranks.end());
  for (candidate& each : aTables.candidates) {
    each.isOwn = RankOf(host, rows[each.position].id) <= *last;
  }
}

choice
PickByTime(tables& aTables,
           const request_row& aRequest,
           std::span<const holder> aHolders,
           const model_load& aLoad,
           steady_time aNow)
{
  MarkOwn(aTables, aHolders);
  const std::size_t picked =
    aTables.policy.pickByTime(aTables.candidates, aTables.random);
  const std::uint32_t position = aTables.candidates[picked].position;
  const endpoint_row& endpoint = aTables.endpoints.Rows()[position];
  return { position,
           std::nullopt,
           {},
           Estimate(aTables, endpoint, aRequest, aLoad, aNow) };
}

/// What is known after all endpoints of a model were checked.
struct candidate_search
{
  tier best = tier::eNone;
  bool hasUsable = false;
  bool hasUntried = false;
  bool isHeldBack = false; ///< an endpoint with a slot was left to others
  steady_time availableAt = steady_time::max(); ///< no endpoint accepts before
};

// Adds the result of one check. True if the endpoint is a candidate.
bool
AddCheck(candidate_search& aSearch,
         std::vector<candidate>& aCandidates,
         const endpoint_row& aEndpoint,
         const endpoint_check& aChecked,
         const request_row& aRequest)
{
  if (aChecked.isUsable) {
    aSearch.hasUsable = true;
    aSearch.availableAt = std::min(aSearch.availableAt, aEndpoint.avoidUntil);
    aSearch.hasUntried |= !HasTried(aRequest, aEndpoint.id);
    aSearch.isHeldBack |= aChecked.isHeldBack;
  }
  if (aChecked.rank == tier::eNone || aChecked.rank > aSearch.best) {
    return false;
  }
  if (aChecked.rank < aSearch.best) {
    aCandidates.clear();
    aSearch.best = aChecked.rank;
  }
  return true;
}

// Fills tables::candidates with the endpoints of the best tier. Where requests
// may leave the domain, the cost of that is in the expected time.
candidate_search
CollectCandidates(tables& aTables,
                  const request_row& aRequest,
                  std::span<const holder> aHolders,
                  const std::optional<model_load>& aLoad,
                  steady_time aNow)
{
  aTables.candidates.clear();
  const bool mayLeaveDomain =
    aLoad && MayLeaveDomain(aTables, aRequest, aHolders, *aLoad, aNow);
  candidate_search search;
  for (const holder& each : aHolders) {
    if (!HasVersion(each, aRequest.facts)) {
      continue;
    }
    endpoint_row& endpoint = aTables.endpoints.Rows()[each.position];
    endpoint_check checked = CheckEndpoint(aTables, endpoint, aRequest, aNow);
    if (mayLeaveDomain && checked.rank == tier::eOtherDomain) {
      checked.rank = tier::eLocalDomain;
    }
    if (AddCheck(search, aTables.candidates, endpoint, checked, aRequest)) {
      aTables.candidates.push_back(
        aLoad ? RateByTime(aTables, each.position, aRequest, *aLoad, aNow)
              : candidate{ each.position,
                           Score(aTables, endpoint, aRequest, aNow) });
    }
  }
  return search;
}

} // namespace

// The weight of the load rises with priority: for an urgent request an idle
// endpoint is better than a cached prefix.
double
ScoreByLoadAndPrefix(const score_input& aInput)
{
  const int priority =
    std::clamp(aInput.request.priority, 0, kMaxPriorityWeight);
  const double loadWeight = 1.0 + kPriorityStep * priority;
  return (aInput.hasPrefix ? kPrefixBonus : 0.0) - loadWeight * aInput.load -
         kFailureWeight * aInput.failures;
}

// Power of two choices. Many hosts choose from the same stale reports; two
// random draws among the best keep them from all picking the least loaded one.
// The first draw wins a tie: otherwise the candidate listed first would be
// chosen more often.
std::size_t
PickTwoRandom(std::span<const candidate> aCandidates, random_engine& aRandom)
{
  double best = aCandidates[0].score;
  for (const candidate& each : aCandidates) {
    best = std::max(best, each.score);
  }
  const double threshold = best - kBestMargin;
  const auto isNearBest = [threshold](const candidate& aCandidate) {
    return aCandidate.score >= threshold;
  };
  const auto count = static_cast<std::uint64_t>(
    std::count_if(aCandidates.begin(), aCandidates.end(), isNearBest));
  const std::uint64_t first = aRandom() % count;
  const std::uint64_t second = aRandom() % count;
  std::uint64_t ordinal = 0;
  std::size_t firstAt = 0;
  std::size_t secondAt = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (!isNearBest(aCandidates[i])) {
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

void
RecordPrefix(tables& aTables, std::uint64_t aPrefix, endpoint_id aEndpoint)
{
  if (aPrefix != 0) {
    aTables.prefixes[aPrefix % kPrefixSlots] = { aPrefix, aEndpoint };
  }
}

namespace {

// Whether an endpoint has a free slot as far as is known: by its report, as
// long as that counts, and by what this thread has sent there.
bool
HasFreeSlot(const tables& aTables,
            const endpoint_row& aEndpoint,
            steady_time aNow)
{
  const endpoint_facts& facts = aEndpoint.facts;
  const bool isRecent = aNow < facts.reportedAt + aTables.settings.maxReportAge;
  const std::uint32_t reported =
    isRecent ? facts.reportedInFlight.value_or(0) : 0;
  const std::uint32_t others =
    reported - std::min(reported, aEndpoint.inFlightWhenReported);
  return aEndpoint.inFlight + others < facts.slots;
}

} // namespace

// A stream that has begun leaves its endpoint only for one with a free slot:
// an endpoint that is full rejects it, and then it has ended for its caller
// although the former endpoint worked on it.
bool
HasOtherEndpoint(tables& aTables, const request_row& aRequest, steady_time aNow)
{
  IndexHolders(aTables);
  const bool mayWait = aNow < std::min(aRequest.facts.placementDeadline,
                                       aTables.settings.placementDeadline);
  const auto accepts = [&](const endpoint_row& aEndpoint) {
    endpoint_row& endpoint = *aTables.endpoints.Find(aEndpoint.id);
    return CheckEndpoint(aTables, endpoint, aRequest, aNow).rank != tier::eNone;
  };
  return AnyHolder(aTables, aRequest.facts, [&](const endpoint_row& aEndpoint) {
    return CanResumeStream(aEndpoint, aRequest) &&
           !HasTried(aRequest, aEndpoint.id) && !IsSuspect(aEndpoint, aNow) &&
           (!aRequest.hasForwarded || HasFreeSlot(aTables, aEndpoint, aNow)) &&
           (mayWait || accepts(aEndpoint));
  });
}

bool
CanResumeSomewhere(const tables& aTables, const request_row& aRequest)
{
  return AnyHolder(aTables, aRequest.facts, [](const endpoint_row& aEndpoint) {
    return aEndpoint.facts.canResume;
  });
}

// The local failure domain is preferred: another one has more latency and may
// be partitioned off. A tried endpoint is used again only if no untried one
// could serve the request.
choice
ChooseEndpoint(tables& aTables, const request_row& aRequest, steady_time aNow)
{
  IndexHolders(aTables);
  const auto holders = FindHolders(aTables, aRequest.facts);
  const auto load = LoadOfModel(aTables, aRequest.facts, holders);
  const candidate_search found =
    CollectCandidates(aTables, aRequest, holders, load, aNow);
  if (!found.hasUsable) {
    return { 0, choice_failure::eNotResident, {} };
  }
  const bool mustWait = found.best == tier::eTriedBefore && found.hasUntried;
  if (aTables.candidates.empty() || mustWait) {
    return { 0,
             choice_failure::eNoSlot,
             found.availableAt,
             std::nullopt,
             found.isHeldBack };
  }
  if (load) {
    return PickByTime(aTables, aRequest, holders, *load, aNow);
  }
  const std::size_t picked =
    aTables.policy.pick(aTables.candidates, aTables.random);
  return { aTables.candidates[picked].position, std::nullopt, {} };
}

std::chrono::milliseconds
TimeUntilAccepted(tables& aTables,
                  const request_row& aRequest,
                  steady_time aNow)
{
  IndexHolders(aTables);
  steady_time earliest = steady_time::max();
  AnyHolder(aTables, aRequest.facts, [&](const endpoint_row& aEndpoint) {
    earliest = std::min(earliest, aEndpoint.avoidUntil);
    return earliest <= aNow;
  });
  const bool isKnown = earliest > aNow && earliest != steady_time::max();
  return isKnown ? std::chrono::ceil<std::chrono::milliseconds>(earliest - aNow)
                 : std::chrono::milliseconds{ 0 };
}

bool
IsServed(tables& aTables, const requested_model& aModel)
{
  IndexHolders(aTables);
  const auto found = aTables.holders.find(aModel.key);
  if (found == aTables.holders.end()) {
    return false;
  }
  const auto rows = aTables.endpoints.Rows();
  return std::any_of(
    found->second.begin(), found->second.end(), [&](const holder& aHolder) {
      return aHolder.version == aModel.version &&
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

} // namespace bulrush::routing
