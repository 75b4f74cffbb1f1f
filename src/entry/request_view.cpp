/// What the control thread published: endpoints, the configuration, keys.

#include "entry/request_runner.hpp"

#include "entry/endpoint_facts.hpp"
#include "entry/request_log.hpp"

namespace bulrush::entry {

namespace {

/// Share of the fleet's retry budget that is divided among the known hosts; the
/// rest covers hosts that have started and are not counted yet.
constexpr double kRetryBudgetShare = 0.75;

} // namespace

void
request_runner::implementation::SetView(const traffic_view& aView)
{
  const bool hasNewFleet = mView.fleet != aView.fleet;
  const bool hasNewKeys = hasNewFleet || mView.tombstones != aView.tombstones;
  UpdateGoneTargets(*aView.fleet);
  mView = aView;
  DivideRetryBudget();
  UpdateEndpoints(hasNewFleet);
  if (hasNewKeys) {
    CancelWithdrawnKeys();
  }
  mTimer.RunSoon();
}

// Each host uses an equal part of the fleet's retry budget.
void
request_runner::implementation::DivideRetryBudget()
{
  if (mRetryBudget.share > 0) {
    mEngine.settings.retryShare = kRetryBudgetShare * mRetryBudget.share;
    mEngine.settings.retryBurst =
      kRetryBudgetShare * mRetryBudget.burst / HostCount(*mView.fleet);
  }
}

void
request_runner::implementation::UpdateEndpoints(bool aAll)
{
  for (const endpoint_row& row : *mView.endpoints) {
    const report_key latest{ row.id, row.incarnation, row.sequence };
    const report_key* known = mReports.Find(row.id);
    if (!aAll && known != nullptr && *known == latest) {
      continue;
    }
    mReports.Insert(latest);
    mEndpointNames[row.id] = row.name;
    routing::UpdateEndpoint(mEngine, FactsOf(row, mView, mFront));
    routing::SetResidents(mEngine, row.id, ResidentsOf(row));
  }
  if (mReports.Size() != mView.endpoints->size()) {
    RemoveGoneEndpoints();
  }
}

void
request_runner::implementation::RemoveGoneEndpoints()
{
  std::unordered_set<endpoint_id, id_hash> present;
  for (const endpoint_row& row : *mView.endpoints) {
    present.insert(row.id);
  }
  mReports.EraseIf([&](const report_key& aKnown) {
    const bool isGone = !present.contains(aKnown.id);
    if (isGone) {
      LogRemovalUnderAttempts(aKnown.id);
      routing::RemoveEndpoint(mEngine, aKnown.id);
      mEndpointNames.erase(aKnown.id);
    }
    return isGone;
  });
}

void
request_runner::implementation::LogRemovalUnderAttempts(
  endpoint_id aEndpoint) const
{
  const auto* endpoint = mEngine.endpoints.Find(aEndpoint);
  if (endpoint != nullptr && endpoint->inFlight > 0) {
    LogRemovedEndpoint(mEndpointNames.at(aEndpoint), endpoint->inFlight);
  }
}

void
request_runner::implementation::UpdateGoneTargets(const fleet_state& aNew)
{
  if (mView.fleet->manifestRevision == aNew.manifestRevision) {
    return;
  }
  if (mWaiting.Empty()) {
    mGoneTargets.Clear();
  }
  mGoneTargets.Update(mView.fleet->declared, aNew.declared);
}

// Only withdrawal cancels requests. A key that is just removed from the
// manifest admits no new requests, and those admitted are finished.
void
request_runner::implementation::CancelWithdrawnKeys()
{
  for (const waiting_row& row : mWaiting) {
    const key_hash& key = row.request.facts.key;
    const key_row* known = mView.fleet->keys.Find(key);
    const bool isWithdrawn = (known != nullptr && known->isWithdrawn) ||
                             mView.tombstones->contains(key);
    if (isWithdrawn) {
      routing::CancelByKey(mEngine, key);
    }
  }
}

} // namespace bulrush::entry
