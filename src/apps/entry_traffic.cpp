#include "apps/entry_traffic.hpp"

#include "apps/entry_admission.hpp"
#include "apps/entry_http.hpp"
#include "apps/entry_requests.hpp"
#include "settings/settings.hpp"

#include <cmath>
#include <random>

namespace bulrush::entry {
namespace {

// Plain text carries about this much time a token; an attempt whose answer
// comes whole is not cut off before it can have been generated.
constexpr std::chrono::milliseconds kExpectedPerToken{ 50 };
constexpr std::size_t kMaxIdempotencyKey = 128;

// A host that knows no endpoint yet lets routing say so.
constexpr std::size_t kLeastCapacity = 16;

caller_error
ErrorOf(const refusal& aRefusal)
{
  caller_error error;
  error.retryAfter =
    std::max(std::chrono::seconds{ 1 },
             std::chrono::ceil<std::chrono::seconds>(aRefusal.retryAfter));
  switch (aRefusal.kind) {
    case refusal_kind::eOverRate:
      error.status = 429;
      error.code = "rate_limited";
      error.text = "the workspace has used up its rate and burst";
      break;
    case refusal_kind::eCutOff:
      error.status = 503;
      error.code = "rate_unreachable";
      error.text = "this host has used up its share of the workspace's rate "
                   "and cannot ask for more";
      break;
    case refusal_kind::eTooLarge:
      error.status = 429;
      error.code = "over_burst";
      error.text = "the request may use more tokens than the workspace's burst";
      error.retryAfter = std::nullopt;
      break;
    case refusal_kind::eLate:
      error.status = 503;
      error.code = "overloaded";
      error.text = "the request could not make its deadline";
      break;
  }
  return error;
}

// New at each start, so that no id of an earlier life comes again.
std::uint64_t
NewSeed()
{
  std::random_device device;
  constexpr unsigned kHalf = 32;
  return (static_cast<std::uint64_t>(device()) << kHalf) | device();
}

} // namespace

class traffic_thread::implementation
{
public:
  implementation(asio::io_context& aContext,
                 traffic_settings aSettings,
                 control_hooks aHooks)
    : mContext(aContext)
    , mSettings(std::move(aSettings))
    , mHooks(std::move(aHooks))
    , mAdmission(
        MakeAdmission(IdOf<host_id>(mSettings.hostName), mSettings.incarnation))
    , mAdmissionTimer(aContext,
                      [this](steady_time aNow) { return TickAdmission(aNow); })
    , mRecorder(Seeded(mSettings.recording))
    , mRunner(aContext,
              { mSettings.domain, NewSeed() },
              mRecorder.Record(net::MakeHttpClient(aContext)),
              mHooks.onCommand)
  {
  }

  bool Start(last_reason& aWhy)
  {
    auto server = net::Listen(
      mContext,
      mSettings.http,
      [this](net::http_request aRequest,
             std::shared_ptr<net::http_reply> aReply) {
        Serve(std::move(aRequest), std::move(aReply));
      },
      aWhy);
    if (!server) {
      return false;
    }
    mServer = std::move(*server);
    return true;
  }

  std::uint16_t Port() const { return mServer->Port(); }
  void SetView(traffic_view aView)
  {
    mView = std::move(aView);
    mRunner.SetView(mView);
    SetFleet(mAdmission, *mView.fleet, IdOf<domain_id>(mSettings.domain));
    mAdmission.capacity = Capacity();
    mAdmissionTimer.RunSoon();
  }
  void TakeGrant(admission::grant aGrant)
  {
    mAdmission.escrow.grants.push_back(std::move(aGrant));
    mAdmissionTimer.RunSoon();
  }
  std::size_t OpenRequests() const
  {
    return std::max(mRunner.Open(), mAdmission.requests.Size());
  }

  void StopWhenIdle(std::function<void()> aOnStopped)
  {
    mIsRefusing = true;
    mOnStopped = std::move(aOnStopped);
    mAdmissionTimer.RunSoon();
  }

private:
  static recorder_settings Seeded(recorder_settings aSettings)
  {
    aSettings.seed = NewSeed();
    return aSettings;
  }

  std::string MetricsPage()
  {
    return mRecorder.Page({ mView.fleet->revision,
                            mView.endpoints->size(),
                            mRunner.Open(),
                            HasLease() });
  }

