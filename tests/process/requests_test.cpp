#include "support/processes.hpp"
#include "support/raw_endpoint.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>

namespace bulrush::test {
namespace {

using nlohmann::json;

constexpr int kReleaseDeadlineMs = 3'000;
constexpr int kStatusDeadlineMs = 6'000;
constexpr int kUnboundedDelayMs = 600'000; ///< longer than any test

// Two entry hosts in one failure domain. The endpoints count the requests that
// they ran.
struct requests_fixture
{
  fleet running{ { { "domain-a" }, 2, Manifest() } };
  std::string key;

  requests_fixture()
  {
    running.Start();
    key = running.IssueKey("press");
    for (std::size_t entry = 0; entry < 2; ++entry) {
      REQUIRE(WaitUntil([&] {
        const auto answer = SendHttpRequest(
          "GET",
          "http://" + running.EntryAddress(entry) + "/v1/models",
          { "Authorization: Bearer " + key });
        return answer.status == 200;
      }));
    }
  }

  static std::string Manifest()
  {
    json manifest = json::parse(DefaultManifest({ "domain-a" }));
    manifest["routes"][0]["deadline_ms"] = kReleaseDeadlineMs;
    manifest["routes"][1]["deadline_ms"] = kStatusDeadlineMs;
    return manifest.dump();
  }

  std::unique_ptr<raw_endpoint> AddRaw(const std::string& aName) const
  {
    return std::make_unique<raw_endpoint>(
      aName,
      "domain-a",
      std::vector{ running.EntryAddress(0), running.EntryAddress(1) });
  }

  std::string AddDesk(const std::string& aName)
  {
    return AddFake(aName, { "--services", "desk" });
  }

  std::string AddEngine(const std::string& aName,
                        const std::string& aPerToken = "1ms")
  {
    return AddFake(aName,
                   { "--memory",
                     "10000",
                     "--models",
                     "draft:1:1000",
                     "--per-token",
                     aPerToken });
  }

  std::string AddFake(const std::string& aName,
                      std::vector<std::string> aArguments)
  {
    std::string address =
      running.AddEndpoint(aName, "domain-a", std::move(aArguments));
    REQUIRE(WaitUntil([&] {
      return SendHttpRequest("GET", "http://" + address + "/stats").status ==
             200;
    }));
    return address;
  }

  /// Waits until both hosts serve the open route.
  void WaitForDesk() const
  {
    for (std::size_t entry = 0; entry < 2; ++entry) {
      REQUIRE(WaitUntil([&] { return Status(entry).status == 200; }));
    }
  }

  void WaitForEngines() const
  {
    for (std::size_t entry = 0; entry < 2; ++entry) {
      REQUIRE(
        WaitUntil([&] { return Complete(entry, 1, false).status == 200; }));
    }
  }

  http_answer Status(std::size_t aEntry) const
  {
    return running.Post(aEntry, "/desk/status", "", {});
  }

  http_answer Release(std::size_t aEntry,
                      const std::string& aIdempotencyKey,
                      const std::string& aTag = "plate 1") const
  {
    std::vector<std::string> fields;
    if (!aIdempotencyKey.empty()) {
      fields.push_back("Idempotency-Key: " + aIdempotencyKey);
    }
    return running.Post(
      aEntry, "/desk/releases", key, { { "tag", aTag } }, fields);
  }

  std::future<http_answer> ReleaseLater(
    std::size_t aEntry,
    const std::string& aIdempotencyKey) const
  {
    return std::async(std::launch::async, [this, aEntry, aIdempotencyKey] {
      return Release(aEntry, aIdempotencyKey);
    });
  }

  http_answer Complete(std::size_t aEntry, int aTokens, bool aIsStream) const
  {
    return running.Post(aEntry,
                        "/v1/chat/completions",
                        key,
                        { { "model", "draft" },
                          { "max_tokens", aTokens },
                          { "stream", aIsStream },
                          { "tag", "completion" } });
  }

  static void SetFault(const std::string& aAddress,
                       const std::string& aKind,
                       int aCount = 1,
                       int aMilliseconds = 0)
  {
    const json fault = { { "fault", aKind },
                         { "count", aCount },
                         { "ms", aMilliseconds } };
    const auto answer = SendHttpRequest(
      "POST", "http://" + aAddress + "/faults", {}, fault.dump());
    REQUIRE(answer.status == 200);
  }

  static json Stats(const std::string& aAddress)
  {
    return json::parse(
      SendHttpRequest("GET", "http://" + aAddress + "/stats").body);
  }

