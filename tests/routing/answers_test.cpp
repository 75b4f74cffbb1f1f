#include "routing/routing_fixture.hpp"

namespace bulrush::routing {
namespace {

struct answers_fixture : routing_fixture
{
  answers_fixture()
  {
    for (std::uint64_t id = 1; id <= 2; ++id) {
      endpoint_facts facts = Facts(id);
      facts.canResume = true;
      AddEndpoint(facts);
    }
  }

  request_facts Stream()
  {
    request_facts facts = Request();
    facts.isStreamed = true;
    return facts;
  }
};

TEST_CASE_METHOD(answers_fixture,
                 "Answer_WhenComplete_IsForwardedOnceAndEnds",
                 "[routing]")
{
  const start_attempt sent = Send(Request());
  Head(sent.attempt, 200);
  Bytes(sent.attempt, 0, 4);
  RunOnce();
  CHECK(out.forwards.empty());
  Bytes(sent.attempt, 4, 6);
  End(sent.attempt, attempt_end::eComplete);
  RunOnce();
  REQUIRE(out.forwards.size() == 1);
  CHECK(out.forwards.front().count == 10);
  CheckEnd(request_outcome::eAnswered, ran_state::eRan);
  CHECK(engine.requests.Empty());
  CHECK(engine.attempts.Empty());
}

TEST_CASE_METHOD(answers_fixture,
                 "Stream_WhenIdlePastItsTimeout_IsResumedElsewhere",
                 "[routing]")
{
  request_facts facts = Stream();
  facts.targetGap = milliseconds{ 150 };
  facts.lastByteDeadline = now + std::chrono::seconds{ 12 };
  facts.deadline = facts.lastByteDeadline;
  const start_attempt sent = Send(facts);
  Head(sent.attempt, 200);
  Bytes(sent.attempt, 0, 4);
  RunOnce();
  RunOnce(milliseconds{ 999 });
  CHECK(out.starts.empty());
  RunOnce(milliseconds{ 1 });
  REQUIRE(out.starts.size() == 1);
  CHECK(out.starts.front().endpoint != sent.endpoint);
  CHECK(out.starts.front().resumeOffset == 4);
}

TEST_CASE_METHOD(answers_fixture,
                 "Stream_WhenIdleWithoutAnotherEndpoint_KeepsWaiting",
                 "[routing]")
{
  RemoveEndpoint(engine, endpoint_id{ 2 });
  request_facts facts = Stream();
  facts.targetGap = milliseconds{ 150 };
  facts.lastByteDeadline = now + std::chrono::seconds{ 12 };
  facts.deadline = facts.lastByteDeadline;
  const start_attempt sent = Send(facts);
  Head(sent.attempt, 200);
  Bytes(sent.attempt, 0, 4);
  RunOnce();
  RunOnce(milliseconds{ 1'100 });
  CHECK(out.cancels.empty());
  CHECK(out.ends.empty());
  Bytes(sent.attempt, 4, 2);
  End(sent.attempt, attempt_end::eComplete);
  RunOnce();
  CheckEnd(request_outcome::eAnswered, ran_state::eRan);
}

TEST_CASE_METHOD(answers_fixture,
                 "Answer_WithAnotherAttemptsEcho_NeverReachesTheCaller",
                 "[routing]")
{
  const start_attempt first = Send(Request());
  const start_attempt second = Send(Request());
  OnAttemptHeaders(
    engine, first.attempt, { 200, second.attempt, false, 0 }, now);
  Bytes(first.attempt, 0, 10);
  End(first.attempt, attempt_end::eComplete);
  RunOnce();
  CHECK(out.forwards.empty());
  CHECK(out.ends.empty());
  REQUIRE(out.starts.size() == 1);
  CHECK(out.starts.front().request == first.request);
  CHECK(out.starts.front().endpoint != first.endpoint);
}

TEST_CASE_METHOD(answers_fixture,
                 "Answer_WithoutEcho_IsAcceptedOnlyFromPlainServices",
                 "[routing]")
{
  const start_attempt sent = Send(NonIdempotentRequest());
  OnAttemptHeaders(engine, sent.attempt, { 200, {}, false, 0 }, now);
  End(sent.attempt, attempt_end::eComplete);
  RunOnce();
  CheckEnd(request_outcome::eLost, ran_state::eMayHaveRun);

  for (std::uint64_t id = 1; id <= 2; ++id) {
    endpoint_facts plain = Facts(id);
    plain.echoesAttempt = false;
    UpdateEndpoint(engine, plain);
  }
  const start_attempt second = Send(Request());
  CHECK(second.freshConnection);
  OnAttemptHeaders(engine, second.attempt, { 200, {}, false, 0 }, now);
  End(second.attempt, attempt_end::eComplete);
  RunOnce();
  CheckEnd(request_outcome::eAnswered, ran_state::eRan);
}

// A faulty endpoint may write the refusal of an earlier request once more.
TEST_CASE_METHOD(answers_fixture,
                 "Refusal_WithoutEchoOnAKeptConnection_IsNoProof",
                 "[routing]")
{
  request_facts facts = Request();
  facts.maxAttempts = 1;
  const start_attempt sent = Send(facts);
  REQUIRE_FALSE(sent.freshConnection);
  answer_head head;
  head.status = 503;
  head.statesNotRun = true;
  OnAttemptHeaders(engine, sent.attempt, head, now);
  RunOnce();
  CheckEnd(request_outcome::eLost, ran_state::eMayHaveRun);
  REQUIRE(out.cancels.size() == 1); // closes the connection
}

TEST_CASE_METHOD(answers_fixture,
                 "Refusal_WithoutEchoOnANewConnection_IsProof",
                 "[routing]")
{
  engine.settings.trustsNotRun = true;
  const start_attempt sent = Send(NonIdempotentRequest());
  REQUIRE(sent.freshConnection);
  answer_head head;
  head.status = 503;
  head.statesNotRun = true;
  head.isFirstOnConnection = true;
  OnAttemptHeaders(engine, sent.attempt, head, now);
  RunOnce();
  REQUIRE(out.starts.size() == 1);
  CHECK(out.starts.front().endpoint != sent.endpoint);
}

TEST_CASE_METHOD(answers_fixture,
                 "Error_WithoutEchoOnAKeptConnection_NeverReachesTheCaller",
                 "[routing]")
{
  request_facts facts = Request();
  facts.maxAttempts = 1;
  const start_attempt sent = Send(facts);
  answer_head head;
  head.status = 404;
  OnAttemptHeaders(engine, sent.attempt, head, now);
  End(sent.attempt, attempt_end::eComplete);
  RunOnce();
  CHECK(out.forwards.empty());
  CheckEnd(request_outcome::eLost, ran_state::eMayHaveRun);
}

TEST_CASE_METHOD(answers_fixture,
                 "Request_SentToTheSameEndpointAgain_GetsANewConnection",
                 "[routing]")
{
  RemoveEndpoint(engine, endpoint_id{ 2 });
  const start_attempt sent = Send(Request());
  Head(sent.attempt, 503, true);
  RunOnce();
  End(sent.attempt, attempt_end::eCancelled);
  RunOnce(milliseconds{ 200 });
  REQUIRE(out.starts.size() == 1);
  CHECK(out.starts.front().endpoint == sent.endpoint);
  CHECK(out.starts.front().freshConnection);
}

TEST_CASE_METHOD(answers_fixture,
                 "Answer_WhenItComesAfterTheTimeout_IsDropped",
                 "[routing]")
{
  const start_attempt slow = Send(Request());
  RunOnce(milliseconds{ 300 });
  REQUIRE(out.cancels.size() == 1);
  CHECK(out.cancels.front().attempt == slow.attempt);
  REQUIRE(out.starts.size() == 1);
  const start_attempt next = out.starts.front();
  CHECK(next.endpoint != slow.endpoint);
  AnswerCompletely(slow.attempt, 99);
  RunOnce();
  CHECK(out.forwards.empty());
  AnswerCompletely(next.attempt, 10);
  RunOnce();
  REQUIRE(out.forwards.size() == 1);
  CHECK(out.forwards.front().attempt == next.attempt);
  CheckEnd(request_outcome::eAnswered, ran_state::eRan);
}

TEST_CASE_METHOD(answers_fixture,
                 "Answer_WhenTruncated_IsRetriedAndNotForwarded",
                 "[routing]")
{
  const start_attempt sent = Send(Request());
  Head(sent.attempt, 200);
  Bytes(sent.attempt, 0, 4);
  End(sent.attempt, attempt_end::eTruncated);
  RunOnce();
  CHECK(out.forwards.empty());
  CHECK(out.starts.size() == 1);
}

TEST_CASE_METHOD(answers_fixture,
                 "Stream_WhenItBreaks_IsResumedFromItsOffset",
                 "[routing]")
{
  const start_attempt sent = Send(Stream());
  Head(sent.attempt, 200);
  Bytes(sent.attempt, 0, 4);
  RunOnce();
  REQUIRE(out.forwards.size() == 1);
  End(sent.attempt, attempt_end::eTruncated);
  RunOnce();
  REQUIRE(out.starts.size() == 1);
  const start_attempt next = out.starts.front();
  CHECK(next.resumeOffset == 4);
  ResumedHead(next.attempt, 4);
  Bytes(next.attempt, 4, 6);
  End(next.attempt, attempt_end::eComplete);
  RunOnce();
  REQUIRE(out.forwards.size() == 1);
  CHECK(out.forwards.front().offset == 4);
  CHECK(out.forwards.front().count == 6);
  CheckEnd(request_outcome::eAnswered, ran_state::eRan);
}

TEST_CASE_METHOD(answers_fixture,
                 "Stream_WhenResumedFromAnotherOffset_IsNotMixed",
                 "[routing]")
{
  const start_attempt sent = Send(Stream());
  Head(sent.attempt, 200);
  Bytes(sent.attempt, 0, 4);
  End(sent.attempt, attempt_end::eTruncated);
  RunOnce();
  REQUIRE(out.starts.size() == 1);
  const start_attempt next = out.starts.front();
  ResumedHead(next.attempt, 0);
  Bytes(next.attempt, 4, 6);
  End(next.attempt, attempt_end::eComplete);
  RunOnce();
  CHECK(out.forwards.empty());
}

TEST_CASE_METHOD(answers_fixture,
                 "Stream_WhenResumingGivesAnError_IsNotAppended",
                 "[routing]")
{
  const start_attempt sent = Send(Stream());
  Head(sent.attempt, 200);
  Bytes(sent.attempt, 0, 4);
  End(sent.attempt, attempt_end::eTruncated);
  RunOnce();
  REQUIRE(out.starts.size() == 1);
  const attempt_id next = out.starts.front().attempt;
  Head(next, 404);
  Bytes(next, 4, 6);
  End(next, attempt_end::eComplete);
  RunOnce();
  CHECK(out.forwards.empty());
}

TEST_CASE_METHOD(answers_fixture,
                 "Stream_WhenNoEngineCanResume_EndsWithAnError",
                 "[routing]")
{
  for (std::uint64_t id = 1; id <= 2; ++id) {
    UpdateEndpoint(engine, Facts(id));
  }
  const start_attempt sent = Send(Stream());
  Head(sent.attempt, 200);
  Bytes(sent.attempt, 0, 4);
  RunOnce();
  End(sent.attempt, attempt_end::eTruncated);
  RunOnce();
  CheckEnd(request_outcome::eBrokenStream, ran_state::eMayHaveRun);
  CHECK(out.ends.front().hasForwarded);
}

TEST_CASE_METHOD(answers_fixture,
                 "Stream_WhenIdle_IsCancelledAfterTheTimeout",
                 "[routing]")
{
  const start_attempt sent = Send(Stream());
  Head(sent.attempt, 200);
  Bytes(sent.attempt, 0, 4);
  RunOnce();
  CHECK(out.wake.at <= now + engine.settings.streamIdleTimeout);
  RunOnce(engine.settings.streamIdleTimeout);
  REQUIRE(out.cancels.size() == 1);
  CHECK(out.cancels.front().attempt == sent.attempt);
}

TEST_CASE_METHOD(answers_fixture,
                 "Bytes_WhenOneIsMissing_AreNotForwardedPastTheGap",
                 "[routing]")
{
  const start_attempt sent = Send(Stream());
  Head(sent.attempt, 200);
  Bytes(sent.attempt, 0, 4);
  Bytes(sent.attempt, 5, 4);
  End(sent.attempt, attempt_end::eComplete);
  RunOnce();
  REQUIRE(out.forwards.size() == 1);
  CHECK(out.forwards.front().count == 4);
  CHECK(out.ends.empty());
}

TEST_CASE_METHOD(answers_fixture,
                 "Caller_WhenGone_ItsAttemptIsCancelledAndItsSlotHeld",
                 "[routing]")
{
  const start_attempt sent = Send(Request());
  OnCallerDisconnected(engine, sent.request);
  RunOnce();
  CheckEnd(request_outcome::eCallerGone, ran_state::eMayHaveRun);
  REQUIRE(out.cancels.size() == 1);
  CHECK(engine.endpoints.Find(sent.endpoint)->inFlight == 1);
  End(sent.attempt, attempt_end::eCancelled);
  RunOnce();
  CHECK(engine.endpoints.Find(sent.endpoint)->inFlight == 0);
}

TEST_CASE_METHOD(answers_fixture,
                 "Key_WhenWithdrawn_CancelsOnlyItsOwnStreams",
                 "[routing]")
{
  request_facts withdrawn = Stream();
  withdrawn.key.bytes[0] = 1;
  request_facts other = Stream();
  other.key.bytes[0] = 2;
  const start_attempt cut = Send(withdrawn);
  const start_attempt kept = Send(other);
  for (const attempt_id attempt : { cut.attempt, kept.attempt }) {
    Head(attempt, 200);
    Bytes(attempt, 0, 4);
  }
  CHECK(CancelByKey(engine, withdrawn.key) == 1);
  CHECK(CancelByKey(engine, key_hash{}) == 0);
  RunOnce();
  CheckEnd(request_outcome::eKeyWithdrawn, ran_state::eMayHaveRun);
  REQUIRE(out.forwards.size() == 1);
  CHECK(out.forwards.front().request == other.id);
}

} // namespace
} // namespace bulrush::routing
