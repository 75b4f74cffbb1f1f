#ifndef BULRUSH_WIRE_BODIES_HPP
#define BULRUSH_WIRE_BODIES_HPP

/// Conversions between the bodies of messages and their encoding; not for other
/// folders. GetBody returns nullopt for a body that is malformed.

#include "wire/convert.hpp"

namespace bulrush::wire {

// host_codec.cpp
void PutBody(const host_report& aFrom, steady_time aNow, pb::Envelope& aTo);
void PutBody(const host_update& aFrom, steady_time aNow, pb::Envelope& aTo);
void PutBody(const held_update& aFrom, steady_time aNow, pb::Envelope& aTo);
void PutBody(const demand_report& aFrom, steady_time aNow, pb::Envelope& aTo);
std::optional<message_body> GetBody(const pb::HostReport& aFrom,
                                    steady_time aNow);
std::optional<message_body> GetBody(const pb::HostUpdate& aFrom,
                                    steady_time aNow);
std::optional<message_body> GetBody(const pb::HeldUpdate& aFrom,
                                    steady_time aNow);
std::optional<message_body> GetBody(const pb::WantedModels& aFrom,
                                    steady_time aNow);

// load_codec.cpp
void PutLoads(const std::vector<room::load_row>& aFrom,
              steady_time aNow,
              repeated<pb::EndpointLoad>& aTo);
std::vector<room::load_row> GetLoads(const repeated<pb::EndpointLoad>& aFrom,
                                     steady_time aNow);

// usage_codec.cpp
void PutBody(const usage_report& aFrom, steady_time aNow, pb::Envelope& aTo);
void PutBody(const usage_ack& aFrom, steady_time aNow, pb::Envelope& aTo);
std::optional<message_body> GetBody(const pb::UsageReport& aFrom,
                                    steady_time aNow);
std::optional<message_body> GetBody(const pb::UsageAck& aFrom,
                                    steady_time aNow);

// peer_codec.cpp
void PutBody(const endpoint_gossip& aFrom, steady_time aNow, pb::Envelope& aTo);
void PutBody(const tombstones& aFrom, steady_time aNow, pb::Envelope& aTo);
void PutBody(const replica_message& aFrom, steady_time aNow, pb::Envelope& aTo);
void PutBody(const replica_hello& aFrom, steady_time aNow, pb::Envelope& aTo);
std::optional<message_body> GetBody(const pb::EndpointGossip& aFrom,
                                    steady_time aNow);
std::optional<message_body> GetBody(const pb::Tombstones& aFrom,
                                    steady_time aNow);
std::optional<message_body> GetBody(const pb::ReplicaHello& aFrom,
                                    steady_time aNow);

// call_codec.cpp
void PutBody(const command_call& aFrom, steady_time aNow, pb::Envelope& aTo);
void PutBody(const command_reply& aFrom, steady_time aNow, pb::Envelope& aTo);
void PutBody(const status_call& aFrom, steady_time aNow, pb::Envelope& aTo);
void PutBody(const status_reply& aFrom, steady_time aNow, pb::Envelope& aTo);
void PutBody(const manifest_call& aFrom, steady_time aNow, pb::Envelope& aTo);
void PutBody(const manifest_reply& aFrom, steady_time aNow, pb::Envelope& aTo);
void PutBody(const replace_call& aFrom, steady_time aNow, pb::Envelope& aTo);
void PutBody(const quarantine_call& aFrom, steady_time aNow, pb::Envelope& aTo);
std::optional<message_body> GetBody(const pb::CommandCall& aFrom,
                                    steady_time aNow);
std::optional<message_body> GetBody(const pb::CommandReply& aFrom,
                                    steady_time aNow);
std::optional<message_body> GetBody(const pb::StatusCall& aFrom,
                                    steady_time aNow);
std::optional<message_body> GetBody(const pb::StatusReply& aFrom,
                                    steady_time aNow);
std::optional<message_body> GetBody(const pb::ManifestCall& aFrom,
                                    steady_time aNow);
std::optional<message_body> GetBody(const pb::ManifestReply& aFrom,
                                    steady_time aNow);
std::optional<message_body> GetBody(const pb::ReplaceCall& aFrom,
                                    steady_time aNow);
std::optional<message_body> GetBody(const pb::QuarantineCall& aFrom,
                                    steady_time aNow);

// share_codec.cpp
void PutBody(const share_renewal& aFrom, steady_time aNow, pb::Envelope& aTo);
void PutBody(const share_grant& aFrom, steady_time aNow, pb::Envelope& aTo);
void PutBody(const rates::quota_request& aFrom,
             steady_time aNow,
             pb::Envelope& aTo);
void PutBody(const rates::quota_grant& aFrom,
             steady_time aNow,
             pb::Envelope& aTo);
std::optional<message_body> GetBody(const pb::ShareRenewal& aFrom,
                                    steady_time aNow);
std::optional<message_body> GetBody(const pb::ShareGrant& aFrom,
                                    steady_time aNow);
std::optional<message_body> GetBody(const pb::TokenDraw& aFrom,
                                    steady_time aNow);
std::optional<message_body> GetBody(const pb::TokenAnswer& aFrom,
                                    steady_time aNow);

} // namespace bulrush::wire

#endif
