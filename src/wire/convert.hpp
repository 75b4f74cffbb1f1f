#ifndef BULRUSH_WIRE_CONVERT_HPP
#define BULRUSH_WIRE_CONVERT_HPP

/// Conversions shared by the codecs of the wire library; not for other folders.

#include "wire/bulrush.pb.h"
#include "wire/wire.hpp"

namespace bulrush::wire {

std::int64_t ToMicroseconds(wall_time aTime);
wall_time FromMicroseconds(std::int64_t aMicroseconds);

/// nullopt unless it is set and in the range of ages that are of use.
std::optional<std::chrono::nanoseconds> GetAge(bool aIsSet,
                                               std::int64_t aNanoseconds);

std::string ToBytes(const key_hash& aHash);
key_hash FromBytes(const std::string& aBytes);

void Put(const fleet_command& aFrom, pb::Command& aTo);
std::optional<fleet_command> Get(const pb::Command& aFrom);

template<class row>
using repeated = google::protobuf::RepeatedPtrField<row>;

void Put(const endpoint_row& aFrom, steady_time aNow, pb::Endpoint& aTo);
endpoint_row Get(const pb::Endpoint& aFrom, steady_time aNow);
void PutEndpoints(const std::vector<endpoint_row>& aFrom,
                  steady_time aNow,
                  repeated<pb::Endpoint>& aTo);
std::vector<endpoint_row> GetEndpoints(const repeated<pb::Endpoint>& aFrom,
                                       steady_time aNow);
/// Processes of earlier releases send and read the ids only.
void PutRemoved(const std::vector<removed_endpoint>& aFrom,
                google::protobuf::RepeatedField<std::uint64_t>& aIds,
                repeated<pb::RemovedEndpoint>& aTo);
std::vector<removed_endpoint> GetRemoved(
  const google::protobuf::RepeatedField<std::uint64_t>& aIds,
  const repeated<pb::RemovedEndpoint>& aFrom);
void PutResidents(const std::vector<resident>& aFrom,
                  repeated<pb::Resident>& aTo);
std::vector<resident> GetResidents(const repeated<pb::Resident>& aFrom);

void Put(const status_reply& aFrom, steady_time aNow, pb::StatusReply& aTo);
status_reply Get(const pb::StatusReply& aFrom, steady_time aNow);

void Put(const admission::renewal& aFrom, pb::ShareRenewal& aTo);
std::optional<admission::renewal> Get(const pb::ShareRenewal& aFrom);
void Put(const admission::grant& aFrom, pb::ShareGrant& aTo);
std::optional<admission::grant> Get(const pb::ShareGrant& aFrom);
void Put(const rates::quota_request& aFrom, pb::TokenDraw& aTo);
std::optional<rates::quota_request> Get(const pb::TokenDraw& aFrom);
void Put(const rates::quota_grant& aFrom, pb::TokenAnswer& aTo);
std::optional<rates::quota_grant> Get(const pb::TokenAnswer& aFrom);
void Put(const quarantine::evidence& aFrom,
         steady_time aNow,
         pb::PromptEvidence& aTo);
/// Rows with numbers out of range are left out.
quarantine::evidence Get(const pb::PromptEvidence& aFrom, steady_time aNow);
template<class protobuf_message>
void
PutEvidence(const quarantine::evidence& aFrom,
            steady_time aNow,
            protobuf_message& aTo)
{
  if (!aFrom.Empty()) {
    Put(aFrom, aNow, *aTo.mutable_evidence());
  }
}

void PutKeys(const std::vector<key_hash>& aFrom, repeated<std::string>& aTo);
std::vector<key_hash> GetKeys(const repeated<std::string>& aFrom);
void PutControls(const std::vector<control_address>& aFrom,
                 repeated<pb::ControlAddress>& aTo);
std::vector<control_address> GetControls(
  const repeated<pb::ControlAddress>& aFrom);
std::string EncodeReplica(const replica_message& aMessage);
std::optional<replica_message> DecodeReplica(const std::string& aBytes);

} // namespace bulrush::wire

#endif
