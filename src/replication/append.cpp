#include "replication/replica_steps.hpp"

#include <algorithm>

namespace bulrush {
namespace {

append_reply
ReplyTo(replica_tables& aTables,
        const append_request& aRequest,
        steady_time aNow)
{
  append_reply reply;
  reply.header = HeaderTo(aTables, aRequest.header.from);
  reply.previous = aRequest.previous.index;
  reply.sentAt = aRequest.sentAt;
  reply.question = AskForConfirmation(aTables, aNow);
  return reply;
}

// Checks that the entries follow the previous position without a gap. Requests
// come from the network, so a malformed one is refused.
bool
IsWellFormed(const append_request& aRequest)
{
  log_position at = aRequest.previous;
  for (const log_entry& entry : aRequest.entries) {
    if (entry.index != at.index + 1 || entry.term < at.term ||
        entry.term > aRequest.header.term) {
      return false;
    }
    at = { entry.index, entry.term };
  }
  return true;
}

// Skips a whole term for each refusal, so that the leader needs one round trip
// for each conflicting term rather than for each conflicting entry.
log_index
ConflictHint(const replica_tables& aTables, log_index aPrevious)
{
  const log_index last = LastPosition(aTables).index;
  if (aPrevious > last) {
    return last;
  }
  const log_term term = TermAt(aTables, aPrevious);
  log_index index = aPrevious;
  while (index > aTables.commit && TermAt(aTables, index) == term) {
    --index;
  }
  return index;
}

// Duplicated and reordered requests may contain entries that the log already
// has. Truncates only at an entry with another term: truncating for an old
// request would remove acknowledged entries.
void
MergeEntries(replica_tables& aTables, std::vector<log_entry> aEntries)
{
  std::size_t known = 0;
  const log_index last = LastPosition(aTables).index;
  while (known < aEntries.size() && aEntries[known].index <= last &&
         TermAt(aTables, aEntries[known].index) == aEntries[known].term) {
    ++known;
  }
  if (known == aEntries.size()) {
    return;
  }
  const log_index first = aEntries[known].index;
  if (first <= aTables.commit) {
    Stop(aTables,
         { "append entries",
           aTables.settings.name,
           "the leader contradicts a committed entry" });
    return;
  }
  if (first <= last) {
    TruncateFrom(aTables, first);
  }
  aEntries.erase(aEntries.begin(),
                 aEntries.begin() + static_cast<std::ptrdiff_t>(known));
  AppendEntries(aTables, std::move(aEntries));
}

std::size_t
SizeOf(const log_entry& aEntry)
{
  constexpr std::size_t kEntryOverheadBytes = 32;
  return aEntry.payload.size() + aEntry.members.size() * kEntryOverheadBytes +
         kEntryOverheadBytes;
}

// Batches entries up to maxBatchBytes; a larger entry is sent alone.
std::vector<log_entry>
BatchFrom(const replica_tables& aTables, log_index aFirst)
{
  std::vector<log_entry> batch;
  std::size_t bytes = 0;
  const log_index last = LastPosition(aTables).index;
  for (log_index index = aFirst; index <= last; ++index) {
    const log_entry& entry = EntryAt(aTables, index);
    bytes += SizeOf(entry);
    if (!batch.empty() && bytes > aTables.settings.maxBatchBytes) {
      break;
    }
    batch.push_back(entry);
  }
  return batch;
}

void
SendAppend(replica_tables& aTables,
           peer_row& aPeer,
           steady_time aNow,
           std::vector<log_entry> aEntries)
{
  append_request request;
  request.header = HeaderTo(aTables, aPeer.id);
  request.previous = { aPeer.next - 1, TermAt(aTables, aPeer.next - 1) };
  request.commit = aTables.commit;
  request.sentAt = aNow;
  AnswerQuestion(aTables, aPeer, aNow, request);
  request.entries = std::move(aEntries);
  aPeer.lastSent = aNow;
  aPeer.sentCommit = aTables.commit;
  ++aPeer.inFlight;
  aTables.unsentMessages.emplace_back(std::move(request));
}

bool
IsSilent(const replica_tables& aTables, const peer_row& aPeer, steady_time aNow)
{
  return aPeer.lastAnsweredSendTime == steady_time::min() ||
         aNow - aPeer.lastAnsweredSendTime > aTables.settings.electionTimeout;
}

// Searches for the last matching position with one request at a time. A silent
// peer gets heartbeats without entries until it answers.
void
SendProbe(replica_tables& aTables,
          peer_row& aPeer,
          steady_time aNow,
          bool aIsDue)
{
  if (aPeer.awaitsReply && !aIsDue) {
    return;
  }
  aPeer.awaitsReply = true;
  aPeer.inFlight = 0;
  SendAppend(aTables,
             aPeer,
             aNow,
             IsSilent(aTables, aPeer, aNow) ? std::vector<log_entry>()
                                            : BatchFrom(aTables, aPeer.next));
}

// Pipelines up to kMaxInFlightRequests. A heartbeat contains the position
// before the next entry, so that the peer detects a lost request and refuses.
void
SendStream(replica_tables& aTables,
           peer_row& aPeer,
           steady_time aNow,
           bool aIsDue)
{
  if (aIsDue) {
    aPeer.inFlight = 0;
  }
  bool sent = false;
  while (aPeer.next <= LastPosition(aTables).index &&
         aPeer.inFlight < kMaxInFlightRequests) {
    std::vector<log_entry> batch = BatchFrom(aTables, aPeer.next);
    const log_index count = batch.size();
    SendAppend(aTables, aPeer, aNow, std::move(batch));
    aPeer.next += count;
    sent = true;
  }
  if (!sent && (aIsDue || aPeer.sentCommit < aTables.commit)) {
    SendAppend(aTables, aPeer, aNow, {});
  }
}

void
SendToPeer(replica_tables& aTables, peer_row& aPeer, steady_time aNow)
{
  const bool isDue = aPeer.lastSent == steady_time::min() ||
                     aNow - aPeer.lastSent >= aTables.settings.heartbeat;
  if (aPeer.state != peer_state::eSnapshot &&
      aPeer.next <= aTables.base.index) {
    StartSnapshot(aTables, aPeer);
  }
  if (aPeer.state == peer_state::eSnapshot) {
    if (isDue || !aPeer.awaitsReply) {
      SendChunk(aTables, aPeer, aNow);
    }
    return;
  }
  if (aPeer.state == peer_state::eStream && IsSilent(aTables, aPeer, aNow)) {
    aPeer.state = peer_state::eProbe;
    aPeer.next = aPeer.match + 1;
    if (aPeer.next <= aTables.base.index) {
      StartSnapshot(aTables, aPeer);
      return;
    }
  }
  if (aPeer.state == peer_state::eProbe) {
    SendProbe(aTables, aPeer, aNow, isDue);
  } else {
    SendStream(aTables, aPeer, aNow, isDue);
  }
}

} // namespace

void
HandleAppendRequest(replica_tables& aTables,
                    append_request aRequest,
                    steady_time aNow)
{
  append_reply reply = ReplyTo(aTables, aRequest, aNow);
  if (aRequest.header.term < aTables.vote.term || !IsWellFormed(aRequest)) {
    reply.hint = LastPosition(aTables).index;
    aTables.unsentMessages.emplace_back(std::move(reply));
    return;
  }
  FollowLeader(aTables, aRequest.header.from, aNow);
  HandleConfirmation(aTables, aRequest);
  aTables.leaderCommit = std::max(aTables.leaderCommit, aRequest.commit);
  const log_index previous = aRequest.previous.index;
  if (previous < aTables.base.index) {
    reply.accepted = true;
    reply.match = aTables.commit;
  } else if (!HoldsPosition(aTables, aRequest.previous)) {
    reply.hint = ConflictHint(aTables, previous);
  } else {
    reply.accepted = true;
    reply.match = previous + aRequest.entries.size();
    MergeEntries(aTables, std::move(aRequest.entries));
    if (aTables.fatal) {
      return; // the log may lack the entries
    }
    SetCommit(aTables, std::min(aRequest.commit, reply.match));
  }
  aTables.unsentMessages.emplace_back(std::move(reply));
}

// Uses the send time of the request, not the arrival of the answer: the peer
// reset its election timeout after the request was sent.
void
RecordAnswer(peer_row& aPeer, steady_time aSentAt, steady_time aNow)
{
  if (aSentAt <= aNow) {
    aPeer.lastAnsweredSendTime = std::max(aPeer.lastAnsweredSendTime, aSentAt);
  }
}

void
HandleAppendReply(replica_tables& aTables,
                  const append_reply& aReply,
                  steady_time aNow)
{
  peer_row* peer = aTables.peers.Find(aReply.header.from);
  if (aTables.role != replica_role::eLeader || peer == nullptr ||
      aReply.header.term != aTables.vote.term) {
    return;
  }
  RecordAnswer(*peer, aReply.sentAt, aNow);
  HandleQuestion(*peer, aReply.question, aNow);
  if (peer->state == peer_state::eSnapshot) {
    return;
  }
  peer->inFlight -= peer->inFlight > 0 ? 1 : 0;
  const log_index last = LastPosition(aTables).index;
  if (aReply.accepted) {
    peer->match = std::max(peer->match, std::min(aReply.match, last));
    peer->next = std::max(peer->next, peer->match + 1);
    peer->state = peer_state::eStream;
    peer->awaitsReply = false;
    return;
  }
  if (aReply.previous <= peer->match || aReply.previous >= peer->next) {
    return; // Answer to an outdated request.
  }
  const log_index tried = std::min(aReply.previous, aReply.hint + 1);
  peer->next = std::max(peer->match + 1, tried);
  peer->state = peer_state::eProbe;
  peer->awaitsReply = false;
}

void
RunSendEntries(replica_tables& aTables,
               steady_time aNow,
               replica_outbox& /*aOutbox*/)
{
  if (aTables.role != replica_role::eLeader) {
    return;
  }
  for (peer_row& peer : aTables.peers) {
    SendToPeer(aTables, peer, aNow);
  }
}

} // namespace bulrush
