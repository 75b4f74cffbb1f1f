#include "placement/fleet_simulation.hpp"

#include <catch2/catch.hpp>

namespace bulrush::placement {
namespace {

/// The life of single orders, step by step, and the memory reserved for them.
struct orders_fixture
{
  fleet_simulation fleet;

  static model_row Model(std::uint64_t aId, std::uint64_t aGigabytes)
  {
    model_row model;
    model.id = model_id{ aId };
    model.version = 1;
    model.bytes = aGigabytes * kGigabyte;
    return model;
  }

  tables& Leader() { return fleet.replicas[fleet.leader]; }

  void Start(std::vector<model_row> aModels)
  {
    for (tables& replica : fleet.replicas) {
      replica.options.copyLifetime = std::chrono::milliseconds::max();
    }
    fleet.models = std::move(aModels);
    fleet.ApplyManifest();
    fleet.ChangeLeader(0);
  }

  void ReportAll()
  {
    for (simulated_engine& engine : fleet.engines) {
      fleet.reports.push_back(engine.Report());
    }
    while (!fleet.reports.empty()) {
      fleet.DeliverReport(0);
    }
  }

  void CommitAll()
  {
    while (!fleet.proposals.empty()) {
      fleet.CommitOne();
    }
  }

  /// Delivers reports, ticks and commits; orders and answers stay in flight.
  void ControlOnly(std::size_t aSteps)
  {
    for (std::size_t i = 0; i < aSteps; ++i) {
      ReportAll();
      fleet.Advance(std::chrono::milliseconds{ 500 });
      CommitAll();
      fleet.Tick();
    }
  }

