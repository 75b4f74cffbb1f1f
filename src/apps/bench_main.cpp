/// bulrush-bench: a deterministic workload for the decision libraries. Prints
/// timings and a signature that changes only when a decision does.

#include "apps/bench_signature.hpp"
#include "placement/bench.hpp"
#include "routing/routing.hpp"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace bulrush {
namespace {

using bench_clock = std::chrono::steady_clock;

constexpr std::uint64_t kEndpoints = 110;
constexpr std::uint64_t kModels = 1'700;
constexpr std::uint64_t kMinCopies = 2;
constexpr std::uint64_t kDomains = 10;
constexpr std::uint32_t kSlots = 32;
constexpr int kDecisions = 200'000;
constexpr int kRequests = 50'000;
constexpr std::size_t kInFlight = 400;
constexpr std::uint64_t kLostAttemptPeriod = 50;
constexpr std::chrono::microseconds kRequestInterval{ 230 };

/// The hash of a benchmark's decisions and the time that they took.
struct bench_result
{
  std::string name;
  std::uint64_t signature = 0;
  int count = 0;
  bench_clock::duration total{};
};

using bench_function = std::vector<bench_result> (*)();

model_id
Model(std::uint64_t aNumber)
{
  return IdOf<model_id>(fmt::format("model-{}", aNumber));
}

// Copies follow skewed demand: the first model is on every endpoint, the second
// on half of them, and so on; each model has at least kMinCopies copies.
std::vector<std::vector<routing::resident>>
SpreadModels(random_engine& aRandom)
{
  std::vector<std::vector<routing::resident>> residents(kEndpoints);
  for (std::uint64_t model = 0; model < kModels; ++model) {
    const std::uint64_t copies = std::max(kMinCopies, kEndpoints / (model + 1));
    const std::uint64_t start = aRandom() % kEndpoints;
    for (std::uint64_t copy = 0; copy < copies; ++copy) {
      residents[(start + copy) % kEndpoints].push_back({ Model(model), {}, 1 });
    }
  }
  return residents;
}

routing::tables
MakeFleet(steady_time aNow)
{
  routing::options settings;
  settings.localDomain = domain_id{ 1 };
  routing::tables engine{ settings };
  random_engine random{ 1 };
  auto residents = SpreadModels(random);
  for (std::uint64_t id = 1; id <= kEndpoints; ++id) {
    routing::endpoint_facts facts;
    facts.id = endpoint_id{ id };
    facts.incarnation = 1;
    facts.domain = domain_id{ 1 + id % kDomains };
    facts.slots = kSlots;
    facts.coldSlots = kSlots;
    facts.allottedSlots = kSlots;
    facts.allottedIncarnation = 1;
    facts.reportedInFlight = static_cast<std::uint32_t>(random() % kSlots);
    facts.reportedAt = aNow;
    routing::UpdateEndpoint(engine, facts);
    routing::SetResidents(engine, facts.id, std::move(residents[id - 1]));
  }
  return engine;
}

std::vector<model_id>
SkewedDemand(int aCount)
{
  std::vector<model_id> demand;
  random_engine random{ 2 };
  for (int i = 0; i < aCount; ++i) {
    const std::uint64_t span = 1 + random() % kModels;
    demand.push_back(Model(random() % span));
  }
  return demand;
}

// Chooses one endpoint per request and keeps the kInFlight latest requests in
// flight.
bench_result
BenchChoice(const std::string& aName, const std::vector<model_id>& aDemand)
{
  const steady_time now = steady_time{} + std::chrono::hours{ 1 };
  routing::tables engine = MakeFleet(now);
  std::vector<std::optional<std::uint32_t>> inFlight(kInFlight);
  bench_result result{ aName, 0, static_cast<int>(aDemand.size()), {} };
  routing::request_row request;
  std::size_t requestIndex = 0;
  const auto start = bench_clock::now();
  for (const model_id model : aDemand) {
    request.facts.model = model;
    request.facts.prefix = model.value;
    const routing::choice chosen =
      routing::ChooseEndpoint(engine, request, now);
    const auto rows = engine.endpoints.Rows();
    auto& slot = inFlight[requestIndex++ % kInFlight];
    if (slot) {
      --rows[*slot].inFlight;
      slot.reset();
    }
    if (!chosen.failure) {
      ++rows[chosen.position].inFlight;
      slot = chosen.position;
    }
    Mix(result.signature, chosen.failure ? kEndpoints : chosen.position);
  }
  result.total = bench_clock::now() - start;
  return result;
}

// Completes the attempt; every kLostAttemptPeriod-th ends without an
// answer.
void
EndAttempt(routing::tables& aEngine,
           attempt_id aAttempt,
           std::uint64_t aNumber,
           steady_time aNow)
{
  if (aNumber % kLostAttemptPeriod == 0) {
    routing::OnAttemptEnd(aEngine, aAttempt, routing::attempt_end::eLost, aNow);
    return;
  }
  routing::OnAttemptHeaders(aEngine, aAttempt, { 200, aAttempt }, aNow);
  routing::OnAttemptEnd(
    aEngine, aAttempt, routing::attempt_end::eComplete, aNow);
}

// Complete requests from arrival to end, including ticks, with kInFlight
// concurrent requests.
bench_result
BenchRequests(const std::vector<model_id>& aDemand)
{
  steady_time now = steady_time{} + std::chrono::hours{ 1 };
  routing::tables engine = MakeFleet(now);
  bench_result result{ "request, whole life with its ticks",
                       0,
                       static_cast<int>(aDemand.size()),
                       {} };
  std::vector<attempt_id> started;
  std::size_t ended = 0;
  routing::outbox out;
  std::uint64_t number = 0;
  const auto start = bench_clock::now();
  for (const model_id model : aDemand) {
    now += kRequestInterval;
    routing::request_facts facts;
    facts.id = request_id{ ++number };
    facts.model = model;
    facts.deadline = now + std::chrono::seconds{ 1 };
    routing::AddRequest(engine, facts);
    if (started.size() - ended > kInFlight) {
      EndAttempt(engine, started[ended++], number, now);
    }
    out.Clear();
    routing::Tick(engine, now, out);
    for (const routing::start_attempt& each : out.starts) {
      Mix(result.signature, each.endpoint.value);
      started.push_back(each.attempt);
    }
    for (const routing::end_request& each : out.ends) {
      Mix(result.signature, static_cast<std::uint64_t>(each.outcome));
    }
  }
  result.total = bench_clock::now() - start;
  return result;
}

std::vector<bench_result>
BenchRouting()
{
  const std::vector<model_id> mostReplicated(kDecisions, Model(0));
  return { BenchChoice("routing decision, skewed demand",
                       SkewedDemand(kDecisions)),
           BenchChoice("routing decision, on all endpoints", mostReplicated),
           BenchRequests(SkewedDemand(kRequests)) };
}

void
Print(const bench_result& aResult)
{
  const std::chrono::duration<double, std::micro> each =
    aResult.total / static_cast<double>(aResult.count);
  fmt::print("{:<36} {:016x} {:>8} x {:>9.3f} us\n",
             aResult.name,
             aResult.signature,
             aResult.count,
             each.count());
}

// The first rounds load models into an empty fleet; later rounds follow demand.
std::vector<bench_result>
BenchPlacement()
{
  constexpr std::size_t kRounds = 100;
  const auto begin = bench_clock::now();
  const auto done =
    placement::BenchPlacementRounds(kEndpoints, kModels, kRounds);
  return { { "placement round, 110 engines, 1,700 models",
             done.signature,
             static_cast<int>(done.rounds),
             bench_clock::now() - begin } };
}

int
Run(int aCount, char** aArguments)
{
  CLI::App app{ "Decision benchmarks: a fixed signature, and timings" };
  CLI11_PARSE(app, aCount, aArguments);
  std::uint64_t signature = 0;
  for (const bench_function bench : { BenchRouting, BenchPlacement }) {
    for (const bench_result& result : bench()) {
      Print(result);
      Mix(signature, result.signature);
    }
  }
  fmt::print("signature: {:016x}\n", signature);
  return 0;
}

} // namespace
} // namespace bulrush

int
main(int aCount, char** aArguments)
{
  return bulrush::Run(aCount, aArguments);
}
