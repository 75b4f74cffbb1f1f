/// Seeds that change while a control process runs. One that is out of touch
/// while all others are exchanged knows only addresses that are gone.

#include "control/tables.hpp"
#include "observe/observe.hpp"

#include <algorithm>

namespace bulrush::control {
namespace {

constexpr log_component kLog{ "log" };
/// Longer than an election, which ends with the same members.
constexpr std::chrono::milliseconds kLeaderlessTime{ 1'000 };
constexpr std::chrono::milliseconds kSeedReadInterval{ 1'000 };

} // namespace

// The settings may change without a signal.
void
RunSeeds(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  if (!aTables.replicated || !aTables.replicated->hasDynamicMembers) {
    return;
  }
  log_tables& log = *aTables.replicated;
  if (!aTables.log.leaderName().empty() || log.leaderKnownAt == steady_time{}) {
    log.leaderKnownAt = aNow;
  }
  const steady_time due =
    std::max(log.leaderKnownAt + kLeaderlessTime, log.nextSeedRead);
  aOutbox.readsSeeds = log.hasNewSeeds || aNow >= due;
  if (aOutbox.readsSeeds) {
    log.hasNewSeeds = false;
    log.nextSeedRead = aNow + kSeedReadInterval;
  }
  aOutbox.wake.NoLaterThan(std::max(due, log.nextSeedRead));
}

// Hellos go to all that are known, and their answers name the leader.
void
HandleSeeds(control_tables& aTables,
            const std::vector<wire::control_address>& aSeeds,
            steady_time aNow,
            control_outbox& aOutbox)
{
  for (const wire::control_address& seed : aSeeds) {
    if (seed.name == aTables.self.name ||
        aTables.controls.Find(IdOf<replica_id>(seed.name)) != nullptr) {
      continue;
    }
    AddPeer(aTables, seed.name, seed.address, aNow, aOutbox);
    LogEvent(
      kLog,
      log_level::eInfo,
      "seed_added",
      { { "control", seed.address },
        { "leader", aTables.log.leaderName() },
        { "leaderless_ms",
          std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                           aNow - aTables.replicated->leaderKnownAt)
                           .count()) } });
  }
}

} // namespace bulrush::control
