#include "entry/admission_runner.hpp"

#include "entry/outcomes.hpp"
#include "entry/request_log.hpp"
#include "observe/observe.hpp"

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

} // namespace

admission_runner::admission_runner(asio::io_context& aContext,
                                   admission_runner_settings aSettings,
                                   admission_runner_hooks aHooks)
  : mSettings(std::move(aSettings))
  , mHooks(std::move(aHooks))
  , mTables(
      MakeAdmission(IdOf<host_id>(mSettings.hostName), mSettings.incarnation))
  , mTimer(aContext, [this](steady_time aNow) { return Tick(aNow); })
{
  mTables.tolerance = mSettings.tolerance;
}

void
admission_runner::SetView(const traffic_view& aView)
{
  mView = aView;
  SetFleet(mTables, *mView.fleet, IdOf<domain_id>(mSettings.domain), Now());
  mTables.capacity = Capacity();
  mTimer.RunSoon();
}

void
admission_runner::HandleShareGrant(admission::grant aGrant)
{
  mTables.escrow.grants.push_back(std::move(aGrant));
  mTimer.RunSoon();
}

void
admission_runner::HandleQuotaGrant(rates::quota_grant aGrant)
{
  mTables.quotas.grants.push_back(std::move(aGrant));
  mTimer.RunSoon();
}

void
admission_runner::SetStop(const stop_plan& aPlan)
{
  mTables.admitBy = aPlan.placeBy;
  mTimer.RunSoon();
}

void
admission_runner::ReturnSharesWhenIdle(std::function<void()> aOnReturned)
{
  mOnReturned = std::move(aOnReturned);
  mTimer.RunSoon();
}

bool
admission_runner::HasLease(steady_time aNow) const
{
  return admission::MayServe(mTables.escrow.link, aNow);
}

void
admission_runner::Admit(routed_request aRequest, const resolved_call& aResolved)
{
  const std::int64_t tokens = aResolved.tokens;
  const request_id id = aRequest.facts.id;
  const auto* workspace =
    mView.fleet->declared.workspaces.Find(aRequest.facts.workspace);
  if (workspace != nullptr && tokens > LargestRequest(*workspace)) {
    mSettings.front->sendError(*aRequest.reply,
                               ErrorOf({ refusal_kind::eTooLarge, {} }),
                               FormatId(id.value));
    return;
  }
  admitted_row row;
  row.id = id;
  row.workspace = aRequest.facts.workspace;
  row.kind = aResolved.kind;
  if (aResolved.target.count() > 0) {
    row.maxWait = std::max<std::chrono::nanoseconds>(
      kMinWaitLimit, aResolved.target / kMaxWaitDivisor);
    row.maxWaitWithoutLeader = aResolved.target / kLeaderlessMaxWaitDivisor;
  }
  row.tokens = tokens;
  row.arrivedAt = Now();
  row.deadline = aRequest.facts.deadline;
  row.onRefused = RefusalOf(aRequest, tokens);
  aRequest.reply->onDisconnected =
    [this, id, callerId = aRequest.callerId, name = aRequest.workspaceName] {
      LogCallerGone(id, callerId, name);
      Release(id, 0);
    };
  aRequest.onEnded = [this, id, tokens](std::optional<std::int64_t> aUsed) {
    Release(id, aUsed.value_or(tokens));
  };
  auto routed = std::make_shared<routed_request>(std::move(aRequest));
  row.onAdmitted = [this, routed](steady_time aNow) {
    mHooks.onAdmitted(std::move(*routed), aNow);
  };
  entry::Admit(mTables, std::move(row));
  mTimer.RunSoon();
}

// Logs the refusal and sends it to the caller.
refuse_hook
admission_runner::RefusalOf(const routed_request& aRequest,
                            std::int64_t aTokens)
{
  return [this,
          reply = aRequest.reply,
          callerId = aRequest.callerId,
          name = aRequest.workspaceName,
          workspace = aRequest.facts.workspace,
          id = aRequest.facts.id,
          aTokens](const refusal& aRefusal) {
    LogRefusal(callerId, name, workspace, aTokens, aRefusal);
    mSettings.front->sendError(*reply, ErrorOf(aRefusal), FormatId(id.value));
  };
}

void
admission_runner::LogCallerGone(request_id aRequest,
                                const std::string& aCallerId,
                                const std::string& aWorkspace) const
{
  const admitted_row* row = mTables.requests.Find(aRequest);
  if (row == nullptr) {
    return;
  }
  const bool isQueued = row->state == admission_state::eQueued;
  LogEvent(kLog,
           log_level::eInfo,
           "request_ended",
           { { "request", aCallerId },
             { "workspace", aWorkspace },
             { "outcome", "caller_gone" },
             { "ran", "not_run" },
             { "status", "0" },
             { "step", isQueued ? "wait for turn" : "wait for tokens" },
             { "took_ms", Milliseconds(Now() - row->arrivedAt) } });
}

