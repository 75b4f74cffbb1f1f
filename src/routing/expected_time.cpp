#include "routing/parts.hpp"

#include <algorithm>
#include <cmath>

namespace bulrush::routing {

namespace {

using real_milliseconds = std::chrono::duration<double, std::milli>;

/// Hosts exchange loads within 0.2 to 0.8 s; other hosts send meanwhile.
constexpr std::chrono::milliseconds kLoadHalfLife{ 500 };
/// The half-life of the number of requests is half of the time of a run: in
/// tests/routing/shared_load_test.cpp servers then refuse 1.1% at 80% of their
/// slots, against 4.9% with the whole time and 8.0% with 500 ms.
constexpr std::chrono::milliseconds kMinRequestsHalfLife{ 100 };
constexpr int kRunPart = 2;
/// A learned speed that no attempt confirms returns to the usual one, so that
/// an endpoint without traffic is tried again.
constexpr std::chrono::seconds kSpeedHalfLife{ 30 };
constexpr double kTokensReadPerMs = 40;
/// Of the first step besides reading the prompt.
constexpr real_milliseconds kFirstStep{ 10 };
/// Each step of a full batch takes this much longer than that of a single
/// request.
constexpr double kBatchCost = 0.5;
constexpr real_milliseconds kDomainDelay{ 1 }; // each way
/// A failed attempt costs its own time, that of its detection and a repeat.
constexpr double kFailureCost = 4;
constexpr real_milliseconds kUsualRun{ 1'000 };
constexpr double kGain = 0.1;
constexpr double kMinSpeed = 0.25;
constexpr double kMaxSpeed = 8;
/// Urgency from which all requests in the queue of an endpoint are ahead.
constexpr double kPatient = 6;
constexpr double kMinShareAhead = 0.1;

double
DecayedWeight(std::chrono::duration<double> aAge,
              std::chrono::duration<double> aHalfLife)
{
  return std::exp2(-std::max(aAge.count(), 0.0) / aHalfLife.count());
}

double
LoadWeight(const endpoint_row& aEndpoint, steady_time aNow)
{
  return DecayedWeight(aNow - aEndpoint.facts.reportedAt, kLoadHalfLife);
}

std::chrono::microseconds
MeanRun(const time_input& aInput)
{
  const std::chrono::microseconds known = aInput.endpoint.learned.meanRun;
  return known.count() > 0 ? known : aInput.model.meanRun;
}

// After the time of a run, most requests that the load counted have ended.
double
RequestsWeight(const time_input& aInput)
{
  const std::chrono::microseconds halfLife =
    std::clamp(std::chrono::microseconds{ MeanRun(aInput) / kRunPart },
               std::chrono::microseconds{ kMinRequestsHalfLife },
               std::chrono::microseconds{ kLoadHalfLife });
  return DecayedWeight(aInput.now - aInput.endpoint.facts.reportedAt, halfLife);
}

double
SlotsOf(const endpoint_row& aEndpoint)
{
  const std::uint32_t slots = aEndpoint.coldStart.isCold
                                ? aEndpoint.coldStart.limit
                                : aEndpoint.facts.slots;
  return std::max(1U, slots);
}

// The reported number counts earlier ones.
std::uint32_t
OwnSince(const endpoint_row& aEndpoint, steady_time aSince)
{
  const auto& sends = aEndpoint.lastSends;
  const auto count =
    std::count_if(sends.begin(), sends.end(), [aSince](steady_time aSentAt) {
      return aSentAt >= aSince;
    });
  return std::min(static_cast<std::uint32_t>(count), aEndpoint.inFlight);
}

// Other hosts fill an endpoint that was reported empty and spare one that was
// reported full, so the number drifts towards the mean.
double
EstimateRequests(const time_input& aInput)
{
  const endpoint_row& endpoint = aInput.endpoint;
  const double mean = aInput.model.meanLoad * SlotsOf(endpoint);
  const double own = endpoint.inFlight;
  if (!endpoint.facts.reportedInFlight) {
    return std::max(mean, own);
  }
  const double reported = *endpoint.facts.reportedInFlight;
  const double others = mean + (reported - mean) * RequestsWeight(aInput);
  return std::max(others + OwnSince(endpoint, endpoint.facts.reportedAt), own);
}

// The slowdown changes within a second; an old one says less than the usual one
// of the endpoint.
double
EstimateSlowdown(const time_input& aInput)
{
  const endpoint_row& endpoint = aInput.endpoint;
  const double usual =
    endpoint.learned.usualSlowdown.value_or(aInput.model.meanSlowdown);
  if (!endpoint.slowdown) {
    return usual;
  }
  return usual +
         (*endpoint.slowdown - usual) * LoadWeight(endpoint, aInput.now);
}

double
LastingSpeed(const learned_speed& aLearned, steady_time aNow)
{
  return 1.0 + (aLearned.speed - 1.0) *
                 DecayedWeight(aNow - aLearned.speedAt, kSpeedHalfLife);
}

// An endpoint runs urgent requests before those that wait, so these wait for a
// free slot and for few others.
double
QueueShareAhead(const time_input& aInput)
{
  const double urgency = UrgencyOf(aInput.request, aInput.now);
  return std::clamp(urgency / kPatient, kMinShareAhead, 1.0);
}

real_milliseconds
EstimateWait(const time_input& aInput, double aRequests)
{
  const double slots = SlotsOf(aInput.endpoint);
  const double waiting = std::max(0.0, aRequests - slots);
  const double beforeStart = std::clamp(aRequests + 1.0 - slots, 0.0, 1.0);
  const real_milliseconds run = MeanRun(aInput);
  return run / slots * (beforeStart + waiting * QueueShareAhead(aInput));
}

real_milliseconds
EstimateReading(const time_input& aInput, double aRequests)
{
  const std::uint64_t tokens = aInput.request.facts.promptTokens;
  const auto uncached =
    static_cast<double>(tokens - std::min(tokens, aInput.cachedTokens));
  const double share = std::min(1.0, aRequests / SlotsOf(aInput.endpoint));
  return (kFirstStep + real_milliseconds{ uncached / kTokensReadPerMs }) *
         (1.0 + kBatchCost * share);
}

std::chrono::microseconds
Rounded(real_milliseconds aTime)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aTime);
}

void
MoveTowards(double& aAverage, double aSample)
{
  aAverage += kGain * (aSample - aAverage);
}

// While a request waited, its time says little of the speed. Only a stream's
// first event comes before its answer is complete.
void
LearnSpeed(learned_speed& aLearned,
           const attempt_row& aAttempt,
           const time_estimate& aEstimate)
{
  const auto reading = aEstimate.readingAsUsual * aEstimate.slowdown;
  if (aAttempt.firstEventAt == steady_time{} || aEstimate.wait > reading) {
    return;
  }
  const real_milliseconds measured = aAttempt.firstEventAt -
                                     aAttempt.startedAt - aEstimate.network -
                                     aEstimate.wait;
  const double sample = std::clamp(measured / reading, kMinSpeed, kMaxSpeed);
  aLearned.speed = LastingSpeed(aLearned, aAttempt.firstEventAt);
  MoveTowards(aLearned.speed, sample);
  aLearned.speedAt = aAttempt.firstEventAt;
}

// The wait for a slot is only an estimate: where it is most of the time of an
// answer without a first event, the rest says little of the run.
void
LearnRun(learned_speed& aLearned,
         const attempt_row& aAttempt,
         bool aIsStreamed,
         const time_estimate& aEstimate,
         steady_time aNow)
{
  const bool hasFirstEvent =
    aIsStreamed && aAttempt.firstEventAt != steady_time{};
  const steady_time since =
    hasFirstEvent ? aAttempt.firstEventAt : aAttempt.startedAt + aEstimate.wait;
  if (!hasFirstEvent && aNow - since < aEstimate.wait) {
    return;
  }
  const real_milliseconds occupied =
    real_milliseconds{ aNow - since } / aEstimate.slowdown +
    real_milliseconds{ hasFirstEvent ? aEstimate.readingAsUsual
                                     : std::chrono::microseconds{ 0 } };
  const real_milliseconds sample = std::max(occupied, real_milliseconds{ 1 });
  double mean = aLearned.meanRun.count() > 0
                  ? real_milliseconds{ aLearned.meanRun }.count()
                  : sample.count();
  MoveTowards(mean, sample.count());
  aLearned.meanRun = Rounded(real_milliseconds{ mean });
}

} // namespace

