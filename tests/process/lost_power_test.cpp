#include "support/core_fleet.hpp"

#include <catch2/catch.hpp>

#include <thread>

namespace bulrush::test {
namespace {

using std::chrono::milliseconds;

/// Requests are served again, by the newest configuration, within this time
/// after the machines are back.
constexpr milliseconds kRecoveryTime{ 12'000 };
constexpr std::size_t kExchanges = 4;
constexpr int kLosses = 3;

/// Fifteen control processes in three failure domains and eight hosts, on disks
/// that lose what was not synced.
struct lost_power_fixture
{
  const std::vector<std::string> domains{ "north", "south", "west" };
  core_fleet running{ domains, 5, 8 };
  const unsigned seed = std::random_device{}();
  std::mt19937 random{ seed };

  void ExchangeControls()
  {
    for (std::size_t i = 0; i < kExchanges; ++i) {
      machine& control = running.controls[random() % running.controls.size()];
      control.program.reset();
      control.ip = running.NextIp();
      running.StartControl(control);
      running.Configure();
      std::this_thread::sleep_for(kContactTime);
    }
  }

  void CheckNoneReadsAnOlderOne() const
  {
    for (const machine& control : running.controls) {
      const auto number = running.ReadNumber(control);
      INFO(control.ip << '\n' << control.program->Log());
      CHECK(number.value_or(running.LastNumber()) == running.LastNumber());
    }
  }
};

// Guards against an acknowledged change that is lost, or followed by no host,
// after a loss of power of all machines and of the disks of one domain.
TEST_CASE_METHOD(lost_power_fixture,
                 "Configuration_WhenAllLosePowerAfterIt_IsInForceAgain",
                 "[process][core]")
{
  INFO("seed " << seed);
  running.Configure();
  ExchangeControls();
  for (int i = 0; i < kLosses; ++i) {
    INFO("loss " << i);
    running.Configure();
    running.LosePower(domains[random() % domains.size()]);
    running.StartAll(random);
    const auto end = std::chrono::steady_clock::now() + kRecoveryTime;
    for (const machine& host : running.hosts) {
      const auto left = end - std::chrono::steady_clock::now();
      const bool isInForce = WaitUntil(
        [&] { return running.NumberAt(host) == running.LastNumber(); },
        std::chrono::duration_cast<milliseconds>(left));
      INFO(host.ip << '\n' << (isInForce ? "" : host.program->Log()));
      CHECK(isInForce);
    }
    CheckNoneReadsAnOlderOne();
    running.Configure();
    std::this_thread::sleep_for(kContactTime);
  }
}

} // namespace
} // namespace bulrush::test
