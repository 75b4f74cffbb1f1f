#include "admission/books.hpp"

#include <algorithm>

namespace bulrush::admission {

namespace {

/// Shares that lapse within so many leases are no longer divided, so that
/// holders give them back before, one after the other.
constexpr int kShrinkAheadLeases = 2;

// Shares that are about to lapse are not divided any more.
share
Divisible(const escrow_tables& aTables,
          const holding_row& aHolding,
          steady_time aNow)
{
  const auto& settings = aTables.settings;
  const auto ahead = settings.shareLease * kShrinkAheadLeases;
  const bool isLapsing = !settings.isRoot && aNow + ahead > aHolding.lapsesAt;
  return isLapsing ? Smallest(aHolding.granted, aHolding.floor)
                   : aHolding.granted;
}

share
FloorFor(const escrow_settings& aSettings, const share& aLimit)
{
  const std::int64_t parts =
    1000 * std::max<std::int64_t>(1, aSettings.floorHolders);
  return { aLimit.rate * aSettings.floorMille / parts,
           aLimit.size * aSettings.floorMille / parts };
}

// Sets the targets of all live accounts of one holding.
void
SetTargets(escrow_tables& aTables,
           const holding_row& aHolding,
           std::span<account_row*> aAccounts,
           steady_time aNow)
{
  const share floor = FloorFor(aTables.settings, aHolding.granted);
  const bool isWaiting = IsWaitingOut(aTables, aHolding, aNow);
  share total = Divisible(aTables, aHolding, aNow);
  std::vector<account_row*> live;
  std::vector<division_row> rows;
  for (account_row* account : aAccounts) {
    if (!IsLive(aTables, *account, aNow)) {
      // A new root's assumptions are about shares that the live ones report.
      total = isWaiting ? total : total - account->held;
      continue;
    }
    total = total - floor;
    live.push_back(account);
    rows.push_back({ account->held - floor, account->want - floor, {} });
  }
  if (rows.empty()) {
    return;
  }
  aTables.settings.divide(total, rows);
  for (std::size_t i = 0; i < rows.size(); ++i) {
    live[i]->target = rows[i].target + floor;
  }
}

// An increase has to fit into what is not booked for others. What is held may
// be kept while others give theirs back: the targets add up to the whole, so
// the sum is back within it once they have answered or their leases ran out.
// While a predecessor's grants may be held unseen, nobody gets an increase.
share
MostFor(const escrow_tables& aTables,
        const holding_row& aHolding,
        const account_row& aAccount,
        steady_time aNow)
{
  if (IsWaitingOut(aTables, aHolding, aNow)) {
    return aAccount.held;
  }
  const share others = aHolding.divided - aAccount.held;
  return Largest(aHolding.granted - others, aAccount.held);
}

// A share that this node may lose is lent for no longer than it is held: all
// that outlives the lease fits into the floor.
std::chrono::nanoseconds
LeaseFor(const escrow_tables& aTables,
         const holding_row& aHolding,
         const share& aDividedAfter,
         steady_time aNow)
{
  const auto& settings = aTables.settings;
  if (settings.isRoot) {
    return settings.shareLease;
  }
  const bool isCovered = Fits(aDividedAfter, aHolding.floor);
  const steady_time ends =
    isCovered ? aHolding.floorLapsesAt : aHolding.lapsesAt;
  return std::min<std::chrono::nanoseconds>(settings.shareLease, ends - aNow);
}

std::optional<grant_row>
GrantTo(escrow_tables& aTables, account_row& aAccount, steady_time aNow)
{
  const auto& settings = aTables.settings;
  holding_row& holding = *aTables.holdings.Find(aAccount.resource);
  const share most = MostFor(aTables, holding, aAccount, aNow);
  const share given = Smallest(aAccount.target, most);
  const share booked = Largest(aAccount.held, given);
  const share after = holding.divided - aAccount.held + booked;
  const auto lasts = LeaseFor(aTables, holding, after, aNow);
  if (lasts <= lasts.zero() || given == share{}) {
    return std::nullopt;
  }
  grant_row row;
  row.what = holding.what;
  row.share = given;
  row.floor = Smallest(FloorFor(settings, holding.granted), given);
  row.lasts = lasts;
  row.floorLasts = settings.floorLease;
  const std::int64_t growth =
    std::max<std::int64_t>(0, given.size - aAccount.held.size);
  Refill(holding.undivided, aNow);
  row.tokens = std::min(growth, holding.undivided.level);
  holding.undivided.level -= row.tokens;
  aAccount.tokensSent = row.tokens;
  aAccount.floor = Largest(aAccount.floor, row.floor);
  const steady_time held = aNow + HoldOf(settings, holding.what);
  aAccount.expiresAt = std::max(aAccount.expiresAt, held + lasts);
  aAccount.floorExpiresAt =
    std::max(aAccount.floorExpiresAt, held + settings.floorLease);
  Book(aTables, holding, aAccount, booked, aNow);
  return row;
}

// A holder behind a revision that was reported as covered may not serve; nor
// may any beyond this node's own lease.
std::chrono::nanoseconds
ServeFor(const escrow_tables& aTables,
         const holder_row& aHolder,
         steady_time aNow)
{
  const auto& settings = aTables.settings;
  if (aHolder.revision < aTables.requiredRevision) {
    return std::chrono::nanoseconds{ 0 };
  }
  const std::chrono::nanoseconds own =
    settings.isRoot ? settings.serveLease : aTables.link.servesUntil - aNow;
  return std::max(std::chrono::nanoseconds{ 0 },
                  std::min(settings.serveLease, own));
}

using account_groups =
  std::unordered_map<resource_id, std::vector<account_row*>, id_hash>;

account_groups
GroupAccounts(escrow_tables& aTables)
{
  account_groups groups;
  for (account_row& account : aTables.accounts) {
    groups[account.resource].push_back(&account);
  }
  return groups;
}

grant
AnswerTo(escrow_tables& aTables, holder_row& aHolder, steady_time aNow)
{
  grant answer;
  answer.holder = aHolder.holder;
  answer.incarnation = aHolder.incarnation;
  answer.epoch = aTables.settings.epoch;
  answer.sequence = aHolder.sequence;
  answer.serveFor = ServeFor(aTables, aHolder, aNow);
  answer.reachesRoot = ReachesRoot(aTables, aNow);
  aHolder.servesUntil = std::max(aHolder.servesUntil, aNow + answer.serveFor);
  aHolder.isAnswerDue = false;
  return answer;
}

// All answers of a tick are made from the same targets.
void
AnswerAll(escrow_tables& aTables, steady_time aNow, escrow_outbox& aOut)
{
  std::unordered_map<process_id, std::size_t, id_hash> positions;
  for (holder_row& holder : aTables.holders) {
    if (holder.isAnswerDue) {
      positions.emplace(holder.id, aOut.grants.size());
      aOut.grants.push_back(AnswerTo(aTables, holder, aNow));
    }
  }
  for (account_row& account : aTables.accounts) {
    const auto position = positions.find(account.process);
    if (position == positions.end()) {
      continue;
    }
    if (const auto row = GrantTo(aTables, account, aNow)) {
      aOut.grants[position->second].rows.push_back(*row);
    }
  }
}

// A parent wants what its live holders want together.
void
SumWants(escrow_tables& aTables, steady_time aNow)
{
  for (holding_row& holding : aTables.holdings) {
    holding.want = {};
  }
  for (const account_row& account : aTables.accounts) {
    if (IsLive(aTables, account, aNow)) {
      holding_row& holding = *aTables.holdings.Find(account.resource);
      holding.want = holding.want + account.want;
    }
  }
}

} // namespace

// A new limit starts without tokens: the root cannot tell a first start from a
// restart, after which the former tokens may have been spent.
void
SetLimit(escrow_tables& aTables,
         const resource& aResource,
         const share& aLimit,
         steady_time aNow)
{
  holding_row& holding = HoldingOf(aTables, aResource, aNow);
  holding.granted = aLimit;
  holding.lapsesAt = steady_time::max();
  holding.floorLapsesAt = steady_time::max();
  FitBucket(aTables, holding, aNow);
}

void
VoidOlderIncarnations(escrow_tables& aTables,
                      endpoint_id aEndpoint,
                      std::uint64_t aIncarnation,
                      steady_time aNow)
{
  for (holding_row& holding : aTables.holdings) {
    const resource& what = holding.what;
    if (what.kind == resource_kind::eSlots && what.subject == aEndpoint.value &&
        what.incarnation < aIncarnation) {
      holding.granted = {};
      holding.floor = {};
      FitBucket(aTables, holding, aNow);
    }
  }
}

void
RunDivision(escrow_tables& aTables, steady_time aNow, escrow_outbox& aOut)
{
  const bool isDue =
    std::ranges::any_of(aTables.holders, &holder_row::isAnswerDue);
  if (!isDue) {
    return;
  }
  for (auto& [id, accounts] : GroupAccounts(aTables)) {
    SetTargets(aTables, *aTables.holdings.Find(id), accounts, aNow);
  }
  AnswerAll(aTables, aNow, aOut);
  SumWants(aTables, aNow);
  aTables.link.isShort |=
    std::ranges::any_of(aTables.holdings, [](const holding_row& aHolding) {
      return !Fits(aHolding.want, aHolding.granted);
    });
}

} // namespace bulrush::admission
