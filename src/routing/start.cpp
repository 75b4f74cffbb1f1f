#include "routing/parts.hpp"

#include <algorithm>

namespace bulrush::routing {

namespace {

attempt_id
NewAttemptId(tables& aTables)
{
  attempt_id id;
  do {
    id.value = aTables.random();
  } while (!id || aTables.attempts.Find(id) != nullptr);
  return id;
}

// The retry budget is a share of the traffic: each first attempt adds to it.
void
RecordAttempt(tables& aTables, request_row& aRequest, endpoint_id aEndpoint)
{
  if (aRequest.attemptsMade == 0) {
    retry_row& retries = FindOrAddRetryBudget(aTables, aRequest.facts.service);
    retries.budget = std::min(aTables.settings.retryBurst,
                              retries.budget + aTables.settings.retryShare);
  }
  aRequest.tried[aRequest.attemptsMade % kTriedEndpoints] = aEndpoint;
  ++aRequest.attemptsMade;
}

// Endpoints that tell their slowdown share their machines with others and are
// short of room at times, and urgent requests must not wait for patient ones.
// Elsewhere requests run in order of arrival.
std::optional<int>
StatedUrgency(const request_row& aRequest,
              const endpoint_row& aEndpoint,
              steady_time aNow)
{
  const bool hasTarget = aRequest.facts.targetAt != steady_time::max();
  const bool isByTarget =
    aRequest.facts.isScheduledByTarget || aEndpoint.slowdown;
  return hasTarget && isByTarget ? std::optional{ UrgencyOf(aRequest, aNow) }
                                 : std::nullopt;
}

void
StartAttempt(tables& aTables,
             request_row& aRequest,
             endpoint_row& aEndpoint,
             const std::optional<time_estimate>& aEstimate,
             steady_time aNow,
             outbox& aOutbox)
{
  attempt_row attempt;
  attempt.id = NewAttemptId(aTables);
  attempt.request = aRequest.id;
  attempt.endpoint = aEndpoint.id;
  attempt.incarnation = aEndpoint.facts.incarnation;
  attempt.coldEpoch = aEndpoint.coldStart.epoch;
  attempt.startedAt = aNow;
  attempt.estimate = aEstimate;
  RecordSend(aEndpoint, aNow);
  request_facts& facts = aRequest.facts;
  facts.deadline = std::min(facts.deadline, aTables.settings.finishBy);
  facts.lastByteDeadline =
    std::min(facts.lastByteDeadline, aTables.settings.finishBy);
  aRequest.lastFailure = attempt_failure::eNone;
  const auto timeout =
    AttemptTimeout(aTables.settings, aRequest, TimeLeft(aRequest, aNow));
  attempt.timeoutAt = aNow + timeout;
  attempt.startOffset = aRequest.forwarded;
  attempt.received = aRequest.forwarded;

  if (aEndpoint.unansweredAttempts > 0) {
    MarkSuspect(aTables.settings, aEndpoint, aNow); // this attempt is the probe
  }
  AvoidBroken(aTables.settings, aEndpoint, aNow);
  // After a refusal a kept connection may bring the same refusal once more,
  // with the same id.
  const bool isRepeated = HasTried(aRequest, aEndpoint.id);
  RecordAttempt(aTables, aRequest, aEndpoint.id);
  RecordPrefix(aTables, aRequest.facts.prefix, aEndpoint.id);
  MarkTrial(aTables, attempt, facts);
  aRequest.attempt = attempt.id;
  aRequest.state = request_state::eRunning;
  ++aEndpoint.inFlight;
  if (IsColdGated(aTables, aEndpoint)) {
    attempt.gateIncarnation = aEndpoint.facts.incarnation;
    const steady_time ends =
      std::max(attempt.timeoutAt, aRequest.facts.deadline);
    aTables.policy.coldGate.acquire(aEndpoint.facts, ends, aNow);
  }
  aEndpoint.coldBudget -= aEndpoint.coldStart.isCold ? 1.0 : 0.0;
  attempt.wasBusy = 2 * aEndpoint.inFlight >= ConcurrencyLimit(aEndpoint);
  aOutbox.starts.push_back({ attempt.id,
                             aRequest.id,
                             aEndpoint.id,
                             aEndpoint.facts.address,
                             !aRequest.facts.isIdempotent ||
                               !aEndpoint.facts.echoesAttempt || isRepeated,
                             attempt.startOffset,
                             timeout,
                             StatedUrgency(aRequest, aEndpoint, aNow) });
  aTables.attempts.Insert(attempt);
}

// Ends a request that found no endpoint in time.
void
EndWithoutChoice(tables& aTables,
                 request_row& aRequest,
                 steady_time aNow,
                 outbox& aOutbox)
{
  const request_outcome outcome = aRequest.wasNotResident
                                    ? request_outcome::eNotResident
                                    : request_outcome::eNoSlot;
  EndUnplaced(aTables.settings, aRequest, outcome, aNow, aOutbox);
  aOutbox.ends.back().retryAfter = RetryAfterRefusal(aTables, aRequest, aNow);
}

// Requests that are scheduled by their targets: those that can still
// meet their target first, by the time at which it passes. Then, and elsewhere
// only, higher priority first and the order in which the fair queue of
// admission released the requests.
bool
HasPrecedence(const waiting_request& aLeft, const waiting_request& aRight)
{
  if (aLeft.isByTarget != aRight.isByTarget) {
    return aRight.isByTarget;
  }
  if (aLeft.isLate != aRight.isLate) {
    return aRight.isLate;
  }
  if (aLeft.isLate && aLeft.isReturning != aRight.isReturning) {
    return aLeft.isReturning;
  }
  if (aLeft.targetAt != aRight.targetAt) {
    return aLeft.targetAt < aRight.targetAt;
  }
  if (aLeft.priority != aRight.priority) {
    return aLeft.priority > aRight.priority;
  }
  return aLeft.arrival < aRight.arrival;
}

bool
IsOrderedByTarget(tables& aTables, const request_facts& aFacts)
{
  const requested_model needed{ { aFacts.model, aFacts.adapter },
                                aFacts.version };
  const auto known = std::find_if(
    aTables.modelOrders.begin(),
    aTables.modelOrders.end(),
    [&](const model_order& aRow) { return aRow.needed == needed; });
  if (known != aTables.modelOrders.end()) {
    return known->isByTarget;
  }
  const bool isByTarget = IsScheduledByTarget(aTables, aFacts);
  aTables.modelOrders.push_back({ needed, isByTarget });
  return isByTarget;
}

// The caller of a stream that is resumed waits for its next event.
waiting_request
WaitingRequest(tables& aTables, const request_row& aRequest, steady_time aNow)
{
  const request_facts& facts = aRequest.facts;
  waiting_request waiting;
  waiting.priority = facts.priority;
  waiting.arrival = aRequest.arrival;
  waiting.id = aRequest.id;
  waiting.isByTarget = IsOrderedByTarget(aTables, facts);
  if (waiting.isByTarget && !aRequest.hasForwarded) {
    waiting.isLate = facts.targetAt <= aNow;
    waiting.isReturning = facts.isReturning;
    waiting.targetAt = facts.targetAt;
  }
  return waiting;
}

void
CollectWaiting(tables& aTables, steady_time aNow)
{
  aTables.modelsWithoutSlot.clear();
  aTables.modelOrders.clear();
  aTables.waiting.clear();
  for (const request_id id : aTables.pendingRequests) {
    const request_row& request = *aTables.requests.Find(id);
    if (request.state == request_state::eReady) {
      aTables.waiting.push_back(WaitingRequest(aTables, request, aNow));
    }
  }
  std::sort(aTables.waiting.begin(), aTables.waiting.end(), HasPrecedence);
}

// Requests that wait for the same model share one "no slot" result per tick. A
// request with earlier attempts has other candidates, so it is checked alone.
choice
ChooseOrShareResult(tables& aTables,
                    const request_row& aRequest,
                    steady_time aNow)
{
  const request_facts& facts = aRequest.facts;
  const requested_model needed{ { facts.model, facts.adapter }, facts.version };
  const bool isFirst = aRequest.attemptsMade == 0;
  const auto known = std::find_if(
    aTables.modelsWithoutSlot.begin(),
    aTables.modelsWithoutSlot.end(),
    [&](const model_without_slot& aRow) { return aRow.needed == needed; });
  if (isFirst && known != aTables.modelsWithoutSlot.end()) {
    return { 0, choice_failure::eNoSlot, known->availableAt };
  }
  const choice chosen = ChooseEndpoint(aTables, aRequest, aNow);
  if (isFirst && chosen.failure == choice_failure::eNoSlot &&
      !chosen.isHeldBack) {
    aTables.modelsWithoutSlot.push_back({ needed, chosen.availableAt });
  }
  return chosen;
}

// A stopping host refuses what was not sent, so that another host serves it.
// For what may have run a refusal comes too late.
steady_time
LastStart(const options& aOptions, const request_row& aRequest)
{
  const bool wasSent = aRequest.mayHaveRun || aRequest.hasForwarded;
  return wasSent
           ? aRequest.facts.deadline
           : std::min(aRequest.facts.deadline, aOptions.placementDeadline);
}

// Afterwards the first attempt of a request is sent whatever the queue.
steady_time
LastHeldBack(const request_facts& aFacts, steady_time aNow)
{
  const steady_time last = aFacts.targetAt - aFacts.targetFirstByte / 2;
  return last > aNow ? last : steady_time::max();
}

bool
IsTargetGone(const tables& aTables, const request_facts& aFacts)
{
  return aTables.policy.isTargetGone && aTables.policy.isTargetGone(aFacts);
}

steady_time
KeyUsableUntil(const tables& aTables, const request_facts& aFacts)
{
  return aTables.policy.keyUsableUntil ? aTables.policy.keyUsableUntil(aFacts)
                                       : steady_time::max();
}

// Waiting requests are tried again when the backoff of an endpoint ends, and
// when the queue that it reported is no longer relied on.
void
WakeForAvoided(const tables& aTables, steady_time aNow, wake_time& aWake)
{
  for (const endpoint_row& endpoint : aTables.endpoints) {
    for (const steady_time until :
         { endpoint.avoidUntil,
           endpoint.suspectUntil,
           endpoint.reportedQueued > 0
             ? endpoint.facts.reportedAt + kQueueReportAge
             : steady_time{} }) {
      if (aNow < until) {
        aWake.NoLaterThan(until);
      }
    }
  }
}

} // namespace

void
EndUnplaced(const options& aOptions,
            request_row& aRequest,
            request_outcome aOutcome,
            steady_time aNow,
            outbox& aOutbox)
{
  EndRequest(aOptions,
             aRequest,
             aRequest.hasForwarded ? request_outcome::eBrokenStream : aOutcome,
             CurrentRanState(aRequest),
             aNow,
             aOutbox);
}

steady_time
LastPlacement(const options& aOptions, const request_row& aRequest)
{
  const steady_time start = LastStart(aOptions, aRequest);
  return aRequest.hasForwarded
           ? start
           : std::min(start, aRequest.facts.placementDeadline);
}

// The deadline and the key are checked right before sending, so that a thread
// that was suspended sends no expired request. A request that no endpoint
// accepts before its deadline is refused at once, as is one whose model neither
// is held nor will be loaded.
void
RunChoose(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  CollectWaiting(aTables, aNow);
  for (const waiting_request& each : aTables.waiting) {
    request_row& request = *aTables.requests.Find(each.id);
    const steady_time keyUsableUntil = KeyUsableUntil(aTables, request.facts);
    if (aNow >= keyUsableUntil) {
      EndUnplaced(aTables.settings,
                  request,
                  request_outcome::eKeyUnconfirmed,
                  aNow,
                  aOutbox);
      continue;
    }
    aOutbox.wake.NoLaterThan(keyUsableUntil);
    const quarantine::verdict judged = JudgePrompt(aTables, request, aNow);
    if (judged.kind == quarantine::verdict_kind::eRefuse ||
        (judged.kind == quarantine::verdict_kind::eWait &&
         aNow >= LastPlacement(aTables.settings, request))) {
      EndQuarantined(aTables, request, judged, aNow, aOutbox);
      continue;
    }
    const steady_time lastStart = LastStart(aTables.settings, request);
    if (aNow >= lastStart) {
      EndWithoutChoice(aTables, request, aNow, aOutbox);
      continue;
    }
    if (judged.kind == quarantine::verdict_kind::eWait) {
      aOutbox.wake.NoLaterThan(judged.until);
      continue;
    }
    const choice chosen = ChooseOrShareResult(aTables, request, aNow);
    request.wasNotResident = chosen.failure == choice_failure::eNotResident;
    const steady_time last = LastPlacement(aTables.settings, request);
    if (chosen.failure &&
        (aNow >= last || chosen.availableAt >= last ||
         (request.wasNotResident && IsTargetGone(aTables, request.facts)))) {
      EndWithoutChoice(aTables, request, aNow, aOutbox);
      continue;
    }
    if (chosen.failure) {
      WakeForAvoided(aTables, aNow, aOutbox.wake);
    }
    if (chosen.isHeldBack) {
      aOutbox.wake.NoLaterThan(LastHeldBack(request.facts, aNow));
    }
    if (!chosen.failure) {
      endpoint_row& endpoint = aTables.endpoints.Rows()[chosen.position];
      StartAttempt(aTables, request, endpoint, chosen.estimate, aNow, aOutbox);
    }
  }
}

} // namespace bulrush::routing
