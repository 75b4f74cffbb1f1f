/// Limits in time and size of a caller's connection.

#include "net/http_connection.hpp"

namespace bulrush::net {

// Also for the first byte of a head.
void
http_connection::BeginHead()
{
  mPhase = phase::eHead;
  mHeadStart = Now();
  mLimits = mState->settings;
}

// Callers keep to the newest limits that they know, so neither lower nor higher
// ones reach all callers at once.
http_server_limits
http_connection::Limits() const
{
  const http_server_limits& now = mState->settings;
  http_server_limits limits = mLimits;
  limits.maxHeaderBytes = std::max(limits.maxHeaderBytes, now.maxHeaderBytes);
  limits.maxBodyBytes = std::max(limits.maxBodyBytes, now.maxBodyBytes);
  limits.headerTimeout = std::max(limits.headerTimeout, now.headerTimeout);
  limits.idleTimeout = std::max({ limits.idleTimeout,
                                  now.idleTimeout,
                                  std::chrono::milliseconds(mKeepAliveTime) });
  return limits;
}

steady_time
http_connection::Deadline() const
{
  if (mPhase != phase::eHead) {
    return mPhaseDeadline;
  }
  const http_server_limits limits = Limits();
  return mHeadStart +
         (mInput.empty() ? limits.idleTimeout : limits.headerTimeout);
}

steady_time
http_connection::CheckTimeout(steady_time aNow)
{
  if (IsClosed()) {
    return steady_time::max();
  }
  const steady_time deadline = Deadline();
  if (mIsReadPaused) {
    return steady_time::max();
  }
  if (aNow < deadline) {
    return deadline;
  }
  const bool isIdle = mPhase == phase::eHead && mInput.empty();
  std::error_code ignored; // a lost connection fails at its read
  if (isIdle && mSocket.available(ignored) > 0) {
    return aNow; // a request has begun to arrive and is read first
  }
  if (IsPartial()) {
    Refuse(408, "the request took too long to arrive");
    return steady_time::max();
  }
  Close();
  return steady_time::max();
}

} // namespace bulrush::net
