#include "entry/traffic.hpp"

#include "entry/admission_runner.hpp"
#include "entry/openai.hpp"
#include "entry/outcomes.hpp"
#include "entry/request_log.hpp"
#include "entry/requests.hpp"
#include "entry/resolve.hpp"
#include "observe/observe.hpp"
#include "settings/settings.hpp"

#include <random>

namespace bulrush::entry {

using net::Now;

namespace {

constexpr log_component kLog{ "entry" };
/// What is held is passed on or ended within a few seconds.
constexpr std::chrono::milliseconds kRetryAfterNoMemory{ 1'000 };

// New at each start, so that ids of an earlier process are not repeated.
std::uint64_t
NewSeed()
{
  std::random_device device;
  constexpr unsigned kHalfBits = 32;
  return (static_cast<std::uint64_t>(device()) << kHalfBits) | device();
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
    , mAdmission(aContext,
                 { mSettings.hostName,
                   mSettings.incarnation,
                   mSettings.domain,
                   mSettings.tolerance,
                   &mSettings.front },
                 AdmissionHooks())
    , mRecorder(Seeded(mSettings.recording))
    , mRandom(NewSeed())
    , mRunner(aContext,
              { mSettings.domain,
                NewSeed(),
                &mSettings.front,
                mSettings.retries,
                mAdmission.ColdGate(),
                IdOf<host_id>(mSettings.hostName),
                mSettings.account,
                mSettings.keys,
                mSettings.outflowCost,
                [this](bool aIsOut) { mRecorder.CountSent(aIsOut); } },
              mRecorder.Record(net::MakeHttpClient(aContext)),
              mHooks.onCommand,
              mHooks.onDemand,
              mHooks.onEvidence,
              mHooks.onLoads,
              mHooks.onStarts,
              [this](part_id aPart) { mRecorder.CountRefusedPart(aPart); })
  {
  }

  bool Start(last_reason& aReason)
  {
    mSettings.http.onReadError = [this](net::http_reply& aReply,
                                        const net::refused_read& aRead) {
      RefuseRead(aReply, aRead);
    };
    mSettings.http.onUnreadEnded = [](const std::string& aPeer,
                                      const std::string& aReason) {
      LogEvent(kLog,
               log_level::eWarning,
               "unread_answer_ended",
               { { "caller", aPeer }, { "reason", aReason } });
    };
    mSettings.http.account = mSettings.account;
    net::BalanceOn(mContext, mSettings.account);
    auto server = net::Listen(
      mContext,
      mSettings.http,
      [this](net::http_request aRequest,
             std::shared_ptr<net::http_reply> aReply) {
        Serve(std::move(aRequest), std::move(aReply));
      },
      aReason);
    if (!server) {
      return false;
    }
    mServer = std::move(*server);
    return (!mSettings.ready || StartReadiness(aReason)) &&
           (!mSettings.metrics || StartMetrics(aReason));
  }

  std::uint16_t Port() const { return mServer->Port(); }
  void SetView(traffic_view aView)
  {
    if (aView.fleet != mView.fleet) {
      mServicesByTarget =
        ServicesByTarget(aView.fleet->declared, mSettings.targetSpread);
    }
    mView = std::move(aView);
    mRunner.SetView(mView);
    mAdmission.SetView(mView);
    const caller_limits& limits = mView.fleet->declared.callers;
    mServer->SetLimits({ limits.maxHeaderBytes,
                         limits.maxBodyBytes,
                         limits.headerTimeout,
                         limits.idleTimeout });
    if (mView.isStopping) {
      mServer->BeginDrain();
    }
  }
  void HandleShareGrant(admission::grant aGrant)
  {
    mAdmission.HandleShareGrant(std::move(aGrant));
    mRunner.RunSoon();
  }
  void HandleQuotaGrant(rates::quota_grant aGrant)
  {
    mAdmission.HandleQuotaGrant(std::move(aGrant));
  }
  void HandleEvidence(const quarantine::evidence& aEvidence)
  {
    mRunner.HandleEvidence(aEvidence);
  }
  void HandleLoads(const std::vector<room::load_row>& aLoads)
  {
    mRunner.HandleLoads(aLoads);
  }
  std::size_t OpenRequests() const
  {
    return std::max(mRunner.OpenRequests(), mAdmission.OpenRequests());
  }

  void BeginStop(const stop_plan& aPlan)
  {
    LogStop(aPlan, OpenRequests(), Now());
    mRunner.SetStop(aPlan);
    mAdmission.SetStop(aPlan);
  }

  // Once admission has no requests left and has returned the shares, the server
  // stops when the runner is idle and its answers are sent.
  void StopWhenIdle(std::function<void()> aOnStopped)
  {
    mIsRefusing = true;
    mAdmission.ReturnSharesWhenIdle([this, hook = std::move(aOnStopped)] {
      mRunner.WhenIdle([this, hook] { mServer->StopWhenFlushed(hook); });
    });
  }

private:
  static recorder_settings Seeded(recorder_settings aSettings)
  {
    aSettings.seed = NewSeed();
    return aSettings;
  }

  admission_runner_hooks AdmissionHooks()
  {
    admission_runner_hooks hooks;
    hooks.onRenewal = mHooks.onRenewal;
    hooks.onQuotaRequest = mHooks.onQuotaRequest;
    hooks.onAdmitted = [this](routed_request aRequest, steady_time aNow) {
      StartAdmitted(std::move(aRequest), aNow);
    };
    hooks.onNewQuota = [this] { mRunner.RunSoon(); };
    return hooks;
  }

  std::string MetricsPage()
  {
    return mRecorder.Page(
      { mView.fleet->revision,
        mView.fleet->declared.number,
        Now() - mView.confirmedAt,
        mView.endpoints->size(),
        mRunner.OpenRequests(),
        mRunner.Quarantine(),
        mRunner.Loads(),
        HasLease(),
        mSettings.account->Usage(),
        mHooks.onStarts ? std::optional(mView.usage) : std::nullopt });
  }

  static void SendMetrics(net::http_reply& aReply, std::string aPage)
  {
    aReply.Send(200,
                { { "Content-Type", "text/plain; version=0.0.4" } },
                std::move(aPage));
  }

  bool StartMetrics(last_reason& aReason)
  {
    auto server = net::Listen(
      mContext,
      *mSettings.metrics,
      [this](const net::http_request&,
             const std::shared_ptr<net::http_reply>& aReply) {
        SendMetrics(*aReply, MetricsPage());
      },
      aReason);
    if (!server) {
      return false;
    }
    mMetrics = std::move(*server);
    return true;
  }

  // On its separate address any request gets the readiness page.
  bool StartReadiness(last_reason& aReason)
  {
    auto server = net::Listen(
      mContext,
      *mSettings.ready,
      [this](const net::http_request&,
             const std::shared_ptr<net::http_reply>& aReply) {
        SendReadiness(*aReply);
      },
      aReason);
    if (!server) {
      return false;
    }
    mReadiness = std::move(*server);
    return true;
  }

  bool IsInRotation(steady_time aNow) const
  {
    return aNow < LeavesRotationAt(mSettings.keys, mView.confirmedAt);
  }

  // Kept connections stay with this host until an answer closes them.
  void DrainOutOfRotation(steady_time aNow)
  {
    if (!IsInRotation(aNow)) {
      mServer->BeginDrain();
    } else if (!mView.isStopping) {
      mServer->EndDrain();
    }
  }

  void SendReadiness(net::http_reply& aReply) const
  {
    const bool isReady = !mIsRefusing && !mView.isStopping &&
                         !KeyRefusal(Now()) && IsInRotation(Now()) &&
                         mView.fleet->manifestRevision > 0 &&
                         (!mSettings.ready || !mView.endpoints->empty());
    aReply.Send(isReady ? 200 : 503, {}, isReady ? "ready\n" : "unready\n");
  }

  resolve_context Context()
  {
    return {
      mView, mSettings.front, KeyRefusal(Now()), mRandom, &mServicesByTarget
    };
  }

  std::optional<caller_error> KeyRefusal(steady_time aNow) const
  {
    if (!mSettings.servesWithoutLease && !mAdmission.HasLease(aNow)) {
      return NoLease();
    }
    if (aNow < KeysUsableUntil(mSettings.keys, mView.confirmedAt)) {
      return std::nullopt;
    }
    const steady_time leftAt =
      LeavesRotationAt(mSettings.keys, mView.confirmedAt);
    return KeysUnconfirmed(RetryAfterUnconfirmed(leftAt, aNow));
  }

  void SendError(net::http_reply& aReply,
                 const caller_error& aError,
                 request_id aId) const
  {
    mSettings.front.sendError(aReply, aError, FormatId(aId.value));
  }

  void Serve(net::http_request aRequest,
             std::shared_ptr<net::http_reply> aReply)
  {
    const request_id id{ ++mLastRequest };
    DrainOutOfRotation(Now());
    if (mSettings.front.servesPages && ServePage(aRequest, *aReply, id)) {
      return;
    }
    if (mIsRefusing) {
      SendError(*aReply, Stopping(), id);
      return;
    }
    aReply = mRecorder.Record(aRequest, std::move(aReply));
    ServeCaller(aRequest, std::move(aReply), id);
  }

  // Serves health, metrics, reports and models; false for any other path.
  bool ServePage(const net::http_request& aRequest,
                 net::http_reply& aReply,
                 request_id aId)
  {
    caller_error error;
    if (!CheckRequest(aRequest, mSettings.http.maxBodyBytes, error)) {
      SendError(aReply, error, aId);
    } else if (mIsRefusing) {
      SendError(aReply, Stopping(), aId);
    } else if (aRequest.path == "/healthz") {
      aReply.Send(200, {}, "ok\n");
    } else if (aRequest.path == "/readyz") {
      SendReadiness(aReply);
    } else if (aRequest.path == "/metrics") {
      SendMetrics(aReply, MetricsPage());
    } else if (aRequest.path == "/v1/endpoints/report") {
      HandleEndpointReport(aRequest, aReply, aId);
    } else if (aRequest.path == "/v1/models") {
      ListModels(aRequest, aReply, aId);
    } else {
      return false;
    }
    return true;
  }

  void RefuseRead(net::http_reply& aReply, const net::refused_read& aRead)
  {
    caller_error error{
      aRead.status, ReadErrorCode(aRead.status), aRead.text, false, std::nullopt
    };
    if (aRead.reason == net::read_refusal::eStopping) {
      error = Stopping();
    } else if (aRead.reason == net::read_refusal::eNoMemory) {
      error.code = "no_memory";
      error.retryAfter = kRetryAfterNoMemory;
      caller_error ignored; // only the id is of use
      const auto call = mSettings.front.readCall(*aRead.head, ignored);
      LogDenial(call ? call->id : "", aRead.head->path, error);
    }
    SendError(aReply, error, request_id{ ++mLastRequest });
  }

  static caller_error Stopping()
  {
    return { 503,
             "stopping",
             "this host is being stopped",
             false,
             std::chrono::seconds(1) };
  }

  void ServeCaller(const net::http_request& aRequest,
                   std::shared_ptr<net::http_reply> aReply,
                   request_id aId)
  {
    caller_error error;
    auto call = mSettings.front.readCall(aRequest, error);
    resolved_call resolved;
    resolved.facts.id = aId;
    const bool isResolved =
      call && Resolve(Context(), aRequest, *call, resolved, error);
    if (!isResolved) {
      LogDenial(call ? call->id : "", aRequest.path, error);
      SendError(*aReply, error, aId);
      return;
    }
    Route(aRequest, std::move(*call), std::move(resolved), std::move(aReply));
  }

  bool HasLease() const { return mAdmission.HasLease(Now()); }

  // Callers' requests are sent to reported endpoints, so reports need the
  // secret.
  bool IsTrusted(const net::http_request& aReport) const
  {
    const std::string& secret = mSettings.endpointSecret;
    const std::string* sent = net::FindField(aReport.fields, "Bulrush-Secret");
    return secret.empty() ||
           (sent != nullptr && EqualInConstantTime(*sent, secret));
  }

  void HandleEndpointReport(const net::http_request& aRequest,
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
                aId);
      return;
    }
    last_reason reason;
    auto row = ParseEndpointReport(aRequest.body, Now(), reason);
    if (!row) {
      SendError(aReply,
                { 400, "bad_request", Describe(reason), false, std::nullopt },
                aId);
      return;
    }
    mHooks.onReport(std::move(*row));
    aReply.Send(
      200, { { "Content-Type", "application/json" } }, "{\"ok\":true}");
  }

