#ifndef BULRUSH_ENTRY_TABLES_HPP
#define BULRUSH_ENTRY_TABLES_HPP

/// Tables of bulrush-entry's control thread, and the view of them that its
/// traffic threads read.

#include "fleet/fleet.hpp"
#include "wire/wire.hpp"

#include <memory>
#include <unordered_set>

namespace bulrush::entry {

using call_id = typed_id<struct call_tag>;

/// What a traffic thread may read. Never changed after it was published.
struct traffic_view
{
  std::shared_ptr<const fleet_state> fleet =
    std::make_shared<const fleet_state>();
  std::shared_ptr<const std::vector<endpoint_row>> endpoints =
    std::make_shared<const std::vector<endpoint_row>>();
  std::shared_ptr<const std::unordered_set<key_hash, id_hash>> tombstones =
    std::make_shared<const std::unordered_set<key_hash, id_hash>>();
  bool isStopping = false;
};

/// A control process that this host may report to, in order of preference.
struct control_row
{
  replica_id id;
  std::string address;
  std::size_t preference = 0;
  steady_time lastHeard{};
  bool knowsLeader = true; ///< as it said last: what it tells is up to date
};

/// What the leader says an engine holds, ahead of the engine's own report.
struct held_row
{
  endpoint_id id;
  std::uint64_t incarnation = 0;
  std::vector<resident> residents;
  steady_time heardAt;
};

struct tombstone_row
{
  key_hash id;
};

using command_hook = std::function<void(const wire::command_reply&)>;

/// A command that a traffic thread wants committed.
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
  std::shared_ptr<fleet_state> fleet = std::make_shared<fleet_state>();
  table<replica_id, control_row> controls;
  table<endpoint_id, endpoint_row> endpoints;
  table<key_hash, tombstone_row> tombstones;
  table<call_id, pending_command> commands;
  std::vector<endpoint_row> reports; ///< from endpoints since the last tick
  std::vector<wire::message> inbox;  ///< from control since the last tick
  std::vector<endpoint_row> unsent;  ///< to be told to control
  std::vector<admission::renewal> renewals; ///< from the traffic thread
  table<endpoint_id, held_row> held;
  std::vector<wire::wanted_model> wanted; ///< from the traffic thread
  std::vector<rates::draw> draws;         ///< from the traffic thread
  std::uint64_t lastReport = 0;
  std::uint64_t lastCall = 0;
  steady_time nextReport{};
  std::string leader;     ///< name of the control process that leads
  traffic_view published; ///< the latest one
  bool isStopping = false;
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
  std::vector<wire::control_address> links; ///< control processes to link to
  std::vector<outgoing> messages;
  std::vector<std::pair<command_hook, wire::command_reply>> replies;
  std::optional<traffic_view> view;     ///< to be published
  std::vector<admission::grant> grants; ///< for the traffic thread
  std::vector<rates::drawn> drawn;      ///< for the traffic thread
  wake_time wake;
};

/// One tick of the control thread: all systems in their order.
void RunEntryControl(entry_tables& aTables,
                     steady_time aNow,
                     entry_outbox& aOutbox);

/// The control process that is reported to now; nullptr if none is declared.
const control_row* CurrentControl(const entry_tables& aTables,
                                  steady_time aNow);

} // namespace bulrush::entry

#endif
