#ifndef BULRUSH_WIRE_WIRE_HPP
#define BULRUSH_WIRE_WIRE_HPP

/// Public header of the wire library: the messages between the system's own
/// processes as plain structs, and their protobuf encoding (see bulrush.proto).

#include "admission/admission.hpp"
#include "core/core.hpp"
#include "duties/duties.hpp"
#include "fleet/fleet.hpp"
#include "placement/placement.hpp"
#include "quarantine/quarantine.hpp"
#include "rates/rates.hpp"
#include "replication/replication.hpp"
#include "room/room.hpp"

namespace bulrush::wire {

/// Outcome of a command call.
enum class call_outcome : std::uint8_t
{
  eDecided,  ///< the result is the state machine's answer
  eNoLeader, ///< not committed and never will be: no leader accepted it
  eUnknown,  ///< it may still be committed; repeat the call to find out
  eRefused,  ///< the credential is not accepted
  /// Not committed and never will be: the state that the call follows is not
  /// the current one.
  eSuperseded,
};

struct command_call
{
  std::uint64_t call = 0;
  fleet_command command;
  std::string credential;
  std::uint32_t hops = 0; ///< how often it was forwarded towards the leader
};

struct command_reply
{
  std::uint64_t call = 0;
  call_outcome outcome = call_outcome::eNoLeader;
  command_result result;
  std::string text;
};

/// From an entry host to its control processes: renews its lease and confirms
/// its configuration revision.
/// Identifies the bytes of an encoded configuration.
struct configuration_id
{
  std::uint64_t revision = 0;
  std::uint64_t checksum = 0; ///< StableHash of the bytes

