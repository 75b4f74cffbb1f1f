#include "routing/parts.hpp"

namespace bulrush::routing {

namespace {

// Order of a tick. Cancels precede answers, so that no byte is forwarded after
// a key was withdrawn. Answers precede the choice of endpoints, which uses the
// slots that they free.
constexpr std::array<named_system<tables, outbox>, 12> kSystems{ {
  { "index_holders", RunIndexHolders },
  { "cancels", RunCancels },
  { "answers", RunAnswers },
  { "stop", RunStop },
  { "quarantine", RunQuarantine },
  { "timeouts", RunTimeouts },
  { "cold_start", RunColdStart },
  { "claims", RunClaims },
  { "retry", RunRetry },
  { "choose", RunChoose },
  { "outflow", RunOutflow },
  { "sweep", RunSweep },
} };

} // namespace

tables::tables(options aOptions, hooks aHooks)
  : settings(aOptions)
  , policy(std::move(aHooks))
  , random(aOptions.seed)
  , prefixes(kPrefixSlots)
{
}

hooks
DefaultHooks()
{
  return { ScoreByLoadAndPrefix,
           PickTwoRandom,
           DetectByRefusalOrJump,
           RetryWithinBudget,
           {},
           nullptr,
           nullptr };
}

void
outbox::Clear()
{
  cancels.clear();
  forwards.clear();
  records.clear();
  ends.clear();
  claims.clear();
  starts.clear();
  kept.clear();
  outflows.clear();
  wake = {};
}

void
Tick(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  RunTick(kSystems, aTables, aNow, aOutbox);
}

const char*
Name(ran_state aRan)
{
  switch (aRan) {
    case ran_state::eNotRun:
      return "not_run";
    case ran_state::eMayHaveRun:
      return "may_have_run";
    default:
      return "ran";
  }
}

const char*
Name(request_outcome aOutcome)
{
  switch (aOutcome) {
    case request_outcome::eAnswered:
      return "answered";
    case request_outcome::eStoredAnswer:
      return "stored_answer";
    case request_outcome::eInProgress:
      return "in_progress";
    case request_outcome::eClaimUncertain:
      return "claim_uncertain";
    case request_outcome::eNoQuorum:
      return "no_quorum";
    case request_outcome::eDigestMismatch:
      return "digest_mismatch";
    case request_outcome::eNotResident:
      return "not_resident";
    case request_outcome::eNoSlot:
      return "no_slot";
    case request_outcome::eDeadline:
      return "deadline";
    case request_outcome::eRefused:
      return "refused";
    case request_outcome::eUnreachable:
      return "unreachable";
    case request_outcome::eLost:
      return "lost";
    case request_outcome::eNotKept:
      return "not_kept";
    case request_outcome::eBrokenStream:
      return "broken_stream";
    case request_outcome::eCallerGone:
      return "caller_gone";
    case request_outcome::eHostStopped:
      return "host_stopped";
    case request_outcome::eQuarantined:
      return "quarantined";
    case request_outcome::eSuspected:
      return "suspected";
    default:
      return "key_withdrawn";
    case request_outcome::eKeyUnconfirmed:
      return "key_unconfirmed";
  }
}

const char*
Name(stay_reason aReason)
{
  switch (aReason) {
    case stay_reason::eNotRepeatable:
      return "not_repeatable";
    case stay_reason::eNoAttemptLeft:
      return "no_attempt_left";
    case stay_reason::eNoOther:
      return "no_other_endpoint";
    case stay_reason::eNoRetryBudget:
      return "no_retry_budget";
    default:
      return "none";
  }
}

} // namespace bulrush::routing
