/// What a control process sends on its own: updates to hosts and gossip to
/// other control processes.

#include "control/tables.hpp"
#include "observe/observe.hpp"

namespace bulrush::control {
namespace {

constexpr log_component kLog{ "control" };

constexpr std::chrono::milliseconds kGossipInterval{ 1'000 };

void
SendAllAgain(host_row& aHost)
{
  aHost.sentRevision = 0;
  aHost.sentWithUpdate = 0;
  aHost.transfer = {};
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
           "caught_up_changed",
           { { "caught_up", aIsCaughtUp ? "yes" : "no" },
             { "revision", std::to_string(aTables.fleet.revision) },
             { "number", std::to_string(aTables.fleet.declared.number) },
             { "term", std::to_string(aTables.log.term()) },
             { "leader", aTables.log.leaderName() } });
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

void
HandleConfirmation(host_row& aHost,
                   std::uint64_t aIncarnation,
                   const wire::host_report& aReport)
{
  aHost.incoming = aReport.incoming;
  if (aIncarnation != aHost.incarnation) {
    aHost.incarnation = aIncarnation;
    SendAllAgain(aHost);
  } else if (aReport.missesUpdates) {
    LogMissedUpdates(aHost);
    SendAllAgain(aHost);
  } else {
    HandleProgress(aHost, aReport);
  }
}

namespace {

// What is the same in the updates of a tick.
struct update_facts
{
  std::string leader;
  bool isCaughtUp = false;
  std::optional<std::chrono::nanoseconds> confirmationAge;
};

bool
NeedsConfiguration(const control_tables& aTables, const host_row& aHost)
{
  return aHost.sentRevision == 0 && !aHost.transfer.configuration &&
         aHost.revision < aTables.fleet.revision;
}

bool
IsBehind(const control_tables& aTables,
         const host_row& aHost,
         const update_facts& aFacts)
{
  return NeedsConfiguration(aTables, aHost) || HasPartToSend(aHost) ||
         aHost.sentEndpoints < aTables.serial ||
         aHost.sentEvidence < aTables.quarantined.serial ||
         aHost.sentLeader != aFacts.leader ||
         (aFacts.isCaughtUp && !aHost.sentCaughtUp);
}

wire::host_update
UpdateFor(control_tables& aTables,
          host_row& aHost,
          const update_facts& aFacts,
          steady_time aNow)
{
  wire::host_update update;
  update.renewal = aHost.renewal;
  update.lease =
    aHost.leaseEnd > aNow
      ? std::chrono::duration_cast<std::chrono::milliseconds>(kHostLease)
      : std::chrono::milliseconds(0);
  update.revision = aTables.fleet.revision;
  update.isCaughtUp = aFacts.isCaughtUp;
  update.confirmationAge = aFacts.confirmationAge;
  update.term = aTables.log.term();
  update.number = ++aHost.sentUpdates;
  if (NeedsConfiguration(aTables, aHost)) {
    AddConfiguration(aTables, aHost, update);
  }
  if (HasPartToSend(aHost)) {
    AddPart(aHost, update);
  }
  update.endpoints = EndpointsSince(aTables, aHost.sentEndpoints);
  for (const removed_row& removed : aTables.removedEndpoints) {
    if (removed.serial > aHost.sentEndpoints) {
      update.removedEndpoints.push_back(removed.removed);
    }
  }
  update.evidence =
    quarantine::ChangesSince(aTables.quarantined, aHost.sentEvidence);
  aHost.sentEvidence = aTables.quarantined.serial;
  update.loads = LoadsFor(aTables, aHost);
  update.tombstones = TombstoneKeys(aTables);
  AddControls(aTables, aFacts.leader, update);
  aHost.sentEndpoints = aTables.serial;
  aHost.sentLeader = update.leader;
  aHost.sentCaughtUp = aFacts.isCaughtUp;
  aHost.isUpdateDue = false;
  return update;
}

} // namespace

// Sends an update to each host that sent a renewal, or that misses a change. A
// host gets one configuration at a time, and then the newest: on a slow link or
// processor several would queue up, each older than the next.
void
RunUpdates(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  update_facts facts;
  facts.leader = aTables.log.leaderName();
  // Hosts leave a process that is not caught up, as they should one that stops.
  facts.isCaughtUp = !aTables.stop && aTables.log.isCaughtUp(aNow);
  facts.confirmationAge = ConfirmationAge(aTables, aNow);
  LogCaughtUp(aTables, facts.isCaughtUp);
  for (host_row& host : aTables.hosts) {
    // Without a lease the host reports elsewhere or is gone.
    const bool hasLease = aNow < host.leaseEnd;
    if (!host.isUpdateDue && (!IsBehind(aTables, host, facts) || !hasLease)) {
      continue;
    }
    do {
      aOutbox.messages.push_back(
        { host.name, "", UpdateFor(aTables, host, facts, aNow) });
    } while (HasPartToSend(host));
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