  void Serve(net::http_request aRequest,
             std::shared_ptr<net::http_reply> aReply)
  {
    const request_id id{ ++mLastRequest };
    caller_error error;
    if (!CheckRequest(aRequest, mSettings.http.maxBodyBytes, error)) {
      SendError(*aReply, error, FormatId(id.value));
      return;
    }
    if (mIsRefusing) {
      SendError(*aReply,
                { 503,
                  "stopping",
                  "this host is being stopped",
                  false,
                  std::chrono::seconds(1) },
                FormatId(id.value));
    } else if (aRequest.path == "/healthz") {
      aReply->Send(200, {}, "ok\n");
    } else if (aRequest.path == "/readyz") {
      const bool isReady = HasLease() && !mView.isStopping;
      aReply->Send(isReady ? 200 : 503, {}, isReady ? "ready\n" : "unready\n");
    } else if (aRequest.path == "/metrics") {
      aReply->Send(200,
                   { { "Content-Type", "text/plain; version=0.0.4" } },
                   MetricsPage());
    } else if (aRequest.path == "/v1/endpoints/report") {
      TakeReport(aRequest, *aReply, id);
    } else {
      aReply = mRecorder.Record(aRequest, std::move(aReply));
      ServeCaller(aRequest, std::move(aReply), id);
    }
  }

  void ServeCaller(const net::http_request& aRequest,
                   std::shared_ptr<net::http_reply> aReply,
                   request_id aId)
  {
    if (aRequest.path == "/v1/models") {
      ListModels(aRequest, *aReply, aId);
    } else if (aRequest.path == "/v1/completions" ||
               aRequest.path == "/v1/chat/completions") {
      Complete(aRequest, std::move(aReply), aId);
    } else {
      CallService(aRequest, std::move(aReply), aId);
    }
  }

  bool HasLease() const
  {
    return admission::MayServe(mAdmission.escrow.link,
                               std::chrono::steady_clock::now());
  }

  // What the endpoints bear at once; more would only wait there.
  std::size_t Capacity() const
  {
    std::size_t slots = 0;
    for (const endpoint_row& row : *mView.endpoints) {
      const bool isUsable = !row.isLeaving && !IsOut(*mView.fleet, row.domain);
      slots += isUsable ? row.slots : 0;
    }
    return std::max(slots, kLeastCapacity);
  }

  // Whoever may announce an endpoint may have callers' requests sent to it.
  bool IsTrusted(const net::http_request& aReport) const
  {
    const std::string& secret = mSettings.endpointSecret;
    const std::string* shown = net::FindField(aReport.fields, "Bulrush-Secret");
    return secret.empty() ||
           (shown != nullptr && EqualInConstantTime(*shown, secret));
  }

  void TakeReport(const net::http_request& aRequest,
                  net::http_reply& aReply,
                  request_id aId) const
  {
    if (!IsTrusted(aRequest)) {
      SendError(aReply,
                { 401,
                  "unauthorized",
                  "expected the endpoints' secret in Bulrush-Secret",
                  false,
                  std::nullopt },
                FormatId(aId.value));
      return;
    }
    last_reason why;
    auto row =
      ParseEndpointReport(aRequest.body, std::chrono::steady_clock::now(), why);
    if (!row) {
      SendError(aReply,
                { 400, "bad_request", Describe(why), false, std::nullopt },
                FormatId(aId.value));
      return;
    }
    mHooks.onReport(std::move(*row));
    aReply.Send(
      200, { { "Content-Type", "application/json" } }, "{\"ok\":true}");
  }

  const workspace_row* Authorise(const net::http_request& aRequest,
                                 caller_error& aError) const
  {
    const auto key = ParseBearer(aRequest, aError);
    if (!key) {
      return nullptr;
    }
    if (!HasLease()) {
      aError = NoLease();
      return nullptr;
    }
    const key_hash hash = HashKey(*key);
    const auto workspace = FindWorkspace(*mView.fleet, hash);
    if (!workspace || mView.tombstones->contains(hash)) {
      aError = { 401, "unauthorized", "the key is not known", false, {} };
      return nullptr;
    }
    return mView.fleet->declared.workspaces.Find(*workspace);
  }

  void ListModels(const net::http_request& aRequest,
                  net::http_reply& aReply,
                  request_id aId)
  {
    caller_error error;
    const workspace_row* workspace = Authorise(aRequest, error);
    if (workspace == nullptr) {
      SendError(aReply, error, FormatId(aId.value));
      return;
    }
    aReply.Send(200,
                { { "Content-Type", "application/json" } },
                FormatModelList(mView.fleet->declared, *workspace));
  }

