#include "replication/replica_steps.hpp"

#include <algorithm>

namespace bulrush {
namespace {

std::string
IdText(replica_id aId)
{
  return std::to_string(aId.value);
}

// Allows one change at a time, and only after the leader has committed an entry
// of its own term: before that, a change of an earlier leader may be in
// progress, and quorums of lists that differ by two members need not overlap.
std::optional<stored>
CheckChangeAllowed(const replica_tables& aTables, last_reason& aReason)
{
  const char* const step = "change members";
  if (aTables.role != replica_role::eLeader || aTables.fatal) {
    return Fail(aReason, step, aTables.settings.name, "not the leader");
  }
  if (aTables.commit < aTables.termStart) {
    return Fail(
      aReason, step, aTables.settings.name, "the term has no commit yet");
  }
  if (aTables.membersIndex > aTables.commit) {
    return Fail(
      aReason, step, aTables.settings.name, "another change is under way");
  }
  return stored{};
}

bool
IsReachable(const replica_tables& aTables, replica_id aId, steady_time aNow)
{
  if (aId == aTables.self) {
    return true;
  }
  const peer_row* peer = aTables.peers.Find(aId);
  return peer != nullptr && peer->lastAnsweredSendTime != steady_time::min() &&
         aNow - peer->lastAnsweredSendTime <= aTables.settings.electionTimeout;
}

// Without a reachable quorum of the new list, the log could never commit again.
std::optional<stored>
CheckQuorumAnswers(const replica_tables& aTables,
                   const membership& aMembers,
                   steady_time aNow,
                   last_reason& aReason)
{
  std::size_t reachable = 0;
  for (const log_member& member : aMembers) {
    if (member.kind == member_kind::eVoter) {
      reachable += IsReachable(aTables, member.id, aNow) ? 1 : 0;
    }
  }
  if (reachable < QuorumOf(aMembers)) {
    return Fail(aReason,
                "change members",
                aTables.settings.name,
                "the new voters would have no quorum that answers");
  }
  return stored{};
}

std::optional<log_position>
AppendMembers(replica_tables& aTables,
              membership aMembers,
              last_reason& aReason)
{
  std::sort(aMembers.begin(),
            aMembers.end(),
            [](const log_member& aLeft, const log_member& aRight) {
              return aLeft.id.value < aRight.id.value;
            });
  log_entry entry;
  entry.kind = entry_kind::eMembership;
  entry.members = std::move(aMembers);
  const log_position position = AppendOwn(aTables, std::move(entry));
  if (aTables.fatal) {
    aReason = *aTables.fatal;
    return std::nullopt;
  }
  return position;
}

// A learner with every committed entry can become a voter without a risk to
// committed entries.
bool
HasCaughtUp(const replica_tables& aTables, replica_id aId, steady_time aNow)
{
  const peer_row* peer = aTables.peers.Find(aId);
  return peer != nullptr && peer->match >= aTables.commit &&
         IsReachable(aTables, aId, aNow);
}

void
NextReplacementStep(replica_tables& aTables, steady_time aNow)
{
  const log_member& newMember = aTables.replacement->newMember;
  const replica_id oldId = aTables.replacement->oldId;
  last_reason reason;
  const log_member* current = FindMember(aTables.members, newMember.id);
  if (current == nullptr) {
    log_member learner = newMember;
    learner.kind = member_kind::eLearner;
    ChangeMember(aTables, learner, aNow, reason);
  } else if (current->kind == member_kind::eLearner) {
    log_member voter = newMember;
    voter.kind = member_kind::eVoter;
    ChangeMember(aTables, voter, aNow, reason);
  } else if (oldId == aTables.self) {
    HandOver(aTables, aNow, reason);
  } else if (FindMember(aTables.members, oldId) != nullptr) {
    RemoveMember(aTables, oldId, aNow, reason);
  } else {
    aTables.replacement.reset();
  }
}

} // namespace

const log_member*
FindMember(const membership& aMembers, replica_id aId)
{
  for (const log_member& member : aMembers) {
    if (member.id == aId) {
      return &member;
    }
  }
  return nullptr;
}

bool
IsVoter(const replica_tables& aTables, replica_id aId)
{
  const log_member* member = FindMember(aTables.members, aId);
  return member != nullptr && member->kind == member_kind::eVoter;
}

std::size_t
VoterCount(const membership& aMembers)
{
  return static_cast<std::size_t>(std::count_if(
    aMembers.begin(), aMembers.end(), [](const log_member& aMember) {
      return aMember.kind == member_kind::eVoter;
    }));
}

std::size_t
QuorumOf(const membership& aMembers)
{
  return VoterCount(aMembers) / 2 + 1;
}

bool
IsEmpty(const replica_tables& aTables)
{
  return aTables.members.empty() && LastPosition(aTables).index == 0;
}

std::optional<log_position>
BootstrapLog(replica_tables& aTables, membership aMembers, last_reason& aReason)
{
  const char* const step = "found log";
  if (!IsEmpty(aTables) || aTables.vote.term != 0) {
    return Fail(aReason, step, aTables.settings.name, "the log is not empty");
  }
  if (!FindMember(aMembers, aTables.self)) {
    return Fail(aReason, step, aTables.settings.name, "is not a member itself");
  }
  SaveBallot(aTables, { 1, {} });
  return AppendMembers(aTables, std::move(aMembers), aReason);
}

std::optional<log_position>
ChangeMember(replica_tables& aTables,
             log_member aMember,
             steady_time aNow,
             last_reason& aReason)
{
  const char* const step = "change members";
  if (!CheckChangeAllowed(aTables, aReason)) {
    return std::nullopt;
  }
  const log_member* current = FindMember(aTables.members, aMember.id);
  if (aMember.kind == member_kind::eLearner && current != nullptr) {
    return Fail(aReason, step, IdText(aMember.id), "is a member already");
  }
  if (aMember.kind == member_kind::eVoter &&
      (current == nullptr || current->kind != member_kind::eLearner)) {
    return Fail(aReason, step, IdText(aMember.id), "is not a learner");
  }
  if (aMember.kind == member_kind::eVoter &&
      !HasCaughtUp(aTables, aMember.id, aNow)) {
    return Fail(aReason, step, IdText(aMember.id), "has not caught up");
  }
  membership members = aTables.members;
  std::erase_if(
    members, [&](const log_member& aOther) { return aOther.id == aMember.id; });
  members.push_back(std::move(aMember));
  if (!CheckQuorumAnswers(aTables, members, aNow, aReason)) {
    return std::nullopt;
  }
  return AppendMembers(aTables, std::move(members), aReason);
}

std::optional<log_position>
RemoveMember(replica_tables& aTables,
             replica_id aMember,
             steady_time aNow,
             last_reason& aReason)
{
  const char* const step = "remove member";
  if (!CheckChangeAllowed(aTables, aReason)) {
    return std::nullopt;
  }
  if (!FindMember(aTables.members, aMember)) {
    return Fail(aReason, step, IdText(aMember), "is not a member");
  }
  if (aMember == aTables.self) {
    return Fail(
      aReason, step, IdText(aMember), "leads; hand leadership over first");
  }
  membership members = aTables.members;
  std::erase_if(members,
                [&](const log_member& aOther) { return aOther.id == aMember; });
  if (!CheckQuorumAnswers(aTables, members, aNow, aReason)) {
    return std::nullopt;
  }
  return AppendMembers(aTables, std::move(members), aReason);
}

std::optional<stored>
ReplaceMember(replica_tables& aTables,
              replica_id aOld,
              log_member aNewMember,
              last_reason& aReason)
{
  if (aTables.role != replica_role::eLeader || aTables.fatal) {
    return Fail(
      aReason, "replace member", aTables.settings.name, "not the leader");
  }
  if (aOld == aNewMember.id || !aNewMember.id) {
    return Fail(aReason,
                "replace member",
                IdText(aNewMember.id),
                "the newcomer needs an id of its own");
  }
  aTables.replacement = member_replacement{ aOld, std::move(aNewMember) };
  return stored{};
}

void
CancelReplacement(replica_tables& aTables)
{
  aTables.replacement.reset();
}

// The new member becomes a voter before the old one is removed, so that the
// number of voters never decreases.
void
RunReplacement(replica_tables& aTables,
               steady_time aNow,
               replica_outbox& /*aOutbox*/)
{
  if (aTables.role != replica_role::eLeader || !aTables.replacement ||
      aTables.handOver) {
    return;
  }
  last_reason reason;
  if (CheckChangeAllowed(aTables, reason)) {
    NextReplacementStep(aTables, aNow);
  }
}

std::optional<replica_id>
HandOver(replica_tables& aTables, steady_time aNow, last_reason& aReason)
{
  const char* const step = "hand over";
  if (aTables.role != replica_role::eLeader || aTables.fatal) {
    return Fail(aReason, step, aTables.settings.name, "not the leader");
  }
  if (aTables.handOver) {
    return aTables.handOver->target;
  }
  const peer_row* best = nullptr;
  for (const peer_row& peer : aTables.peers) {
    if (IsVoter(aTables, peer.id) && IsReachable(aTables, peer.id, aNow) &&
        (best == nullptr || peer.match > best->match)) {
      best = &peer;
    }
  }
  if (best == nullptr) {
    return Fail(aReason, step, aTables.settings.name, "no other voter answers");
  }
  aTables.handOver = leadership_hand_over{
    best->id, aNow + aTables.settings.electionTimeout, false
  };
  return best->id;
}

// Once time_out_now was sent, the target may win an election at any later time.
// This leader can't rely on its lease in this term any more, so it steps down
// at the deadline.
void
RunHandOver(replica_tables& aTables,
            steady_time aNow,
            replica_outbox& /*aOutbox*/)
{
  if (aTables.role != replica_role::eLeader || !aTables.handOver) {
    return;
  }
  leadership_hand_over& handOver = *aTables.handOver;
  if (aNow >= handOver.deadline) {
    if (handOver.isTimeOutNowSent) {
      StepDown(aTables, aNow);
    } else {
      aTables.handOver.reset();
    }
    return;
  }
  const peer_row* target = aTables.peers.Find(handOver.target);
  if (!handOver.isTimeOutNowSent && target != nullptr &&
      target->match == LastPosition(aTables).index) {
    handOver.isTimeOutNowSent = true;
    time_out_now message;
    message.header = HeaderTo(aTables, target->id);
    aTables.unsentMessages.emplace_back(std::move(message));
  }
}

} // namespace bulrush
