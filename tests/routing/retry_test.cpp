#include "routing/routing_fixture.hpp"

namespace bulrush::routing {
namespace {

struct retry_fixture : routing_fixture
{
  retry_fixture()
  {
    for (std::uint64_t id = 1; id <= 4; ++id) {
      AddEndpoint(Facts(id));
      MarkWarm(id);
    }
  }
};

TEST_CASE_METHOD(retry_fixture,
                 "Retry_WhenIdempotent_UsesAnotherEndpointForEachAttempt",
                 "[routing]")
{
  start_attempt sent = Send(Request());
  std::vector<endpoint_id> used{ sent.endpoint };
  for (int i = 0; i < 2; ++i) {
    End(sent.attempt, attempt_end::eLost);
    RunOnce();
    REQUIRE(out.starts.size() == 1);
    sent = out.starts.front();
    CHECK(std::find(used.begin(), used.end(), sent.endpoint) == used.end());
    used.push_back(sent.endpoint);
  }
  End(sent.attempt, attempt_end::eLost);
  RunOnce();
  CheckEnd(request_outcome::eLost, ran_state::eMayHaveRun);
}

TEST_CASE_METHOD(retry_fixture,
                 "Retry_WhenNotIdempotentAndSent_IsNeverMade",
                 "[routing]")
{
  const start_attempt sent = Send(NonIdempotentRequest());
  CHECK(sent.freshConnection);
  End(sent.attempt, attempt_end::eLost);
  RunOnce();
  CHECK(out.starts.empty());
  CheckEnd(request_outcome::eLost, ran_state::eMayHaveRun);
}

TEST_CASE_METHOD(retry_fixture,
                 "Retry_WhenNotIdempotentAndNotSent_IsMade",
                 "[routing]")
{
  const start_attempt sent = Send(NonIdempotentRequest());
  End(sent.attempt, attempt_end::eNotSent);
  RunOnce();
  REQUIRE(out.starts.size() == 1);
  CHECK(out.starts.front().endpoint != sent.endpoint);
  CHECK(out.starts.front().freshConnection);
}

TEST_CASE_METHOD(retry_fixture,
                 "Refusal_OnlyIfTheEndpointStatesNotRun_IsReportedAsNotRun",
                 "[routing]")
{
  const start_attempt plain = Send(NonIdempotentRequest());
  Head(plain.attempt, 503, false);
  RunOnce();
  CheckEnd(request_outcome::eRefused, ran_state::eMayHaveRun);

  const start_attempt truthful = Send(NonIdempotentRequest());
  Head(truthful.attempt, 503, true);
  RunOnce();
  CheckEnd(request_outcome::eRefused, ran_state::eNotRun);
}

TEST_CASE_METHOD(retry_fixture,
                 "Refusal_WhenAnEarlierAttemptMayHaveRun_IsNotReportedAsNotRun",
                 "[routing]")
{
  engine.settings.maxAttempts = 2;
  const start_attempt lost = Send(Request());
  End(lost.attempt, attempt_end::eLost);
  RunOnce();
  REQUIRE(out.starts.size() == 1);
  Head(out.starts.front().attempt, 503, true);
  RunOnce();
  CheckEnd(request_outcome::eRefused, ran_state::eMayHaveRun);
}

TEST_CASE_METHOD(retry_fixture,
                 "Retry_WhenTheBudgetIsSpent_IsNotMade",
                 "[routing]")
{
  engine.retries.Insert({ {}, 0.9 });
  const start_attempt sent = Send(Request());
  CHECK(engine.retries.Find({})->budget == Approx(1.1));
  End(sent.attempt, attempt_end::eLost);
  RunOnce();
  REQUIRE(out.starts.size() == 1);
  End(out.starts.front().attempt, attempt_end::eLost);
  RunOnce();
  CheckEnd(request_outcome::eLost, ran_state::eMayHaveRun);
}

TEST_CASE_METHOD(retry_fixture,
                 "Retry_OverManyRequests_StaysWithinTheRetryShare",
                 "[routing]")
{
  engine.retries.Insert({ {}, 0 });
  std::size_t attempts = 0;
  for (int i = 0; i < 100; ++i) {
    REQUIRE(AddRequest(engine, Request()));
    RunOnce();
    while (!out.starts.empty()) {
      ++attempts;
      End(out.starts.front().attempt, attempt_end::eLost);
      RunOnce();
    }
  }
  CHECK(attempts >= 119);
  CHECK(attempts <= 120);
}

TEST_CASE_METHOD(retry_fixture,
                 "Timeout_OverAttempts_SplitsTheDeadline",
                 "[routing]")
{
  request_row row;
  row.facts = Request();
  const milliseconds left{ 900 };
  CHECK(AttemptTimeout(engine.settings, row, left) == milliseconds{ 300 });
  row.attemptsMade = 1;
  CHECK(AttemptTimeout(engine.settings, row, milliseconds{ 600 }) ==
        milliseconds{ 300 });
  row.attemptsMade = 2;
  CHECK(AttemptTimeout(engine.settings, row, milliseconds{ 300 }) ==
        milliseconds{ 300 });
  row.attemptsMade = 0;
  row.facts.expectedFirstByte = milliseconds{ 500 };
  CHECK(AttemptTimeout(engine.settings, row, left) == milliseconds{ 500 });
  row.facts.isIdempotent = false;
  CHECK(AttemptTimeout(engine.settings, row, left) == left);
}

struct silent_endpoint_fixture : routing_fixture
{
  static constexpr int kRequests = 200;

