#ifndef BULRUSH_ENTRY_TABLES_HPP
#define BULRUSH_ENTRY_TABLES_HPP

/// Tables of bulrush-entry's control thread, and the read-only view that it
/// publishes to the traffic threads.

#include "duties/duties.hpp"
#include "fleet/fleet.hpp"
#include "wire/wire.hpp"

#include <memory>
#include <unordered_set>

namespace bulrush::entry {

using call_id = typed_id<struct host_call_tag>;

/// Up to a time, all that was committed is within a revision of the fleet.
struct confirmation
{
  steady_time at;
  std::uint64_t revision = 0;
  std::string control; ///< name of the control process that confirmed it
};

/// A request of a workspace that began to run.
struct request_start
{
  workspace_id workspace;
  steady_time at;
};

/// Requests of usage reports since this host started.
struct usage_totals
{
  std::uint64_t counted = 0;
  std::uint64_t unacknowledged = 0; ///< now, by the leader
  std::uint64_t lost = 0;           ///< not stored by any leader in time

  bool operator==(const usage_totals&) const = default;
};

/// Snapshot for the traffic threads. Immutable once published.
struct traffic_view
{
  std::shared_ptr<const fleet_state> fleet =
    std::make_shared<const fleet_state>();
  std::shared_ptr<const std::vector<endpoint_row>> endpoints =
    std::make_shared<const std::vector<endpoint_row>>();
  std::shared_ptr<const std::unordered_set<key_hash, id_hash>> tombstones =
    std::make_shared<const std::unordered_set<key_hash, id_hash>>();
  /// Until then the configuration is recent enough to deny a request by it.
  steady_time mayDenyUntil{};
  /// The configuration holds all that was committed before; never: zero.
  steady_time confirmedAt{};
  std::string confirmedBy; ///< name of the control process that confirmed it
  steady_time updatedAt{}; ///< arrival of the newest update; never: zero
  bool isStopping = false;
  usage_totals usage;
};

/// A control process that this host may report to, in order of preference.
struct control_row
{
  replica_id id;
  std::string address;
  std::size_t preference = 0;
  bool isFound = false;   ///< listed by control processes, not configured
  steady_time listedAt{}; ///< by a control process, last
  steady_time lastSeen{};
  bool isCaughtUp = true; ///< in its latest update; else it may be stale
  std::uint64_t incarnation = 0;
  std::uint64_t updates = 0;  ///< number of its latest update
  bool missesUpdates = false; ///< some numbers before were not received
};

/// Models that an engine holds according to the leader, which learns of a
/// finished load before the engine's next report arrives here.
struct held_row
{
  endpoint_id id;
  std::uint64_t incarnation = 0;
  std::vector<resident> residents;
  steady_time receivedAt;
};

/// Kept so that a control process that lags behind restores no endpoint.
struct removed_row
{
  endpoint_id id;
  removed_endpoint removed;
  steady_time receivedAt;
};

struct tombstone_row
{
  key_hash id;
};

/// State of the control process that sent the latest update.
struct latest_update
{
  std::string sender;
  std::uint64_t revision = 0;
  bool isCaughtUp = false;
};

/// A configuration that arrives in parts.
struct incoming_configuration
{
  wire::configuration_id id;
  std::string bytes; ///< received so far, without a gap
};

using command_hook = std::function<void(const wire::command_reply&)>;

/// A command from a traffic thread that is not committed yet.
struct pending_command
{
  call_id id;
  fleet_command command;
  command_hook onReply;
  steady_time deadline{};
  steady_time nextSend{};
};

struct self_row
{
  std::string name;
  std::string domain;
  std::string httpAddress;
  std::uint64_t incarnation = 0;
  std::string credential;
};

struct entry_tables
{
  self_row self;
  /// Hosts choose among control processes by their names, for processes found
  /// by seeds; else by the configured order.
  bool spreadsReports = false;
  std::shared_ptr<fleet_state> fleet = std::make_shared<fleet_state>();
  table<replica_id, control_row> controls;
  /// Whether the link to a control process takes messages; not set: always.
  std::function<bool(const control_row&)> canSend;
  table<endpoint_id, endpoint_row> endpoints;
  table<endpoint_id, removed_row> removedEndpoints;
  table<key_hash, tombstone_row> tombstones;
  table<call_id, pending_command> commands;
  std::vector<endpoint_row> reports; ///< from endpoints, since the last tick
  std::vector<wire::message> inbox;  ///< from control, since the last tick
  std::vector<endpoint_row> unreportedEndpoints; ///< not yet sent to control
  std::vector<admission::renewal> renewals;      ///< from the traffic thread
  table<endpoint_id, held_row> held;
  std::vector<wire::model_demand> demand;          ///< from the traffic thread
  std::vector<rates::quota_request> quotaRequests; ///< from the traffic thread
  std::vector<request_start> starts;               ///< from the traffic thread
  std::optional<duties::counter_tables> usage;     ///< not set: nothing counted
  usage_totals usageTotals;
  steady_time nextUsageTotals{};
  std::function<wall_time()> wallClock; ///< for usage reports
  /// Of all hosts, from the traffic thread and from control.
  quarantine::tables quarantined;
  std::uint64_t sentEvidence = 0; ///< serial of its newest change reported
  replica_id evidenceControl;     ///< that it was reported to
  room::tables loads; ///< of endpoints, from the traffic thread and control
  std::uint64_t reportedLoads = 0; ///< serial of the newest one reported
  steady_time nextLoadLog{};
  std::uint64_t lastReport = 0;
  steady_time lastReportAt{};
  replica_id awaitedControl; ///< that has not answered the latest report
  steady_time reportTimesOutAt{};
  replica_id reportedTo; ///< control process of the latest report
  steady_time mayDenyUntil{};
  /// Of the configuration here. Counts from when a report was sent, less the
  /// age that the answer stated: an answer may have been held up on its way,
  /// and its sender may be cut off from the leader.
  steady_time confirmedAt{};
  std::string confirmedBy;
  /// Its revision has not arrived here yet.
  std::optional<confirmation> unappliedConfirmation;
  bool isOutdated = false; ///< confirmedAt is too old; has been logged
  /// After its start a host serves by no configuration that it does not know to
  /// be the newest, for at most this time. Zero: it does not wait.
  std::chrono::milliseconds confirmationWait{ 0 };
  std::optional<steady_time> waitsSince; ///< has one that it does not serve by
  bool mayServe = false;                 ///< the wait is over
  incoming_configuration incoming;
  latest_update latestUpdate;
  steady_time updatedAt{};  ///< when that arrived
  steady_time caughtUpAt{}; ///< update of a control process that has caught up
  bool hasNewSeeds = false; ///< the settings have been written again
  steady_time nextSeedRead{};
  std::uint64_t lastCall = 0;
  steady_time nextReport{};
  std::uint64_t newestRevision = 0; ///< of all control processes, as received
  std::string leader;               ///< name of the leading control process
  std::uint64_t leaderTerm = 0;     ///< in which it was named
  traffic_view published;           ///< latest published view
  bool isStopping = false;
  bool closesUsage = false; ///< what was counted is to be reported at once
  bool hasUnreportedLoads = false; ///< from the traffic thread
  bool hasNewFleet = true;
  bool hasNewEndpoints = true;
  bool hasNewTombstones = true;
};

struct outgoing
{
  std::string controlAddress;
  wire::message_body body;
};

struct entry_outbox
{
  std::vector<wire::control_address> links; ///< control processes to connect
  std::vector<wire::control_address> seedLinks; ///< the same, named as seeds
  std::vector<std::string> lostLinks; ///< addresses of those that are gone
  bool readsSeeds = false;            ///< from the settings, for HandleSeeds
  std::vector<outgoing> messages;
  std::vector<std::pair<command_hook, wire::command_reply>> replies;
  std::optional<traffic_view> view;            ///< to be published
  std::vector<admission::grant> grants;        ///< for the traffic thread
  std::vector<rates::quota_grant> quotaGrants; ///< for the traffic thread
  std::vector<quarantine::evidence> evidence;  ///< for the traffic thread
  std::vector<room::load_row> loads;           ///< for the traffic thread
  wake_time wake;
};

/// One tick of the control thread: all systems in their order.
void RunEntryControl(entry_tables& aTables,
                     steady_time aNow,
                     entry_outbox& aOutbox);

/// The traffic thread observed something about parts of prompts.
void HandleEvidence(entry_tables& aTables,
                    const quarantine::evidence& aEvidence,
                    steady_time aNow);

/// The settings name these control processes as seeds now.
void HandleSeeds(entry_tables& aTables,
                 const std::vector<wire::control_address>& aSeeds,
                 steady_time aNow,
                 entry_outbox& aOutbox);

/// The traffic thread observed loads of endpoints.
void HandleLoads(entry_tables& aTables,
                 const std::vector<room::load_row>& aLoads,
                 steady_time aNow);

/// The control process that reports and commands go to; nullptr if none is
/// declared.
const control_row* CurrentControl(const entry_tables& aTables,
                                  steady_time aNow);

} // namespace bulrush::entry

#endif
