#include "support/processes.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>

namespace bulrush::test {
namespace {

// A host whose requests run long enough to be in progress when it is stopped.
struct stop_fixture
{
  fleet running;
  std::string key;

  stop_fixture()
  {
    running.Start();
    running.AddEndpoint("engine",
                        "domain-a",
                        { "--memory",
                          "10000",
                          "--models",
                          "draft:1:1000",
                          "--first-token",
                          "300ms",
                          "--cold-slots",
                          "8",
                          "--per-token",
                          "20ms" });
    key = running.IssueKey("press");
    REQUIRE(WaitUntil([&] { return Complete(1).status == 200; }));
  }

  http_answer Complete(int aTokens) const
  {
    return running.Post(
      0,
      "/v1/completions",
      key,
      { { "model", "draft" }, { "max_tokens", aTokens }, { "stream", true } });
  }

  int ReadyStatus() const
  {
    return SendHttpRequest("GET",
                           "http://" + running.EntryAddress(0) + "/readyz")
      .status;
  }
};

TEST_CASE_METHOD(stop_fixture,
                 "Entry_WhenStoppedUnderLoad_FinishesEveryStream",
                 "[process]")
{
  constexpr int kStreams = 6;
  std::vector<std::future<http_answer>> answers;
  answers.reserve(kStreams);
  for (int i = 0; i < kStreams; ++i) {
    answers.push_back(
      std::async(std::launch::async, [this] { return Complete(100); }));
  }
  REQUIRE(WaitUntil([&] {
    const auto stats = nlohmann::json::parse(
      SendHttpRequest(
        "GET", "http://" + running.endpointAddresses["engine"] + "/stats")
        .body);
    return stats["running"] == kStreams;
  }));
  running.entries[0]->Signal(SIGTERM);
  CHECK(WaitUntil([&] { return ReadyStatus() != 200; }));
  for (auto& answer : answers) {
    const http_answer each = answer.get();
    CHECK(each.status == 200);
    CHECK(each.body.ends_with("data: [DONE]\n\n"));
  }
  CHECK(running.entries[0]->Wait() == 0);
}

TEST_CASE_METHOD(stop_fixture,
                 "Entry_WhenSignalledAgainDuringAStop_FinishesTheStream",
                 "[process]")
{
  auto streamed =
    std::async(std::launch::async, [this] { return Complete(100); });
  REQUIRE(WaitUntil([&] {
    const auto stats = nlohmann::json::parse(
      SendHttpRequest(
        "GET", "http://" + running.endpointAddresses["engine"] + "/stats")
        .body);
    return stats["running"] == 1;
  }));
  running.entries[0]->Signal(SIGTERM);
  REQUIRE(WaitUntil([&] { return ReadyStatus() != 200; }));
  constexpr std::chrono::milliseconds kBetweenSignals{ 200 };
  CHECK(streamed.wait_for(kBetweenSignals) == std::future_status::timeout);
  running.entries[0]->Signal(SIGTERM);
  running.entries[0]->Signal(SIGHUP);
  const http_answer answer = streamed.get();
  CHECK(answer.status == 200);
  CHECK(answer.body.ends_with("data: [DONE]\n\n"));
  CHECK(running.entries[0]->Wait() == 0);
}

TEST_CASE_METHOD(stop_fixture,
                 "Entry_WhenStoppedIdle_ExitsWithZero",
                 "[process]")
{
  running.entries[0]->Signal(SIGTERM);
  CHECK(running.entries[0]->Wait() == 0);
  CHECK(Complete(1).status == 0);
}

constexpr std::chrono::milliseconds kGrace{ 4'000 };

// Two hosts, and endpoints whose answers take far longer than the grace.
struct short_grace_fixture
{
  fleet running;
  std::string key;
  std::string desk;

  explicit short_grace_fixture(const std::string& aStopDelay = "500ms")
    : running(fleet_options{ .entriesPerDomain = 2,
                             .manifest = Manifest(),
                             .entryArguments = { "--stop-grace",
                                                 FormatMilliseconds(kGrace),
                                                 "--stop-delay",
                                                 aStopDelay } })
  {
    running.Start();
    running.AddEndpoint("engine",
                        "domain-a",
                        { "--memory",
                          "10000",
                          "--models",
                          "draft:1:1000",
                          "--cold-slots",
                          "8",
                          "--per-token",
                          "20ms" });
    desk = running.AddEndpoint("desk", "domain-a", { "--services", "desk" });
    key = running.IssueKey("press");
    for (std::size_t entry = 0; entry < 2; ++entry) {
      REQUIRE(WaitUntil([&] { return Stream(entry, 1).status == 200; }));
      REQUIRE(WaitUntil([&] {
        return running.Post(entry, "/desk/status", "", {}).status == 200;
      }));
    }
  }

  static std::string FormatMilliseconds(std::chrono::milliseconds aTime)
  {
    return std::to_string(aTime.count()) + "ms";
  }

  static std::string Manifest()
  {
    auto manifest = nlohmann::json::parse(DefaultManifest({ "domain-a" }));
    manifest["routes"][0]["deadline_ms"] = 10 * kGrace.count();
    return manifest.dump();
  }

  http_answer Stream(std::size_t aEntry, int aTokens) const
  {
    return running.Post(
      aEntry,
      "/v1/completions",
      key,
      { { "model", "draft" }, { "max_tokens", aTokens }, { "stream", true } });
  }

  http_answer Release(std::size_t aEntry,
                      std::vector<std::string> aFields = {}) const
  {
    return running.Post(aEntry,
                        "/desk/releases",
                        key,
                        { { "tag", "plate 1" } },
                        std::move(aFields));
  }

  void DelayRelease(std::chrono::milliseconds aDelay) const
  {
    const nlohmann::json fault = { { "fault", "late" },
                                   { "count", 1 },
                                   { "ms", aDelay.count() } };
    REQUIRE(
      SendHttpRequest("POST", "http://" + desk + "/faults", {}, fault.dump())
        .status == 200);
  }

  int Runs() const
  {
    return nlohmann::json::parse(
             SendHttpRequest("GET", "http://" + desk + "/stats").body)
      .at("runs_by_tag")
      .value("plate 1", 0);
  }

  /// Stops host 0 and kills it at the end of the grace, as a platform does.
  void Stop()
  {
    running.entries[0]->Signal(SIGTERM);
    killAt = std::chrono::steady_clock::now() + kGrace;
  }

  /// Exit code of host 0; minus the signal's number if it had to be killed.
  int Exit()
  {
    const bool hasExited =
      WaitUntil([this] { return !running.entries[0]->IsRunning(); },
                std::chrono::floor<std::chrono::milliseconds>(
                  killAt - std::chrono::steady_clock::now()));
    if (!hasExited) {
      running.entries[0]->Signal(SIGKILL);
    }
    return running.entries[0]->Wait();
  }

  std::chrono::steady_clock::time_point killAt;
};

TEST_CASE_METHOD(short_grace_fixture,
                 "Stream_LongerThanTheGrace_IsBrokenOffBeforeTheHostIsKilled",
                 "[process]")
{
  constexpr int kEndlessTokens = 5'000;
  auto answer = std::async(std::launch::async,
                           [this] { return Stream(0, kEndlessTokens); });
  REQUIRE(WaitUntil([&] {
    return nlohmann::json::parse(
             SendHttpRequest("GET",
                             "http://" + running.endpointAddresses["engine"] +
                               "/stats")
               .body)["running"] == 1;
  }));
  Stop();
  CHECK(Exit() == 0);
  const http_answer broken = answer.get();
  CHECK(broken.status == 0);
  CHECK(broken.body.find("event: error") != std::string::npos);
  CHECK(broken.body.find("stopping") != std::string::npos);
  CHECK(running.entries[0]->Log().find("outcome=host_stopped") !=
        std::string::npos);
}

TEST_CASE_METHOD(short_grace_fixture,
                 "RunOnceCall_LongerThanTheGrace_IsAnsweredAsMayHaveRun",
                 "[process]")
{
  DelayRelease(10 * kGrace);
  const bool isKeyed = GENERATE(false, true);
  const std::vector<std::string> fields =
    isKeyed ? std::vector<std::string>{ "Idempotency-Key: plate 1" }
            : std::vector<std::string>{};
  auto answer =
    std::async(std::launch::async, [&] { return Release(0, fields); });
  REQUIRE(WaitUntil([&] { return Runs() == 1; }));
  Stop();
  CHECK(Exit() == 0);
  const http_answer each = answer.get();
  CHECK(each.status == 504);
  CHECK(each.body.find("may_have_run") != std::string::npos);
}

TEST_CASE_METHOD(short_grace_fixture,
                 "RunOnceCall_AfterTheStopSignal_IsRefusedAndNeverPassedOn",
                 "[process]")
{
  Stop();
  REQUIRE(WaitUntil([&] {
    return running.entries[0]->Log().find("stop") != std::string::npos;
  }));
  const http_answer answer = Release(0);
  CHECK(answer.status == 503);
  CHECK(answer.body.find("stopping") != std::string::npos);
  CHECK(answer.fields.contains("retry-after"));
  CHECK(Exit() == 0);
  CHECK(Runs() == 0);
}

struct immediate_stop_fixture : short_grace_fixture
{
  immediate_stop_fixture()
    : short_grace_fixture("0ms")
  {
  }
};

TEST_CASE_METHOD(immediate_stop_fixture,
                 "ClaimedCall_AnsweredDuringAStop_LeavesItsOutcome",
                 "[process]")
{
  DelayRelease(kGrace / 4);
  const std::vector<std::string> fields{ "Idempotency-Key: plate 1" };
  auto answer =
    std::async(std::launch::async, [&] { return Release(0, fields); });
  REQUIRE(WaitUntil([&] { return Runs() == 1; }));
  Stop();
  CHECK(answer.get().status == 200);
  CHECK(Exit() == 0);
  const http_answer again = Release(1, fields);
  CHECK(again.status == 200);
  CHECK(again.fields.contains("idempotent-replay"));
  CHECK(Runs() == 1);
}

} // namespace
} // namespace bulrush::test
