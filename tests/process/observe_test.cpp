#include "support/processes.hpp"

#include <catch2/catch.hpp>

namespace bulrush::test {
namespace {

using nlohmann::json;

constexpr const char* kTrace = "4bf92f3577b34da6a3ce929d0e0e4736";

// One host that records a span for every request.
struct observe_fixture
{
  std::filesystem::path folder =
    std::filesystem::temp_directory_path() /
    ("bulrush-spans-" + std::to_string(FreePort()));
  std::string spans = (folder / "spans.jsonl").string();
  fleet running{
    { { "domain-a" }, 1, {}, { "--spans", spans, "--trace-share", "1" } }
  };
  std::string key;
  std::string engine;

  observe_fixture()
  {
    std::filesystem::create_directories(folder);
    running.Start();
    engine =
      running.AddEndpoint("engine",
                          "domain-a",
                          { "--memory", "10000", "--models", "draft:1:1000" });
    key = running.IssueKey("press");
    REQUIRE(WaitUntil([&] { return Complete({}).status == 200; }));
  }
  ~observe_fixture() { std::filesystem::remove_all(folder); }

  http_answer Complete(const std::vector<std::string>& aFields) const
  {
    return running.Post(0,
                        "/v1/chat/completions",
                        key,
                        { { "model", "draft" }, { "max_tokens", 3 } },
                        aFields);
  }

  program_result Trace(const std::string& aId) const
  {
    return RunProgram("bulrushctl", { "trace", aId, "--spans", spans });
  }
};

// One host and its control process, both with a metrics address.
struct logs_and_metrics_fixture
{
  std::string entryMetrics = "127.0.0.1:" + std::to_string(FreePort());
  std::string controlMetrics = "127.0.0.1:" + std::to_string(FreePort());
  fleet running{ { { "domain-a" },
                   1,
                   {},
                   { "--metrics-listen", entryMetrics },
                   { "--metrics-listen", controlMetrics } } };

