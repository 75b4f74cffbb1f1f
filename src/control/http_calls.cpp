/// Calls of endpoints and operators over HTTP: each becomes rows, a command of
/// the log, or an answer at once.

#include "control/tables.hpp"

namespace bulrush::control {
namespace {

/// Longest wait for the log before a caller is told that nothing is decided:
/// below the second after which callers ask elsewhere.
constexpr std::chrono::milliseconds kDecideWithin{ 900 };

void
Answer(control_outbox& aOutbox,
       http_call_id aCall,
       answer_kind aKind,
       std::string aText)
{
  aOutbox.httpAnswers.push_back({ aCall, { aKind, std::move(aText) } });
}

// Only the leader answers for the log. A caller that reached another process
// is told where to go, and without a leader to come back.
void
SendToLeader(const control_tables& aTables,
             http_call_id aCall,
             control_outbox& aOutbox)
{
  const std::string leader = aTables.log.leaderName();
  const control_row* control =
    aTables.controls.Find(IdOf<replica_id>(leader));
  if (control == nullptr || control->httpAddress.empty()) {
    Answer(aOutbox, aCall, answer_kind::eUnknown, "no leader is known");
    return;
  }
  Answer(aOutbox, aCall, answer_kind::eElsewhere, control->httpAddress);
}

void
Propose(control_tables& aTables,
        http_call_id aCall,
        fleet_change aChange,
        steady_time aNow,
        control_outbox& aOutbox)
{
  if (!aTables.log.isLeader(aNow)) {
    SendToLeader(aTables, aCall, aOutbox);
    return;
  }
  fleet_command command;
  command.at = aTables.wallClock();
  command.change = std::move(aChange);
  last_reason why;
  const auto position = aTables.log.propose(wire::EncodeCommand(command), why);
  if (!position) {
    Answer(aOutbox, aCall, answer_kind::eUnknown, Describe(why));
    return;
  }
  pending_call row;
  row.id = call_id{ ++aTables.lastCall };
  row.http = aCall;
  row.position = *position;
  row.deadline = aNow + kDecideWithin;
  aTables.calls.Insert(std::move(row));
}

void
Take(control_tables& aTables,
     http_call_id aId,
     const check_in& aCall,
     steady_time,
     control_outbox& aOutbox)
{
  TakeEndpoint(aTables, aCall.endpoint, true);
  Answer(aOutbox, aId, answer_kind::eDone, "");
}

void
Take(control_tables& aTables,
     http_call_id aId,
     const sign_off& aCall,
     steady_time,
     control_outbox& aOutbox)
{
  DropEndpoint(aTables, IdOf<endpoint_id>(aCall.endpoint), true);
  Answer(aOutbox, aId, answer_kind::eDone, "");
}

// A manifest that cannot be read never enters the log.
void
Take(control_tables& aTables,
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
  Propose(aTables, aId, std::move(change), aNow, aOutbox);
}

void
Take(control_tables& aTables,
     http_call_id aId,
     const get_manifest&,
     steady_time aNow,
     control_outbox& aOutbox)
{
  // A leader that has not applied all that was committed before its term might
  // answer with an older manifest.
  const auto leads = aTables.log.leads(aNow);
  if (!leads || !leads->holdsLease) {
    SendToLeader(aTables, aId, aOutbox);
    return;
  }
  const manifest& declared = aTables.fleet.declared;
  if (declared.number == 0) {
    Answer(aOutbox, aId, answer_kind::eUnknown, "no manifest is in force");
    return;
  }
  Answer(aOutbox, aId, answer_kind::eDone, declared.source);
}

void
Take(control_tables& aTables,
     http_call_id aId,
     const move_domain& aCall,
     steady_time aNow,
     control_outbox& aOutbox)
{
  Propose(aTables,
          aId,
          set_domain{ IdOf<domain_id>(aCall.domain), aCall.isOut },
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

void
RunHttpCalls(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  const auto inbox = std::exchange(aTables.httpInbox, {});
  for (const received_call& input : inbox) {
    std::visit(
      [&](const auto& aCall) {
        Take(aTables, input.id, aCall, aNow, aOutbox);
      },
      input.call);
  }
}

void
AnswerCall(const pending_call& aCall,
           const wire::command_reply& aReply,
           control_outbox& aOutbox)
{
  if (aCall.http) {
    const bool isDecided = aReply.outcome == wire::call_outcome::eDecided;
    Answer(aOutbox,
           aCall.http,
           KindOf(aReply),
           isDecided ? aReply.result.text : aReply.text);
    return;
  }
  wire::command_reply reply = aReply;
  reply.call = aCall.call;
  aOutbox.messages.push_back({ aCall.peer, "", std::move(reply) });
}

} // namespace bulrush::control
