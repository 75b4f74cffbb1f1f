/// What arrives at a host: messages of control processes and reports of
/// endpoints.

#include "entry/control_systems.hpp"
#include "observe/observe.hpp"

namespace bulrush::entry {
namespace {

constexpr log_component kLog{ "entry" };
/// Delay before reporting to another control process when one lags behind.
constexpr std::chrono::milliseconds kLaggingReportDelay{ 250 };
/// A control process that has been listed by none for this long is gone. One
/// that has just started learns of all others within seconds.
constexpr std::chrono::seconds kUnlistedLifetime{ 30 };
/// Far above any configuration; a sender could use up the memory otherwise.
constexpr std::uint64_t kMaxConfigurationBytes = 32UL * 1024 * 1024;
/// Far longer than a report is under way.
constexpr std::chrono::minutes kRemovalLifetime{ 10 };

void
InstallState(entry_tables& aTables, const std::string& aBytes)
{
  last_reason reason;
  auto state = wire::DecodeState(aBytes, reason);
  if (!state) {
    LogWarning(kLog, "Ignored a configuration: {}", Describe(reason));
  } else if (state->revision > aTables.fleet->revision) {
    aTables.fleet = std::make_shared<fleet_state>(std::move(*state));
    aTables.hasNewFleet = true;
  }
}

// The next report asks for what follows, so it does not wait for its time. A
// part from the middle of another configuration is dropped: only the control
// process that the host reports to sends what the host needs.
void
HandlePart(entry_tables& aTables,
           const wire::configuration_part& aPart,
           steady_time aNow)
{
  incoming_configuration& incoming = aTables.incoming;
  if (aPart.of.revision <= aTables.fleet->revision ||
      aPart.totalBytes > kMaxConfigurationBytes) {
    return;
  }
  if (incoming.id != aPart.of && aPart.offset == 0) {
    incoming = { aPart.of, {} };
  }
  if (incoming.id != aPart.of || incoming.bytes.size() != aPart.offset) {
    return;
  }
  incoming.bytes += aPart.bytes;
  aTables.nextReport = aNow;
  if (incoming.bytes.size() < aPart.totalBytes) {
    return;
  }
  const std::string bytes = std::exchange(incoming, {}).bytes;
  if (StableHash(bytes) == aPart.of.checksum) {
    InstallState(aTables, bytes);
  } else {
    LogWarning(kLog,
               "Dropped configuration {}: its checksum does not match",
               aPart.of.revision);
  }
}

// A host applies the committed commands of the replicated log, so that it has
// the same configuration as the control processes. Commands out of order are
// skipped until the next update; older snapshots are ignored.
void
ApplyConfiguration(entry_tables& aTables,
                   const wire::host_update& aUpdate,
                   steady_time aNow)
{
  if (aUpdate.part) {
    HandlePart(aTables, *aUpdate.part, aNow);
  }
  if (!aUpdate.snapshot.empty()) {
    InstallState(aTables, aUpdate.snapshot);
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

// After a loss of power of all machines, control processes do not know whether
// the last entries of their logs were committed until one of them leads. What
// they have applied meanwhile may be older than an acknowledged change.
void
UpdateMayServe(entry_tables& aTables, const wire::host_update& aUpdate)
{
  aTables.mayServe =
    aTables.mayServe ||
    (aUpdate.isCaughtUp && aTables.fleet->revision >= aUpdate.revision);
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
  }
}

// While an earlier confirmation waits for its revision, a later one is not
// kept: under steady changes each would be replaced before it is applied.
void
UpdateConfirmation(entry_tables& aTables,
                   const std::string& aSender,
                   const wire::host_update& aUpdate)
{
  std::optional<confirmation>& unapplied = aTables.unappliedConfirmation;
  const bool isAnswer = aUpdate.renewal == aTables.lastReport;
  if (isAnswer && aUpdate.confirmationAge && !unapplied) {
    unapplied = { aTables.lastReportAt - *aUpdate.confirmationAge,
                  aUpdate.revision,
                  aSender };
  }
  if (unapplied && aTables.fleet->revision >= unapplied->revision) {
    if (unapplied->at > aTables.confirmedAt) {
      aTables.confirmedAt = unapplied->at;
      aTables.confirmedBy = std::move(unapplied->control);
    }
    unapplied.reset();
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
  const removed_row* removed = aTables.removedEndpoints.Find(aRow.id);
  if (removed != nullptr && !IsAfter(aRow, removed->removed)) {
    return false;
  }
  aTables.removedEndpoints.Erase(aRow.id);
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

// Several control processes publish a removal, each at its own time.
bool
IsKnownRemoval(const entry_tables& aTables, const removed_endpoint& aRemoved)
{
  const removed_row* before = aTables.removedEndpoints.Find(aRemoved.id);
  return before != nullptr &&
         (before->removed.incarnation > aRemoved.incarnation ||
          (before->removed.incarnation == aRemoved.incarnation &&
           (before->removed.hasLeft || !aRemoved.hasLeft)));
}

// Without an incarnation (of an earlier release) it concerns what is known
// here.
void
RemoveEndpoint(entry_tables& aTables,
               const std::string& aSender,
               const removed_endpoint& aRemoved,
               steady_time aNow)
{
  const bool isNumbered = aRemoved.incarnation > 0;
  const endpoint_row* known = aTables.endpoints.Find(aRemoved.id);
  if (known != nullptr && isNumbered && IsAfter(*known, aRemoved)) {
    return;
  }
  if (isNumbered && !IsKnownRemoval(aTables, aRemoved)) {
    aTables.removedEndpoints.Insert({ aRemoved.id, aRemoved, aNow });
  }
  if (known == nullptr) {
    return;
  }
  LogEvent(kLog,
           log_level::eInfo,
           "endpoint_removed",
           { { "endpoint", known->name }, { "from", aSender } });
  aTables.endpoints.Erase(aRemoved.id);
  aTables.hasNewEndpoints = true;
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

// The set of control processes changes; each update lists those that its sender
// knows. A sender that has just started may not know all of them yet.
void
UpdateControls(entry_tables& aTables,
               const wire::host_update& aUpdate,
               steady_time aNow,
               entry_outbox& aOutbox)
{
  for (const wire::control_address& control : aUpdate.controls) {
    control_row* known = aTables.controls.Find(IdOf<replica_id>(control.name));
    if (known == nullptr) {
      aOutbox.links.push_back(control);
    } else {
      known->listedAt = aNow;
    }
  }
  if (!aUpdate.isCaughtUp) {
    return;
  }
  aTables.controls.EraseIf([&](const control_row& aRow) {
    if (!aRow.isFound || aNow < aRow.listedAt + kUnlistedLifetime) {
      return false;
    }
    LogEvent(kLog,
             log_level::eInfo,
             "control_dropped",
             { { "control", aRow.address } });
    aOutbox.lostLinks.push_back(aRow.address);
    return true;
  });
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
  MergeLoads(aTables, aUpdate.loads, aNow, aOutbox);
  aTables.latestUpdate = { aSender, aUpdate.revision, aUpdate.isCaughtUp };
  aTables.updatedAt = aNow;
  if (aUpdate.isCaughtUp) {
    aTables.caughtUpAt = aNow;
  }
  UpdateControls(aTables, aUpdate, aNow, aOutbox);
  UpdateLeader(aTables, aSender, aUpdate);
  AddTombstones(aTables, aUpdate.tombstones);
  ApplyConfiguration(aTables, aUpdate, aNow);
  UpdateMayServe(aTables, aUpdate);
  UpdateMayDeny(aTables, aUpdate);
  UpdateConfirmation(aTables, aSender, aUpdate);
  for (const endpoint_row& row : aUpdate.endpoints) {
    UpdateEndpoint(aTables, row);
  }
  for (const removed_endpoint& removed : aUpdate.removedEndpoints) {
    RemoveEndpoint(aTables, aSender, removed, aNow);
  }
  aTables.removedEndpoints.EraseIf([aNow](const removed_row& aRow) {
    return aRow.receivedAt + kRemovalLifetime <= aNow;
  });
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

} // namespace

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
    } else if (const auto* ack = std::get_if<wire::usage_ack>(&message.body)) {
      HandleUsageAck(aTables, message.sender, *ack);
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

} // namespace bulrush::entry
