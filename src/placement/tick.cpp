// The order of the systems in a tick, and the terms of a leader.

#include "placement/systems.hpp"

#include <algorithm>
#include <array>

namespace bulrush::placement {

void
OnElected(tables& aTables,
          std::uint32_t aTerm,
          steady_time aNow,
          steady_time aSendsFrom,
          steady_time aLeaseUntil)
{
  OnDeposed(aTables);
  leadership& leader = aTables.leader;
  if (aTerm != leader.term) {
    leader.orderCount = 0;
  }
  leader.isLeader = true;
  leader.term = aTerm;
  leader.electedAt = aNow;
  leader.sendsFrom = aSendsFrom;
  leader.leaseUntil = aLeaseUntil;
  leader.planFrom = std::max(aSendsFrom, aNow + aTables.options.firstPlanAfter);
  leader.nextPlan = leader.planFrom;
  leader.pacing = {};
  leader.pacing.startedAt = aSendsFrom;
}

void
OnLeaseRenewed(tables& aTables, steady_time aLeaseUntil)
{
  aTables.leader.leaseUntil = std::max(aTables.leader.leaseUntil, aLeaseUntil);
}

// What this leader knew of reports and copies is worth nothing to a later term:
// another leader may have sent orders in between.
void
OnDeposed(tables& aTables)
{
  aTables.leader.isLeader = false;
  aTables.rooms.Clear();
  aTables.orders.EraseIf([](const order_row& aOrder) {
    return aOrder.state == order_state::eIntended;
  });
  for (order_row& order : aTables.orders) {
    if (order.state == order_state::eSent) {
      order.state = order_state::eCommitted;
    }
    order.copiesOut = 0;
    order.shownIncarnation = 0;
    order.shownSequence = 0;
    order.attempts = 0;
    order.isTaken = false;
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
