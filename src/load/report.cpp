#include "load/load.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace bulrush::load {
namespace {

using milliseconds_double = std::chrono::duration<double, std::milli>;
using seconds_double = std::chrono::duration<double>;

constexpr double kPercent = 100;

// Geometry of the plot, in pixels.
constexpr double kWidth = 900;
constexpr double kHeight = 320;
constexpr double kMargin = 40;

double
ToMilliseconds(offset aOffset)
{
  return milliseconds_double(aOffset).count();
}

std::string
FormatLatency(const char* aName, const latency_summary& aSummary)
{
  return fmt::format("{:<16} {:>8} {:>9.2f} {:>9.2f} {:>9.2f} {:>9.2f}\n",
                     aName,
                     aSummary.count,
                     ToMilliseconds(aSummary.p50),
                     ToMilliseconds(aSummary.p95),
                     ToMilliseconds(aSummary.p99),
                     ToMilliseconds(aSummary.longest));
}

// The latency overhead of the entry hosts: the difference between percentiles
// of two samples from the same run, one sent through the entry hosts and one
// sent directly to endpoints.
std::string
FormatEntryOverhead(const load_measures& aMeasures)
{
  const latency_summary& entry = aMeasures.firstToken;
  const latency_summary& direct = aMeasures.firstTokenDirect;
  return fmt::format("{:<16} {:>8} {:>9.2f} {:>9.2f} {:>9.2f} {:>9.2f}\n",
                     "  added by entry",
                     "",
                     ToMilliseconds(entry.p50 - direct.p50),
                     ToMilliseconds(entry.p95 - direct.p95),
                     ToMilliseconds(entry.p99 - direct.p99),
                     ToMilliseconds(entry.longest - direct.longest));
}

std::string
FormatWorkspaces(const load_measures& aMeasures)
{
  std::string text = fmt::format("{:<24} {:>7} {:>7} {:>8} {:>8} {:>9} {:>8}\n",
                                 "workspace",
                                 "asked",
                                 "in rate",
                                 "on time",
                                 "refused",
                                 "of which",
                                 "excess");
  text += fmt::format("{:<24} {:>7} {:>7} {:>8} {:>8} {:>9} {:>8}\n",
                      "",
                      "",
                      "",
                      "in rate",
                      "",
                      "in rate",
                      "tokens");
  for (const workspace_measure& each : aMeasures.workspaces) {
    text += fmt::format("{:<24} {:>7} {:>7} {:>7.2f}% {:>8} {:>9} {:>8.0f}\n",
                        each.name,
                        each.requests,
                        each.withinRate,
                        kPercent * each.Attainment(),
                        each.refused,
                        each.refusedWithinRate,
                        each.excessTokens);
  }
  return text;
}

std::string
FormatPhases(const load_measures& aMeasures)
{
  std::string text;
  for (const phase_measure& phase : aMeasures.phases) {
    const double share = phase.withinRate == 0
                           ? 1
                           : static_cast<double>(phase.onTime) /
                               static_cast<double>(phase.withinRate);
    text += fmt::format("  {:<22} {:>6.1f}s to {:>6.1f}s: {:>6.2f}% of {}\n",
                        phase.name,
                        seconds_double(phase.from).count(),
                        seconds_double(phase.to).count(),
                        kPercent * share,
                        phase.withinRate);
  }
  return text.empty() ? "  no failure domain left\n" : text;
}

// Requests planned in one second of the experiment, by outcome.
struct second_counts
{
  std::uint64_t onTime = 0;
  std::uint64_t refused = 0;
  std::uint64_t other = 0;
};

std::vector<second_counts>
CountSeconds(const load_plan& aPlan,
             const table<request_id, result_row>& aResults)
{
  const auto seconds = static_cast<std::size_t>(
    std::chrono::ceil<std::chrono::seconds>(aPlan.duration).count());
  std::vector<second_counts> counts(seconds);
  for (const result_row& result : aResults) {
    if (result.isDirect) {
      continue;
    }
    const auto second = static_cast<std::size_t>(
      std::chrono::floor<std::chrono::seconds>(result.planned.at).count());
    if (second >= counts.size()) {
      continue;
    }
    if (IsOnTime(aPlan, result)) {
      ++counts[second].onTime;
    } else if (result.outcome == load_outcome::eRefused) {
      ++counts[second].refused;
    } else {
      ++counts[second].other;
    }
  }
  return counts;
}

// Maps seconds and counts to pixels.
struct plot_scale
{
  double seconds;
  double highest;

