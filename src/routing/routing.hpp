#ifndef BULRUSH_ROUTING_ROUTING_HPP
#define BULRUSH_ROUTING_ROUTING_HPP

/// Public header of the routing library: the life of a request and of its
/// attempts, choice of endpoint, cold start, retries, at most once and
/// truthful refusals. A traffic thread owns one `tables`, writes rows with the
/// input calls, runs `Tick` and carries out the intents of the `outbox`.

#include "core/core.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bulrush::routing {

/// Whether the endpoint ran a request, as far as can be known.
enum class ran_state : std::uint8_t
{
  eNotRun,     ///< no byte left, or the endpoint said that it did not run
  eMayHaveRun, ///< all else without a whole answer
  eRan         ///< answered whole
};

/// Why a request ended.
enum class request_outcome : std::uint8_t
{
  eAnswered,       ///< the caller has the whole answer
  eStoredAnswer,   ///< a resend; the outcome stored for its claim applies
  eInProgress,     ///< a resend; the first request still runs
  eClaimUncertain, ///< a resend; the first request may have run
  eNoQuorum,       ///< the claim could not be committed
  eDigestMismatch, ///< the key was used before with another body
  eNotResident,    ///< no endpoint holds the model in the version asked for
  eNoSlot,         ///< no endpoint had a free slot before the deadline
  eDeadline,       ///< sent, no answer before the deadline
  eRefused,        ///< the endpoint refused
  eUnreachable,    ///< no byte could be sent
  eLost,           ///< sent, the answer was lost, crossed or an error
  eBrokenStream,   ///< the caller has a part of a stream and an error event
  eCallerGone,
  eKeyWithdrawn
};

/// Short names for logs, metrics and error bodies.
const char* Name(ran_state aRan);
const char* Name(request_outcome aOutcome);

// Endpoints ----------------------------------------------------------------

/// What announcements, reports and allotments say about an endpoint.
struct endpoint_facts
{
  endpoint_id id;
  std::uint64_t incarnation = 0;
  domain_id domain;
  std::string address;
  bool isDraining = false;
  bool isDomainOut = false;  ///< its failure domain was taken out
  bool canResume = false;    ///< resumes a stream from an offset
  bool echoesAttempt = true; ///< plain services may not
  bool reportsCold = false;  ///< its own report says cold
  bool saysWhenCold = false; ///< warm unless its report says cold
  /// Requests/s while it is cold, of all hosts that share the gate; 0: no
  /// limit.
  double coldRate = 0;
  std::uint32_t slots = 0;               ///< concurrent requests when warm
  std::uint32_t coldSlots = 1;           ///< concurrent requests when cold
  std::uint32_t allottedSlots = 0;       ///< of these, for this traffic thread
  std::uint64_t allottedIncarnation = 0; ///< the allotment holds for this one
  std::uint32_t reportedInFlight = 0;    ///< of all hosts, as reported
  steady_time reportedAt;
};

/// Concurrency limit of an endpoint that may be cold.
struct cold_start_state
{
  bool isCold = true;
  std::uint32_t limit = 0;
  std::uint32_t epoch = 0; ///< grows at each drop; older results are ignored
  std::uint32_t samples = 0;
  std::chrono::microseconds meanFirstByte{ 0 };
};

struct endpoint_row
{
  endpoint_id id;
  endpoint_facts facts;
  cold_start_state coldStart;
  double coldBudget = 0;      ///< requests that may start now while it is cold
  steady_time coldSince;      ///< when the budget was last filled
  std::uint32_t inFlight = 0; ///< attempts of this thread
  std::uint32_t ownWhenReported = 0; ///< inFlight when the report came
  bool isGone = false;               ///< erased once nothing is in flight
  steady_time avoidUntil;            ///< it refused for want of room
  double failureShare = 0;    ///< of its attempts, moving average at failedAt
  steady_time failedAt;       ///< last failure that it may be the cause of
  steady_time doubtUntil;     ///< it fell silent: others go first
  std::uint32_t silences = 0; ///< attempts since it answered last
};

/// An endpoint that said it does not hold what its residents name.
struct miss_row
{
  endpoint_id id;
  model_id model;
  adapter_id adapter;
  steady_time until; ///< not used for it before
};

/// Retries that may be made now for one service.
struct retry_row
{
  service_id id;
  double budget = 0;
};

/// A model, or a model with an adapter, that is loaded and usable.
struct resident
{
  model_id model;
  adapter_id adapter; ///< none: the model alone
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
  eReady,          ///< waits for an endpoint
  eRunning,        ///< has one live attempt
  eFailed,         ///< its attempt failed; the retry rule has not decided yet
  eDetached,       ///< ended for the caller; the attempt's outcome is awaited
  eAbandonedClaim, ///< ended; a late grant has to be released
  eEnded
};

