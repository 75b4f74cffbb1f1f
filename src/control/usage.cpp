#include "control/usage.hpp"

#include "control/tables.hpp"
#include "observe/observe.hpp"

namespace bulrush::control {
namespace {

constexpr log_component kLog{ "control" };

std::string
Number(std::uint64_t aNumber)
{
  return std::to_string(aNumber);
}

std::string
Milliseconds(std::chrono::milliseconds aTime)
{
  return std::to_string(aTime.count());
}

// The names of removed workspaces are kept: their last requests are counted
// after the configuration without them is in force.
void
SyncNames(control_tables& aTables)
{
  usage_tables& usage = aTables.usage;
  if (usage.manifestRevision == aTables.fleet.manifestRevision) {
    return;
  }
  usage.manifestRevision = aTables.fleet.manifestRevision;
  for (const workspace_row& workspace : aTables.fleet.declared.workspaces) {
    usage.names.Insert({ workspace.id, workspace.name });
  }
}

// The previous leader may still send until its lease has ended, however short
// the configured wait is.
std::optional<duties::duty_term>
TermOf(control_tables& aTables, steady_time aNow)
{
  const auto leaderTerm =
    aTables.log.leaderTerm ? aTables.log.leaderTerm(aNow) : std::nullopt;
  if (!leaderTerm) {
    return std::nullopt;
  }
  auto& wait = aTables.usage.ledger.settings.dutyLease;
  wait = std::max(wait, leaderTerm->previousLease);
  return duties::duty_term{ leaderTerm->term, leaderTerm->holdsLease };
}

// Hosts send their slices again to a process that leads.
void
StoreReports(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  usage_tables& usage = aTables.usage;
  const auto reports = std::exchange(usage.reports, {});
  if (!usage.ledger.duty.isHeld) {
    return;
  }
  for (const received_usage& input : reports) {
    const std::uint64_t through =
      duties::StoreSlices(usage.ledger, input.report, aNow);
    aOutbox.messages.push_back(
      { input.peer, "", wire::usage_ack{ input.report.incarnation, through } });
  }
}

void
LogDuties(const duties::ledger_outbox& aDecided)
{
  for (const duties::duty_change& change : aDecided.duties) {
    LogEvent(kLog,
             log_level::eInfo,
             change.isHeld ? "duty_acquired" : "duty_lost",
             { { "duty", "usage_report" }, { "token", Number(change.token) } });
  }
}

// The ledger repeats entries that the log did not take.
void
ProposeEntries(control_tables& aTables,
               steady_time aNow,
               const duties::ledger_outbox& aDecided)
{
  const duties::ledger_tables& ledger = aTables.usage.ledger;
  last_reason reason;
  for (const duties::usage_window& window : aDecided.finalized) {
    std::uint64_t requests = 0;
    for (const duties::usage_total& total : window.totals) {
      requests += total.requests;
    }
    LogEvent(kLog,
             log_level::eInfo,
             "window_finalized",
             { { "window", Number(window.id.value) },
               { "token", Number(ledger.duty.term) },
               { "requests", Number(requests) },
               { "workspaces", Number(window.totals.size()) },
               { "age_ms", Milliseconds(AgeOf(ledger, window.id, aNow)) } });
    aTables.log.propose(wire::EncodeUsageEntry(window), reason);
  }
  if (aDecided.reportedThrough) {
    aTables.log.propose(wire::EncodeUsageEntry(
                          wire::windows_reported{ *aDecided.reportedThrough }),
                        reason);
  }
}

void
LogAnswer(const duties::window_answer& aAnswer,
          log_level aLevel,
          std::string_view aEvent)
{
  LogEvent(kLog,
           aLevel,
           aEvent,
           { { "window", Number(aAnswer.window.value) },
             { "token", Number(aAnswer.token) },
             { "age_ms", Milliseconds(aAnswer.age) } });
}

void
CountAnswers(const duties::ledger_outbox& aDecided, usage_outbox& aOutbox)
{
  for (const duties::window_answer& answer : aDecided.answers) {
    switch (answer.outcome) {
      case duties::call_outcome::eAccepted:
        ++aOutbox.acknowledged;
        LogAnswer(answer, log_level::eInfo, "usage_acknowledged");
        break;
      case duties::call_outcome::eBusy:
        ++aOutbox.refused;
        LogAnswer(answer, log_level::eWarning, "usage_refused");
        break;
      case duties::call_outcome::eRefused:
        ++aOutbox.refused;
        LogAnswer(answer, log_level::eError, "usage_rejected");
        break;
      case duties::call_outcome::eNoAnswer:
        ++aOutbox.unanswered;
        LogAnswer(answer, log_level::eWarning, "usage_unanswered");
        break;
    }
  }
}

void
SendCall(const control_tables& aTables,
         const duties::ledger_outbox& aDecided,
         usage_outbox& aOutbox)
{
  aOutbox.abortsCall = aDecided.abortsCall;
  if (!aDecided.send) {
    return;
  }
  const duties::send_window& send = *aDecided.send;
  LogEvent(kLog,
           log_level::eInfo,
           "usage_sent",
           { { "window", Number(send.window.id.value) },
             { "token", Number(send.token) },
             { "age_ms", Milliseconds(send.age) } });
  outgoing_usage out;
  out.call = send.call;
  out.timeout = send.timeout;
  out.usage = { aTables.usage.address,
                aTables.self.name,
                send.token,
                send.window.id.value,
                send.window.totals };
  aOutbox.send = std::move(out);
}

} // namespace

void
HandleUsageReport(control_tables& aTables,
                  const received_message& aInput,
                  const wire::usage_report& aReport)
{
  if (aTables.usage.ledger.settings.window.count() == 0) {
    return;
  }
  duties::slices_report report;
  report.host = IdOf<host_id>(aInput.peer);
  report.incarnation = aReport.incarnation;
  report.sentAt = aReport.sentAt;
  for (const wire::usage_slice& from : aReport.slices) {
    duties::received_slice slice{ from.number, from.age, {} };
    for (const wire::usage_count& count : from.counts) {
      slice.counts.push_back({ count.workspace, count.requests });
    }
    report.slices.push_back(std::move(slice));
  }
  aTables.usage.reports.push_back({ aInput.peer, std::move(report) });
}

bool
ApplyUsageEntry(control_tables& aTables, const std::string& aPayload)
{
  const auto entry = wire::DecodeUsageEntry(aPayload);
  if (!entry) {
    return false;
  }
  duties::window_log& log = aTables.usage.ledger.log;
  if (const auto* window = std::get_if<duties::usage_window>(&*entry)) {
    duties::OnWindowFinalized(log, *window);
  } else {
    duties::OnWindowsReported(log,
                              std::get<wire::windows_reported>(*entry).through);
  }
  return true;
}

void
RunUsage(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  usage_tables& usage = aTables.usage;
  if (usage.ledger.settings.window.count() == 0) {
    return;
  }
  SyncNames(aTables);
  usage.ledger.workspaceName = [&usage](workspace_id aId) {
    const workspace_name* known = usage.names.Find(aId);
    return known == nullptr ? std::string() : known->name;
  };
  duties::ledger_outbox decided;
  duties::OnDutyTerm(usage.ledger, TermOf(aTables, aNow), aNow, decided);
  for (const usage_answer& answer : std::exchange(usage.answers, {})) {
    duties::OnCallEnd(usage.ledger, answer.call, answer.outcome, aNow, decided);
  }
  StoreReports(aTables, aNow, aOutbox);
  duties::RunLedger(usage.ledger, aNow, decided);
  LogDuties(decided);
  ProposeEntries(aTables, aNow, decided);
  CountAnswers(decided, aOutbox.usage);
  SendCall(aTables, decided, aOutbox.usage);
  aOutbox.wake.NoLaterThan(decided.wake.at);
}

} // namespace bulrush::control
