#include "support/processes.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <thread>

namespace bulrush::test {
namespace {

using nlohmann::json;

constexpr double kTokensPerSecond = 300;
constexpr double kBurstTokens = 600;

std::string
SmallRateManifest()
{
  json document = json::parse(DefaultManifest({ "domain-a" }));
  for (json& workspace : document["workspaces"]) {
    workspace["tokens_per_s"] = kTokensPerSecond;
    workspace["burst_tokens"] = kBurstTokens;
  }
  return document.dump();
}

// Two entry hosts of one failure domain that share an engine.
struct admission_fixture
{
  fleet running{ { { "domain-a" }, 2, SmallRateManifest() } };
  std::string key;

  admission_fixture()
  {
    running.Start();
    running.AddEndpoint("engine",
                        "domain-a",
                        { "--memory", "10000", "--models", "draft:1:1000" });
    running.AddEndpoint("desk", "domain-a", { "--services", "desk" });
    key = running.IssueKey("press");
    for (const std::size_t entry : { 0U, 1U }) {
      REQUIRE(WaitUntil([&] { return Complete(entry).status == 200; }));
      REQUIRE(WaitUntil([&] {
        return running.Post(entry, "/desk/status", "", {}).status == 200;
      }));
    }
  }

  http_answer Complete(std::size_t aEntry, int aTokens = 20) const
  {
    return running.Post(aEntry,
                        "/v1/completions",
                        key,
                        { { "model", "draft" }, { "max_tokens", aTokens } });
  }
};

TEST_CASE_METHOD(admission_fixture,
                 "Workspace_FloodingTwoHosts_GetsItsRateAndBurstAtMost",
                 "[process]")
{
  // Enough callers that most requests exceed the wait limit of a host.
  constexpr std::size_t kCallers = 32;
  constexpr std::chrono::seconds kLoadDuration{ 6 };
  std::atomic<std::int64_t> usedTokens{ 0 };
  std::atomic<std::size_t> answered{ 0 };
  std::atomic<std::size_t> limited{ 0 };
  std::atomic<std::size_t> unexpected{ 0 };
  const auto start = std::chrono::steady_clock::now();
  std::vector<std::thread> callers;
  for (std::size_t caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      while (std::chrono::steady_clock::now() < start + kLoadDuration) {
        const http_answer answer = Complete(caller % 2, 200);
        if (answer.status == 200) {
          ++answered;
          usedTokens += json::parse(answer.body)["usage"]["total_tokens"]
                          .get<std::int64_t>();
        } else if (answer.status == 429) {
          ++limited;
        } else {
          ++unexpected;
        }
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  const std::chrono::duration<double> elapsed =
    std::chrono::steady_clock::now() - start;
  const double maxTokens = kBurstTokens + kTokensPerSecond * elapsed.count();
  INFO(answered << " answered, " << limited << " limited, " << unexpected
                << " other answers in " << elapsed.count() << " s");
  CHECK(static_cast<double>(usedTokens) <= maxTokens);
  CHECK(answered > 0);
  CHECK(limited > 0);
  CHECK(unexpected == 0);
}

TEST_CASE_METHOD(admission_fixture,
                 "Host_WhoseDelegateIsStopped_RefusesKeyedRequestsAsNotRun",
                 "[process]")
{
  running.controls[0]->Signal(SIGSTOP);
  http_answer refused;
  const bool isRefused = WaitUntil([&] {
    refused = Complete(0);
    return refused.status == 503;
  });
  const http_answer openAnswer = running.Post(0, "/desk/status", "", {});
  const http_answer ready =
    SendHttpRequest("GET", "http://" + running.EntryAddress(0) + "/readyz");
  running.controls[0]->Signal(SIGCONT);
  REQUIRE(isRefused);
  CHECK(json::parse(refused.body)["error"]["ran"] == "not_run");
  CHECK(openAnswer.status == 200);
  CHECK(ready.status == 503);
  CHECK(WaitUntil([&] { return Complete(0).status == 200; }));
}

TEST_CASE_METHOD(admission_fixture,
                 "Request_LargerThanTheBurst_IsRefusedAtOnce",
                 "[process]")
{
  const http_answer answer =
    running.Post(0,
                 "/v1/completions",
                 key,
                 { { "model", "draft" }, { "max_tokens", 5000 } });
  CHECK(answer.status == 429);
  CHECK(json::parse(answer.body)["error"]["code"] == "over_burst");
  CHECK(json::parse(answer.body)["error"]["ran"] == "not_run");
}

} // namespace
} // namespace bulrush::test
