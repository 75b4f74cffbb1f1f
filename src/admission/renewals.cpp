#include "admission/accounts.hpp"

#include <algorithm>

namespace bulrush::admission {

namespace {

// Tokens are returned only with the share that contained them, and only while
// that share is covered by this node's own.
std::int64_t
ReturnedTokens(const holding_row& aHolding,
               const account_row& aAccount,
               const renewal_row& aRow,
               bool aWasLastGrantAccepted)
{
  if (!Fits(aHolding.divided, aHolding.covered)) {
    return 0;
  }
  const std::int64_t headroom = aAccount.held.size - aRow.held.size;
  const std::int64_t unsent = aWasLastGrantAccepted ? 0 : aAccount.tokensSent;
  const std::int64_t back = aRow.returned - aAccount.returned + unsent;
  return std::clamp<std::int64_t>(back, 0, std::max<std::int64_t>(0, headroom));
}

void
RecordReport(escrow_tables& aTables,
             const holder_row& aHolder,
             const renewal_row& aRow,
             bool aWasLastGrantAccepted,
             steady_time aNow)
{
  holding_row& holding = HoldingOf(aTables, aRow.resource, aNow);
  account_row& account = FindOrAddAccount(aTables, aHolder.id, holding);
  const auto& settings = aTables.settings;
  const steady_time held = aNow + HoldTimeOf(settings, aRow.resource);
  if (!Fits(aRow.held, account.held)) {
    account.expiresAt = std::max(account.expiresAt, held + settings.shareLease);
  }
  if (!Fits(aRow.floor, account.floor)) {
    account.floorExpiresAt =
      std::max(account.floorExpiresAt, held + settings.floorLease);
  }
  const std::int64_t back =
    ReturnedTokens(holding, account, aRow, aWasLastGrantAccepted);
  RecordHeld(aTables, holding, account, aRow.held, aNow);
  const std::int64_t fitting =
    std::min(back, holding.undivided.share.size - holding.undivided.level);
  AddUnits(holding.undivided, fitting, aNow);
  holding.returned += back - fitting; // returned to this node's parent
  account.floor = aRow.floor;
  account.demand = aRow.demand;
  account.returned = aRow.returned;
  account.tokensSent = 0;
  account.sequence = aHolder.sequence;
}

// A newer incarnation proves that the older process has ended. The shares that
// it granted to its own holders end within their lease.
void
ExpireOlderIncarnations(escrow_tables& aTables,
                        const holder_row& aNewer,
                        steady_time aNow)
{
  const auto& settings = aTables.settings;
  for (holder_row& older : aTables.holders) {
    const bool isOlder =
      older.holder == aNewer.holder && older.incarnation < aNewer.incarnation;
    if (!isOlder) {
      continue;
    }
    const steady_time until = aNow + settings.holderLease;
    older.servesUntil = std::min(older.servesUntil, until);
    for (account_row& account : aTables.accounts) {
      if (account.process != older.id) {
        continue;
      }
      const auto& what = aTables.holdings.Find(account.resource)->resource;
      const steady_time ends = until + HoldTimeOf(settings, what);
      account.expiresAt = std::min(account.expiresAt, ends);
      account.floorExpiresAt = std::min(account.floorExpiresAt, ends);
    }
  }
}

bool
HasNewer(const escrow_tables& aTables, const renewal& aRenewal)
{
  return std::ranges::any_of(aTables.holders, [&](const holder_row& aRow) {
    return aRow.holder == aRenewal.holder &&
           aRow.incarnation > aRenewal.incarnation;
  });
}

// A new process may need every resource at once, so it gets an account for
// each, and with it the share of an idle holder.
holder_row&
HolderFor(escrow_tables& aTables, const renewal& aRenewal, steady_time aNow)
{
  const process_id id = ProcessOf(aRenewal.holder, aRenewal.incarnation);
  holder_row* found = aTables.holders.Find(id);
  if (found != nullptr) {
    return *found;
  }
  holder_row row;
  row.id = id;
  row.holder = aRenewal.holder;
  row.incarnation = aRenewal.incarnation;
  ExpireOlderIncarnations(aTables, row, aNow);
  return aTables.holders.Insert(row);
}

void
HandleRenewal(escrow_tables& aTables, const renewal& aRenewal, steady_time aNow)
{
  if (aRenewal.epoch != aTables.settings.epoch || HasNewer(aTables, aRenewal)) {
    return;
  }
  holder_row& holder = HolderFor(aTables, aRenewal, aNow);
  if (aRenewal.sequence <= holder.sequence) {
    return;
  }
  const bool wasAccepted = aRenewal.accepted == holder.sequence;
  holder.sequence = aRenewal.sequence;
  holder.accepted = aRenewal.accepted;
  holder.revision = aRenewal.revision;
  holder.receivedAt = aNow;
  // A lease from a previous parent may outlive one that this parent would
  // grant.
  holder.servesUntil =
    std::max(holder.servesUntil, aNow + PlusDrift(aRenewal.servesFor));
  if (aRenewal.isLeaving) {
    holder.servesUntil = aNow;
  }
  holder.isAnswerDue = !aRenewal.isLeaving;
  if (aRenewal.isLeaving) {
    holder.receivedAt = steady_time{}; // takes no part in the division
  }
  for (const renewal_row& row : aRenewal.rows) {
    RecordReport(aTables, holder, row, wasAccepted, aNow);
  }
}

// A resource that a renewal does not list is not held, and answers to earlier
// renewals are not accepted any more.
void
RecordUnlisted(escrow_tables& aTables, steady_time aNow)
{
  for (account_row& account : aTables.accounts) {
    const holder_row* holder = aTables.holders.Find(account.process);
    if (holder == nullptr || !holder->isAnswerDue ||
        holder->sequence == account.sequence) {
      continue;
    }
    const resource what = aTables.holdings.Find(account.resource)->resource;
    renewal_row none;
    none.resource = what;
    none.returned = account.returned;
    const bool wasAccepted = holder->accepted == account.sequence;
    RecordReport(aTables, *holder, none, wasAccepted, aNow);
  }
}

void
AddMissingAccounts(escrow_tables& aTables)
{
  for (const holder_row& holder : aTables.holders) {
    if (!holder.isAnswerDue) {
      continue;
    }
    for (const holding_row& holding : aTables.holdings) {
      FindOrAddAccount(aTables, holder.id, holding).sequence = holder.sequence;
    }
  }
}

void
ExpireAccount(escrow_tables& aTables, account_row& aAccount, steady_time aNow)
{
  holding_row& holding = *aTables.holdings.Find(aAccount.resource);
  if (aNow >= aAccount.floorExpiresAt) {
    aAccount.floor = {};
  }
  if (aNow >= aAccount.expiresAt) {
    RecordHeld(aTables,
               holding,
               aAccount,
               ComponentMin(aAccount.held, aAccount.floor),
               aNow);
  }
}

} // namespace

void
RecordAssumedShare(escrow_tables& aTables,
                   holder_id aHolder,
                   const resource& aResource,
                   const share& aShare,
                   steady_time aUntil,
                   steady_time aNow)
{
  holder_row holder;
  holder.id = ProcessOf(aHolder, 0);
  holder.holder = aHolder;
  holder.servesUntil = aUntil;
  aTables.holders.Insert(holder);
  holding_row& holding = HoldingOf(aTables, aResource, aNow);
  account_row& account = FindOrAddAccount(aTables, holder.id, holding);
  account.expiresAt = aUntil;
  account.floorExpiresAt = aUntil;
  account.floor = aShare;
  holding.divided = holding.divided - account.held + aShare;
  account.held = aShare;
}

void
RunLapses(escrow_tables& aTables, steady_time aNow, escrow_outbox& aOut)
{
  for (holding_row& holding : aTables.holdings) {
    LapseHolding(aTables, holding, aNow);
  }
  for (account_row& account : aTables.accounts) {
    ExpireAccount(aTables, account, aNow);
  }
  EraseUnusedRows(aTables, aNow);
  for (const account_row& account : aTables.accounts) {
    if (account.expiresAt > aNow) {
      aOut.wake.NoLaterThan(account.expiresAt);
    }
  }
}

void
RunRenewals(escrow_tables& aTables, steady_time aNow, escrow_outbox& /*aOut*/)
{
  if (aTables.renewals.empty()) {
    return;
  }
  for (const renewal& next : aTables.renewals) {
    HandleRenewal(aTables, next, aNow);
  }
  aTables.renewals.clear();
  RecordUnlisted(aTables, aNow);
  AddMissingAccounts(aTables);
}

} // namespace bulrush::admission
