#include "replication/replica_steps.hpp"

#include <algorithm>

namespace bulrush {
namespace {

/// A state that is large itself is written less often.
constexpr std::size_t kMinBytesPerStateByte = 4;

bool
IsSameTransfer(const incoming_snapshot& aIncoming, const snapshot_chunk& aChunk)
{
  return aIncoming.from == aChunk.header.from &&
         aIncoming.term == aChunk.header.term && aIncoming.at == aChunk.at;
}

void
Install(replica_tables& aTables, log_snapshot aSnapshot)
{
  last_reason reason;
  const log_position at = aSnapshot.at;
  if (!aTables.storage.saveSnapshot(aSnapshot, at.index, reason)) {
    Stop(aTables, reason);
    return;
  }
  aTables.entries.clear();
  aTables.base = at;
  aTables.commit = at.index;
  aTables.released = at.index;
  aTables.releasedBytes = 0;
  aTables.lastSynced = at.index;
  aTables.snapshot = aSnapshot;
  aTables.pendingInstall = std::move(aSnapshot);
  RefreshMembers(aTables);
}

// Appends the next chunk in order. True once the log contains the snapshot's
// position; installs nothing if it already does.
bool
ReceiveChunk(replica_tables& aTables, const snapshot_chunk& aChunk)
{
  if (aChunk.at.index <= aTables.commit) {
    return true;
  }
  if (HoldsPosition(aTables, aChunk.at)) {
    SetCommit(aTables, aChunk.at.index);
    return true;
  }
  incoming_snapshot& incoming = aTables.incoming;
  if (!IsSameTransfer(incoming, aChunk)) {
    incoming = { aChunk.header.from, aChunk.header.term, aChunk.at, {} };
  }
  if (aChunk.totalBytes > aTables.settings.maxSnapshotBytes ||
      aChunk.offset != incoming.bytes.size() ||
      aChunk.offset + aChunk.bytes.size() > aChunk.totalBytes) {
    return false;
  }
  incoming.bytes += aChunk.bytes;
  if (incoming.bytes.size() < aChunk.totalBytes) {
    return false;
  }
  log_snapshot snapshot{ aChunk.at, aChunk.members, std::move(incoming.bytes) };
  incoming = {};
  if (StableHash(snapshot.state) != aChunk.checksum) {
    return false;
  }
  Install(aTables, std::move(snapshot));
  return !aTables.fatal;
}

// Those that followers may still lack. Large ones would use up the memory, and
// the snapshot takes their place.
log_index
FirstKept(const replica_tables& aTables, log_index aSnapshot)
{
  const log_index oldest =
    std::max(aTables.base.index,
             aSnapshot - std::min(aSnapshot, aTables.settings.keptEntries));
  std::size_t bytes = 0;
  log_index base = aSnapshot;
  while (base > oldest) {
    bytes += EntryAt(aTables, base).payload.size();
    if (bytes > aTables.settings.snapshotAfterBytes) {
      break;
    }
    --base;
  }
  return base;
}

} // namespace

void
HandleSnapshotChunk(replica_tables& aTables,
                    const snapshot_chunk& aChunk,
                    steady_time aNow)
{
  snapshot_reply reply;
  reply.sentAt = aChunk.sentAt;
  reply.index = aChunk.at.index;
  if (aChunk.header.term == aTables.vote.term) {
    FollowLeader(aTables, aChunk.header.from, aNow);
    // Zero: of an earlier release.
    aTables.leaderCommit =
      std::max({ aTables.leaderCommit, aChunk.at.index, aChunk.commit });
    reply.installed = ReceiveChunk(aTables, aChunk);
    reply.nextOffset = aTables.incoming.bytes.size();
  }
  reply.header = HeaderTo(aTables, aChunk.header.from);
  aTables.unsentMessages.emplace_back(std::move(reply));
}

void
HandleSnapshotReply(replica_tables& aTables,
                    const snapshot_reply& aReply,
                    steady_time aNow)
{
  peer_row* peer = aTables.peers.Find(aReply.header.from);
  if (aTables.role != replica_role::eLeader || peer == nullptr ||
      aReply.header.term != aTables.vote.term) {
    return;
  }
  RecordAnswer(*peer, aReply.sentAt, aNow);
  if (peer->state != peer_state::eSnapshot ||
      aReply.index != peer->snapshotIndex) {
    return;
  }
  peer->awaitsReply = false;
  if (aReply.installed) {
    peer->match = std::max(peer->match, aReply.index);
    peer->next = peer->match + 1;
    peer->inFlight = 0;
    peer->state = peer_state::eProbe;
    return;
  }
  peer->snapshotOffset =
    std::min<std::uint64_t>(aReply.nextOffset, aTables.snapshot.state.size());
}

void
StartSnapshot(replica_tables& aTables, peer_row& aPeer)
{
  aPeer.state = peer_state::eSnapshot;
  aPeer.snapshotIndex = aTables.snapshot.at.index;
  aPeer.snapshotOffset = 0;
  aPeer.awaitsReply = false;
}

// Only one chunk is in flight: the follower's answer contains the next offset,
// so a lost or duplicated chunk costs only a heartbeat interval. Restarts the
// transfer if the snapshot was replaced meanwhile.
void
SendChunk(replica_tables& aTables, peer_row& aPeer, steady_time aNow)
{
  const log_snapshot& snapshot = aTables.snapshot;
  if (aPeer.snapshotIndex != snapshot.at.index) {
    StartSnapshot(aTables, aPeer);
  }
  snapshot_chunk chunk;
  chunk.header = HeaderTo(aTables, aPeer.id);
  chunk.at = snapshot.at;
  chunk.members = snapshot.members;
  chunk.totalBytes = snapshot.state.size();
  chunk.checksum = StableHash(snapshot.state);
  chunk.offset = aPeer.snapshotOffset;
  chunk.bytes =
    snapshot.state.substr(chunk.offset, aTables.settings.maxBatchBytes);
  chunk.sentAt = aNow;
  chunk.commit = aTables.commit;
  aPeer.awaitsReply = true;
  aPeer.lastSent = aNow;
  aTables.unsentMessages.emplace_back(std::move(chunk));
}

std::optional<stored>
SaveSnapshot(replica_tables& aTables, std::string aState, last_reason& aReason)
{
  const log_index index = aTables.released;
  if (aTables.fatal || index <= aTables.snapshot.at.index) {
    return Fail(aReason,
                "save snapshot",
                aTables.settings.name,
                "no entry was applied since the last one");
  }
  log_snapshot snapshot;
  snapshot.at = { index, TermAt(aTables, index) };
  snapshot.members = MembersAt(aTables, index).first;
  snapshot.state = std::move(aState);
  const log_index base = FirstKept(aTables, index);
  if (!aTables.storage.saveSnapshot(snapshot, base, aReason)) {
    Stop(aTables, aReason);
    return std::nullopt;
  }
  const log_position newBase{ base, TermAt(aTables, base) };
  aTables.entries.erase(aTables.entries.begin(),
                        aTables.entries.begin() + static_cast<std::ptrdiff_t>(
                                                    base - aTables.base.index));
  aTables.base = newBase;
  aTables.snapshot = std::move(snapshot);
  aTables.releasedBytes = 0;
  return stored{};
}

bool
IsSnapshotDue(const replica_tables& aTables)
{
  const replica_settings& settings = aTables.settings;
  const std::size_t stateBytes = aTables.snapshot.state.size();
  return aTables.released >=
           aTables.snapshot.at.index + settings.snapshotAfterEntries ||
         aTables.releasedBytes >= std::max(settings.snapshotAfterBytes,
                                           kMinBytesPerStateByte * stateBytes);
}

void
RunSnapshotDue(replica_tables& aTables,
               steady_time /*aNow*/,
               replica_outbox& aOutbox)
{
  aOutbox.snapshotDue = IsSnapshotDue(aTables);
}

} // namespace bulrush
