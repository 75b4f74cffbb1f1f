#ifndef BULRUSH_ENTRY_REQUEST_LOG_HPP
#define BULRUSH_ENTRY_REQUEST_LOG_HPP

/// Log lines about a request: each attempt with the figures its endpoint was
/// chosen by, failed attempts, and the end.

#include "entry/requests.hpp"

namespace bulrush::entry {

/// Whole milliseconds, as log lines have them.
std::string Milliseconds(std::chrono::nanoseconds aTime);
/// Milliseconds since aSince; empty if that is not set.
std::string AgeOrNever(steady_time aNow, steady_time aSince);

/// aEngine holds the rows of the attempt and its endpoint.
void LogAttempt(const routing::tables& aEngine,
                const routing::start_attempt& aStart,
                const routed_request& aRequest,
                const attempt_metadata& aMetadata,
                const traffic_view& aView);

/// An attempt with an incomplete answer or an error status.
struct failed_attempt
{
  std::string endpoint; ///< name
  const char* result = "";
  int status = 0; ///< zero: no status line arrived
  std::string error;
  std::chrono::nanoseconds took{};
  std::optional<routing::answer_head> head;
};

/// An answer with the statement that its endpoint shuts down.
void LogLeavingAnswer(const attempt_metadata& aMetadata);

void LogFailedAttempt(const routed_request& aRequest,
                      const failed_attempt& aAttempt);

/// An attempt that is past its timeout and is not moved.
void LogKeptAttempt(const routed_request& aRequest,
                    const std::string& aEndpoint,
                    const routing::kept_attempt& aKept,
                    steady_time aNow);

/// An endpoint that is no longer listed while aInFlight attempts run there.
void LogRemovedEndpoint(const std::string& aEndpoint, std::uint32_t aInFlight);

/// The host begins to stop with aOpen requests open.
void LogStop(const stop_plan& aPlan, std::size_t aOpen, steady_time aNow);

/// The host exits.
void LogStopEnd(std::size_t aOpen, std::size_t aCommands);

/// What was sent to the caller before its request ended.
struct sent_answer
{
  int status = 0; ///< zero: the caller disconnected
  net::passed_body body;
  std::optional<std::uint64_t> events; ///< of a stream
};

void LogRequestEnd(const routed_request& aRequest,
                   const routing::end_request& aEnd,
                   const sent_answer& aSent,
                   steady_time aNow);

} // namespace bulrush::entry

#endif
