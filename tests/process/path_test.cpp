#include "support/processes.hpp"

#include <catch2/catch.hpp>

#include <csignal>

namespace bulrush::test {
namespace {

using nlohmann::json;

// One failure domain with one host, an engine and a plain service.
struct path_fixture
{
  fleet running;
  std::string key;
  std::string engine;
  std::string desk;

  path_fixture()
  {
    running.Start();
    engine =
      running.AddEndpoint("engine",
                          "domain-a",
                          { "--memory", "10000", "--models", "draft:1:1000" });
    desk = running.AddEndpoint("desk", "domain-a", { "--services", "desk" });
    key = running.IssueKey("press");
    REQUIRE(WaitUntil([&] { return Complete(false).status == 200; }));
    REQUIRE(WaitUntil(
      [&] { return running.Post(0, "/desk/status", "", {}).status == 200; }));
  }

  http_answer Complete(bool aIsStream) const
  {
    return running.Post(
      0,
      "/v1/chat/completions",
      key,
      { { "model", "draft" }, { "max_tokens", 3 }, { "stream", aIsStream } });
  }

  json Stats(const std::string& aAddress) const
  {
    return json::parse(
      SendHttpRequest("GET", "http://" + aAddress + "/stats").body);
  }
};

TEST_CASE_METHOD(path_fixture,
                 "Completion_WithAValidKey_IsAnsweredCompletely",
                 "[process]")
{
  const http_answer answer = Complete(false);
  REQUIRE(answer.status == 200);
  const json body = json::parse(answer.body);
  CHECK(body["choices"][0]["message"]["content"] == "t0 t1 t2 ");
}

TEST_CASE_METHOD(path_fixture,
                 "Completion_AsAStream_EndsWithTheDoneEvent",
                 "[process]")
{
  const http_answer answer = Complete(true);
  REQUIRE(answer.status == 200);
  CHECK(answer.body.find("t2 ") != std::string::npos);
  CHECK(answer.body.ends_with("data: [DONE]\n\n"));
}

TEST_CASE_METHOD(path_fixture,
                 "Completion_WithAnUnknownKey_IsRefusedAsNotRun",
                 "[process]")
{
  const auto runsBefore = Stats(engine)["runs"];
  const http_answer answer =
    running.Post(0, "/v1/completions", "wrong", { { "model", "draft" } });
  CHECK(answer.status == 401);
  CHECK(json::parse(answer.body)["error"]["ran"] == "not_run");
  CHECK(Stats(engine)["runs"] == runsBefore);
}

TEST_CASE_METHOD(path_fixture,
                 "Endpoint_WhenARequestIsPassedOn_SeesNoKey",
                 "[process]")
{
  REQUIRE(Complete(false).status == 200);
  CHECK(Stats(engine)["runs"] > 0);
  CHECK(Stats(engine)["keys_seen"] == 0);
}

TEST_CASE_METHOD(path_fixture, "Key_WhenWithdrawn_StopsWorking", "[process]")
{
  const program_result result = running.Ctl({ "key", "withdraw", key });
  REQUIRE(result.exitCode == 0);
  CHECK(WaitUntil([&] { return Complete(false).status == 401; }));
}

TEST_CASE_METHOD(path_fixture,
                 "PlainService_OnAnOpenRoute_IsServedWithoutAKey",
                 "[process]")
{
  CHECK(running.Post(0, "/desk/status", "", {}).status == 200);
  CHECK(running.Post(0, "/desk/releases", "", {}).status == 401);
  CHECK(running.Post(0, "/desk/releases", key, {}).status == 200);
}

} // namespace
} // namespace bulrush::test
