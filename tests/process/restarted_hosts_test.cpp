#include "support/core_fleet.hpp"
#include "support/route_probes.hpp"

#include <catch2/catch.hpp>

#include <sstream>
#include <thread>

namespace bulrush::test {
namespace {

using std::chrono::milliseconds;

/// Requests are served again, by the newest configuration, within this time
/// after the machines are back.
constexpr milliseconds kRecoveryTime{ 12'000 };
/// A control process whose disk is lost counts as lost for this long after its
/// start, and no other domain's disks are lost meanwhile.
constexpr milliseconds kCatchUpTime{ 4'000 };
constexpr int kLosses = 3;

/// Fifteen control processes in three failure domains and eight hosts, which
/// answer requests all the time.
struct restarted_hosts_fixture
{
  const std::vector<std::string> domains{ "north", "south", "west" };
  core_fleet running{ domains, 5, 8 };
  const unsigned seed = std::random_device{}();
  std::mt19937 random{ seed };
  std::unique_ptr<route_probes> probes;

  restarted_hosts_fixture()
  {
    running.configuration = ProbedConfiguration;
    probes = std::make_unique<route_probes>(
      running.ControlAddresses(), running.HostAddresses(), domains);
    running.Configure();
    REQUIRE(AllServe(net::Now()));
    std::this_thread::sleep_for(kCatchUpTime);
  }

  /// Whether each host has answered by the newest configuration a request that
  /// was sent after aFrom, within kRecoveryTime.
  bool AllServe(steady_time aFrom) const
  {
    return WaitUntil(
      [&] {
        std::vector<bool> serves(running.hosts.size(), false);
        for (const route_probe& probe : probes->Answered()) {
          serves[probe.host] =
            serves[probe.host] ||
            (probe.sentAt > aFrom &&
             probe.service == ProbedService(running.LastNumber()));
        }
        return std::ranges::all_of(serves, std::identity());
      },
      kRecoveryTime);
  }

  /// Requests sent after aFrom that a host handled by the configuration before
  /// the newest one.
  std::vector<route_probe> Outdated(steady_time aFrom) const
  {
    std::vector<route_probe> found;
    for (const route_probe& probe : probes->Answered()) {
      if (probe.sentAt > aFrom &&
          probe.service == ProbedService(running.LastNumber() - 1)) {
        found.push_back(probe);
      }
    }
    return found;
  }

  std::string Describe(const std::vector<route_probe>& aProbes,
                       steady_time aStartedAt) const
  {
    std::ostringstream text;
    for (const route_probe& probe : aProbes) {
      text << running.hosts[probe.host].ip << " after "
           << (probe.sentAt - aStartedAt) / milliseconds{ 1 } << " ms\n";
    }
    return text.str();
  }
};

// Guards against hosts that take, after a loss of power of all machines, the
// configuration before an acknowledged one.
TEST_CASE_METHOD(restarted_hosts_fixture,
                 "Hosts_StartedBeforeThereIsALeader_ServeNoOlderConfiguration",
                 "[process][core]")
{
  INFO("seed " << seed);
  for (int i = 0; i < kLosses; ++i) {
    INFO("loss " << i);
    running.Configure();
    const steady_time acknowledgedAt = net::Now();
    running.LosePower(domains[random() % domains.size()]);
    std::this_thread::sleep_for(acknowledgedAt + kApplyTime - net::Now());
    const steady_time startedAt = net::Now();
    running.StartAll(random);
    const bool isServed = AllServe(startedAt);
    INFO((isServed ? "" : running.ControlLogs()));
    CHECK(isServed);
    const std::vector<route_probe> outdated = Outdated(startedAt);
    INFO(Describe(outdated, startedAt));
    CHECK(outdated.empty());
    std::this_thread::sleep_for(startedAt + kCatchUpTime - net::Now());
  }
}

} // namespace
} // namespace bulrush::test
