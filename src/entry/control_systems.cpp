#include "entry/request_log.hpp"
#include "entry/tables.hpp"
#include "observe/observe.hpp"

namespace bulrush::entry {
namespace {

constexpr log_component kLog{ "entry" };

constexpr std::chrono::milliseconds kReportInterval{ 1'000 };
constexpr std::chrono::milliseconds kControlTimeout{ 1'500 };
/// An answer to a report takes a few milliseconds. Without one for this long,
/// another control process gets the next report at once.
constexpr std::chrono::milliseconds kReportTimeout{ 300 };
/// Delay before reporting to another control process when one lags behind.
constexpr std::chrono::milliseconds kLaggingReportDelay{ 250 };
constexpr std::chrono::milliseconds kCommandRetryInterval{ 700 };
/// An unknown key or path may have been added after the newest configuration
/// known here. Requests are denied by one that was in force at most this long
/// ago: two reports.
constexpr std::chrono::milliseconds kMaxDenialAge{ 2'000 };
/// Engines report more often than this, so after it their own reports are newer
/// than the leader's update.
constexpr std::chrono::milliseconds kHeldLifetime{ 10'000 };

// A host applies the committed commands of the replicated log, so that it has
// the same configuration as the control processes. Commands out of order are
// skipped until the next update; older snapshots are ignored.
void
ApplyConfiguration(entry_tables& aTables, const wire::host_update& aUpdate)
{
  if (!aUpdate.snapshot.empty()) {
    last_reason reason;
    auto state = wire::DecodeState(aUpdate.snapshot, reason);
    if (state && state->revision > aTables.fleet->revision) {
      aTables.fleet = std::make_shared<fleet_state>(std::move(*state));
      aTables.hasNewFleet = true;
    }
  }
  std::shared_ptr<fleet_state> next;
  for (const wire::numbered_command& command : aUpdate.commands) {
    const fleet_state& current = next ? *next : *aTables.fleet;
    if (command.revision != current.revision + 1) {
      continue;
    }
    if (!next) {
      next = std::make_shared<fleet_state>(*aTables.fleet);
    }
    Apply(*next, command.command);
  }
  if (next) {
    aTables.fleet = std::move(next);
    aTables.hasNewFleet = true;
  }
  aTables.newestRevision = std::max(aTables.newestRevision, aUpdate.revision);
}

// Counts from when the report was sent that the update answers, since the
// configuration may have changed after that.
void
UpdateMayDeny(entry_tables& aTables, const wire::host_update& aUpdate)
{
  if (aTables.fleet->revision < aTables.newestRevision) {
    aTables.mayDenyUntil = {};
  } else if (aUpdate.isCaughtUp && aUpdate.renewal == aTables.lastReport) {
    aTables.mayDenyUntil = aTables.lastReportAt + kMaxDenialAge;
    aTables.confirmedAt = aTables.lastReportAt;
  }
}

bool
UpdateEndpoint(entry_tables& aTables, const endpoint_row& aRow)
{
  last_reason reason;
  if (!IsInRange(aRow, reason)) {
    LogWarning(kLog, "Ignored an endpoint: {}", Describe(reason));
    return false;
  }
  const endpoint_row* known = aTables.endpoints.Find(aRow.id);
  if (known != nullptr && !IsNewer(aRow, *known)) {
    return false;
  }
  const bool wasLeaving = known != nullptr && known->isLeaving;
  if (aRow.isLeaving && !wasLeaving) {
    LogEvent(kLog,
             log_level::eInfo,
             "endpoint_leaving",
             { { "endpoint", aRow.name },
               { "sequence", std::to_string(aRow.sequence) } });
  }
  aTables.endpoints.Insert(aRow);
  aTables.hasNewEndpoints = true;
  return true;
}

void
AddTombstones(entry_tables& aTables, const std::vector<key_hash>& aKeys)
{
  for (const key_hash& key : aKeys) {
    if (aTables.tombstones.Find(key) == nullptr) {
      aTables.tombstones.Insert({ key });
      aTables.hasNewTombstones = true;
    }
  }
}

// A control process that lags behind may still name the leader of an earlier
// term.
void
UpdateLeader(entry_tables& aTables,
             const std::string& aSender,
             const wire::host_update& aUpdate)
{
  if (aUpdate.leader.empty() || aUpdate.term < aTables.leaderTerm) {
    return;
  }
  aTables.leaderTerm = aUpdate.term;
  if (aUpdate.leader != aTables.leader) {
    aTables.leader = aUpdate.leader;
    LogEvent(kLog,
             log_level::eInfo,
             "leader",
             { { "control", aTables.leader },
               { "term", std::to_string(aTables.leaderTerm) },
               { "from", aSender } });
  }
}

// The set of control processes changes; each update lists the current ones.
void
UpdateControls(entry_tables& aTables,
               const wire::host_update& aUpdate,
               entry_outbox& aOutbox)
{
  for (const wire::control_address& control : aUpdate.controls) {
    if (aTables.controls.Find(IdOf<replica_id>(control.name)) == nullptr) {
      aOutbox.links.push_back(control);
    }
  }
}

// What comes from control is not reported to it again.
void
MergeFromControl(entry_tables& aTables,
                 const quarantine::evidence& aEvidence,
                 steady_time aNow,
                 entry_outbox& aOutbox)
{
  if (aEvidence.Empty()) {
    return;
  }
  const bool isReported = aTables.sentEvidence == aTables.quarantined.serial;
  quarantine::Merge(aTables.quarantined, aEvidence, aNow);
  if (isReported) {
    aTables.sentEvidence = aTables.quarantined.serial;
  }
  aOutbox.evidence.push_back(aEvidence);
}

void
HandleMessage(entry_tables& aTables,
              const std::string& aSender,
              const wire::host_update& aUpdate,
              steady_time aNow,
              entry_outbox& aOutbox)
{
  MergeFromControl(aTables, aUpdate.evidence, aNow, aOutbox);
  aTables.latestUpdate = { aSender, aUpdate.revision, aUpdate.isCaughtUp };
  UpdateControls(aTables, aUpdate, aOutbox);
  UpdateLeader(aTables, aSender, aUpdate);
  AddTombstones(aTables, aUpdate.tombstones);
  ApplyConfiguration(aTables, aUpdate);
  UpdateMayDeny(aTables, aUpdate);
  for (const endpoint_row& row : aUpdate.endpoints) {
    UpdateEndpoint(aTables, row);
  }
  for (const endpoint_id& id : aUpdate.removedEndpoints) {
    const endpoint_row* known = aTables.endpoints.Find(id);
    if (known == nullptr) {
      continue;
    }
    LogEvent(kLog,
             log_level::eInfo,
             "endpoint_removed",
             { { "endpoint", known->name }, { "from", aSender } });
    aTables.endpoints.Erase(id);
    aTables.hasNewEndpoints = true;
  }
}

void
HandleMessage(entry_tables& aTables,
              const wire::held_update& aUpdate,
              steady_time aNow)
{
  for (const wire::held_models& engine : aUpdate.engines) {
    aTables.held.Insert(
      { engine.endpoint, engine.incarnation, engine.residents, aNow });
  }
  aTables.hasNewEndpoints = true;
}

// After "no leader" the command is sent again until its deadline. That is safe,
// since the state machine identifies it by its claim and token.
void
HandleMessage(entry_tables& aTables,
              const wire::command_reply& aReply,
              entry_outbox& aOutbox)
{
  const pending_command* command =
    aTables.commands.Find(call_id{ aReply.call });
  if (command == nullptr || aReply.outcome == wire::call_outcome::eNoLeader) {
    return;
  }
  aOutbox.replies.emplace_back(command->onReply, aReply);
  aTables.commands.Erase(call_id{ aReply.call });
}

// A control process that is cut off from the leader, or still receives the log,
// answers with stale state, so the next report goes to another one, and
// earlier.
void
RecordCaughtUp(entry_tables& aTables,
               const std::string& aSender,
               const wire::host_update& aUpdate)
{
  control_row* control = aTables.controls.Find(IdOf<replica_id>(aSender));
  if (control == nullptr) {
    return;
  }
  control->isCaughtUp = aUpdate.isCaughtUp && !aUpdate.leader.empty();
  if (!control->isCaughtUp) {
    aTables.nextReport =
      std::min(aTables.nextReport, control->lastSeen + kLaggingReportDelay);
  }
}

// Updates are sent once, and lost if their connection breaks. A gap in their
// numbers is reported at once.
void
CheckUpdateNumber(entry_tables& aTables,
                  const wire::message& aMessage,
                  const wire::host_update& aUpdate,
                  steady_time aNow)
{
  control_row* control =
    aTables.controls.Find(IdOf<replica_id>(aMessage.sender));
  if (control == nullptr || aUpdate.number == 0) {
    return; // zero: of an earlier release
  }
  if (control->incarnation != aMessage.incarnation) {
    control->incarnation = aMessage.incarnation;
    control->updates = 0;
    aTables.evidenceControl = {}; // it may know nothing
  }
  const bool hasGap = aUpdate.number > control->updates + 1;
  if (aUpdate.number == 1) {
    control->missesUpdates = false;
  } else if (hasGap && !control->missesUpdates) {
    control->missesUpdates = true;
    aTables.nextReport = aNow;
  }
  control->updates = aUpdate.number;
}

void
RunIngest(entry_tables& aTables, steady_time aNow, entry_outbox& aOutbox)
{
  const auto inbox = std::move(aTables.inbox);
  aTables.inbox.clear();
  for (const wire::message& message : inbox) {
    if (control_row* control =
          aTables.controls.Find(IdOf<replica_id>(message.sender))) {
      control->lastSeen = aNow;
      if (control->id == aTables.awaitedControl) {
        aTables.awaitedControl = {};
      }
    }
    if (const auto* update = std::get_if<wire::host_update>(&message.body)) {
      RecordCaughtUp(aTables, message.sender, *update);
      CheckUpdateNumber(aTables, message, *update, aNow);
      HandleMessage(aTables, message.sender, *update, aNow, aOutbox);
    } else if (const auto* held =
                 std::get_if<wire::held_update>(&message.body)) {
      HandleMessage(aTables, *held, aNow);
    } else if (const auto* granted =
                 std::get_if<wire::share_grant>(&message.body)) {
      aOutbox.grants.push_back(granted->grant);
    } else if (const auto* quotaGrant =
                 std::get_if<rates::quota_grant>(&message.body)) {
      aOutbox.quotaGrants.push_back(*quotaGrant);
    } else if (const auto* reply =
                 std::get_if<wire::command_reply>(&message.body)) {
      HandleMessage(aTables, *reply, aOutbox);
    }
  }
  const auto reports = std::move(aTables.reports);
  aTables.reports.clear();
  for (const endpoint_row& row : reports) {
    if (UpdateEndpoint(aTables, row)) {
      aTables.unreportedEndpoints.push_back(row);
    }
  }
}

// Logs the beginning and the end of each time in which the configuration is not
// known to be the newest, with the control process that answered last.
void
RunConfigurationAge(entry_tables& aTables, steady_time aNow, entry_outbox&)
{
  const auto age = aNow - aTables.confirmedAt;
  const bool isOutdated = age >= kMaxDenialAge;
  if (isOutdated == aTables.isOutdated ||
      aTables.confirmedAt == steady_time{}) {
    return;
  }
  aTables.isOutdated = isOutdated;
  const latest_update& latest = aTables.latestUpdate;
  LogEvent(kLog,
           log_level::eInfo,
           isOutdated ? "configuration_unconfirmed" : "configuration_confirmed",
           { { "age_ms", Milliseconds(age) },
             { "number", std::to_string(aTables.fleet->declared.number) },
             { "revision", std::to_string(aTables.fleet->revision) },
             { "newest", std::to_string(aTables.newestRevision) },
             { "control", latest.sender },
             { "control_revision", std::to_string(latest.revision) },
             { "control_caught_up", latest.isCaughtUp ? "yes" : "no" } });
}

// The delegate of this host's failure domain in the current configuration.
const control_row*
Delegate(const entry_tables& aTables)
{
  const auto domain = IdOf<domain_id>(aTables.self.domain);
  const domain_state_row* state = aTables.fleet->domains.Find(domain);
  return state == nullptr ? nullptr : aTables.controls.Find(state->delegate);
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
  const steady_time timesOutAt = aTables.lastReportAt + kReportTimeout;
  if (aNow < timesOutAt) {
    aOutbox.wake.NoLaterThan(timesOutAt);
    return;
  }
  control->lastSeen = {};
  aTables.awaitedControl = {};
  aTables.evidenceControl = {};
  aTables.nextReport = aNow;
}

// Reports periodically, and at once when endpoints have reported or a new
// configuration is in force.
void
RunReport(entry_tables& aTables, steady_time aNow, entry_outbox& aOutbox)
{
  quarantine::Expire(aTables.quarantined, aNow);
  const bool isDue = aNow >= aTables.nextReport;
  const bool hasEvidence = aTables.quarantined.serial > aTables.sentEvidence;
  if (!isDue && aTables.unreportedEndpoints.empty() && !aTables.hasNewFleet &&
      !hasEvidence) {
    aOutbox.wake.NoLaterThan(aTables.nextReport);
    return;
  }
  const control_row* control = CurrentControl(aTables, aNow);
  if (control == nullptr) {
    return;
  }
  if (control->id != aTables.evidenceControl) {
    aTables.evidenceControl = control->id;
    aTables.sentEvidence = 0;
  }
  wire::host_report report;
  report.evidence =
    quarantine::ChangesSince(aTables.quarantined, aTables.sentEvidence);
  aTables.sentEvidence = aTables.quarantined.serial;
  report.domain = aTables.self.domain;
  report.renewal = ++aTables.lastReport;
  aTables.lastReportAt = aNow;
  aTables.awaitedControl = control->id;
  aOutbox.wake.NoLaterThan(aNow + kReportTimeout);
  report.revision = aTables.fleet->revision;
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

// Endpoints as they reported themselves, with the leader's newer residents.
std::vector<endpoint_row>
EffectiveEndpoints(const entry_tables& aTables, steady_time aNow)
{
  std::vector<endpoint_row> rows(aTables.endpoints.begin(),
                                 aTables.endpoints.end());
  for (endpoint_row& row : rows) {
    const held_row* held = aTables.held.Find(row.id);
    if (held != nullptr && held->incarnation == row.incarnation &&
        aNow < held->receivedAt + kHeldLifetime) {
      row.residents = held->residents;
    }
  }
  return rows;
}

void
RunPublish(entry_tables& aTables, steady_time aNow, entry_outbox& aOutbox)
{
  traffic_view& view = aTables.published;
  const bool isSame = !aTables.hasNewFleet && !aTables.hasNewEndpoints &&
                      !aTables.hasNewTombstones &&
                      view.mayDenyUntil == aTables.mayDenyUntil &&
                      view.confirmedAt == aTables.confirmedAt &&
                      view.isStopping == aTables.isStopping;
  if (isSame) {
    return;
  }
  if (aTables.hasNewFleet) {
    view.fleet = aTables.fleet;
    LogEvent(kLog,
             log_level::eInfo,
             "configuration",
             { { "revision", std::to_string(aTables.fleet->revision) },
               { "number", std::to_string(aTables.fleet->declared.number) },
               { "newest", std::to_string(aTables.newestRevision) } });
  }
  if (aTables.hasNewEndpoints) {
    view.endpoints = std::make_shared<const std::vector<endpoint_row>>(
      EffectiveEndpoints(aTables, aNow));
  }
  if (aTables.hasNewTombstones) {
    std::unordered_set<key_hash, id_hash> keys;
    for (const tombstone_row& row : aTables.tombstones) {
      keys.insert(row.id);
    }
    view.tombstones =
      std::make_shared<const std::unordered_set<key_hash, id_hash>>(
        std::move(keys));
  }
  view.isStopping = aTables.isStopping;
  view.mayDenyUntil = aTables.mayDenyUntil;
  view.confirmedAt = aTables.confirmedAt;
  aTables.hasNewFleet = false;
  aTables.hasNewEndpoints = false;
  aTables.hasNewTombstones = false;
  aOutbox.view = view;
}

constexpr std::array<named_system<entry_tables, entry_outbox>, 9> kSystems{
  { { "ingest", RunIngest },
    { "configuration_age", RunConfigurationAge },
    { "demand", RunDemand },
    { "draws", RunQuotaRequests },
    { "renewals", RunRenewals },
    { "report_timeout", RunReportTimeout },
    { "report", RunReport },
    { "commands", RunCommands },
    { "publish", RunPublish } }
};

} // namespace

void
HandleEvidence(entry_tables& aTables,
               const quarantine::evidence& aEvidence,
               steady_time aNow)
{
  quarantine::Merge(aTables.quarantined, aEvidence, aNow);
}

namespace {

// Lower is better. By name, each host has an order of its own, so that a
// control process that is lost leaves its hosts to all others.
std::uint64_t
RankOf(const entry_tables& aTables, const control_row& aControl)
{
  return aTables.spreadsReports
           ? StableHash(aTables.self.name + '\n' + aControl.address)
           : aControl.preference;
}

std::uint64_t
FirstTurnOf(const entry_tables& aTables)
{
  return aTables.spreadsReports
           ? StableHash(aTables.self.name) % aTables.controls.Size()
           : 0;
}

} // namespace

// The best control process that is reachable and does not lag behind; if there
// is none, each in turn, one per report.
const control_row*
CurrentControl(const entry_tables& aTables, steady_time aNow)
{
  const control_row* best = nullptr;
  const control_row* roundRobin = nullptr;
  for (const control_row& row : aTables.controls) {
    const bool isUsable =
      row.isCaughtUp && row.lastSeen + kControlTimeout > aNow;
    if (isUsable &&
        (best == nullptr || RankOf(aTables, row) < RankOf(aTables, *best))) {
      best = &row;
    }
    const std::uint64_t turn =
      (FirstTurnOf(aTables) + aTables.lastReport) % aTables.controls.Size();
    if (row.preference == turn) {
      roundRobin = &row;
    }
  }
  return best != nullptr ? best : roundRobin;
}

void
RunEntryControl(entry_tables& aTables, steady_time aNow, entry_outbox& aOutbox)
{
  RunTick(kSystems, aTables, aNow, aOutbox);
}

} // namespace bulrush::entry
