#include "simulated_fleet.hpp"

#include <catch2/catch.hpp>

namespace bulrush::control {
namespace {

using std::chrono::milliseconds;

/// Two control processes, of which control-0 leads. Orders on the failure
/// domain are forwarded by control-1.
struct domain_orders_fixture
{
  simulated_fleet fleet{ 2, 1 };
  std::vector<simulated_message> held;

  domain_orders_fixture()
  {
    fleet.ApplyManifest(1);
    fleet.Run(milliseconds{ 100 });
  }

  answer_kind Order(const std::string& aControl, bool aIsOut)
  {
    const std::uint64_t call = Send(aControl, aIsOut);
    fleet.Run(milliseconds{ 100 });
    return Answer(call);
  }

  std::uint64_t Send(const std::string& aControl, bool aIsOut)
  {
    const http_call_id call{ ++fleet.lastCall };
    fleet.controls[aControl].tables.httpInbox.push_back(
      { call, change_domain_state{ "north", aIsOut } });
    return call.value;
  }

  answer_kind Answer(std::uint64_t aCall)
  {
    REQUIRE(fleet.answers.contains(aCall));
    return fleet.answers[aCall];
  }

  /// Keeps forwarded commands back until they are released.
  void HoldCommands()
  {
    fleet.isLost = [this](const simulated_message& aMessage) {
      const bool isCommand =
        std::holds_alternative<wire::command_call>(aMessage.body);
      if (isCommand) {
        held.push_back(aMessage);
      }
      return isCommand;
    };
  }

  void ReleaseCommands()
  {
    fleet.isLost = nullptr;
    for (simulated_message& message : std::exchange(held, {})) {
      fleet.messages.push_back(std::move(message));
    }
    fleet.Run(milliseconds{ 100 });
  }

  bool IsOut()
  {
    return bulrush::IsOut(fleet.controls["control-0"].tables.fleet,
                          IdOf<domain_id>("north"));
  }
};

// Guards against an order that stood still on its way to the leader and undoes
// a newer one.
TEST_CASE_METHOD(domain_orders_fixture,
                 "Order_ForwardedAfterANewerOne_ChangesNothing",
                 "[control]")
{
  REQUIRE(Order("control-0", true) == answer_kind::eDone);
  HoldCommands();
  const std::uint64_t late = Send("control-1", false);
  fleet.Run(milliseconds{ 1'000 });
  CHECK(Answer(late) == answer_kind::eUnknown);
  REQUIRE(Order("control-0", false) == answer_kind::eDone);
  REQUIRE(Order("control-0", true) == answer_kind::eDone);
  ReleaseCommands();
  CHECK(IsOut());
}

TEST_CASE_METHOD(domain_orders_fixture,
                 "Order_Repeated_IsConfirmedAgain",
                 "[control]")
{
  REQUIRE(Order("control-0", true) == answer_kind::eDone);
  HoldCommands();
  Send("control-1", false);
  fleet.Run(milliseconds{ 50 });
  REQUIRE(Order("control-0", false) == answer_kind::eDone);
  ReleaseCommands(); // the same order, which follows an older state
  CHECK_FALSE(IsOut());
  CHECK(Order("control-1", false) == answer_kind::eDone);
}

TEST_CASE_METHOD(domain_orders_fixture,
                 "Order_OfAProcessThatLagsBehind_IsUnknownAndChangesNothing",
                 "[control]")
{
  fleet.controls["control-1"].lags = true;
  REQUIRE(Order("control-0", true) == answer_kind::eDone);
  CHECK(Order("control-1", false) == answer_kind::eUnknown);
  CHECK(IsOut());
  fleet.controls["control-1"].lags = false;
  fleet.Run(milliseconds{ 100 });
  CHECK(Order("control-1", false) == answer_kind::eDone);
  CHECK_FALSE(IsOut());
}

TEST_CASE_METHOD(domain_orders_fixture,
                 "Order_WhileTheOppositeOneIsUnderWay_IsUnknown",
                 "[control]")
{
  fleet.controls["control-0"].lags = true; // proposals are not applied yet
  const std::uint64_t first = Send("control-0", true);
  fleet.Run(milliseconds{ 20 });
  CHECK(Order("control-1", false) == answer_kind::eUnknown);
  fleet.controls["control-0"].lags = false;
  fleet.Run(milliseconds{ 100 });
  CHECK(Answer(first) == answer_kind::eDone);
  CHECK(IsOut());
  CHECK(Order("control-1", false) == answer_kind::eDone);
}

} // namespace
} // namespace bulrush::control
