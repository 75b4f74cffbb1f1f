#ifndef BULRUSH_ROUTING_POLICY_HPP
#define BULRUSH_ROUTING_POLICY_HPP

/// Part of the public header routing.hpp: the hooks for what varies, and
/// the options.

#include "routing/rows.hpp"

#include <functional>

namespace bulrush::routing {

struct candidate
{
  std::uint32_t position = 0; ///< in the endpoints table
  double score = 0;
  std::chrono::microseconds expected{ 0 }; ///< to the first event, if estimated
  bool isOwn = false; ///< in the part of the endpoints that this host prefers
};

struct score_input
{
  const request_facts& request;
  const endpoint_row& endpoint;
  bool hasPrefix = false;
  double load = 0;     ///< estimated slots in use / slots; may exceed 1
  double failures = 0; ///< decayed share of failed attempts
};

/// Higher is better.
using score_hook = std::function<double(const score_input&)>;

/// Index of the chosen candidate. aCandidates is never empty.
using pick_hook =
  std::function<std::size_t(std::span<const candidate> aCandidates,
                            random_engine& aRandom)>;

/// Whether aResult indicates that a warm endpoint has become cold.
using cold_start_hook = std::function<bool(const cold_start_state& aState,
                                           const attempt_result& aResult)>;

struct retry_input
{
  const request_row& request;
  double budget = 0; ///< retries left
  std::chrono::milliseconds timeLeft{ 0 };
  std::uint32_t maxAttempts = 0;
};

/// Whether to retry a failed request. At-most-once is checked before the hook
/// is called: the hook cannot permit a second run.
using retry_hook = std::function<bool(const retry_input&)>;

/// Cold-start gate: bounds the requests of all hosts to a cold endpoint. Called
/// only for endpoints that report cold.
struct cold_gate
{
  /// True when one more attempt may start now.
  std::function<bool(const endpoint_facts&, steady_time aNow)> isOpen;
  /// Reserves capacity for an attempt that ends by aEnds; called only after
  /// isOpen returned true in the same tick.
  std::function<
    void(const endpoint_facts&, steady_time aEnds, steady_time aNow)>
    acquire;
  /// Returns the capacity of an ended attempt.
  std::function<void(endpoint_id, std::uint64_t aIncarnation)> release;
};

/// What the endpoints of a model tell together, and the means.
struct model_load
{
  double requests = 0;
  double slots = 0;
  double slowdowns = 0;
  std::uint32_t countOfSlowdowns = 0;
  std::chrono::microseconds runs{ 0 };
  std::uint32_t countOfRuns = 0;
  double meanLoad = 0; ///< requests of all hosts for each slot
  double meanSlowdown = 1;
  std::chrono::microseconds meanRun{ 0 };
};

struct time_input
{
  const request_row& request;
  const endpoint_row& endpoint;
  const model_load& model;
  steady_time now;
  std::uint64_t cachedTokens = 0; ///< of the prompt, at the endpoint
  double failures = 0;            ///< decayed share of failed attempts
  bool isOtherDomain = false;
  std::chrono::milliseconds domainCost{ 0 }; ///< of another failure domain
};

/// Expected time from now to the first event of a request at an endpoint.
using time_hook = std::function<time_estimate(const time_input&)>;

time_estimate EstimateFirstEvent(const time_input& aInput);
std::chrono::microseconds ExpectedFirstEvent(const time_input& aInput);
std::size_t PickByExpectedTime(std::span<const candidate> aCandidates,
                               random_engine& aRandom);

void AddToModelLoad(model_load& aLoad, const endpoint_row& aEndpoint);
/// Computes the means, after all endpoints were added.
void FinishModelLoad(model_load& aLoad);

struct hooks
{
  score_hook score;
  pick_hook pick;
  cold_start_hook detectColdStart;
  retry_hook retry;
  cold_gate coldGate; ///< empty: only this thread sends
  /// Whether the model of a request is no longer declared, so that it will not
  /// be loaded; not set: never.
  std::function<bool(const request_facts&)> isTargetGone;
  /// Until when an attempt of a request may start by what is known of its key;
  /// not set: always.
  std::function<steady_time(const request_facts&)> keyUsableUntil;
  /// In place of score and pick for requests with a target, where endpoints
  /// tell their slowdown.
  time_hook expectedTime = EstimateFirstEvent;
  pick_hook pickByTime = PickByExpectedTime;
};

double ScoreByLoadAndPrefix(const score_input& aInput);
std::size_t PickTwoRandom(std::span<const candidate> aCandidates,
                          random_engine& aRandom);
/// Baseline for benchmarks: cycles through the candidates.
pick_hook MakeRoundRobin();
bool DetectByRefusalOrJump(const cold_start_state& aState,
                           const attempt_result& aResult);
bool RetryWithinBudget(const retry_input& aInput);
hooks DefaultHooks();

struct options
{
  domain_id localDomain;
  std::uint64_t seed = 1;        ///< of choices and attempt ids
  std::uint32_t maxAttempts = 3; ///< of an idempotent request, 1 to 4
  /// Accept "not run" from an endpoint as proof for at-most-once.
  bool trustsNotRun = false;
  double retryShare = 0.2; ///< long-term retries per request of a service
  double retryBurst = 20;  ///< largest retry budget of a service
  std::chrono::milliseconds minAttemptTimeout{ 50 };
  /// Longest gap in a stream before it may move, and before it is broken off if
  /// its last byte has no deadline.
  std::chrono::milliseconds streamIdleTimeout{ 30'000 };
  /// An idempotent attempt moves to another endpoint after this many targets
  /// to the first byte, and a stream after this many target gaps, but not
  /// before minIdleTimeout.
  std::uint32_t targetsPerAttempt = 2;
  std::uint32_t targetGapsPerTimeout = 6;
  std::chrono::milliseconds minIdleTimeout{ 1'000 };
  /// Time to resume a broken stream.
  std::chrono::milliseconds resumeTimeout{ 2'000 };
  /// The load of an older report has weight 0.
  std::chrono::milliseconds maxReportAge{ 2'000 };
  std::chrono::milliseconds claimTimeout{ 2'000 };
  std::chrono::milliseconds detachedTimeout{ 60'000 };
  /// Shortest backoff of an endpoint after an overload refusal.
  std::chrono::milliseconds overloadBackoff{ 100 };
  /// Rows of leaving endpoints are kept while these are listed, and for this
  /// long after their last answer: far longer than any report is delayed.
  std::chrono::minutes leavingLifetime{ 10 };
  /// An endpoint that did not answer is probed by one request after this time,
  /// which doubles twice on further failures.
  std::chrono::milliseconds suspectDuration{ 1'500 };
  /// An endpoint whose answers break off again and again is tried again after
  /// this time, as after no answer. It doubles five times, to 48 s: a faulty
  /// one stays far below half of a service's requests at one request in 12 s
  /// too.
  std::chrono::milliseconds brokenDuration{ 1'500 };
  /// Backoff of an endpoint for a model that it lacks, until its next report.
  std::chrono::milliseconds missingModelBackoff{ 500 };
  /// Half-life of the share of failures since the last one.
  std::chrono::milliseconds failureHalfLife{ 2'000 };
  /// Waiting requests end at this time; set when the host stops.
  steady_time placementDeadline = steady_time::max();
  /// Every request ends at this time; set when the host stops. One that may run
  /// once starts only if its own deadline is not later.
  steady_time finishBy = steady_time::max();
  /// A request without a target starts only if it has this long until finishBy.
  std::chrono::milliseconds minTimeToFinish{ 500 };
  /// Endpoints refuse requests for another incarnation, so any answer proves
  /// that the incarnation runs.
  bool endpointsCheckIncarnation = false;
  /// Cost of another failure domain where endpoints are chosen by expected
  /// time; 0: the local domain first.
  std::chrono::milliseconds outflowCost{ 0 };
};

} // namespace bulrush::routing

#endif
