#include "routing/routing_fixture.hpp"

namespace bulrush::routing {
namespace {

using std::chrono::seconds;

/// One endpoint, and a configuration from which the model may go.
struct removal_fixture : routing_fixture
{
  bool isGone = false;

  removal_fixture()
  {
    AddEndpoint(Facts(1));
    engine.policy.isTargetGone = [this](const request_facts&) {
      return isGone;
    };
  }

  request_facts LongRequest()
  {
    request_facts facts = Request();
    facts.deadline = now + seconds{ 60 };
    return facts;
  }

  /// Adds a request that finds no endpoint and waits.
  void SendUnplaced()
  {
    RemoveEndpoint(engine, endpoint_id{ 1 });
    REQUIRE(AddRequest(engine, LongRequest()));
    RunOnce();
    CHECK(out.starts.empty());
    CHECK(out.ends.empty());
  }
};

TEST_CASE_METHOD(removal_fixture,
                 "Attempt_WhoseEndpointIsRemoved_GoesOn",
                 "[routing]")
{
  request_facts facts = LongRequest();
  facts.isIdempotent = GENERATE(true, false);
  facts.isStreamed = GENERATE(true, false);
  const start_attempt sent = Send(facts);
  RemoveEndpoint(engine, endpoint_id{ 1 });
  isGone = true;
  RunOnce(seconds{ 1 });
  CHECK(out.cancels.empty());
  CHECK(out.ends.empty());
  AnswerCompletely(sent.attempt);
  RunOnce();
  CheckEnd(request_outcome::eAnswered, ran_state::eRan);
  CHECK(engine.endpoints.Empty());
}

TEST_CASE_METHOD(removal_fixture,
                 "WaitingRequest_WhenItsModelIsGone_IsRefusedAtOnce",
                 "[routing]")
{
  SendUnplaced();
  isGone = true;
  RunOnce();
  CheckEnd(request_outcome::eNotResident, ran_state::eNotRun);
}

TEST_CASE_METHOD(removal_fixture,
                 "WaitingRequest_WhenItsModelIsDeclared_WaitsForAnEndpoint",
                 "[routing]")
{
  SendUnplaced();
  RunOnce(seconds{ 5 });
  CHECK(out.ends.empty());
  AddEndpoint(Facts(1));
  RunOnce();
  CHECK(out.starts.size() == 1);
}

// An endpoint that still holds the model may serve what was accepted before.
TEST_CASE_METHOD(removal_fixture,
                 "WaitingRequest_WhenAnEndpointHoldsItsGoneModel_IsServed",
                 "[routing]")
{
  endpoint_row& row = *engine.endpoints.Find(endpoint_id{ 1 });
  row.inFlight = row.facts.slots;
  REQUIRE(AddRequest(engine, LongRequest()));
  isGone = true;
  RunOnce();
  CHECK(out.ends.empty());
  row.inFlight = 0;
  RunOnce();
  CHECK(out.starts.size() == 1);
}

TEST_CASE_METHOD(removal_fixture,
                 "Request_WhoseAttemptFailsAfterItsModelIsGone_EndsAtOnce",
                 "[routing]")
{
  const start_attempt sent = Send(LongRequest());
  RemoveEndpoint(engine, endpoint_id{ 1 });
  isGone = true;
  End(sent.attempt, attempt_end::eLost);
  RunOnce();
  CheckEnd(request_outcome::eNotResident, ran_state::eMayHaveRun);
}

} // namespace
} // namespace bulrush::routing
