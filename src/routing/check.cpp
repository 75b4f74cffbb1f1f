#include "routing/check.hpp"

#include <algorithm>

namespace bulrush::routing {

namespace {

bool
IsModelMissing(const tables& aTables,
               const endpoint_row& aEndpoint,
               const request_facts& aFacts,
               steady_time aNow)
{
  return std::any_of(aTables.missingModels.begin(),
                     aTables.missingModels.end(),
                     [&](const missing_model_row& aMissing) {
                       return aMissing.id == aEndpoint.id &&
                              aMissing.model == aFacts.model &&
                              aMissing.adapter == aFacts.adapter &&
                              aNow < aMissing.until;
                     });
}

// An immediate second attempt covers a lost packet. Further ones would use up
// the request's attempts while the endpoint is unreachable.
bool
IsUnreachable(const endpoint_row& aEndpoint,
              const request_row& aRequest,
              steady_time aNow)
{
  constexpr std::uint32_t kImmediateAttempts = 2;
  return aNow < aEndpoint.suspectUntil &&
         aRequest.attemptsUnsent >= kImmediateAttempts &&
         HasTried(aRequest, aEndpoint.id);
}

// Requests that an endpoint may have in its queue before one of a certain
// urgency is sent there, in units of its slots; nullopt: no limit.
std::optional<double>
QueueLimit(int aUrgency)
{
  constexpr int kMostUrgent = 1;
  constexpr int kInTime = 4;
  constexpr int kPatient = 7;
  constexpr double kInTimeShare = 0.5;
  constexpr double kPatientShare = 0.25;
  constexpr double kLateShare = 0.1;
  if (aUrgency <= kMostUrgent) {
    return std::nullopt;
  }
  if (aUrgency <= kInTime) {
    return kInTimeShare;
  }
  return aUrgency <= kPatient ? kPatientShare : kLateShare;
}

// A request that no endpoint was offered within its target costs its caller
// the time of the wait for nothing, so the first attempt is not held back for
// longer than half of the target.
bool
MayBeHeldBack(const request_row& aRequest, steady_time aNow)
{
  const request_facts& facts = aRequest.facts;
  return aRequest.attemptsMade > aRequest.attemptsUnsent ||
         facts.targetAt - aNow > facts.targetFirstByte / 2;
}

// An endpoint rejects whatever arrives while its queue is full, also the most
// urgent request. So those that can wait, or are late already, wait at hosts
// while its queue is long.
bool
LeavesQueueToOthers(const endpoint_row& aEndpoint,
                    const request_row& aRequest,
                    steady_time aNow)
{
  if (!aRequest.facts.isScheduledByTarget ||
      aRequest.facts.targetAt == steady_time::max() ||
      aNow >= aEndpoint.facts.reportedAt + kQueueReportAge ||
      !MayBeHeldBack(aRequest, aNow)) {
    return false;
  }
  const auto limit = QueueLimit(UrgencyOf(aRequest, aNow));
  return limit && aEndpoint.reportedQueued > *limit * aEndpoint.facts.slots;
}

} // namespace

// A broken stream continues only at an engine that can resume from an offset.
bool
CanResumeStream(const endpoint_row& aEndpoint, const request_row& aRequest)
{
  return aRequest.forwarded == 0 || aEndpoint.facts.canResume;
}

bool
IsServing(const endpoint_row& aEndpoint)
{
  return !aEndpoint.isRemoved && !aEndpoint.isLeaving &&
         !aEndpoint.facts.isDraining && !aEndpoint.facts.isDomainOut;
}

bool
HasTried(const request_row& aRequest, endpoint_id aEndpoint)
{
  return std::find(aRequest.tried.begin(), aRequest.tried.end(), aEndpoint) !=
         aRequest.tried.end();
}

endpoint_check
CheckEndpoint(const tables& aTables,
              endpoint_row& aEndpoint,
              const request_row& aRequest,
              steady_time aNow)
{
  endpoint_check checked;
  if (!IsServing(aEndpoint) || !CanResumeStream(aEndpoint, aRequest) ||
      IsModelMissing(aTables, aEndpoint, aRequest.facts, aNow) ||
      IsUnreachable(aEndpoint, aRequest, aNow)) {
    return checked;
  }
  checked.isUsable = true;
  if (aEndpoint.inFlight >= ConcurrencyLimit(aEndpoint) ||
      aNow < aEndpoint.avoidUntil ||
      !HasColdCapacity(aTables, aEndpoint, aNow)) {
    return checked;
  }
  if (LeavesQueueToOthers(aEndpoint, aRequest, aNow)) {
    checked.isHeldBack = true;
    return checked;
  }
  if (HasTried(aRequest, aEndpoint.id)) {
    checked.rank = tier::eTriedBefore;
  } else if (IsSuspect(aEndpoint, aNow)) {
    checked.rank = tier::eSuspect;
  } else if (aEndpoint.facts.domain == aTables.settings.localDomain) {
    checked.rank = tier::eLocalDomain;
  } else {
    checked.rank = tier::eOtherDomain;
  }
  return checked;
}

} // namespace bulrush::routing
