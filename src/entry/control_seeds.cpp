/// Seeds that change while a host runs. Control machines are exchanged one
/// after the other; a host that is out of touch meanwhile knows only addresses
/// that are gone, and the settings are the one place that names others.

#include "entry/control_systems.hpp"
#include "entry/request_log.hpp"
#include "observe/observe.hpp"

#include <algorithm>

namespace bulrush::entry {
namespace {

constexpr log_component kLog{ "entry" };
/// Without an update of a control process that has caught up for this long the
/// settings may name other seeds. Reports are answered within milliseconds, and
/// each of three control processes gets one within this time.
constexpr std::chrono::milliseconds kSeedSilence{ 1'000 };
constexpr std::chrono::milliseconds kSeedReadInterval{ 1'000 };

bool
IsSeed(const std::vector<wire::control_address>& aSeeds,
       const control_row& aControl)
{
  return std::ranges::find(aSeeds,
                           aControl.address,
                           &wire::control_address::address) != aSeeds.end();
}

} // namespace

// The settings may change without a signal.
void
RunSeeds(entry_tables& aTables, steady_time aNow, entry_outbox& aOutbox)
{
  if (!aTables.spreadsReports) {
    return; // its control processes are configured by name
  }
  const steady_time due =
    std::max(aTables.caughtUpAt + kSeedSilence, aTables.nextSeedRead);
  aOutbox.readsSeeds = aTables.hasNewSeeds || aNow >= due;
  if (aOutbox.readsSeeds) {
    aTables.hasNewSeeds = false;
    aTables.nextSeedRead = aNow + kSeedReadInterval;
  }
  aOutbox.wake.NoLaterThan(std::max(due, aTables.nextSeedRead));
}

// A former seed is dropped like any other control process that none lists.
void
HandleSeeds(entry_tables& aTables,
            const std::vector<wire::control_address>& aSeeds,
            steady_time aNow,
            entry_outbox& aOutbox)
{
  for (control_row& control : aTables.controls) {
    const bool isSeed = IsSeed(aSeeds, control);
    if (!isSeed && !control.isFound) {
      control.listedAt = aNow;
    }
    control.isFound = !isSeed;
  }
  std::string added;
  for (const wire::control_address& seed : aSeeds) {
    if (aTables.controls.Find(IdOf<replica_id>(seed.name)) == nullptr) {
      aOutbox.seedLinks.push_back(seed);
      added += (added.empty() ? "" : ",") + seed.address;
    }
  }
  if (!added.empty()) {
    LogEvent(kLog,
             log_level::eInfo,
             "seeds_added",
             { { "controls", added },
               { "known_controls", std::to_string(aTables.controls.Size()) },
               { "silent_ms",
                 aTables.caughtUpAt == steady_time{}
                   ? std::string()
                   : Milliseconds(aNow - aTables.caughtUpAt) },
               { "revision", std::to_string(aTables.fleet->revision) } });
  }
}

} // namespace bulrush::entry
