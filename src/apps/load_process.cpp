#include "apps/load_process.hpp"

#include "observe/observe.hpp"
#include "json/json.hpp"

#include <set>

namespace bulrush::load {
namespace {

using nlohmann::json;

constexpr log_component kLog{ "load" };
constexpr std::chrono::milliseconds kProbeInterval{ 250 };
constexpr std::chrono::milliseconds kProbeTimeout{ 1'000 };
constexpr std::chrono::milliseconds kReadyTimeout{ 15'000 };
constexpr std::chrono::milliseconds kRepeatDelay{ 500 };
constexpr std::chrono::seconds kTimeoutMargin{ 5 };
constexpr std::uint32_t kMaxTries = 8;
/// Of one answer. Equals the most that an entry host buffers for its caller.
constexpr std::size_t kMaxAnswerBytes = 33'554'432;

// The phases of an experiment, in order.
enum class load_phase
{
  eQuerying, ///< endpoints are queried for their counts
  eWaiting,  ///< until all entry hosts are ready or a timeout
  eSending,
  eDraining,
  eQueryingAgain,
  eDone
};

endpoint_totals&
AddStats(endpoint_totals& aTotals, const std::string& aBody)
{
  last_reason reason;
  const auto parsed = ParseJson(aBody, reason);
  if (!parsed || !parsed->is_object()) {
    return aTotals;
  }
  const json& stats = *parsed;
  ++aTotals.endpoints;
  aTotals.orders += stats.value("orders", std::uint64_t{ 0 });
  aTotals.keysSeen += stats.value("keys_seen", std::uint64_t{ 0 });
  const bool isOvercommitted = stats.value("memory_peak", std::uint64_t{ 0 }) >
                               stats.value("memory_bytes", std::uint64_t{ 0 });
  aTotals.overcommitted += isOvercommitted ? 1 : 0;
  const json runs = stats.value("runs_by_tag", json::object());
  for (const auto& [tag, count] : runs.items()) {
    aTotals.runsByTag[tag] += count.get<std::uint64_t>();
  }
  return aTotals;
}

} // namespace

class load_process::implementation
{
public:
  implementation(asio::io_context& aContext,
                 const load_plan& aPlan,
                 load_settings aSettings,
                 done_hook aOnDone)
    : mPlan(aPlan)
    , mSettings(std::move(aSettings))
    , mOnDone(std::move(aOnDone))
    , mRequests(PlanRequests(aPlan))
    , mRandom(aPlan.seed)
    , mClient(net::MakeHttpClient(aContext))
    , mTimer(aContext, [this](steady_time aNow) { return Tick(aNow); })
  {
    for (const std::string& address : mSettings.entries) {
      mEntries.Insert({ IdOf<host_id>(address), address, false, 0 });
    }
  }

  void Start()
  {
    mPhaseSince = std::chrono::steady_clock::now();
    QueryStats(mBefore);
    mTimer.RunSoon();
  }

  void Stop()
  {
    mReport.isInterrupted = true;
    mNextRequest = mRequests.size();
    mTimer.RunSoon();
  }

private:
  wake_time Tick(steady_time aNow)
  {
    wake_time wake;
    if (mPhase == load_phase::eDone) {
      return wake;
    }
    Probe(aNow, wake);
    Advance(aNow, wake);
    if (mPhase == load_phase::eSending) {
      SendDueRequests(aNow, wake);
    }
    SendDueRepeats(aNow, wake);
    return wake;
  }

  // ------------------------------------------------------------- phases

  void Enter(load_phase aPhase, steady_time aNow)
  {
    mPhase = aPhase;
    mPhaseSince = aNow;
    mTimer.RunSoon();
  }

  void Advance(steady_time aNow, wake_time& aWake)
  {
    switch (mPhase) {
      case load_phase::eQuerying:
        if (mPendingStats == 0) {
          Enter(load_phase::eWaiting, aNow);
        }
        break;
      case load_phase::eWaiting:
        AdvanceWaiting(aNow, aWake);
        break;
      case load_phase::eSending:
        if (mNextRequest == mRequests.size()) {
          Enter(load_phase::eDraining, aNow);
        }
        break;
      case load_phase::eDraining:
        AdvanceDraining(aNow, aWake);
        break;
      case load_phase::eQueryingAgain:
        if (mPendingStats == 0) {
          Finish();
        }
        break;
      case load_phase::eDone:
        break;
    }
  }

  void AdvanceWaiting(steady_time aNow, wake_time& aWake)
  {
    const bool areReady =
      std::all_of(mEntries.begin(), mEntries.end(), [](const entry_row& aRow) {
        return aRow.isReady;
      });
    const steady_time deadline = mPhaseSince + kReadyTimeout;
    if (!areReady && aNow < deadline) {
      aWake.NoLaterThan(deadline);
      return;
    }
    if (!areReady) {
      LogWarning(kLog,
                 "not all entry hosts became ready in time; sending anyway");
    }
    LogInfo(kLog, "sends {} requests", mRequests.size());
    mStart = aNow;
    Enter(load_phase::eSending, aNow);
  }

  void AdvanceDraining(steady_time aNow, wake_time& aWake)
  {
    const steady_time deadline = mPhaseSince + mSettings.drain;
    const bool isIdle = mInFlight.Empty() && mRepeats.empty();
    if (!isIdle && aNow < deadline) {
      aWake.NoLaterThan(deadline);
      return;
    }
    AbandonRequests();
    Enter(load_phase::eQueryingAgain, aNow);
    QueryStats(mAfter);
  }

  // Requests that have not ended by now are recorded as broken.
  void AbandonRequests()
  {
    for (const in_flight_row& request : mInFlight) {
      mClient->Cancel(request.call);
      Record(request, load_outcome::eBroken, "no_end");
    }
    for (const auto& [at, request] : mRepeats) {
      Record(request, load_outcome::eBroken, "no_end");
    }
    mInFlight.Clear();
    mRepeats.clear();
  }

  void Finish()
  {
    mPhase = load_phase::eDone;
    mReport.orders = mAfter.orders - std::min(mAfter.orders, mBefore.orders);
    mReport.keysSeen = mAfter.keysSeen;
    mReport.overcommitted = mAfter.overcommitted;
    for (const auto& [tag, count] : mAfter.runsByTag) {
      mReport.duplicatedCalls += mTags.contains(tag) && count > 1 ? 1 : 0;
    }
    mOnDone(mReport);
  }

  // ------------------------------------------------------------- probes

  // Like a load balancer, probes hosts periodically and prefers the ready ones.
  void Probe(steady_time aNow, wake_time& aWake)
  {
    if (aNow >= mNextProbe) {
      mNextProbe = aNow + kProbeInterval;
      for (const entry_row& entry : mEntries) {
        ProbeEntry(entry.id, entry.address);
      }
    }
    aWake.NoLaterThan(mNextProbe);
  }

  void ProbeEntry(host_id aEntry, const std::string& aAddress)
  {
    net::http_call call;
    call.method = "GET";
    call.url = "http://" + aAddress + "/readyz";
    call.timeout = kProbeTimeout;
    call.connectTimeout = kProbeTimeout;
    call.maxBodyBytes = kMaxAnswerBytes;
    auto onEnd = [this, aEntry](const net::http_call_end& aEnd) {
      constexpr int kOk = 200;
      mEntries.Find(aEntry)->isReady = aEnd.isComplete && aEnd.status == kOk;
      mTimer.RunSoon();
    };
    mClient->Start(std::move(call), { {}, {}, std::move(onEnd) });
  }

  void QueryStats(endpoint_totals& aTotals)
  {
    for (const std::string& address : mSettings.endpoints) {
      ++mPendingStats;
      net::http_call call;
      call.method = "GET";
      call.url = "http://" + address + "/stats";
      call.timeout = kProbeTimeout;
      call.maxBodyBytes = kMaxAnswerBytes;
      auto body = std::make_shared<std::string>();
      mClient->Start(std::move(call),
                     { {},
                       [body](std::string_view aBytes) { *body += aBytes; },
                       [this, body, &aTotals](const net::http_call_end&) {
                         AddStats(aTotals, *body);
                         --mPendingStats;
                         mTimer.RunSoon();
                       } });
    }
    mTimer.RunSoon();
  }

  // ------------------------------------------------------------- requests

  void SendDueRequests(steady_time aNow, wake_time& aWake)
  {
    while (mNextRequest < mRequests.size() &&
           mStart + mRequests[mNextRequest].at <= aNow) {
      in_flight_row request;
      request.id = mRequests[mNextRequest].id;
      request.planned = mRequests[mNextRequest];
      Send(std::move(request), aNow);
      ++mNextRequest;
    }
    if (mNextRequest < mRequests.size()) {
      aWake.NoLaterThan(mStart + mRequests[mNextRequest].at);
    } else {
      mTimer.RunSoon();
    }
  }

  void SendDueRepeats(steady_time aNow, wake_time& aWake)
  {
    while (!mRepeats.empty() && mRepeats.begin()->first <= aNow) {
      in_flight_row request = std::move(mRepeats.begin()->second);
      mRepeats.erase(mRepeats.begin());
      Send(std::move(request), aNow);
    }
    if (!mRepeats.empty()) {
      aWake.NoLaterThan(mRepeats.begin()->first);
    }
  }

  const load_target& TargetOf(const in_flight_row& aRequest) const
  {
    return *mPlan.targets.Find(aRequest.planned.target);
  }

  // The ready host with the fewest requests sent; if none is ready, any host
  // with the fewest.
  entry_row& ChooseEntry()
  {
    entry_row* best = &mEntries.Rows().front();
    for (entry_row& entry : mEntries) {
      const bool isBetter =
        (entry.isReady && !best->isReady) ||
        (entry.isReady == best->isReady && entry.sent < best->sent);
      if (isBetter) {
        best = &entry;
      }
    }
    return *best;
  }

  bool ChooseDirect(const in_flight_row& aRequest)
  {
    constexpr std::uint64_t kResolution = 1'000'000;
    const bool isPossible = !mSettings.direct.empty() &&
                            !TargetOf(aRequest).isRoute &&
                            aRequest.planned.isStream;
    const auto limit =
      static_cast<std::uint64_t>(mSettings.directShare * kResolution);
    return isPossible && mRandom() % kResolution < limit;
  }

  void Send(in_flight_row aRequest, steady_time aNow)
  {
    if (aRequest.tries == 0) {
      aRequest.sentAt = aNow;
      aRequest.isDirect = ChooseDirect(aRequest);
    }
    ++aRequest.tries;
    aRequest.reader =
      answer_reader({ aRequest.planned.isStream && !TargetOf(aRequest).isRoute,
                      TargetOf(aRequest).isRoute,
                      aRequest.planned.outputTokens,
                      mSettings.countsTokens });
    net::http_call call = MakeCall(aRequest);
    const request_id id = aRequest.id;
    mInFlight.Insert(std::move(aRequest));
    const auto number = mClient->Start(
      std::move(call),
      { [this, id](const net::http_answer_head& aHead) {
         mInFlight.Find(id)->reader.HandleStatus(aHead.status);
       },
        [this, id](std::string_view aBytes) { HandleBytes(id, aBytes); },
        [this, id](const net::http_call_end& aEnd) { End(id, aEnd); } });
    mInFlight.Find(id)->call = number;
  }

  net::http_call MakeCall(in_flight_row& aRequest)
  {
    const load_target& target = TargetOf(aRequest);
    net::http_call call;
    call.fields = { { "Content-Type", "application/json" } };
    call.body = FormatBody(mPlan, aRequest.planned, TagOf(aRequest));
    call.timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
      target.deadline + kTimeoutMargin);
    call.maxBodyBytes = kMaxAnswerBytes;
    const std::string path =
      target.isRoute ? target.name : std::string("/v1/chat/completions");
    if (aRequest.isDirect) {
      const auto& direct = mSettings.direct;
      call.url = "http://" + direct[aRequest.id.value % direct.size()] + path;
      call.fields.push_back(
        { "Bulrush-Attempt", "direct-" + std::to_string(aRequest.id.value) });
      return call;
    }
    entry_row& entry = ChooseEntry();
    ++entry.sent;
    aRequest.entry = entry.id;
    call.url = "http://" + entry.address + path;
    const auto key = mSettings.keys.find(aRequest.planned.workspace);
    if (key != mSettings.keys.end()) {
      call.fields.push_back({ "Authorization", "Bearer " + key->second });
    }
    if (!target.isIdempotent) {
      mTags.insert(TagOf(aRequest));
      call.freshConnection = true;
      call.fields.push_back({ "Idempotency-Key", TagOf(aRequest) });
    }
    return call;
  }

  // Unique across experiments, so that a second run is not taken for a resend
  // of the first.
  std::string TagOf(const in_flight_row& aRequest) const
  {
    return mSettings.runName + "-" + std::to_string(aRequest.id.value);
  }

  void HandleBytes(request_id aId, std::string_view aBytes)
  {
    in_flight_row& request = *mInFlight.Find(aId);
    request.reader.HandleBytes(aBytes);
    if (request.firstTokenAt == steady_time{} && request.reader.Tokens() > 0) {
      request.firstTokenAt = std::chrono::steady_clock::now();
    }
  }

  void End(request_id aId, const net::http_call_end& aEnd)
  {
    in_flight_row request = *mInFlight.Find(aId);
    mInFlight.Erase(aId);
    const steady_time now = std::chrono::steady_clock::now();
    const load_outcome outcome = request.reader.Finish(aEnd.isComplete);
    if (!aEnd.isComplete) {
      MarkUnready(request);
    }
    if (IsResendable(request, outcome, aEnd)) {
      ++mReport.resent;
      Send(std::move(request), now);
    } else if (IsRepeatable(request, outcome)) {
      ++mReport.repeated;
      mRepeats.emplace(now + kRepeatDelay, std::move(request));
    } else {
      const std::string code =
        aEnd.isComplete ? request.reader.Code() : std::string("no_answer");
      Record(request, outcome, code);
    }
    mTimer.RunSoon();
  }

  // A load balancer treats a failed connection like a failed probe.
  void MarkUnready(const in_flight_row& aRequest)
  {
    if (entry_row* entry = mEntries.Find(aRequest.entry)) {
      entry->isReady = false;
    }
  }

  // No byte was sent, so it is safe to send the request to another host.
  bool IsResendable(const in_flight_row& aRequest,
                    load_outcome aOutcome,
                    const net::http_call_end& aEnd) const
  {
    return aOutcome == load_outcome::eBroken && !aEnd.requestSent &&
           aRequest.tries < kMaxTries && aRequest.entry;
  }

  // A caller repeats a non-idempotent call with the same idempotency key until
  // it knows the outcome.
  bool IsRepeatable(const in_flight_row& aRequest, load_outcome aOutcome) const
  {
    const bool isUnknown = aOutcome == load_outcome::eBroken ||
                           aRequest.reader.Code() == "in_progress";
    return !TargetOf(aRequest).isIdempotent && isUnknown &&
           aRequest.tries < kMaxTries;
  }

  void Record(const in_flight_row& aRequest,
              load_outcome aOutcome,
              const std::string& aCode)
  {
    result_row row;
    row.id = aRequest.id;
    row.planned = aRequest.planned;
    row.outcome = aOutcome;
    row.status = aRequest.reader.Status();
    row.code = aCode;
    row.sentAt = aRequest.sentAt - mStart;
    row.endedAt = std::chrono::steady_clock::now() - mStart;
    row.tokens = aRequest.reader.Tokens();
    row.isDirect = aRequest.isDirect;
    if (aRequest.firstTokenAt != steady_time{}) {
      row.firstTokenAt = aRequest.firstTokenAt - mStart;
    }
    if (aOutcome == load_outcome::eWrong) {
      LogError(kLog,
               "request {}: wrong answer, status {}",
               aRequest.id.value,
               row.status);
    }
    mReport.results.Insert(std::move(row));
  }

  const load_plan& mPlan;
  load_settings mSettings;
  done_hook mOnDone;
  std::vector<planned_request> mRequests;
  random_engine mRandom;
  std::unique_ptr<net::http_client> mClient;
  net::tick_timer mTimer;
  table<host_id, entry_row> mEntries;
  table<request_id, in_flight_row> mInFlight;
  std::multimap<steady_time, in_flight_row> mRepeats;
  std::set<std::string> mTags;
  endpoint_totals mBefore;
  endpoint_totals mAfter;
  load_report mReport;
  load_phase mPhase = load_phase::eQuerying;
  steady_time mPhaseSince{};
  steady_time mStart{};
  steady_time mNextProbe{};
  std::size_t mNextRequest = 0;
  std::size_t mPendingStats = 0;
};

load_process::load_process(asio::io_context& aContext,
                           const load_plan& aPlan,
                           load_settings aSettings,
                           done_hook aOnDone)
  : mImplementation(std::make_unique<implementation>(aContext,
                                                     aPlan,
                                                     std::move(aSettings),
                                                     std::move(aOnDone)))
{
}

load_process::~load_process() = default;

void
load_process::Start()
{
  mImplementation->Start();
}

void
load_process::Stop()
{
  mImplementation->Stop();
}

} // namespace bulrush::load
