#include "support/processes.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>

namespace bulrush::test {
namespace {

using nlohmann::json;

constexpr std::uint64_t kEngineBytes = 1'000;
constexpr std::uint64_t kModelBytes = 300;

// Engines that record their peak of memory and refuse no order for lack of
// memory, so that overcommitment shows in the peak.
struct orders_fixture
{
  std::vector<std::string> domains{ "domain-a" };
  std::unique_ptr<fleet> running;
  std::vector<std::string> engines; ///< addresses

  std::string Manifest(const std::string& aVersion,
                       const std::vector<std::string>& aModels) const
  {
    json document = json::parse(DefaultManifest(domains, aVersion));
    json models = json::array();
    for (const std::string& name : aModels) {
      models.push_back({ { "name", name },
                         { "version", aVersion },
                         { "bytes", kModelBytes } });
    }
    document["models"] = models;
    document["adapters"] = json::array();
    document["store"] = { { "loads_per_s", 50 } };
    return document.dump();
  }

  void Start(const std::vector<std::string>& aModels)
  {
    fleet_options options;
    options.domains = domains;
    options.manifest = Manifest("1", aModels);
    // Exceeds the delay of any order copy in these tests (2.5 s at most).
    options.controlArguments = { "--copy-lifetime", "3s" };
    running = std::make_unique<fleet>(options);
    running->Start();
  }

  void AddEngine(const std::string& aName,
                 const std::string& aDomain,
                 bool aChecksFencing)
  {
    engines.push_back(running->AddEndpoint(
      aName,
      aDomain,
      { "--memory",
        std::to_string(kEngineBytes),
        aChecksFencing ? "--checks-fencing=true" : "--checks-fencing=false" }));
    const std::string address = engines.back();
    REQUIRE(WaitUntil([&] {
      return SendHttpRequest("GET", "http://" + address + "/stats").status ==
             200;
    }));
  }

  void Apply(const std::string& aVersion,
             const std::vector<std::string>& aModels) const
  {
    const auto file = running->folder / ("manifest-" + aVersion + ".json");
    std::ofstream(file) << Manifest(aVersion, aModels);
    const program_result applied = running->Ctl({ "apply", file.string() });
    INFO(applied.errors);
    REQUIRE(applied.exitCode == 0);
  }

  static json Stats(const std::string& aAddress)
  {
    return json::parse(
      SendHttpRequest("GET", "http://" + aAddress + "/stats").body,
      nullptr,
      false);
  }

  static void Fault(const std::string& aAddress, const json& aFault)
  {
    const http_answer answer = SendHttpRequest(
      "POST", "http://" + aAddress + "/faults", {}, aFault.dump());
    REQUIRE(answer.status == 200);
  }

  // Number of engines on which this version of the model is ready.
  std::size_t Copies(const std::string& aModel,
                     const std::string& aVersion) const
  {
    std::size_t copies = 0;
    for (const std::string& address : engines) {
      const json stats = Stats(address);
      if (!stats.is_object()) {
        continue;
      }
      for (const json& held : stats["residents"]) {
        copies += held["model"] == aModel && held["version"] == aVersion &&
                      held["ready"] == true
                    ? 1
                    : 0;
      }
    }
    return copies;
  }

  bool HasAll(const std::vector<std::string>& aModels,
              const std::string& aVersion,
              std::size_t aCopies) const
  {
    return std::all_of(
      aModels.begin(), aModels.end(), [&](const std::string& aModel) {
        return Copies(aModel, aVersion) >= aCopies;
      });
  }

  std::uint64_t OrdersReceived() const
  {
    std::uint64_t orders = 0;
    for (const std::string& address : engines) {
      orders += Stats(address).value("orders", std::uint64_t{ 0 });
    }
    return orders;
  }

  std::size_t LeaderIndex() const
  {
    std::string leader;
    REQUIRE(WaitUntil([&] {
      const json status = running->Status();
      leader = status.is_object() ? status.value("leader", "") : "";
      return !leader.empty();
    }));
    for (std::size_t i = 0; i < domains.size(); ++i) {
      if (running->ControlName(i) == leader) {
        return i;
      }
    }
    FAIL("no control process is named " << leader);
    return 0;
  }

