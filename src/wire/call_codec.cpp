/// Calls to control processes, and their replies.

#include "wire/bodies.hpp"

namespace bulrush::wire {

namespace {

void
PutResult(const command_result& aFrom, pb::CommandResult& aTo)
{
  aTo.set_is_done(aFrom.isDone);
  aTo.set_code(aFrom.code);
  aTo.set_text(aFrom.text);
  aTo.set_revision(aFrom.revision);
  aTo.set_claim(static_cast<std::uint32_t>(aFrom.claim));
  aTo.set_stored_status(aFrom.storedStatus);
  aTo.set_stored_content_type(aFrom.storedContentType);
  aTo.set_stored_body(aFrom.storedBody);
}

command_result
GetResult(const pb::CommandResult& aFrom)
{
  command_result result;
  result.isDone = aFrom.is_done();
  result.code = aFrom.code();
  result.text = aFrom.text();
  result.revision = aFrom.revision();
  result.claim = static_cast<claim_answer>(aFrom.claim());
  result.storedStatus = aFrom.stored_status();
  result.storedContentType = aFrom.stored_content_type();
  result.storedBody = aFrom.stored_body();
  return result;
}

} // namespace

void
PutBody(const command_call& aFrom, steady_time, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_command_call();
  to->set_call(aFrom.call);
  Put(aFrom.command, *to->mutable_command());
  to->set_credential(aFrom.credential);
  to->set_hops(aFrom.hops);
}

void
PutBody(const command_reply& aFrom, steady_time, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_command_reply();
  to->set_call(aFrom.call);
  to->set_outcome(static_cast<std::uint32_t>(aFrom.outcome));
  PutResult(aFrom.result, *to->mutable_result());
  to->set_text(aFrom.text);
}

void
PutBody(const status_call& aFrom, steady_time, pb::Envelope& aTo)
{
  aTo.mutable_status_call()->set_call(aFrom.call);
  aTo.mutable_status_call()->set_credential(aFrom.credential);
}

void
PutBody(const status_reply& aFrom, steady_time aNow, pb::Envelope& aTo)
{
  Put(aFrom, aNow, *aTo.mutable_status_reply());
}

void
PutBody(const manifest_call& aFrom, steady_time, pb::Envelope& aTo)
{
  aTo.mutable_manifest_call()->set_call(aFrom.call);
  aTo.mutable_manifest_call()->set_credential(aFrom.credential);
  aTo.mutable_manifest_call()->set_asks_leader(aFrom.asksLeader);
}

void
PutBody(const manifest_reply& aFrom, steady_time, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_manifest_reply();
  to->set_call(aFrom.call);
  to->set_manifest_revision(aFrom.manifestRevision);
  to->set_text(aFrom.text);
  to->set_is_newest(aFrom.isNewest);
  to->set_source(aFrom.source);
}

void
PutBody(const replace_call& aFrom, steady_time, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_replace_call();
  to->set_call(aFrom.call);
  to->set_credential(aFrom.credential);
  to->set_old_name(aFrom.oldName);
  to->set_new_name(aFrom.newName);
  to->set_hops(aFrom.hops);
}

void
PutBody(const quarantine_call& aFrom, steady_time, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_quarantine_call();
  to->set_call(aFrom.call);
  to->set_credential(aFrom.credential);
  to->set_part(aFrom.part.value);
  to->set_is_release(aFrom.isRelease);
}

std::optional<message_body>
GetBody(const pb::CommandCall& aFrom, steady_time)
{
  auto command = Get(aFrom.command());
  if (!command) {
    return std::nullopt;
  }
  return command_call{
    aFrom.call(), std::move(*command), aFrom.credential(), aFrom.hops()
  };
}

std::optional<message_body>
GetBody(const pb::CommandReply& aFrom, steady_time)
{
  if (aFrom.outcome() > static_cast<std::uint32_t>(call_outcome::eSuperseded) ||
      aFrom.result().claim() >
        static_cast<std::uint32_t>(claim_answer::eOtherBody)) {
    return std::nullopt;
  }
  return command_reply{ aFrom.call(),
                        static_cast<call_outcome>(aFrom.outcome()),
                        GetResult(aFrom.result()),
                        aFrom.text() };
}

std::optional<message_body>
GetBody(const pb::StatusCall& aFrom, steady_time)
{
  return status_call{ aFrom.call(), aFrom.credential() };
}

std::optional<message_body>
GetBody(const pb::StatusReply& aFrom, steady_time aNow)
{
  return Get(aFrom, aNow);
}

std::optional<message_body>
GetBody(const pb::ManifestCall& aFrom, steady_time)
{
  return manifest_call{ aFrom.call(), aFrom.credential(), aFrom.asks_leader() };
}

std::optional<message_body>
GetBody(const pb::ManifestReply& aFrom, steady_time)
{
  return manifest_reply{ aFrom.call(),
                         aFrom.manifest_revision(),
                         aFrom.text(),
                         aFrom.is_newest(),
                         aFrom.source() };
}

std::optional<message_body>
GetBody(const pb::ReplaceCall& aFrom, steady_time)
{
  return replace_call{ aFrom.call(),
                       aFrom.credential(),
                       aFrom.old_name(),
                       aFrom.new_name(),
                       aFrom.hops() };
}

std::optional<message_body>
GetBody(const pb::QuarantineCall& aFrom, steady_time)
{
  return quarantine_call{
    aFrom.call(), aFrom.credential(), { aFrom.part() }, aFrom.is_release()
  };
}

} // namespace bulrush::wire
