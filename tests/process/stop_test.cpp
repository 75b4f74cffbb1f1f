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

} // namespace
} // namespace bulrush::test
