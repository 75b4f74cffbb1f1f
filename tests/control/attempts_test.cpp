#include "control/tables.hpp"

#include <catch2/catch.hpp>

#include <map>

namespace bulrush::control {
namespace {

using std::chrono::milliseconds;

/// The leader, to which hosts report where their attempts run.
struct attempts_fixture
{
  static constexpr endpoint_id kNear{ 1 };
  static constexpr endpoint_id kFar{ 2 };
  control_tables tables;
  steady_time now = steady_time{} + std::chrono::hours{ 1 };
  bool leads = true;
  control_outbox out;

  attempts_fixture()
  {
    tables.log.isLeader = [this](steady_time) { return leads; };
  }

  /// Sums that the host gets in answer; nullopt for no answer.
  std::optional<std::map<endpoint_id, std::uint32_t>> Report(
    const std::string& aHost,
    std::uint64_t aNumber,
    std::vector<wire::endpoint_attempts> aAttempts,
    std::uint64_t aIncarnation = 1)
  {
    received_message input;
    input.peer = aHost;
    input.message.sender = aHost;
    input.message.incarnation = aIncarnation;
    wire::demand_report report;
    report.number = aNumber;
    report.attempts = std::move(aAttempts);
    out = {};
    HandleAttempts(tables, input, report, now, out);
    if (out.messages.empty()) {
      return std::nullopt;
    }
    CHECK(out.messages.front().peer == aHost);
    const auto& update =
      std::get<wire::attempts_update>(out.messages.front().body);
    CHECK(update.report == aNumber);
    std::map<endpoint_id, std::uint32_t> sums;
    for (const wire::endpoint_attempts& each : update.attempts) {
      sums[each.endpoint] = each.running;
    }
    return sums;
  }
};

TEST_CASE_METHOD(attempts_fixture,
                 "Sums_OfSeveralHosts_HoldTheNewestReportOfEach",
                 "[control]")
{
  Report("a", 1, { { kNear, 3 }, { kFar, 1 } });
  Report("b", 1, { { kNear, 2 } });
  const auto sums = Report("a", 2, { { kNear, 4 } });
  REQUIRE(sums);
  CHECK(*sums == std::map<endpoint_id, std::uint32_t>{ { kNear, 6 } });
}

TEST_CASE_METHOD(attempts_fixture,
                 "Report_ThatArrivesOutOfOrder_IsIgnored",
                 "[control]")
{
  Report("a", 2, { { kNear, 3 } });
  CHECK_FALSE(Report("a", 1, { { kNear, 9 } }));
  CHECK(Report("a", 3, { { kNear, 5 } })->at(kNear) == 5);
}

TEST_CASE_METHOD(attempts_fixture,
                 "Report_OfARestartedHost_ReplacesThatOfItsFormerProcess",
                 "[control]")
{
  Report("a", 7, { { kNear, 3 } });
  CHECK(Report("a", 1, { { kFar, 1 } }, 2) ==
        std::map<endpoint_id, std::uint32_t>{ { kFar, 1 } });
  CHECK_FALSE(Report("a", 8, { { kNear, 3 } }, 1));
}

TEST_CASE_METHOD(attempts_fixture,
                 "Sums_AfterAHostIsSilent_LackItsAttempts",
                 "[control]")
{
  Report("a", 1, { { kNear, 3 } });
  now += milliseconds(1'000);
  CHECK(Report("b", 1, { { kNear, 1 } })->at(kNear) == 4);
  now += milliseconds(1'000);
  CHECK(Report("b", 2, { { kNear, 1 } })->at(kNear) == 1);
  CHECK(tables.attempts.hosts.Size() == 1);
}

TEST_CASE_METHOD(attempts_fixture,
                 "Report_AtAProcessThatDoesNotLead_IsNotAnswered",
                 "[control]")
{
  leads = false;
  CHECK_FALSE(Report("a", 1, { { kNear, 3 } }));
}

} // namespace
} // namespace bulrush::control
