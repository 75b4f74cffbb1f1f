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
  last_reason reason;
  entry::front_end front = EntryFrontEnd();

  std::string source; ///< of the configuration read last

  std::optional<manifest> Read(const json& aDocument)
  {
    const auto read = ReadConfiguration(aDocument.dump(), domains, reason);
    source = read ? read->source : "";
    std::vector<manifest_fault> faults;
    auto parsed = read ? ParseManifest(read->text, faults) : std::nullopt;
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
  CHECK(json::parse(source) == json::parse(kConfiguration));
  const route_row* route = FindRoute(*parsed, "h.example", "/chat/x/y");
  REQUIRE(route != nullptr);
  CHECK(route->isStreamed);
  CHECK(route->canResume);
  CHECK(route->targets.size() == 2);
  CHECK(route->target == std::chrono::milliseconds(500));
  CHECK_FALSE(FindRoute(*parsed, "h.example", "/desk/")->isIdempotent);
  const service_row* llm = parsed->services.Find(IdOf<service_id>("llm"));
  CHECK(llm->memoryBytes == 200'000'000'000);
  CHECK(llm->adapterCapacity == 8);
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
  json unknownService = json::parse(kConfiguration);
  unknownService["routes"][1]["service"] = "absent";
  CHECK_FALSE(Read(unknownService));
  json duplicateRoute = json::parse(kConfiguration);
  duplicateRoute["routes"][1]["pathPrefix"] = "/chat/";
  CHECK_FALSE(Read(duplicateRoute));
  json zeroWeights = json::parse(kConfiguration);
  zeroWeights["routes"][0]["trafficSplit"][0]["weight"] = 0;
  zeroWeights["routes"][0]["trafficSplit"][1]["weight"] = 0;
  CHECK_FALSE(Read(zeroWeights));
  json zeroTimeout = json::parse(kConfiguration);
  zeroTimeout["routes"][1]["timeoutMs"] = 0;
  CHECK_FALSE(Read(zeroTimeout));
  json sharedKey = json::parse(kConfiguration);
  sharedKey["tenants"][1]["apiKeys"][0] = "k1";
  CHECK_FALSE(Read(sharedKey));
  json incomplete = json::parse(kConfiguration);
  incomplete.erase("services");
  CHECK_FALSE(Read(incomplete));
  CHECK_FALSE(ReadConfiguration(
    kConfiguration.substr(0, kConfiguration.size() / 2), domains, reason));
}

const std::string kHeartbeat = R"({"service":"llm","address":"10.0.0.9:8080",
  "zone":"a","version":"v1","slots":32,"state":"ready","coldRemainingMs":1500,
  "models":[{"name":"daka","version":3,"adapters":["a2"]}],"sequence":4,
  "born":1700000000000})";

TEST_CASE_METHOD(codec_fixture,
                 "Heartbeat_WhenComplete_IsAnEndpoint",
                 "[platform]")
{
  const auto row = ReadHeartbeat("i-1", kHeartbeat, steady_time{}, reason);
  REQUIRE(row);
  CHECK(row->incarnation == 1'700'000'000'000);
  CHECK(row->sequence == 4);
  CHECK(row->isCold);
  CHECK_FALSE(row->isLeaving);
  CHECK(row->residents[0].model == IdOf<model_id>("llm/daka"));
  CHECK(row->residents[0].adapters[0] == IdOf<adapter_id>("llm/daka/a2"));
}

TEST_CASE_METHOD(codec_fixture, "Heartbeat_WhenInvalid_IsRefused", "[platform]")
{
  for (const char* field : { "service", "address", "state", "slots", "born" }) {
    json missing = json::parse(kHeartbeat);
    missing.erase(field);
    CHECK_FALSE(ReadHeartbeat("i-1", missing.dump(), steady_time{}, reason));
    json wrongType = json::parse(kHeartbeat);
    wrongType[field] = json::array();
    CHECK_FALSE(ReadHeartbeat("i-1", wrongType.dump(), steady_time{}, reason));
  }
  json state = json::parse(kHeartbeat);
  state["state"] = "resting";
  CHECK_FALSE(ReadHeartbeat("i-1", state.dump(), steady_time{}, reason));
  CHECK_FALSE(ReadHeartbeat("i-1", "\x01\x02", steady_time{}, reason));
}

TEST_CASE_METHOD(codec_fixture,
                 "Request_WhenParsed_DoesNotForwardTheKey",
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
  CHECK(call->sharedParts == std::vector{ part_id{ 0x5c } });
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
                 "Answer_WithAnotherId_IsNotMatchedToTheAttempt",
                 "[platform]")
{
  entry::attempt_metadata metadata;
  metadata.attempt = attempt_id{ 5 };
  metadata.callerId = "9c41";
  CHECK(
    front.readAnswer(metadata, 200, { { "X-Attempt-Id", "9c41" } }).echoed ==
    metadata.attempt);
  CHECK(
    front.readAnswer(metadata, 200, { { "X-Attempt-Id", "other" } }).echoed !=
    metadata.attempt);
  CHECK(front.readAnswer(metadata, 200, {}).echoed != metadata.attempt);
  const auto shed =
    front.readAnswer(metadata, 503, { { "X-Not-Executed", "1" } });
  CHECK_FALSE(shed.echoed); // routing decides whose answer it is
  CHECK(shed.statesNotRun);
  CHECK(front.readAnswer(metadata, 421, {}).statesNotRun);
  CHECK_FALSE(front.readAnswer(metadata, 503, {}).statesNotRun);
}

