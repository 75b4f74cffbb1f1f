#include "routing/routing_fixture.hpp"

namespace bulrush::routing {
namespace {

/// Six warm endpoints, and streams whose prompts have parts in common.
struct quarantine_fixture : routing_fixture
{
  static constexpr std::uint64_t kEndpoints = 6;
  const part_id kFirst{ 0x11 };
  const part_id kBad{ 0xbad };

  quarantine_fixture()
  {
    for (std::uint64_t id = 1; id <= kEndpoints; ++id) {
      endpoint_facts facts = Facts(id);
      facts.canResume = true;
      AddEndpoint(facts);
      MarkWarm(id);
    }
  }

  request_facts Stream(std::vector<part_id> aParts)
  {
    request_facts facts = Request();
    facts.isStreamed = true;
    facts.maxAttempts = 2;
    facts.deadline = now + milliseconds{ 10'000 };
    facts.sharedParts = std::move(aParts);
    return facts;
  }

  /// The process of the attempt's endpoint ends.
  void Crash(attempt_id aAttempt)
  {
    OnConnectionLost(engine, aAttempt);
    End(aAttempt, attempt_end::eLost);
    RunOnce();
  }

  /// An attempt that begins a tick of its own.
  std::optional<start_attempt> TrySend(const request_facts& aFacts)
  {
    REQUIRE(AddRequest(engine, aFacts));
    RunOnce();
    return out.starts.empty() ? std::nullopt
                              : std::optional(out.starts.front());
  }

  /// What other hosts observed.
  void Condemn(part_id aPart)
  {
    quarantine::evidence evidence;
    quarantine::suspect_row row;
    row.id = aPart;
    row.together = { aPart };
    row.newestCrash = now;
    for (std::uint64_t id = 51; id <= 53; ++id) {
      row.crashes.push_back({ endpoint_id{ id }, 1, now });
    }
    evidence.suspects.push_back(row);
    quarantine::Merge(engine.quarantined, evidence, now);
  }
};

TEST_CASE_METHOD(quarantine_fixture,
                 "Request_WithAQuarantinedPart_IsRefusedAtOnceAsNotRun",
                 "[routing][quarantine]")
{
  Condemn(kBad);
  CHECK_FALSE(TrySend(Stream({ kFirst, kBad })));
  CheckEnd(request_outcome::eQuarantined, ran_state::eNotRun);
  CHECK(out.ends.front().part == kBad);
  CHECK(out.ends.front().retryAfter.count() == 0);
  CHECK(TrySend(Stream({ kFirst })));
}

TEST_CASE_METHOD(quarantine_fixture,
                 "Attempt_UnderWayWithAPartThatIsQuarantined_IsCancelled",
                 "[routing][quarantine]")
{
  const auto bad = TrySend(Stream({ kFirst, kBad }));
  const auto sound = TrySend(Stream({ kFirst }));
  REQUIRE(bad);
  REQUIRE(sound);
  Condemn(kBad);
  RunOnce();
  REQUIRE(out.cancels.size() == 1);
  CHECK(out.cancels.front().attempt == bad->attempt);
  CheckEnd(request_outcome::eQuarantined, ran_state::eMayHaveRun);
}

// The transport may report the end of a cancelled attempt later.
TEST_CASE_METHOD(quarantine_fixture,
                 "Attempt_ThatOutlivesItsRequest_IsLeftAloneByTheQuarantine",
                 "[routing][quarantine]")
{
  const auto sent = TrySend(Stream({ kBad }));
  REQUIRE(sent);
  OnCallerDisconnected(engine, sent->request);
  RunOnce();
  REQUIRE(engine.requests.Empty());
  REQUIRE(engine.attempts.Size() == 1);
  Condemn(kBad);
  RunOnce();
  CHECK(out.cancels.empty());
}

TEST_CASE_METHOD(quarantine_fixture,
                 "Requests_WithACrashingPart_EndAtMostThreeProcesses",
                 "[routing][quarantine]")
{
  int crashes = 0;
  for (int i = 0; i < 100; ++i) {
    REQUIRE(AddRequest(engine, Stream({ kFirst, kBad })));
    for (int tick = 0; tick < 50; ++tick) {
      RunOnce(milliseconds{ 20 });
      while (!out.starts.empty()) {
        ++crashes;
        REQUIRE(out.starts.size() == 1);
        const attempt_id attempt = out.starts.front().attempt;
        Head(attempt, 200);
        Crash(attempt); // its tick may start the retry
      }
    }
    const auto sound = TrySend(Stream({ kFirst }));
    INFO(i << ' ' << crashes);
    REQUIRE(sound);
    AnswerCompletely(sound->attempt);
    RunOnce();
  }
  CHECK(crashes <= 3);
}

TEST_CASE_METHOD(quarantine_fixture,
                 "Request_WithASuspectedPart_WaitsAndIsSentOnceItIsCleared",
                 "[routing][quarantine]")
{
  const auto first = TrySend(Stream({ kFirst }));
  REQUIRE(first);
  Crash(first->attempt);
  REQUIRE(out.starts.size() == 1); // its own retry
  const attempt_id retry = out.starts.front().attempt;
  CHECK_FALSE(TrySend(Stream({ kFirst })));
  Head(retry, 200);
  Bytes(retry, 0, 2);
  RunOnce();
  CHECK(out.starts.size() == 1);
}

TEST_CASE_METHOD(quarantine_fixture,
                 "Answer_OfAHeadOrOneEvent_ClearsNoPart",
                 "[routing][quarantine]")
{
  const std::uint64_t events = GENERATE(0, 1);
  const auto sent = TrySend(Stream({ kBad }));
  REQUIRE(sent);
  Head(sent->attempt, 200);
  Bytes(sent->attempt, 0, events);
  RunOnce();
  OnConnectionLost(engine, sent->attempt);
  End(sent->attempt, attempt_end::eTruncated);
  RunOnce();
  CHECK(engine.quarantined.suspects.Find(kBad) != nullptr);
}

TEST_CASE_METHOD(quarantine_fixture,
                 "Crash_OfARequestWhoseAnswerHadGoneOn_SuspectsNoPart",
                 "[routing][quarantine]")
{
  const auto sent = TrySend(Stream({ kFirst }));
  REQUIRE(sent);
  Head(sent->attempt, 200);
  Bytes(sent->attempt, 0, 2);
  RunOnce();
  OnConnectionLost(engine, sent->attempt);
  End(sent->attempt, attempt_end::eTruncated);
  RunOnce();
  CHECK(engine.quarantined.suspects.Empty());
}

TEST_CASE_METHOD(quarantine_fixture,
                 "Attempt_GivenUpHere_SuspectsNoPart",
                 "[routing][quarantine]")
{
  const attempt_end how = GENERATE(
    attempt_end::eLost, attempt_end::eTruncated, attempt_end::eNotSent);
  const auto sent = TrySend(Stream({ kFirst }));
  REQUIRE(sent);
  End(sent->attempt, how);
  RunOnce();
  CHECK(engine.quarantined.suspects.Empty());
}

TEST_CASE_METHOD(quarantine_fixture,
                 "Request_WhosePartStaysSuspected_EndsWithAReason",
                 "[routing][quarantine]")
{
  request_facts held = Stream({ kBad });
  held.deadline = now + milliseconds{ 100 };
  const auto first = TrySend(Stream({ kBad }));
  REQUIRE(first);
  Crash(first->attempt);
  CHECK_FALSE(TrySend(held));
  RunOnce(milliseconds{ 110 });
  CheckEnd(request_outcome::eSuspected, ran_state::eNotRun);
}

} // namespace
} // namespace bulrush::routing
