#include "support/processes.hpp"
#include "support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <fstream>

namespace bulrush::test {
namespace {

using nlohmann::json;

constexpr const char* kJsonType = "Content-Type: application/json";
constexpr std::size_t kMegabyte = 1U << 20U;

// One host with an engine and a plain service. Each test ends with a check that
// the same process is still serving.
struct bad_input_fixture
{
  fleet running;
  std::string key;
  int entryPid = 0;

  bad_input_fixture()
  {
    running.Start();
    running.AddEndpoint("engine",
                        "domain-a",
                        { "--memory", "10000", "--models", "draft:1:1000" });
    running.AddEndpoint("desk", "domain-a", { "--services", "desk" });
    key = running.IssueKey("press");
    entryPid = running.entries[0]->Pid();
    REQUIRE(WaitUntil([&] { return IsServing(); }));
    REQUIRE(WaitUntil(
      [&] { return running.Post(0, "/desk/status", "", {}).status == 200; }));
  }

  std::string Url(const std::string& aPath) const
  {
    return "http://" + running.EntryAddress(0) + aPath;
  }

  bool IsServing() const
  {
    return running
             .Post(0,
                   "/v1/completions",
                   key,
                   { { "model", "draft" }, { "max_tokens", 1 } })
             .status == 200;
  }

  void RequireStillServing()
  {
    REQUIRE(running.entries[0]->IsRunning());
    REQUIRE(running.entries[0]->Pid() == entryPid);
    REQUIRE(IsServing());
  }

  http_answer PostWithKey(const std::string& aPath,
                          const std::string& aBody,
                          const char* aType = kJsonType) const
  {
    return SendHttpRequest(
      "POST", Url(aPath), { "Authorization: Bearer " + key, aType }, aBody);
  }

