#include "duties/duties.hpp"

#include <algorithm>
#include <cstring>
#include <map>

namespace bulrush::duties {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// Length of the hosts' slices.
constexpr milliseconds kSlice{ 250 };
/// A clock that was not reported for so long has no part in the median.
constexpr milliseconds kClockLifetime{ 10'000 };
/// Hosts report every 500 ms; after three reports the clocks of all that are
/// connected are known, and their retained slices have arrived.
constexpr milliseconds kSettleTime{ 1'500 };
constexpr milliseconds kFirstBackoff{ 250 };
constexpr milliseconds kMaxBackoff{ 2'000 };
/// Half of the usual `late` remains after a window was finalized, which is
/// enough for three calls.
constexpr milliseconds kFirstTimeout{ 1'500 };
/// A platform that answers more slowly would be called again forever.
constexpr milliseconds kMaxTimeout{ 6'000 };
/// Far longer than hosts retain slices (30 s).
constexpr milliseconds kRetention{ 60'000 };
constexpr milliseconds kExpiryInterval{ 1'000 };
/// Bounds the entries that one tick writes after a time without a leader.
constexpr std::size_t kMaxPerTick = 16;
/// Bounds the state and its snapshot while the platform is down.
constexpr std::size_t kMaxWaiting = 1'000;
/// For entries that the log did not take, or has not committed yet.
constexpr milliseconds kProposalInterval{ 1'000 };

template<class id_type>
id_type
IdOfNumbers(std::initializer_list<std::uint64_t> aNumbers)
{
  std::string bytes(aNumbers.size() * sizeof(std::uint64_t), '\0');
  std::memcpy(bytes.data(), aNumbers.begin(), bytes.size());
  return IdOf<id_type>(bytes);
}

nanoseconds
StartOf(const ledger_tables& aTables, std::uint64_t aWindow)
{
  return aTables.settings.window * static_cast<std::int64_t>(aWindow);
}

// By the median clock, which must be known.
steady_time
SteadyStartOf(const ledger_tables& aTables, std::uint64_t aWindow)
{
  return steady_time{} + duration_cast<steady_time::duration>(
                           StartOf(aTables, aWindow) - *aTables.offset);
}

std::uint64_t
WindowAt(const ledger_tables& aTables, steady_time aTime)
{
  const nanoseconds wall = aTime.time_since_epoch() + *aTables.offset;
  return wall.count() <= 0
           ? 0
           : static_cast<std::uint64_t>(wall / aTables.settings.window);
}

// The lower of two middle clocks, so that the result is that of a host. Without
// a recent report the last median is kept.
void
UpdateOffset(ledger_tables& aTables, steady_time aNow)
{
  std::vector<nanoseconds> offsets;
  for (const ledger_clock& clock : aTables.clocks) {
    if (aNow < clock.at + kClockLifetime) {
      offsets.push_back(clock.offset);
    }
  }
  if (offsets.empty()) {
    return;
  }
  const auto middle =
    offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  aTables.offset = *middle;
}

std::uint64_t
NewestWindow(const ledger_tables& aTables)
{
  std::uint64_t newest =
    std::max(aTables.log.reportedThrough, aTables.proposedThrough);
  for (const usage_window& window : aTables.log.waiting) {
    newest = std::max(newest, window.id.value);
  }
  return newest;
}

std::vector<usage_total>
TotalsOf(const ledger_tables& aTables,
         const std::map<std::uint64_t, std::uint64_t>& aCounts)
{
  std::map<std::string, std::uint64_t> named;
  for (const auto& [workspace, requests] : aCounts) {
    const std::string name = aTables.workspaceName(workspace_id{ workspace });
    if (!name.empty()) {
      named[name] += requests;
    }
  }
  std::vector<usage_total> totals;
  totals.reserve(named.size());
  for (const auto& [name, requests] : named) {
    totals.push_back({ name, requests });
  }
  return totals;
}

// Each window continues at the steady time where the one before ended, so that
// no slice is counted twice or left out when the median moves a little.
usage_window
CountWindow(ledger_tables& aTables, std::uint64_t aWindow)
{
  const steady_time from =
    aTables.countedUntil.value_or(SteadyStartOf(aTables, aWindow));
  const steady_time until = std::max(from, SteadyStartOf(aTables, aWindow + 1));
  std::map<std::uint64_t, std::uint64_t> counts;
  for (ledger_slice& slice : aTables.slices) {
    if (slice.isCounted || slice.middle < from || slice.middle >= until) {
      continue;
    }
    slice.isCounted = true;
    for (const slice_count& count : slice.counts) {
      counts[count.workspace.value] += count.requests;
    }
  }
  aTables.countedUntil = until;
  return { { aWindow }, TotalsOf(aTables, counts) };
}

// Without a window in the log, those that began before the first report are
// not owed: no leader has their counts.
void
BeginCounting(ledger_tables& aTables, ledger_outbox& aOutbox)
{
  const std::uint64_t through = WindowAt(aTables, *aTables.firstReport);
  if (through > 0) {
    aTables.proposedThrough = through;
    aTables.call.doneThrough = through;
    aOutbox.reportedThrough = through;
  }
}

// Windows that may still be finalized before the state is full. None until the
// log has the first entry, from which they are counted.
std::size_t
RoomFor(const ledger_tables& aTables, std::uint64_t aNext)
{
  const std::uint64_t owed = aNext - 1 - aTables.log.reportedThrough;
  return owed >= kMaxWaiting ? 0 : std::min(kMaxWaiting - owed, kMaxPerTick);
}

void
FinalizeWindows(ledger_tables& aTables,
                steady_time aNow,
                ledger_outbox& aOutbox)
{
  if (!aTables.duty.isHeld || !aTables.firstReport) {
    return;
  }
  const steady_time settled = *aTables.firstReport + kSettleTime;
  if (aNow < settled) {
    aOutbox.wake.NoLaterThan(settled);
    return;
  }
  UpdateOffset(aTables, aNow);
  if (NewestWindow(aTables) == 0) {
    BeginCounting(aTables, aOutbox);
  }
  std::uint64_t next = NewestWindow(aTables) + 1;
  const std::size_t room = RoomFor(aTables, next);
  for (std::size_t i = 0; i < room; ++i) {
    const steady_time due =
      SteadyStartOf(aTables, next + 1) + aTables.settings.late / 2;
    if (aNow < due) {
      aOutbox.wake.NoLaterThan(due);
      return;
    }
    const usage_window window = CountWindow(aTables, next);
    aTables.proposed.Insert(window);
    aOutbox.finalized.push_back(window);
    aTables.proposedThrough = next++;
  }
  if (room > 0) {
    aOutbox.wake.NoLaterThan(aNow);
  }
}

// The counts of a window stay the same, so an entry that is committed twice
// changes nothing.
void
RepeatProposals(ledger_tables& aTables,
                steady_time aNow,
                ledger_outbox& aOutbox)
{
  const window_log& log = aTables.log;
  aTables.proposed.EraseIf([&](const usage_window& aWindow) {
    return aWindow.id.value <= log.reportedThrough ||
           log.waiting.Find(aWindow.id) != nullptr;
  });
  const bool isBehind = log.reportedThrough < aTables.call.doneThrough;
  if (!aTables.duty.isHeld || (aTables.proposed.Empty() && !isBehind)) {
    aTables.nextProposals = aNow + kProposalInterval;
    return;
  }
  if (aNow >= aTables.nextProposals) {
    aTables.nextProposals = aNow + kProposalInterval;
    for (const usage_window& window : aTables.proposed) {
      aOutbox.finalized.push_back(window);
    }
    if (isBehind) {
      aOutbox.reportedThrough = aTables.call.doneThrough;
    }
  }
  aOutbox.wake.NoLaterThan(aTables.nextProposals);
}

const usage_window*
OldestUnsent(const ledger_tables& aTables)
{
  const usage_window* oldest = nullptr;
  for (const usage_window& window : aTables.log.waiting) {
    const bool isOlder = oldest == nullptr || window.id < oldest->id;
    if (window.id.value > aTables.call.doneThrough && isOlder) {
      oldest = &window;
    }
  }
  return oldest;
}

void
SendWindow(ledger_tables& aTables, steady_time aNow, ledger_outbox& aOutbox)
{
  call_row& call = aTables.call;
  if (!aTables.duty.isHeld || call.window) {
    return;
  }
  const usage_window* window = OldestUnsent(aTables);
  if (window == nullptr) {
    return;
  }
  const steady_time at = std::max(aTables.duty.sendsFrom, call.next);
  if (aNow < at) {
    aOutbox.wake.NoLaterThan(at);
    return;
  }
  constexpr std::uint32_t kMaxDoublings = 2;
  call.window = window->id;
  call.next = aNow + aTables.settings.callInterval;
  send_window send;
  send.call = ++call.last;
  send.window = *window;
  send.token = aTables.duty.term;
  send.timeout =
    std::min(kMaxTimeout,
             kFirstTimeout * (1 << std::min(call.unanswered, kMaxDoublings)));
  send.age = AgeOf(aTables, window->id, aNow);
  aOutbox.send = std::move(send);
}

void
ExpireRows(ledger_tables& aTables, steady_time aNow, ledger_outbox&)
{
  if (aNow < aTables.nextExpiry) {
    return;
  }
  aTables.nextExpiry = aNow + kExpiryInterval;
  const milliseconds kept =
    kRetention + aTables.settings.window + aTables.settings.late;
  aTables.slices.EraseIf(
    [&](const ledger_slice& aSlice) { return aSlice.middle + kept <= aNow; });
  aTables.senders.EraseIf([&](const ledger_sender& aSender) {
    return aSender.lastSeen + kept <= aNow;
  });
  aTables.clocks.EraseIf([&](const ledger_clock& aClock) {
    return aClock.at + kClockLifetime <= aNow;
  });
}

constexpr std::array<named_system<ledger_tables, ledger_outbox>, 4> kSystems{
  { { "repeat_proposals", RepeatProposals },
    { "finalize_windows", FinalizeWindows },
    { "send_window", SendWindow },
    { "expire_rows", ExpireRows } }
};

void
AbortCall(ledger_tables& aTables, ledger_outbox& aOutbox)
{
  aOutbox.abortsCall = aOutbox.abortsCall || aTables.call.window;
  aTables.call.window = {};
}

// Hosts send all retained slices again after a change of term.
void
BeginTerm(ledger_tables& aTables, std::uint32_t aTerm, steady_time aNow)
{
  aTables.duty.term = aTerm;
  aTables.duty.sendsFrom = aNow + aTables.settings.dutyLease;
  aTables.slices.Clear();
  aTables.senders.Clear();
  aTables.clocks.Clear();
  aTables.firstReport.reset();
  aTables.offset.reset();
  aTables.countedUntil.reset();
  aTables.proposed.Clear();
  aTables.proposedThrough = 0;
  const std::uint64_t lastCall = aTables.call.last;
  aTables.call = {};
  aTables.call.last = lastCall;
  aTables.call.backoff = kFirstBackoff;
}

void
SetHeld(ledger_tables& aTables, bool aIsHeld, ledger_outbox& aOutbox)
{
  if (aTables.duty.isHeld != aIsHeld) {
    aTables.duty.isHeld = aIsHeld;
    aOutbox.duties.push_back({ aIsHeld, aTables.duty.term });
  }
  if (!aIsHeld) {
    AbortCall(aTables, aOutbox);
  }
}

void
StoreSlice(ledger_tables& aTables,
           const slices_report& aReport,
           const received_slice& aSlice,
           steady_time aNow)
{
  const auto id = IdOfNumbers<ledger_slice_id>(
    { aReport.host.value, aReport.incarnation, aSlice.number });
  if (aTables.slices.Find(id) == nullptr) {
    const steady_time middle = aNow - aSlice.age - kSlice / 2;
    aTables.slices.Insert({ id, middle, false, aSlice.counts });
  }
}

} // namespace

// A report has all that its host retains and has no acknowledgement for, so a
// number that it skips belongs to a slice that is empty or was discarded.
std::uint64_t
StoreSlices(ledger_tables& aTables,
            const slices_report& aReport,
            steady_time aNow)
{
  aTables.clocks.Insert(
    { aReport.host,
      aReport.sentAt.time_since_epoch() - aNow.time_since_epoch(),
      aNow });
  if (!aTables.firstReport) {
    aTables.firstReport = aNow;
  }
  const auto id =
    IdOfNumbers<ledger_sender_id>({ aReport.host.value, aReport.incarnation });
  ledger_sender sender{ id, 0, aNow };
  if (const ledger_sender* known = aTables.senders.Find(id)) {
    sender.through = known->through;
  }
  for (const received_slice& slice : aReport.slices) {
    StoreSlice(aTables, aReport, slice, aNow);
    sender.through = std::max(sender.through, slice.number);
  }
  aTables.senders.Insert(sender);
  return sender.through;
}

// The first entry of a window decides its counts.
void
OnWindowFinalized(window_log& aLog, const usage_window& aWindow)
{
  if (aWindow.id.value > aLog.reportedThrough &&
      aLog.waiting.Find(aWindow.id) == nullptr) {
    aLog.waiting.Insert(aWindow);
  }
}

void
OnWindowsReported(window_log& aLog, std::uint64_t aThrough)
{
  aLog.reportedThrough = std::max(aLog.reportedThrough, aThrough);
  aLog.waiting.EraseIf([&](const usage_window& aWindow) {
    return aWindow.id.value <= aLog.reportedThrough;
  });
}

void
OnDutyTerm(ledger_tables& aTables,
           const std::optional<duty_term>& aTerm,
           steady_time aNow,
           ledger_outbox& aOutbox)
{
  const std::uint32_t term = aTerm ? aTerm->term : 0;
  if (term != aTables.duty.term) {
    SetHeld(aTables, false, aOutbox);
    BeginTerm(aTables, term, aNow);
  }
  SetHeld(aTables, aTerm && aTerm->holdsLease, aOutbox);
}

void
OnCallEnd(ledger_tables& aTables,
          std::uint64_t aCall,
          call_outcome aOutcome,
          steady_time aNow,
          ledger_outbox& aOutbox)
{
  call_row& call = aTables.call;
  if (!call.window || aCall != call.last) {
    return;
  }
  const window_id window = std::exchange(call.window, {});
  const milliseconds age = AgeOf(aTables, window, aNow);
  aOutbox.answers.push_back({ window, aOutcome, aTables.duty.term, age });
  call.unanswered =
    aOutcome == call_outcome::eNoAnswer ? call.unanswered + 1 : 0;
  if (aOutcome == call_outcome::eBusy || aOutcome == call_outcome::eNoAnswer) {
    call.next = std::max(call.next, aNow + call.backoff);
    call.backoff = std::min(call.backoff * 2, kMaxBackoff);
    return;
  }
  call.backoff = kFirstBackoff;
  call.doneThrough = window.value;
  aOutbox.reportedThrough = window.value;
}

void
RunLedger(ledger_tables& aTables, steady_time aNow, ledger_outbox& aOutbox)
{
  if (aTables.settings.window.count() > 0) {
    RunTick(kSystems, aTables, aNow, aOutbox);
  }
}

milliseconds
AgeOf(const ledger_tables& aTables, window_id aWindow, steady_time aNow)
{
  if (!aTables.offset) {
    return milliseconds{ 0 };
  }
  return duration_cast<milliseconds>(aNow -
                                     SteadyStartOf(aTables, aWindow.value + 1));
}

} // namespace bulrush::duties
