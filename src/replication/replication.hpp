#ifndef BULRUSH_REPLICATION_REPLICATION_HPP
#define BULRUSH_REPLICATION_REPLICATION_HPP

/// Public header of the replicated log (Raft): one leader for each term,
/// entries committed once a quorum of voters has synced them, membership
/// changes of one member at a time, snapshots that bound the log. Nothing here
/// sends, encodes, waits or reads a clock.

#include "core/core.hpp"

#include <filesystem>
#include <memory>
#include <variant>

namespace bulrush {

/// Index of an entry, counted from 1. Zero is before the first entry.
using log_index = std::uint64_t;

/// Number of an election. At most one replica leads in a term.
using log_term = std::uint64_t;

/// Index and term of an entry.
struct log_position
{
  log_index index = 0;
  log_term term = 0;

  bool operator==(const log_position&) const = default;
};

enum class member_kind : std::uint8_t
{
  eLearner = 1, ///< receives the log, counts in no quorum
  eVoter = 2,
};

/// One replica of the log. The id belongs to the data folder, not to the host:
/// a host whose folder was wiped returns under the same name with a new id.
struct log_member
{
  replica_id id;
  member_kind kind = member_kind::eLearner;
  std::string name;

  bool operator==(const log_member&) const = default;
};

/// The replicas of a log, in order of their ids.
using membership = std::vector<log_member>;

enum class entry_kind : std::uint8_t
{
  eNoOp = 1,       ///< first entry of a term
  ePayload = 2,    ///< bytes of the embedding program
  eMembership = 3, ///< replaces the list of members
};

struct log_entry
{
  log_index index = 0;
  log_term term = 0;
  entry_kind kind = entry_kind::eNoOp;
  std::string payload; ///< for ePayload
  membership members;  ///< for eMembership

  bool operator==(const log_entry&) const = default;
};

/// The embedding program's state after every entry up to `at`.
struct log_snapshot
{
  log_position at;
  membership members;
  std::string state;
};

/// The latest term of a replica and its vote in it; once it has heard from the
/// leader of the term, that leader.
struct ballot
{
  log_term term = 0;
  replica_id votedFor;

