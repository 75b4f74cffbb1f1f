#include "routing/routing_simulation.hpp"

#include <algorithm>

namespace bulrush::routing {

namespace {

constexpr std::uint32_t kSlots = 4;
constexpr std::uint32_t kColdSlots = 1;

model_id
Model()
{
  return IdOf<model_id>("pattern-drafts");
}

std::string
Violation(const char* aText, request_id aRequest)
{
  return std::string(aText) + ", request " + std::to_string(aRequest.value);
}

} // namespace

routing_simulation::routing_simulation()
{
  for (std::uint64_t id = 1; id <= kEndpoints; ++id) {
    mEndpoints[id] = {};
  }
  mEngines.reserve(kHosts);
  for (std::size_t host = 0; host < kHosts; ++host) {
    options settings;
    settings.seed = ++mHostGeneration;
    settings.localDomain = domain_id{ host + 1 };
    mEngines.emplace_back(settings);
    for (const auto& [id, fake] : mEndpoints) {
      Reset(mColdBounds[{ host, endpoint_id{ id } }]);
    }
  }
  Announce();
}

void
routing_simulation::Reset(cold_bound& aBound)
{
  ++aBound.resets;
  aBound.inFlight = kColdSlots;
}

endpoint_facts
routing_simulation::FactsFor(std::size_t /*aHost*/,
                             std::uint64_t aEndpoint) const
{
  const fake_endpoint& fake = mEndpoints.at(aEndpoint);
  endpoint_facts facts;
  facts.id = endpoint_id{ aEndpoint };
  facts.incarnation = fake.incarnation;
  facts.domain = domain_id{ 1 + aEndpoint % kHosts };
  facts.isDraining = fake.isDraining;
  facts.canResume = aEndpoint % 2 == 0;
  facts.slots = kSlots;
  facts.coldSlots = kColdSlots;
  facts.allottedSlots = fake.allotted;
  facts.allottedIncarnation = fake.allottedIncarnation;
  facts.reportedAt = mNow;
  return facts;
}

void
routing_simulation::Announce()
{
  for (std::size_t host = 0; host < kHosts; ++host) {
    for (const auto& [id, fake] : mEndpoints) {
      if (fake.isRemoved) {
        RemoveEndpoint(mEngines[host], endpoint_id{ id });
        continue;
      }
      UpdateEndpoint(mEngines[host], FactsFor(host, id));
      SetResidents(mEngines[host], endpoint_id{ id }, { { Model(), {}, 1 } });
    }
  }
}

void
routing_simulation::Run(const step& aStep)
{
  switch (aStep.operation % 12) {
    case 0:
    case 1:
    case 2:
      AddRequestOp(aStep);
      break;
    case 3:
    case 4:
    case 5:
    case 6:
      CallOp(aStep);
      break;
    case 7:
    case 8:
      ClaimOp(aStep);
      break;
    case 9:
      EndpointOp(aStep);
      break;
    case 10:
      CallerOp(aStep);
      break;
    default:
      HostOp(aStep);
      break;
  }
  for (std::size_t host = 0; host < kHosts; ++host) {
    TickHost(host);
  }
  mEnded.clear();
}

// A third of the requests are idempotent, a third are not, and a third are not
// but have a key. Keys are few, so that many requests are resends to any host.
void
routing_simulation::AddRequestOp(const step& aStep)
{
  caller added;
  added.host = aStep.first % kHosts;
  request_facts& facts = added.facts;
  facts.id = request_id{ ++mLastRequest };
  facts.workspace = workspace_id{ 1 + aStep.first / 2 % 2 };
  facts.key.bytes[0] = static_cast<std::uint8_t>(1 + aStep.first % 3);
  facts.model = Model();
  facts.deadline = mNow + milliseconds{ 600 };
  facts.isStreamed = aStep.second % 2 == 0;
  facts.isIdempotent = aStep.second / 2 % 3 == 0;
  if (aStep.second / 2 % 3 == 1) {
    facts.idempotencyKey = "key " + std::to_string(aStep.second / 6 % 4);
    facts.bodyDigest.bytes[0] = aStep.second % 17 == 0 ? 1 : 0;
  }
  mCallers[facts.id] = added;
  Expect(AddRequest(mEngines[added.host], facts),
         "a new request was not added");
}

void
routing_simulation::CountRun(const call& aCall)
{
  caller& owner = mCallers.at(aCall.request);
  ++owner.runs;
  const request_facts& facts = owner.facts;
  if (facts.isIdempotent) {
    return;
  }
  Expect(owner.runs == 1,
         Violation("a non-idempotent request ran twice", facts.id));
  Expect(!owner.wasReportedNotRun,
         Violation("ran after \"not run\" was reported", facts.id));
  if (!facts.idempotencyKey.empty()) {
    auto& runs = mKeyedRuns[{ facts.workspace, facts.idempotencyKey }];
    Expect(++runs == 1, Violation("a resend ran again", facts.id));
  }
}

void
routing_simulation::SendHead(call& aCall, int aStatus, bool aStatesNotRun)
{
  const answer_head head{
    aStatus, aCall.attempt, aStatesNotRun, aCall.resumeOffset
  };
  OnAttemptHeaders(mEngines[aCall.host], aCall.attempt, head, mNow);
  aCall.isHeadSent = true;
  cold_bound& bound = mColdBounds[{ aCall.host, aCall.endpoint }];
  if (aStatus == 503 && !aCall.isCancelled && bound.resets == aCall.resets) {
    Reset(bound);
  }
}

void
routing_simulation::SendBody(call& aCall, std::uint64_t aCount)
{
  const std::uint64_t count = std::min(aCount, kAnswerLength - aCall.offset);
  OnAttemptBytes(
    mEngines[aCall.host], aCall.attempt, aCall.offset, count, true, mNow);
  aCall.offset += count;
}

void
routing_simulation::EndCall(std::size_t aIndex, attempt_end aEnd)
{
  const call& ended = mCalls[aIndex];
  cold_bound& bound = mColdBounds[{ ended.host, ended.endpoint }];
  if (aEnd == attempt_end::eComplete && ended.resets == bound.resets) {
    ++bound.inFlight;
  }
  OnAttemptEnd(mEngines[ended.host], ended.attempt, aEnd, mNow);
  mEnded[ended.attempt] = ended;
  mCalls.erase(mCalls.begin() + static_cast<std::ptrdiff_t>(aIndex));
}

// Picks a call and its behavior. Answers may arrive in parts, interleaved with
// other steps.
void
routing_simulation::CallOp(const step& aStep)
{
  if (mCalls.empty()) {
    return;
  }
  const std::size_t index = aStep.first % mCalls.size();
  call& chosen = mCalls[index];
  if (chosen.isHeadSent) {
    if (aStep.second % 8 == 0) {
      EndCall(index, attempt_end::eTruncated);
      return;
    }
    SendBody(chosen, 1 + aStep.second % kAnswerLength);
    if (chosen.offset == kAnswerLength) {
      EndCall(index, attempt_end::eComplete);
    }
    return;
  }
  const auto behaviorCount = static_cast<std::uint32_t>(call_behavior::eCount);
  // More than half of the calls answer in parts.
  const std::uint32_t drawn = aStep.second % (2 * behaviorCount);
  switch (drawn < behaviorCount ? static_cast<call_behavior>(drawn)
                                : call_behavior::eAnswers) {
    case call_behavior::eTruncates:
      CountRun(chosen);
      SendHead(chosen, 200);
      SendBody(chosen, kAnswerLength / 2);
      EndCall(index, attempt_end::eTruncated);
      break;
    case call_behavior::eLostAfterRun:
      CountRun(chosen);
      EndCall(index, attempt_end::eLost);
      break;
    case call_behavior::eLostBeforeRun:
      EndCall(index, attempt_end::eLost);
      break;
    case call_behavior::eNotSent:
      EndCall(index, attempt_end::eNotSent);
      break;
    case call_behavior::eRefusesNotRun:
      SendHead(chosen, 503, true);
      EndCall(index, attempt_end::eComplete);
      break;
    case call_behavior::eRefusesUnspecified:
      if (aStep.first % 2 == 0) {
        CountRun(chosen);
      }
      SendHead(chosen, 503);
      EndCall(index, attempt_end::eComplete);
      break;
    case call_behavior::eServerError:
      CountRun(chosen);
      SendHead(chosen, 500);
      chosen.isBodyWrong = chosen.resumeOffset > 0;
      SendBody(chosen, kAnswerLength);
      EndCall(index, attempt_end::eComplete);
      break;
    case call_behavior::eMisdelivers: {
      CountRun(chosen);
      const call& other = mCalls[aStep.second / 7 % mCalls.size()];
      chosen.bodyOf = other.request;
      OnAttemptHeaders(mEngines[chosen.host],
                       chosen.attempt,
                       { 200, other.attempt, false, chosen.resumeOffset },
                       mNow);
      SendBody(chosen, kAnswerLength);
      EndCall(index, attempt_end::eComplete);
      break;
    }
    case call_behavior::eSkipsBytes:
      CountRun(chosen);
      SendHead(chosen, 200);
      SendBody(chosen, 2);
      if (chosen.offset < kAnswerLength) {
        ++chosen.offset;
        SendBody(chosen, kAnswerLength);
        EndCall(index, attempt_end::eComplete);
      } else {
        EndCall(index, attempt_end::eTruncated);
      }
      break;
    case call_behavior::eResumesAtWrongOffset:
      CountRun(chosen);
      chosen.isBodyWrong = chosen.resumeOffset > 0;
      OnAttemptHeaders(mEngines[chosen.host],
                       chosen.attempt,
                       { 200, chosen.attempt, false, 0 },
                       mNow);
      SendBody(chosen, kAnswerLength);
      EndCall(index, attempt_end::eComplete);
      break;
    default:
      CountRun(chosen);
      SendHead(chosen, 200);
      break;
  }
}

// The log grants a key once; only the outcome "not run" of its holder releases
// it.
claim_answer
routing_simulation::AnswerClaim(const request_claim& aClaim)
{
  const auto [found, isNew] = mClaims.try_emplace(
    { aClaim.workspace, aClaim.idempotencyKey },
    claim_record{
      aClaim.request, claim_answer::eInProgress, aClaim.bodyDigest });
  if (isNew) {
    return claim_answer::eGranted;
  }
  if (found->second.bodyDigest != aClaim.bodyDigest) {
    return claim_answer::eDigestMismatch;
  }
  return found->second.outcome;
}

// Claims are answered in any order. Some answers are lost, and some are "no
// quorum" although the claim is stored.
void
routing_simulation::ClaimOp(const step& aStep)
{
  if (mPendingClaims.empty()) {
    return;
  }
  const std::size_t index = aStep.first % mPendingClaims.size();
  const pending_claim pending = mPendingClaims[index];
  mPendingClaims.erase(mPendingClaims.begin() +
                       static_cast<std::ptrdiff_t>(index));
  claim_answer answer = claim_answer::eNoQuorum;
  if (aStep.second % 10 != 0) {
    answer = AnswerClaim(pending.claim);
  }
  if (aStep.second % 10 == 1) {
    answer = claim_answer::eNoQuorum;
  }
  if (aStep.second % 10 != 2) {
    OnClaimAnswer(mEngines[pending.host], pending.claim.request, answer);
  }
}

void
routing_simulation::EndpointOp(const step& aStep)
{
  fake_endpoint& fake = mEndpoints[1 + aStep.first % kEndpoints];
  switch (aStep.second % 5) {
    case 0:
      ++fake.incarnation;
      for (std::size_t host = 0; host < kHosts; ++host) {
        Reset(
          mColdBounds[{ host, endpoint_id{ 1 + aStep.first % kEndpoints } }]);
      }
      break;
    case 1:
      fake.isDraining = !fake.isDraining;
      break;
    case 2:
      fake.isRemoved = !fake.isRemoved;
      break;
    default:
      fake.allotted = aStep.second / 5 % 5;
      fake.allottedIncarnation = fake.incarnation;
      break;
  }
  Announce();
}

void
routing_simulation::CallerOp(const step& aStep)
{
  if (aStep.second % 6 == 0) {
    key_hash withdrawn;
    withdrawn.bytes[0] = static_cast<std::uint8_t>(1 + aStep.first % 3);
    for (tables& engine : mEngines) {
      CancelByKey(engine, withdrawn);
    }
    return;
  }
  if (mLastRequest > 0) {
    const request_id id{ 1 + aStep.first % mLastRequest };
    OnCallerDisconnected(mEngines[mCallers.at(id).host], id);
  }
}

// Advances the time, or crashes a host, whose calls go on at the endpoints.
void
routing_simulation::HostOp(const step& aStep)
{
  if (aStep.second % 7 == 0) {
    ReplaceHost(aStep.first % kHosts);
  } else {
    mNow += milliseconds{ 10 + aStep.first % 500 };
  }
}

void
routing_simulation::ReplaceHost(std::size_t aHost)
{
  options settings = mEngines[aHost].settings;
  settings.seed = 1000 + ++mHostGeneration;
  mEngines[aHost] = tables{ settings };
  for (const auto& [id, fake] : mEndpoints) {
    Reset(mColdBounds[{ aHost, endpoint_id{ id } }]);
  }
  for (auto& [id, each] : mCallers) {
    if (each.host == aHost && !each.isEnded) {
      each.isEnded = true;
      each.isHostLost = true;
    }
  }
  // A request that reached its endpoint may still run there.
  for (const call& each : mCalls) {
    if (each.host == aHost && !each.isHeadSent) {
      CountRun(each);
    }
  }
  std::erase_if(mCalls,
                [aHost](const call& aCall) { return aCall.host == aHost; });
  std::erase_if(mPendingClaims, [aHost](const pending_claim& aPending) {
    return aPending.host == aHost;
  });
  Announce();
}

void
routing_simulation::TickHost(std::size_t aHost)
{
  outbox out;
  Tick(mEngines[aHost], mNow, out);
  Execute(aHost, out);
}

void
routing_simulation::Execute(std::size_t aHost, const outbox& aOut)
{
  for (const cancel_attempt& cancel : aOut.cancels) {
    for (call& each : mCalls) {
      each.isCancelled |= each.attempt == cancel.attempt;
    }
  }
  for (const forward_to_caller& forward : aOut.forwards) {
    OnForward(forward);
  }
  for (const record_outcome& record : aOut.records) {
    OnRecord(record);
  }
  for (const end_request& end : aOut.ends) {
    OnEnd(end);
  }
  for (const request_claim& claim : aOut.claims) {
    mPendingClaims.push_back({ aHost, claim });
  }
  for (const start_attempt& start : aOut.starts) {
    OnStart(aHost, start);
  }
}

void
routing_simulation::OnStart(std::size_t aHost, const start_attempt& aStart)
{
  const caller& owner = mCallers.at(aStart.request);
  const fake_endpoint& fake = mEndpoints.at(aStart.endpoint.value);
  Expect(!owner.isEnded,
         Violation("attempt started after the request ended", aStart.request));
  Expect(owner.host == aHost,
         Violation("attempt started on another host", aStart.request));
  Expect(mNow < owner.facts.deadline || aStart.resumeOffset > 0,
         Violation("attempt started after the deadline", aStart.request));
  Expect(!fake.isDraining && !fake.isRemoved,
         Violation("sent to a draining or removed endpoint", aStart.request));
  Expect(owner.facts.isIdempotent || aStart.freshConnection,
         Violation("not sent on a fresh connection", aStart.request));
  Expect(aStart.resumeOffset == owner.received,
         Violation("resumed from another offset", aStart.request));
  Expect(
    aStart.resumeOffset == 0 || aStart.endpoint.value % 2 == 0,
    Violation("resumed at an endpoint that cannot resume", aStart.request));
  if (!owner.facts.idempotencyKey.empty()) {
    const auto claim =
      mClaims.find({ owner.facts.workspace, owner.facts.idempotencyKey });
    Expect(claim != mClaims.end() && claim->second.holder == aStart.request,
           Violation("sent without a claim", aStart.request));
  }
  call started;
  started.attempt = aStart.attempt;
  started.request = aStart.request;
  started.endpoint = aStart.endpoint;
  started.host = aHost;
  started.offset = aStart.resumeOffset;
  started.resumeOffset = aStart.resumeOffset;
  started.bodyOf = aStart.request;
  const cold_bound& bound = mColdBounds[{ aHost, aStart.endpoint }];
  started.resets = bound.resets;
  mCalls.push_back(started);
  const auto inFlight =
    std::count_if(mCalls.begin(), mCalls.end(), [&started](const call& aCall) {
      return aCall.host == started.host && aCall.endpoint == started.endpoint;
    });
  Expect(inFlight <= fake.allotted,
         Violation("more calls than allotted slots", aStart.request));
  Expect(fake.allottedIncarnation == fake.incarnation,
         Violation("sent on an allotment of an earlier incarnation",
                   aStart.request));
  Expect(inFlight <= bound.inFlight,
         Violation("more calls than the cold limit", aStart.request));
}

// The source may be a call that ended in this step.
void
routing_simulation::OnForward(const forward_to_caller& aForward)
{
  caller& owner = mCallers.at(aForward.request);
  Expect(!owner.isEnded,
         Violation("forwarded after the request ended", aForward.request));
  Expect(aForward.offset == owner.received,
         Violation("forwarded out of order", aForward.request));
  const auto isSource = [&aForward](const call& aCall) {
    return aCall.attempt == aForward.attempt;
  };
  const auto live = std::find_if(mCalls.begin(), mCalls.end(), isSource);
  const auto ended = mEnded.find(aForward.attempt);
  Expect(live != mCalls.end() || ended != mEnded.end(),
         Violation("forwarded from an attempt that ended earlier",
                   aForward.request));
  const call& source = live != mCalls.end() ? *live : ended->second;
  Expect(
    source.bodyOf == aForward.request,
    Violation("forwarded the answer of another request", aForward.request));
  Expect(!source.isCancelled,
         Violation("forwarded from a cancelled attempt", aForward.request));
  Expect(!source.isBodyWrong,
         Violation("forwarded a wrong body", aForward.request));
  owner.received += aForward.count;
}

void
routing_simulation::OnEnd(const end_request& aEnd)
{
  caller& owner = mCallers.at(aEnd.request);
  Expect(!owner.isEnded, Violation("ended twice", aEnd.request));
  owner.isEnded = true;
  if (aEnd.outcome == request_outcome::eAnswered) {
    ++mAnswered;
    Expect(owner.received == kAnswerLength,
           Violation("answered incompletely", aEnd.request));
    Expect(owner.runs >= 1, Violation("answered but never ran", aEnd.request));
    return;
  }
  Expect(
    owner.received == 0 || aEnd.hasForwarded,
    Violation("hasForwarded is false after a partial answer", aEnd.request));
  Expect(owner.facts.isStreamed || owner.received == 0,
         Violation("part of a buffered answer was forwarded", aEnd.request));
  if (aEnd.ran == ran_state::eNotRun) {
    owner.wasReportedNotRun = true;
    Expect(owner.runs == 0,
           Violation("\"not run\" was reported but it ran", aEnd.request));
    for (const call& each : mCalls) {
      Expect(each.request != aEnd.request,
             Violation("\"not run\" was reported with a call in flight",
                       aEnd.request));
    }
  }
}

void
routing_simulation::OnRecord(const record_outcome& aRecord)
{
  const auto found =
    mClaims.find({ aRecord.workspace, aRecord.idempotencyKey });
  Expect(found != mClaims.end() && found->second.holder == aRecord.request,
         Violation("recorded an outcome without the claim", aRecord.request));
  if (aRecord.ran == ran_state::eNotRun) {
    Expect(mCallers.at(aRecord.request).runs == 0,
           Violation("released a claim although it ran", aRecord.request));
    mClaims.erase(found);
    return;
  }
  found->second.outcome = aRecord.ran == ran_state::eRan
                            ? claim_answer::eStored
                            : claim_answer::eMayHaveRun;
}

void
routing_simulation::Drain()
{
  for (int round = 0; round < 8; ++round) {
    while (!mCalls.empty()) {
      EndCall(0, attempt_end::eLost);
    }
    mNow += std::chrono::seconds{ 20 };
    for (std::size_t host = 0; host < kHosts; ++host) {
      TickHost(host);
    }
  }
  Expect(mCalls.empty(), "calls were left after draining");
  for (const auto& [id, each] : mCallers) {
    Expect(each.isEnded, Violation("the request never ended", id));
  }
  for (const tables& engine : mEngines) {
    Expect(engine.requests.Empty(), "a request row was left behind");
    Expect(engine.attempts.Empty(), "an attempt row was left behind");
    for (const endpoint_row& endpoint : engine.endpoints) {
      Expect(endpoint.inFlight == 0, "a slot was not freed");
    }
  }
}

} // namespace bulrush::routing
