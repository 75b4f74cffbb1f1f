#ifndef BULRUSH_ENTRY_REQUEST_LOG_HPP
#define BULRUSH_ENTRY_REQUEST_LOG_HPP

/// Lines of the log that tell a request's story: each attempt with what it was
/// chosen by, how attempts failed, and the end.

#include "entry/requests.hpp"

namespace bulrush::entry {

/// aEngine holds the rows of the attempt and its endpoint.
void LogAttempt(const routing::tables& aEngine,
                const routing::start_attempt& aStart,
                const routed_request& aRequest,
                const attempt_call& aTold,
                std::uint64_t aRevision);

/// An attempt whose answer did not come whole, or was not a success.
struct failed_attempt
{
  std::string endpoint; ///< name
  const char* how = "";
  int status = 0; ///< zero: no answer began
  std::string error;
  std::chrono::nanoseconds took{};
};

void LogFailedAttempt(const routed_request& aRequest,
                      const failed_attempt& aAttempt);

void LogRequestEnd(const routed_request& aRequest,
                   const routing::end_request& aEnd,
                   int aStatus,
                   steady_time aNow);

} // namespace bulrush::entry

#endif
