/// Orders on failure domains. An order may arrive after the operator has sent
/// it elsewhere and gone on to the opposite one: over a link that stood still,
/// or at a process that was suspended.

#include "control/tables.hpp"
#include "observe/observe.hpp"

namespace bulrush::control {
namespace {

constexpr log_component kLog{ "control" };

// Proposals of a former term are applied by now or lost.
void
DropFormerProposals(control_tables& aTables)
{
  const std::uint64_t term = aTables.log.term();
  if (term != aTables.proposedTerm) {
    aTables.proposedDomains.Clear();
    aTables.proposedTerm = term;
  }
}

bool
IsOppositeUnderWay(const control_tables& aTables, const set_domain& aOrder)
{
  if (aTables.proposedTerm != aTables.log.term()) {
    return false;
  }
  for (const proposed_domain& proposed : aTables.proposedDomains) {
    if (proposed.domain == aOrder.domain && proposed.isOut != aOrder.isOut) {
      return true;
    }
  }
  return false;
}

} // namespace

std::uint64_t
LatestDomainChange(const control_tables& aTables, domain_id aDomain)
{
  const domain_state_row* row = aTables.fleet.domains.Find(aDomain);
  return row == nullptr ? 0 : row->changedAt;
}

// Decided by the leader before the log: replicas of an earlier release would
// apply a command that others refuse. A repeated order changes nothing,
// whatever it follows.
bool
IsSuperseded(const control_tables& aTables, const fleet_command& aCommand)
{
  const auto* order = std::get_if<set_domain>(&aCommand.change);
  const domain_state_row* row =
    order == nullptr ? nullptr : aTables.fleet.domains.Find(order->domain);
  if (row == nullptr || !order->follows) {
    return false;
  }
  const bool isSuperseded =
    IsOppositeUnderWay(aTables, *order) ||
    (row->isOut != order->isOut && row->changedAt != *order->follows);
  if (isSuperseded) {
    LogEvent(kLog,
             log_level::eInfo,
             "domain_order_superseded",
             { { "out", order->isOut ? "yes" : "no" },
               { "follows", std::to_string(*order->follows) },
               { "changed_at", std::to_string(row->changedAt) } });
  }
  return isSuperseded;
}

std::optional<position_id>
ProposeCommand(control_tables& aTables,
               const fleet_command& aCommand,
               last_reason& aReason)
{
  const auto position =
    aTables.log.propose(wire::EncodeCommand(aCommand), aReason);
  const auto* order = std::get_if<set_domain>(&aCommand.change);
  if (position && order != nullptr) {
    DropFormerProposals(aTables);
    aTables.proposedDomains.Insert({ *position, order->domain, order->isOut });
  }
  return position;
}

} // namespace bulrush::control