  bool operator==(const configuration_id&) const = default;
};

/// How much of a configuration a host has received in parts.
struct configuration_progress
{
  configuration_id of;
  std::uint64_t bytes = 0;
};

/// Some bytes of an encoded fleet_state.
struct configuration_part
{
  configuration_id of;
  std::uint64_t totalBytes = 0;
  std::uint64_t offset = 0;
  std::string bytes;
};

struct host_report
{
  std::string domain;
  std::uint64_t renewal = 0;
  std::uint64_t revision = 0;
  std::vector<endpoint_row> endpoints; ///< only those that changed
  std::string httpAddress;
  bool isLeaving = false;
  bool missesUpdates = false; ///< of the receiver, by their numbers
  /// Number of the newest update of the receiver that arrived.
  std::uint64_t receivedUpdate = 0;
  quarantine::evidence evidence;
  std::vector<room::load_row> loads; ///< seen since the last report
  /// Not set by hosts of an earlier release, which take no parts.
  std::optional<configuration_progress> incoming;
};

struct numbered_command
{
  std::uint64_t revision = 0; ///< revision after this command
  fleet_command command;
};

/// Name and link address of a control process.
struct control_address
{
  std::string name;
  std::string address;
};

/// Demand at one host for a model, or for one of its adapters.
struct model_demand
{
  model_id model;
  adapter_id adapter;
  std::uint32_t requests = 0; ///< since the last message
  std::uint32_t waiting = 0;  ///< waiting now, as no engine holds it
};

/// From a host to the leader: demand of its callers for models.
struct demand_report
{
  std::vector<model_demand> models;
};

/// Models that an engine holds, as the leader knows from its orders.
struct held_models
{
  endpoint_id endpoint;
  std::uint64_t incarnation = 0;
  std::vector<resident> residents;
};

/// From the leader to hosts that report demand; takes precedence over the
/// engines' own reports.
struct held_update
{
  std::vector<held_models> engines;
};

/// Answers a host_report; also sent whenever something changed.
struct host_update
{
  std::uint64_t renewal = 0;
  std::chrono::milliseconds lease{ 0 }; ///< zero: no lease granted
  std::uint64_t epoch = 0;
  std::uint64_t revision = 0;
  std::vector<numbered_command> commands;
  std::string snapshot; ///< encoded fleet_state; empty for none
  std::vector<endpoint_row> endpoints;
  std::vector<removed_endpoint> removedEndpoints;
  std::vector<key_hash> tombstones;      ///< withdrawn, not yet committed
  std::vector<control_address> controls; ///< all that the sender knows
  std::string leader;     ///< name of the leader; empty while none is known
  std::uint64_t term = 0; ///< of the log at the sender
  /// The sender had applied all that the leader had committed.
  bool isCaughtUp = false;
  /// The sender knows all that was committed up to this long ago, when it sent
  /// this; nullopt: it knows of no such time.
  std::optional<std::chrono::nanoseconds> confirmationAge;
  /// Counts the updates to this host; the first holds all that the sender
  /// knows.
  std::uint64_t number = 0;
  quarantine::evidence evidence;
  std::vector<room::load_row> loads; ///< changed since the last update
  /// Of a configuration that is too large for one message.
  std::optional<configuration_part> part;
};

/// From the control host of a failure domain to other control processes: its
/// endpoints and status.
struct endpoint_gossip
{
  std::string domain;
  bool isExpendable = false; ///< the sender may be lost at any time
  std::vector<endpoint_row> endpoints;
  std::vector<removed_endpoint> removedEndpoints;
  std::vector<key_hash> tombstones;    ///< withdrawn, not yet committed
  std::uint64_t confirmedRevision = 0; ///< confirmed by every serving host
  std::uint32_t hosts = 0;             ///< number that hold a lease
  std::string httpAddress;             ///< address for HTTP calls; empty: none
  std::vector<host_id> reporting;      ///< hosts that report to the sender
  quarantine::evidence evidence;
  std::vector<room::load_row> loads; ///< changed since the last gossip
};

/// An operator quarantines a part of prompts, or ends its quarantine.
struct quarantine_call
{
  std::uint64_t call = 0;
  std::string credential;
  part_id part;
  bool isRelease = false;
};

/// Withdrawn keys, sent before the log has committed the withdrawals.
struct tombstones
{
  std::vector<key_hash> keys;
  std::string credential;
};

struct status_call
{
  std::uint64_t call = 0;
  std::string credential;
};

struct replica_status
{
  std::string name;
  std::string domain;
  std::string address;
  bool isLeader = false;
  bool isVoter = false;
  std::uint64_t term = 0;
  std::uint64_t commit = 0;
  std::uint64_t revision = 0;
};

struct host_status
{
  std::string name;
  std::string domain;
  std::uint64_t revision = 0;
  bool hasLease = false;
  std::chrono::milliseconds age{ 0 };
  std::string httpAddress;
};

struct domain_status
{
  std::string name;
  bool isOut = false;
  std::string delegate;
  std::uint64_t epoch = 0;
  std::uint64_t confirmedRevision = 0; ///< confirmed by every serving host
  std::uint32_t hosts = 0;             ///< number that hold a lease
  std::chrono::milliseconds age{ 0 };  ///< since its last message
  std::uint64_t changedAt = 0;         ///< revision at which isOut changed last
};

struct status_reply
{
  std::uint64_t call = 0;
  std::string leader;
  std::uint64_t revision = 0;
  std::uint64_t manifestRevision = 0;
  std::string version;
  std::vector<replica_status> replicas;
  std::vector<host_status> hosts;
  std::vector<domain_status> domains;
  std::vector<endpoint_row> endpoints;
  std::uint64_t keys = 0;
  std::uint64_t claims = 0;
  std::string text;
  quarantine::evidence evidence; ///< parts of prompts in quarantine, and others
};

struct manifest_call
{
  std::uint64_t call = 0;
  std::string credential;
  bool asksLeader = false; ///< only the leader's manifest is accepted
};

struct manifest_reply
{
  std::uint64_t call = 0;
  std::uint64_t manifestRevision = 0;
  std::string text;
  bool isNewest = false; ///< the sender leads and holds the lease
  std::string source;    ///< text that the manifest was translated from
};

/// From a host to its delegate, or from a delegate to the leader.
struct share_renewal
{
  admission::renewal renewal;
  std::string domain;    ///< of the sender
  bool isToRoot = false; ///< from a delegate
};

/// The answer to a share_renewal.
struct share_grant
{
  admission::grant grant;
};

/// Identifies the data folder of a control process. Sent by processes that are
/// not members of the log, and answered by all.
struct replica_hello
{
  std::string log;
  replica_id identity;
  bool isEmpty = false;
  std::uint64_t nonce = 0; ///< chosen by the sender; echoed by the answer
  bool isAnswer = false;
  std::string address;                   ///< link address of the sender
  std::vector<control_address> controls; ///< others that the sender knows
  /// In an answer to a process that is no member; empty if none is known.
  std::string leader;
};

/// Asks the leader to replace one member of the log by another process. Equal
/// names: the process lost its data folder.
struct replace_call
{
  std::uint64_t call = 0;
  std::string credential;
  std::string oldName;
  std::string newName;
  std::uint32_t hops = 0;
};

/// Requests of a workspace that began to run in a slice of time.
struct usage_count
{
  workspace_id workspace;
  std::uint64_t requests = 0;
};

/// A slice of a host's steady time. Its counts do not change any more.
struct usage_slice
{
  std::uint64_t number = 0; ///< 1 is the first of the host's incarnation
  std::chrono::milliseconds age{ 0 }; ///< since its end, when it was sent
  std::vector<usage_count> counts;
};

/// From a host to the leader.
struct usage_report
{
  std::uint64_t incarnation = 0; ///< of the host
  wall_time sentAt;              ///< by the host's clock
  std::vector<usage_slice> slices;
};

/// From the leader to a host.
struct usage_ack
{
  std::uint64_t incarnation = 0; ///< of the host
  std::uint64_t through = 0;     ///< all slices up to this number are stored
};

using message_body = std::variant<command_call,
                                  command_reply,
                                  host_report,
                                  host_update,
                                  endpoint_gossip,
                                  tombstones,
                                  status_call,
                                  status_reply,
                                  manifest_call,
                                  manifest_reply,
                                  share_renewal,
                                  share_grant,
                                  replica_message,
                                  replica_hello,
                                  replace_call,
                                  demand_report,
                                  held_update,
                                  rates::quota_request,
                                  rates::quota_grant,
                                  quarantine_call,
                                  usage_report,
                                  usage_ack>;

struct message
{
  std::string sender;
  std::uint64_t incarnation = 0;
  message_body body;
};

/// Times of endpoint rows are sent as ages relative to aNow, since the steady
/// clocks of two processes are unrelated.
std::string Encode(const message& aMessage, steady_time aNow);

/// nullopt for anything that is malformed or of an unknown kind.
std::optional<message> Decode(const std::string& aBytes,
                              steady_time aNow,
                              last_reason& aReason);

std::string EncodeCommand(const fleet_command& aCommand);
std::optional<fleet_command> DecodeCommand(const std::string& aBytes,
                                           last_reason& aReason);

std::string EncodeState(const fleet_state& aState);
std::optional<fleet_state> DecodeState(const std::string& aBytes,
                                       last_reason& aReason);

using artifact_name_id = typed_id<struct artifact_name_tag>;

/// Name of a model, adapter or version by its id, with the memory that a model
/// or adapter needs, in bytes.
struct artifact_name
{
  artifact_name_id id;
  std::string text;
  std::uint64_t bytes = 0;
};

/// A log entry that changes the state of an order to an engine.
struct order_entry
{
  std::variant<placement::commit_order,
               placement::settle_order,
               placement::close_order>
    change;
  std::vector<artifact_name> names; ///< that a committed order refers to
};

std::string EncodeOrderEntry(const order_entry& aEntry);
/// nullopt for any other log payload.
std::optional<order_entry> DecodeOrderEntry(const std::string& aBytes);

/// The orders in a snapshot. Their bytes may be appended to those of
/// EncodeState: each decoder ignores the other's fields.
struct order_ledger
{
  std::vector<placement::order_row> orders;
  std::vector<placement::ledger_row> ledger;
  std::vector<artifact_name> names;
};

std::string EncodeLedger(const order_ledger& aLedger);
std::optional<order_ledger> DecodeLedger(const std::string& aBytes,
                                         last_reason& aReason);

/// Log entry: nothing up to this usage window is owed any more.
struct windows_reported
{
  std::uint64_t through = 0;
};

/// A log entry of the usage reports.
using usage_entry = std::variant<duties::usage_window, windows_reported>;

std::string EncodeUsageEntry(const usage_entry& aEntry);
/// nullopt for any other log payload.
std::optional<usage_entry> DecodeUsageEntry(const std::string& aBytes);

/// The usage windows in a snapshot; appended like those of order_ledger. A
/// snapshot without them has none waiting.
std::string EncodeWindowLog(const duties::window_log& aLog);
std::optional<duties::window_log> DecodeWindowLog(const std::string& aBytes,
                                                  last_reason& aReason);

} // namespace bulrush::wire

#endif
