#include "routing/parts.hpp"

#include <algorithm>

namespace bulrush::routing {

namespace {

void
Ask(const options& aOptions,
    request_row& aRequest,
    steady_time aNow,
    outbox& aOutbox)
{
  const request_facts& facts = aRequest.facts;
  aRequest.state = request_state::eAwaitingClaim;
  aRequest.keepUntil = std::min(facts.deadline, aNow + aOptions.claimWait);
  aOutbox.claims.push_back(
    { aRequest.id, facts.workspace, facts.idempotencyKey, facts.bodyDigest });
}

// Nothing of this request was sent, whatever became of an earlier one under
// the same key. So "not run" is said unless the earlier one's fate answers.
void
Refuse(const options& aOptions,
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
    aRequest.state = request_state::eReady; // no grant can come any more
  }
  EndRequest(aOptions, aRequest, outcome, ran, aNow, aOutbox);
}

void
Await(const options& aOptions,
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
    Refuse(aOptions, aRequest, aNow, aOutbox);
  }
}

// The caller was told "not run". A grant that comes late is given back, so
// that a resend can run.
void
Release(request_row& aRequest, steady_time aNow, outbox& aOutbox)
{
  if (aRequest.claim == claim_answer::eGranted) {
    aRequest.holdsClaim = true;
    SettleClaim(aRequest, ran_state::eNotRun, {}, 0, aOutbox);
  }
  if (aRequest.claim != claim_answer::eNone || aNow >= aRequest.keepUntil) {
    aRequest.state = request_state::eEnded;
  }
}

} // namespace

// holdsClaim is cleared first: an outcome is recorded once.
void
SettleClaim(request_row& aRequest,
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

// No byte of a claimed request is sent before its claim is granted: only the
// grant makes it ready.
void
RunClaims(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  for (const request_id id : aTables.attention) {
    request_row& request = *aTables.requests.Find(id);
    switch (request.state) {
      case request_state::eNeedsClaim:
        Ask(aTables.settings, request, aNow, aOutbox);
        break;
      case request_state::eAwaitingClaim:
        Await(aTables.settings, request, aNow, aOutbox);
        break;
      case request_state::eAbandonedClaim:
        Release(request, aNow, aOutbox);
        break;
      default:
        break;
    }
  }
}

} // namespace bulrush::routing
