#include "wire/convert.hpp"

#include <algorithm>

namespace bulrush::wire {

std::int64_t
ToMicroseconds(wall_time aTime)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           aTime.time_since_epoch())
    .count();
}

wall_time
FromMicroseconds(std::int64_t aMicroseconds)
{
  return wall_time(std::chrono::microseconds(aMicroseconds));
}

std::string
ToBytes(const key_hash& aHash)
{
  return { aHash.bytes.begin(), aHash.bytes.end() };
}

// A hash of the wrong length becomes all zeros, which no key has.
key_hash
FromBytes(const std::string& aBytes)
{
  key_hash hash;
  if (aBytes.size() == hash.bytes.size()) {
    std::copy(aBytes.begin(), aBytes.end(), hash.bytes.begin());
  }
  return hash;
}

namespace {

void
PutChange(const apply_manifest& aFrom, pb::Command& aTo)
{
  auto* to = aTo.mutable_apply_manifest();
  to->set_expected_revision(aFrom.expectedRevision);
  to->set_text(aFrom.text);
  to->set_patch(aFrom.patch);
  to->set_version(aFrom.version);
  if (!aFrom.patch.empty()) {
    to->set_digest(ToBytes(aFrom.digest));
  }
  to->set_source(aFrom.source);
}

void
PutChange(const issue_key& aFrom, pb::Command& aTo)
{
  auto* to = aTo.mutable_issue_key();
  to->set_key(ToBytes(aFrom.key));
  to->set_workspace(aFrom.workspace.value);
}

void
PutChange(const withdraw_key& aFrom, pb::Command& aTo)
{
  aTo.mutable_withdraw_key()->set_key(ToBytes(aFrom.key));
}

void
PutChange(const set_domain& aFrom, pb::Command& aTo)
{
  auto* to = aTo.mutable_set_domain();
  to->set_domain(aFrom.domain.value);
  to->set_is_out(aFrom.isOut);
  if (aFrom.follows) {
    to->set_follows(*aFrom.follows);
  }
}

void
PutChange(const drain_endpoint& aFrom, pb::Command& aTo)
{
  auto* to = aTo.mutable_drain_endpoint();
  to->set_endpoint(aFrom.endpoint.value);
  to->set_is_draining(aFrom.isDraining);
}

void
PutChange(const name_delegate& aFrom, pb::Command& aTo)
{
  auto* to = aTo.mutable_name_delegate();
  to->set_domain(aFrom.domain.value);
  to->set_replica(aFrom.replica.value);
}

void
PutChange(const claim_request& aFrom, pb::Command& aTo)
{
  auto* to = aTo.mutable_claim_request();
  to->set_claim(aFrom.claim.value);
  to->set_workspace(aFrom.workspace.value);
  to->set_body_digest(ToBytes(aFrom.bodyDigest));
  to->set_token(aFrom.token);
  to->set_run_limit_ms(aFrom.runLimit.count());
}

void
PutChange(const record_outcome& aFrom, pb::Command& aTo)
{
  auto* to = aTo.mutable_record_outcome();
  to->set_claim(aFrom.claim.value);
  to->set_token(aFrom.token);
  to->set_status(aFrom.status);
  to->set_content_type(aFrom.contentType);
  to->set_body(aFrom.body);
}

void
PutChange(const release_claim& aFrom, pb::Command& aTo)
{
  auto* to = aTo.mutable_release_claim();
  to->set_claim(aFrom.claim.value);
  to->set_token(aFrom.token);
}

void
PutChange(const count_hosts& aFrom, pb::Command& aTo)
{
  aTo.mutable_count_hosts()->set_hosts(aFrom.hosts);
}

apply_manifest
GetChange(const pb::ApplyManifest& aFrom)
{
  return {
    aFrom.expected_revision(), aFrom.text(),  aFrom.patch(), aFrom.version(),
    FromBytes(aFrom.digest()), aFrom.source()
  };
}

issue_key
GetChange(const pb::IssueKey& aFrom)
{
  return { FromBytes(aFrom.key()), { aFrom.workspace() } };
}

withdraw_key
GetChange(const pb::WithdrawKey& aFrom)
{
  return { FromBytes(aFrom.key()) };
}

set_domain
GetChange(const pb::SetDomain& aFrom)
{
  return { { aFrom.domain() },
           aFrom.is_out(),
           aFrom.has_follows() ? std::optional(aFrom.follows())
                               : std::nullopt };
}

drain_endpoint
GetChange(const pb::DrainEndpoint& aFrom)
{
  return { { aFrom.endpoint() }, aFrom.is_draining() };
}

name_delegate
GetChange(const pb::NameDelegate& aFrom)
{
  return { { aFrom.domain() }, { aFrom.replica() } };
}

claim_request
GetChange(const pb::ClaimRequest& aFrom)
{
  return { { aFrom.claim() },
           { aFrom.workspace() },
           FromBytes(aFrom.body_digest()),
           aFrom.token(),
           std::chrono::milliseconds(aFrom.run_limit_ms()) };
}

record_outcome
GetChange(const pb::RecordOutcome& aFrom)
{
  return { { aFrom.claim() },
           aFrom.token(),
           aFrom.status(),
           aFrom.content_type(),
           aFrom.body() };
}

release_claim
GetChange(const pb::ReleaseClaim& aFrom)
{
  return { { aFrom.claim() }, aFrom.token() };
}

std::optional<fleet_change>
GetChange(const pb::Command& aFrom)
{
  switch (aFrom.change_case()) {
    case pb::Command::kApplyManifest:
      return GetChange(aFrom.apply_manifest());
    case pb::Command::kIssueKey:
      return GetChange(aFrom.issue_key());
    case pb::Command::kWithdrawKey:
      return GetChange(aFrom.withdraw_key());
    case pb::Command::kSetDomain:
      return GetChange(aFrom.set_domain());
    case pb::Command::kDrainEndpoint:
      return GetChange(aFrom.drain_endpoint());
    case pb::Command::kNameDelegate:
      return GetChange(aFrom.name_delegate());
    case pb::Command::kClaimRequest:
      return GetChange(aFrom.claim_request());
    case pb::Command::kRecordOutcome:
      return GetChange(aFrom.record_outcome());
    case pb::Command::kReleaseClaim:
      return GetChange(aFrom.release_claim());
    case pb::Command::kCountHosts:
      return count_hosts{ aFrom.count_hosts().hosts() };
    case pb::Command::CHANGE_NOT_SET:
      break;
  }
  return std::nullopt;
}

} // namespace

void
Put(const fleet_command& aFrom, pb::Command& aTo)
{
  aTo.set_at_us(ToMicroseconds(aFrom.at));
  std::visit([&](const auto& aChange) { PutChange(aChange, aTo); },
             aFrom.change);
}

std::optional<fleet_command>
Get(const pb::Command& aFrom)
{
  auto change = GetChange(aFrom);
  if (!change) {
    return std::nullopt;
  }
  return fleet_command{ FromMicroseconds(aFrom.at_us()), std::move(*change) };
}

std::string
EncodeCommand(const fleet_command& aCommand)
{
  pb::Command command;
  Put(aCommand, command);
  return command.SerializeAsString();
}

std::optional<fleet_command>
DecodeCommand(const std::string& aBytes, last_reason& aReason)
{
  pb::Command command;
  if (!command.ParseFromString(aBytes)) {
    return Fail(aReason, "decode command", "", "malformed bytes");
  }
  auto result = Get(command);
  if (!result) {
    return Fail(aReason, "decode command", "", "unknown kind of change");
  }
  return result;
}

} // namespace bulrush::wire
