#include "control/tables.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>

namespace bulrush::control {
namespace {

namespace fs = std::filesystem;
using std::chrono::milliseconds;

/// A control process with a log of three members, whose peers are silent.
struct log_fixture
{
  static constexpr const char* kSelf = "10.0.0.1:7100";

  fs::path folder;
  control_tables tables;
  steady_time now = steady_time{} + std::chrono::hours{ 1 };
  std::size_t hellos = 0;

  log_fixture()
  {
    std::string name = (fs::temp_directory_path() / "bulrush-XXXXXX").string();
    folder = ::mkdtemp(name.data());
    tables.self.name = kSelf;
    tables.self.linkAddress = kSelf;
    tables.wallClock = [] { return wall_time{}; };
    last_reason reason;
    replica_settings settings;
    settings.name = kSelf;
    auto log = OpenLog(
      folder, settings, { "10.0.0.2:7100", "10.0.0.3:7100" }, now, reason);
    REQUIRE(log);
    tables.replicated = std::move(*log);
    tables.replicated->hasDynamicMembers = true;
    tables.log = MakeReplicatedLog(*tables.replicated);
    membership members{
      { tables.replicated->replica.self, member_kind::eVoter, kSelf },
      { replica_id{ 2 }, member_kind::eVoter, "10.0.0.2:7100" },
      { replica_id{ 3 }, member_kind::eVoter, "10.0.0.3:7100" }
    };
    REQUIRE(BootstrapLog(tables.replicated->replica, members, reason));
  }
  ~log_fixture() { fs::remove_all(folder); }
  log_fixture(const log_fixture&) = delete;
  log_fixture& operator=(const log_fixture&) = delete;

  void Run(milliseconds aTime)
  {
    for (const steady_time end = now + aTime; now < end;
         now += milliseconds{ 50 }) {
      control_outbox out;
      RunControl(tables, now, out);
      for (const outgoing_message& message : out.messages) {
        hellos += std::holds_alternative<wire::replica_hello>(message.body);
      }
    }
  }
};

TEST_CASE_METHOD(log_fixture,
                 "ControlProcess_WithoutALeader_NamesNoLeader",
                 "[control]")
{
  Run(milliseconds{ 100 });
  CHECK(tables.log.leaderName().empty());
}

TEST_CASE_METHOD(log_fixture, "Member_WithoutALeader_SendsHellos", "[control]")
{
  Run(milliseconds{ 3'000 });
  CHECK(hellos > 0);
}

} // namespace
} // namespace bulrush::control
