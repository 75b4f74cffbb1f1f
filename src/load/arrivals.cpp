#include "load/load.hpp"

#include <algorithm>
#include <cmath>

namespace bulrush::load {
namespace {

using seconds_double = std::chrono::duration<double>;

// Computed from the engine's bits, because the distributions of the standard
// library differ between implementations and a seed must give the same requests
// on each.
double
DrawUnit(random_engine& aRandom)
{
  constexpr double kUnit = 1.0 / 9007199254740992.0; // 2^-53
  constexpr unsigned kUnusedBits = 11;
  return static_cast<double>(aRandom() >> kUnusedBits) * kUnit;
}

double
DrawExponential(random_engine& aRandom, double aRate)
{
  return -std::log1p(-DrawUnit(aRandom)) / aRate;
}

std::uint64_t
DrawTokens(random_engine& aRandom, const token_range& aRange)
{
  const auto width = static_cast<double>(aRange.max - aRange.min + 1);
  return aRange.min + static_cast<std::uint64_t>(DrawUnit(aRandom) * width);
}

// A geometric distribution over 1, 2, ... with mean aMean.
std::uint64_t
DrawBatch(random_engine& aRandom, double aMean)
{
  std::uint64_t size = 1;
  while (DrawUnit(aRandom) > 1.0 / aMean) {
    ++size;
  }
  return size;
}

double
FactorAt(const std::vector<surge>& aSurges, offset aAt)
{
  double factor = 1;
  for (const surge& each : aSurges) {
    if (each.from <= aAt && aAt < each.to) {
      factor *= each.factor;
    }
  }
  return factor;
}

// The factor is constant between the starts and ends of surges, so its maximum
// occurs at one of them.
double
HighestFactor(const std::vector<surge>& aSurges)
{
  double highest = FactorAt(aSurges, offset::zero());
  for (const surge& each : aSurges) {
    highest = std::max(highest, FactorAt(aSurges, each.from));
    highest = std::max(highest, FactorAt(aSurges, each.to));
  }
  return highest;
}

bool
MayUse(const load_plan& aPlan,
       const workspace_row* aWorkspace,
       const load_target& aTarget)
{
  if (aTarget.isRoute || aWorkspace == nullptr || aWorkspace->models.empty()) {
    return true;
  }
  model_id model = IdOf<model_id>(aTarget.name);
  if (const auto* adapter =
        aPlan.declared.adapters.Find(IdOf<adapter_id>(aTarget.name))) {
    model = adapter->model;
  }
  return std::find(aWorkspace->models.begin(),
                   aWorkspace->models.end(),
                   model) != aWorkspace->models.end();
}

// nullptr if the workspace may use no target with a share at this time.
const load_target*
DrawTarget(const load_plan& aPlan,
           const load_workspace& aWorkspace,
           offset aAt,
           random_engine& aRandom)
{
  const workspace_row* const declared =
    aPlan.declared.workspaces.Find(aWorkspace.id);
  const auto weightOf = [&](const load_target& aTarget) {
    return MayUse(aPlan, declared, aTarget)
             ? aTarget.share * FactorAt(aTarget.surges, aAt)
             : 0.0;
  };
  double sum = 0;
  for (const load_target& target : aPlan.targets) {
    sum += weightOf(target);
  }
  double remaining = DrawUnit(aRandom) * sum;
  const load_target* last = nullptr;
  for (const load_target& target : aPlan.targets) {
    const double weight = weightOf(target);
    if (weight <= 0) {
      continue;
    }
    last = &target;
    remaining -= weight;
    if (remaining < 0) {
      break;
    }
  }
  return last;
}

void
PlanBatch(const load_plan& aPlan,
          const load_workspace& aWorkspace,
          offset aAt,
          random_engine& aRandom,
          std::vector<planned_request>& aRequests)
{
  const std::uint64_t size = DrawBatch(aRandom, aPlan.meanBatch);
  for (std::uint64_t i = 0; i < size; ++i) {
    const load_target* const target =
      DrawTarget(aPlan, aWorkspace, aAt, aRandom);
    if (target == nullptr) {
      return;
    }
    planned_request request;
    request.at = aAt;
    request.workspace = aWorkspace.id;
    request.target = target->id;
    request.isStream = DrawUnit(aRandom) < aPlan.streamShare;
    request.promptTokens = DrawTokens(aRandom, aPlan.promptTokens);
    request.outputTokens = DrawTokens(aRandom, aPlan.outputTokens);
    aRequests.push_back(request);
  }
}

// Samples a Poisson process of varying rate by thinning: arrivals are generated
// at the highest rate and kept with probability rate / highest rate.
void
PlanWorkspace(const load_plan& aPlan,
              const load_workspace& aWorkspace,
              std::vector<planned_request>& aRequests)
{
  random_engine random(aPlan.seed ^ aWorkspace.id.value);
  const double highest = HighestFactor(aWorkspace.surges);
  const double rate = aWorkspace.requestsPerSecond * highest / aPlan.meanBatch;
  if (rate <= 0) {
    return;
  }
  offset at{ 0 };
  while (true) {
    at += std::chrono::duration_cast<offset>(
      seconds_double(DrawExponential(random, rate)));
    if (at >= aPlan.duration) {
      return;
    }
    const double factor = FactorAt(aWorkspace.surges, at);
    if (DrawUnit(random) * highest < factor) {
      PlanBatch(aPlan, aWorkspace, at, random, aRequests);
    }
  }
}

// The oracle: a single token bucket for the whole fleet, full at the start. It
// charges each request within the rate regardless of how the system handles it,
// so the same requests count as within the rate under every policy.
struct oracle_bucket
{
  workspace_id id;
  double tokens = 0;
  offset refilledAt{ 0 };
};

bool
TryConsume(oracle_bucket& aBucket,
           const workspace_row& aWorkspace,
           offset aAt,
           double aCost)
{
  const double elapsed = seconds_double(aAt - aBucket.refilledAt).count();
  aBucket.tokens =
    std::min(aWorkspace.burstTokens,
             aBucket.tokens + elapsed * aWorkspace.tokensPerSecond);
  aBucket.refilledAt = aAt;
  if (aBucket.tokens < aCost) {
    return false;
  }
  aBucket.tokens -= aCost;
  return true;
}

void
MarkWithinRate(const load_plan& aPlan, std::vector<planned_request>& aRequests)
{
  table<workspace_id, oracle_bucket> buckets;
  for (const workspace_row& workspace : aPlan.declared.workspaces) {
    buckets.Insert({ workspace.id, workspace.burstTokens, offset::zero() });
  }
  for (planned_request& request : aRequests) {
    const workspace_row* const workspace =
      aPlan.declared.workspaces.Find(request.workspace);
    if (workspace != nullptr) {
      request.isWithinRate = TryConsume(*buckets.Find(request.workspace),
                                        *workspace,
                                        request.at,
                                        CostOf(aPlan, request));
    }
  }
}

} // namespace

double
CostOf(const load_plan& aPlan, const planned_request& aRequest)
{
  const load_target* const target = aPlan.targets.Find(aRequest.target);
  if (target != nullptr && target->isRoute) {
    return target->routeTokens;
  }
  return static_cast<double>(aRequest.promptTokens + aRequest.outputTokens);
}

std::vector<planned_request>
PlanRequests(const load_plan& aPlan)
{
  std::vector<planned_request> requests;
  for (const load_workspace& workspace : aPlan.workspaces) {
    PlanWorkspace(aPlan, workspace, requests);
  }
  std::stable_sort(
    requests.begin(),
    requests.end(),
    [](const planned_request& aLeft, const planned_request& aRight) {
      return aLeft.at < aRight.at;
    });
  std::uint64_t number = 0;
  for (planned_request& request : requests) {
    request.id = request_id{ ++number };
  }
  MarkWithinRate(aPlan, requests);
  return requests;
}

} // namespace bulrush::load
