#include "routing/routing_fixture.hpp"

namespace bulrush::routing {
namespace {

using std::chrono::seconds;

/// Two endpoints, and a host whose proof that keys are valid runs out.
struct key_fixture : routing_fixture
{
  steady_time usableUntil = now + seconds{ 2 };

  key_fixture()
  {
    AddEndpoint(Facts(1));
    AddEndpoint(Facts(2));
    engine.policy.keyUsableUntil = [this](const request_facts& aFacts) {
      return aFacts.workspace ? usableUntil : steady_time::max();
    };
  }

  request_facts LongRequest()
  {
    request_facts facts = Request();
    facts.deadline = now + seconds{ 60 };
    return facts;
  }

  void FillEndpoints()
  {
    for (endpoint_row& row : engine.endpoints) {
      row.inFlight = row.facts.slots;
    }
  }
};

TEST_CASE_METHOD(key_fixture,
                 "Request_WhileItsKeyIsConfirmed_IsSent",
                 "[routing]")
{
  Send(LongRequest());
}

TEST_CASE_METHOD(key_fixture,
                 "Request_WhenItsKeyIsNoLongerConfirmed_IsRefusedAsNotRun",
                 "[routing]")
{
  now = usableUntil;
  REQUIRE(AddRequest(engine, LongRequest()));
  RunOnce();
  CHECK(out.starts.empty());
  CheckEnd(request_outcome::eKeyUnconfirmed, ran_state::eNotRun);
}

TEST_CASE_METHOD(key_fixture,
                 "Request_WithoutAKey_IsSentWhileKeysAreUnconfirmed",
                 "[routing]")
{
  now = usableUntil;
  request_facts facts = LongRequest();
  facts.workspace = {};
  Send(facts);
}

TEST_CASE_METHOD(key_fixture,
                 "WaitingRequest_WhenItsKeyIsNoLongerConfirmed_IsRefusedThen",
                 "[routing]")
{
  FillEndpoints();
  REQUIRE(AddRequest(engine, LongRequest()));
  RunOnce();
  CHECK(out.ends.empty());
  CHECK(out.wake.at <= usableUntil);
  RunOnce(milliseconds{ 2'000 });
  CheckEnd(request_outcome::eKeyUnconfirmed, ran_state::eNotRun);
}

// A thread that was suspended sees room and the lapsed key in the same tick.
TEST_CASE_METHOD(key_fixture,
                 "WaitingRequest_AfterASuspension_IsNotSentWithItsKey",
                 "[routing]")
{
  FillEndpoints();
  REQUIRE(AddRequest(engine, LongRequest()));
  RunOnce();
  for (endpoint_row& row : engine.endpoints) {
    row.inFlight = 0;
  }
  RunOnce(seconds{ 9 });
  CHECK(out.starts.empty());
  CheckEnd(request_outcome::eKeyUnconfirmed, ran_state::eNotRun);
}

TEST_CASE_METHOD(key_fixture,
                 "Retry_WhenTheKeyIsNoLongerConfirmed_IsNotMade",
                 "[routing]")
{
  const start_attempt sent = Send(LongRequest());
  now = usableUntil;
  End(sent.attempt, attempt_end::eLost);
  RunOnce();
  CHECK(out.starts.empty());
  CheckEnd(request_outcome::eKeyUnconfirmed, ran_state::eMayHaveRun);
}

TEST_CASE_METHOD(key_fixture,
                 "BrokenStream_WhenTheKeyIsNoLongerConfirmed_IsNotResumed",
                 "[routing]")
{
  request_facts facts = LongRequest();
  facts.isStreamed = true;
  const start_attempt sent = Send(facts);
  Head(sent.attempt, 200);
  Bytes(sent.attempt, 0, 3);
  RunOnce();
  now = usableUntil;
  End(sent.attempt, attempt_end::eTruncated);
  RunOnce();
  CHECK(out.starts.empty());
  CheckEnd(request_outcome::eBrokenStream, ran_state::eMayHaveRun);
}

TEST_CASE_METHOD(key_fixture,
                 "RunningAttempt_WhenTheKeyIsNoLongerConfirmed_GoesOn",
                 "[routing]")
{
  const start_attempt sent = Send(LongRequest());
  now = usableUntil;
  RunOnce();
  CHECK(out.ends.empty());
  CHECK(out.cancels.empty());
  AnswerCompletely(sent.attempt);
  RunOnce();
  CheckEnd(request_outcome::eAnswered, ran_state::eRan);
}

} // namespace
} // namespace bulrush::routing
