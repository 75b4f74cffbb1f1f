/// The calls of attempts to endpoints, and what comes of them.

#include "entry/request_runner.hpp"

#include "entry/request_log.hpp"

#include <charconv>
#include <limits>

namespace bulrush::entry {

using net::Now;

namespace {

/// Round trips within a region take a few milliseconds.
constexpr std::chrono::milliseconds kConnectTimeout{ 300 };

} // namespace

void
request_runner::implementation::OnHead(attempt_id aAttempt,
                                       const net::http_answer_head& aHead)
{
  call_row* row = mCalls.Find(aAttempt);
  row->status = aHead.status;
  row->answerFields = mFront.answerFields(aHead.fields);
  if (const auto load = mFront.readLoad(aHead.fields)) {
    HandleLoad(aAttempt, *load);
  }
  routing::answer_head head =
    mFront.readAnswer(row->metadata, aHead.status, aHead.fields);
  head.isFirstOnConnection = aHead.isFirstOnConnection;
  row->head = head;
  LogLeaving(*row, head);
  row->answer = std::make_unique<answer_buffer>(
    row->isStreamed && routing::IsSuccess(aHead.status), head.startOffset);
  if (mFront.eventIdsRise) {
    const waiting_row* waiting = mWaiting.Find(row->request);
    row->answer->RequireRisingIds(waiting == nullptr ? "" : waiting->lastEvent);
  }
  routing::OnAttemptHeaders(mEngine, aAttempt, head, Now());
  if (!row->answer->IsStream() && StatesTooLargeLength(aHead.fields)) {
    EndForMemory(aAttempt,
                 "its length is above " + std::to_string(MaxHeldBytes()) +
                   " bytes");
  }
  mTimer.RunSoon();
}

void
request_runner::implementation::HandleLoad(attempt_id aAttempt,
                                           const routing::endpoint_load& aLoad)
{
  const auto* attempt = mEngine.attempts.Find(aAttempt);
  if (attempt == nullptr) {
    return;
  }
  const steady_time now = Now();
  routing::OnEndpointLoad(mEngine, attempt->endpoint, aLoad, now);
  if (aLoad.slowdown) {
    ++mLoadCounts.seen;
    mLoads.Record({ attempt->endpoint,
                    attempt->incarnation,
                    aLoad.running,
                    aLoad.queued,
                    aLoad.slowdown,
                    now,
                    0,
                    {} });
  }
}

// Requests that wait for a slot may go to an endpoint that has one now.
void
request_runner::implementation::HandleLoads(
  const std::vector<room::load_row>& aLoads)
{
  mLoadCounts.received += aLoads.size();
  for (const room::load_row& load : aLoads) {
    const bool isApplied =
      routing::OnSharedLoad(mEngine,
                            load.id,
                            load.incarnation,
                            { load.running, load.queued, load.slowdown },
                            load.observedAt);
    mLoadCounts.applied += isApplied ? 1 : 0;
  }
  mTimer.RunSoon();
}

load_counts
request_runner::implementation::Loads() const
{
  return mLoadCounts;
}

void
request_runner::implementation::OnBytes(attempt_id aAttempt,
                                        std::string_view aBytes)
{
  call_row* row = mCalls.Find(aAttempt);
  if (row->answer == nullptr) {
    return;
  }
  const std::uint64_t first = row->answer->NextUnit();
  const std::uint64_t count = row->answer->Add(aBytes);
  const std::size_t held = row->answer->BufferedBytes();
  row->held.Set(held);
  if (held > MaxHeldBytes()) {
    mClient->Cancel(row->call);
    LogFailure(*row,
               "truncated",
               "buffered more than " + std::to_string(MaxHeldBytes()) +
                 " bytes");
    End(aAttempt, routing::attempt_end::eTruncated);
    return;
  }
  routing::OnAttemptBytes(
    mEngine, aAttempt, first, count, row->answer->HasNewContent(), Now());
  if (row->answer->IsOutOfOrder()) {
    mClient->Cancel(row->call);
    LogFailure(*row, "out_of_order", "an event id does not follow");
    End(aAttempt, routing::attempt_end::eTruncated);
  }
  mTimer.RunSoon();
}

void
request_runner::implementation::OnEnd(attempt_id aAttempt,
                                      const net::http_call_end& aEnd)
{
  call_row& row = *mCalls.Find(aAttempt);
  if (aEnd.isComplete && row.answer != nullptr && !mFront.streamsHaveEndMark) {
    const std::uint64_t first = row.answer->NextUnit();
    const std::uint64_t count = row.answer->EndMessage();
    routing::OnAttemptBytes(
      mEngine, aAttempt, first, count, row.answer->HasNewContent(), Now());
  }
  auto how = routing::attempt_end::eLost;
  const char* text = "lost";
  if (!aEnd.requestSent) {
    how = routing::attempt_end::eNotSent;
    text = "not_sent";
  } else if (aEnd.isComplete && IsWhole(row) && !row.answer->IsOutOfOrder()) {
    how = routing::attempt_end::eComplete;
    text = "answered";
  } else if (row.answer != nullptr) {
    how = routing::attempt_end::eTruncated;
    text = "truncated";
  }
  const bool endsInsideEvent =
    row.answer != nullptr && row.answer->EndsInsideEvent();
  if (how != routing::attempt_end::eComplete ||
      !routing::IsSuccess(row.status)) {
    LogFailure(
      row, text, endsInsideEvent ? "ended inside an event" : aEnd.error);
  }
  if (aEnd.isClosedByPeer || endsInsideEvent) {
    routing::OnConnectionLost(mEngine, aAttempt);
  }
  End(aAttempt, how);
}

// Logged for the first answer of an endpoint that states so.
void
request_runner::implementation::LogLeaving(
  const call_row& aRow,
  const routing::answer_head& aHead) const
{
  const auto* attempt = mEngine.attempts.Find(aRow.id);
  const auto* endpoint =
    attempt == nullptr ? nullptr : mEngine.endpoints.Find(attempt->endpoint);
  if (aHead.isLeaving && endpoint != nullptr && !endpoint->isLeaving) {
    LogLeavingAnswer(aRow.metadata);
  }
}

void
request_runner::implementation::LogFailure(const call_row& aRow,
                                           const char* aHow,
                                           const std::string& aError) const
{
  if (const waiting_row* waiting = mWaiting.Find(aRow.request)) {
    LogFailedAttempt(waiting->request,
                     { aRow.metadata.endpoint,
                       aHow,
                       aRow.status,
                       aError,
                       Now() - aRow.startedAt,
                       aRow.head });
  }
}

void
request_runner::implementation::LogKept(const routing::kept_attempt& aKept,
                                        steady_time aNow) const
{
  const waiting_row* waiting = mWaiting.Find(aKept.request);
  const call_row* call = mCalls.Find(aKept.attempt);
  if (waiting != nullptr && call != nullptr) {
    LogKeptAttempt(waiting->request, call->metadata.endpoint, aKept, aNow);
  }
}

// A stream without its end mark, or that ends inside an event, is truncated
// even if the message is complete.
bool
request_runner::implementation::IsWhole(const call_row& aRow) const
{
  if (aRow.answer == nullptr || !aRow.answer->IsStream()) {
    return aRow.answer != nullptr;
  }
  return mFront.streamsHaveEndMark ? aRow.answer->HasEndMark()
                                   : !aRow.answer->EndsInsideEvent();
}

// Of a stream, only the events that are not forwarded yet are held.
std::size_t
request_runner::implementation::MaxHeldBytes() const
{
  return mAccount ? mAccount->Limits().maxAnswer
                  : std::numeric_limits<std::size_t>::max();
}

// A length that is stated and too large is no fault of the endpoint.
bool
request_runner::implementation::StatesTooLargeLength(
  const std::vector<net::http_field>& aFields) const
{
  const std::string* text = net::FindField(aFields, "Content-Length");
  std::size_t length = 0;
  return text != nullptr &&
         std::from_chars(text->data(), text->data() + text->size(), length)
             .ec == std::errc{} &&
         length > MaxHeldBytes();
}

memory::holder
request_runner::implementation::HoldAnswer(attempt_id aAttempt,
                                           endpoint_id aEndpoint)
{
  memory::holder_hooks hooks;
  hooks.onPause = [this, aAttempt](bool) { UpdatePause(aAttempt); };
  hooks.onEnd = [this, aAttempt](const std::string& aReason) {
    EndForMemory(aAttempt, aReason);
  };
  return { mAccount,
           memory::holder_kind::eAnswer,
           memory::owner_id{ aEndpoint.value },
           std::move(hooks) };
}

// An answer is not read while the account, or the caller's connection, has no
// room for it.
void
request_runner::implementation::UpdatePause(attempt_id aAttempt)
{
  call_row& row = *mCalls.Find(aAttempt);
  const bool isPaused = row.awaitsCaller || row.held.IsPaused();
  if (isPaused != row.isPaused) {
    row.isPaused = isPaused;
    isPaused ? mClient->Pause(row.call) : mClient->Resume(row.call);
    routing::OnAttemptPaused(mEngine, aAttempt, isPaused);
  }
}

void
request_runner::implementation::EndForMemory(attempt_id aAttempt,
                                             const std::string& aReason)
{
  call_row& row = *mCalls.Find(aAttempt);
  mClient->Cancel(row.call);
  LogFailure(row, "not_kept", aReason);
  End(aAttempt, routing::attempt_end::eNotKept);
}

// The row is kept until routing no longer needs its bytes.
void
request_runner::implementation::End(attempt_id aAttempt,
                                    routing::attempt_end aHow)
{
  mCalls.Find(aAttempt)->held.Complete();
  routing::OnAttemptEnd(mEngine, aAttempt, aHow, Now());
  mEnded.push_back(aAttempt);
  mTimer.RunSoon();
}

// Erases ended calls and requests that routing has removed.
void
request_runner::implementation::EraseEnded()
{
  for (const attempt_id attempt : mEnded) {
    if (mEngine.attempts.Find(attempt) == nullptr) {
      mCalls.Erase(attempt);
    }
  }
  std::erase_if(mEnded, [this](attempt_id aAttempt) {
    return mCalls.Find(aAttempt) == nullptr;
  });
  for (const request_id request : mAnswered) {
    if (mEngine.requests.Find(request) == nullptr) {
      mWaiting.Erase(request);
    }
  }
  std::erase_if(mAnswered, [this](request_id aRequest) {
    return mWaiting.Find(aRequest) == nullptr;
  });
}

void
request_runner::implementation::StartCall(const routing::start_attempt& aStart)
{
  waiting_row& waiting = *mWaiting.Find(aStart.request);
  // A stop shortens them.
  const auto& facts = mEngine.requests.Find(aStart.request)->facts;
  waiting.request.facts.deadline = facts.deadline;
  waiting.request.facts.lastByteDeadline = facts.lastByteDeadline;
  call_row row;
  row.metadata = AttemptOf(aStart, waiting);
  net::http_call call = waiting.request.call;
  call.url = "http://" + aStart.address + waiting.request.target;
  mFront.writeAttempt(row.metadata, call.fields);
  call.freshConnection = aStart.freshConnection;
  call.connectTimeout = std::min(kConnectTimeout, aStart.timeout);
  const attempt_id attempt = aStart.attempt;
  LogAttempt(mEngine, aStart, waiting.request, row.metadata, mView);
  row.id = attempt;
  row.startedAt = Now();
  row.request = aStart.request;
  row.isStreamed = waiting.request.facts.isStreamed;
  row.held = HoldAnswer(attempt, aStart.endpoint);
  row.call = mClient->Start(
    std::move(call),
    { [this, attempt](const net::http_answer_head& aHead) {
       OnHead(attempt, aHead);
     },
      [this, attempt](std::string_view aBytes) { OnBytes(attempt, aBytes); },
      [this, attempt](const net::http_call_end& aEnd) {
        OnEnd(attempt, aEnd);
      } });
  mCalls.Insert(std::move(row));
}

attempt_metadata
request_runner::implementation::AttemptOf(const routing::start_attempt& aStart,
                                          const waiting_row& aWaiting) const
{
  attempt_metadata metadata;
  metadata.attempt = aStart.attempt;
  metadata.callerId = aWaiting.request.callerId;
  metadata.workspace = aWaiting.request.workspaceName;
  const auto name = mEndpointNames.find(aStart.endpoint);
  metadata.endpoint = name == mEndpointNames.end() ? "" : name->second;
  const auto& facts = aWaiting.request.facts;
  const steady_time end =
    facts.isStreamed && facts.lastByteDeadline != steady_time::max()
      ? facts.lastByteDeadline
      : facts.deadline;
  metadata.timeLeft =
    std::max(std::chrono::milliseconds{ 1 },
             std::chrono::floor<std::chrono::milliseconds>(end - Now()));
  metadata.urgency = aStart.urgency;
  metadata.resumeOffset = aStart.resumeOffset;
  metadata.resumeAfter = aWaiting.lastEvent.empty()
                           ? aWaiting.request.resumeAfter
                           : aWaiting.lastEvent;
  return metadata;
}

// The client calls no hooks of a cancelled call, so its end is passed to
// routing here. The endpoint notices by the closed connection.
void
request_runner::implementation::Cancel(attempt_id aAttempt)
{
  if (const call_row* row = mCalls.Find(aAttempt)) {
    mClient->Cancel(row->call);
    LogFailure(*row, "given_up", "");
    End(aAttempt, routing::attempt_end::eCancelled);
  }
}

} // namespace bulrush::entry
