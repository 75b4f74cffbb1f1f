#ifndef BULRUSH_CONTROL_LOG_HPP
#define BULRUSH_CONTROL_LOG_HPP

/// The replicated log of bulrush-control: bootstrap, replacement of members,
/// and the interface through which commands are proposed.

#include "replication/replication.hpp"
#include "wire/wire.hpp"

namespace bulrush::control {

struct control_tables;
struct control_outbox;
struct received_message;
struct log_hooks;

/// Another control process, as its latest hello described it.
struct known_replica
{
  replica_id id; ///< IdOf its name
  std::string name;
  replica_id identity; ///< stored in its data folder
  bool isEmpty = false;
  bool hasAnsweredHello = false; ///< a hello of this incarnation
  bool isConfigured = false;     ///< configured as a first member
  steady_time lastSeen{};
};

/// A caller that waits for a replacement to complete.
struct replace_row
{
  typed_id<struct replace_tag> id;
  std::string peer;
  std::uint64_t call = 0;
  replica_id oldIdentity;
  replica_id newIdentity;
  steady_time deadline{};
};

/// State of the replicated log and of its membership changes.
struct log_tables
{
  std::optional<disk_log> disk;
  replica_tables replica;
  table<replica_id, known_replica> known;
  table<typed_id<struct replace_tag>, replace_row> replacements;
  std::uint64_t lastReplacement = 0;
  replica_id loggedLeader;     ///< in the latest "leader" line
  log_index loggedMembers = 0; ///< of the entry in the latest "members" line
  steady_time nextHello{};
  /// Of which members told this process while it was none. It does not follow
  /// the log then, but can forward calls.
  std::string toldLeader;
  steady_time toldLeaderAt{};
  bool mayBootstrap = true; ///< this process may bootstrap a new log
  /// Processes are named by their link addresses, join without an operator's
  /// call, and replace lost members.
  bool hasDynamicMembers = false;
  bool hasNewSeeds = false;    ///< the settings have been written again
  steady_time leaderKnownAt{}; ///< a leader was known, last
  steady_time nextSeedRead{};
};

/// Opens the data folder. Fails when it is damaged or locked by another
/// process.
std::optional<std::unique_ptr<log_tables>> OpenLog(
  const std::filesystem::path& aFolder,
  replica_settings aSettings,
  const std::vector<std::string>& aPeers,
  steady_time aNow,
  last_reason& aReason,
  disk_hooks aDisk = PosixDisk());

/// Hooks through which the other systems use the log.
log_hooks MakeReplicatedLog(log_tables& aLog);

/// The log of a single process without a data folder.
log_hooks MakeLocalLog(control_tables& aTables);

/// Handles messages of the log; false for all others.
bool HandleLogMessage(control_tables& aTables,
                      const received_message& aInput,
                      steady_time aNow,
                      control_outbox& aOutbox);

/// Older hellos are ignored: the sender's folder may have changed since.
inline constexpr std::chrono::milliseconds kHelloMaxAge{ 1'000 };

/// Connects to a control process unless it is known already. Returns its row.
known_replica& AddPeer(control_tables& aTables,
                       const std::string& aName,
                       const std::string& aAddress,
                       steady_time aNow,
                       control_outbox& aOutbox);

bool IsMember(const log_tables& aLog, replica_id aIdentity);
bool IsVoter(const log_tables& aLog, replica_id aIdentity);

/// Empty if the identity is not known.
std::string NameOf(const log_tables& aLog, replica_id aIdentity);

/// Hellos, by which processes learn who runs on which data folder. Sent while
/// this process is no member or has no leader.
void HandleHello(control_tables& aTables,
                 const received_message& aInput,
                 const wire::replica_hello& aHello,
                 steady_time aNow,
                 control_outbox& aOutbox);
void SendHellos(control_tables& aTables,
                steady_time aNow,
                control_outbox& aOutbox);

/// With dynamic members: connects to all members.
void ConnectMembers(control_tables& aTables,
                    steady_time aNow,
                    control_outbox& aOutbox);
/// With dynamic members: drops control processes that are gone for good.
void DropLostPeers(control_tables& aTables,
                   steady_time aNow,
                   control_outbox& aOutbox);
/// With dynamic members, on the leader: replaces members that are lost, and
/// adds others.
void RunVoters(control_tables& aTables, steady_time aNow);

/// Has the seeds read again when they may have changed.
void RunSeeds(control_tables& aTables,
              steady_time aNow,
              control_outbox& aOutbox);

/// The settings name these control processes as seeds now.
void HandleSeeds(control_tables& aTables,
                 const std::vector<wire::control_address>& aSeeds,
                 steady_time aNow,
                 control_outbox& aOutbox);

/// Systems, in their order around RunApply.
void RunLog(control_tables& aTables, steady_time aNow, control_outbox& aOutbox);
void RunLogSnapshot(control_tables& aTables,
                    steady_time aNow,
                    control_outbox& aOutbox);

/// Starts a leadership transfer for a graceful stop. False when there is
/// nothing to wait for, as this process does not lead or has no other voter.
bool BeginHandOver(control_tables& aTables, steady_time aNow);

/// True once another replica is known to lead.
bool IsHandedOver(const control_tables& aTables);

} // namespace bulrush::control

#endif
