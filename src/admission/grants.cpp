#include "admission/accounts.hpp"

#include <algorithm>

namespace bulrush::admission {

namespace {

// Tokens are transferred only with a share, so the sum of all bucket levels
// never exceeds the sum of all sizes. Tokens that no longer fit are returned
// with the next renewal.
void
ApplyGrantRow(const escrow_tables& aTables,
              holding_row& aHolding,
              const grant_row& aRow,
              steady_time aNow)
{
  const steady_time sentAt = aTables.link.sentAt;
  aHolding.granted = aRow.share;
  aHolding.floor = aRow.floor;
  aHolding.lapsesAt = sentAt + LessDrift(aRow.lasts);
  aHolding.floorLapsesAt = sentAt + LessDrift(aRow.floorLasts);
  aHolding.epoch = aTables.link.epoch;
  if (aNow >= aHolding.lapsesAt) {
    LapseHolding(aTables, aHolding, aNow);
    return;
  }
  aHolding.returned += FitBucket(aTables, aHolding, aNow);
  AddUnits(aHolding.undivided, aRow.tokens, aNow);
}

// Only the answer to the latest renewal is accepted, and only once.
bool
IsAwaited(const link_row& aLink, const grant& aGrant)
{
  return aLink.isAwaiting && aGrant.holder == aLink.self &&
         aGrant.incarnation == aLink.incarnation &&
         aGrant.epoch == aLink.epoch && aGrant.sequence == aLink.sequence;
}

// A late answer counts as lost: a lower floor that is accepted late could leave
// holders below with shares that outlive this node's own.
bool
IsInTime(const escrow_tables& aTables, steady_time aNow)
{
  return aNow < aTables.link.sentAt + aTables.settings.answerTimeout;
}

void
HandleGrant(escrow_tables& aTables, const grant& aGrant, steady_time aNow)
{
  link_row& link = aTables.link;
  link.isAwaiting = false;
  link.accepted = aGrant.sequence;
  link.reachesRoot = aGrant.reachesRoot;
  link.servesUntil =
    std::max(link.servesUntil, link.sentAt + LessDrift(aGrant.serveFor));
  for (const grant_row& row : aGrant.rows) {
    HoldingOf(aTables, row.resource, aNow);
  }
  for (holding_row& holding : aTables.holdings) {
    LapseHolding(aTables, holding, aNow);
    const auto named =
      std::ranges::find(aGrant.rows, holding.resource, &grant_row::resource);
    grant_row none;
    none.resource = holding.resource;
    ApplyGrantRow(
      aTables, holding, named == aGrant.rows.end() ? none : *named, aNow);
  }
}

} // namespace

void
RunGrants(escrow_tables& aTables, steady_time aNow, escrow_outbox& /*aOut*/)
{
  for (const grant& next : aTables.grants) {
    if (IsAwaited(aTables.link, next) && IsInTime(aTables, aNow)) {
      HandleGrant(aTables, next, aNow);
    }
  }
  aTables.grants.clear();
}

} // namespace bulrush::admission
