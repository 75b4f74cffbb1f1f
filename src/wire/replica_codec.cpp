#include "wire/convert.hpp"
#include "wire/replica.pb.h"

namespace bulrush::wire {
namespace {

std::int64_t
ToNanoseconds(steady_time aTime)
{
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
           aTime.time_since_epoch())
    .count();
}

steady_time
FromNanoseconds(std::int64_t aNanoseconds)
{
  return steady_time(std::chrono::nanoseconds(aNanoseconds));
}

void
PutPosition(const log_position& aFrom, pb::LogPosition& aTo)
{
  aTo.set_index(aFrom.index);
  aTo.set_term(aFrom.term);
}

log_position
GetPosition(const pb::LogPosition& aFrom)
{
  return { aFrom.index(), aFrom.term() };
}

template<class rows>
void
PutMembers(const membership& aFrom, rows& aTo)
{
  for (const log_member& member : aFrom) {
    auto* to = aTo.Add();
    to->set_id(member.id.value);
    to->set_kind(static_cast<std::uint32_t>(member.kind));
    to->set_name(member.name);
  }
}

template<class rows>
std::optional<membership>
GetMembers(const rows& aFrom)
{
  membership members;
  for (const auto& from : aFrom) {
    if (from.kind() < static_cast<std::uint32_t>(member_kind::eLearner) ||
        from.kind() > static_cast<std::uint32_t>(member_kind::eVoter)) {
      return std::nullopt;
    }
    members.push_back({ replica_id{ from.id() },
                        static_cast<member_kind>(from.kind()),
                        from.name() });
  }
  return members;
}

void
PutEntry(const log_entry& aFrom, pb::LogEntry& aTo)
{
  aTo.set_index(aFrom.index);
  aTo.set_term(aFrom.term);
  aTo.set_kind(static_cast<std::uint32_t>(aFrom.kind));
  aTo.set_payload(aFrom.payload);
  PutMembers(aFrom.members, *aTo.mutable_members());
}

std::optional<log_entry>
GetEntry(const pb::LogEntry& aFrom)
{
  auto members = GetMembers(aFrom.members());
  if (!members ||
      aFrom.kind() < static_cast<std::uint32_t>(entry_kind::eNoOp) ||
      aFrom.kind() > static_cast<std::uint32_t>(entry_kind::eMembership)) {
    return std::nullopt;
  }
  return log_entry{ aFrom.index(),
                    aFrom.term(),
                    static_cast<entry_kind>(aFrom.kind()),
                    aFrom.payload(),
                    std::move(*members) };
}

void
PutReplicaBody(const vote_request& aFrom, pb::ReplicaMessage& aTo)
{
  auto* to = aTo.mutable_vote_request();
  to->set_pre_vote(aFrom.preVote);
  to->set_hand_over(aFrom.handOver);
  PutPosition(aFrom.last, *to->mutable_last());
}

void
PutReplicaBody(const vote_reply& aFrom, pb::ReplicaMessage& aTo)
{
  aTo.mutable_vote_reply()->set_pre_vote(aFrom.preVote);
  aTo.mutable_vote_reply()->set_granted(aFrom.granted);
}

void
PutReplicaBody(const append_request& aFrom, pb::ReplicaMessage& aTo)
{
  auto* to = aTo.mutable_append_request();
  PutPosition(aFrom.previous, *to->mutable_previous());
  to->set_commit(aFrom.commit);
  to->set_sent_at_ns(ToNanoseconds(aFrom.sentAt));
  to->set_answers(aFrom.answers);
  if (aFrom.confirmationAge) {
    to->set_confirmation_age_ns(aFrom.confirmationAge->count());
  }
  for (const log_entry& entry : aFrom.entries) {
    PutEntry(entry, *to->add_entries());
  }
}

void
PutReplicaBody(const append_reply& aFrom, pb::ReplicaMessage& aTo)
{
  auto* to = aTo.mutable_append_reply();
  to->set_accepted(aFrom.accepted);
  to->set_previous(aFrom.previous);
  to->set_match(aFrom.match);
  to->set_hint(aFrom.hint);
  to->set_sent_at_ns(ToNanoseconds(aFrom.sentAt));
  to->set_question(aFrom.question);
}

void
PutReplicaBody(const snapshot_chunk& aFrom, pb::ReplicaMessage& aTo)
{
  auto* to = aTo.mutable_snapshot_chunk();
  PutPosition(aFrom.at, *to->mutable_at());
  PutMembers(aFrom.members, *to->mutable_members());
  to->set_total_bytes(aFrom.totalBytes);
  to->set_checksum(aFrom.checksum);
  to->set_offset(aFrom.offset);
  to->set_bytes(aFrom.bytes);
  to->set_sent_at_ns(ToNanoseconds(aFrom.sentAt));
  to->set_commit(aFrom.commit);
}

void
PutReplicaBody(const snapshot_reply& aFrom, pb::ReplicaMessage& aTo)
{
  auto* to = aTo.mutable_snapshot_reply();
  to->set_index(aFrom.index);
  to->set_next_offset(aFrom.nextOffset);
  to->set_installed(aFrom.installed);
  to->set_sent_at_ns(ToNanoseconds(aFrom.sentAt));
}

void
PutReplicaBody(const time_out_now&, pb::ReplicaMessage& aTo)
{
  aTo.mutable_time_out_now();
}

std::optional<replica_message>
GetReplicaBody(const pb::VoteRequest& aFrom)
{
  return vote_request{
    {}, aFrom.pre_vote(), aFrom.hand_over(), GetPosition(aFrom.last())
  };
}

std::optional<replica_message>
GetReplicaBody(const pb::VoteReply& aFrom)
{
  return vote_reply{ {}, aFrom.pre_vote(), aFrom.granted() };
}

std::optional<replica_message>
GetReplicaBody(const pb::AppendRequest& aFrom)
{
  append_request request;
  request.previous = GetPosition(aFrom.previous());
  request.commit = aFrom.commit();
  request.sentAt = FromNanoseconds(aFrom.sent_at_ns());
  request.answers = aFrom.answers();
  request.confirmationAge =
    GetAge(aFrom.has_confirmation_age_ns(), aFrom.confirmation_age_ns());
  for (const pb::LogEntry& from : aFrom.entries()) {
    auto entry = GetEntry(from);
    if (!entry) {
      return std::nullopt;
    }
    request.entries.push_back(std::move(*entry));
  }
  return request;
}

std::optional<replica_message>
GetReplicaBody(const pb::AppendReply& aFrom)
{
  return append_reply{ {},
                       aFrom.accepted(),
                       aFrom.previous(),
                       aFrom.match(),
                       aFrom.hint(),
                       FromNanoseconds(aFrom.sent_at_ns()),
                       aFrom.question() };
}

std::optional<replica_message>
GetReplicaBody(const pb::SnapshotChunk& aFrom)
{
  auto members = GetMembers(aFrom.members());
  if (!members) {
    return std::nullopt;
  }
  return snapshot_chunk{ {},
                         GetPosition(aFrom.at()),
                         std::move(*members),
                         aFrom.total_bytes(),
                         aFrom.checksum(),
                         aFrom.offset(),
                         aFrom.bytes(),
                         FromNanoseconds(aFrom.sent_at_ns()),
                         aFrom.commit() };
}

std::optional<replica_message>
GetReplicaBody(const pb::SnapshotReply& aFrom)
{
  return snapshot_reply{ {},
                         aFrom.index(),
                         aFrom.next_offset(),
                         aFrom.installed(),
                         FromNanoseconds(aFrom.sent_at_ns()) };
}

std::optional<replica_message>
GetReplicaBody(const pb::ReplicaMessage& aFrom)
{
  switch (aFrom.body_case()) {
    case pb::ReplicaMessage::kVoteRequest:
      return GetReplicaBody(aFrom.vote_request());
    case pb::ReplicaMessage::kVoteReply:
      return GetReplicaBody(aFrom.vote_reply());
    case pb::ReplicaMessage::kAppendRequest:
      return GetReplicaBody(aFrom.append_request());
    case pb::ReplicaMessage::kAppendReply:
      return GetReplicaBody(aFrom.append_reply());
    case pb::ReplicaMessage::kSnapshotChunk:
      return GetReplicaBody(aFrom.snapshot_chunk());
    case pb::ReplicaMessage::kSnapshotReply:
      return GetReplicaBody(aFrom.snapshot_reply());
    case pb::ReplicaMessage::kTimeOutNow:
      return time_out_now{};
    case pb::ReplicaMessage::BODY_NOT_SET:
      break;
  }
  return std::nullopt;
}

} // namespace

std::string
EncodeReplica(const replica_message& aMessage)
{
  pb::ReplicaMessage to;
  const message_header& header = HeaderOf(aMessage);
  to.set_log(header.log);
  to.set_from(header.from.value);
  to.set_to(header.to.value);
  to.set_term(header.term);
  std::visit([&](const auto& aBody) { PutReplicaBody(aBody, to); }, aMessage);
  return to.SerializeAsString();
}

std::optional<replica_message>
DecodeReplica(const std::string& aBytes)
{
  pb::ReplicaMessage from;
  if (!from.ParseFromString(aBytes)) {
    return std::nullopt;
  }
  auto message = GetReplicaBody(from);
  if (!message) {
    return std::nullopt;
  }
  const message_header header{
    from.log(), replica_id{ from.from() }, replica_id{ from.to() }, from.term()
  };
  std::visit([&](auto& aBody) { aBody.header = header; }, *message);
  return message;
}

} // namespace bulrush::wire
