#include "apps/load_process.hpp"

#include "observe/observe.hpp"

#include <nlohmann/json.hpp>

#include <set>

namespace bulrush::load {
namespace {

using nlohmann::json;

constexpr log_part kLog{ "load" };
constexpr std::chrono::milliseconds kProbeEvery{ 250 };
constexpr std::chrono::milliseconds kProbeTimeout{ 1'000 };
constexpr std::chrono::milliseconds kReadyTimeout{ 15'000 };
constexpr std::chrono::milliseconds kRepeatAfter{ 500 };
constexpr std::chrono::seconds kBeyondDeadline{ 5 };
constexpr std::uint32_t kMostTries = 8;

// The experiment's course.
enum class load_phase
{
  eCounting, ///< endpoints are asked what they ran before
  eWaiting,  ///< for a ready entry host
  eSending,
  eDraining,
  eCountingAgain,
  eDone
};

endpoint_totals&
AddStats(endpoint_totals& aTotals, const std::string& aBody)
{
  const json stats = json::parse(aBody, nullptr, false);
  if (!stats.is_object()) {
    return aTotals;
  }
  ++aTotals.asked;
  aTotals.orders += stats.value("orders", std::uint64_t{ 0 });
  aTotals.keysSeen += stats.value("keys_seen", std::uint64_t{ 0 });
  const bool isOver = stats.value("memory_peak", std::uint64_t{ 0 }) >
                      stats.value("memory_bytes", std::uint64_t{ 0 });
  aTotals.overcommitted += isOver ? 1 : 0;
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
    CountRuns(mBefore);
    mTimer.RunSoon();
  }

  void Stop()
  {
    mReport.isCutShort = true;
    mNext = mRequests.size();
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
      SendDue(aNow, wake);
    }
    RepeatDue(aNow, wake);
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
      case load_phase::eCounting:
        if (mCounting == 0) {
          Enter(load_phase::eWaiting, aNow);
        }
        break;
      case load_phase::eWaiting:
        AdvanceWaiting(aNow, aWake);
        break;
      case load_phase::eSending:
        if (mNext == mRequests.size()) {
          Enter(load_phase::eDraining, aNow);
        }
        break;
      case load_phase::eDraining:
        AdvanceDraining(aNow, aWake);
        break;
      case load_phase::eCountingAgain:
        if (mCounting == 0) {
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
    const steady_time latest = mPhaseSince + kReadyTimeout;
    if (!areReady && aNow < latest) {
      aWake.NoLaterThan(latest);
      return;
    }
    if (!areReady) {
      LogWarning(kLog, "starts although not every entry host is ready");
    }
    LogInfo(kLog, "sends {} requests", mRequests.size());
    mStart = aNow;
    Enter(load_phase::eSending, aNow);
  }

  void AdvanceDraining(steady_time aNow, wake_time& aWake)
  {
    const steady_time latest = mPhaseSince + mSettings.drain;
    const bool isIdle = mFlights.Empty() && mRepeats.empty();
    if (!isIdle && aNow < latest) {
      aWake.NoLaterThan(latest);
      return;
    }
    AbandonFlights();
    Enter(load_phase::eCountingAgain, aNow);
    CountRuns(mAfter);
  }

  // What has not ended by now is broken for its caller.
  void AbandonFlights()
  {
    for (const flight_row& flight : mFlights) {
      mClient->Cancel(flight.call);
      Record(flight, load_outcome::eBroken, "no_end");
    }
    for (const auto& [at, flight] : mRepeats) {
      Record(flight, load_outcome::eBroken, "no_end");
    }
    mFlights.Clear();
    mRepeats.clear();
  }

  void Finish()
  {
    mPhase = load_phase::eDone;
    mReport.orders = mAfter.orders - std::min(mAfter.orders, mBefore.orders);
    mReport.keysSeen = mAfter.keysSeen;
    mReport.overcommitted = mAfter.overcommitted;
    for (const auto& [tag, count] : mAfter.runsByTag) {
      mReport.doubledCalls += mTags.contains(tag) && count > 1 ? 1 : 0;
    }
    mOnDone(mReport);
  }

  // ------------------------------------------------------------- probes

  // As a balancer does: a host is asked on and on, and gets work when ready.
  void Probe(steady_time aNow, wake_time& aWake)
  {
    if (aNow >= mNextProbe) {
      mNextProbe = aNow + kProbeEvery;
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
    auto onEnd = [this, aEntry](const net::http_call_end& aEnd) {
      constexpr int kOk = 200;
      mEntries.Find(aEntry)->isReady = aEnd.whole && aEnd.status == kOk;
      mTimer.RunSoon();
    };
    mClient->Start(std::move(call), { {}, {}, std::move(onEnd) });
  }

  void CountRuns(endpoint_totals& aTotals)
  {
    for (const std::string& address : mSettings.endpoints) {
      ++mCounting;
      net::http_call call;
      call.method = "GET";
      call.url = "http://" + address + "/stats";
      call.timeout = kProbeTimeout;
      auto body = std::make_shared<std::string>();
      mClient->Start(std::move(call),
                     { {},
                       [body](std::string_view aBytes) { *body += aBytes; },
                       [this, body, &aTotals](const net::http_call_end&) {
                         AddStats(aTotals, *body);
                         --mCounting;
                         mTimer.RunSoon();
                       } });
    }
    mTimer.RunSoon();
  }

  // ------------------------------------------------------------- requests

  void SendDue(steady_time aNow, wake_time& aWake)
  {
    while (mNext < mRequests.size() && mStart + mRequests[mNext].at <= aNow) {
      flight_row flight;
      flight.id = mRequests[mNext].id;
      flight.planned = mRequests[mNext];
      Send(std::move(flight), aNow);
      ++mNext;
    }
    if (mNext < mRequests.size()) {
      aWake.NoLaterThan(mStart + mRequests[mNext].at);
    } else {
      mTimer.RunSoon();
    }
  }

  void RepeatDue(steady_time aNow, wake_time& aWake)
  {
    while (!mRepeats.empty() && mRepeats.begin()->first <= aNow) {
      flight_row flight = std::move(mRepeats.begin()->second);
      mRepeats.erase(mRepeats.begin());
      Send(std::move(flight), aNow);
    }
    if (!mRepeats.empty()) {
      aWake.NoLaterThan(mRepeats.begin()->first);
    }
  }

  const load_target& TargetOf(const flight_row& aFlight) const
  {
    return *mPlan.targets.Find(aFlight.planned.target);
  }

  // The ready host that was sent least; any host if none is ready.
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

  bool DrawDirect(const flight_row& aFlight)
  {
    constexpr std::uint64_t kParts = 1'000'000;
    const bool isPossible = !mSettings.direct.empty() &&
                            !TargetOf(aFlight).isRoute &&
                            aFlight.planned.isStream;
    const auto limit =
      static_cast<std::uint64_t>(mSettings.directShare * kParts);
    return isPossible && mRandom() % kParts < limit;
  }

  void Send(flight_row aFlight, steady_time aNow)
  {
    if (aFlight.tries == 0) {
      aFlight.sentAt = aNow;
      aFlight.isDirect = DrawDirect(aFlight);
    }
    ++aFlight.tries;
    aFlight.reader =
      answer_reader({ aFlight.planned.isStream && !TargetOf(aFlight).isRoute,
                      TargetOf(aFlight).isRoute,
                      aFlight.planned.outputTokens,
                      mSettings.countsTokens });
    net::http_call call = MakeCall(aFlight);
    const request_id id = aFlight.id;
    mFlights.Insert(std::move(aFlight));
    const auto number = mClient->Start(
      std::move(call),
      { [this, id](int aStatus, const std::vector<net::http_field>&) {
         mFlights.Find(id)->reader.TakeStatus(aStatus);
       },
        [this, id](std::string_view aBytes) { TakeBytes(id, aBytes); },
        [this, id](const net::http_call_end& aEnd) { End(id, aEnd); } });
    mFlights.Find(id)->call = number;
  }

  net::http_call MakeCall(flight_row& aFlight)
  {
    const load_target& target = TargetOf(aFlight);
    net::http_call call;
    call.fields = { { "Content-Type", "application/json" } };
    call.body = FormatBody(mPlan, aFlight.planned, TagOf(aFlight));
    call.timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
      target.deadline + kBeyondDeadline);
    const std::string path =
      target.isRoute ? target.name : std::string("/v1/chat/completions");
    if (aFlight.isDirect) {
      const auto& direct = mSettings.direct;
      call.url = "http://" + direct[aFlight.id.value % direct.size()] + path;
      call.fields.push_back(
        { "Bulrush-Attempt", "direct-" + std::to_string(aFlight.id.value) });
      return call;
    }
    entry_row& entry = ChooseEntry();
    ++entry.sent;
    aFlight.entry = entry.id;
    call.url = "http://" + entry.address + path;
    const auto key = mSettings.keys.find(aFlight.planned.workspace);
    if (key != mSettings.keys.end()) {
      call.fields.push_back({ "Authorization", "Bearer " + key->second });
    }
    if (!target.isIdempotent) {
      mTags.insert(TagOf(aFlight));
      call.freshConnection = true;
      call.fields.push_back({ "Idempotency-Key", TagOf(aFlight) });
    }
    return call;
  }

  // Unlike any other experiment's, so a second run is no resend of the first.
  std::string TagOf(const flight_row& aFlight) const
  {
    return mSettings.runName + "-" + std::to_string(aFlight.id.value);
  }

  void TakeBytes(request_id aId, std::string_view aBytes)
  {
    flight_row& flight = *mFlights.Find(aId);
    flight.reader.TakeBytes(aBytes);
    if (flight.firstTokenAt == steady_time{} && flight.reader.Tokens() > 0) {
      flight.firstTokenAt = std::chrono::steady_clock::now();
    }
  }

  void End(request_id aId, const net::http_call_end& aEnd)
  {
    flight_row flight = *mFlights.Find(aId);
    mFlights.Erase(aId);
    const steady_time now = std::chrono::steady_clock::now();
    const load_outcome outcome = flight.reader.Finish(aEnd.whole);
    if (!aEnd.whole) {
      NoteLoss(flight);
    }
    if (IsResendable(flight, outcome, aEnd)) {
      ++mReport.resent;
      Send(std::move(flight), now);
    } else if (IsRepeatable(flight, outcome)) {
      ++mReport.repeated;
      mRepeats.emplace(now + kRepeatAfter, std::move(flight));
    } else {
      const std::string code =
        aEnd.whole ? flight.reader.Code() : std::string("no_answer");
      Record(flight, outcome, code);
    }
    mTimer.RunSoon();
  }

  // A balancer learns from a failed connection before its next probe.
  void NoteLoss(const flight_row& aFlight)
  {
    if (entry_row* entry = mEntries.Find(aFlight.entry)) {
      entry->isReady = false;
    }
  }

  // Nothing was sent, so the balancer may turn to the next host.
  bool IsResendable(const flight_row& aFlight,
                    load_outcome aOutcome,
                    const net::http_call_end& aEnd) const
  {
    return aOutcome == load_outcome::eBroken && !aEnd.anySent &&
           aFlight.tries < kMostTries && aFlight.entry;
  }

  // A caller repeats a call that may not run twice under the same idempotency
  // key until it knows the outcome.
  bool IsRepeatable(const flight_row& aFlight, load_outcome aOutcome) const
  {
    const bool isUnknown = aOutcome == load_outcome::eBroken ||
                           aFlight.reader.Code() == "in_progress";
    return !TargetOf(aFlight).isIdempotent && isUnknown &&
           aFlight.tries < kMostTries;
  }

  void Record(const flight_row& aFlight,
              load_outcome aOutcome,
              const std::string& aCode)
  {
    result_row row;
    row.id = aFlight.id;
    row.planned = aFlight.planned;
    row.outcome = aOutcome;
    row.status = aFlight.reader.Status();
    row.code = aCode;
    row.sentAt = aFlight.sentAt - mStart;
    row.endedAt = std::chrono::steady_clock::now() - mStart;
    row.tokens = aFlight.reader.Tokens();
    row.isDirect = aFlight.isDirect;
    if (aFlight.firstTokenAt != steady_time{}) {
      row.firstTokenAt = aFlight.firstTokenAt - mStart;
    }
    if (aOutcome == load_outcome::eWrong) {
      LogError(kLog,
               "request {} got a wrong answer, status {}",
               aFlight.id.value,
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
  table<request_id, flight_row> mFlights;
  std::multimap<steady_time, flight_row> mRepeats;
  std::set<std::string> mTags;
  endpoint_totals mBefore;
  endpoint_totals mAfter;
  load_report mReport;
  load_phase mPhase = load_phase::eCounting;
  steady_time mPhaseSince{};
  steady_time mStart{};
  steady_time mNextProbe{};
  std::size_t mNext = 0;
  std::size_t mCounting = 0;
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
