#include "platform/order.hpp"
#include "platform/platform.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace bulrush::platform {
namespace {

using nlohmann::json;

// The messages are written by hand after the platform's description.
const std::string kConfiguration = R"({"version":7,"routes":[
  {"name":"r1","hostname":"h.example","pathPrefix":"/chat/",
   "routeType":"streaming","timeoutMs":12000,"targetLatencyMs":500,
   "priority":2,"trafficSplit":[{"service":"llm","weight":90},
   {"service":"desk","weight":10}],"maxAttempts":2,"allowAnonymous":false,
   "sticky":true,"resumable":true,"targetGapMs":150},
  {"name":"r2","hostname":"h.example","pathPrefix":"/desk/",
   "routeType":"non_idempotent","timeoutMs":800,"service":"desk",
   "maxAttempts":1}],
  "services":[{"name":"llm","healthPath":"/health","maxConnections":370,
   "coldStartS":3.0,"coldPerS":29.0,"engine":{"weightsMb":200000.0,
   "adapterSlots":8,"kvCapacityTokens":122637,"loadsPerS":1.9,"models":[
   {"name":"daka","weightsMb":72700.0,"loadS":5.8,"adapters":2,
    "adapterMb":66.0}]}},{"name":"desk","maxConnections":110}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
   "headerTimeoutMs":3000,"idleTimeoutMs":15000},
  "tenants":[{"name":"hule","apiKeys":["k1"],"priority":1,
   "unit":"token_stream","plainTokens":200,"ratePerS":96815,"burst":96815},
   {"name":"free","apiKeys":["k2"]}]})";

struct codec_fixture
{
  std::vector<domain_row> domains{ { IdOf<domain_id>("a"), "a", "r" } };
  last_reason why;
  entry::front_end front = EntryFrontEnd();

  std::optional<manifest> Read(const json& aDocument)
  {
    const auto text = ReadConfiguration(aDocument.dump(), domains, why);
    std::vector<manifest_fault> faults;
    auto parsed = text ? ParseManifest(*text, faults) : std::nullopt;
    INFO(Describe(faults));
    return parsed;
  }
};

TEST_CASE_METHOD(codec_fixture,
                 "Configuration_WhenWellFormed_BecomesAManifest",
                 "[platform]")
{
  const auto parsed = Read(json::parse(kConfiguration));
  REQUIRE(parsed);
  CHECK(parsed->number == 7);
  CHECK(json::parse(parsed->source) == json::parse(kConfiguration));
  const route_row* route = FindRoute(*parsed, "h.example", "/chat/x/y");
  REQUIRE(route != nullptr);
  CHECK(route->isStreamed);
  CHECK(route->canResume);
  CHECK(route->targets.size() == 2);
  CHECK(route->target == std::chrono::milliseconds(500));
  CHECK_FALSE(FindRoute(*parsed, "h.example", "/desk/")->isIdempotent);
  const service_row* llm = parsed->services.Find(IdOf<service_id>("llm"));
  CHECK(llm->memoryBytes == 200'000'000'000);
  CHECK(llm->adapterPlaces == 8);
  CHECK(parsed->adapters.Find(IdOf<adapter_id>("llm/daka/a2")) != nullptr);
  const auto* hule = parsed->workspaces.Find(IdOf<workspace_id>("hule"));
  CHECK(hule->tokensPerSecond == 96'815);
  CHECK_FALSE(hule->countsRequests);
  CHECK(parsed->workspaces.Find(IdOf<workspace_id>("free"))->tokensPerSecond ==
        0);
  CHECK(parsed->store.loadsPerSecond == 1.9);
}

TEST_CASE_METHOD(codec_fixture,
                 "Configuration_WhenInvalid_IsRefused",
                 "[platform]")
{
  json unknown = json::parse(kConfiguration);
  unknown["routes"][1]["service"] = "absent";
  CHECK_FALSE(Read(unknown));
  json twice = json::parse(kConfiguration);
  twice["routes"][1]["pathPrefix"] = "/chat/";
  CHECK_FALSE(Read(twice));
  json weightless = json::parse(kConfiguration);
  weightless["routes"][0]["trafficSplit"][0]["weight"] = 0;
  weightless["routes"][0]["trafficSplit"][1]["weight"] = 0;
  CHECK_FALSE(Read(weightless));
  json timeless = json::parse(kConfiguration);
  timeless["routes"][1]["timeoutMs"] = 0;
  CHECK_FALSE(Read(timeless));
  json shared = json::parse(kConfiguration);
  shared["tenants"][1]["apiKeys"][0] = "k1";
  CHECK_FALSE(Read(shared));
  json cut = json::parse(kConfiguration);
  cut.erase("services");
  CHECK_FALSE(Read(cut));
  CHECK_FALSE(ReadConfiguration(
    kConfiguration.substr(0, kConfiguration.size() / 2), domains, why));
}

const std::string kCheckIn = R"({"service":"llm","address":"10.0.0.9:8080",
  "zone":"a","version":"v1","slots":32,"state":"ready","coldRemainingMs":1500,
  "models":[{"name":"daka","version":3,"adapters":["a2"]}],"sequence":4,
  "born":1700000000000})";

