#include "replication/replica_steps.hpp"

namespace bulrush {
namespace {

message_header&
HeaderOf(replica_message& aMessage)
{
  return std::visit([](auto& aAny) -> message_header& { return aAny.header; },
                    aMessage);
}

// Vote messages don't update the term by themselves: a pre-vote has a term that
// has not started, and a replica with an active leader ignores a candidate's
// term.
bool
HandlesTermItself(const replica_message& aMessage)
{
  return std::holds_alternative<vote_request>(aMessage) ||
         std::holds_alternative<vote_reply>(aMessage);
}

struct message_handler
{
  replica_tables& tables;
  steady_time now;

  void operator()(vote_request& aMessage) const
  {
    HandleVoteRequest(tables, aMessage, now);
  }
  void operator()(vote_reply& aMessage) const
  {
    HandleVoteReply(tables, aMessage, now);
  }
  void operator()(append_request& aMessage) const
  {
    HandleAppendRequest(tables, std::move(aMessage), now);
  }
  void operator()(append_reply& aMessage) const
  {
    HandleAppendReply(tables, aMessage, now);
  }
  void operator()(snapshot_chunk& aMessage) const
  {
    HandleSnapshotChunk(tables, aMessage, now);
  }
  void operator()(snapshot_reply& aMessage) const
  {
    HandleSnapshotReply(tables, aMessage, now);
  }
  void operator()(time_out_now& aMessage) const
  {
    HandleTimeOutNow(tables, aMessage, now);
  }
};

void
HandleMessage(replica_tables& aTables,
              replica_message& aMessage,
              steady_time aNow)
{
  const message_header& header = HeaderOf(aMessage);
  if (!HandlesTermItself(aMessage) && header.term > aTables.vote.term) {
    AdoptTerm(aTables, header.term, aNow);
  }
  const bool fromLeader = std::holds_alternative<append_request>(aMessage) ||
                          std::holds_alternative<snapshot_chunk>(aMessage);
  if (fromLeader && aTables.role == replica_role::eLeader &&
      header.term == aTables.vote.term) {
    Stop(aTables,
         { "receive entries",
           aTables.settings.name,
           "two replicas lead in the same term" });
    return;
  }
  std::visit(message_handler{ aTables, aNow }, aMessage);
}

void
RunInbox(replica_tables& aTables, steady_time aNow, replica_outbox& /*aOutbox*/)
{
  std::vector<replica_message> inbox;
  inbox.swap(aTables.inbox);
  for (replica_message& message : inbox) {
    if (aTables.fatal) {
      return;
    }
    HandleMessage(aTables, message, aNow);
  }
}

void
RunSendOut(replica_tables& aTables,
           steady_time /*aNow*/,
           replica_outbox& aOutbox)
{
  for (replica_message& message : aTables.unsentMessages) {
    aOutbox.messages.push_back(std::move(message));
  }
  aTables.unsentMessages.clear();
}

void
RunWake(replica_tables& aTables, steady_time aNow, replica_outbox& aOutbox)
{
  if (aTables.role != replica_role::eLeader) {
    aOutbox.wake.NoLaterThan(aTables.electionDeadline);
    return;
  }
  for (const peer_row& peer : aTables.peers) {
    aOutbox.wake.NoLaterThan(peer.lastSent + aTables.settings.heartbeat);
  }
  const steady_time lastAnswered =
    std::max(QuorumAnsweredSendTime(aTables, aNow), aTables.leaderSince);
  aOutbox.wake.NoLaterThan(lastAnswered + aTables.settings.electionTimeout);
  if (aTables.handOver) {
    aOutbox.wake.NoLaterThan(aTables.handOver->deadline);
  }
}

// The systems of a tick in their order. No message is sent before RunSync, and
// no write that a message confirms is made after it.
constexpr std::array<named_system<replica_tables, replica_outbox>, 13> kSystems{
  {
    { "inbox", RunInbox },
    { "election", RunElection },
    { "check_quorum", RunCheckQuorum },
    { "replacement", RunReplacement },
    { "hand_over", RunHandOver },
    { "sync", RunSync },
    { "commit", RunCommit },
    { "send_entries", RunSendEntries },
    { "release", RunRelease },
    { "confirmation", RunConfirmation },
    { "snapshot_due", RunSnapshotDue },
    { "send_out", RunSendOut },
    { "wake", RunWake },
  }
};

} // namespace

const message_header&
HeaderOf(const replica_message& aMessage)
{
  return std::visit(
    [](const auto& aAny) -> const message_header& { return aAny.header; },
    aMessage);
}

replica_tables
StartReplica(replica_settings aSettings,
             recovered_log aRecovered,
             storage_hooks aStorage,
             steady_time aNow)
{
  replica_tables tables;
  tables.settings = std::move(aSettings);
  tables.self = aRecovered.identity;
  tables.storage = std::move(aStorage);
  tables.random.seed(tables.settings.seed ^ tables.self.value);
  tables.vote = aRecovered.vote;
  tables.base = aRecovered.base;
  tables.entries = std::move(aRecovered.entries);
  tables.snapshot = std::move(aRecovered.snapshot);
  tables.lastSynced = LastPosition(tables).index;
  tables.released = tables.snapshot.at.index;
  tables.commit =
    std::max(tables.released, std::min(aRecovered.commit, tables.lastSynced));
  if (tables.released > 0) {
    tables.pendingInstall = tables.snapshot;
  }
  RefreshMembers(tables);
  tables.question.number = random_engine(tables.random)();
  tables.leaderLastSeen = aNow;
  if (tables.vote.votedFor == tables.self) {
    tables.formerLeaderUntil = aNow + tables.settings.electionTimeout;
  }
  ResetElectionDeadline(tables, aNow);
  return tables;
}

// Drops messages if the inbox is full; senders retransmit.
void
Deliver(replica_tables& aTables, replica_message aMessage, steady_time /*aNow*/)
{
  const message_header& header =
    HeaderOf(static_cast<const replica_message&>(aMessage));
  if (header.log != aTables.settings.log || header.to != aTables.self ||
      header.from == aTables.self) {
    return;
  }
  if (aTables.inbox.size() >= kMaxInboxMessages) {
    ++aTables.droppedMessages;
    return;
  }
  aTables.inbox.push_back(std::move(aMessage));
}

void
RunReplica(replica_tables& aTables, steady_time aNow, replica_outbox& aOutbox)
{
  if (!aTables.fatal) {
    RunTick(kSystems, aTables, aNow, aOutbox);
  }
  if (aTables.fatal) {
    aOutbox = {};
    aOutbox.fatal = aTables.fatal;
  }
}

std::optional<log_position>
Propose(replica_tables& aTables, std::string aPayload, last_reason& aReason)
{
  const char* const step = "propose";
  const std::string& name = aTables.settings.name;
  if (aTables.role != replica_role::eLeader || aTables.fatal) {
    return Fail(aReason, step, name, "not the leader");
  }
  if (aTables.handOver) {
    return Fail(aReason, step, name, "leadership is being handed over");
  }
  if (aPayload.size() > aTables.settings.maxEntryBytes) {
    return Fail(aReason, step, name, "the entry is too large");
  }
  if (LastPosition(aTables).index >=
      aTables.commit + aTables.settings.maxUncommittedEntries) {
    return Fail(aReason, step, name, "too many entries wait for a quorum");
  }
  log_entry entry;
  entry.kind = entry_kind::ePayload;
  entry.payload = std::move(aPayload);
  const log_position position = AppendOwn(aTables, std::move(entry));
  if (aTables.fatal) {
    aReason = *aTables.fatal;
    return std::nullopt;
  }
  return position;
}

} // namespace bulrush
