#ifndef BULRUSH_DUTIES_LEDGER_HPP
#define BULRUSH_DUTIES_LEDGER_HPP

/// Usage ledger of the leader: stores the slices that hosts report, finalizes
/// the counts of each window, and decides when a window is sent.

#include "core/core.hpp"

namespace bulrush::duties {

/// The number of a window; window k begins k window lengths after 1970-01-01.
using window_id = typed_id<struct window_tag>;
using ledger_slice_id = typed_id<struct ledger_slice_tag>;
using ledger_sender_id = typed_id<struct ledger_sender_tag>;

struct ledger_settings
{
  std::chrono::milliseconds window{ 0 }; ///< zero: the part is disabled
  /// After the end of a window, when its report is due.
  std::chrono::milliseconds late{ 10'000 };
  /// Wait of a new leader before its first call.
  std::chrono::milliseconds dutyLease{ 3'000 };
  /// Least time between the starts of two calls.
  std::chrono::milliseconds callInterval{ 0 };
};

/// Requests of a workspace that began to run in a slice.
struct slice_count
{
  workspace_id workspace;
  std::uint64_t requests = 0;
};

struct received_slice
{
  std::uint64_t number = 0;
  std::chrono::milliseconds age{ 0 }; ///< of its end, when it was sent
  std::vector<slice_count> counts;
};

/// A host's report. Its slices are all that the host retains and that no leader
/// of this term has acknowledged, or the oldest of them.
struct slices_report
{
  host_id host;
  std::uint64_t incarnation = 0;
  wall_time sentAt; ///< by the host's clock
  std::vector<received_slice> slices;
};

/// A slice as it is stored; kept for a while after it was counted, so that a
/// duplicate is recognized.
struct ledger_slice
{
  ledger_slice_id id; ///< hash of host, incarnation and number
  steady_time middle;
  bool isCounted = false;
  std::vector<slice_count> counts;
};

/// One incarnation of a host.
struct ledger_sender
{
  ledger_sender_id id;
  std::uint64_t through = 0; ///< all its slices up to this number are stored
  steady_time lastSeen;
};

/// The clock of a host.
struct ledger_clock
{
  host_id id;
  /// Its wall time minus this process's steady time.
  std::chrono::nanoseconds offset{ 0 };
  steady_time at;
};

/// Requests of a workspace in a window. The name is stored, so that all sends
/// of the window are equal when the configuration changes in between.
struct usage_total
{
  std::string workspace;
  std::uint64_t requests = 0;

  auto operator<=>(const usage_total&) const = default;
};

struct usage_window
{
  window_id id;
  std::vector<usage_total> totals; ///< by name
};

/// The replicated part of the ledger, which entries of the log change.
struct window_log
{
  table<window_id, usage_window> waiting; ///< finalized, not acknowledged
  /// Neither this window nor an earlier one is owed; zero: nothing is known.
  std::uint64_t reportedThrough = 0;
};

/// The term in which this process leads.
struct duty_term
{
  std::uint32_t term = 0;
  bool holdsLease = false;
};

struct duty_row
{
  std::uint32_t term = 0; ///< the fencing token; zero: not the leader
  bool isHeld = false;    ///< with a confirmed lease
  steady_time sendsFrom;
};

enum class call_outcome : std::uint8_t
{
  eAccepted,
  eBusy,     ///< to be sent again later
  eRefused,  ///< for good
  eNoAnswer, ///< the platform may have accepted it
};

/// The call in flight, and the time of the next one.
struct call_row
{
  std::uint64_t last = 0; ///< number of the newest call
  window_id window;       ///< of the open call; none: no call is open
  steady_time next;
  std::chrono::milliseconds backoff{ 0 };
  std::uint32_t unanswered = 0;  ///< calls in succession
  std::uint64_t doneThrough = 0; ///< newest window answered in this term
};

struct ledger_tables
{
  ledger_settings settings;
  /// Empty for a workspace without a known name, whose requests are not
  /// reported.
  std::function<std::string(workspace_id)> workspaceName;
  window_log log;
  duty_row duty;
  // The rest is of the current term.
  table<ledger_slice_id, ledger_slice> slices;
  table<ledger_sender_id, ledger_sender> senders;
  table<host_id, ledger_clock> clocks;
  std::optional<steady_time> firstReport;
  std::optional<std::chrono::nanoseconds> offset; ///< median of clocks
  std::uint64_t proposedThrough = 0;              ///< windows given to the log
  table<window_id, usage_window> proposed;        ///< not committed yet
  steady_time nextProposals;
  /// End of the newest finalized window.
  std::optional<steady_time> countedUntil;
  steady_time nextExpiry;
  call_row call;
};

struct send_window
{
  std::uint64_t call = 0;
  usage_window window;
  std::uint32_t token = 0;
  std::chrono::milliseconds timeout{ 0 };
  std::chrono::milliseconds age{ 0 }; ///< since the end of the window
};

struct window_answer
{
  window_id window;
  call_outcome outcome = call_outcome::eNoAnswer;
  std::uint32_t token = 0;
  std::chrono::milliseconds age{ 0 };
};

struct duty_change
{
  bool isHeld = false;
  std::uint32_t token = 0;
};

struct ledger_outbox
{
  std::vector<usage_window> finalized; ///< to be written to the log
  /// To be written to the log: nothing up to this window is owed any more.
  std::optional<std::uint64_t> reportedThrough;
  bool abortsCall = false; ///< before `send`
  std::optional<send_window> send;
  std::vector<window_answer> answers;
  std::vector<duty_change> duties;
  wake_time wake;
};

/// Stores the slices of a report. Returns the number to acknowledge, up to
/// which all slices of that incarnation are stored.
std::uint64_t StoreSlices(ledger_tables& aTables,
                          const slices_report& aReport,
                          steady_time aNow);

/// Committed entries of the log.
void OnWindowFinalized(window_log& aLog, const usage_window& aWindow);
void OnWindowsReported(window_log& aLog, std::uint64_t aThrough);

/// Called in each tick before the other functions. nullopt: not the leader.
void OnDutyTerm(ledger_tables& aTables,
                const std::optional<duty_term>& aTerm,
                steady_time aNow,
                ledger_outbox& aOutbox);

/// A call ended; ignored if it is not the open one.
void OnCallEnd(ledger_tables& aTables,
               std::uint64_t aCall,
               call_outcome aOutcome,
               steady_time aNow,
               ledger_outbox& aOutbox);

/// Finalizes windows, sends one, and discards old rows.
void RunLedger(ledger_tables& aTables,
               steady_time aNow,
               ledger_outbox& aOutbox);

/// Time since the end of a window; zero while no clock is known.
std::chrono::milliseconds AgeOf(const ledger_tables& aTables,
                                window_id aWindow,
                                steady_time aNow);

} // namespace bulrush::duties

#endif
