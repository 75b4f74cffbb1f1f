#include "admission/accounts.hpp"

#include <algorithm>

namespace bulrush::admission {

namespace {

/// Demand is reported with this factor of headroom.
constexpr double kDemandHeadroom = 1.25;

/// Weight of the newest interval in the moving average of demand.
constexpr double kDemandGain = 0.5;

/// Waiting requests that did not retry for this time are not counted any more.
constexpr std::chrono::milliseconds kWaitingTimeout{ 300 };

// A host's demand follows its callers' requests, admitted or not.
void
MeasureDemand(holding_row& aHolding, steady_time aNow)
{
  const auto seconds =
    std::chrono::duration<double>{ aNow - aHolding.demandSince }.count();
  if (seconds <= 0) {
    return;
  }
  if (aNow > aHolding.waitingCountedAt + kWaitingTimeout) {
    aHolding.waitingUnits = 0;
  }
  if (aHolding.resource.kind == resource_kind::eSlots) {
    aHolding.demand = { 0, aHolding.divided.size + aHolding.waitingUnits };
    return;
  }
  const double newest = static_cast<double>(aHolding.demandUnits) / seconds;
  const double gain = std::min(1.0, kDemandGain * seconds);
  aHolding.demandRate += gain * (newest - aHolding.demandRate);
  aHolding.demandUnits = 0;
  aHolding.demandSince = aNow;
  const double demand = aHolding.demandRate * kDemandHeadroom;
  const auto units = static_cast<std::int64_t>(demand);
  aHolding.demand = { units, units };
  const std::int64_t shortfall =
    aHolding.waitingUnits - aHolding.undivided.level;
  if (shortfall > 0) {
    const std::int64_t needed = Held(aHolding).size + shortfall;
    aHolding.demand.size = std::max(aHolding.demand.size, needed);
  }
}

renewal_row
ReportOf(const holding_row& aHolding, std::uint64_t aEpoch)
{
  renewal_row row;
  row.resource = aHolding.resource;
  row.demand = aHolding.demand;
  row.returned = aHolding.returned;
  if (aHolding.epoch == aEpoch) {
    row.held = Held(aHolding);
    row.floor = aHolding.floor;
  }
  return row;
}

void
SendRenewal(escrow_tables& aTables, steady_time aNow, escrow_outbox& aOut)
{
  link_row& link = aTables.link;
  ++link.sequence;
  link.sentAt = aNow;
  link.renewAt = aNow + aTables.settings.renewEvery;
  link.isAwaiting = true;
  link.hasShortfall = false;
  renewal report;
  report.holder = link.self;
  report.incarnation = link.incarnation;
  report.epoch = link.epoch;
  report.sequence = link.sequence;
  report.accepted = link.accepted;
  report.revision = CoveredRevision(aTables, aNow);
  report.servesFor =
    std::max(std::chrono::nanoseconds{ 0 }, link.servesUntil - aNow);
  aTables.requiredRevision =
    std::max(aTables.requiredRevision, report.revision);
  for (const holding_row& holding : aTables.holdings) {
    report.rows.push_back(ReportOf(holding, link.epoch));
  }
  aOut.renewals.push_back(std::move(report));
}

// A renewal voids the answer to the previous one, so the next is sent only
// after that answer or its timeout.
steady_time
NextRenewal(const escrow_tables& aTables)
{
  const link_row& link = aTables.link;
  const auto& settings = aTables.settings;
  if (link.isAwaiting) {
    return link.sentAt + settings.answerTimeout;
  }
  if (!link.hasShortfall) {
    return link.renewAt;
  }
  return std::min(link.renewAt, link.sentAt + settings.retryInterval);
}

} // namespace

void
Leave(escrow_tables& aTables, steady_time aNow, escrow_outbox& aOut)
{
  aTables.link.servesUntil = aNow;
  for (holding_row& holding : aTables.holdings) {
    holding.granted = {};
    holding.floor = {};
    holding.demand = {};
    holding.returned += FitBucket(aTables, holding, aNow);
  }
  SendRenewal(aTables, aNow, aOut);
  aOut.renewals.back().isLeaving = true;
  aTables.link.isAwaiting = false; // its answer is not needed
}

void
RunReports(escrow_tables& aTables, steady_time aNow, escrow_outbox& aOut)
{
  if (aTables.settings.isRoot) {
    aTables.requiredRevision =
      std::max(aTables.requiredRevision, CoveredRevision(aTables, aNow));
    return;
  }
  if (aNow >= NextRenewal(aTables)) {
    if (aTables.accounts.Empty()) {
      for (holding_row& holding : aTables.holdings) {
        MeasureDemand(holding, aNow);
      }
    }
    SendRenewal(aTables, aNow, aOut);
  }
  aOut.wake.NoLaterThan(NextRenewal(aTables));
}

} // namespace bulrush::admission