TEST_CASE_METHOD(codec_fixture, "CheckIn_WhenWhole_IsAnEndpoint", "[platform]")
{
  const auto row = ReadCheckIn("i-1", kCheckIn, steady_time{}, why);
  REQUIRE(row);
  CHECK(row->incarnation == 1'700'000'000'000);
  CHECK(row->sequence == 4);
  CHECK(row->isCold);
  CHECK_FALSE(row->isLeaving);
  CHECK(row->residents[0].model == IdOf<model_id>("llm/daka"));
  CHECK(row->residents[0].adapters[0] == IdOf<adapter_id>("llm/daka/a2"));
}

TEST_CASE_METHOD(codec_fixture,
                 "CheckIn_WhenUnreadable_NamesNoEndpoint",
                 "[platform]")
{
  for (const char* field : { "service", "address", "state", "slots", "born" }) {
    json missing = json::parse(kCheckIn);
    missing.erase(field);
    CHECK_FALSE(ReadCheckIn("i-1", missing.dump(), steady_time{}, why));
    json other = json::parse(kCheckIn);
    other[field] = json::array();
    CHECK_FALSE(ReadCheckIn("i-1", other.dump(), steady_time{}, why));
  }
  json state = json::parse(kCheckIn);
  state["state"] = "resting";
  CHECK_FALSE(ReadCheckIn("i-1", state.dump(), steady_time{}, why));
  CHECK_FALSE(ReadCheckIn("i-1", "\x01\x02", steady_time{}, why));
}

