#include "control/tables.hpp"
#include "observe/observe.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <ctime>

namespace bulrush::control {
namespace {

namespace fs = std::filesystem;
using std::chrono::milliseconds;

/// A control process that is the only member of its log, and starts again.
struct recovery_fixture
{
  static constexpr const char* kSelf = "10.0.0.1:7100";
  static constexpr int kRoutes = 500;
  static constexpr int kChangesPerTick = 10;

  fs::path folder;
  control_tables tables;
  steady_time now = steady_time{} + std::chrono::hours{ 1 };
  std::string routes;

  recovery_fixture()
  {
    SetLogLevel(log_level::eWarning);
    std::string name = (fs::temp_directory_path() / "bulrush-XXXXXX").string();
    folder = ::mkdtemp(name.data());
    for (int i = 0; i < kRoutes; ++i) {
      routes += routes.empty() ? "" : ",";
      routes += R"({"host":"north.example","path":"/)" + std::to_string(i) +
                "/" + std::string(100, 'p') + R"(","service":"s"})";
    }
    Start();
    last_reason reason;
    REQUIRE(BootstrapLog(
      tables.replicated->replica,
      { { tables.replicated->replica.self, member_kind::eVoter, kSelf } },
      reason));
    while (!tables.log.isLeader(now)) {
      Tick();
    }
  }
  ~recovery_fixture()
  {
    fs::remove_all(folder);
    SetLogLevel(log_level::eInfo);
  }
  recovery_fixture(const recovery_fixture&) = delete;
  recovery_fixture& operator=(const recovery_fixture&) = delete;

  void Start()
  {
    tables = {};
    tables.self.name = kSelf;
    tables.self.linkAddress = kSelf;
    tables.wallClock = [] { return wall_time{}; };
    replica_settings settings;
    settings.name = kSelf;
    last_reason reason;
    auto log = OpenLog(folder, settings, {}, now, reason);
    REQUIRE(log);
    tables.replicated = std::move(*log);
    tables.log = MakeReplicatedLog(*tables.replicated);
  }

  void Tick()
  {
    now += milliseconds{ 50 };
    control_outbox out;
    RunControl(tables, now, out);
    REQUIRE_FALSE(out.fatal);
  }

  void Change(int aCount)
  {
    for (int i = 1; i <= aCount; ++i) {
      const std::string number = std::to_string(i);
      apply_manifest change;
      change.text = R"({"name":"test","version":")" + number;
      change.text += R"(","number":)" + number;
      change.text += R"(,"failure_domains":[{"name":"north"}],"routes":[)";
      change.text += routes + "]}";
      fleet_command command;
      command.change = std::move(change);
      last_reason reason;
      REQUIRE(tables.log.propose(wire::EncodeCommand(command), reason));
      if (i % kChangesPerTick == 0) {
        Tick();
      }
    }
    Tick();
  }
};

// Guards against control processes that apply their whole history when they
// start, and neither vote nor answer until then.
TEST_CASE_METHOD(recovery_fixture,
                 "ControlProcess_AfterManyLargeChanges_StartsWithinASecond",
                 "[control]")
{
  constexpr int kChanges = 950;   // below the number of entries of a snapshot
  constexpr double kTarget = 0.3; // of a core, of which a second has so much
  Change(kChanges);
  const std::clock_t before = std::clock();
  Start();
  Tick();
  const double seconds =
    static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
  CHECK(tables.fleet.declared.number == kChanges);
  CHECK(seconds < kTarget);
}

// Guards against a log that keeps all large entries in memory.
TEST_CASE_METHOD(recovery_fixture,
                 "ControlProcess_AfterManyLargeChanges_KeepsFewOfThem",
                 "[control]")
{
  constexpr int kChanges = 950;
  constexpr std::size_t kMemory = 64UL * 1024 * 1024; // for all of control
  Change(kChanges);
  std::size_t bytes = 0;
  for (const log_entry& entry : tables.replicated->replica.entries) {
    bytes += entry.payload.size();
  }
  CHECK(bytes < kMemory);
}

} // namespace
} // namespace bulrush::control
