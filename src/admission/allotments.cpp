#include "admission/accounts.hpp"

#include <algorithm>

namespace bulrush::admission {

namespace {

/// Shares that lapse within this number of leases are not divided any more, so
/// that holders return them in time.
constexpr int kShrinkAheadLeases = 2;

// The granted share, or only its floor when the rest is about to lapse.
share
Divisible(const escrow_tables& aTables,
          const holding_row& aHolding,
          steady_time aNow)
{
  const auto& settings = aTables.settings;
  const auto ahead = settings.shareLease * kShrinkAheadLeases;
  const bool isLapsing = !settings.isRoot && aNow + ahead > aHolding.lapsesAt;
  return isLapsing ? ComponentMin(aHolding.granted, aHolding.floor)
                   : aHolding.granted;
}

share
FloorFor(const escrow_settings& aSettings, const share& aLimit)
{
  const std::int64_t parts =
    1000 * std::max<std::int64_t>(1, aSettings.floorHolders);
  return { aLimit.rate * aSettings.floorPerMille / parts,
           aLimit.size * aSettings.floorPerMille / parts };
}

// Sets the targets of all live accounts of one holding.
void
SetTargets(escrow_tables& aTables,
           const holding_row& aHolding,
           std::span<account_row*> aAccounts,
           steady_time aNow)
{
  const share floor = FloorFor(aTables.settings, aHolding.granted);
  const bool hasUnknownGrants = MayHaveUnknownGrants(aTables, aHolding, aNow);
  share total = Divisible(aTables, aHolding, aNow);
  std::vector<account_row*> live;
  std::vector<division_row> rows;
  for (account_row* account : aAccounts) {
    if (!IsLive(aTables, *account, aNow)) {
      // While grants of a previous parent are unknown, this share may be one
      // that a live holder reports too: it must not be subtracted twice.
      total = hasUnknownGrants ? total : total - account->held;
      continue;
    }
    total = total - floor;
    live.push_back(account);
    rows.push_back({ account->held - floor, account->demand - floor, {} });
  }
  if (rows.empty()) {
    return;
  }
  aTables.settings.divide(total, rows);
  for (std::size_t i = 0; i < rows.size(); ++i) {
    live[i]->target = rows[i].target + floor;
  }
}

// An increase has to fit into the part that is not recorded for others. A held
// share may be kept while others return theirs: the targets add up to the
// total, so the sum is within it once they have confirmed or their leases have
// ended. There is no increase while unknown grants of a previous parent may be
// held.
share
MaxShareFor(const escrow_tables& aTables,
            const holding_row& aHolding,
            const account_row& aAccount,
            steady_time aNow)
{
  if (MayHaveUnknownGrants(aTables, aHolding, aNow)) {
    return aAccount.held;
  }
  const share others = aHolding.divided - aAccount.held;
  return ComponentMax(aHolding.granted - others, aAccount.held);
}

// A share that this node may lose is granted for no longer than the node holds
// it itself. Only what fits into its floor may outlive its own lease.
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
  const share maxShare = MaxShareFor(aTables, holding, aAccount, aNow);
  const share granted = ComponentMin(aAccount.target, maxShare);
  const share recorded = ComponentMax(aAccount.held, granted);
  const share after = holding.divided - aAccount.held + recorded;
  const auto lasts = LeaseFor(aTables, holding, after, aNow);
  if (lasts <= lasts.zero() || granted == share{}) {
    return std::nullopt;
  }
  grant_row row;
  row.resource = holding.resource;
  row.share = granted;
  row.floor = ComponentMin(FloorFor(settings, holding.granted), granted);
  row.lasts = lasts;
  row.floorLasts = settings.floorLease;
  const std::int64_t growth =
    std::max<std::int64_t>(0, granted.size - aAccount.held.size);
  Refill(holding.undivided, aNow);
  row.tokens = std::min(growth, holding.undivided.level);
  holding.undivided.level -= row.tokens;
  aAccount.tokensSent = row.tokens;
  aAccount.floor = ComponentMax(aAccount.floor, row.floor);
  const steady_time held = aNow + HoldTimeOf(settings, holding.resource);
  aAccount.expiresAt = std::max(aAccount.expiresAt, held + lasts);
  aAccount.floorExpiresAt =
    std::max(aAccount.floorExpiresAt, held + settings.floorLease);
  RecordHeld(aTables, holding, aAccount, recorded, aNow);
  return row;
}

// A holder behind a revision that was reported as covered gets no lease. No
// lease outlives this node's own.
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

// All answers of a tick use the same targets.
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

// The demand of a parent is the sum over its live holders.
void
SumDemands(escrow_tables& aTables, steady_time aNow)
{
  for (holding_row& holding : aTables.holdings) {
    holding.demand = {};
  }
  for (const account_row& account : aTables.accounts) {
    if (IsLive(aTables, account, aNow)) {
      holding_row& holding = *aTables.holdings.Find(account.resource);
      holding.demand = holding.demand + account.demand;
    }
  }
}

} // namespace

// A new limit starts with an empty bucket: the root cannot tell a first start
// from a restart, before which the tokens may have been consumed.
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
    const resource& what = holding.resource;
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
  SumDemands(aTables, aNow);
  aTables.link.hasShortfall |=
    std::ranges::any_of(aTables.holdings, [](const holding_row& aHolding) {
      return !Fits(aHolding.demand, aHolding.granted);
    });
}

} // namespace bulrush::admission
