#include "simulated_fleet.hpp"

#include <catch2/catch.hpp>

namespace bulrush::control {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kGrace{ 1'000 };
/// Nine tenths of it.
constexpr milliseconds kAnswerTime{ 900 };

/// Two control processes, of which control-0 leads. control-1 is stopped.
struct stop_fixture
{
  simulated_fleet fleet{ 2, 0 };
  wake_time wake;

  stop_fixture()
  {
    fleet.ApplyManifest(1);
    fleet.Run(milliseconds{ 100 });
  }

  control_tables& Stopped() { return fleet.controls["control-1"].tables; }

  http_call_id TakeOut()
  {
    const http_call_id call{ ++fleet.lastCall };
    Stopped().httpInbox.push_back(
      { call, change_domain_state{ "north", true } });
    return call;
  }
  void LoseAllMessages()
  {
    fleet.isLost = [](const simulated_message&) { return true; };
  }
  bool MayEndNow(std::size_t aEngineCalls = 0)
  {
    return MayEnd(Stopped(), aEngineCalls, fleet.now, wake);
  }
};

TEST_CASE_METHOD(stop_fixture,
                 "HttpCall_ReceivedDuringAStop_IsRefusedAsUndecided",
                 "[control]")
{
  BeginStop(Stopped(), kGrace, fleet.now);
  const http_call_id call = TakeOut();
  fleet.Report("control-1", 1);
  fleet.Run(milliseconds{ 50 });
  REQUIRE(fleet.answers.contains(call.value));
  CHECK(fleet.answers[call.value] == answer_kind::eUnknown);
  CHECK(fleet.answers[fleet.lastCall] == answer_kind::eUnknown);
  CHECK(Stopped().endpoints.Empty());
}

TEST_CASE_METHOD(stop_fixture,
                 "HttpCall_OpenAtAStop_IsDecidedBeforeTheEnd",
                 "[control]")
{
  const http_call_id call = TakeOut();
  fleet.Run(simulated_fleet::kStep);
  BeginStop(Stopped(), kGrace, fleet.now);
  CHECK_FALSE(MayEndNow());
  fleet.Run(milliseconds{ 50 });
  REQUIRE(fleet.answers.contains(call.value));
  CHECK(fleet.answers[call.value] == answer_kind::eDone);
}

TEST_CASE_METHOD(stop_fixture,
                 "HttpCall_WithoutADecision_IsAnsweredAsUndecidedInTime",
                 "[control]")
{
  const http_call_id call = TakeOut();
  fleet.Run(simulated_fleet::kStep);
  LoseAllMessages();
  BeginStop(Stopped(), kGrace, fleet.now);
  fleet.Run(kAnswerTime - simulated_fleet::kStep);
  CHECK_FALSE(fleet.answers.contains(call.value));
  CHECK_FALSE(MayEndNow());
  fleet.Run(2 * simulated_fleet::kStep);
  REQUIRE(fleet.answers.contains(call.value));
  CHECK(fleet.answers[call.value] == answer_kind::eUnknown);
  CHECK_FALSE(MayEndNow()); // the last messages leave
  fleet.Run(kGrace / 40);
  CHECK(MayEndNow());
  CHECK(fleet.now < Stopped().stop->endBy);
}

TEST_CASE_METHOD(stop_fixture, "Stop_WithNothingOpen_MayEndSoon", "[control]")
{
  BeginStop(Stopped(), kGrace, fleet.now);
  CHECK_FALSE(MayEndNow());
  fleet.Run(milliseconds{ 200 });
  CHECK(MayEndNow());
}

TEST_CASE_METHOD(stop_fixture,
                 "Stop_WithAnOrderOnItsWay_EndsAfterItsAnswer",
                 "[control]")
{
  BeginStop(Stopped(), kGrace, fleet.now);
  CHECK_FALSE(MayEndNow(1));
  fleet.Run(milliseconds{ 200 });
  CHECK_FALSE(MayEndNow(1));
  CHECK_FALSE(MayEndNow());
  fleet.Run(milliseconds{ 200 });
  CHECK(MayEndNow());
}

TEST_CASE_METHOD(stop_fixture,
                 "CallOfAHost_DuringAStop_IsAnsweredWithNoLeader",
                 "[control]")
{
  BeginStop(Stopped(), kGrace, fleet.now);
  wire::message message;
  message.sender = "host";
  message.body = wire::command_call{};
  Stopped().inbox.push_back({ "host", std::move(message) });
  control_outbox outbox;
  RunControl(Stopped(), fleet.now, outbox);
  REQUIRE_FALSE(outbox.messages.empty());
  const auto* reply =
    std::get_if<wire::command_reply>(&outbox.messages.front().body);
  REQUIRE(reply != nullptr);
  CHECK(reply->outcome == wire::call_outcome::eNoLeader);
}

} // namespace
} // namespace bulrush::control
