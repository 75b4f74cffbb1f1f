#include "routing/routing_world.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <ostream>

namespace bulrush::routing {

// RapidCheck prints a script that fails with it.
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
    routing_world world;
    for (const step& each : aScript) {
      world.Run(each);
    }
    world.Drain();
    requests += world.RequestCount();
    answered += world.AnsweredCount();
  }
};

TEST_CASE_METHOD(fuzz_fixture,
                 "Engine_UnderAnyScriptOfFaults_KeepsItsPromises",
                 "[routing][fuzz]")
{
  const bool holds = rc::check("promises of the routing engine", [this] {
    const auto length = *rc::gen::inRange<std::size_t>(1, kStepsPerScript);
    RunScript(*rc::gen::container<std::vector<step>>(length, AnyStep()));
  });
  CHECK(holds);
  // The scripts reach what they are to test: a good share is answered whole.
  CHECK(requests > 1000);
  CHECK(answered * 10 > requests);
}

} // namespace
} // namespace bulrush::routing
