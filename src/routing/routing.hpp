#ifndef BULRUSH_ROUTING_ROUTING_HPP
#define BULRUSH_ROUTING_ROUTING_HPP

/// Public header of the routing library: the life cycle of requests and
/// attempts, endpoint selection, cold start, retries, at-most-once execution
/// and accurate refusals. A traffic thread owns one `tables`, updates it with
/// the input functions, runs `Tick` and executes the intents in the `outbox`.

#include "core/core.hpp"
#include "quarantine/quarantine.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bulrush::routing {

/// Whether an endpoint ran the request, as far as it is known.
enum class ran_state : std::uint8_t
{
  eNotRun,     ///< no byte was sent, or the endpoint stated "not run"
  eMayHaveRun, ///< sent, without a complete answer
  eRan         ///< answered completely
};

/// Why a request ended.
enum class request_outcome : std::uint8_t
{
  eAnswered,       ///< the caller has the complete answer
  eStoredAnswer,   ///< a resend; the outcome stored with its claim applies
  eInProgress,     ///< a resend; the first request is still running
  eClaimUncertain, ///< a resend; the first request may have run
  eNoQuorum,       ///< the claim could not be committed
  eDigestMismatch, ///< the key was used with another body
  eNotResident,    ///< no endpoint holds the requested model version
  eNoSlot,         ///< no endpoint had a free slot before the deadline
  eDeadline,       ///< sent, no answer before the deadline
  eRefused,        ///< the endpoint refused
  eUnreachable,    ///< no byte could be sent
  eLost,           ///< sent; the answer was lost, misdelivered or an error
  eBrokenStream,   ///< part of a stream was forwarded, then an error event
  eCallerGone,
  eKeyWithdrawn,
  eHostStopped, ///< this host stops; see options::finishBy
  eQuarantined, ///< a part of the prompt crashes endpoints
  eSuspected    ///< it may; whether it does was not known in time
};

/// Why an attempt that made no progress was not moved to another endpoint.
enum class stay_reason : std::uint8_t
{
  eNone,          ///< it was moved
  eNotRepeatable, ///< the request may run once only
  eNoAttemptLeft, ///< all attempts of the request are used
  eNoOther,       ///< no other endpoint could take it
  eNoRetryBudget  ///< the retry rule refused
};

/// Short names for logs, metrics and error bodies.
const char* Name(ran_state aRan);
const char* Name(request_outcome aOutcome);
const char* Name(stay_reason aReason);

// Endpoints ----------------------------------------------------------------

/// State of an endpoint from announcements, reports and allotments.
struct endpoint_facts
{
  endpoint_id id;
  std::uint64_t incarnation = 0;
  domain_id domain;
  std::string address;
  bool isDraining = false;
  bool isDomainOut = false;      ///< its failure domain is taken out
  bool canResume = false;        ///< can resume a stream from an offset
  bool echoesAttempt = true;     ///< optional for plain services
  bool reportsCold = false;      ///< its last report says cold
  bool reportsColdState = false; ///< its reports include the cold state
  /// Requests/s while cold, summed over all hosts that share the gate; 0: no
  /// limit.
  double coldRequestRate = 0;
  std::uint32_t slots = 0;               ///< concurrent requests when warm
  std::uint32_t coldSlots = 1;           ///< concurrent requests when cold
  std::uint32_t allottedSlots = 0;       ///< share of this traffic thread
  std::uint64_t allottedIncarnation = 0; ///< that the allotment is valid for
  std::uint32_t reportedInFlight = 0;    ///< requests from all hosts
  steady_time reportedAt;
};

/// Slow-start state of an endpoint.
struct cold_start_state
{
  bool isCold = true;
  std::uint32_t limit = 0;
  std::uint32_t epoch = 0; ///< rises at each reset; older results are ignored
  std::uint32_t samples = 0;
  std::chrono::microseconds meanFirstByte{ 0 };
};

