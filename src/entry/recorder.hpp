#ifndef BULRUSH_ENTRY_RECORDER_HPP
#define BULRUSH_ENTRY_RECORDER_HPP

/// Metrics and spans of one traffic thread of bulrush-entry. It stands around
/// replies and the client, so that what serves requests knows nothing of it.

#include "net/net.hpp"
#include "observe/observe.hpp"

#include <memory>

namespace bulrush::entry {

struct recorder_settings
{
  std::string thread;     ///< name of the traffic thread
  double traceShare = 0;  ///< of requests that come without a traceparent
  std::uint64_t seed = 1; ///< of trace and span ids: new each start
  span_writer writer;     ///< empty: no spans
};

/// What the page of metrics shows besides what was recorded.
struct host_gauges
{
  std::uint64_t revision = 0;
  std::size_t endpoints = 0;
  std::size_t openRequests = 0;
  bool hasLease = false;
};

class recorder
{
public:
  explicit recorder(recorder_settings aSettings);
  ~recorder();
  recorder(const recorder&) = delete;
  recorder& operator=(const recorder&) = delete;

  /// Begins the span of aRequest and writes it into its traceparent. The reply
  /// returned records how aReply ends and names the trace to the caller in the
  /// field Bulrush-Trace.
  std::shared_ptr<net::http_reply> Record(
    net::http_request& aRequest,
    std::shared_ptr<net::http_reply> aReply);

  /// A client that records each call as an attempt below the span that the
  /// call's traceparent names.
  std::unique_ptr<net::http_client> Record(
    std::unique_ptr<net::http_client> aClient);

  /// Prometheus text.
  std::string Page(const host_gauges& aGauges);

  struct state;

private:
  std::shared_ptr<state> mState;
};

} // namespace bulrush::entry

#endif
