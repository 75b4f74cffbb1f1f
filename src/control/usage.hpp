#ifndef BULRUSH_CONTROL_USAGE_HPP
#define BULRUSH_CONTROL_USAGE_HPP

/// Usage reports in bulrush-control: stores the slices of hosts, writes windows
/// to the log, and sends them to the platform.

#include "control/control.hpp"
#include "duties/duties.hpp"
#include "wire/wire.hpp"

namespace bulrush::control {

struct control_tables;
struct control_outbox;
struct received_message;

/// The name of a workspace of this or an earlier configuration.
struct workspace_name
{
  workspace_id id;
  std::string name;
};

/// A report that was received since the last tick.
struct received_usage
{
  std::string peer;
  duties::slices_report report;
};

/// The end of a call since the last tick.
struct usage_answer
{
  std::uint64_t call = 0;
  duties::call_outcome outcome = duties::call_outcome::eNoAnswer;
};

struct usage_tables
{
  std::string address; ///< of the platform's API, HOST:PORT
  duties::ledger_tables ledger;
  table<workspace_id, workspace_name> names;
  std::uint64_t manifestRevision = 0; ///< of the manifest in names
  std::vector<received_usage> reports;
  std::vector<usage_answer> answers;
};

struct outgoing_usage
{
  std::uint64_t call = 0;
  usage_call usage;
  std::chrono::milliseconds timeout{ 0 };
};

struct usage_outbox
{
  bool abortsCall = false; ///< before `send`
  std::optional<outgoing_usage> send;
  std::size_t acknowledged = 0; ///< calls that ended
  std::size_t refused = 0;
  std::size_t unanswered = 0;
};

/// Queues a host's report for RunUsage.
void HandleUsageReport(control_tables& aTables,
                       const received_message& aInput,
                       const wire::usage_report& aReport);

/// Applies a log payload; false when it is not a usage entry.
bool ApplyUsageEntry(control_tables& aTables, const std::string& aPayload);

/// System: stores reports, finalizes windows and sends them while this process
/// leads.
void RunUsage(control_tables& aTables,
              steady_time aNow,
              control_outbox& aOutbox);

} // namespace bulrush::control

#endif
