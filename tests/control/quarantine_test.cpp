#include "simulated_fleet.hpp"

#include <catch2/catch.hpp>

namespace bulrush::control {
namespace {

using std::chrono::milliseconds;

/// Three control processes, and hosts that observe crashes under a part.
struct quarantine_fixture
{
  /// The shortest time within which what hosts know has to be in force.
  static constexpr milliseconds kBound{ 3'000 };
  const part_id kBad{ 0xbad };
  simulated_fleet fleet{ 3, 6 };

  quarantine_fixture()
  {
    fleet.ApplyManifest(1);
    fleet.Run(milliseconds{ 1'500 });
  }

  void Crash(const std::string& aHost, std::uint64_t aEndpoint)
  {
    quarantine::RecordCrash(fleet.hosts[aHost].prompts,
                            { endpoint_id{ aEndpoint }, 1, fleet.now },
                            std::vector<part_id>{ kBad });
  }

  /// Each process that ends is seen by another host.
  void CrashAtDifferentHosts()
  {
    for (std::uint64_t i = 0; i < 3; ++i) {
      Crash("host-" + std::to_string(i), i + 1);
    }
  }

  bool Refuses(const std::string& aHost)
  {
    return quarantine::Judge(
             fleet.hosts[aHost].prompts,
             std::vector<part_id>{ kBad },
             false,
             [](part_id) { return false; },
             fleet.now + milliseconds{ 600 })
             .kind == quarantine::verdict_kind::eRefuse;
  }

  int Refusing()
  {
    int count = 0;
    for (const auto& [name, host] : fleet.hosts) {
      count += Refuses(name) ? 1 : 0;
    }
    return count;
  }
};

TEST_CASE_METHOD(quarantine_fixture,
                 "Crashes_SeenByDifferentHosts_QuarantineThePartAtAll",
                 "[control][quarantine]")
{
  CrashAtDifferentHosts();
  fleet.Run(milliseconds{ 200 });
  CHECK(Refusing() == 6);
}

TEST_CASE_METHOD(quarantine_fixture,
                 "Quarantine_WhenEveryFirstMessageIsLost_ReachesAll",
                 "[control][quarantine]")
{
  fleet.isLost = [until = fleet.now + milliseconds{ 300 },
                  this](const simulated_message&) { return fleet.now < until; };
  CrashAtDifferentHosts();
  fleet.Run(kBound);
  CHECK(Refusing() == 6);
}

TEST_CASE_METHOD(quarantine_fixture,
                 "Quarantine_WhenAControlProcessStops_ReachesAll",
                 "[control][quarantine]")
{
  fleet.controls["control-1"].isStopped = true;
  CrashAtDifferentHosts();
  fleet.Run(kBound);
  CHECK(Refusing() == 6);
}

TEST_CASE_METHOD(quarantine_fixture,
                 "Quarantine_WhenTheLeaderStartsAgain_IsKept",
                 "[control][quarantine]")
{
  CrashAtDifferentHosts();
  fleet.Run(milliseconds{ 200 });
  fleet.RestartControl(fleet.Leader());
  fleet.Run(kBound);
  CHECK(Refusing() == 6);
}

TEST_CASE_METHOD(quarantine_fixture,
                 "Host_ThatStarts_KnowsTheQuarantine",
                 "[control][quarantine]")
{
  CrashAtDifferentHosts();
  fleet.Run(milliseconds{ 200 });
  fleet.RestartHost("host-4");
  REQUIRE_FALSE(Refuses("host-4"));
  fleet.Run(kBound);
  CHECK(Refuses("host-4"));
}

TEST_CASE_METHOD(quarantine_fixture,
                 "Quarantine_WhenAllControlProcessesStartAgain_IsKept",
                 "[control][quarantine]")
{
  CrashAtDifferentHosts();
  fleet.Run(milliseconds{ 200 });
  for (const char* name : { "control-0", "control-1", "control-2" }) {
    fleet.RestartControl(name);
  }
  fleet.Run(kBound);
  fleet.RestartHost("host-5");
  fleet.Run(kBound);
  CHECK(Refusing() == 6);
}

TEST_CASE_METHOD(quarantine_fixture,
                 "Part_WithAnAnswerAtOneHost_IsFreeAtAll",
                 "[control][quarantine]")
{
  CrashAtDifferentHosts();
  fleet.Run(milliseconds{ 200 });
  quarantine::RecordAnswer(
    fleet.hosts["host-3"].prompts, std::vector<part_id>{ kBad }, fleet.now);
  fleet.Run(milliseconds{ 200 });
  CHECK(Refusing() == 0);
}

TEST_CASE_METHOD(quarantine_fixture,
                 "Evidence_ThatAllHave_CausesNoFurtherMessages",
                 "[control][quarantine]")
{
  CrashAtDifferentHosts();
  fleet.Run(milliseconds{ 2'000 });
  const std::uint64_t before =
    fleet.controls["control-1"].tables.quarantined.serial;
  fleet.Run(milliseconds{ 5'000 });
  CHECK(fleet.controls["control-1"].tables.quarantined.serial == before);
}

// "engine" is the endpoint whose reports the fixture sends.
TEST_CASE_METHOD(quarantine_fixture,
                 "Endpoint_ThatReportsOnAfterItsCrash_DoesNotCount",
                 "[control][quarantine]")
{
  fleet.Report("control-1", 1);
  CrashAtDifferentHosts();
  Crash("host-3", IdOf<endpoint_id>("engine").value);
  fleet.Run(milliseconds{ 200 });
  auto& control = fleet.controls["control-0"].tables.quarantined;
  REQUIRE(control.suspects.Find(kBad)->crashes.size() == 4);
  fleet.Run(control.settings.checkInDelay);
  fleet.Report("control-1", 2);
  fleet.Run(milliseconds{ 200 });
  CHECK(control.suspects.Find(kBad)->crashes.size() == 3);
}

} // namespace
} // namespace bulrush::control
