#include "apps/entry_traffic.hpp"

#include "apps/entry_http.hpp"

#include <algorithm>

namespace bulrush::entry {
namespace {

struct request_row
{
  request_id id;
  std::shared_ptr<net::http_reply> reply;
  net::http_client::call_number call = 0;
  endpoint_id endpoint;
  bool isStream = false;
  bool isStarted = false;
  int status = 0;
  std::string contentType;
  std::string body;
};

std::string
FormatId(request_id aId)
{
  return std::to_string(aId.value);
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
    , mClient(net::MakeHttpClient(aContext))
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
  void SetView(traffic_view aView) { mView = std::move(aView); }
  std::size_t OpenRequests() const { return mRequests.Size(); }

private:
  void Serve(const net::http_request& aRequest,
             std::shared_ptr<net::http_reply> aReply)
  {
    const request_id id{ ++mLastRequest };
    caller_error error;
    if (!CheckRequest(aRequest, mSettings.http.maxBodyBytes, error)) {
      SendError(*aReply, error, FormatId(id));
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
                FormatId(aId));
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
      SendError(aReply, error, FormatId(aId));
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
      SendError(*aReply, error, FormatId(aId));
      return;
    }
    const manifest& declared = mView.fleet->declared;
    model_id model = IdOf<model_id>(call->modelName);
    if (const auto* adapter =
          declared.adapters.Find(IdOf<adapter_id>(call->modelName))) {
      model = adapter->model;
    }
    const model_row* row = declared.models.Find(model);
    if (row == nullptr) {
      SendError(*aReply,
                { 404, "not_found", "no such model", false, std::nullopt },
                FormatId(aId));
      return;
    }
    const endpoint_row* endpoint = Choose([&](const endpoint_row& aEndpoint) {
      return std::any_of(
        aEndpoint.residents.begin(),
        aEndpoint.residents.end(),
        [&](const resident& aResident) { return aResident.model == model; });
    });
    Forward(aRequest,
            call->body,
            endpoint,
            row->deadline,
            call->isStream,
            true,
            std::move(aReply),
            aId);
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
      SendError(*aReply, error, FormatId(aId));
      return;
    }
    const endpoint_row* endpoint = Choose([&](const endpoint_row& aEndpoint) {
      return std::find(aEndpoint.services.begin(),
                       aEndpoint.services.end(),
                       route->service) != aEndpoint.services.end();
    });
    Forward(aRequest,
            aRequest.body,
            endpoint,
            route->deadline,
            false,
            route->isIdempotent,
            std::move(aReply),
            aId);
  }

  // Fewest requests of our own under way; the first on a tie.
  const endpoint_row* Choose(
    const std::function<bool(const endpoint_row&)>& aIsSuitable)
  {
    const endpoint_row* best = nullptr;
    for (const endpoint_row& row : *mView.endpoints) {
      if (row.isLeaving || IsOut(*mView.fleet, row.domain) ||
          !aIsSuitable(row)) {
        continue;
      }
      if (best == nullptr || mInFlight[row.id] < mInFlight[best->id]) {
        best = &row;
      }
    }
    return best;
  }

  void Forward(const net::http_request& aRequest,
               const std::string& aBody,
               const endpoint_row* aEndpoint,
               std::chrono::milliseconds aDeadline,
               bool aIsStream,
               bool aIsIdempotent,
               std::shared_ptr<net::http_reply> aReply,
               request_id aId)
  {
    if (aEndpoint == nullptr) {
      SendError(*aReply,
                { 503,
                  "no_endpoint",
                  "no endpoint can serve this now",
                  false,
                  std::chrono::seconds(1) },
                FormatId(aId));
      return;
    }
    net::http_call call;
    call.method = aRequest.method;
    call.url = "http://" + aEndpoint->address + aRequest.path;
    for (const char* name : { "Content-Type", "Accept", "traceparent" }) {
      if (const std::string* value = net::FindField(aRequest.fields, name)) {
        call.fields.push_back({ name, *value });
      }
    }
    call.fields.push_back({ "Bulrush-Attempt", FormatId(aId) });
    call.body = aBody;
    call.timeout = aDeadline;
    call.freshConnection = !aIsIdempotent;
    request_row row;
    row.id = aId;
    row.reply = aReply;
    row.endpoint = aEndpoint->id;
    row.isStream = aIsStream;
    ++mInFlight[aEndpoint->id];
    aReply->onGone = [this, aId] { Drop(aId); };
    row.call = mClient->Start(
      std::move(call),
      { [this, aId](int aStatus, const auto& aFields) {
         OnHeaders(aId, aStatus, aFields);
       },
        [this, aId](std::string_view aBytes) { OnBytes(aId, aBytes); },
        [this, aId](const net::http_call_end& aEnd) { OnEnd(aId, aEnd); } });
    mRequests.Insert(std::move(row));
  }

  void OnHeaders(request_id aId,
                 int aStatus,
                 const std::vector<net::http_field>& aFields)
  {
    request_row* row = mRequests.Find(aId);
    row->status = aStatus;
    if (const std::string* type = net::FindField(aFields, "Content-Type")) {
      row->contentType = *type;
    }
    const std::string* attempt = net::FindField(aFields, "Bulrush-Attempt");
    if (attempt == nullptr || *attempt != FormatId(aId)) {
      mClient->Cancel(row->call);
      SendError(*row->reply,
                { 502,
                  "endpoint_failed",
                  "the answer was another request's",
                  true,
                  std::nullopt },
                FormatId(aId));
      Forget(aId);
    }
  }

  void OnBytes(request_id aId, std::string_view aBytes)
  {
    request_row* row = mRequests.Find(aId);
    if (!row->isStream || row->status != 200) {
      row->body += aBytes;
      return;
    }
    if (!row->isStarted) {
      row->isStarted = true;
      row->reply->Start(200, { { "Content-Type", row->contentType } });
    }
    row->body = aBytes; // the tail, to look for the end mark
    row->reply->Write(std::string(aBytes));
  }

  void OnEnd(request_id aId, const net::http_call_end& aEnd)
  {
    request_row* row = mRequests.Find(aId);
    if (row->isStarted) {
      if (aEnd.whole && row->body.find("data: [DONE]") != std::string::npos) {
        row->reply->Finish();
      } else {
        row->reply->Write("event: error\ndata: {\"error\":{\"code\":"
                          "\"endpoint_failed\",\"ran\":\"may_have_run\"}}\n\n");
        row->reply->Finish();
      }
    } else if (aEnd.whole) {
      row->reply->Send(row->status,
                       { { "Content-Type", row->contentType } },
                       std::move(row->body));
    } else {
      SendError(
        *row->reply,
        { 502, "endpoint_failed", aEnd.error, aEnd.anySent, std::nullopt },
        FormatId(aId));
    }
    Forget(aId);
  }

  void Drop(request_id aId)
  {
    if (const request_row* row = mRequests.Find(aId)) {
      mClient->Cancel(row->call);
      Forget(aId);
    }
  }

  void Forget(request_id aId)
  {
    --mInFlight[mRequests.Find(aId)->endpoint];
    mRequests.Erase(aId);
  }

  asio::io_context& mContext;
  traffic_settings mSettings;
  control_hooks mHooks;
  traffic_view mView;
  std::unique_ptr<net::http_client> mClient;
  std::unique_ptr<net::http_server> mServer;
  table<request_id, request_row> mRequests;
  std::unordered_map<endpoint_id, int, id_hash> mInFlight;
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
