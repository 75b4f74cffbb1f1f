#include "support/processes.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>

namespace bulrush::test {
namespace {

using nlohmann::json;

// Three failure domains, each with a control process, an entry host and an
// engine that holds the model.
struct domains_fixture
{
  fleet running{ { { "north", "middle", "south" }, 1, "", {} } };
  std::string key;

  domains_fixture()
  {
    running.Start();
    for (const char* domain : { "north", "middle", "south" }) {
      running.AddEndpoint(std::string("engine-") + domain,
                          domain,
                          { "--memory", "10000", "--models", "draft:1:1000" });
    }
    key = running.IssueKey("press");
    for (std::size_t entry = 0; entry < 3; ++entry) {
      REQUIRE(WaitUntil([&] { return Complete(entry).status == 200; }));
    }
    for (const char* domain : { "north", "middle", "south" }) {
      REQUIRE(
        WaitUntil([&] { return Runs(domain) > 0 || CompleteAtEachEntry(); }));
    }
  }

  bool CompleteAtEachEntry() const
  {
    for (std::size_t entry = 0; entry < 3; ++entry) {
      Complete(entry);
    }
    return false;
  }

  http_answer Complete(std::size_t aEntry, int aTokens = 1) const
  {
    return running.Post(
      aEntry,
      "/v1/completions",
      key,
      { { "model", "draft" }, { "max_tokens", aTokens }, { "stream", true } });
  }

  json Stats(const std::string& aDomain) const
  {
    const auto address = running.endpointAddresses.at("engine-" + aDomain);
    return json::parse(
      SendHttpRequest("GET", "http://" + address + "/stats").body);
  }

  std::uint64_t Runs(const std::string& aDomain) const
  {
    return Stats(aDomain)["runs"].get<std::uint64_t>();
  }

  /// Control process that grants leases to the hosts of a domain.
  std::string Delegate(const std::string& aDomain) const
  {
    const json status = running.Status();
    for (const json& row : status["domains"]) {
      if (row["name"] == aDomain) {
        return row["delegate"];
      }
    }
    return "";
  }

