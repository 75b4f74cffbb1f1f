#include "admission/books.hpp"

#include <algorithm>

namespace bulrush::admission {

namespace {

/// Demand is reported with this factor of headroom.
constexpr double kDemandHeadroom = 1.25;

/// Weight of the newest interval in the moving average of demand.
constexpr double kDemandGain = 0.5;

/// Requests that have not tried again for so long wait no more.
constexpr std::chrono::milliseconds kWaitingCounts{ 300 };

// A host's want follows what its callers asked for, met or not.
void
MeasureDemand(holding_row& aHolding, steady_time aNow)
{
  const auto seconds =
    std::chrono::duration<double>{ aNow - aHolding.demandSince }.count();
  if (seconds <= 0) {
    return;
  }
  if (aNow > aHolding.waitingAt + kWaitingCounts) {
    aHolding.waiting = 0;
  }
  if (aHolding.what.kind == resource_kind::eSlots) {
    aHolding.want = { 0, aHolding.divided.size + aHolding.waiting };
    return;
  }
  const double newest = static_cast<double>(aHolding.demandUnits) / seconds;
  const double gain = std::min(1.0, kDemandGain * seconds);
  aHolding.demandRate += gain * (newest - aHolding.demandRate);
  aHolding.demandUnits = 0;
  aHolding.demandSince = aNow;
  const double want = aHolding.demandRate * kDemandHeadroom;
  const auto units = static_cast<std::int64_t>(want);
  aHolding.want = { units, units };
  const std::int64_t missing = aHolding.waiting - aHolding.undivided.level;
  if (missing > 0) {
    const std::int64_t needed = Held(aHolding).size + missing;
    aHolding.want.size = std::max(aHolding.want.size, needed);
  }
}

renewal_row
ReportOf(const holding_row& aHolding, std::uint64_t aEpoch)
{
  renewal_row row;
  row.what = aHolding.what;
  row.want = aHolding.want;
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
  link.isShort = false;
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

// A renewal voids the answer to the last one, so that one gets its time first.
steady_time
NextRenewal(const escrow_tables& aTables)
{
  const link_row& link = aTables.link;
  const auto& settings = aTables.settings;
  if (link.isAwaiting) {
    return link.sentAt + settings.answerWithin;
  }
  if (!link.isShort) {
    return link.renewAt;
  }
  return std::min(link.renewAt, link.sentAt + settings.askAgain);
}

} // namespace

void
Leave(escrow_tables& aTables, steady_time aNow, escrow_outbox& aOut)
{
  aTables.link.servesUntil = aNow;
  for (holding_row& holding : aTables.holdings) {
    holding.granted = {};
    holding.floor = {};
    holding.want = {};
    holding.returned += FitBucket(aTables, holding, aNow);
  }
  SendRenewal(aTables, aNow, aOut);
  aOut.renewals.back().isLeaving = true;
  aTables.link.isAwaiting = false; // an answer would come too late
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