  void Complete(const net::http_request& aRequest,
                std::shared_ptr<net::http_reply> aReply,
                request_id aId)
  {
    caller_error error;
    const auto call = ParseCompletion(aRequest, error);
    if (!call || Authorise(aRequest, error) == nullptr) {
      SendError(*aReply, error, FormatId(aId.value));
      return;
    }
    const manifest& declared = mView.fleet->declared;
    routing::request_facts facts;
    facts.id = aId;
    facts.model = IdOf<model_id>(call->modelName);
    if (const auto* adapter =
          declared.adapters.Find(IdOf<adapter_id>(call->modelName))) {
      facts.model = adapter->model;
      facts.adapter = adapter->id;
    }
    const model_row* row = declared.models.Find(facts.model);
    if (row == nullptr) {
      SendError(*aReply,
                { 404, "not_found", "no such model", false, std::nullopt },
                FormatId(aId.value));
      return;
    }
    facts.version = VersionOf(row->version);
    facts.isStreamed = call->isStream;
    if (!call->isStream) {
      facts.expected =
        static_cast<std::int64_t>(call->maxTokens) * kExpectedPerToken;
    }
    facts.deadline = std::chrono::steady_clock::now() + row->deadline;
    SetCaller(facts, aRequest, false);
    const auto tokens =
      static_cast<std::int64_t>(call->promptTokens + call->maxTokens);
    Route(aRequest, std::move(facts), call->body, tokens, std::move(aReply));
  }

  void CallService(const net::http_request& aRequest,
                   std::shared_ptr<net::http_reply> aReply,
                   request_id aId)
  {
    const route_row* route =
      mView.fleet->declared.routes.Find(IdOf<route_id>(aRequest.path));
    caller_error error{ 404, "not_found", "no such path", false, std::nullopt };
    if (route == nullptr ||
        (!route->isOpen && Authorise(aRequest, error) == nullptr)) {
      SendError(*aReply, error, FormatId(aId.value));
      return;
    }
    routing::request_facts facts;
    facts.id = aId;
    facts.model = ServiceId(route->service);
    facts.isIdempotent = route->isIdempotent;
    facts.deadline = std::chrono::steady_clock::now() + route->deadline;
    SetCaller(facts, aRequest, route->isOpen);
    if (!TakeIdempotencyKey(aRequest, facts, error)) {
      SendError(*aReply, error, FormatId(aId.value));
      return;
    }
    const auto tokens = static_cast<std::int64_t>(std::ceil(route->tokens));
    Route(aRequest, std::move(facts), aRequest.body, tokens, std::move(aReply));
  }

  // On an open route there is no workspace that a key could be scoped to.
  void SetCaller(routing::request_facts& aFacts,
                 const net::http_request& aRequest,
                 bool aIsOpen) const
  {
    caller_error unused;
    const auto key = ParseBearer(aRequest, unused);
    if (aIsOpen || !key) {
      return;
    }
    aFacts.key = HashKey(*key);
    aFacts.workspace = *FindWorkspace(*mView.fleet, aFacts.key);
  }

