#include "wire/convert.hpp"

namespace bulrush::wire {

namespace {

template<class list>
void
PutKeys(const std::vector<key_hash>& aFrom, list& aTo)
{
  for (const key_hash& key : aFrom) {
    *aTo.Add() = ToBytes(key);
  }
}

template<class list>
std::vector<key_hash>
GetKeys(const list& aFrom)
{
  std::vector<key_hash> keys;
  for (const auto& key : aFrom) {
    keys.push_back(FromBytes(key));
  }
  return keys;
}

void
PutResult(const command_result& aFrom, pb::CommandResult& aTo)
{
  aTo.set_is_done(aFrom.isDone);
  aTo.set_code(aFrom.code);
  aTo.set_text(aFrom.text);
  aTo.set_revision(aFrom.revision);
  aTo.set_claim(static_cast<std::uint32_t>(aFrom.claim));
  aTo.set_stored_status(aFrom.storedStatus);
  aTo.set_stored_content_type(aFrom.storedContentType);
  aTo.set_stored_body(aFrom.storedBody);
}

command_result
GetResult(const pb::CommandResult& aFrom)
{
  command_result result;
  result.isDone = aFrom.is_done();
  result.code = aFrom.code();
  result.text = aFrom.text();
  result.revision = aFrom.revision();
  result.claim = static_cast<claim_answer>(aFrom.claim());
  result.storedStatus = aFrom.stored_status();
  result.storedContentType = aFrom.stored_content_type();
  result.storedBody = aFrom.stored_body();
  return result;
}

void
PutBody(const command_call& aFrom, steady_time, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_command_call();
  to->set_call(aFrom.call);
  Put(aFrom.command, *to->mutable_command());
  to->set_credential(aFrom.credential);
  to->set_hops(aFrom.hops);
}

void
PutBody(const command_reply& aFrom, steady_time, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_command_reply();
  to->set_call(aFrom.call);
  to->set_outcome(static_cast<std::uint32_t>(aFrom.outcome));
  PutResult(aFrom.result, *to->mutable_result());
  to->set_text(aFrom.text);
}

template<class list>
void
PutControls(const std::vector<control_address>& aFrom, list& aTo)
{
  for (const control_address& control : aFrom) {
    auto* address = aTo.Add();
    address->set_name(control.name);
    address->set_address(control.address);
  }
}

template<class list>
std::vector<control_address>
GetControls(const list& aFrom)
{
  std::vector<control_address> controls;
  for (const auto& control : aFrom) {
    controls.push_back({ control.name(), control.address() });
  }
  return controls;
}

void
PutBody(const host_report& aFrom, steady_time aNow, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_host_report();
  to->set_domain(aFrom.domain);
  to->set_renewal(aFrom.renewal);
  to->set_revision(aFrom.revision);
  PutEndpoints(aFrom.endpoints, aNow, *to->mutable_endpoints());
  to->set_http_address(aFrom.httpAddress);
  to->set_is_leaving(aFrom.isLeaving);
  to->set_misses_updates(aFrom.missesUpdates);
  to->set_received_update(aFrom.receivedUpdate);
  if (!aFrom.evidence.Empty()) {
    Put(aFrom.evidence, aNow, *to->mutable_evidence());
  }
}

void
PutBody(const host_update& aFrom, steady_time aNow, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_host_update();
  to->set_renewal(aFrom.renewal);
  to->set_lease_ms(aFrom.lease.count());
  to->set_epoch(aFrom.epoch);
  to->set_revision(aFrom.revision);
  for (const numbered_command& from : aFrom.commands) {
    auto* numbered = to->add_commands();
    numbered->set_revision(from.revision);
    Put(from.command, *numbered->mutable_command());
  }
  to->set_snapshot(aFrom.snapshot);
  PutEndpoints(aFrom.endpoints, aNow, *to->mutable_endpoints());
  for (const endpoint_id& removed : aFrom.removedEndpoints) {
    to->add_gone_endpoints(removed.value);
  }
  PutKeys(aFrom.tombstones, *to->mutable_tombstones());
  PutControls(aFrom.controls, *to->mutable_controls());
  to->set_leader(aFrom.leader);
  to->set_is_caught_up(aFrom.isCaughtUp);
  to->set_term(aFrom.term);
  to->set_number(aFrom.number);
  if (!aFrom.evidence.Empty()) {
    Put(aFrom.evidence, aNow, *to->mutable_evidence());
  }
}

void
PutBody(const held_update& aFrom, steady_time, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_held_update();
  for (const held_models& from : aFrom.engines) {
    auto* engine = to->add_engines();
    engine->set_endpoint(from.endpoint.value);
    engine->set_incarnation(from.incarnation);
    PutResidents(from.residents, *engine->mutable_residents());
  }
}

void
PutBody(const demand_report& aFrom, steady_time, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_wanted_models();
  for (const model_demand& from : aFrom.models) {
    auto* demand = to->add_models();
    demand->set_model(from.model.value);
    demand->set_adapter(from.adapter.value);
    demand->set_requests(from.requests);
    demand->set_waiting(from.waiting);
  }
}

void
PutBody(const endpoint_gossip& aFrom, steady_time aNow, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_endpoint_gossip();
  to->set_domain(aFrom.domain);
  PutEndpoints(aFrom.endpoints, aNow, *to->mutable_endpoints());
  // Processes of earlier releases read the ids only.
  for (const removed_endpoint& removed : aFrom.removedEndpoints) {
    to->add_gone(removed.id.value);
    auto* more = to->add_removed();
    more->set_endpoint(removed.id.value);
    more->set_incarnation(removed.incarnation);
    more->set_sequence(removed.sequence);
    more->set_has_left(removed.hasLeft);
  }
  PutKeys(aFrom.tombstones, *to->mutable_tombstones());
  to->set_confirmed_revision(aFrom.confirmedRevision);
  to->set_hosts(aFrom.hosts);
  to->set_http_address(aFrom.httpAddress);
  for (const host_id& host : aFrom.reporting) {
    to->add_reporting_hosts(host.value);
  }
  if (!aFrom.evidence.Empty()) {
    Put(aFrom.evidence, aNow, *to->mutable_evidence());
  }
}

void
PutBody(const tombstones& aFrom, steady_time, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_tombstones();
  PutKeys(aFrom.keys, *to->mutable_keys());
  to->set_credential(aFrom.credential);
}

void
PutBody(const status_call& aFrom, steady_time, pb::Envelope& aTo)
{
  aTo.mutable_status_call()->set_call(aFrom.call);
  aTo.mutable_status_call()->set_credential(aFrom.credential);
}

void
PutBody(const status_reply& aFrom, steady_time aNow, pb::Envelope& aTo)
{
  Put(aFrom, aNow, *aTo.mutable_status_reply());
}

void
PutBody(const manifest_call& aFrom, steady_time, pb::Envelope& aTo)
{
  aTo.mutable_manifest_call()->set_call(aFrom.call);
  aTo.mutable_manifest_call()->set_credential(aFrom.credential);
  aTo.mutable_manifest_call()->set_asks_leader(aFrom.asksLeader);
}

void
PutBody(const manifest_reply& aFrom, steady_time, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_manifest_reply();
  to->set_call(aFrom.call);
  to->set_manifest_revision(aFrom.manifestRevision);
  to->set_text(aFrom.text);
  to->set_is_newest(aFrom.isNewest);
  to->set_source(aFrom.source);
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

void
PutBody(const replace_call& aFrom, steady_time, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_replace_call();
  to->set_call(aFrom.call);
  to->set_credential(aFrom.credential);
  to->set_old_name(aFrom.oldName);
  to->set_new_name(aFrom.newName);
  to->set_hops(aFrom.hops);
}

std::optional<message_body>
GetBody(const pb::CommandCall& aFrom, steady_time)
{
  auto command = Get(aFrom.command());
  if (!command) {
    return std::nullopt;
  }
  return command_call{
    aFrom.call(), std::move(*command), aFrom.credential(), aFrom.hops()
  };
}

std::optional<message_body>
GetBody(const pb::CommandReply& aFrom, steady_time)
{
  if (aFrom.outcome() > static_cast<std::uint32_t>(call_outcome::eRefused) ||
      aFrom.result().claim() >
        static_cast<std::uint32_t>(claim_answer::eOtherBody)) {
    return std::nullopt;
  }
  return command_reply{ aFrom.call(),
                        static_cast<call_outcome>(aFrom.outcome()),
                        GetResult(aFrom.result()),
                        aFrom.text() };
}

std::optional<message_body>
GetBody(const pb::HostReport& aFrom, steady_time aNow)
{
  return host_report{ aFrom.domain(),
                      aFrom.renewal(),
                      aFrom.revision(),
                      GetEndpoints(aFrom.endpoints(), aNow),
                      aFrom.http_address(),
                      aFrom.is_leaving(),
                      aFrom.misses_updates(),
                      aFrom.received_update(),
                      Get(aFrom.evidence(), aNow) };
}

std::optional<message_body>
GetBody(const pb::HostUpdate& aFrom, steady_time aNow)
{
  host_update update;
  update.renewal = aFrom.renewal();
  update.lease = std::chrono::milliseconds(aFrom.lease_ms());
  update.epoch = aFrom.epoch();
  update.revision = aFrom.revision();
  for (const auto& from : aFrom.commands()) {
    auto command = Get(from.command());
    if (!command) {
      return std::nullopt;
    }
    update.commands.push_back({ from.revision(), std::move(*command) });
  }
  update.snapshot = aFrom.snapshot();
  update.endpoints = GetEndpoints(aFrom.endpoints(), aNow);
  for (const auto removed : aFrom.gone_endpoints()) {
    update.removedEndpoints.push_back({ removed });
  }
  update.tombstones = GetKeys(aFrom.tombstones());
  update.controls = GetControls(aFrom.controls());
  update.leader = aFrom.leader();
  update.isCaughtUp = aFrom.is_caught_up();
  update.term = aFrom.term();
  update.number = aFrom.number();
  update.evidence = Get(aFrom.evidence(), aNow);
  return update;
}

std::optional<message_body>
GetBody(const pb::HeldUpdate& aFrom, steady_time)
{
  held_update update;
  for (const auto& from : aFrom.engines()) {
    update.engines.push_back({ { from.endpoint() },
                               from.incarnation(),
                               GetResidents(from.residents()) });
  }
  return update;
}

std::optional<message_body>
GetBody(const pb::WantedModels& aFrom, steady_time)
{
  demand_report demand;
  for (const auto& from : aFrom.models()) {
    demand.models.push_back({ { from.model() },
                              { from.adapter() },
                              from.requests(),
                              from.waiting() });
  }
  return demand;
}

std::optional<message_body>
GetBody(const pb::EndpointGossip& aFrom, steady_time aNow)
{
  endpoint_gossip gossip;
  gossip.domain = aFrom.domain();
  gossip.endpoints = GetEndpoints(aFrom.endpoints(), aNow);
  for (const auto& removed : aFrom.removed()) {
    gossip.removedEndpoints.push_back({ { removed.endpoint() },
                                        removed.incarnation(),
                                        removed.sequence(),
                                        removed.has_left() });
  }
  if (aFrom.removed().empty()) { // an earlier release sends ids only
    for (const auto removed : aFrom.gone()) {
      gossip.removedEndpoints.push_back({ { removed } });
    }
  }
  gossip.tombstones = GetKeys(aFrom.tombstones());
  gossip.confirmedRevision = aFrom.confirmed_revision();
  gossip.hosts = aFrom.hosts();
  gossip.httpAddress = aFrom.http_address();
  for (const auto host : aFrom.reporting_hosts()) {
    gossip.reporting.push_back({ host });
  }
  gossip.evidence = Get(aFrom.evidence(), aNow);
  return gossip;
}

std::optional<message_body>
GetBody(const pb::Tombstones& aFrom, steady_time)
{
  return tombstones{ GetKeys(aFrom.keys()), aFrom.credential() };
}

std::optional<message_body>
GetBody(const pb::StatusCall& aFrom, steady_time)
{
  return status_call{ aFrom.call(), aFrom.credential() };
}

std::optional<message_body>
GetBody(const pb::StatusReply& aFrom, steady_time aNow)
{
  return Get(aFrom, aNow);
}

std::optional<message_body>
GetBody(const pb::ManifestCall& aFrom, steady_time)
{
  return manifest_call{ aFrom.call(), aFrom.credential(), aFrom.asks_leader() };
}

std::optional<message_body>
GetBody(const pb::ManifestReply& aFrom, steady_time)
{
  return manifest_reply{ aFrom.call(),
                         aFrom.manifest_revision(),
                         aFrom.text(),
                         aFrom.is_newest(),
                         aFrom.source() };
}

void
PutBody(const quarantine_call& aFrom, steady_time, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_quarantine_call();
  to->set_call(aFrom.call);
  to->set_credential(aFrom.credential);
  to->set_part(aFrom.part.value);
  to->set_is_release(aFrom.isRelease);
}

std::optional<message_body>
GetBody(const pb::QuarantineCall& aFrom, steady_time)
{
  return quarantine_call{
    aFrom.call(), aFrom.credential(), { aFrom.part() }, aFrom.is_release()
  };
}

void
PutBody(const share_renewal& aFrom, steady_time, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_share_renewal();
  Put(aFrom.renewal, *to);
  to->set_domain(aFrom.domain);
  to->set_is_to_root(aFrom.isToRoot);
}

void
PutBody(const share_grant& aFrom, steady_time, pb::Envelope& aTo)
{
  Put(aFrom.grant, *aTo.mutable_share_grant());
}

void
PutBody(const rates::quota_request& aFrom, steady_time, pb::Envelope& aTo)
{
  Put(aFrom, *aTo.mutable_token_draw());
}

void
PutBody(const rates::quota_grant& aFrom, steady_time, pb::Envelope& aTo)
{
  Put(aFrom, *aTo.mutable_token_answer());
}

std::optional<message_body>
GetBody(const pb::ShareRenewal& aFrom, steady_time)
{
  auto renewal = Get(aFrom);
  if (!renewal) {
    return std::nullopt;
  }
  return share_renewal{ std::move(*renewal),
                        aFrom.domain(),
                        aFrom.is_to_root() };
}

std::optional<message_body>
GetBody(const pb::ShareGrant& aFrom, steady_time)
{
  auto grant = Get(aFrom);
  if (!grant) {
    return std::nullopt;
  }
  return share_grant{ std::move(*grant) };
}

std::optional<message_body>
GetBody(const pb::TokenDraw& aFrom, steady_time)
{
  auto request = Get(aFrom);
  return request ? std::optional<message_body>(std::move(*request))
                 : std::nullopt;
}

std::optional<message_body>
GetBody(const pb::TokenAnswer& aFrom, steady_time)
{
  auto answer = Get(aFrom);
  return answer ? std::optional<message_body>(std::move(*answer))
                : std::nullopt;
}

std::optional<message_body>
GetReplicaMessage(const std::string& aBytes)
{
  auto message = DecodeReplica(aBytes);
  if (!message) {
    return std::nullopt;
  }
  return message_body(std::move(*message));
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

std::optional<message_body>
GetBody(const pb::ReplaceCall& aFrom, steady_time)
{
  return replace_call{ aFrom.call(),
                       aFrom.credential(),
                       aFrom.old_name(),
                       aFrom.new_name(),
                       aFrom.hops() };
}

std::optional<message_body>
GetBody(const pb::Envelope& aFrom, steady_time aNow)
{
  switch (aFrom.body_case()) {
    case pb::Envelope::kCommandCall:
      return GetBody(aFrom.command_call(), aNow);
    case pb::Envelope::kCommandReply:
      return GetBody(aFrom.command_reply(), aNow);
    case pb::Envelope::kHostReport:
      return GetBody(aFrom.host_report(), aNow);
    case pb::Envelope::kHostUpdate:
      return GetBody(aFrom.host_update(), aNow);
    case pb::Envelope::kEndpointGossip:
      return GetBody(aFrom.endpoint_gossip(), aNow);
    case pb::Envelope::kStatusCall:
      return GetBody(aFrom.status_call(), aNow);
    case pb::Envelope::kStatusReply:
      return GetBody(aFrom.status_reply(), aNow);
    case pb::Envelope::kTombstones:
      return GetBody(aFrom.tombstones(), aNow);
    case pb::Envelope::kManifestCall:
      return GetBody(aFrom.manifest_call(), aNow);
    case pb::Envelope::kManifestReply:
      return GetBody(aFrom.manifest_reply(), aNow);
    case pb::Envelope::kShareRenewal:
      return GetBody(aFrom.share_renewal(), aNow);
    case pb::Envelope::kShareGrant:
      return GetBody(aFrom.share_grant(), aNow);
    case pb::Envelope::kReplica:
      return GetReplicaMessage(aFrom.replica());
    case pb::Envelope::kReplicaHello:
      return GetBody(aFrom.replica_hello(), aNow);
    case pb::Envelope::kReplaceCall:
      return GetBody(aFrom.replace_call(), aNow);
    case pb::Envelope::kWantedModels:
      return GetBody(aFrom.wanted_models(), aNow);
    case pb::Envelope::kHeldUpdate:
      return GetBody(aFrom.held_update(), aNow);
    case pb::Envelope::kTokenDraw:
      return GetBody(aFrom.token_draw(), aNow);
    case pb::Envelope::kTokenAnswer:
      return GetBody(aFrom.token_answer(), aNow);
    case pb::Envelope::kQuarantineCall:
      return GetBody(aFrom.quarantine_call(), aNow);
    case pb::Envelope::BODY_NOT_SET:
      break;
  }
  return std::nullopt;
}

} // namespace

std::string
Encode(const message& aMessage, steady_time aNow)
{
  pb::Envelope envelope;
  envelope.set_sender(aMessage.sender);
  envelope.set_incarnation(aMessage.incarnation);
  std::visit([&](const auto& aBody) { PutBody(aBody, aNow, envelope); },
             aMessage.body);
  return envelope.SerializeAsString();
}

std::optional<message>
Decode(const std::string& aBytes, steady_time aNow, last_reason& aReason)
{
  pb::Envelope envelope;
  if (!envelope.ParseFromString(aBytes)) {
    return Fail(aReason, "decode message", "", "malformed bytes");
  }
  auto body = GetBody(envelope, aNow);
  if (!body) {
    return Fail(
      aReason, "decode message", envelope.sender(), "unknown kind of message");
  }
  return message{ envelope.sender(), envelope.incarnation(), std::move(*body) };
}

} // namespace bulrush::wire
