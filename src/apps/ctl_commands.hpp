#ifndef BULRUSH_APPS_CTL_COMMANDS_HPP
#define BULRUSH_APPS_CTL_COMMANDS_HPP

/// The commands of bulrushctl.

#include "core/core.hpp"
#include "net/net.hpp"
#include "wire/wire.hpp"

#include <filesystem>

namespace bulrush::ctl {

/// Exit codes, documented in docs/OPERATIONS.md.
enum exit_code : int
{
  eExitDone = 0,
  eExitRefused = 1, ///< the command was decided and refused
  eExitUsage = 2,   ///< invalid command line or file
  eExitNotDone = 3, ///< control was not reached; nothing was changed
  eExitUnknown = 4, ///< may have been done; sending it again is safe
  eExitPending = 5, ///< committed, but not yet in force everywhere
};

struct call_settings
{
  std::vector<std::string> controls;
  std::string credential;
  net::link_keys linkKeys;
  std::chrono::milliseconds timeout{ 10'000 };
  std::chrono::milliseconds wait{ 8'000 }; ///< limit until in force everywhere
  std::optional<std::uint64_t> expectedRevision;
  std::filesystem::path keyFile;
  std::vector<std::string> spanFiles; ///< read by trace
  std::vector<std::string> logFiles;  ///< read by trace instead of spanFiles
  bool isJson = false;
};

/// Sends a message to the control processes in turn until one gives a final
/// answer. On timeout returns nullopt, with the last reply's text in aReason.
std::optional<wire::message_body> Call(const call_settings& aSettings,
                                       wire::message_body aBody,
                                       last_reason& aReason);

/// Sends a key withdrawal to every reachable control process. True if it was
/// sent to at least one.
bool PublishWithdrawal(const call_settings& aSettings, const key_hash& aKey);

/// Waits until every failure domain has confirmed a revision. On timeout
/// returns false with a line in aPending for each domain that has not.
bool WaitForRevision(const call_settings& aSettings,
                     std::uint64_t aRevision,
                     std::vector<std::string>& aPending);

/// Runs one command line. Returns an exit_code; fills aReason unless it is
/// eExitDone.
int RunCommand(const call_settings& aSettings,
               const std::vector<std::string>& aWords,
               last_reason& aReason);

/// Prints the hops of a trace from span files, ordered by start time. With log
/// files set, runs ShowRequest instead.
int ShowTrace(const call_settings& aSettings,
              const std::string& aTrace,
              last_reason& aReason);

/// Prints a request's log lines from several hosts and the events of the
/// endpoints it was sent to, ordered by time.
int ShowRequest(const std::vector<std::string>& aFiles,
                const std::string& aRequest,
                last_reason& aReason);

} // namespace bulrush::ctl

#endif
