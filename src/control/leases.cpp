/// Leases and shares in bulrush-control: the root while it leads, and the
/// delegates of failure domains. Decisions are those of the admission library.

#include "control/tables.hpp"

#include <cmath>

namespace bulrush::control {
namespace {

using admission::escrow_outbox;
using admission::escrow_tables;
using admission::grant;
using admission::renewal;
using admission::share;

constexpr std::chrono::seconds kServeLease{ 3 };
constexpr std::chrono::seconds kHostShareLease{ 2 };
constexpr std::chrono::seconds kDelegateShareLease{ 6 };
constexpr std::chrono::seconds kDelegateSilence{ 5 };
constexpr std::chrono::seconds kNamingEvery{ 1 };

/// Part of each limit that stays in the failure domains when they are cut off.
constexpr std::int64_t kFloorMille = 500;

share
LimitOf(const control_tables& aTables, const workspace_row& aWorkspace)
{
  if (aTables.leases.tolerance.window.count() > 0) {
    return {}; // hosts draw from the pool
  }
  const auto units = [](double aTokens) {
    return static_cast<std::int64_t>(
      std::floor(aTokens * admission::kUnitsPerToken));
  };
  return { units(aWorkspace.tokensPerSecond), units(aWorkspace.burstTokens) };
}

replica_id
Self(const control_tables& aTables)
{
  return IdOf<replica_id>(aTables.self.name);
}

// ------------------------------------------------------------------- root

// Delegates of earlier epochs may hold their floors until the grace is over.
void
AssumeFloors(control_tables& aTables, steady_time aNow)
{
  escrow_tables& root = aTables.leases.root;
  const manifest& declared = aTables.fleet.declared;
  const auto domains =
    std::max<std::int64_t>(1, std::ssize(declared.domains.Rows()));
  const steady_time until = aNow + declared.cutOffGrace;
  for (const domain_state_row& domain : aTables.fleet.domains) {
    for (std::uint64_t back = 0;
         back < std::min<std::uint64_t>(domain.epoch, 2);
         ++back) {
      const auto holder = admission::HolderOf(domain.id, domain.epoch - back);
      for (const workspace_row& workspace : declared.workspaces) {
        const share limit = LimitOf(aTables, workspace);
        const share floor{ limit.rate * kFloorMille / 1000 / domains,
                           limit.size * kFloorMille / 1000 / domains };
        const auto what = admission::RateOf(workspace.id);
        AssumeHeld(root, holder, what, floor, until, aNow);
      }
    }
  }
}

// A fleet without a configuration yet has no shares that could be held.
void
StartRoot(control_tables& aTables, steady_time aNow)
{
  lease_tables& leases = aTables.leases;
  leases.isRoot = true;
  leases.root = {};
  leases.limits.Clear();
  leases.coldSlots.Clear();
  leases.limitsRevision = 0;
  leases.leadsSince = aNow;
  auto& settings = leases.root.settings;
  settings.isRoot = true;
  settings.epoch = aTables.log.term();
  settings.shareLease = kDelegateShareLease;
  settings.holderLease = kServeLease;
  settings.floorMille = kFloorMille;
  leases.root.requiredRevision = aTables.fleet.revision;
  if (aTables.fleet.revision > 0) {
    settings.waitOutUntil = aNow + kDelegateShareLease;
  }
}

void
SyncLimits(control_tables& aTables, steady_time aNow)
{
  lease_tables& leases = aTables.leases;
  const manifest& declared = aTables.fleet.declared;
  if (leases.limitsRevision == aTables.fleet.manifestRevision) {
    return;
  }
  const bool isFirst = leases.limitsRevision == 0;
  leases.limitsRevision = aTables.fleet.manifestRevision;
  auto& settings = leases.root.settings;
  settings.serveLease = declared.cutOffGrace;
  settings.floorLease = declared.cutOffGrace;
  settings.floorHolders =
    std::max<std::int64_t>(1, std::ssize(declared.domains.Rows()));
  for (const limited_row& row : leases.limits) {
    if (!declared.workspaces.Find(workspace_id{ row.what.subject })) {
      SetLimit(leases.root, row.what, {}, aNow);
    }
  }
  for (const workspace_row& workspace : declared.workspaces) {
    if (workspace.tokensPerSecond == 0) {
      continue; // there is no limit to divide
    }
    const auto what = admission::RateOf(workspace.id);
    SetLimit(leases.root, what, LimitOf(aTables, workspace), aNow);
    leases.limits.Insert({ admission::IdOfResource(what), what });
  }
  if (isFirst && settings.waitOutUntil > aNow) {
    AssumeFloors(aTables, aNow);
  }
}

// An endpoint that says it is cold, and bears requests at once rather than a
// rate, has its slots divided over the hosts for as long as it says so.
void
SyncColdSlots(control_tables& aTables, steady_time aNow)
{
  lease_tables& leases = aTables.leases;
  std::vector<limited_row> over;
  for (const limited_row& row : leases.coldSlots) {
    const known_endpoint* known =
      aTables.endpoints.Find(endpoint_id{ row.what.subject });
    if (known == nullptr || !known->row.isCold ||
        known->row.incarnation != row.what.incarnation) {
      over.push_back(row);
    }
  }
  for (const limited_row& row : over) {
    SetLimit(leases.root, row.what, {}, aNow);
    leases.coldSlots.Erase(row.id);
  }
  for (const known_endpoint& known : aTables.endpoints) {
    const auto what = admission::SlotsOf(known.id, known.row.incarnation);
    const auto id = admission::IdOfResource(what);
    if (known.row.isCold && leases.coldSlots.Find(id) == nullptr) {
      VoidOlderIncarnations(leases.root, known.id, known.row.incarnation, aNow);
      SetLimit(leases.root, what, { 0, known.row.coldSlots }, aNow);
      leases.coldSlots.Insert({ id, what });
    }
  }
}

// ----------------------------------------------------------------- naming

bool
IsHeard(const control_tables& aTables, replica_id aControl, steady_time aNow)
{
  if (aControl == Self(aTables)) {
    return true;
  }
  const control_row* control = aTables.controls.Find(aControl);
  return control != nullptr && aNow < control->lastHeard + kDelegateSilence;
}

bool
IsIn(const control_tables& aTables,
     replica_id aControl,
     const domain_row& aDomain)
{
  if (aControl == Self(aTables)) {
    return aTables.self.domain == aDomain.name;
  }
  const control_row* control = aTables.controls.Find(aControl);
  return control != nullptr && control->domain == aDomain.name;
}

// A control process in the domain goes on when the domain is cut off; one
// elsewhere is better than none.
replica_id
BestDelegate(const control_tables& aTables,
             const domain_row& aDomain,
             steady_time aNow)
{
  if (IsIn(aTables, Self(aTables), aDomain)) {
    return Self(aTables);
  }
  for (const control_row& control : aTables.controls) {
    if (IsIn(aTables, control.id, aDomain) &&
        IsHeard(aTables, control.id, aNow)) {
      return control.id;
    }
  }
  return Self(aTables);
}

bool
NeedsDelegate(const control_tables& aTables,
              const domain_row& aDomain,
              replica_id aBest,
              steady_time aNow)
{
  const domain_state_row* state = aTables.fleet.domains.Find(aDomain.id);
  const bool isNamed = state != nullptr && state->delegate;
  const bool isBestWithin = IsIn(aTables, aBest, aDomain);
  if (isNamed && state->delegate == aBest) {
    return false;
  }
  // Until all had time to be heard, only a process in the domain is named.
  const bool hasWaited = aNow >= aTables.leases.leadsSince + kDelegateSilence;
  if (!hasWaited && !isBestWithin) {
    return false;
  }
  const bool isSilent =
    isNamed && hasWaited && !IsHeard(aTables, state->delegate, aNow);
  const bool isOutside =
    isNamed && isBestWithin && !IsIn(aTables, state->delegate, aDomain);
  return !isNamed || isSilent || (isOutside && hasWaited);
}

void
NameDelegates(control_tables& aTables,
              steady_time aNow,
              control_outbox& aOutbox)
{
  lease_tables& leases = aTables.leases;
  aOutbox.wake.NoLaterThan(std::max(aNow, leases.nextNaming));
  if (aNow < leases.nextNaming) {
    return;
  }
  leases.nextNaming = aNow + kNamingEvery;
  aOutbox.wake.NoLaterThan(leases.nextNaming);
  for (const domain_row& domain : aTables.fleet.declared.domains) {
    const replica_id best = BestDelegate(aTables, domain, aNow);
    if (!NeedsDelegate(aTables, domain, best, aNow)) {
      continue;
    }
    fleet_command command;
    command.at = aTables.wallClock();
    command.change = name_delegate{ domain.id, best };
    last_reason why; // a leader that lost its office tries no further
    aTables.log.propose(wire::EncodeCommand(command), why);
  }
}

// -------------------------------------------------------------- delegates

delegate_row
MakeDelegate(const control_tables& aTables,
             const domain_state_row& aState,
             steady_time aNow)
{
  delegate_row row;
  row.id = aState.id;
  row.epoch = aState.epoch;
  auto& escrow = row.escrow;
  escrow.settings.epoch = aState.epoch;
  escrow.settings.shareLease = kHostShareLease;
  escrow.settings.serveLease = kServeLease;
  escrow.settings.coversFrom = aNow + kServeLease;
  escrow.requiredRevision = aTables.fleet.revision;
  escrow.link.self = admission::HolderOf(aState.id, aState.epoch);
  escrow.link.incarnation = aTables.self.incarnation;
  return row;
}

// A delegate that was replaced answers no host, waits until the last lease has
// run out and hands its share back, so that it need not be reserved.
void
SyncDelegates(control_tables& aTables, steady_time aNow)
{
  lease_tables& leases = aTables.leases;
  for (delegate_row& row : leases.delegates) {
    const auto* state = aTables.fleet.domains.Find(row.id);
    const bool isNamed = state != nullptr && state->delegate == Self(aTables) &&
                         state->epoch == row.epoch;
    if (!isNamed && !row.isRetiring) {
      row.isRetiring = true;
      row.retiresAt = aNow + kServeLease;
    }
  }
  for (const domain_state_row& state : aTables.fleet.domains) {
    const bool isKnown = leases.delegates.Find(state.id) != nullptr;
    if (state.delegate == Self(aTables) && !isKnown) {
      leases.delegates.Insert(MakeDelegate(aTables, state, aNow));
    }
  }
}

void
SendToRoot(control_tables& aTables,
           std::vector<renewal> aRenewals,
           control_outbox& aOutbox)
{
  lease_tables& leases = aTables.leases;
  const std::string leader = aTables.log.leaderName();
  for (renewal& next : aRenewals) {
    if (leases.isRoot) {
      leases.holders.Insert({ next.holder, "" });
      leases.root.renewals.push_back(std::move(next));
    } else if (!leader.empty()) {
      wire::share_renewal sent{ std::move(next), aTables.self.domain, true };
      aOutbox.messages.push_back({ "", leader, std::move(sent) });
    }
  }
}

void
SendToHolders(const control_tables& aTables,
              std::vector<grant> aGrants,
              control_outbox& aOutbox)
{
  for (grant& next : aGrants) {
    const auto* holder = aTables.leases.holders.Find(next.holder);
    if (holder != nullptr && !holder->peer.empty()) {
      wire::share_grant sent{ std::move(next) };
      aOutbox.messages.push_back({ holder->peer, "", std::move(sent) });
    }
  }
}

void
RunDelegates(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  std::vector<domain_id> left;
  for (delegate_row& row : aTables.leases.delegates) {
    escrow_outbox out;
    row.escrow.revision = aTables.fleet.revision;
    FollowParent(
      row.escrow, aTables.log.term(), admission::succession::eContinues);
    if (row.isRetiring) {
      row.escrow.renewals.clear();
    }
    RunTick(admission::kEscrowSystems, row.escrow, aNow, out);
    if (row.isRetiring && aNow >= row.retiresAt) {
      Leave(row.escrow, aNow, out);
      left.push_back(row.id);
    } else if (row.isRetiring) {
      aOutbox.wake.NoLaterThan(row.retiresAt);
    }
    aOutbox.wake.NoLaterThan(out.wake.at);
    SendToHolders(aTables, std::move(out.grants), aOutbox);
    SendToRoot(aTables, std::move(out.renewals), aOutbox);
  }
  for (const domain_id id : left) {
    aTables.leases.delegates.Erase(id);
  }
}

// Grants to delegates of this very process are their input at once.
void
RunRoot(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  lease_tables& leases = aTables.leases;
  escrow_outbox out;
  leases.root.revision = aTables.fleet.revision;
  RunTick(admission::kEscrowSystems, leases.root, aNow, out);
  aOutbox.wake.NoLaterThan(out.wake.at);
  for (const grant& next : out.grants) {
    const auto* holder = leases.holders.Find(next.holder);
    if (holder != nullptr && holder->peer.empty()) {
      TakeGrant(aTables, { next });
    }
  }
  SendToHolders(aTables, std::move(out.grants), aOutbox);
}

} // namespace

void
TakeRenewal(control_tables& aTables,
            const received& aInput,
            const wire::share_renewal& aRenewal)
{
  lease_tables& leases = aTables.leases;
  leases.holders.Insert({ aRenewal.renewal.holder, aInput.peer });
  if (aRenewal.isToRoot && leases.isRoot) {
    leases.root.renewals.push_back(aRenewal.renewal);
    return;
  }
  const auto domain = IdOf<domain_id>(aRenewal.domain);
  delegate_row* delegate = leases.delegates.Find(domain);
  if (!aRenewal.isToRoot && delegate != nullptr) {
    delegate->escrow.renewals.push_back(aRenewal.renewal);
  }
}

void
TakeGrant(control_tables& aTables, const wire::share_grant& aGrant)
{
  for (delegate_row& row : aTables.leases.delegates) {
    if (row.escrow.link.self == aGrant.grant.holder) {
      row.escrow.grants.push_back(aGrant.grant);
    }
  }
}

// Delegates run before the root, which answers those of its own process in the
// same tick, and once more after it, so that their hosts need not wait.
void
RunLeases(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  lease_tables& leases = aTables.leases;
  const bool leads = aTables.log.isLeader(aNow);
  // A lease of the leader that lapsed and came back in one term leaves its
  // books as they were: nobody else can have led meanwhile.
  if (leads && leases.root.settings.epoch != aTables.log.term()) {
    StartRoot(aTables, aNow);
  }
  leases.isRoot = leads;
  if (leads) {
    SyncLimits(aTables, aNow);
    SyncColdSlots(aTables, aNow);
    NameDelegates(aTables, aNow, aOutbox);
  }
  SyncDelegates(aTables, aNow);
  RunDelegates(aTables, aNow, aOutbox);
  if (leads) {
    RunRoot(aTables, aNow, aOutbox);
    RunDelegates(aTables, aNow, aOutbox);
  }
}

std::optional<confirmed_hosts>
ConfirmedHosts(const control_tables& aTables, steady_time aNow)
{
  const auto domain = IdOf<domain_id>(aTables.self.domain);
  const delegate_row* delegate = aTables.leases.delegates.Find(domain);
  if (delegate == nullptr || delegate->isRetiring) {
    return std::nullopt;
  }
  confirmed_hosts confirmed;
  confirmed.revision = CoveredRevision(delegate->escrow, aNow);
  for (const admission::holder_row& holder : delegate->escrow.holders) {
    confirmed.hosts += aNow < holder.servesUntil ? 1U : 0U;
  }
  return confirmed;
}

} // namespace bulrush::control
