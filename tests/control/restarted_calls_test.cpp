#include "simulated_fleet.hpp"

#include <catch2/catch.hpp>

namespace bulrush::control {
namespace {

using std::chrono::milliseconds;

/// Two control processes, of which control-0 leads. Calls go to control-1,
/// which starts again before the leader's reply to the first one arrives.
struct restarted_calls_fixture
{
  simulated_fleet fleet{ 2, 0 };
  std::vector<simulated_message> held; ///< replies of the leader
  bool losesCalls = false;

  restarted_calls_fixture()
  {
    Send("control-0", Manifest(1));
    fleet.isLost = [this](const simulated_message& aMessage) {
      if (aMessage.from == "control-0" && IsReply(aMessage.body)) {
        held.push_back(aMessage);
        return true;
      }
      return losesCalls && IsCall(aMessage.body);
    };
  }

  static bool IsReply(const wire::message_body& aBody)
  {
    return std::holds_alternative<wire::command_reply>(aBody) ||
           std::holds_alternative<wire::manifest_reply>(aBody);
  }

  static bool IsCall(const wire::message_body& aBody)
  {
    return std::holds_alternative<wire::command_call>(aBody) ||
           std::holds_alternative<wire::manifest_call>(aBody);
  }

  http_call_id Send(const std::string& aControl, http_call aCall)
  {
    const http_call_id id{ ++fleet.lastCall };
    fleet.controls[aControl].tables.httpInbox.push_back(
      { id, std::move(aCall) });
    fleet.Run(milliseconds{ 50 });
    return id;
  }

  static put_manifest Manifest(int aNumber)
  {
    const std::string number = std::to_string(aNumber);
    const std::string text = R"({"name":"test","version":")" + number +
                             R"(","number":)" + number +
                             R"(,"failure_domains":[{"name":"north"}]})";
    return { text, text };
  }

  /// Sends aBefore, and after a new start aAfter, which does not reach the
  /// leader. Whether it is answered as done once the first reply arrives.
  bool IsAnsweredByTheReplyBefore(http_call aBefore, http_call aAfter)
  {
    Send("control-1", std::move(aBefore));
    REQUIRE(held.size() == 1);
    fleet.RestartControl("control-1");
    losesCalls = true;
    const http_call_id after = Send("control-1", std::move(aAfter));
    fleet.isLost = nullptr;
    fleet.messages.push_back(held.front());
    fleet.Run(milliseconds{ 50 });
    const auto answer = fleet.answers.find(after.value);
    return answer != fleet.answers.end() &&
           answer->second == answer_kind::eDone;
  }
};

// Guards against an acknowledgement of a configuration that is in no log.
TEST_CASE_METHOD(restarted_calls_fixture,
                 "Configuration_WhenAReplyToAnEarlierProcessArrives_IsNotDone",
                 "[control]")
{
  CHECK_FALSE(IsAnsweredByTheReplyBefore(Manifest(2), Manifest(3)));
}

// Guards against a read that is answered with an older configuration.
TEST_CASE_METHOD(restarted_calls_fixture,
                 "Read_WhenAReplyToAnEarlierProcessArrives_IsNotDone",
                 "[control]")
{
  CHECK_FALSE(IsAnsweredByTheReplyBefore(get_manifest{}, get_manifest{}));
}

} // namespace
} // namespace bulrush::control
