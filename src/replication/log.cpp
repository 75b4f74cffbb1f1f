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

// Log matching: two logs with the same index and term at a position are equal
// up to it, so one comparison is enough.
bool
HoldsPosition(const replica_tables& aTables, log_position aPosition)
{
  if (aPosition.index < aTables.base.index ||
      aPosition.index > LastPosition(aTables).index) {
    return false;
  }
  return TermAt(aTables, aPosition.index) == aPosition.term;
}

// After a failed write or sync, the content of the disk is unknown, so the
// replica stops permanently. Retrying is not safe: a second fsync may report
// success for pages that the kernel has already discarded.
void
Stop(replica_tables& aTables, last_reason aReason)
{
  if (!aTables.fatal) {
    aTables.fatal = std::move(aReason);
  }
  aTables.role = replica_role::eFollower;
  aTables.unsentMessages.clear();
}

void
SaveBallot(replica_tables& aTables, ballot aBallot)
{
  aTables.vote = aBallot;
  aTables.hasUnsyncedWrites = true;
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
  aTables.hasUnsyncedWrites = true;
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
  aTables.hasUnsyncedWrites = true;
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

// A list of members takes effect as soon as it is in the log, committed or not.
// That makes changes by one member safe: quorums of consecutive lists overlap.
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
