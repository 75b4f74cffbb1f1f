#include "entry/admission.hpp"

#include <catch2/catch.hpp>

namespace bulrush::entry {
namespace {

using std::chrono::milliseconds;

// One host with rates over a window; the test plays the leader.
struct admission_fixture
{
  const workspace_id kWorkspace = IdOf<workspace_id>("school");
  const admission::resource kRate = admission::RateOf(kWorkspace);
  steady_time now = steady_time{} + std::chrono::hours{ 1 };
  admission_tables tables = MakeAdmission(IdOf<host_id>("host"), 1);
  admission_outbox out;
  std::vector<request_id> admitted;
  std::vector<refusal_kind> refused;
  std::uint64_t lastRequest = 0;

  admission_fixture()
  {
    tables.tolerance.window = std::chrono::seconds{ 8 };
    tables.capacity = 100;
  }

  request_id Submit(std::int64_t aTokens)
  {
    admitted_row row;
    row.id = request_id{ ++lastRequest };
    row.workspace = kWorkspace;
    row.tokens = aTokens;
    row.maxWait = milliseconds{ 60 };
    row.maxWaitWithoutLeader = milliseconds{ 250 };
    row.arrivedAt = now;
    row.deadline = now + std::chrono::seconds{ 10 };
    row.onAdmitted = [this, id = row.id](steady_time) {
      admitted.push_back(id);
    };
    row.onRefused = [this](const refusal& aRefusal) {
      refused.push_back(aRefusal.kind);
    };
    const request_id id = row.id;
    Admit(tables, std::move(row));
    return id;
  }

  void Run(milliseconds aLater = milliseconds{ 0 })
  {
    now += aLater;
    out = {};
    RunAdmission(tables, now, out);
    for (const admit_hook& hook : out.admitted) {
      hook(now);
    }
    for (const auto& [hook, refusal] : out.refused) {
      hook(refusal);
    }
  }

  /// Delivers the leader's answer to the latest quota request.
  void GrantTokens(std::int64_t aTokens)
  {
    tables.quotas.grants.push_back(
      { tables.quotas.sequence,
        { { kRate, aTokens * admission::kUnitsPerToken, {} } } });
  }
};

TEST_CASE_METHOD(admission_fixture,
                 "Request_GrantedTokensInTime_IsAdmitted",
                 "[entry]")
{
  const request_id id = Submit(100);
  Run();
  REQUIRE(out.quotaRequest);
  GrantTokens(100);
  Run(milliseconds{ 5 });
  CHECK(admitted == std::vector<request_id>{ id });
}

TEST_CASE_METHOD(admission_fixture,
                 "Request_WithoutTokensAtItsMaxWait_IsOverRate",
                 "[entry]")
{
  Submit(100);
  Run();
  GrantTokens(10);
  Run(milliseconds{ 5 });
  CHECK(refused.empty());
  Run(milliseconds{ 55 });
  CHECK(refused == std::vector<refusal_kind>{ refusal_kind::eOverRate });
}

TEST_CASE_METHOD(admission_fixture,
                 "SmallRequest_BehindALargeOneThatWaits_DoesNotOvertakeIt",
                 "[entry]")
{
  const request_id large = Submit(100);
  Run();
  Submit(10);
  GrantTokens(50);
  Run(milliseconds{ 20 });
  CHECK(admitted.empty());
  REQUIRE(out.quotaRequest);
  GrantTokens(60);
  Run(milliseconds{ 5 });
  REQUIRE(admitted.size() == 2);
  CHECK(admitted[0] == large);
}

TEST_CASE_METHOD(admission_fixture,
                 "SmallRequest_AtItsMaxWait_ConsumesAvailableTokens",
                 "[entry]")
{
  Submit(1'000);
  const request_id small = Submit(10);
  Run();
  GrantTokens(50);
  Run(milliseconds{ 20 });
  CHECK(admitted.empty());
  Run(milliseconds{ 40 });
  CHECK(admitted == std::vector<request_id>{ small });
  CHECK(refused.size() == 1);
}

TEST_CASE_METHOD(admission_fixture,
                 "Request_WhileLeaderIsUnreachable_WaitsForNextLeader",
                 "[entry]")
{
  Submit(100);
  Run();
  Run(milliseconds{ 100 }); // the quota request was not answered
  REQUIRE(refused.empty());
  Run(milliseconds{ 100 });
  CHECK(refused.empty());
  Run(milliseconds{ 50 });
  CHECK(refused == std::vector<refusal_kind>{ refusal_kind::eRateUnreachable });
}

TEST_CASE_METHOD(admission_fixture,
                 "QueuedRequest_WhenTheHostStops_IsRefusedInTime",
                 "[entry]")
{
  tables.capacity = GENERATE(0U, 100U); // waits for its turn, or for tokens
  const request_id id = Submit(100);
  tables.requests.Find(id)->maxWait = std::chrono::seconds{ 10 };
  tables.escrow.settings.maxWait = std::chrono::seconds{ 10 };
  Run();
  if (tables.capacity == 0) {
    GrantTokens(100);
    Run(milliseconds{ 5 });
  }
  CHECK(admitted.empty());
  tables.admitBy = now + milliseconds{ 500 };
  Run();
  CHECK(refused.empty());
  CHECK(out.wake.at <= tables.admitBy);
  Run(milliseconds{ 500 });
  CHECK(refused == std::vector<refusal_kind>{ refusal_kind::eStopping });
  CHECK(tables.requests.Empty());
}

} // namespace
} // namespace bulrush::entry
