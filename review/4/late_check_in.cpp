/// Servers leave, and a control process confirms it. That process is killed and
/// starts again. Then check-ins that the servers sent before they left arrive
/// there, some seconds late.

#include "../stand_in.hpp"

#include <cstdlib>
#include <iostream>
#include <memory>

namespace {

using namespace review;

// Bounds of the deployment (SYSTEM.md) in seconds.
constexpr double kDrain = 2.0;
constexpr double kContact = 3.0;
/// By which the check-ins are late.
constexpr double kLate = 5.0;

int
Run(const std::string& aFolder, bool aHasTrouble)
{
  deployment system(aFolder, 2);
  system.StartAll();
  SleepFor(1);
  std::vector<std::unique_ptr<server>> staying;
  std::vector<std::unique_ptr<server>> leaving;
  for (std::size_t i = 0; i < kZones.size(); ++i) {
    staying.push_back(
      std::make_unique<server>(system, "stays-" + kZones[i], kZones[i]));
    staying.back()->StartCheckIns(i);
    leaving.push_back(
      std::make_unique<server>(system, "leaves-" + kZones[i], kZones[i]));
    leaving.back()->workMs = 150; // servers differ in speed
    leaving.back()->StartCheckIns(i);
  }
  if (!Prepare(system, Configuration(1))) {
    std::cout << "the system did not start\n";
    return kNotRun;
  }
  consumers load(system, 0.05);
  consumers orders(system, 0.05, true);
  SleepFor(4);

  // Each sends a last check-in, which is held up on its way, and then leaves.
  machine& confirming = system.controls[0];
  std::vector<std::string> late;
  for (const auto& each : leaving) {
    if (each->Arrivals().empty()) {
      std::cout << each->Id() << " served nothing before it left\n";
      return kNotRun;
    }
    each->StopCheckIns();
    late.push_back(each->NextCheckIn("ready"));
    Record(each->Id() + " sends " + late.back() + ", which is held up");
  }
  const double sentAt = Elapsed();
  for (const auto& each : leaving) {
    const http_answer answer = Call(system.ControlOf(confirming),
                                    "POST",
                                    "/Instances.Deregister/" + each->Id(),
                                    {},
                                    "",
                                    1.0);
    Record(each->Id() + " leaves; " + confirming.name + " answers " +
           std::to_string(answer.status));
    if (answer.status / 100 != 2) {
      std::cout << "a server could not leave\n";
      return kNotRun;
    }
  }
  const double leftAt = Elapsed();
  SleepFor(0.5);
  double startedAt = leftAt;
  if (aHasTrouble) {
    system.Kill(confirming);
    SleepFor(0.3);
    system.Start(confirming, false);
    startedAt = Elapsed();
  }

  SleepUntil(sentAt + kLate);
  for (std::size_t i = 0; i < leaving.size(); ++i) {
    const http_answer answer = Call(system.ControlOf(confirming),
                                    "POST",
                                    "/Instances.Heartbeat/" + leaving[i]->Id(),
                                    { { "Content-Type", "application/json" } },
                                    late[i],
                                    1.0);
    Record("the late check-in of " + leaving[i]->Id() + " arrives at " +
           confirming.name + ", which answers " +
           std::to_string(answer.status));
  }
  SleepFor(2.5);
  // The servers exit, some seconds after they left.
  for (const auto& each : leaving) {
    each->Crash();
  }
  Record("the servers that had left exit");
  SleepFor(1.5);

  const double from = std::max(leftAt + kDrain, startedAt + kContact);
  int count = 0;
  for (const auto& each : leaving) {
    for (const arrival& one : each->Arrivals()) {
      count += one.at > from ? 1 : 0;
    }
  }
  const std::string result =
    std::to_string(count) +
    " requests reached servers that had left, later than " +
    std::to_string(from - leftAt) +
    " s after that was confirmed; consumers: " + std::to_string(load.Served()) +
    " served, " + std::to_string(load.Failed()) +
    " not; requests that may run once: " + std::to_string(orders.Served()) +
    " served, " + std::to_string(orders.Lost()) + " lost";
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
