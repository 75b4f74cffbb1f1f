#include "entry/demand.hpp"

#include <algorithm>

namespace bulrush::entry {
namespace {

constexpr std::chrono::milliseconds kReportInterval{ 500 };
constexpr std::chrono::milliseconds kWaitingReportInterval{ 300 };

} // namespace

demand_reporter::demand_reporter(demand_hook aOnDemand)
  : mOnDemand(std::move(aOnDemand))
{
}

void
demand_reporter::Count(const routing::model_key& aModel)
{
  ++mModels[aModel].requests;
}

// Requests that wait for a model that no endpoint holds are reported at once,
// and again after an interval, as the report or the resulting order may be
// lost.
bool
demand_reporter::CountWaiting(routing::tables& aEngine, steady_time aNow)
{
  for (auto& [key, each] : mModels) {
    each.waiting = 0;
  }
  for (const request_id id : aEngine.pendingRequests) {
    const routing::request_row& row = *aEngine.requests.Find(id);
    if (row.state == routing::request_state::eReady && row.wasNotResident) {
      ++mModels[{ row.facts.model, row.facts.adapter }].waiting;
    }
  }
  return std::any_of(mModels.begin(), mModels.end(), [&](const auto& aEntry) {
    return aEntry.second.waiting > 0 &&
           aEntry.second.waitingReportedAt + kWaitingReportInterval <= aNow;
  });
}

// Without attempts one more report says so.
void
demand_reporter::Report(routing::tables& aEngine,
                        steady_time aNow,
                        wake_time& aWake)
{
  const bool isUrgent = CountWaiting(aEngine, aNow);
  if (!isUrgent && aNow < mNextReport) {
    if (!mModels.empty() || mHadAttempts) {
      aWake.NoLaterThan(mNextReport);
    }
    return;
  }
  wire::demand_report report;
  for (auto& [key, each] : mModels) {
    report.models.push_back(
      { key.model, key.adapter, each.requests, each.waiting });
    each.requests = 0;
    each.waitingReportedAt = each.waiting > 0 ? aNow : steady_time{};
  }
  std::erase_if(mModels,
                [](const auto& aEntry) { return aEntry.second.waiting == 0; });
  for (const auto& [endpoint, running] : routing::ReportAttempts(aEngine)) {
    report.attempts.push_back({ endpoint, running });
  }
  mNextReport = aNow + kReportInterval;
  const bool hadAttempts =
    std::exchange(mHadAttempts, !report.attempts.empty());
  if (!report.models.empty() || mHadAttempts || hadAttempts) {
    report.number = ++mNumber;
    mReportedAt = aNow;
    mOnDemand(std::move(report));
  }
  if (mHadAttempts) {
    aWake.NoLaterThan(mNextReport);
  }
}

std::optional<steady_time>
demand_reporter::ReportedAt(std::uint64_t aNumber) const
{
  return aNumber == mNumber ? std::optional(mReportedAt) : std::nullopt;
}

} // namespace bulrush::entry
