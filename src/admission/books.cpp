#include "admission/books.hpp"

#include <algorithm>

namespace bulrush::admission {

namespace {

// Without a share, a use and a demand a row says nothing.
bool
IsEmpty(const holding_row& aHolding)
{
  return aHolding.granted == share{} && aHolding.divided == share{} &&
         aHolding.want == share{} && aHolding.waiting == 0 &&
         aHolding.reservations == 0 && aHolding.demandUnits == 0 &&
         aHolding.demandRate < 1;
}

} // namespace

std::chrono::nanoseconds
HoldOf(const escrow_settings& aSettings, const resource& aResource)
{
  const bool isSlots = aResource.kind == resource_kind::eSlots;
  return isSlots ? aSettings.slotHold : std::chrono::nanoseconds{ 0 };
}

// What is held is never less than what was given on: a lower grant takes
// effect as the holders below give their shares back.
share
Held(const holding_row& aHolding)
{
  return Largest(aHolding.granted, aHolding.divided);
}

// Returns the units that no longer fit.
std::int64_t
FitBucket(const escrow_tables& aTables, holding_row& aHolding, steady_time aNow)
{
  aHolding.covered =
    Largest(aHolding.granted, Smallest(aHolding.covered, aHolding.divided));
  const share left = Undivided(aTables, aHolding, aNow);
  return Resize(aHolding.undivided, left, aNow);
}

// A lapsed share takes its tokens with it: the parent has already let its own
// bucket grow by as much. The bucket is filled up to the time of the lapse at
// the former rate, after it at what is left.
void
LapseHolding(const escrow_tables& aTables,
             holding_row& aHolding,
             steady_time aNow)
{
  if (aNow >= aHolding.lapsesAt) {
    aHolding.granted = Smallest(aHolding.granted, aHolding.floor);
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

// Changes what is booked for one account and the sum of the holding with it.
void
Book(escrow_tables& aTables,
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
OpenAccount(escrow_tables& aTables,
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

// A holder that has not renewed for a lease takes no part in the division; what
// is booked for it stays reserved.
bool
IsLive(const escrow_tables& aTables, const account_row& aRow, steady_time aNow)
{
  const holder_row* holder = aTables.holders.Find(aRow.process);
  return holder != nullptr &&
         aNow < holder->receivedAt + aTables.settings.shareLease;
}

bool
IsWaitingOut(const escrow_tables& aTables,
             const holding_row& aHolding,
             steady_time aNow)
{
  const auto& settings = aTables.settings;
  return aNow < settings.waitOutUntil + HoldOf(settings, aHolding.what);
}

// A link whose renewal is overdue no longer counts as connected.
bool
ReachesRoot(const escrow_tables& aTables, steady_time aNow)
{
  const auto& settings = aTables.settings;
  const link_row& link = aTables.link;
  const bool isFresh = aNow < link.renewAt + settings.answerWithin;
  return settings.isRoot || (link.reachesRoot && isFresh);
}

// Accounts go with their holding, or when they are empty and their holder is
// gone; a holder goes once nothing is booked for it.
void
ForgetRows(escrow_tables& aTables, steady_time aNow)
{
  aTables.holdings.EraseIf(IsEmpty);
  aTables.accounts.EraseIf([&](const account_row& aRow) {
    const bool isEmpty = aRow.held == share{} && aRow.floor == share{};
    return aTables.holdings.Find(aRow.resource) == nullptr ||
           (isEmpty && !IsLive(aTables, aRow, aNow));
  });
  std::unordered_map<process_id, bool, id_hash> booked;
  for (const account_row& account : aTables.accounts) {
    booked[account.process] = true;
  }
  aTables.holders.EraseIf([&](const holder_row& aRow) {
    return aNow >= aRow.servesUntil &&
           aNow >= aRow.receivedAt + aTables.settings.shareLease &&
           !booked.contains(aRow.id);
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
  row.what = aResource;
  row.undivided.filledAt = aNow;
  row.demandSince = aNow;
  return aTables.holdings.Insert(std::move(row));
}

share
Undivided(const escrow_tables& aTables,
          const holding_row& aHolding,
          steady_time aNow)
{
  if (IsWaitingOut(aTables, aHolding, aNow)) {
    return {};
  }
  return aHolding.granted - aHolding.divided;
}

} // namespace bulrush::admission
