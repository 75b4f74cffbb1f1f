/// What a control process sends on its own: updates to hosts and gossip to
/// other control processes.

#include "control/tables.hpp"
#include "observe/observe.hpp"

namespace bulrush::control {
namespace {

constexpr log_component kLog{ "control" };

constexpr std::chrono::milliseconds kGossipInterval{ 1'000 };
constexpr std::size_t kMaxRecentCommands = 512;

std::size_t
SizeOf(const fleet_command& aCommand)
{
  const auto* manifest = std::get_if<apply_manifest>(&aCommand.change);
  return manifest == nullptr ? 0
                             : manifest->text.size() + manifest->patch.size();
}

void
SendAllAgain(host_row& aHost)
{
  aHost.sentRevision = 0;
  aHost.sentWithUpdate = 0;
  aHost.sentEndpoints = 0;
  aHost.sentEvidence = 0;
  aHost.sentLoads = 0;
  aHost.sentUpdates = 0;
}

void
LogMissedUpdates(const host_row& aHost)
{
  LogEvent(kLog,
           log_level::eInfo,
           "updates_missed",
           { { "host", aHost.name },
             { "sent", std::to_string(aHost.sentUpdates) },
             { "revision", std::to_string(aHost.revision) },
             { "sent_revision", std::to_string(aHost.sentRevision) } });
}

void
LogConfiguration(const host_row& aHost, const wire::host_update& aUpdate)
{
  std::size_t bytes = aUpdate.snapshot.size();
  for (const wire::numbered_command& command : aUpdate.commands) {
    bytes += SizeOf(command.command);
  }
  LogEvent(kLog,
           log_level::eInfo,
           "configuration_sent",
           { { "host", aHost.name },
             { "from_revision", std::to_string(aHost.revision) },
             { "revision", std::to_string(aUpdate.revision) },
             { "bytes", std::to_string(bytes) } });
}

// Hosts serve and deny requests by what a process that has caught up sends.
void
LogCaughtUp(control_tables& aTables, bool aIsCaughtUp)
{
  if (aIsCaughtUp == aTables.loggedCaughtUp) {
    return;
  }
  aTables.loggedCaughtUp = aIsCaughtUp;
  LogEvent(kLog,
           log_level::eInfo,
           "caught_up",
           { { "is", aIsCaughtUp ? "yes" : "no" },
             { "revision", std::to_string(aTables.fleet.revision) },
             { "number", std::to_string(aTables.fleet.declared.number) },
             { "term", std::to_string(aTables.log.term()) },
             { "leader", aTables.log.leaderName() } });
}

// A host runs what an update carries before it reports the update.
void
CheckConfirmation(host_row& aHost, const wire::host_report& aReport)
{
  const bool isReceived =
    aHost.sentRevision > 0 && aReport.receivedUpdate >= aHost.sentWithUpdate;
  if (aReport.revision >= aHost.sentRevision) {
    aHost.sentRevision = 0;
  } else if (isReceived) {
    LogEvent(kLog,
             log_level::eInfo,
             "configuration_repeated",
             { { "host", aHost.name },
               { "revision", std::to_string(aReport.revision) },
               { "sent_revision", std::to_string(aHost.sentRevision) } });
    aHost.sentRevision = 0;
  }
}

std::optional<std::chrono::nanoseconds>
ConfirmationAge(const control_tables& aTables, steady_time aNow)
{
  const steady_time confirmedAt = aTables.log.confirmedAt
                                    ? aTables.log.confirmedAt(aNow)
                                    : steady_time::min();
  return confirmedAt == steady_time::min()
           ? std::nullopt
           : std::optional<std::chrono::nanoseconds>(aNow - confirmedAt);
}

std::vector<key_hash>
TombstoneKeys(const control_tables& aTables)
{
  std::vector<key_hash> keys;
  for (const tombstone_row& row : aTables.tombstones) {
    keys.push_back(row.id);
  }
  return keys;
}

// Hosts use neither claims nor the source of the manifest.
std::string
EncodeForHosts(fleet_state aState)
{
  aState.claims.Clear();
  aState.declared.source.clear();
  return wire::EncodeState(aState);
}

// Adds the commands that the host lacks, or a snapshot if they are not kept or
// contain more than one whole manifest: a host with a slow link or processor
// would take seconds for the history. aSnapshot is encoded once for all hosts.
void
AddConfiguration(const control_tables& aTables,
                 const host_row& aHost,
                 std::string& aSnapshot,
                 wire::host_update& aUpdate)
{
  const std::uint64_t from = aHost.revision;
  bool hasCommands =
    !aTables.recent.empty() && aTables.recent.front().revision <= from + 1;
  std::size_t bytes = 0;
  for (const wire::numbered_command& command : aTables.recent) {
    bytes += command.revision > from ? SizeOf(command.command) : 0;
  }
  hasCommands = hasCommands && bytes <= aTables.fleet.manifestText.size();
  if (!hasCommands) {
    if (aSnapshot.empty()) {
      aSnapshot = EncodeForHosts(aTables.fleet);
    }
    aUpdate.snapshot = aSnapshot;
    return;
  }
  for (const wire::numbered_command& command : aTables.recent) {
    if (command.revision > from) {
      aUpdate.commands.push_back(command);
    }
  }
}

std::vector<endpoint_row>
EndpointsSince(const control_tables& aTables, std::uint64_t aSerial)
{
  std::vector<endpoint_row> rows;
  for (const known_endpoint& known : aTables.endpoints) {
    if (known.serial > aSerial) {
      rows.push_back(known.row);
    }
  }
  return rows;
}

// This process publishes its own endpoints and removals, and those that others
// lack.
void
AddOwnEndpoints(const control_tables& aTables,
                std::uint64_t aSerial,
                wire::endpoint_gossip& aGossip)
{
  const auto isPublished =
    [&](bool aIsOwn, std::uint64_t aRowSerial, endpoint_id aId) {
      return (aIsOwn && aRowSerial > aSerial) ||
             aTables.corrections.contains(aId);
    };
  for (const known_endpoint& known : aTables.endpoints) {
    if (isPublished(known.isOwn, known.serial, known.id)) {
      aGossip.endpoints.push_back(known.row);
    }
  }
  for (const removed_row& removed : aTables.removedEndpoints) {
    if (isPublished(removed.isOwn, removed.serial, removed.id)) {
      aGossip.removedEndpoints.push_back(removed.removed);
    }
  }
}

void
AddControls(const control_tables& aTables,
            const std::string& aLeader,
            wire::host_update& aUpdate)
{
  aUpdate.controls.push_back({ aTables.self.name, aTables.self.linkAddress });
  for (const control_row& control : aTables.controls) {
    if (IsListed(aTables, control)) {
      aUpdate.controls.push_back({ control.name, control.address });
    }
  }
  aUpdate.leader = aLeader;
}

} // namespace

// Those before more than one whole manifest are never sent (AddConfiguration),
// and several hundred large ones would be the memory of the process.
void
DropOldCommands(control_tables& aTables)
{
  std::deque<wire::numbered_command>& recent = aTables.recent;
  const std::size_t limit = aTables.fleet.manifestText.size();
  std::size_t bytes = 0;
  std::size_t kept = 0;
  while (kept < std::min(recent.size(), kMaxRecentCommands) &&
         bytes + SizeOf(recent[recent.size() - kept - 1].command) <= limit) {
    bytes += SizeOf(recent[recent.size() - kept - 1].command);
    ++kept;
  }
  recent.erase(recent.begin(),
               recent.end() - static_cast<std::ptrdiff_t>(kept));
}

void
HandleConfirmation(host_row& aHost,
                   std::uint64_t aIncarnation,
                   const wire::host_report& aReport)
{
  if (aIncarnation != aHost.incarnation) {
    aHost.incarnation = aIncarnation;
    SendAllAgain(aHost);
  } else if (aReport.missesUpdates) {
    LogMissedUpdates(aHost);
    SendAllAgain(aHost);
  } else {
    CheckConfirmation(aHost, aReport);
  }
}

// Sends an update to each host that sent a renewal, or that misses a change. A
// host gets one configuration at a time, and then the newest: on a slow link or
// processor several would queue up, each older than the next.
void
RunUpdates(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  const std::string leader = aTables.log.leaderName();
  // Hosts leave a process that is not caught up, as they should one that stops.
  const bool isCaughtUp = !aTables.stop && aTables.log.isCaughtUp(aNow);
  LogCaughtUp(aTables, isCaughtUp);
  const auto confirmationAge = ConfirmationAge(aTables, aNow);
  std::string snapshot;
  for (host_row& host : aTables.hosts) {
    const bool needsConfiguration =
      host.sentRevision == 0 && host.revision < aTables.fleet.revision;
    const bool isBehind =
      needsConfiguration || host.sentEndpoints < aTables.serial ||
      host.sentEvidence < aTables.quarantined.serial ||
      host.sentLeader != leader || (isCaughtUp && !host.sentCaughtUp);
    // Without a lease the host reports elsewhere or is gone.
    const bool hasLease = aNow < host.leaseEnd;
    if (!host.isUpdateDue && (!isBehind || !hasLease)) {
      continue;
    }
    wire::host_update update;
    update.renewal = host.renewal;
    update.lease =
      host.leaseEnd > aNow
        ? std::chrono::duration_cast<std::chrono::milliseconds>(kHostLease)
        : std::chrono::milliseconds(0);
    update.revision = aTables.fleet.revision;
    update.isCaughtUp = isCaughtUp;
    update.confirmationAge = confirmationAge;
    update.term = aTables.log.term();
    update.number = ++host.sentUpdates;
    if (needsConfiguration) {
      AddConfiguration(aTables, host, snapshot, update);
      LogConfiguration(host, update);
      host.sentRevision = aTables.fleet.revision;
      host.sentWithUpdate = update.number;
    }
    update.endpoints = EndpointsSince(aTables, host.sentEndpoints);
    for (const removed_row& removed : aTables.removedEndpoints) {
      if (removed.serial > host.sentEndpoints) {
        update.removedEndpoints.push_back(removed.removed);
      }
    }
    update.evidence =
      quarantine::ChangesSince(aTables.quarantined, host.sentEvidence);
    host.sentEvidence = aTables.quarantined.serial;
    update.loads = LoadsFor(aTables, host);
    update.tombstones = TombstoneKeys(aTables);
    AddControls(aTables, leader, update);
    host.sentEndpoints = aTables.serial;
    host.sentLeader = update.leader;
    host.sentCaughtUp = isCaughtUp;
    host.isUpdateDue = false;
    aOutbox.messages.push_back({ host.name, "", std::move(update) });
  }
}

// Changes are sent at once. All endpoints of this domain are sent once a second
// as well, which repairs the effect of lost messages. Loads of endpoints change
// all the time, so they are collected for a while.
void
RunGossip(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  const bool isPeriodic = aNow >= aTables.nextGossip;
  const wire::domain_status own = OwnDomainStatus(aTables, aNow);
  const steady_time nextLoads = NextLoadGossip(aTables);
  if (!isPeriodic && aNow < nextLoads && aTables.corrections.empty() &&
      aTables.gossipedSerial == aTables.serial &&
      aTables.gossipedEvidence == aTables.quarantined.serial &&
      aTables.gossipedConfirmed == own.confirmedRevision) {
    aOutbox.wake.NoLaterThan(std::min(aTables.nextGossip, nextLoads));
    return;
  }
  wire::endpoint_gossip gossip;
  gossip.domain = aTables.self.domain;
  gossip.isExpendable = aTables.self.isExpendable;
  const std::uint64_t since = isPeriodic ? 0 : aTables.gossipedSerial;
  AddOwnEndpoints(aTables, since, gossip);
  aTables.corrections.clear();
  gossip.evidence = quarantine::ChangesSince(
    aTables.quarantined, isPeriodic ? 0 : aTables.gossipedEvidence);
  aTables.gossipedEvidence = aTables.quarantined.serial;
  gossip.loads = TakeLoadsForGossip(aTables, aNow);
  gossip.tombstones = TombstoneKeys(aTables);
  gossip.confirmedRevision = own.confirmedRevision;
  gossip.hosts = own.hosts;
  gossip.httpAddress = aTables.self.httpAddress;
  for (const host_row& host : aTables.hosts) {
    gossip.reporting.push_back(host.id);
  }
  aTables.gossipedSerial = aTables.serial;
  aTables.gossipedConfirmed = own.confirmedRevision;
  if (isPeriodic) {
    aTables.nextGossip = aNow + kGossipInterval;
  }
  aOutbox.wake.NoLaterThan(aTables.nextGossip);
  for (const control_row& control : aTables.controls) {
    aOutbox.messages.push_back({ "", control.name, gossip });
  }
}

} // namespace bulrush::control
