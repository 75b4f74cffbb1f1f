#include "residency/parts.hpp"

#include <algorithm>

namespace bulrush::residency {

want_id
WantOf(const artifact& aWhat)
{
  constexpr unsigned kShift = 1;
  const std::uint64_t mixed =
    aWhat.model.value ^ (aWhat.adapter.value << kShift);
  return want_id{ mixed == 0 ? 1 : mixed };
}

void
OnDemand(tables& aTables,
         const artifact& aWhat,
         std::uint32_t aRequests,
         std::uint32_t aWaiting,
         steady_time aNow)
{
  if (aTables.models.Find(aWhat.model) == nullptr ||
      (aWhat.adapter && aTables.adapters.Find(aWhat.adapter) == nullptr)) {
    return;
  }
  const want_id id = WantOf(aWhat);
  want_row* row = aTables.wants.Find(id);
  if (row == nullptr) {
    want_row fresh;
    fresh.id = id;
    fresh.what = aWhat;
    row = &aTables.wants.Insert(fresh);
  }
  row->requests += aRequests;
  row->waiting = std::max(row->waiting, aWaiting);
  row->askedAt = aNow;
}

double
RateOfModel(const tables& aTables, model_id aModel)
{
  double rate = 0;
  for (const want_row& want : aTables.wants) {
    rate += want.what.model == aModel ? want.rate : 0;
  }
  return rate;
}

// The average follows a rise within two intervals, so that copies are under
// way while demand still grows.
void
RunRates(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  const settings& options = aTables.options;
  if (aNow < aTables.nextRates) {
    aOutbox.wake.NoLaterThan(aTables.nextRates);
    return;
  }
  const std::chrono::duration<double> interval = options.rateInterval;
  for (want_row& want : aTables.wants) {
    const double now = want.requests / interval.count();
    want.rate += options.rateGain * (now - want.rate);
    want.requests = 0;
  }
  aTables.wants.EraseIf([&](const want_row& aWant) {
    return aWant.askedAt + options.forgetAfter < aNow;
  });
  aTables.nextRates = aNow + options.rateInterval;
  aOutbox.wake.NoLaterThan(aTables.nextRates);
}

} // namespace bulrush::residency
