#include "support/processes.hpp"

#include <catch2/catch.hpp>

#include <future>

namespace bulrush::test {
namespace {

using nlohmann::json;

constexpr int kColdSlots = 2;

// An endpoint that stays in cold start, behind one or two entry hosts.
struct cold_fixture
{
  json stats;

  void SendConcurrentRequests(std::size_t aEntries)
  {
    constexpr int kRequestsPerEntry = 8;
    fleet running{ { { "domain-a" }, aEntries, "", {}, {} } };
    running.Start();
    const std::string address =
      running.AddEndpoint("engine",
                          "domain-a",
                          { "--memory",
                            "10000",
                            "--models",
                            "draft:1:1000",
                            "--cold-for",
                            "10min",
                            "--cold-slots",
                            std::to_string(kColdSlots),
                            "--first-token",
                            "300ms" });
    const std::string key = running.IssueKey("press");
    const auto complete = [&](std::size_t aEntry) {
      const json body = { { "model", "draft" }, { "max_tokens", 1 } };
      return running.Post(aEntry, "/v1/completions", key, body).status;
    };
    for (std::size_t entry = 0; entry < aEntries; ++entry) {
      REQUIRE(WaitUntil([&] { return complete(entry) == 200; }));
    }
    std::vector<std::future<int>> answers;
    answers.reserve(aEntries * kRequestsPerEntry);
    for (int i = 0; i < kRequestsPerEntry; ++i) {
      for (std::size_t entry = 0; entry < aEntries; ++entry) {
        answers.push_back(std::async(std::launch::async, complete, entry));
      }
    }
    for (auto& answer : answers) {
      CHECK(answer.get() == 200);
    }
    stats =
      json::parse(SendHttpRequest("GET", "http://" + address + "/stats").body);
  }
};

TEST_CASE_METHOD(cold_fixture,
                 "ColdEndpoint_BehindOneHost_ReceivesNoMoreThanItsColdSlots",
                 "[process][cold]")
{
  SendConcurrentRequests(1);
  CHECK(stats["at_once_peak"] <= kColdSlots);
}

TEST_CASE_METHOD(cold_fixture,
                 "ColdEndpoint_BehindTwoHosts_ReceivesNoMoreThanItsColdSlots",
                 "[process][cold]")
{
  SendConcurrentRequests(2);
  CHECK(stats["at_once_peak"] <= kColdSlots);
}

} // namespace
} // namespace bulrush::test
