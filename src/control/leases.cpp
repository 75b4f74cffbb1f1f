/// Leases and shares in bulrush-control: the root of the escrow tree, which the
/// leader runs, and the delegates of failure domains. The admission library
/// makes the decisions.

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
constexpr std::chrono::seconds kDelegateTimeout{ 5 };
constexpr std::chrono::seconds kNamingInterval{ 1 };

/// Part of each limit, in thousandths, that failure domains keep as floors
/// while they are cut off from the leader.
constexpr std::int64_t kFloorPerMille = 500;

share
LimitOf(const control_tables& aTables, const workspace_row& aWorkspace)
{
  if (aTables.leases.tolerance.window.count() > 0) {
    return {}; // hosts request tokens from the leader's pool
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

// Delegates of the last two epochs may still use their floors until the cut-off
// grace ends, so these stay reserved until then.
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
        const share floor{ limit.rate * kFloorPerMille / 1000 / domains,
                           limit.size * kFloorPerMille / 1000 / domains };
        const auto resource = admission::RateOf(workspace.id);
        RecordAssumedShare(root, holder, resource, floor, until, aNow);
      }
    }
  }
}

// Shares that the previous leader granted may still be in use, so the new root
// waits until they have expired. Without a configuration there are none.
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
  settings.floorPerMille = kFloorPerMille;
  leases.root.requiredRevision = aTables.fleet.revision;
  if (aTables.fleet.revision > 0) {
    settings.previousGrantsUntil = aNow + kDelegateShareLease;
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
  for (const limited_resource& row : leases.limits) {
    if (!declared.workspaces.Find(workspace_id{ row.resource.subject })) {
      SetLimit(leases.root, row.resource, {}, aNow);
    }
  }
  for (const workspace_row& workspace : declared.workspaces) {
    if (workspace.tokensPerSecond == 0) {
      continue; // not limited
    }
    const auto resource = admission::RateOf(workspace.id);
    SetLimit(leases.root, resource, LimitOf(aTables, workspace), aNow);
    leases.limits.Insert({ admission::IdOfResource(resource), resource });
  }
  if (isFirst && settings.previousGrantsUntil > aNow) {
    AssumeFloors(aTables, aNow);
  }
}

// The slots of an endpoint that announces itself cold are divided over the
// hosts until it no longer does. This is for endpoints limited by concurrent
// requests; those limited by a rate have a pool instead.
void
SyncColdSlots(control_tables& aTables, steady_time aNow)
{
  lease_tables& leases = aTables.leases;
  std::vector<limited_resource> ended;
  for (const limited_resource& row : leases.coldSlots) {
    const known_endpoint* known =
      aTables.endpoints.Find(endpoint_id{ row.resource.subject });
    if (known == nullptr || !known->row.isCold ||
        known->row.incarnation != row.resource.incarnation) {
      ended.push_back(row);
    }
  }
  for (const limited_resource& row : ended) {
    SetLimit(leases.root, row.resource, {}, aNow);
    leases.coldSlots.Erase(row.id);
  }
  for (const known_endpoint& known : aTables.endpoints) {
    if (!known.row.isCold) {
      continue;
    }
    const auto resource = admission::SlotsOf(known.id, known.row.incarnation);
    const auto id = admission::IdOfResource(resource);
    if (leases.coldSlots.Find(id) == nullptr) {
      VoidOlderIncarnations(leases.root, known.id, known.row.incarnation, aNow);
      SetLimit(leases.root, resource, { 0, known.row.coldSlots }, aNow);
      leases.coldSlots.Insert({ id, resource });
    }
  }
}

// ----------------------------------------------------------------- naming

