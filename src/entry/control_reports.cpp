/// What a host sends to control processes, and which of them it reports to.

#include "entry/control_systems.hpp"
#include "observe/observe.hpp"

#include <algorithm>

namespace bulrush::entry {
namespace {

constexpr log_component kLog{ "entry" };

/// A control process that is lost is noticed after this and kReportTimeout.
constexpr std::chrono::milliseconds kReportInterval{ 500 };
/// While the host has loads of endpoints for other hosts: what a load says of
/// an endpoint lasts for about a second. Hosts without such loads report less
/// often, as control processes have a fraction of a core for up to 90 hosts.
constexpr std::chrono::milliseconds kLoadReportInterval{ 250 };
constexpr std::chrono::milliseconds kControlTimeout{ 1'500 };
/// An answer to a report takes a few milliseconds. Without one for this long,
/// another control process gets the next report at once.
constexpr std::chrono::milliseconds kReportTimeout{ 300 };
/// A report without a link is repeated soon, as links come up within
/// milliseconds.
constexpr std::chrono::milliseconds kLinkTimeout{ 50 };
constexpr std::chrono::milliseconds kCommandRetryInterval{ 700 };

// The delegate of this host's failure domain in the current configuration.
const control_row*
Delegate(const entry_tables& aTables)
{
  const auto domain = IdOf<domain_id>(aTables.self.domain);
  const domain_state_row* state = aTables.fleet->domains.Find(domain);
  return state == nullptr ? nullptr : aTables.controls.Find(state->delegate);
}

// Lower is better. By name, each host has an order of its own, so that a
// control process that is lost leaves its hosts to all others.
std::uint64_t
RankOf(const entry_tables& aTables, const control_row& aControl)
{
  return aTables.spreadsReports
           ? StableHash(aTables.self.name + '\n' + aControl.address)
           : aControl.preference;
}

// A report without a link is lost.
bool
HasLink(const entry_tables& aTables, const control_row& aControl)
{
  return !aTables.canSend || aTables.canSend(aControl);
}

std::vector<const control_row*>
ControlsWithLink(const entry_tables& aTables)
{
  std::vector<const control_row*> rows;
  for (const control_row& row : aTables.controls) {
    if (HasLink(aTables, row)) {
      rows.push_back(&row);
    }
  }
  return rows;
}

// Each in turn, one per report. Those without a link are left out: after the
// control hosts were replaced, most addresses lead nowhere, and each would cost
// kReportTimeout.
const control_row*
NextInTurn(const entry_tables& aTables)
{
  std::vector<const control_row*> rows = ControlsWithLink(aTables);
  if (rows.empty()) {
    for (const control_row& row : aTables.controls) {
      rows.push_back(&row);
    }
  }
  if (rows.empty()) {
    return nullptr;
  }
  std::sort(rows.begin(),
            rows.end(),
            [](const control_row* aLeft, const control_row* aRight) {
              return aLeft->preference < aRight->preference;
            });
  const std::uint64_t first =
    aTables.spreadsReports ? StableHash(aTables.self.name) : 0;
  return rows[(first + aTables.lastReport) % rows.size()];
}

} // namespace

// The best control process that is reachable and does not lag behind; if there
// is none, the next in turn.
const control_row*
CurrentControl(const entry_tables& aTables, steady_time aNow)
{
  const control_row* best = nullptr;
  for (const control_row& row : aTables.controls) {
    const bool isUsable =
      row.isCaughtUp && row.lastSeen + kControlTimeout > aNow;
    if (isUsable &&
        (best == nullptr || RankOf(aTables, row) < RankOf(aTables, *best))) {
      best = &row;
    }
  }
  return best != nullptr ? best : NextInTurn(aTables);
}

// Without a delegate renewals are dropped; later ones supersede them.
void
RunRenewals(entry_tables& aTables, steady_time, entry_outbox& aOutbox)
{
  const control_row* delegate = Delegate(aTables);
  for (admission::renewal& next : aTables.renewals) {
    if (delegate != nullptr) {
      wire::share_renewal sent{ std::move(next), aTables.self.domain, false };
      aOutbox.messages.push_back({ delegate->address, std::move(sent) });
    }
  }
  aTables.renewals.clear();
}

// Only the leader orders engines to load models, so demand goes to it alone.
void
RunDemand(entry_tables& aTables, steady_time, entry_outbox& aOutbox)
{
  if (aTables.demand.empty()) {
    return;
  }
  const control_row* leader =
    aTables.controls.Find(IdOf<replica_id>(aTables.leader));
  wire::demand_report sent{ std::exchange(aTables.demand, {}) };
  if (leader != nullptr) {
    aOutbox.messages.push_back({ leader->address, std::move(sent) });
  }
}

// Only the leader holds pools. Without a leader, quota requests are dropped and
// time out.
void
RunQuotaRequests(entry_tables& aTables, steady_time, entry_outbox& aOutbox)
{
  const control_row* leader =
    aTables.controls.Find(IdOf<replica_id>(aTables.leader));
  for (rates::quota_request& next : aTables.quotaRequests) {
    if (leader != nullptr) {
      aOutbox.messages.push_back({ leader->address, std::move(next) });
    }
  }
  aTables.quotaRequests.clear();
}

// Gives up a control process that has not answered in time, so that a change of
// configuration reaches the host within seconds when that process is cut off.
void
RunReportTimeout(entry_tables& aTables, steady_time aNow, entry_outbox& aOutbox)
{
  control_row* control = aTables.controls.Find(aTables.awaitedControl);
  if (control == nullptr) {
    return;
  }
  const steady_time timesOutAt = aTables.reportTimesOutAt;
  if (aNow < timesOutAt) {
    aOutbox.wake.NoLaterThan(timesOutAt);
    return;
  }
  control->lastSeen = {};
  aTables.awaitedControl = {};
  aTables.evidenceControl = {};
  aTables.nextReport = aNow;
}

void
LogReportTarget(entry_tables& aTables, const control_row& aControl)
{
  if (aControl.id == aTables.reportedTo) {
    return;
  }
  const control_row* before = aTables.controls.Find(aTables.reportedTo);
  aTables.reportedTo = aControl.id;
  LogEvent(kLog,
           log_level::eInfo,
           "reports_to",
           { { "control", aControl.address },
             { "before", before == nullptr ? "" : before->address },
             { "known_controls", std::to_string(aTables.controls.Size()) },
             { "revision", std::to_string(aTables.fleet->revision) } });
}

// The next report while there are loads to report. A report that is unanswered
// is not followed by one for loads, which would defer its time-out.
steady_time
NextReport(const entry_tables& aTables)
{
  return aTables.hasUnreportedLoads && !aTables.awaitedControl
           ? std::min(aTables.nextReport,
                      aTables.lastReportAt + kLoadReportInterval)
           : aTables.nextReport;
}

// Reports periodically, and at once when endpoints have reported or a new
// configuration is in force.
void
RunReport(entry_tables& aTables, steady_time aNow, entry_outbox& aOutbox)
{
  quarantine::Expire(aTables.quarantined, aNow);
  const steady_time nextReport = NextReport(aTables);
  const bool isDue = aNow >= nextReport;
  const bool hasEvidence = aTables.quarantined.serial > aTables.sentEvidence;
  if (!isDue && aTables.unreportedEndpoints.empty() && !aTables.hasNewFleet &&
      !hasEvidence) {
    aOutbox.wake.NoLaterThan(nextReport);
    return;
  }
  const control_row* control = CurrentControl(aTables, aNow);
  if (control == nullptr) {
    return;
  }
  LogReportTarget(aTables, *control);
  if (control->id != aTables.evidenceControl) {
    aTables.evidenceControl = control->id;
    aTables.sentEvidence = 0;
  }
  wire::host_report report;
  report.evidence =
    quarantine::ChangesSince(aTables.quarantined, aTables.sentEvidence);
  aTables.sentEvidence = aTables.quarantined.serial;
  report.loads = TakeUnreportedLoads(aTables);
  report.domain = aTables.self.domain;
  report.renewal = ++aTables.lastReport;
  aTables.lastReportAt = aNow;
  aTables.awaitedControl = control->id;
  aTables.reportTimesOutAt =
    aNow + (HasLink(aTables, *control) ? kReportTimeout : kLinkTimeout);
  aOutbox.wake.NoLaterThan(aTables.reportTimesOutAt);
  report.revision = aTables.fleet->revision;
  report.incoming =
    wire::configuration_progress{ aTables.incoming.id,
                                  aTables.incoming.bytes.size() };
  report.endpoints = std::move(aTables.unreportedEndpoints);
  report.httpAddress = aTables.self.httpAddress;
  report.isLeaving = aTables.isStopping;
  report.missesUpdates = control->missesUpdates;
  report.receivedUpdate = control->updates;
  aTables.unreportedEndpoints.clear();
  aOutbox.messages.push_back({ control->address, std::move(report) });
  aTables.nextReport = aNow + kReportInterval;
  aOutbox.wake.NoLaterThan(aTables.nextReport);
}

void
RunCommands(entry_tables& aTables, steady_time aNow, entry_outbox& aOutbox)
{
  const control_row* control = CurrentControl(aTables, aNow);
  std::vector<call_id> expired;
  for (pending_command& command : aTables.commands) {
    if (command.deadline <= aNow) {
      expired.push_back(command.id);
      continue;
    }
    if (command.nextSend <= aNow && control != nullptr) {
      wire::command_call call;
      call.call = command.id.value;
      call.command = command.command;
      call.credential = aTables.self.credential;
      aOutbox.messages.push_back({ control->address, std::move(call) });
      command.nextSend = aNow + kCommandRetryInterval;
    }
    aOutbox.wake.NoLaterThan(std::min(command.nextSend, command.deadline));
  }
  for (const call_id& id : expired) {
    wire::command_reply reply;
    reply.call = id.value;
    reply.outcome = wire::call_outcome::eUnknown;
    reply.text = "no decision before the deadline";
    aOutbox.replies.emplace_back(aTables.commands.Find(id)->onReply, reply);
    aTables.commands.Erase(id);
  }
}

} // namespace bulrush::entry
