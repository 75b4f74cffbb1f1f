#include "admission/books.hpp"

#include <algorithm>

namespace bulrush::admission {

namespace {

// Tokens come back only with the share that they were in, and only while that
// share is booked against this node's own.
std::int64_t
TokensBack(const holding_row& aHolding,
           const account_row& aAccount,
           const renewal_row& aRow,
           bool aWasLastGrantTaken)
{
  if (!Fits(aHolding.divided, aHolding.covered)) {
    return 0;
  }
  const std::int64_t room = aAccount.held.size - aRow.held.size;
  const std::int64_t unsent = aWasLastGrantTaken ? 0 : aAccount.tokensSent;
  const std::int64_t back = aRow.returned - aAccount.returned + unsent;
  return std::clamp<std::int64_t>(back, 0, std::max<std::int64_t>(0, room));
}

void
BookReport(escrow_tables& aTables,
           const holder_row& aHolder,
           const renewal_row& aRow,
           bool aWasLastGrantTaken,
           steady_time aNow)
{
  holding_row& holding = HoldingOf(aTables, aRow.what, aNow);
  account_row& account = OpenAccount(aTables, aHolder.id, holding);
  const auto& settings = aTables.settings;
  const steady_time held = aNow + HoldOf(settings, aRow.what);
  if (!Fits(aRow.held, account.held)) {
    account.expiresAt = std::max(account.expiresAt, held + settings.shareLease);
  }
  if (!Fits(aRow.floor, account.floor)) {
    account.floorExpiresAt =
      std::max(account.floorExpiresAt, held + settings.floorLease);
  }
  const std::int64_t back =
    TokensBack(holding, account, aRow, aWasLastGrantTaken);
  Book(aTables, holding, account, aRow.held, aNow);
  const std::int64_t fitting =
    std::min(back, holding.undivided.share.size - holding.undivided.level);
  Put(holding.undivided, fitting, aNow);
  holding.returned += back - fitting; // this node gives its own share back
  account.floor = aRow.floor;
  account.want = aRow.want;
  account.returned = aRow.returned;
  account.tokensSent = 0;
  account.sequence = aHolder.sequence;
}

// A newer incarnation proves that the older process has ended. What it gave on
// to its own holders runs out within their lease.
void
RetireOlder(escrow_tables& aTables, const holder_row& aNewer, steady_time aNow)
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
      const auto& what = aTables.holdings.Find(account.resource)->what;
      const steady_time ends = until + HoldOf(settings, what);
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

// A process that starts may use every resource at once: it gets an account for
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
  RetireOlder(aTables, row, aNow);
  return aTables.holders.Insert(row);
}

void
TakeRenewal(escrow_tables& aTables, const renewal& aRenewal, steady_time aNow)
{
  if (aRenewal.epoch != aTables.settings.epoch || HasNewer(aTables, aRenewal)) {
    return;
  }
  holder_row& holder = HolderFor(aTables, aRenewal, aNow);
  if (aRenewal.sequence <= holder.sequence) {
    return;
  }
  const bool wasTaken = aRenewal.accepted == holder.sequence;
  holder.sequence = aRenewal.sequence;
  holder.accepted = aRenewal.accepted;
  holder.revision = aRenewal.revision;
  holder.receivedAt = aNow;
  // A lease from a former parent may outlive what this one would grant.
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
    BookReport(aTables, holder, row, wasTaken, aNow);
  }
}

// What a renewal does not list is not held, and the answer to an earlier one
// can no longer be taken.
void
BookUnlisted(escrow_tables& aTables, steady_time aNow)
{
  for (account_row& account : aTables.accounts) {
    const holder_row* holder = aTables.holders.Find(account.process);
    if (holder == nullptr || !holder->isAnswerDue ||
        holder->sequence == account.sequence) {
      continue;
    }
    const resource what = aTables.holdings.Find(account.resource)->what;
    renewal_row none;
    none.what = what;
    none.returned = account.returned;
    const bool wasTaken = holder->accepted == account.sequence;
    BookReport(aTables, *holder, none, wasTaken, aNow);
  }
}

void
OpenAllAccounts(escrow_tables& aTables)
{
  for (const holder_row& holder : aTables.holders) {
    if (!holder.isAnswerDue) {
      continue;
    }
    for (const holding_row& holding : aTables.holdings) {
      OpenAccount(aTables, holder.id, holding).sequence = holder.sequence;
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
    Book(aTables,
         holding,
         aAccount,
         Smallest(aAccount.held, aAccount.floor),
         aNow);
  }
}

} // namespace

void
AssumeHeld(escrow_tables& aTables,
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
  account_row& account = OpenAccount(aTables, holder.id, holding);
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
  ForgetRows(aTables, aNow);
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
    TakeRenewal(aTables, next, aNow);
  }
  aTables.renewals.clear();
  BookUnlisted(aTables, aNow);
  OpenAllAccounts(aTables);
}

} // namespace bulrush::admission
