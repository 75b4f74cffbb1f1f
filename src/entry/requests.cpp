/// The tick of a traffic thread: routing decides, and each decision is
/// executed.

#include "entry/request_runner.hpp"

#include "entry/request_log.hpp"
#include "program/program.hpp"

namespace bulrush::entry {

using net::Now;

namespace {

constexpr log_component kLog{ "request" };

} // namespace

request_runner::implementation::implementation(
  asio::io_context& aContext,
  const request_runner_settings& aSettings,
  std::unique_ptr<net::http_client> aClient,
  commit_hook aOnCommand,
  demand_hook aOnDemand,
  evidence_hook aOnEvidence,
  load_hook aOnLoads,
  start_hook aOnStarts,
  std::function<void(part_id)> aOnRefusedPart)
  : mFront(*aSettings.front)
  , mRetryBudget(aSettings.retries)
  , mOnSent(aSettings.onSent)
  , mOnCommand(std::move(aOnCommand))
  , mDemand(std::move(aOnDemand))
  , mOnEvidence(std::move(aOnEvidence))
  , mLoads(std::move(aOnLoads))
  , mStarts(std::move(aOnStarts))
  , mOnRefusedPart(std::move(aOnRefusedPart))
  , mClaimTokens(aSettings.seed)
  , mEngine(OptionsOf(aSettings), HooksOf(aSettings))
  , mAccount(aSettings.account)
  , mClient(std::move(aClient))
  , mTimer(aContext, [this](steady_time aNow) { return Tick(aNow); })
{
  mEngine.quarantined.self = aSettings.host;
  mEngine.policy.isTargetGone = [this](const routing::request_facts& aFacts) {
    return mGoneTargets.IsGone(aFacts);
  };
  mEngine.policy.keyUsableUntil =
    [this, rule = aSettings.keys](const routing::request_facts& aFacts) {
      return aFacts.workspace ? KeysUsableUntil(rule, mView.confirmedAt)
                              : steady_time::max();
    };
}

std::size_t
request_runner::implementation::OpenRequests() const
{
  return mWaiting.Size();
}

void
request_runner::implementation::RunSoon()
{
  mTimer.RunSoon();
}

void
request_runner::implementation::SetStop(const stop_plan& aPlan)
{
  mEngine.settings.placementDeadline = aPlan.placeBy;
  mEngine.settings.finishBy = aPlan.finishBy;
  mTimer.RunSoon();
}

void
request_runner::implementation::WhenIdle(std::function<void()> aOnIdle)
{
  mOnIdle = std::move(aOnIdle);
  mTimer.RunSoon();
}

void
request_runner::implementation::HandleEvidence(
  const quarantine::evidence& aEvidence)
{
  quarantine::Merge(mEngine.quarantined, aEvidence, Now());
  mTimer.RunSoon();
}

quarantine_counts
request_runner::implementation::Quarantine() const
{
  quarantine_counts counts;
  for (const auto& row : mEngine.quarantined.suspects) {
    ++(quarantine::IsQuarantined(mEngine.quarantined.settings, row)
         ? counts.quarantined
         : counts.suspected);
  }
  return counts;
}

void
request_runner::implementation::Start(routed_request aRequest)
{
  waiting_row row;
  row.id = aRequest.facts.id;
  row.token = mClaimTokens();
  row.claim = ClaimOf(aRequest);
  aRequest.reply->onDisconnected = [this, id = row.id] { OnDisconnected(id); };
  aRequest.reply->onDrained = [this, id = row.id] { OnDrained(id); };
  AllowServedVersion(aRequest.facts);
  mDemand.Count({ aRequest.facts.model, aRequest.facts.adapter });
  routing::AddRequest(mEngine, aRequest.facts);
  row.request = std::move(aRequest);
  mWaiting.Insert(std::move(row));
  mTimer.RunSoon();
}

routing::options
request_runner::implementation::OptionsOf(
  const request_runner_settings& aSettings)
{
  routing::options options;
  options.localDomain = IdOf<domain_id>(aSettings.domain);
  options.seed = aSettings.seed;
  options.outflowCost = aSettings.outflowCost;
  options.trustsNotRun = aSettings.front->trustsNotRun;
  options.endpointsCheckIncarnation =
    aSettings.front->endpointsCheckIncarnation;
  return options;
}

routing::hooks
request_runner::implementation::HooksOf(
  const request_runner_settings& aSettings)
{
  routing::hooks hooks = routing::DefaultHooks();
  hooks.coldGate = aSettings.coldGate;
  return hooks;
}

// While the declared version is still loading everywhere, any version serves.
void
request_runner::implementation::AllowServedVersion(
  routing::request_facts& aFacts)
{
  if (!routing::IsServed(
        mEngine, { { aFacts.model, aFacts.adapter }, aFacts.version })) {
    aFacts.version = 0;
  }
}

wake_time
request_runner::implementation::Tick(steady_time aNow)
{
  mOutbox.Clear();
  routing::Tick(mEngine, aNow, mOutbox);
  for (const routing::cancel_attempt& each : mOutbox.cancels) {
    Cancel(each.attempt);
  }
  for (const routing::forward_to_caller& each : mOutbox.forwards) {
    Forward(each);
  }
  for (const routing::record_outcome& each : mOutbox.records) {
    Record(each, aNow);
  }
  for (const routing::end_request& each : mOutbox.ends) {
    EndCaller(each);
  }
  for (const routing::request_claim& each : mOutbox.claims) {
    Claim(each, aNow);
  }
  for (const routing::start_attempt& each : mOutbox.starts) {
    CountSent(each.endpoint);
    StartCall(each);
  }
  for (const routing::kept_attempt& each : mOutbox.kept) {
    LogKept(each, aNow);
  }
  for (const routing::outflow_change& each : mOutbox.outflows) {
    LogOutflow(each);
  }
  EraseEnded();
  PublishEvidence();
  NotifyIfIdle();
  mDemand.Report(mEngine, aNow, mOutbox.wake);
  mLoads.Report(aNow, mOutbox.wake);
  mStarts.Report(aNow, mOutbox.wake);
  return mOutbox.wake;
}

void
request_runner::implementation::CountSent(endpoint_id aEndpoint) const
{
  if (mEngine.settings.outflowCost.count() > 0 && mOnSent) {
    const auto* endpoint = mEngine.endpoints.Find(aEndpoint);
    mOnSent(endpoint->facts.domain != mEngine.settings.localDomain);
  }
}

void
request_runner::implementation::LogOutflow(
  const routing::outflow_change& aChange) const
{
  const auto milliseconds = [](std::chrono::microseconds aTime) {
    return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count());
  };
  LogEvent(kLog,
           log_level::eInfo,
           "outflow_changed",
           { { "model", FormatId(aChange.row.id.value) },
             { "share", std::to_string(aChange.row.share) },
             { "reason", room::Name(aChange.row.reason) },
             { "local_wait_ms", milliseconds(aChange.localWait) },
             { "other_wait_ms", milliseconds(aChange.otherWait) } });
}

