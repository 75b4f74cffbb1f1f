#ifndef BULRUSH_ROUTING_ROWS_HPP
#define BULRUSH_ROUTING_ROWS_HPP

/// Part of the public header routing.hpp: endpoints, requests and attempts.

#include "core/core.hpp"

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
  eNotKept,        ///< sent; this host had no memory for the answer
  eBrokenStream,   ///< part of a stream was forwarded, then an error event
  eCallerGone,
  eKeyWithdrawn,
  eKeyUnconfirmed, ///< whether its key was withdrawn is not known here
  eHostStopped,    ///< this host stops; see options::finishBy
  eQuarantined,    ///< a part of the prompt crashes endpoints
  eSuspected       ///< it may; whether it does was not known in time
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

/// Requests of all hosts at an endpoint, as the endpoint counts them.
struct endpoint_load
{
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  /// Time that work takes at this moment, in units of the usual time; nullopt:
  /// unknown.
  std::optional<double> slowdown;
};

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
  /// Requests from all hosts, as the endpoint counts them; nullopt: not told.
  std::optional<std::uint32_t> reportedInFlight;
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

/// Averages over the attempts and loads of one incarnation of an endpoint.
struct learned_speed
{
  /// Measured over expected time of the first step of a request.
  double speed = 1;
  steady_time speedAt; ///< last sample of speed
  /// Time for which a request occupies a slot, at no slowdown; 0: unknown.
  std::chrono::microseconds meanRun{ 0 };
  std::optional<double> usualSlowdown; ///< nullopt: never told
};

inline constexpr std::size_t kSendsKept = 16;

struct endpoint_row
{
  endpoint_id id;
  endpoint_facts facts;
  cold_start_state coldStart;
  double coldBudget = 0; ///< attempts that may start now while it is cold
  steady_time coldBudgetFilledAt;         ///< last refill of coldBudget
  std::uint32_t inFlight = 0;             ///< attempts of this thread
  std::uint32_t inFlightWhenReported = 0; ///< inFlight at reportedAt
  std::uint32_t reportedQueued = 0;       ///< part of reportedInFlight
  std::optional<double> slowdown;         ///< see endpoint_load; of reportedAt
  bool isRemoved = false;                 ///< erased once nothing is in flight
  bool isLeaving = false;   ///< an answer of this incarnation stated so
  steady_time avoidUntil;   ///< backoff after an overload refusal
  double failureShare = 0;  ///< moving average over its attempts at failedAt
  steady_time failedAt;     ///< last failure that counts against it
  steady_time suspectUntil; ///< did not answer; lower tier until then
  std::uint32_t unansweredAttempts = 0; ///< since its last answer
  std::uint32_t brokenAnswers = 0;      ///< since its last complete answer
  steady_time brokenAt;                 ///< last one that was counted
  steady_time brokenUntil; ///< its answers are broken; lower tier until then
  learned_speed learned;
  /// Times of the latest attempts of this thread; a ring.
  std::array<steady_time, kSendsKept> lastSends{};
  std::uint32_t sends = 0;
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
  eTimeout,
  eNotKept ///< this host had no memory for the answer
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
  int priority = 0;               ///< higher first
  std::uint64_t prefix = 0;       ///< hash of the prompt's prefix; 0: none
  std::uint64_t prefixTokens = 0; ///< of the part of the prompt up to prefix
  std::uint64_t promptTokens = 0; ///< of the whole prompt; 0: unknown
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
  /// When the target passes, counted from the caller's first attempt.
  steady_time targetAt = steady_time::max();
  /// The targets of the service's requests differ so much that they are
  /// scheduled by them; so are those for endpoints that tell their slowdown.
  bool isScheduledByTarget = false;
  bool isReturning = false; ///< its caller has tried before
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

constexpr bool
IsSuccess(int aStatus)
{
  constexpr int kFirstSuccess = 200;
  constexpr int kFirstRedirect = 300;
  return aStatus >= kFirstSuccess && aStatus < kFirstRedirect;
}

/// How an attempt ended at the transport.
enum class attempt_end : std::uint8_t
{
  eNone,
  eComplete,  ///< complete by length or terminal marker
  eTruncated, ///< broken off after the head
  eLost,      ///< sent, no answer
  eNotSent,   ///< no byte of the request was sent
  eNotKept,   ///< this host had no memory for the answer
  eCancelled  ///< after cancel_attempt
};

/// Expected time from the start of an attempt to its first event.
struct time_estimate
{
  std::chrono::microseconds total{ 0 };
  std::chrono::microseconds network{ 0 };
  std::chrono::microseconds wait{ 0 };           ///< for a slot
  std::chrono::microseconds readingAsUsual{ 0 }; ///< first step, no slowdown
  double slowdown = 1;
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
  steady_time firstEventAt;              ///< first content
  std::optional<time_estimate> estimate; ///< if chosen by expected time
  std::uint64_t received = 0; ///< end offset of the bytes without a gap
  bool hasGap = false;
  bool isPaused = false; ///< this host does not read its answer for now
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

} // namespace bulrush::routing

#endif