  bool operator==(const ballot&) const = default;
};

// ---- messages ---------------------------------------------------------------

/// Part of every message. Receivers drop messages for another log or id.
struct message_header
{
  std::string log;
  replica_id from;
  replica_id to;
  log_term term = 0;
};

struct vote_request
{
  message_header header;
  bool preVote = false;  ///< trial vote; starts no new term
  bool handOver = false; ///< the leader requested this election
  log_position last;
};

struct vote_reply
{
  message_header header;
  bool preVote = false;
  bool granted = false;
};

struct append_request
{
  message_header header;
  log_position previous;
  log_index commit = 0;
  steady_time sentAt; ///< leader's clock; only echoed by the follower
  /// Echo of the newest append_reply::question that arrived; zero: none.
  std::uint64_t answers = 0;
  /// Age of the leader's confirmation when that question arrived; nullopt: a
  /// majority has not confirmed it as the leader.
  std::optional<std::chrono::nanoseconds> confirmationAge;
  std::vector<log_entry> entries;
};

struct append_reply
{
  message_header header;
  bool accepted = false;
  log_index previous = 0; ///< echo of append_request::previous.index
  log_index match = 0;    ///< accepted: synced and equal to the leader's log
  log_index hint = 0;     ///< refused: last index to try next
  steady_time sentAt;
  /// The follower asks when the leader was last confirmed; zero: it does not.
  std::uint64_t question = 0;
};

struct snapshot_chunk
{
  message_header header;
  log_position at;
  membership members;
  std::uint64_t totalBytes = 0;
  std::uint64_t checksum = 0; ///< StableHash of the whole state
  std::uint64_t offset = 0;
  std::string bytes;
  steady_time sentAt;
  log_index commit = 0; ///< of the leader, at or after the snapshot
};

struct snapshot_reply
{
  message_header header;
  log_index index = 0;
  std::uint64_t nextOffset = 0;
  bool installed = false;
  steady_time sentAt;
};

/// The leader requests that a follower start an election at once.
struct time_out_now
{
  message_header header;
};

using replica_message = std::variant<vote_request,
                                     vote_reply,
                                     append_request,
                                     append_reply,
                                     snapshot_chunk,
                                     snapshot_reply,
                                     time_out_now>;

const message_header& HeaderOf(const replica_message& aMessage);

// ---- storage ----------------------------------------------------------------

/// Result of a storage operation that succeeded.
struct stored
{};

/// Durable storage of a replica. Writes need not be durable before `sync`
/// returns; `saveSnapshot` is durable when it returns. After a failure the
/// replica stops permanently: see replica_outbox::fatal.
struct storage_hooks
{
  std::function<std::optional<stored>(std::span<const log_entry>, last_reason&)>
    append;
  /// Removes every entry from the given index on.
  std::function<std::optional<stored>(log_index, last_reason&)> truncate;
  std::function<std::optional<stored>(const ballot&, last_reason&)> saveVote;
  std::function<std::optional<stored>(log_index, last_reason&)> saveCommit;
  /// Replaces the snapshot and removes the entries up to the given index, or
  /// all entries if the log does not contain the snapshot's position.
  std::function<
    std::optional<stored>(const log_snapshot&, log_index, last_reason&)>
    saveSnapshot;
  std::function<std::optional<stored>(last_reason&)> sync;
};

/// Content of a data folder when it was opened.
struct recovered_log
{
  replica_id identity;
  ballot vote;
  log_index commit = 0;
  log_snapshot snapshot;
  log_position base; ///< position before the first of `entries`
  std::vector<log_entry> entries;
  std::uint64_t tornTailBytes = 0; ///< removed incomplete writes at the end
  std::uint64_t syncedBytes = 0;   ///< known to be synced before the restart
};

/// System calls that tests replace to inject failures.
struct disk_hooks
{
  std::function<int(int)> sync;
  std::function<long(int, const char*, std::size_t)> write;
};

/// fsync(2) and write(2).
disk_hooks PosixDisk();

/// A log in a data folder: a journal of records with checksums, and one
/// snapshot. Locks the folder against other processes until it is destroyed.
class disk_log
{
public:
  /// Opens or creates aFolder. aNewIdentity is used only if the folder has no
  /// journal. Removes a torn tail; damage before it is a failure.
  static std::optional<disk_log> Open(const std::filesystem::path& aFolder,
                                      const std::string& aLog,
                                      replica_id aNewIdentity,
                                      disk_hooks aDisk,
                                      recovered_log& aRecovered,
                                      last_reason& aReason);
  ~disk_log();
  disk_log(disk_log&&) noexcept;
  disk_log& operator=(disk_log&&) noexcept;
  disk_log(const disk_log&) = delete;
  disk_log& operator=(const disk_log&) = delete;

  /// Hooks that write to this log. They must not outlive it.
  storage_hooks Hooks();