void
request_runner::implementation::PublishEvidence()
{
  auto changes =
    quarantine::ChangesSince(mEngine.quarantined, mPublishedEvidence);
  if (!changes.Empty()) {
    LogEvidence(kLog, mEngine.quarantined.settings, changes);
    mOnEvidence(std::move(changes));
  }
  mPublishedEvidence = mEngine.quarantined.serial;
}

void
request_runner::implementation::NotifyIfIdle()
{
  if (mOnIdle && mWaiting.Empty()) {
    mStarts.Flush();
    const auto hook = std::move(mOnIdle);
    mOnIdle = nullptr;
    hook();
  }
}

request_runner::request_runner(asio::io_context& aContext,
                               const request_runner_settings& aSettings,
                               std::unique_ptr<net::http_client> aClient,
                               commit_hook aOnCommand,
                               demand_hook aOnDemand,
                               evidence_hook aOnEvidence,
                               load_hook aOnLoads,
                               start_hook aOnStarts,
                               std::function<void(part_id)> aOnRefusedPart)
  : mImplementation(std::make_unique<implementation>(aContext,
                                                     aSettings,
                                                     std::move(aClient),
                                                     std::move(aOnCommand),
                                                     std::move(aOnDemand),
                                                     std::move(aOnEvidence),
                                                     std::move(aOnLoads),
                                                     std::move(aOnStarts),
                                                     std::move(aOnRefusedPart)))
{
}

request_runner::~request_runner() = default;

void
request_runner::SetView(const traffic_view& aView)
{
  mImplementation->SetView(aView);
}

void
request_runner::Start(routed_request aRequest)
{
  mImplementation->Start(std::move(aRequest));
}

void
request_runner::HandleEvidence(const quarantine::evidence& aEvidence)
{
  mImplementation->HandleEvidence(aEvidence);
}

quarantine_counts
request_runner::Quarantine() const
{
  return mImplementation->Quarantine();
}

void
request_runner::HandleLoads(const std::vector<room::load_row>& aLoads)
{
  mImplementation->HandleLoads(aLoads);
}

load_counts
request_runner::Loads() const
{
  return mImplementation->Loads();
}

void
request_runner::RunSoon()
{
  mImplementation->RunSoon();
}

void
request_runner::SetStop(const stop_plan& aPlan)
{
  mImplementation->SetStop(aPlan);
}

void
request_runner::WhenIdle(std::function<void()> aOnIdle)
{
  mImplementation->WhenIdle(std::move(aOnIdle));
}

std::size_t
request_runner::OpenRequests() const
{
  return mImplementation->OpenRequests();
}

} // namespace bulrush::entry