/// What the claims log says about an Idempotency-Key.
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
  eCrossed,
  eTimeout
};

/// What the front end knows about a request when it is admitted.
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
  int priority = 0;           ///< higher first
  std::uint64_t prefix = 0;   ///< hash of the prompt's prefix; 0: none
  std::string idempotencyKey; ///< empty: none
  key_hash bodyDigest;
  steady_time deadline; ///< of the answer; of a stream its first byte
  /// Waits for an endpoint until then; later it would be of no use.
  steady_time placeBy = steady_time::max();
  std::chrono::milliseconds expected{
    0
  }; ///< time to the first byte; 0: unknown
  std::chrono::milliseconds target{
    0
  }; ///< wanted until the first byte; 0: none
  std::chrono::milliseconds targetGap{
    0
  }; ///< longest pause wanted in a stream; 0: none
  steady_time endBy = steady_time::max(); ///< of a stream its last byte
  std::uint32_t maxAttempts = 0;          ///< 0: as the options say
  service_id service; ///< whose retries are budgeted together; none: one budget
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
  bool isAttended = false; ///< listed in tables::attention
  bool wasNotResident = false;
  bool holdsClaim = false;
  bool mayHaveRun = false; ///< an ended attempt may have run
  bool hasForwarded = false;
  attempt_id attempt; ///< the live one
  std::uint32_t attemptsMade = 0;
  std::uint32_t attemptsUnsent = 0; ///< of these, no byte left
  std::array<endpoint_id, kTriedEndpoints> tried{};
  std::uint64_t forwarded = 0; ///< offset up to which the caller was fed
  std::uint64_t arrival = 0;   ///< order of arrival
  steady_time keepUntil;       ///< of a detached or abandoned request
};

// Attempts -----------------------------------------------------------------

/// Head of an endpoint's answer.
struct answer_head
{
  int status = 0;
  attempt_id echoed;             ///< none: no echo
  bool saysNotRun = false;       ///< the endpoint states that it did not run
  std::uint64_t startOffset = 0; ///< offset of the first byte of a stream
};

/// How the transport saw an attempt end.
enum class attempt_end : std::uint8_t
{
  eNone,
  eComplete,  ///< the answer is whole by its length or its terminal marker
  eTruncated, ///< the answer began and broke off
  eLost,      ///< bytes were sent, no answer came
  eNotSent,   ///< no byte of the request left
  eCancelled  ///< after cancel_attempt
};

enum class attempt_state : std::uint8_t
{
  eStarted,
  eAnswering, ///< its head was accepted
  eCancelling ///< nothing of it counts; its slot is held until it ended
};

struct attempt_row
{
  attempt_id id;
  request_id request;
  endpoint_id endpoint;
  std::uint32_t coldEpoch = 0;
  std::uint64_t gateIncarnation = 0; ///< of its endpoint; 0: not gated
  bool wasBusy = false; ///< its endpoint was at half its limit or above
  attempt_state state = attempt_state::eStarted;
  bool isTouched = false; ///< the transport told something of it
  steady_time startedAt;
  steady_time dueAt;   ///< when it fails unless something happens
  steady_time heardAt; ///< when the answer went on last
  std::uint64_t startOffset = 0;
  std::optional<answer_head> head;
  steady_time firstByteAt;
  std::uint64_t received = 0; ///< end offset of what arrived without a gap
  bool hasGap = false;
  attempt_end end = attempt_end::eNone;
};

/// What an ended attempt says about its endpoint; consumed by cold start.
struct attempt_result
{
  endpoint_id endpoint;
  std::uint32_t coldEpoch = 0;
  bool isGood = false;
  bool wasBusy = false;
  bool isRefused = false;
  bool hasFailed = false; ///< in a way that the endpoint may be the cause of
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
  double load = 0;     ///< estimated share of its slots in use, 0 to 1 or more
  double failures = 0; ///< share of its attempts that failed lately
};

/// Higher is better.
using score_hook = std::function<double(const score_input&)>;

/// Position, in aCandidates, of the one to use. Never called with none.
using pick_hook =
  std::function<std::size_t(std::span<const candidate> aCandidates,
                            random_engine& aRandom)>;

/// Whether aResult shows that a warm endpoint turned cold.
using cold_start_hook = std::function<bool(const cold_start_state& aState,
                                           const attempt_result& aResult)>;

struct retry_input
{
  const request_row& request;
  double budget = 0; ///< retries that may be made now
  std::chrono::milliseconds timeLeft{ 0 };
  std::uint32_t maxAttempts = 0;
};

/// Whether a failed request may be tried again. At-most-once is decided before
/// the hook is asked: it cannot allow a second run.
using retry_hook = std::function<bool(const retry_input&)>;