  /// Length of the journal, in bytes.
  std::uint64_t JournalBytes() const;

private:
  struct state;
  explicit disk_log(std::unique_ptr<state> aState);
  std::unique_ptr<state> mState;
};

// ---- replica ----------------------------------------------------------------

struct replica_settings
{
  std::string log = "fleet";
  std::string name; ///< of this host, for last_reason
  std::chrono::milliseconds heartbeat{ 100 };
  /// A follower starts an election after one to two of these without its
  /// leader. A leader steps down after one of these without answers from a
  /// quorum.
  std::chrono::milliseconds electionTimeout{ 700 };
  /// The read lease is shorter than the election timeout by this margin,
  /// because clocks run at different speeds.
  std::chrono::milliseconds leaseMargin{ 70 };
  std::size_t maxBatchBytes = 256UL * 1024;
  std::size_t maxEntryBytes = 4UL * 1024 * 1024;
  std::size_t maxSnapshotBytes = 32UL * 1024 * 1024;
  log_index maxUncommittedEntries = 4096;
  log_index snapshotAfterEntries = 1000;
  /// A snapshot is also taken after so many bytes, or four times its own size
  /// if that is more: a replica that starts applies them all before it answers,
  /// 2 MB of configurations in 0.08 s of a core.
  std::size_t snapshotAfterBytes = 2UL * 1024 * 1024;
  /// Entries kept before a snapshot for followers that lag slightly, at most
  /// those of snapshotAfterBytes.
  log_index keptEntries = 200;
  std::uint64_t seed = 1; ///< for random election timeouts
};

enum class replica_role : std::uint8_t
{
  eFollower,
  ePreCandidate,
  eCandidate,
  eLeader,
};

enum class peer_state : std::uint8_t
{
  eProbe,    ///< one request at a time to find the last match
  eStream,   ///< pipelines several requests
  eSnapshot, ///< needs removed entries; gets the snapshot
};

/// A follower's question for the leader's confirmation, on the follower. Its
/// number stands for the time, so that no clock is compared with another and no
/// answer to an earlier process or start of the machine is accepted.
struct confirmation_question
{
  std::uint64_t number = 0;
  steady_time askedAt = steady_time::min(); ///< min: not asked yet
};

/// Up to a time, all that was committed is within a commit index.
struct confirmation
{
  steady_time at;
  log_index commit = 0;
};

/// The leader's replication state of another member.
struct peer_row
{
  replica_id id;
  peer_state state = peer_state::eProbe;
  log_index next = 1;
  log_index match = 0;
  log_index sentCommit = 0;
  std::uint32_t inFlight = 0;
  bool awaitsReply = false;
  log_index snapshotIndex = 0;
  std::uint64_t snapshotOffset = 0;
  steady_time lastSent = steady_time::min();
  /// Send time of the latest request that the peer answered.
  steady_time lastAnsweredSendTime = steady_time::min();
  std::uint64_t question = 0; ///< its newest one; zero: none
  steady_time questionAt;     ///< when that arrived
};

struct vote_row
{
  replica_id id;
};

/// A snapshot that is being received in chunks.
struct incoming_snapshot
{
  replica_id from;
  log_term term = 0;
  log_position at;
  std::string bytes;
};

struct leadership_hand_over
{
  replica_id target;
  steady_time deadline;
  bool isTimeOutNowSent = false;
};

/// Replacement of a member by another, in several membership changes.
struct member_replacement
{
  replica_id oldId;
  log_member newMember;
};

/// All state of one replica of one log. Owned by the control thread.
struct replica_tables
{
  replica_settings settings;
  replica_id self;
  storage_hooks storage;
  random_engine random;

  std::vector<replica_message> inbox;
  std::uint64_t droppedMessages = 0; ///< the inbox was full
  /// Messages to send after the next sync, since they confirm writes.
  std::vector<replica_message> unsentMessages;
  bool hasUnsyncedWrites = false;

  log_position base;
  std::vector<log_entry> entries;
  log_snapshot snapshot;
  log_index lastSynced = 0;
  log_index commit = 0;
  log_index released = 0; ///< last index delivered to the embedding program
  std::size_t releasedBytes = 0; ///< since the snapshot
  std::optional<log_snapshot> pendingInstall;
  incoming_snapshot incoming;

  membership members; ///< the latest in the log, committed or not
  log_index membersIndex = 0;

  ballot vote;
  replica_role role = replica_role::eFollower;
  replica_id leader;
  log_index leaderCommit = 0; ///< highest that a leader has stated
  steady_time electionDeadline;
  /// For an election timeout after the start of the leader of the latest term.
  steady_time formerLeaderUntil = steady_time::min();
  steady_time leaderLastSeen;
  confirmation_question question;
  std::optional<confirmation> unreleased; ///< its entries are not released yet
  steady_time confirmedAt = steady_time::min(); ///< as a follower
  table<replica_id, vote_row> votes;

  table<replica_id, peer_row> peers;
  steady_time leaderSince;
  log_index termStart = 0; ///< index of the leader's first entry of its term
  std::optional<leadership_hand_over> handOver;
  std::optional<member_replacement> replacement;