  double X(double aSecond) const
  {
    return kMargin + aSecond / seconds * (kWidth - 2 * kMargin);
  }
  double Y(double aCount) const
  {
    return kHeight - kMargin - aCount / highest * (kHeight - 2 * kMargin);
  }
};

std::string
FormatLine(const std::vector<second_counts>& aCounts,
           std::uint64_t second_counts::*aField,
           const plot_scale& aScale,
           const char* aColour)
{
  std::string points;
  for (std::size_t i = 0; i < aCounts.size(); ++i) {
    points += fmt::format("{:.1f},{:.1f} ",
                          aScale.X(static_cast<double>(i)),
                          aScale.Y(static_cast<double>(aCounts[i].*aField)));
  }
  return fmt::format(
    "<polyline fill=\"none\" stroke=\"{}\" points=\"{}\"/>\n", aColour, points);
}

std::string
EscapeXml(std::string_view aText)
{
  std::string escaped;
  for (const char each : aText) {
    if (each == '<') {
      escaped += "&lt;";
    } else if (each == '&') {
      escaped += "&amp;";
    } else {
      escaped += each;
    }
  }
  return escaped;
}

std::string
FormatText(double aX, double aY, const char* aColour, std::string_view aText)
{
  return fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\" fill=\"{}\" "
                     "font-family=\"sans-serif\" font-size=\"12\">{}</text>\n",
                     aX,
                     aY,
                     aColour,
                     EscapeXml(aText));
}

std::string
FormatAbsences(const load_plan& aPlan, const plot_scale& aScale)
{
  std::string text;
  for (const domain_absence& absence : aPlan.absences) {
    const double from = aScale.X(seconds_double(absence.from).count());
    const double to = aScale.X(seconds_double(absence.to).count());
    text += fmt::format("<rect x=\"{:.1f}\" y=\"{}\" width=\"{:.1f}\" "
                        "height=\"{}\" fill=\"#eeeeee\"/>\n",
                        from,
                        kMargin,
                        to - from,
                        kHeight - 2 * kMargin);
    text +=
      FormatText(from + 4, kMargin + 14, "#555555", absence.domain + " out");
  }
  return text;
}

} // namespace

std::string
FormatMeasures(const load_plan& aPlan, const load_measures& aMeasures)
{
  std::string text =
    fmt::format("{}: seed {}, {:.0f} s measured after {:.0f} "
                "s of warm-up, {} accelerators\n\n",
                aPlan.name,
                aPlan.seed,
                seconds_double(aPlan.duration - aPlan.warmUp).count(),
                seconds_double(aPlan.warmUp).count(),
                aPlan.accelerators);
  text += fmt::format("asked {}", aMeasures.requests);
  for (std::size_t i = 0; i < aMeasures.outcomes.size(); ++i) {
    text += fmt::format(
      ", {} {}", NameOf(static_cast<load_outcome>(i)), aMeasures.outcomes[i]);
  }
  text += fmt::format(
    "\n\n1. on time: {:.2f}% of {} within the rate; {:.3f} answers on time "
    "per accelerator and second; {} model moves\n",
    kPercent * aMeasures.attainment,
    aMeasures.withinRate,
    aMeasures.onTimePerAcceleratorSecond,
    aMeasures.modelMoves);
  const workspace_measure* const worst =
    aMeasures.workspaces.Find(aMeasures.worst);
  text += worst == nullptr
            ? std::string("2. worst-served workspace: none asked\n")
            : fmt::format("2. worst-served workspace: {}, {:.2f}% on time\n",
                          worst->name,
                          kPercent * worst->Attainment());
  text += fmt::format("3. refused although within the rate: {}\n",
                      aMeasures.refusedWithinRate);
  text += "4. on time while a failure domain leaves and returns:\n";
  text += FormatPhases(aMeasures) + "\n" + FormatWorkspaces(aMeasures);
  text += fmt::format("\n{:<16} {:>8} {:>9} {:>9} {:>9} {:>9}\n",
                      "milliseconds",
                      "count",
                      "p50",
                      "p95",
                      "p99",
                      "longest");
  text += FormatLatency("first token", aMeasures.firstToken);
  if (aMeasures.firstTokenDirect.count > 0) {
    text += FormatLatency("  asked directly", aMeasures.firstTokenDirect);
    text += FormatEntryOverhead(aMeasures);
  }
  text += FormatLatency("between tokens", aMeasures.betweenTokens);
  text += FormatLatency("whole answer", aMeasures.completeAnswer);
  return text;
}

