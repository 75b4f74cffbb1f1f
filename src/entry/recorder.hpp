#ifndef BULRUSH_ENTRY_RECORDER_HPP
#define BULRUSH_ENTRY_RECORDER_HPP

/// Metrics and spans of one traffic thread of bulrush-entry, as decorators of
/// replies and of the HTTP client.

#include "entry/load_reports.hpp"
#include "entry/tables.hpp"
#include "net/net.hpp"
#include "observe/observe.hpp"

#include <memory>

namespace bulrush::entry {

struct recorder_settings
{
  std::string thread;     ///< name of the traffic thread
  double traceShare = 0;  ///< sampled share of those without a traceparent
  std::uint64_t seed = 1; ///< of trace and span ids; new at each start
  span_writer writer;     ///< not set: no spans
};

/// Parts of prompts at this host.
struct quarantine_counts
{
  std::size_t quarantined = 0;
  std::size_t suspected = 0; ///< endpoints ended under them
};

/// Gauges of the metrics page that the recorder does not measure itself.
struct host_gauges
{
  std::uint64_t revision = 0;
  std::uint64_t number = 0; ///< of the manifest
  /// Time since the configuration was known to be the newest.
  std::chrono::nanoseconds configurationAge{ 0 };
  std::size_t endpoints = 0;
  std::size_t openRequests = 0;
  quarantine_counts quarantine;
  load_counts loads;
  bool hasLease = false;
  memory::usage memory;
  std::optional<usage_totals> usage; ///< not set: usage is not counted
};

class recorder
{
public:
  explicit recorder(recorder_settings aSettings);
  ~recorder();
  recorder(const recorder&) = delete;
  recorder& operator=(const recorder&) = delete;

  /// Begins the span of aRequest and sets it in the request's traceparent. The
  /// returned reply records the end of aReply and sends the trace id to the
  /// caller in the field Bulrush-Trace.
  std::shared_ptr<net::http_reply> Record(
    net::http_request& aRequest,
    std::shared_ptr<net::http_reply> aReply);

  /// A client that records each call as an attempt: a child of the span in the
  /// call's traceparent.
  std::unique_ptr<net::http_client> Record(
    std::unique_ptr<net::http_client> aClient);

  void CountSent(bool aIsOut);
  void CountRefusedPart(part_id aPart);

  /// The metrics in Prometheus text format.
  std::string Page(const host_gauges& aGauges);

  struct state;

private:
  std::shared_ptr<state> mState;
};

} // namespace bulrush::entry

#endif
