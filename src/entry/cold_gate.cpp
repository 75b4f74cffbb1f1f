/// Limits what all hosts together send to a cold endpoint: requests per second
/// by quotas from the leader's pool, concurrent requests by slots of the
/// escrow.

#include "entry/admission.hpp"

namespace bulrush::entry {

bool
IsColdGateOpen(admission_tables& aTables,
               const routing::endpoint_facts& aEndpoint,
               steady_time aNow)
{
  if (aEndpoint.coldRequestRate <= 0) {
    return admission::HasSlot(
      aTables.escrow, aEndpoint.id, aEndpoint.incarnation, aNow);
  }
  const auto what = rates::ColdRateOf(aEndpoint.id, aEndpoint.incarnation);
  if (rates::Available(aTables.quotas, what, aNow) >=
      admission::kUnitsPerToken) {
    return true;
  }
  rates::RecordWaiting(aTables.quotas, what, admission::kUnitsPerToken, aNow);
  return false;
}

// IsColdGateOpen was true in this tick, so taking a slot or token succeeds.
void
EnterColdGate(admission_tables& aTables,
              const routing::endpoint_facts& aEndpoint,
              steady_time aEnds,
              steady_time aNow)
{
  if (aEndpoint.coldRequestRate <= 0) {
    admission::AcquireSlot(
      aTables.escrow, aEndpoint.id, aEndpoint.incarnation, aEnds, aNow);
    return;
  }
  const auto what = rates::ColdRateOf(aEndpoint.id, aEndpoint.incarnation);
  rates::RecordDemand(aTables.quotas, what, admission::kUnitsPerToken, aNow);
  rates::TryConsumeQuota(aTables.quotas, what, admission::kUnitsPerToken, aNow);
}

// Has no effect if no slot was taken, as for endpoints with a cold rate.
void
LeaveColdGate(admission_tables& aTables,
              endpoint_id aEndpoint,
              std::uint64_t aIncarnation)
{
  admission::ReleaseSlot(aTables.escrow, aEndpoint, aIncarnation);
}

} // namespace bulrush::entry
