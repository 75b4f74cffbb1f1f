#ifndef BULRUSH_TESTS_SUPPORT_SOAK_TROUBLES_HPP
#define BULRUSH_TESTS_SUPPORT_SOAK_TROUBLES_HPP

/// Troubles of a soak: signals to the processes of a fleet, in a series that is
/// drawn from a seed. They overlap, as each process has its own.

#include "support/processes.hpp"

namespace bulrush::test {

enum class trouble_kind : std::uint8_t
{
  eStop, ///< SIGTERM, at times twice and with SIGHUP
  eKill,
  ePause, ///< SIGSTOP, later SIGCONT
  eReload ///< SIGHUP
};

/// From least up to, and without, most.
struct time_range
{
  std::chrono::milliseconds least;
  std::chrono::milliseconds most;
};

/// A process of the fleet that troubles happen to.
struct soaked_process_row
{
  std::string name;
  std::unique_ptr<process>* running = nullptr;
  std::function<void()> start;
  bool isSignalledOnly = false; ///< paused, but neither stopped nor killed
  bool isEnding = false;        ///< its end is expected
  std::optional<steady_time> goesOnAt; ///< of a pause
  std::optional<steady_time> startsAt; ///< after its end
  bool isGone = false;                 ///< ended, and nothing starts it again
  std::vector<steady_time> kills;
};

class soak_troubles
{
public:
  /// Troubles happen to the processes of aFleet until aUntil.
  soak_troubles(fleet& aFleet, std::uint64_t aSeed, steady_time aUntil);

  /// Runs the systems of one tick; false once no trouble is left and all
  /// processes run.
  bool Tick(steady_time aNow);

  /// Whether host aHost was killed within a time.
  bool WasKilled(std::size_t aHost,
                 steady_time aFrom,
                 steady_time aUntil) const;
  /// Ends of processes that no trouble explains, and failed stops.
  const std::vector<std::string>& Faults() const { return mFaults; }
  /// What was done, in order.
  const std::vector<std::string>& Done() const { return mDone; }

private:
  void Add(std::string aName,
           std::unique_ptr<process>& aRunning,
           std::function<void()> aStart);
  void BeginTroubles(steady_time aNow);
  void Begin(soaked_process_row& aRow, trouble_kind aKind, steady_time aNow);
  void EndPauses(steady_time aNow);
  void HandleExits(steady_time aNow);
  void StartProcesses(steady_time aNow);
  std::chrono::milliseconds Draw(const time_range& aRange);
  void Note(const std::string& aText, steady_time aNow);

  random_engine mRandom;
  steady_time mStart;
  steady_time mUntil;
  steady_time mNext;
  std::vector<soaked_process_row> mProcesses; ///< hosts first
  std::vector<std::string> mFaults;
  std::vector<std::string> mDone;
};

} // namespace bulrush::test

#endif
