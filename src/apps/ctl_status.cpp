#include "apps/ctl_handlers.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bulrush::ctl {
namespace {

using nlohmann::json;

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

} // namespace

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

} // namespace bulrush::ctl
