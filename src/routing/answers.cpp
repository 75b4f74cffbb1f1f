#include "core/answer_status.hpp"
#include "routing/parts.hpp"

#include <utility>

namespace bulrush::routing {

namespace {

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kMisdirected = 421;
constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;

bool
IsOverload(int aStatus)
{
  return aStatus == kTooManyRequests || aStatus == kUnavailable;
}

bool
IsRefusal(const answer_head& aHead)
{
  return IsOverload(aHead.status) ||
         (aHead.statesNotRun && aHead.status >= kFirstClientError);
}

bool
IsLive(const request_row& aRequest)
{
  return aRequest.state == request_state::eRunning;
}

// The echoed attempt id ties an answer to its attempt. Without one, the order
// on the connection does, which a second answer to an earlier request would
// break: an error may lack the echo only where no earlier request was sent. A
// resumed stream must also start at the offset that was forwarded last.
bool
IsOwnAnswer(const attempt_row& aAttempt,
            const request_row& aRequest,
            const endpoint_row& aEndpoint)
{
  const answer_head& head = *aAttempt.head;
  const bool isEchoed = head.echoed == aAttempt.id;
  const bool mayLackEcho =
    !aEndpoint.facts.echoesAttempt ||
    (head.isFirstOnConnection && head.status >= kFirstClientError);
  if (!isEchoed && (head.echoed || !mayLackEcho)) {
    return false;
  }
  return !aRequest.facts.isStreamed || !IsSuccess(head.status) ||
         head.startOffset == aAttempt.startOffset;
}

void
AddResult(tables& aTables,
          const attempt_row& aAttempt,
          const request_row& aRequest,
          attempt_failure aFailure,
          steady_time aFirstByteAt)
{
  attempt_result result;
  result.endpoint = aAttempt.endpoint;
  result.coldEpoch = aAttempt.coldEpoch;
  result.wasBusy = aAttempt.wasBusy;
  result.hasSucceeded = aFailure == attempt_failure::eNone;
  result.isRefused = aAttempt.head && IsOverload(aAttempt.head->status);
  result.hasFailed = aFailure != attempt_failure::eNone &&
                     aFailure != attempt_failure::eRefused &&
                     aFailure != attempt_failure::eNotKept;
  // Only a stream's time to the first byte reflects the state of the engine;
  // that of a buffered answer depends on its length.
  if (aRequest.facts.isStreamed) {
    result.firstByte = std::chrono::duration_cast<std::chrono::microseconds>(
      aFirstByteAt - aAttempt.startedAt);
  }
  aTables.results.push_back(result);
}

// A stream times out when it is idle, a buffered answer at its deadline. After
// the request has ended for its caller, keepUntil applies instead.
void
SetTimeout(const options& aOptions,
           attempt_row& aAttempt,
           const request_row& aRequest,
           steady_time aNow)
{
  aAttempt.lastProgressAt = aNow;
  if (!IsLive(aRequest)) {
    aAttempt.timeoutAt = steady_time::max();
  } else if (IsForwardedOnArrival(aRequest, aAttempt)) {
    aAttempt.timeoutAt = std::min(aNow + IdleTimeout(aOptions, aRequest),
                                  LastWait(aOptions, aAttempt, aRequest));
  } else {
    aAttempt.timeoutAt = aRequest.facts.deadline;
  }
}

// The endpoint's next report will show the overload; until then, or until its
// Retry-After, the endpoint is avoided. The answers to requests that were under
// way together do not shorten the time.
void
RecordOverload(tables& aTables, const attempt_row& aAttempt, steady_time aNow)
{
  endpoint_row& endpoint = *aTables.endpoints.Find(aAttempt.endpoint);
  if (endpoint.facts.incarnation != aAttempt.incarnation) {
    return;
  }
  const std::chrono::milliseconds backoff = std::max(
    aTables.settings.overloadBackoff,
    aAttempt.head->retryAfter.value_or(std::chrono::milliseconds{ 0 }));
  endpoint.avoidUntil = std::max(endpoint.avoidUntil, aNow + backoff);
}

// The endpoint's next report will show the missing model.
void
RecordMissingModel(tables& aTables,
                   const attempt_row& aAttempt,
                   const request_row& aRequest,
                   steady_time aNow)
{
  const options& settings = aTables.settings;
  std::erase_if(aTables.missingModels,
                [aNow](const missing_model_row& aMissing) {
                  return aMissing.until <= aNow;
                });
  if (aAttempt.head->status == kMisdirected) {
    aTables.missingModels.push_back({ aAttempt.endpoint,
                                      aRequest.facts.model,
                                      aRequest.facts.adapter,
                                      aNow + settings.missingModelBackoff });
  }
}

void
HandleHead(tables& aTables,
           attempt_row& aAttempt,
           request_row& aRequest,
           steady_time aNow,
           outbox& aOutbox)
{
  endpoint_row& endpoint = *aTables.endpoints.Find(aAttempt.endpoint);
  endpoint.unansweredAttempts = 0;
  endpoint.suspectUntil = {};
  if (aAttempt.head->isLeaving) {
    MarkLeaving(aTables, aAttempt, aNow);
  }
  if (IsOverload(aAttempt.head->status)) {
    RecordOverload(aTables, aAttempt, aNow);
  }
  if (!IsOwnAnswer(aAttempt, aRequest, endpoint)) {
    FailAttempt(aTables,
                aAttempt,
                aRequest,
                attempt_failure::eMisdelivered,
                false,
                aNow,
                aOutbox);
    return;
  }
  if (IsRefusal(*aAttempt.head)) {
    RecordMissingModel(aTables, aAttempt, aRequest, aNow);
    FailAttempt(aTables,
                aAttempt,
                aRequest,
                attempt_failure::eRefused,
                aAttempt.head->statesNotRun,
                aNow,
                aOutbox);
    return;
  }
  aAttempt.state = attempt_state::eAnswering;
  SetTimeout(aTables.settings, aAttempt, aRequest, aNow);
}

// Bytes are forwarded once and in order: `forwarded` never decreases.
void
ForwardUpTo(std::uint64_t aEnd,
            const attempt_row& aAttempt,
            request_row& aRequest,
            outbox& aOutbox)
{
  aOutbox.forwards.push_back({ aRequest.id,
                               aAttempt.id,
                               aAttempt.head->status,
                               aRequest.forwarded,
                               aEnd - aRequest.forwarded });
  aRequest.forwarded = aEnd;
  aRequest.hasForwarded = true;
}

void
ForwardReceived(const options& aOptions,
                attempt_row& aAttempt,
                request_row& aRequest,
                steady_time aNow,
                outbox& aOutbox)
{
  if (IsLive(aRequest) && IsForwardedOnArrival(aRequest, aAttempt) &&
      aAttempt.received > aRequest.forwarded) {
    ForwardUpTo(aAttempt.received, aAttempt, aRequest, aOutbox);
    if (std::exchange(aAttempt.hasNewContent, false)) {
      aRequest.hasContent = true;
      SetTimeout(aOptions, aAttempt, aRequest, aNow);
    }
  }
}

// Forwards the bytes of a complete answer that were held back and ends it.
void
CompleteAnswer(tables& aTables,
               attempt_row& aAttempt,
               request_row& aRequest,
               steady_time aNow,
               outbox& aOutbox)
{
  RecordPromptAnswer(aTables, aAttempt, aRequest, true, aNow);
  endpoint_row& endpoint = *aTables.endpoints.Find(aAttempt.endpoint);
  ClearBroken(endpoint);
  LearnFromAnswer(endpoint, aAttempt, aRequest.facts.isStreamed, aNow);
  AddResult(
    aTables, aAttempt, aRequest, attempt_failure::eNone, aAttempt.firstByteAt);
  const int status = aAttempt.head->status;
  RecordClaimOutcome(aRequest, ran_state::eRan, aAttempt.id, status, aOutbox);
  aRequest.attempt = {};
  MarkPending(aTables, aRequest);
  if (!IsLive(aRequest)) {
    aRequest.state = request_state::eEnded;
    return;
  }
  if (!aRequest.hasForwarded || aAttempt.received > aRequest.forwarded) {
    ForwardUpTo(aAttempt.received, aAttempt, aRequest, aOutbox);
  }
  EndRequest(aTables.settings,
             aRequest,
             request_outcome::eAnswered,
             ran_state::eRan,
             aNow,
             aOutbox);
}

// A server error is retried if the request is idempotent, and an error is never
// appended to a partly forwarded stream.
bool
IsUnusable(const attempt_row& aAttempt, const request_row& aRequest)
{
  if (aRequest.hasForwarded) {
    return !IsForwardedOnArrival(aRequest, aAttempt);
  }
  return aRequest.facts.isIdempotent &&
         aAttempt.head->status >= kFirstServerError;
}

attempt_failure
FailureOf(const attempt_row& aAttempt, const request_row& aRequest)
{
  const bool hasHead = aAttempt.state == attempt_state::eAnswering;
  switch (aAttempt.end) {
    case attempt_end::eNotSent:
      // A head proves that the request was sent, despite the reported end.
      return aAttempt.head ? attempt_failure::eTruncated
                           : attempt_failure::eNotSent;
    case attempt_end::eComplete:
      if (!hasHead || aAttempt.hasGap) {
        return attempt_failure::eLost;
      }
      return IsUnusable(aAttempt, aRequest) ? attempt_failure::eServerError
                                            : attempt_failure::eNone;
    case attempt_end::eNotKept:
      return attempt_failure::eNotKept;
    default:
      return hasHead ? attempt_failure::eTruncated : attempt_failure::eLost;
  }
}

// The endpoint's own error is passed on if it is the last word on the request;
// any other answer would hide what the endpoint stated. The attempt still
// counts as failed against its endpoint. A retry is paid for with the decision:
// the answer is dropped at the end of the tick, and other requests of the tick
// may use up the budget.
void
DecideServerError(tables& aTables,
                  const attempt_row& aAttempt,
                  request_row& aRequest,
                  steady_time aNow,
                  outbox& aOutbox)
{
  if (aRequest.state != request_state::eFailed || aRequest.hasForwarded) {
    return;
  }
  if (!ShouldRetry(aTables, aRequest, aNow)) {
    ForwardUpTo(aAttempt.received, aAttempt, aRequest, aOutbox);
    EndRequest(aTables.settings,
               aRequest,
               request_outcome::eAnswered,
               ran_state::eRan,
               aNow,
               aOutbox);
  } else if (!aRequest.hasPaidRetry) {
    PayForRetry(aTables, aRequest);
  }
}

void
HandleAttemptEnd(tables& aTables,
                 attempt_row& aAttempt,
                 request_row& aRequest,
                 steady_time aNow,
                 outbox& aOutbox)
{
  const attempt_failure failure = FailureOf(aAttempt, aRequest);
  if (failure == attempt_failure::eNone) {
    CompleteAnswer(aTables, aAttempt, aRequest, aNow, aOutbox);
    return;
  }
  RecordPromptCrash(aTables, aAttempt, aRequest, aNow);
  FailAttempt(aTables,
              aAttempt,
              aRequest,
              failure,
              failure == attempt_failure::eNotSent,
              aNow,
              aOutbox);
  if (failure == attempt_failure::eServerError) {
    DecideServerError(aTables, aAttempt, aRequest, aNow, aOutbox);
  }
}

void
HandleEvents(tables& aTables,
             attempt_row& aAttempt,
             steady_time aNow,
             outbox& aOutbox)
{
  aAttempt.hasNewEvents = false;
  if (aAttempt.state == attempt_state::eCancelling) {
    return;
  }
  request_row& request = *aTables.requests.Find(aAttempt.request);
  if (aAttempt.state == attempt_state::eStarted && aAttempt.head) {
    HandleHead(aTables, aAttempt, request, aNow, aOutbox);
  }
  if (aAttempt.state == attempt_state::eAnswering) {
    RecordPromptAnswer(aTables, aAttempt, request, false, aNow);
    ForwardReceived(aTables.settings, aAttempt, request, aNow, aOutbox);
  }
  if (aAttempt.state == attempt_state::eCancelling) {
    return;
  }
  if (aAttempt.end != attempt_end::eNone) {
    HandleAttemptEnd(aTables, aAttempt, request, aNow, aOutbox);
  } else if (aAttempt.hasGap) {
    FailAttempt(aTables,
                aAttempt,
                request,
                attempt_failure::eTruncated,
                false,
                aNow,
                aOutbox);
  }
}

} // namespace

bool
IsForwardedOnArrival(const request_row& aRequest, const attempt_row& aAttempt)
{
  return aRequest.facts.isStreamed && aAttempt.head &&
         IsSuccess(aAttempt.head->status);
}

void
CancelAttempt(attempt_row& aAttempt, outbox& aOutbox)
{
  aAttempt.state = attempt_state::eCancelling;
  aAttempt.timeoutAt = steady_time::max();
  if (aAttempt.end == attempt_end::eNone) {
    aOutbox.cancels.push_back({ aAttempt.id });
  }
}

// An endpoint that is unreachable or does not answer has probably failed, but
// membership takes several missed reports to detect that.
static void
RecordUnanswered(tables& aTables,
                 const attempt_row& aAttempt,
                 attempt_failure aFailure,
                 steady_time aNow)
{
  if (aFailure == attempt_failure::eNotSent ||
      aFailure == attempt_failure::eTimeout ||
      aFailure == attempt_failure::eLost) {
    endpoint_row& endpoint = *aTables.endpoints.Find(aAttempt.endpoint);
    ++endpoint.unansweredAttempts;
    MarkSuspect(aTables.settings, endpoint, aNow);
  }
}

// A head alone does not prove that an endpoint is sound: it may send one before
// each answer that has no end. Attempts that break together, as with a
// connection or a host, are counted once. Streams that time out are left out,
// since a full engine sends its head long before its first token.
static void
RecordBroken(tables& aTables,
             const attempt_row& aAttempt,
             const request_row& aRequest,
             attempt_failure aFailure,
             steady_time aNow)
{
  const bool isBroken = aFailure == attempt_failure::eTruncated ||
                        aFailure == attempt_failure::eMisdelivered ||
                        (aFailure == attempt_failure::eTimeout &&
                         aAttempt.head && !aRequest.facts.isStreamed);
  endpoint_row& endpoint = *aTables.endpoints.Find(aAttempt.endpoint);
  if (isBroken && aAttempt.incarnation == endpoint.facts.incarnation &&
      aAttempt.startedAt >= endpoint.brokenAt) {
    MarkBroken(aTables.settings, endpoint, aNow);
  }
}

void
RecordFailure(tables& aTables,
              const attempt_row& aAttempt,
              const request_row& aRequest,
              attempt_failure aFailure,
              steady_time aNow)
{
  AddResult(aTables, aAttempt, aRequest, aFailure, aNow);
  RecordUnanswered(aTables, aAttempt, aFailure, aNow);
  RecordBroken(aTables, aAttempt, aRequest, aFailure, aNow);
}

// Without proof that the attempt did not run, the request may have run; later
// attempts cannot revoke that.
void
FailAttempt(tables& aTables,
            attempt_row& aAttempt,
            request_row& aRequest,
            attempt_failure aFailure,
            bool aIsKnownNotRun,
            steady_time aNow,
            outbox& aOutbox)
{
  CancelAttempt(aAttempt, aOutbox);
  RecordFailure(aTables, aAttempt, aRequest, aFailure, aNow);
  aRequest.attemptsUnsent += aFailure == attempt_failure::eNotSent ? 1U : 0U;
  aRequest.mayHaveRun |= !aIsKnownNotRun;
  aRequest.lastFailure = aFailure;
  aRequest.attempt = {};
  MarkPending(aTables, aRequest);
  if (IsLive(aRequest)) {
    aRequest.state = request_state::eFailed;
    return;
  }
  RecordClaimOutcome(aRequest, CurrentRanState(aRequest), {}, 0, aOutbox);
  aRequest.state = request_state::eEnded;
}

// A head with an invalid status is ignored, so that its attempt ends as one
// without an answer: nothing that such a head states is believed.
void
OnAttemptHeaders(tables& aTables,
                 attempt_id aAttempt,
                 const answer_head& aHead,
                 steady_time aNow)
{
  attempt_row* row = aTables.attempts.Find(aAttempt);
  if (row == nullptr || row->head || row->end != attempt_end::eNone ||
      !IsFinalStatus(aHead.status)) {
    return;
  }
  row->hasNewEvents = true;
  row->head = aHead;
  row->firstByteAt = aNow;
}

void
OnAttemptBytes(tables& aTables,
               attempt_id aAttempt,
               std::uint64_t aOffset,
               std::uint64_t aCount,
               bool aHasContent,
               steady_time aNow)
{
  attempt_row* row = aTables.attempts.Find(aAttempt);
  if (row == nullptr || row->hasGap || row->end != attempt_end::eNone) {
    return;
  }
  row->hasNewEvents = true;
  if (aOffset != row->received) {
    row->hasGap = true;
    return;
  }
  row->received += aCount;
  row->hasNewContent |= aHasContent;
  if (aHasContent && row->firstEventAt == steady_time{}) {
    row->firstEventAt = aNow;
  }
}

void
OnConnectionLost(tables& aTables, attempt_id aAttempt)
{
  attempt_row* row = aTables.attempts.Find(aAttempt);
  if (row != nullptr) {
    row->isConnectionLost = true;
  }
}

void
OnAttemptPaused(tables& aTables, attempt_id aAttempt, bool aIsPaused)
{
  attempt_row* row = aTables.attempts.Find(aAttempt);
  if (row != nullptr) {
    row->isPaused = aIsPaused;
  }
}

void
OnAttemptEnd(tables& aTables,
             attempt_id aAttempt,
             attempt_end aEnd,
             steady_time /*aNow*/)
{
  attempt_row* row = aTables.attempts.Find(aAttempt);
  if (row != nullptr && row->end == attempt_end::eNone) {
    row->hasNewEvents = true;
    row->end = aEnd;
  }
}

// The slot of an attempt is freed when the transport reports its end, not when
// it is cancelled: until then the endpoint may still be processing it.
void
RunAnswers(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  for (attempt_row& attempt : aTables.attempts) {
    if (attempt.hasNewEvents) {
      HandleEvents(aTables, attempt, aNow, aOutbox);
    }
  }
  aTables.attempts.EraseIf([&aTables](const attempt_row& aAttempt) {
    if (aAttempt.end == attempt_end::eNone) {
      return false;
    }
    --aTables.endpoints.Find(aAttempt.endpoint)->inFlight;
    if (aAttempt.gateIncarnation != 0) {
      aTables.policy.coldGate.release(aAttempt.endpoint,
                                      aAttempt.gateIncarnation);
    }
    return true;
  });
}

} // namespace bulrush::routing
