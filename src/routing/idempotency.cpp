#include "routing/parts.hpp"

#include <algorithm>

namespace bulrush::routing {

namespace {

void
RequestClaim(const options& aOptions,
             request_row& aRequest,
             steady_time aNow,
             outbox& aOutbox)
{
  const request_facts& facts = aRequest.facts;
  aRequest.state = request_state::eAwaitingClaim;
  aRequest.keepUntil = std::min(facts.deadline, aNow + aOptions.claimTimeout);
  aOutbox.claims.push_back(
    { aRequest.id, facts.workspace, facts.idempotencyKey, facts.bodyDigest });
}

// Nothing of this request was sent, so its outcome is "not run" unless the
// outcome of the earlier request under the same key applies.
void
EndWithoutClaim(const options& aOptions,
                request_row& aRequest,
                steady_time aNow,
                outbox& aOutbox)
{
  request_outcome outcome = request_outcome::eNoQuorum;
  ran_state ran = ran_state::eNotRun;
  switch (aRequest.claim) {
    case claim_answer::eStored:
      outcome = request_outcome::eStoredAnswer;
      ran = ran_state::eRan;
      break;
    case claim_answer::eInProgress:
      outcome = request_outcome::eInProgress;
      ran = ran_state::eMayHaveRun;
      break;
    case claim_answer::eMayHaveRun:
      outcome = request_outcome::eClaimUncertain;
      ran = ran_state::eMayHaveRun;
      break;
    case claim_answer::eDigestMismatch:
      outcome = request_outcome::eDigestMismatch;
      break;
    default:
      break;
  }
  if (aRequest.claim != claim_answer::eNone) {
    aRequest.state = request_state::eReady; // no late grant can arrive
  }
  EndRequest(aOptions, aRequest, outcome, ran, aNow, aOutbox);
}

void
HandleClaimAnswer(const options& aOptions,
                  request_row& aRequest,
                  steady_time aNow,
                  outbox& aOutbox)
{
  if (aRequest.claim == claim_answer::eGranted) {
    aRequest.holdsClaim = true;
    aRequest.state = request_state::eReady;
    return;
  }
  if (aRequest.claim != claim_answer::eNone || aNow >= aRequest.keepUntil) {
    EndWithoutClaim(aOptions, aRequest, aNow, aOutbox);
  }
}

// The caller got "not run", so a late grant is released to let a resend run.
void
ReleaseLateGrant(request_row& aRequest, steady_time aNow, outbox& aOutbox)
{
  if (aRequest.claim == claim_answer::eGranted) {
    aRequest.holdsClaim = true;
    RecordClaimOutcome(aRequest, ran_state::eNotRun, {}, 0, aOutbox);
  }
  if (aRequest.claim != claim_answer::eNone || aNow >= aRequest.keepUntil) {
    aRequest.state = request_state::eEnded;
  }
}

} // namespace

// Clearing holdsClaim ensures that the outcome is recorded once.
void
RecordClaimOutcome(request_row& aRequest,
                   ran_state aRan,
                   attempt_id aAttempt,
                   int aStatus,
                   outbox& aOutbox)
{
  if (!aRequest.holdsClaim) {
    return;
  }
  aRequest.holdsClaim = false;
  const request_facts& facts = aRequest.facts;
  aOutbox.records.push_back({ aRequest.id,
                              facts.workspace,
                              facts.idempotencyKey,
                              facts.bodyDigest,
                              aAttempt,
                              aRan,
                              aStatus });
}

// No byte of a claimed request is sent before its claim is granted, since only
// the grant sets eReady.
void
RunClaims(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  for (const request_id id : aTables.pendingRequests) {
    request_row& request = *aTables.requests.Find(id);
    switch (request.state) {
      case request_state::eNeedsClaim:
        RequestClaim(aTables.settings, request, aNow, aOutbox);
        break;
      case request_state::eAwaitingClaim:
        HandleClaimAnswer(aTables.settings, request, aNow, aOutbox);
        break;
      case request_state::eAbandonedClaim:
        ReleaseLateGrant(request, aNow, aOutbox);
        break;
      default:
        break;
    }
  }
}

} // namespace bulrush::routing
