#include "entry/demand.hpp"

#include <algorithm>

namespace bulrush::entry {
namespace {

constexpr std::chrono::milliseconds kTellEvery{ 500 };
constexpr std::chrono::milliseconds kTellWaitingAgain{ 300 };

} // namespace

demand_teller::demand_teller(demand_hook aOnDemand)
  : mOnDemand(std::move(aOnDemand))
{
}

void
demand_teller::Note(const routing::model_key& aWanted)
{
  ++mWanted[aWanted].requests;
}

// Callers that wait for a model nobody holds are told of at once, and again
// when the order that it led to may have been lost.
bool
demand_teller::CountWaiting(routing::tables& aEngine, steady_time aNow)
{
  for (auto& [key, each] : mWanted) {
    each.waiting = 0;
  }
  for (const request_id id : aEngine.attention) {
    const routing::request_row& row = *aEngine.requests.Find(id);
    if (row.state == routing::request_state::eReady && row.wasNotResident) {
      ++mWanted[{ row.facts.model, row.facts.adapter }].waiting;
    }
  }
  return std::any_of(mWanted.begin(), mWanted.end(), [&](const auto& aEntry) {
    return aEntry.second.waiting > 0 &&
           aEntry.second.toldWaiting + kTellWaitingAgain <= aNow;
  });
}

void
demand_teller::Tell(routing::tables& aEngine,
                    steady_time aNow,
                    wake_time& aWake)
{
  const bool isUrgent = CountWaiting(aEngine, aNow);
  if (!isUrgent && aNow < mNext) {
    if (!mWanted.empty()) {
      aWake.NoLaterThan(mNext);
    }
    return;
  }
  std::vector<wire::wanted_model> told;
  for (auto& [key, each] : mWanted) {
    told.push_back({ key.model, key.adapter, each.requests, each.waiting });
    each.requests = 0;
    each.toldWaiting = each.waiting > 0 ? aNow : steady_time{};
  }
  std::erase_if(mWanted,
                [](const auto& aEntry) { return aEntry.second.waiting == 0; });
  mNext = aNow + kTellEvery;
  if (!told.empty()) {
    mOnDemand(std::move(told));
  }
}

} // namespace bulrush::entry