/// What all hosts together may send a cold endpoint. Each hook is asked about
/// an endpoint that says it is cold.
struct cold_gate
{
  /// Whether one more attempt may start now.
  std::function<bool(const endpoint_facts&, steady_time aNow)> isOpen;
  /// Takes room for an attempt that ends by aEnds at the latest; only after
  /// isOpen in the same tick.
  std::function<
    void(const endpoint_facts&, steady_time aEnds, steady_time aNow)>
    enter;
  /// The attempt has ended.
  std::function<void(endpoint_id, std::uint64_t aIncarnation)> leave;
};

struct hooks
{
  score_hook score;
  pick_hook pick;
  cold_start_hook detectColdStart;
  retry_hook retry;
  cold_gate coldGate; ///< not set: this thread is the only one that sends
};

double ScoreByLoadAndPrefix(const score_input& aInput);
std::size_t PickTwoRandom(std::span<const candidate> aCandidates,
                          random_engine& aRandom);
/// Baseline: each candidate in turn.
pick_hook MakeRoundRobin();
bool DetectByRefusalOrJump(const cold_start_state& aState,
                           const attempt_result& aResult);
bool RetryWithinBudget(const retry_input& aInput);
hooks DefaultHooks();

struct options
{
  domain_id ownDomain;
  std::uint64_t seed = 1;        ///< of choices and attempt ids
  std::uint32_t maxAttempts = 3; ///< of an idempotent request, 1 to 4
  /// An endpoint's word that a request did not run is proof of it.
  bool trustsRefusals = false;
  double retryShare = 0.2; ///< retries per request of a service, long run
  double retryBurst = 20;  ///< retries of a service at once
  std::chrono::milliseconds minAttempt{ 50 };
  std::chrono::milliseconds streamIdle{ 30'000 };
  /// An attempt that may be repeated is given up for another endpoint after so
  /// many of its targets, and a stream after so many of its longest pauses, but
  /// not before leastSilence.
  std::uint32_t targetsPerAttempt = 2;
  std::uint32_t gapsPerSilence = 6;
  std::chrono::milliseconds leastSilence{ 1'000 };
  std::chrono::milliseconds resumeWait{ 2'000 }; ///< to resume a broken stream
  std::chrono::milliseconds reportHorizon{ 2'000 }; ///< an older report is void
  std::chrono::milliseconds claimWait{ 2'000 };
  std::chrono::milliseconds detachedWait{ 60'000 };
  std::chrono::milliseconds avoidFull{ 100 }; ///< an endpoint that refused
  /// An endpoint that fell silent is tried again by one request after this,
  /// and twice and four times as long after the next silences.
  std::chrono::milliseconds doubtSilent{ 1'500 };
  /// A model that its endpoint does not hold, until the news of it are in.
  std::chrono::milliseconds avoidMissing{ 500 };
  /// The share of failures counts half after so long without one.
  std::chrono::milliseconds failureHalfLife{ 2'000 };
  /// No request waits for an endpoint beyond this: the host stops.
  steady_time placeBy = steady_time::max();
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

/// An endpoint, by its position, that holds a model in a version.
struct holder
{
  std::uint32_t position = 0;
  std::uint64_t version = 0;
};

/// A request in the order in which it is to be placed.
struct waiting_request
{
  int priority = 0;
  std::uint64_t arrival = 0;
  request_id id;
};

/// What a request asks an endpoint to hold.
struct wanted_model
{
  model_key key;
  std::uint64_t version = 0;

  bool operator==(const wanted_model&) const = default;
};

/// Where a prompt prefix was last sent.
struct prefix_slot
{
  std::uint64_t prefix = 0;
  endpoint_id endpoint;
};

inline constexpr std::size_t kPrefixSlots = 4096;

/// All state of the engine of one traffic thread.
struct tables
{
  explicit tables(options aOptions, hooks aHooks = DefaultHooks());

  options settings;
  hooks policy;
  random_engine random;
  table<endpoint_id, endpoint_row> endpoints;
  table<endpoint_id, resident_row> residents;
  table<request_id, request_row> requests;
  table<attempt_id, attempt_row> attempts;
  std::vector<request_id> attention; ///< requests that do more than run
  std::vector<attempt_result> results;
  std::vector<miss_row> misses;
  std::unordered_map<model_key, std::vector<holder>, model_key_hash> holders;
  bool holdersAreStale = false;
  bool hasGoneEndpoints = false;
  std::vector<prefix_slot> prefixes;
  std::vector<candidate> candidates;    ///< scratch of one decision
  std::vector<waiting_request> waiting; ///< scratch of one tick
  std::vector<wanted_model> full;       ///< scratch: no slot in this tick
  table<service_id, retry_row> retries;
  std::uint64_t arrivals = 0;
};

// Intents ------------------------------------------------------------------

struct start_attempt
{
  attempt_id attempt;
  request_id request;
  endpoint_id endpoint;
  std::string address;
  bool freshConnection = false; ///< never on a reused connection
  std::uint64_t resumeOffset = 0;
  std::chrono::milliseconds timeout{ 0 }; ///< until the head of the answer
};

/// Close the attempt's connection and report its end.
struct cancel_attempt
{
  attempt_id attempt;
};

struct ask_claim
{
  request_id request;
  workspace_id workspace;
  std::string idempotencyKey;
  key_hash bodyDigest;
};

/// Tell the claims log how a claimed request ended. eNotRun frees the claim.
struct record_outcome
{
  request_id request;
  workspace_id workspace;
  std::string idempotencyKey;
  key_hash bodyDigest;
  attempt_id attempt; ///< whose answer is to be stored; none unless eRan
  ran_state ran = ran_state::eNotRun;
  int status = 0;
};

/// Pass these bytes of the attempt's answer on to the caller.
struct forward_to_caller
{
  request_id request;
  attempt_id attempt;
  int status = 0;
  std::uint64_t offset = 0;
  std::uint64_t count = 0;
};

/// The caller's answer ends here; unless eAnswered, with an error that carries
/// the outcome and `ran`.
struct end_request
{
  request_id request;
  request_outcome outcome = request_outcome::eAnswered;
  ran_state ran = ran_state::eNotRun;
  bool hasForwarded = false; ///< a part of the answer is with the caller
  last_reason reason;
};

/// To be carried out in the order of the members.
struct outbox
{
  std::vector<cancel_attempt> cancels;
  std::vector<forward_to_caller> forwards;
  std::vector<record_outcome> records;
  std::vector<end_request> ends;
  std::vector<ask_claim> claims;
  std::vector<start_attempt> starts;
  wake_time wake;

  void Clear();
};

// Input --------------------------------------------------------------------

/// Adds an endpoint or takes over new facts about it. A new incarnation drops
/// it to its cold limit; allotments of older ones are void.
void UpdateEndpoint(tables& aTables, const endpoint_facts& aFacts);
/// The endpoint left; its attempts in flight go on.
void RemoveEndpoint(tables& aTables, endpoint_id aEndpoint);
/// An endpoint said how many requests of all hosts it has.
void OnEndpointLoad(tables& aTables,
                    endpoint_id aEndpoint,
                    std::uint32_t aInFlight,
                    steady_time aNow);
/// Replaces the residents of an endpoint.
void SetResidents(tables& aTables,
                  endpoint_id aEndpoint,
                  std::vector<resident> aResidents);

/// Adds an admitted request. False when its id is known already.
bool AddRequest(tables& aTables, const request_facts& aFacts);
void OnAttemptHeaders(tables& aTables,
                      attempt_id aAttempt,
                      const answer_head& aHead,
                      steady_time aNow);
/// aCount units of the answer's body arrived, the first at aOffset. Units are
/// bytes, or events where the engine counts its streams so.
void OnAttemptBytes(tables& aTables,
                    attempt_id aAttempt,
                    std::uint64_t aOffset,
                    std::uint64_t aCount,
                    steady_time aNow);
void OnAttemptEnd(tables& aTables,
                  attempt_id aAttempt,
                  attempt_end aHow,
                  steady_time aNow);
void OnCallerGone(tables& aTables, request_id aRequest);
void OnClaimAnswer(tables& aTables, request_id aRequest, claim_answer aAnswer);
/// Ends every request of a withdrawn key; returns how many.
std::size_t CancelByKey(tables& aTables, const key_hash& aKey);

// Decisions ----------------------------------------------------------------

/// Runs every system once, in the order written down in tick.cpp.
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
};

/// One decision, without allocation once the scratch has grown.
choice ChooseEndpoint(tables& aTables,
                      const request_row& aRequest,
                      steady_time aNow);

/// Attempts that may be in flight at once from this thread.
std::uint32_t ConcurrencyLimit(const endpoint_row& aEndpoint);

/// True when an endpoint that takes work holds the model in the version.
bool IsServed(tables& aTables, const wanted_model& aWanted);

/// Free slots of all endpoints usable for a model, for the fair queue before
/// routing.
std::uint32_t FreeSlots(tables& aTables, const model_key& aKey);

/// Time for the next attempt: the time left, split over the attempts left.
std::chrono::milliseconds AttemptTimeout(const options& aOptions,
                                         const request_row& aRequest,
                                         std::chrono::milliseconds aTimeLeft);

} // namespace bulrush::routing

#endif
