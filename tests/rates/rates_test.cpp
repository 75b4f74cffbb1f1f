#include "rates/rates.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <deque>
#include <variant>

namespace bulrush::rates {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kToken = admission::kUnitsPerToken;

// One host and one leader; no message is lost.
struct rates_fixture
{
  const resource kResource = admission::RateOf(IdOf<workspace_id>("school"));
  steady_time now = steady_time{} + std::chrono::hours{ 1 };
  quota_tables host;
  pool_tables leader;

  rates_fixture()
  {
    SetPool(leader, kResource, { 1'000 * kToken, 500 * kToken }, now);
    now += std::chrono::seconds{ 1 };
  }

  /// One tick of the host with a request that consumes aTokens.
  std::optional<consumed_quota> TickWithRequest(std::int64_t aTokens)
  {
    quota_outbox out;
    RunQuotaGrants(host, now, out);
    const auto consumed =
      TryConsumeQuota(host, kResource, aTokens * kToken, now);
    if (!consumed) {
      RecordWaiting(host, kResource, aTokens * kToken, now);
    }
    RunQuotaRequests(host, now, out);
    if (out.request) {
      host.grants.push_back(HandleQuotaRequest(leader, *out.request, now));
    }
    return consumed;
  }
};

TEST_CASE_METHOD(rates_fixture,
                 "Host_WithTooFewTokens_RequestsThemFromThePool",
                 "[rates]")
{
  CHECK_FALSE(TickWithRequest(200));
  CHECK(TickWithRequest(200));
  CHECK_FALSE(TickWithRequest(200));
}

TEST_CASE_METHOD(rates_fixture,
                 "Host_WithABaseline_ConsumesItFirstWithoutAQuotaRequest",
                 "[rates]")
{
  SetBaseline(host, kResource, { 100 * kToken, 50 * kToken }, now);
  now += std::chrono::seconds{ 1 };
  const auto consumed = TickWithRequest(40);
  REQUIRE(consumed);
  CHECK(consumed->baseline == 40 * kToken);
  CHECK(consumed->granted == 0);
  CHECK(host.grants.empty());
}

TEST_CASE_METHOD(rates_fixture,
                 "Host_WhenBaselineAndGrantTogetherSuffice_ConsumesBoth",
                 "[rates]")
{
  SetBaseline(host, kResource, { 100 * kToken, 50 * kToken }, now);
  now += std::chrono::seconds{ 1 };
  CHECK_FALSE(TickWithRequest(200));
  const auto consumed = TickWithRequest(200);
  REQUIRE(consumed);
  CHECK(consumed->baseline == 50 * kToken);
  CHECK(consumed->granted == 150 * kToken);
}

TEST_CASE_METHOD(rates_fixture,
                 "GrantedTokens_WhenExpired_AreNotUsed",
                 "[rates]")
{
  CHECK_FALSE(TickWithRequest(200));
  now += LifetimeOf(kResource);
  CHECK_FALSE(TickWithRequest(200));
}

TEST_CASE_METHOD(rates_fixture,
                 "GrantedTokens_WhenReturned_KeepTheirExpiry",
                 "[rates]")
{
  CHECK_FALSE(TickWithRequest(200));
  const auto consumed = TickWithRequest(200);
  REQUIRE(consumed);
  now += LifetimeOf(kResource) / 2;
  ReturnUnused(host, *consumed, 200 * kToken, now);
  CHECK(Available(host, kResource, now) >= 200 * kToken);
  now += LifetimeOf(kResource) / 2;
  CHECK(Available(host, kResource, now) == 0);
}

TEST_CASE_METHOD(rates_fixture,
                 "QuotaGrant_WhenRepeatedOrForAnOlderRequest_AddsNothing",
                 "[rates]")
{
  CHECK_FALSE(TickWithRequest(100));
  REQUIRE(host.grants.size() == 1);
  const quota_grant first = host.grants.front();
  host.grants.push_back(first);
  quota_outbox out;
  RunQuotaGrants(host, now, out);
  CHECK(Available(host, kResource, now) == first.rows[0].units);
  host.grants.push_back(first);
  RunQuotaGrants(host, now, out);
  CHECK(Available(host, kResource, now) == first.rows[0].units);
}

TEST_CASE_METHOD(
  rates_fixture,
  "QuotaRequest_WithoutAnAnswer_TimesOutAndMarksTheLeaderUnreachable",
  "[rates]")
{
  CHECK_FALSE(TickWithRequest(100));
  host.grants.clear();
  now += host.settings.answerTimeout;
  quota_outbox out;
  RunQuotaGrants(host, now, out);
  CHECK_FALSE(host.isReachable);
  CHECK_FALSE(TickWithRequest(100));
  CHECK(host.grants.size() == 1);
}

TEST_CASE_METHOD(rates_fixture,
                 "Pool_WhenEmpty_ReturnsTheTimeUntilItCoversTheRequest",
                 "[rates]")
{
  const quota_grant full =
    HandleQuotaRequest(leader, { 1, { { kResource, { 500 * kToken } } } }, now);
  CHECK(full.rows[0].units == 500 * kToken);
  CHECK(full.rows[0].refillsIn.count() == 0);
  const quota_grant none =
    HandleQuotaRequest(leader, { 2, { { kResource, { 200 * kToken } } } }, now);
  CHECK(none.rows[0].units == 0);
  CHECK(none.rows[0].refillsIn == milliseconds{ 200 });
}

TEST_CASE_METHOD(rates_fixture,
                 "Pool_WithTooFewTokensForAWaitingRequest_GrantsItNone",
                 "[rates]")
{
  const quota_grant grant = HandleQuotaRequest(
    leader, { 1, { { kResource, { 300 * kToken, 300 * kToken } } } }, now);
  CHECK(grant.rows[0].units == 300 * kToken);
  CHECK(grant.rows[0].refillsIn == milliseconds{ 100 });
}

TEST_CASE_METHOD(rates_fixture,
                 "Pool_LessThanHalfFull_GrantsNothingAhead",
                 "[rates]")
{
  const quota_grant grant = HandleQuotaRequest(
    leader, { 1, { { kResource, { 200 * kToken }, 400 * kToken } } }, now);
  CHECK(grant.rows[0].units == 250 * kToken);
}

TEST_CASE_METHOD(rates_fixture,
                 "Host_WithRareRequests_RequestsNothingAhead",
                 "[rates]")
{
  RecordDemand(host, kResource, 100 * kToken, now);
  CHECK_FALSE(TickWithRequest(100));
  CHECK(TickWithRequest(100));
  now += std::chrono::seconds{ 1 };
  quota_outbox out;
  RunQuotaRequests(host, now, out);
  CHECK_FALSE(out.request);
}

TEST_CASE_METHOD(rates_fixture,
                 "Pool_OfAnUndeclaredLimit_GrantsNothing",
                 "[rates]")
{
  const resource other = admission::RateOf(IdOf<workspace_id>("dealer"));
  const quota_grant none =
    HandleQuotaRequest(leader, { 1, { { other, { kToken } } } }, now);
  REQUIRE(none.rows.size() == 1);
  CHECK(none.rows[0].units == 0);
}

// Hosts and a leader over a network that delays, loses and repeats messages.
// Hosts restart; the leader is replaced.
struct rates_world
{
  static constexpr std::size_t kHosts = 4;
  static constexpr milliseconds kStep{ 10 };

  resource limitedResource;
  share pool;
  share baseline; ///< of one host
  steady_time now = steady_time{} + std::chrono::hours{ 1 };
  std::array<quota_tables, kHosts> hosts;
  pool_tables leader;
  struct network_message
  {
    steady_time at;
    std::size_t host = 0;
    std::variant<quota_request, quota_grant> body;
  };
  std::deque<network_message> network;
  std::deque<std::pair<steady_time, std::int64_t>> usage;

  void SetUp()
  {
    SetPool(leader, limitedResource, pool, now);
    for (quota_tables& host : hosts) {
      SetBaseline(host, limitedResource, baseline, now);
    }
  }

  void Send(std::size_t aHost,
            const std::variant<quota_request, quota_grant>& aBody)
  {
    const int copies =
      *rc::gen::weightedElement<int>({ { 1, 0 }, { 8, 1 }, { 1, 2 } });
    for (int i = 0; i < copies; ++i) {
      const int delay = *rc::gen::weightedElement<int>(
        { { 8, 0 }, { 3, 10 }, { 1, 60 }, { 1, 300 } });
      network.push_back({ now + milliseconds{ delay }, aHost, aBody });
    }
  }

  void Deliver()
  {
    std::deque<network_message> due;
    std::erase_if(network, [&](network_message& aEach) {
      if (aEach.at > now) {
        return false;
      }
      due.push_back(aEach);
      return true;
    });
    for (network_message& each : due) {
      if (auto* request = std::get_if<quota_request>(&each.body)) {
        Send(each.host, HandleQuotaRequest(leader, *request, now));
      } else {
        hosts[each.host].grants.push_back(std::get<quota_grant>(each.body));
      }
    }
  }

  void TickHost(std::size_t aHost, std::int64_t aUnits, int aRequests)
  {
    quota_outbox out;
    RunQuotaGrants(hosts[aHost], now, out);
    for (int i = 0; i < aRequests; ++i) {
      RecordDemand(hosts[aHost], limitedResource, aUnits, now);
      const auto consumed =
        TryConsumeQuota(hosts[aHost], limitedResource, aUnits, now);
      if (consumed &&
          *rc::gen::weightedElement<int>({ { 9, 0 }, { 1, 1 } }) == 1) {
        ReturnUnused(hosts[aHost], *consumed, aUnits, now);
      } else if (consumed) {
        usage.emplace_back(now, aUnits);
      } else {
        RecordWaiting(hosts[aHost], limitedResource, aUnits, now);
      }
    }
    RunQuotaRequests(hosts[aHost], now, out);
    if (out.request) {
      Send(aHost, *out.request);
    }
  }

  void InjectFault()
  {
    const int kind =
      *rc::gen::weightedElement<int>({ { 60, 0 }, { 1, 1 }, { 1, 2 } });
    if (kind == 1) {
      leader = {}; // leader change
      SetPool(leader, limitedResource, pool, now);
    } else if (kind == 2) {
      const auto host = *rc::gen::inRange<std::size_t>(0, kHosts);
      hosts[host] = {};
      SetBaseline(hosts[host], limitedResource, baseline, now);
    }
  }

  std::int64_t UsedWithin(std::chrono::nanoseconds aWindow)
  {
    std::int64_t sum = 0;
    for (const auto& [at, units] : usage) {
      sum += at > now - aWindow ? units : 0;
    }
    return sum;
  }
};

// The expected bound is computed from the limit and the tolerance alone, not
// from the constants of the implementation.
TEST_CASE("Rates_UnderMessageLossAndRestarts_StayWithinTheToleranceInAnyWindow",
          "[rates]")
{
  rc::prop("no window exceeds the tolerated tokens", [] {
    rates_world world;
    const rate_tolerance tolerance{ std::chrono::seconds{ 2 }, 0.1, 740 };
    // The higher rates have a baseline.
    const double rate = *rc::gen::element(200, 1'000, 5'000, 25'000, 40'000);
    const split_rate split =
      SplitRate(tolerance, rate, rate, rates_world::kHosts);
    RC_CLASSIFY(split.baseline.rate > 0, "with baseline");
    world.limitedResource = admission::RateOf(IdOf<workspace_id>("school"));
    world.pool = split.pool;
    world.baseline = { split.baseline.rate / 4, split.baseline.size / 4 };
    world.SetUp();
    const double maxTokens = (rate * 2 + rate) * 1.1 + 740;
    const std::int64_t units = *rc::gen::inRange(1, 400) * kToken;
    for (int step = 0; step < 500; ++step) {
      world.now += rates_world::kStep;
      world.InjectFault();
      world.Deliver();
      for (std::size_t host = 0; host < rates_world::kHosts; ++host) {
        world.TickHost(host, units, *rc::gen::inRange(0, 4));
      }
      RC_ASSERT(static_cast<double>(world.UsedWithin(
                  std::chrono::seconds{ 2 })) <= maxTokens * kToken);
    }
  });
}

TEST_CASE("ColdEndpoint_UnderMessageLoss_StaysWithinItsLimitInAnySecond",
          "[rates]")
{
  rc::prop("no second exceeds 1.5 times the limit plus 5", [] {
    rates_world world;
    const double rate = *rc::gen::inRange(1, 60);
    world.limitedResource = ColdRateOf(endpoint_id{ 7 }, 1);
    world.pool = PoolOfColdEndpoint(rate);
    world.SetUp();
    for (int step = 0; step < 500; ++step) {
      world.now += rates_world::kStep;
      world.Deliver();
      for (std::size_t host = 0; host < rates_world::kHosts; ++host) {
        world.TickHost(host, kToken, *rc::gen::inRange(0, 3));
      }
      RC_ASSERT(static_cast<double>(world.UsedWithin(
                  std::chrono::seconds{ 1 })) <= (rate * 1.5 + 5) * kToken);
    }
  });
}

} // namespace
} // namespace bulrush::rates
