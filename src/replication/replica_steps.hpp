#ifndef BULRUSH_REPLICATION_REPLICA_STEPS_HPP
#define BULRUSH_REPLICATION_REPLICA_STEPS_HPP

/// Private header: functions shared by the sources of the replica.

#include "replication/replication.hpp"

namespace bulrush {

inline constexpr std::size_t kMaxInboxMessages = 4096;
inline constexpr std::uint32_t kMaxInFlightRequests = 8;

// log.cpp
log_position LastPosition(const replica_tables& aTables);
bool HoldsPosition(const replica_tables& aTables, log_position aPosition);
/// Term of the entry at aIndex, which must lie in [base, last].
log_term TermAt(const replica_tables& aTables, log_index aIndex);
const log_entry& EntryAt(const replica_tables& aTables, log_index aIndex);
void AppendEntries(replica_tables& aTables, std::vector<log_entry> aEntries);
log_position AppendOwn(replica_tables& aTables, log_entry aEntry);
void TruncateFrom(replica_tables& aTables, log_index aIndex);
/// The list of members in effect at aIndex, and the index of its entry.
std::pair<membership, log_index> MembersAt(const replica_tables& aTables,
                                           log_index aIndex);
void RefreshMembers(replica_tables& aTables);
void SaveBallot(replica_tables& aTables, ballot aBallot);
void Stop(replica_tables& aTables, last_reason aReason);

// membership.cpp
const log_member* FindMember(const membership& aMembers, replica_id aId);
bool IsVoter(const replica_tables& aTables, replica_id aId);
std::size_t VoterCount(const membership& aMembers);
std::size_t QuorumOf(const membership& aMembers);
void RunReplacement(replica_tables& aTables,
                    steady_time aNow,
                    replica_outbox& aOutbox);
void RunHandOver(replica_tables& aTables,
                 steady_time aNow,
                 replica_outbox& aOutbox);

// election.cpp
message_header HeaderTo(const replica_tables& aTables, replica_id aTo);
void StepDown(replica_tables& aTables, steady_time aNow);
void AdoptTerm(replica_tables& aTables, log_term aTerm, steady_time aNow);
void FollowLeader(replica_tables& aTables,
                  replica_id aLeader,
                  steady_time aNow);
void ResetElectionDeadline(replica_tables& aTables, steady_time aNow);
void HandleVoteRequest(replica_tables& aTables,
                       const vote_request& aRequest,
                       steady_time aNow);
void HandleVoteReply(replica_tables& aTables,
                     const vote_reply& aReply,
                     steady_time aNow);
void HandleTimeOutNow(replica_tables& aTables,
                      const time_out_now& aMessage,
                      steady_time aNow);
void RunElection(replica_tables& aTables,
                 steady_time aNow,
                 replica_outbox& aOutbox);
void RunCheckQuorum(replica_tables& aTables,
                    steady_time aNow,
                    replica_outbox& aOutbox);
/// The latest time for which a quorum of voters has answered a request sent
/// then or later; the leader itself counts as answering now.
steady_time QuorumAnsweredSendTime(const replica_tables& aTables,
                                   steady_time aNow);

// append.cpp
void RecordAnswer(peer_row& aPeer, steady_time aSentAt, steady_time aNow);
void HandleAppendRequest(replica_tables& aTables,
                         append_request aRequest,
                         steady_time aNow);
void HandleAppendReply(replica_tables& aTables,
                       const append_reply& aReply,
                       steady_time aNow);
void RunSendEntries(replica_tables& aTables,
                    steady_time aNow,
                    replica_outbox& aOutbox);

// confirmation.cpp
/// The number of the question that a reply to the leader carries.
std::uint64_t AskForConfirmation(replica_tables& aTables, steady_time aNow);
void HandleQuestion(peer_row& aPeer, std::uint64_t aQuestion, steady_time aNow);
void AnswerQuestion(const replica_tables& aTables,
                    const peer_row& aPeer,
                    steady_time aNow,
                    append_request& aRequest);
void HandleConfirmation(replica_tables& aTables,
                        const append_request& aRequest);
void RunConfirmation(replica_tables& aTables,
                     steady_time aNow,
                     replica_outbox& aOutbox);

// snapshot.cpp
void HandleSnapshotChunk(replica_tables& aTables,
                         const snapshot_chunk& aChunk,
                         steady_time aNow);
void HandleSnapshotReply(replica_tables& aTables,
                         const snapshot_reply& aReply,
                         steady_time aNow);
void StartSnapshot(replica_tables& aTables, peer_row& aPeer);
void SendChunk(replica_tables& aTables, peer_row& aPeer, steady_time aNow);
void RunSnapshotDue(replica_tables& aTables,
                    steady_time aNow,
                    replica_outbox& aOutbox);

// commit.cpp
void SetCommit(replica_tables& aTables, log_index aIndex);
void RunSync(replica_tables& aTables,
             steady_time aNow,
             replica_outbox& aOutbox);
void RunCommit(replica_tables& aTables,
               steady_time aNow,
               replica_outbox& aOutbox);
void RunRelease(replica_tables& aTables,
                steady_time aNow,
                replica_outbox& aOutbox);

} // namespace bulrush

#endif
