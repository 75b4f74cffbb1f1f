/// Answers to status and manifest queries.

#include "control/tables.hpp"
#include "settings/settings.hpp"

namespace bulrush::control {

// A host without a lease serves no keyed request, so its revision is ignored.
wire::domain_status
OwnDomainStatus(const control_tables& aTables, steady_time aNow)
{
  wire::domain_status status;
  status.name = aTables.self.domain;
  status.confirmedRevision = aTables.fleet.revision;
  if (const auto confirmed = ConfirmedHosts(aTables, aNow)) {
    status.confirmedRevision = confirmed->revision;
    status.hosts = confirmed->hosts;
    return status;
  }
  for (const host_row& host : aTables.hosts) {
    if (host.leaseEnd > aNow) {
      ++status.hosts;
      status.confirmedRevision =
        std::min(status.confirmedRevision, host.revision);
    }
  }
  return status;
}

namespace {

// Name of the control process that grants leases to the hosts of a failure
// domain; empty if there is none yet or its name is not known here.
std::string
DelegateName(const control_tables& aTables, domain_id aDomain)
{
  const domain_state_row* state = aTables.fleet.domains.Find(aDomain);
  if (state == nullptr || !state->delegate) {
    return "";
  }
  if (state->delegate == IdOf<replica_id>(aTables.self.name)) {
    return aTables.self.name;
  }
  const control_row* control = aTables.controls.Find(state->delegate);
  return control == nullptr ? "" : control->name;
}

// Status of a failure domain: from local state for this process's own, else as
// last gossiped by a control process of that domain. The newest gossip counts,
// since processes that were replaced stay in the table.
wire::domain_status
DomainStatus(const control_tables& aTables,
             const domain_row& aDomain,
             steady_time aNow)
{
  constexpr std::chrono::hours kNever{ 24 * 365 };
  wire::domain_status status;
  status.age = kNever;
  if (aDomain.name == aTables.self.domain) {
    status = OwnDomainStatus(aTables, aNow);
  }
  std::chrono::milliseconds newest = kNever;
  for (const control_row& control : aTables.controls) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      aNow - control.lastSeen);
    if (control.domain == aDomain.name && age < newest) {
      status.confirmedRevision = control.confirmedRevision;
      status.hosts = control.hosts;
      status.age = age;
      newest = age;
    }
  }
  status.name = aDomain.name;
  status.isOut = IsOut(aTables.fleet, aDomain.id);
  status.changedAt = LatestDomainChange(aTables, aDomain.id);
  status.delegate = DelegateName(aTables, aDomain.id);
  return status;
}

std::vector<wire::replica_status>
ReplicaRows(const control_tables& aTables)
{
  if (aTables.log.replicas) {
    return aTables.log.replicas();
  }
  const std::string leader = aTables.log.leaderName();
  std::vector<wire::replica_status> rows;
  wire::replica_status self;
  self.name = aTables.self.name;
  self.domain = aTables.self.domain;
  self.address = aTables.self.linkAddress;
  self.isLeader = self.name == leader;
  self.isVoter = true;
  self.revision = aTables.fleet.revision;
  rows.push_back(self);
  for (const control_row& control : aTables.controls) {
    wire::replica_status row;
    row.name = control.name;
    row.address = control.address;
    row.isLeader = control.name == leader;
    row.isVoter = true;
    rows.push_back(row);
  }
  return rows;
}

} // namespace

void
HandleStatusCall(const control_tables& aTables,
                 const received_message& aInput,
                 const wire::status_call& aCall,
                 steady_time aNow,
                 control_outbox& aOutbox)
{
  wire::status_reply reply;
  reply.call = aCall.call;
  if (!EqualInConstantTime(aCall.credential, aTables.self.credential)) {
    reply.text = "the credential is not accepted";
    aOutbox.messages.push_back({ aInput.peer, "", std::move(reply) });
    return;
  }
  reply.leader = aTables.log.leaderName();
  reply.revision = aTables.fleet.revision;
  reply.manifestRevision = aTables.fleet.manifestRevision;
  reply.version = aTables.fleet.declared.version;
  reply.replicas = ReplicaRows(aTables);
  for (const host_row& host : aTables.hosts) {
    reply.hosts.push_back(
      { host.name,
        host.domain,
        host.revision,
        host.leaseEnd > aNow,
        std::chrono::duration_cast<std::chrono::milliseconds>(aNow -
                                                              host.lastSeen),
        host.httpAddress });
  }
  for (const domain_row& domain : aTables.fleet.declared.domains) {
    reply.domains.push_back(DomainStatus(aTables, domain, aNow));
  }
  for (const known_endpoint& known : aTables.endpoints) {
    reply.endpoints.push_back(known.row);
  }
  reply.keys = aTables.fleet.keys.Size();
  reply.claims = aTables.fleet.claims.Size();
  reply.evidence = quarantine::ChangesSince(aTables.quarantined, 0);
  aOutbox.messages.push_back({ aInput.peer, "", std::move(reply) });
}

void
HandleManifestCall(const control_tables& aTables,
                   const received_message& aInput,
                   const wire::manifest_call& aCall,
                   steady_time aNow,
                   control_outbox& aOutbox)
{
  wire::manifest_reply reply;
  reply.call = aCall.call;
  if (EqualInConstantTime(aCall.credential, aTables.self.credential)) {
    reply.manifestRevision = aTables.fleet.manifestRevision;
    reply.isNewest = HasLatestState(aTables, aNow);
    if (aCall.asksLeader) {
      reply.source = aTables.fleet.declared.source;
    } else {
      reply.text = aTables.fleet.manifestText;
    }
  }
  aOutbox.messages.push_back({ aInput.peer, "", std::move(reply) });
}

} // namespace bulrush::control
