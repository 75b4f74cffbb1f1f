/// HTTP calls of endpoints and operators: each updates rows, proposes a command
/// to the log, or is answered at once.

#include "control/tables.hpp"

namespace bulrush::control {
namespace {

/// Limit for a decision of the log, after which the caller gets eUnknown.
/// Callers try another control process after 1 s, so the answer has to arrive
/// before.
constexpr std::chrono::milliseconds kDecisionTimeout{ 900 };

void
Answer(control_outbox& aOutbox,
       http_call_id aCall,
       answer_kind aKind,
       std::string aText)
{
  aOutbox.httpAnswers.push_back({ aCall, { aKind, std::move(aText) } });
}

void
AnswerManifest(control_outbox& aOutbox, http_call_id aCall, std::string aSource)
{
  if (aSource.empty()) {
    Answer(aOutbox, aCall, answer_kind::eUnknown, "no manifest is in force");
  } else {
    Answer(aOutbox, aCall, answer_kind::eDone, std::move(aSource));
  }
}

// Records a caller that waits for a decision.
pending_call&
AddPendingCall(control_tables& aTables, http_call_id aCall, steady_time aNow)
{
  pending_call row;
  row.id = NextCall(aTables);
  row.httpCall = aCall;
  row.deadline = aNow + kDecisionTimeout;
  return aTables.calls.Insert(std::move(row));
}

// Forwards a call to the leader over the link to it, so that the caller need
// not find the leader. Answers eUnknown at once when no leader is known.
template<class message>
void
ForwardToLeader(control_tables& aTables,
                http_call_id aCall,
                message aMessage,
                steady_time aNow,
                control_outbox& aOutbox)
{
  const std::string leader = aTables.log.leaderName();
  if (leader.empty() || leader == aTables.self.name) {
    Answer(aOutbox, aCall, answer_kind::eUnknown, "no leader is known");
    return;
  }
  aMessage.call = AddPendingCall(aTables, aCall, aNow).id.value;
  aMessage.credential = aTables.self.credential;
  aOutbox.messages.push_back({ "", leader, std::move(aMessage) });
}

void
Propose(control_tables& aTables,
        http_call_id aCall,
        fleet_change aChange,
        steady_time aNow,
        control_outbox& aOutbox)
{
  fleet_command command;
  command.at = aTables.wallClock();
  command.change = std::move(aChange);
  if (!aTables.log.isLeader(aNow)) {
    wire::command_call call;
    call.command = std::move(command);
    call.hops = 1;
    ForwardToLeader(aTables, aCall, std::move(call), aNow, aOutbox);
    return;
  }
  if (IsSuperseded(aTables, command)) {
    Answer(aOutbox, aCall, answer_kind::eUnknown, kSupersededText);
    return;
  }
  last_reason reason;
  const auto position = ProposeCommand(aTables, command, reason);
  if (!position) {
    Answer(aOutbox, aCall, answer_kind::eUnknown, Describe(reason));
    return;
  }
  AddPendingCall(aTables, aCall, aNow).position = *position;
}

void
Handle(control_tables& aTables,
       http_call_id aId,
       const register_endpoint& aCall,
       steady_time,
       control_outbox& aOutbox)
{
  UpdateEndpoint(aTables, aCall.endpoint, true);
  Answer(aOutbox, aId, answer_kind::eDone, "");
}

// Without a row of the endpoint there is no incarnation to remove and publish,
// so the call fails and the endpoint tries another process.
void
Handle(control_tables& aTables,
       http_call_id aId,
       const deregister_endpoint& aCall,
       steady_time,
       control_outbox& aOutbox)
{
  const auto id = IdOf<endpoint_id>(aCall.endpoint);
  RemoveEndpoint(aTables, id, true);
  if (HasLeft(aTables, id)) {
    Answer(aOutbox, aId, answer_kind::eDone, "");
  } else {
    Answer(aOutbox, aId, answer_kind::eUnknown, "the endpoint is not known");
  }
}

// A malformed manifest is refused before it enters the log.
void
Handle(control_tables& aTables,
       http_call_id aId,
       const put_manifest& aCall,
       steady_time aNow,
       control_outbox& aOutbox)
{
  std::vector<manifest_fault> faults;
  const auto parsed = ParseManifest(aCall.text, faults);
  if (!parsed || parsed->number == 0) {
    Answer(aOutbox, aId, answer_kind::eInvalid, Describe(faults));
    return;
  }
  apply_manifest change;
  change.text = aCall.text;
  change.source = aCall.source;
  Propose(aTables, aId, std::move(change), aNow, aOutbox);
}

void
Handle(control_tables& aTables,
       http_call_id aId,
       const get_manifest&,
       steady_time aNow,
       control_outbox& aOutbox)
{
  if (!HasLatestState(aTables, aNow)) {
    wire::manifest_call call;
    call.asksLeader = true;
    ForwardToLeader(aTables, aId, std::move(call), aNow, aOutbox);
    return;
  }
  AnswerManifest(aOutbox, aId, aTables.fleet.declared.source);
}

void
Handle(control_tables& aTables,
       http_call_id aId,
       const change_domain_state& aCall,
       steady_time aNow,
       control_outbox& aOutbox)
{
  const auto domain = IdOf<domain_id>(aCall.domain);
  Propose(
    aTables,
    aId,
    set_domain{ domain, aCall.isOut, LatestDomainChange(aTables, domain) },
    aNow,
    aOutbox);
}

answer_kind
KindOf(const wire::command_reply& aReply)
{
  if (aReply.outcome != wire::call_outcome::eDecided) {
    return answer_kind::eUnknown;
  }
  return aReply.result.isDone ? answer_kind::eDone : answer_kind::eInvalid;
}

} // namespace

bool
HasLatestState(const control_tables& aTables, steady_time aNow)
{
  const auto leaderTerm =
    aTables.log.leaderTerm ? aTables.log.leaderTerm(aNow) : std::nullopt;
  return leaderTerm && leaderTerm->holdsLease;
}

void
HandleManifestReply(control_tables& aTables,
                    const wire::manifest_reply& aReply,
                    control_outbox& aOutbox)
{
  const call_id id{ aReply.call };
  const pending_call* call = aTables.calls.Find(id);
  if (call == nullptr || !call->httpCall) {
    return; // already timed out
  }
  if (aReply.isNewest) {
    AnswerManifest(aOutbox, call->httpCall, aReply.source);
  } else {
    Answer(aOutbox,
           call->httpCall,
           answer_kind::eUnknown,
           "the process asked does not lead");
  }
  aTables.calls.Erase(id);
}

// A reply to a call of an earlier process may arrive after the next start.
// Under a number that counts from one again it would pass for the answer to
// another call, and acknowledge what no log holds.
call_id
NextCall(control_tables& aTables)
{
  constexpr unsigned kCountBits = 32;
  const std::uint64_t start =
    StableHash(std::to_string(aTables.self.incarnation)) << kCountBits;
  return call_id{ start | ++aTables.lastCall };
}

void
RunHttpCalls(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  const auto inbox = std::exchange(aTables.httpInbox, {});
  for (const received_call& input : inbox) {
    if (aTables.stop) {
      Answer(aOutbox, input.id, answer_kind::eUnknown, kStopsText);
      continue;
    }
    std::visit(
      [&](const auto& aCall) {
        Handle(aTables, input.id, aCall, aNow, aOutbox);
      },
      input.call);
  }
}

void
AnswerCall(const pending_call& aCall,
           const wire::command_reply& aReply,
           control_outbox& aOutbox)
{
  if (aCall.httpCall) {
    const bool isDecided = aReply.outcome == wire::call_outcome::eDecided;
    Answer(aOutbox,
           aCall.httpCall,
           KindOf(aReply),
           isDecided ? aReply.result.text : aReply.text);
    return;
  }
  wire::command_reply reply = aReply;
  reply.call = aCall.call;
  aOutbox.messages.push_back({ aCall.peer, "", std::move(reply) });
}

} // namespace bulrush::control
