#include "support/soak_troubles.hpp"

#include "net/net.hpp"

#include <csignal>

namespace bulrush::test {
namespace {

using std::chrono::milliseconds;

/// A kill is seen by callers a moment later.
constexpr milliseconds kKillMargin{ 500 };
constexpr time_range kBeforeTheFirst{ milliseconds{ 500 },
                                      milliseconds{ 1'500 } };
constexpr time_range kBetweenTroubles{ milliseconds{ 100 },
                                       milliseconds{ 1'200 } };
constexpr time_range kPause{ milliseconds{ 200 }, milliseconds{ 4'000 } };
constexpr time_range kDownTime{ milliseconds{ 100 }, milliseconds{ 1'500 } };

const char*
NameOf(trouble_kind aKind)
{
  switch (aKind) {
    case trouble_kind::eStop:
      return "stop";
    case trouble_kind::eKill:
      return "kill";
    case trouble_kind::ePause:
      return "pause";
    default:
      return "reload";
  }
}

} // namespace

soak_troubles::soak_troubles(fleet& aFleet,
                             std::uint64_t aSeed,
                             steady_time aUntil)
  : mRandom(aSeed)
  , mStart(net::Now())
  , mUntil(aUntil)
  , mNext(mStart + Draw(kBeforeTheFirst))
{
  for (std::size_t i = 0; i < aFleet.entries.size(); ++i) {
    Add("entry-" + std::to_string(i), aFleet.entries[i], [&aFleet, i] {
      aFleet.StartEntry(i);
    });
  }
  for (std::size_t i = 0; i < aFleet.controls.size(); ++i) {
    Add(aFleet.ControlName(i), aFleet.controls[i], [&aFleet, i] {
      aFleet.StartControl(i);
    });
  }
  for (auto& [name, running] : aFleet.endpoints) {
    Add(name, running, {});
    mProcesses.back().isSignalledOnly = true;
  }
}

void
soak_troubles::Add(std::string aName,
                   std::unique_ptr<process>& aRunning,
                   std::function<void()> aStart)
{
  soaked_process_row row;
  row.name = std::move(aName);
  row.running = &aRunning;
  row.start = std::move(aStart);
  mProcesses.push_back(std::move(row));
}

bool
soak_troubles::Tick(steady_time aNow)
{
  BeginTroubles(aNow);
  EndPauses(aNow);
  HandleExits(aNow);
  StartProcesses(aNow);
  if (aNow < mUntil) {
    return true;
  }
  for (const soaked_process_row& row : mProcesses) {
    if (row.isEnding || row.goesOnAt || row.startsAt) {
      return true;
    }
  }
  return false;
}

void
soak_troubles::BeginTroubles(steady_time aNow)
{
  if (aNow < mNext || aNow >= mUntil) {
    return;
  }
  mNext = aNow + Draw(kBetweenTroubles);
  soaked_process_row& row = mProcesses[mRandom() % mProcesses.size()];
  constexpr std::array kKinds{ trouble_kind::eStop,
                               trouble_kind::eKill,
                               trouble_kind::ePause,
                               trouble_kind::eReload };
  const trouble_kind kind = row.isSignalledOnly
                              ? trouble_kind::ePause
                              : kKinds[mRandom() % kKinds.size()];
  if (!row.startsAt) {
    Begin(row, kind, aNow);
  }
}

void
soak_troubles::Begin(soaked_process_row& aRow,
                     trouble_kind aKind,
                     steady_time aNow)
{
  process& running = **aRow.running;
  Note(std::string(NameOf(aKind)) + ' ' + aRow.name, aNow);
  switch (aKind) {
    case trouble_kind::eStop:
      running.Signal(SIGTERM);
      if (mRandom() % 2 == 0) {
        running.Signal(SIGHUP);
        running.Signal(SIGTERM);
      }
      aRow.isEnding = true;
      break;
    case trouble_kind::eKill:
      aRow.kills.push_back(aNow);
      aRow.goesOnAt.reset();
      running.Signal(SIGKILL);
      aRow.isEnding = true;
      break;
    case trouble_kind::ePause:
      running.Signal(SIGSTOP);
      aRow.goesOnAt = aNow + Draw(kPause);
      break;
    case trouble_kind::eReload:
      running.Signal(SIGHUP);
      break;
  }
}

void
soak_troubles::EndPauses(steady_time aNow)
{
  for (soaked_process_row& row : mProcesses) {
    if (row.goesOnAt && *row.goesOnAt <= aNow) {
      (*row.running)->Signal(SIGCONT);
      row.goesOnAt.reset();
      Note("continue " + row.name, aNow);
    }
  }
}

void
soak_troubles::HandleExits(steady_time aNow)
{
  for (soaked_process_row& row : mProcesses) {
    if (row.startsAt || row.isGone || (*row.running)->IsRunning()) {
      continue;
    }
    const int exit = (*row.running)->Wait();
    Note(row.name + " ended with " + std::to_string(exit), aNow);
    const bool isKilled = exit == -SIGKILL && !row.kills.empty();
    if (!row.isEnding || (exit != 0 && !isKilled)) {
      mFaults.push_back(mDone.back());
    }
    row.isEnding = false;
    row.goesOnAt.reset();
    row.isGone = !row.start;
    if (!row.isGone) {
      row.startsAt = aNow + Draw(kDownTime);
    }
  }
}

void
soak_troubles::StartProcesses(steady_time aNow)
{
  for (soaked_process_row& row : mProcesses) {
    if (row.startsAt && *row.startsAt <= aNow && row.start) {
      row.startsAt.reset();
      row.start();
      Note("start " + row.name, aNow);
    }
  }
}

bool
soak_troubles::WasKilled(std::size_t aHost,
                         steady_time aFrom,
                         steady_time aUntil) const
{
  const std::vector<steady_time>& kills = mProcesses[aHost].kills;
  return std::any_of(kills.begin(), kills.end(), [&](steady_time aKill) {
    return aFrom <= aKill + kKillMargin && aKill <= aUntil + kKillMargin;
  });
}

std::chrono::milliseconds
soak_troubles::Draw(const time_range& aRange)
{
  const auto width =
    static_cast<std::uint64_t>((aRange.most - aRange.least).count());
  return aRange.least + std::chrono::milliseconds{ mRandom() % width };
}

void
soak_troubles::Note(const std::string& aText, steady_time aNow)
{
  const auto at =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - mStart);
  mDone.push_back(std::to_string(at.count()) + " ms: " + aText);
}

} // namespace bulrush::test