  silent_endpoint_fixture()
  {
    AddEndpoint(Facts(1));
    AddEndpoint(Facts(2));
    // Disables the retry budget and the avoidance of suspect endpoints.
    engine.settings.suspectDuration = milliseconds{ 0 };
    engine.policy.score = [](const score_input& aInput) {
      return -aInput.load;
    };
    engine.policy.retry = [](const retry_input& aInput) {
      return aInput.timeLeft.count() > 0;
    };
  }

  /// Sends kRequests in sequence; endpoint 1 never answers.
  int CountAnswered()
  {
    int answered = 0;
    for (int i = 0; i < kRequests; ++i) {
      REQUIRE(AddRequest(engine, Request()));
      RunOnce();
      while (out.ends.empty()) {
        answered += Step();
      }
      EndCancelled();
    }
    return answered;
  }

  void EndCancelled()
  {
    for (const cancel_attempt& cancelled : out.cancels) {
      End(cancelled.attempt, attempt_end::eCancelled);
    }
  }

  /// Answers, or advances the time until the attempt times out.
  int Step()
  {
    const bool isAnswered =
      !out.starts.empty() && out.starts.front().endpoint == endpoint_id{ 2 };
    EndCancelled();
    if (isAnswered) {
      AnswerCompletely(out.starts.front().attempt);
      RunOnce();
    } else {
      const auto wait = out.wake.at - now;
      RunOnce(std::chrono::ceil<milliseconds>(wait));
    }
    return isAnswered ? 1 : 0;
  }
};

TEST_CASE_METHOD(silent_endpoint_fixture,
                 "Deadline_WithOneOfTwoEndpointsSilent_IsMetBySplitAttempts",
                 "[routing]")
{
  CHECK(CountAnswered() == kRequests);
}

TEST_CASE_METHOD(
  silent_endpoint_fixture,
  "Deadline_WithOneOfTwoEndpointsSilent_IsMissedBySingleAttempts",
  "[routing]")
{
  engine.settings.maxAttempts = 1;
  const int answered = CountAnswered();
  INFO(answered << " of " << kRequests);
  CHECK(answered > kRequests * 3 / 10);
  CHECK(answered < kRequests * 6 / 10);
}

TEST_CASE_METHOD(retry_fixture,
                 "Attempt_PastItsTarget_MovesToAnotherEndpoint",
                 "[routing]")
{
  request_facts facts = Request();
  facts.targetFirstByte = milliseconds{ 100 };
  const start_attempt sent = Send(facts);
  CHECK(sent.timeout == milliseconds{ 200 });
  RunOnce(milliseconds{ 200 });
  REQUIRE(out.starts.size() == 1);
  CHECK(out.starts.front().endpoint != sent.endpoint);
}

TEST_CASE_METHOD(retry_fixture,
                 "Attempt_PastItsTargetWithoutRetryBudget_KeepsWaiting",
                 "[routing]")
{
  engine.settings.retryShare = 0;
  engine.settings.retryBurst = 0;
  request_facts facts = Request();
  facts.targetFirstByte = milliseconds{ 100 };
  const start_attempt sent = Send(facts);
  RunOnce(milliseconds{ 200 });
  CHECK(out.cancels.empty());
  CHECK(out.ends.empty());
  AnswerCompletely(sent.attempt);
  RunOnce();
  CheckEnd(request_outcome::eAnswered, ran_state::eRan);
}

TEST_CASE_METHOD(retry_fixture,
                 "Attempt_KeptPastItsTarget_IsReportedOnceAReason",
                 "[routing]")
{
  engine.settings.retryShare = 0;
  engine.settings.retryBurst = 0;
  request_facts facts = Request();
  facts.targetFirstByte = milliseconds{ 100 };
  facts.deadline = now + std::chrono::seconds{ 10 };
  const start_attempt sent = Send(facts);
  RunOnce(milliseconds{ 200 });
  REQUIRE(out.kept.size() == 1);
  CHECK(out.kept.front().attempt == sent.attempt);
  CHECK(out.kept.front().reason == stay_reason::eNoRetryBudget);
  CHECK(out.kept.front().idle == milliseconds{ 200 });
  RunOnce(engine.settings.minIdleTimeout);
  CHECK(out.kept.empty());
  for (const endpoint_row& row : engine.endpoints) {
    if (row.id != sent.endpoint) {
      RemoveEndpoint(engine, row.id);
    }
  }
  RunOnce(engine.settings.minIdleTimeout);
  REQUIRE(out.kept.size() == 1);
  CHECK(out.kept.front().reason == stay_reason::eNoOther);
}

TEST_CASE_METHOD(retry_fixture,
                 "Attempt_WhenNotSent_DoesNotCountTowardsTheLimit",
                 "[routing]")
{
  request_facts facts = NonIdempotentRequest();
  facts.maxAttempts = 1;
  const start_attempt sent = Send(facts);
  engine.settings.retryShare = 0;
  End(sent.attempt, attempt_end::eNotSent);
  RunOnce();
  REQUIRE(out.starts.size() == 1);
  CHECK(out.starts.front().endpoint != sent.endpoint);
  End(out.starts.front().attempt, attempt_end::eLost);
  RunOnce();
  CHECK(out.starts.empty());
}

TEST_CASE_METHOD(retry_fixture,
                 "Request_WithoutEndpointUntilThePlacementDeadline_IsRefused",
                 "[routing]")
{
  request_facts facts = Request();
  facts.model = IdOf<model_id>("not loaded");
  facts.placementDeadline = now + milliseconds{ 500 };
  REQUIRE(AddRequest(engine, facts));
  RunOnce();
  CHECK(out.wake.at == facts.placementDeadline);
  RunOnce(milliseconds{ 498 });
  CHECK(out.ends.empty());
  RunOnce();
  CheckEnd(request_outcome::eNotResident, ran_state::eNotRun);
}

TEST_CASE_METHOD(retry_fixture,
                 "Endpoint_WhenUnreachable_IsChosenLast",
                 "[routing]")
{
  const start_attempt sent = Send(Request());
  End(sent.attempt, attempt_end::eNotSent);
  RunOnce();
  for (int i = 0; i < 40; ++i) {
    const start_attempt next = Send(Request());
    CHECK(next.endpoint != sent.endpoint);
    AnswerCompletely(next.attempt);
    RunOnce();
  }
}

TEST_CASE_METHOD(retry_fixture,
                 "Request_WhenItsOnlyEndpointIsUnreachable_WaitsForTheProbe",
                 "[routing]")
{
  for (std::uint64_t id = 2; id <= 4; ++id) {
    RemoveEndpoint(engine, endpoint_id{ id });
  }
  request_facts facts = Request();
  facts.deadline = now + std::chrono::seconds{ 10 };
  start_attempt sent = Send(facts);
  End(sent.attempt, attempt_end::eNotSent);
  RunOnce();
  REQUIRE(out.starts.size() == 1);
  End(out.starts.front().attempt, attempt_end::eNotSent);
  RunOnce();
  CHECK(out.starts.empty());
  CHECK(out.ends.empty());
  CHECK(out.wake.at <= now + 2 * engine.settings.suspectDuration);
  RunOnce(2 * engine.settings.suspectDuration);
  REQUIRE(out.starts.size() == 1);
  AnswerCompletely(out.starts.front().attempt);
  RunOnce();
  CheckEnd(request_outcome::eAnswered, ran_state::eRan);
}

TEST_CASE_METHOD(retry_fixture,
                 "Endpoint_WhenSuspect_IsProbedByOneRequestUntilItAnswers",
                 "[routing]")
{
  // Endpoint 1 has the least load, so it is chosen unless it is suspect.
  for (std::uint64_t id = 2; id <= 4; ++id) {
    engine.endpoints.Find(endpoint_id{ id })->inFlight = 4;
  }
  const start_attempt lost = Send(Request());
  REQUIRE(lost.endpoint == endpoint_id{ 1 });
  End(lost.attempt, attempt_end::eNotSent);
  RunOnce();
  RunOnce(engine.settings.suspectDuration);
  engine.endpoints.Find(endpoint_id{ 1 })->failureShare = 0;
  const start_attempt probe = Send(Request());
  CHECK(probe.endpoint == endpoint_id{ 1 });
  CHECK(Send(Request()).endpoint != endpoint_id{ 1 });
  AnswerCompletely(probe.attempt);
  RunOnce();
  CHECK(Send(Request()).endpoint == endpoint_id{ 1 });
}

TEST_CASE_METHOD(retry_fixture,
                 "Endpoint_WhenItLacksTheModel_IsAvoidedForTheBackoff",
                 "[routing]")
{
  for (std::uint64_t id = 2; id <= 4; ++id) {
    RemoveEndpoint(engine, endpoint_id{ id });
  }
  const start_attempt sent = Send(Request());
  Head(sent.attempt, 421, true);
  RunOnce();
  CHECK(out.starts.empty());
  End(sent.attempt, attempt_end::eCancelled);
  RunOnce(engine.settings.missingModelBackoff);
  REQUIRE(out.starts.size() == 1);
  CHECK(out.starts.front().endpoint == sent.endpoint);
}

TEST_CASE_METHOD(retry_fixture,
                 "Endpoint_WithRecentFailures_GetsFewerRequests",
                 "[routing]")
{
  engine.endpoints.Find(endpoint_id{ 1 })->failureShare = 0.5;
  engine.endpoints.Find(endpoint_id{ 1 })->failedAt = now;
  for (int i = 0; i < 12; ++i) {
    const start_attempt next = Send(Request());
    CHECK(next.endpoint != endpoint_id{ 1 });
    AnswerCompletely(next.attempt);
    RunOnce();
  }
}

TEST_CASE_METHOD(retry_fixture,
                 "Deadline_WhenNotIdempotentAndSilent_EndsAsMayHaveRun",
                 "[routing]")
{
  const start_attempt sent = Send(NonIdempotentRequest());
  RunOnce(milliseconds{ 800 });
  CHECK(out.ends.empty());
  RunOnce(milliseconds{ 100 });
  CheckEnd(request_outcome::eDeadline, ran_state::eMayHaveRun);
  REQUIRE(out.cancels.size() == 1);
  CHECK(out.cancels.front().attempt == sent.attempt);
}

TEST_CASE_METHOD(retry_fixture,
                 "Thread_WhenSuspendedPastTheDeadline_SendsNothing",
                 "[routing]")
{
  REQUIRE(AddRequest(engine, NonIdempotentRequest()));
  RunOnce(std::chrono::seconds{ 5 });
  CHECK(out.starts.empty());
  REQUIRE(out.ends.size() == 1);
  CHECK(out.ends.front().ran == ran_state::eNotRun);
}

TEST_CASE_METHOD(retry_fixture,
                 "WaitingRequest_WhenTheHostStops_IsRefusedAsNotRun",
                 "[routing]")
{
  request_facts facts = Request();
  facts.model = IdOf<model_id>("held nowhere");
  REQUIRE(AddRequest(engine, facts));
  RunOnce();
  CHECK(out.ends.empty());
  engine.settings.placementDeadline = now + std::chrono::milliseconds(500);
  RunOnce();
  CHECK(out.ends.empty());
  CHECK(out.wake.at <= engine.settings.placementDeadline);
  now += std::chrono::milliseconds(500);
  RunOnce();
  CheckEnd(request_outcome::eNotResident, ran_state::eNotRun);
}

TEST_CASE_METHOD(retry_fixture,
                 "Refusal_WhenTrusted_IsRetriedForANonIdempotentRequest",
                 "[routing]")
{
  request_facts facts = Request();
  facts.isIdempotent = false;
  engine.settings.trustsNotRun = true;
  const start_attempt first = Send(facts);
  Head(first.attempt, 503, true);
  RunOnce();
  REQUIRE(out.starts.size() == 1);
  Head(out.starts.front().attempt, 503, false);
  RunOnce();
  CheckEnd(request_outcome::eRefused, ran_state::eMayHaveRun);
}

TEST_CASE_METHOD(retry_fixture,
                 "Endpoint_AfterARefusal_IsAvoidedForTheBackoff",
                 "[routing]")
{
  const start_attempt first = Send(Request());
  Head(first.attempt, 503, true);
  RunOnce();
  REQUIRE(out.starts.size() == 1);
  CHECK(out.starts.front().endpoint != first.endpoint);
  CHECK(engine.endpoints.Find(first.endpoint)->avoidUntil > now);
}

TEST_CASE_METHOD(retry_fixture,
                 "Attempts_PastTheirTargetInOneTick_MoveWithinTheBudgetOnly",
                 "[routing]")
{
  engine.settings.retryShare = 0;
  engine.settings.retryBurst = 1;
  request_facts facts = Request();
  facts.targetFirstByte = milliseconds{ 100 };
  facts.deadline = now + std::chrono::seconds{ 10 };
  std::vector<start_attempt> sent;
  for (int i = 0; i < 3; ++i) {
    sent.push_back(Send(facts));
    facts.id.value += 1;
  }
  RunOnce(milliseconds{ 250 });
  CHECK(out.starts.size() == 1);
  CHECK(out.cancels.size() == 1);
  CHECK(out.kept.size() == 2);
  CHECK(out.ends.empty());
}

TEST_CASE_METHOD(retry_fixture,
                 "Attempt_PastItsTargetAfterOneThatWasNotSent_NeedsTheBudget",
                 "[routing]")
{
  engine.settings.retryShare = 0;
  engine.settings.retryBurst = 0;
  request_facts facts = Request();
  facts.targetFirstByte = milliseconds{ 100 };
  facts.deadline = now + std::chrono::seconds{ 10 };
  const start_attempt unsent = Send(facts);
  End(unsent.attempt, attempt_end::eNotSent);
  RunOnce();
  REQUIRE(out.starts.size() == 1);
  RunOnce(milliseconds{ 200 });
  CHECK(out.cancels.empty());
  CHECK(out.ends.empty());
}

} // namespace
} // namespace bulrush::routing
