/// The tick of the control thread, and what it publishes to traffic threads.

#include "entry/control_systems.hpp"
#include "entry/request_log.hpp"
#include "observe/observe.hpp"

namespace bulrush::entry {
namespace {

constexpr log_component kLog{ "entry" };
/// Engines report more often than this, so after it their own reports are newer
/// than the leader's update.
constexpr std::chrono::milliseconds kHeldLifetime{ 10'000 };

// Logs the beginning and the end of each time in which the configuration is not
// known to be the newest, with the control process that answered last.
void
RunConfigurationAge(entry_tables& aTables, steady_time aNow, entry_outbox&)
{
  const auto age = aNow - aTables.confirmedAt;
  const bool isOutdated = age >= kMaxDenialAge;
  if (isOutdated == aTables.isOutdated ||
      aTables.confirmedAt == steady_time{}) {
    return;
  }
  aTables.isOutdated = isOutdated;
  const latest_update& latest = aTables.latestUpdate;
  LogEvent(kLog,
           log_level::eInfo,
           isOutdated ? "configuration_unconfirmed" : "configuration_confirmed",
           { { "age_ms", Milliseconds(age) },
             { "number", std::to_string(aTables.fleet->declared.number) },
             { "revision", std::to_string(aTables.fleet->revision) },
             { "newest", std::to_string(aTables.newestRevision) },
             { "control", latest.sender },
             { "control_revision", std::to_string(latest.revision) },
             { "control_caught_up", latest.isCaughtUp ? "yes" : "no" } });
}

// A host whose control processes are cut off or lost serves what it can in the
// end.
void
RunConfirmationWait(entry_tables& aTables,
                    steady_time aNow,
                    entry_outbox& aOutbox)
{
  if (aTables.mayServe || aTables.fleet->manifestRevision == 0) {
    return;
  }
  if (!aTables.waitsSince) {
    aTables.waitsSince = aNow;
  }
  const steady_time end = *aTables.waitsSince + aTables.confirmationWait;
  if (aNow < end) {
    aOutbox.wake.NoLaterThan(end);
    return;
  }
  aTables.mayServe = true;
  if (aTables.confirmationWait.count() > 0) {
    LogEvent(kLog,
             log_level::eWarning,
             "configuration_not_confirmed",
             { { "waited_ms", Milliseconds(aNow - *aTables.waitsSince) },
               { "number", std::to_string(aTables.fleet->declared.number) },
               { "revision", std::to_string(aTables.fleet->revision) },
               { "control", aTables.latestUpdate.sender } });
  }
}

// Endpoints as they reported themselves, with the leader's newer residents.
std::vector<endpoint_row>
EffectiveEndpoints(const entry_tables& aTables, steady_time aNow)
{
  std::vector<endpoint_row> rows(aTables.endpoints.begin(),
                                 aTables.endpoints.end());
  for (endpoint_row& row : rows) {
    const held_row* held = aTables.held.Find(row.id);
    if (held != nullptr && held->incarnation == row.incarnation &&
        aNow < held->receivedAt + kHeldLifetime) {
      row.residents = held->residents;
    }
  }
  return rows;
}

void
RunPublish(entry_tables& aTables, steady_time aNow, entry_outbox& aOutbox)
{
  traffic_view& view = aTables.published;
  const bool hasNewFleet = aTables.mayServe && view.fleet != aTables.fleet;
  aTables.hasNewFleet = false;
  const bool isSame =
    !hasNewFleet && !aTables.hasNewEndpoints && !aTables.hasNewTombstones &&
    view.mayDenyUntil == aTables.mayDenyUntil &&
    view.confirmedAt == aTables.confirmedAt &&
    view.isStopping == aTables.isStopping && view.usage == aTables.usageTotals;
  if (isSame) {
    return;
  }
  if (hasNewFleet) {
    view.fleet = aTables.fleet;
    LogEvent(kLog,
             log_level::eInfo,
             "configuration",
             { { "revision", std::to_string(aTables.fleet->revision) },
               { "number", std::to_string(aTables.fleet->declared.number) },
               { "newest", std::to_string(aTables.newestRevision) },
               { "control", aTables.latestUpdate.sender },
               { "control_caught_up",
                 aTables.latestUpdate.isCaughtUp ? "yes" : "no" } });
  }
  if (aTables.hasNewEndpoints) {
    view.endpoints = std::make_shared<const std::vector<endpoint_row>>(
      EffectiveEndpoints(aTables, aNow));
  }
  if (aTables.hasNewTombstones) {
    std::unordered_set<key_hash, id_hash> keys;
    for (const tombstone_row& row : aTables.tombstones) {
      keys.insert(row.id);
    }
    view.tombstones =
      std::make_shared<const std::unordered_set<key_hash, id_hash>>(
        std::move(keys));
  }
  view.isStopping = aTables.isStopping;
  view.usage = aTables.usageTotals;
  view.mayDenyUntil = aTables.mayDenyUntil;
  view.confirmedAt = aTables.confirmedAt;
  view.confirmedBy = aTables.confirmedBy;
  view.updatedAt = aTables.updatedAt;
  aTables.hasNewEndpoints = false;
  aTables.hasNewTombstones = false;
  aOutbox.view = view;
}

constexpr std::array<named_system<entry_tables, entry_outbox>, 13> kSystems{
  { { "ingest", RunIngest },
    { "configuration_age", RunConfigurationAge },
    { "confirmation_wait", RunConfirmationWait },
    { "loads", RunLoads },
    { "demand", RunDemand },
    { "draws", RunQuotaRequests },
    { "usage", RunUsage },
    { "renewals", RunRenewals },
    { "seeds", RunSeeds },
    { "report_timeout", RunReportTimeout },
    { "report", RunReport },
    { "commands", RunCommands },
    { "publish", RunPublish } }
};

} // namespace

void
HandleEvidence(entry_tables& aTables,
               const quarantine::evidence& aEvidence,
               steady_time aNow)
{
  quarantine::Merge(aTables.quarantined, aEvidence, aNow);
}

void
RunEntryControl(entry_tables& aTables, steady_time aNow, entry_outbox& aOutbox)
{
  RunTick(kSystems, aTables, aNow, aOutbox);
}

} // namespace bulrush::entry
