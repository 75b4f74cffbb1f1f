#include "entry/outcomes.hpp"

#include <algorithm>

namespace bulrush::entry {
namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr std::chrono::milliseconds kRetryAfter{ 250 };
/// A model that no endpoint holds takes seconds to load.
constexpr std::chrono::milliseconds kRetryAfterNotResident{ 2'000 };
/// By then the load balancer sends callers to hosts that are in touch.
constexpr std::chrono::milliseconds kRetryAfterKeyUnconfirmed{ 2'000 };

/// The error for each outcome without an answer.
struct outcome_text
{
  routing::request_outcome outcome;
  int status;
  const char* code;
  const char* text;
  bool isWorthRetrying;
};

using routing::request_outcome;

constexpr std::array<outcome_text, 18> kOutcomes{ {
  { request_outcome::eInProgress,
    409,
    "in_progress",
    "a request with this Idempotency-Key is running",
    true },
  { request_outcome::eClaimUncertain,
    409,
    "may_have_run",
    "a request with this Idempotency-Key may have run",
    false },
  { request_outcome::eNoQuorum,
    503,
    "no_quorum",
    "the Idempotency-Key could not be claimed",
    true },
  { request_outcome::eDigestMismatch,
    422,
    "claim_mismatch",
    "the Idempotency-Key was used with another request",
    false },
  { request_outcome::eNotResident,
    503,
    "no_endpoint",
    "no endpoint can serve this now",
    true },
  { request_outcome::eNoSlot,
    503,
    "overloaded",
    "no endpoint had room before the deadline",
    true },
  { request_outcome::eDeadline,
    504,
    "deadline_passed",
    "no answer came before the deadline",
    false },
  { request_outcome::eRefused,
    503,
    "overloaded",
    "the endpoint refused the request",
    true },
  { request_outcome::eUnreachable,
    503,
    "endpoint_failed",
    "no endpoint could be reached",
    true },
  { request_outcome::eLost,
    502,
    "endpoint_failed",
    "the answer was lost",
    false },
  { request_outcome::eNotKept,
    502,
    "answer_too_large",
    "this host has no memory for the answer",
    false },
  { request_outcome::eBrokenStream,
    502,
    "endpoint_failed",
    "the stream broke off",
    false },
  { request_outcome::eKeyWithdrawn,
    401,
    "key_withdrawn",
    "the key was withdrawn",
    false },
  { request_outcome::eKeyUnconfirmed,
    503,
    "key_unconfirmed",
    "this host cannot tell whether the key was withdrawn",
    true },
  { request_outcome::eHostStopped,
    504,
    "stopping",
    "this host is being stopped",
    true },
  { request_outcome::eQuarantined,
    503,
    "prompt_quarantined",
    "a part of the prompt crashes endpoints; sending it again does not help",
    false },
  { request_outcome::eSuspected,
    503,
    "prompt_suspected",
    "a part of the prompt may crash endpoints; whether it does is not known "
    "yet",
    true },
  { request_outcome::eCallerGone, 499, "caller_gone", "", false },
} };

std::chrono::milliseconds
MinRetryAfter(request_outcome aOutcome)
{
  switch (aOutcome) {
    case request_outcome::eNotResident:
      return kRetryAfterNotResident;
    case request_outcome::eKeyUnconfirmed:
      return kRetryAfterKeyUnconfirmed;
    default:
      return kRetryAfter;
  }
}

// Refusals that may also come between two attempts, when an earlier one may
// have run.
bool
IsBeforeAnAttempt(request_outcome aOutcome)
{
  return aOutcome == request_outcome::eQuarantined ||
         aOutcome == request_outcome::eSuspected ||
         aOutcome == request_outcome::eKeyUnconfirmed;
}

} // namespace

caller_error
ErrorOf(const routing::end_request& aEnd)
{
  const auto* found = std::find_if(
    kOutcomes.begin(), kOutcomes.end(), [&](const outcome_text& aRow) {
      return aRow.outcome == aEnd.outcome;
    });
  caller_error error;
  error.status = found->status;
  error.code = found->code;
  error.text = found->text;
  error.mayHaveRun = aEnd.ran != routing::ran_state::eNotRun;
  if (!error.mayHaveRun && error.status > kUnavailable) {
    error.status = kUnavailable; // safe to retry
  }
  if (error.mayHaveRun && IsBeforeAnAttempt(aEnd.outcome)) {
    error.status = kBadGateway;
  }
  if (found->isWorthRetrying && error.status <= kUnavailable) {
    error.retryAfter = std::max(MinRetryAfter(aEnd.outcome), aEnd.retryAfter);
  }
  return error;
}

std::string
ContentTypeOf(const std::vector<net::http_field>& aFields)
{
  const std::string* type = net::FindField(aFields, "Content-Type");
  return type == nullptr ? "" : *type;
}

routing::claim_answer
ClaimAnswerOf(const wire::command_reply& aReply)
{
  if (aReply.outcome != wire::call_outcome::eDecided) {
    return routing::claim_answer::eNoQuorum;
  }
  switch (aReply.result.claim) {
    case claim_answer::eGranted:
      return routing::claim_answer::eGranted;
    case claim_answer::eStored:
      return routing::claim_answer::eStored;
    case claim_answer::eInProgress:
      return routing::claim_answer::eInProgress;
    case claim_answer::eMayHaveRun:
      return routing::claim_answer::eMayHaveRun;
    case claim_answer::eOtherBody:
      return routing::claim_answer::eDigestMismatch;
    default:
      return routing::claim_answer::eNoQuorum;
  }
}

caller_error
ErrorOf(const refusal& aRefusal)
{
  caller_error error;
  error.retryAfter =
    std::chrono::ceil<std::chrono::milliseconds>(aRefusal.retryAfter);
  switch (aRefusal.kind) {
    case refusal_kind::eOverRate:
      error.status = 429;
      error.code = "rate_limited";
      error.text = "the workspace has used up its rate and burst";
      break;
    case refusal_kind::eRateUnreachable:
      error.status = 503;
      error.code = "rate_unreachable";
      error.text = "this host has used up its share of the workspace's rate "
                   "and cannot ask for more";
      break;
    case refusal_kind::eTooLarge:
      error.status = 429;
      error.code = "over_burst";
      error.text = "the request may use more tokens than the workspace's burst";
      error.retryAfter = std::nullopt;
      break;
    case refusal_kind::eMissesDeadline:
      error.status = 503;
      error.code = "overloaded";
      error.text = "the request could not make its deadline";
      break;
    case refusal_kind::eStopping:
      error.status = 503;
      error.code = "stopping";
      error.text = "this host is being stopped";
      break;
  }
  return error;
}

const char*
ReadErrorCode(int aStatus)
{
  constexpr int kTimeout = 408;
  constexpr int kBodyTooLarge = 413;
  constexpr int kHeadTooLarge = 431;
  switch (aStatus) {
    case kTimeout:
      return "too_slow";
    case kBodyTooLarge:
    case kHeadTooLarge:
      return "too_large";
    default:
      return "bad_request";
  }
}

} // namespace bulrush::entry
