#include "support/core_fleet.hpp"

#include <catch2/catch.hpp>

#include <thread>

namespace bulrush::test {
namespace {

constexpr std::size_t kExchanges = 12;

/// Three control processes, and hosts that know only these first three.
struct exchanged_core_fixture
{
  core_fleet running{ { "north", "south", "west" }, 1, 8 };

  void CheckAllHosts() const
  {
    for (const machine& host : running.hosts) {
      const int number = running.NumberAt(host);
      INFO(
        "host " << host.ip << " at " << number << " of " << running.LastNumber()
                << '\n'
                << (number < running.LastNumber() ? host.program->Log() : ""));
      CHECK(number == running.LastNumber());
    }
  }
};

// Guards against hosts that look for a control process among those that are
// gone: they ran an older configuration for seconds, or for good.
TEST_CASE_METHOD(exchanged_core_fixture,
                 "Hosts_WhenTheCoreIsExchangedAgainAndAgain_FollowInTime",
                 "[process][core]")
{
  running.Configure();
  for (std::size_t i = 0; i < kExchanges; ++i) {
    INFO("exchange " << i);
    machine& control = running.controls[i % running.controls.size()];
    control.program.reset();
    const auto exchangedAt = std::chrono::steady_clock::now();
    control.ip = running.NextIp();
    running.StartControl(control);
    running.Configure();
    const auto acknowledgedAt = std::chrono::steady_clock::now();
    std::this_thread::sleep_until(
      std::max(exchangedAt + kContactTime, acknowledgedAt + kApplyTime));
    CheckAllHosts();
  }
}

} // namespace
} // namespace bulrush::test
