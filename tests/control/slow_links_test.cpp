#include "simulated_fleet.hpp"

#include <catch2/catch.hpp>

namespace bulrush::control {
namespace {

using std::chrono::milliseconds;

/// Six control processes and hosts with links of 10 Mbit/s, on which a
/// configuration of kRoutes routes takes about a second.
struct slow_link_fixture
{
  static constexpr milliseconds kBound{ 2'500 };
  static constexpr std::uint64_t kBytesPerSecond = 1'250'000;
  static constexpr int kRoutes = 4'300;
  simulated_fleet fleet{ 6, 3 };
  std::uint64_t sequence = 0;

  slow_link_fixture()
  {
    fleet.ApplyManifest(1);
    fleet.Report("control-0", ++sequence);
    fleet.Run(milliseconds{ 1'000 });
    fleet.hostBytesPerSecond = kBytesPerSecond;
  }

  /// Passes time with reports of the endpoint, which keep it known.
  void Run(milliseconds aTime, bool aIsLeaving = false)
  {
    constexpr milliseconds kReportInterval{ 500 };
    for (milliseconds past{ 0 }; past < aTime; past += kReportInterval) {
      fleet.Report("control-0", ++sequence, aIsLeaving);
      fleet.Run(kReportInterval);
    }
  }
};

// Guards against configurations that are sent again by each process that a host
// turns to while its link is busy with the first copy.
TEST_CASE_METHOD(slow_link_fixture,
                 "Configuration_ThatFillsALink_IsSentOnce",
                 "[control]")
{
  fleet.ApplyManifest(2, kRoutes);
  Run(kBound);
  for (const auto& [name, host] : fleet.hosts) {
    INFO(name << ", " << host.linkBytes << " bytes");
    CHECK(fleet.NumberAt(name) == 2);
    CHECK(host.linkBytes < 3 * kBytesPerSecond / 2);
  }
}

TEST_CASE_METHOD(slow_link_fixture,
                 "LeavingEndpoint_BesideLargeConfigurations_IsNotUsed",
                 "[control]")
{
  const int phase = GENERATE(range(0, 3'000, 500));
  INFO("leaves after " << phase << " ms");
  fleet.ApplyManifest(2, kRoutes);
  Run(milliseconds{ 1'000 });
  fleet.ApplyManifest(3, kRoutes);
  Run(milliseconds{ phase });
  Run(kBound, true);
  for (const auto& [name, host] : fleet.hosts) {
    INFO(name << ", " << host.linkBytes << " bytes");
    CHECK_FALSE(fleet.IsUsed(name));
  }
}

// A host gets one configuration whole before it gets the next.
TEST_CASE_METHOD(slow_link_fixture,
                 "Configurations_FasterThanALink_ReachHostsAllTheSame",
                 "[control]")
{
  int number = 1;
  for (int i = 0; i < 20; ++i) {
    fleet.ApplyManifest(++number, kRoutes);
    Run(milliseconds{ 500 });
  }
  const auto lag = static_cast<std::uint64_t>(kBound / milliseconds{ 500 });
  for (const auto& [name, host] : fleet.hosts) {
    INFO(name << ", " << host.linkBytes << " bytes");
    CHECK(fleet.NumberAt(name) + lag >= 21);
  }
}

TEST_CASE_METHOD(slow_link_fixture,
                 "Configuration_WhoseSenderIsLost_ComesFromAnother",
                 "[control]")
{
  fleet.ApplyManifest(2, kRoutes);
  fleet.Run(milliseconds{ 400 });
  fleet.controls["control-1"].isStopped = true;
  Run(kBound);
  CHECK(fleet.NumberAt("host-1") == 2);
}

} // namespace
} // namespace bulrush::control
