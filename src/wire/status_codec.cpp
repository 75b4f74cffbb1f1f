#include "wire/convert.hpp"

namespace bulrush::wire {
namespace {

void
PutReplica(const replica_status& aFrom, pb::ReplicaStatus& aTo)
{
  aTo.set_name(aFrom.name);
  aTo.set_domain(aFrom.domain);
  aTo.set_address(aFrom.address);
  aTo.set_is_leader(aFrom.isLeader);
  aTo.set_is_voter(aFrom.isVoter);
  aTo.set_term(aFrom.term);
  aTo.set_commit(aFrom.commit);
  aTo.set_revision(aFrom.revision);
}

void
PutHost(const host_status& aFrom, pb::HostStatus& aTo)
{
  aTo.set_name(aFrom.name);
  aTo.set_domain(aFrom.domain);
  aTo.set_revision(aFrom.revision);
  aTo.set_has_lease(aFrom.hasLease);
  aTo.set_age_ms(aFrom.age.count());
  aTo.set_http_address(aFrom.httpAddress);
}

replica_status
GetReplica(const pb::ReplicaStatus& aFrom)
{
  return {
    aFrom.name(),     aFrom.domain(), aFrom.address(), aFrom.is_leader(),
    aFrom.is_voter(), aFrom.term(),   aFrom.commit(),  aFrom.revision()
  };
}

host_status
GetHost(const pb::HostStatus& aFrom)
{
  return { aFrom.name(),
           aFrom.domain(),
           aFrom.revision(),
           aFrom.has_lease(),
           std::chrono::milliseconds(aFrom.age_ms()),
           aFrom.http_address() };
}

} // namespace

void
Put(const status_reply& aFrom, steady_time aNow, pb::StatusReply& aTo)
{
  aTo.set_call(aFrom.call);
  aTo.set_leader(aFrom.leader);
  aTo.set_revision(aFrom.revision);
  aTo.set_manifest_revision(aFrom.manifestRevision);
  aTo.set_version(aFrom.version);
  for (const replica_status& row : aFrom.replicas) {
    PutReplica(row, *aTo.add_replicas());
  }
  for (const host_status& row : aFrom.hosts) {
    PutHost(row, *aTo.add_hosts());
  }
  for (const domain_status& row : aFrom.domains) {
    auto* domain = aTo.add_domains();
    domain->set_name(row.name);
    domain->set_is_out(row.isOut);
    domain->set_delegate(row.delegate);
    domain->set_epoch(row.epoch);
    domain->set_confirmed_revision(row.confirmedRevision);
    domain->set_hosts(row.hosts);
    domain->set_age_ms(row.age.count());
    domain->set_changed_at(row.changedAt);
  }
  PutEndpoints(aFrom.endpoints, aNow, *aTo.mutable_endpoints());
  aTo.set_keys(aFrom.keys);
  aTo.set_claims(aFrom.claims);
  aTo.set_text(aFrom.text);
  Put(aFrom.evidence, aNow, *aTo.mutable_evidence());
}

status_reply
Get(const pb::StatusReply& aFrom, steady_time aNow)
{
  status_reply reply;
  reply.call = aFrom.call();
  reply.leader = aFrom.leader();
  reply.revision = aFrom.revision();
  reply.manifestRevision = aFrom.manifest_revision();
  reply.version = aFrom.version();
  for (const auto& row : aFrom.replicas()) {
    reply.replicas.push_back(GetReplica(row));
  }
  for (const auto& row : aFrom.hosts()) {
    reply.hosts.push_back(GetHost(row));
  }
  for (const auto& row : aFrom.domains()) {
    reply.domains.push_back({ row.name(),
                              row.is_out(),
                              row.delegate(),
                              row.epoch(),
                              row.confirmed_revision(),
                              row.hosts(),
                              std::chrono::milliseconds(row.age_ms()),
                              row.changed_at() });
  }
  reply.endpoints = GetEndpoints(aFrom.endpoints(), aNow);
  reply.keys = aFrom.keys();
  reply.claims = aFrom.claims();
  reply.text = aFrom.text();
  reply.evidence = Get(aFrom.evidence(), aNow);
  return reply;
}

} // namespace bulrush::wire