TEST_CASE_METHOD(codec_fixture,
                 "Request_WhenRead_KeepsTheKeyFromTheServer",
                 "[platform]")
{
  net::http_request request;
  request.fields = { { "Host", "h.example" },
                     { "X-Attempt-Id", "9c41" },
                     { "Authorization", "Token secret" },
                     { "X-Tenant-Name", "forged" },
                     { "X-Hold", "1" },
                     { "Connection", "keep-alive" },
                     { "X-Model", "daka/a3" },
                     { "X-Token-Count", "1460,80" },
                     { "X-Prompt-Prefix", "5c:800,91:410" },
                     { "Last-Event-Id", "12" },
                     { "X-Deadline-Ms", "12000" } };
  entry::caller_error error;
  const auto call = front.readCall(request, error);
  REQUIRE(call);
  CHECK(call->key == "secret");
  CHECK(call->id == "9c41");
  CHECK(call->model == "daka");
  CHECK(call->adapter == "a3");
  CHECK(call->tokens == 1'540);
  CHECK(call->prompt.size() == 2);
  CHECK(call->prompt[1].id == 0x91);
  CHECK(call->timeLeft == std::chrono::milliseconds(12'000));
  CHECK(call->resumeAfter == "12");
  for (const char* name : { "Authorization",
                            "X-Tenant-Name",
                            "X-Hold",
                            "Connection",
                            "X-Deadline-Ms",
                            "Last-Event-Id" }) {
    INFO(name);
    CHECK(net::FindField(call->fields, name) == nullptr);
  }
  CHECK(net::FindField(call->fields, "X-Model") != nullptr);
}

TEST_CASE_METHOD(codec_fixture,
                 "Answer_WithAnotherId_IsNotTheAttempts",
                 "[platform]")
{
  entry::attempt_call told;
  told.attempt = attempt_id{ 5 };
  told.callerId = "9c41";
  CHECK(front.readAnswer(told, 200, { { "X-Attempt-Id", "9c41" } }).echoed ==
        told.attempt);
  CHECK(front.readAnswer(told, 200, { { "X-Attempt-Id", "other" } }).echoed !=
        told.attempt);
  CHECK(front.readAnswer(told, 200, {}).echoed != told.attempt);
  const auto shed = front.readAnswer(told, 503, { { "X-Not-Executed", "1" } });
  CHECK(shed.echoed == told.attempt);
  CHECK(shed.saysNotRun);
  CHECK(front.readAnswer(told, 421, {}).saysNotRun);
  CHECK_FALSE(front.readAnswer(told, 503, {}).saysNotRun);
}

struct kept_reply : net::http_reply
{
  int status = 0;
  std::vector<net::http_field> fields;
  void Send(int aStatus,
            const std::vector<net::http_field>& aFields,
            std::string) override
  {
    status = aStatus;
    fields = aFields;
  }
  void Start(int, const std::vector<net::http_field>&) override {}
  void Write(std::string) override {}
  void Finish() override {}
  void Abort() override {}
  std::size_t UnsentBytes() const override { return 0; }
};

TEST_CASE_METHOD(codec_fixture,
                 "Refusal_OfWhatMayHaveRun_PromisesNothing",
                 "[platform]")
{
  for (const int status : { 408, 421, 429, 503 }) {
    kept_reply reply;
    front.sendError(reply, { status, "x", "", true, {} }, "1");
    CHECK(reply.status == 502);
    front.sendError(
      reply, { status, "x", "", false, std::chrono::milliseconds(250) }, "1");
    CHECK(reply.status == status);
    CHECK(*net::FindField(reply.fields, "Retry-After") == "0.25");
  }
}

TEST_CASE_METHOD(codec_fixture,
                 "Order_WhenWritten_HasItsCondition",
                 "[platform]")
{
  control::engine_order order;
  order.endpoint = "i-1";
  order.address = "10.0.0.9:8080";
  order.kind = residency::order_kind::eLoadAdapter;
  order.model = "llm/daka";
  order.adapter = "llm/daka/a3";
  order.expectedOrders = 2;
  order.holder = "node-7";
  order.fence = 41;
  const net::http_call call = WriteOrder(order);
  CHECK(json::parse(call.body) == json{ { "operation", "model_load" },
                                        { "model", "daka" },
                                        { "adapter", "a3" },
                                        { "expected", 2 },
                                        { "holder", "node-7" },
                                        { "fencingToken", 41 } });
  CHECK(*net::FindField(call.fields, "X-Expect-Instance") == "i-1");
}

TEST_CASE_METHOD(codec_fixture,
                 "State_WhenRead_CountsAdaptersOnTheirWay",
                 "[platform]")
{
  const auto state = ReadState(
    { "i-1", "10.0.0.9:8080", "llm" },
    R"({"models":[{"name":"daka","version":1,"adapters":["a1"]}],"busy":false,
      "sequence":2,"born":17,"coming":["daka/a3@1"]})",
    why);
  REQUIRE(state);
  CHECK(state->incarnation == 17);
  CHECK(state->orderCount == 2);
  CHECK(state->held[0].adapters ==
        std::vector<adapter_id>{ IdOf<adapter_id>("llm/daka/a1"),
                                 IdOf<adapter_id>("llm/daka/a3") });
  CHECK_FALSE(ReadState({ "i-1", "", "llm" }, "{}", why));
}

} // namespace
} // namespace bulrush::platform
