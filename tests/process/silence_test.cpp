#include "support/processes.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>

namespace bulrush::test {
namespace {

using nlohmann::json;

/// Longer than the transport needs to close an idle connection, and than
/// membership needs to remove an endpoint without reports.
constexpr std::chrono::milliseconds kSilence{ 2'500 };
/// More than an endpoint that reads nothing takes, below the limit of a body.
constexpr std::size_t kLargeBody = 3'500'000;
constexpr int kStreamTokens = 100;
constexpr int kStatusDeadlineMs = 6'000;
/// More than one endpoint is chosen for while another is idle.
constexpr std::size_t kCallsAtOnce = 4;

// A host, and endpoints that are suspended and go on.
struct silence_fixture
{
  fleet running{ { { "domain-a" }, 1, Manifest() } };
  std::string key;

  silence_fixture()
  {
    running.Start();
    key = running.IssueKey("press");
  }

  static std::string Manifest()
  {
    json manifest = json::parse(DefaultManifest({ "domain-a" }));
    manifest["routes"][1]["deadline_ms"] = kStatusDeadlineMs;
    return manifest.dump();
  }

  void AddDesk(const std::string& aName)
  {
    running.AddEndpoint(
      aName, "domain-a", { "--services", "desk", "--first-token", "500ms" });
  }

  /// Suspends an endpoint for kSilence.
  void Suspend(const std::string& aName) const
  {
    running.endpoints.at(aName)->Signal(SIGSTOP);
    WaitUntil([] { return false; }, kSilence);
    running.endpoints.at(aName)->Signal(SIGCONT);
  }

  json Stats(const std::string& aName) const
  {
    return json::parse(
      SendHttpRequest(
        "GET", "http://" + running.endpointAddresses.at(aName) + "/stats")
        .body);
  }

  bool Runs(const std::string& aName) const
  {
    return Stats(aName)["running"] == 1;
  }

  http_answer Status() const { return running.Post(0, "/desk/status", "", {}); }

  std::vector<http_answer> StatusesAtOnce() const
  {
    std::vector<std::future<http_answer>> calls;
    for (std::size_t i = 0; i < kCallsAtOnce; ++i) {
      calls.push_back(
        std::async(std::launch::async, [this] { return Status(); }));
    }
    std::vector<http_answer> answers;
    answers.reserve(calls.size());
    for (auto& call : calls) {
      answers.push_back(call.get());
    }
    return answers;
  }

  http_answer Release(std::size_t aBytes) const
  {
    return running.Post(
      0,
      "/desk/releases",
      key,
      { { "tag", "plate 1" }, { "text", std::string(aBytes, 'x') } });
  }

  http_answer Stream() const
  {
    return running.Post(0,
                        "/v1/completions",
                        key,
                        { { "model", "draft" },
                          { "max_tokens", kStreamTokens },
                          { "stream", true } });
  }

  void CheckAnswered(const http_answer& aAnswer) const
  {
    INFO(aAnswer.status << ' ' << aAnswer.error << ' ' << aAnswer.body);
    INFO(running.entries[0]->Log());
    CHECK(aAnswer.status == 200);
  }
};

TEST_CASE_METHOD(silence_fixture,
                 "Release_WhenItsEndpointStandsStillAndGoesOn_IsAnswered",
                 "[process][silence]")
{
  AddDesk("desk");
  REQUIRE(WaitUntil([this] { return Status().status == 200; }));
  auto answer = std::async(std::launch::async, [this] { return Release(1); });
  REQUIRE(WaitUntil([this] { return Runs("desk"); }));
  Suspend("desk");
  CheckAnswered(answer.get());
  CHECK(Stats("desk")["runs_by_tag"]["plate 1"] == 1);
}

// Its kernel accepts the connection and as much of the body as it buffers.
TEST_CASE_METHOD(silence_fixture,
                 "Release_WhenItsEndpointStandsStillAmidItsBody_IsAnswered",
                 "[process][silence]")
{
  AddDesk("desk");
  REQUIRE(WaitUntil([this] { return Status().status == 200; }));
  running.endpoints.at("desk")->Signal(SIGSTOP);
  auto answer =
    std::async(std::launch::async, [this] { return Release(kLargeBody); });
  Suspend("desk");
  CheckAnswered(answer.get());
  CHECK(Stats("desk")["runs_by_tag"]["plate 1"] == 1);
}

TEST_CASE_METHOD(silence_fixture,
                 "Stream_WhenItsEndpointStandsStillAndGoesOn_IsWhole",
                 "[process][silence]")
{
  running.AddEndpoint(
    "engine",
    "domain-a",
    { "--memory", "10000", "--models", "draft:1:1000", "--per-token", "10ms" });
  REQUIRE(WaitUntil([this] { return Stream().status == 200; }));
  auto answer = std::async(std::launch::async, [this] { return Stream(); });
  REQUIRE(WaitUntil([this] { return Runs("engine"); }));
  Suspend("engine");
  const http_answer whole = answer.get();
  CheckAnswered(whole);
  CHECK(whole.body.ends_with("data: [DONE]\n\n"));
  CHECK(Stats("engine")["cancelled"] == 0);
}

// Nothing tells the host that a kept connection leads nowhere any more.
TEST_CASE_METHOD(silence_fixture,
                 "Status_OnAKeptConnectionThatDiedSilently_MovesInTime",
                 "[process][silence]")
{
  AddDesk("desk-1");
  AddDesk("desk-2");
  const auto hasRun = [this](const std::string& aName) {
    return Stats(aName)["runs"].get<int>() > 0;
  };
  REQUIRE(
    WaitUntil([&] { return Status().status == 200 && hasRun("desk-1"); }));
  REQUIRE(
    WaitUntil([&] { return Status().status == 200 && hasRun("desk-2"); }));
  running.endpoints.at("desk-1")->Signal(SIGSTOP);
  // One call at a time may miss the endpoint until membership removes it.
  const bool isGivenUp = WaitUntil([this] {
    for (const http_answer& answer : StatusesAtOnce()) {
      CheckAnswered(answer);
    }
    return running.entries[0]->Log().find("given_up") != std::string::npos;
  });
  INFO(running.entries[0]->Log());
  REQUIRE(isGivenUp);
  running.endpoints.at("desk-1")->Signal(SIGCONT);
}

} // namespace
} // namespace bulrush::test
