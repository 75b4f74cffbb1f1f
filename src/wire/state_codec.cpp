#include "wire/convert.hpp"

namespace bulrush::wire {
namespace {

void
PutClaim(const claim_row& aFrom, pb::ClaimRow& aTo)
{
  aTo.set_id(aFrom.id.value);
  aTo.set_workspace(aFrom.workspace.value);
  aTo.set_body_digest(ToBytes(aFrom.bodyDigest));
  aTo.set_token(aFrom.token);
  aTo.set_claimed_at_us(ToMicroseconds(aFrom.claimedAt));
  aTo.set_run_limit_ms(aFrom.runLimit.count());
  aTo.set_is_done(aFrom.isDone);
  aTo.set_status(aFrom.status);
  aTo.set_content_type(aFrom.contentType);
  aTo.set_body(aFrom.body);
}

claim_row
GetClaim(const pb::ClaimRow& aFrom)
{
  claim_row row;
  row.id = { aFrom.id() };
  row.workspace = { aFrom.workspace() };
  row.bodyDigest = FromBytes(aFrom.body_digest());
  row.token = aFrom.token();
  row.claimedAt = FromMicroseconds(aFrom.claimed_at_us());
  row.runLimit = std::chrono::milliseconds(aFrom.run_limit_ms());
  row.isDone = aFrom.is_done();
  row.status = aFrom.status();
  row.contentType = aFrom.content_type();
  row.body = aFrom.body();
  return row;
}

void
GetTables(const pb::FleetState& aFrom, fleet_state& aTo)
{
  for (const auto& row : aFrom.keys()) {
    aTo.keys.Insert({ FromBytes(row.key()),
                      { row.workspace() },
                      row.is_withdrawn(),
                      row.is_declared() });
  }
  for (const auto& row : aFrom.domains()) {
    aTo.domains.Insert({ { row.domain() },
                         row.is_out(),
                         { row.delegate() },
                         row.epoch(),
                         row.changed_at() });
  }
  for (const auto endpoint : aFrom.drains()) {
    aTo.drains.Insert({ { endpoint } });
  }
  for (const auto& row : aFrom.versions()) {
    aTo.versions.Insert({ { row.id() },
                          FromBytes(row.digest()),
                          row.manifest_revision(),
                          row.revision() });
  }
  for (const auto& row : aFrom.claims()) {
    aTo.claims.Insert(GetClaim(row));
  }
}

void
PutTables(const fleet_state& aFrom, pb::FleetState& aTo)
{
  for (const key_row& row : aFrom.keys) {
    auto* to = aTo.add_keys();
    to->set_key(ToBytes(row.id));
    to->set_workspace(row.workspace.value);
    to->set_is_withdrawn(row.isWithdrawn);
    to->set_is_declared(row.isDeclared);
  }
  for (const domain_state_row& row : aFrom.domains) {
    auto* to = aTo.add_domains();
    to->set_domain(row.id.value);
    to->set_is_out(row.isOut);
    to->set_delegate(row.delegate.value);
    to->set_epoch(row.epoch);
    to->set_changed_at(row.changedAt);
  }
  for (const drain_row& row : aFrom.drains) {
    aTo.add_drains(row.id.value);
  }
  for (const version_row& row : aFrom.versions) {
    auto* to = aTo.add_versions();
    to->set_id(row.id.value);
    to->set_digest(ToBytes(row.digest));
    to->set_manifest_revision(row.manifestRevision);
    to->set_revision(row.revision);
  }
  for (const claim_row& row : aFrom.claims) {
    PutClaim(row, *aTo.add_claims());
  }
}

} // namespace

// The manifest is encoded as its text and parsed again by the decoder, so that
// there is only one manifest parser.
std::string
EncodeState(const fleet_state& aState)
{
  pb::FleetState state;
  state.set_revision(aState.revision);
  state.set_manifest_revision(aState.manifestRevision);
  state.set_hosts(aState.hosts);
  state.set_manifest_text(aState.manifestText);
  state.set_source(aState.declared.source);
  state.set_last_command_at_us(ToMicroseconds(aState.lastCommandAt));
  PutTables(aState, state);
  return state.SerializeAsString();
}

std::optional<fleet_state>
DecodeState(const std::string& aBytes, last_reason& aReason)
{
  pb::FleetState state;
  if (!state.ParseFromString(aBytes)) {
    return Fail(aReason, "decode fleet state", "", "malformed bytes");
  }
  fleet_state result;
  result.revision = state.revision();
  result.manifestRevision = state.manifest_revision();
  result.hosts = state.hosts();
  result.manifestText = state.manifest_text();
  result.lastCommandAt = FromMicroseconds(state.last_command_at_us());
  if (!result.manifestText.empty()) {
    std::vector<manifest_fault> faults;
    auto parsed = ParseManifest(result.manifestText, faults);
    if (!parsed) {
      return Fail(aReason, "decode fleet state", "", Describe(faults));
    }
    result.declared = std::move(*parsed);
    result.manifestDigest = HashKey(result.manifestText);
    if (!state.source().empty()) {
      result.declared.source = state.source();
    }
  }
  GetTables(state, result);
  return result;
}

} // namespace bulrush::wire
