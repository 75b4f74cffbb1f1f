#include "support/process_memory.hpp"
#include "support/processes.hpp"
#include "support/raw_connection.hpp"
#include "support/raw_endpoint.hpp"

#include <catch2/catch.hpp>

#include <future>
#include <iostream>
#include <sstream>

namespace bulrush::test {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Default of memory-limit.
constexpr std::size_t kLimit = 256 * kMegabyte;
/// The budget, two fifths of the limit, has to fit in beside it, and as much
/// again for copies and sockets nearly so.
constexpr std::size_t kRestLimit = kLimit / 4;
constexpr int kCallers = 24;
constexpr milliseconds kSoundInterval{ 100 };
constexpr std::size_t kMaxBodyBytes = 4 * kMegabyte;
constexpr std::size_t kSoundAnswerBytes = 8 * kMegabyte;
constexpr std::size_t kUnreadAnswerBytes = 3 * kMegabyte;

const std::string kFields =
  "Content-Type: application/json\r\nBulrush-Attempt: {attempt}\r\n"
  "Connection: close\r\n";
const std::string kStreamHead =
  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
  "Bulrush-Resume: 0\r\nBulrush-Attempt: {attempt}\r\n\r\n";

// One host, a faulty endpoint for the route /desk/releases and the model
// "draft", and a sound one for the route /files/status.
struct memory_fixture
{
  fleet running;
  std::string key;
  std::unique_ptr<raw_endpoint> desk;

