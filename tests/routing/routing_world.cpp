#include "routing/routing_world.hpp"

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
Told(const char* aWhat, request_id aRequest)
{
  return std::string(aWhat) + ", request " + std::to_string(aRequest.value);
}

} // namespace

routing_world::routing_world()
{
  for (std::uint64_t id = 1; id <= kEndpoints; ++id) {
    mEndpoints[id] = {};
  }
  mEngines.reserve(kHosts);
  for (std::size_t host = 0; host < kHosts; ++host) {
    options settings;
    settings.seed = ++mHostGeneration;
    settings.ownDomain = domain_id{ host + 1 };
    mEngines.emplace_back(settings);
    for (const auto& [id, fake] : mEndpoints) {
      Drop(mColdBounds[{ host, endpoint_id{ id } }]);
    }
  }
  Announce();
}

void
routing_world::Drop(cold_bound& aBound)
{
  ++aBound.drops;
  aBound.inFlight = kColdSlots;
}

endpoint_facts
routing_world::FactsFor(std::size_t /*aHost*/, std::uint64_t aEndpoint) const
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
routing_world::Announce()
{
  for (std::size_t host = 0; host < kHosts; ++host) {
    for (const auto& [id, fake] : mEndpoints) {
      if (fake.isGone) {
        RemoveEndpoint(mEngines[host], endpoint_id{ id });
        continue;
      }
      UpdateEndpoint(mEngines[host], FactsFor(host, id));
      SetResidents(mEngines[host], endpoint_id{ id }, { { Model(), {}, 1 } });
    }
  }
}

void
routing_world::Run(const step& aStep)
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

// A third may be repeated, a third may not, a third may not and has a key;
// keys are few, so that many requests are resends to either host.
void
routing_world::AddRequestOp(const step& aStep)
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
  Expect(AddRequest(mEngines[added.host], facts), "a new request is added");
}

void
routing_world::CountRun(const call& aCall)
{
  caller& whose = mCallers.at(aCall.request);
  ++whose.runs;
  const request_facts& facts = whose.facts;
  if (facts.isIdempotent) {
    return;
  }
  Expect(whose.runs == 1, Told("a non-idempotent one ran twice", facts.id));
  Expect(!whose.wasToldNotRun, Told("ran after \"not run\"", facts.id));
  if (!facts.idempotencyKey.empty()) {
    auto& runs = mKeyedRuns[{ facts.workspace, facts.idempotencyKey }];
    Expect(++runs == 1, Told("a resend ran again", facts.id));
  }
}

void
routing_world::SendHead(call& aCall, int aStatus, bool aSaysNotRun)
{
  const answer_head head{
    aStatus, aCall.attempt, aSaysNotRun, aCall.resumeOffset
  };
  OnAttemptHeaders(mEngines[aCall.host], aCall.attempt, head, mNow);
  aCall.isHeadSent = true;
  cold_bound& bound = mColdBounds[{ aCall.host, aCall.endpoint }];
  if (aStatus == 503 && !aCall.isCancelled && bound.drops == aCall.drops) {
    Drop(bound);
  }
}

void
routing_world::SendBody(call& aCall, std::uint64_t aCount)
{
  const std::uint64_t count = std::min(aCount, kAnswerLength - aCall.offset);
  OnAttemptBytes(
    mEngines[aCall.host], aCall.attempt, aCall.offset, count, mNow);
  aCall.offset += count;
}

void
routing_world::EndCall(std::size_t aIndex, attempt_end aHow)
{
  const call& ended = mCalls[aIndex];
  if (aHow == attempt_end::eComplete) {
    ++mColdBounds[{ ended.host, ended.endpoint }].inFlight;
  }
  OnAttemptEnd(mEngines[ended.host], ended.attempt, aHow, mNow);
  mEnded[ended.attempt] = ended;
  mCalls.erase(mCalls.begin() + static_cast<std::ptrdiff_t>(aIndex));
}

