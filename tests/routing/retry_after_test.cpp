#include "routing/routing_fixture.hpp"

namespace bulrush::routing {
namespace {

/// Two warm endpoints that may refuse requests for a time.
struct retry_after_fixture : routing_fixture
{
  retry_after_fixture()
  {
    for (std::uint64_t id = 1; id <= 2; ++id) {
      AddEndpoint(Facts(id));
      MarkWarm(id);
    }
  }

  void Refuse(attempt_id aAttempt, milliseconds aRetryAfter)
  {
    answer_head head;
    head.status = 503;
    head.echoed = aAttempt;
    head.statesNotRun = true;
    head.retryAfter = aRetryAfter;
    OnAttemptHeaders(engine, aAttempt, head, now);
    RunOnce();
    End(aAttempt, attempt_end::eCancelled);
  }

  /// A request with so long for its answer.
  request_facts RequestFor(milliseconds aTime)
  {
    request_facts facts = Request();
    facts.deadline = now + aTime;
    return facts;
  }
};

TEST_CASE_METHOD(retry_after_fixture,
                 "Endpoint_UntilItsRetryAfter_GetsNoRequest",
                 "[routing]")
{
  const start_attempt refused = Send(Request());
  Refuse(refused.attempt, milliseconds{ 2'000 });
  REQUIRE(out.starts.size() == 1);
  AnswerCompletely(out.starts.front().attempt);
  for (int i = 0; i < 18; ++i) {
    RunOnce(milliseconds{ 100 });
    const start_attempt sent = Send(Request());
    CHECK(sent.endpoint != refused.endpoint);
    AnswerCompletely(sent.attempt);
    RunOnce();
  }
  RunOnce(milliseconds{ 300 });
  RemoveEndpoint(engine, endpoint_id{ 3 - refused.endpoint.value });
  CHECK(Send(Request()).endpoint == refused.endpoint);
}

TEST_CASE_METHOD(retry_after_fixture,
                 "Endpoint_WithAShorterRetryAfterLater_StaysRefusing",
                 "[routing]")
{
  RemoveEndpoint(engine, endpoint_id{ 2 });
  const start_attempt first = Send(RequestFor(milliseconds{ 9'000 }));
  const start_attempt second = Send(RequestFor(milliseconds{ 9'000 }));
  Refuse(first.attempt, milliseconds{ 2'000 });
  Refuse(second.attempt, milliseconds{ 10 });
  RunOnce(milliseconds{ 1'900 });
  CHECK(out.starts.empty());
  RunOnce(milliseconds{ 200 });
  CHECK(out.starts.size() == 2);
}

TEST_CASE_METHOD(retry_after_fixture,
                 "RestartedEndpoint_WithinTheRetryAfterBefore_IsUsed",
                 "[routing]")
{
  RemoveEndpoint(engine, endpoint_id{ 2 });
  const start_attempt refused = Send(Request());
  Refuse(refused.attempt, milliseconds{ 60'000 });
  endpoint_facts facts = Facts(1);
  facts.incarnation = 2;
  facts.allottedIncarnation = 2;
  AddEndpoint(facts);
  RunOnce();
  CHECK(Send(Request()).endpoint == endpoint_id{ 1 });
}

TEST_CASE_METHOD(retry_after_fixture,
                 "Request_ThatNoEndpointTakesInTime_IsRejectedAtOnce",
                 "[routing]")
{
  RemoveEndpoint(engine, endpoint_id{ 2 });
  const start_attempt refused = Send(Request());
  Refuse(refused.attempt, milliseconds{ 3'000 });
  REQUIRE(AddRequest(engine, RequestFor(milliseconds{ 900 })));
  RunOnce();
  CheckEnd(request_outcome::eNoSlot, ran_state::eNotRun);
  CHECK(out.ends.front().retryAfter > milliseconds{ 2'900 });
  CHECK(out.ends.front().retryAfter <= milliseconds{ 3'000 });
}

TEST_CASE_METHOD(retry_after_fixture,
                 "Request_ThatAnEndpointTakesInTime_WaitsForIt",
                 "[routing]")
{
  RemoveEndpoint(engine, endpoint_id{ 2 });
  const start_attempt refused = Send(Request());
  Refuse(refused.attempt, milliseconds{ 3'000 });
  REQUIRE(AddRequest(engine, RequestFor(milliseconds{ 5'000 })));
  RunOnce();
  CHECK(out.ends.empty());
  CHECK(out.starts.empty());
  CHECK(out.wake.at <= now + milliseconds{ 3'000 });
  RunOnce(milliseconds{ 3'000 });
  CHECK(out.starts.size() == 1);
}

TEST_CASE_METHOD(retry_after_fixture,
                 "RefusedRequest_WithoutAnAttemptLeft_CarriesTheRetryAfter",
                 "[routing]")
{
  RemoveEndpoint(engine, endpoint_id{ 2 });
  request_facts facts = Request();
  facts.maxAttempts = 1;
  const start_attempt sent = Send(facts);
  Refuse(sent.attempt, milliseconds{ 3'000 });
  CheckEnd(request_outcome::eRefused, ran_state::eNotRun);
  CHECK(out.ends.front().retryAfter > milliseconds{ 2'900 });
}

} // namespace
} // namespace bulrush::routing
