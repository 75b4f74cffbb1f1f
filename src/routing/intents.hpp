#ifndef BULRUSH_ROUTING_INTENTS_HPP
#define BULRUSH_ROUTING_INTENTS_HPP

/// Part of the public header routing.hpp: what a tick decided, to be executed
/// by its owner.

#include "room/outflow.hpp"
#include "routing/rows.hpp"

namespace bulrush::routing {

struct start_attempt
{
  attempt_id attempt;
  request_id request;
  endpoint_id endpoint;
  std::string address;
  bool freshConnection = false; ///< a reused connection is not allowed
  std::uint64_t resumeOffset = 0;
  std::chrono::milliseconds timeout{ 0 }; ///< to the head of the answer
  std::optional<int> urgency; ///< 0 (first) to 9; not set: not stated
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

/// The share of a model's requests that leaves the local domain changed.
struct outflow_change
{
  room::outflow_row row;
  std::chrono::microseconds localWait{ 0 };
  std::chrono::microseconds otherWait{ 0 }; ///< the shortest
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
  std::vector<outflow_change> outflows;
  wake_time wake;

  void Clear();
};

} // namespace bulrush::routing

#endif