// Each call takes a fate; one that answers may do so in parts, so that other
// things happen in between.
void
routing_world::CallOp(const step& aStep)
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
  const auto fates = static_cast<std::uint32_t>(call_fate::eCount);
  // Half of the calls answer in parts.
  const std::uint32_t drawn = aStep.second % (2 * fates);
  switch (drawn < fates ? static_cast<call_fate>(drawn) : call_fate::eAnswers) {
    case call_fate::eAnswersHalf:
      CountRun(chosen);
      SendHead(chosen, 200);
      SendBody(chosen, kAnswerLength / 2);
      EndCall(index, attempt_end::eTruncated);
      break;
    case call_fate::eRunsAndIsLost:
      CountRun(chosen);
      EndCall(index, attempt_end::eLost);
      break;
    case call_fate::eLostBefore:
      EndCall(index, attempt_end::eLost);
      break;
    case call_fate::eNotSent:
      EndCall(index, attempt_end::eNotSent);
      break;
    case call_fate::eRefusesNotRun:
      SendHead(chosen, 503, true);
      EndCall(index, attempt_end::eComplete);
      break;
    case call_fate::eRefusesVaguely:
      if (aStep.first % 2 == 0) {
        CountRun(chosen);
      }
      SendHead(chosen, 503);
      EndCall(index, attempt_end::eComplete);
      break;
    case call_fate::eErrs:
      CountRun(chosen);
      SendHead(chosen, 500);
      chosen.isBodyWrong = chosen.resumeOffset > 0;
      SendBody(chosen, kAnswerLength);
      EndCall(index, attempt_end::eComplete);
      break;
    case call_fate::eCrossed: {
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
    case call_fate::eSkipsBytes:
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
    case call_fate::eResumesWrongly:
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

// The log grants a key once. Only "not run" from its holder frees it.
claim_answer
routing_world::AnswerClaim(const ask_claim& aAsked)
{
  const auto [found, isNew] = mClaims.try_emplace(
    { aAsked.workspace, aAsked.idempotencyKey },
    claim_record{
      aAsked.request, claim_answer::eInProgress, aAsked.bodyDigest });
  if (isNew) {
    return claim_answer::eGranted;
  }
  if (found->second.bodyDigest != aAsked.bodyDigest) {
    return claim_answer::eDigestMismatch;
  }
  return found->second.outcome;
}

// Answers come in any order, some are lost, some say "no quorum" though the
// claim will stand.
void
routing_world::ClaimOp(const step& aStep)
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
    answer = AnswerClaim(pending.asked);
  }
  if (aStep.second % 10 == 1) {
    answer = claim_answer::eNoQuorum;
  }
  if (aStep.second % 10 != 2) {
    OnClaimAnswer(mEngines[pending.host], pending.asked.request, answer);
  }
}

void
routing_world::EndpointOp(const step& aStep)
{
  fake_endpoint& fake = mEndpoints[1 + aStep.first % kEndpoints];
  switch (aStep.second % 5) {
    case 0:
      ++fake.incarnation;
      for (std::size_t host = 0; host < kHosts; ++host) {
        Drop(
          mColdBounds[{ host, endpoint_id{ 1 + aStep.first % kEndpoints } }]);
      }
      break;
    case 1:
      fake.isDraining = !fake.isDraining;
      break;
    case 2:
      fake.isGone = !fake.isGone;
      break;
    default:
      fake.allotted = aStep.second / 5 % 5;
      fake.allottedIncarnation = fake.incarnation;
      break;
  }
  Announce();
}

void
routing_world::CallerOp(const step& aStep)
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
    OnCallerGone(mEngines[mCallers.at(id).host], id);
  }
}

// Time passes, or a host dies: its calls go on at the endpoints, unheard.
void
routing_world::HostOp(const step& aStep)
{
  if (aStep.second % 7 == 0) {
    ReplaceHost(aStep.first % kHosts);
  } else {
    mNow += milliseconds{ 10 + aStep.first % 500 };
  }
}

