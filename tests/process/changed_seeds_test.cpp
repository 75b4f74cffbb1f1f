#include "support/core_fleet.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

namespace bulrush::test {
namespace {

/// A machine counts as lost until its successor has run for this long, and one
/// at a time may be lost.
constexpr std::chrono::milliseconds kCatchUpTime{ 4'000 };

/// Three control processes that are all exchanged while one host is suspended,
/// so that each address that the host knows is gone when it runs on.
struct changed_seeds_fixture
{
  core_fleet running{ { "north", "south", "west" }, 1, 3 };
  machine& suspended = running.hosts.front();

  void ExchangeAll()
  {
    running.Configure();
    suspended.program->Signal(SIGSTOP);
    for (machine& control : running.controls) {
      running.Exchange(control);
      running.Configure();
      std::this_thread::sleep_for(kCatchUpTime);
    }
    suspended.program->Signal(SIGCONT);
  }

  void CheckItFollows() const
  {
    std::this_thread::sleep_for(kContactTime);
    INFO(suspended.program->Log());
    CHECK(running.NumberAt(suspended) == running.LastNumber());
  }
};

// Guards against a host that reads its seeds only at its start: it served by
// its last configuration for good.
TEST_CASE_METHOD(changed_seeds_fixture,
                 "Host_WhenSuspendedWhileTheCoreIsExchanged_FollowsInTime",
                 "[process][core]")
{
  ExchangeAll();
  suspended.program->Signal(SIGHUP);
  CheckItFollows();
}

TEST_CASE_METHOD(changed_seeds_fixture,
                 "Host_WhenItsSeedsChangeWithoutASignal_FollowsInTime",
                 "[process][core]")
{
  ExchangeAll();
  CheckItFollows();
}

} // namespace
} // namespace bulrush::test