  explicit memory_fixture(milliseconds aDeadline = milliseconds(4'000))
    : running({ { "domain-a" }, 1, Manifest(aDeadline) })
  {
    running.Start();
    key = running.IssueKey("press");
    running.AddEndpoint("files", "domain-a", { "--services", "files" });
    desk = std::make_unique<raw_endpoint>(
      "desk", "domain-a", std::vector{ running.EntryAddress(0) }, 2 * kCallers);
    REQUIRE(WaitUntil([&] { return Files().status == 200; }));
    REQUIRE(WaitUntil([&] { return Release().status == 200; }));
  }

  static std::string Manifest(milliseconds aDeadline)
  {
    json manifest = json::parse(DefaultManifest({ "domain-a" }));
    manifest["routes"][0]["deadline_ms"] = aDeadline.count();
    manifest["models"][0]["deadline_ms"] = aDeadline.count();
    manifest["workspaces"][0].erase("tokens_per_s");
    manifest["workspaces"][0].erase("burst_tokens");
    manifest["routes"].push_back({ { "path", "/files/status" },
                                   { "service", "files" },
                                   { "open", true } });
    return manifest.dump();
  }

  http_answer Files() const { return running.Post(0, "/files/status", "", {}); }
  http_answer Release() const
  {
    return running.Post(0, "/desk/releases", key, { { "tag", "plate 1" } });
  }
  http_answer Stream() const
  {
    return running.Post(0,
                        "/v1/chat/completions",
                        key,
                        { { "model", "draft" },
                          { "max_tokens", raw_endpoint::kTokens },
                          { "stream", true } });
  }
  int EntryPid() const { return running.entries[0]->Pid(); }

  /// The lines on held bytes of the host's metrics page.
  std::string Held() const
  {
    const http_answer page =
      SendHttpRequest("GET", "http://" + running.EntryAddress(0) + "/metrics");
    std::string held = "\n";
    std::istringstream lines(page.body);
    for (std::string line; std::getline(lines, line);) {
      held += line.starts_with("bulrush_held") ? line + "\n" : "";
    }
    return held;
  }

  /// Sends sound requests at a steady rate while aIsBusy; each has to be
  /// answered within the first token's target.
  void RequireSoundRequests(const std::function<bool()>& aIsBusy) const
  {
    constexpr milliseconds kTarget{ 550 };
    constexpr int kMinSound = 20;
    int sent = 0;
    int late = 0;
    while (aIsBusy() || sent < kMinSound) {
      const auto start = steady_clock::now();
      const http_answer answer = Files();
      INFO(answer.status << ' ' << answer.error << answer.body << Held());
      REQUIRE(answer.status == 200);
      ++sent;
      late += steady_clock::now() - start > kTarget ? 1 : 0;
      WaitUntil([&] { return steady_clock::now() > start + kSoundInterval; });
    }
    INFO(late << " of " << sent << " sound requests were late");
    CHECK(late * kMinSound <= sent); // 95 in 100
  }

  /// Many callers get aAnswer at once; sound requests run beside them.
  std::vector<http_answer> CallAtOnce(
    const endless_answer& aAnswer,
    const std::function<http_answer()>& aSend) const
  {
    const int begun = desk->EndlessBegun();
    desk->SetEndlessAnswer(aAnswer);
    std::vector<std::future<http_answer>> calls;
    calls.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      calls.push_back(std::async(std::launch::async, aSend));
    }
    RequireSoundRequests([&] {
      return std::any_of(calls.begin(), calls.end(), [](auto& aCall) {
        return aCall.wait_for(milliseconds(0)) != std::future_status::ready;
      });
    });
    desk->SetEndlessAnswer(std::nullopt);
    CHECK(desk->EndlessBegun() >= begun + kCallers / 2);
    std::vector<http_answer> answers;
    answers.reserve(kCallers);
    for (auto& call : calls) {
      answers.push_back(call.get());
    }
    return answers;
  }

  void RequireMemory() const
  {
    INFO(Held());
    CHECK(running.entries[0]->IsRunning());
    CHECK(MemoryBytes(EntryPid(), "VmHWM") < kLimit);
    CHECK(
      WaitUntil([&] { return MemoryBytes(EntryPid(), "VmRSS") < kRestLimit; },
                milliseconds(2'000)));
    std::cout << "memory: peak " << MemoryBytes(EntryPid(), "VmHWM") / kMegabyte
              << " MB, rest " << MemoryBytes(EntryPid(), "VmRSS") / kMegabyte
              << " MB\n";
  }
};

TEST_CASE_METHOD(memory_fixture,
                 "Host_WhenManyAnswersHaveNoEnd_StaysWithinItsMemory",
                 "[process][memory]")
{
  const std::string head = "HTTP/1.1 200 OK\r\n" + kFields;
  const std::string untilClose = head + "\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string tooLong = head + "Content-Length: 40000000\r\n\r\n";
  const std::string failed = "HTTP/1.1 500 Error\r\n" + kFields + "\r\n";
  const std::string part(31 * kMegabyte, '{');
  const std::string longChunk = "1f00000\r\n" + part;
  for (const endless_answer& answer :
       { endless_answer{ untilClose, "{" },
         endless_answer{ chunked, "4\r\n{{{{\r\n" },
         endless_answer{ untilClose + part, "" },
         endless_answer{ chunked + longChunk, "" },
         endless_answer{ tooLong + part, "" },
         endless_answer{ failed, "{" } }) {
    INFO(answer.start.substr(0, 120) << '|' << answer.block);
    ResetPeak(EntryPid());
    for (const http_answer& each :
         CallAtOnce(answer, [this] { return Release(); })) {
      INFO(each.status << ' ' << each.error << each.body.substr(0, 300));
      CHECK(each.status >= 500);
    }
    RequireMemory();
  }
}

TEST_CASE_METHOD(memory_fixture,
                 "Host_WhenManyStreamsFormNoEvent_StaysWithinItsMemory",
                 "[process][memory]")
{
  for (const endless_answer& answer :
       { endless_answer{ kStreamHead, "data: x\n" },
         endless_answer{ kStreamHead + std::string(31 * kMegabyte, 'x'),
                         "" } }) {
    INFO(answer.start.substr(0, 120) << '|' << answer.block);
    ResetPeak(EntryPid());
    for (const http_answer& each :
         CallAtOnce(answer, [this] { return Stream(); })) {
      INFO(each.status << ' ' << each.error << each.body.substr(0, 300));
      CHECK(each.status >= 500);
    }
    RequireMemory();
  }
}

TEST_CASE_METHOD(memory_fixture,
                 "Host_AfterManyRoundsOfEndlessAnswers_ReturnsItsMemory",
                 "[process][memory]")
{
  constexpr int kRounds = 6;
  for (int round = 0; round < kRounds; ++round) {
    CallAtOnce({ "HTTP/1.1 200 OK\r\n" + kFields + "\r\n", "{" },
               [this] { return Release(); });
    RequireMemory();
  }
}

// No request times out while the answers arrive one after the other.
struct patient_fixture : memory_fixture
{
  patient_fixture()
    : memory_fixture(kTestTimeout)
  {
  }
};

TEST_CASE_METHOD(patient_fixture,
                 "Answers_LargeAndManyAtOnce_AllArriveWhole",
                 "[process][memory]")
{
  const endless_answer large{ "HTTP/1.1 200 OK\r\n" + kFields +
                                "Content-Length: " +
                                std::to_string(kSoundAnswerBytes) + "\r\n\r\n" +
                                std::string(kSoundAnswerBytes, '7'),
                              "" };
  ResetPeak(EntryPid());
  for (const http_answer& each :
       CallAtOnce(large, [this] { return Release(); })) {
    INFO(each.status << ' ' << each.error << each.body.substr(0, 300));
    CHECK(each.status == 200);
    CHECK(each.body.size() == kSoundAnswerBytes);
  }
  RequireMemory();
}

TEST_CASE_METHOD(patient_fixture,
                 "Host_WhenManyCallersReadNoAnswer_StaysWithinItsMemory",
                 "[process][memory]")
{
  constexpr int kUnread = 100;
  desk->SetEndlessAnswer(
    endless_answer{ "HTTP/1.1 200 OK\r\n" + kFields +
                      "Content-Length: " + std::to_string(kUnreadAnswerBytes) +
                      "\r\n\r\n" + std::string(kUnreadAnswerBytes, '7'),
                    "" });
  ResetPeak(EntryPid());
  {
    std::vector<std::unique_ptr<raw_connection>> callers;
    for (int i = 0; i < kUnread; ++i) {
      callers.push_back(
        std::make_unique<raw_connection>(running.EntryAddress(0)));
      REQUIRE(callers.back()->IsConnected());
      callers.back()->Send("POST /desk/releases HTTP/1.1\r\nHost: h\r\n"
                           "Authorization: Bearer " +
                           key + "\r\nContent-Length: 2\r\n\r\n{}");
    }
    // No other request meanwhile: accepting one would release closed ones.
    REQUIRE(WaitUntil([&] { return desk->EndlessClosed() >= kUnread; }));
    INFO(Held());
    CHECK(MemoryBytes(EntryPid(), "VmHWM") < kLimit);
    RequireSoundRequests([] { return false; });
    // The endpoint's answers were sound: callers that read now get theirs.
    const auto isWhole = [](const auto& aCaller) {
      return aCaller->Read(kUnreadAnswerBytes).size() == kUnreadAnswerBytes;
    };
    CHECK(std::any_of(callers.begin(), callers.end(), isWhole));
  }
  RequireMemory();
}

TEST_CASE_METHOD(memory_fixture,
                 "Host_WhenManyBodiesLackTheirLastByte_StaysWithinItsMemory",
                 "[process][memory]")
{
  constexpr int kBodies = 100;
  const std::string head =
    "POST /desk/releases HTTP/1.1\r\nHost: h\r\n"
    "Authorization: Bearer " +
    key + "\r\nContent-Length: " + std::to_string(kMaxBodyBytes) + "\r\n\r\n";
  const std::string body(kMaxBodyBytes - 1, ' ');
  ResetPeak(EntryPid());
  {
    std::vector<std::unique_ptr<raw_connection>> callers;
    std::vector<std::future<void>> sends;
    for (int i = 0; i < kBodies; ++i) {
      callers.push_back(
        std::make_unique<raw_connection>(running.EntryAddress(0)));
      REQUIRE(callers.back()->IsConnected());
      sends.push_back(std::async(std::launch::async,
                                 [&head, &body, caller = callers.back().get()] {
                                   caller->Send(head + body);
                                 }));
    }
    const auto start = steady_clock::now();
    RequireSoundRequests(
      [&] { return steady_clock::now() < start + std::chrono::seconds(4); });
    for (const auto& caller : callers) {
      caller->CloseSending();
    }
  }
  RequireMemory();
  const http_answer large =
    SendHttpRequest("POST",
                    "http://" + running.EntryAddress(0) + "/desk/releases",
                    { "Authorization: Bearer " + key },
                    std::string(kMaxBodyBytes, ' '));
  INFO(large.status << ' ' << large.error << large.body.substr(0, 300));
  CHECK(large.status == 200);
}

} // namespace
} // namespace bulrush::test
