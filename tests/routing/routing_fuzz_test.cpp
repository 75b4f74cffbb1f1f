#include "routing/routing_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <ostream>

namespace bulrush::routing {

// For RapidCheck, to print a failing script.
static std::ostream&
operator<<(std::ostream& aStream, const step& aStep)
{
  return aStream << '{' << static_cast<int>(aStep.operation) << ", "
                 << aStep.first << ", " << aStep.second << '}';
}

namespace {

constexpr std::size_t kStepsPerScript = 1500;

struct fuzz_fixture
{
  std::size_t requests = 0;
  std::size_t answered = 0;

  static rc::Gen<step> AnyStep()
  {
    return rc::gen::build<step>(
      rc::gen::set(&step::operation, rc::gen::inRange<std::uint8_t>(0, 12)),
      rc::gen::set(&step::first, rc::gen::inRange<std::uint32_t>(0, 10'000)),
      rc::gen::set(&step::second, rc::gen::inRange<std::uint32_t>(0, 10'000)));
  }

  void RunScript(const std::vector<step>& aScript)
  {
    routing_simulation simulation;
    for (const step& each : aScript) {
      simulation.Run(each);
    }
    simulation.Drain();
    requests += simulation.RequestCount();
    answered += simulation.AnsweredCount();
  }
};

TEST_CASE_METHOD(fuzz_fixture,
                 "Engine_UnderRandomFaults_HoldsItsInvariants",
                 "[routing][fuzz]")
{
  const bool holds = rc::check("invariants of the routing engine", [this] {
    const auto length = *rc::gen::inRange<std::size_t>(1, kStepsPerScript);
    RunScript(*rc::gen::container<std::vector<step>>(length, AnyStep()));
  });
  CHECK(holds);
  // Guards the coverage: enough requests must be answered completely.
  CHECK(requests > 1000);
  CHECK(answered * 10 > requests);
}

} // namespace
} // namespace bulrush::routing
