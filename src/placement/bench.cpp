// The benchmark's fleet: engines that execute every order at once, and a hash
// of all decisions.

#include "placement/bench.hpp"
#include "placement/placement.hpp"

#include <algorithm>

namespace bulrush::placement {

namespace {

constexpr std::uint64_t kGigabyte = std::uint64_t{ 1 } << 30U;
constexpr std::uint64_t kDomains = 10;
constexpr std::uint64_t kCopiesInMemory = 6; ///< of each model in the fleet
constexpr std::uint64_t kSeed = 20261204;
constexpr std::size_t kDemandChangesPerRound =
  20; ///< models whose demand changes

struct bench_fleet
{
  tables state;
  steady_time now{ std::chrono::hours{ 1 } };
  std::unordered_map<endpoint_id, report, id_hash> engines;
  random_engine random{ kSeed };
  bench_result result;
};

void
DeclareModels(bench_fleet& aFleet, std::size_t aModels)
{
  std::vector<model_row> models;
  for (std::size_t i = 1; i <= aModels; ++i) {
    model_row model;
    model.id = model_id{ i };
    model.version = 1;
    model.bytes = (1 + i % 4) * kGigabyte;
    model.copyRate = 10;
    models.push_back(model);
  }
  OnManifest(aFleet.state, models, {});
}

void
AddEngines(bench_fleet& aFleet, std::size_t aEngines, std::size_t aModels)
{
  const std::uint64_t mean = 5 * kGigabyte / 2;
  const std::uint64_t memory =
    aModels * mean * kCopiesInMemory / aEngines + 4 * kGigabyte;
  for (std::size_t i = 1; i <= aEngines; ++i) {
    const endpoint_id id{ i };
    OnAnnounced(aFleet.state,
                { id, domain_id{ 1 + i % kDomains }, 1, memory, true },
                aFleet.now);
    report state;
    state.endpoint = id;
    state.incarnation = 1;
    aFleet.engines.emplace(id, state);
  }
}

void
MixIntoSignature(bench_result& aResult, std::uint64_t aValue)
{
  aResult.signature = (aResult.signature ^ aValue) * 0x9E3779B97F4A7C15ULL;
  aResult.signature ^= aResult.signature >> 32U;
}

void
Execute(bench_fleet& aFleet, const order_row& aOrder)
{
  MixIntoSignature(aFleet.result, aOrder.endpoint.value);
  MixIntoSignature(aFleet.result, static_cast<std::uint64_t>(aOrder.kind));
  MixIntoSignature(aFleet.result, aOrder.target.model.value);
  ++aFleet.result.orders;
  report& engine = aFleet.engines[aOrder.endpoint];
  engine.lastOrder = aOrder.id;
  engine.lastOutcome = order_state::eDone;
  std::erase_if(engine.residents, [&](const reported_resident& aResident) {
    return aResident.content == aOrder.target;
  });
  if (aOrder.kind == order_kind::eLoadModel) {
    engine.residents.push_back(
      { aOrder.target, aOrder.bytes, resident_state::eReady });
  }
  OnOrderAnswered(aFleet.state, aOrder.id, 1, engine.sequence + 1);
}

void
RunRound(bench_fleet& aFleet)
{
  outbox out;
  RunPlacement(aFleet.state, aFleet.now, out);
  for (const commit_order& command : out.commits) {
    OnOrderCommitted(aFleet.state, command);
  }
  for (const settle_order& command : out.settlements) {
    OnOrderSettled(aFleet.state, command);
  }
  for (const close_order& command : out.closures) {
    OnOrderClosed(aFleet.state, command);
  }
  for (const send_order& send : out.sends) {
    Execute(aFleet, send.order);
  }
}

void
ChangeDemand(bench_fleet& aFleet)
{
  for (std::size_t i = 0; i < kDemandChangesPerRound; ++i) {
    const model_id model{ 1 + aFleet.random() % aFleet.state.models.Size() };
    const domain_id domain{ 1 + aFleet.random() % kDomains };
    OnDemand(aFleet.state,
             model,
             domain,
             static_cast<double>(aFleet.random() % 2000),
             aFleet.now);
  }
}

void
ReportAll(bench_fleet& aFleet)
{
  for (auto& [id, state] : aFleet.engines) {
    ++state.sequence;
    OnReport(aFleet.state, state, aFleet.now);
  }
}

} // namespace

bench_result
BenchPlacementRounds(std::size_t aEngines,
                     std::size_t aModels,
                     std::size_t aRounds)
{
  bench_fleet fleet;
  fleet.state.pacing = [](const pacing_state&,
                          order_kind,
                          steady_time aNow) -> std::optional<steady_time> {
    return aNow; // measures decisions, not the weight store
  };
  AddEngines(fleet, aEngines, aModels);
  DeclareModels(fleet, aModels);
  OnElected(
    fleet.state, 1, fleet.now, fleet.now, fleet.now + std::chrono::hours{ 99 });
  for (std::size_t i = 0; i < aRounds; ++i) {
    fleet.now += std::chrono::seconds{ 1 };
    ReportAll(fleet);
    ChangeDemand(fleet);
    RunRound(fleet);
    ++fleet.result.rounds;
  }
  return fleet.result;
}

} // namespace bulrush::placement