void
AddToModelLoad(model_load& aLoad, const endpoint_row& aEndpoint)
{
  if (aEndpoint.facts.reportedInFlight) {
    aLoad.requests += *aEndpoint.facts.reportedInFlight;
    aLoad.slots += SlotsOf(aEndpoint);
  }
  if (aEndpoint.slowdown) {
    aLoad.slowdowns += *aEndpoint.slowdown;
    ++aLoad.countOfSlowdowns;
  }
  if (aEndpoint.learned.meanRun.count() > 0) {
    aLoad.runs += aEndpoint.learned.meanRun;
    ++aLoad.countOfRuns;
  }
}

void
FinishModelLoad(model_load& aLoad)
{
  aLoad.meanLoad = aLoad.slots > 0 ? aLoad.requests / aLoad.slots : 0;
  aLoad.meanSlowdown =
    aLoad.countOfSlowdowns > 0 ? aLoad.slowdowns / aLoad.countOfSlowdowns : 1.0;
  aLoad.meanRun =
    aLoad.countOfRuns > 0 ? aLoad.runs / aLoad.countOfRuns : Rounded(kUsualRun);
}

time_estimate
EstimateFirstEvent(const time_input& aInput)
{
  const double requests = EstimateRequests(aInput);
  time_estimate estimate;
  estimate.slowdown = EstimateSlowdown(aInput);
  estimate.wait = Rounded(EstimateWait(aInput, requests) * estimate.slowdown);
  estimate.readingAsUsual = Rounded(EstimateReading(aInput, requests));
  if (aInput.isOtherDomain) {
    estimate.network = Rounded(2 * kDomainDelay);
  }
  const real_milliseconds reading =
    estimate.readingAsUsual * estimate.slowdown *
    LastingSpeed(aInput.endpoint.learned, aInput.now);
  estimate.total =
    Rounded((estimate.network + estimate.wait + reading) *
            (1.0 + kFailureCost * aInput.failures)) +
    (aInput.isOtherDomain ? aInput.domainCost : std::chrono::milliseconds{ 0 });
  return estimate;
}

