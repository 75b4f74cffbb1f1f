/// Stateful fuzz test of the escrow mechanism at all three levels. The oracles
/// observe only admitted tokens, slots in use and serving hosts.

#include "admission/escrow_world.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <rapidcheck/state.h>

#include <iostream>

namespace bulrush::admission {
namespace {

using namespace std::chrono_literals;

/// The model has no state; the checks are in the commands.
struct fuzz_model
{};
using fuzz_command = rc::state::Command<fuzz_model, escrow_world>;

struct advance : fuzz_command
{
  int millis = *rc::gen::inRange(50, 6000);
  link_faults faults = MakeFaults();

  static link_faults MakeFaults()
  {
    const bool isClean = *rc::gen::arbitrary<bool>();
    if (isClean) {
      return {};
    }
    return { *rc::gen::inRange<std::uint32_t>(0, 500),
             *rc::gen::inRange<std::uint32_t>(0, 300),
             *rc::gen::inRange<std::uint32_t>(0, 300) };
  }
  void run(const fuzz_model&, escrow_world& aWorld) const override
  {
    aWorld.Advance(std::chrono::milliseconds{ millis }, faults);
    RC_ASSERT(aWorld.Fault() == std::string{});
    RC_ASSERT(aWorld.WorstExcess() == 0);
  }
  void show(std::ostream& aOut) const override
  {
    aOut << "advance " << millis << " ms, lost " << faults.lost << ", repeated "
         << faults.repeated << ", delayed " << faults.delayed;
  }
};

struct limit_change : fuzz_command
{
  int rate = *rc::gen::inRange(0, 400);
  int burst = *rc::gen::inRange(1, 600);
  int slots = *rc::gen::inRange(0, 12);

  void run(const fuzz_model&, escrow_world& aWorld) const override
  {
    aWorld.SetRateLimit({ rate * kUnitsPerToken, burst * kUnitsPerToken });
    aWorld.SetSlotLimit(slots);
  }
  void show(std::ostream& aOut) const override
  {
    aOut << "limit " << rate << "/s, burst " << burst << ", slots " << slots;
  }
};

/// A fault or a change of demand at one host.
struct host_event : fuzz_command
{
  int host = *rc::gen::inRange(0, 4);
  int kind = *rc::gen::inRange(0, 9);

  void run(const fuzz_model&, escrow_world& aWorld) const override
  {
    switch (kind) {
      case 0:
        return aWorld.CrashHost(host);
      case 1:
        return aWorld.PartitionHost(host, true);
      case 2:
        return aWorld.PartitionHost(host, false);
      case 3:
        return aWorld.FreezeHost(host, true);
      case 4:
        return aWorld.FreezeHost(host, false);
      case 5:
        return aWorld.MoveHost(host);
      case 6:
        return aWorld.SetGreedy(host, false);
      case 7:
        return aWorld.SetSlotDemand(host, false);
      default:
        aWorld.SetGreedy(host, true);
        return aWorld.SetSlotDemand(host, true);
    }
  }
  void show(std::ostream& aOut) const override
  {
    static constexpr std::array kNames{
      "crash", "cut",     "heal",    "freeze", "thaw",
      "move",  "no rate", "no slot", "greedy",
    };
    aOut << kNames[static_cast<std::size_t>(kind)] << " host " << host;
  }
};

/// A fault or a change in a failure domain or in the fleet.
struct domain_event : fuzz_command
{
  int domain = *rc::gen::inRange(0, 2);
  int kind = *rc::gen::inRange(0, 9);

  void run(const fuzz_model&, escrow_world& aWorld) const override
  {
    switch (kind) {
      case 0:
        return aWorld.CrashDelegate(domain);
      case 1:
        return aWorld.PartitionDomain(domain, true);
      case 2:
        return aWorld.PartitionDomain(domain, false);
      case 3:
        return aWorld.FreezeDelegate(domain, true);
      case 4:
        return aWorld.FreezeDelegate(domain, false);
      case 5:
        return aWorld.ReplaceDelegate(domain);
      case 6:
        return aWorld.ReplaceRoot();
      case 7:
        return aWorld.NewEndpointIncarnation();
      default:
        return aWorld.NewRevision();
    }
  }
  void show(std::ostream& aOut) const override
  {
    static constexpr std::array kNames{
      "crash delegate",   "cut",          "heal",
      "freeze delegate",  "thaw",         "replace delegate",
      "replace the root", "new endpoint", "new revision",
    };
    aOut << kNames[static_cast<std::size_t>(kind)] << ", domain " << domain;
  }
};

class escrow_fuzz_fixture
{
public:
  /// Runs one generated sequence of commands against a new world.
  static void RunSequence(std::size_t& aSpending)
  {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    escrow_world world({}, seed);
    world.SetRateLimit({ 100 * kUnitsPerToken, 200 * kUnitsPerToken });
    world.SetSlotLimit(6);
    for (int host = 0; host < world.Hosts(); ++host) {
      world.SetGreedy(host, true);
      world.SetSlotDemand(host, true);
    }
    world.Advance(3s, {});
    const auto next = rc::state::gen::execOneOfWithArgs<advance,
                                                        advance,
                                                        advance,
                                                        limit_change,
                                                        host_event,
                                                        domain_event>();
    rc::state::check(fuzz_model{}, world, next);
    aSpending += world.Spent() > 0 && world.SlotsTaken() > 0 ? 1 : 0;
  }
};

TEST_CASE_METHOD(escrow_fuzz_fixture,
                 "Escrow_UnderAnyInterleavingOfFaults_NeverExceedsALimit",
                 "[admission][fuzz]")
{
  std::size_t spending = 0;
  rc::prop("no interval, incarnation or revision is exceeded",
           [&] { RunSequence(spending); });
  // Guards against sequences that never consume anything.
  CHECK(spending > 0);
}

} // namespace
} // namespace bulrush::admission
