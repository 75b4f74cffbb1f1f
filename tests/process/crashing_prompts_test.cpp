#include "process/model_fleet_fixture.hpp"

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

TEST_CASE_METHOD(model_fleet_fixture,
                 "Servers_WhenAPromptPartCrashesThem_GetAtMostThreeMoreOfIt",
                 "[process][crash]")
{
  const auto tried =
    GENERATE(crash_case{ false, 0.2 }, crash_case{ true, 0.05 });
  model_server_options options;
  options.count = kServers;
  options.sendsHead = tried.sendsHead;
  AddServers(options);
  const steady_time calmFrom = net::Now();
  SendFor(kCalmTime, kRequestsPerSecond, 0);
  const steady_time crashFrom = net::Now();
  servers->CrashOn(kCrashingPart);
  SendFor(kCrashTime, kRequestsPerSecond, tried.share);
  const steady_time end = net::Now();
  const auto& crashes = servers->Crashes();
  REQUIRE_FALSE(crashes.empty());
  const steady_time last = crashes[std::min(crashes.size(), kEndsOfAPart) - 1];
  const std::size_t later =
    servers->ArrivalsOf(kCrashingPart, last + kContactTime);
  const double before = ShareWhole(calmFrom, crashFrom - kContactTime / 2);
  const double after = ShareWhole(last + 2 * kContactTime, end - kContactTime);
  std::ostringstream figures;
  figures << "ends " << crashes.size() << ", arrivals of the part "
          << servers->ArrivalsOf(kCrashingPart, crashFrom) << ", later than "
          << "3 s after the fifth end " << later << ", whole before " << before
          << ", after " << after;
  WARN(figures.str());
  CHECK((crashes.size() < kEndsOfAPart || later <= kMaxLaterArrivals));
  CHECK(before > 0.9);
  CHECK(after >= before / 2);
}

} // namespace
} // namespace bulrush::test
