#include "replication/replica_steps.hpp"

#include <algorithm>

namespace bulrush {
namespace {

bool
IsUpToDate(const replica_tables& aTables, log_position aCandidate)
{
  const log_position last = LastPosition(aTables);
  if (aCandidate.term != last.term) {
    return aCandidate.term > last.term;
  }
  return aCandidate.index >= last.index;
}

// A replica that received a message from its leader within the election timeout
// grants no vote. This prevents a returning or removed replica from disrupting
// a working leader, and the leader's read lease depends on it. A start counts
// as such a message, since the time of the last one is lost in a restart.
bool
HasActiveLeader(const replica_tables& aTables, steady_time aNow)
{
  if (aTables.role == replica_role::eLeader) {
    return true;
  }
  return aNow < aTables.leaderLastSeen + aTables.settings.electionTimeout;
}

// The leader of the latest term known here, that asks for a later one: it has
// started again or stepped down. A leader of a term in between would have the
// answers of a quorum, of which each has recorded it (FollowLeader) and refuses
// others.
bool
IsFormerLeader(const replica_tables& aTables, const vote_request& aRequest)
{
  return aTables.role != replica_role::eLeader &&
         aTables.vote.votedFor == aRequest.header.from &&
         aTables.vote.term < aRequest.header.term;
}

void
SendVoteRequests(replica_tables& aTables, bool aPreVote, bool aHandOver)
{
  for (const log_member& member : aTables.members) {
    if (member.id == aTables.self || member.kind != member_kind::eVoter) {
      continue;
    }
    vote_request request;
    request.header = HeaderTo(aTables, member.id);
    request.header.term += aPreVote ? 1 : 0;
    request.preVote = aPreVote;
    request.handOver = aHandOver;
    request.last = LastPosition(aTables);
    aTables.unsentMessages.emplace_back(std::move(request));
  }
}

bool
HasWon(const replica_tables& aTables)
{
  std::size_t granted = 0;
  for (const vote_row& vote : aTables.votes) {
    granted += IsVoter(aTables, vote.id) ? 1 : 0;
  }
  return granted >= QuorumOf(aTables.members);
}

// Resets the state of all peers. The leader's first entry commits the entries
// of earlier terms, which RunCommit does not count by themselves.
void
BecomeLeader(replica_tables& aTables, steady_time aNow)
{
  aTables.role = replica_role::eLeader;
  aTables.leader = aTables.self;
  aTables.leaderSince = aNow;
  aTables.handOver.reset();
  aTables.replacement.reset();
  const log_index next = LastPosition(aTables).index + 1;
  for (peer_row& peer : aTables.peers) {
    const replica_id id = peer.id;
    peer = peer_row{};
    peer.id = id;
    peer.next = next;
  }
  aTables.termStart = AppendOwn(aTables, log_entry{}).index;
}

void
BecomeCandidate(replica_tables& aTables, steady_time aNow, bool aHandOver)
{
  aTables.role = replica_role::eCandidate;
  aTables.leader = {};
  aTables.votes.Clear();
  aTables.votes.Insert({ aTables.self });
  SaveBallot(aTables, { aTables.vote.term + 1, aTables.self });
  ResetElectionDeadline(aTables, aNow);
  if (HasWon(aTables)) {
    BecomeLeader(aTables, aNow);
    return;
  }
  SendVoteRequests(aTables, false, aHandOver);
}

// Checks that an election could be won before incrementing the term. Otherwise
// a replica that was partitioned would return with a higher term and depose the
// leader.
void
BecomePreCandidate(replica_tables& aTables, steady_time aNow)
{
  aTables.role = replica_role::ePreCandidate;
  aTables.leader = {};
  aTables.votes.Clear();
  aTables.votes.Insert({ aTables.self });
  ResetElectionDeadline(aTables, aNow);
  if (HasWon(aTables)) {
    BecomeCandidate(aTables, aNow, false);
    return;
  }
  SendVoteRequests(aTables, true, false);
}

} // namespace

message_header
HeaderTo(const replica_tables& aTables, replica_id aTo)
{
  return { aTables.settings.log, aTables.self, aTo, aTables.vote.term };
}

// Random timeouts prevent repeated split votes. A former leader that has just
// started asks again with each heartbeat, until its links are up.
void
ResetElectionDeadline(replica_tables& aTables, steady_time aNow)
{
  if (aNow < aTables.formerLeaderUntil) {
    aTables.electionDeadline = aNow + aTables.settings.heartbeat;
    return;
  }
  const auto timeout = aTables.settings.electionTimeout;
  std::uniform_int_distribution<std::int64_t> spread(0, timeout.count());
  aTables.electionDeadline =
    aNow + timeout + std::chrono::milliseconds(spread(aTables.random));
}

void
StepDown(replica_tables& aTables, steady_time aNow)
{
  aTables.role = replica_role::eFollower;
  aTables.leader = {};
  aTables.handOver.reset();
  aTables.replacement.reset();
  aTables.votes.Clear();
  ResetElectionDeadline(aTables, aNow);
}

void
AdoptTerm(replica_tables& aTables, log_term aTerm, steady_time aNow)
{
  const bool wasLeaderOrCandidate = aTables.role != replica_role::eFollower;
  SaveBallot(aTables, { aTerm, {} });
  aTables.leader = {};
  if (wasLeaderOrCandidate) {
    StepDown(aTables, aNow);
  }
}

void
FollowLeader(replica_tables& aTables, replica_id aLeader, steady_time aNow)
{
  if (aTables.role != replica_role::eFollower) {
    StepDown(aTables, aNow);
  }
  // After a restart it is known again, and no other gets a vote early.
  if (aTables.vote.votedFor != aLeader) {
    SaveBallot(aTables, { aTables.vote.term, aLeader });
  }
  aTables.leader = aLeader;
  aTables.leaderLastSeen = aNow;
  aTables.formerLeaderUntil = steady_time::min();
  ResetElectionDeadline(aTables, aNow);
}

void
HandleVoteRequest(replica_tables& aTables,
                  const vote_request& aRequest,
                  steady_time aNow)
{
  if (!aRequest.handOver && HasActiveLeader(aTables, aNow) &&
      !IsFormerLeader(aTables, aRequest)) {
    return;
  }
  const log_term requestedTerm = aRequest.header.term;
  if (!aRequest.preVote && requestedTerm > aTables.vote.term) {
    AdoptTerm(aTables, requestedTerm, aNow);
  }
  vote_reply reply;
  reply.preVote = aRequest.preVote;
  if (aRequest.preVote) {
    reply.granted =
      requestedTerm > aTables.vote.term && IsUpToDate(aTables, aRequest.last);
  } else {
    const bool isFree =
      !aTables.vote.votedFor || aTables.vote.votedFor == aRequest.header.from;
    reply.granted = requestedTerm == aTables.vote.term && isFree &&
                    IsUpToDate(aTables, aRequest.last);
  }
  if (reply.granted && !aRequest.preVote) {
    SaveBallot(aTables, { requestedTerm, aRequest.header.from });
    ResetElectionDeadline(aTables, aNow);
  }
  reply.header = HeaderTo(aTables, aRequest.header.from);
  if (reply.granted) {
    reply.header.term = requestedTerm;
  }
  aTables.unsentMessages.emplace_back(std::move(reply));
}

void
HandleVoteReply(replica_tables& aTables,
                const vote_reply& aReply,
                steady_time aNow)
{
  const log_term term = aReply.header.term;
  if (!aReply.granted) {
    if (term > aTables.vote.term) {
      AdoptTerm(aTables, term, aNow);
    }
    return;
  }
  const auto expected =
    aReply.preVote ? replica_role::ePreCandidate : replica_role::eCandidate;
  const log_term requestedTerm = aTables.vote.term + (aReply.preVote ? 1 : 0);
  if (aTables.role != expected || term != requestedTerm) {
    return;
  }
  aTables.votes.Insert({ aReply.header.from });
  if (!HasWon(aTables)) {
    return;
  }
  if (aReply.preVote) {
    BecomeCandidate(aTables, aNow, false);
  } else {
    BecomeLeader(aTables, aNow);
  }
}

void
HandleTimeOutNow(replica_tables& aTables,
                 const time_out_now& aMessage,
                 steady_time aNow)
{
  if (aMessage.header.term != aTables.vote.term ||
      aTables.role == replica_role::eLeader ||
      !IsVoter(aTables, aTables.self)) {
    return;
  }
  BecomeCandidate(aTables, aNow, true);
}

// Only voters start elections. A replica with a new identity becomes a voter
// when the leader adds it, after it has caught up.
void
RunElection(replica_tables& aTables,
            steady_time aNow,
            replica_outbox& /*aOutbox*/)
{
  if (aTables.role == replica_role::eLeader ||
      aNow < aTables.electionDeadline) {
    return;
  }
  if (!IsVoter(aTables, aTables.self)) {
    aTables.leader = {};
    ResetElectionDeadline(aTables, aNow);
    return;
  }
  BecomePreCandidate(aTables, aNow);
}

steady_time
QuorumAnsweredSendTime(const replica_tables& aTables, steady_time aNow)
{
  std::vector<steady_time> times;
  for (const log_member& member : aTables.members) {
    if (member.kind != member_kind::eVoter) {
      continue;
    }
    if (member.id == aTables.self) {
      times.push_back(aNow);
    } else {
      times.push_back(aTables.peers.Find(member.id)->lastAnsweredSendTime);
    }
  }
  const std::size_t quorum = QuorumOf(aTables.members);
  if (times.size() < quorum) {
    return steady_time::min();
  }
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[quorum - 1];
}

// A leader without a quorum cannot commit. It steps down, so that clients try
// another replica.
void
RunCheckQuorum(replica_tables& aTables,
               steady_time aNow,
               replica_outbox& /*aOutbox*/)
{
  if (aTables.role != replica_role::eLeader) {
    return;
  }
  const steady_time lastAnswered =
    std::max(QuorumAnsweredSendTime(aTables, aNow), aTables.leaderSince);
  if (aNow - lastAnswered >= aTables.settings.electionTimeout) {
    StepDown(aTables, aNow);
  }
}

} // namespace bulrush