  void ListModels(const net::http_request& aRequest,
                  net::http_reply& aReply,
                  request_id aId)
  {
    caller_error error;
    const auto key = ParseBearer(aRequest, error);
    const workspace_row* workspace =
      key ? Authorise(Context(), *key, error) : nullptr;
    if (workspace == nullptr) {
      SendError(aReply, error, aId);
      return;
    }
    aReply.Send(200,
                { { "Content-Type", "application/json" } },
                FormatModelList(mView.fleet->declared, *workspace));
  }

  void Route(const net::http_request& aRequest,
             caller_call aCall,
             resolved_call aResolved,
             std::shared_ptr<net::http_reply> aReply)
  {
    routed_request routed;
    routed.facts = std::move(aResolved.facts);
    routed.path = aRequest.path;
    routed.target = aRequest.target;
    routed.callerId =
      aCall.id.empty() ? FormatId(routed.facts.id.value) : std::move(aCall.id);
    routed.arrivedAt = Now();
    routed.resumeAfter = std::move(aCall.resumeAfter);
    routed.reply = std::move(aReply);
    routed.held = aRequest.held;
    routed.call.method = aRequest.method;
    routed.call.fields = std::move(aCall.fields);
    routed.call.body = std::move(aCall.body);
    if (aResolved.workspace != nullptr) {
      routed.workspaceName = aResolved.workspace->name;
    }
    const bool isLimited = aResolved.workspace != nullptr &&
                           aResolved.workspace->tokensPerSecond > 0;
    if (isLimited) {
      mAdmission.Admit(std::move(routed), aResolved);
    } else {
      mRunner.Start(std::move(routed)); // unlimited
    }
  }