  void CheckMemoryPeaks() const
  {
    for (const std::string& address : engines) {
      const json stats = Stats(address);
      REQUIRE(stats.is_object());
      CHECK(stats["memory_peak"].get<std::uint64_t>() <= kEngineBytes);
    }
  }
};

TEST_CASE_METHOD(orders_fixture,
                 "Orders_ForDeclaredModels_MakeThemResidentAndChangeVersions",
                 "[process]")
{
  const std::vector<std::string> models{ "proof", "cover", "index" };
  Start(models);
  AddEngine("engine-1", "domain-a", true);
  AddEngine("engine-2", "domain-a", false);
  CHECK(WaitUntil([&] { return HasAll(models, "1", 1); }));
  Apply("2", models);
  CHECK(WaitUntil([&] { return HasAll(models, "2", 1); }));
  CHECK(WaitUntil([&] {
    return Copies("proof", "1") + Copies("cover", "1") + Copies("index", "1") ==
           0;
  }));
  CheckMemoryPeaks();
}

TEST_CASE_METHOD(orders_fixture,
                 "Orders_LostLateAndUnanswered_NeverOvercommitAnEngine",
                 "[process]")
{
  const std::vector<std::string> models{ "proof", "cover", "index" };
  Start(models);
  AddEngine("engine-1", "domain-a", false);
  AddEngine("engine-2", "domain-a", false);
  for (int version = 2; version <= 4; ++version) {
    for (const std::string& address : engines) {
      Fault(address, { { "fault", "lose_order" }, { "count", 1 } });
      Fault(address, { { "fault", "lose_order_answer" }, { "count", 1 } });
      Fault(address,
            { { "fault", "late_order" }, { "count", 1 }, { "ms", 700 } });
    }
    Apply(std::to_string(version), models);
    CHECK(
      WaitUntil([&] { return HasAll(models, std::to_string(version), 1); }));
  }
  CheckMemoryPeaks();
}

TEST_CASE_METHOD(orders_fixture,
                 "Order_WhoseFirstCopyArrivesLate_KeepsItsMemoryUntilThen",
                 "[process]")
{
  // An engine of 1000 bytes has space for three models of 300 bytes, not for
  // four.
  Start({ "proof", "cover" });
  AddEngine("engine-1", "domain-a", false);
  REQUIRE(WaitUntil([&] { return HasAll({ "proof", "cover" }, "1", 1); }));
  Fault(engines[0],
        { { "fault", "hold_order" }, { "count", 1 }, { "ms", 2500 } });
  Apply("2", { "proof" });
  REQUIRE(WaitUntil([&] { return HasAll({ "proof" }, "2", 1); }));
  Apply("3", { "cover", "index", "spine" });
  CHECK(WaitUntil([&] {
    return HasAll({ "cover", "index", "spine" }, "3", 1);
  }));
  CHECK(WaitUntil([&] { return Copies("proof", "2") == 0; }));
  CheckMemoryPeaks();
}

TEST_CASE_METHOD(
  orders_fixture,
  "Orders_WhenTheLeaderIsKilledDuringThem_NeverOvercommitAnEngine",
  "[process]")
{
  domains = { "domain-a", "domain-b", "domain-c" };
  const std::vector<std::string> models{ "proof", "cover" };
  Start(models);
  for (const std::string& domain : domains) {
    AddEngine("engine-1-" + domain, domain, false);
    AddEngine("engine-2-" + domain, domain, true);
  }
  CHECK(WaitUntil([&] { return HasAll(models, "1", 3); }));
  for (int version = 2; version <= 3; ++version) {
    for (const std::string& address : engines) {
      Fault(address, { { "fault", "lose_order_answer" }, { "count", 1 } });
      Fault(address,
            { { "fault", "late_order" }, { "count", 1 }, { "ms", 700 } });
    }
    const std::uint64_t before = OrdersReceived();
    Apply(std::to_string(version), models);
    REQUIRE(WaitUntil([&] { return OrdersReceived() > before; }));
    const std::size_t leader = LeaderIndex();
    running->controls[leader]->Signal(SIGKILL);
    running->controls[leader]->Wait();
    CHECK(
      WaitUntil([&] { return HasAll(models, std::to_string(version), 3); }));
    running->StartControl(leader);
  }
  CheckMemoryPeaks();
}

} // namespace
} // namespace bulrush::test
