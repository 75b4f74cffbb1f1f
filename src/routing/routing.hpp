#ifndef BULRUSH_ROUTING_ROUTING_HPP
#define BULRUSH_ROUTING_ROUTING_HPP

/// Public header of the routing library: the life cycle of requests and
/// attempts, endpoint selection, cold start, retries, at-most-once execution
/// and accurate refusals. A traffic thread owns one `tables`, updates it with
/// the input functions, runs `Tick` and executes the intents in the `outbox`.

#include "quarantine/quarantine.hpp"
#include "room/room.hpp"
#include "routing/intents.hpp"
#include "routing/policy.hpp"
#include "routing/rows.hpp"

namespace bulrush::routing {

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
  /// Is scheduled by its target; otherwise the next three are not set.
  bool isByTarget = false;
  bool isLate = false;      ///< its target has passed
  bool isReturning = false; ///< its caller has tried before
  steady_time targetAt;     ///< of a stream to be resumed: before all others
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

/// Whether requests for a model are ordered by their targets in this tick.
struct model_order
{
  requested_model needed;
  bool isByTarget = false;
};

/// Endpoint that last received a prompt prefix.
struct prefix_slot
{
  std::uint64_t prefix = 0;
  endpoint_id endpoint;
};

/// When the outflow of a model is decided, and what of it was logged.
struct outflow_state_row
{
  model_id id; ///< of the model, or of the adapter as a model of its own
  std::chrono::milliseconds target{ 0 }; ///< the shortest of its requests
  steady_time targetSeenAt{};
  steady_time decideAt{};
  double loggedShare = 0;
  steady_time loggedAt{};
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
  std::vector<candidate> candidates;      ///< scratch buffer of one decision
  std::vector<std::uint64_t> ranks;       ///< scratch buffer of one decision
  std::vector<room::domain_room> domains; ///< scratch buffer of one decision
  table<model_id, room::outflow_row> outflows;
  table<model_id, outflow_state_row> outflowStates;
  std::vector<outflow_change> outflowChanges; ///< of this tick
  std::vector<waiting_request> waiting;       ///< scratch buffer of one tick
  std::vector<model_without_slot>
    modelsWithoutSlot;                  ///< scratch buffer of one tick
  std::vector<model_order> modelOrders; ///< scratch buffer of one tick
  table<service_id, retry_row> retries;
  quarantine::tables quarantined; ///< parts of prompts that crash endpoints
  std::uint64_t judgedSerial = 0; ///< of quarantined, as last applied
  std::uint64_t arrivals = 0;
};

// Input --------------------------------------------------------------------

/// Adds or updates an endpoint. A new incarnation resets it to its cold limit
/// and voids allotments of earlier ones.
void UpdateEndpoint(tables& aTables, const endpoint_facts& aFacts);
/// Removes an endpoint from selection; its attempts in flight continue.
void RemoveEndpoint(tables& aTables, endpoint_id aEndpoint);
/// An endpoint reported its load from all hosts.
void OnEndpointLoad(tables& aTables,
                    endpoint_id aEndpoint,
                    const endpoint_load& aLoad,
                    steady_time aNow);
/// Another host observed the load of an endpoint. False if that changes
/// nothing: a newer load is known, or the endpoint has another incarnation
/// here.
bool OnSharedLoad(tables& aTables,
                  endpoint_id aEndpoint,
                  std::uint64_t aIncarnation,
                  const endpoint_load& aLoad,
                  steady_time aObservedAt);
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
/// This host stops or resumes reading the answer; meanwhile its endpoint is not
/// taken to be silent.
void OnAttemptPaused(tables& aTables, attempt_id aAttempt, bool aIsPaused);
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
  std::optional<time_estimate> estimate{}; ///< if chosen by expected time
  bool isHeldBack = false; ///< an endpoint with a slot was left to others
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

/// Urgency of the next attempt, 0 (first) to 9, by the time left to the target
/// of the request. A request that has missed it yields to the others.
int UrgencyOf(const request_row& aRequest, steady_time aNow);

/// Time-out of the next attempt: the time left, split over the attempts left,
/// and bounded by the request's target.
std::chrono::milliseconds AttemptTimeout(const options& aOptions,
                                         const request_row& aRequest,
                                         std::chrono::milliseconds aTimeLeft);

} // namespace bulrush::routing

#endif
