#include "simulated_fleet.hpp"

#include <catch2/catch.hpp>

#include <random>

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

TEST_CASE_METHOD(slow_link_fixture,
                 "ConfigurationInParts_WithLostUpdates_IsInForceInTheEnd",
                 "[control]")
{
  const auto seed = static_cast<unsigned>(GENERATE(range(1, 6)));
  INFO("seed " << seed);
  std::mt19937 random(seed);
  constexpr unsigned kLostOneIn = 15;
  fleet.isLost = [&](const simulated_message& aMessage) {
    return fleet.hosts.contains(aMessage.to) && random() % kLostOneIn == 0;
  };
  fleet.ApplyManifest(2, kRoutes);
  Run(4 * kBound);
  for (const auto& [name, host] : fleet.hosts) {
    CHECK(fleet.NumberAt(name) == 2);
  }
}

TEST_CASE_METHOD(slow_link_fixture,
                 "ConfigurationInParts_AtAHostThatStartsAgain_BeginsAgain",
                 "[control]")
{
  fleet.ApplyManifest(2, kRoutes);
  fleet.Run(milliseconds{ 500 });
  fleet.RestartHost("host-0");
  Run(kBound);
  CHECK(fleet.NumberAt("host-0") == 2);
}

TEST_CASE_METHOD(slow_link_fixture,
                 "ConfigurationInParts_WithADamagedPart_IsSentAgain",
                 "[control]")
{
  bool isDamaged = false;
  fleet.change = [&](simulated_message& aMessage) {
    auto* update = std::get_if<wire::host_update>(&aMessage.body);
    if (update != nullptr && update->part && !isDamaged) {
      update->part->bytes.front() ^= 1;
      isDamaged = true;
    }
  };
  fleet.ApplyManifest(2, kRoutes);
  Run(2 * kBound);
  CHECK(isDamaged);
  for (const auto& [name, host] : fleet.hosts) {
    CHECK(fleet.NumberAt(name) == 2);
  }
}

// Guards against a sender that makes a host keep more than it has memory for.
TEST_CASE_METHOD(slow_link_fixture,
                 "ConfigurationInParts_AboveTheLimit_IsNotKept",
                 "[control]")
{
  fleet.change = [](simulated_message& aMessage) {
    auto* update = std::get_if<wire::host_update>(&aMessage.body);
    if (update != nullptr && update->part) {
      update->part->totalBytes = std::uint64_t{ 1 } << 40U;
    }
  };
  fleet.ApplyManifest(2, kRoutes);
  Run(kBound);
  CHECK(fleet.hosts["host-0"].tables.incoming.bytes.empty());
}

// Hosts of an earlier release state no progress.
TEST_CASE_METHOD(slow_link_fixture,
                 "LargeConfiguration_ForAHostWithoutParts_IsSentWhole",
                 "[control]")
{
  fleet.change = [](simulated_message& aMessage) {
    if (auto* report = std::get_if<wire::host_report>(&aMessage.body)) {
      report->incoming.reset();
    }
    if (auto* update = std::get_if<wire::host_update>(&aMessage.body)) {
      update->part.reset();
    }
  };
  fleet.hostBytesPerSecond *= 10;
  fleet.ApplyManifest(2, kRoutes);
  Run(kBound);
  CHECK(fleet.NumberAt("host-0") == 2);
}

} // namespace
} // namespace bulrush::control
