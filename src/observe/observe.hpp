#ifndef BULRUSH_OBSERVE_OBSERVE_HPP
#define BULRUSH_OBSERVE_OBSERVE_HPP

/// Public header of the observe library: logs, metrics and spans.

#include "core/core.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>

#include <filesystem>

namespace bulrush {

// ---------------------------------------------------------------------------
// Logs

/// Severity of a log line. Lines below the current level are not formatted.
enum class log_level
{
  eDebug,
  eInfo,
  eWarning,
  eError
};

/// A component of a program; its lines start with the prefix.
struct log_component
{
  const char* prefix;
};

/// Receives one complete line without its line feed.
using log_sink = std::function<void(std::string_view)>;

/// Sets the lowest level that is logged; initially eInfo. Thread-safe.
void SetLogLevel(log_level aLevel);
bool IsLogged(log_level aLevel);

/// "debug", "info", "warning" or "error"; nullopt for any other word.
std::optional<log_level> ParseLogLevel(std::string_view aWord,
                                       last_reason& aReason);

/// Redirects log lines from standard error to standard output, written by a
/// background thread. If that thread falls behind, lines are dropped and their
/// number is logged. For programs whose standard output is their log.
void LogToStandardOutput();

/// Sends log lines to aSink instead; an empty sink restores the default.
/// Must be called before other threads start.
void SetLogSink(log_sink aSink);

/// One line, "prefix 2026-12-04T08:30:00.125Z info: text", without line feeds
/// or other control characters and with keys after "Bearer" removed.
std::string FormatLogLine(const log_component& aPart,
                          log_level aLevel,
                          wall_time aWhen,
                          std::string_view aText);

/// Writes one line, stamped with the current time, in a single write.
void WriteLog(const log_component& aPart,
              log_level aLevel,
              std::string_view aText);

/// Writes each line of aText as a separate log line with the prefix.
void WriteLogLines(const log_component& aPart,
                   log_level aLevel,
                   std::string_view aText);

/// A named value of an event.
struct log_field
{
  std::string_view name;
  std::string value;
};

/// "event name=value name="a value"", the form of machine-readable log lines.
std::string FormatEvent(std::string_view aEvent,
                        std::span<const log_field> aFields);
std::string FormatEvent(std::string_view aEvent,
                        std::initializer_list<log_field> aFields);

/// Logs one event as a line.
void LogEvent(const log_component& aPart,
              log_level aLevel,
              std::string_view aEvent,
              std::initializer_list<log_field> aFields);

template<class... arguments>
void
Log(const log_component& aPart,
    log_level aLevel,
    fmt::format_string<arguments...> aFormat,
    arguments&&... aArguments)
{
  if (IsLogged(aLevel)) {
    WriteLog(aPart,
             aLevel,
             fmt::format(aFormat, std::forward<arguments>(aArguments)...));
  }
}

template<class... arguments>
void
LogDebug(const log_component& aPart,
         fmt::format_string<arguments...> aFormat,
         arguments&&... aArguments)
{
  Log(
    aPart, log_level::eDebug, aFormat, std::forward<arguments>(aArguments)...);
}

template<class... arguments>
void
LogInfo(const log_component& aPart,
        fmt::format_string<arguments...> aFormat,
        arguments&&... aArguments)
{
  Log(aPart, log_level::eInfo, aFormat, std::forward<arguments>(aArguments)...);
}

template<class... arguments>
void
LogWarning(const log_component& aPart,
           fmt::format_string<arguments...> aFormat,
           arguments&&... aArguments)
{
  Log(aPart,
      log_level::eWarning,
      aFormat,
      std::forward<arguments>(aArguments)...);
}

template<class... arguments>
void
LogError(const log_component& aPart,
         fmt::format_string<arguments...> aFormat,
         arguments&&... aArguments)
{
  Log(
    aPart, log_level::eError, aFormat, std::forward<arguments>(aArguments)...);
}

/// aText with the key after each "Bearer" replaced, for logs and spans.
std::string RedactKeys(std::string_view aText);

/// UTC in RFC 3339 with milliseconds, e.g. "2026-12-04T08:30:00.125Z".
std::string FormatWallTime(wall_time aWhen);

// ---------------------------------------------------------------------------
// Metrics

enum class metric_kind
{
  eCounter,
  eGauge,
  eDuration ///< a histogram, in seconds
};

/// A metric, declared once by a program as a constant. Names of counters end
/// in "_total", those of durations in "_seconds".
struct metric_definition
{
  const char* name;
  metric_kind kind;
  const char* help;
};

struct metric_label
{
  std::string name;
  std::string value;
};

using metric_labels = std::vector<metric_label>;

/// Upper bounds of the histogram's buckets; a last bucket is unbounded.
inline constexpr std::array<std::chrono::microseconds, 16> kDurationBuckets = {
  std::chrono::microseconds{ 100 },  std::chrono::microseconds{ 250 },
  std::chrono::microseconds{ 500 },  std::chrono::milliseconds{ 1 },
  std::chrono::microseconds{ 2500 }, std::chrono::milliseconds{ 5 },
  std::chrono::milliseconds{ 10 },   std::chrono::milliseconds{ 25 },
  std::chrono::milliseconds{ 50 },   std::chrono::milliseconds{ 100 },
  std::chrono::milliseconds{ 250 },  std::chrono::milliseconds{ 550 },
  std::chrono::seconds{ 1 },         std::chrono::milliseconds{ 2500 },
  std::chrono::seconds{ 10 },        std::chrono::seconds{ 60 }
};

/// The quantiles estimated for each duration.
inline constexpr std::array<double, 3> kDurationQuantiles = { 0.5, 0.95, 0.99 };

/// Count, sum, largest value and estimated quantiles, in seconds.
using duration_accumulator = boost::accumulators::accumulator_set<
  double,
  boost::accumulators::stats<boost::accumulators::tag::count,
                             boost::accumulators::tag::sum,
                             boost::accumulators::tag::max,
                             boost::accumulators::tag::extended_p_square>>;

using metric_row_id = typed_id<struct metric_row_tag>;

/// One time series: a metric with one set of labels.
struct metric_row
{
  metric_row_id id;
  const metric_definition* definition = nullptr;
  std::string labels; ///< as in the text format, sorted, without braces
  double value = 0;   ///< of a counter or gauge
  std::array<std::uint64_t, kDurationBuckets.size() + 1> buckets{};
  std::optional<duration_accumulator> durations;
};

/// The metrics of one thread. Not synchronized: other threads read a copy that
/// the owning thread makes.
class metrics
{
public:
  explicit metrics(std::string aThread)
    : mThread(std::move(aThread))
  {
  }

