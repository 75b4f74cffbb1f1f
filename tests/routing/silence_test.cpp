#include "routing/routing_fixture.hpp"

namespace bulrush::routing {
namespace {

using std::chrono::seconds;

constexpr seconds kTimeLeft{ 60 };
/// Longer than options::streamIdleTimeout, shorter than kTimeLeft.
constexpr seconds kSilence{ 45 };

/// Two endpoints that can resume streams, the first of which is silent.
struct silence_fixture : routing_fixture
{
  silence_fixture()
  {
    for (std::uint64_t id = 1; id <= 2; ++id) {
      endpoint_facts facts = Facts(id);
      facts.canResume = true;
      AddEndpoint(facts);
      MarkWarm(id);
    }
    // The first endpoint is chosen while it is neither full nor suspect.
    engine.policy.score = [](const score_input& aInput) {
      return aInput.endpoint.id == endpoint_id{ 1 } ? 1.0 : 0.0;
    };
  }

  request_facts WithTime(request_facts aFacts) const
  {
    aFacts.deadline = now + kTimeLeft;
    return aFacts;
  }

  /// A stream whose last byte has a deadline.
  request_facts Stream(bool aCanResume)
  {
    request_facts facts = WithTime(Request());
    facts.isStreamed = true;
    facts.isIdempotent = aCanResume;
    facts.targetGap = milliseconds{ 150 };
    facts.lastByteDeadline = facts.deadline;
    return facts;
  }

  /// A stream with a deadline of its first byte only.
  request_facts StreamWithoutEnd()
  {
    request_facts facts = Stream(false);
    facts.lastByteDeadline = steady_time::max();
    return facts;
  }

  void Fill(std::uint64_t aEndpoint)
  {
    endpoint_row& row = *engine.endpoints.Find(endpoint_id{ aEndpoint });
    row.inFlight = row.facts.slots;
  }

  /// The endpoint reports this many requests, as of now.
  void Report(std::uint64_t aEndpoint, std::uint32_t aInFlight)
  {
    endpoint_row& row = *engine.endpoints.Find(endpoint_id{ aEndpoint });
    row.facts.reportedInFlight = aInFlight;
    row.facts.reportedAt = now;
    row.inFlightWhenReported = row.inFlight;
  }

  start_attempt SendWithEvents(const request_facts& aFacts)
  {
    start_attempt sent = Send(aFacts);
    REQUIRE(sent.endpoint == endpoint_id{ 1 });
    Head(sent.attempt, 200);
    Bytes(sent.attempt, 0, 4);
    RunOnce();
    return sent;
  }

  start_attempt SendWithHead(const request_facts& aFacts)
  {
    start_attempt sent = Send(aFacts);
    REQUIRE(sent.endpoint == endpoint_id{ 1 });
    Head(sent.attempt, 200);
    RunOnce();
    return sent;
  }

  /// Runs the ticks that are due within aFor.
  void RunFor(steady_time::duration aFor)
  {
    const steady_time until = now + aFor;
    while (out.ends.empty() && out.wake.at < until) {
      const auto wait = std::chrono::ceil<milliseconds>(out.wake.at - now);
      RunOnce(std::max(milliseconds{ 1 }, wait));
      CHECK(out.starts.empty());
    }
    CHECK(out.ends.empty());
    now = std::max(now, until);
  }

  /// Sends a comment each second for aFor, or until the request ends or moves.
  void SendComments(const start_attempt& aSent,
                    std::uint64_t aReceived,
                    steady_time::duration aFor)
  {
    const steady_time until = now + aFor;
    while (now < until && out.ends.empty() && out.starts.empty()) {
      Comment(aSent.attempt, aReceived++);
      RunOnce(seconds{ 1 });
    }
  }

