#ifndef BULRUSH_CONTROL_TABLES_HPP
#define BULRUSH_CONTROL_TABLES_HPP

/// Tables of bulrush-control. Its control thread owns all of them.

#include "admission/admission.hpp"
#include "control/control.hpp"
#include "control/log.hpp"
#include "control/orders.hpp"
#include "fleet/fleet.hpp"
#include "rates/rates.hpp"
#include "wire/wire.hpp"

#include <deque>
#include <memory>

namespace bulrush::control {

using call_id = typed_id<struct call_tag>;
using position_id = typed_id<struct position_tag>;

/// Who this process is.
struct self_row
{
  std::string name;
  std::string domain;
  std::string linkAddress;
  std::string httpAddress; ///< empty: none
  std::uint64_t incarnation = 0;
  std::string credential; ///< what operators and hosts must present
};

/// Another control process.
struct control_row
{
  replica_id id;
  std::string name;
  std::string address;
  std::string domain;
  std::string httpAddress;             ///< empty: none
  std::uint64_t confirmedRevision = 0; ///< in its domain, as it said last
  std::uint32_t hosts = 0;
  std::uint32_t reporting = 0; ///< hosts that report to it
  steady_time lastHeard{};
};

/// A key that was withdrawn and whose withdrawal is not in the log yet.
struct tombstone_row
{
  key_hash id;
};

/// An entry host that reports here.
struct host_row
{
  host_id id;
  std::string name;
  std::string domain;
  std::string httpAddress;
  std::uint64_t incarnation = 0;
  std::uint64_t renewal = 0;       ///< the latest one, to be echoed
  std::uint64_t revision = 0;      ///< confirmed by the host
  std::uint64_t sentRevision = 0;  ///< sent and not yet confirmed
  std::uint64_t sentEndpoints = 0; ///< serial of the newest row sent
  std::string sentLeader;          ///< name of the leader, as it was told
  steady_time lastSeen{};
  steady_time leaseEnd{};
  bool wantsUpdate = false;
  bool isLeaving = false;
};

/// An endpoint with the serial of its latest change worth passing on.
struct known_endpoint
{
  endpoint_id id;
  endpoint_row row;
  std::uint64_t serial = 0;
  bool isOwn = false; ///< of this failure domain: passed on to other controls
};

/// An endpoint that left or fell silent.
struct gone_endpoint
{
  endpoint_id id;
  std::uint64_t serial = 0;
  bool isOwn = false;
  bool hasLeft = false; ///< said so: nothing older brings it back
  std::uint64_t incarnation = 0;
};

/// A message that arrived since the last tick.
struct received
{
  std::string peer; ///< identity on the link
  wire::message message;
};

using http_call_id = typed_id<struct http_call_tag>;

/// A call over HTTP since the last tick.
struct received_call
{
  http_call_id id;
  http_call call;
};

/// The answer to a call over HTTP.
struct answered_call
{
  http_call_id id;
  http_answer answer;
};

/// A command on its way through the log.
struct pending_call
{
  call_id id;
  std::string peer;
  http_call_id http;      ///< set in place of the peer
  std::uint64_t call = 0; ///< the peer's own number
  position_id position;   ///< in our log; none while passed on to the leader
  steady_time deadline{};
};

/// A log entry that became final since the last tick.
struct committed_command
{
  position_id position;
  std::string payload;
  bool isReplay = false; ///< restored at the start
};

/// A term in which this process leads, its log applied up to the term's start.
struct leader_term
{
  std::uint32_t term = 0;
  std::chrono::milliseconds formerLease{ 0 }; ///< the former leader may send
  bool holdsLease = false; ///< nothing may be decided or sent without
};

/// How the log is reached. Tests and a single process use a local one.
struct log_hooks
{
  /// The position it will have, or nullopt when this is not the leader.
  std::function<std::optional<position_id>(std::string aPayload,
                                           last_reason& aWhy)>
    propose;
  /// True while this process may answer from its state as the leader.
  std::function<bool(steady_time aNow)> isLeader;
  /// Set while this process leads, as far as it knows.
  std::function<std::optional<leader_term>(steady_time aNow)> leads;
  /// Name of the leader, empty while none is known.
  std::function<std::string()> leaderName;
  /// Rises with each change of leader.
  std::function<std::uint64_t()> term;
  /// The members of the log; not set without a replicated one.
  std::function<std::vector<wire::replica_status>()> replicas;
};

/// The leader's watch over the number of hosts that the log holds.
struct host_count_row
{
  steady_time nextChange;
  std::optional<steady_time> fewerSince; ///< fewer report than the log says
};

/// The delegate part: leases and shares for the hosts of one failure domain.
struct delegate_row
{
  domain_id id;
  std::uint64_t epoch = 0;
  admission::escrow_tables escrow;
  bool isRetiring = false; ///< another one was named
  steady_time retiresAt{}; ///< the last lease of a host has run out by then
};

/// To whom the answers for a holder go.
struct holder_peer_row
{
  admission::holder_id id;
  std::string peer; ///< identity on the link; empty for this process
};

/// A resource that the root divides.
struct limited_row
{
  admission::resource_id id;
  admission::resource what;
};

/// Leases and shares: the root while this process leads, and its delegates.
struct lease_tables
{
  bool isRoot = false;
  admission::escrow_tables root;
  std::uint64_t limitsRevision = 0; ///< of the manifest that the root divides
  table<admission::resource_id, limited_row> limits;
  table<admission::resource_id, limited_row> coldSlots;
  table<domain_id, delegate_row> delegates;
  table<admission::holder_id, holder_peer_row> holders;
  steady_time leadsSince{};
  steady_time nextNaming{};
  rates::rate_tolerance tolerance; ///< set: rates go by pools instead
};

/// Pools of limits, while this process leads.
struct pool_state
{
  std::uint64_t term = 0;             ///< in which they were begun
  std::uint64_t manifestRevision = 0; ///< whose rates they have
  rates::pool_tables pools;
  steady_time nextForget;
};

/// A host that asks for models, and what it was told of engines.
struct asking_host
{
  host_id id;
  std::string peer; ///< identity on the link
  std::uint64_t incarnation = 0;
  std::uint64_t sentSerial = 0;
  steady_time heardAt;
};

/// What an engine holds, with the serial of its latest change.
struct held_row
{
  endpoint_id id;
  std::uint64_t serial = 0;
  wire::held_models held;
};

/// The answer of an engine to an order or to a question.
struct engine_answer
{
  endpoint_id engine;
  std::optional<residency::order_answer> order;
  std::optional<residency::engine_state> state;
};

/// Residency by demand, where the front end can give conditional orders.
struct residency_tables
{
  bool isUsed = false;
  residency::tables decisions;
  std::uint64_t manifestRevision = 0; ///< that the decisions rest on
  table<host_id, asking_host> hosts;
  table<endpoint_id, held_row> held;
  std::uint64_t serial = 0;
  std::vector<engine_answer> answers;          ///< since the last tick
  std::chrono::milliseconds handOver{ 3'000 }; ///< between holders of orders
};

struct control_tables
{
  self_row self;
  fleet_state fleet;
  log_hooks log;
  std::unique_ptr<log_tables> replicated; ///< none without a data folder
  table<replica_id, control_row> controls;
  table<host_id, host_row> hosts;
  table<endpoint_id, known_endpoint> endpoints;
  table<endpoint_id, gone_endpoint> gone;
  table<call_id, pending_call> calls;
  table<key_hash, tombstone_row> tombstones;
  lease_tables leases;
  pool_state pools;
  std::deque<wire::numbered_command> recent; ///< newest configuration changes
  std::vector<received> inbox;
  std::vector<received_call> httpInbox;
  std::vector<committed_command> committed;
  order_tables orders;
  residency_tables residency;
  host_count_row hostCount;
  std::uint64_t serial = 0;            ///< of the newest endpoint change
  std::uint64_t gossipedSerial = 0;    ///< passed on to the other controls
  std::uint64_t gossipedConfirmed = 0; ///< confirmed revision, passed on
  steady_time nextGossip{};
  std::uint64_t lastCall = 0;
  std::function<wall_time()> wallClock;
};

/// A message to a peer that linked to us, or to another control process.
struct outgoing
{
  std::string peer;    ///< identity on our link server; or
  std::string control; ///< name of a control process
  wire::message_body body;
};

struct control_outbox
{
  std::vector<outgoing> messages;
  std::vector<order_call> orders; ///< each on a connection of its own
  std::vector<answered_call> httpAnswers;
  std::vector<std::pair<endpoint_id, engine_order>> engineOrders;
  std::vector<std::pair<endpoint_id, engine_question>> questions;
  std::vector<wire::control_address> links; ///< control processes to link to
  wake_time wake;
  std::optional<last_reason> fatal; ///< the process must exit
};

/// Input of the lease system.
void TakeRenewal(control_tables& aTables,
                 const received& aInput,
                 const wire::share_renewal& aRenewal);
void TakeGrant(control_tables& aTables, const wire::share_grant& aGrant);

/// Begins the pools when this process begins to lead.
void RunPools(control_tables& aTables,
              steady_time aNow,
              control_outbox& aOutbox);

/// A host draws tokens; only the leader answers.
void TakeDraw(control_tables& aTables,
              const received& aInput,
              const rates::draw& aDraw,
              steady_time aNow,
              control_outbox& aOutbox);

/// Takes the calls that came over HTTP.
void RunHttpCalls(control_tables& aTables,
                  steady_time aNow,
                  control_outbox& aOutbox);

/// A host tells what its callers ask for.
void TakeDemand(control_tables& aTables,
                const received& aInput,
                const wire::wanted_models& aWanted,
                steady_time aNow);

/// Orders models and adapters by demand, and tells hosts what engines hold.
void RunResidents(control_tables& aTables,
                  steady_time aNow,
                  control_outbox& aOutbox);

/// Whether this process leads, holds the lease and has applied all that was
/// committed before its term: no newer manifest can be in force.
bool HoldsNewest(const control_tables& aTables, steady_time aNow);

/// The leader's answer to a read that was passed on to it.
void TakeManifestReply(control_tables& aTables,
                       const wire::manifest_reply& aReply,
                       control_outbox& aOutbox);

/// What is in force on every serving host of the own failure domain.
wire::domain_status OwnDomainStatus(const control_tables& aTables,
                                    steady_time aNow);

/// Answer operators' questions.
void TakeStatusCall(const control_tables& aTables,
                    const received& aInput,
                    const wire::status_call& aCall,
                    steady_time aNow,
                    control_outbox& aOutbox);
void TakeManifestCall(const control_tables& aTables,
                      const received& aInput,
                      const wire::manifest_call& aCall,
                      steady_time aNow,
                      control_outbox& aOutbox);

/// Answers whoever waits for a command that the log has decided.
void AnswerCall(const pending_call& aCall,
                const wire::command_reply& aReply,
                control_outbox& aOutbox);

/// Takes what an endpoint tells of itself; older news changes nothing.
void TakeEndpoint(control_tables& aTables,
                  const endpoint_row& aRow,
                  bool aIsOwn);
void DropEndpoint(control_tables& aTables,
                  endpoint_id aEndpoint,
                  bool aHasLeft);

/// The lease system: names delegates, divides limits, answers renewals.
void RunLeases(control_tables& aTables,
               steady_time aNow,
               control_outbox& aOutbox);

/// The revision that every host of the own failure domain confirmed, and how
/// many hold a lease; nullopt while this process is not its delegate.
struct confirmed_hosts
{
  std::uint64_t revision = 0;
  std::uint32_t hosts = 0;
};
std::optional<confirmed_hosts> ConfirmedHosts(const control_tables& aTables,
                                              steady_time aNow);

/// One tick: all systems in their order.
void RunControl(control_tables& aTables,
                steady_time aNow,
                control_outbox& aOutbox);

} // namespace bulrush::control

#endif
