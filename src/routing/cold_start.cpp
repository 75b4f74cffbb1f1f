#include "routing/parts.hpp"

namespace bulrush::routing {

namespace {

constexpr std::uint32_t kMinSamples = 8;
constexpr int kJumpFactor = 4;
constexpr std::chrono::milliseconds kMinJump{ 200 };
constexpr int kMeanWeight = 8;

void
UpdateMeanFirstByte(cold_start_state& aState,
                    std::chrono::microseconds aFirstByte)
{
  if (aFirstByte.count() == 0) {
    return;
  }
  if (aState.samples == 0) {
    aState.meanFirstByte = aFirstByte;
  } else {
    aState.meanFirstByte += (aFirstByte - aState.meanFirstByte) / kMeanWeight;
  }
  ++aState.samples;
}

// Moving average over about eight attempts.
void
UpdateFailureShare(endpoint_row& aEndpoint,
                   const attempt_result& aResult,
                   steady_time aNow)
{
  const double failed = aResult.hasFailed ? 1.0 : 0.0;
  aEndpoint.failureShare += (failed - aEndpoint.failureShare) / kMeanWeight;
  if (aResult.hasFailed) {
    aEndpoint.failedAt = aNow;
  }
}

// Slow start: each success raises the limit by one, so it doubles per round
// trip. A success at low load says nothing about a higher load, so only
// attempts that were started at half of the limit or more count.
void
RaiseColdLimit(endpoint_row& aEndpoint, const attempt_result& aResult)
{
  cold_start_state& state = aEndpoint.coldStart;
  const bool isEvidence = aResult.hasSucceeded && aResult.wasBusy;
  if (!isEvidence || !state.isCold || aEndpoint.facts.reportsCold) {
    return;
  }
  ++state.limit;
  if (state.limit >= aEndpoint.facts.slots) {
    state.isCold = false;
  }
}

} // namespace

// An overload refusal is taken as a cold start. A time to the first byte far
// above its mean indicates that the engine restarted or lost its caches.
bool
DetectByRefusalOrJump(const cold_start_state& aState,
                      const attempt_result& aResult)
{
  if (aResult.isRefused) {
    return true;
  }
  if (aState.samples < kMinSamples) {
    return false;
  }
  const auto jump = aResult.firstByte - aState.meanFirstByte;
  return jump >= kMinJump &&
         aResult.firstByte > kJumpFactor * aState.meanFirstByte;
}

// Runs before the choice of endpoints, so that a reset applies in the same
// tick.
void
RunColdStart(tables& aTables, steady_time aNow, outbox& /*aOutbox*/)
{
  for (const attempt_result& result : aTables.results) {
    endpoint_row* endpoint = aTables.endpoints.Find(result.endpoint);
    if (endpoint != nullptr) {
      UpdateFailureShare(*endpoint, result, aNow);
    }
    if (endpoint == nullptr || result.coldEpoch != endpoint->coldStart.epoch) {
      continue;
    }
    if (endpoint->facts.reportsColdState) {
      continue;
    }
    if (aTables.policy.detectColdStart(endpoint->coldStart, result)) {
      ResetToCold(*endpoint);
      continue;
    }
    if (result.hasSucceeded) {
      UpdateMeanFirstByte(endpoint->coldStart, result.firstByte);
    }
    RaiseColdLimit(*endpoint, result);
  }
  aTables.results.clear();
}

} // namespace bulrush::routing
