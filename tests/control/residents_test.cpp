#include "control/tables.hpp"

#include <catch2/catch.hpp>

namespace bulrush::control {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

const service_id kPool = IdOf<service_id>("engines");
const model_id kModel = IdOf<model_id>("engines/m");
const adapter_id kAdapter = IdOf<adapter_id>("engines/m/a1");
const endpoint_id kEngine = IdOf<endpoint_id>("engine");
/// Shortest interval between two rounds of residency decisions.
constexpr milliseconds kRoundInterval{ 10 };

// The leader with one engine that holds a model without its adapter.
struct residents_fixture
{
  control_tables tables;
  control_outbox out;
  steady_time now = steady_time{} + std::chrono::hours{ 1 };
  bool isLeader = true;
  std::uint64_t lastRequest = 0;

  residents_fixture()
  {
    tables.self.name = "control";
    tables.wallClock = [] { return wall_time{}; };
    tables.log.propose = [](const std::string&, last_reason&) {
      return std::optional<position_id>(position_id{ 1 });
    };
    tables.log.isLeader = [this](steady_time) { return isLeader; };
    tables.log.leaderTerm = [this](steady_time) {
      leader_term term;
      term.term = 1;
      term.holdsLease = isLeader;
      return std::optional<leader_term>(term);
    };
    tables.log.isCaughtUp = [](steady_time) { return true; };
    tables.log.leaderName = [] { return std::string("control"); };
    tables.log.term = [] { return std::uint64_t{ 1 }; };
    tables.residency.isEnabled = true;
    tables.residency.orderHandOver = milliseconds{ 0 };
    Declare();
    Announce();
    Run();
    AnswerState();
    Run();
    Run(kRoundInterval);
  }

  void Declare()
  {
    manifest& declared = tables.fleet.declared;
    service_row service;
    service.id = kPool;
    service.name = "engines";
    service.isEngine = true;
    service.memoryBytes = 100;
    declared.services.Insert(service);
    model_row model;
    model.id = kModel;
    model.name = "engines/m";
    model.bytes = 10;
    model.service = "engines";
    declared.models.Insert(model);
    declared.adapters.Insert({ kAdapter, "engines/m/a1", kModel, 1 });
    tables.fleet.revision = 1;
    tables.fleet.manifestRevision = 1;
  }

  // Announced from another failure domain, so that it does not expire.
  void Announce()
  {
    endpoint_row row;
    row.id = kEngine;
    row.name = "engine";
    row.address = "10.0.0.1:80";
    row.incarnation = 1;
    row.sequence = 1;
    row.services = { "engines" };
    row.residents = { { kModel, "", {} } };
    UpdateEndpoint(tables, row, false);
  }

  void AnswerState()
  {
    engine_answer answer;
    answer.engine = kEngine;
    answer.state = residency::engine_state{ 1, 0, false, { { kModel, {} } } };
    tables.residency.answers.push_back(answer);
  }

  void AnswerOrder(residency::order_answer aAnswer)
  {
    engine_answer answer;
    answer.engine = kEngine;
    answer.order = aAnswer;
    tables.residency.answers.push_back(answer);
  }

  void Receive(wire::message_body aBody)
  {
    received_message input;
    input.peer = "host";
    input.message.sender = "host";
    input.message.incarnation = 1;
    input.message.body = std::move(aBody);
    tables.inbox.push_back(std::move(input));
  }

  void RequestQuota()
  {
    rates::quota_request request;
    request.sequence = ++lastRequest;
    Receive(std::move(request));
  }

  void ReportWaiting()
  {
    wire::demand_report report;
    report.models.push_back({ kModel, kAdapter, 1, 1 });
    Receive(std::move(report));
  }

  void Run(std::chrono::nanoseconds aLater = milliseconds{ 0 })
  {
    now += aLater;
    out = {};
    RunControl(tables, now, out);
  }

