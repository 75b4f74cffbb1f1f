/// The log of a control process without a data folder.

#include "control/tables.hpp"

namespace bulrush::control {

// Proposals commit at once.
log_hooks
MakeLocalLog(control_tables& aTables)
{
  log_hooks hooks;
  hooks.propose = [&aTables, last = std::uint64_t{ 0 }](
                    std::string aPayload,
                    last_reason&) mutable -> std::optional<position_id> {
    const position_id position{ ++last };
    aTables.committed.push_back({ position, std::move(aPayload), false });
    return position;
  };
  hooks.isLeader = [](steady_time) { return true; };
  hooks.leaderTerm = [&aTables](steady_time) -> std::optional<leader_term> {
    if (!aTables.controls.Empty()) {
      return std::nullopt; // without a common log none of them may lead
    }
    // A restarted process does not know the orders that it sent before. A term
    // from its start time rises with each start, so that engines and placement
    // see it as a new leader.
    constexpr std::uint64_t kNanosecondsInSecond = 1'000'000'000;
    leader_term leaderTerm;
    leaderTerm.term = static_cast<std::uint32_t>(aTables.self.incarnation /
                                                 kNanosecondsInSecond);
    leaderTerm.holdsLease = true;
    return leaderTerm;
  };
  hooks.isCaughtUp = [](steady_time) { return true; };
  hooks.confirmedAt = [](steady_time aNow) { return aNow; };
  hooks.leaderName = [&aTables] { return aTables.self.name; };
  hooks.term = [] { return std::uint64_t{ 1 }; };
  return hooks;
}

} // namespace bulrush::control
