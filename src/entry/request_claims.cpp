/// Claims of idempotency keys in the replicated state.

#include "entry/request_runner.hpp"

#include "entry/outcomes.hpp"

namespace bulrush::entry {

using net::Now;

namespace {

constexpr std::chrono::seconds kRecordTimeout{ 30 };
constexpr std::size_t kMaxStoredBytes = 65'536;

} // namespace

// An idempotency key is scoped to one workspace and one path.
claim_id
request_runner::implementation::ClaimOf(const routed_request& aRequest)
{
  const routing::request_facts& facts = aRequest.facts;
  return IdOf<claim_id>(FormatId(facts.workspace.value) + '\n' + aRequest.path +
                        '\n' + facts.idempotencyKey);
}

void
request_runner::implementation::Claim(const routing::request_claim& aAsk,
                                      steady_time aNow)
{
  const waiting_row& row = *mWaiting.Find(aAsk.request);
  claim_request claim;
  claim.claim = row.claim;
  claim.workspace = aAsk.workspace;
  claim.bodyDigest = aAsk.bodyDigest;
  claim.token = row.token;
  claim.runLimit = std::chrono::ceil<std::chrono::milliseconds>(
    row.request.facts.deadline - aNow + mEngine.settings.detachedTimeout);
  Commit(
    claim,
    aNow + mEngine.settings.claimTimeout,
    [this, request = aAsk.request, claim](const wire::command_reply& aReply) {
      OnClaim(request, claim, aReply);
    });
}

void
request_runner::implementation::OnClaim(request_id aRequest,
                                        const claim_request& aClaim,
                                        const wire::command_reply& aReply)
{
  if (aReply.outcome == wire::call_outcome::eUnknown) {
    Release(aClaim.claim, aClaim.token, Now());
  }
  if (waiting_row* row = mWaiting.Find(aRequest)) {
    row->status = aReply.result.storedStatus;
    row->answerFields = { { "Content-Type", aReply.result.storedContentType } };
    row->body = aReply.result.storedBody;
  }
  routing::OnClaimAnswer(mEngine, aRequest, ClaimAnswerOf(aReply));
  mTimer.RunSoon();
}

// "May have run" is not recorded: a claim without an outcome means the same.
void
request_runner::implementation::Record(const routing::record_outcome& aRecord,
                                       steady_time aNow)
{
  const waiting_row& row = *mWaiting.Find(aRecord.request);
  if (aRecord.ran == routing::ran_state::eNotRun) {
    Release(row.claim, row.token, aNow);
    return;
  }
  if (aRecord.ran != routing::ran_state::eRan) {
    return;
  }
  call_row& call = *mCalls.Find(aRecord.attempt);
  record_outcome outcome;
  outcome.claim = row.claim;
  outcome.token = row.token;
  outcome.status = aRecord.status;
  outcome.contentType = ContentTypeOf(call.answerFields);
  outcome.body = row.body.empty() ? call.answer->Take(0) : row.body;
  const std::size_t size = outcome.body.size();
  if (size > kMaxStoredBytes || (mAccount && !mAccount->HasRoom(size, size))) {
    return; // a resend is answered "may have run"
  }
  const std::uint64_t number = ++mLastOutcome;
  memory::holder& held = mHeldOutcomes[number];
  held = { mAccount, memory::holder_kind::eOutcome, memory::owner_id{}, {} };
  held.Set(size);
  Commit(
    outcome, aNow + kRecordTimeout, [this, number](const wire::command_reply&) {
      mHeldOutcomes.erase(number);
    });
}

void
request_runner::implementation::Release(claim_id aClaim,
                                        std::uint64_t aToken,
                                        steady_time aNow)
{
  Commit(release_claim{ aClaim, aToken }, aNow + kRecordTimeout, {});
}

void
request_runner::implementation::Commit(fleet_change aChange,
                                       steady_time aDeadline,
                                       command_hook aHook)
{
  fleet_command command;
  command.change = std::move(aChange);
  if (!aHook) {
    aHook = [](const wire::command_reply&) {};
  }
  mOnCommand(std::move(command), aDeadline, std::move(aHook));
}

} // namespace bulrush::entry
