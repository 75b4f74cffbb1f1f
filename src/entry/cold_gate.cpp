/// What all hosts together send a cold endpoint: requests/s are drawn from the
/// leader's pool, requests at once are slots of the escrow.

#include "entry/admission.hpp"

namespace bulrush::entry {

bool
IsColdGateOpen(admission_tables& aTables,
               const routing::endpoint_facts& aEndpoint,
               steady_time aNow)
{
  if (aEndpoint.coldRate <= 0) {
    return admission::HasSlot(
      aTables.escrow, aEndpoint.id, aEndpoint.incarnation, aNow);
  }
  const auto what = rates::ColdRateOf(aEndpoint.id, aEndpoint.incarnation);
  if (rates::Available(aTables.purses, what, aNow) >=
      admission::kUnitsPerToken) {
    return true;
  }
  rates::NoteLack(aTables.purses, what, admission::kUnitsPerToken, aNow);
  return false;
}

// The gate was found open in this tick, so that there is room.
void
EnterColdGate(admission_tables& aTables,
              const routing::endpoint_facts& aEndpoint,
              steady_time aEnds,
              steady_time aNow)
{
  if (aEndpoint.coldRate <= 0) {
    admission::TakeSlot(
      aTables.escrow, aEndpoint.id, aEndpoint.incarnation, aEnds, aNow);
    return;
  }
  const auto what = rates::ColdRateOf(aEndpoint.id, aEndpoint.incarnation);
  rates::NoteDemand(aTables.purses, what, admission::kUnitsPerToken, aNow);
  rates::Pay(aTables.purses, what, admission::kUnitsPerToken, aNow);
}

// A slot that was never taken is not held, so that giving it back does nothing.
void
LeaveColdGate(admission_tables& aTables,
              endpoint_id aEndpoint,
              std::uint64_t aIncarnation)
{
  admission::ReturnSlot(aTables.escrow, aEndpoint, aIncarnation);
}

} // namespace bulrush::entry
