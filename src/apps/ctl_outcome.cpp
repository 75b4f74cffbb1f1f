#include "apps/ctl_handlers.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cstdio>

namespace bulrush::ctl {

void
Print(const std::string& aText)
{
  std::fputs((aText + "\n").c_str(), stdout);
}

int
ReportOutcome(const call_settings& aSettings,
              const std::optional<wire::message_body>& aAnswer,
              last_reason& aReason)
{
  if (!aAnswer) {
    return eExitUnknown;
  }
  const auto* reply = std::get_if<wire::command_reply>(&*aAnswer);
  if (reply == nullptr || reply->outcome == wire::call_outcome::eRefused ||
      reply->outcome == wire::call_outcome::eSuperseded) {
    Fail(aReason,
         "call control",
         "",
         reply == nullptr ? "an answer of another kind" : reply->text);
    return eExitRefused;
  }
  const command_result& result = reply->result;
  std::vector<std::string> pending;
  const bool isAccepted =
    result.isDone && WaitForRevision(aSettings, result.revision, pending);
  if (aSettings.isJson) {
    Print(nlohmann::json{ { "done", result.isDone },
                          { "accepted", isAccepted },
                          { "code", result.code },
                          { "text", result.text },
                          { "revision", result.revision },
                          { "pending", pending } }
            .dump());
  }
  if (!result.isDone) {
    Fail(aReason, "command", "control", result.code + ": " + result.text);
    return eExitRefused;
  }
  if (!isAccepted) {
    Fail(aReason,
         "wait until revision " + std::to_string(result.revision) +
           " is in force",
         "",
         fmt::format("{}; committed and pending", fmt::join(pending, "; ")));
    return eExitPending;
  }
  if (!aSettings.isJson) {
    Print(fmt::format(
      "{}; in force everywhere (revision {})", result.text, result.revision));
  }
  return eExitDone;
}

int
SendCommand(const call_settings& aSettings,
            fleet_change aChange,
            last_reason& aReason)
{
  wire::command_call call;
  call.call = 1;
  call.command.change = std::move(aChange);
  call.credential = aSettings.credential;
  return ReportOutcome(
    aSettings, Call(aSettings, std::move(call), aReason), aReason);
}

} // namespace bulrush::ctl
