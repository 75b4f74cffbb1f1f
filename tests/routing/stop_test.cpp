#include "routing/routing_fixture.hpp"

namespace bulrush::routing {
namespace {

using std::chrono::seconds;

/// A host that is killed some time after finishBy, with two warm endpoints.
struct stop_fixture : routing_fixture
{
  const seconds kGrace{ 5 };
  const seconds kLong{ 60 };

  stop_fixture()
  {
    for (std::uint64_t id = 1; id <= 2; ++id) {
      endpoint_facts facts = Facts(id);
      facts.canResume = true;
      AddEndpoint(facts);
      MarkWarm(id);
    }
  }

  void Stop() { engine.settings.finishBy = now + kGrace; }

  void RunAtFinish()
  {
    CHECK(out.wake.at <= engine.settings.finishBy);
    now = engine.settings.finishBy;
    RunOnce(milliseconds{ 0 });
  }

  request_facts LongRequest()
  {
    request_facts facts = Request();
    facts.deadline = now + kLong;
    return facts;
  }

  request_facts LongRunOnceRequest()
  {
    request_facts facts = LongRequest();
    facts.isIdempotent = false;
    return facts;
  }

  request_facts LongStream()
  {
    request_facts facts = LongRequest();
    facts.isStreamed = true;
    facts.lastByteDeadline = facts.deadline;
    return facts;
  }

  request_facts LongKeyedRequest()
  {
    request_facts facts = LongRunOnceRequest();
    facts.idempotencyKey = "release-7";
    return facts;
  }

