#include "routing/routing_fixture.hpp"

namespace bulrush::routing {
namespace {

/// Two warm endpoints that answer, of which one states that it leaves.
struct leaving_fixture : routing_fixture
{
  leaving_fixture()
  {
    for (std::uint64_t id = 1; id <= 2; ++id) {
      endpoint_facts facts = Facts(id);
      facts.canResume = true;
      AddEndpoint(facts);
      MarkWarm(id);
    }
  }

  /// A head with the statement that the endpoint leaves.
  void LeavingHead(attempt_id aAttempt, int aStatus)
  {
    answer_head head;
    head.status = aStatus;
    head.echoed = aAttempt;
    head.isLeaving = true;
    OnAttemptHeaders(engine, aAttempt, head, now);
  }

  /// Serves one request with an answer that states that its endpoint leaves.
  endpoint_id AnswerWithLeaving()
  {
    const start_attempt sent = Send(Request());
    LeavingHead(sent.attempt, 200);
    End(sent.attempt, attempt_end::eComplete);
    RunOnce();
    CheckEnd(request_outcome::eAnswered, ran_state::eRan);
    return sent.endpoint;
  }

  void CheckNotUsed(endpoint_id aEndpoint)
  {
    constexpr int kRequests = 20;
    for (int i = 0; i < kRequests; ++i) {
      const start_attempt sent = Send(Request());
      CHECK(sent.endpoint != aEndpoint);
      AnswerCompletely(sent.attempt);
      RunOnce();
    }
  }
};

TEST_CASE_METHOD(leaving_fixture,
                 "Endpoint_WhoseAnswerSaysThatItLeaves_GetsNoFurtherRequest",
                 "[routing]")
{
  CheckNotUsed(AnswerWithLeaving());
}

TEST_CASE_METHOD(leaving_fixture,
                 "LeavingEndpoint_WithALateReport_GetsNoFurtherRequest",
                 "[routing]")
{
  const endpoint_id leaving = AnswerWithLeaving();
  UpdateEndpoint(engine, Facts(leaving.value)); // sent before it left
  CheckNotUsed(leaving);
}

TEST_CASE_METHOD(leaving_fixture,
                 "LeavingEndpoint_RemovedAndListedAgain_GetsNoFurtherRequest",
                 "[routing]")
{
  const endpoint_id leaving = AnswerWithLeaving();
  RemoveEndpoint(engine, leaving);
  RunOnce();
  REQUIRE(engine.endpoints.Find(leaving) == nullptr);
  AddEndpoint(Facts(leaving.value));
  MarkWarm(leaving.value);
  CheckNotUsed(leaving);
}

TEST_CASE_METHOD(leaving_fixture,
                 "LeavingEndpoint_StillListedLongAfter_GetsNoFurtherRequest",
                 "[routing]")
{
  const endpoint_id first = AnswerWithLeaving();
  now += 2 * engine.settings.leavingLifetime;
  const endpoint_id second = AnswerWithLeaving();
  REQUIRE(second != first);
  for (const endpoint_id id : { first, second }) {
    UpdateEndpoint(engine, Facts(id.value));
  }
  REQUIRE(AddRequest(engine, Request()));
  RunOnce();
  CHECK(out.starts.empty());
}

TEST_CASE_METHOD(leaving_fixture,
                 "LeavingEndpoint_StartedAgain_IsUsedAgain",
                 "[routing]")
{
  const endpoint_id leaving = AnswerWithLeaving();
  RemoveEndpoint(engine, endpoint_id{ 3 - leaving.value });
  endpoint_facts facts = Facts(leaving.value);
  facts.incarnation = 2;
  facts.allottedIncarnation = 2;
  AddEndpoint(facts);
  CHECK(Send(Request()).endpoint == leaving);
}

// An answer of the former process says nothing about its successor.
TEST_CASE_METHOD(leaving_fixture,
                 "RestartedEndpoint_WithALateAnswerOfItsFormerSelf_IsUsed",
                 "[routing]")
{
  RemoveEndpoint(engine, endpoint_id{ 2 });
  const start_attempt sent = Send(Request());
  endpoint_facts facts = Facts(1);
  facts.incarnation = 2;
  facts.allottedIncarnation = 2;
  AddEndpoint(facts);
  LeavingHead(sent.attempt, 200);
  End(sent.attempt, attempt_end::eComplete);
  RunOnce();
  CHECK(Send(Request()).endpoint == endpoint_id{ 1 });
}

TEST_CASE_METHOD(leaving_fixture,
                 "Request_RefusedByALeavingEndpoint_IsRetriedElsewhere",
                 "[routing]")
{
  const start_attempt sent = Send(Request());
  LeavingHead(sent.attempt, 503);
  RunOnce();
  REQUIRE(out.starts.size() == 1);
  CHECK(out.starts.front().endpoint != sent.endpoint);
}

// The only endpoint left leaves: the broken stream cannot be resumed there.
TEST_CASE_METHOD(leaving_fixture,
                 "Stream_BrokenOffByALeavingEndpoint_IsNotResumedThere",
                 "[routing]")
{
  RemoveEndpoint(engine, endpoint_id{ 2 });
  request_facts facts = Request();
  facts.isStreamed = true;
  const start_attempt sent = Send(facts);
  LeavingHead(sent.attempt, 200);
  Bytes(sent.attempt, 0, 4);
  RunOnce();
  End(sent.attempt, attempt_end::eTruncated);
  RunOnce();
  CHECK(out.starts.empty());
  CheckEnd(request_outcome::eBrokenStream, ran_state::eMayHaveRun);
}

TEST_CASE_METHOD(leaving_fixture,
                 "WaitingRequest_WhenItsEndpointLeaves_IsNotSent",
                 "[routing]")
{
  endpoint_facts only = Facts(1);
  only.slots = 1;
  only.allottedSlots = 1;
  UpdateEndpoint(engine, only);
  RemoveEndpoint(engine, endpoint_id{ 2 });
  const start_attempt sent = Send(Request());
  REQUIRE(AddRequest(engine, Request()));
  RunOnce();
  REQUIRE(out.starts.empty());
  LeavingHead(sent.attempt, 200);
  End(sent.attempt, attempt_end::eComplete);
  RunOnce();
  CHECK(out.starts.empty());
}

} // namespace
} // namespace bulrush::routing
