#include "admission/accounts.hpp"

#include <algorithm>

namespace bulrush::admission {

namespace {

// True if the holding has no share, no use and no demand.
bool
IsEmpty(const holding_row& aHolding)
{
  return aHolding.granted == share{} && aHolding.divided == share{} &&
         aHolding.demand == share{} && aHolding.waitingUnits == 0 &&
         aHolding.reservations == 0 && aHolding.demandUnits == 0 &&
         aHolding.demandRate < 1;
}

} // namespace

std::chrono::nanoseconds
HoldTimeOf(const escrow_settings& aSettings, const resource& aResource)
{
  const bool isSlots = aResource.kind == resource_kind::eSlots;
  return isSlots ? aSettings.slotHold : std::chrono::nanoseconds{ 0 };
}

// A node holds at least what it has divided among its holders: a lower grant
// takes effect as they return their shares.
share
Held(const holding_row& aHolding)
{
  return ComponentMax(aHolding.granted, aHolding.divided);
}

std::int64_t
FitBucket(const escrow_tables& aTables, holding_row& aHolding, steady_time aNow)
{
  aHolding.covered = ComponentMax(
    aHolding.granted, ComponentMin(aHolding.covered, aHolding.divided));
  const share left = Undivided(aTables, aHolding, aNow);
  return Resize(aHolding.undivided, left, aNow);
}

// The tokens of a lapsed share are lost, since the parent's bucket has grown by
// as much. The bucket refills at the previous rate up to the lapse, and at the
// remaining rate after it.
void
LapseHolding(const escrow_tables& aTables,
             holding_row& aHolding,
             steady_time aNow)
{
  if (aNow >= aHolding.lapsesAt) {
    aHolding.granted = ComponentMin(aHolding.granted, aHolding.floor);
    aHolding.covered = aHolding.granted;
    FitBucket(aTables, aHolding, aHolding.lapsesAt);
  }
  if (aNow >= aHolding.floorLapsesAt) {
    aHolding.floor = {};
    aHolding.granted = aNow >= aHolding.lapsesAt ? share{} : aHolding.granted;
    aHolding.covered = aHolding.granted;
    FitBucket(aTables, aHolding, aHolding.floorLapsesAt);
  }
  FitBucket(aTables, aHolding, aNow);
}

void
RecordHeld(escrow_tables& aTables,
           holding_row& aHolding,
           account_row& aAccount,
           const share& aHeld,
           steady_time aNow)
{
  aHolding.divided = aHolding.divided - aAccount.held + aHeld;
  aAccount.held = aHeld;
  FitBucket(aTables, aHolding, aNow);
}

account_row&
FindOrAddAccount(escrow_tables& aTables,
                 process_id aProcess,
                 const holding_row& aHolding)
{
  const account_id id = AccountOf(aProcess, aHolding.id);
  account_row* found = aTables.accounts.Find(id);
  if (found != nullptr) {
    return *found;
  }
  account_row row;
  row.id = id;
  row.resource = aHolding.id;
  row.process = aProcess;
  return aTables.accounts.Insert(row);
}

// A holder that has not renewed within a lease is left out of the division. Its
// recorded share stays reserved.
bool
IsLive(const escrow_tables& aTables, const account_row& aRow, steady_time aNow)
{
  const holder_row* holder = aTables.holders.Find(aRow.process);
  return holder != nullptr &&
         aNow < holder->receivedAt + aTables.settings.shareLease;
}

bool
MayHaveUnknownGrants(const escrow_tables& aTables,
                     const holding_row& aHolding,
                     steady_time aNow)
{
  const auto& settings = aTables.settings;
  return aNow <
         settings.previousGrantsUntil + HoldTimeOf(settings, aHolding.resource);
}

// A link whose renewal is overdue counts as disconnected.
bool
ReachesRoot(const escrow_tables& aTables, steady_time aNow)
{
  const auto& settings = aTables.settings;
  const link_row& link = aTables.link;
  const bool isFresh = aNow < link.renewAt + settings.answerTimeout;
  return settings.isRoot || (link.reachesRoot && isFresh);
}

// Accounts are erased with their holding, or when they are empty and their
// holder is not live. A holder is erased once it has no account and no lease.
void
EraseUnusedRows(escrow_tables& aTables, steady_time aNow)
{
  aTables.holdings.EraseIf(IsEmpty);
  aTables.accounts.EraseIf([&](const account_row& aRow) {
    const bool isEmpty = aRow.held == share{} && aRow.floor == share{};
    return aTables.holdings.Find(aRow.resource) == nullptr ||
           (isEmpty && !IsLive(aTables, aRow, aNow));
  });
  std::unordered_map<process_id, bool, id_hash> recorded;
  for (const account_row& account : aTables.accounts) {
    recorded[account.process] = true;
  }
  aTables.holders.EraseIf([&](const holder_row& aRow) {
    return aNow >= aRow.servesUntil &&
           aNow >= aRow.receivedAt + aTables.settings.shareLease &&
           !recorded.contains(aRow.id);
  });
}

holding_row&
HoldingOf(escrow_tables& aTables, const resource& aResource, steady_time aNow)
{
  const resource_id id = IdOfResource(aResource);
  holding_row* found = aTables.holdings.Find(id);
  if (found != nullptr) {
    return *found;
  }
  holding_row row;
  row.id = id;
  row.resource = aResource;
  row.undivided.filledAt = aNow;
  row.demandSince = aNow;
  return aTables.holdings.Insert(std::move(row));
}

share
Undivided(const escrow_tables& aTables,
          const holding_row& aHolding,
          steady_time aNow)
{
  if (MayHaveUnknownGrants(aTables, aHolding, aNow)) {
    return {};
  }
  return aHolding.granted - aHolding.divided;
}

} // namespace bulrush::admission