  void CheckIdle()
  {
    RunOnce();
    CHECK(engine.requests.Empty());
  }
};

TEST_CASE_METHOD(stop_fixture,
                 "RunningRequest_AtTheFinish_EndsAsMayHaveRun",
                 "[routing]")
{
  const start_attempt sent =
    Send(GENERATE(true, false) ? LongRequest() : LongRunOnceRequest());
  Stop();
  RunOnce();
  CHECK(out.ends.empty());
  RunAtFinish();
  CheckEnd(request_outcome::eHostStopped, ran_state::eMayHaveRun);
  REQUIRE(out.cancels.size() == 1);
  End(sent.attempt, attempt_end::eCancelled);
  CheckIdle();
}

TEST_CASE_METHOD(stop_fixture,
                 "RunningStream_AtTheFinish_IsBrokenOff",
                 "[routing]")
{
  const start_attempt sent = Send(LongStream());
  Head(sent.attempt, 200);
  Bytes(sent.attempt, 0, 10);
  Stop();
  RunOnce();
  CHECK(out.forwards.size() == 1);
  RunAtFinish();
  CheckEnd(request_outcome::eHostStopped, ran_state::eMayHaveRun);
  CHECK(out.ends.front().hasForwarded);
}

TEST_CASE_METHOD(stop_fixture,
                 "RunningRequest_AnsweredBeforeTheFinish_IsNotCut",
                 "[routing]")
{
  const start_attempt sent = Send(LongRunOnceRequest());
  Stop();
  RunOnce();
  now = engine.settings.finishBy - milliseconds{ 1 };
  AnswerCompletely(sent.attempt);
  RunOnce(milliseconds{ 0 });
  CheckEnd(request_outcome::eAnswered, ran_state::eRan);
}

TEST_CASE_METHOD(stop_fixture,
                 "WaitingRequest_AtTheFinish_EndsAsNotRun",
                 "[routing]")
{
  request_facts facts = LongRequest();
  facts.model = IdOf<model_id>("held nowhere");
  REQUIRE(AddRequest(engine, facts));
  Stop();
  RunOnce();
  CHECK(out.ends.empty());
  RunAtFinish();
  CheckEnd(request_outcome::eHostStopped, ran_state::eNotRun);
  CheckIdle();
}

TEST_CASE_METHOD(stop_fixture,
                 "ClaimedRequest_RunningAtTheFinish_EndsWithoutAnOutcome",
                 "[routing]")
{
  const request_facts facts = LongKeyedRequest();
  REQUIRE(AddRequest(engine, facts));
  RunOnce();
  OnClaimAnswer(engine, facts.id, claim_answer::eGranted);
  RunOnce();
  REQUIRE(out.starts.size() == 1);
  Stop();
  RunOnce();
  RunAtFinish();
  CheckEnd(request_outcome::eHostStopped, ran_state::eMayHaveRun);
  REQUIRE(out.records.size() == 1);
  CHECK(out.records.front().ran == ran_state::eMayHaveRun);
  CheckIdle();
}

TEST_CASE_METHOD(stop_fixture,
                 "DetachedRequest_AtTheFinish_NoLongerKeepsTheHost",
                 "[routing]")
{
  request_facts facts = LongKeyedRequest();
  REQUIRE(AddRequest(engine, facts));
  RunOnce();
  OnClaimAnswer(engine, facts.id, claim_answer::eGranted);
  RunOnce();
  REQUIRE(out.starts.size() == 1);
  OnCallerDisconnected(engine, facts.id);
  Stop();
  RunOnce();
  CheckEnd(request_outcome::eCallerGone, ran_state::eMayHaveRun);
  RunAtFinish();
  CHECK(out.ends.empty());
  CHECK(out.cancels.size() == 1);
  CheckIdle();
}

TEST_CASE_METHOD(stop_fixture,
                 "UnansweredClaim_AtThePlacementDeadline_EndsAsNotRun",
                 "[routing]")
{
  request_facts facts = LongKeyedRequest();
  facts.deadline = now + kGrace;
  REQUIRE(AddRequest(engine, facts));
  RunOnce();
  Stop();
  engine.settings.placementDeadline = now + milliseconds{ 500 };
  RunOnce();
  CHECK(out.ends.empty());
  CHECK(out.wake.at <= engine.settings.placementDeadline);
  RunOnce(milliseconds{ 500 });
  CheckEnd(request_outcome::eHostStopped, ran_state::eNotRun);
  CHECK_FALSE(engine.requests.Empty());
  RunAtFinish();
  CHECK(out.ends.empty());
  REQUIRE(out.records.size() == 1); // the claim may still be granted
  CHECK(out.records.front().ran == ran_state::eNotRun);
  CheckIdle();
}

TEST_CASE_METHOD(stop_fixture,
                 "UnansweredClaim_AtTheFinish_IsReleased",
                 "[routing]")
{
  request_facts facts = LongKeyedRequest();
  facts.deadline = now + milliseconds{ 500 };
  REQUIRE(AddRequest(engine, facts));
  RunOnce();
  engine.settings.finishBy = facts.deadline;
  RunOnce();
  CHECK(out.ends.empty());
  RunAtFinish();
  CheckEnd(request_outcome::eHostStopped, ran_state::eNotRun);
  REQUIRE(out.records.size() == 1);
  CHECK(out.records.front().ran == ran_state::eNotRun);
  CheckIdle();
}

TEST_CASE_METHOD(stop_fixture,
                 "RunOnceRequest_ThatMayOutlastTheStop_IsNotStarted",
                 "[routing]")
{
  Stop();
  REQUIRE(AddRequest(
    engine, GENERATE(true, false) ? LongRunOnceRequest() : LongKeyedRequest()));
  RunOnce();
  CHECK(out.starts.empty());
  CHECK(out.claims.empty());
  CheckEnd(request_outcome::eHostStopped, ran_state::eNotRun);
}

TEST_CASE_METHOD(stop_fixture,
                 "RunOnceRequest_ThatWaitsWhenTheStopBegins_IsNotStarted",
                 "[routing]")
{
  request_facts facts = LongRunOnceRequest();
  facts.model = IdOf<model_id>("held nowhere");
  REQUIRE(AddRequest(engine, facts));
  RunOnce();
  CHECK(out.ends.empty());
  Stop();
  RunOnce();
  CheckEnd(request_outcome::eHostStopped, ran_state::eNotRun);
}

TEST_CASE_METHOD(stop_fixture,
                 "RunOnceRequest_ThatEndsBeforeTheStop_IsStarted",
                 "[routing]")
{
  Stop();
  request_facts facts = LongRunOnceRequest();
  facts.deadline = engine.settings.finishBy;
  CHECK(Send(facts).freshConnection);
}

TEST_CASE_METHOD(
  stop_fixture,
  "RepeatableRequest_ThatMayOutlastTheStop_StartsWithTheTimeLeft",
  "[routing]")
{
  Stop();
  const request_facts facts =
    GENERATE(true, false) ? LongRequest() : LongStream();
  Send(facts);
  const request_row& row = *engine.requests.Find(facts.id);
  CHECK(row.facts.deadline <= engine.settings.finishBy);
  if (facts.isStreamed) {
    CHECK(row.facts.lastByteDeadline <= engine.settings.finishBy);
  }
}

TEST_CASE_METHOD(stop_fixture,
                 "RepeatableRequest_WithTooLittleTimeLeft_IsNotStarted",
                 "[routing]")
{
  request_facts facts = LongRequest();
  Stop();
  if (GENERATE(true, false)) {
    facts.targetFirstByte = kGrace + seconds{ 1 };
  } else {
    now = engine.settings.finishBy - engine.settings.minTimeToFinish;
  }
  REQUIRE(AddRequest(engine, facts));
  RunOnce();
  CHECK(out.starts.empty());
  CheckEnd(request_outcome::eHostStopped, ran_state::eNotRun);
}

TEST_CASE_METHOD(stop_fixture,
                 "SilentAttempt_PastThePlacementTimeOfAStop_IsMoved",
                 "[routing]")
{
  request_facts facts = LongRequest();
  facts.targetFirstByte = milliseconds{ 100 };
  const start_attempt sent = Send(facts);
  Stop();
  engine.settings.placementDeadline = now;
  RunOnce(milliseconds{ 200 });
  CHECK(out.ends.empty());
  REQUIRE(out.starts.size() == 1);
  CHECK(out.starts.front().endpoint != sent.endpoint);
  CHECK(out.starts.front().timeout <= engine.settings.finishBy - now);
}

} // namespace
} // namespace bulrush::routing