  // Sends ten requests to each host; returns the number that succeeded.
  int CompleteTenPerEntry() const
  {
    int served = 0;
    for (int i = 0; i < 10; ++i) {
      for (std::size_t entry = 0; entry < 3; ++entry) {
        served += Complete(entry).status == 200 ? 1 : 0;
      }
    }
    return served;
  }
};

TEST_CASE_METHOD(domains_fixture,
                 "Domain_WhenTakenOut_ReceivesNoNewWorkOnceAccepted",
                 "[process][domains]")
{
  REQUIRE(running.Ctl({ "domain", "take-out", "north" }).exitCode == 0);
  const std::uint64_t before = Runs("north");
  CHECK(CompleteTenPerEntry() == 30);
  CHECK(Runs("north") == before);

  REQUIRE(running.Ctl({ "domain", "bring-back", "north" }).exitCode == 0);
  CHECK(CompleteTenPerEntry() == 30);
  CHECK(Runs("north") > before);
}

TEST_CASE_METHOD(domains_fixture,
                 "Endpoint_WhenDrained_ReceivesNoNewWorkOnceAccepted",
                 "[process][domains]")
{
  REQUIRE(running.Ctl({ "endpoint", "drain", "engine-south" }).exitCode == 0);
  const std::uint64_t before = Runs("south");
  CHECK(CompleteTenPerEntry() == 30);
  CHECK(Runs("south") == before);
}

TEST_CASE_METHOD(domains_fixture,
                 "Endpoint_WhenItLeaves_FinishesItsStreamAndGetsNoNewWork",
                 "[process][domains]")
{
  const std::string address = running.endpointAddresses["engine-middle"];
  auto stream =
    std::async(std::launch::async, [&] { return Complete(1, 800); });
  REQUIRE(WaitUntil([&] { return Stats("middle")["running"] == 1; }));
  SendHttpRequest(
    "POST", "http://" + address + "/faults", {}, R"({"fault":"leave"})");
  REQUIRE(WaitUntil([&] {
    for (const json& row : running.Status()["endpoints"]) {
      if (row["name"] == "engine-middle") {
        return row["leaving"] == true;
      }
    }
    return true; // already removed
  }));
  const http_answer whole = stream.get();
  CHECK(whole.body.ends_with("data: [DONE]\n\n"));
  // Once no host chooses the endpoint any more, none may choose it again.
  std::uint64_t runs = 0;
  REQUIRE(WaitUntil([&] {
    runs = Runs("middle");
    return CompleteTenPerEntry() == 30 && Runs("middle") == runs;
  }));
  CHECK(CompleteTenPerEntry() == 30);
  CHECK(Runs("middle") == runs);
}

TEST_CASE_METHOD(
  domains_fixture,
  "Key_WhenWithdrawnDuringAStream_CancelsItAndIsRefusedEverywhere",
  "[process][domains]")
{
  auto stream =
    std::async(std::launch::async, [&] { return Complete(0, 20'000); });
  REQUIRE(WaitUntil([&] { return Stats("north")["running"] == 1; }));
  REQUIRE(running.Ctl({ "key", "withdraw", key }).exitCode == 0);
  const http_answer truncated = stream.get();
  CHECK_FALSE(truncated.body.ends_with("data: [DONE]\n\n"));
  CHECK(truncated.body.find("error") != std::string::npos);
  for (std::size_t entry = 0; entry < 3; ++entry) {
    CHECK(Complete(entry).status == 401);
  }
  CHECK(WaitUntil([&] { return Stats("north")["running"] == 0; }));
}

TEST_CASE_METHOD(
  domains_fixture,
  "Control_WhenTheOthersAreKilled_AppliesAKeyWithdrawalWithoutQuorum",
  "[process][domains]")
{
  running.controls[1]->Signal(SIGKILL);
  running.controls[2]->Signal(SIGKILL);
  const program_result result =
    running.Ctl({ "--timeout", "2s", "key", "withdraw", key });
  CHECK(result.exitCode == 4); // unknown: it may still be committed
  CHECK(WaitUntil([&] { return Complete(0).status == 401; }));
}

TEST_CASE_METHOD(domains_fixture,
                 "Domain_WhenPartitionedFromTheOthers_KeepsServing",
                 "[process][domains]")
{
  running.AddEndpoint("desk", "middle", { "--services", "desk" });
  const auto lookupStatus = [&] {
    return running.Post(1, "/desk/status", "", {}).status;
  };
  REQUIRE(WaitUntil([&] { return lookupStatus() == 200; }));
  // A delegate elsewhere would go on granting leases to the host.
  REQUIRE(WaitUntil([this] { return Delegate("middle") == "control-1"; }));
  running.controls[1]->Signal(SIGSTOP);
  running.controls[2]->Signal(SIGSTOP);
  // A host without its control host has no lease and refuses keyed requests.
  http_answer refused;
  REQUIRE(WaitUntil([&] {
    refused = Complete(1);
    return refused.status == 503;
  }));
  const json error = json::parse(refused.body)["error"];
  CHECK(error["code"] == "no_lease");
  CHECK(error["ran"] == "not_run");
  const std::string ready = "http://" + running.EntryAddress(1) + "/readyz";
  CHECK(SendHttpRequest("GET", ready).status == 503);
  CHECK(lookupStatus() == 200); // open route, needs no lease
  // A host keeps serving while its control host runs, even without a quorum.
  for (int i = 0; i < 10; ++i) {
    CHECK(Complete(0).status == 200);
  }
  running.controls[1]->Signal(SIGCONT);
  running.controls[2]->Signal(SIGCONT);
  CHECK(WaitUntil([&] { return Complete(1).status == 200; }));
}

} // namespace
} // namespace bulrush::test