  // A denied request leaves no other line. Its cause is the configuration in
  // force here, which may lag behind the leader's.
  void LogDenial(const std::string& aCallerId,
                 const std::string& aPath,
                 const caller_error& aError) const
  {
    const fleet_state& fleet = *mView.fleet;
    LogEvent(kLog,
             log_level::eInfo,
             "request_denied",
             { { "request", aCallerId },
               { "path", aPath },
               { "code", aError.code },
               { "status", std::to_string(aError.status) },
               { "revision", std::to_string(fleet.revision) },
               { "number", std::to_string(fleet.declared.number) },
               { "confirmed_age_ms", AgeOrNever(Now(), mView.confirmedAt) },
               { "keys", std::to_string(fleet.keys.Size()) },
               { "routes", std::to_string(fleet.declared.routes.Size()) } });
  }

  // A withdrawal holds for good. A key that the manifest only lacks may be back
  // in a newer one.
  caller_error ErrorOfLostKey(const key_hash& aKey)
  {
    const key_row* known = mView.fleet->keys.Find(aKey);
    const bool isWithdrawn = mView.tombstones->contains(aKey) ||
                             (known != nullptr && known->isWithdrawn);
    return isWithdrawn ? caller_error{ 401,
                                       "key_withdrawn",
                                       "the key was withdrawn",
                                       false,
                                       {} }
                       : UnknownKey(Context());
  }