  /// Number of requests with this tag that the endpoint ran.
  static int Runs(const std::string& aAddress,
                  const std::string& aTag = "plate 1")
  {
    return Stats(aAddress)["runs_by_tag"].value(aTag, 0);
  }

  static json Error(const http_answer& aAnswer)
  {
    INFO(aAnswer.status << ' ' << aAnswer.body << ' ' << aAnswer.error);
    const json body = json::parse(aAnswer.body, nullptr, false);
    REQUIRE(body.contains("error"));
    return body["error"];
  }

  void CheckError(const http_answer& aAnswer,
                  const std::string& aCode,
                  const std::string& aRan) const
  {
    const json error = Error(aAnswer);
    CHECK(error["code"] == aCode);
    CHECK(error["ran"] == aRan);
  }

  void KillEntry(std::size_t aEntry)
  {
    running.entries[aEntry]->Signal(SIGKILL);
    running.entries[aEntry]->Wait();
  }
};

TEST_CASE_METHOD(requests_fixture,
                 "Release_ResentToAnotherHost_GetsTheStoredAnswer",
                 "[process][requests]")
{
  const std::string desk = AddDesk("desk");
  WaitForDesk();
  const http_answer first = Release(0, "release-1");
  REQUIRE(first.status == 200);
  http_answer second;
  REQUIRE(WaitUntil([&] {
    second = Release(1, "release-1");
    return second.status == 200;
  }));
  CHECK(second.body == first.body);
  CHECK(second.fields.contains("idempotent-replay"));
  CheckError(Release(1, "release-1", "plate 2"), "claim_mismatch", "not_run");
  CHECK(Runs(desk) == 1);
  CHECK(Runs(desk, "plate 2") == 0);
}

TEST_CASE_METHOD(requests_fixture,
                 "Release_WhenItsHostDiesBeforeSending_NeverRuns",
                 "[process][requests]")
{
  // Without an endpoint the first request keeps its claim and waits.
  const std::string idempotencyKey = "release-1";
  auto first = ReleaseLater(0, idempotencyKey);
  const bool isClaimed =
    WaitUntil([this] { return running.Status()["claims"] == 1; });
  INFO(running.entries[0]->Log() << running.controls[0]->Log());
  REQUIRE(isClaimed);
  CheckError(Release(1, idempotencyKey), "in_progress", "may_have_run");
  KillEntry(0);
  first.wait();
  const std::string desk = AddDesk("desk");
  REQUIRE(WaitUntil([&] { return Status(1).status == 200; }));
  CheckError(Release(1, idempotencyKey), "in_progress", "may_have_run");
  CHECK(Runs(desk) == 0);
}

TEST_CASE_METHOD(requests_fixture,
                 "Release_WhenItsHostDiesBeforeTheAnswer_RunsOnce",
                 "[process][requests]")
{
  const std::string desk = AddDesk("desk");
  WaitForDesk();
  SetFault(desk, "late", 1, kUnboundedDelayMs);
  auto first = ReleaseLater(0, "release-1");
  REQUIRE(WaitUntil([&] { return Runs(desk) == 1; }));
  KillEntry(0);
  first.wait();
  CheckError(Release(1, "release-1"), "in_progress", "may_have_run");
  CHECK(Runs(desk) == 1);
}

TEST_CASE_METHOD(requests_fixture,
                 "Release_WhenItsAnswerIsLost_SaysMayHaveRunAndRunsOnce",
                 "[process][requests]")
{
  const std::string desk = AddDesk("desk");
  const std::string other = AddDesk("other");
  WaitForDesk();
  SetFault(desk, "lose_answer");
  SetFault(other, "lose_answer");
  CheckError(Release(0, "release-1"), "endpoint_failed", "may_have_run");
  CheckError(Release(1, "release-1"), "in_progress", "may_have_run");
  CHECK(Runs(desk) + Runs(other) == 1);
}

TEST_CASE_METHOD(requests_fixture,
                 "Release_WhenItsAnswerIsLate_EndsAtTheDeadlineAndIsStored",
                 "[process][requests]")
{
  const std::string desk = AddDesk("desk");
  WaitForDesk();
  SetFault(desk, "late", 1, kReleaseDeadlineMs + 1'000);
  CheckError(Release(0, "release-1"), "deadline_passed", "may_have_run");
  http_answer again;
  REQUIRE(WaitUntil([&] {
    again = Release(1, "release-1");
    return again.status == 200;
  }));
  CHECK(again.fields.contains("idempotent-replay"));
  CHECK(Runs(desk) == 1);
}

TEST_CASE_METHOD(requests_fixture,
                 "Release_WhenRefusedByTheEndpoint_SaysNotRunAndMayBeResent",
                 "[process][requests]")
{
  const std::string desk = AddDesk("desk");
  WaitForDesk();
  SetFault(desk, "refuse");
  CheckError(Release(0, "release-1"), "overloaded", "not_run");
  CHECK(Runs(desk) == 0);
  REQUIRE(WaitUntil([&] { return Release(1, "release-1").status == 200; }));
  CHECK(Runs(desk) == 1);
}

TEST_CASE_METHOD(requests_fixture,
                 "Release_WithoutAQuorum_IsRefusedAsNotRun",
                 "[process][requests]")
{
  const std::string desk = AddDesk("desk");
  WaitForDesk();
  running.controls[0]->Signal(SIGSTOP);
  const http_answer answer = Release(0, "release-1");
  running.controls[0]->Signal(SIGCONT);
  CHECK(answer.status == 503);
  CHECK(Error(answer)["ran"] == "not_run");
  CHECK(Runs(desk) == 0);
}

TEST_CASE_METHOD(requests_fixture,
                 "Release_WhenItsAnswerIsBroken_IsNeverRepeated",
                 "[process][requests]")
{
  const auto desk = AddRaw("desk");
  const auto other = AddRaw("other");
  WaitForDesk();
  const response_mode mode = GENERATE(response_mode::eClose,
                                      response_mode::eTruncateHead,
                                      response_mode::eTruncateBody);
  const std::string idempotencyKey = GENERATE("", "release-1");
  const int before = desk->Runs() + other->Runs();
  desk->SetResponseModes({ mode });
  other->SetResponseModes({ mode });
  CheckError(Release(0, idempotencyKey), "endpoint_failed", "may_have_run");
  if (!idempotencyKey.empty()) {
    CheckError(Release(1, idempotencyKey), "in_progress", "may_have_run");
  }
  CHECK(desk->Runs() + other->Runs() == before + 1);
}

TEST_CASE_METHOD(requests_fixture,
                 "Release_WhenItsAnswerIsMismatched_SaysMayHaveRun",
                 "[process][requests]")
{
  const std::string desk = AddDesk("desk");
  WaitForDesk();
  SetFault(desk, "cross");
  CheckError(Release(0, ""), "endpoint_failed", "may_have_run");
  CHECK(Runs(desk) == 1);
}

TEST_CASE_METHOD(requests_fixture,
                 "Lookup_WhenItsAnswerIsBroken_IsAnsweredByAnother",
                 "[process][requests]")
{
  const auto desk = AddRaw("desk");
  const auto other = AddRaw("other");
  WaitForDesk();
  const response_mode mode = GENERATE(response_mode::eClose,
                                      response_mode::eTruncateHead,
                                      response_mode::eTruncateBody);
  desk->SetResponseModes({ mode });
  for (int i = 0; i < 8; ++i) {
    const http_answer answer = Status(0);
    CHECK(answer.status == 200);
    CHECK(answer.body == "{\"ok\":true}");
  }
}

TEST_CASE_METHOD(requests_fixture,
                 "Lookup_WhenItsEndpointIsSlow_IsAnsweredByAnother",
                 "[process][requests]")
{
  const std::string slow = AddDesk("slow");
  const std::string other = AddDesk("other");
  WaitForDesk();
  REQUIRE(WaitUntil(
    [&] { return Status(0).status == 200 && Runs(slow, "/desk/status") > 0; }));
  REQUIRE(WaitUntil([&] {
    return Status(0).status == 200 && Runs(other, "/desk/status") > 0;
  }));
  SetFault(slow, "late", 1, kUnboundedDelayMs);
  for (int i = 0; i < 8; ++i) {
    CHECK(Status(0).status == 200);
  }
}

TEST_CASE_METHOD(
  requests_fixture,
  "Completion_WhenAnAnswerIsMismatchedOrRefused_IsCompleteAndCorrect",
  "[process][requests]")
{
  const std::string engine = AddEngine("engine");
  const std::string other = AddEngine("other");
  WaitForEngines();
  const std::string fault = GENERATE("cross", "refuse");
  SetFault(engine, fault);
  SetFault(other, fault);
  const http_answer answer = Complete(0, 4, false);
  INFO(fault << ' ' << answer.status << ' ' << answer.body << answer.error);
  REQUIRE(answer.status == 200);
  const json body = json::parse(answer.body);
  CHECK(body["choices"][0]["message"]["content"] == "t0 t1 t2 t3 ");
}

TEST_CASE_METHOD(requests_fixture,
                 "Stream_WhenItBreaks_IsResumedWithoutAGap",
                 "[process][requests]")
{
  const auto engine = AddRaw("engine");
  const auto other = AddRaw("other");
  WaitForEngines();
  engine->SetResponseModes({ response_mode::eTruncateChunks });
  other->SetResponseModes({ response_mode::eTruncateChunks });
  const http_answer answer = Complete(0, raw_endpoint::kTokens, true);
  INFO(answer.body);
  REQUIRE(answer.status == 200);
  std::size_t position = 0;
  for (int token = 0; token < raw_endpoint::kTokens; ++token) {
    const std::string event = "\"content\":\"t" + std::to_string(token) + " \"";
    const std::size_t found = answer.body.find(event);
    REQUIRE(found != std::string::npos);
    CHECK(found >= position);
    CHECK(answer.body.find(event, found + 1) == std::string::npos);
    position = found;
  }
  CHECK(answer.body.ends_with("data: [DONE]\n\n"));
}

TEST_CASE_METHOD(requests_fixture,
                 "Stream_WhenNoEndpointCompletesIt_IsVisiblyIncomplete",
                 "[process][requests]")
{
  const auto engine = AddRaw("engine");
  const auto other = AddRaw("other");
  WaitForEngines();
  const auto how = GENERATE(response_mode::eTruncateChunks,
                            response_mode::eEndInsideEvent,
                            response_mode::eEndChunksInsideEvent);
  const std::deque<response_mode> broken(4, how);
  engine->SetResponseModes(broken);
  other->SetResponseModes(broken);
  const http_answer answer = Complete(0, raw_endpoint::kTokens, true);
  INFO(answer.body);
  CHECK(answer.status == 0); // the last chunk is missing
  CHECK(answer.body.find("\"content\":\"t0 \"") != std::string::npos);
  CHECK(answer.body.find("HTTP/1.1") == std::string::npos);
  CHECK(answer.body.find("[DONE]") == std::string::npos);
  CHECK(answer.body.ends_with("\n\n"));
}

// The endpoint's answer is the truth about the request; an error of the host
// hides it.
TEST_CASE_METHOD(requests_fixture,
                 "ServerError_OfEachEndpoint_ReachesTheCallerUnchanged",
                 "[process][requests]")
{
  const auto desk = AddRaw("desk");
  const auto other = AddRaw("other");
  WaitForDesk();
  const std::string body = "desk is broken";
  const endless_answer error{
    "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n"
    "Bulrush-Attempt: {attempt}\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body,
    ""
  };
  desk->SetEndlessAnswer(error);
  other->SetEndlessAnswer(error);
  const http_answer answer = Status(0);
  INFO(answer.error << running.entries[0]->Log());
  CHECK(answer.status == 500);
  CHECK(answer.body == body);
  CHECK(desk->EndlessBegun() > 0);
  CHECK(other->EndlessBegun() > 0);
}

TEST_CASE_METHOD(requests_fixture,
                 "Endpoint_WhoseAnswersSayThatItLeaves_GetsNoFurtherRequest",
                 "[process][requests]")
{
  const auto desk = AddRaw("desk");
  const auto other = AddRaw("other");
  WaitForDesk();
  desk->SayLeavingInAnswers();
  const int before = desk->Runs();
  for (int i = 0; i < 40; ++i) {
    CHECK(Status(0).status == 200);
  }
  CHECK(desk->Runs() <= before + 1);
  CHECK(other->Runs() > 0);
}

TEST_CASE_METHOD(requests_fixture,
                 "Stream_WhenItsKeyIsWithdrawn_IsCutWithAnError",
                 "[process][requests]")
{
  const std::string engine = AddEngine("engine", "100ms");
  WaitForEngines();
  auto stream = std::async(std::launch::async,
                           [this] { return Complete(0, 100'000, true); });
  REQUIRE(WaitUntil([&] { return Stats(engine)["running"] == 1; }));
  REQUIRE(running.Ctl({ "key", "withdraw", key }).exitCode == 0);
  const http_answer answer = stream.get();
  CHECK(answer.body.find("key_withdrawn") != std::string::npos);
  CHECK(answer.body.find("[DONE]") == std::string::npos);
  CHECK(WaitUntil([&] { return Stats(engine)["cancelled"] == 1; }));
}

} // namespace
} // namespace bulrush::test
