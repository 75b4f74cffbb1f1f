#include "process/model_fleet_fixture.hpp"

#include <csignal>

namespace bulrush::test {
namespace {

constexpr std::chrono::milliseconds kCalmTime{ 4'000 };
constexpr std::chrono::milliseconds kCrashTime{ 12'000 };
/// What a host knows may be this old (contactMs of the platform).
constexpr std::chrono::milliseconds kContactTime{ 3'000 };
/// Requests with a part under which five servers ended that may still be sent.
constexpr std::size_t kMaxLaterArrivals = 3;
constexpr std::size_t kEndsOfAPart = 5;
constexpr std::size_t kServers = 24;
constexpr double kRequestsPerSecond = 40;

/// Where a server that crashes is in its answer, and the share of requests that
/// crash servers.
struct crash_case
{
  bool sendsHead;
  double share;
};

/// Servers that a part of prompts crashes, and what came of it.
struct crashing_prompts_fixture : model_fleet_fixture
{
  steady_time calmFrom;
  steady_time crashFrom;

  void BeginCrashes(const crash_case& aCase)
  {
    model_server_options options;
    options.count = kServers;
    options.sendsHead = aCase.sendsHead;
    AddServers(options);
    calmFrom = net::Now();
    SendFor(kCalmTime, kRequestsPerSecond, 0);
    crashFrom = net::Now();
    servers->CrashOn(kCrashingPart);
  }

  void CheckBounds()
  {
    const steady_time end = net::Now();
    const auto& crashes = servers->Crashes();
    REQUIRE_FALSE(crashes.empty());
    const steady_time last =
      crashes[std::min(crashes.size(), kEndsOfAPart) - 1];
    const std::size_t later =
      servers->ArrivalsOf(kCrashingPart, last + kContactTime);
    const double before = ShareWhole(calmFrom, crashFrom - kContactTime / 2);
    const double after =
      ShareWhole(last + 2 * kContactTime, end - kContactTime);
    std::ostringstream figures;
    figures << "ends " << crashes.size() << ", arrivals of the part "
            << servers->ArrivalsOf(kCrashingPart, crashFrom) << ", later than "
            << "3 s after the fifth end " << later << ", whole before "
            << before << ", after " << after;
    WARN(figures.str());
    CHECK((crashes.size() < kEndsOfAPart || later <= kMaxLaterArrivals));
    CHECK(before > 0.9);
    CHECK(after >= before / 2);
  }
};

TEST_CASE_METHOD(crashing_prompts_fixture,
                 "Servers_WhenAPromptPartCrashesThem_GetAtMostThreeMoreOfIt",
                 "[process][crash]")
{
  const auto tried =
    GENERATE(crash_case{ false, 0.2 }, crash_case{ true, 0.05 });
  BeginCrashes(tried);
  SendFor(kCrashTime, kRequestsPerSecond, tried.share);
  CheckBounds();
}

// The hosts of one failure domain lose its control process, another control
// process ends, and a host starts again, which knows nothing by itself.
TEST_CASE_METHOD(crashing_prompts_fixture,
                 "Servers_CrashedByAPartWhileControlFails_GetAtMostThreeMore",
                 "[process][crash]")
{
  BeginCrashes({ true, 0.05 });
  running.controls[2]->Signal(SIGSTOP);
  SendFor(std::chrono::milliseconds{ 500 }, kRequestsPerSecond, 0.05);
  running.controls[0]->Signal(SIGKILL);
  SendFor(std::chrono::milliseconds{ 3'500 }, kRequestsPerSecond, 0.05);
  running.entries[1]->Signal(SIGKILL);
  running.entries[1]->Wait();
  running.controls[0]->Wait();
  running.StartControl(0);
  running.StartEntry(1);
  SendFor(kCrashTime, kRequestsPerSecond, 0.05);
  running.controls[2]->Signal(SIGCONT);
  CheckBounds();
}

} // namespace
} // namespace bulrush::test
