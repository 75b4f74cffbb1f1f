#include "support/processes.hpp"

#include <catch2/catch.hpp>

#include <csignal>

namespace bulrush::test {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Within which a withdrawn key ends at every host.
constexpr milliseconds kBound{ 3'000 };

/// How a front end takes keys and names its errors.
struct front_end_words
{
  const char* name;
  const char* scheme;
};

// Three failure domains; the host of the first one reports to any of the three
// control processes.
struct withdrawn_keys_fixture
{
  const front_end_words words =
    GENERATE(front_end_words{ "openai", "Bearer " },
             front_end_words{ "platform", "Token " });
  fleet running{ Options(words) };
  std::string key;

  withdrawn_keys_fixture()
  {
    running.StartProcesses();
    key = running.IssueKey("press");
    REQUIRE(WaitUntil([&] { return !IsRefusedForItsKey(); }));
  }

  static fleet_options Options(const front_end_words& aWords)
  {
    fleet_options options;
    options.domains = { "domain-a", "domain-b", "domain-c" };
    options.entryArguments = { "--front-end",
                               aWords.name,
                               "--serve-without-lease",
                               "--key-withdrawal-bound",
                               std::to_string(kBound.count()) + "ms" };
    // No endpoint is needed: a request that is not refused for its key is soon
    // refused for want of one.
    json manifest = json::parse(DefaultManifest(options.domains));
    for (json& route : manifest["routes"]) {
      route["deadline_ms"] = 100;
    }
    options.manifest = manifest.dump();
    return options;
  }

  http_answer Send(const std::string& aPath, const std::string& aKey) const
  {
    std::vector<std::string> fields{ "X-Attempt-Id: 00000000000000a1",
                                     "Content-Type: application/json" };
    if (!aKey.empty()) {
      fields.push_back("Authorization: " + std::string(words.scheme) + aKey);
    }
    return SendHttpRequest(
      "POST", "http://" + running.EntryAddress(0) + aPath, fields, "{}");
  }

  static bool IsUnconfirmed(const http_answer& aAnswer)
  {
    return aAnswer.status == 503 &&
           aAnswer.body.find("key_unconfirmed") != std::string::npos;
  }

  bool IsRefusedForItsKey() const
  {
    const http_answer answer = Send("/desk/releases", key);
    return answer.status == 401 || IsUnconfirmed(answer);
  }

  void SignalControls(int aSignal) const
  {
    for (const auto& control : running.controls) {
      control->Signal(aSignal);
    }
  }
};

TEST_CASE_METHOD(withdrawn_keys_fixture,
                 "Key_AtAHostInTouch_IsNeverRefused",
                 "[process][keys]")
{
  const auto end = std::chrono::steady_clock::now() + 2 * kBound;
  while (std::chrono::steady_clock::now() < end) {
    REQUIRE_FALSE(IsRefusedForItsKey());
  }
}

TEST_CASE_METHOD(withdrawn_keys_fixture,
                 "Key_AtAHostThatIsCutOff_IsRefusedAsNotRunWithinTheBound",
                 "[process][keys]")
{
  SignalControls(SIGSTOP);
  const auto cutAt = std::chrono::steady_clock::now();
  CHECK_FALSE(IsRefusedForItsKey());
  REQUIRE(WaitUntil([&] { return IsRefusedForItsKey(); }, kBound));
  const http_answer refused = Send("/desk/releases", key);
  INFO(refused.status << refused.body);
  CHECK(IsUnconfirmed(refused));
  CHECK(refused.fields.contains("retry-after"));
  // Not 401 either: the host cannot tell.
  CHECK(Send("/desk/releases", "wrong").status != 401);
  CHECK(Send("/desk/status", "").body.find("key_unconfirmed") ==
        std::string::npos);
  CHECK(running.entries[0]->Log().find("confirmed_age_ms") !=
        std::string::npos);
  CHECK(std::chrono::steady_clock::now() - cutAt < kTestTimeout);
  SignalControls(SIGCONT);
  CHECK(WaitUntil([&] { return !IsRefusedForItsKey(); }));
}

// What the process knew before is old when it wakes.
TEST_CASE_METHOD(withdrawn_keys_fixture,
                 "Key_AtAHostThatWasSuspended_IsNotUsedUnconfirmed",
                 "[process][keys]")
{
  SignalControls(SIGSTOP);
  running.entries[0]->Signal(SIGSTOP);
  const auto stoppedAt = std::chrono::steady_clock::now();
  WaitUntil(
    [&] { return std::chrono::steady_clock::now() > stoppedAt + kBound; });
  running.entries[0]->Signal(SIGCONT);
  CHECK(IsUnconfirmed(Send("/desk/releases", key)));
  SignalControls(SIGCONT);
  CHECK(WaitUntil([&] { return !IsRefusedForItsKey(); }));
}

// The host's control process is reachable and cannot reach the others, so it
// has nothing newer to tell.
TEST_CASE_METHOD(withdrawn_keys_fixture,
                 "Key_AtAHostWhoseControlProcessIsCutOff_IsRefused",
                 "[process][keys]")
{
  running.controls[1]->Signal(SIGSTOP);
  running.controls[2]->Signal(SIGSTOP);
  CHECK(WaitUntil([&] { return IsRefusedForItsKey(); }, 2 * kBound));
  CHECK(IsUnconfirmed(Send("/desk/releases", key)));
  SignalControls(SIGCONT);
  CHECK(WaitUntil([&] { return !IsRefusedForItsKey(); }));
}

TEST_CASE_METHOD(withdrawn_keys_fixture,
                 "Key_WhenTheLeaderIsLost_IsUsedOn",
                 "[process][keys]")
{
  const std::string leader = running.Status()["leader"];
  for (std::size_t i = 0; i < running.controls.size(); ++i) {
    if (running.ControlName(i) == leader) {
      running.controls[i]->Signal(SIGSTOP);
    }
  }
  const auto end = std::chrono::steady_clock::now() + 2 * kBound;
  int refused = 0;
  while (std::chrono::steady_clock::now() < end) {
    refused += IsRefusedForItsKey() ? 1 : 0;
  }
  CHECK(refused == 0);
  SignalControls(SIGCONT);
}

} // namespace
} // namespace bulrush::test