struct endpoint_row
{
  endpoint_id id;
  endpoint_facts facts;
  cold_start_state coldStart;
  double coldBudget = 0; ///< attempts that may start now while it is cold
  steady_time coldBudgetFilledAt;         ///< last refill of coldBudget
  std::uint32_t inFlight = 0;             ///< attempts of this thread
  std::uint32_t inFlightWhenReported = 0; ///< inFlight at reportedAt
  bool isRemoved = false;                 ///< erased once nothing is in flight
  bool isLeaving = false;   ///< an answer of this incarnation stated so
  steady_time avoidUntil;   ///< backoff after an overload refusal
  double failureShare = 0;  ///< moving average over its attempts at failedAt
  steady_time failedAt;     ///< last failure that counts against it
  steady_time suspectUntil; ///< did not answer; lower tier until then
  std::uint32_t unansweredAttempts = 0; ///< since its last answer
};

/// An endpoint whose answer stated that it shuts down. Kept when the endpoint
/// is removed, since a delayed report may list it again.
struct leaving_row
{
  endpoint_id id;
  std::uint64_t incarnation = 0;
  steady_time statedAt;
};

/// An endpoint that refused a request because the model is not resident,
/// though its report lists it.
struct missing_model_row
{
  endpoint_id id;
  model_id model;
  adapter_id adapter;
  steady_time until; ///< not chosen for the model before
};

/// Retry budget of a service, in attempts.
struct retry_row
{
  service_id id;
  double budget = 0;
};

/// A loaded model, or a loaded adapter of a model.
struct resident
{
  model_id model;
  adapter_id adapter; ///< none: the base model
  std::uint64_t version = 0;

  auto operator<=>(const resident&) const = default;
};

/// The residents of one endpoint.
struct resident_row
{
  endpoint_id id;
  std::vector<resident> residents;
};

// Requests -----------------------------------------------------------------

enum class request_state : std::uint8_t
{
  eNeedsClaim,
  eAwaitingClaim,
  eReady,          ///< waiting for an endpoint
  eRunning,        ///< has one live attempt
  eFailed,         ///< its attempt failed; the retry decision is pending
  eDetached,       ///< ended for the caller; its attempt runs on for the claim
  eAbandonedClaim, ///< ended; a late grant must be released
  eEnded
};

/// Answer of the claims log for an Idempotency-Key.
enum class claim_answer : std::uint8_t
{
  eNone,
  eGranted,
  eStored,
  eInProgress,
  eMayHaveRun,
  eNoQuorum,
  eDigestMismatch
};

/// How an attempt failed.
enum class attempt_failure : std::uint8_t
{
  eNone,
  eNotSent,
  eRefused,
  eServerError,
  eLost,
  eTruncated,
  eMisdelivered,
  eTimeout
};

/// An admitted request, as parsed by the front end.
struct request_facts
{
  request_id id;
  workspace_id workspace;
  key_hash key; ///< all zero on open routes
  model_id model;
  adapter_id adapter;
  std::uint64_t version = 0; ///< 0: any
  bool isIdempotent = true;
  bool isStreamed = false;
  int priority = 0;         ///< higher first
  std::uint64_t prefix = 0; ///< hash of the prompt's prefix; 0: none
  /// Parts of the prompt that other requests may share.
  std::vector<part_id> sharedParts;
  std::string idempotencyKey; ///< empty: none
  key_hash bodyDigest;
  steady_time deadline; ///< of the answer; of a stream: first byte
  /// Latest time to choose an endpoint.
  steady_time placementDeadline = steady_time::max();
  /// Estimated time to the first byte; 0: unknown.
  std::chrono::milliseconds expectedFirstByte{ 0 };
  /// Target time to the first byte; 0: none.
  std::chrono::milliseconds targetFirstByte{ 0 };
  /// Target gap between chunks of a stream; 0: none.
  std::chrono::milliseconds targetGap{ 0 };
  steady_time lastByteDeadline = steady_time::max(); ///< of a stream: last byte
  std::uint32_t maxAttempts = 0; ///< 0: options::maxAttempts
  service_id service; ///< shares a retry budget; none: the common one
};

inline constexpr std::size_t kTriedEndpoints = 4;