TEST_CASE_METHOD(codec_fixture, "Answer_OfALeavingServer_SaysSo", "[platform]")
{
  const entry::attempt_metadata metadata;
  CHECK(
    front.readAnswer(metadata, 200, { { "Server-Leaving", "1" } }).isLeaving);
  CHECK(
    front.readAnswer(metadata, 503, { { "server-leaving", "1" } }).isLeaving);
  CHECK_FALSE(
    front.readAnswer(metadata, 200, { { "Server-Leaving", "0" } }).isLeaving);
  CHECK_FALSE(front.readAnswer(metadata, 200, {}).isLeaving);
}

TEST_CASE_METHOD(codec_fixture,
                 "Refusal_WithRetryAfter_CarriesTheTime",
                 "[platform]")
{
  const auto read = [this](const std::string& aValue) {
    return front.readAnswer({}, 503, { { "Retry-After", aValue } }).retryAfter;
  };
  CHECK(read("2") == std::chrono::milliseconds{ 2'000 });
  CHECK(read("0.25") == std::chrono::milliseconds{ 250 });
  CHECK(read("0") == std::chrono::milliseconds{ 0 });
  CHECK(read("1e300") == std::chrono::hours{ 24 });
  for (const char* invalid : { "", "-1", "nan", "soon", "2 s" }) {
    INFO(invalid);
    CHECK_FALSE(read(invalid));
  }
  CHECK_FALSE(front.readAnswer({}, 503, {}).retryAfter);
}

struct recorded_reply : net::http_reply
{
  bool HasCaller() const override { return true; }
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
  net::passed_body Passed() const override { return {}; }
};

TEST_CASE_METHOD(codec_fixture,
                 "Refusal_OfRequestThatMayHaveRun_HasStatus502",
                 "[platform]")
{
  for (const int status : { 408, 421, 429, 503 }) {
    recorded_reply reply;
    front.sendError(reply, { status, "x", "", true, {} }, "1");
    CHECK(reply.status == 502);
    front.sendError(
      reply, { status, "x", "", false, std::chrono::milliseconds(250) }, "1");
    CHECK(reply.status == status);
    CHECK(*net::FindField(reply.fields, "Retry-After") == "0.25");
  }
}

TEST_CASE_METHOD(codec_fixture,
                 "Order_WhenWritten_HasExpectedCountAndFencingToken",
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
  order.fencingNumber = 41;
  const net::http_call call = WriteOrder(order);
  CHECK(json::parse(call.body.Get()) == json{ { "operation", "model_load" },
                                              { "model", "daka" },
                                              { "adapter", "a3" },
                                              { "expected", 2 },
                                              { "holder", "node-7" },
                                              { "fencingToken", 41 } });
  CHECK(*net::FindField(call.fields, "X-Expect-Instance") == "i-1");
}

TEST_CASE_METHOD(codec_fixture,
                 "State_WhenParsed_IncludesLoadingAdapters",
                 "[platform]")
{
  const auto state = ReadState(
    { "i-1", "10.0.0.9:8080", "llm" },
    R"({"models":[{"name":"daka","version":1,"adapters":["a1"]}],"busy":false,
      "sequence":2,"born":17,"coming":["daka/a3@1"]})",
    reason);
  REQUIRE(state);
  CHECK(state->incarnation == 17);
  CHECK(state->orderCount == 2);
  CHECK(state->held[0].adapters ==
        std::vector<adapter_id>{ IdOf<adapter_id>("llm/daka/a1"),
                                 IdOf<adapter_id>("llm/daka/a3") });
  CHECK_FALSE(ReadState({ "i-1", "", "llm" }, "{}", reason));
}

TEST_CASE_METHOD(codec_fixture,
                 "TokenCount_OutOfRange_IsTakenAsMissing",
                 "[platform]")
{
  const std::string count = GENERATE("-1000,0",
                                     "0,-1000",
                                     "9223372036854775807,2",
                                     "4294967296,1",
                                     "1.5,1",
                                     "1e3,1",
                                     "12");
  INFO(count);
  net::http_request request;
  request.fields = { { "Host", "h.example" }, { "X-Token-Count", count } };
  entry::caller_error error;
  const auto call = front.readCall(request, error);
  REQUIRE(call);
  CHECK_FALSE(call->tokens);
}

} // namespace
} // namespace bulrush::platform
