#include "routing/parts.hpp"

#include <utility>

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
CancelRequest(tables& aTables,
              request_row& aRequest,
              steady_time aNow,
              outbox& aOutbox)
{
  const request_outcome outcome = *aRequest.cancelledBy;
  if (IsWaitingForAttempt(aRequest.state)) {
    EndRequest(aTables.settings,
               aRequest,
               outcome,
               CurrentRanState(aRequest),
               aNow,
               aOutbox);
  } else if (aRequest.state == request_state::eRunning) {
    EndRunningRequest(aTables, aRequest, outcome, aNow, aOutbox);
  } else if (aRequest.state == request_state::eDetached &&
             outcome == request_outcome::eKeyWithdrawn) {
    CancelDetached(aTables, aRequest, aOutbox);
  }
}

// The attempt continues if no other endpoint can take over: its answer may
// still arrive.
void
ExtendTimeout(const options& aOptions,
              attempt_row& aAttempt,
              steady_time aLatest,
              steady_time aNow)
{
  aAttempt.timeoutAt = std::min(aLatest, aNow + aOptions.minIdleTimeout);
}

void
ReportKept(attempt_row& aAttempt,
           stay_reason aReason,
           steady_time aNow,
           outbox& aOutbox)
{
  if (std::exchange(aAttempt.stays, aReason) == aReason) {
    return;
  }
  const steady_time progress =
    std::max(aAttempt.startedAt, aAttempt.lastProgressAt);
  aOutbox.kept.push_back(
    { aAttempt.id, aAttempt.request, aReason, aNow - progress });
}

// An idempotent request or a stream fails this attempt and may be retried at
// another endpoint. Any other request ends: it has no further attempt.
void
HandleTimeout(tables& aTables,
              attempt_row& aAttempt,
              request_row& aRequest,
              steady_time aNow,
              outbox& aOutbox)
{
  const bool isStream = IsForwardedOnArrival(aRequest, aAttempt);
  const steady_time last = isStream
                             ? LastWait(aTables.settings, aAttempt, aRequest)
                             : aRequest.facts.deadline;
  if (aNow < last && aAttempt.isPaused) {
    ExtendTimeout(aTables.settings, aAttempt, last, aNow);
    return;
  }
  const stay_reason stays = WhyAttemptStays(aTables, aRequest, aNow);
  if (aNow < last && stays != stay_reason::eNone) {
    ReportKept(aAttempt, stays, aNow, aOutbox);
    ExtendTimeout(aTables.settings, aAttempt, last, aNow);
    return;
  }
  const bool isLate = aNow >= last && !aRequest.hasForwarded;
  if (stays == stay_reason::eNone && aNow < last) {
    PayForRetry(aTables, aRequest);
  }
  const attempt_failure failure = aAttempt.isPaused ? attempt_failure::eNotKept
                                  : isStream && !isLate
                                    ? attempt_failure::eTruncated
                                    : attempt_failure::eTimeout;
  if (aRequest.facts.isIdempotent || isStream) {
    FailAttempt(aTables, aAttempt, aRequest, failure, false, aNow, aOutbox);
    return;
  }
  RecordFailure(aTables, aAttempt, aRequest, failure, aNow);
  EndRunningRequest(
    aTables, aRequest, request_outcome::eDeadline, aNow, aOutbox);
}

// Requests in other states are processed within the tick; only these wait for a
// point in time.
void
WakeForRequest(const options& aOptions,
               const request_row& aRequest,
               wake_time& aWake)
{
  switch (aRequest.state) {
    case request_state::eReady:
      aWake.NoLaterThan(LastPlacement(aOptions, aRequest));
      break;
    case request_state::eAwaitingClaim:
      aWake.NoLaterThan(
        std::min(aRequest.keepUntil, aOptions.placementDeadline));
      break;
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
    case request_outcome::eKeyWithdrawn:
      return "serve caller";
    case request_outcome::eHostStopped:
      return "stop host";
    case request_outcome::eQuarantined:
    case request_outcome::eSuspected:
      return "check prompt";
    case request_outcome::eKeyUnconfirmed:
      return "check key";
    default:
      return "run attempt";
  }
}

// What a request waited for when its caller left.
const char*
WaitOf(const request_row& aRequest)
{
  switch (aRequest.state) {
    case request_state::eNeedsClaim:
    case request_state::eAwaitingClaim:
      return "wait for claim";
    case request_state::eReady:
      return aRequest.wasNotResident ? "wait for model" : "wait for endpoint";
    case request_state::eRunning:
      return aRequest.hasForwarded ? "forward answer" : "wait for answer";
    default:
      return "serve caller";
  }
}

// The peer of the reason is the endpoint of the last attempt.
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
  const char* step = aOutcome == request_outcome::eCallerGone
                       ? WaitOf(aRequest)
                       : StepOf(aOutcome);
  return { step, std::move(peer), Name(aOutcome) };
}

void
AddEnd(const request_row& aRequest,
       request_outcome aOutcome,
       ran_state aRan,
       outbox& aOutbox)
{
  aOutbox.ends.push_back({ aRequest.id,
                           aOutcome,
                           part_id{},
                           aRan,
                           aRequest.hasForwarded,
                           ReasonOf(aRequest, aOutcome) });
}

void
EraseEndedRequests(tables& aTables, outbox& aOutbox)
{
  std::size_t kept = 0;
  for (const request_id id : aTables.pendingRequests) {
    request_row& request = *aTables.requests.Find(id);
    if (request.state == request_state::eEnded) {
      aTables.requests.Erase(id);
    } else if (request.state == request_state::eRunning) {
      request.isPending = false;
    } else {
      WakeForRequest(aTables.settings, request, aOutbox.wake);
      aTables.pendingRequests[kept++] = id;
    }
  }
  aTables.pendingRequests.resize(kept);
}