  logs_and_metrics_fixture() { running.Start(); }
};

TEST_CASE_METHOD(logs_and_metrics_fixture,
                 "Metrics_AtAnAddressOfTheirOwn_AreServedByBothPrograms",
                 "[process]")
{
  const http_answer entry =
    SendHttpRequest("GET", "http://" + entryMetrics + "/metrics");
  CHECK(entry.status == 200);
  CHECK(entry.body.find("bulrush_entry_revision") != std::string::npos);
  const http_answer control =
    SendHttpRequest("GET", "http://" + controlMetrics + "/metrics");
  CHECK(control.status == 200);
  CHECK(control.body.find("bulrush_control_leads 1") != std::string::npos);
  CHECK(control.body.find("bulrush_control_tick_seconds_bucket") !=
        std::string::npos);
}

TEST_CASE_METHOD(logs_and_metrics_fixture,
                 "Trace_OverTheLogsOfSeveralHosts_OrdersARequestsEvents",
                 "[process]")
{
  running.AddEndpoint(
    "engine", "domain-a", { "--memory", "10000", "--models", "draft:1:1000" });
  const std::string key = running.IssueKey("press");
  REQUIRE(WaitUntil([&] {
    return running
             .Post(0,
                   "/v1/chat/completions",
                   key,
                   { { "model", "draft" }, { "max_tokens", 3 } })
             .status == 200;
  }));
  const std::filesystem::path entry = running.entries[0]->LogFile();
  const std::filesystem::path control = running.controls[0]->LogFile();
  std::string id;
  REQUIRE(WaitUntil([&] {
    const std::string log = running.entries[0]->Log();
    const std::size_t at = log.find("request_ended request=");
    if (at != std::string::npos) {
      const std::size_t begin = log.find('=', at) + 1;
      id = log.substr(begin, log.find(' ', begin) - begin);
    }
    return !id.empty();
  }));
  const program_result shown = RunProgram(
    "bulrushctl",
    { "trace", id, "--logs", entry.string() + "," + control.string() });
  INFO(shown.errors);
  INFO(shown.output);
  REQUIRE(shown.exitCode == 0);
  const std::size_t joined = shown.output.find("endpoint_joined");
  const std::size_t attempt = shown.output.find("attempt request=" + id);
  const std::size_t ended = shown.output.find("request_ended request=" + id);
  CHECK(joined < attempt);
  CHECK(attempt < ended);
  CHECK(ended != std::string::npos);
  CHECK(RunProgram("bulrushctl", { "trace", "none", "--logs", entry.string() })
          .exitCode != 0);
}

TEST_CASE_METHOD(observe_fixture,
                 "Trace_OfARequestWithATraceparent_ShowsEveryHop",
                 "[process]")
{
  const std::string parent =
    std::string("traceparent: 00-") + kTrace + "-00f067aa0ba902b7-01";
  const http_answer answer = Complete({ parent });
  REQUIRE(answer.status == 200);
  CHECK(answer.fields.at("bulrush-trace") == kTrace);
  const program_result shown = Trace(kTrace);
  INFO(shown.errors);
  REQUIRE(shown.exitCode == 0);
  const std::size_t request = shown.output.find("POST completions on entry-0");
  const std::size_t attempt = shown.output.find("  attempt on entry-0");
  REQUIRE(request != std::string::npos);
  REQUIRE(attempt != std::string::npos);
  CHECK(request < attempt);
  CHECK(shown.output.find("http.response.status_code=200") !=
        std::string::npos);
  CHECK(shown.output.find(key) == std::string::npos);
}

TEST_CASE_METHOD(observe_fixture,
                 "Trace_OfARequestWithoutATraceparent_HasItsIdInTheAnswer",
                 "[process]")
{
  const http_answer answer = Complete({});
  REQUIRE(answer.status == 200);
  const std::string trace = answer.fields.at("bulrush-trace");
  CHECK(trace.size() == 32);
  CHECK(Trace(trace).exitCode == 0);
}

TEST_CASE_METHOD(observe_fixture,
                 "Trace_OfARefusedRequest_HoldsNeitherKeyNorQuery",
                 "[process]")
{
  const http_answer answer = SendHttpRequest(
    "POST",
    "http://" + running.EntryAddress(0) + "/v1/completions?key=" + key,
    { "Content-Type: application/json" },
    R"({"model":"draft"})");
  CHECK(answer.status == 400);
  const program_result shown = Trace(answer.fields.at("bulrush-trace"));
  REQUIRE(shown.exitCode == 0);
  CHECK(shown.output.find(key) == std::string::npos);
  CHECK(shown.output.find("http.response.status_code=400") !=
        std::string::npos);
}

TEST_CASE_METHOD(observe_fixture,
                 "Trace_OfAnUnknownOrBadId_ExitsWithAnError",
                 "[process]")
{
  CHECK(Trace("00000000000000000000000000000001").exitCode != 0);
  CHECK(Trace("xyz").exitCode != 0);
}

TEST_CASE_METHOD(observe_fixture,
                 "Metrics_AfterRequests_CountThemByStatus",
                 "[process]")
{
  REQUIRE(running.Post(0, "/v1/completions", "wrong", { { "model", "draft" } })
            .status == 401);
  const http_answer page =
    SendHttpRequest("GET", "http://" + running.EntryAddress(0) + "/metrics");
  REQUIRE(page.status == 200);
  const auto has = [&page](const std::string& aLine) {
    return page.body.find("\n" + aLine) != std::string::npos;
  };
  CHECK(has("# TYPE bulrush_entry_request_seconds histogram"));
  CHECK(has("bulrush_entry_requests_total{interface=\"completions\","
            "status=\"401\"} 1\n"));
  CHECK(has("bulrush_entry_requests_total{interface=\"completions\","
            "status=\"200\"} "));
  CHECK(has("bulrush_entry_attempts_total{status=\"200\"} "));
  CHECK(has("bulrush_entry_has_lease 1\n"));
  CHECK(has("bulrush_entry_endpoints 1\n"));
  CHECK(page.body.find(key) == std::string::npos);
}

} // namespace
} // namespace bulrush::test