  /// Adds to a counter.
  void Add(const metric_definition& aDefinition,
           const metric_labels& aLabels = {},
           double aAmount = 1);

  /// Sets a gauge. The exported value is the sum over all threads.
  void Set(const metric_definition& aDefinition,
           double aValue,
           const metric_labels& aLabels = {});

  /// Adds one duration to a histogram.
  void Observe(const metric_definition& aDefinition,
               std::chrono::nanoseconds aDuration,
               const metric_labels& aLabels = {});

  const std::string& Thread() const { return mThread; }
  std::span<const metric_row> Rows() const { return mRows.Rows(); }

private:
  metric_row& RowOf(const metric_definition& aDefinition,
                    const metric_labels& aLabels);

  std::string mThread;
  table<metric_row_id, metric_row> mRows;
};

/// All threads' metrics in Prometheus text format 0.0.4. Counters, gauges and
/// buckets are summed over threads; quantiles cannot be summed and carry a
/// label "thread".
std::string PrometheusText(std::span<const metrics> aThreads);

// ---------------------------------------------------------------------------
// Spans

struct trace_id
{
  std::array<std::uint8_t, 16> bytes{};
  auto operator<=>(const trace_id&) const = default;
};

struct span_id
{
  std::array<std::uint8_t, 8> bytes{};
  auto operator<=>(const span_id&) const = default;
};

std::string FormatHex(std::span<const std::uint8_t> aBytes);

/// 32 hexadecimal digits, not all zero. Source: W3C Trace Context, 3.2.2.3.
std::optional<trace_id> ParseTraceId(std::string_view aText,
                                     last_reason& aReason);

/// Trace context that is propagated from one hop to the next.
struct trace_context
{
  trace_id trace;
  span_id span;
  bool sampled = true;
};

/// The header "traceparent". Source: W3C Trace Context, section 3.2.
std::optional<trace_context> ParseTraceparent(std::string_view aHeader,
                                              last_reason& aReason);
std::string FormatTraceparent(const trace_context& aContext);

/// Starts a new trace, or continues aParent's trace with a new span.
trace_context NewTrace(random_engine& aRandom);
trace_context ChildOf(const trace_context& aParent, random_engine& aRandom);

enum class span_kind
{
  eInternal = 1,
  eServer = 2,
  eClient = 3
};

struct span_attribute
{
  std::string name;
  std::string value;
};

/// One hop of a request.
struct span_row
{
  trace_context context;
  span_id parent; ///< all zero for the first hop
  std::string name;
  span_kind kind = span_kind::eInternal;
  wall_time start;
  wall_time end;
  std::vector<span_attribute> attributes;
  std::string failure; ///< error text; empty if the hop succeeded
};

/// The process that writes a span.
struct span_source
{
  std::string service; ///< e.g. "bulrush-entry"
  std::string host;
  std::string domain;
};

/// One OTLP/JSON document on one line. Values of attributes that may contain a
/// credential (authorization, api-key, cookie, secret) are removed.
std::string FormatSpan(const span_row& aSpan, const span_source& aSource);

/// The inverse of FormatSpan.
struct parsed_span
{
  span_row span;
  span_source source;
};
std::optional<parsed_span> ParseSpan(std::string_view aLine,
                                     last_reason& aReason);

/// Writes a finished span. An empty function means that spans are disabled.
using span_writer = std::function<void(const span_row&)>;

/// Appends spans to aFile; at aMaxBytes the file is renamed to "FILE.1" and a
/// new one is started. Several threads may each have a writer to the same file.
std::optional<span_writer> FileSpanWriter(const std::filesystem::path& aFile,
                                          span_source aSource,
                                          std::uint64_t aMaxBytes,
                                          last_reason& aReason);

} // namespace bulrush

#endif
