#include "replication/replica_steps.hpp"

#include <algorithm>

namespace bulrush {

// The commit index is written without a sync of its own. It lets a replica
// that restarts alone, cut off from its leader, serve what it knew.
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

// One sync stands for every promise of the tick: votes, answers to appends and
// the leader's own copy all wait for it.
void
RunSync(replica_tables& aTables,
        steady_time /*aNow*/,
        replica_outbox& /*aOutbox*/)
{
  if (aTables.unsynced && !aTables.fatal) {
    last_reason reason;
    if (!aTables.storage.sync(reason)) {
      Stop(aTables, reason);
      return;
    }
  }
  aTables.unsynced = false;
  aTables.synced = LastPosition(aTables).index;
}

// Only entries of the leader's own term are counted. An entry of an earlier
// term on a quorum can still be replaced by a later leader.
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
                        ? aTables.synced
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
  if (aTables.toInstall) {
    aOutbox.install = std::move(aTables.toInstall);
    aTables.toInstall.reset();
  }
  while (aTables.released < aTables.commit) {
    ++aTables.released;
    aOutbox.committed.push_back(EntryAt(aTables, aTables.released));
  }
}

bool
IsLeaseHeld(const replica_tables& aTables, steady_time aNow)
{
  if (aTables.role != replica_role::eLeader || aTables.fatal ||
      aTables.commit < aTables.termStart) {
    return false;
  }
  if (aTables.handOver && aTables.handOver->asked) {
    return false;
  }
  const steady_time answered = QuorumAnsweredAt(aTables, aNow);
  if (answered == steady_time::min()) {
    return false;
  }
  return aNow < answered + aTables.settings.electionTimeout -
                  aTables.settings.leaseMargin;
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
