#ifndef BULRUSH_TESTS_REPLICATION_SIMULATED_CLUSTER_HPP
#define BULRUSH_TESTS_REPLICATION_SIMULATED_CLUSTER_HPP

/// Replicas in one process on simulated disks, links and clocks, with an oracle
/// that checks the guarantees of a replicated log independently of its state.

#include "replication/replication.hpp"

#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace bulrush {

/// A guarantee of the log was violated.
struct guarantee_violation : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

/// Checks the guarantees of a replicated log: one order of committed entries,
/// no acknowledged entry lost, one leader for each term, linearizable reads,
/// which see every acknowledged write, and confirmations that cover every write
/// that was acknowledged before them.
class log_oracle
{
public:
  void RecordCommit(const log_entry& aEntry);
  void RecordLeader(log_term aTerm, replica_id aLeader);
  void RecordAcknowledgement(const std::string& aPayload,
                             log_index aIndex,
                             std::chrono::microseconds aNow);
  void CheckRead(log_index aIndex) const;
  /// A replica that has applied aIndex states that this is all until aAt.
  void CheckConfirmation(std::chrono::microseconds aAt, log_index aIndex) const;
  /// aState is one replica's applied payloads, in order.
  void CheckState(const std::vector<std::string>& aState) const;
  std::size_t AcknowledgedCount() const { return mAcknowledged.size(); }
  log_index LastCommitted() const;

private:
  std::map<log_index, log_entry> mLog;
  std::map<log_term, replica_id> mLeaders;
  std::set<std::string> mAcknowledged;
  log_index mHighestAcknowledged = 0;
  /// Highest index acknowledged until then.
  std::map<std::chrono::microseconds, log_index> mAcknowledgedAt;
};

/// A disk that loses unsynced writes in a crash.
class memory_disk
{
public:
  explicit memory_disk(replica_id aIdentity);
  storage_hooks Hooks();
  /// Discards the unsynced writes except for the first aSurviving.
  void Crash(std::size_t aSurviving);
  const recovered_log& Durable() const { return mDurable; }
  bool failsSync = false;
  bool failsWrite = false;

private:
  std::optional<stored> Write(std::function<void(recovered_log&)> aWrite,
                              last_reason& aReason);

  recovered_log mDurable;
  std::vector<std::function<void(recovered_log&)>> mUnsynced;
};

struct proposal
{
  std::string payload;
  log_position at;
};

/// One host with its data folder, its clock and the embedding program.
struct simulated_replica
{
  std::string name;
  std::shared_ptr<memory_disk> disk;
  std::optional<replica_tables> tables; ///< none while the process is down
  std::optional<last_reason> stopped;
  std::vector<std::string> state;
  std::vector<proposal> waiting;
  std::chrono::microseconds wake{ 0 };        ///< on the cluster's clock
  std::chrono::microseconds pausedUntil{ 0 }; ///< as by SIGSTOP
  std::chrono::microseconds clockOffset{ 0 };
  double clockRate = 1.0;
  std::uint64_t starts = 0;

  replica_id Id() const { return disk->Durable().identity; }
};

struct simulated_message
{
  std::size_t to = 0;
  replica_message message;
};

class simulated_cluster
{
public:
  simulated_cluster(std::size_t aCount, std::uint64_t aSeed);

  /// Adds a host with an empty folder that is not a member.
  std::size_t AddHost();
  void Run(std::chrono::milliseconds aDuration);
  /// Runs until aDone returns true; false if it does not within aLimit.
  bool RunUntil(const std::function<bool()>& aDone,
                std::chrono::milliseconds aLimit);
  std::optional<log_position> ProposeAt(std::size_t aHost);
  void Crash(std::size_t aHost);
  void Start(std::size_t aHost);
  void Wipe(std::size_t aHost);
  void Pause(std::size_t aHost, std::chrono::milliseconds aDuration);
  void Cut(std::size_t aLeft, std::size_t aRight);
  void Isolate(std::size_t aHost);
  void Heal();
  std::optional<std::size_t> Leader() const;
  /// Waits for a leader that holds its lease.
  std::size_t AwaitLeader();
  /// Proposes at the leader until aCount more payloads are acknowledged.
  bool ProposeAndAwait(std::size_t aCount);
  bool Replace(std::size_t aOld, replica_id aOldId, std::size_t aNew);
  /// Ends all faults, starts all hosts and checks the state of every member.
  void EndFaultsAndCheck();
  steady_time ClockOf(std::size_t aHost) const;
  void RunHost(std::size_t aHost);

  log_oracle oracle;
  std::vector<simulated_replica> hosts;
  replica_settings settings;
  double lossRate = 0;
  double repeatRate = 0;
  std::chrono::microseconds now{ 0 };
  std::uint64_t deliveredChunks = 0;

private:
  void Send(std::size_t aFrom, const replica_message& aMessage);
  void Apply(std::size_t aHost, replica_outbox& aOutbox);
  void Acknowledge(simulated_replica& aHost, const log_entry& aEntry);
  void CheckReads();
  void CheckConfirmations() const;
  bool RandomlyTrue(double aRate);
  replica_id NewIdentity();
  std::optional<std::size_t> HostOf(replica_id aId) const;

  random_engine mRandom;
  std::multimap<std::chrono::microseconds, simulated_message> mLinks;
  std::set<std::pair<std::size_t, std::size_t>> mCutLinks;
  std::uint64_t mProposals = 0;
};

} // namespace bulrush

#endif
