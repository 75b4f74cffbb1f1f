// The systems of a tick in their order; start and end of leadership.

#include "placement/systems.hpp"

#include <algorithm>
#include <array>

namespace bulrush::placement {

order_id
LastOrderId(const leadership& aLeader)
{
  constexpr unsigned kTermShift = 32;
  return order_id{ (std::uint64_t{ aLeader.term } << kTermShift) |
                   aLeader.orderCount };
}

// Compares with the election, not with the term: a leader that lost its lease
// may be elected again in the same term, and OnDeposed has reset the counts of
// the copies that it sent before.
bool
IsFromThisLeadership(const leadership& aLeader, const order_row& aOrder)
{
  return aOrder.id > aLeader.lastOrderBeforeElection;
}

void
OnElected(tables& aTables,
          std::uint32_t aTerm,
          steady_time aNow,
          steady_time aEarliestSend,
          steady_time aLeaseUntil)
{
  OnDeposed(aTables);
  leadership& leader = aTables.leader;
  if (aTerm != leader.term) {
    leader.orderCount = 0;
  }
  leader.isLeader = true;
  leader.term = aTerm;
  leader.lastOrderBeforeElection = LastOrderId(leader);
  leader.electedAt = aNow;
  leader.earliestSend = aEarliestSend;
  leader.leaseUntil = aLeaseUntil;
  leader.earliestPlan =
    std::max(aEarliestSend, aNow + aTables.options.initialPlanDelay);
  leader.nextPlan = leader.earliestPlan;
  leader.pacing = {};
  leader.pacing.startedAt = aEarliestSend;
}

void
OnLeaseRenewed(tables& aTables, steady_time aLeaseUntil)
{
  aTables.leader.leaseUntil = std::max(aTables.leader.leaseUntil, aLeaseUntil);
}

// Reports and copy counts are invalid after a leader change: another leader may
// have sent orders in between.
void
OnDeposed(tables& aTables)
{
  aTables.leader.isLeader = false;
  aTables.reclaims.Clear();
  aTables.orders.EraseIf([](const order_row& aOrder) {
    return aOrder.state == order_state::eIntended;
  });
  for (order_row& order : aTables.orders) {
    if (order.state == order_state::eSent) {
      order.state = order_state::eCommitted;
    }
    order.unansweredCopies = 0;
    order.visibleIncarnation = 0;
    order.visibleSequence = 0;
    order.attempts = 0;
    order.isAccepted = false;
    order.nextSend = {};
    order.lastSend = {};
    order.isProposed = false;
  }
  for (engine_row& engine : aTables.engines) {
    engine.hasReported = false;
  }
}

namespace {

constexpr std::array<named_system<tables, outbox>, 10> kPlacementSystems{ {
  { "settle orders", SettleOrders },
  { "close orders", CloseOrders },
  { "start plan", StartPlan },
  { "cover models", CoverModels },
  { "cover adapters", CoverAdapters },
  { "remove undeclared", RemoveUndeclared },
  { "add replicas", AddReplicas },
  { "set roles", SetRoles },
  { "propose orders", ProposeOrders },
  { "send orders", SendOrders },
} };

} // namespace

void
RunPlacement(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  RunTick(kPlacementSystems, aTables, aNow, aOutbox);
}

std::vector<std::string_view>
PlacementSystemNames()
{
  std::vector<std::string_view> names;
  names.reserve(kPlacementSystems.size());
  for (const auto& system : kPlacementSystems) {
    names.emplace_back(system.name);
  }
  return names;
}

} // namespace bulrush::placement