bool
IsReachable(const control_tables& aTables,
            replica_id aControl,
            steady_time aNow)
{
  if (aControl == Self(aTables)) {
    return true;
  }
  const control_row* control = aTables.controls.Find(aControl);
  return control != nullptr && aNow < control->lastSeen + kDelegateTimeout;
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

// A control process within the domain stays reachable when the domain is cut
// off. If there is none, the leader itself is the delegate.
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
        IsReachable(aTables, control.id, aNow)) {
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
  // A new leader first gives every process time to report; until then it names
  // only processes within the domain.
  const bool hasWaited = aNow >= aTables.leases.leadsSince + kDelegateTimeout;
  if (!hasWaited && !isBestWithin) {
    return false;
  }
  const bool isSilent =
    isNamed && hasWaited && !IsReachable(aTables, state->delegate, aNow);
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
  leases.nextNaming = aNow + kNamingInterval;
  aOutbox.wake.NoLaterThan(leases.nextNaming);
  for (const domain_row& domain : aTables.fleet.declared.domains) {
    const replica_id best = BestDelegate(aTables, domain, aNow);
    if (!NeedsDelegate(aTables, domain, best, aNow)) {
      continue;
    }
    fleet_command command;
    command.at = aTables.wallClock();
    command.change = name_delegate{ domain.id, best };
    last_reason reason; // ignored: the next leader names delegates itself
    aTables.log.propose(wire::EncodeCommand(command), reason);
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
  escrow.settings.coverageKnownFrom = aNow + kServeLease;
  escrow.requiredRevision = aTables.fleet.revision;
  escrow.link.self = admission::HolderOf(aState.id, aState.epoch);
  escrow.link.incarnation = aTables.self.incarnation;
  return row;
}

// A replaced delegate answers no host, waits until its last host lease has
// expired, and then returns its share, so that the root need not reserve it
// until the share's own lease ends.
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
  std::vector<domain_id> retired;
  for (delegate_row& row : aTables.leases.delegates) {
    escrow_outbox out;
    row.escrow.revision = aTables.fleet.revision;
    FollowParent(
      row.escrow, aTables.log.term(), admission::parent_succession::eContinues);
    if (row.isRetiring) {
      row.escrow.renewals.clear();
    }
    RunTick(admission::kEscrowSystems, row.escrow, aNow, out);
    if (row.isRetiring && aNow >= row.retiresAt) {
      Leave(row.escrow, aNow, out);
      retired.push_back(row.id);
    } else if (row.isRetiring) {
      aOutbox.wake.NoLaterThan(row.retiresAt);
    }
    aOutbox.wake.NoLaterThan(out.wake.at);
    SendToHolders(aTables, std::move(out.grants), aOutbox);
    SendToRoot(aTables, std::move(out.renewals), aOutbox);
  }
  for (const domain_id id : retired) {
    aTables.leases.delegates.Erase(id);
  }
}

// Grants to delegates in this process are queued directly, not sent.
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
      HandleGrant(aTables, { next });
    }
  }
  SendToHolders(aTables, std::move(out.grants), aOutbox);
}

} // namespace

void
HandleRenewal(control_tables& aTables,
              const received_message& aInput,
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
HandleGrant(control_tables& aTables, const wire::share_grant& aGrant)
{
  for (delegate_row& row : aTables.leases.delegates) {
    if (row.escrow.link.self == aGrant.grant.holder) {
      row.escrow.grants.push_back(aGrant.grant);
    }
  }
}

// Delegates run before the root, so that it answers renewals of delegates in
// this process in the same tick, and once more after it, so that their hosts
// get these grants in this tick too.
void
RunLeases(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  lease_tables& leases = aTables.leases;
  const bool isLeader = aTables.log.isLeader(aNow);
  // If the leader's lease lapses and is renewed within one term, the root keeps
  // its accounts: no other process can have led in between.
  if (isLeader && leases.root.settings.epoch != aTables.log.term()) {
    StartRoot(aTables, aNow);
  }
  leases.isRoot = isLeader;
  if (isLeader) {
    SyncLimits(aTables, aNow);
    SyncColdSlots(aTables, aNow);
    NameDelegates(aTables, aNow, aOutbox);
  }
  SyncDelegates(aTables, aNow);
  RunDelegates(aTables, aNow, aOutbox);
  if (isLeader) {
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
