#include "load/load.hpp"

#include <algorithm>
#include <cmath>

namespace bulrush::load {
namespace {

using seconds_double = std::chrono::duration<double>;

double
Share(std::uint64_t aPart, std::uint64_t aWhole)
{
  return aWhole == 0 ? 1.0
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

bool
IsMeasured(const load_plan& aPlan, const result_row& aResult)
{
  return aResult.planned.at >= aPlan.warmUp && !aResult.isDirect;
}

// Nearest-rank method: the smallest sample such that at least aShare of all
// samples are less than or equal to it.
offset
Percentile(const std::vector<offset>& aSorted, double aShare)
{
  const auto rank = static_cast<std::size_t>(
    std::ceil(aShare * static_cast<double>(aSorted.size())));
  return aSorted[std::max<std::size_t>(rank, 1) - 1];
}

std::vector<phase_measure>
PhasesOf(const load_plan& aPlan)
{
  std::vector<phase_measure> phases;
  offset from = aPlan.warmUp;
  std::string name = "before";
  for (const domain_absence& absence : aPlan.absences) {
    phases.push_back({ name, from, absence.from, 0, 0 });
    phases.push_back(
      { absence.domain + " out", absence.from, absence.to, 0, 0 });
    from = absence.to;
    name = "after " + absence.domain;
  }
  if (!aPlan.absences.empty()) {
    phases.push_back({ name, from, aPlan.duration, 0, 0 });
  }
  return phases;
}

void
CountPhase(const result_row& aResult,
           bool aIsOnTime,
           std::vector<phase_measure>& aPhases)
{
  for (phase_measure& phase : aPhases) {
    const offset at = aResult.planned.at;
    if (phase.from <= at && at < phase.to && aResult.planned.isWithinRate) {
      ++phase.withinRate;
      phase.onTime += aIsOnTime ? 1 : 0;
    }
  }
}

void
CountWorkspace(const result_row& aResult,
               bool aIsOnTime,
               workspace_measure& aWorkspace)
{
  const bool isWithin = aResult.planned.isWithinRate;
  const bool isRefused = aResult.outcome == load_outcome::eRefused;
  ++aWorkspace.requests;
  aWorkspace.withinRate += isWithin ? 1 : 0;
  aWorkspace.onTime += aIsOnTime ? 1 : 0;
  aWorkspace.onTimeWithinRate += aIsOnTime && isWithin ? 1 : 0;
  aWorkspace.refused += isRefused ? 1 : 0;
  aWorkspace.refusedWithinRate += isRefused && isWithin ? 1 : 0;
}

// The largest amount by which answered tokens exceeded rate and burst: the
// largest overdraft of a token bucket that each answer is charged to when it
// ends.
void
MeasureExcess(const load_plan& aPlan,
              const table<request_id, result_row>& aResults,
              workspace_measure& aWorkspace)
{
  const workspace_row* const declared =
    aPlan.declared.workspaces.Find(aWorkspace.id);
  if (declared == nullptr) {
    return;
  }
  std::vector<const result_row*> answered;
  for (const result_row& result : aResults) {
    if (result.planned.workspace == aWorkspace.id &&
        result.outcome == load_outcome::eAnswered && !result.isDirect) {
      answered.push_back(&result);
    }
  }
  std::sort(answered.begin(),
            answered.end(),
            [](const result_row* aLeft, const result_row* aRight) {
              return aLeft->endedAt < aRight->endedAt;
            });
  double tokens = declared->burstTokens;
  offset refilledAt{ 0 };
  for (const result_row* result : answered) {
    const double elapsed = seconds_double(result->endedAt - refilledAt).count();
    tokens = std::min(declared->burstTokens,
                      tokens + elapsed * declared->tokensPerSecond);
    refilledAt = result->endedAt;
    const load_target* const target =
      aPlan.targets.Find(result->planned.target);
    const bool isRoute = target != nullptr && target->isRoute;
    tokens -=
      isRoute
        ? target->routeTokens
        : static_cast<double>(result->planned.promptTokens + result->tokens);
    aWorkspace.excessTokens = std::max(aWorkspace.excessTokens, -tokens);
  }
}

// Ties are broken by name, so that the result is deterministic.
workspace_id
FindWorst(const table<workspace_id, workspace_measure>& aWorkspaces)
{
  const workspace_measure* worst = nullptr;
  for (const workspace_measure& each : aWorkspaces) {
    if (each.withinRate == 0) {
      continue;
    }
    const bool isWorse =
      worst == nullptr || each.Attainment() < worst->Attainment() ||
      (each.Attainment() == worst->Attainment() && each.name < worst->name);
    if (isWorse) {
      worst = &each;
    }
  }
  return worst == nullptr ? workspace_id{} : worst->id;
}

std::vector<offset>
DirectFirstTokenLatencies(const load_plan& aPlan,
                          const table<request_id, result_row>& aResults)
{
  std::vector<offset> samples;
  for (const result_row& result : aResults) {
    const bool isSample = result.isDirect &&
                          result.planned.at >= aPlan.warmUp &&
                          result.outcome == load_outcome::eAnswered &&
                          result.firstTokenAt != offset::zero();
    if (isSample) {
      samples.push_back(result.firstTokenAt - result.sentAt);
    }
  }
  return samples;
}

struct latency_samples
{
  std::vector<offset> firstToken;
  std::vector<offset> betweenTokens;
  std::vector<offset> completeAnswer;
};

void
AddSamples(const result_row& aResult, latency_samples& aSamples)
{
  if (aResult.outcome != load_outcome::eAnswered) {
    return;
  }
  aSamples.completeAnswer.push_back(aResult.endedAt - aResult.sentAt);
  if (aResult.firstTokenAt == offset::zero()) {
    return;
  }
  aSamples.firstToken.push_back(aResult.firstTokenAt - aResult.sentAt);
  if (aResult.tokens > 1) {
    const auto gaps = static_cast<std::int64_t>(aResult.tokens - 1);
    aSamples.betweenTokens.push_back((aResult.endedAt - aResult.firstTokenAt) /
                                     gaps);
  }
}

} // namespace

const char*
NameOf(load_outcome aOutcome)
{
  switch (aOutcome) {
    case load_outcome::eAnswered:
      return "answered";
    case load_outcome::eRefused:
      return "refused";
    case load_outcome::eMayHaveRun:
      return "may_have_run";
    case load_outcome::eBroken:
      return "broken";
    case load_outcome::eWrong:
      break;
  }
  return "wrong";
}

// Counted from the planned time, not from the time of sending: otherwise a
// delayed sender would hide queueing time (coordinated omission).
bool
IsOnTime(const load_plan& aPlan, const result_row& aResult)
{
  const load_target* const target = aPlan.targets.Find(aResult.planned.target);
  return aResult.outcome == load_outcome::eAnswered && target != nullptr &&
         aResult.endedAt - aResult.planned.at <= target->deadline;
}

latency_summary
Summarize(std::vector<offset> aSamples)
{
  latency_summary summary;
  if (aSamples.empty()) {
    return summary;
  }
  std::sort(aSamples.begin(), aSamples.end());
  summary.count = aSamples.size();
  summary.p50 = Percentile(aSamples, 0.50);
  summary.p95 = Percentile(aSamples, 0.95);
  summary.p99 = Percentile(aSamples, 0.99);
  summary.longest = aSamples.back();
  return summary;
}

double
workspace_measure::Attainment() const
{
  return Share(onTimeWithinRate, withinRate);
}

load_measures
Measure(const load_plan& aPlan,
        const table<request_id, result_row>& aResults,
        std::uint64_t aModelMoves)
{
  load_measures measures;
  measures.modelMoves = aModelMoves;
  measures.phases = PhasesOf(aPlan);
  for (const load_workspace& workspace : aPlan.workspaces) {
    workspace_measure row;
    row.id = workspace.id;
    row.name = workspace.name;
    measures.workspaces.Insert(std::move(row));
  }
  latency_samples samples;
  std::uint64_t onTimeWithinRate = 0;
  for (const result_row& result : aResults) {
    if (!IsMeasured(aPlan, result)) {
      continue;
    }
    const bool isOnTime = IsOnTime(aPlan, result);
    ++measures.outcomes[static_cast<std::size_t>(result.outcome)];
    CountWorkspace(
      result, isOnTime, *measures.workspaces.Find(result.planned.workspace));
    CountPhase(result, isOnTime, measures.phases);
    AddSamples(result, samples);
  }
  for (workspace_measure& workspace : measures.workspaces) {
    MeasureExcess(aPlan, aResults, workspace);
    measures.requests += workspace.requests;
    measures.withinRate += workspace.withinRate;
    measures.onTime += workspace.onTime;
    measures.refusedWithinRate += workspace.refusedWithinRate;
    onTimeWithinRate += workspace.onTimeWithinRate;
  }
  const double measuredSeconds =
    seconds_double(aPlan.duration - aPlan.warmUp).count();
  measures.attainment = Share(onTimeWithinRate, measures.withinRate);
  measures.onTimePerAcceleratorSecond = static_cast<double>(measures.onTime) /
                                        measuredSeconds /
                                        static_cast<double>(aPlan.accelerators);
  measures.worst = FindWorst(measures.workspaces);
  measures.firstToken = Summarize(std::move(samples.firstToken));
  measures.firstTokenDirect =
    Summarize(DirectFirstTokenLatencies(aPlan, aResults));
  measures.betweenTokens = Summarize(std::move(samples.betweenTokens));
  measures.completeAnswer = Summarize(std::move(samples.completeAnswer));
  return measures;
}

} // namespace bulrush::load
