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
  eExitRefused = 1, ///< decided: no
  eExitUsage = 2,   ///< the command line or a file is wrong
  eExitNotDone = 3, ///< not reached: nothing was changed
  eExitUnknown = 4, ///< it may be done yet: send the same command again
  eExitPending = 5, ///< committed, not yet in force everywhere
};

struct call_settings
{
  std::vector<std::string> controls;
  std::string credential;
  net::link_keys linkKeys;
  std::chrono::milliseconds timeout{ 10'000 };
  std::chrono::milliseconds wait{ 8'000 }; ///< until in force everywhere
  std::optional<std::uint64_t> expectedRevision;
  std::filesystem::path keyFile;
  std::vector<std::string> spanFiles; ///< that trace reads
  std::vector<std::string> logFiles;  ///< that trace reads in their place
  bool isJson = false;
};

/// Sends a message to control processes in turn until one gives a final
/// answer or the timeout passes; nullopt then, with what is known in aWhy.
std::optional<wire::message_body> Call(const call_settings& aSettings,
                                       wire::message_body aBody,
                                       last_reason& aWhy);

/// Tells every control process that can be reached of a withdrawn key. True
/// when at least one was.
bool Spread(const call_settings& aSettings, const key_hash& aKey);

/// Waits until every failure domain has confirmed a revision. Fills aPending
/// with a line for each that has not.
bool WaitForRevision(const call_settings& aSettings,
                     std::uint64_t aRevision,
                     std::vector<std::string>& aPending);

/// Runs one command line; returns an exit_code and fills aWhy unless done.
int RunCommand(const call_settings& aSettings,
               const std::vector<std::string>& aWords,
               last_reason& aWhy);

/// Prints the hops of a trace from files of spans, in their order.
int ShowTrace(const call_settings& aSettings,
              const std::string& aTrace,
              last_reason& aWhy);

/// Prints the lines of a request from logs of several hosts, with the news of
/// the endpoints that it met, in the order of their times.
int ShowRequest(const std::vector<std::string>& aFiles,
                const std::string& aRequest,
                last_reason& aWhy);

} // namespace bulrush::ctl

#endif
