#include "routing/routing_fixture.hpp"

#include <map>

namespace bulrush::routing {
namespace {

TEST_CASE_METHOD(routing_fixture,
                 "Choice_WhenTheLocalDomainHasAFreeSlot_StaysInIt",
                 "[routing]")
{
  endpoint_facts other = Facts(1);
  other.domain = kOtherDomain;
  AddEndpoint(other);
  AddEndpoint(Facts(2));
  for (int i = 0; i < 2; ++i) {
    CHECK(Send(Request()).endpoint == endpoint_id{ 2 });
  }
  CHECK(Send(Request()).endpoint == endpoint_id{ 1 });
}

TEST_CASE_METHOD(routing_fixture,
                 "Choice_WhenEndpointDrainsOrItsDomainIsOut_UsesAnother",
                 "[routing]")
{
  endpoint_facts draining = Facts(1);
  draining.isDraining = true;
  endpoint_facts takenOut = Facts(2);
  takenOut.isDomainOut = true;
  AddEndpoint(draining);
  AddEndpoint(takenOut);
  AddEndpoint(Facts(3));
  AddEndpoint(Facts(4));
  RemoveEndpoint(engine, endpoint_id{ 4 });
  for (int i = 0; i < 2; ++i) {
    CHECK(Send(Request()).endpoint == endpoint_id{ 3 });
  }
}

TEST_CASE_METHOD(routing_fixture,
                 "Choice_WhenVersionOrAdapterDiffers_ReturnsNotResident",
                 "[routing]")
{
  AddEndpoint(Facts(1));
  RunOnce();
  request_row row;
  row.facts = Request();
  row.facts.version = 2;
  CHECK(ChooseEndpoint(engine, row, now).failure ==
        choice_failure::eNotResident);
  row.facts.version = 1;
  CHECK_FALSE(ChooseEndpoint(engine, row, now).failure);
  row.facts.adapter = IdOf<adapter_id>("almanac");
  CHECK(ChooseEndpoint(engine, row, now).failure ==
        choice_failure::eNotResident);
}

TEST_CASE_METHOD(routing_fixture,
                 "Version_WhenOnlyADrainingEndpointHoldsIt_IsNotServed",
                 "[routing]")
{
  AddEndpoint(Facts(1));
  CHECK(IsServed(engine, { { kModel, {} }, 1 }));
  CHECK_FALSE(IsServed(engine, { { kModel, {} }, 2 }));
  endpoint_facts draining = Facts(1);
  draining.isDraining = true;
  UpdateEndpoint(engine, draining);
  CHECK_FALSE(IsServed(engine, { { kModel, {} }, 1 }));
}

TEST_CASE_METHOD(routing_fixture,
                 "Choice_WhenAllSlotsAreTaken_WaitsForOne",
                 "[routing]")
{
  AddEndpoint(Facts(1));
  const start_attempt first = Send(Request());
  Send(Request());
  REQUIRE(AddRequest(engine, Request()));
  RunOnce();
  CHECK(out.starts.empty());
  CHECK(out.wake.at <= now + milliseconds{ 900 });
  AnswerCompletely(first.attempt);
  RunOnce();
  CHECK(out.starts.size() == 1);
}

TEST_CASE_METHOD(routing_fixture,
                 "Choice_WithoutASlotBeforeTheDeadline_ReportsNotRun",
                 "[routing]")
{
  endpoint_facts facts = Facts(1);
  facts.allottedSlots = 0;
  AddEndpoint(facts);
  REQUIRE(AddRequest(engine, Request()));
  RunOnce();
  CHECK(out.ends.empty());
  RunOnce(milliseconds{ 900 });
  CheckEnd(request_outcome::eNoSlot, ran_state::eNotRun);
}

TEST_CASE_METHOD(routing_fixture,
                 "Choice_WhenTheReportIsOld_UsesLocalCounts",
                 "[routing]")
{
  endpoint_facts busy = Facts(1);
  busy.reportedInFlight = 8;
  AddEndpoint(busy);
  AddEndpoint(Facts(2));
  MarkWarm(1);
  MarkWarm(2);
  CHECK(Send(Request()).endpoint == endpoint_id{ 2 });
  now += std::chrono::seconds{ 3 };
  CHECK(Send(Request()).endpoint == endpoint_id{ 1 });
}

TEST_CASE_METHOD(routing_fixture,
                 "Choice_WhenPrefixWasSentBefore_PrefersItsEndpoint",
                 "[routing]")
{
  for (std::uint64_t id = 1; id <= 6; ++id) {
    AddEndpoint(Facts(id));
    MarkWarm(id);
  }
  request_facts facts = Request();
  facts.prefix = 77;
  const endpoint_id holder = Send(facts).endpoint;
  for (int i = 0; i < 2; ++i) {
    request_facts next = Request();
    next.prefix = 77;
    CHECK(Send(next).endpoint == holder);
  }
}

TEST_CASE_METHOD(routing_fixture,
                 "Choice_WithRoundRobin_UsesEachEndpointEqually",
                 "[routing]")
{
  engine.policy.pick = MakeRoundRobin();
  for (std::uint64_t id = 1; id <= 4; ++id) {
    AddEndpoint(Facts(id));
    MarkWarm(id);
  }
  std::map<endpoint_id, int> sent;
  for (int i = 0; i < 16; ++i) {
    ++sent[Send(Request()).endpoint];
  }
  CHECK(sent.size() == 4);
  for (const auto& [endpoint, count] : sent) {
    CHECK(count == 4);
  }
}

TEST_CASE_METHOD(routing_fixture,
                 "Choice_AmongEqualEndpoints_IsUniform",
                 "[routing]")
{
  constexpr int kDraws = 4'000;
  const std::vector<candidate> equal{ { 0, 1.0 }, { 1, 1.0 } };
  random_engine random{ 1 };
  int first = 0;
  for (int i = 0; i < kDraws; ++i) {
    first += PickTwoRandom(equal, random) == 0 ? 1 : 0;
  }
  CHECK(first > kDraws * 45 / 100);
  CHECK(first < kDraws * 55 / 100);
}

TEST_CASE_METHOD(routing_fixture,
                 "Choice_WhenSlotsAreScarce_StartsHigherPriorityFirst",
                 "[routing]")
{
  endpoint_facts facts = Facts(1);
  facts.coldSlots = 1;
  AddEndpoint(facts);
  request_facts low = Request();
  request_facts high = Request();
  high.priority = 1;
  REQUIRE(AddRequest(engine, low));
  REQUIRE(AddRequest(engine, high));
  RunOnce();
  REQUIRE(out.starts.size() == 1);
  CHECK(out.starts.front().request == high.id);
}

TEST_CASE_METHOD(routing_fixture,
                 "Index_WhenAnEndpointIsRemoved_StillFindsTheOthers",
                 "[routing]")
{
  for (std::uint64_t id = 1; id <= 3; ++id) {
    AddEndpoint(Facts(id));
  }
  RunOnce();
  RemoveEndpoint(engine, endpoint_id{ 1 });
  RunOnce();
  CHECK(engine.endpoints.Size() == 2);
  CHECK(FreeSlots(engine, { kModel, {} }) == 4);
  CHECK(Send(Request()).endpoint != endpoint_id{ 1 });
}

} // namespace
} // namespace bulrush::routing
