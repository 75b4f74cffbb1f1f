#include "rates/rates.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <random>

namespace bulrush::rates {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kToken = admission::kUnitsPerToken;

/// Requests of one workspace arrive at random hosts of a fleet. A message takes
/// one step. Requests wait in order of arrival at their host.
struct fleet_fixture
{
  static constexpr milliseconds kStep{ 5 };
  static constexpr milliseconds kMaxWait{ 62 };
  static constexpr std::chrono::seconds kWarmUp{ 5 };
  static constexpr std::int64_t kSmallestRequest = 600;
  static constexpr std::int64_t kLargestRequest = 2'000;

  struct waiting_request
  {
    std::int64_t units = 0;
    steady_time arrivedAt;
  };
  struct host_row
  {
    quota_tables quotas;
    std::deque<waiting_request> waiting;
    std::optional<quota_grant> grant; ///< arrives in the next step
  };

  const resource kResource = admission::RateOf(IdOf<workspace_id>("school"));
  const rate_tolerance kTolerance{ std::chrono::seconds{ 8 }, 0.1, 7'400 };
  std::mt19937_64 random{ 20261204 };
  steady_time now = steady_time{} + std::chrono::hours{ 1 };
  std::vector<host_row> hosts;
  pool_tables leader;
  double rate = 0;               ///< tokens/s; the burst is as many tokens
  admission::token_bucket ideal; ///< one bucket of the declared rate and burst
  std::int64_t asked = 0;
  std::int64_t refused = 0;
  std::int64_t refusedByIdeal = 0;
  std::int64_t servedUnits = 0;
  std::deque<std::pair<steady_time, std::int64_t>> usage; ///< of one window
  std::int64_t windowUnits = 0;
  std::int64_t mostInWindow = 0;

  void SetUp(std::size_t aHosts, double aRate)
  {
    rate = aRate;
    const auto units = static_cast<std::int64_t>(aRate * kToken);
    ideal.share = { units, units };
    ideal.level = units;
    ideal.filledAt = now;
    hosts.resize(aHosts);
    const split_rate split =
      SplitRate(kTolerance, rate, rate, static_cast<std::uint32_t>(aHosts));
    SetPool(leader, kResource, split.pool, now);
    const auto count = static_cast<std::int64_t>(aHosts);
    for (host_row& host : hosts) {
      SetBaseline(host.quotas,
                  kResource,
                  { split.baseline.rate / count, split.baseline.size / count },
                  now);
    }
  }

  void RecordUse(std::int64_t aUnits)
  {
    usage.emplace_back(now, aUnits);
    windowUnits += aUnits;
    while (usage.front().first <= now - kTolerance.window) {
      windowUnits -= usage.front().second;
      usage.pop_front();
    }
    mostInWindow = std::max(mostInWindow, windowUnits);
  }

  void Arrive(double aDemand, bool aCounts)
  {
    const double meanUnits =
      kToken * (kSmallestRequest + kLargestRequest) / 2.0;
    const std::chrono::duration<double> step = kStep;
    std::poisson_distribution<int> count(aDemand * rate * kToken / meanUnits *
                                         step.count());
    std::uniform_int_distribution<std::size_t> host(0, hosts.size() - 1);
    std::uniform_int_distribution<std::int64_t> tokens(kSmallestRequest,
                                                       kLargestRequest);
    for (int left = count(random); left > 0; --left) {
      const std::int64_t units = tokens(random) * kToken;
      host_row& chosen = hosts[host(random)];
      RecordDemand(chosen.quotas, kResource, units, now);
      chosen.waiting.push_back({ units, now });
      const bool isOwed = admission::TryConsume(ideal, units, now);
      asked += aCounts ? 1 : 0;
      refusedByIdeal += aCounts && !isOwed ? 1 : 0;
    }
  }

  void TickHost(host_row& aHost, bool aCounts)
  {
    quota_outbox out;
    if (aHost.grant) {
      aHost.quotas.grants.push_back(*std::exchange(aHost.grant, std::nullopt));
    }
    RunQuotaGrants(aHost.quotas, now, out);
    std::deque<waiting_request> waiting;
    for (const waiting_request& request : aHost.waiting) {
      const bool mayWait = now < request.arrivedAt + kMaxWait;
      const bool isBehind = mayWait && !waiting.empty();
      if (!isBehind &&
          TryConsumeQuota(aHost.quotas, kResource, request.units, now)) {
        RecordUse(request.units);
        servedUnits += aCounts ? request.units : 0;
      } else if (mayWait) {
        RecordWaiting(aHost.quotas, kResource, request.units, now);
        waiting.push_back(request);
      } else {
        refused += aCounts ? 1 : 0;
      }
    }
    aHost.waiting = std::move(waiting);
    RunQuotaRequests(aHost.quotas, now, out);
    if (out.request) {
      aHost.grant = HandleQuotaRequest(leader, *out.request, now);
    }
  }

  /// Plays aTime with a demand of aDemand times the rate.
  void Play(std::chrono::seconds aTime, double aDemand)
  {
    const steady_time countedFrom = now + kWarmUp;
    for (const steady_time end = now + aTime; now < end; now += kStep) {
      Arrive(aDemand, now >= countedFrom);
      for (host_row& host : hosts) {
        TickHost(host, now >= countedFrom);
      }
    }
  }

  double RefusedMoreThanIdeal() const
  {
    return static_cast<double>(refused - refusedByIdeal) /
           static_cast<double>(asked);
  }

  double ServedPerSecond(std::chrono::seconds aTime) const
  {
    const std::chrono::duration<double> counted = aTime - kWarmUp;
    return static_cast<double>(servedUnits) / kToken / counted.count();
  }

  double TolerableUnits() const
  {
    const std::chrono::duration<double> window = kTolerance.window;
    return kToken * ((rate * window.count() + rate) * (1 + kTolerance.overage) +
                     kTolerance.slackTokens);
  }
};

// Owed is what one bucket of the declared rate and burst admits. The tolerance
// is never exceeded.
TEST_CASE_METHOD(fleet_fixture,
                 "Workspace_WithinItsRateOnManyHosts_IsHardlyRefused",
                 "[rates]")
{
  const auto count = GENERATE(std::size_t{ 8 }, 80, 410);
  const double tokensPerSecond =
    GENERATE(12'000.0, 40'000.0, 100'000.0, 225'000.0);
  SetUp(count, tokensPerSecond);
  Play(std::chrono::seconds{ 65 }, 0.8);
  INFO(count << " hosts, " << tokensPerSecond << " tokens/s");
  CHECK(RefusedMoreThanIdeal() <= 0.01);
  CHECK(static_cast<double>(mostInWindow) <= TolerableUnits());
}

TEST_CASE_METHOD(fleet_fixture,
                 "Workspace_FarOverItsRateOnManyHosts_IsServedItsRate",
                 "[rates]")
{
  const auto count = GENERATE(std::size_t{ 8 }, 80, 410);
  const double tokensPerSecond =
    GENERATE(12'000.0, 40'000.0, 100'000.0, 225'000.0);
  SetUp(count, tokensPerSecond);
  Play(std::chrono::seconds{ 65 }, 6.0);
  INFO(count << " hosts, " << tokensPerSecond << " tokens/s");
  CHECK(ServedPerSecond(std::chrono::seconds{ 65 }) >= tokensPerSecond);
  CHECK(static_cast<double>(mostInWindow) <= TolerableUnits());
}

} // namespace
} // namespace bulrush::rates
