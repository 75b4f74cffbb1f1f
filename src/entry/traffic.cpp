#include "entry/traffic.hpp"

#include "entry/admission.hpp"
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

/// A request waits for tokens at most this fraction of its target latency;
/// after a later refusal the caller would have too little time left to retry.
constexpr int kMaxWaitDivisor = 8;
/// The same while the leader is unreachable: another is elected within a
/// second.
constexpr int kLeaderlessMaxWaitDivisor = 2;
/// Shortest wait limit. The leader's answer takes a few milliseconds.
constexpr std::chrono::milliseconds kMinWaitLimit{ 40 };
/// Interval between the lines about the use of quotas.
constexpr std::chrono::seconds kQuotaLogInterval{ 5 };

// Admitted even while no endpoint is known, so that routing can answer with the
// proper error.
constexpr std::size_t kMinCapacity = 16;

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
    , mAdmission(
        MakeAdmission(IdOf<host_id>(mSettings.hostName), mSettings.incarnation))
    , mAdmissionTimer(aContext,
                      [this](steady_time aNow) { return TickAdmission(aNow); })
    , mRecorder(Seeded(mSettings.recording))
    , mRandom(NewSeed())
    , mRunner(aContext,
              { mSettings.domain,
                NewSeed(),
                &mSettings.front,
                mSettings.retries,
                ColdGate(),
                IdOf<host_id>(mSettings.hostName) },
              mRecorder.Record(net::MakeHttpClient(aContext)),
              mHooks.onCommand,
              mHooks.onDemand,
              mHooks.onEvidence,
              [this](part_id aPart) { mRecorder.CountRefusedPart(aPart); })
  {
  }

  bool Start(last_reason& aReason)
  {
    mAdmission.tolerance = mSettings.tolerance;
    mSettings.http.onReadError =
      [this](net::http_reply& aReply, int aStatus, const std::string& aText) {
        const caller_error error =
          aStatus == Stopping().status
            ? Stopping()
            : caller_error{
                aStatus, ReadErrorCode(aStatus), aText, false, std::nullopt
              };
        SendError(aReply, error, request_id{ ++mLastRequest });
      };
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
    mView = std::move(aView);
    mRunner.SetView(mView);
    SetFleet(
      mAdmission, *mView.fleet, IdOf<domain_id>(mSettings.domain), Now());
    mAdmission.capacity = Capacity();
    const caller_limits& limits = mView.fleet->declared.callers;
    mServer->SetLimits({ limits.maxHeaderBytes,
                         limits.maxBodyBytes,
                         limits.headerTimeout,
                         limits.idleTimeout });
    if (mView.isStopping) {
      mServer->BeginDrain();
    }
    mAdmissionTimer.RunSoon();
  }
  void HandleShareGrant(admission::grant aGrant)
  {
    mAdmission.escrow.grants.push_back(std::move(aGrant));
    mAdmissionTimer.RunSoon();
    mRunner.RunSoon();
  }
  void HandleQuotaGrant(rates::quota_grant aGrant)
  {
    mAdmission.quotas.grants.push_back(std::move(aGrant));
    mAdmissionTimer.RunSoon();
  }
  void HandleEvidence(const quarantine::evidence& aEvidence)
  {
    mRunner.HandleEvidence(aEvidence);
  }
  std::size_t OpenRequests() const
  {
    return std::max(mRunner.OpenRequests(), mAdmission.requests.Size());
  }

  void BeginStop(const stop_plan& aPlan)
  {
    LogStop(aPlan, OpenRequests(), Now());
    mRunner.SetStop(aPlan);
    mAdmission.admitBy = aPlan.placeBy;
    mAdmissionTimer.RunSoon();
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

  // The gate is part of admission, whose tick requests missing quota or slots.
  routing::cold_gate ColdGate()
  {
    routing::cold_gate gate;
    gate.isOpen = [this](const routing::endpoint_facts& aEndpoint,
                         steady_time aNow) {
      const bool isOpen = IsColdGateOpen(mAdmission, aEndpoint, aNow);
      if (!isOpen) {
        mAdmissionTimer.RunSoon();
      }
      return isOpen;
    };
    gate.acquire = [this](const routing::endpoint_facts& aEndpoint,
                          steady_time aEnds,
                          steady_time aNow) {
      EnterColdGate(mAdmission, aEndpoint, aEnds, aNow);
    };
    gate.release = [this](endpoint_id aEndpoint, std::uint64_t aIncarnation) {
      LeaveColdGate(mAdmission, aEndpoint, aIncarnation);
    };
    return gate;
  }

  std::string MetricsPage()
  {
    return mRecorder.Page({ mView.fleet->revision,
                            mView.fleet->declared.number,
                            Now() - mView.confirmedAt,
                            mView.endpoints->size(),
                            mRunner.OpenRequests(),
                            mRunner.Quarantine(),
                            HasLease() });
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

  void SendReadiness(net::http_reply& aReply) const
  {
    const bool isReady = !mIsRefusing && !mView.isStopping && MayServeKeys() &&
                         mView.fleet->manifestRevision > 0 &&
                         (!mSettings.ready || !mView.endpoints->empty());
    aReply.Send(isReady ? 200 : 503, {}, isReady ? "ready\n" : "unready\n");
  }

  resolve_context Context()
  {
    return { mView, mSettings.front, MayServeKeys(), mRandom };
  }

  bool MayServeKeys() const
  {
    return mSettings.servesWithoutLease || HasLease();
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

  bool HasLease() const
  {
    return admission::MayServe(mAdmission.escrow.link, Now());
  }

  // Concurrent requests that the endpoints accept; more would queue up there.
  std::size_t Capacity() const
  {
    std::size_t slots = 0;
    for (const endpoint_row& row : *mView.endpoints) {
      const bool isUsable = !row.isLeaving && !IsOut(*mView.fleet, row.domain);
      slots += isUsable ? row.slots : 0;
    }
    return std::max(slots, kMinCapacity);
  }

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
    routed.call.method = aRequest.method;
    routed.call.fields = std::move(aCall.fields);
    routed.call.body = std::move(aCall.body);
    if (aResolved.workspace != nullptr) {
      routed.workspaceName = aResolved.workspace->name;
    }
    const bool isLimited = aResolved.workspace != nullptr &&
                           aResolved.workspace->tokensPerSecond > 0;
    if (isLimited) {
      Admit(std::move(routed), aResolved);
    } else {
      mRunner.Start(std::move(routed)); // unlimited
    }
  }

  // The pool grants whole requests, so one that is larger than the pool can
  // never be granted.
  std::int64_t LargestRequest(const workspace_row& aWorkspace) const
  {
    if (!ToleratesWindow(mAdmission)) {
      return static_cast<std::int64_t>(aWorkspace.burstTokens);
    }
    const rates::split_rate split = rates::SplitRate(mSettings.tolerance,
                                                     aWorkspace.tokensPerSecond,
                                                     aWorkspace.burstTokens,
                                                     mView.fleet->hosts);
    return split.pool.size / admission::kUnitsPerToken;
  }

  // Queues the request for tokens and its turn; it is routed once admitted.
  void Admit(routed_request aRouted, const resolved_call& aResolved)
  {
    const std::int64_t tokens = aResolved.tokens;
    const auto* workspace =
      mView.fleet->declared.workspaces.Find(aRouted.facts.workspace);
    if (workspace != nullptr && tokens > LargestRequest(*workspace)) {
      SendError(*aRouted.reply,
                ErrorOf({ refusal_kind::eTooLarge, {} }),
                aRouted.facts.id);
      return;
    }
    const request_id id = aRouted.facts.id;
    admitted_row row;
    row.id = id;
    row.workspace = aRouted.facts.workspace;
    row.kind = aResolved.kind;
    if (aResolved.target.count() > 0) {
      row.maxWait = std::max<std::chrono::nanoseconds>(
        kMinWaitLimit, aResolved.target / kMaxWaitDivisor);
      row.maxWaitWithoutLeader = aResolved.target / kLeaderlessMaxWaitDivisor;
    }
    row.tokens = tokens;
    row.arrivedAt = Now();
    row.deadline = aRouted.facts.deadline;
    row.onRefused = [this,
                     reply = aRouted.reply,
                     callerId = aRouted.callerId,
                     name = aRouted.workspaceName,
                     workspace = aRouted.facts.workspace,
                     id,
                     tokens](const refusal& aRefusal) {
      LogRefusal(callerId, name, workspace, tokens, aRefusal);
      SendError(*reply, ErrorOf(aRefusal), id);
    };
    aRouted.reply->onDisconnected = [this, id] { Release(id, 0); };
    aRouted.onEnded = [this, id, tokens](std::optional<std::int64_t> aUsed) {
      Release(id, aUsed.value_or(tokens));
    };
    auto routed = std::make_shared<routed_request>(std::move(aRouted));
    row.onAdmitted = [this, routed](steady_time aNow) {
      StartAdmitted(std::move(*routed), aNow);
    };
    entry::Admit(mAdmission, std::move(row));
    mAdmissionTimer.RunSoon();
  }

  // Units of a rate that this thread holds in the escrow.
  std::int64_t HeldUnits(const admission::resource& aWhat) const
  {
    const auto* holding =
      mAdmission.escrow.holdings.Find(admission::IdOfResource(aWhat));
    return holding == nullptr ? 0 : holding->undivided.level;
  }

  void LogRefusal(const std::string& aCallerId,
                  const std::string& aName,
                  workspace_id aWorkspace,
                  std::int64_t aTokens,
                  const refusal& aRefusal)
  {
    const admission::resource what = admission::RateOf(aWorkspace);
    const std::int64_t units =
      mSettings.tolerance.window.count() > 0
        ? rates::Available(mAdmission.quotas, what, Now())
        : HeldUnits(what);
    LogEvent(
      kLog,
      log_level::eInfo,
      "request_refused",
      { { "request", aCallerId },
        { "code", ErrorOf(aRefusal).code },
        { "workspace", aName },
        { "tokens", std::to_string(aTokens) },
        { "tokens_here", std::to_string(units / admission::kUnitsPerToken) },
        { "pool_answers", mAdmission.quotas.isReachable ? "yes" : "no" },
        { "revision", std::to_string(mView.fleet->revision) } });
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

  // Lease and key are checked again: they may have ended while the request
  // waited.
  void StartAdmitted(routed_request aRouted, steady_time aNow)
  {
    const key_hash& key = aRouted.facts.key;
    const bool isKeyGood =
      FindWorkspace(*mView.fleet, key) && !mView.tombstones->contains(key);
    const bool hasLease = mSettings.servesWithoutLease ||
                          admission::MayServe(mAdmission.escrow.link, aNow);
    if (isKeyGood && hasLease) {
      mRunner.Start(std::move(aRouted));
      return;
    }
    Release(aRouted.facts.id, 0);
    const caller_error error = isKeyGood ? NoLease() : ErrorOfLostKey(key);
    LogDenial(aRouted.callerId, aRouted.path, error);
    SendError(*aRouted.reply, error, aRouted.facts.id);
  }

  void Release(request_id aRequest, std::int64_t aUsedTokens)
  {
    Finish(mAdmission, aRequest, aUsedTokens, Now());
    mAdmissionTimer.RunSoon();
  }

  wake_time TickAdmission(steady_time aNow)
  {
    admission_outbox out;
    const bool wasReachable = mAdmission.quotas.isReachable;
    RunAdmission(mAdmission, aNow, out);
    if (mAdmission.quotas.isReachable != wasReachable) {
      LogEvent(kLog,
               log_level::eInfo,
               wasReachable ? "pool_lost" : "pool_back",
               { { "draw", std::to_string(mAdmission.quotas.sequence) } });
    }
    LogQuotaUse(aNow);
    for (admission::renewal& report : out.renewals) {
      mHooks.onRenewal(std::move(report));
    }
    if (out.quotaRequest) {
      mHooks.onQuotaRequest(std::move(*out.quotaRequest));
    }
    if (out.hasNewQuota) {
      mRunner.RunSoon();
    }
    for (const auto& [hook, refused] : out.refused) {
      hook(refused);
    }
    for (const admit_hook& hook : out.admitted) {
      hook(aNow);
    }
    if (mOnStopped && mAdmission.requests.Empty()) {
      ReturnShares(aNow);
    }
    return out.wake;
  }

  // Totals of all workspaces since the start, so that a lost line loses
  // nothing. Expired tokens were granted here and missed by other hosts.
  void LogQuotaUse(steady_time aNow)
  {
    if (!ToleratesWindow(mAdmission) || aNow < mNextQuotaLog) {
      return;
    }
    mNextQuotaLog = aNow + kQuotaLogInterval;
    const auto tokens = [](std::int64_t aUnits) {
      return std::to_string(aUnits / admission::kUnitsPerToken);
    };
    const rates::quota_totals& totals = mAdmission.quotas.totals;
    LogEvent(kLog,
             log_level::eInfo,
             "quota_use",
             { { "requested", tokens(totals.requested) },
               { "granted", tokens(totals.granted) },
               { "granted_used", tokens(totals.grantedUsed) },
               { "expired", tokens(totals.expired) },
               { "baseline_used", tokens(totals.baselineUsed) },
               { "hosts", std::to_string(mView.fleet->hosts) } });
  }

  // Once admission has no requests left, returns the shares; the server stops
  // when the runner is idle and its answers are sent.
  void ReturnShares(steady_time aNow)
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
  random_engine mRandom;
  request_runner mRunner;
  std::unique_ptr<net::http_server> mServer;
  std::unique_ptr<net::http_server> mReadiness;
  std::unique_ptr<net::http_server> mMetrics;
  bool mIsRefusing = false;
  std::function<void()> mOnStopped; ///< set while open requests finish
  std::uint64_t mLastRequest = 0;
  steady_time mNextQuotaLog;
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
