/// What callers receive: the bytes of answers, stored answers, errors.

#include "entry/request_runner.hpp"

#include "entry/outcomes.hpp"
#include "entry/request_log.hpp"

namespace bulrush::entry {

using net::Now;
using routing::request_outcome;

namespace {

constexpr std::size_t kPauseAtBytes = 262'144;

} // namespace

void
request_runner::implementation::OnDisconnected(request_id aRequest)
{
  routing::OnCallerDisconnected(mEngine, aRequest);
  mTimer.RunSoon();
}

void
request_runner::implementation::Forward(
  const routing::forward_to_caller& aForward)
{
  call_row& row = *mCalls.Find(aForward.attempt);
  waiting_row& waiting = *mWaiting.Find(aForward.request);
  waiting.status = aForward.status;
  waiting.answerFields = row.answerFields;
  std::string bytes = row.answer->Take(aForward.count);
  if (!row.answer->IsStream()) {
    waiting.body = std::move(bytes);
    row.held.Complete();
    waiting.held = std::move(row.held);
    return;
  }
  row.held.Set(row.answer->BufferedBytes());
  net::http_reply& reply = *waiting.request.reply;
  if (!waiting.isStarted) {
    waiting.isStarted = true;
    reply.Start(aForward.status, row.answerFields);
  }
  if (!row.answer->LastEvent().empty()) {
    waiting.lastEvent = row.answer->LastEvent();
  }
  waiting.events += aForward.count;
  reply.Write(std::move(bytes));
  if (reply.UnsentBytes() > kPauseAtBytes) {
    row.awaitsCaller = true;
    UpdatePause(row.id);
  }
}

// Resumes reading from the endpoint when the caller's connection has drained.
void
request_runner::implementation::OnDrained(request_id aRequest)
{
  for (call_row& row : mCalls) {
    if (row.request == aRequest && row.awaitsCaller) {
      row.awaitsCaller = false;
      UpdatePause(row.id);
    }
  }
}

void
request_runner::implementation::EndCaller(const routing::end_request& aEnd)
{
  waiting_row& row = *mWaiting.Find(aEnd.request);
  mAnswered.push_back(aEnd.request);
  const bool isStream = row.request.facts.isStreamed;
  const int status = StatusOf(aEnd, row);
  if (aEnd.part) {
    mOnRefusedPart(aEnd.part);
  }
  net::http_reply& reply = *row.request.reply;
  reply.onDisconnected = nullptr;
  reply.onDrained = nullptr;
  if (row.request.onEnded) {
    row.request.onEnded(UsedTokens(aEnd, row));
  }
  const steady_time now = Now();
  SendEnd(aEnd, row);
  LogRequestEnd(row.request,
                aEnd,
                { status,
                  reply.Passed(),
                  isStream ? std::optional(row.events) : std::nullopt },
                now);
}

void
request_runner::implementation::SendEnd(const routing::end_request& aEnd,
                                        waiting_row& aRow)
{
  net::http_reply& reply = *aRow.request.reply;
  if (aEnd.outcome == request_outcome::eCallerGone) {
    return;
  }
  if (aEnd.outcome == request_outcome::eAnswered) {
    FinishAnswer(aRow);
  } else if (aEnd.outcome == request_outcome::eStoredAnswer) {
    reply.Send(aRow.status,
               { { "Content-Type", ContentTypeOf(aRow.answerFields) },
                 { "Idempotent-Replay", "true" } },
               std::move(aRow.body));
  } else if (aRow.isStarted) {
    mFront.breakStream(reply, ErrorOf(aEnd), FormatId(aRow.id.value));
  } else {
    mFront.sendError(reply, ErrorOf(aEnd), FormatId(aRow.id.value));
  }
}

// Status sent to the caller; zero if the caller disconnected.
int
request_runner::implementation::StatusOf(const routing::end_request& aEnd,
                                         const waiting_row& aRow)
{
  if (aEnd.outcome == request_outcome::eCallerGone) {
    return 0;
  }
  const bool isAnswer = aEnd.outcome == request_outcome::eAnswered ||
                        aEnd.outcome == request_outcome::eStoredAnswer;
  return isAnswer || aRow.isStarted ? aRow.status : ErrorOf(aEnd).status;
}

// The usage of a stream is unknown, so its upper bound is charged.
std::optional<std::int64_t>
request_runner::implementation::UsedTokens(const routing::end_request& aEnd,
                                           const waiting_row& aRow) const
{
  if (aEnd.ran == routing::ran_state::eNotRun) {
    return 0;
  }
  return aRow.isStarted || !mFront.readUsage ? std::nullopt
                                             : mFront.readUsage(aRow.body);
}

void
request_runner::implementation::FinishAnswer(waiting_row& aRow)
{
  net::http_reply& reply = *aRow.request.reply;
  if (aRow.isStarted) {
    reply.Finish();
    return;
  }
  std::vector<net::http_field> fields = std::move(aRow.answerFields);
  fields.push_back({ "Bulrush-Request", FormatId(aRow.id.value) });
  reply.Send(aRow.status, fields, std::move(aRow.body));
}

} // namespace bulrush::entry
