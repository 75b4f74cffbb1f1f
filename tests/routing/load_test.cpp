#include "routing/routing_fixture.hpp"

#include <cmath>
#include <queue>

namespace bulrush::routing {
namespace {

using std::chrono::seconds;

/// Two equal endpoints whose load is known from different sources.
struct load_fixture : routing_fixture
{
  const endpoint_id kOne{ 1 };
  const endpoint_id kTwo{ 2 };

  load_fixture()
  {
    for (const std::uint64_t id : { 1, 2 }) {
      AddEndpoint(Facts(id));
      MarkWarm(id);
    }
  }

  const endpoint_row& Row(endpoint_id aId) const
  {
    return *engine.endpoints.Find(aId);
  }

  void Share(std::vector<endpoint_attempts> aSums)
  {
    ReportAttempts(engine);
    OnAttemptsOfAllHosts(engine, aSums, now);
  }
};

TEST_CASE_METHOD(load_fixture,
                 "Load_ThatNobodyTold_IsUnknownAndNotZero",
                 "[routing]")
{
  CHECK_FALSE(OthersLoad(Row(kOne)));
  Share({});
  REQUIRE(OthersLoad(Row(kOne)));
  CHECK(OthersLoad(Row(kOne))->inFlight == 0);
}

TEST_CASE_METHOD(load_fixture,
                 "Load_OfOtherHosts_IsTheSumWithoutTheOwnReport",
                 "[routing]")
{
  const start_attempt sent = Send(Request());
  Share({ { sent.endpoint, 6 } });
  CHECK(OthersLoad(Row(sent.endpoint))->inFlight == 5);
  Share({});
  CHECK(OthersLoad(Row(sent.endpoint))->inFlight == 0);
}

TEST_CASE_METHOD(load_fixture,
                 "Load_FromTwoSources_IsThatOfTheNewer",
                 "[routing]")
{
  Share({ { kOne, 4 } });
  now += milliseconds(100);
  OnEndpointLoad(engine, kOne, 9, now);
  CHECK(OthersLoad(Row(kOne))->inFlight == 9);
  now += milliseconds(100);
  Share({ { kOne, 2 } });
  CHECK(OthersLoad(Row(kOne))->inFlight == 2);
}

// A heartbeat without load says nothing of it.
TEST_CASE_METHOD(load_fixture,
                 "Load_AfterAHeartbeatWithoutIt_IsThatOfTheLastAnswer",
                 "[routing]")
{
  OnEndpointLoad(engine, kOne, 9, now);
  const steady_time toldAt = now;
  now += milliseconds(500);
  UpdateEndpoint(engine, Facts(1));
  REQUIRE(OthersLoad(Row(kOne)));
  CHECK(OthersLoad(Row(kOne))->inFlight == 9);
  CHECK(OthersLoad(Row(kOne))->at == toldAt);
}

TEST_CASE_METHOD(load_fixture,
                 "Load_AfterARestartOfTheEndpoint_IsUnknown",
                 "[routing]")
{
  OnEndpointLoad(engine, kOne, 9, now);
  Share({ { kOne, 9 } });
  endpoint_facts facts = Facts(1);
  facts.incarnation = 2;
  facts.allottedIncarnation = 2;
  UpdateEndpoint(engine, facts);
  CHECK_FALSE(OthersLoad(Row(kOne)));
}

TEST_CASE_METHOD(load_fixture,
                 "Choice_WhenOtherHostsUseAnEndpoint_IsTheOther",
                 "[routing]")
{
  Share({ { kOne, 7 } });
  for (int i = 0; i < 3; ++i) {
    CHECK(Send(Request()).endpoint == kTwo);
  }
}

/// A fleet, and the streams that arrive at it.
struct load_case
{
  int hosts = 0;
  int endpoints = 0;
  std::uint32_t slots = 0;
  double perSecond = 0;
};

/// Takes the best of all candidates, as the baseline.
std::size_t
PickBest(std::span<const candidate> aCandidates, random_engine& /*aRandom*/)
{
  const auto best =
    std::max_element(aCandidates.begin(),
                     aCandidates.end(),
                     [](const candidate& aLeft, const candidate& aRight) {
                       return aLeft.score < aRight.score;
                     });
  return static_cast<std::size_t>(best - aCandidates.begin());
}

/// Hosts before endpoints that tell no load: streams of exponential length
/// arrive at random hosts, and each endpoint runs all that it gets.
struct shared_load_fixture
{
  static constexpr milliseconds kStep{ 5 };
  static constexpr milliseconds kShareInterval{ 500 };
  static constexpr milliseconds kMeanStream{ 1'600 };

  struct load_result
  {
    double busiest = 0; ///< mean over time of the busiest endpoint / the mean
    double waiting = 0; ///< mean share of the streams above the slots
    double error = 0;   ///< mean of |estimate - true| of others, in requests
  };

  struct running_attempt
  {
    steady_time ends;
    int host;
    attempt_id attempt;

    bool operator<(const running_attempt& aOther) const
    {
      return ends > aOther.ends;
    }
  };

  static load_result Play(const load_case& aCase,
                          bool aShares,
                          const pick_hook& aPick = PickTwoRandom)
  {
    const model_id model = IdOf<model_id>("guide");
    steady_time now = steady_time{} + std::chrono::hours{ 1 };
    std::vector<tables> hosts;
    for (int host = 0; host < aCase.hosts; ++host) {
      hosts.emplace_back(options{ .seed = std::uint64_t(host) + 1 });
      hosts.back().policy.pick = aPick;
      for (int id = 1; id <= aCase.endpoints; ++id) {
        endpoint_facts facts;
        facts.id = endpoint_id{ std::uint64_t(id) };
        facts.incarnation = facts.allottedIncarnation = 1;
        facts.slots = facts.allottedSlots = aCase.slots;
        facts.reportsColdState = true;
        UpdateEndpoint(hosts.back(), facts);
        SetResidents(hosts.back(), facts.id, { { model, {}, 1 } });
      }
    }
    random_engine random(7);
    std::exponential_distribution<double> length(
      1.0 / static_cast<double>(kMeanStream.count()));
    std::poisson_distribution<int> arrivals(
      aCase.perSecond * std::chrono::duration<double>(kStep).count());
    std::priority_queue<running_attempt> running;
    std::vector<double> load(static_cast<std::size_t>(aCase.endpoints) + 1, 0);
    load_result result;
    int samples = 0;
    std::uint64_t lastRequest = 0;
    const steady_time begin = now;
    for (; now < begin + seconds{ 30 }; now += kStep) {
      for (; !running.empty() && running.top().ends <= now; running.pop()) {
        tables& host = hosts[static_cast<std::size_t>(running.top().host)];
        const auto* attempt = host.attempts.Find(running.top().attempt);
        load[attempt->endpoint.value] -= 1;
        OnAttemptBytes(host, attempt->id, 0, 1, true, now);
        OnAttemptEnd(host, attempt->id, attempt_end::eComplete, now);
        outbox out;
        Tick(host, now, out);
      }
      for (int i = arrivals(random); i > 0; --i) {
        const int at =
          static_cast<int>(random() % static_cast<unsigned>(aCase.hosts));
        tables& host = hosts[static_cast<std::size_t>(at)];
        request_facts facts;
        facts.id = request_id{ ++lastRequest };
        facts.model = model;
        facts.isStreamed = true;
        facts.deadline = now + seconds{ 60 };
        AddRequest(host, facts);
        outbox out;
        Tick(host, now, out);
        const start_attempt& sent = out.starts.at(0);
        load[sent.endpoint.value] += 1;
        OnAttemptHeaders(
          host, sent.attempt, { 200, sent.attempt, false, 0 }, now);
        running.push(
          { now + milliseconds(1 + int(length(random))), at, sent.attempt });
      }
      if (aShares && (now - begin) % kShareInterval == seconds{ 0 }) {
        ShareLoads(aCase, hosts, now);
      }
      if (now > begin + seconds{ 5 }) {
        Measure(aCase, hosts, load, result);
        ++samples;
      }
    }
    result.busiest /= samples;
    result.error /= samples;
    result.waiting /= samples;
    return result;
  }

  static void ShareLoads(const load_case& aCase,
                         std::vector<tables>& aHosts,
                         steady_time aNow)
  {
    std::vector<endpoint_attempts> sums;
    for (int id = 1; id <= aCase.endpoints; ++id) {
      sums.push_back({ endpoint_id{ std::uint64_t(id) }, 0 });
    }
    for (tables& host : aHosts) {
      for (const endpoint_attempts& own : ReportAttempts(host)) {
        sums[own.endpoint.value - 1].running += own.running;
      }
    }
    for (tables& host : aHosts) {
      OnAttemptsOfAllHosts(host, sums, aNow);
    }
  }

  static void Measure(const load_case& aCase,
                      const std::vector<tables>& aHosts,
                      const std::vector<double>& aLoad,
                      load_result& aResult)
  {
    double sum = 0;
    double most = 0;
    double waiting = 0;
    for (const double each : aLoad) {
      sum += each;
      waiting += std::max(0.0, each - aCase.slots);
      most = std::max(most, each);
    }
    aResult.busiest += most / std::max(1.0, sum / aCase.endpoints);
    aResult.waiting += waiting / std::max(1.0, sum);
    double error = 0;
    for (const endpoint_row& row : aHosts.front().endpoints) {
      const auto known = OthersLoad(row);
      const double others = aLoad[row.id.value] - row.inFlight;
      error += std::abs((known ? known->inFlight : 0.0) - others);
    }
    aResult.error += error / aCase.endpoints;
  }
};

TEST_CASE_METHOD(shared_load_fixture,
                 "SharedLoads_OfManyHosts_SpreadTheStreams",
                 "[routing]")
{
  const load_case played =
    GENERATE(load_case{ 66, 20, 32, 240 }, load_case{ 195, 20, 12, 80 });
  const load_result alone = Play(played, false);
  const load_result shared = Play(played, true);
  const load_result best = Play(played, true, PickBest);
  INFO(played.hosts << " hosts: alone " << alone.busiest << ", error "
                    << alone.error << "; shared " << shared.busiest
                    << ", error " << shared.error << "; the best of all "
                    << best.busiest << ", waiting " << best.waiting);
  CHECK(shared.error < alone.error / 4);
  CHECK(shared.busiest < alone.busiest);
  CHECK(shared.busiest < best.busiest);
  CHECK(shared.waiting < 0.01);
}

// Each of a few hosts sees much of the load itself.
TEST_CASE_METHOD(shared_load_fixture,
                 "SharedLoads_OfAFewHosts_DoNoHarm",
                 "[routing]")
{
  const load_case played =
    GENERATE(load_case{ 6, 9, 64, 240 }, load_case{ 6, 3, 64, 110 });
  const load_result alone = Play(played, false);
  const load_result shared = Play(played, true);
  INFO("alone " << alone.waiting << ", error " << alone.error << "; shared "
                << shared.waiting << ", error " << shared.error);
  CHECK(shared.error < alone.error / 4);
  CHECK(shared.waiting < alone.waiting + 0.01);
}

} // namespace
} // namespace bulrush::routing
