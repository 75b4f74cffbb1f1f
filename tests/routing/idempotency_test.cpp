#include "routing/routing_fixture.hpp"

namespace bulrush::routing {
namespace {

struct idempotency_fixture : routing_fixture
{
  idempotency_fixture()
  {
    AddEndpoint(Facts(1));
    AddEndpoint(Facts(2));
  }

  request_id RequestClaim()
  {
    const request_facts facts = KeyedRequest();
    REQUIRE(AddRequest(engine, facts));
    RunOnce();
    REQUIRE(out.claims.size() == 1);
    CHECK(out.claims.front().workspace == facts.workspace);
    CHECK(out.starts.empty());
    return facts.id;
  }

  start_attempt Grant(request_id aRequest)
  {
    OnClaimAnswer(engine, aRequest, claim_answer::eGranted);
    RunOnce();
    REQUIRE(out.starts.size() == 1);
    return out.starts.front();
  }

  void CheckRecord(ran_state aRan) const
  {
    REQUIRE(out.records.size() == 1);
    CHECK(out.records.front().ran == aRan);
    CHECK(out.records.front().idempotencyKey == "release-7");
  }
};

TEST_CASE_METHOD(idempotency_fixture,
                 "Claim_WhenGranted_LetsTheRequestRunAndRecordsItsOutcome",
                 "[routing]")
{
  const start_attempt sent = Grant(RequestClaim());
  CHECK(sent.freshConnection);
  AnswerCompletely(sent.attempt);
  RunOnce();
  CheckEnd(request_outcome::eAnswered, ran_state::eRan);
  CheckRecord(ran_state::eRan);
  CHECK(out.records.front().attempt == sent.attempt);
}

TEST_CASE_METHOD(idempotency_fixture,
                 "Claim_WhenNotGranted_SendsNothingAndReportsTheReason",
                 "[routing]")
{
  struct expectation
  {
    claim_answer answer;
    request_outcome outcome;
    ran_state ran;
  };
  const expectation expected = GENERATE(
    expectation{
      claim_answer::eStored, request_outcome::eStoredAnswer, ran_state::eRan },
    expectation{ claim_answer::eInProgress,
                 request_outcome::eInProgress,
                 ran_state::eMayHaveRun },
    expectation{ claim_answer::eMayHaveRun,
                 request_outcome::eClaimUncertain,
                 ran_state::eMayHaveRun },
    expectation{
      claim_answer::eNoQuorum, request_outcome::eNoQuorum, ran_state::eNotRun },
    expectation{ claim_answer::eDigestMismatch,
                 request_outcome::eDigestMismatch,
                 ran_state::eNotRun });
  OnClaimAnswer(engine, RequestClaim(), expected.answer);
  RunOnce();
  CHECK(out.starts.empty());
  CHECK(out.records.empty());
  CheckEnd(expected.outcome, expected.ran);
}

TEST_CASE_METHOD(idempotency_fixture,
                 "Claim_WithoutAnAnswer_IsRefusedAndALateGrantReleased",
                 "[routing]")
{
  const request_id request = RequestClaim();
  RunOnce(milliseconds{ 900 });
  CheckEnd(request_outcome::eNoQuorum, ran_state::eNotRun);
  OnClaimAnswer(engine, request, claim_answer::eGranted);
  RunOnce();
  CHECK(out.starts.empty());
  CheckRecord(ran_state::eNotRun);
  CHECK(engine.requests.Empty());
}

TEST_CASE_METHOD(idempotency_fixture,
                 "Claim_WhenTheCallerDisconnectsBeforeTheGrant_IsReleased",
                 "[routing]")
{
  const request_id request = RequestClaim();
  OnCallerDisconnected(engine, request);
  OnClaimAnswer(engine, request, claim_answer::eGranted);
  RunOnce();
  CheckEnd(request_outcome::eCallerGone, ran_state::eNotRun);
  CHECK(out.starts.empty());
  CheckRecord(ran_state::eNotRun);
}

TEST_CASE_METHOD(idempotency_fixture,
                 "Claim_WhenNoEndpointIsFree_IsReleasedAsNotRun",
                 "[routing]")
{
  for (std::uint64_t id = 1; id <= 2; ++id) {
    endpoint_facts facts = Facts(id);
    facts.isDraining = true;
    UpdateEndpoint(engine, facts);
  }
  OnClaimAnswer(engine, RequestClaim(), claim_answer::eGranted);
  RunOnce();
  CHECK(out.ends.empty());
  RunOnce(milliseconds{ 900 });
  CheckEnd(request_outcome::eNotResident, ran_state::eNotRun);
  CheckRecord(ran_state::eNotRun);
}

TEST_CASE_METHOD(idempotency_fixture,
                 "Claim_WhenTheAnswerIsLost_IsRecordedAsUncertain",
                 "[routing]")
{
  const start_attempt sent = Grant(RequestClaim());
  End(sent.attempt, attempt_end::eLost);
  RunOnce();
  CHECK(out.starts.empty());
  CheckEnd(request_outcome::eLost, ran_state::eMayHaveRun);
  CheckRecord(ran_state::eMayHaveRun);
}

TEST_CASE_METHOD(idempotency_fixture,
                 "Claim_WhenTheCallerDisconnects_StillRecordsTheAnswer",
                 "[routing]")
{
  const start_attempt sent = Grant(RequestClaim());
  OnCallerDisconnected(engine, sent.request);
  RunOnce();
  CheckEnd(request_outcome::eCallerGone, ran_state::eMayHaveRun);
  CHECK(out.cancels.empty());
  CHECK(out.records.empty());
  AnswerCompletely(sent.attempt);
  RunOnce();
  CHECK(out.forwards.empty());
  CHECK(out.ends.empty());
  CheckRecord(ran_state::eRan);
}

TEST_CASE_METHOD(idempotency_fixture,
                 "Claim_WhenTheAttemptTimesOut_IsRecordedAsUncertain",
                 "[routing]")
{
  const start_attempt sent = Grant(RequestClaim());
  RunOnce(milliseconds{ 900 });
  CheckEnd(request_outcome::eDeadline, ran_state::eMayHaveRun);
  CHECK(out.wake.at == now + engine.settings.detachedTimeout);
  RunOnce(engine.settings.detachedTimeout);
  REQUIRE(out.cancels.size() == 1);
  CHECK(out.cancels.front().attempt == sent.attempt);
  CheckRecord(ran_state::eMayHaveRun);
}

TEST_CASE_METHOD(idempotency_fixture,
                 "Claim_WhenTheKeyIsWithdrawn_IsCancelledAndUncertain",
                 "[routing]")
{
  request_facts facts = KeyedRequest();
  facts.key.bytes[0] = 9;
  REQUIRE(AddRequest(engine, facts));
  RunOnce();
  const start_attempt sent = Grant(facts.id);
  CHECK(CancelByKey(engine, facts.key) == 1);
  RunOnce();
  CheckEnd(request_outcome::eKeyWithdrawn, ran_state::eMayHaveRun);
  REQUIRE(out.cancels.size() == 1);
  CHECK(out.cancels.front().attempt == sent.attempt);
  CheckRecord(ran_state::eMayHaveRun);
}

} // namespace
} // namespace bulrush::routing
