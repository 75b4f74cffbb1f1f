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

// One host before one leader, without anything lost.
struct rates_fixture
{
  const resource kWhat = admission::RateOf(IdOf<workspace_id>("school"));
  steady_time now = steady_time{} + std::chrono::hours{ 1 };
  purse_tables host;
  pool_tables leader;

  rates_fixture()
  {
    SetPool(leader, kWhat, { 1'000 * kToken, 500 * kToken }, now);
    now += std::chrono::seconds{ 1 };
  }

  /// One tick of the host, in which a request wants aTokens.
  std::optional<payment> Want(std::int64_t aTokens)
  {
    purse_outbox out;
    RunAnswers(host, now, out);
    const auto paid = Pay(host, kWhat, aTokens * kToken, now);
    RunDraws(host, now, out);
    if (out.sent) {
      host.answers.push_back(Answer(leader, *out.sent, now));
    }
    return paid;
  }
};

TEST_CASE_METHOD(rates_fixture,
                 "Host_WhenShort_DrawsFromThePoolWhatARequestLacks",
                 "[rates]")
{
  CHECK_FALSE(Want(200));
  CHECK(Want(200));
  CHECK_FALSE(Want(200));
}

TEST_CASE_METHOD(rates_fixture,
                 "Host_WithAStandingPart_PaysFromItFirstAndWithoutADraw",
                 "[rates]")
{
  SetStanding(host, kWhat, { 100 * kToken, 50 * kToken }, now);
  now += std::chrono::seconds{ 1 };
  const auto paid = Want(40);
  REQUIRE(paid);
  CHECK(paid->standing == 40 * kToken);
  CHECK(paid->drawn == 0);
  CHECK(host.answers.empty());
}

TEST_CASE_METHOD(rates_fixture,
                 "Host_WhenBothPartsTogetherSuffice_PaysFromBoth",
                 "[rates]")
{
  SetStanding(host, kWhat, { 100 * kToken, 50 * kToken }, now);
  now += std::chrono::seconds{ 1 };
  CHECK_FALSE(Want(200));
  const auto paid = Want(200);
  REQUIRE(paid);
  CHECK(paid->standing == 50 * kToken);
  CHECK(paid->drawn == 150 * kToken);
}

TEST_CASE_METHOD(rates_fixture,
                 "DrawnTokens_WhenTheirLifeIsOver_AreNotUsed",
                 "[rates]")
{
  CHECK_FALSE(Want(200));
  now += LifeOf(kWhat);
  CHECK_FALSE(Want(200));
}

TEST_CASE_METHOD(rates_fixture,
                 "DrawnTokens_WhenGivenBack_LastNoLongerForIt",
                 "[rates]")
{
  CHECK_FALSE(Want(200));
  const auto paid = Want(200);
  REQUIRE(paid);
  now += LifeOf(kWhat) / 2;
  Return(host, *paid, 200 * kToken, now);
  CHECK(Available(host, kWhat, now) >= 200 * kToken);
  now += LifeOf(kWhat) / 2;
  CHECK(Available(host, kWhat, now) == 0);
}

TEST_CASE_METHOD(rates_fixture,
                 "Answer_WhenItComesTwiceOrToAnOlderDraw_GivesNothing",
                 "[rates]")
{
  CHECK_FALSE(Want(100));
  REQUIRE(host.answers.size() == 1);
  const drawn first = host.answers.front();
  host.answers.push_back(first);
  purse_outbox out;
  RunAnswers(host, now, out);
  CHECK(Available(host, kWhat, now) == first.rows[0].units);
  host.answers.push_back(first);
  RunAnswers(host, now, out);
  CHECK(Available(host, kWhat, now) == first.rows[0].units);
}

TEST_CASE_METHOD(rates_fixture,
                 "Draw_WithoutAnAnswer_IsGivenUpAndTheLeaderTakenForAway",
                 "[rates]")
{
  CHECK_FALSE(Want(100));
  host.answers.clear();
  now += host.settings.answerWithin;
  purse_outbox out;
  RunAnswers(host, now, out);
  CHECK_FALSE(host.isReachable);
  CHECK_FALSE(Want(100));
  CHECK(host.answers.size() == 1);
}

TEST_CASE_METHOD(rates_fixture,
                 "Pool_WhenEmpty_SaysWhenItHoldsWhatWasAskedFor",
                 "[rates]")
{
  const drawn all = Answer(leader, { 1, { { kWhat, 500 * kToken } } }, now);
  CHECK(all.rows[0].units == 500 * kToken);
  CHECK(all.rows[0].refillsIn.count() == 0);
  const drawn none = Answer(leader, { 2, { { kWhat, 100 * kToken } } }, now);
  CHECK(none.rows[0].units == 0);
  CHECK(none.rows[0].refillsIn == milliseconds{ 100 });
}

TEST_CASE_METHOD(rates_fixture,
                 "Pool_OfALimitThatIsNotDeclared_GivesNothing",
                 "[rates]")
{
  const resource other = admission::RateOf(IdOf<workspace_id>("dealer"));
  const drawn none = Answer(leader, { 1, { { other, kToken } } }, now);
  REQUIRE(none.rows.size() == 1);
  CHECK(none.rows[0].units == 0);
}

// Hosts, messages and leaders as they may be: delayed, lost, repeated,
// restarted, replaced.
struct rates_world
{
  static constexpr std::size_t kHosts = 4;
  static constexpr milliseconds kStep{ 10 };

  resource what;
  share pool;
  share standing; ///< of one host
  steady_time now = steady_time{} + std::chrono::hours{ 1 };
  std::array<purse_tables, kHosts> hosts;
  pool_tables leader;
  struct flying
  {
    steady_time at;
    std::size_t host = 0;
    std::variant<draw, drawn> body;
  };
  std::deque<flying> network;
  std::deque<std::pair<steady_time, std::int64_t>> used;

  void Begin()
  {
    SetPool(leader, what, pool, now);
    for (purse_tables& host : hosts) {
      SetStanding(host, what, standing, now);
    }
  }

  void Send(std::size_t aHost, const std::variant<draw, drawn>& aBody)
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
    std::deque<flying> due;
    std::erase_if(network, [&](flying& aEach) {
      if (aEach.at > now) {
        return false;
      }
      due.push_back(aEach);
      return true;
    });
    for (flying& each : due) {
      if (auto* asked = std::get_if<draw>(&each.body)) {
        Send(each.host, Answer(leader, *asked, now));
      } else {
        hosts[each.host].answers.push_back(std::get<drawn>(each.body));
      }
    }
  }

  void TickHost(std::size_t aHost, std::int64_t aUnits, int aRequests)
  {
    purse_outbox out;
    RunAnswers(hosts[aHost], now, out);
    for (int i = 0; i < aRequests; ++i) {
      NoteDemand(hosts[aHost], what, aUnits, now);
      const auto paid = Pay(hosts[aHost], what, aUnits, now);
      if (paid && *rc::gen::weightedElement<int>({ { 9, 0 }, { 1, 1 } }) == 1) {
        Return(hosts[aHost], *paid, aUnits, now);
      } else if (paid) {
        used.emplace_back(now, aUnits);
      }
    }
    RunDraws(hosts[aHost], now, out);
    if (out.sent) {
      Send(aHost, *out.sent);
    }
  }

  void Disturb()
  {
    const int kind =
      *rc::gen::weightedElement<int>({ { 60, 0 }, { 1, 1 }, { 1, 2 } });
    if (kind == 1) {
      leader = {}; // another one leads
      SetPool(leader, what, pool, now);
    } else if (kind == 2) {
      const auto host = *rc::gen::inRange<std::size_t>(0, kHosts);
      hosts[host] = {};
      SetStanding(hosts[host], what, standing, now);
    }
  }

  std::int64_t UsedWithin(std::chrono::nanoseconds aWindow)
  {
    std::int64_t sum = 0;
    for (const auto& [at, units] : used) {
      sum += at > now - aWindow ? units : 0;
    }
    return sum;
  }
};

// The bound is that of the limit, whatever the constants are.
TEST_CASE("Rates_OverAnyWindowWhateverIsLostOrRestarted_StayWithinTheTolerance",
          "[rates]")
{
  rc::prop("no window sees more than is tolerated", [] {
    rates_world world;
    const rate_tolerance tolerance{ std::chrono::seconds{ 2 }, 0.1, 740 };
    const double rate = *rc::gen::inRange(100, 5'000);
    const dealt_rate dealt = DealRate(tolerance, rate, rate);
    world.what = admission::RateOf(IdOf<workspace_id>("school"));
    world.pool = dealt.pool;
    world.standing = { dealt.standing.rate / 4, dealt.standing.size / 4 };
    world.Begin();
    const double most = (rate * 2 + rate) * 1.1 + 740;
    const std::int64_t units = *rc::gen::inRange(1, 400) * kToken;
    for (int step = 0; step < 500; ++step) {
      world.now += rates_world::kStep;
      world.Disturb();
      world.Deliver();
      for (std::size_t host = 0; host < rates_world::kHosts; ++host) {
        world.TickHost(host, units, *rc::gen::inRange(0, 4));
      }
      RC_ASSERT(static_cast<double>(world.UsedWithin(
                  std::chrono::seconds{ 2 })) <= most * kToken);
    }
  });
}

TEST_CASE("ColdEndpoint_OverAnySecondWhateverIsLost_GetsNoMoreThanItBears",
          "[rates]")
{
  rc::prop("no second sees more than half above the limit and five", [] {
    rates_world world;
    const double rate = *rc::gen::inRange(1, 60);
    world.what = ColdRateOf(endpoint_id{ 7 }, 1);
    world.pool = PoolOfColdEndpoint(rate);
    world.Begin();
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
