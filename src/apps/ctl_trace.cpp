#include "apps/ctl_commands.hpp"
#include "observe/observe.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace bulrush::ctl {
namespace {

using milliseconds_double = std::chrono::duration<double, std::milli>;

// Skips lines of other traces before parsing, since a file may hold many
// thousands.
void
ReadSpanFile(const std::string& aName,
             const std::string& aTrace,
             std::vector<parsed_span>& aSpans)
{
  std::ifstream file(aName);
  for (std::string line; std::getline(file, line);) {
    if (line.find(aTrace) == std::string::npos) {
      continue;
    }
    last_reason unreadable;
    if (auto span = ParseSpan(line, unreadable)) {
      aSpans.push_back(std::move(*span));
    }
  }
}

const parsed_span*
FindSpan(const std::vector<parsed_span>& aSpans, const span_id& aId)
{
  const auto found = std::find_if(
    aSpans.begin(), aSpans.end(), [&aId](const parsed_span& aSpan) {
      return aSpan.span.context.span == aId;
    });
  return found == aSpans.end() ? nullptr : &*found;
}

// The depth is bounded by the number of spans, so that a cycle of parents in a
// damaged file does not loop forever.
std::size_t
DepthOf(const std::vector<parsed_span>& aSpans, const parsed_span& aSpan)
{
  std::size_t depth = 0;
  const parsed_span* parent = FindSpan(aSpans, aSpan.span.parent);
  while (parent != nullptr && depth < aSpans.size()) {
    ++depth;
    parent = FindSpan(aSpans, parent->span.parent);
  }
  return depth;
}

std::string
FormatHop(const std::vector<parsed_span>& aSpans,
          const parsed_span& aSpan,
          wall_time aBegin)
{
  const span_row& row = aSpan.span;
  std::string line =
    fmt::format("{:>9.2f} ms {:>9.2f} ms  {}{} on {} ({})",
                milliseconds_double(row.start - aBegin).count(),
                milliseconds_double(row.end - row.start).count(),
                std::string(2 * DepthOf(aSpans, aSpan), ' '),
                row.name,
                aSpan.source.host,
                aSpan.source.domain);
  for (const span_attribute& each : row.attributes) {
    line += fmt::format(" {}={}", each.name, each.value);
  }
  if (!row.failure.empty()) {
    line += " FAILED: " + row.failure;
  }
  return line;
}

} // namespace

int
ShowTrace(const call_settings& aSettings,
          const std::string& aTrace,
          last_reason& aReason)
{
  if (!aSettings.logFiles.empty()) {
    return ShowRequest(aSettings.logFiles, aTrace, aReason);
  }
  if (!ParseTraceId(aTrace, aReason)) {
    return eExitUsage;
  }
  std::vector<parsed_span> spans;
  for (const std::string& file : aSettings.spanFiles) {
    ReadSpanFile(file + ".1", aTrace, spans);
    ReadSpanFile(file, aTrace, spans);
  }
  if (spans.empty()) {
    Fail(aReason, "read spans", aTrace, "no file that --spans names holds it");
    return eExitNotDone;
  }
  std::stable_sort(spans.begin(),
                   spans.end(),
                   [](const parsed_span& aLeft, const parsed_span& aRight) {
                     return aLeft.span.start < aRight.span.start;
                   });
  for (const parsed_span& span : spans) {
    const std::string line =
      aSettings.isJson ? FormatSpan(span.span, span.source)
                       : FormatHop(spans, span, spans.front().span.start);
    std::fputs((line + "\n").c_str(), stdout);
  }
  return eExitDone;
}

} // namespace bulrush::ctl
