#include "routing/routing_fixture.hpp"

namespace bulrush::routing {
namespace {

constexpr std::uint64_t kBodyBytes = 24;

// Endpoints that answer with errors of their own; two attempts a request.
struct server_error_fixture : routing_fixture
{
  server_error_fixture()
  {
    engine.settings.maxAttempts = 2;
    for (std::uint64_t id = 1; id <= 3; ++id) {
      endpoint_facts facts = Facts(id);
      facts.canResume = true;
      AddEndpoint(facts);
      MarkWarm(id);
    }
  }

  void AnswerWithError(attempt_id aAttempt, int aStatus)
  {
    Head(aAttempt, aStatus);
    Bytes(aAttempt, 0, kBodyBytes);
    End(aAttempt, attempt_end::eComplete);
  }

  /// The second attempt of a request whose first one got a whole 500.
  start_attempt SecondAttempt(const request_facts& aFacts)
  {
    AnswerWithError(Send(aFacts).attempt, 500);
    RunOnce();
    REQUIRE(out.forwards.empty());
    REQUIRE(out.ends.empty());
    REQUIRE(out.starts.size() == 1);
    return out.starts.front();
  }

  void CheckPassedOn(attempt_id aAttempt, int aStatus) const
  {
    REQUIRE(out.forwards.size() == 1);
    CHECK(out.forwards.front().attempt == aAttempt);
    CHECK(out.forwards.front().status == aStatus);
    CHECK(out.forwards.front().offset == 0);
    CHECK(out.forwards.front().count == kBodyBytes);
    CheckEnd(request_outcome::eAnswered, ran_state::eRan);
    CHECK(engine.requests.Empty());
    CHECK(engine.attempts.Empty());
  }
};

TEST_CASE_METHOD(server_error_fixture,
                 "ServerError_OfTheLastAttempt_IsPassedOn",
                 "[routing]")
{
  const int status = GENERATE(500, 504);
  request_facts facts = Request();
  facts.isStreamed = GENERATE(false, true);
  const start_attempt last = SecondAttempt(facts);
  AnswerWithError(last.attempt, status);
  RunOnce();
  CheckPassedOn(last.attempt, status);
}

TEST_CASE_METHOD(server_error_fixture,
                 "ServerError_WithoutABody_IsPassedOn",
                 "[routing]")
{
  const start_attempt last = SecondAttempt(Request());
  Head(last.attempt, 500);
  End(last.attempt, attempt_end::eComplete);
  RunOnce();
  REQUIRE(out.forwards.size() == 1);
  CHECK(out.forwards.front().count == 0);
  CheckEnd(request_outcome::eAnswered, ran_state::eRan);
}

TEST_CASE_METHOD(server_error_fixture,
                 "ServerError_WithoutRetryBudget_IsPassedOn",
                 "[routing]")
{
  engine.retries.Insert({ {}, 0 });
  const start_attempt sent = Send(Request());
  AnswerWithError(sent.attempt, 500);
  RunOnce();
  CheckPassedOn(sent.attempt, 500);
}

TEST_CASE_METHOD(server_error_fixture,
                 "ServerErrors_OfOneTickWithOneRetryLeft_AreRetriedOrPassedOn",
                 "[routing]")
{
  const start_attempt first = Send(Request());
  const start_attempt second = Send(Request());
  engine.retries.Find({})->budget = 1;
  AnswerWithError(first.attempt, 500);
  AnswerWithError(second.attempt, 500);
  RunOnce();
  REQUIRE(out.starts.size() == 1);
  REQUIRE(out.forwards.size() == 1);
  CHECK(out.starts.front().request != out.forwards.front().request);
  CheckEnd(request_outcome::eAnswered, ran_state::eRan);
  CHECK(engine.retries.Find({})->budget == Approx(0));
}

TEST_CASE_METHOD(server_error_fixture,
                 "ServerError_PassedOn_CountsAgainstItsEndpoint",
                 "[routing]")
{
  engine.retries.Insert({ {}, 0 });
  const start_attempt sent = Send(Request());
  AnswerWithError(sent.attempt, 500);
  RunOnce();
  REQUIRE(out.forwards.size() == 1);
  CHECK(engine.endpoints.Find(sent.endpoint)->failureShare > 0);
}

TEST_CASE_METHOD(server_error_fixture,
                 "ServerError_WhenTruncated_IsNotPassedOn",
                 "[routing]")
{
  const start_attempt last = SecondAttempt(Request());
  Head(last.attempt, 500);
  Bytes(last.attempt, 0, kBodyBytes);
  End(last.attempt, attempt_end::eTruncated);
  RunOnce();
  CHECK(out.forwards.empty());
  CheckEnd(request_outcome::eLost, ran_state::eMayHaveRun);
}

TEST_CASE_METHOD(server_error_fixture,
                 "ServerError_WithAnotherAttemptsEcho_IsNotPassedOn",
                 "[routing]")
{
  const start_attempt last = SecondAttempt(Request());
  OnAttemptHeaders(
    engine, last.attempt, { 500, attempt_id{ 77 }, false, 0 }, now);
  Bytes(last.attempt, 0, kBodyBytes);
  End(last.attempt, attempt_end::eComplete);
  RunOnce();
  CHECK(out.forwards.empty());
  CheckEnd(request_outcome::eLost, ran_state::eMayHaveRun);
}

TEST_CASE_METHOD(server_error_fixture,
                 "ServerError_AfterEventsOfAStream_IsNotPassedOn",
                 "[routing]")
{
  request_facts facts = Request();
  facts.isStreamed = true;
  const start_attempt sent = Send(facts);
  Head(sent.attempt, 200);
  Bytes(sent.attempt, 0, 4);
  RunOnce();
  REQUIRE(out.forwards.size() == 1);
  End(sent.attempt, attempt_end::eTruncated);
  RunOnce();
  REQUIRE(out.starts.size() == 1);
  Head(out.starts.front().attempt, 500);
  End(out.starts.front().attempt, attempt_end::eComplete);
  RunOnce();
  CHECK(out.forwards.empty());
  CheckEnd(request_outcome::eBrokenStream, ran_state::eMayHaveRun);
}

TEST_CASE_METHOD(server_error_fixture,
                 "Refusal_AfterAServerError_IsReportedAsRefused",
                 "[routing]")
{
  const start_attempt last = SecondAttempt(Request());
  Head(last.attempt, 503, true);
  RunOnce();
  CHECK(out.forwards.empty());
  CheckEnd(request_outcome::eRefused, ran_state::eMayHaveRun);
}

} // namespace
} // namespace bulrush::routing