void
routing_world::ReplaceHost(std::size_t aHost)
{
  options settings = mEngines[aHost].settings;
  settings.seed = 1000 + ++mHostGeneration;
  mEngines[aHost] = tables{ settings };
  for (const auto& [id, fake] : mEndpoints) {
    Drop(mColdBounds[{ aHost, endpoint_id{ id } }]);
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
routing_world::TickHost(std::size_t aHost)
{
  outbox out;
  Tick(mEngines[aHost], mNow, out);
  CarryOut(aHost, out);
}

void
routing_world::CarryOut(std::size_t aHost, const outbox& aOut)
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
  for (const ask_claim& asked : aOut.claims) {
    mPendingClaims.push_back({ aHost, asked });
  }
  for (const start_attempt& start : aOut.starts) {
    OnStart(aHost, start);
  }
}

void
routing_world::OnStart(std::size_t aHost, const start_attempt& aStart)
{
  const caller& whose = mCallers.at(aStart.request);
  const fake_endpoint& fake = mEndpoints.at(aStart.endpoint.value);
  Expect(!whose.isEnded, Told("started after its end", aStart.request));
  Expect(whose.host == aHost, Told("started elsewhere", aStart.request));
  Expect(mNow < whose.facts.deadline || aStart.resumeOffset > 0,
         Told("started when overdue", aStart.request));
  Expect(!fake.isDraining && !fake.isGone,
         Told("sent to a leaving endpoint", aStart.request));
  Expect(whose.facts.isIdempotent || aStart.freshConnection,
         Told("not on a fresh connection", aStart.request));
  Expect(aStart.resumeOffset == whose.received,
         Told("resumed from another offset", aStart.request));
  Expect(aStart.resumeOffset == 0 || aStart.endpoint.value % 2 == 0,
         Told("resumed where it cannot be", aStart.request));
  if (!whose.facts.idempotencyKey.empty()) {
    const auto claim =
      mClaims.find({ whose.facts.workspace, whose.facts.idempotencyKey });
    Expect(claim != mClaims.end() && claim->second.holder == aStart.request,
           Told("sent without a claim", aStart.request));
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
  started.drops = bound.drops;
  mCalls.push_back(started);
  const auto inFlight =
    std::count_if(mCalls.begin(), mCalls.end(), [&started](const call& aCall) {
      return aCall.host == started.host && aCall.endpoint == started.endpoint;
    });
  Expect(inFlight <= fake.allotted, Told("over its slots", aStart.request));
  Expect(fake.allottedIncarnation == fake.incarnation,
         Told("on an old allotment", aStart.request));
  Expect(inFlight <= bound.inFlight,
         Told("over the cold limit", aStart.request));
}

// A call that ended in this step is looked up among the ended ones.
void
routing_world::OnForward(const forward_to_caller& aForward)
{
  caller& whose = mCallers.at(aForward.request);
  Expect(!whose.isEnded, Told("fed after its end", aForward.request));
  Expect(aForward.offset == whose.received,
         Told("fed out of order", aForward.request));
  const auto isFed = [&aForward](const call& aCall) {
    return aCall.attempt == aForward.attempt;
  };
  const auto live = std::find_if(mCalls.begin(), mCalls.end(), isFed);
  const auto ended = mEnded.find(aForward.attempt);
  Expect(live != mCalls.end() || ended != mEnded.end(),
         Told("fed from an attempt long over", aForward.request));
  const call& source = live != mCalls.end() ? *live : ended->second;
  Expect(source.bodyOf == aForward.request,
         Told("fed another's answer", aForward.request));
  Expect(!source.isCancelled, Told("fed a late answer", aForward.request));
  Expect(!source.isBodyWrong, Told("fed a mix", aForward.request));
  whose.received += aForward.count;
}

void
routing_world::OnEnd(const end_request& aEnd)
{
  caller& whose = mCallers.at(aEnd.request);
  Expect(!whose.isEnded, Told("ended twice", aEnd.request));
  whose.isEnded = true;
  if (aEnd.outcome == request_outcome::eAnswered) {
    ++mAnswered;
    Expect(whose.received == kAnswerLength,
           Told("its answer is not whole", aEnd.request));
    Expect(whose.runs >= 1, Told("answered but never ran", aEnd.request));
    return;
  }
  Expect(whose.received == 0 || aEnd.hasForwarded,
         Told("a part was hidden", aEnd.request));
  Expect(whose.facts.isStreamed || whose.received == 0,
         Told("a part of a whole answer was fed", aEnd.request));
  if (aEnd.ran == ran_state::eNotRun) {
    whose.wasToldNotRun = true;
    Expect(whose.runs == 0, Told("\"not run\" is false", aEnd.request));
    for (const call& each : mCalls) {
      Expect(each.request != aEnd.request,
             Told("\"not run\" with a call in flight", aEnd.request));
    }
  }
}

void
routing_world::OnRecord(const record_outcome& aRecord)
{
  const auto found =
    mClaims.find({ aRecord.workspace, aRecord.idempotencyKey });
  Expect(found != mClaims.end() && found->second.holder == aRecord.request,
         Told("recorded without the claim", aRecord.request));
  if (aRecord.ran == ran_state::eNotRun) {
    Expect(mCallers.at(aRecord.request).runs == 0,
           Told("released though it ran", aRecord.request));
    mClaims.erase(found);
    return;
  }
  found->second.outcome = aRecord.ran == ran_state::eRan
                            ? claim_answer::eStored
                            : claim_answer::eMayHaveRun;
}

void
routing_world::Drain()
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
  Expect(mCalls.empty(), "an attempt outlived every deadline");
  for (const auto& [id, each] : mCallers) {
    Expect(each.isEnded, Told("never ended", id));
  }
  for (const tables& engine : mEngines) {
    Expect(engine.requests.Empty(), "a request row was left behind");
    Expect(engine.attempts.Empty(), "an attempt row was left behind");
    for (const endpoint_row& endpoint : engine.endpoints) {
      Expect(endpoint.inFlight == 0, "a slot was never given back");
    }
  }
}

} // namespace bulrush::routing
