/// Requests with parts of prompts that crash endpoints.

#include "routing/parts.hpp"

#include <algorithm>

namespace bulrush::routing {

namespace {

/// An endpoint that crashes may have sent the first event of its answer.
constexpr std::uint64_t kEventsOfACrash = 1;
/// Bytes of a process that has ended are handled within this time.
constexpr std::chrono::milliseconds kLateBytes{ 500 };

bool
WaitsForAnswer(const tables& aTables,
               const attempt_row& aAttempt,
               part_id aPart)
{
  const request_row* request = aTables.requests.Find(aAttempt.request);
  if (request == nullptr || aAttempt.isAnswered ||
      aAttempt.end != attempt_end::eNone) {
    return false;
  }
  const std::vector<part_id>& parts = request->facts.sharedParts;
  return std::find(parts.begin(), parts.end(), aPart) != parts.end();
}

bool
IsUnderWay(const tables& aTables, part_id aPart)
{
  return std::any_of(aTables.attempts.begin(),
                     aTables.attempts.end(),
                     [&](const attempt_row& aAttempt) {
                       return WaitsForAnswer(aTables, aAttempt, aPart);
                     });
}

bool
HasQuarantinedPart(const tables& aTables, const request_facts& aFacts)
{
  return std::any_of(
    aFacts.sharedParts.begin(), aFacts.sharedParts.end(), [&](part_id aPart) {
      const auto* row = aTables.quarantined.suspects.Find(aPart);
      return row != nullptr &&
             quarantine::IsQuarantined(aTables.quarantined.settings, *row);
    });
}

// The endpoint has the request and has not begun its answer, so its process may
// still be saved.
void
CancelQuarantined(tables& aTables,
                  const attempt_row& aAttempt,
                  steady_time aNow,
                  outbox& aOutbox)
{
  if (aAttempt.state == attempt_state::eCancelling || aAttempt.isTrial ||
      aAttempt.received != aAttempt.startOffset) {
    return;
  }
  request_row& request = *aTables.requests.Find(aAttempt.request);
  if (request.state != request_state::eRunning) {
    return;
  }
  const quarantine::verdict judged = quarantine::Judge(
    aTables.quarantined,
    request.facts.sharedParts,
    false,
    [](part_id) { return false; },
    aNow);
  if (judged.kind == quarantine::verdict_kind::eRefuse) {
    EndRunningRequest(
      aTables, request, request_outcome::eQuarantined, aNow, aOutbox);
    aOutbox.ends.back().part = judged.part;
  }
}

} // namespace

quarantine::verdict
JudgePrompt(const tables& aTables,
            const request_row& aRequest,
            steady_time aNow)
{
  return quarantine::Judge(
    aTables.quarantined,
    aRequest.facts.sharedParts,
    aRequest.hasCrashedEndpoint,
    [&aTables](part_id aPart) { return IsUnderWay(aTables, aPart); },
    aNow);
}

void
MarkTrial(tables& aTables, attempt_row& aAttempt, const request_facts& aFacts)
{
  aAttempt.isTrial = HasQuarantinedPart(aTables, aFacts);
  quarantine::UseTrials(aTables.quarantined, aFacts.sharedParts);
}

void
EndQuarantined(tables& aTables,
               request_row& aRequest,
               const quarantine::verdict& aVerdict,
               steady_time aNow,
               outbox& aOutbox)
{
  const request_outcome outcome =
    aVerdict.kind == quarantine::verdict_kind::eRefuse
      ? request_outcome::eQuarantined
      : request_outcome::eSuspected;
  EndUnplaced(aTables.settings, aRequest, outcome, aNow, aOutbox);
  aOutbox.ends.back().part = aVerdict.part;
}

// A lost connection ends the process of an endpoint as far as one host can
// tell. An endpoint that goes on is seen by its later answers and check-ins.
void
RecordPromptCrash(tables& aTables,
                  const attempt_row& aAttempt,
                  request_row& aRequest,
                  steady_time aNow)
{
  if (aAttempt.isConnectionLost && !aAttempt.isAnswered) {
    aRequest.hasCrashedEndpoint = true;
    quarantine::RecordCrash(aTables.quarantined,
                            { aAttempt.endpoint, aAttempt.incarnation, aNow },
                            aRequest.facts.sharedParts);
  }
}

void
RecordPromptAnswer(tables& aTables,
                   attempt_row& aAttempt,
                   const request_row& aRequest,
                   bool aIsComplete,
                   steady_time aNow)
{
  const bool hasGoneOn =
    IsForwardedOnArrival(aRequest, aAttempt) &&
    aAttempt.received > aAttempt.startOffset + kEventsOfACrash;
  if (!aAttempt.isAnswered && IsSuccess(aAttempt.head->status) &&
      (hasGoneOn || aIsComplete)) {
    aAttempt.isAnswered = true;
    quarantine::RecordAnswer(
      aTables.quarantined, aRequest.facts.sharedParts, aNow);
  }
  if (aTables.settings.endpointsCheckIncarnation) {
    quarantine::RecordRunning(aTables.quarantined,
                              aAttempt.endpoint,
                              aAttempt.incarnation,
                              aNow - kLateBytes);
  }
}

// Runs before RunTimeouts, which moves attempts to other endpoints.
void
RunQuarantine(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  quarantine::Expire(aTables.quarantined, aNow);
  if (aTables.judgedSerial == aTables.quarantined.serial) {
    return;
  }
  aTables.judgedSerial = aTables.quarantined.serial;
  for (const attempt_row& attempt : aTables.attempts) {
    CancelQuarantined(aTables, attempt, aNow, aOutbox);
  }
}

} // namespace bulrush::routing
