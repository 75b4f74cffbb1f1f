#ifndef BULRUSH_WIRE_WIRE_HPP
#define BULRUSH_WIRE_WIRE_HPP

/// Public header of the wire library: the messages between our own processes
/// as plain structs, and their encoding. Source: protobuf, bulrush.proto.

#include "admission/admission.hpp"
#include "core/core.hpp"
#include "fleet/fleet.hpp"
#include "placement/placement.hpp"
#include "rates/rates.hpp"
#include "replication/replication.hpp"

namespace bulrush::wire {

/// What became of a command that was called for.
enum class call_outcome : std::uint8_t
{
  eDecided,  ///< the result holds what the state machine answered
  eNoLeader, ///< not committed and never will be: nobody took it
  eUnknown,  ///< it may be committed yet; ask again
  eRefused,  ///< the credential is not accepted
};

struct command_call
{
  std::uint64_t call = 0;
  fleet_command command;
  std::string credential;
  std::uint32_t hops = 0; ///< how often it was passed on towards the leader
};

struct command_reply
{
  std::uint64_t call = 0;
  call_outcome outcome = call_outcome::eNoLeader;
  command_result result;
  std::string text;
};

/// An entry host renews its lease and confirms its configuration revision.
struct host_report
{
  std::string domain;
  std::uint64_t renewal = 0;
  std::uint64_t revision = 0;
  std::vector<endpoint_row> endpoints; ///< those that changed
  std::string httpAddress;
  bool isLeaving = false;
};

struct numbered_command
{
  std::uint64_t revision = 0; ///< the revision that it led to
  fleet_command command;
};

/// A control process with the address of its links.
struct control_address
{
  std::string name;
  std::string address;
};

/// Requests for a model, or for an adapter of it, at one host.
struct wanted_model
{
  model_id model;
  adapter_id adapter;
  std::uint32_t requests = 0; ///< since the last message
  std::uint32_t waiting = 0;  ///< now, as nothing holds it
};

/// A host to the leader: what its callers ask for.
struct wanted_models
{
  std::vector<wanted_model> models;
};

/// What an engine holds, as the leader knows from its orders.
struct held_models
{
  endpoint_id endpoint;
  std::uint64_t incarnation = 0;
  std::vector<resident> residents;
};

/// The leader to hosts that ask for models: ahead of the engines' own reports.
struct held_update
{
  std::vector<held_models> engines;
};

/// The answer to a host_report, also sent whenever something changed.
struct host_update
{
  std::uint64_t renewal = 0;
  std::chrono::milliseconds lease{ 0 }; ///< zero: none granted
  std::uint64_t epoch = 0;
  std::uint64_t revision = 0;
  std::vector<numbered_command> commands;
  std::string snapshot; ///< encoded fleet_state; empty for none
  std::vector<endpoint_row> endpoints;
  std::vector<endpoint_id> goneEndpoints;
  std::vector<key_hash> tombstones;      ///< withdrawn, not yet in the log
  std::vector<control_address> controls; ///< all that are known
  std::string leader; ///< name of the leader; empty while none is known
};

/// What the control host of a failure domain tells the others of it.
struct endpoint_gossip
{
  std::string domain;
  std::vector<endpoint_row> endpoints;
  std::vector<endpoint_id> gone;
  std::vector<key_hash> tombstones;    ///< withdrawn, not yet in the log
  std::uint64_t confirmedRevision = 0; ///< in force on every serving host
  std::uint32_t hosts = 0;             ///< that hold a lease
  std::string httpAddress;             ///< for callers over HTTP; empty: none
  std::uint32_t reporting = 0;         ///< hosts that report to the sender
};

/// Withdrawn keys, passed on ahead of the log.
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
  std::uint64_t confirmedRevision = 0; ///< in force on every serving host
  std::uint32_t hosts = 0;             ///< that hold a lease
  std::chrono::milliseconds age{ 0 };  ///< since it was heard of
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
};

struct manifest_call
{
  std::uint64_t call = 0;
  std::string credential;
  bool asksLeader = false; ///< only the newest manifest will do
};

struct manifest_reply
{
  std::uint64_t call = 0;
  std::uint64_t manifestRevision = 0;
  std::string text;
  bool isNewest = false; ///< the sender leads and holds the lease
  std::string source;    ///< what the manifest was translated from
};

/// A host to its delegate, or a delegate to the leader.
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

/// Which data folder a control process runs on. Sent by those whose log is
/// empty, and answered by every one.
struct replica_hello
{
  std::string log;
  replica_id identity;
  bool isEmpty = false;
  std::uint64_t nonce = 0; ///< of the asking process; echoed by the answer
  bool isAnswer = false;
  std::string address;                   ///< of the sender's links
  std::vector<control_address> controls; ///< others that the sender knows
};

/// Asks the leader to put one control process in another's place. Equal names
/// stand for a host whose data folder was lost.
struct replace_call
{
  std::uint64_t call = 0;
  std::string credential;
  std::string oldName;
  std::string newName;
  std::uint32_t hops = 0;
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
                                  wanted_models,
                                  held_update,
                                  rates::draw,
                                  rates::drawn>;

struct message
{
  std::string sender;
  std::uint64_t incarnation = 0;
  message_body body;
};

/// Ages of endpoint rows are sent relative to aNow, since steady clocks of
/// two processes have nothing in common.
std::string Encode(const message& aMessage, steady_time aNow);

/// nullopt for anything that is malformed or of an unknown kind.
std::optional<message> Decode(const std::string& aBytes,
                              steady_time aNow,
                              last_reason& aWhy);

std::string EncodeCommand(const fleet_command& aCommand);
std::optional<fleet_command> DecodeCommand(const std::string& aBytes,
                                           last_reason& aWhy);

std::string EncodeState(const fleet_state& aState);
std::optional<fleet_state> DecodeState(const std::string& aBytes,
                                       last_reason& aWhy);

using artifact_name_id = typed_id<struct artifact_name_tag>;

/// The text behind the id of a model, an adapter or a version, with the memory
/// that a model or adapter takes, in bytes.
struct artifact_name
{
  artifact_name_id id;
  std::string text;
  std::uint64_t bytes = 0;
};

/// What the log says of an order to an engine.
struct order_entry
{
  std::variant<placement::commit_order,
               placement::settle_order,
               placement::close_order>
    change;
  std::vector<artifact_name> names; ///< that a committed order needs
};

std::string EncodeOrderEntry(const order_entry& aEntry);
/// nullopt for every other payload of the log.
std::optional<order_entry> DecodeOrderEntry(const std::string& aBytes);

/// The orders of a snapshot. Its bytes may follow those of EncodeState: either
/// decoder passes over the other's fields.
struct order_ledger
{
  std::vector<placement::order_row> orders;
  std::vector<placement::ledger_row> ledger;
  std::vector<artifact_name> names;
};

std::string EncodeLedger(const order_ledger& aLedger);
std::optional<order_ledger> DecodeLedger(const std::string& aBytes,
                                         last_reason& aWhy);

} // namespace bulrush::wire

#endif
