#include "support/raw_connection.hpp"

#include <catch2/catch.hpp>

namespace bulrush::test {
namespace {

using nlohmann::json;

/// Far more than a caller of these tests waits for.
constexpr int kStreamTokens = 400;
constexpr int kDeadlineMs = 3'000;

// A host whose callers leave before the end of their streams.
struct ended_line_fixture
{
  fleet running{ { { "domain-a" }, 1, Manifest() } };
  std::string key;

  ended_line_fixture()
  {
    running.Start();
    running.AddEndpoint("engine",
                        "domain-a",
                        { "--memory",
                          "10000",
                          "--models",
                          "draft:1:1000",
                          "--first-token",
                          "800ms",
                          "--per-token",
                          "20ms" });
    key = running.IssueKey("press");
    REQUIRE(WaitUntil([this] {
      return running.Post(0, "/v1/completions", key, Stream(1)).status == 200;
    }));
  }

  static std::string Manifest()
  {
    json manifest = json::parse(DefaultManifest({ "domain-a" }));
    manifest["routes"][1]["deadline_ms"] = kDeadlineMs;
    return manifest.dump();
  }

  static json Stream(int aTokens)
  {
    return { { "model", "draft" },
             { "max_tokens", aTokens },
             { "stream", true } };
  }

  std::unique_ptr<raw_connection> Send(const json& aBody) const
  {
    auto caller = std::make_unique<raw_connection>(running.EntryAddress(0));
    const std::string body = aBody.dump();
    caller->Send("POST /v1/completions HTTP/1.1\r\nHost: entry\r\n"
                 "Content-Type: application/json\r\nAuthorization: Bearer " +
                 key + "\r\nContent-Length: " + std::to_string(body.size()) +
                 "\r\n\r\n" + body);
    return caller;
  }

  bool IsEngineRunning() const
  {
    return json::parse(
             SendHttpRequest(
               "GET",
               "http://" + running.endpointAddresses.at("engine") + "/stats")
               .body)["running"] == 1;
  }

  /// The last line request_ended with the outcome, without its line end.
  std::string EndedLine(const std::string& aOutcome) const
  {
    std::string line;
    WaitUntil([&] {
      const std::string log = running.entries[0]->Log();
      const std::size_t at = log.rfind("outcome=" + aOutcome + " ");
      if (at != std::string::npos) {
        const std::size_t begin = log.rfind('\n', at) + 1;
        line = log.substr(begin, log.find('\n', at) - begin);
      }
      return !line.empty();
    });
    return line;
  }

  /// Value of a field; empty if the line lacks it, or has it without a value.
  static std::string Field(const std::string& aLine, const std::string& aName)
  {
    const std::size_t at = aLine.find(" " + aName + "=");
    if (at == std::string::npos) {
      return "";
    }
    const std::size_t begin = at + aName.size() + 2;
    const std::string value =
      aLine.substr(begin, aLine.find(' ', begin) - begin);
    return value == "\"\"" ? "" : value;
  }
};

TEST_CASE_METHOD(ended_line_fixture,
                 "EndedLine_OfACallerThatLeavesBeforeAnyByte_HasNoneSent",
                 "[process]")
{
  {
    const auto caller = Send(Stream(kStreamTokens));
    REQUIRE(WaitUntil([this] { return IsEngineRunning(); }));
  }
  const std::string line = EndedLine("caller_gone");
  INFO(line);
  CHECK(Field(line, "status") == "0");
  CHECK(Field(line, "sent_bytes") == "0");
  CHECK(Field(line, "first_byte_ms").empty());
  CHECK(Field(line, "events") == "0");
}

TEST_CASE_METHOD(ended_line_fixture,
                 "EndedLine_OfACallerThatLeavesAmidItsStream_CountsWhatWasSent",
                 "[process]")
{
  constexpr int kEventsRead = 3;
  std::size_t bytesRead = 0;
  {
    const auto caller = Send(Stream(kStreamTokens));
    caller->ReadUntil("\r\n\r\n");
    for (int i = 0; i < kEventsRead; ++i) {
      bytesRead += caller->ReadUntil("\n\n").size();
    }
  }
  const std::string line = EndedLine("caller_gone");
  INFO(line);
  REQUIRE(!Field(line, "events").empty());
  const int events = std::stoi(Field(line, "events"));
  CHECK(events >= kEventsRead);
  CHECK(events < kStreamTokens);
  // Less the sizes of chunks, which are not part of the body.
  constexpr std::size_t kMaxFraming = 10;
  CHECK(std::stoul(Field(line, "sent_bytes")) >=
        bytesRead - kEventsRead * kMaxFraming);
  REQUIRE(!Field(line, "first_byte_ms").empty());
  const int first = std::stoi(Field(line, "first_byte_ms"));
  CHECK(first > 0);
  CHECK(first <= std::stoi(Field(line, "took_ms")));
}

TEST_CASE_METHOD(ended_line_fixture,
                 "EndedLine_OfAnAnswer_HasTheSizeOfItsBody",
                 "[process]")
{
  json asked = Stream(1);
  asked["stream"] = false;
  const http_answer answer = running.Post(0, "/v1/completions", key, asked);
  REQUIRE(answer.status == 200);
  std::string line;
  CHECK(WaitUntil([&] {
    line = EndedLine("answered");
    return Field(line, "sent_bytes") == std::to_string(answer.body.size());
  }));
  INFO(line);
  CHECK(Field(line, "events").empty());
  CHECK(!Field(line, "first_byte_ms").empty());
}

TEST_CASE_METHOD(ended_line_fixture,
                 "EndedLine_OfAnError_HasTheSizeOfItsBody",
                 "[process]")
{
  // No endpoint has this service.
  const http_answer answer = running.Post(0, "/desk/status", "", {});
  REQUIRE(answer.status == 503);
  std::string line;
  CHECK(WaitUntil([&] {
    const std::string log = running.entries[0]->Log();
    const std::size_t at = log.rfind("request_ended");
    line = log.substr(at, log.find('\n', at) - at);
    return Field(line, "status") == std::to_string(answer.status);
  }));
  INFO(line);
  CHECK(Field(line, "sent_bytes") == std::to_string(answer.body.size()));
  CHECK(Field(line, "events").empty());
}

} // namespace
} // namespace bulrush::test
