#include "observe/observe.hpp"

#include <algorithm>
#include <map>

namespace bulrush {
namespace {

namespace accumulators = boost::accumulators;

using seconds_double = std::chrono::duration<double>;

std::string
EscapeLabel(std::string_view aValue)
{
  std::string escaped;
  for (const char each : aValue) {
    if (each == '\\' || each == '"') {
      escaped += '\\';
      escaped += each;
    } else if (each == '\n') {
      escaped += "\\n";
    } else {
      escaped += each;
    }
  }
  return escaped;
}

// Labels are sorted, so that a series does not depend on the order in which its
// labels are given.
std::string
FormatLabels(metric_labels aLabels)
{
  std::sort(aLabels.begin(),
            aLabels.end(),
            [](const metric_label& aLeft, const metric_label& aRight) {
              return aLeft.name < aRight.name;
            });
  std::string text;
  for (const metric_label& label : aLabels) {
    if (!text.empty()) {
      text += ',';
    }
    text += fmt::format("{}=\"{}\"", label.name, EscapeLabel(label.value));
  }
  return text;
}

std::string
JoinLabels(const std::string& aLeft, const std::string& aRight)
{
  return aLeft.empty() ? aRight : aLeft + "," + aRight;
}

std::string
InBraces(const std::string& aLabels)
{
  return aLabels.empty() ? std::string() : "{" + aLabels + "}";
}

std::size_t
BucketIndex(std::chrono::nanoseconds aDuration)
{
  const auto* const found = std::lower_bound(
    kDurationBuckets.begin(), kDurationBuckets.end(), aDuration);
  return static_cast<std::size_t>(found - kDurationBuckets.begin());
}

// One time series, summed over threads.
struct merged_series
{
  double value = 0;
  std::array<std::uint64_t, kDurationBuckets.size() + 1> buckets{};
  std::uint64_t count = 0;
  double sum = 0;
  std::string quantiles; // formatted lines, one set per thread
};

// One metric with its series. The maps are ordered by name and label text, so
// that the output does not depend on the order of events.
struct merged_metric
{
  const metric_definition* definition = nullptr;
  std::map<std::string, merged_series> series;
};

std::string
FormatQuantiles(const metric_row& aRow, const std::string& aThread)
{
  const std::string name = std::string(aRow.definition->name) + "_quantile";
  const auto estimates = accumulators::extended_p_square(*aRow.durations);
  auto estimate = estimates.begin();
  std::string text;
  for (std::size_t i = 0; i < kDurationQuantiles.size(); ++i) {
    const std::string labels = fmt::format("thread=\"{}\",quantile=\"{}\"",
                                           EscapeLabel(aThread),
                                           kDurationQuantiles[i]);
    text += fmt::format("{}{} {}\n",
                        name,
                        InBraces(JoinLabels(aRow.labels, labels)),
                        *estimate++);
  }
  return text;
}

void
MergeRow(const metric_row& aRow,
         const std::string& aThread,
         std::map<std::string, merged_metric>& aMerged)
{
  merged_metric& metric = aMerged[aRow.definition->name];
  metric.definition = aRow.definition;
  merged_series& series = metric.series[aRow.labels];
  series.value += aRow.value;
  if (!aRow.durations) {
    return;
  }
  for (std::size_t i = 0; i < aRow.buckets.size(); ++i) {
    series.buckets[i] += aRow.buckets[i];
  }
  series.count += accumulators::count(*aRow.durations);
  series.sum += accumulators::sum(*aRow.durations);
  series.quantiles += FormatQuantiles(aRow, aThread);
}

std::string
FormatHistogram(const std::string& aName,
                const std::string& aLabels,
                const merged_series& aSeries)
{
  std::string text;
  std::uint64_t cumulative = 0;
  for (std::size_t i = 0; i < aSeries.buckets.size(); ++i) {
    cumulative += aSeries.buckets[i];
    const std::string bound =
      i < kDurationBuckets.size()
        ? fmt::format("{}", seconds_double(kDurationBuckets[i]).count())
        : "+Inf";
    const std::string labels =
      JoinLabels(aLabels, fmt::format("le=\"{}\"", bound));
    text += fmt::format("{}_bucket{{{}}} {}\n", aName, labels, cumulative);
  }
  text += fmt::format("{}_sum{} {}\n", aName, InBraces(aLabels), aSeries.sum);
  text +=
    fmt::format("{}_count{} {}\n", aName, InBraces(aLabels), aSeries.count);
  return text;
}

const char*
TypeName(metric_kind aKind)
{
  switch (aKind) {
    case metric_kind::eCounter:
      return "counter";
    case metric_kind::eGauge:
      return "gauge";
    case metric_kind::eDuration:
      break;
  }
  return "histogram";
}

std::string
FormatHeader(const std::string& aName, const char* aHelp, const char* aType)
{
  return fmt::format(
    "# HELP {} {}\n# TYPE {} {}\n", aName, aHelp, aName, aType);
}

std::string
FormatMetric(const std::string& aName, const merged_metric& aMetric)
{
  const metric_definition& definition = *aMetric.definition;
  std::string text =
    FormatHeader(aName, definition.help, TypeName(definition.kind));
  std::string quantiles;
  for (const auto& [labels, series] : aMetric.series) {
    if (definition.kind == metric_kind::eDuration) {
      text += FormatHistogram(aName, labels, series);
      quantiles += series.quantiles;
    } else {
      text += fmt::format("{}{} {}\n", aName, InBraces(labels), series.value);
    }
  }
  if (!quantiles.empty()) {
    text += FormatHeader(aName + "_quantile", definition.help, "gauge");
    text += quantiles;
  }
  return text;
}

} // namespace

metric_row&
metrics::RowOf(const metric_definition& aDefinition,
               const metric_labels& aLabels)
{
  std::string labels = FormatLabels(aLabels);
  const auto id =
    IdOf<metric_row_id>(std::string(aDefinition.name) + "{" + labels);
  if (metric_row* const row = mRows.Find(id)) {
    return *row;
  }
  metric_row row;
  row.id = id;
  row.definition = &aDefinition;
  row.labels = std::move(labels);
  if (aDefinition.kind == metric_kind::eDuration) {
    row.durations.emplace(accumulators::tag::extended_p_square::probabilities =
                            kDurationQuantiles);
  }
  return mRows.Insert(std::move(row));
}

void
metrics::Add(const metric_definition& aDefinition,
             const metric_labels& aLabels,
             double aAmount)
{
  RowOf(aDefinition, aLabels).value += aAmount;
}

void
metrics::Set(const metric_definition& aDefinition,
             double aValue,
             const metric_labels& aLabels)
{
  RowOf(aDefinition, aLabels).value = aValue;
}

// Buckets can be summed over threads and hosts and serve fleet-wide queries.
// The accumulator's quantiles cannot be summed and describe this thread only.
void
metrics::Observe(const metric_definition& aDefinition,
                 std::chrono::nanoseconds aDuration,
                 const metric_labels& aLabels)
{
  metric_row& row = RowOf(aDefinition, aLabels);
  if (!row.durations) {
    return;
  }
  ++row.buckets[BucketIndex(aDuration)];
  (*row.durations)(seconds_double(aDuration).count());
}

std::string
PrometheusText(std::span<const metrics> aThreads)
{
  std::map<std::string, merged_metric> merged;
  for (const metrics& thread : aThreads) {
    for (const metric_row& row : thread.Rows()) {
      MergeRow(row, thread.Thread(), merged);
    }
  }
  std::string text;
  for (const auto& [name, metric] : merged) {
    text += FormatMetric(name, metric);
  }
  return text;
}

} // namespace bulrush