struct request_row
{
  request_id id;
  request_facts facts;
  request_state state = request_state::eReady;
  claim_answer claim = claim_answer::eNone;
  std::optional<request_outcome> cancelledBy;
  attempt_failure lastFailure = attempt_failure::eNone;
  bool isPending = false; ///< listed in tables::attention
  bool wasNotResident = false;
  bool holdsClaim = false;
  bool hasPaidRetry = false; ///< the next retry was taken from the budget
  bool mayHaveRun = false;   ///< a finished attempt may have run
  bool hasForwarded = false;
  bool hasContent = false;         ///< some of what was forwarded is content
  bool hasCrashedEndpoint = false; ///< a process ended before it had an answer
  attempt_id attempt;              ///< current attempt
  std::uint32_t attemptsMade = 0;
  std::uint32_t attemptsUnsent = 0; ///< of these, no byte was sent
  std::array<endpoint_id, kTriedEndpoints> tried{};
  std::uint64_t forwarded = 0; ///< end offset of the bytes forwarded
  std::uint64_t arrival = 0;   ///< order of arrival
  steady_time keepUntil;       ///< claim or detached time-out
};

// Attempts -----------------------------------------------------------------

/// Head of an endpoint's answer.
struct answer_head
{
  int status = 0;
  attempt_id echoed; ///< attempt id in the answer; none: no echo
  bool statesNotRun =
    false; ///< the endpoint states that the request did not run
  std::uint64_t startOffset = 0; ///< offset of the first byte of a stream
  /// No other request was sent on the connection.
  bool isFirstOnConnection = false;
  bool isLeaving = false; ///< the endpoint states that it is shutting down
  /// Of a refusal: time for which the endpoint accepts nothing from this host.
  std::optional<std::chrono::milliseconds> retryAfter{};
};

/// How an attempt ended at the transport.
enum class attempt_end : std::uint8_t
{
  eNone,
  eComplete,  ///< complete by length or terminal marker
  eTruncated, ///< broken off after the head
  eLost,      ///< sent, no answer
  eNotSent,   ///< no byte of the request was sent
  eCancelled  ///< after cancel_attempt
};

enum class attempt_state : std::uint8_t
{
  eStarted,
  eAnswering, ///< its head was accepted
  eCancelling ///< input is ignored; its slot is held until it ends
};

struct attempt_row
{
  attempt_id id;
  request_id request;
  endpoint_id endpoint;
  std::uint32_t coldEpoch = 0;
  std::uint64_t incarnation = 0;     ///< of the endpoint
  std::uint64_t gateIncarnation = 0; ///< at the cold-start gate; 0: not gated
  bool wasBusy = false; ///< its endpoint was at half of its limit or more
  bool isConnectionLost = false; ///< the endpoint's side ended it early
  bool isAnswered = false; ///< its answer went on, which clears the prompt
  bool isTrial = false;    ///< sent though a part was in quarantine
  attempt_state state = attempt_state::eStarted;
  bool hasNewEvents = false;  ///< transport events not handled yet
  bool hasNewContent = false; ///< content not forwarded yet
  steady_time startedAt;
  steady_time timeoutAt;      ///< fails then without progress
  steady_time lastProgressAt; ///< last accepted head or forwarded content
  std::uint64_t startOffset = 0;
  std::optional<answer_head> head;
  steady_time firstByteAt;
  std::uint64_t received = 0; ///< end offset of the bytes without a gap
  bool hasGap = false;
  stay_reason stays = stay_reason::eNone; ///< as last reported
  attempt_end end = attempt_end::eNone;
};

/// Result of a finished attempt, input of the cold-start system.
struct attempt_result
{
  endpoint_id endpoint;
  std::uint32_t coldEpoch = 0;
  bool hasSucceeded = false;
  bool wasBusy = false;
  bool isRefused = false;
  bool hasFailed = false; ///< in a way that the endpoint may have caused
  std::chrono::microseconds firstByte{ 0 }; ///< 0: unknown
};

// Hooks and options --------------------------------------------------------

struct candidate
{
  std::uint32_t position = 0; ///< in the endpoints table
  double score = 0;
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
};

// Tables -------------------------------------------------------------------

struct model_key
{
  model_id model;
  adapter_id adapter;

