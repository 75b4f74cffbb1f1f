#include "fleet/fleet.hpp"

#include <algorithm>

namespace bulrush {
namespace {

constexpr std::size_t kMaxVersions = 10'000;
constexpr std::size_t kMaxStoredBody = 65'536;

command_result
Refuse(const fleet_state& aState, std::string aCode, std::string aText)
{
  command_result result;
  result.code = std::move(aCode);
  result.text = std::move(aText);
  result.revision = aState.revision;
  return result;
}

command_result
Done(const fleet_state& aState, std::string aText)
{
  command_result result;
  result.isDone = true;
  result.code = "done";
  result.text = std::move(aText);
  result.revision = aState.revision;
  return result;
}

command_result
DoneWithNewRevision(fleet_state& aState, std::string aText)
{
  ++aState.revision;
  return Done(aState, std::move(aText));
}

// Declared keys follow the manifest; keys issued by command are kept. Withdrawn
// keys stay withdrawn even if the manifest declares them.
void
UpdateDeclaredKeys(fleet_state& aState)
{
  aState.keys.EraseIf(
    [](const key_row& aRow) { return aRow.isDeclared && !aRow.isWithdrawn; });
  for (const auto& [hash, workspace] : aState.declared.keys) {
    if (aState.keys.Find(hash) == nullptr) {
      aState.keys.Insert({ hash, workspace, false, true });
    }
  }
}

void
UpdateDeclaredDomains(fleet_state& aState)
{
  for (const domain_row& domain : aState.declared.domains) {
    if (aState.domains.Find(domain.id) == nullptr) {
      domain_state_row row;
      row.id = domain.id;
      row.changedAt = aState.revision + 1; // that of the manifest
      aState.domains.Insert(row);
    }
  }
  aState.domains.EraseIf([&](const domain_state_row& aRow) {
    return aState.declared.domains.Find(aRow.id) == nullptr;
  });
}

// Evicts the oldest version at the limit: a resend arrives within minutes, long
// before kMaxVersions newer manifests.
void
RecordVersion(fleet_state& aState, const version_row& aRow)
{
  if (aState.versions.Size() >= kMaxVersions) {
    const auto oldest = std::min_element(
      aState.versions.begin(),
      aState.versions.end(),
      [](const version_row& aLeft, const version_row& aRight) {
        return aLeft.manifestRevision < aRight.manifestRevision;
      });
    const auto id = oldest->id;
    aState.versions.Erase(id);
  }
  aState.versions.Insert(aRow);
}

// A validated manifest with its canonical text.
struct canonical_manifest
{
  manifest parsed;
  std::string text;
  key_hash digest;
};

canonical_manifest
Canonical(manifest aParsed, const std::string& aText)
{
  canonical_manifest requested;
  requested.parsed = std::move(aParsed);
  requested.text = CanonicalManifest(aText);
  requested.digest = HashKey(requested.text);
  return requested;
}

std::optional<canonical_manifest>
ParseCanonical(const std::string& aText, std::vector<manifest_fault>& aFaults)
{
  auto parsed = ParseManifest(aText, aFaults);
  return parsed ? std::optional(Canonical(std::move(*parsed), aText))
                : std::nullopt;
}

// A resend of an applied version gets the answer of the first command. Another
// text under the same version is refused with the digest of the applied one.
std::optional<command_result>
AnswerKnownVersion(const fleet_state& aState,
                   const std::string& aVersion,
                   const key_hash& aDigest)
{
  const version_row* known =
    aState.versions.Find(IdOf<typed_id<struct version_tag>>(aVersion));
  if (known == nullptr) {
    return std::nullopt;
  }
  if (known->digest != aDigest) {
    return Refuse(aState,
                  "version_taken",
                  "version " + aVersion +
                    " was applied before with another text, digest " +
                    ToHex(known->digest));
  }
  command_result again = Done(aState, "applied before");
  again.revision = known->revision;
  return again;
}

command_result
ActivateManifest(fleet_state& aState, canonical_manifest aManifest)
{
  aState.declared = std::move(aManifest.parsed);
  aState.manifestText = std::move(aManifest.text);
  aState.manifestDigest = aManifest.digest;
  ++aState.manifestRevision;
  UpdateDeclaredKeys(aState);
  UpdateDeclaredDomains(aState);
  command_result result = DoneWithNewRevision(aState, "applied");
  RecordVersion(aState,
                { IdOf<typed_id<struct version_tag>>(aState.declared.version),
                  aState.manifestDigest,
                  aState.manifestRevision,
                  aState.revision });
  return result;
}

// The manifest with the highest number is in force. A resend or an older number
// is reported as done and changes nothing. Texts of numbered manifests are not
// compared, so none is brought into canonical form, which takes as long as to
// parse it.
command_result
ApplyByNumber(fleet_state& aState,
              manifest aParsed,
              const apply_manifest& aChange)
{
  if (aParsed.number <= aState.declared.number) {
    return Done(aState, "not above the number in force");
  }
  if (!aChange.source.empty()) {
    aParsed.source = aChange.source;
  }
  return ActivateManifest(
    aState, { std::move(aParsed), aChange.text, HashKey(aChange.text) });
}

// Compare-and-set on the manifest revision resolves races of operators. A patch
// is applied after that check, so its base is the text that it was made from;
// the digest verifies the result.
command_result
Change(fleet_state& aState, const apply_manifest& aChange, wall_time)
{
  const bool isPatch = !aChange.patch.empty();
  std::vector<manifest_fault> faults;
  std::optional<canonical_manifest> requested;
  if (!isPatch) {
    auto parsed = ParseManifest(aChange.text, faults);
    if (!parsed) {
      return Refuse(aState, "bad_manifest", Describe(faults));
    }
    if (parsed->number > 0) {
      return ApplyByNumber(aState, std::move(*parsed), aChange);
    }
    requested = Canonical(std::move(*parsed), aChange.text);
  }
  const auto known =
    AnswerKnownVersion(aState,
                       isPatch ? aChange.version : requested->parsed.version,
                       isPatch ? aChange.digest : requested->digest);
  if (known) {
    return *known;
  }
  if (aChange.expectedRevision != aState.manifestRevision) {
    return Refuse(aState,
                  "revision_moved",
                  "manifest revision is " +
                    std::to_string(aState.manifestRevision) + " (version " +
                    aState.declared.version + "), not " +
                    std::to_string(aChange.expectedRevision));
  }
  if (isPatch) {
    last_reason reason;
    const auto text = PatchManifest(aState.manifestText, aChange.patch, reason);
    requested = text ? ParseCanonical(*text, faults) : std::nullopt;
    if (!requested || requested->digest != aChange.digest) {
      return Refuse(aState, "bad_patch", Describe(reason) + Describe(faults));
    }
  }
  return ActivateManifest(aState, std::move(*requested));
}

command_result
Change(fleet_state& aState, const issue_key& aChange, wall_time)
{
  const workspace_row* workspace =
    aState.declared.workspaces.Find(aChange.workspace);
  if (workspace == nullptr) {
    return Refuse(aState, "no_workspace", "no such workspace is declared");
  }
  if (const key_row* known = aState.keys.Find(aChange.key)) {
    if (known->isWithdrawn) {
      return Refuse(aState, "key_withdrawn", "the key was withdrawn");
    }
    if (known->workspace != aChange.workspace) {
      return Refuse(aState, "key_taken", "the key is another workspace's");
    }
    return Done(aState, "issued before");
  }
  aState.keys.Insert({ aChange.key, aChange.workspace, false });
  return DoneWithNewRevision(aState, "issued for " + workspace->name);
}

// Also for unknown keys: a withdrawal may arrive before the issue.
void
AddKeyTombstone(fleet_state& aState, const key_hash& aKey)
{
  key_row* row = aState.keys.Find(aKey);
  if (row == nullptr) {
    row = &aState.keys.Insert({ aKey, {}, false });
  }
  row->isWithdrawn = true;
}

command_result
Change(fleet_state& aState, const withdraw_key& aChange, wall_time)
{
  const key_row* known = aState.keys.Find(aChange.key);
  if (known != nullptr && known->isWithdrawn) {
    return Done(aState, "withdrawn before");
  }
  AddKeyTombstone(aState, aChange.key);
  return DoneWithNewRevision(aState, "withdrawn");
}

command_result
Change(fleet_state& aState, const set_domain& aChange, wall_time)
{
  domain_state_row* domain = aState.domains.Find(aChange.domain);
  if (domain == nullptr) {
    return Refuse(aState, "no_domain", "no such failure domain is declared");
  }
  if (domain->isOut == aChange.isOut) {
    return Done(aState, "was so before");
  }
  domain->isOut = aChange.isOut;
  domain->changedAt = aState.revision + 1;
  return DoneWithNewRevision(aState, aChange.isOut ? "out" : "back");
}

command_result
Change(fleet_state& aState, const count_hosts& aChange, wall_time)
{
  if (aState.hosts == aChange.hosts) {
    return Done(aState, "was so before");
  }
  aState.hosts = aChange.hosts;
  return DoneWithNewRevision(aState, "counted");
}

command_result
Change(fleet_state& aState, const drain_endpoint& aChange, wall_time)
{
  const bool isDraining = aState.drains.Find(aChange.endpoint) != nullptr;
  if (isDraining == aChange.isDraining) {
    return Done(aState, "was so before");
  }
  if (aChange.isDraining) {
    aState.drains.Insert({ aChange.endpoint });
  } else {
    aState.drains.Erase(aChange.endpoint);
  }
  return DoneWithNewRevision(aState, "set");
}

command_result
Change(fleet_state& aState, const name_delegate& aChange, wall_time)
{
  domain_state_row* domain = aState.domains.Find(aChange.domain);
  if (domain == nullptr) {
    return Refuse(aState, "no_domain", "no such failure domain is declared");
  }
  if (domain->delegate == aChange.replica) {
    return Done(aState, "was so before");
  }
  domain->delegate = aChange.replica;
  ++domain->epoch;
  return DoneWithNewRevision(aState, "named");
}

// Claims expire after the documented claim window, measured by the times of the
// commands.
void
ExpireClaims(fleet_state& aState, wall_time aNow)
{
  const auto window = aState.declared.claimWindow;
  aState.claims.EraseIf(
    [&](const claim_row& aRow) { return aRow.claimedAt + window < aNow; });
}

command_result
AnswerKnownClaim(const fleet_state& aState,
                 const claim_row& aRow,
                 const claim_request& aChange,
                 wall_time aNow)
{
  command_result result = Done(aState, "");
  if (aRow.bodyDigest != aChange.bodyDigest ||
      aRow.workspace != aChange.workspace) {
    result.claim = claim_answer::eOtherBody;
  } else if (aRow.isDone) {
    result.claim = claim_answer::eStored;
    result.storedStatus = aRow.status;
    result.storedContentType = aRow.contentType;
    result.storedBody = aRow.body;
  } else if (aRow.token == aChange.token) {
    result.claim =
      claim_answer::eGranted; // a resend: the first answer was lost
  } else if (aNow < aRow.claimedAt + aRow.runLimit) {
    result.claim = claim_answer::eInProgress;
  } else {
    result.claim = claim_answer::eMayHaveRun;
  }
  return result;
}

command_result
Change(fleet_state& aState, const claim_request& aChange, wall_time aNow)
{
  ExpireClaims(aState, aNow);
  if (const claim_row* known = aState.claims.Find(aChange.claim)) {
    return AnswerKnownClaim(aState, *known, aChange, aNow);
  }
  claim_row row;
  row.id = aChange.claim;
  row.workspace = aChange.workspace;
  row.bodyDigest = aChange.bodyDigest;
  row.token = aChange.token;
  row.claimedAt = aNow;
  row.runLimit = aChange.runLimit;
  aState.claims.Insert(std::move(row));
  command_result result = Done(aState, "claimed");
  result.claim = claim_answer::eGranted;
  return result;
}

command_result
Change(fleet_state& aState, const record_outcome& aChange, wall_time)
{
  claim_row* row = aState.claims.Find(aChange.claim);
  if (row == nullptr || row->token != aChange.token) {
    return Refuse(aState, "no_claim", "no such claim is held");
  }
  if (aChange.body.size() > kMaxStoredBody) {
    return Refuse(aState, "outcome_too_large", "the outcome is over 64 KiB");
  }
  if (!row->isDone) {
    row->isDone = true;
    row->status = aChange.status;
    row->contentType = aChange.contentType;
    row->body = aChange.body;
  }
  return Done(aState, "recorded");
}

command_result
Change(fleet_state& aState, const release_claim& aChange, wall_time)
{
  const claim_row* row = aState.claims.Find(aChange.claim);
  if (row != nullptr && row->token == aChange.token && !row->isDone) {
    aState.claims.Erase(aChange.claim);
  }
  return Done(aState, "released");
}

} // namespace

apply_manifest
EncodeAsPatch(const fleet_state& aState, apply_manifest aChange)
{
  std::vector<manifest_fault> faults;
  const bool hasBase = !aState.manifestText.empty() &&
                       aChange.expectedRevision == aState.manifestRevision;
  const auto requested =
    hasBase ? ParseCanonical(aChange.text, faults) : std::nullopt;
  if (!requested) {
    return aChange;
  }
  std::string patch = DiffManifests(aState.manifestText, requested->text);
  if (patch.size() >= aChange.text.size()) {
    return aChange;
  }
  aChange.text.clear();
  aChange.patch = std::move(patch);
  aChange.version = requested->parsed.version;
  aChange.digest = requested->digest;
  return aChange;
}

bool
IsNewer(const endpoint_row& aNew, const endpoint_row& aOld)
{
  return aNew.incarnation > aOld.incarnation ||
         (aNew.incarnation == aOld.incarnation &&
          aNew.sequence > aOld.sequence);
}

bool
IsAfter(const endpoint_row& aReport, const removed_endpoint& aRemoved)
{
  return aReport.incarnation > aRemoved.incarnation ||
         (!aRemoved.hasLeft && aReport.incarnation == aRemoved.incarnation &&
          aReport.sequence > aRemoved.sequence);
}

bool
IsConfiguration(const fleet_change& aChange)
{
  return !std::holds_alternative<claim_request>(aChange) &&
         !std::holds_alternative<record_outcome>(aChange) &&
         !std::holds_alternative<release_claim>(aChange);
}

// The time of the state machine never decreases, even if the clock of a new
// leader is behind that of the previous one.
command_result
Apply(fleet_state& aState, const fleet_command& aCommand)
{
  aState.lastCommandAt = std::max(aState.lastCommandAt, aCommand.at);
  return std::visit(
    [&](const auto& aChange) {
      return Change(aState, aChange, aState.lastCommandAt);
    },
    aCommand.change);
}

std::optional<workspace_id>
FindWorkspace(const fleet_state& aState, const key_hash& aKey)
{
  const key_row* row = aState.keys.Find(aKey);
  if (row == nullptr || row->isWithdrawn ||
      aState.declared.workspaces.Find(row->workspace) == nullptr) {
    return std::nullopt;
  }
  return row->workspace;
}

bool
IsOut(const fleet_state& aState, domain_id aDomain)
{
  const domain_state_row* row = aState.domains.Find(aDomain);
  return row != nullptr && row->isOut;
}

} // namespace bulrush
