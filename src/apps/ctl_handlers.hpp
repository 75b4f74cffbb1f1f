#ifndef BULRUSH_APPS_CTL_HANDLERS_HPP
#define BULRUSH_APPS_CTL_HANDLERS_HPP

/// Handlers of the commands of bulrushctl, and what they share. Each handler
/// returns an exit_code and fills aReason unless it is eExitDone.

#include "apps/ctl_commands.hpp"

namespace bulrush::ctl {

/// Prints a line.
void Print(const std::string& aText);

/// Prints the outcome of a command and maps it to an exit code. Without an
/// answer the outcome is unknown, since the command may have been committed.
int ReportOutcome(const call_settings& aSettings,
                  const std::optional<wire::message_body>& aAnswer,
                  last_reason& aReason);

/// Sends a change and reports its outcome.
int SendCommand(const call_settings& aSettings,
                fleet_change aChange,
                last_reason& aReason);

int ApplyFile(const call_settings& aSettings,
              const std::string& aName,
              last_reason& aReason);
int CheckFile(const std::string& aName, last_reason& aReason);
int DiffFile(const call_settings& aSettings,
             const std::string& aName,
             last_reason& aReason);

int IssueKey(const call_settings& aSettings,
             const std::string& aWorkspace,
             last_reason& aReason);
int WithdrawKey(const call_settings& aSettings,
                const key_hash& aKey,
                last_reason& aReason);
int MakeLinkKeyFile(const std::string& aName, last_reason& aReason);

/// aName is the hash of a key, a file that contains the key, or the key itself.
key_hash ResolveKeyHash(const std::string& aName);

int ShowStatus(const call_settings& aSettings, last_reason& aReason);

} // namespace bulrush::ctl

#endif
