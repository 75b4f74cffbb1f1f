#include "simulated_fleet.hpp"

#include <catch2/catch.hpp>

namespace bulrush::control {
namespace {

using std::chrono::milliseconds;

/// Two control processes, of which control-0 leads, and a host that reports to
/// each.
struct delivery_fixture
{
  /// The shortest bound for a configuration or a leaving server to take effect.
  static constexpr milliseconds kBound{ 2'000 };
  simulated_fleet fleet{ 2, 2 };

  delivery_fixture()
  {
    fleet.ApplyManifest(1);
    fleet.Report("control-0", 1);
    fleet.Run(milliseconds{ 1'000 });
  }

  /// Loses all updates to host-0 in the next step in which there are any.
  void LoseNextUpdate()
  {
    fleet.isLost = [lostAt = std::optional<steady_time>(),
                    this](const simulated_message& aMessage) mutable {
      const bool isUpdate =
        aMessage.to == "host-0" &&
        std::holds_alternative<wire::host_update>(aMessage.body);
      if (isUpdate && !lostAt) {
        lostAt = fleet.now;
      }
      return isUpdate && lostAt == fleet.now;
    };
  }

  /// Passes time with reports of the endpoint, which keep it known.
  void RunWithReports(milliseconds aTime,
                      std::uint64_t aSequence,
                      bool aIsLeaving)
  {
    const steady_time end = fleet.now + aTime;
    while (fleet.now < end) {
      fleet.Report("control-0", ++aSequence, aIsLeaving);
      fleet.Run(milliseconds{ 500 });
    }
  }
};

TEST_CASE_METHOD(delivery_fixture,
                 "LeavingEndpoint_InALostUpdate_IsUsedNoLongerThanTheBound",
                 "[control]")
{
  REQUIRE(fleet.IsUsed("host-0"));
  LoseNextUpdate();
  fleet.Report("control-0", 2, true);
  RunWithReports(kBound, 2, true);
  CHECK_FALSE(fleet.IsUsed("host-0"));
}

TEST_CASE_METHOD(delivery_fixture,
                 "RemovedEndpoint_InALostUpdate_IsUsedNoLongerThanTheBound",
                 "[control]")
{
  LoseNextUpdate();
  CHECK(fleet.Deregister("control-0"));
  fleet.Run(kBound);
  CHECK_FALSE(fleet.IsUsed("host-0"));
}

// Reports come once a second, so the loss is tried at each phase.
TEST_CASE_METHOD(delivery_fixture,
                 "Configuration_InALostUpdate_IsInForceWithinTheBound",
                 "[control]")
{
  const int phase = GENERATE(range(0, 1'000, 50));
  INFO("phase " << phase);
  fleet.Run(milliseconds{ phase });
  LoseNextUpdate();
  fleet.ApplyManifest(2);
  fleet.Run(kBound);
  CHECK(fleet.NumberAt("host-0") == 2);
}

TEST_CASE_METHOD(delivery_fixture,
                 "Configuration_AtAProcessThatLagsBehind_IsSoughtElsewhere",
                 "[control]")
{
  fleet.controls["control-1"].lags = true;
  // Host-0 reports to the process that lags, also when the leader is back.
  fleet.controls["control-0"].isStopped = true;
  fleet.Run(milliseconds{ 4'000 });
  fleet.controls["control-0"].isStopped = false;
  fleet.ApplyManifest(2);
  fleet.Run(kBound);
  CHECK(fleet.NumberAt("host-0") == 2);
  CHECK(fleet.NumberAt("host-1") == 2);
}

TEST_CASE_METHOD(delivery_fixture,
                 "Removal_AtAProcessWithoutItsReports_EndsItsUse",
                 "[control]")
{
  // The endpoint reports to control-0, then calls control-1.
  fleet.Report("control-0", 2);
  fleet.Run(milliseconds{ 500 });
  CHECK(fleet.Deregister("control-1"));
  fleet.Run(kBound);
  CHECK_FALSE(fleet.IsUsed("host-0"));
  CHECK_FALSE(fleet.IsUsed("host-1"));
}

TEST_CASE_METHOD(delivery_fixture,
                 "Removal_AtAProcessThatDoesNotKnowIt_IsNotAcknowledged",
                 "[control]")
{
  // control-1 has just started and knows no endpoint.
  fleet.controls["control-1"].tables.endpoints.Clear();
  CHECK_FALSE(fleet.Deregister("control-1"));
  CHECK(fleet.Deregister("control-0"));
  fleet.Run(milliseconds{ 1'500 });
  CHECK(fleet.Deregister("control-1")); // by gossip
  CHECK_FALSE(fleet.IsUsed("host-0"));
  CHECK_FALSE(fleet.IsUsed("host-1"));
}

// Guards against a process that was started since an endpoint left, takes its
// late report for a new endpoint, and has hosts use it.
TEST_CASE_METHOD(delivery_fixture,
                 "RemovedEndpoint_WithALateReportAfterARestart_IsNeverUsed",
                 "[control]")
{
  const std::string confirming = GENERATE("control-0", "control-1");
  CHECK(fleet.Deregister(confirming));
  fleet.Run(milliseconds{ 500 });
  REQUIRE_FALSE(fleet.IsUsed("host-0"));
  fleet.RestartControl(confirming);
  fleet.Report(confirming, 1); // sent before, arrives late
  for (int step = 0; step < 300; ++step) {
    fleet.Run(simulated_fleet::kStep);
    REQUIRE_FALSE(fleet.IsUsed("host-0"));
    REQUIRE_FALSE(fleet.IsUsed("host-1"));
  }
}

// The host was started since, too, so only the control processes know.
TEST_CASE_METHOD(delivery_fixture,
                 "RemovedEndpoint_AtARestartedProcessAndHost_IsCorrectedAtOnce",
                 "[control]")
{
  constexpr milliseconds kSeveralMessages{ 60 };
  CHECK(fleet.Deregister("control-1"));
  fleet.Run(milliseconds{ 500 });
  fleet.RestartControl("control-1");
  fleet.RestartHost("host-1", 1);
  fleet.Report("control-1", 1);
  fleet.Run(kSeveralMessages);
  CHECK_FALSE(fleet.IsUsed("host-0"));
  CHECK_FALSE(fleet.IsUsed("host-1"));
  fleet.Run(kBound);
  CHECK_FALSE(fleet.IsUsed("host-1"));
}

TEST_CASE_METHOD(delivery_fixture,
                 "LeavingEndpoint_WithALateReportAfterARestart_IsNotUsed",
                 "[control]")
{
  constexpr milliseconds kSeveralMessages{ 60 };
  fleet.Report("control-1", 3, true);
  fleet.Run(milliseconds{ 500 });
  fleet.RestartControl("control-1");
  fleet.RestartHost("host-1", 1);
  fleet.Report("control-1", 2);
  fleet.Run(kSeveralMessages);
  CHECK_FALSE(fleet.IsUsed("host-0"));
  CHECK_FALSE(fleet.IsUsed("host-1"));
}

TEST_CASE_METHOD(delivery_fixture,
                 "RemovedEndpoint_InANewIncarnation_IsUsed",
                 "[control]")
{
  CHECK(fleet.Deregister("control-0"));
  fleet.Run(milliseconds{ 500 });
  endpoint_row row = simulated_fleet::Endpoint("engine", 1, false);
  row.incarnation = 2;
  row.lastSeen = fleet.now;
  fleet.controls["control-1"].tables.httpInbox.push_back(
    { http_call_id{ ++fleet.lastCall }, register_endpoint{ std::move(row) } });
  fleet.Run(milliseconds{ 200 });
  CHECK(fleet.IsUsed("host-0"));
  CHECK(fleet.IsUsed("host-1"));
}

// Guards against a removal that arrives late and takes the newer boot away.
TEST_CASE_METHOD(delivery_fixture,
                 "RestartedEndpoint_WhenItsFormerRemovalArrivesLate_IsUsed",
                 "[control]")
{
  endpoint_row row = simulated_fleet::Endpoint("engine", 1, false);
  row.incarnation = 2;
  row.lastSeen = fleet.now;
  fleet.controls["control-0"].tables.httpInbox.push_back(
    { http_call_id{ ++fleet.lastCall }, register_endpoint{ std::move(row) } });
  fleet.Run(milliseconds{ 200 });
  wire::host_update update;
  update.removedEndpoints = { { IdOf<endpoint_id>("engine"), 1, 9, true } };
  fleet.messages.push_back({ "control-1", "host-0", std::move(update) });
  fleet.Run(milliseconds{ 50 });
  CHECK(fleet.IsUsed("host-0"));
}

TEST_CASE_METHOD(delivery_fixture,
                 "RemovedEndpoint_WithALateReportElsewhere_IsNotRestored",
                 "[control]")
{
  CHECK(fleet.Deregister("control-0"));
  fleet.Run(milliseconds{ 500 });
  REQUIRE_FALSE(fleet.IsUsed("host-0"));
  fleet.Report("control-1", 2); // sent before, arrives late
  fleet.Run(milliseconds{ 500 });
  CHECK_FALSE(fleet.IsUsed("host-0"));
  CHECK_FALSE(fleet.IsUsed("host-1"));
}

TEST_CASE_METHOD(delivery_fixture,
                 "LeavingEndpoint_LostFromSightWithALateReport_IsNotRestored",
                 "[control]")
{
  fleet.Report("control-0", 5, true);
  fleet.Run(milliseconds{ 4'000 }); // silent: its reports are cut off
  REQUIRE_FALSE(fleet.IsUsed("host-0"));
  fleet.Report("control-0", 4); // sent before the fifth, arrives late
  fleet.Run(milliseconds{ 500 });
  CHECK_FALSE(fleet.IsUsed("host-0"));
  CHECK_FALSE(fleet.IsUsed("host-1"));
}

TEST_CASE_METHOD(delivery_fixture,
                 "Removal_OfAnEarlierRelease_IsApplied",
                 "[control]")
{
  wire::endpoint_gossip gossip;
  gossip.removedEndpoints = { { IdOf<endpoint_id>("engine") } };
  fleet.messages.push_back({ "control-1", "control-0", gossip });
  fleet.Run(milliseconds{ 100 });
  CHECK_FALSE(fleet.IsUsed("host-0"));
}

TEST_CASE_METHOD(delivery_fixture,
                 "SilentEndpoint_ThatReportsAgain_IsUsedAgain",
                 "[control]")
{
  fleet.Run(milliseconds{ 4'000 });
  REQUIRE_FALSE(fleet.IsUsed("host-0"));
  fleet.Report("control-1", 2);
  fleet.Run(milliseconds{ 1'500 });
  CHECK(fleet.IsUsed("host-0"));
  CHECK(fleet.IsUsed("host-1"));
}

} // namespace
} // namespace bulrush::control