  static void CheckError(const http_answer& aAnswer,
                         int aStatus,
                         const std::string& aCode)
  {
    INFO(aAnswer.error << aAnswer.body.substr(0, 300));
    CHECK(aAnswer.status == aStatus);
    const json body = json::parse(aAnswer.body, nullptr, false);
    REQUIRE(body.is_object());
    REQUIRE(body.contains("error"));
    CHECK(body["error"].value("code", "") == aCode);
    CHECK(body["error"].value("ran", "") == "not_run");
    CHECK_FALSE(body["error"].value("message", "").empty());
    CHECK_FALSE(body["error"].value("request_id", "").empty());
  }
};

TEST_CASE_METHOD(bad_input_fixture,
                 "Entry_WhenABodyIsInvalid_RefusesIt",
                 "[process]")
{
  const std::string path = "/v1/chat/completions";
  CheckError(PostWithKey(path, "{"), 400, "bad_request");
  CheckError(PostWithKey(path, "[]"), 400, "bad_request");
  CheckError(PostWithKey(path, "{}"), 400, "bad_request");
  CheckError(PostWithKey(path, R"({"model":7})"), 400, "bad_request");
  CheckError(PostWithKey(path, "{\"model\":\"\xff\xfe\"}"), 400, "bad_request");
  CheckError(PostWithKey(path, R"({"model":"draft","max_tokens":-1})"),
             400,
             "bad_request");
  CheckError(PostWithKey(path, R"({"model":"draft","max_tokens":1e300})"),
             400,
             "bad_request");
  CheckError(PostWithKey(path, R"({"model":"draft","max_tokens":"9"})"),
             400,
             "bad_request");
  CheckError(PostWithKey(path, R"({"model":"draft","stream":"yes"})"),
             400,
             "bad_request");
  CheckError(PostWithKey(path, R"({"model":"none"})"), 404, "not_found");
  CheckError(PostWithKey("/nowhere", "{}"), 404, "not_found");
  RequireStillServing();
}

TEST_CASE_METHOD(bad_input_fixture,
                 "Entry_WhenTheContentTypeIsWrong_RefusesTheBody",
                 "[process]")
{
  const char* const body = R"({"model":"draft"})";
  CheckError(PostWithKey("/v1/completions", body, "Content-Type: text/plain"),
             415,
             "unsupported_media_type");
  CheckError(PostWithKey("/v1/completions", body, "Content-Type:"),
             415,
             "unsupported_media_type");
  RequireStillServing();
}

TEST_CASE_METHOD(bad_input_fixture,
                 "Entry_WhenTheMethodIsWrong_RefusesTheRequest",
                 "[process]")
{
  const std::string field = "Authorization: Bearer " + key;
  for (const char* path : { "/v1/completions", "/v1/chat/completions" }) {
    CheckError(SendHttpRequest("GET", Url(path), { field, kJsonType }),
               405,
               "method_not_allowed");
  }
  CheckError(SendHttpRequest("DELETE", Url("/v1/models"), { field }),
             405,
             "method_not_allowed");
  RequireStillServing();
}

TEST_CASE_METHOD(bad_input_fixture,
                 "Entry_WhenABodyIsOversized_AnswersTooLarge",
                 "[process]")
{
  const json body = { { "model", "draft" },
                      { "prompt", std::string(6 * kMegabyte, 'a') } };
  CheckError(PostWithKey("/v1/completions", body.dump()), 413, "too_large");
  CheckError(PostWithKey("/desk/releases", body.dump()), 413, "too_large");
  RequireStillServing();
}

TEST_CASE_METHOD(bad_input_fixture,
                 "Entry_WhenABodyIsDeeplyNested_RefusesItAndKeepsServing",
                 "[process]")
{
  const std::string depth(kMegabyte, '[');
  const std::string end(kMegabyte, ']');
  const std::string nested = "{\"model\":\"draft\",\"a\":" + depth + end + "}";
  CheckError(PostWithKey("/v1/completions", nested), 400, "bad_request");
  SendHttpRequest("POST", Url("/v1/endpoints/report"), { kJsonType }, nested);
  RequireStillServing();
}

TEST_CASE_METHOD(bad_input_fixture,
                 "Entry_WhenTheKeyIsInTheQuery_RefusesAndLogsNoKey",
                 "[process]")
{
  for (const char* name : { "key", "api_key", "access_token", "token" }) {
    const http_answer answer = SendHttpRequest(
      "POST",
      Url("/v1/completions?a=b&" + std::string(name) + "=" + key),
      { kJsonType },
      R"({"model":"draft"})");
    CheckError(answer, 400, "bad_request");
    CHECK(answer.body.find(key) == std::string::npos);
  }
  CHECK(running.entries[0]->Log().find(key) == std::string::npos);
  RequireStillServing();
}

TEST_CASE_METHOD(bad_input_fixture,
                 "Entry_WhenTheAuthorizationIsMalformed_RefusesIt",
                 "[process]")
{
  const std::string body = R"({"model":"draft"})";
  for (const std::string& field :
       { std::string("Authorization: Bearer"),
         std::string("Authorization: Basic YTpi"),
         "Authorization: " + key,
         "Authorization: Bearer " + key + "x",
         "Authorization: Bearer " + std::string(10'000, 'k') }) {
    CheckError(SendHttpRequest(
                 "POST", Url("/v1/completions"), { field, kJsonType }, body),
               401,
               "unauthorized");
  }
  CheckError(
    SendHttpRequest("POST", Url("/v1/completions"), { kJsonType }, body),
    401,
    "unauthorized");
  RequireStillServing();
}

TEST_CASE_METHOD(bad_input_fixture,
                 "Entry_WhenAReportIsMalformed_RefusesIt",
                 "[process]")
{
  for (const char* body :
       { "",
         "{",
         "[]",
         "{}",
         R"({"endpoint":"x"})",
         R"({"endpoint":5,"incarnation":1,"sequence":1,"address":"a",)"
         R"("failure_domain":"domain-a"})",
         R"({"endpoint":"x","incarnation":-1,"sequence":1,)"
         R"("address":"127.0.0.1:1","failure_domain":"domain-a"})",
         R"({"endpoint":"x","incarnation":1,"sequence":1,)"
         R"("address":"127.0.0.1:1/../x","failure_domain":"domain-a"})",
         R"({"endpoint":"x","incarnation":1,"sequence":1,)"
         R"("address":"127.0.0.1:1","failure_domain":"domain-a",)"
         R"("orders":[{"order":"zz","done":true}]})",
         "{\"endpoint\":\"\xff\",\"incarnation\":1,\"sequence\":1,"
         "\"address\":\"127.0.0.1:1\",\"failure_domain\":\"domain-a\"}" }) {
    INFO(body);
    CheckError(
      SendHttpRequest("POST", Url("/v1/endpoints/report"), { kJsonType }, body),
      400,
      "bad_request");
  }
  RequireStillServing();
}

// Bytes that do not parse as HTTP contain no request to answer, so the host
// closes the connection.
TEST_CASE_METHOD(bad_input_fixture,
                 "Entry_WhenTheBytesAreNotHttp_ClosesTheConnection",
                 "[process]")
{
  const std::string start = "POST /v1/completions HTTP/1.1\r\nHost: a\r\n";
  for (const std::string& bytes :
       { std::string("\x16\x03\x01\x02\x01\x01\xfc\x03\x03 tls\r\n\r\n"),
         std::string(100, '\0'),
         std::string("NONSENSE\r\n\r\n"),
         start + "Content-Length: many\r\n\r\n",
         start + "Content-Length: -1\r\n\r\n",
         start + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nabcde",
         start + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
         start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
         start + "X: " + std::string(100'000, 'x') + "\r\n\r\n",
         "GET /" + std::string(20'000, 'u') + " HTTP/1.1\r\n\r\n" }) {
    INFO(bytes.substr(0, 120));
    const raw_connection connection(running.EntryAddress(0));
    REQUIRE(connection.IsConnected());
    connection.Send(bytes);
    const auto answer = connection.ReadToEnd();
    REQUIRE(answer.has_value());
    CHECK(answer->find("200 OK") == std::string::npos);
  }
  RequireStillServing();
}

TEST_CASE_METHOD(bad_input_fixture,
                 "Entry_WhenManyConnectionsAreSlow_ServesTheOthers",
                 "[process]")
{
  constexpr int kSlowConnections = 200;
  std::vector<std::unique_ptr<raw_connection>> slow;
  for (int i = 0; i < kSlowConnections; ++i) {
    slow.push_back(std::make_unique<raw_connection>(running.EntryAddress(0)));
    REQUIRE(slow.back()->IsConnected());
    slow.back()->Send("POST /v1/completions HTTP/1.1\r\nContent-Length: 9\r\n");
  }
  RequireStillServing();
}

TEST_CASE_METHOD(bad_input_fixture,
                 "Entry_WhenACallerHalfClosesAfterPartOfARequest_ClosesIt",
                 "[process]")
{
  const raw_connection connection(running.EntryAddress(0));
  REQUIRE(connection.IsConnected());
  connection.Send("POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
                  "Content-Length: 100\r\n\r\n{\"model\"");
  connection.CloseSending();
  const auto answer = connection.ReadToEnd();
  REQUIRE(answer.has_value());
  CHECK(answer->find("200 OK") == std::string::npos);
  RequireStillServing();
}

TEST_CASE_METHOD(bad_input_fixture,
                 "Control_WhenTheBytesAreNoMessage_KeepsServing",
                 "[process]")
{
  const int pid = running.controls[0]->Pid();
  // Among others a ZeroMQ greeting followed by garbage.
  const std::string greeting =
    "\xff" + std::string(8, '\0') + "\x7f\x03" + std::string(200, 'N');
  for (const std::string& bytes : { std::string("GET / HTTP/1.1\r\n\r\n"),
                                    std::string(1'000'000, '\xff'),
                                    std::string(100, '\0'),
                                    greeting }) {
    const raw_connection connection(running.ControlAddress(0));
    REQUIRE(connection.IsConnected());
    connection.Send(bytes);
    connection.CloseSending();
  }
  REQUIRE(running.controls[0]->IsRunning());
  CHECK(running.controls[0]->Pid() == pid);
  const program_result status = running.Ctl({ "status" });
  INFO(status.errors);
  CHECK(status.exitCode == 0);
  RequireStillServing();
}

// A host that accepts only reports with the endpoints' secret.
struct endpoint_secret_fixture
{
  std::filesystem::path file = std::filesystem::temp_directory_path() /
                               ("bulrush-secret-" + std::to_string(FreePort()));
  fleet running{
    { { "domain-a" }, 1, {}, { "--endpoint-secret", file.string() } }
  };
  std::string key;

  endpoint_secret_fixture()
  {
    std::ofstream(file) << "shared\n";
    std::filesystem::permissions(file,
                                 std::filesystem::perms::owner_read |
                                   std::filesystem::perms::owner_write);
    running.Start();
    key = running.IssueKey("press");
  }
  ~endpoint_secret_fixture() { std::filesystem::remove(file); }

  http_answer Report(const std::vector<std::string>& aFields) const
  {
    return SendHttpRequest(
      "POST",
      "http://" + running.EntryAddress(0) + "/v1/endpoints/report",
      aFields,
      R"({"endpoint":"x","incarnation":1,"sequence":1,)"
      R"("address":"127.0.0.1:9","failure_domain":"domain-a"})");
  }
};

TEST_CASE_METHOD(endpoint_secret_fixture,
                 "Entry_WithAnEndpointSecret_AcceptsOnlyReportsThatCarryIt",
                 "[process]")
{
  CHECK(Report({}).status == 401);
  CHECK(Report({ "Bulrush-Secret: other" }).status == 401);
  CHECK(Report({ "Bulrush-Secret: shared" }).status == 200);
  running.AddEndpoint("engine",
                      "domain-a",
                      { "--memory",
                        "10000",
                        "--models",
                        "draft:1:1000",
                        "--secret",
                        file.string() });
  CHECK(WaitUntil([&] {
    return running
             .Post(0,
                   "/v1/completions",
                   key,
                   { { "model", "draft" }, { "max_tokens", 1 } })
             .status == 200;
  }));
}

} // namespace
} // namespace bulrush::test
