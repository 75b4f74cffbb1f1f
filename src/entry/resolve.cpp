#include "entry/resolve.hpp"

#include "entry/endpoint_facts.hpp"
#include "entry/requests.hpp"

#include <cmath>

namespace bulrush::entry {

namespace {

// Plain text carries about this much time a token; an attempt whose answer
// comes whole is not cut off before it can have been generated.
constexpr std::chrono::milliseconds kExpectedPerToken{ 50 };
constexpr std::size_t kMaxIdempotencyKey = 128;
/// Callers leave a stream without its first event after the longest of these.
/// Source: docs/PLATFORM.md.
constexpr std::chrono::milliseconds kLeastPatience{ 2'000 };
constexpr int kTargetsOfPatience = 4;
constexpr int kGapsOfPatience = 8;
/// A request that has used up less of its time is its caller's first.
constexpr std::chrono::milliseconds kOnTheWay{ 100 };
constexpr int kRankStep = 1'000; // a workspace's rank goes before a route's

caller_error
NoConfiguration()
{
  return { 503,
           "no_configuration",
           "this host has not been told the configuration yet",
           false,
           std::chrono::seconds(1) };
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
    static_cast<std::int64_t>(std::ceil(aWorkspace.plainTokens));
  return aCall.tokens ? aTokens : std::max(aTokens, plain);
}

// The last part is the request's own or its session's; the one before it is
// what others share with it.
std::uint64_t
PrefixOf(const std::vector<prompt_part>& aPrompt)
{
  if (aPrompt.empty()) {
    return 0;
  }
  return aPrompt[aPrompt.size() > 1 ? aPrompt.size() - 2 : 0].id;
}

const std::string&
PickTarget(const resolve_context& aIn, const route_row& aRoute)
{
  double sum = 0;
  for (const route_target& target : aRoute.targets) {
    sum += target.weight;
  }
  double draw = std::uniform_real_distribution<double>(0.0, sum)(aIn.random);
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

// On an open route there is no workspace that a key could be scoped to.
void
SetCaller(const caller_call& aCall, resolved_call& aTo)
{
  if (aTo.workspace != nullptr) {
    aTo.facts.key = HashKey(aCall.key);
    aTo.facts.workspace = aTo.workspace->id;
  }
}

bool
TakeIdempotencyKey(const net::http_request& aRequest,
                   routing::request_facts& aFacts,
                   caller_error& aError)
{
  const std::string* key = net::FindField(aRequest.fields, "Idempotency-Key");
  if (key == nullptr || aFacts.isIdempotent || aFacts.isStreamed ||
      !aFacts.workspace) {
    return true;
  }
  if (key->empty() || key->size() > kMaxIdempotencyKey) {
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

// A caller leaves a stream that begins too late. One that asks for the first
// time is better sent away in time to come back; later it is held for as long
// as it may still wait.
steady_time
PlaceBy(const route_row& aRoute,
        std::chrono::milliseconds aTimeLeft,
        steady_time aNow)
{
  if (!aRoute.isStreamed || aRoute.target.count() == 0) {
    return steady_time::max();
  }
  const std::chrono::milliseconds leaves =
    std::max({ kLeastPatience,
               aRoute.target * kTargetsOfPatience,
               aRoute.targetGap * kGapsOfPatience });
  if (leaves >= aTimeLeft) {
    return steady_time::max();
  }
  const bool isFirst = aTimeLeft + kOnTheWay >= aRoute.deadline;
  return aNow + (isFirst ? aRoute.target : leaves);
}

// A stream that may be resumed may as well begin anew; any other runs once.
void
SetRoute(const resolve_context& aIn,
         const route_row& aRoute,
         const caller_call& aCall,
         resolved_call& aTo)
{
  routing::request_facts& facts = aTo.facts;
  aTo.kind = kind_id{ aRoute.id.value };
  aTo.target = aRoute.target;
  facts.isStreamed = aRoute.isStreamed;
  facts.isIdempotent =
    aRoute.isStreamed ? aRoute.canResume : aRoute.isIdempotent;
  facts.maxAttempts = aRoute.maxAttempts;
  const auto patience = std::min(
    aRoute.deadline, aCall.timeLeft.value_or(std::chrono::hours{ 24 }));
  facts.deadline = std::chrono::steady_clock::now() + patience;
  facts.endBy = facts.deadline;
  facts.placeBy = PlaceBy(aRoute, patience, std::chrono::steady_clock::now());
  facts.target = aRoute.target;
  facts.targetGap = aRoute.targetGap;
  facts.prefix = PrefixOf(aCall.prompt);
  const std::string& service = PickTarget(aIn, aRoute);
  facts.service = IdOf<service_id>(service);
  facts.model = ServiceId(service);
  if (!aCall.model.empty()) {
    facts.model = IdOf<model_id>(aIn.front.modelName(service, aCall.model));
  }
  if (!aCall.adapter.empty()) {
    facts.adapter = IdOf<adapter_id>(
      aIn.front.adapterName(service, aCall.model, aCall.adapter));
  }
  aTo.tokens =
    aCall.tokens.value_or(static_cast<std::int64_t>(std::ceil(aRoute.tokens)));
  if (aTo.workspace != nullptr) {
    facts.priority = -(kRankStep * aTo.workspace->rank + aRoute.rank);
    aTo.tokens = TokensOf(*aTo.workspace, aCall, aTo.tokens);
  }
}

} // namespace

caller_error
NoLease()
{
  return { 503,
           "no_lease",
           "this host has lost touch with its control hosts",
           false,
           std::chrono::seconds(1) };
}

const workspace_row*
Authorise(const resolve_context& aIn,
          const std::string& aKey,
          caller_error& aError)
{
  if (aIn.view.fleet->manifestRevision == 0) {
    aError = NoConfiguration();
    return nullptr;
  }
  if (aKey.empty()) {
    aError = { 401, "unauthorized", "expected a key", false, {} };
    return nullptr;
  }
  if (!aIn.mayServeKeys) {
    aError = NoLease();
    return nullptr;
  }
  const key_hash hash = HashKey(aKey);
  const auto workspace = FindWorkspace(*aIn.view.fleet, hash);
  if (!workspace || aIn.view.tombstones->contains(hash)) {
    aError = { 401, "unauthorized", "the key is not known", false, {} };
    return nullptr;
  }
  return aIn.view.fleet->declared.workspaces.Find(*workspace);
}

namespace {

bool
ResolveModel(const resolve_context& aIn,
             const caller_call& aCall,
             resolved_call& aTo,
             caller_error& aError)
{
  aTo.workspace = Authorise(aIn, aCall.key, aError);
  if (aTo.workspace == nullptr) {
    return false;
  }
  const manifest& declared = aIn.view.fleet->declared;
  routing::request_facts& facts = aTo.facts;
  facts.model = IdOf<model_id>(aCall.model);
  if (const auto* adapter =
        declared.adapters.Find(IdOf<adapter_id>(aCall.model))) {
    facts.model = adapter->model;
    facts.adapter = adapter->id;
  }
  const model_row* row = declared.models.Find(facts.model);
  if (row == nullptr) {
    aError = { 404, "not_found", "no such model", false, std::nullopt };
    return false;
  }
  facts.version = VersionOf(row->version);
  facts.isStreamed = aCall.isStreamed;
  if (!aCall.isStreamed) {
    facts.expected = aCall.answerTokens * kExpectedPerToken;
  }
  facts.deadline = std::chrono::steady_clock::now() + row->deadline;
  aTo.tokens = aCall.tokens.value_or(0);
  aTo.kind = kind_id{ facts.model.value };
  SetCaller(aCall, aTo);
  return true;
}

bool
ResolveRoute(const resolve_context& aIn,
             const net::http_request& aRequest,
             const caller_call& aCall,
             resolved_call& aTo,
             caller_error& aError)
{
  const route_row* route =
    FindRoute(aIn.view.fleet->declared, aCall.host, aRequest.path);
  if (aIn.view.fleet->manifestRevision == 0) {
    aError = NoConfiguration();
    return false;
  }
  if (route == nullptr) {
    aError = { 404, "not_found", "no such path", false, std::nullopt };
    return false;
  }
  if (!route->isOpen) {
    aTo.workspace = Authorise(aIn, aCall.key, aError);
    if (aTo.workspace == nullptr) {
      return false;
    }
  }
  SetRoute(aIn, *route, aCall, aTo);
  SetCaller(aCall, aTo);
  return TakeIdempotencyKey(aRequest, aTo.facts, aError);
}

} // namespace

bool
Resolve(const resolve_context& aIn,
        const net::http_request& aRequest,
        const caller_call& aCall,
        resolved_call& aTo,
        caller_error& aError)
{
  return aCall.isByModel ? ResolveModel(aIn, aCall, aTo, aError)
                         : ResolveRoute(aIn, aRequest, aCall, aTo, aError);
}

} // namespace bulrush::entry
