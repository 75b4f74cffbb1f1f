#include "routing/parts.hpp"

namespace bulrush::routing {

namespace {

constexpr bool
IsWaitingForAttempt(request_state aState)
{
  return aState == request_state::eNeedsClaim ||
         aState == request_state::eAwaitingClaim ||
         aState == request_state::eReady || aState == request_state::eFailed;
}

void
CancelDetached(tables& aTables, request_row& aRequest, outbox& aOutbox)
{
  attempt_row* attempt = aTables.attempts.Find(aRequest.attempt);
  if (attempt != nullptr) {
    CancelAttempt(*attempt, aOutbox);
  }
  SettleClaim(aRequest, ran_state::eMayHaveRun, {}, 0, aOutbox);
  aRequest.state = request_state::eEnded;
}

void
Cancel(tables& aTables,
       request_row& aRequest,
       steady_time aNow,
       outbox& aOutbox)
{
  const request_outcome outcome = *aRequest.cancelledBy;
  if (IsWaitingForAttempt(aRequest.state)) {
    EndRequest(
      aTables.settings, aRequest, outcome, RanSoFar(aRequest), aNow, aOutbox);
  } else if (aRequest.state == request_state::eRunning) {
    EndWhileRunning(aTables, aRequest, outcome, aNow, aOutbox);
  } else if (aRequest.state == request_state::eDetached &&
             outcome == request_outcome::eKeyWithdrawn) {
    CancelDetached(aTables, aRequest, aOutbox);
  }
}

// Silence ends no answer that could still come and that nobody else can give.
void
WaitOn(const options& aOptions,
       attempt_row& aAttempt,
       steady_time aLast,
       steady_time aNow)
{
  aAttempt.dueAt = std::min(aLast, aNow + aOptions.leastSilence);
}

// A request that may be repeated fails this attempt and may go on elsewhere.
// For any other its only attempt is all that will ever be known.
void
TimeOut(tables& aTables,
        attempt_row& aAttempt,
        request_row& aRequest,
        steady_time aNow,
        outbox& aOutbox)
{
  const bool isStream = IsForwardedEarly(aRequest, aAttempt);
  const steady_time last =
    isStream ? std::min(aRequest.facts.endBy,
                        aAttempt.heardAt + aTables.settings.streamIdle)
             : aRequest.facts.deadline;
  if (aNow < last && !MayMove(aTables, aRequest, aNow)) {
    WaitOn(aTables.settings, aAttempt, last, aNow);
    return;
  }
  if (aRequest.facts.isIdempotent || isStream) {
    FailAttempt(aTables,
                aAttempt,
                aRequest,
                isStream ? attempt_failure::eTruncated
                         : attempt_failure::eTimeout,
                false,
                aNow,
                aOutbox);
    return;
  }
  EndWhileRunning(aTables, aRequest, request_outcome::eDeadline, aNow, aOutbox);
}

// A failed, ended or claimed request is dealt with in the tick that finds it;
// only these wait for a time.
void
WakeForRequest(const options& aOptions,
               const request_row& aRequest,
               wake_time& aWake)
{
  switch (aRequest.state) {
    case request_state::eReady:
      aWake.NoLaterThan(std::min(
        { aRequest.facts.deadline, aRequest.facts.placeBy, aOptions.placeBy }));
      break;
    case request_state::eAwaitingClaim:
    case request_state::eAbandonedClaim:
    case request_state::eDetached:
      aWake.NoLaterThan(aRequest.keepUntil);
      break;
    default:
      break;
  }
}

const char*
StepOf(request_outcome aOutcome)
{
  switch (aOutcome) {
    case request_outcome::eNotResident:
    case request_outcome::eNoSlot:
      return "choose endpoint";
    case request_outcome::eNoQuorum:
    case request_outcome::eInProgress:
    case request_outcome::eClaimUncertain:
    case request_outcome::eDigestMismatch:
    case request_outcome::eStoredAnswer:
      return "claim";
    case request_outcome::eCallerGone:
    case request_outcome::eKeyWithdrawn:
      return "serve caller";
    default:
      return "run attempt";
  }
}

// The reason carries the step and the peer: the endpoint tried last.
last_reason
ReasonOf(const request_row& aRequest, request_outcome aOutcome)
{
  if (aOutcome == request_outcome::eAnswered) {
    return {};
  }
  std::string peer;
  if (aRequest.attemptsMade > 0) {
    const auto last = (aRequest.attemptsMade - 1) % kTriedEndpoints;
    peer = "endpoint " + std::to_string(aRequest.tried[last].value);
  }
  return { StepOf(aOutcome), std::move(peer), Name(aOutcome) };
}

void
PushEnd(const request_row& aRequest,
        request_outcome aOutcome,
        ran_state aRan,
        outbox& aOutbox)
{
  aOutbox.ends.push_back({ aRequest.id,
                           aOutcome,
                           aRan,
                           aRequest.hasForwarded,
                           ReasonOf(aRequest, aOutcome) });
}

void
SweepRequests(tables& aTables, outbox& aOutbox)
{
  std::size_t kept = 0;
  for (const request_id id : aTables.attention) {
    request_row& request = *aTables.requests.Find(id);
    if (request.state == request_state::eEnded) {
      aTables.requests.Erase(id);
    } else if (request.state == request_state::eRunning) {
      request.isAttended = false;
    } else {
      WakeForRequest(aTables.settings, request, aOutbox.wake);
      aTables.attention[kept++] = id;
    }
  }
  aTables.attention.resize(kept);
}

// A gone endpoint stays until its last attempt ended.
void
SweepEndpoints(tables& aTables)
{
  if (!aTables.hasGoneEndpoints) {
    return;
  }
  aTables.hasGoneEndpoints = false;
  const auto isOver = [&aTables](const endpoint_row& aEndpoint) {
    aTables.hasGoneEndpoints |= aEndpoint.isGone && aEndpoint.inFlight > 0;
    return aEndpoint.isGone && aEndpoint.inFlight == 0;
  };
  if (aTables.endpoints.EraseIf(isOver) == 0) {
    return;
  }
  aTables.residents.EraseIf([&aTables](const resident_row& aRow) {
    return aTables.endpoints.Find(aRow.id) == nullptr;
  });
  aTables.holdersAreStale = true;
}

} // namespace

void
Attend(tables& aTables, request_row& aRequest)
{
  if (!aRequest.isAttended) {
    aRequest.isAttended = true;
    aTables.attention.push_back(aRequest.id);
  }
}

ran_state
RanSoFar(const request_row& aRequest)
{
  return aRequest.mayHaveRun ? ran_state::eMayHaveRun : ran_state::eNotRun;
}

// A claim that was asked for and not answered may still be granted; the row
// stays to give it back.
void
EndRequest(const options& aOptions,
           request_row& aRequest,
           request_outcome aOutcome,
           ran_state aRan,
           steady_time aNow,
           outbox& aOutbox)
{
  PushEnd(aRequest, aOutcome, aRan, aOutbox);
  SettleClaim(aRequest, aRan, {}, 0, aOutbox);
  if (aRequest.state == request_state::eAwaitingClaim) {
    aRequest.state = request_state::eAbandonedClaim;
    aRequest.keepUntil = aNow + aOptions.detachedWait;
  } else {
    aRequest.state = request_state::eEnded;
  }
}

// Cancelling cannot undo a non-idempotent call. Its outcome is worth waiting
// for: a resend under the same key is answered with it.
void
EndWhileRunning(tables& aTables,
                request_row& aRequest,
                request_outcome aOutcome,
                steady_time aNow,
                outbox& aOutbox)
{
  PushEnd(aRequest, aOutcome, ran_state::eMayHaveRun, aOutbox);
  Attend(aTables, aRequest);
  if (aRequest.holdsClaim && aOutcome != request_outcome::eKeyWithdrawn) {
    aRequest.state = request_state::eDetached;
    aRequest.keepUntil = aNow + aTables.settings.detachedWait;
    aTables.attempts.Find(aRequest.attempt)->dueAt = steady_time::max();
    return;
  }
  CancelDetached(aTables, aRequest, aOutbox);
}

bool
AddRequest(tables& aTables, const request_facts& aFacts)
{
  if (aTables.requests.Find(aFacts.id) != nullptr) {
    return false;
  }
  request_row row;
  row.id = aFacts.id;
  row.facts = aFacts;
  row.arrival = ++aTables.arrivals;
  const bool needsClaim =
    !aFacts.isIdempotent && !aFacts.idempotencyKey.empty();
  row.state = needsClaim ? request_state::eNeedsClaim : request_state::eReady;
  Attend(aTables, aTables.requests.Insert(std::move(row)));
  return true;
}

void
OnCallerGone(tables& aTables, request_id aRequest)
{
  request_row* row = aTables.requests.Find(aRequest);
  if (row != nullptr && !row->cancelledBy) {
    row->cancelledBy = request_outcome::eCallerGone;
    Attend(aTables, *row);
  }
}

// The first answer counts; a repeated one changes nothing.
void
OnClaimAnswer(tables& aTables, request_id aRequest, claim_answer aAnswer)
{
  request_row* row = aTables.requests.Find(aRequest);
  if (row != nullptr && row->claim == claim_answer::eNone) {
    row->claim = aAnswer;
  }
}

std::size_t
CancelByKey(tables& aTables, const key_hash& aKey)
{
  std::size_t count = 0;
  if (aKey == key_hash{}) {
    return count; // open routes carry no key
  }
  for (request_row& request : aTables.requests) {
    if (request.facts.key == aKey) {
      request.cancelledBy = request_outcome::eKeyWithdrawn;
      Attend(aTables, request);
      ++count;
    }
  }
  return count;
}

// Runs before the answers, so that nothing more reaches the caller of a key
// that was withdrawn.
void
RunCancels(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  for (const request_id id : aTables.attention) {
    request_row& request = *aTables.requests.Find(id);
    if (request.cancelledBy) {
      Cancel(aTables, request, aNow, aOutbox);
    }
  }
}

void
RunTimeouts(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  for (attempt_row& attempt : aTables.attempts) {
    if (aNow >= attempt.dueAt) {
      request_row& request = *aTables.requests.Find(attempt.request);
      TimeOut(aTables, attempt, request, aNow, aOutbox);
    }
  }
  for (const request_id id : aTables.attention) {
    request_row& request = *aTables.requests.Find(id);
    if (request.state == request_state::eDetached &&
        aNow >= request.keepUntil) {
      CancelDetached(aTables, request, aOutbox);
    }
  }
}

// Last in the tick: drops what ended and says when to run again.
void
RunSweep(tables& aTables, steady_time /*aNow*/, outbox& aOutbox)
{
  SweepRequests(aTables, aOutbox);
  SweepEndpoints(aTables);
  for (const attempt_row& attempt : aTables.attempts) {
    aOutbox.wake.NoLaterThan(attempt.dueAt);
  }
}

} // namespace bulrush::routing
