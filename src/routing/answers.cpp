#include "routing/parts.hpp"

namespace bulrush::routing {

namespace {

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kMisdirected = 421;
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
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
         (aHead.saysNotRun && aHead.status >= kFirstClientError);
}

bool
IsLive(const request_row& aRequest)
{
  return aRequest.state == request_state::eRunning;
}

// The echo ties an answer to its attempt. A stream must also go on exactly
// where the caller's part ends.
bool
IsOwnAnswer(const attempt_row& aAttempt,
            const request_row& aRequest,
            const endpoint_row& aEndpoint)
{
  const answer_head& head = *aAttempt.head;
  const bool isEchoed = head.echoed == aAttempt.id;
  const bool needsNoEcho = !aEndpoint.facts.echoesAttempt && !head.echoed;
  if (!isEchoed && !needsNoEcho) {
    return false;
  }
  const bool isSuccess =
    head.status >= kFirstSuccess && head.status < kFirstRedirect;
  return !aRequest.facts.isStreamed || !isSuccess ||
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
  result.isGood = aFailure == attempt_failure::eNone;
  result.isRefused = aAttempt.head && IsOverload(aAttempt.head->status);
  result.hasFailed =
    aFailure != attempt_failure::eNone && aFailure != attempt_failure::eRefused;
  // Only a stream's first byte tells of the engine's state; a whole answer's
  // time depends on its length.
  if (aRequest.facts.isStreamed) {
    result.firstByte = std::chrono::duration_cast<std::chrono::microseconds>(
      aFirstByteAt - aAttempt.startedAt);
  }
  aTables.results.push_back(result);
}

// A stream fails when it falls silent, a whole answer at its deadline. Once
// the caller's answer has ended, keepUntil of the request decides.
void
SetDueTime(const options& aOptions,
           attempt_row& aAttempt,
           const request_row& aRequest,
           steady_time aNow)
{
  aAttempt.heardAt = aNow;
  if (!IsLive(aRequest)) {
    aAttempt.dueAt = steady_time::max();
  } else if (IsForwardedEarly(aRequest, aAttempt)) {
    aAttempt.dueAt =
      std::min(aNow + SilenceLimit(aOptions, aRequest), aRequest.facts.endBy);
  } else {
    aAttempt.dueAt = aRequest.facts.deadline;
  }
}

// What an endpoint lacks is news that its report has yet to bring.
void
NoteRefusal(tables& aTables,
            const attempt_row& aAttempt,
            const request_row& aRequest,
            steady_time aNow)
{
  const options& settings = aTables.settings;
  if (IsOverload(aAttempt.head->status)) {
    aTables.endpoints.Find(aAttempt.endpoint)->avoidUntil =
      aNow + settings.avoidFull;
  }
  std::erase_if(aTables.misses,
                [aNow](const miss_row& aMiss) { return aMiss.until <= aNow; });
  if (aAttempt.head->status == kMisdirected) {
    aTables.misses.push_back({ aAttempt.endpoint,
                               aRequest.facts.model,
                               aRequest.facts.adapter,
                               aNow + settings.avoidMissing });
  }
}

void
JudgeHead(tables& aTables,
          attempt_row& aAttempt,
          request_row& aRequest,
          steady_time aNow,
          outbox& aOutbox)
{
  endpoint_row& endpoint = *aTables.endpoints.Find(aAttempt.endpoint);
  endpoint.silences = 0;
  endpoint.doubtUntil = {};
  if (!IsOwnAnswer(aAttempt, aRequest, endpoint)) {
    FailAttempt(aTables,
                aAttempt,
                aRequest,
                attempt_failure::eCrossed,
                false,
                aNow,
                aOutbox);
    return;
  }
  if (IsRefusal(*aAttempt.head)) {
    NoteRefusal(aTables, aAttempt, aRequest, aNow);
    FailAttempt(aTables,
                aAttempt,
                aRequest,
                attempt_failure::eRefused,
                aAttempt.head->saysNotRun,
                aNow,
                aOutbox);
    return;
  }
  aAttempt.state = attempt_state::eAnswering;
  SetDueTime(aTables.settings, aAttempt, aRequest, aNow);
}

// Each byte is passed on once and in order: `forwarded` only grows.
void
ForwardTo(std::uint64_t aEnd,
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
ForwardEarly(const options& aOptions,
             attempt_row& aAttempt,
             request_row& aRequest,
             steady_time aNow,
             outbox& aOutbox)
{
  if (IsLive(aRequest) && IsForwardedEarly(aRequest, aAttempt) &&
      aAttempt.received > aRequest.forwarded) {
    ForwardTo(aAttempt.received, aAttempt, aRequest, aOutbox);
    SetDueTime(aOptions, aAttempt, aRequest, aNow);
  }
}

// An answer is whole: what was held back goes out, then the end.
void
Answer(tables& aTables,
       const attempt_row& aAttempt,
       request_row& aRequest,
       steady_time aNow,
       outbox& aOutbox)
{
  AddResult(
    aTables, aAttempt, aRequest, attempt_failure::eNone, aAttempt.firstByteAt);
  const int status = aAttempt.head->status;
  SettleClaim(aRequest, ran_state::eRan, aAttempt.id, status, aOutbox);
  aRequest.attempt = {};
  Attend(aTables, aRequest);
  if (!IsLive(aRequest)) {
    aRequest.state = request_state::eEnded;
    return;
  }
  if (!aRequest.hasForwarded || aAttempt.received > aRequest.forwarded) {
    ForwardTo(aAttempt.received, aAttempt, aRequest, aOutbox);
  }
  EndRequest(aTables.settings,
             aRequest,
             request_outcome::eAnswered,
             ran_state::eRan,
             aNow,
             aOutbox);
}

// An error of the endpoint is worth another try where that is allowed, and is
// never appended to a stream of which the caller has a part.
bool
IsUnusable(const attempt_row& aAttempt, const request_row& aRequest)
{
  if (aRequest.hasForwarded) {
    return !IsForwardedEarly(aRequest, aAttempt);
  }
  return aRequest.facts.isIdempotent &&
         aAttempt.head->status >= kFirstServerError;
}

attempt_failure
FailureOf(const attempt_row& aAttempt, const request_row& aRequest)
{
  const bool hasBegun = aAttempt.state == attempt_state::eAnswering;
  switch (aAttempt.end) {
    case attempt_end::eNotSent:
      // A head proves that the request was sent, whatever the transport says.
      return aAttempt.head ? attempt_failure::eTruncated
                           : attempt_failure::eNotSent;
    case attempt_end::eComplete:
      if (!hasBegun || aAttempt.hasGap) {
        return attempt_failure::eLost;
      }
      return IsUnusable(aAttempt, aRequest) ? attempt_failure::eServerError
                                            : attempt_failure::eNone;
    default:
      return hasBegun ? attempt_failure::eTruncated : attempt_failure::eLost;
  }
}

void
Finish(tables& aTables,
       attempt_row& aAttempt,
       request_row& aRequest,
       steady_time aNow,
       outbox& aOutbox)
{
  const attempt_failure failure = FailureOf(aAttempt, aRequest);
  if (failure == attempt_failure::eNone) {
    Answer(aTables, aAttempt, aRequest, aNow, aOutbox);
    return;
  }
  FailAttempt(aTables,
              aAttempt,
              aRequest,
              failure,
              failure == attempt_failure::eNotSent,
              aNow,
              aOutbox);
}

void
Handle(tables& aTables,
       attempt_row& aAttempt,
       steady_time aNow,
       outbox& aOutbox)
{
  aAttempt.isTouched = false;
  if (aAttempt.state == attempt_state::eCancelling) {
    return;
  }
  request_row& request = *aTables.requests.Find(aAttempt.request);
  if (aAttempt.state == attempt_state::eStarted && aAttempt.head) {
    JudgeHead(aTables, aAttempt, request, aNow, aOutbox);
  }
  if (aAttempt.state == attempt_state::eAnswering) {
    ForwardEarly(aTables.settings, aAttempt, request, aNow, aOutbox);
  }
  if (aAttempt.state == attempt_state::eCancelling) {
    return;
  }
  if (aAttempt.end != attempt_end::eNone) {
    Finish(aTables, aAttempt, request, aNow, aOutbox);
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
IsForwardedEarly(const request_row& aRequest, const attempt_row& aAttempt)
{
  return aRequest.facts.isStreamed && aAttempt.head &&
         aAttempt.head->status >= kFirstSuccess &&
         aAttempt.head->status < kFirstRedirect;
}

void
CancelAttempt(attempt_row& aAttempt, outbox& aOutbox)
{
  aAttempt.state = attempt_state::eCancelling;
  aAttempt.dueAt = steady_time::max();
  if (aAttempt.end == attempt_end::eNone) {
    aOutbox.cancels.push_back({ aAttempt.id });
  }
}

// An endpoint that cannot be reached or says nothing is likely to be gone; it
// takes a few check-ins until that is known.
static void
NoteSilence(tables& aTables,
            const attempt_row& aAttempt,
            attempt_failure aFailure,
            steady_time aNow)
{
  if (aFailure == attempt_failure::eNotSent ||
      aFailure == attempt_failure::eTimeout ||
      aFailure == attempt_failure::eLost) {
    endpoint_row& endpoint = *aTables.endpoints.Find(aAttempt.endpoint);
    ++endpoint.silences;
    DoubtSilent(aTables.settings, endpoint, aNow);
  }
}

// Without proof that it did not run, the request may have run, and stays so
// whatever later attempts say.
void
FailAttempt(tables& aTables,
            attempt_row& aAttempt,
            request_row& aRequest,
            attempt_failure aFailure,
            bool aIsKnownNotRun,
            steady_time aNow,
            outbox& aOutbox)
{
  AddResult(aTables, aAttempt, aRequest, aFailure, aNow);
  CancelAttempt(aAttempt, aOutbox);
  NoteSilence(aTables, aAttempt, aFailure, aNow);
  aRequest.attemptsUnsent += aFailure == attempt_failure::eNotSent ? 1U : 0U;
  aRequest.mayHaveRun |= !aIsKnownNotRun;
  aRequest.lastFailure = aFailure;
  aRequest.attempt = {};
  Attend(aTables, aRequest);
  if (IsLive(aRequest)) {
    aRequest.state = request_state::eFailed;
    return;
  }
  SettleClaim(aRequest, RanSoFar(aRequest), {}, 0, aOutbox);
  aRequest.state = request_state::eEnded;
}

void
OnAttemptHeaders(tables& aTables,
                 attempt_id aAttempt,
                 const answer_head& aHead,
                 steady_time aNow)
{
  attempt_row* row = aTables.attempts.Find(aAttempt);
  if (row == nullptr || row->head || row->end != attempt_end::eNone) {
    return;
  }
  row->isTouched = true;
  row->head = aHead;
  row->firstByteAt = aNow;
}

void
OnAttemptBytes(tables& aTables,
               attempt_id aAttempt,
               std::uint64_t aOffset,
               std::uint64_t aCount,
               steady_time /*aNow*/)
{
  attempt_row* row = aTables.attempts.Find(aAttempt);
  if (row == nullptr || row->hasGap || row->end != attempt_end::eNone) {
    return;
  }
  row->isTouched = true;
  if (aOffset != row->received) {
    row->hasGap = true;
    return;
  }
  row->received += aCount;
}

void
OnAttemptEnd(tables& aTables,
             attempt_id aAttempt,
             attempt_end aHow,
             steady_time /*aNow*/)
{
  attempt_row* row = aTables.attempts.Find(aAttempt);
  if (row != nullptr && row->end == attempt_end::eNone) {
    row->isTouched = true;
    row->end = aHow;
  }
}

// The slot of an attempt is free once the transport says that it ended, not
// when it was cancelled: until then the endpoint may be at work on it.
void
RunAnswers(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  for (attempt_row& attempt : aTables.attempts) {
    if (attempt.isTouched) {
      Handle(aTables, attempt, aNow, aOutbox);
    }
  }
  aTables.attempts.EraseIf([&aTables](const attempt_row& aAttempt) {
    if (aAttempt.end == attempt_end::eNone) {
      return false;
    }
    --aTables.endpoints.Find(aAttempt.endpoint)->inFlight;
    if (aAttempt.gateIncarnation != 0) {
      aTables.policy.coldGate.leave(aAttempt.endpoint,
                                    aAttempt.gateIncarnation);
    }
    return true;
  });
}

} // namespace bulrush::routing
