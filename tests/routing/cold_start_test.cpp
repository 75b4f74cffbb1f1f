#include "routing/routing_fixture.hpp"

namespace bulrush::routing {
namespace {

struct cold_start_fixture : routing_fixture
{
  endpoint_facts facts = Facts(1);

  cold_start_fixture() { AddEndpoint(facts); }

  std::uint32_t Limit() const
  {
    return ConcurrencyLimit(*engine.endpoints.Find(endpoint_id{ 1 }));
  }

  /// Sends as many requests as the limit allows and answers them all.
  void RunRound()
  {
    std::vector<attempt_id> sent;
    for (std::uint32_t i = Limit(); i > 0; --i) {
      sent.push_back(Send(Request()).attempt);
    }
    for (const attempt_id attempt : sent) {
      AnswerCompletely(attempt);
    }
    RunOnce();
  }
};

TEST_CASE_METHOD(cold_start_fixture,
                 "ColdStart_WhenResultsAreGood_DoublesTheLimitEachRound",
                 "[routing]")
{
  CHECK(Limit() == 2);
  RunRound();
  CHECK(Limit() >= 3);
  CHECK(Limit() <= 4);
  RunRound();
  RunRound();
  CHECK(Limit() == 8);
}

TEST_CASE_METHOD(cold_start_fixture,
                 "ColdStart_WhenIncarnationChanges_ResetsAndVoidsTheAllotment",
                 "[routing]")
{
  MarkWarm(1);
  CHECK(Limit() == 8);
  facts.incarnation = 2;
  UpdateEndpoint(engine, facts);
  CHECK(Limit() == 0);
  facts.allottedIncarnation = 2;
  UpdateEndpoint(engine, facts);
  CHECK(Limit() == 2);
}

TEST_CASE_METHOD(cold_start_fixture,
                 "ColdStart_WhenTheEndpointRefuses_ResetsInTheSameTick",
                 "[routing]")
{
  MarkWarm(1);
  const start_attempt first = Send(Request());
  Head(first.attempt, 503, true);
  RunOnce();
  CHECK(Limit() == 2);
}

TEST_CASE_METHOD(cold_start_fixture,
                 "ColdStart_WhenTheEndpointReportsCold_Resets",
                 "[routing]")
{
  MarkWarm(1);
  facts.reportsCold = true;
  UpdateEndpoint(engine, facts);
  CHECK(Limit() == 2);
}

TEST_CASE_METHOD(cold_start_fixture,
                 "ColdStart_WhenAnOlderAttemptSucceeds_KeepsTheLimit",
                 "[routing]")
{
  MarkWarm(1);
  std::vector<attempt_id> before;
  for (std::uint32_t i = Limit(); i > 0; --i) {
    before.push_back(Send(Request()).attempt);
  }
  facts.incarnation = 2;
  facts.allottedIncarnation = 2;
  UpdateEndpoint(engine, facts);
  for (const attempt_id attempt : before) {
    AnswerCompletely(attempt);
  }
  RunOnce();
  CHECK(Limit() == 2);
}

TEST_CASE_METHOD(cold_start_fixture,
                 "ColdStart_WhenLoadIsLight_KeepsTheLimit",
                 "[routing]")
{
  facts.coldSlots = 4;
  facts.incarnation = 2;
  facts.allottedIncarnation = 2;
  UpdateEndpoint(engine, facts);
  for (int i = 0; i < 10; ++i) {
    AnswerCompletely(Send(Request()).attempt);
    RunOnce();
  }
  CHECK(Limit() == 4);
}

TEST_CASE_METHOD(cold_start_fixture,
                 "ColdStart_WhenFirstByteTimeJumps_Resets",
                 "[routing]")
{
  MarkWarm(1);
  request_facts streamed;
  for (int i = 0; i < 8; ++i) {
    streamed = Request();
    streamed.isStreamed = true;
    const start_attempt sent = Send(streamed);
    now += milliseconds{ 10 };
    AnswerCompletely(sent.attempt);
    RunOnce();
  }
  CHECK(Limit() == 8);
  streamed = Request();
  streamed.isStreamed = true;
  const start_attempt slow = Send(streamed);
  now += milliseconds{ 250 };
  AnswerCompletely(slow.attempt);
  RunOnce();
  CHECK(Limit() == 2);
}

TEST_CASE_METHOD(cold_start_fixture,
                 "ColdStart_WhenTheAllotmentIsSmaller_IsLimitedToIt",
                 "[routing]")
{
  MarkWarm(1);
  facts.allottedSlots = 3;
  UpdateEndpoint(engine, facts);
  for (int i = 0; i < 5; ++i) {
    REQUIRE(AddRequest(engine, Request()));
  }
  RunOnce();
  CHECK(out.starts.size() == 3);
}

} // namespace
} // namespace bulrush::routing