  // All that a key needs is checked again: it may have ended while the request
  // waited.
  void StartAdmitted(routed_request aRouted, steady_time aNow)
  {
    const key_hash& key = aRouted.facts.key;
    const bool isKeyGood =
      FindWorkspace(*mView.fleet, key) && !mView.tombstones->contains(key);
    const auto keyRefusal = KeyRefusal(aNow);
    if (isKeyGood && !keyRefusal) {
      mRunner.Start(std::move(aRouted));
      return;
    }
    mAdmission.Release(aRouted.facts.id, 0);
    const caller_error error = isKeyGood ? *keyRefusal : ErrorOfLostKey(key);
    LogDenial(aRouted.callerId, aRouted.path, error);
    SendError(*aRouted.reply, error, aRouted.facts.id);
  }

  asio::io_context& mContext;
  traffic_settings mSettings;
  control_hooks mHooks;
  traffic_view mView;
  service_set mServicesByTarget;
  admission_runner mAdmission;
  recorder mRecorder;
  random_engine mRandom;
  request_runner mRunner;
  std::unique_ptr<net::http_server> mServer;
  std::unique_ptr<net::http_server> mReadiness;
  std::unique_ptr<net::http_server> mMetrics;
  bool mIsRefusing = false;
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
traffic_thread::Start(last_reason& aReason)
{
  return mImplementation->Start(aReason);
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
traffic_thread::HandleShareGrant(admission::grant aGrant)
{
  mImplementation->HandleShareGrant(std::move(aGrant));
}

void
traffic_thread::HandleQuotaGrant(rates::quota_grant aGrant)
{
  mImplementation->HandleQuotaGrant(std::move(aGrant));
}

void
traffic_thread::HandleEvidence(const quarantine::evidence& aEvidence)
{
  mImplementation->HandleEvidence(aEvidence);
}

void
traffic_thread::HandleLoads(const std::vector<room::load_row>& aLoads)
{
  mImplementation->HandleLoads(aLoads);
}

void
traffic_thread::BeginStop(const stop_plan& aPlan)
{
  mImplementation->BeginStop(aPlan);
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
