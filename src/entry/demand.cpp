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

void
demand_reporter::Report(routing::tables& aEngine,
                        steady_time aNow,
                        wake_time& aWake)
{
  const bool isUrgent = CountWaiting(aEngine, aNow);
  if (!isUrgent && aNow < mNextReport) {
    if (!mModels.empty()) {
      aWake.NoLaterThan(mNextReport);
    }
    return;
  }
  std::vector<wire::model_demand> report;
  for (auto& [key, each] : mModels) {
    report.push_back({ key.model, key.adapter, each.requests, each.waiting });
    each.requests = 0;
    each.waitingReportedAt = each.waiting > 0 ? aNow : steady_time{};
  }
  std::erase_if(mModels,
                [](const auto& aEntry) { return aEntry.second.waiting == 0; });
  mNextReport = aNow + kReportInterval;
  if (!report.empty()) {
    mOnDemand(std::move(report));
  }
}

} // namespace bulrush::entry