  std::uint64_t Reserved(std::uint64_t aEngine)
  {
    return ReservedBytes(Leader(), endpoint_id{ aEngine }) / kGigabyte;
  }
};

TEST_CASE_METHOD(orders_fixture,
                 "Order_BeforeItIsCommitted_IsNotSentButReservesMemory",
                 "[placement]")
{
  fleet.AddEngine(1, 1, 4 * kGigabyte, false);
  Start({ Model(1, 3) });
  for (int i = 0; i < 20; ++i) {
    ReportAll();
    fleet.Advance(std::chrono::milliseconds{ 500 });
  }
  REQUIRE_FALSE(fleet.proposals.empty());
  CHECK(fleet.copies.empty());
  CHECK(Reserved(1) == 3);
  CommitAll();
  fleet.Tick();
  CHECK(fleet.copies.size() == 1);
}

TEST_CASE_METHOD(orders_fixture,
                 "Order_WithoutAnOutcome_IsResentAndNoOtherIsCreated",
                 "[placement]")
{
  fleet.AddEngine(1, 1, 8 * kGigabyte, false);
  Start({ Model(1, 3), Model(2, 2) });
  ControlOnly(60);
  REQUIRE(fleet.copies.size() >= 3);
  for (const copy_in_flight& copy : fleet.copies) {
    CHECK(copy.order.id == fleet.copies.front().order.id);
  }
  // The retry interval doubles from 1 s: about 5 copies in 30 s.
  CHECK(fleet.copies.size() <= 6);
}

TEST_CASE_METHOD(
  orders_fixture,
  "Order_WhoseModelIsWithdrawn_IsSettledBeforeTheUnloadIsCreated",
  "[placement]")
{
  fleet.AddEngine(1, 1, 8 * kGigabyte, false);
  Start({ Model(1, 3) });
  ControlOnly(10);
  REQUIRE_FALSE(fleet.copies.empty());
  fleet.models.clear();
  fleet.ApplyManifest();
  ControlOnly(20);
  for (const copy_in_flight& copy : fleet.copies) {
    CHECK(copy.order.kind == order_kind::eLoadModel);
  }
  fleet.RunWithoutFaults(60);
  CHECK(fleet.engines[0].residents.empty());
  CHECK(fleet.violations.empty());
}

TEST_CASE_METHOD(orders_fixture,
                 "Unload_NotYetConfirmed_KeepsItsMemoryReserved",
                 "[placement]")
{
  fleet.AddEngine(1, 1, 8 * kGigabyte, false);
  Start({ Model(1, 3) });
  fleet.RunWithoutFaults(30);
  REQUIRE(Reserved(1) == 3);
  fleet.models.clear();
  fleet.ApplyManifest();
  ControlOnly(4);
  REQUIRE_FALSE(fleet.copies.empty());
  REQUIRE(fleet.copies.front().order.kind == order_kind::eUnloadModel);
  // The engine has unloaded the model, but its report does not name the order
  // yet.
  fleet.engines[0].residents.clear();
  ControlOnly(2);
  CHECK(Reserved(1) == 3);
  fleet.RunWithoutFaults(10);
  CHECK(Reserved(1) == 0);
}

TEST_CASE_METHOD(orders_fixture,
                 "Copy_ThatMayStillArrive_KeepsMemoryReservedAfterTheUnload",
                 "[placement]")
{
  fleet.AddEngine(1, 1, 4 * kGigabyte, false);
  Start({ Model(1, 3) });
  ControlOnly(12);
  REQUIRE(fleet.copies.size() >= 2);
  const copy_in_flight late = fleet.copies.front();
  fleet.copies.erase(fleet.copies.begin());
  fleet.RunWithoutFaults(4);
  REQUIRE(fleet.engines[0].residents.size() == 1);
  fleet.models = { Model(2, 3) };
  fleet.ApplyManifest();
  fleet.RunWithoutFaults(60);
  CHECK(Reserved(1) == 3);
  fleet.copies.push_back(late);
  fleet.RunWithoutFaults(60);
  CHECK(fleet.violations.empty());
  // The last copy was answered, so that its memory is free for the new model.
  CHECK(fleet.CopiesOf(fleet.models[0]) == 1);
}

TEST_CASE_METHOD(orders_fixture,
                 "Answer_BeforeTheReportWithItsEffects_FreesNoMemory",
                 "[placement]")
{
  fleet.AddEngine(1, 1, 8 * kGigabyte, false);
  Start({ Model(1, 3) });
  ControlOnly(12);
  REQUIRE(fleet.copies.size() >= 2);
  const order_id order = fleet.copies.front().order.id;
  fleet.DeliverCopy(0);
  ReportAll();
  fleet.Tick();
  CommitAll();
  const order_row* row = Leader().orders.Find(order);
  REQUIRE(row != nullptr);
  REQUIRE(row->state == order_state::eDone);
  while (!fleet.copies.empty()) {
    fleet.DeliverCopy(0);
  }
  while (!fleet.answers.empty()) {
    fleet.DeliverAnswer(0);
  }
  fleet.Tick();
  CommitAll();
  CHECK(Leader().orders.Find(order) != nullptr);
  ReportAll();
  fleet.Tick();
  CommitAll();
  CHECK(Leader().orders.Find(order) == nullptr);
}

TEST_CASE_METHOD(orders_fixture,
                 "Order_AcceptedByTheEngine_IsResentLateAndClosedWhenDone",
                 "[placement]")
{
  fleet.AddEngine(1, 1, 8 * kGigabyte, false);
  Start({ Model(1, 3) });
  ControlOnly(7);
  REQUIRE(fleet.copies.size() == 1);
  const order_id order = fleet.copies.front().order.id;
  OnOrderAccepted(Leader(), order, 1);
  ControlOnly(40);
  REQUIRE(fleet.copies.size() == 1);
  fleet.DeliverCopy(0);
  ControlOnly(2);
  CHECK(Leader().orders.Find(order) == nullptr);
}

TEST_CASE_METHOD(orders_fixture,
                 "Order_WhoseSecondCopyIsAccepted_StaysInTheLedger",
                 "[placement]")
{
  fleet.AddEngine(1, 1, 8 * kGigabyte, false);
  Start({ Model(1, 3) });
  ControlOnly(10);
  REQUIRE(fleet.copies.size() == 2);
  const order_id order = fleet.copies.front().order.id;
  OnOrderAccepted(Leader(), order, 1);
  OnOrderAccepted(Leader(), order, 1);
  fleet.DeliverCopy(0);
  ControlOnly(4);
  REQUIRE(Leader().orders.Find(order) != nullptr);
  CHECK(Leader().orders.Find(order)->state == order_state::eDone);
}

TEST_CASE_METHOD(orders_fixture,
                 "Copies_OfAnEarlierTerm_AreNeverCountedAsAnswered",
                 "[placement]")
{
  fleet.AddEngine(1, 1, 8 * kGigabyte, false);
  Start({ Model(1, 3) });
  ControlOnly(8);
  REQUIRE_FALSE(fleet.copies.empty());
  const order_id order = fleet.copies.front().order.id;
  fleet.ChangeLeader(1);
  fleet.RunWithoutFaults(40);
  const order_row* row = Leader().orders.Find(order);
  REQUIRE(row != nullptr);
  CHECK(row->state == order_state::eDone);
}

TEST_CASE_METHOD(orders_fixture,
                 "Copies_SentBeforeTheLeaseExpired_AreNeverCountedAsAnswered",
                 "[placement]")
{
  fleet.AddEngine(1, 1, 8 * kGigabyte, false);
  Start({ Model(1, 3) });
  ControlOnly(8);
  REQUIRE_FALSE(fleet.copies.empty());
  const order_id order = fleet.copies.front().order.id;
  OnDeposed(Leader());
  OnElected(Leader(),
            fleet.term,
            fleet.now,
            fleet.now + fleet_simulation::kLease,
            fleet.now + fleet_simulation::kLease);
  fleet.copies.erase(fleet.copies.begin());
  fleet.RunWithoutFaults(40);
  const order_row* row = Leader().orders.Find(order);
  REQUIRE(row != nullptr);
  CHECK(row->state == order_state::eDone);
}

TEST_CASE_METHOD(orders_fixture,
                 "NewLeader_DuringThePreviousLease_SendsNothing",
                 "[placement]")
{
  fleet.AddEngine(1, 1, 8 * kGigabyte, false);
  Start({ Model(1, 3) });
  ControlOnly(8);
  REQUIRE_FALSE(fleet.copies.empty());
  // Without load pacing, so that only the lease can delay the order.
  fleet.replicas[1].pacing =
    [](const pacing_state&,
       order_kind,
       steady_time aNow) -> std::optional<steady_time> { return aNow; };
  fleet.ChangeLeader(1);
  const auto sentBy = [this](std::size_t aReplica) {
    return std::ranges::count(fleet.copies, aReplica, &copy_in_flight::sender);
  };
  ControlOnly(5);
  CHECK(sentBy(1) == 0);
  ControlOnly(5);
  CHECK(sentBy(1) >= 1);
  CHECK(fleet.copies.back().order.id == fleet.copies.front().order.id);
}

TEST_CASE_METHOD(orders_fixture,
                 "PreviousLeader_AfterItsLease_SendsNothing",
                 "[placement]")
{
  fleet.AddEngine(1, 1, 8 * kGigabyte, false);
  Start({ Model(1, 3) });
  ControlOnly(6);
  REQUIRE(Leader().orders.Size() == 1);
  ReportAll();
  const steady_time later = fleet.now + std::chrono::milliseconds{ 4000 };
  tables withLease = Leader();
  withLease.leader.leaseUntil = later + std::chrono::milliseconds{ 1 };
  outbox sent;
  RunPlacement(withLease, later, sent);
  CHECK(sent.sends.size() == 1);
  tables withoutLease = Leader();
  withoutLease.leader.leaseUntil = later;
  outbox none;
  RunPlacement(withoutLease, later, none);
  CHECK(none.sends.empty());
  CHECK(none.commits.empty());
}

TEST_CASE_METHOD(orders_fixture,
                 "Report_OlderThanTheLedger_IsRefusedByANewLeader",
                 "[placement]")
{
  fleet.AddEngine(1, 1, 4 * kGigabyte, false);
  Start({ Model(1, 3) });
  const report old = fleet.engines[0].Report();
  fleet.RunWithoutFaults(40);
  REQUIRE(fleet.CopiesOf(fleet.models[0]) == 1);
  fleet.ChangeLeader(1);
  CHECK_FALSE(OnReport(Leader(), old, fleet.now));
  CHECK(OnReport(Leader(), fleet.engines[0].Report(), fleet.now));
}

TEST_CASE_METHOD(orders_fixture,
                 "Report_ThatArrivesAfterANewerOne_ChangesNothing",
                 "[placement]")
{
  fleet.AddEngine(1, 1, 4 * kGigabyte, false);
  Start({ Model(1, 3) });
  fleet.RunWithoutFaults(40);
  const report old = fleet.engines[0].Report();
  fleet.engines[0].residents.clear();
  const report newer = fleet.engines[0].Report();
  REQUIRE(OnReport(Leader(), newer, fleet.now));
  CHECK_FALSE(OnReport(Leader(), old, fleet.now));
  CHECK(Reserved(1) == 0);
}

TEST_CASE_METHOD(orders_fixture,
                 "Restart_OfAnEngineThatIgnoresFencing_KeepsMemoryReserved",
                 "[placement]")
{
  fleet.AddEngine(1, 1, 8 * kGigabyte, false);
  fleet.AddEngine(2, 2, 8 * kGigabyte, true);
  Start({ Model(1, 3) });
  ControlOnly(10);
  REQUIRE(fleet.copies.size() >= 2);
  fleet.RestartEngine(0);
  fleet.RestartEngine(1);
  // No models, so that no further order reserves memory.
  fleet.models.clear();
  fleet.ApplyManifest();
  ControlOnly(4);
  CHECK(Reserved(1) == 3);
  CHECK(Reserved(2) == 0);
}

TEST_CASE_METHOD(
  orders_fixture,
  "FencingNumber_OfAnIdleEngineThatChecksIt_IsRaisedToFreeMemory",
  "[placement]")
{
  fleet.AddEngine(1, 1, 8 * kGigabyte, true);
  Start({ Model(1, 3) });
  ControlOnly(12);
  REQUIRE(fleet.copies.size() >= 2);
  const copy_in_flight late = fleet.copies.front();
  fleet.copies.erase(fleet.copies.begin());
  fleet.RunWithoutFaults(20);
  CHECK(Leader().orders.Empty());
  const std::uint64_t loads = fleet.engines[0].loads;
  fleet.engines[0].residents.clear();
  fleet.copies.push_back(late);
  fleet.DeliverCopy(0);
  CHECK(fleet.engines[0].loads == loads);
}

TEST_CASE_METHOD(orders_fixture,
                 "Commit_OfASecondOrderForAnEndpoint_IsRefusedByTheLedger",
                 "[placement]")
{
  tables& replica = fleet.replicas[2];
  order_row first;
  first.id = order_id{ 1 };
  first.endpoint = endpoint_id{ 1 };
  order_row second = first;
  second.id = order_id{ 2 };
  CHECK(OnOrderCommitted(replica, { first }));
  CHECK_FALSE(OnOrderCommitted(replica, { first }));
  CHECK_FALSE(OnOrderCommitted(replica, { second }));
  settle_order settlement;
  settlement.id = first.id;
  settlement.endpoint = first.endpoint;
  settlement.outcome = order_state::eDone;
  CHECK(OnOrderSettled(replica, settlement));
  CHECK_FALSE(OnOrderSettled(replica, settlement));
  CHECK_FALSE(OnOrderCommitted(replica, { first }));
  CHECK(OnOrderCommitted(replica, { second }));
}

TEST_CASE_METHOD(orders_fixture,
                 "Order_RefusedByTheEngine_IsRetriedOnlyAfterABackoff",
                 "[placement]")
{
  fleet.AddEngine(1, 1, 8 * kGigabyte, false);
  Start({ Model(1, 3) });
  ControlOnly(8);
  REQUIRE_FALSE(fleet.copies.empty());
  simulated_engine& engine = fleet.engines[0];
  engine.lastOrder = fleet.copies.front().order.id;
  engine.lastOutcome = order_state::eVoid;
  fleet.copies.clear();
  ControlOnly(10);
  CHECK(fleet.copies.empty());
  ControlOnly(20);
  REQUIRE_FALSE(fleet.copies.empty());
  CHECK(fleet.copies.front().order.id != engine.lastOrder);
}

} // namespace
} // namespace bulrush::placement