  auto operator<=>(const model_key&) const = default;
};

struct model_key_hash
{
  std::size_t operator()(const model_key& aKey) const
  {
    return id_hash{}(aKey.model) ^ (id_hash{}(aKey.adapter) >> 1U);
  }
};

/// Position of an endpoint that holds a model, and the version.
struct holder
{
  std::uint32_t position = 0;
  std::uint64_t version = 0;
};

/// Sort key of a request that waits for an endpoint.
struct waiting_request
{
  int priority = 0;
  std::uint64_t arrival = 0;
  request_id id;
};

/// Model and version that a request needs.
struct requested_model
{
  model_key key;
  std::uint64_t version = 0;

  bool operator==(const requested_model&) const = default;
};

/// A model whose endpoints have no free slot in this tick.
struct model_without_slot
{
  requested_model needed;
  steady_time availableAt; ///< see choice
};

/// Endpoint that last received a prompt prefix.
struct prefix_slot
{
  std::uint64_t prefix = 0;
  endpoint_id endpoint;
};

inline constexpr std::size_t kPrefixSlots = 4096;

/// Routing state of one traffic thread.
struct tables
{
  explicit tables(options aOptions, hooks aHooks = DefaultHooks());

  options settings;
  hooks policy;
  random_engine random;
  table<endpoint_id, endpoint_row> endpoints;
  table<endpoint_id, resident_row> residents;
  table<endpoint_id, leaving_row> leaving;
  table<request_id, request_row> requests;
  table<attempt_id, attempt_row> attempts;
  std::vector<request_id>
    pendingRequests; ///< requests that the next tick visits
  std::vector<attempt_result> results;
  std::vector<missing_model_row> missingModels;
  std::unordered_map<model_key, std::vector<holder>, model_key_hash> holders;
  bool holdersAreStale = false;
  bool hasRemovedEndpoints = false;
  std::vector<prefix_slot> prefixes;
  std::vector<candidate> candidates;    ///< scratch buffer of one decision
  std::vector<waiting_request> waiting; ///< scratch buffer of one tick
  std::vector<model_without_slot>
    modelsWithoutSlot; ///< scratch buffer of one tick
  table<service_id, retry_row> retries;
  quarantine::tables quarantined; ///< parts of prompts that crash endpoints
  std::uint64_t judgedSerial = 0; ///< of quarantined, as last applied
  std::uint64_t arrivals = 0;
};

// Intents ------------------------------------------------------------------

struct start_attempt
{
  attempt_id attempt;
  request_id request;
  endpoint_id endpoint;
  std::string address;
  bool freshConnection = false; ///< a reused connection is not allowed
  std::uint64_t resumeOffset = 0;
  std::chrono::milliseconds timeout{ 0 }; ///< to the head of the answer
};

/// Closes the attempt's connection; its end is reported as usual.
struct cancel_attempt
{
  attempt_id attempt;
};

/// An attempt is past its timeout and goes on; reported once a reason.
struct kept_attempt
{
  attempt_id attempt;
  request_id request;
  stay_reason reason = stay_reason::eNone;
  std::chrono::nanoseconds idle{ 0 }; ///< since its last progress
};

struct request_claim
{
  request_id request;
  workspace_id workspace;
  std::string idempotencyKey;
  key_hash bodyDigest;
};

/// Records the outcome of a claimed request. eNotRun releases the claim.
struct record_outcome
{
  request_id request;
  workspace_id workspace;
  std::string idempotencyKey;
  key_hash bodyDigest;
  attempt_id attempt; ///< whose answer is stored; none unless eRan
  ran_state ran = ran_state::eNotRun;
  int status = 0;
};

/// Forwards bytes of the attempt's answer to the caller.
struct forward_to_caller
{
  request_id request;
  attempt_id attempt;
  int status = 0;
  std::uint64_t offset = 0;
  std::uint64_t count = 0;
};

