#include "control/tables.hpp"
#include "observe/observe.hpp"
#include "settings/settings.hpp"

namespace bulrush::control {
namespace {

constexpr log_component kLog{ "control" };

constexpr std::chrono::milliseconds kHostTimeout{ 30'000 };
constexpr std::chrono::milliseconds kCallTimeout{ 5'000 };
constexpr std::chrono::seconds kHostCountInterval{ 1 };
constexpr std::chrono::minutes kHostCountDecreaseDelay{ 5 };
constexpr std::uint32_t kMaxHops = 2;

// A report renews the host's lease and confirms the revision that it runs.
void
Handle(control_tables& aTables,
       const received_message& aInput,
       const wire::host_report& aReport,
       steady_time aNow)
{
  const auto id = IdOf<host_id>(aInput.peer);
  host_row* host = aTables.hosts.Find(id);
  if (host == nullptr) {
    host_row row;
    row.id = id;
    row.name = aInput.peer;
    host = &aTables.hosts.Insert(row);
  }
  HandleConfirmation(*host, aInput.message.incarnation, aReport);
  host->domain = aReport.domain;
  host->httpAddress = aReport.httpAddress;
  host->renewal = aReport.renewal;
  host->revision = aReport.revision;
  host->isLeaving = aReport.isLeaving;
  host->lastSeen = aNow;
  host->leaseEnd = aNow + kHostLease;
  host->isUpdateDue = true;
  quarantine::Merge(aTables.quarantined, aReport.evidence, aNow);
  MergeLoads(aTables, aReport.loads, id, aNow);
  for (const endpoint_row& row : aReport.endpoints) {
    UpdateEndpoint(aTables, row, true);
  }
}

// Withdrawals take effect before a quorum commits them: they are accepted from
// any authorized sender and published at once to hosts and control processes.
void
AddTombstones(control_tables& aTables, const std::vector<key_hash>& aKeys)
{
  for (const key_hash& key : aKeys) {
    const key_row* row = aTables.fleet.keys.Find(key);
    const bool isInLog = row != nullptr && row->isWithdrawn;
    if (isInLog || aTables.tombstones.Find(key) != nullptr) {
      continue;
    }
    aTables.tombstones.Insert({ key });
    aTables.nextGossip = steady_time{};
    for (host_row& host : aTables.hosts) {
      host.isUpdateDue = true;
    }
  }
}

void
Handle(control_tables& aTables,
       const received_message& aInput,
       const wire::endpoint_gossip& aGossip,
       steady_time aNow)
{
  quarantine::Merge(aTables.quarantined, aGossip.evidence, aNow);
  MergeLoads(aTables, aGossip.loads, {}, aNow);
  AddTombstones(aTables, aGossip.tombstones);
  if (control_row* control =
        aTables.controls.Find(IdOf<replica_id>(aInput.message.sender))) {
    control->domain = aGossip.domain;
    control->isExpendable = aGossip.isExpendable;
    control->confirmedRevision = aGossip.confirmedRevision;
    control->hosts = aGossip.hosts;
    control->httpAddress = aGossip.httpAddress;
    control->reporting = aGossip.reporting;
    if (control->incarnation != aInput.message.incarnation) {
      control->incarnation = aInput.message.incarnation;
      RepublishRemovals(aTables);
    }
  }
  for (const endpoint_row& row : aGossip.endpoints) {
    UpdateEndpoint(aTables, row, false);
  }
  for (const removed_endpoint& removed : aGossip.removedEndpoints) {
    HandleRemoval(aTables, removed);
  }
}

void
Answer(const received_message& aInput,
       std::uint64_t aCall,
       wire::call_outcome aOutcome,
       std::string aText,
       control_outbox& aOutbox)
{
  wire::command_reply reply;
  reply.call = aCall;
  reply.outcome = aOutcome;
  reply.text = std::move(aText);
  aOutbox.messages.push_back({ aInput.peer, "", std::move(reply) });
}

call_id
AddPendingCall(control_tables& aTables,
               const received_message& aInput,
               std::uint64_t aCall,
               position_id aPosition,
               steady_time aNow)
{
  pending_call row;
  row.id = NextCall(aTables);
  row.peer = aInput.peer;
  row.call = aCall;
  row.position = aPosition;
  row.deadline = aNow + kCallTimeout;
  aTables.calls.Insert(row);
  return row.id;
}

// Refuses a manifest that exceeds the engines' memory before it enters the log.
// A version that was applied already passes: the state machine repeats its
// first answer.
std::optional<command_result>
RefuseOversizedManifest(const control_tables& aTables,
                        const apply_manifest& aChange)
{
  std::vector<manifest_fault> faults;
  const auto parsed = ParseManifest(aChange.text, faults);
  if (!parsed || aTables.fleet.versions.Find(
                   IdOf<typed_id<struct version_tag>>(parsed->version))) {
    return std::nullopt;
  }
  last_reason reason;
  if (FitsOnEngines(aTables, *parsed, reason)) {
    return std::nullopt;
  }
  command_result result;
  result.code = "does_not_fit";
  result.text = Describe(reason);
  result.revision = aTables.fleet.revision;
  return result;
}

// The leader sets the time of every command, so the clocks of hosts don't
// matter.
void
ProposeCall(control_tables& aTables,
            const received_message& aInput,
            const wire::command_call& aCall,
            steady_time aNow,
            control_outbox& aOutbox)
{
  fleet_command command = aCall.command;
  command.at = aTables.wallClock();
  if (auto* apply = std::get_if<apply_manifest>(&command.change)) {
    if (auto refusal = RefuseOversizedManifest(aTables, *apply)) {
      wire::command_reply reply;
      reply.call = aCall.call;
      reply.outcome = wire::call_outcome::eDecided;
      reply.result = std::move(*refusal);
      aOutbox.messages.push_back({ aInput.peer, "", std::move(reply) });
      return;
    }
    *apply = EncodeAsPatch(aTables.fleet, std::move(*apply));
  }
  if (IsSuperseded(aTables, command)) {
    Answer(aInput,
           aCall.call,
           wire::call_outcome::eSuperseded,
           kSupersededText,
           aOutbox);
    return;
  }
  last_reason reason;
  const auto position = ProposeCommand(aTables, command, reason);
  if (!position) {
    Answer(aInput,
           aCall.call,
           wire::call_outcome::eNoLeader,
           Describe(reason),
           aOutbox);
    return;
  }
  AddPendingCall(aTables, aInput, aCall.call, *position, aNow);
}

void
ForwardCall(control_tables& aTables,
            const received_message& aInput,
            const wire::command_call& aCall,
            steady_time aNow,
            control_outbox& aOutbox)
{
  const std::string leader = aTables.log.leaderName();
  if (leader.empty() || leader == aTables.self.name || aCall.hops >= kMaxHops) {
    Answer(aInput,
           aCall.call,
           wire::call_outcome::eNoLeader,
           "no leader is known",
           aOutbox);
    return;
  }
  wire::command_call forwarded = aCall;
  forwarded.call = AddPendingCall(aTables, aInput, aCall.call, {}, aNow).value;
  ++forwarded.hops;
  aOutbox.messages.push_back({ "", leader, std::move(forwarded) });
}

void
Handle(control_tables& aTables,
       const received_message& aInput,
       const wire::command_call& aCall,
       steady_time aNow,
       control_outbox& aOutbox)
{
  if (!EqualInConstantTime(aCall.credential, aTables.self.credential)) {
    Answer(aInput,
           aCall.call,
           wire::call_outcome::eRefused,
           "the credential is not accepted",
           aOutbox);
    return;
  }
  if (const auto* withdrawal =
        std::get_if<withdraw_key>(&aCall.command.change)) {
    AddTombstones(aTables, { withdrawal->key });
  }
  if (const auto* domain = std::get_if<set_domain>(&aCall.command.change)) {
    LogEvent(kLog,
             log_level::eInfo,
             "domain_call",
             { { "from", aInput.message.sender },
               { "out", domain->isOut ? "yes" : "no" },
               { "hops", std::to_string(aCall.hops) } });
  }
  if (aTables.stop) {
    Answer(
      aInput, aCall.call, wire::call_outcome::eNoLeader, kStopsText, aOutbox);
    return;
  }
  if (aTables.log.isLeader(aNow)) {
    ProposeCall(aTables, aInput, aCall, aNow, aOutbox);
  } else {
    ForwardCall(aTables, aInput, aCall, aNow, aOutbox);
  }
}

// The leader's answer to a forwarded call.
void
Handle(control_tables& aTables,
       const wire::command_reply& aReply,
       control_outbox& aOutbox)
{
  const pending_call* call = aTables.calls.Find(call_id{ aReply.call });
  if (call == nullptr) {
    return; // already timed out
  }
  AnswerCall(*call, aReply, aOutbox);
  aTables.calls.Erase(call_id{ aReply.call });
}

// After a host has reconnected, what its former connection still delivers comes
// from a generated identity. Taken for a host, that identity would be counted
// and sent updates that nobody receives.
bool
IsOfReplacedLink(const received_message& aInput)
{
  const wire::message_body& body = aInput.message.body;
  const bool isOfHost = std::holds_alternative<wire::host_report>(body) ||
                        std::holds_alternative<wire::demand_report>(body) ||
                        std::holds_alternative<wire::share_renewal>(body) ||
                        std::holds_alternative<rates::quota_request>(body) ||
                        std::holds_alternative<wire::usage_report>(body);
  return isOfHost && aInput.peer != aInput.message.sender;
}

// Dispatches received messages into rows and queues of the other systems.
void
RunIngest(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  const std::vector<received_message> inbox = std::move(aTables.inbox);
  aTables.inbox.clear();
  for (const received_message& input : inbox) {
    if (control_row* control =
          aTables.controls.Find(IdOf<replica_id>(input.message.sender))) {
      control->lastSeen = aNow;
    }
    const wire::message_body& body = input.message.body;
    if (IsOfReplacedLink(input)) {
      continue;
    }
    if (const auto* report = std::get_if<wire::host_report>(&body)) {
      Handle(aTables, input, *report, aNow);
    } else if (const auto* gossip = std::get_if<wire::endpoint_gossip>(&body)) {
      Handle(aTables, input, *gossip, aNow);
    } else if (const auto* call = std::get_if<wire::command_call>(&body)) {
      Handle(aTables, input, *call, aNow, aOutbox);
    } else if (const auto* reply = std::get_if<wire::command_reply>(&body)) {
      Handle(aTables, *reply, aOutbox);
    } else if (const auto* status = std::get_if<wire::status_call>(&body)) {
      HandleStatusCall(aTables, input, *status, aNow, aOutbox);
    } else if (const auto* keys = std::get_if<wire::tombstones>(&body)) {
      if (EqualInConstantTime(keys->credential, aTables.self.credential)) {
        AddTombstones(aTables, keys->keys);
      }
    } else if (const auto* text = std::get_if<wire::manifest_call>(&body)) {
      HandleManifestCall(aTables, input, *text, aNow, aOutbox);
    } else if (const auto* read = std::get_if<wire::manifest_reply>(&body)) {
      HandleManifestReply(aTables, *read, aOutbox);
    } else if (const auto* renewal = std::get_if<wire::share_renewal>(&body)) {
      HandleRenewal(aTables, input, *renewal);
    } else if (const auto* grant = std::get_if<wire::share_grant>(&body)) {
      HandleGrant(aTables, *grant);
    } else if (const auto* request = std::get_if<rates::quota_request>(&body)) {
      HandleQuotaRequest(aTables, input, *request, aNow, aOutbox);
    } else if (const auto* usage = std::get_if<wire::usage_report>(&body)) {
      HandleUsageReport(aTables, input, *usage);
    } else if (const auto* demand = std::get_if<wire::demand_report>(&body)) {
      HandleDemand(aTables, input, *demand, aNow);
    } else if (const auto* part = std::get_if<wire::quarantine_call>(&body)) {
      HandleQuarantineCall(aTables, input, *part, aNow, aOutbox);
    } else {
      HandleLogMessage(aTables, input, aNow, aOutbox);
    }
  }
}

void
AnswerPosition(control_tables& aTables,
               position_id aPosition,
               const command_result& aResult,
               control_outbox& aOutbox)
{
  for (const pending_call& call : aTables.calls) {
    if (call.position != aPosition) {
      continue;
    }
    wire::command_reply reply;
    reply.outcome = wire::call_outcome::eDecided;
    reply.result = aResult;
    AnswerCall(call, reply, aOutbox);
    const call_id id = call.id;
    aTables.calls.Erase(id);
    return;
  }
}

// Hosts do not use the source, which may be as large as the manifest.
fleet_command
WithoutSource(fleet_command aCommand)
{
  if (auto* manifest = std::get_if<apply_manifest>(&aCommand.change)) {
    manifest->source.clear();
  }
  return aCommand;
}

void
LogDomainChange(const control_tables& aTables, const set_domain& aChange)
{
  const domain_row* domain =
    aTables.fleet.declared.domains.Find(aChange.domain);
  LogEvent(kLog,
           log_level::eInfo,
           "domain",
           { { "domain", domain == nullptr ? "" : domain->name },
             { "out", aChange.isOut ? "yes" : "no" },
             { "revision", std::to_string(aTables.fleet.revision) },
             { "term", std::to_string(aTables.log.term()) } });
}

// Applies committed commands. Those that changed the configuration are kept for
// updates to hosts.
void
RunApply(control_tables& aTables, steady_time, control_outbox& aOutbox)
{
  const auto committed = std::move(aTables.committed);
  aTables.committed.clear();
  for (const committed_command& entry : committed) {
    if (ApplyOrderEntry(aTables, entry.payload) ||
        ApplyUsageEntry(aTables, entry.payload)) {
      continue;
    }
    last_reason reason;
    const auto command = wire::DecodeCommand(entry.payload, reason);
    if (!command) {
      continue; // of a newer release; every replica of this one skips it
    }
    const std::uint64_t before = aTables.fleet.revision;
    const std::uint64_t manifestBefore = aTables.fleet.manifestRevision;
    const command_result result = Apply(aTables.fleet, *command);
    if (aTables.fleet.manifestRevision != manifestBefore) {
      LogEvent(kLog,
               log_level::eInfo,
               "manifest",
               { { "revision", std::to_string(aTables.fleet.revision) },
                 { "number", std::to_string(aTables.fleet.declared.number) },
                 { "term", std::to_string(aTables.log.term()) } });
    }
    const auto* domain = std::get_if<set_domain>(&command->change);
    if (domain != nullptr && aTables.fleet.revision != before) {
      LogDomainChange(aTables, *domain);
    }
    if (aTables.fleet.revision != before) {
      aTables.recent.push_back(
        { aTables.fleet.revision, WithoutSource(*command) });
      DropOldCommands(aTables);
    }
    aTables.proposedDomains.Erase(entry.position);
    AnswerPosition(aTables, entry.position, result, aOutbox);
  }
  aTables.tombstones.EraseIf([&](const tombstone_row& aRow) {
    const key_row* row = aTables.fleet.keys.Find(aRow.id);
    return row != nullptr && row->isWithdrawn;
  });
}

void
RunExpiry(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  std::vector<endpoint_id> silent;
  for (const known_endpoint& known : aTables.endpoints) {
    const steady_time end = known.row.lastSeen + aTables.endpointTimeout;
    if (!known.isOwn) {
      continue; // the control host of its domain reports its loss
    }
    if (end <= aNow) {
      silent.push_back(known.id);
    } else {
      aOutbox.wake.NoLaterThan(end);
    }
  }
  for (const endpoint_id& id : silent) {
    RemoveEndpoint(aTables, id, false);
  }
  aTables.hosts.EraseIf([&](const host_row& aHost) {
    return aHost.lastSeen + kHostTimeout <= aNow;
  });
}

// A call that timed out is answered as unknown, since it may still be
// committed.
void
RunCallTimeouts(control_tables& aTables,
                steady_time aNow,
                control_outbox& aOutbox)
{
  std::vector<pending_call> expired;
  for (const pending_call& call : aTables.calls) {
    const steady_time deadline = AnswerBy(aTables, call.deadline);
    if (deadline <= aNow) {
      expired.push_back(call);
    } else {
      aOutbox.wake.NoLaterThan(deadline);
    }
  }
  for (const pending_call& call : expired) {
    wire::command_reply reply;
    reply.outcome = wire::call_outcome::eUnknown;
    reply.text = "no decision within the time limit";
    AnswerCall(call, reply, aOutbox);
    aTables.calls.Erase(call.id);
  }
}

// The count divides limits: too high a count makes each host's part smaller,
// too low a count makes the sum exceed the limit. So the count rises at once
// and falls only after a delay.
void
RunHostCount(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  host_count_row& hostCount = aTables.hostCount;
  const bool isDue = aNow >= hostCount.nextChange;
  if (!aTables.log.isLeader(aNow) || aTables.fleet.manifestRevision == 0 ||
      !isDue) {
    return;
  }
  const auto count = static_cast<std::uint32_t>(ReportingHosts(aTables).size());
  const std::uint32_t recorded = aTables.fleet.hosts;
  if (count >= recorded) {
    hostCount.lowerSince.reset();
  } else if (!hostCount.lowerSince) {
    hostCount.lowerSince = aNow;
  }
  const bool hasStayedLower =
    hostCount.lowerSince &&
    aNow >= *hostCount.lowerSince + kHostCountDecreaseDelay;
  if (count == recorded || (count < recorded && !hasStayedLower)) {
    return;
  }
  fleet_command command;
  command.at = aTables.wallClock();
  command.change = count_hosts{ count };
  last_reason reason; // ignored: the next leader counts hosts itself
  aTables.log.propose(wire::EncodeCommand(command), reason);
  hostCount.nextChange = aNow + kHostCountInterval;
  aOutbox.wake.NoLaterThan(hostCount.nextChange);
}

constexpr std::array<named_system<control_tables, control_outbox>, 18> kSystems{
  { { "ingest", RunIngest },
    { "http_calls", RunHttpCalls },
    { "log", RunLog },
    { "seeds", RunSeeds },
    { "apply", RunApply },
    { "log_snapshot", RunLogSnapshot },
    { "expiry", RunExpiry },
    { "call_timeouts", RunCallTimeouts },
    { "orders", RunOrders },
    { "residents", RunResidents },
    { "usage", RunUsage },
    { "leases", RunLeases },
    { "pools", RunPools },
    { "host_count", RunHostCount },
    { "quarantine", RunQuarantine },
    { "loads", RunLoads },
    { "updates", RunUpdates },
    { "gossip", RunGossip } }
};

} // namespace

// A host that moves to another control process is known to both for a while,
// and counts once. Those of a control process that is cut off still use their
// parts of the limits, so they count too.
std::unordered_set<host_id, id_hash>
ReportingHosts(const control_tables& aTables)
{
  std::unordered_set<host_id, id_hash> hosts;
  for (const host_row& host : aTables.hosts) {
    hosts.insert(host.id);
  }
  for (const control_row& control : aTables.controls) {
    hosts.insert(control.reporting.begin(), control.reporting.end());
  }
  return hosts;
}

void
RunControl(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  RunTick(kSystems, aTables, aNow, aOutbox);
}

} // namespace bulrush::control
