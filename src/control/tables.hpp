#ifndef BULRUSH_CONTROL_TABLES_HPP
#define BULRUSH_CONTROL_TABLES_HPP

/// Tables of bulrush-control. Its control thread owns all of them.

#include "admission/admission.hpp"
#include "control/configurations.hpp"
#include "control/control.hpp"
#include "control/log.hpp"
#include "control/orders.hpp"
#include "control/stop.hpp"
#include "control/usage.hpp"
#include "fleet/fleet.hpp"
#include "quarantine/quarantine.hpp"
#include "rates/rates.hpp"
#include "room/room.hpp"
#include "wire/wire.hpp"

#include <deque>
#include <memory>
#include <unordered_set>

namespace bulrush::control {

using call_id = typed_id<struct call_tag>;
using position_id = typed_id<struct position_tag>;

/// Identity of this process.
struct self_row
{
  std::string name;
  std::string domain;
  std::string linkAddress;
  std::string httpAddress; ///< empty: none
  std::uint64_t incarnation = 0;
  std::string credential;    ///< that operators and hosts must present
  bool isExpendable = false; ///< may be lost at any time
};

/// Another control process.
struct control_row
{
  replica_id id;
  std::string name;
  std::string address;
  std::string domain;
  std::string httpAddress;             ///< empty: none
  std::uint64_t confirmedRevision = 0; ///< by all hosts of its domain
  std::uint32_t hosts = 0;
  std::vector<host_id> reporting; ///< hosts that report to it
  std::uint64_t incarnation = 0;  ///< of its latest gossip; zero before one
  bool isExpendable = false;      ///< may be lost at any time
  steady_time knownSince{};
  steady_time lastSeen{}; ///< zero: never
};

/// A withdrawn key whose withdrawal is not yet committed to the log.
struct tombstone_row
{
  key_hash id;
};

/// An entry host that reports to this process.
struct host_row
{
  host_id id;
  std::string name;
  std::string domain;
  std::string httpAddress;
  std::uint64_t incarnation = 0;
  std::uint64_t renewal = 0;  ///< newest one received; echoed in updates
  std::uint64_t revision = 0; ///< confirmed by the host
  /// Of the configuration that is on its way; zero: none.
  std::uint64_t sentRevision = 0;
  std::uint64_t sentWithUpdate = 0; ///< number of the update that carries it
  configuration_transfer transfer;  ///< in place of these two, if it is large
  /// What the host has of a configuration; not set: it takes no parts.
  std::optional<wire::configuration_progress> incoming;
  std::uint64_t sentEndpoints = 0; ///< serial of the newest change sent
  std::uint64_t sentEvidence = 0;  ///< serial of the newest change sent
  std::uint64_t sentLoads = 0;     ///< serial of the newest change sent
  std::string sentLeader;          ///< name of the leader in the last update
  bool sentCaughtUp = false;       ///< in the last update
  std::uint64_t sentUpdates = 0;   ///< since everything was sent
  steady_time lastSeen{};
  steady_time leaseEnd{};
  bool isUpdateDue = false;
  bool isLeaving = false;
};

/// An endpoint, with the serial of its latest change other than of load
/// figures.
struct known_endpoint
{
  endpoint_id id;
  endpoint_row row;
  std::uint64_t serial = 0;
  bool isOwn = false; ///< of this failure domain: gossiped from here
};

/// Tombstone of an endpoint that left or became silent.
struct removed_row
{
  endpoint_id id;
  std::uint64_t serial = 0;
  bool isOwn = false; ///< removed by this process, which publishes it
  removed_endpoint removed;
};

/// A message received since the last tick.
struct received_message
{
  std::string peer; ///< identity on the link
  wire::message message;
};

using http_call_id = typed_id<struct http_call_tag>;

/// An HTTP call received since the last tick.
struct received_call
{
  http_call_id id;
  http_call call;
};

/// The answer to an HTTP call.
struct answered_call
{
  http_call_id id;
  http_answer answer;
};

/// A call that waits for the log's or the leader's decision.
struct pending_call
{
  call_id id;
  std::string peer;
  http_call_id httpCall;  ///< set instead of the peer
  std::uint64_t call = 0; ///< number that the peer gave the call
  position_id position; ///< in the local log; none when forwarded to the leader
  steady_time deadline{};
};

/// A change of a failure domain that this process proposed as the leader and
/// that is not applied yet.
struct proposed_domain
{
  position_id id;
  domain_id domain;
  bool isOut = false;
};

/// A log entry committed since the last tick.
struct committed_command
{
  position_id position;
  std::string payload;
  bool isReplay = false; ///< restored from disk at the start
};

/// A term in which this process leads and has applied all earlier entries.
struct leader_term
{
  std::uint32_t term = 0;
  /// For which the previous leader may still act.
  std::chrono::milliseconds previousLease{ 0 };
  bool holdsLease = false; ///< without it nothing may be decided or sent
};

/// Interface to the log. Tests and a single process use a local one.
struct log_hooks
{
  /// Position that the entry will have; nullopt when this is not the leader.
  std::function<std::optional<position_id>(std::string aPayload,
                                           last_reason& aReason)>
    propose;
  /// True while this process holds the leader lease, so that reads of its state
  /// are linearizable.
  std::function<bool(steady_time aNow)> isLeader;
  /// Set while this process considers itself the leader, also without lease.
  std::function<std::optional<leader_term>(steady_time aNow)> leaderTerm;
  /// True while the state applied here includes all that the leader had
  /// committed a moment ago.
  std::function<bool(steady_time aNow)> isCaughtUp;
  /// A time up to which the state applied here includes all that was committed;
  /// steady_time::min(): none. Not set: never one.
  std::function<steady_time(steady_time aNow)> confirmedAt;
  /// Name of the leader; empty while none is known.
  std::function<std::string()> leaderName;
  /// Rises with each change of leader.
  std::function<std::uint64_t()> term;
  /// Members of the log; not set for a local log.
  std::function<std::vector<wire::replica_status>()> replicas;
};

/// State of the leader's updates to the host count in the log.
struct host_count_row
{
  steady_time nextChange;
  /// Set while fewer hosts report than the log records.
  std::optional<steady_time> lowerSince;
};

/// This process as a delegate: leases and shares for the hosts of one failure
/// domain.
struct delegate_row
{
  domain_id id;
  std::uint64_t epoch = 0;
  admission::escrow_tables escrow;
  bool isRetiring = false; ///< another delegate was named
  steady_time retiresAt{}; ///< all leases of hosts have expired by then
};

/// Peer that receives the grants of a holder.
struct holder_peer_row
{
  admission::holder_id id;
  std::string peer; ///< identity on the link; empty for this process
};

/// A resource whose limit the root divides.
struct limited_resource
{
  admission::resource_id id;
  admission::resource resource;
};

/// Leases and shares: the root while this process leads, and its delegates.
struct lease_tables
{
  bool isRoot = false;
  admission::escrow_tables root;
  std::uint64_t limitsRevision = 0; ///< of the manifest with these limits
  table<admission::resource_id, limited_resource> limits;
  table<admission::resource_id, limited_resource> coldSlots;
  table<domain_id, delegate_row> delegates;
  table<admission::holder_id, holder_peer_row> holders;
  steady_time leadsSince{};
  steady_time nextNaming{};
  rates::rate_tolerance tolerance; ///< window set: rates are served from pools
};

/// Token pools of the limits, while this process leads.
struct pool_state
{
  std::uint64_t term = 0;             ///< in which the pools were created
  std::uint64_t manifestRevision = 0; ///< of the manifest whose rates are set
  std::uint32_t hosts = 0;            ///< for which the rates are split
  std::uint32_t newHosts = 0;         ///< in the log
  steady_time newHostsSince{};
  rates::pool_tables pools;
  steady_time nextExpiry;
  steady_time nextLog;
};

/// A host that reports demand for models, and the newest update sent to it.
struct demand_host
{
  host_id id;
  std::string peer; ///< identity on the link
  std::uint64_t incarnation = 0;
  std::uint64_t sentSerial = 0;
  steady_time lastSeen;
};

/// Models that an engine holds, with the serial of their latest change.
struct held_row
{
  endpoint_id id;
  std::uint64_t serial = 0;
  wire::held_models held;
};

/// The answer of an engine to an order or to a state query; both nullopt: the
/// query failed.
struct engine_answer
{
  endpoint_id engine;
  std::optional<residency::order_answer> order;
  std::optional<residency::engine_state> state;
};

/// Name of a model that orders may have to unload after its declaration ended.
struct model_name_row
{
  model_id id;
  std::string name;
};

/// The same for an adapter.
struct adapter_name_row
{
  adapter_id id;
  std::string name;
};

/// Residency by demand, used when the front end supports conditional orders.
struct residency_tables
{
  bool isEnabled = false;
  residency::tables decisions;
  std::uint64_t manifestRevision = 0; ///< manifest given to decisions
  /// Of all that is declared, or was and is still held.
  table<model_id, model_name_row> modelNames;
  table<adapter_id, adapter_name_row> adapterNames;
  table<host_id, demand_host> demandHosts;
  table<endpoint_id, held_row> held;
  std::uint64_t serial = 0;
  std::vector<engine_answer> answers; ///< since the last tick
  std::uint64_t rounds = 0;           ///< runs of the decision systems
  steady_time nextRound;              ///< from then on any tick runs a round
  steady_time roundDue;               ///< time by which a round must run
  /// Services whose longest target is this many times the shortest are placed
  /// by the value of each copy; 0: none.
  double targetSpread = 0;
  /// Wait of a new leader before its first order.
  std::chrono::milliseconds orderHandOver{ 3'000 };
};

/// Loads of endpoints that hosts observed, of all hosts.
struct load_sharing
{
  room::tables known;
  bool hasNew = false;        ///< of own hosts, not gossiped yet
  std::uint64_t gossiped = 0; ///< serial of the newest change gossiped
  steady_time nextGossip{};
  steady_time nextLog{};
  std::uint64_t received = 0; ///< in messages since the start
  std::uint64_t merged = 0;   ///< of those, newer than what was known
  std::uint64_t sent = 0;     ///< to hosts and control processes
};

struct control_tables
{
  self_row self;
  fleet_state fleet;
  log_hooks log;
  std::unique_ptr<log_tables> replicated; ///< null without a data folder
  table<replica_id, control_row> controls;
  table<host_id, host_row> hosts;
  table<endpoint_id, known_endpoint> endpoints;
  table<endpoint_id, removed_row> removedEndpoints;
  /// Endpoints whose state other control processes lack, to be gossiped.
  std::unordered_set<endpoint_id, id_hash> corrections;
  table<call_id, pending_call> calls;
  table<position_id, proposed_domain> proposedDomains;
  std::uint64_t proposedTerm = 0; ///< of proposedDomains
  table<key_hash, tombstone_row> tombstones;
  lease_tables leases;
  /// An endpoint that has not reported for so long is removed.
  std::chrono::milliseconds endpointTimeout{ 3'000 };
  pool_state pools;
  /// Newest configuration changes, oldest first.
  std::deque<wire::numbered_command> recent;
  /// The newest configuration that a host needed; null: none yet.
  std::shared_ptr<const encoded_configuration> encoded;
  std::vector<received_message> inbox;
  std::vector<received_call> httpInbox;
  std::vector<committed_command> committed;
  order_tables orders;
  residency_tables residency;
  usage_tables usage;
  host_count_row hostCount;
  quarantine::tables quarantined; ///< parts of prompts, of all hosts
  load_sharing loads;
  std::uint64_t gossipedEvidence = 0;  ///< newest change gossiped
  std::uint64_t loggedEvidence = 0;    ///< newest change logged
  bool loggedCaughtUp = false;         ///< as last logged
  std::uint64_t serial = 0;            ///< of the newest endpoint change
  std::uint64_t gossipedSerial = 0;    ///< newest endpoint change gossiped
  std::uint64_t gossipedConfirmed = 0; ///< newest confirmed revision gossiped
  steady_time nextGossip{};
  std::uint64_t lastCall = 0;   ///< counts the calls since the start
  std::optional<stop_row> stop; ///< set once a planned stop has begun
  std::function<wall_time()> wallClock;
};

/// A message to a peer connected to our link server, or to another control
/// process.
struct outgoing_message
{
  std::string peer;    ///< identity on our link server; empty if control is set
  std::string control; ///< name of a control process
  wire::message_body body;
};

struct control_outbox
{
  std::vector<outgoing_message> messages;
  std::vector<order_call> orders; ///< each on a new connection
  std::vector<answered_call> httpAnswers;
  std::vector<std::pair<endpoint_id, engine_order>> engineOrders;
  std::vector<std::pair<endpoint_id, engine_query>> stateQueries;
  usage_outbox usage;
  std::vector<wire::control_address> links; ///< control processes to connect to
  std::vector<std::string> lostLinks;       ///< names of those that are gone
  bool readsSeeds = false; ///< from the settings, for HandleSeeds
  wake_time wake;
  std::optional<last_reason> fatal; ///< the process must exit
};

/// Queue renewals and grants for the lease system.
void HandleRenewal(control_tables& aTables,
                   const received_message& aInput,
                   const wire::share_renewal& aRenewal);
void HandleGrant(control_tables& aTables, const wire::share_grant& aGrant);

/// Creates the pools when this process becomes leader and keeps their rates
/// equal to the manifest's.
void RunPools(control_tables& aTables,
              steady_time aNow,
              control_outbox& aOutbox);

/// Answers a quota request of a host; ignored unless this process leads.
void HandleQuotaRequest(control_tables& aTables,
                        const received_message& aInput,
                        const rates::quota_request& aRequest,
                        steady_time aNow,
                        control_outbox& aOutbox);

/// System: handles the HTTP calls received since the last tick.
void RunHttpCalls(control_tables& aTables,
                  steady_time aNow,
                  control_outbox& aOutbox);

/// System: ends suspicions, and gives trials of quarantined parts while this
/// process leads.
void RunQuarantine(control_tables& aTables,
                   steady_time aNow,
                   control_outbox& aOutbox);

/// An operator quarantines a part of prompts, or ends its quarantine.
void HandleQuarantineCall(control_tables& aTables,
                          const received_message& aInput,
                          const wire::quarantine_call& aCall,
                          steady_time aNow,
                          control_outbox& aOutbox);

/// Merges loads of a host, or of a control process (no source).
void MergeLoads(control_tables& aTables,
                const std::vector<room::load_row>& aLoads,
                host_id aSource,
                steady_time aNow);

/// The loads that changed since the last update to a host, without those that
/// it reported itself.
std::vector<room::load_row> LoadsFor(control_tables& aTables, host_row& aHost);

/// When loads are due to be gossiped; steady_time::max(): there are none.
steady_time NextLoadGossip(const control_tables& aTables);

/// The loads of own hosts that changed since the last gossip.
std::vector<room::load_row> TakeLoadsForGossip(control_tables& aTables,
                                               steady_time aNow);

/// System: erases outdated loads.
void RunLoads(control_tables& aTables,
              steady_time aNow,
              control_outbox& aOutbox);

/// Hosts that report to any control process.
std::unordered_set<host_id, id_hash> ReportingHosts(
  const control_tables& aTables);

/// Records the demand for models that a host reports.
void HandleDemand(control_tables& aTables,
                  const received_message& aInput,
                  const wire::demand_report& aReport,
                  steady_time aNow);

/// System: orders models and adapters by demand, and publishes to hosts what
/// engines hold, in rounds with a minimum interval.
void RunResidents(control_tables& aTables,
                  steady_time aNow,
                  control_outbox& aOutbox);

/// Whether this process leads with a lease and has applied every entry of
/// earlier terms, so that no newer manifest can be in force.
bool HasLatestState(const control_tables& aTables, steady_time aNow);

/// The leader's answer to a read that was forwarded to it.
void HandleManifestReply(control_tables& aTables,
                         const wire::manifest_reply& aReply,
                         control_outbox& aOutbox);

/// Status of this process's failure domain, with the revision that all its
/// serving hosts have confirmed.
wire::domain_status OwnDomainStatus(const control_tables& aTables,
                                    steady_time aNow);

/// Answer operators' status and manifest queries.
void HandleStatusCall(const control_tables& aTables,
                      const received_message& aInput,
                      const wire::status_call& aCall,
                      steady_time aNow,
                      control_outbox& aOutbox);
void HandleManifestCall(const control_tables& aTables,
                        const received_message& aInput,
                        const wire::manifest_call& aCall,
                        steady_time aNow,
                        control_outbox& aOutbox);

inline constexpr const char* kSupersededText =
  "a newer order on the failure domain supersedes this one";

/// Revision of the latest change of a failure domain that is applied here.
std::uint64_t LatestDomainChange(const control_tables& aTables,
                                 domain_id aDomain);

/// Whether the command is an order on a failure domain that a newer one has
/// superseded. Checked by the leader.
bool IsSuperseded(const control_tables& aTables, const fleet_command& aCommand);

/// Proposes a command at the leader. nullopt, with the reason, if the log does
/// not take it.
std::optional<position_id> ProposeCommand(control_tables& aTables,
                                          const fleet_command& aCommand,
                                          last_reason& aReason);

/// The number of a new call to another process.
call_id NextCall(control_tables& aTables);

/// Answers the HTTP call or peer that waits for a command's outcome.
void AnswerCall(const pending_call& aCall,
                const wire::command_reply& aReply,
                control_outbox& aOutbox);

/// Inserts or updates an endpoint from its announcement. Older announcements
/// are ignored.
void UpdateEndpoint(control_tables& aTables,
                    const endpoint_row& aRow,
                    bool aIsOwn);
/// Removes an endpoint that left, or whose reports to this process stopped.
void RemoveEndpoint(control_tables& aTables,
                    endpoint_id aEndpoint,
                    bool aHasLeft);
/// Applies a removal by another control process.
void HandleRemoval(control_tables& aTables, const removed_endpoint& aRemoved);
/// Gossips all removals again, for a control process that has just started.
void RepublishRemovals(control_tables& aTables);
/// Whether the endpoint is known to have left.
bool HasLeft(const control_tables& aTables, endpoint_id aEndpoint);

/// System: names delegates, divides limits and answers renewals.
void RunLeases(control_tables& aTables,
               steady_time aNow,
               control_outbox& aOutbox);

/// The revision that every serving host of this process's failure domain has
/// confirmed, and how many hold a lease; nullopt while this process is not the
/// domain's delegate.
struct confirmed_hosts
{
  std::uint64_t revision = 0;
  std::uint32_t hosts = 0;
};
std::optional<confirmed_hosts> ConfirmedHosts(const control_tables& aTables,
                                              steady_time aNow);

/// A host may serve for this long after its report without another one.
inline constexpr std::chrono::milliseconds kHostLease{ 3'000 };

/// Records what a host's report confirms. After a restart of the host, or when
/// updates were lost with its connection, everything is sent anew.
void HandleConfirmation(host_row& aHost,
                        std::uint64_t aIncarnation,
                        const wire::host_report& aReport);

/// Whether a control process is named to hosts and other control processes.
bool IsListed(const control_tables& aTables, const control_row& aControl);

/// Systems: send updates to hosts, and endpoints to other control processes.
void RunUpdates(control_tables& aTables,
                steady_time aNow,
                control_outbox& aOutbox);
void RunGossip(control_tables& aTables,
               steady_time aNow,
               control_outbox& aOutbox);

/// Runs one tick: all systems in order.
void RunControl(control_tables& aTables,
                steady_time aNow,
                control_outbox& aOutbox);

} // namespace bulrush::control

#endif
