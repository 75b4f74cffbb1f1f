#include "support/process_memory.hpp"
#include "support/processes.hpp"
#include "support/raw_endpoint.hpp"

#include <catch2/catch.hpp>

#include <future>

namespace bulrush::test {
namespace {

using nlohmann::json;

/// Of one answer, with the default memory-limit of 256 MB.
constexpr std::size_t kMaxBufferedBytes = 14 * kMegabyte;
/// For the buffers of the sockets, the logs and the other requests.
constexpr std::size_t kReserve = 16 * kMegabyte;
/// A growing buffer exists twice while it is copied.
constexpr std::size_t kBodyBound = 2 * kMaxBufferedBytes + kReserve;
constexpr int kDeadlineMs = 2'000;
/// kOrderTimeout of a control process.
constexpr std::chrono::milliseconds kOrderTimeout{ 2'000 };
constexpr std::uint64_t kEngineBytes = 10'000;

const std::string kFields =
  "Content-Type: application/json\r\nBulrush-Attempt: {attempt}\r\n";
const std::string kStreamHead =
  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
  "Bulrush-Resume: 0\r\nBulrush-Attempt: {attempt}\r\n\r\n";

// One host, a raw endpoint for the route /desk/releases and the model "draft",
// and a healthy endpoint for the route /files/status.
struct endless_fixture
{
  fleet running{ { { "domain-a" }, 1, Manifest() } };
  std::string key;
  std::unique_ptr<raw_endpoint> desk;

  endless_fixture()
  {
    running.Start();
    key = running.IssueKey("press");
    running.AddEndpoint("files", "domain-a", { "--services", "files" });
    desk = std::make_unique<raw_endpoint>(
      "desk", "domain-a", std::vector{ running.EntryAddress(0) });
    REQUIRE(WaitUntil([&] { return Files().status == 200; }));
    REQUIRE(WaitUntil([&] { return Release().status == 200; }));
  }

  static std::string Manifest()
  {
    json manifest = json::parse(DefaultManifest({ "domain-a" }));
    manifest["routes"][0]["deadline_ms"] = kDeadlineMs;
    manifest["models"][0]["deadline_ms"] = kDeadlineMs;
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

  static void CheckError(const http_answer& aAnswer)
  {
    INFO(aAnswer.status << ' ' << aAnswer.error << aAnswer.body.substr(0, 300));
    const json body = json::parse(aAnswer.body, nullptr, false);
    REQUIRE(body.contains("error"));
    CHECK(aAnswer.status >= 500);
    CHECK(body["error"]["ran"] == "may_have_run");
  }

  /// Sends one request that gets endless bytes, and another one beside it.
  void RequireEnded(const endless_answer& aAnswer,
                    const std::function<http_answer()>& aSend,
                    std::size_t aBound)
  {
    INFO(aAnswer.start << '|' << aAnswer.block);
    ResetPeak(EntryPid());
    const std::size_t before = MemoryBytes(EntryPid(), "VmRSS");
    const int begun = desk->EndlessBegun();
    const std::size_t logged = running.entries[0]->Log().size();
    desk->SetEndlessAnswer(aAnswer);
    const auto start = std::chrono::steady_clock::now();
    auto answer = std::async(std::launch::async, aSend);
    REQUIRE(WaitUntil([&] { return desk->EndlessBegun() > begun; }));
    CHECK(Files().status == 200);
    CheckError(answer.get());
    const auto time = std::chrono::steady_clock::now() - start;
    CHECK(
      WaitUntil([&] { return desk->EndlessClosed() == desk->EndlessBegun(); },
                std::chrono::seconds(1)));
    desk->SetEndlessAnswer(std::nullopt);
    if (aBound > kReserve) {
      CHECK(WaitUntil([&] {
        const std::string log = running.entries[0]->Log().substr(logged);
        return log.find("buffered more than") != std::string::npos ||
               log.find("its length is above") != std::string::npos;
      }));
    }
    const std::size_t peak = MemoryBytes(EntryPid(), "VmHWM");
    CHECK(time < std::chrono::milliseconds(kDeadlineMs) * 2);
    CHECK(peak < before + aBound);
    REQUIRE(running.entries[0]->IsRunning());
    CHECK(Files().status == 200);
  }
};

TEST_CASE_METHOD(endless_fixture,
                 "Release_WhenTheHeadOfItsAnswerIsEndless_IsAnsweredAsFailed",
                 "[process][endless]")
{
  for (const endless_answer& answer :
       { endless_answer{ "HTTP/1.1 200 ", "O" },
         endless_answer{ "HTTP/1.1 200 OK\r\nX: ", "x" },
         endless_answer{ "HTTP/1.1 200 OK\r\n" + kFields, "X: y\r\n" },
         endless_answer{ "", "HTTP/1.1 100 Continue\r\n\r\n" },
         endless_answer{ "", "garbage" },
         endless_answer{ "", std::string(16, '\0') } }) {
    RequireEnded(
      answer, [this] { return Release(); }, kReserve);
  }
}

TEST_CASE_METHOD(endless_fixture,
                 "Release_WhenTheBodyOfItsAnswerIsEndless_IsAnsweredAsFailed",
                 "[process][endless]")
{
  const std::string fields = kFields + "Content-Length: 9000000000000\r\n\r\n";
  for (const endless_answer& answer :
       { endless_answer{ "HTTP/1.1 200 OK\r\n" + kFields + "\r\n", "{" },
         endless_answer{ "HTTP/1.1 200 OK\r\n" + fields, "{" },
         endless_answer{ "HTTP/1.1 500 Error\r\n" + fields, "{" } }) {
    RequireEnded(
      answer, [this] { return Release(); }, kBodyBound);
  }
}

TEST_CASE_METHOD(endless_fixture,
                 "Release_WhenTheChunksOfItsAnswerHaveNoEnd_IsAnsweredAsFailed",
                 "[process][endless]")
{
  const std::string chunked = "HTTP/1.1 200 OK\r\n" + kFields +
                              "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n";
  for (const endless_answer& answer :
       { endless_answer{ chunked + "0\r\n", "X: y\r\n" },
         endless_answer{ chunked + "2;", "x" } }) {
    RequireEnded(
      answer, [this] { return Release(); }, kReserve);
  }
}

TEST_CASE_METHOD(endless_fixture,
                 "Stream_WhenItsBytesFormNoEvent_IsAnsweredAsFailed",
                 "[process][endless]")
{
  for (const std::string block : { "data: x", "data: x\n" }) {
    RequireEnded(
      { kStreamHead, block }, [this] { return Stream(); }, kBodyBound);
  }
}

TEST_CASE_METHOD(endless_fixture,
                 "Stream_WithoutAnEventAtItsDeadline_IsAnsweredAsFailed",
                 "[process][endless]")
{
  RequireEnded(
    { kStreamHead + "data: x", "" }, [this] { return Stream(); }, kReserve);
}

// The order may be executed later, so the control process does not take the
// bytes for an answer; it neither keeps them nor reads on.
TEST_CASE_METHOD(endless_fixture,
                 "Order_WhenItsAnswerIsEndless_IsEndedByTheControlProcess",
                 "[process][endless]")
{
  const int control = running.controls[0]->Pid();
  ResetPeak(control);
  const std::size_t before = MemoryBytes(control, "VmRSS");
  desk->SetEndlessAnswer(
    GENERATE(endless_answer{ "HTTP/1.1 200 OK\r\n\r\n", "{" },
             endless_answer{ "HTTP/1.1 200 OK\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                             "X: y\r\n" }));
  desk->ReportEmptyEngine(kEngineBytes);
  REQUIRE(WaitUntil([&] { return desk->EndlessBegun() > 0; }));
  CHECK(
    WaitUntil([&] { return desk->EndlessClosed() > 0; }, kOrderTimeout / 2));
  CHECK(MemoryBytes(control, "VmHWM") < before + kReserve);
  CHECK(running.Ctl({ "status" }).exitCode == 0);
  CHECK(running.controls[0]->Pid() == control);
}

} // namespace
} // namespace bulrush::test
