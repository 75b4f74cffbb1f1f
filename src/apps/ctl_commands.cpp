#include "apps/ctl_commands.hpp"

#include "net/net.hpp"
#include "settings/settings.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <openssl/rand.h>

#include <charconv>
#include <cstdio>
#include <fstream>
#include <sstream>

namespace bulrush::ctl {
namespace {

using nlohmann::json;

constexpr std::size_t kKeyBytes = 24;
constexpr std::string_view kKeyPrefix = "bl-";

std::optional<std::string>
ReadFile(const std::string& aName, last_reason& aReason)
{
  std::ifstream file(aName, std::ios::binary);
  if (!file) {
    return Fail(aReason, "read file", aName, "it cannot be opened");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void
Print(const std::string& aText)
{
  std::fputs((aText + "\n").c_str(), stdout);
}

// Prints the outcome of a command and maps it to an exit code. Without an
// answer the outcome is unknown, since the command may have been committed.
int
ReportOutcome(const call_settings& aSettings,
              const std::optional<wire::message_body>& aAnswer,
              last_reason& aReason)
{
  if (!aAnswer) {
    return eExitUnknown;
  }
  const auto* reply = std::get_if<wire::command_reply>(&*aAnswer);
  if (reply == nullptr || reply->outcome == wire::call_outcome::eRefused ||
      reply->outcome == wire::call_outcome::eSuperseded) {
    Fail(aReason,
         "call control",
         "",
         reply == nullptr ? "an answer of another kind" : reply->text);
    return eExitRefused;
  }
  const command_result& result = reply->result;
  std::vector<std::string> pending;
  const bool isAccepted =
    result.isDone && WaitForRevision(aSettings, result.revision, pending);
  if (aSettings.isJson) {
    Print(json{ { "done", result.isDone },
                { "accepted", isAccepted },
                { "code", result.code },
                { "text", result.text },
                { "revision", result.revision },
                { "pending", pending } }
            .dump());
  }
  if (!result.isDone) {
    Fail(aReason, "command", "control", result.code + ": " + result.text);
    return eExitRefused;
  }
  if (!isAccepted) {
    Fail(aReason,
         "wait until revision " + std::to_string(result.revision) +
           " is in force",
         "",
         fmt::format("{}; committed and pending", fmt::join(pending, "; ")));
    return eExitPending;
  }
  if (!aSettings.isJson) {
    Print(fmt::format(
      "{}; in force everywhere (revision {})", result.text, result.revision));
  }
  return eExitDone;
}

int
SendCommand(const call_settings& aSettings,
            fleet_change aChange,
            last_reason& aReason)
{
  wire::command_call call;
  call.call = 1;
  call.command.change = std::move(aChange);
  call.credential = aSettings.credential;
  return ReportOutcome(
    aSettings, Call(aSettings, std::move(call), aReason), aReason);
}

// Revision of the domain's latest change, as a control process knows it.
// nullopt for a domain that it does not list.
std::optional<std::uint64_t>
FindDomainChange(const wire::message_body& aAnswer, const std::string& aDomain)
{
  if (const auto* status = std::get_if<wire::status_reply>(&aAnswer)) {
    for (const wire::domain_status& row : status->domains) {
      if (row.name == aDomain) {
        return row.changedAt;
      }
    }
  }
  return std::nullopt;
}

bool
IsSuperseded(const std::optional<wire::message_body>& aAnswer)
{
  const auto* reply =
    aAnswer ? std::get_if<wire::command_reply>(&*aAnswer) : nullptr;
  return reply != nullptr && reply->outcome == wire::call_outcome::eSuperseded;
}

// The order names the state that it follows, so that a copy of it that is read
// late undoes no newer one. The control process that answers may lag behind.
int
ChangeDomain(const call_settings& aSettings,
             const std::string& aName,
             bool aIsOut,
             last_reason& aReason)
{
  const steady_time end = net::Now() + aSettings.timeout;
  while (true) {
    const auto status =
      Call(aSettings, wire::status_call{ 1, aSettings.credential }, aReason);
    if (!status) {
      return ReportOutcome(aSettings, std::nullopt, aReason);
    }
    wire::command_call call;
    call.call = 1;
    call.command.change = set_domain{ IdOf<domain_id>(aName),
                                      aIsOut,
                                      FindDomainChange(*status, aName) };
    call.credential = aSettings.credential;
    const auto answer = Call(aSettings, std::move(call), aReason);
    if (!IsSuperseded(answer) || net::Now() >= end) {
      return ReportOutcome(aSettings, answer, aReason);
    }
  }
}

// aNames is OLD=NEW, or a single name for a control process that has lost its
// data folder and rejoins under the same name.
int
ReplaceControl(const call_settings& aSettings,
               const std::string& aNames,
               last_reason& aReason)
{
  const std::size_t equals = aNames.find('=');
  wire::replace_call call;
  call.call = 1;
  call.credential = aSettings.credential;
  call.oldName = aNames.substr(0, equals);
  call.newName =
    equals == std::string::npos ? aNames : aNames.substr(equals + 1);
  return ReportOutcome(
    aSettings, Call(aSettings, std::move(call), aReason), aReason);
}

std::optional<wire::manifest_reply>
FetchManifest(const call_settings& aSettings, last_reason& aReason)
{
  const auto answer =
    Call(aSettings, wire::manifest_call{ 1, aSettings.credential }, aReason);
  if (!answer) {
    return std::nullopt;
  }
  const auto* reply = std::get_if<wire::manifest_reply>(&*answer);
  if (reply == nullptr) {
    return Fail(aReason, "ask for manifest", "control", "unexpected answer");
  }
  return *reply;
}

std::optional<manifest>
ReadManifest(const std::string& aName, std::string& aText, last_reason& aReason)
{
  const auto text = ReadFile(aName, aReason);
  if (!text) {
    return std::nullopt;
  }
  std::vector<manifest_fault> faults;
  auto parsed = ParseManifest(*text, faults);
  if (!parsed) {
    return Fail(aReason, "check manifest", aName, "\n" + Describe(faults));
  }
  aText = *text;
  return parsed;
}

int
ApplyFile(const call_settings& aSettings,
          const std::string& aName,
          last_reason& aReason)
{
  std::string text;
  if (!ReadManifest(aName, text, aReason)) {
    return eExitUsage;
  }
  std::uint64_t expected = 0;
  if (aSettings.expectedRevision) {
    expected = *aSettings.expectedRevision;
  } else {
    const auto current = FetchManifest(aSettings, aReason);
    if (!current) {
      return eExitNotDone;
    }
    expected = current->manifestRevision;
  }
  return SendCommand(
    aSettings, apply_manifest{ expected, std::move(text) }, aReason);
}

int
CheckFile(const std::string& aName, last_reason& aReason)
{
  std::string text;
  const auto parsed = ReadManifest(aName, text, aReason);
  if (!parsed) {
    return eExitUsage;
  }
  Print(fmt::format("{} version {}: {} models, {} adapters, {} workspaces",
                    parsed->name,
                    parsed->version,
                    parsed->models.Size(),
                    parsed->adapters.Size(),
                    parsed->workspaces.Size()));
  return eExitDone;
}

int
DiffFile(const call_settings& aSettings,
         const std::string& aName,
         last_reason& aReason)
{
  std::string text;
  const auto proposed = ReadManifest(aName, text, aReason);
  if (!proposed) {
    return eExitUsage;
  }
  const auto current = FetchManifest(aSettings, aReason);
  if (!current) {
    return eExitNotDone;
  }
  manifest currentManifest;
  if (!current->text.empty()) {
    std::vector<manifest_fault> faults;
    currentManifest = ParseManifest(current->text, faults).value_or(manifest{});
  }
  for (const std::string& line : DescribeChanges(currentManifest, *proposed)) {
    Print(line);
  }
  return eExitDone;
}

std::optional<std::string>
GenerateKey(last_reason& aReason)
{
  std::array<unsigned char, kKeyBytes> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    return Fail(aReason, "make key", "", "no random bytes");
  }
  std::string key(kKeyPrefix);
  for (const unsigned char byte : bytes) {
    key += fmt::format("{:02x}", byte);
  }
  return key;
}

// The key is generated here, and only its hash is sent. It is stored or printed
// before the command is sent, so that a lost answer does not lose the key.
int
IssueKey(const call_settings& aSettings,
         const std::string& aWorkspace,
         last_reason& aReason)
{
  const auto key = GenerateKey(aReason);
  if (!key) {
    return eExitNotDone;
  }
  if (!aSettings.keyFile.empty()) {
    std::ofstream file(aSettings.keyFile);
    std::filesystem::permissions(aSettings.keyFile,
                                 std::filesystem::perms::owner_read |
                                   std::filesystem::perms::owner_write);
    file << *key << "\n";
  } else {
    Print(*key);
  }
  return SendCommand(aSettings,
                     issue_key{ HashKey(*key), IdOf<workspace_id>(aWorkspace) },
                     aReason);
}

// All reachable control processes apply the withdrawal immediately; the command
// in the log then makes it durable.
int
WithdrawKey(const call_settings& aSettings,
            const key_hash& aKey,
            last_reason& aReason)
{
  PublishWithdrawal(aSettings, aKey);
  return SendCommand(aSettings, withdraw_key{ aKey }, aReason);
}

int
MakeLinkKeyFile(const std::string& aName, last_reason& aReason)
{
  const auto keys = net::MakeLinkKeys(aReason);
  if (!keys ||
      !WriteSecret(aName, secret_text(net::FormatLinkKeys(*keys)), aReason)) {
    return eExitUsage;
  }
  return eExitDone;
}

// aName is the hash of a key, a file that contains the key, or the key itself.
key_hash
ResolveKeyHash(const std::string& aName)
{
  if (const auto hash = ParseHash(aName)) {
    return *hash;
  }
  std::ifstream file(aName);
  std::string key;
  if (file && std::getline(file, key)) {
    return HashKey(key);
  }
  return HashKey(aName);
}

// Crashes of which a part is suspected, and the time since the newest one.
json
PromptPartsJson(const quarantine::evidence& aEvidence)
{
  json parts = json::array();
  const auto now = net::Now();
  for (const quarantine::suspect_row& row : aEvidence.suspects) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - (row.isHeld ? row.heldAt : row.newestCrash));
    parts.push_back(
      { { "part", fmt::format("{:x}", row.id.value) },
        { "state", quarantine::StateName(quarantine::options{}, row) },
        { "crashes", row.crashes.size() },
        { "trials", row.lastTrial.number },
        { "age_ms", age.count() } });
  }
  return parts;
}

json
StatusJson(const wire::status_reply& aStatus)
{
  json hosts = json::array();
  for (const wire::host_status& host : aStatus.hosts) {
    hosts.push_back({ { "name", host.name },
                      { "domain", host.domain },
                      { "revision", host.revision },
                      { "lease", host.hasLease },
                      { "age_ms", host.age.count() },
                      { "http", host.httpAddress } });
  }
  json endpoints = json::array();
  for (const endpoint_row& row : aStatus.endpoints) {
    endpoints.push_back({ { "name", row.name },
                          { "address", row.address },
                          { "cold", row.isCold },
                          { "leaving", row.isLeaving },
                          { "running", row.running },
                          { "slots", row.slots },
                          { "residents", row.residents.size() },
                          { "used_bytes", row.usedBytes },
                          { "memory_bytes", row.memoryBytes } });
  }
  json replicas = json::array();
  for (const wire::replica_status& row : aStatus.replicas) {
    replicas.push_back({ { "name", row.name },
                         { "leader", row.isLeader },
                         { "voter", row.isVoter },
                         { "term", row.term },
                         { "commit", row.commit } });
  }
  json domains = json::array();
  for (const wire::domain_status& row : aStatus.domains) {
    domains.push_back({ { "name", row.name },
                        { "out", row.isOut },
                        { "delegate", row.delegate } });
  }
  return { { "leader", aStatus.leader },
           { "revision", aStatus.revision },
           { "manifest_revision", aStatus.manifestRevision },
           { "version", aStatus.version },
           { "keys", aStatus.keys },
           { "claims", aStatus.claims },
           { "replicas", replicas },
           { "hosts", hosts },
           { "domains", domains },
           { "endpoints", endpoints },
           { "prompt_parts", PromptPartsJson(aStatus.evidence) } };
}

void
PrintStatus(const wire::status_reply& aStatus)
{
  Print(fmt::format("leader {}  revision {}  manifest {} (version {})  "
                    "keys {}  claims {}",
                    aStatus.leader,
                    aStatus.revision,
                    aStatus.manifestRevision,
                    aStatus.version,
                    aStatus.keys,
                    aStatus.claims));
  Print("\nCONTROL           ROLE     VOTER  TERM  COMMIT");
  for (const wire::replica_status& row : aStatus.replicas) {
    Print(fmt::format("{:<17} {:<8} {:<6} {:<5} {}",
                      row.name,
                      row.isLeader ? "leader" : "follower",
                      row.isVoter ? "yes" : "no",
                      row.term,
                      row.commit));
  }
  Print("\nHOST              DOMAIN          REVISION  LEASE  SEEN");
  for (const wire::host_status& row : aStatus.hosts) {
    Print(fmt::format("{:<17} {:<15} {:<9} {:<6} {} ms ago",
                      row.name,
                      row.domain,
                      row.revision,
                      row.hasLease ? "yes" : "no",
                      row.age.count()));
  }
  Print("\nDOMAIN            STATE       DELEGATE");
  for (const wire::domain_status& row : aStatus.domains) {
    Print(fmt::format("{:<17} {:<11} {}",
                      row.name,
                      row.isOut ? "out" : "in service",
                      row.delegate.empty() ? "-" : row.delegate));
  }
  Print("\nENDPOINT          ADDRESS           RUNNING  SLOTS  MODELS  STATE");
  for (const endpoint_row& row : aStatus.endpoints) {
    Print(fmt::format("{:<17} {:<17} {:<8} {:<6} {:<7} {}",
                      row.name,
                      row.address,
                      row.running,
                      row.slots,
                      row.residents.size(),
                      row.isLeaving ? "leaving"
                      : row.isCold  ? "cold"
                                    : "warm"));
  }
  Print("\nPROMPT PART       STATE        CRASHES  TRIALS  SINCE");
  for (const json& row : PromptPartsJson(aStatus.evidence)) {
    Print(fmt::format("{:<17} {:<12} {:<8} {:<7} {} ms ago",
                      row.at("part").get<std::string>(),
                      row.at("state").get<std::string>(),
                      row.at("crashes").get<std::size_t>(),
                      row.at("trials").get<std::uint64_t>(),
                      row.at("age_ms").get<std::int64_t>()));
  }
}

int
ShowStatus(const call_settings& aSettings, last_reason& aReason)
{
  const auto answer =
    Call(aSettings, wire::status_call{ 1, aSettings.credential }, aReason);
  if (!answer) {
    return eExitNotDone;
  }
  const auto* status = std::get_if<wire::status_reply>(&*answer);
  if (status == nullptr || !status->text.empty()) {
    Fail(aReason,
         "ask for status",
         "control",
         status == nullptr ? "unexpected answer" : status->text);
    return eExitRefused;
  }
  if (aSettings.isJson) {
    Print(StatusJson(*status).dump());
  } else {
    PrintStatus(*status);
  }
  return eExitDone;
}

// Control processes pass the change on to each other and to hosts without the
// log, so there is no revision to wait for.
int
ChangeQuarantine(const call_settings& aSettings,
                 const std::string& aPart,
                 bool aIsRelease,
                 last_reason& aReason)
{
  constexpr int kHexadecimal = 16;
  wire::quarantine_call call;
  call.call = 1;
  call.credential = aSettings.credential;
  call.isRelease = aIsRelease;
  const char* end = aPart.data() + aPart.size();
  const auto read =
    std::from_chars(aPart.data(), end, call.part.value, kHexadecimal);
  if (read.ec != std::errc{} || read.ptr != end) {
    Fail(aReason, "read part", aPart, "expected a hexadecimal id");
    return eExitUsage;
  }
  const auto answer = Call(aSettings, call, aReason);
  if (!answer) {
    return eExitUnknown;
  }
  const auto* reply = std::get_if<wire::command_reply>(&*answer);
  if (reply == nullptr || !reply->result.isDone) {
    Fail(aReason,
         "change quarantine",
         aPart,
         reply == nullptr ? "an answer of another kind"
                          : reply->text + reply->result.text);
    return eExitRefused;
  }
  Print(reply->result.text + "; the control process that answered publishes "
                             "it to the others and to the hosts");
  return eExitDone;
}

// A command: its one or two words, the number of operands and the handler.
struct command_row
{
  const char* first;
  const char* second; ///< empty when the command is one word
  std::size_t operands;
  std::function<int(const call_settings&, const std::string&, last_reason&)>
    run;
};

const std::vector<command_row>&
Commands()
{
  using settings = const call_settings&;
  using word = const std::string&;
  static const std::vector<command_row> kCommands = {
    { "apply", "", 1, ApplyFile },
    { "diff", "", 1, DiffFile },
    { "check",
      "",
      1,
      [](settings, word aName, last_reason& aReason) {
        return CheckFile(aName, aReason);
      } },
    { "status",
      "",
      0,
      [](settings aSettings, word, last_reason& aReason) {
        return ShowStatus(aSettings, aReason);
      } },
    { "keygen",
      "",
      1,
      [](settings, word aName, last_reason& aReason) {
        return MakeLinkKeyFile(aName, aReason);
      } },
    { "trace", "", 1, ShowTrace },
    { "key", "issue", 1, IssueKey },
    { "key",
      "withdraw",
      1,
      [](settings aSettings, word aName, last_reason& aReason) {
        return WithdrawKey(aSettings, ResolveKeyHash(aName), aReason);
      } },
    { "control", "replace", 1, ReplaceControl },
    { "endpoint",
      "drain",
      1,
      [](settings aSettings, word aName, last_reason& aReason) {
        return SendCommand(
          aSettings, drain_endpoint{ IdOf<endpoint_id>(aName), true }, aReason);
      } },
    { "endpoint",
      "undrain",
      1,
      [](settings aSettings, word aName, last_reason& aReason) {
        return SendCommand(aSettings,
                           drain_endpoint{ IdOf<endpoint_id>(aName), false },
                           aReason);
      } },
    { "domain",
      "take-out",
      1,
      [](settings aSettings, word aName, last_reason& aReason) {
        return ChangeDomain(aSettings, aName, true, aReason);
      } },
    { "domain",
      "bring-back",
      1,
      [](settings aSettings, word aName, last_reason& aReason) {
        return ChangeDomain(aSettings, aName, false, aReason);
      } },
    { "quarantine",
      "hold",
      1,
      [](settings aSettings, word aPart, last_reason& aReason) {
        return ChangeQuarantine(aSettings, aPart, false, aReason);
      } },
    { "quarantine",
      "release",
      1,
      [](settings aSettings, word aPart, last_reason& aReason) {
        return ChangeQuarantine(aSettings, aPart, true, aReason);
      } },
  };
  return kCommands;
}

} // namespace

int
RunCommand(const call_settings& aSettings,
           const std::vector<std::string>& aWords,
           last_reason& aReason)
{
  for (const command_row& row : Commands()) {
    const std::size_t words = *row.second == '\0' ? 1 : 2;
    if (aWords.size() != words + row.operands || aWords[0] != row.first ||
        (words == 2 && aWords[1] != row.second)) {
      continue;
    }
    return row.run(aSettings, row.operands == 0 ? "" : aWords.back(), aReason);
  }
  Fail(aReason, "read command", "", "unknown command; --help lists them");
  return eExitUsage;
}

} // namespace bulrush::ctl