  std::optional<last_reason> fatal;
};

/// Output of a tick, to be processed in this order.
struct replica_outbox
{
  /// Replaces the program's state.
  std::optional<log_snapshot> install;
  /// Entries to apply after that, each delivered exactly once.
  std::vector<log_entry> committed;
  /// The program is to call SaveSnapshot with its state after that.
  bool snapshotDue = false;
  std::vector<replica_message> messages;
  wake_time wake;
  /// The replica has stopped and the process must exit.
  std::optional<last_reason> fatal;
};

/// Creates a replica from a recovered log. The first tick installs the
/// snapshot.
replica_tables StartReplica(replica_settings aSettings,
                            recovered_log aRecovered,
                            storage_hooks aStorage,
                            steady_time aNow);

/// True if there is neither an entry nor a snapshot.
bool IsEmpty(const replica_tables& aTables);

/// Bootstraps an empty log with its first list of members. Exactly one replica
/// of a new log may do this, after checking that all others are empty.
std::optional<log_position> BootstrapLog(replica_tables& aTables,
                                         membership aMembers,
                                         last_reason& aReason);

/// Queues aMessage for the next tick.
void Deliver(replica_tables& aTables,
             replica_message aMessage,
             steady_time aNow);

/// Runs the systems of the replica once.
void RunReplica(replica_tables& aTables,
                steady_time aNow,
                replica_outbox& aOutbox);

/// Appends aPayload, on the leader only. It is accepted once an entry with the
/// returned index and term is committed, and lost if another entry is committed
/// at this index.
std::optional<log_position> Propose(replica_tables& aTables,
                                    std::string aPayload,
                                    last_reason& aReason);

/// The index up to which the program must have applied the log for a
/// linearizable read that starts now. Fails unless this replica holds the
/// lease.
std::optional<log_index> ReadIndex(const replica_tables& aTables,
                                   steady_time aNow,
                                   last_reason& aReason);

/// True while no other replica can have been elected leader.
bool IsLeaseHeld(const replica_tables& aTables, steady_time aNow);

/// True if this replica leads with a lease, or received a message of the leader
/// within an election timeout and has released every entry committed by then.
bool IsCaughtUp(const replica_tables& aTables, steady_time aNow);

/// A time up to which every entry that was committed is released here. A leader
/// has it from the answers of a majority, a follower from a leader that it
/// asked later than that. steady_time::min(): none.
steady_time ConfirmedAt(const replica_tables& aTables, steady_time aNow);

/// True once the entries since the last snapshot are many or large.
bool IsSnapshotDue(const replica_tables& aTables);

/// Saves the program's state as of replica_tables::released and removes the
/// entries before it, except for replica_settings::keptEntries.
std::optional<stored> SaveSnapshot(replica_tables& aTables,
                                   std::string aState,
                                   last_reason& aReason);

/// Adds a learner, or promotes a learner that has caught up to a voter.
std::optional<log_position> ChangeMember(replica_tables& aTables,
                                         log_member aMember,
                                         steady_time aNow,
                                         last_reason& aReason);

std::optional<log_position> RemoveMember(replica_tables& aTables,
                                         replica_id aMember,
                                         steady_time aNow,
                                         last_reason& aReason);

/// Starts to replace aOld: adds the new member as a learner, promotes it to a
/// voter, then removes aOld. Stops at a leader change; calling it again on the
/// new leader resumes it.
std::optional<stored> ReplaceMember(replica_tables& aTables,
                                    replica_id aOld,
                                    log_member aNewMember,
                                    last_reason& aReason);

/// Ends a replacement where it is. A learner that it has added stays.
void CancelReplacement(replica_tables& aTables);

/// Transfers leadership to the reachable voter with the longest log, for a
/// graceful stop. The leader refuses proposals meanwhile.
std::optional<replica_id> HandOver(replica_tables& aTables,
                                   steady_time aNow,
                                   last_reason& aReason);

} // namespace bulrush

#endif
