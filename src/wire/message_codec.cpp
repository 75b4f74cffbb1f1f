/// The envelope of all messages.

#include "wire/bodies.hpp"

namespace bulrush::wire {

namespace {

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
ReadBody(const pb::Envelope& aFrom, steady_time aNow)
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
    case pb::Envelope::kUsageReport:
      return GetBody(aFrom.usage_report(), aNow);
    case pb::Envelope::kUsageAck:
      return GetBody(aFrom.usage_ack(), aNow);
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
  auto body = ReadBody(envelope, aNow);
  if (!body) {
    return Fail(
      aReason, "decode message", envelope.sender(), "unknown kind of message");
  }
  return message{ envelope.sender(), envelope.incarnation(), std::move(*body) };
}

} // namespace bulrush::wire