  void RunAtWake()
  {
    REQUIRE(out.wake.at >= now);
    Run(out.wake.at - now);
  }
};

TEST_CASE_METHOD(residents_fixture,
                 "Residency_WithQuotaRequestsOnly_RunsOnceInAnInterval",
                 "[control]")
{
  constexpr int kTicks = 1'000;
  constexpr microseconds kSpacing{ 500 };
  const std::uint64_t before = tables.residency.rounds;
  for (int tick = 0; tick < kTicks; ++tick) {
    RequestQuota();
    Run(kSpacing);
  }
  const auto rounds = tables.residency.rounds - before;
  CHECK(rounds >= 1);
  // One more for the interval of the demand's moving average, which is 500 ms.
  CHECK(rounds <= kTicks * kSpacing / kRoundInterval + 1);
}

TEST_CASE_METHOD(residents_fixture,
                 "Adapter_WhenRequestedAfterAPause_IsOrderedInTheSameTick",
                 "[control]")
{
  ReportWaiting();
  Run(kRoundInterval);
  REQUIRE(out.engineOrders.size() == 1);
  CHECK(out.engineOrders[0].second.adapter == "engines/m/a1");
}

TEST_CASE_METHOD(residents_fixture,
                 "Adapter_WhenRequestedBetweenRounds_IsOrderedInTheNextRound",
                 "[control]")
{
  const steady_time lastRound = now;
  ReportWaiting();
  Run(milliseconds{ 1 });
  CHECK(out.engineOrders.empty());
  RunAtWake();
  REQUIRE(out.engineOrders.size() == 1);
  CHECK(now <= lastRound + kRoundInterval);
}

TEST_CASE_METHOD(residents_fixture,
                 "Adapter_WhenLoaded_IsPublishedWithoutWaitingForARound",
                 "[control]")
{
  ReportWaiting();
  Run(kRoundInterval);
  REQUIRE(out.engineOrders.size() == 1);
  AnswerOrder(residency::order_answer::eAccepted);
  Run(milliseconds{ 1 });
  const steady_time loadedAt =
    now + tables.residency.decisions.options.adapterLoadTime;
  const std::uint64_t serial = tables.residency.serial;
  while (now < loadedAt) {
    CHECK(tables.residency.serial == serial);
    RunAtWake();
  }
  CHECK(now == loadedAt);
  CHECK(tables.residency.serial == serial + 1);
}

TEST_CASE_METHOD(residents_fixture,
                 "Leader_WhenItLosesItsLeaseBetweenRounds_OrdersNothing",
                 "[control]")
{
  ReportWaiting();
  Run(milliseconds{ 1 });
  isLeader = false;
  Run(milliseconds{ 1 });
  CHECK_FALSE(tables.residency.decisions.mayOrder);
  Run(kRoundInterval);
  CHECK(out.engineOrders.empty());
  CHECK(out.stateQueries.empty());
}

TEST_CASE_METHOD(residents_fixture,
                 "Leader_WhenItRegainsItsLeaseBetweenRounds_QueriesAtOnce",
                 "[control]")
{
  isLeader = false;
  Run(milliseconds{ 1 });
  isLeader = true;
  Run(tables.residency.decisions.options.queryInterval);
  CHECK(out.stateQueries.size() == 1);
  isLeader = false;
  Run(milliseconds{ 1 });
  isLeader = true;
  tables.residency.decisions.engines.Find(kEngine)->nextQueryAt = now;
  Run(milliseconds{ 1 });
  CHECK(out.stateQueries.size() == 1);
}

TEST_CASE_METHOD(residents_fixture,
                 "Leader_WithoutMessages_DoesNotWakeForEachInterval",
                 "[control]")
{
  const steady_time end = now + std::chrono::seconds{ 1 };
  const std::uint64_t before = tables.residency.rounds;
  while (now < end) {
    RunAtWake();
  }
  CHECK(tables.residency.rounds - before <= 6);
}

} // namespace
} // namespace bulrush::control
