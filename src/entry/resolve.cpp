#include "entry/resolve.hpp"

#include "entry/endpoint_facts.hpp"
#include "entry/requests.hpp"

#include <algorithm>
#include <cmath>

namespace bulrush::entry {

namespace {

// Generation time per token. An answer that is not streamed arrives only after
// all its tokens, so its attempt must not time out before they can be
// generated.
constexpr std::chrono::milliseconds kExpectedTimePerToken{ 50 };
constexpr std::size_t kMaxIdempotencyKeyBytes = 128;
/// Callers abandon a stream whose first event has not arrived after the longest
/// of: this time, so many target latencies, so many target gaps.
/// Source: docs/PLATFORM.md.
constexpr std::chrono::milliseconds kMinFirstEventWait{ 2'000 };
constexpr int kFirstEventTargets = 4;
constexpr int kFirstEventGaps = 8;
/// A request that has used up less of its deadline than this is taken as the
/// caller's first attempt; a larger difference means that it was retried.
constexpr std::chrono::milliseconds kFirstAttemptMargin{ 100 };
/// A caller that states when it gives up is answered this much earlier, and not
/// more than this part of its time, so that the answer reaches it.
constexpr std::chrono::milliseconds kAnswerMargin{ 100 };
constexpr int kAnswerMarginPart = 20;
constexpr std::chrono::milliseconds kNoTime{ 0 };
/// Time for a caller to come back to another host, or for this one to catch up.
constexpr std::chrono::milliseconds kOutdatedRetryTime{ 250 };
constexpr int kRankStep = 1'000; // a workspace's rank outweighs a route's

caller_error
NoConfiguration()
{
  return { 503,
           "no_configuration",
           "this host does not know the newest configuration yet",
           false,
           std::chrono::seconds(1) };
}

// An outdated configuration cannot tell whether a key or path exists. Another
// host may know, so the caller is asked to come back soon.
caller_error
DeniedBy(const resolve_context& aContext, caller_error aDenial)
{
  if (net::Now() < aContext.view.mayDenyUntil) {
    return aDenial;
  }
  return { 503,
           "configuration_outdated",
           aDenial.text + " to this host, whose configuration may be outdated",
           false,
           kOutdatedRetryTime };
}

std::int64_t
TokensOf(const workspace_row& aWorkspace,
         const caller_call& aCall,
         std::int64_t aTokens)
{
  if (aWorkspace.countsRequests) {
    return 1;
  }
  const auto plain =
    static_cast<std::int64_t>(std::ceil(aWorkspace.defaultTokens));
  return aCall.tokens ? aTokens : std::max(aTokens, plain);
}

// The last part is specific to the request or its session; the one before it
// is shared with other requests.
std::uint64_t
PrefixOf(const std::vector<prompt_part>& aPrompt)
{
  if (aPrompt.empty()) {
    return 0;
  }
  return aPrompt[aPrompt.size() > 1 ? aPrompt.size() - 2 : 0].id;
}

// The prefix covers all parts but the last, see PrefixOf.
void
SetPromptTokens(const std::vector<prompt_part>& aPrompt,
                routing::request_facts& aFacts)
{
  for (const prompt_part& part : aPrompt) {
    aFacts.promptTokens += part.tokens;
  }
  const std::uint64_t lastTokens =
    aPrompt.size() > 1 ? aPrompt.back().tokens : 0;
  aFacts.prefixTokens = aFacts.promptTokens - lastTokens;
}

const std::string&
PickTarget(const resolve_context& aContext, const route_row& aRoute)
{
  double sum = 0;
  for (const route_target& target : aRoute.targets) {
    sum += target.weight;
  }
  double draw =
    std::uniform_real_distribution<double>(0.0, sum)(aContext.random);
  const route_target* picked = nullptr;
  for (const route_target& target : aRoute.targets) {
    if (target.weight <= 0) {
      continue;
    }
    picked = &target;
    draw -= target.weight;
    if (draw < 0) {
      break;
    }
  }
  return picked->service;
}

// Open routes have no workspace, so a key has no meaning there.
void
SetCaller(const caller_call& aCall, resolved_call& aResolved)
{
  aResolved.facts.sharedParts = aCall.sharedParts;
  if (aResolved.workspace != nullptr) {
    aResolved.facts.key = HashKey(aCall.key);
    aResolved.facts.workspace = aResolved.workspace->id;
  }
}

bool
ReadIdempotencyKey(const net::http_request& aRequest,
                   routing::request_facts& aFacts,
                   caller_error& aError)
{
  const std::string* key = net::FindField(aRequest.fields, "Idempotency-Key");
  if (key == nullptr || aFacts.isIdempotent || aFacts.isStreamed ||
      !aFacts.workspace) {
    return true;
  }
  if (key->empty() || key->size() > kMaxIdempotencyKeyBytes) {
    aError = { 400,
               "bad_request",
               "Idempotency-Key: expected 1 to 128 bytes",
               false,
               std::nullopt };
    return false;
  }
  aFacts.idempotencyKey = *key;
  aFacts.bodyDigest = HashKey(aRequest.method + '\n' + aRequest.body);
  return true;
}

// Time that an answer needs to reach a caller that leaves after aTimeLeft.
std::chrono::milliseconds
AnswerMargin(std::chrono::milliseconds aTimeLeft)
{
  return std::min(kAnswerMargin, aTimeLeft / kAnswerMarginPart);
}

// A caller that tries again states less time than its route allows.
bool
IsFirstAttempt(const route_row& aRoute, std::chrono::milliseconds aTimeLeft)
{
  return aTimeLeft + kFirstAttemptMargin >= aRoute.deadline;
}

// Latest time to place a stream, since callers abandon one that begins too
// late. A first attempt is refused early, so that the caller can retry in time;
// a retry is kept until the caller would abandon it, or until shortly before
// where requests are scheduled by target, so that the caller gets an answer.
steady_time
PlacementDeadline(const route_row& aRoute,
                  bool aIsScheduledByTarget,
                  std::chrono::milliseconds aTimeLeft,
                  steady_time aNow)
{
  if (!aRoute.isStreamed || aRoute.target.count() == 0) {
    return steady_time::max();
  }
  const std::chrono::milliseconds abandonedAfter =
    std::max({ kMinFirstEventWait,
               aRoute.target * kFirstEventTargets,
               aRoute.targetGap * kFirstEventGaps });
  if (abandonedAfter >= aTimeLeft) {
    return steady_time::max();
  }
  if (IsFirstAttempt(aRoute, aTimeLeft)) {
    return aNow + aRoute.target;
  }
  return aNow + abandonedAfter -
         (aIsScheduledByTarget ? AnswerMargin(abandonedAfter) : kNoTime);
}

// The target counts from the caller's first attempt.
steady_time
TargetTime(const route_row& aRoute,
           std::chrono::milliseconds aTimeLeft,
           steady_time aNow)
{
  if (aRoute.target.count() == 0) {
    return steady_time::max();
  }
  const std::chrono::milliseconds used = aRoute.deadline - aTimeLeft;
  return aNow + aRoute.target -
         (IsFirstAttempt(aRoute, aTimeLeft) ? kNoTime : used);
}

// The time that a caller leaves this host for its answer. The time of a route
// is this system's own, and the caller waits for longer.
std::chrono::milliseconds
TimeToAnswer(const caller_call& aCall, const route_row& aRoute)
{
  if (!aCall.timeLeft) {
    return aRoute.deadline;
  }
  const auto left = std::max(*aCall.timeLeft, kNoTime);
  return std::min(aRoute.deadline, left - AnswerMargin(left));
}

// A resumable stream may also be started again; other streams run once.
void
SetRoute(const resolve_context& aContext,
         const route_row& aRoute,
         const caller_call& aCall,
         resolved_call& aResolved)
{
  routing::request_facts& facts = aResolved.facts;
  aResolved.kind = kind_id{ aRoute.id.value };
  aResolved.target = aRoute.target;
  facts.isStreamed = aRoute.isStreamed;
  facts.isIdempotent =
    aRoute.isStreamed ? aRoute.canResume : aRoute.isIdempotent;
  facts.maxAttempts = aRoute.maxAttempts;
  const auto timeLeft = std::clamp(
    aCall.timeLeft.value_or(aRoute.deadline), kNoTime, aRoute.deadline);
  const steady_time now = net::Now();
  facts.deadline = now + TimeToAnswer(aCall, aRoute);
  // A stream that has begun has no other answer to leave time for.
  facts.lastByteDeadline = now + timeLeft;
  facts.targetFirstByte = aRoute.target;
  facts.targetAt = TargetTime(aRoute, timeLeft, now);
  facts.isReturning = !IsFirstAttempt(aRoute, timeLeft);
  facts.targetGap = aRoute.targetGap;
  facts.prefix = PrefixOf(aCall.prompt);
  SetPromptTokens(aCall.prompt, facts);
  const std::string& service = PickTarget(aContext, aRoute);
  facts.service = IdOf<service_id>(service);
  facts.isScheduledByTarget =
    aContext.servicesByTarget != nullptr &&
    aContext.servicesByTarget->contains(facts.service);
  facts.placementDeadline =
    PlacementDeadline(aRoute, facts.isScheduledByTarget, timeLeft, now);
  facts.model = ServiceId(service);
  if (!aCall.model.empty()) {
    facts.model =
      IdOf<model_id>(aContext.front.modelName(service, aCall.model));
  }
  if (!aCall.adapter.empty()) {
    facts.adapter = IdOf<adapter_id>(
      aContext.front.adapterName(service, aCall.model, aCall.adapter));
  }
  aResolved.tokens =
    aCall.tokens.value_or(static_cast<std::int64_t>(std::ceil(aRoute.tokens)));
  if (aResolved.workspace != nullptr) {
    facts.priority = -(kRankStep * aResolved.workspace->rank + aRoute.rank);
    aResolved.tokens = TokensOf(*aResolved.workspace, aCall, aResolved.tokens);
  }
}

} // namespace

caller_error
UnknownKey(const resolve_context& aContext)
{
  return DeniedBy(aContext,
                  { 401, "unauthorized", "the key is not known", false, {} });
}

caller_error
NoLease()
{
  return { 503,
           "no_lease",
           "this host has lost touch with its control hosts",
           false,
           std::chrono::seconds(1) };
}

caller_error
KeysUnconfirmed(std::chrono::milliseconds aRetryAfter)
{
  return { 503,
           "key_unconfirmed",
           "this host cannot tell whether the key was withdrawn",
           false,
           aRetryAfter };
}

const workspace_row*
Authorise(const resolve_context& aContext,
          const std::string& aKey,
          caller_error& aError)
{
  if (aContext.view.fleet->manifestRevision == 0) {
    aError = NoConfiguration();
    return nullptr;
  }
  if (aKey.empty()) {
    aError = { 401, "unauthorized", "expected a key", false, {} };
    return nullptr;
  }
  if (aContext.keyRefusal) {
    aError = *aContext.keyRefusal;
    return nullptr;
  }
  const key_hash hash = HashKey(aKey);
  const auto workspace = FindWorkspace(*aContext.view.fleet, hash);
  if (aContext.view.tombstones->contains(hash)) {
    aError = { 401, "unauthorized", "the key was withdrawn", false, {} };
    return nullptr;
  }
  if (!workspace) {
    aError = UnknownKey(aContext);
    return nullptr;
  }
  return aContext.view.fleet->declared.workspaces.Find(*workspace);
}

namespace {

bool
ResolveModel(const resolve_context& aContext,
             const caller_call& aCall,
             resolved_call& aResolved,
             caller_error& aError)
{
  aResolved.workspace = Authorise(aContext, aCall.key, aError);
  if (aResolved.workspace == nullptr) {
    return false;
  }
  const manifest& declared = aContext.view.fleet->declared;
  routing::request_facts& facts = aResolved.facts;
  facts.model = IdOf<model_id>(aCall.model);
  if (const auto* adapter =
        declared.adapters.Find(IdOf<adapter_id>(aCall.model))) {
    facts.model = adapter->model;
    facts.adapter = adapter->id;
  }
  const model_row* row = declared.models.Find(facts.model);
  if (row == nullptr) {
    aError = DeniedBy(
      aContext, { 404, "not_found", "the model is not known", false, {} });
    return false;
  }
  facts.version = VersionOf(row->version);
  facts.isStreamed = aCall.isStreamed;
  if (!aCall.isStreamed) {
    facts.expectedFirstByte = aCall.answerTokens * kExpectedTimePerToken;
  }
  facts.deadline = net::Now() + row->deadline;
  aResolved.tokens = aCall.tokens.value_or(0);
  aResolved.kind = kind_id{ facts.model.value };
  SetCaller(aCall, aResolved);
  return true;
}

bool
ResolveRoute(const resolve_context& aContext,
             const net::http_request& aRequest,
             const caller_call& aCall,
             resolved_call& aResolved,
             caller_error& aError)
{
  const route_row* route =
    FindRoute(aContext.view.fleet->declared, aCall.host, aRequest.path);
  if (aContext.view.fleet->manifestRevision == 0) {
    aError = NoConfiguration();
    return false;
  }
  if (route == nullptr) {
    aError = DeniedBy(aContext,
                      { 404, "not_found", "the path is not known", false, {} });
    return false;
  }
  if (!route->isOpen) {
    aResolved.workspace = Authorise(aContext, aCall.key, aError);
    if (aResolved.workspace == nullptr) {
      return false;
    }
  }
  SetRoute(aContext, *route, aCall, aResolved);
  SetCaller(aCall, aResolved);
  return ReadIdempotencyKey(aRequest, aResolved.facts, aError);
}

} // namespace

bool
Resolve(const resolve_context& aContext,
        const net::http_request& aRequest,
        const caller_call& aCall,
        resolved_call& aResolved,
        caller_error& aError)
{
  return aCall.isByModel
           ? ResolveModel(aContext, aCall, aResolved, aError)
           : ResolveRoute(aContext, aRequest, aCall, aResolved, aError);
}

} // namespace bulrush::entry
