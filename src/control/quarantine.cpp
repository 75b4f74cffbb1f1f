/// Parts of prompts that crash endpoints: what control processes add to the
/// observations of hosts.

#include "control/tables.hpp"
#include "observe/observe.hpp"
#include "program/program.hpp"

namespace bulrush::control {
namespace {

constexpr log_component kLog{ "control" };

} // namespace

// Trials need one process that gives them: without a leader the quarantine
// lasts.
void
RunQuarantine(control_tables& aTables,
              steady_time aNow,
              control_outbox& aOutbox)
{
  quarantine::tables& quarantined = aTables.quarantined;
  quarantine::Expire(quarantined, aNow);
  if (!quarantined.suspects.Empty() && HasLatestState(aTables, aNow)) {
    const auto hosts = ReportingHosts(aTables);
    quarantine::GiveTrials(
      quarantined, std::vector(hosts.begin(), hosts.end()), aNow, aOutbox.wake);
  }
  LogEvidence(kLog,
              quarantined.settings,
              quarantine::ChangesSince(quarantined, aTables.loggedEvidence));
  aTables.loggedEvidence = quarantined.serial;
}

// Takes effect at once and without a quorum, as the crashes do.
void
HandleQuarantineCall(control_tables& aTables,
                     const received_message& aInput,
                     const wire::quarantine_call& aCall,
                     steady_time aNow,
                     control_outbox& aOutbox)
{
  wire::command_reply reply;
  reply.call = aCall.call;
  reply.result.revision = aTables.fleet.revision;
  if (!EqualInConstantTime(aCall.credential, aTables.self.credential)) {
    reply.outcome = wire::call_outcome::eRefused;
    reply.text = "the credential is not accepted";
  } else if (!aCall.part) {
    reply.outcome = wire::call_outcome::eDecided;
    reply.result.code = "bad_part";
    reply.result.text = "expected an id that is not zero";
  } else {
    if (aCall.isRelease) {
      quarantine::Release(aTables.quarantined, aCall.part, aNow);
    } else {
      quarantine::Hold(aTables.quarantined, aCall.part, aNow);
    }
    reply.outcome = wire::call_outcome::eDecided;
    reply.result.isDone = true;
    reply.result.text = aCall.isRelease ? "released" : "in quarantine";
  }
  aOutbox.messages.push_back({ aInput.peer, "", std::move(reply) });
}

} // namespace bulrush::control
