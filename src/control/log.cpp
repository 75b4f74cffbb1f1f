#include "control/log.hpp"
#include "settings/settings.hpp"

#include "control/tables.hpp"
#include "observe/observe.hpp"

#include <algorithm>

namespace bulrush::control {
namespace {

constexpr log_component kLog{ "log" };

constexpr std::chrono::milliseconds kReplaceTimeout{ 5'000 };
constexpr std::uint32_t kMaxReplaceHops = 2;
constexpr unsigned kTermBits = 24;

// Includes the term: an entry that another leader wrote at the same index has
// another position, so no caller gets the result of a different command.
position_id
PositionOf(log_position aPosition)
{
  return position_id{ (aPosition.index << kTermBits) |
                      (aPosition.term & ((1U << kTermBits) - 1)) };
}

replica_id
NewIdentity()
{
  std::random_device device;
  const std::uint64_t high = device();
  const std::uint64_t low = device();
  return replica_id{ (high << 32U) | low | 1U };
}

const log_member*
MemberNamed(const log_tables& aLog, const std::string& aName)
{
  for (const log_member& member : aLog.replica.members) {
    if (member.name == aName) {
      return &member;
    }
  }
  return nullptr;
}

void
Answer(control_outbox& aOutbox,
       const std::string& aPeer,
       std::uint64_t aCall,
       wire::call_outcome aOutcome,
       command_result aResult,
       std::string aText)
{
  wire::command_reply reply;
  reply.call = aCall;
  reply.outcome = aOutcome;
  reply.result = std::move(aResult);
  reply.text = std::move(aText);
  aOutbox.messages.push_back({ aPeer, "", std::move(reply) });
}

void
Refuse(control_outbox& aOutbox,
       const received_message& aInput,
       std::uint64_t aCall,
       std::string aCode,
       std::string aText)
{
  command_result result;
  result.code = std::move(aCode);
  result.text = std::move(aText);
  Answer(aOutbox,
         aInput.peer,
         aCall,
         wire::call_outcome::eDecided,
         std::move(result),
         "");
}

// Forwards a call to the leader. The answer is matched by the table of calls,
// as that of a command is.
void
ForwardReplace(control_tables& aTables,
               const received_message& aInput,
               const wire::replace_call& aCall,
               steady_time aNow,
               control_outbox& aOutbox)
{
  const std::string leader = aTables.log.leaderName();
  if (leader.empty() || leader == aTables.self.name ||
      aCall.hops >= kMaxReplaceHops) {
    Answer(aOutbox,
           aInput.peer,
           aCall.call,
           wire::call_outcome::eNoLeader,
           {},
           "no leader is known");
    return;
  }
  pending_call row;
  row.id = NextCall(aTables);
  row.peer = aInput.peer;
  row.call = aCall.call;
  row.deadline = aNow + kReplaceTimeout;
  aTables.calls.Insert(row);
  wire::replace_call forwarded = aCall;
  forwarded.call = row.id.value;
  ++forwarded.hops;
  aOutbox.messages.push_back({ "", leader, std::move(forwarded) });
}

// Idempotent: a resent call finds the replacement in progress or completed, and
// only waits for its result.
void
HandleReplace(control_tables& aTables,
              const received_message& aInput,
              const wire::replace_call& aCall,
              steady_time aNow,
              control_outbox& aOutbox)
{
  log_tables& log = *aTables.replicated;
  if (!EqualInConstantTime(aCall.credential, aTables.self.credential)) {
    Answer(aOutbox,
           aInput.peer,
           aCall.call,
           wire::call_outcome::eRefused,
           {},
           "the credential is not accepted");
    return;
  }
  if (!IsLeaseHeld(log.replica, aNow)) {
    ForwardReplace(aTables, aInput, aCall, aNow, aOutbox);
    return;
  }
  const known_replica* candidate =
    log.known.Find(IdOf<replica_id>(aCall.newName));
  const bool isSelf = aCall.newName == aTables.self.name;
  if (!isSelf && (candidate == nullptr || !candidate->identity)) {
    const log_member* member = MemberNamed(log, aCall.newName);
    Refuse(aOutbox,
           aInput,
           aCall.call,
           "unknown_replica",
           aCall.newName + (member == nullptr
                              ? " has not been heard of"
                              : " is a member and has no new data folder"));
    return;
  }
  const replica_id newIdentity =
    isSelf ? log.replica.self : candidate->identity;
  const log_member* old = MemberNamed(log, aCall.oldName);
  replace_row row;
  row.id = { ++log.lastReplacement };
  row.peer = aInput.peer;
  row.call = aCall.call;
  row.newIdentity = newIdentity;
  row.oldIdentity = old == nullptr ? replica_id{} : old->id;
  row.deadline = aNow + kReplaceTimeout;
  if (row.oldIdentity == newIdentity) {
    row.oldIdentity = {};
  }
  // During a replacement by the same name both identities have that name.
  for (const log_member& member : log.replica.members) {
    if (member.name == aCall.oldName && member.id != newIdentity) {
      row.oldIdentity = member.id;
    }
  }
  if (!row.oldIdentity && !IsVoter(log, newIdentity)) {
    Refuse(aOutbox,
           aInput,
           aCall.call,
           "unknown_replica",
           aCall.oldName + " is not a member");
    return;
  }
  if (row.oldIdentity) {
    last_reason reason;
    ReplaceMember(log.replica,
                  row.oldIdentity,
                  { newIdentity, member_kind::eLearner, aCall.newName },
                  reason);
  }
  log.replacements.Insert(row);
}

// Answers callers whose replacement is complete or exceeded its time limit. In
// the latter case the replacement itself continues.
void
AnswerReplacements(control_tables& aTables,
                   steady_time aNow,
                   control_outbox& aOutbox)
{
  log_tables& log = *aTables.replicated;
  const bool isCommitted = log.replica.role == replica_role::eLeader &&
                           log.replica.membersIndex <= log.replica.commit;
  log.replacements.EraseIf([&](const replace_row& aRow) {
    if (isCommitted && IsVoter(log, aRow.newIdentity) &&
        !IsMember(log, aRow.oldIdentity)) {
      command_result result;
      result.isDone = true;
      result.revision = aTables.fleet.revision;
      result.text = NameOf(log, aRow.newIdentity) + " is a voter";
      Answer(aOutbox,
             aRow.peer,
             aRow.call,
             wire::call_outcome::eDecided,
             std::move(result),
             "");
      return true;
    }
    // A process that stops leads no longer, so it would not see the end.
    if (aRow.deadline <= aNow || aTables.stop) {
      Answer(aOutbox,
             aRow.peer,
             aRow.call,
             wire::call_outcome::eUnknown,
             {},
             "the replacement is under way");
      return true;
    }
    aOutbox.wake.NoLaterThan(aRow.deadline);
    return false;
  });
}

// Only the process whose name sorts first creates the log, once every other
// configured process has answered that its folder is empty; the others receive
// the first entry from it. So two logs can't be created, even if a folder is
// lost in the meantime, and a process whose folder is wiped later creates none.
void
BootstrapIfAllEmpty(control_tables& aTables, steady_time aNow)
{
  log_tables& log = *aTables.replicated;
  membership members{
    { log.replica.self, member_kind::eVoter, aTables.self.name }
  };
  if (!log.mayBootstrap) {
    return;
  }
  for (const known_replica& known : log.known) {
    if (!known.isConfigured) {
      continue;
    }
    if (known.name < aTables.self.name || !known.isEmpty ||
        !known.hasAnsweredHello || known.lastSeen + kHelloMaxAge < aNow) {
      return;
    }
    members.push_back({ known.identity, member_kind::eVoter, known.name });
  }
  last_reason reason;
  BootstrapLog(log.replica, std::move(members), reason);
}

// Tells a log that lost entries with the power from a process that lags behind.
void
LogOpened(const recovered_log& aLog)
{
  const log_position last =
    aLog.entries.empty()
      ? aLog.base
      : log_position{ aLog.entries.back().index, aLog.entries.back().term };
  LogEvent(kLog,
           log_level::eInfo,
           "log_opened",
           { { "identity", std::to_string(aLog.identity.value) },
             { "voted_term", std::to_string(aLog.vote.term) },
             { "last_index", std::to_string(last.index) },
             { "last_term", std::to_string(last.term) },
             { "commit", std::to_string(aLog.commit) },
             { "torn_bytes", std::to_string(aLog.tornTailBytes) } });
}

void
InstallSnapshot(control_tables& aTables,
                const log_snapshot& aSnapshot,
                control_outbox& aOutbox)
{
  last_reason reason;
  auto state = wire::DecodeState(aSnapshot.state, reason);
  if (!state) {
    aOutbox.fatal = std::move(reason);
    return;
  }
  auto windows = wire::DecodeWindowLog(aSnapshot.state, reason);
  if (!windows || !InstallOrders(aTables, aSnapshot.state, reason)) {
    aOutbox.fatal = std::move(reason);
    return;
  }
  aTables.usage.ledger.log = std::move(*windows);
  aTables.fleet = std::move(*state);
  aTables.recent.clear();
}

} // namespace

std::optional<std::unique_ptr<log_tables>>
OpenLog(const std::filesystem::path& aFolder,
        replica_settings aSettings,
        const std::vector<std::string>& aPeers,
        steady_time aNow,
        last_reason& aReason,
        disk_hooks aDisk)
{
  auto log = std::make_unique<log_tables>();
  recovered_log recovered;
  log->disk = disk_log::Open(aFolder / aSettings.log,
                             aSettings.log,
                             NewIdentity(),
                             std::move(aDisk),
                             recovered,
                             aReason);
  if (!log->disk) {
    return std::nullopt;
  }
  LogOpened(recovered);
  aSettings.seed = NewIdentity().value;
  log->replica = StartReplica(
    std::move(aSettings), std::move(recovered), log->disk->Hooks(), aNow);
  for (const std::string& peer : aPeers) {
    known_replica row;
    row.id = IdOf<replica_id>(peer);
    row.name = peer;
    row.isConfigured = true;
    log->known.Insert(row);
  }
  return log;
}

log_hooks
MakeReplicatedLog(log_tables& aLog)
{
  log_hooks hooks;
  hooks.propose = [&aLog](std::string aPayload,
                          last_reason& aReason) -> std::optional<position_id> {
    const auto at = Propose(aLog.replica, std::move(aPayload), aReason);
    if (!at) {
      return std::nullopt;
    }
    return PositionOf(*at);
  };
  hooks.isLeader = [&aLog](steady_time aNow) {
    return IsLeaseHeld(aLog.replica, aNow);
  };
  hooks.leaderTerm = [&aLog](steady_time aNow) -> std::optional<leader_term> {
    const replica_tables& replica = aLog.replica;
    if (replica.role != replica_role::eLeader ||
        replica.released < replica.termStart) {
      return std::nullopt;
    }
    return leader_term{ static_cast<std::uint32_t>(replica.vote.term),
                        replica.settings.electionTimeout,
                        IsLeaseHeld(replica, aNow) };
  };
  hooks.isCaughtUp = [&aLog](steady_time aNow) {
    return IsCaughtUp(aLog.replica, aNow);
  };
  hooks.confirmedAt = [&aLog](steady_time aNow) {
    return ConfirmedAt(aLog.replica, aNow);
  };
  hooks.term = [&aLog] { return aLog.replica.vote.term; };
  hooks.leaderName = [&aLog] {
    return aLog.replica.leader ? NameOf(aLog, aLog.replica.leader)
                               : aLog.toldLeader;
  };
  hooks.replicas = [&aLog] {
    std::vector<wire::replica_status> rows;
    for (const log_member& member : aLog.replica.members) {
      wire::replica_status row;
      row.name = member.name;
      row.isLeader = member.id == aLog.replica.leader;
      row.isVoter = member.kind == member_kind::eVoter;
      row.term = aLog.replica.vote.term;
      row.commit = member.id == aLog.replica.self ? aLog.replica.commit : 0;
      if (const peer_row* peer = aLog.replica.peers.Find(member.id)) {
        row.commit = std::min(peer->match, aLog.replica.commit);
      }
      rows.push_back(std::move(row));
    }
    return rows;
  };
  return hooks;
}

bool
HandleLogMessage(control_tables& aTables,
                 const received_message& aInput,
                 steady_time aNow,
                 control_outbox& aOutbox)
{
  const wire::message_body& body = aInput.message.body;
  if (!aTables.replicated) {
    return false;
  }
  if (const auto* message = std::get_if<replica_message>(&body)) {
    Deliver(aTables.replicated->replica, *message, aNow);
    return true;
  }
  if (const auto* hello = std::get_if<wire::replica_hello>(&body)) {
    HandleHello(aTables, aInput, *hello, aNow, aOutbox);
    return true;
  }
  if (const auto* call = std::get_if<wire::replace_call>(&body)) {
    HandleReplace(aTables, aInput, *call, aNow, aOutbox);
    return true;
  }
  return false;
}

namespace {

void
LogLeaderChange(control_tables& aTables)
{
  log_tables& log = *aTables.replicated;
  if (log.loggedLeader == log.replica.leader) {
    return;
  }
  log.loggedLeader = log.replica.leader;
  LogEvent(kLog,
           log_level::eInfo,
           "leader",
           { { "control", NameOf(log, log.replica.leader) },
             { "term", std::to_string(log.replica.vote.term) },
             { "member", IsMember(log, log.replica.self) ? "yes" : "no" },
             { "applied", std::to_string(log.replica.released) },
             { "leader_commit", std::to_string(log.replica.leaderCommit) } });
}

// A list takes effect before it is committed, and may be replaced.
void
LogMembers(control_tables& aTables)
{
  log_tables& log = *aTables.replicated;
  const replica_tables& replica = log.replica;
  if (log.loggedMembers == replica.membersIndex) {
    return;
  }
  log.loggedMembers = replica.membersIndex;
  std::string voters;
  std::string learners;
  for (const log_member& member : replica.members) {
    std::string& list = member.kind == member_kind::eVoter ? voters : learners;
    list += (list.empty() ? "" : ",") + member.name;
  }
  LogEvent(kLog,
           log_level::eInfo,
           "members",
           { { "index", std::to_string(replica.membersIndex) },
             { "term", std::to_string(replica.vote.term) },
             { "self", IsMember(log, replica.self) ? "yes" : "no" },
             { "voters", voters },
             { "learners", learners } });
}

} // namespace

void
RunLog(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  if (!aTables.replicated) {
    return;
  }
  log_tables& log = *aTables.replicated;
  if (IsEmpty(log.replica) && log.replica.vote.term == 0) {
    BootstrapIfAllEmpty(aTables, aNow);
  }
  SendHellos(aTables, aNow, aOutbox);
  if (log.hasDynamicMembers) {
    ConnectMembers(aTables, aNow, aOutbox);
    DropLostPeers(aTables, aNow, aOutbox);
    RunVoters(aTables, aNow);
  }
  replica_outbox outbox;
  RunReplica(log.replica, aNow, outbox);
  if (outbox.fatal) {
    aOutbox.fatal = std::move(outbox.fatal);
    return;
  }
  if (outbox.install) {
    InstallSnapshot(aTables, *outbox.install, aOutbox);
  }
  for (log_entry& entry : outbox.committed) {
    if (entry.kind == entry_kind::ePayload) {
      aTables.committed.push_back({ PositionOf({ entry.index, entry.term }),
                                    std::move(entry.payload),
                                    false });
    }
  }
  for (replica_message& message : outbox.messages) {
    std::string name = NameOf(log, HeaderOf(message).to);
    aOutbox.messages.push_back({ "", std::move(name), std::move(message) });
  }
  AnswerReplacements(aTables, aNow, aOutbox);
  LogLeaderChange(aTables);
  LogMembers(aTables);
  aOutbox.wake.NoLaterThan(outbox.wake.at);
}

// Runs after the committed entries were applied, so that the state is that of
// the last entry released by the log.
void
RunLogSnapshot(control_tables& aTables, steady_time, control_outbox& aOutbox)
{
  if (!aTables.replicated) {
    return;
  }
  replica_tables& replica = aTables.replicated->replica;
  if (!IsSnapshotDue(replica)) {
    return;
  }
  last_reason reason;
  const std::string state = wire::EncodeState(aTables.fleet) +
                            OrderSnapshot(aTables) +
                            wire::EncodeWindowLog(aTables.usage.ledger.log);
  if (!SaveSnapshot(replica, state, reason)) {
    aOutbox.fatal = std::move(reason);
  }
}

bool
BeginHandOver(control_tables& aTables, steady_time aNow)
{
  if (!aTables.replicated) {
    return false;
  }
  last_reason reason;
  return HandOver(aTables.replicated->replica, aNow, reason).has_value();
}

bool
IsHandedOver(const control_tables& aTables)
{
  const replica_tables& replica = aTables.replicated->replica;
  return replica.role != replica_role::eLeader && replica.leader;
}

} // namespace bulrush::control
