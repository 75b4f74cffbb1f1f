/// Messages between control processes, and the lists in them.

#include "wire/bodies.hpp"

namespace bulrush::wire {

void
PutKeys(const std::vector<key_hash>& aFrom, repeated<std::string>& aTo)
{
  for (const key_hash& key : aFrom) {
    *aTo.Add() = ToBytes(key);
  }
}

std::vector<key_hash>
GetKeys(const repeated<std::string>& aFrom)
{
  std::vector<key_hash> keys;
  for (const auto& key : aFrom) {
    keys.push_back(FromBytes(key));
  }
  return keys;
}

void
PutControls(const std::vector<control_address>& aFrom,
            repeated<pb::ControlAddress>& aTo)
{
  for (const control_address& control : aFrom) {
    auto* address = aTo.Add();
    address->set_name(control.name);
    address->set_address(control.address);
  }
}

std::vector<control_address>
GetControls(const repeated<pb::ControlAddress>& aFrom)
{
  std::vector<control_address> controls;
  for (const auto& control : aFrom) {
    controls.push_back({ control.name(), control.address() });
  }
  return controls;
}

void
PutBody(const endpoint_gossip& aFrom, steady_time aNow, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_endpoint_gossip();
  to->set_domain(aFrom.domain);
  to->set_is_expendable(aFrom.isExpendable);
  PutEndpoints(aFrom.endpoints, aNow, *to->mutable_endpoints());
  PutRemoved(
    aFrom.removedEndpoints, *to->mutable_gone(), *to->mutable_removed());
  PutKeys(aFrom.tombstones, *to->mutable_tombstones());
  to->set_confirmed_revision(aFrom.confirmedRevision);
  to->set_hosts(aFrom.hosts);
  to->set_http_address(aFrom.httpAddress);
  for (const host_id& host : aFrom.reporting) {
    to->add_reporting_hosts(host.value);
  }
  PutEvidence(aFrom.evidence, aNow, *to);
  PutLoads(aFrom.loads, aNow, *to->mutable_loads());
}

void
PutBody(const tombstones& aFrom, steady_time, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_tombstones();
  PutKeys(aFrom.keys, *to->mutable_keys());
  to->set_credential(aFrom.credential);
}

void
PutBody(const replica_message& aFrom, steady_time, pb::Envelope& aTo)
{
  aTo.set_replica(EncodeReplica(aFrom));
}

void
PutBody(const replica_hello& aFrom, steady_time, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_replica_hello();
  to->set_log(aFrom.log);
  to->set_identity(aFrom.identity.value);
  to->set_is_empty(aFrom.isEmpty);
  to->set_nonce(aFrom.nonce);
  to->set_is_answer(aFrom.isAnswer);
  to->set_address(aFrom.address);
  PutControls(aFrom.controls, *to->mutable_controls());
  to->set_leader(aFrom.leader);
}

std::optional<message_body>
GetBody(const pb::EndpointGossip& aFrom, steady_time aNow)
{
  endpoint_gossip gossip;
  gossip.domain = aFrom.domain();
  gossip.isExpendable = aFrom.is_expendable();
  gossip.endpoints = GetEndpoints(aFrom.endpoints(), aNow);
  gossip.removedEndpoints = GetRemoved(aFrom.gone(), aFrom.removed());
  gossip.tombstones = GetKeys(aFrom.tombstones());
  gossip.confirmedRevision = aFrom.confirmed_revision();
  gossip.hosts = aFrom.hosts();
  gossip.httpAddress = aFrom.http_address();
  for (const auto host : aFrom.reporting_hosts()) {
    gossip.reporting.push_back({ host });
  }
  gossip.evidence = Get(aFrom.evidence(), aNow);
  gossip.loads = GetLoads(aFrom.loads(), aNow);
  return gossip;
}

std::optional<message_body>
GetBody(const pb::Tombstones& aFrom, steady_time)
{
  return tombstones{ GetKeys(aFrom.keys()), aFrom.credential() };
}

std::optional<message_body>
GetBody(const pb::ReplicaHello& aFrom, steady_time)
{
  return replica_hello{ aFrom.log(),
                        replica_id{ aFrom.identity() },
                        aFrom.is_empty(),
                        aFrom.nonce(),
                        aFrom.is_answer(),
                        aFrom.address(),
                        GetControls(aFrom.controls()),
                        aFrom.leader() };
}

} // namespace bulrush::wire