std::string
FormatResultsCsv(const load_plan& aPlan,
                 const table<request_id, result_row>& aResults)
{
  std::string text = "request,planned_ms,sent_ms,first_token_ms,ended_ms,"
                     "workspace,target,stream,prompt_tokens,output_tokens,"
                     "tokens,within_rate,direct,outcome,status,code,on_time\n";
  std::vector<const result_row*> rows;
  for (const result_row& result : aResults) {
    rows.push_back(&result);
  }
  std::sort(rows.begin(),
            rows.end(),
            [](const result_row* aLeft, const result_row* aRight) {
              return aLeft->id.value < aRight->id.value;
            });
  for (const result_row* row : rows) {
    const planned_request& planned = row->planned;
    text += fmt::format("{},{:.3f},{:.3f},{:.3f},{:.3f},{},{},{:d},{},{},{},{:"
                        "d},{:d},{},{},{},{:d}\n",
                        row->id.value,
                        ToMilliseconds(planned.at),
                        ToMilliseconds(row->sentAt),
                        ToMilliseconds(row->firstTokenAt),
                        ToMilliseconds(row->endedAt),
                        aPlan.workspaces.Find(planned.workspace)->name,
                        aPlan.targets.Find(planned.target)->name,
                        planned.isStream,
                        planned.promptTokens,
                        planned.outputTokens,
                        row->tokens,
                        planned.isWithinRate,
                        row->isDirect,
                        NameOf(row->outcome),
                        row->status,
                        row->code,
                        IsOnTime(aPlan, *row));
  }
  return text;
}

std::string
FormatPlotSvg(const load_plan& aPlan,
              const table<request_id, result_row>& aResults)
{
  const auto counts = CountSeconds(aPlan, aResults);
  std::uint64_t highest = 1;
  for (const second_counts& each : counts) {
    highest = std::max({ highest, each.onTime, each.refused, each.other });
  }
  const plot_scale scale{ seconds_double(aPlan.duration).count(),
                          static_cast<double>(highest) };
  std::string text =
    fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" "
                "height=\"{}\">\n<rect width=\"100%\" height=\"100%\" "
                "fill=\"white\"/>\n",
                kWidth,
                kHeight);
  text += FormatAbsences(aPlan, scale);
  text += FormatLine(counts, &second_counts::onTime, scale, "#1b7837");
  text += FormatLine(counts, &second_counts::refused, scale, "#d95f02");
  text += FormatLine(counts, &second_counts::other, scale, "#b2182b");
  text += FormatText(kMargin, 20, "black", aPlan.name);
  text += FormatText(kMargin + 300, 20, "#1b7837", "on time");
  text += FormatText(kMargin + 380, 20, "#d95f02", "refused");
  text += FormatText(kMargin + 460, 20, "#b2182b", "late or failed");
  text += FormatText(4, kMargin + 4, "black", fmt::format("{}/s", highest));
  text += FormatText(kWidth - kMargin,
                     kHeight - kMargin + 16,
                     "black",
                     fmt::format("{:.0f} s", scale.seconds));
  return text + "</svg>\n";
}

} // namespace bulrush::load