std::chrono::microseconds
ExpectedFirstEvent(const time_input& aInput)
{
  return EstimateFirstEvent(aInput).total;
}

void
RecordSend(endpoint_row& aEndpoint, steady_time aNow)
{
  aEndpoint.lastSends[aEndpoint.sends % kSendsKept] = aNow;
  ++aEndpoint.sends;
}

void
LearnSlowdown(endpoint_row& aEndpoint)
{
  if (aEndpoint.slowdown) {
    double usual =
      aEndpoint.learned.usualSlowdown.value_or(*aEndpoint.slowdown);
    MoveTowards(usual, *aEndpoint.slowdown);
    aEndpoint.learned.usualSlowdown = usual;
  }
}

void
LearnFromAnswer(endpoint_row& aEndpoint,
                const attempt_row& aAttempt,
                bool aIsStreamed,
                steady_time aNow)
{
  if (!aAttempt.estimate ||
      aAttempt.incarnation != aEndpoint.facts.incarnation ||
      !IsSuccess(aAttempt.head->status)) {
    return;
  }
  if (aIsStreamed) {
    LearnSpeed(aEndpoint.learned, aAttempt, *aAttempt.estimate);
  }
  LearnRun(aEndpoint.learned, aAttempt, aIsStreamed, *aAttempt.estimate, aNow);
}

// The better of two random draws among those near the best, as many hosts
// choose from the same loads. The own ones come first, as connections to them
// are open and prompts are cached there.
std::size_t
PickByExpectedTime(std::span<const candidate> aCandidates,
                   random_engine& aRandom)
{
  constexpr std::chrono::microseconds kMargin{ 15'000 };
  constexpr int kMarginPart = 5;
  auto best = std::chrono::microseconds::max();
  for (const candidate& each : aCandidates) {
    best = std::min(best, each.expected);
  }
  const auto latest = best + std::max(kMargin, best / kMarginPart);
  const bool hasOwn = std::any_of(
    aCandidates.begin(), aCandidates.end(), [latest](const candidate& aEach) {
      return aEach.isOwn && aEach.expected <= latest;
    });
  // Reservoir sampling draws two without a list of those that are near.
  std::uint64_t count = 0;
  std::size_t first = 0;
  std::size_t second = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (aCandidates[i].expected > latest || (hasOwn && !aCandidates[i].isOwn)) {
      continue;
    }
    ++count;
    first = aRandom() % count == 0 ? i : first;
    second = aRandom() % count == 0 ? i : second;
  }
  return aCandidates[second].expected < aCandidates[first].expected ? second
                                                                    : first;
}

} // namespace bulrush::routing
