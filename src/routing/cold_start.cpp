#include "routing/parts.hpp"

namespace bulrush::routing {

namespace {

constexpr std::uint32_t kMinSamples = 8;
constexpr int kJumpFactor = 4;
constexpr std::chrono::milliseconds kMinJump{ 200 };
constexpr int kMeanWeight = 8;

void
LearnFirstByte(cold_start_state& aState, std::chrono::microseconds aFirstByte)
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

// The newest of about eight attempts counts for the share of failures.
void
CountFailure(endpoint_row& aEndpoint,
             const attempt_result& aResult,
             steady_time aNow)
{
  const double failed = aResult.hasFailed ? 1.0 : 0.0;
  aEndpoint.failureShare += (failed - aEndpoint.failureShare) / kMeanWeight;
  if (aResult.hasFailed) {
    aEndpoint.failedAt = aNow;
  }
}

// One more slot for each good result: the limit doubles with each round of
// answers, and stands still while none come. A result proves nothing of a load
// that was not there, so only those under half the limit or more count.
void
Climb(endpoint_row& aEndpoint, const attempt_result& aResult)
{
  cold_start_state& state = aEndpoint.coldStart;
  const bool proves = aResult.isGood && aResult.wasBusy;
  if (!proves || !state.isCold || aEndpoint.facts.reportsCold) {
    return;
  }
  ++state.limit;
  if (state.limit >= aEndpoint.facts.slots) {
    state.isCold = false;
  }
}

} // namespace

// A refusal is plain. A time to the first byte far above its mean shows an
// engine that lost its caches or restarted without notice.
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

// Runs before the choice of endpoints, so that a drop binds in the same tick.
void
RunColdStart(tables& aTables, steady_time aNow, outbox& /*aOutbox*/)
{
  for (const attempt_result& result : aTables.results) {
    endpoint_row* endpoint = aTables.endpoints.Find(result.endpoint);
    if (endpoint != nullptr) {
      CountFailure(*endpoint, result, aNow);
    }
    if (endpoint == nullptr || result.coldEpoch != endpoint->coldStart.epoch) {
      continue;
    }
    if (endpoint->facts.saysWhenCold) {
      continue;
    }
    if (aTables.policy.detectColdStart(endpoint->coldStart, result)) {
      DropToCold(*endpoint);
      continue;
    }
    if (result.isGood) {
      LearnFirstByte(endpoint->coldStart, result.firstByte);
    }
    Climb(*endpoint, result);
  }
  aTables.results.clear();
}

} // namespace bulrush::routing
