#include "support/core_fleet.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

namespace bulrush::test {
namespace {

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

/// For control processes that were lost to be members of the log again, and for
/// hosts to spread over them.
constexpr milliseconds kRecoverTime{ 5'000 };
constexpr std::size_t kLosses = 6;

/// Fifteen control processes in three failure domains, of which nine vote. With
/// so many, hosts are in touch also while some of them are lost.
struct lost_controls_fixture
{
  core_fleet running{ { "north", "south", "west" }, 5, 8 };

  /// All control processes of the first failure domain from aDomain on that the
  /// leader is not in.
  std::vector<const machine*> DomainWithoutLeader(std::size_t aDomain) const
  {
    const std::string leader = running.LeaderIp(running.controls.front());
    const std::size_t domains = 3;
    std::vector<const machine*> found;
    for (std::size_t i = 0; i < domains && found.empty(); ++i) {
      const std::string& domain =
        running.controls[(aDomain + i) % domains].domain;
      for (const machine& control : running.controls) {
        if (control.domain == domain) {
          found.push_back(&control);
        }
      }
      if (std::ranges::any_of(found, [&](const machine* aControl) {
            return aControl->ip == leader;
          })) {
        found.clear();
      }
    }
    return found;
  }

  std::vector<const machine*> AllBut(
    const std::vector<const machine*>& aLost) const
  {
    std::vector<const machine*> rest;
    for (const machine& control : running.controls) {
      if (std::ranges::find(aLost, &control) == aLost.end()) {
        rest.push_back(&control);
      }
    }
    return rest;
  }

  static void SignalAll(const std::vector<const machine*>& aMachines,
                        int aSignal)
  {
    for (const machine* each : aMachines) {
      each->program->Signal(aSignal);
    }
  }

  bool IsInForce(const machine& aHost) const
  {
    return running.NumberAt(aHost) == running.LastNumber();
  }

  /// Until kApplyTime after aAcknowledgedAt.
  void CheckAllHosts(clock::time_point aAcknowledgedAt) const
  {
    for (const machine& host : running.hosts) {
      const auto left = aAcknowledgedAt + kApplyTime - clock::now();
      const bool isInTime =
        WaitUntil([&] { return IsInForce(host); },
                  std::chrono::duration_cast<milliseconds>(left));
      INFO("host " << host.ip << '\n' << (isInTime ? "" : host.program->Log()));
      CHECK(isInTime);
    }
  }
};

// Guards against hosts that try one control process after another, once they
// have lost theirs.
TEST_CASE_METHOD(lost_controls_fixture,
                 "Hosts_WhenControlProcessesOfADomainAreSilent_FollowInTime",
                 "[process][core]")
{
  running.Configure();
  for (std::size_t i = 0; i < kLosses; ++i) {
    std::this_thread::sleep_for(kRecoverTime);
    INFO("loss " << i);
    const std::vector<const machine*> lost = DomainWithoutLeader(i);
    SignalAll(lost, SIGSTOP);
    running.Configure(AllBut(lost));
    CheckAllHosts(clock::now());
    SignalAll(lost, SIGCONT);
  }
}

} // namespace
} // namespace bulrush::test
