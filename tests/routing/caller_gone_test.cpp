#include "routing/routing_fixture.hpp"

namespace bulrush::routing {
namespace {

/// One endpoint; the caller leaves while its request waits for something.
struct caller_gone_fixture : routing_fixture
{
  void Leave()
  {
    OnCallerDisconnected(engine, request_id{ lastRequest });
    RunOnce();
  }

  void CheckStep(const std::string& aStep, ran_state aRan) const
  {
    CheckEnd(request_outcome::eCallerGone, aRan);
    CHECK(out.ends.front().reason.step == aStep);
  }
};

TEST_CASE_METHOD(caller_gone_fixture,
                 "CallerGone_WhileNoEndpointHoldsTheModel_NamesTheModel",
                 "[routing]")
{
  REQUIRE(AddRequest(engine, Request()));
  RunOnce();
  Leave();
  CheckStep("wait for model", ran_state::eNotRun);
}

TEST_CASE_METHOD(caller_gone_fixture,
                 "CallerGone_WhileEndpointsAreFull_NamesTheEndpoint",
                 "[routing]")
{
  AddEndpoint(Facts(1));
  endpoint_row& row = *engine.endpoints.Find(endpoint_id{ 1 });
  row.inFlight = row.facts.slots;
  REQUIRE(AddRequest(engine, Request()));
  RunOnce();
  Leave();
  CheckStep("wait for endpoint", ran_state::eNotRun);
}

TEST_CASE_METHOD(caller_gone_fixture,
                 "CallerGone_WhileAnEndpointHasTheRequest_NamesTheAnswer",
                 "[routing]")
{
  AddEndpoint(Facts(1));
  Send(Request());
  Leave();
  CheckStep("wait for answer", ran_state::eMayHaveRun);
}

TEST_CASE_METHOD(caller_gone_fixture,
                 "CallerGone_WhileAClaimIsOpen_NamesTheClaim",
                 "[routing]")
{
  AddEndpoint(Facts(1));
  REQUIRE(AddRequest(engine, KeyedRequest()));
  RunOnce();
  Leave();
  CheckStep("wait for claim", ran_state::eNotRun);
}

} // namespace
} // namespace bulrush::routing