// A removed endpoint is erased after its last attempt has ended.
void
EraseRemovedEndpoints(tables& aTables)
{
  if (!aTables.hasRemovedEndpoints) {
    return;
  }
  aTables.hasRemovedEndpoints = false;
  const auto isErasable = [&aTables](const endpoint_row& aEndpoint) {
    aTables.hasRemovedEndpoints |=
      aEndpoint.isRemoved && aEndpoint.inFlight > 0;
    return aEndpoint.isRemoved && aEndpoint.inFlight == 0;
  };
  if (aTables.endpoints.EraseIf(isErasable) == 0) {
    return;
  }
  aTables.residents.EraseIf([&aTables](const resident_row& aRow) {
    return aTables.endpoints.Find(aRow.id) == nullptr;
  });
  aTables.holdersAreStale = true;
}

} // namespace

void
CancelDetached(tables& aTables, request_row& aRequest, outbox& aOutbox)
{
  attempt_row* attempt = aTables.attempts.Find(aRequest.attempt);
  if (attempt != nullptr) {
    CancelAttempt(*attempt, aOutbox);
  }
  RecordClaimOutcome(aRequest, ran_state::eMayHaveRun, {}, 0, aOutbox);
  aRequest.state = request_state::eEnded;
}

void
MarkPending(tables& aTables, request_row& aRequest)
{
  if (!aRequest.isPending) {
    aRequest.isPending = true;
    aTables.pendingRequests.push_back(aRequest.id);
  }
}

ran_state
CurrentRanState(const request_row& aRequest)
{
  return aRequest.mayHaveRun ? ran_state::eMayHaveRun : ran_state::eNotRun;
}

// An unanswered claim may still be granted; the row is kept to release it.
void
EndRequest(const options& aOptions,
           request_row& aRequest,
           request_outcome aOutcome,
           ran_state aRan,
           steady_time aNow,
           outbox& aOutbox)
{
  AddEnd(aRequest, aOutcome, aRan, aOutbox);
  RecordClaimOutcome(aRequest, aRan, {}, 0, aOutbox);
  if (aRequest.state == request_state::eAwaitingClaim) {
    aRequest.state = request_state::eAbandonedClaim;
    aRequest.keepUntil = aNow + aOptions.detachedTimeout;
  } else {
    aRequest.state = request_state::eEnded;
  }
}

// Cancelling cannot undo a non-idempotent call. Its outcome is awaited and
// stored, to answer a resend under the same key.
void
EndRunningRequest(tables& aTables,
                  request_row& aRequest,
                  request_outcome aOutcome,
                  steady_time aNow,
                  outbox& aOutbox)
{
  AddEnd(aRequest, aOutcome, ran_state::eMayHaveRun, aOutbox);
  MarkPending(aTables, aRequest);
  const bool mayRunOn = aOutcome != request_outcome::eKeyWithdrawn &&
                        aOutcome != request_outcome::eHostStopped;
  if (aRequest.holdsClaim && mayRunOn) {
    aRequest.state = request_state::eDetached;
    aRequest.keepUntil = aNow + aTables.settings.detachedTimeout;
    aTables.attempts.Find(aRequest.attempt)->timeoutAt = steady_time::max();
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
  MarkPending(aTables, aTables.requests.Insert(std::move(row)));
  return true;
}

void
OnCallerDisconnected(tables& aTables, request_id aRequest)
{
  request_row* row = aTables.requests.Find(aRequest);
  if (row != nullptr && !row->cancelledBy) {
    row->cancelledBy = request_outcome::eCallerGone;
    MarkPending(aTables, *row);
  }
}

// Only the first answer counts.
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
    return count; // requests on open routes have no key
  }
  for (request_row& request : aTables.requests) {
    if (request.facts.key == aKey) {
      request.cancelledBy = request_outcome::eKeyWithdrawn;
      MarkPending(aTables, request);
      ++count;
    }
  }
  return count;
}

// Runs before RunAnswers, so that nothing is forwarded after the key was
// withdrawn.
void
RunCancels(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  for (const request_id id : aTables.pendingRequests) {
    request_row& request = *aTables.requests.Find(id);
    if (request.cancelledBy) {
      CancelRequest(aTables, request, aNow, aOutbox);
    }
  }
}

void
RunTimeouts(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  for (attempt_row& attempt : aTables.attempts) {
    if (aNow >= attempt.timeoutAt) {
      request_row& request = *aTables.requests.Find(attempt.request);
      HandleTimeout(aTables, attempt, request, aNow, aOutbox);
    }
  }
  for (const request_id id : aTables.pendingRequests) {
    request_row& request = *aTables.requests.Find(id);
    if (request.state == request_state::eDetached &&
        aNow >= request.keepUntil) {
      CancelDetached(aTables, request, aOutbox);
    }
  }
}

// Last in the tick: erases ended rows and computes the wake time.
void
RunSweep(tables& aTables, steady_time /*aNow*/, outbox& aOutbox)
{
  EraseEndedRequests(aTables, aOutbox);
  EraseRemovedEndpoints(aTables);
  for (const attempt_row& attempt : aTables.attempts) {
    aOutbox.wake.NoLaterThan(attempt.timeoutAt);
  }
  if (!aTables.requests.Empty()) {
    aOutbox.wake.NoLaterThan(aTables.settings.finishBy);
  }
}

} // namespace bulrush::routing