/// Ends the caller's answer; unless eAnswered, with an error that carries the
/// outcome and `ran`.
struct end_request
{
  request_id request;
  request_outcome outcome = request_outcome::eAnswered;
  part_id part; ///< for which the request was refused
  ran_state ran = ran_state::eNotRun;
  bool hasForwarded = false; ///< part of the answer was forwarded
  last_reason reason;
  /// Time until an endpoint accepts requests again; 0: now, or unknown.
  std::chrono::milliseconds retryAfter{ 0 };
};

/// Intents, executed in the order of the members.
struct outbox
{
  std::vector<cancel_attempt> cancels;
  std::vector<forward_to_caller> forwards;
  std::vector<record_outcome> records;
  std::vector<end_request> ends;
  std::vector<request_claim> claims;
  std::vector<start_attempt> starts;
  std::vector<kept_attempt> kept;
  wake_time wake;

  void Clear();
};

// Input --------------------------------------------------------------------

/// Adds or updates an endpoint. A new incarnation resets it to its cold limit
/// and voids allotments of earlier ones.
void UpdateEndpoint(tables& aTables, const endpoint_facts& aFacts);
/// Removes an endpoint from selection; its attempts in flight continue.
void RemoveEndpoint(tables& aTables, endpoint_id aEndpoint);
/// An endpoint reported its requests in flight from all hosts.
void OnEndpointLoad(tables& aTables,
                    endpoint_id aEndpoint,
                    std::uint32_t aInFlight,
                    steady_time aNow);
/// Replaces the residents of an endpoint.
void SetResidents(tables& aTables,
                  endpoint_id aEndpoint,
                  std::vector<resident> aResidents);

/// Adds an admitted request; false if its id exists.
bool AddRequest(tables& aTables, const request_facts& aFacts);
void OnAttemptHeaders(tables& aTables,
                      attempt_id aAttempt,
                      const answer_head& aHead,
                      steady_time aNow);
/// aCount units of the body arrived, starting at aOffset. Units are bytes, or
/// events for engines that number stream events. Units without content are
/// forwarded, but extend no timeout.
void OnAttemptBytes(tables& aTables,
                    attempt_id aAttempt,
                    std::uint64_t aOffset,
                    std::uint64_t aCount,
                    bool aHasContent,
                    steady_time aNow);
/// The endpoint's side closed or reset the connection before the answer was
/// complete; OnAttemptEnd follows.
void OnConnectionLost(tables& aTables, attempt_id aAttempt);
void OnAttemptEnd(tables& aTables,
                  attempt_id aAttempt,
                  attempt_end aEnd,
                  steady_time aNow);
void OnCallerDisconnected(tables& aTables, request_id aRequest);
void OnClaimAnswer(tables& aTables, request_id aRequest, claim_answer aAnswer);
/// Cancels all requests of a withdrawn key; returns their number.
std::size_t CancelByKey(tables& aTables, const key_hash& aKey);

// Decisions ----------------------------------------------------------------

/// Runs every system once, in the order of kSystems in tick.cpp.
void Tick(tables& aTables, steady_time aNow, outbox& aOutbox);

/// Why no endpoint was chosen.
enum class choice_failure : std::uint8_t
{
  eNotResident,
  eNoSlot
};

struct choice
{
  std::uint32_t position = 0;
  std::optional<choice_failure> failure;
  /// Of a failure for lack of slots: no endpoint accepts a request before.
  steady_time availableAt{};
};

/// Chooses an endpoint; allocates only while the scratch buffers grow.
choice ChooseEndpoint(tables& aTables,
                      const request_row& aRequest,
                      steady_time aNow);

/// Limit of concurrent attempts from this thread.
std::uint32_t ConcurrencyLimit(const endpoint_row& aEndpoint);

/// True when a serving endpoint holds the model version.
bool IsServed(tables& aTables, const requested_model& aModel);

/// Free slots of all serving endpoints that hold a model; input of the fair
/// queue.
std::uint32_t FreeSlots(tables& aTables, const model_key& aKey);

/// Time-out of the next attempt: the time left, split over the attempts left,
/// and bounded by the request's target.
std::chrono::milliseconds AttemptTimeout(const options& aOptions,
                                         const request_row& aRequest,
                                         std::chrono::milliseconds aTimeLeft);

} // namespace bulrush::routing

#endif
