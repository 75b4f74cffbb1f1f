#include "entry/request_log.hpp"

#include "observe/observe.hpp"
#include "program/program.hpp"

namespace bulrush::entry {
namespace {

constexpr log_component kLog{ "request" };

// Of the head of an attempt's answer; empty without one.
struct head_texts
{
  std::string echo;
  std::string connection;
  std::string retryAfter;
};

head_texts
TextsOf(const std::optional<routing::answer_head>& aHead)
{
  head_texts texts;
  if (aHead) {
    texts.echo = aHead->echoed ? "yes" : "no";
    texts.connection = aHead->isFirstOnConnection ? "new" : "kept";
  }
  if (aHead && aHead->retryAfter) {
    texts.retryAfter = std::to_string(aHead->retryAfter->count());
  }
  return texts;
}

} // namespace

std::string
Milliseconds(std::chrono::nanoseconds aTime)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count());
}

std::string
AgeOrNever(steady_time aNow, steady_time aSince)
{
  return aSince == steady_time{} ? "" : Milliseconds(aNow - aSince);
}

void
LogAttempt(const routing::tables& aEngine,
           const routing::start_attempt& aStart,
           const routed_request& aRequest,
           const attempt_metadata& aMetadata,
           const traffic_view& aView)
{
  if (!IsLogged(log_level::eInfo)) {
    return;
  }
  const routing::endpoint_row& endpoint =
    *aEngine.endpoints.Find(aStart.endpoint);
  const routing::attempt_row& attempt = *aEngine.attempts.Find(aStart.attempt);
  const routing::request_row& request = *aEngine.requests.Find(aStart.request);
  const auto told = endpoint.facts.reportedInFlight;
  LogEvent(
    kLog,
    log_level::eInfo,
    "attempt",
    { { "request", aRequest.callerId },
      { "number", std::to_string(request.attemptsMade) },
      { "endpoint", aMetadata.endpoint },
      { "waited_ms", Milliseconds(attempt.startedAt - aRequest.arrivedAt) },
      { "time_left_ms", std::to_string(aMetadata.timeLeft.count()) },
      { "own_running", std::to_string(endpoint.inFlight) },
      { "reported_running",
        told ? std::to_string(*told) : std::string("unknown") },
      { "report_age_ms",
        told ? Milliseconds(attempt.startedAt - endpoint.facts.reportedAt)
             : "" },
      { "cold", endpoint.coldStart.isCold ? "yes" : "no" },
      { "resumed_at", std::to_string(aStart.resumeOffset) },
      { "revision", std::to_string(aView.fleet->revision) },
      { "number", std::to_string(aView.fleet->declared.number) },
      { "confirmed_by", aView.confirmedBy },
      { "confirmed_age_ms", AgeOrNever(attempt.startedAt, aView.confirmedAt) },
      { "update_age_ms", AgeOrNever(attempt.startedAt, aView.updatedAt) } });
}

void
LogLeavingAnswer(const attempt_metadata& aMetadata)
{
  LogEvent(
    kLog,
    log_level::eInfo,
    "endpoint_leaving",
    { { "endpoint", aMetadata.endpoint }, { "request", aMetadata.callerId } });
}

void
LogFailedAttempt(const routed_request& aRequest, const failed_attempt& aAttempt)
{
  const head_texts head = TextsOf(aAttempt.head);
  LogEvent(kLog,
           log_level::eInfo,
           "attempt_failed",
           { { "request", aRequest.callerId },
             { "endpoint", aAttempt.endpoint },
             { "how", aAttempt.result },
             { "status", std::to_string(aAttempt.status) },
             { "error", aAttempt.error },
             { "echo", head.echo },
             { "connection", head.connection },
             { "retry_after_ms", head.retryAfter },
             { "took_ms", Milliseconds(aAttempt.took) },
             { "parts", DescribeParts(aRequest.facts.sharedParts) } });
}

void
LogKeptAttempt(const routed_request& aRequest,
               const std::string& aEndpoint,
               const routing::kept_attempt& aKept,
               steady_time aNow)
{
  LogEvent(
    kLog,
    log_level::eInfo,
    "attempt_kept",
    { { "request", aRequest.callerId },
      { "endpoint", aEndpoint },
      { "reason", routing::Name(aKept.reason) },
      { "idle_ms", Milliseconds(aKept.idle) },
      { "time_left_ms", Milliseconds(aRequest.facts.deadline - aNow) } });
}

void
LogRemovedEndpoint(const std::string& aEndpoint, std::uint32_t aInFlight)
{
  LogEvent(
    kLog,
    log_level::eInfo,
    "endpoint_removed",
    { { "endpoint", aEndpoint }, { "in_flight", std::to_string(aInFlight) } });
}

void
LogStop(const stop_plan& aPlan, std::size_t aOpen, steady_time aNow)
{
  LogEvent(kLog,
           log_level::eInfo,
           "stop_begun",
           { { "open_requests", std::to_string(aOpen) },
             { "refuse_in_ms", Milliseconds(aPlan.refuseAt - aNow) },
             { "finish_in_ms", Milliseconds(aPlan.finishBy - aNow) },
             { "exit_in_ms", Milliseconds(aPlan.exitBy - aNow) } });
}

void
LogStopEnd(std::size_t aOpen, std::size_t aCommands)
{
  const bool isClean = aOpen == 0 && aCommands == 0;
  LogEvent(kLog,
           isClean ? log_level::eInfo : log_level::eWarning,
           "stop_ended",
           { { "open_requests", std::to_string(aOpen) },
             { "open_commands", std::to_string(aCommands) } });
}

void
LogRequestEnd(const routed_request& aRequest,
              const routing::end_request& aEnd,
              const sent_answer& aSent,
              steady_time aNow)
{
  const std::optional<steady_time> firstAt = aSent.body.firstAt;
  LogEvent(kLog,
           log_level::eInfo,
           "request_ended",
           { { "request", aRequest.callerId },
             { "workspace", aRequest.workspaceName },
             { "path", aRequest.path },
             { "outcome", routing::Name(aEnd.outcome) },
             { "ran", routing::Name(aEnd.ran) },
             { "status", std::to_string(aSent.status) },
             { "step", aEnd.reason.step },
             { "part", aEnd.part ? FormatId(aEnd.part.value) : "" },
             { "took_ms", Milliseconds(aNow - aRequest.arrivedAt) },
             { "sent_bytes", std::to_string(aSent.body.bytes) },
             { "first_byte_ms",
               firstAt ? Milliseconds(*firstAt - aRequest.arrivedAt) : "" },
             { "events", aSent.events ? std::to_string(*aSent.events) : "" } });
}

} // namespace bulrush::entry