  static bool TakeIdempotencyKey(const net::http_request& aRequest,
                                 routing::request_facts& aFacts,
                                 caller_error& aError)
  {
    const std::string* key = net::FindField(aRequest.fields, "Idempotency-Key");
    if (key == nullptr || aFacts.isIdempotent || !aFacts.workspace) {
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

  // The endpoint sees an allow-list of header fields, never the key.
  void Route(const net::http_request& aRequest,
             routing::request_facts aFacts,
             std::string aBody,
             std::int64_t aTokens,
             std::shared_ptr<net::http_reply> aReply)
  {
    routed_request routed;
    routed.facts = std::move(aFacts);
    routed.path = aRequest.path;
    routed.reply = std::move(aReply);
    routed.call.method = aRequest.method;
    routed.call.body = std::move(aBody);
    for (const char* name : { "Content-Type", "Accept", "traceparent" }) {
      if (const std::string* value = net::FindField(aRequest.fields, name)) {
        routed.call.fields.push_back({ name, *value });
      }
    }
    if (routed.facts.workspace) {
      Admit(std::move(routed), aTokens);
    } else {
      mRunner.Start(std::move(routed)); // an open route has no rate
    }
  }

  // The request waits for tokens and its turn before it is routed.
  void Admit(routed_request aRouted, std::int64_t aTokens)
  {
    const auto* workspace =
      mView.fleet->declared.workspaces.Find(aRouted.facts.workspace);
    if (workspace != nullptr &&
        static_cast<double>(aTokens) > workspace->burstTokens) {
      SendError(*aRouted.reply,
                ErrorOf({ refusal_kind::eTooLarge, {} }),
                FormatId(aRouted.facts.id.value));
      return;
    }
    const request_id id = aRouted.facts.id;
    admitted_row row;
    row.id = id;
    row.workspace = aRouted.facts.workspace;
    row.tokens = aTokens;
    row.arrivedAt = std::chrono::steady_clock::now();
    row.deadline = aRouted.facts.deadline;
    row.onRefused = [reply = aRouted.reply, id](const refusal& aRefusal) {
      SendError(*reply, ErrorOf(aRefusal), FormatId(id.value));
    };
    aRouted.reply->onGone = [this, id] { Release(id, 0); };
    aRouted.onEnded = [this, id, aTokens](std::optional<std::int64_t> aUsed) {
      Release(id, aUsed.value_or(aTokens));
    };
    auto routed = std::make_shared<routed_request>(std::move(aRouted));
    row.onAdmitted = [this, routed](steady_time aNow) {
      Begin(std::move(*routed), aNow);
    };
    entry::Admit(mAdmission, std::move(row));
    mAdmissionTimer.RunSoon();
  }

  // Checked once more: the lease and the key may have ended while it waited.
  void Begin(routed_request aRouted, steady_time aNow)
  {
    const key_hash& key = aRouted.facts.key;
    const bool isKeyGood =
      FindWorkspace(*mView.fleet, key) && !mView.tombstones->contains(key);
    if (isKeyGood && admission::MayServe(mAdmission.escrow.link, aNow)) {
      mRunner.Start(std::move(aRouted));
      return;
    }
    Release(aRouted.facts.id, 0);
    const caller_error error =
      isKeyGood ? NoLease()
                : caller_error{
                    401, "key_withdrawn", "the key was withdrawn", false, {}
                  };
    SendError(*aRouted.reply, error, FormatId(aRouted.facts.id.value));
  }

  static caller_error NoLease()
  {
    return { 503,
             "no_lease",
             "this host has lost touch with its control hosts",
             false,
             std::chrono::seconds(1) };
  }

  void Release(request_id aRequest, std::int64_t aUsedTokens)
  {
    Finish(mAdmission, aRequest, aUsedTokens, std::chrono::steady_clock::now());
    mAdmissionTimer.RunSoon();
  }

  wake_time TickAdmission(steady_time aNow)
  {
    admission_outbox out;
    RunAdmission(mAdmission, aNow, out);
    for (admission::renewal& report : out.renewals) {
      mHooks.onRenewal(std::move(report));
    }
    for (const auto& [hook, why] : out.refused) {
      hook(why);
    }
    for (const admit_hook& hook : out.admitted) {
      hook(aNow);
    }
    if (mOnStopped && mAdmission.requests.Empty()) {
      Leave(aNow);
    }
    return out.wake;
  }

  // Once no request waits or runs, the shares go back and the server closes.
  void Leave(steady_time aNow)
  {
    admission::escrow_outbox out;
    admission::Leave(mAdmission.escrow, aNow, out);
    mHooks.onRenewal(std::move(out.renewals.front()));
    mRunner.WhenIdle([this, hook = std::exchange(mOnStopped, nullptr)] {
      mServer->StopWhenFlushed(hook);
    });
  }

  asio::io_context& mContext;
  traffic_settings mSettings;
  control_hooks mHooks;
  traffic_view mView;
  admission_tables mAdmission;
  net::tick_timer mAdmissionTimer;
  recorder mRecorder;
  request_runner mRunner;
  std::unique_ptr<net::http_server> mServer;
  bool mIsRefusing = false;
  std::function<void()> mOnStopped; ///< set while requests are finished
  std::uint64_t mLastRequest = 0;
};

traffic_thread::traffic_thread(asio::io_context& aContext,
                               traffic_settings aSettings,
                               control_hooks aHooks)
  : mImplementation(std::make_unique<implementation>(aContext,
                                                     std::move(aSettings),
                                                     std::move(aHooks)))
{
}

traffic_thread::~traffic_thread() = default;

bool
traffic_thread::Start(last_reason& aWhy)
{
  return mImplementation->Start(aWhy);
}

std::uint16_t
traffic_thread::Port() const
{
  return mImplementation->Port();
}

void
traffic_thread::SetView(traffic_view aView)
{
  mImplementation->SetView(std::move(aView));
}

void
traffic_thread::TakeGrant(admission::grant aGrant)
{
  mImplementation->TakeGrant(std::move(aGrant));
}

void
traffic_thread::StopWhenIdle(std::function<void()> aOnStopped)
{
  mImplementation->StopWhenIdle(std::move(aOnStopped));
}

std::size_t
traffic_thread::OpenRequests() const
{
  return mImplementation->OpenRequests();
}

} // namespace bulrush::entry
