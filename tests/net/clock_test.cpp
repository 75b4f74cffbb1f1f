#include "net/net.hpp"

#include <catch2/catch.hpp>

#include <ctime>

#include <sys/syscall.h>
#include <unistd.h>

namespace {

/// By which CLOCK_BOOTTIME runs ahead of the other clocks of this program.
std::chrono::seconds gSuspended{ 0 };

} // namespace

// Takes the place of the C library's function in this program.
extern "C" int
clock_gettime(clockid_t aClock, timespec* aTime)
{
  const long result = ::syscall(SYS_clock_gettime, aClock, aTime);
  if (aClock == CLOCK_BOOTTIME) {
    aTime->tv_sec += gSuspended.count();
  }
  return static_cast<int>(result);
}

namespace bulrush::net {
namespace {

using std::chrono::milliseconds;

/// A machine that can be suspended.
struct clock_fixture
{
  asio::io_context context;

  clock_fixture() { gSuspended = std::chrono::seconds{ 0 }; }
  ~clock_fixture() { gSuspended = std::chrono::seconds{ 0 }; }
  clock_fixture(const clock_fixture&) = delete;
  clock_fixture& operator=(const clock_fixture&) = delete;
};

// The lease of a leader, of a host and of a quota all end by this clock.
TEST_CASE_METHOD(clock_fixture,
                 "Time_WhileTheMachineIgSuspended_Passes",
                 "[net]")
{
  const steady_time before = Now();
  gSuspended = std::chrono::seconds{ 5 };
  CHECK(Now() - before >= std::chrono::seconds{ 5 });
}

TEST_CASE_METHOD(clock_fixture,
                 "Tick_DueDuringASuspension_RunsSoonAfterIt",
                 "[net]")
{
  std::vector<steady_time> ticks;
  tick_timer timer(context, [&](steady_time aNow) {
    ticks.push_back(aNow);
    wake_time wake;
    if (ticks.size() == 1) {
      gSuspended = std::chrono::seconds{ 5 };
      wake.NoLaterThan(aNow + std::chrono::seconds{ 3 });
    }
    return wake;
  });
  timer.RunSoon();
  context.run_for(milliseconds{ 200 });
  REQUIRE(ticks.size() == 2);
  CHECK(ticks[1] - ticks[0] >= std::chrono::seconds{ 5 });
}

TEST_CASE_METHOD(clock_fixture, "Tick_DueAtTheEarliestTime_RunsAtOnce", "[net]")
{
  int ticks = 0;
  tick_timer timer(context, [&](steady_time) {
    wake_time wake;
    if (++ticks == 1) {
      wake.NoLaterThan(steady_time::min());
    }
    return wake;
  });
  timer.RunSoon();
  context.run_for(milliseconds{ 50 });
  CHECK(ticks == 2);
}

} // namespace
} // namespace bulrush::net
