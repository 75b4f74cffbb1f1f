#include "replication/replica_steps.hpp"

namespace bulrush {

log_position
LastPosition(const replica_tables& aTables)
{
  if (aTables.entries.empty()) {
    return aTables.base;
  }
  return { aTables.entries.back().index, aTables.entries.back().term };
}

const log_entry&
EntryAt(const replica_tables& aTables, log_index aIndex)
{
  return aTables.entries[aIndex - aTables.base.index - 1];
}

log_term
TermAt(const replica_tables& aTables, log_index aIndex)
{
  if (aIndex == aTables.base.index) {
    return aTables.base.term;
  }
  return EntryAt(aTables, aIndex).term;
}

// Two logs that hold the same position are equal up to it, so this one
// comparison stands for all entries before it.
bool
HoldsPosition(const replica_tables& aTables, log_position aPosition)
{
  if (aPosition.index < aTables.base.index ||
      aPosition.index > LastPosition(aTables).index) {
    return false;
  }
  return TermAt(aTables, aPosition.index) == aPosition.term;
}

// A replica that failed to write or sync cannot know what its disk holds. It
// stops for good rather than to promise on a guess: a second fsync may report
// success for pages that the kernel has already dropped.
void
Stop(replica_tables& aTables, last_reason aReason)
{
  if (!aTables.fatal) {
    aTables.fatal = std::move(aReason);
  }
  aTables.role = replica_role::eFollower;
  aTables.unsent.clear();
}

void
SaveBallot(replica_tables& aTables, ballot aBallot)
{
  aTables.vote = aBallot;
  aTables.unsynced = true;
  last_reason reason;
  if (!aTables.storage.saveVote(aBallot, reason)) {
    Stop(aTables, reason);
  }
}

void
AppendEntries(replica_tables& aTables, std::vector<log_entry> aEntries)
{
  if (aEntries.empty()) {
    return;
  }
  last_reason reason;
  if (!aTables.storage.append(aEntries, reason)) {
    Stop(aTables, reason);
    return;
  }
  aTables.unsynced = true;
  bool membersChanged = false;
  for (log_entry& entry : aEntries) {
    membersChanged |= entry.kind == entry_kind::eMembership;
    aTables.entries.push_back(std::move(entry));
  }
  if (membersChanged) {
    RefreshMembers(aTables);
  }
}

log_position
AppendOwn(replica_tables& aTables, log_entry aEntry)
{
  aEntry.index = LastPosition(aTables).index + 1;
  aEntry.term = aTables.vote.term;
  const log_position position{ aEntry.index, aEntry.term };
  std::vector<log_entry> entries;
  entries.push_back(std::move(aEntry));
  AppendEntries(aTables, std::move(entries));
  return position;
}

void
TruncateFrom(replica_tables& aTables, log_index aIndex)
{
  last_reason reason;
  if (!aTables.storage.truncate(aIndex, reason)) {
    Stop(aTables, reason);
    return;
  }
  aTables.unsynced = true;
  aTables.entries.resize(aIndex - aTables.base.index - 1);
  if (aTables.membersIndex >= aIndex) {
    RefreshMembers(aTables);
  }
}

std::pair<membership, log_index>
MembersAt(const replica_tables& aTables, log_index aIndex)
{
  const log_index first = aTables.base.index + 1;
  log_index index = std::min(aIndex, LastPosition(aTables).index);
  for (; index >= first && index > aTables.snapshot.at.index; --index) {
    const log_entry& entry = EntryAt(aTables, index);
    if (entry.kind == entry_kind::eMembership) {
      return { entry.members, index };
    }
  }
  return { aTables.snapshot.members, aTables.snapshot.at.index };
}

// A list of members is in force as soon as it is in the log. That is what
// makes changes by one member safe: quorums of neighbouring lists overlap.
void
RefreshMembers(replica_tables& aTables)
{
  auto [members, index] = MembersAt(aTables, LastPosition(aTables).index);
  aTables.members = std::move(members);
  aTables.membersIndex = index;
  aTables.peers.EraseIf([&](const peer_row& aPeer) {
    return FindMember(aTables.members, aPeer.id) == nullptr;
  });
  for (const log_member& member : aTables.members) {
    if (member.id != aTables.self && !aTables.peers.Find(member.id)) {
      peer_row peer;
      peer.id = member.id;
      peer.next = LastPosition(aTables).index + 1;
      aTables.peers.Insert(peer);
    }
  }
}

} // namespace bulrush
