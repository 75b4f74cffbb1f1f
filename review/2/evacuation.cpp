/// A control process is frozen while the operator takes an evacuation back. The
/// operator gets its confirmation from another process and evacuates the zone
/// again, which is confirmed too. Then the frozen process wakes.

#include "../stand_in.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>

namespace {

using namespace review;

// Bounds of the deployment (SYSTEM.md) in seconds.
constexpr double kEvacuate = 5.0;
constexpr double kContact = 3.0;
constexpr double kAck = 4.0;
/// Largest length of a freeze of a core machine in the site file.
constexpr double kFreeze = 6.0;
/// Freezes at the most, one after the other.
constexpr int kRounds = 4;
/// Of the deployment, in all services.
constexpr std::size_t kServers = 21;

int
Run(const std::string& aFolder, bool aHasTrouble)
{
  deployment system(aFolder, 1);
  system.StartAll();
  SleepFor(1);
  std::vector<std::unique_ptr<server>> servers;
  for (std::size_t i = 0; i < kServers; ++i) {
    const std::string& zone = kZones[i % kZones.size()];
    servers.push_back(std::make_unique<server>(
      system, "desk-" + std::to_string(i) + "-" + zone, zone));
    servers.back()->StartCheckIns(i / kZones.size());
  }
  if (!Prepare(system, Configuration(1))) {
    std::cout << "the system did not start\n";
    return kNotRun;
  }
  consumers load(system, 0.05);
  SleepFor(4);
  const std::string zone = kZones[2];
  const auto arrivals = [&](double aFrom) {
    int count = 0;
    for (const auto& each : servers) {
      for (const arrival& one : each->Arrivals()) {
        count += each->Zone() == zone && one.at > aFrom ? 1 : 0;
      }
    }
    return count;
  };
  if (arrivals(0) == 0) {
    std::cout << "the zone served nothing before its evacuation\n";
    return kNotRun;
  }

  const std::string start = "/Evacuate.Start/" + zone;
  const std::string finish = "/Evacuate.Finish/" + zone;
  if (Operate(system, start, "", 1, kAck) != 200) {
    std::cout << "the first evacuation was not confirmed\n";
    return kNotRun;
  }
  SleepFor(kEvacuate);

  int count = 0;
  int round = 0;
  while (count == 0 && round < kRounds) {
    ++round;
    // As `how = "leader"` of the bench picks it.
    const std::size_t position = system.Leader();
    const machine& frozen = system.controls[position];
    if (aHasTrouble) {
      system.Signal(frozen, SIGSTOP);
    }
    const double frozenAt = Elapsed();
    SleepFor(3);
    if (Operate(system, finish, "", position, kAck) != 200) {
      std::cout << "taking it back was not confirmed\n";
      return kNotRun;
    }
    SleepFor(0.5);
    if (Operate(system, start, "", position + 1, kAck) != 200) {
      std::cout << "the next evacuation was not confirmed\n";
      return kNotRun;
    }
    const double confirmedAt = Elapsed();
    if (confirmedAt > frozenAt + kFreeze) {
      std::cout << "the next evacuation was confirmed after the freeze\n";
      return kNotRun;
    }
    SleepUntil(frozenAt + kFreeze);
    if (aHasTrouble) {
      system.Signal(frozen, SIGCONT);
    }

    // From then on the machines are in touch again.
    const double from =
      std::max(confirmedAt + kEvacuate, frozenAt + kFreeze + kContact) + 0.5;
    SleepUntil(from + 4);
    count = arrivals(from);
    Record("round " + std::to_string(round) + ": " + std::to_string(count) +
           " requests reached " + zone + " later than " +
           std::to_string(from - confirmedAt) +
           " s after its evacuation was confirmed");
  }
  const std::string result =
    std::to_string(count) + " requests reached " + zone + " in round " +
    std::to_string(round) + ", " + std::to_string(kEvacuate) +
    " s and more after its evacuation was confirmed; consumers: " +
    std::to_string(load.Served()) + " served, " +
    std::to_string(load.Failed()) + " not";
  Record(result);
  std::cout << result << "\n";
  return count > 0 ? kBroken : kHeld;
}

} // namespace

int
main(int aCount, char** aWords)
{
  if (aCount != 3) {
    return kNotRun;
  }
  OpenRecord(std::string(aWords[1]) + "/record.txt");
  const char* trouble = std::getenv("TROUBLE");
  return Run(aWords[2], trouble == nullptr || std::string(trouble) != "0");
}
