#include "apps/entry_traffic.hpp"

#include "apps/entry_http.hpp"
#include "apps/entry_requests.hpp"

#include <random>

namespace bulrush::entry {
namespace {

// Plain text carries about this much time a token; an attempt whose answer
// comes whole is not cut off before it can have been generated.
constexpr std::chrono::milliseconds kExpectedPerToken{ 50 };
constexpr std::size_t kMaxIdempotencyKey = 128;

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
    , mRunner(aContext, { mSettings.domain, NewSeed() }, mHooks.onCommand)
  {
  }

  bool Start(last_reason& aWhy)
  {
    auto server = net::Listen(
      mContext,
      mSettings.http,
      [this](net::http_request aRequest,
             std::shared_ptr<net::http_reply> aReply) {
        Serve(aRequest, std::move(aReply));
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
  }
  std::size_t OpenRequests() const { return mRunner.Open(); }

private:
  void Serve(const net::http_request& aRequest,
             std::shared_ptr<net::http_reply> aReply)
  {
    const request_id id{ ++mLastRequest };
    caller_error error;
    if (!CheckRequest(aRequest, mSettings.http.maxBodyBytes, error)) {
      SendError(*aReply, error, FormatId(id.value));
      return;
    }
    if (aRequest.path == "/healthz") {
      aReply->Send(200, {}, "ok\n");
    } else if (aRequest.path == "/readyz") {
      const bool isReady = HasLease() && !mView.isStopping;
      aReply->Send(isReady ? 200 : 503, {}, isReady ? "ready\n" : "unready\n");
    } else if (aRequest.path == "/v1/endpoints/report") {
      TakeReport(aRequest, *aReply, id);
    } else if (aRequest.path == "/v1/models") {
      ListModels(aRequest, *aReply, id);
    } else if (aRequest.path == "/v1/completions" ||
               aRequest.path == "/v1/chat/completions") {
      Complete(aRequest, std::move(aReply), id);
    } else {
      CallService(aRequest, std::move(aReply), id);
    }
  }

  bool HasLease() const
  {
    return std::chrono::steady_clock::now() < mView.leaseEnd;
  }

  void TakeReport(const net::http_request& aRequest,
                  net::http_reply& aReply,
                  request_id aId)
  {
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
      aError = { 503,
                 "no_lease",
                 "this host has lost touch with its control hosts",
                 false,
                 std::chrono::seconds(1) };
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
    Route(aRequest, std::move(facts), call->body, std::move(aReply));
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
    Route(aRequest, std::move(facts), aRequest.body, std::move(aReply));
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
    mRunner.Start(std::move(routed));
  }

  asio::io_context& mContext;
  traffic_settings mSettings;
  control_hooks mHooks;
  traffic_view mView;
  request_runner mRunner;
  std::unique_ptr<net::http_server> mServer;
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

std::size_t
traffic_thread::OpenRequests() const
{
  return mImplementation->OpenRequests();
}

} // namespace bulrush::entry
