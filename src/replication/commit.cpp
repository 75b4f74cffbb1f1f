#include "replication/replica_steps.hpp"

#include <algorithm>

namespace bulrush {

// The commit index needs no separate sync. It lets a replica that restarts
// without a connection to its leader serve the entries known to be committed.
void
SetCommit(replica_tables& aTables, log_index aIndex)
{
  if (aIndex <= aTables.commit) {
    return;
  }
  aTables.commit = aIndex;
  last_reason reason;
  if (!aTables.storage.saveCommit(aIndex, reason)) {
    Stop(aTables, reason);
  }
}

// One sync for all writes of the tick: votes, appended entries and the leader's
// own copy. Messages that confirm them are sent after it.
void
RunSync(replica_tables& aTables,
        steady_time /*aNow*/,
        replica_outbox& /*aOutbox*/)
{
  if (aTables.hasUnsyncedWrites && !aTables.fatal) {
    last_reason reason;
    if (!aTables.storage.sync(reason)) {
      Stop(aTables, reason);
      return;
    }
  }
  aTables.hasUnsyncedWrites = false;
  aTables.lastSynced = LastPosition(aTables).index;
}

// Commits by counting copies only for entries of the leader's own term. A later
// leader can still replace an entry of an earlier term that is on a quorum.
void
RunCommit(replica_tables& aTables,
          steady_time /*aNow*/,
          replica_outbox& /*aOutbox*/)
{
  if (aTables.role != replica_role::eLeader || aTables.fatal) {
    return;
  }
  std::vector<log_index> matches;
  for (const log_member& member : aTables.members) {
    if (member.kind != member_kind::eVoter) {
      continue;
    }
    matches.push_back(member.id == aTables.self
                        ? aTables.lastSynced
                        : aTables.peers.Find(member.id)->match);
  }
  const std::size_t quorum = QuorumOf(aTables.members);
  if (matches.size() < quorum) {
    return;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const log_index index = matches[quorum - 1];
  if (index > aTables.commit && TermAt(aTables, index) == aTables.vote.term) {
    SetCommit(aTables, index);
  }
}

void
RunRelease(replica_tables& aTables,
           steady_time /*aNow*/,
           replica_outbox& aOutbox)
{
  if (aTables.fatal) {
    return;
  }
  if (aTables.pendingInstall) {
    aOutbox.install = std::move(aTables.pendingInstall);
    aTables.pendingInstall.reset();
  }
  while (aTables.released < aTables.commit) {
    ++aTables.released;
    const log_entry& entry = EntryAt(aTables, aTables.released);
    aTables.releasedBytes += entry.payload.size();
    aOutbox.committed.push_back(entry);
  }
}

bool
IsLeaseHeld(const replica_tables& aTables, steady_time aNow)
{
  if (aTables.role != replica_role::eLeader || aTables.fatal ||
      aTables.commit < aTables.termStart) {
    return false;
  }
  if (aTables.handOver && aTables.handOver->isTimeOutNowSent) {
    return false;
  }
  const steady_time answeredSendTime = QuorumAnsweredSendTime(aTables, aNow);
  if (answeredSendTime == steady_time::min()) {
    return false;
  }
  return aNow < answeredSendTime + aTables.settings.electionTimeout -
                  aTables.settings.leaseMargin;
}

// The commit index of a new leader may be an old one until it has committed an
// entry of its own term.
bool
IsCaughtUp(const replica_tables& aTables, steady_time aNow)
{
  if (aTables.role == replica_role::eLeader) {
    return IsLeaseHeld(aTables, aNow) && aTables.released >= aTables.termStart;
  }
  return aTables.role == replica_role::eFollower && aTables.leader &&
         aNow < aTables.leaderLastSeen + aTables.settings.electionTimeout &&
         aTables.released >= aTables.leaderCommit &&
         aTables.leaderCommit <= LastPosition(aTables).index &&
         aTables.leaderCommit >= aTables.base.index &&
         TermAt(aTables, aTables.leaderCommit) == aTables.vote.term;
}

std::optional<log_index>
ReadIndex(const replica_tables& aTables, steady_time aNow, last_reason& aReason)
{
  if (!IsLeaseHeld(aTables, aNow)) {
    return Fail(aReason,
                "read log",
                aTables.settings.name,
                "does not hold the leader's lease");
  }
  return aTables.commit;
}

} // namespace bulrush