  void CheckAnsweredAfterSilence(const start_attempt& aSent,
                                 std::uint64_t aReceived)
  {
    RunFor(kSilence);
    Bytes(aSent.attempt, aReceived, 4);
    End(aSent.attempt, attempt_end::eComplete);
    RunOnce();
    CheckEnd(request_outcome::eAnswered, ran_state::eRan);
  }
};

TEST_CASE_METHOD(silence_fixture,
                 "Call_ThatMayRunOnce_IsWaitedForUntilItsDeadline",
                 "[routing][silence]")
{
  const start_attempt sent = Send(WithTime(NonIdempotentRequest()));
  RunFor(kSilence);
  AnswerCompletely(sent.attempt);
  RunOnce();
  CheckEnd(request_outcome::eAnswered, ran_state::eRan);
}

TEST_CASE_METHOD(silence_fixture,
                 "Answer_ThatIsSilentAfterItsHead_IsWaitedForUntilItsDeadline",
                 "[routing][silence]")
{
  const bool mayRepeat = GENERATE(true, false);
  const request_facts facts = mayRepeat ? Request() : NonIdempotentRequest();
  CheckAnsweredAfterSilence(SendWithHead(WithTime(facts)), 0);
}

TEST_CASE_METHOD(silence_fixture,
                 "Answer_WithoutAnotherEndpoint_IsWaitedForUntilItsDeadline",
                 "[routing][silence]")
{
  RemoveEndpoint(engine, endpoint_id{ 2 });
  const start_attempt sent = Send(WithTime(Request()));
  RunFor(kSilence);
  AnswerCompletely(sent.attempt);
  RunOnce();
  CheckEnd(request_outcome::eAnswered, ran_state::eRan);
}

TEST_CASE_METHOD(silence_fixture,
                 "Stream_ThatCannotBeResumed_IsWaitedForUntilItsDeadline",
                 "[routing][silence]")
{
  CheckAnsweredAfterSilence(SendWithEvents(Stream(false)), 4);
}

TEST_CASE_METHOD(silence_fixture,
                 "Stream_WithoutAnotherEndpoint_IsWaitedForUntilItsDeadline",
                 "[routing][silence]")
{
  RemoveEndpoint(engine, endpoint_id{ 2 });
  CheckAnsweredAfterSilence(SendWithEvents(Stream(true)), 4);
}

TEST_CASE_METHOD(silence_fixture,
                 "Stream_PastItsDeadline_IsBrokenOff",
                 "[routing][silence]")
{
  const start_attempt sent = SendWithEvents(Stream(false));
  RunFor(kSilence);
  RunOnce(kTimeLeft - kSilence);
  CheckEnd(request_outcome::eBrokenStream, ran_state::eMayHaveRun);
  REQUIRE(out.cancels.size() == 1);
  CHECK(out.cancels.front().attempt == sent.attempt);
}

// A stream without a deadline of its last byte is not waited for for ever.
TEST_CASE_METHOD(silence_fixture,
                 "Stream_WithoutDeadline_IsBrokenOffAfterTheIdleTimeout",
                 "[routing][silence]")
{
  SendWithEvents(StreamWithoutEnd());
  RunFor(engine.settings.streamIdleTimeout - milliseconds{ 1 });
  RunOnce();
  CheckEnd(request_outcome::eBrokenStream, ran_state::eMayHaveRun);
}

// The caller has got no byte, so it can be told that its time is up.
TEST_CASE_METHOD(silence_fixture,
                 "Stream_WithoutAnEventAtItsDeadline_EndsAsPastItsDeadline",
                 "[routing][silence]")
{
  const request_facts facts =
    GENERATE_COPY(Stream(false), Stream(true), StreamWithoutEnd());
  if (facts.isIdempotent) {
    RemoveEndpoint(engine, endpoint_id{ 2 });
  }
  SendWithHead(facts);
  RunFor(facts.deadline - now - milliseconds{ 1 });
  RunOnce();
  CheckEnd(request_outcome::eDeadline, ran_state::eMayHaveRun);
  CHECK_FALSE(out.ends.front().hasForwarded);
}

TEST_CASE_METHOD(silence_fixture,
                 "Stream_ThatSendsOnlyComments_IsBrokenOffAfterTheIdleTimeout",
                 "[routing][silence]")
{
  const start_attempt sent = SendWithEvents(StreamWithoutEnd());
  SendComments(
    sent, 4, engine.settings.streamIdleTimeout - milliseconds{ 500 });
  CheckEnd(request_outcome::eBrokenStream, ran_state::eMayHaveRun);
}

TEST_CASE_METHOD(silence_fixture,
                 "Stream_ThatSendsOnlyComments_IsResumedElsewhere",
                 "[routing][silence]")
{
  const start_attempt sent = SendWithEvents(Stream(true));
  SendComments(sent, 4, engine.settings.streamIdleTimeout);
  REQUIRE(out.starts.size() == 1);
  CHECK(out.starts.front().endpoint == endpoint_id{ 2 });
}

TEST_CASE_METHOD(silence_fixture,
                 "Stream_WithContentBetweenComments_IsWaitedFor",
                 "[routing][silence]")
{
  const start_attempt sent = SendWithEvents(StreamWithoutEnd());
  SendComments(sent, 4, seconds{ 20 });
  Bytes(sent.attempt, 24, 1);
  SendComments(sent, 25, seconds{ 20 });
  REQUIRE(out.ends.empty());
  End(sent.attempt, attempt_end::eComplete);
  RunOnce();
  CheckEnd(request_outcome::eAnswered, ran_state::eRan);
}

// An engine may send comments while the request waits in its queue.
TEST_CASE_METHOD(silence_fixture,
                 "Stream_WithCommentsBeforeItsFirstEvent_IsWaitedFor",
                 "[routing][silence]")
{
  const start_attempt sent = SendWithHead(StreamWithoutEnd());
  SendComments(sent, 0, kSilence);
  REQUIRE(out.ends.empty());
  Bytes(sent.attempt, std::uint64_t{ kSilence.count() }, 4);
  End(sent.attempt, attempt_end::eComplete);
  RunOnce();
  CheckEnd(request_outcome::eAnswered, ran_state::eRan);
}

// Past its placement deadline it could not wait for a slot there.
TEST_CASE_METHOD(silence_fixture,
                 "Stream_WhenTheOtherEndpointIsFull_IsWaitedFor",
                 "[routing][silence]")
{
  Fill(2);
  request_facts facts = Stream(true);
  facts.placementDeadline = now + seconds{ 1 };
  const start_attempt sent = SendWithEvents(facts);
  SECTION("and answered if it goes on")
  {
    CheckAnsweredAfterSilence(sent, 4);
  }
  SECTION("and moved when there is a slot")
  {
    RunFor(seconds{ 3 });
    engine.endpoints.Find(endpoint_id{ 2 })->inFlight = 0;
    RunOnce(engine.settings.minIdleTimeout);
    REQUIRE(out.starts.size() == 1);
    CHECK(out.starts.front().endpoint == endpoint_id{ 2 });
    CHECK(out.starts.front().resumeOffset == 4);
  }
}

// Guards against streams that end because they were moved to an endpoint whose
// queue is full, which rejects them.
TEST_CASE_METHOD(
  silence_fixture,
  "Stream_WhenTheOtherEndpointReportsThatItIsFull_StaysUntilASlotIsFree",
  "[routing][silence]")
{
  const start_attempt sent = SendWithEvents(Stream(true));
  for (int i = 0; i < 4; ++i) {
    Report(2, 9);
    RunOnce(seconds{ 1 });
    CHECK(out.cancels.empty());
    CHECK(out.starts.empty());
  }
  Report(2, 7);
  RunOnce(engine.settings.minIdleTimeout);
  REQUIRE(out.starts.size() == 1);
  CHECK(out.starts.front().endpoint == endpoint_id{ 2 });
}

} // namespace
} // namespace bulrush::routing