void
admission_runner::Release(request_id aRequest, std::int64_t aUsedTokens)
{
  Finish(mTables, aRequest, aUsedTokens, Now());
  mTimer.RunSoon();
}

// The pool grants whole requests, so one that is larger than the pool can
// never be granted.
std::int64_t
admission_runner::LargestRequest(const workspace_row& aWorkspace) const
{
  if (!ToleratesWindow(mTables)) {
    return static_cast<std::int64_t>(aWorkspace.burstTokens);
  }
  const rates::split_rate split = rates::SplitRate(mSettings.tolerance,
                                                   aWorkspace.tokensPerSecond,
                                                   aWorkspace.burstTokens,
                                                   mView.fleet->hosts);
  return split.pool.size / admission::kUnitsPerToken;
}

// Units of a rate that this thread holds in the escrow.
std::int64_t
admission_runner::HeldUnits(const admission::resource& aWhat) const
{
  const auto* holding =
    mTables.escrow.holdings.Find(admission::IdOfResource(aWhat));
  return holding == nullptr ? 0 : holding->undivided.level;
}

void
admission_runner::LogRefusal(const std::string& aCallerId,
                             const std::string& aName,
                             workspace_id aWorkspace,
                             std::int64_t aTokens,
                             const refusal& aRefusal)
{
  const admission::resource what = admission::RateOf(aWorkspace);
  const std::int64_t units = mSettings.tolerance.window.count() > 0
                               ? rates::Available(mTables.quotas, what, Now())
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
      { "pool_answers", mTables.quotas.isReachable ? "yes" : "no" },
      { "revision", std::to_string(mView.fleet->revision) } });
}

// The gate is part of admission, whose tick requests missing quota or slots.
routing::cold_gate
admission_runner::ColdGate()
{
  routing::cold_gate gate;
  gate.isOpen = [this](const routing::endpoint_facts& aEndpoint,
                       steady_time aNow) {
    const bool isOpen = IsColdGateOpen(mTables, aEndpoint, aNow);
    if (!isOpen) {
      mTimer.RunSoon();
    }
    return isOpen;
  };
  gate.acquire = [this](const routing::endpoint_facts& aEndpoint,
                        steady_time aEnds,
                        steady_time aNow) {
    EnterColdGate(mTables, aEndpoint, aEnds, aNow);
  };
  gate.release = [this](endpoint_id aEndpoint, std::uint64_t aIncarnation) {
    LeaveColdGate(mTables, aEndpoint, aIncarnation);
  };
  return gate;
}

// Concurrent requests that the endpoints accept; more would queue up there.
std::size_t
admission_runner::Capacity() const
{
  std::size_t slots = 0;
  for (const endpoint_row& row : *mView.endpoints) {
    const bool isUsable = !row.isLeaving && !IsOut(*mView.fleet, row.domain);
    slots += isUsable ? row.slots : 0;
  }
  return std::max(slots, kMinCapacity);
}

wake_time
admission_runner::Tick(steady_time aNow)
{
  admission_outbox out;
  const bool wasReachable = mTables.quotas.isReachable;
  RunAdmission(mTables, aNow, out);
  if (mTables.quotas.isReachable != wasReachable) {
    LogEvent(kLog,
             log_level::eInfo,
             wasReachable ? "pool_lost" : "pool_back",
             { { "draw", std::to_string(mTables.quotas.sequence) } });
  }
  LogQuotaUse(aNow);
  for (admission::renewal& report : out.renewals) {
    mHooks.onRenewal(std::move(report));
  }
  if (out.quotaRequest) {
    mHooks.onQuotaRequest(std::move(*out.quotaRequest));
  }
  if (out.hasNewQuota) {
    mHooks.onNewQuota();
  }
  for (const auto& [hook, refused] : out.refused) {
    hook(refused);
  }
  for (const admit_hook& hook : out.admitted) {
    hook(aNow);
  }
  if (mOnReturned && mTables.requests.Empty()) {
    ReturnShares(aNow);
  }
  return out.wake;
}

// Totals of all workspaces since the start, so that a lost line loses
// nothing. Expired tokens were granted here and missed by other hosts.
void
admission_runner::LogQuotaUse(steady_time aNow)
{
  if (!ToleratesWindow(mTables) || aNow < mNextQuotaLog) {
    return;
  }
  mNextQuotaLog = aNow + kQuotaLogInterval;
  const auto tokens = [](std::int64_t aUnits) {
    return std::to_string(aUnits / admission::kUnitsPerToken);
  };
  const rates::quota_totals& totals = mTables.quotas.totals;
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

void
admission_runner::ReturnShares(steady_time aNow)
{
  admission::escrow_outbox out;
  admission::Leave(mTables.escrow, aNow, out);
  mHooks.onRenewal(std::move(out.renewals.front()));
  std::exchange(mOnReturned, nullptr)();
}

} // namespace bulrush::entry
