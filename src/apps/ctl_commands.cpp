#include "apps/ctl_commands.hpp"
#include "apps/ctl_handlers.hpp"

#include <charconv>
#include <functional>

namespace bulrush::ctl {
namespace {

// Revision of the domain's latest change, as a control process knows it.
// nullopt for a domain that it does not list.
std::optional<std::uint64_t>
FindDomainChange(const wire::message_body& aAnswer, const std::string& aDomain)
{
  if (const auto* status = std::get_if<wire::status_reply>(&aAnswer)) {
    for (const wire::domain_status& row : status->domains) {
      if (row.name == aDomain) {
        return row.changedAt;
      }
    }
  }
  return std::nullopt;
}

bool
IsSuperseded(const std::optional<wire::message_body>& aAnswer)
{
  const auto* reply =
    aAnswer ? std::get_if<wire::command_reply>(&*aAnswer) : nullptr;
  return reply != nullptr && reply->outcome == wire::call_outcome::eSuperseded;
}

// The order names the state that it follows, so that a copy of it that is read
// late undoes no newer one. The control process that answers may lag behind.
int
ChangeDomain(const call_settings& aSettings,
             const std::string& aName,
             bool aIsOut,
             last_reason& aReason)
{
  const steady_time end = net::Now() + aSettings.timeout;
  while (true) {
    const auto status =
      Call(aSettings, wire::status_call{ 1, aSettings.credential }, aReason);
    if (!status) {
      return ReportOutcome(aSettings, std::nullopt, aReason);
    }
    wire::command_call call;
    call.call = 1;
    call.command.change = set_domain{ IdOf<domain_id>(aName),
                                      aIsOut,
                                      FindDomainChange(*status, aName) };
    call.credential = aSettings.credential;
    const auto answer = Call(aSettings, std::move(call), aReason);
    if (!IsSuperseded(answer) || net::Now() >= end) {
      return ReportOutcome(aSettings, answer, aReason);
    }
  }
}

// aNames is OLD=NEW, or a single name for a control process that has lost its
// data folder and rejoins under the same name.
int
ReplaceControl(const call_settings& aSettings,
               const std::string& aNames,
               last_reason& aReason)
{
  const std::size_t equals = aNames.find('=');
  wire::replace_call call;
  call.call = 1;
  call.credential = aSettings.credential;
  call.oldName = aNames.substr(0, equals);
  call.newName =
    equals == std::string::npos ? aNames : aNames.substr(equals + 1);
  return ReportOutcome(
    aSettings, Call(aSettings, std::move(call), aReason), aReason);
}

// Control processes pass the change on to each other and to hosts without the
// log, so there is no revision to wait for.
int
ChangeQuarantine(const call_settings& aSettings,
                 const std::string& aPart,
                 bool aIsRelease,
                 last_reason& aReason)
{
  constexpr int kHexadecimal = 16;
  wire::quarantine_call call;
  call.call = 1;
  call.credential = aSettings.credential;
  call.isRelease = aIsRelease;
  const char* end = aPart.data() + aPart.size();
  const auto read =
    std::from_chars(aPart.data(), end, call.part.value, kHexadecimal);
  if (read.ec != std::errc{} || read.ptr != end) {
    Fail(aReason, "read part", aPart, "expected a hexadecimal id");
    return eExitUsage;
  }
  const auto answer = Call(aSettings, call, aReason);
  if (!answer) {
    return eExitUnknown;
  }
  const auto* reply = std::get_if<wire::command_reply>(&*answer);
  if (reply == nullptr || !reply->result.isDone) {
    Fail(aReason,
         "change quarantine",
         aPart,
         reply == nullptr ? "an answer of another kind"
                          : reply->text + reply->result.text);
    return eExitRefused;
  }
  Print(reply->result.text + "; the control process that answered publishes "
                             "it to the others and to the hosts");
  return eExitDone;
}

// A command: its one or two words, the number of operands and the handler.
struct command_row
{
  const char* first;
  const char* second; ///< empty when the command is one word
  std::size_t operands;
  std::function<int(const call_settings&, const std::string&, last_reason&)>
    run;
};

const std::vector<command_row>&
Commands()
{
  using settings = const call_settings&;
  using word = const std::string&;
  static const std::vector<command_row> kCommands = {
    { "apply", "", 1, ApplyFile },
    { "diff", "", 1, DiffFile },
    { "check",
      "",
      1,
      [](settings, word aName, last_reason& aReason) {
        return CheckFile(aName, aReason);
      } },
    { "status",
      "",
      0,
      [](settings aSettings, word, last_reason& aReason) {
        return ShowStatus(aSettings, aReason);
      } },
    { "keygen",
      "",
      1,
      [](settings, word aName, last_reason& aReason) {
        return MakeLinkKeyFile(aName, aReason);
      } },
    { "trace", "", 1, ShowTrace },
    { "key", "issue", 1, IssueKey },
    { "key",
      "withdraw",
      1,
      [](settings aSettings, word aName, last_reason& aReason) {
        return WithdrawKey(aSettings, ResolveKeyHash(aName), aReason);
      } },
    { "control", "replace", 1, ReplaceControl },
    { "endpoint",
      "drain",
      1,
      [](settings aSettings, word aName, last_reason& aReason) {
        return SendCommand(
          aSettings, drain_endpoint{ IdOf<endpoint_id>(aName), true }, aReason);
      } },
    { "endpoint",
      "undrain",
      1,
      [](settings aSettings, word aName, last_reason& aReason) {
        return SendCommand(aSettings,
                           drain_endpoint{ IdOf<endpoint_id>(aName), false },
                           aReason);
      } },
    { "domain",
      "take-out",
      1,
      [](settings aSettings, word aName, last_reason& aReason) {
        return ChangeDomain(aSettings, aName, true, aReason);
      } },
    { "domain",
      "bring-back",
      1,
      [](settings aSettings, word aName, last_reason& aReason) {
        return ChangeDomain(aSettings, aName, false, aReason);
      } },
    { "quarantine",
      "hold",
      1,
      [](settings aSettings, word aPart, last_reason& aReason) {
        return ChangeQuarantine(aSettings, aPart, false, aReason);
      } },
    { "quarantine",
      "release",
      1,
      [](settings aSettings, word aPart, last_reason& aReason) {
        return ChangeQuarantine(aSettings, aPart, true, aReason);
      } },
  };
  return kCommands;
}

} // namespace

int
RunCommand(const call_settings& aSettings,
           const std::vector<std::string>& aWords,
           last_reason& aReason)
{
  for (const command_row& row : Commands()) {
    const std::size_t words = *row.second == '\0' ? 1 : 2;
    if (aWords.size() != words + row.operands || aWords[0] != row.first ||
        (words == 2 && aWords[1] != row.second)) {
      continue;
    }
    return row.run(aSettings, row.operands == 0 ? "" : aWords.back(), aReason);
  }
  Fail(aReason, "read command", "", "unknown command; --help lists them");
  return eExitUsage;
}

} // namespace bulrush::ctl
