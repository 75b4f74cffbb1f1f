#include "duties/duties.hpp"
#include "entry/options.hpp"
#include "entry/read_controls.hpp"
#include "entry/request_log.hpp"
#include "entry/traffic.hpp"
#include "observe/observe.hpp"
#include "program/program.hpp"
#include "settings/settings.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <csignal>
#include <thread>

namespace bulrush::entry {
namespace {

constexpr log_component kLog{ "entry" };
/// A balancer and a few operators.
constexpr std::size_t kMaxPageConnections = 256;

/// A report and its repetition are answered within it.
constexpr std::chrono::milliseconds kLastUsageTime{ 700 };

// State and links of the control thread.
class control_thread
{
public:
  control_thread(asio::io_context& aContext,
                 const option_values& aOptions,
                 std::function<void(traffic_view)> aPublish,
                 std::function<void(admission::grant)> aOnGrant,
                 std::function<void(rates::quota_grant)> aOnQuotaGrant,
                 evidence_hook aOnEvidence,
                 load_hook aOnLoads,
                 read_controls_hook aReadSeeds)
    : mContext(aContext)
    , mPublish(std::move(aPublish))
    , mOnGrant(std::move(aOnGrant))
    , mOnQuotaGrant(std::move(aOnQuotaGrant))
    , mOnEvidence(std::move(aOnEvidence))
    , mOnLoads(std::move(aOnLoads))
    , mReadSeeds(std::move(aReadSeeds))
    , mTimer(aContext, [this](steady_time aNow) { return Tick(aNow); })
  {
    mTables.self.name = aOptions.Text("name");
    mTables.self.domain = aOptions.Text("domain");
    mTables.spreadsReports = aOptions.IsSet("seeds");
    mTables.confirmationWait = aOptions.Duration("confirmation-wait");
    mTables.self.incarnation = static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count());
    mTables.wallClock = [] { return std::chrono::system_clock::now(); };
    if (duties::SelectDuties(aOptions.List("duties")).hasUsageReports &&
        aOptions.Duration("usage-window").count() > 0) {
      mTables.usage.emplace();
      mTables.usage->incarnation = mTables.self.incarnation;
      mTables.usage->startedAt = net::Now();
    }
    // No report or command has the number of one of an earlier process, whose
    // answer may still arrive.
    mTables.lastReport = mTables.self.incarnation;
    mTables.lastCall = mTables.self.incarnation;
    mTables.canSend = [this](const control_row& aControl) {
      const auto link = mLinks.find(aControl.address);
      return link != mLinks.end() && link->second->CanSend();
    };
  }

  entry_tables& Tables() { return mTables; }

  void SetLinkKeys(net::link_keys aKeys) { mLinkKeys = std::move(aKeys); }

  bool Connect(const wire::control_address& aControl,
               bool aIsFound,
               last_reason& aReason)
  {
    if (mLinks.contains(aControl.address)) {
      return true;
    }
    control_row row;
    row.id = IdOf<replica_id>(aControl.name);
    row.address = aControl.address;
    row.preference = mTables.controls.Size();
    row.isFound = aIsFound;
    row.listedAt = net::Now();
    auto link = net::ConnectLink(
      mContext,
      row.address,
      mTables.self.name,
      mLinkKeys,
      [this](const std::string& aBytes) { Receive(aBytes); },
      aReason);
    if (!link) {
      return false;
    }
    mLinks.emplace(row.address, std::move(*link));
    mTables.controls.Insert(row);
    return true;
  }

  void RunSoon() { mTimer.RunSoon(); }

  void SendRenewal(admission::renewal aRenewal)
  {
    mTables.renewals.push_back(std::move(aRenewal));
    mTimer.RunSoon();
  }

  void SendDemand(std::vector<wire::model_demand> aDemand)
  {
    mTables.demand.insert(mTables.demand.end(), aDemand.begin(), aDemand.end());
    mTimer.RunSoon();
  }

  void SendQuotaRequest(rates::quota_request aRequest)
  {
    mTables.quotaRequests.push_back(std::move(aRequest));
    mTimer.RunSoon();
  }

  void RecordStarts(const std::vector<request_start>& aStarts)
  {
    mTables.starts.insert(mTables.starts.end(), aStarts.begin(), aStarts.end());
    mTimer.RunSoon();
  }

  void HandleEvidence(const quarantine::evidence& aEvidence)
  {
    entry::HandleEvidence(mTables, aEvidence, net::Now());
    mTimer.RunSoon();
  }

  void HandleLoads(const std::vector<room::load_row>& aLoads)
  {
    entry::HandleLoads(mTables, aLoads, net::Now());
    mTimer.RunSoon();
  }

  void ReadSeedsSoon()
  {
    mTables.hasNewSeeds = true;
    mTimer.RunSoon();
  }

  void BeginStop()
  {
    mTables.isStopping = true;
    mTables.nextReport = steady_time{}; // report at once
    mTimer.RunSoon();
  }

  /// Calls aOnSettled once, as soon as each command has its reply and the usage
  /// that was counted is acknowledged.
  void WhenSettled(std::function<void()> aOnSettled)
  {
    mUsageEndsBy = net::Now() + kLastUsageTime;
    mTables.closesUsage = true;
    mOnSettled = std::move(aOnSettled);
    mTimer.RunSoon();
  }

  std::size_t OpenCommands() const { return mTables.commands.Size(); }

  void HandleReport(endpoint_row aRow)
  {
    mTables.reports.push_back(std::move(aRow));
    mTimer.RunSoon();
  }

  void Submit(fleet_command aCommand,
              steady_time aDeadline,
              command_hook aOnReply)
  {
    pending_command row;
    row.id = call_id{ ++mTables.lastCall };
    row.command = std::move(aCommand);
    row.onReply = std::move(aOnReply);
    row.deadline = aDeadline;
    mTables.commands.Insert(std::move(row));
    mTimer.RunSoon();
  }

private:
  void Receive(const std::string& aBytes)
  {
    last_reason reason;
    auto message = wire::Decode(aBytes, net::Now(), reason);
    if (!message) {
      LogWarning(
        kLog, "Dropped a message that cannot be decoded: {}", Describe(reason));
      return;
    }
    mTables.inbox.push_back(std::move(*message));
    mTimer.RunSoon();
  }

  void ReadSeeds(steady_time aNow, entry_outbox& aOutbox)
  {
    last_reason reason;
    const auto seeds = mReadSeeds(reason);
    if (seeds) {
      HandleSeeds(mTables, *seeds, aNow, aOutbox);
    } else {
      LogWarning(kLog, "Cannot read the seeds again: {}", Describe(reason));
    }
  }

  void ConnectAll(const std::vector<wire::control_address>& aControls,
                  bool aIsFound)
  {
    for (const wire::control_address& control : aControls) {
      last_reason reason;
      if (!Connect(control, aIsFound, reason)) {
        LogWarning(kLog,
                   "Cannot connect to control process {} at {}: {}",
                   control.name,
                   control.address,
                   Describe(reason));
      }
    }
  }

  wake_time Tick(steady_time aNow)
  {
    entry_outbox outbox;
    RunEntryControl(mTables, aNow, outbox);
    for (const std::string& address : outbox.lostLinks) {
      mLinks.erase(address);
    }
    if (outbox.readsSeeds) {
      ReadSeeds(aNow, outbox);
    }
    ConnectAll(outbox.links, true);
    ConnectAll(outbox.seedLinks, false);
    for (outgoing& out : outbox.messages) {
      const auto link = mLinks.find(out.controlAddress);
      link->second->Send(wire::Encode(
        { mTables.self.name, mTables.self.incarnation, std::move(out.body) },
        aNow));
    }
    for (const auto& [hook, reply] : outbox.replies) {
      hook(reply);
    }
    if (outbox.view) {
      mPublish(std::move(*outbox.view));
    }
    for (admission::grant& next : outbox.grants) {
      mOnGrant(std::move(next));
    }
    for (rates::quota_grant& next : outbox.quotaGrants) {
      mOnQuotaGrant(std::move(next));
    }
    for (quarantine::evidence& next : outbox.evidence) {
      mOnEvidence(std::move(next));
    }
    if (!outbox.loads.empty()) {
      mOnLoads(std::move(outbox.loads));
    }
    if (mOnSettled && aNow < mUsageEndsBy) {
      outbox.wake.NoLaterThan(mUsageEndsBy);
    }
    if (mOnSettled && mTables.commands.Empty() && IsUsageSettled(aNow)) {
      std::exchange(mOnSettled, nullptr)();
    }
    return outbox.wake;
  }

  bool IsUsageSettled(steady_time aNow) const
  {
    return !mTables.usage || aNow >= mUsageEndsBy ||
           duties::UnacknowledgedRequests(*mTables.usage) == 0;
  }

  asio::io_context& mContext;
  entry_tables mTables;
  net::link_keys mLinkKeys;
  std::function<void(traffic_view)> mPublish;
  std::function<void(admission::grant)> mOnGrant;
  std::function<void(rates::quota_grant)> mOnQuotaGrant;
  evidence_hook mOnEvidence;
  load_hook mOnLoads;
  read_controls_hook mReadSeeds;
  std::function<void()> mOnSettled; ///< set while the process stops
  steady_time mUsageEndsBy;         ///< then a stop waits for it no longer
  net::tick_timer mTimer;
  std::unordered_map<std::string, std::unique_ptr<net::link_client>> mLinks;
};

class entry_process
{
public:
  entry_process(const option_values& aOptions,
                span_writer aSpans,
                const secret_text& aEndpointSecret,
                front_end aFront,
                read_controls_hook aReadSeeds)
    : mStopDelay(aOptions.Duration("stop-delay"))
    , mStopGrace(aOptions.Duration("stop-grace"))
    , mControl(
        mControlContext,
        aOptions,
        [this](traffic_view aView) {
          asio::post(mTrafficContext,
                     [this, view = std::move(aView)]() mutable {
                       mTraffic.SetView(std::move(view));
                     });
        },
        [this](admission::grant aGrant) {
          asio::post(mTrafficContext,
                     [this, grant = std::move(aGrant)]() mutable {
                       mTraffic.HandleShareGrant(std::move(grant));
                     });
        },
        [this](rates::quota_grant aGrant) {
          asio::post(mTrafficContext,
                     [this, grant = std::move(aGrant)]() mutable {
                       mTraffic.HandleQuotaGrant(std::move(grant));
                     });
        },
        [this](quarantine::evidence aEvidence) {
          asio::post(mTrafficContext, [this, evidence = std::move(aEvidence)] {
            mTraffic.HandleEvidence(evidence);
          });
        },
        [this](std::vector<room::load_row> aLoads) {
          asio::post(mTrafficContext, [this, loads = std::move(aLoads)] {
            mTraffic.HandleLoads(loads);
          });
        },
        std::move(aReadSeeds))
    , mTraffic(mTrafficContext,
               TrafficSettings(aOptions,
                               std::move(aSpans),
                               aEndpointSecret,
                               std::move(aFront)),
               Hooks())
  {
  }

  bool Start(const option_values& aOptions, last_reason& aReason)
  {
    if (!ReadCredential(aOptions, aReason) || !mTraffic.Start(aReason)) {
      return false;
    }
    const host_address listen = *aOptions.Address("listen");
    mControl.Tables().self.httpAddress =
      FormatAddress({ listen.ip, mTraffic.Port() });
    const auto keys = ReadLinkKeys(aOptions, aReason);
    if (!keys) {
      return false;
    }
    mControl.SetLinkKeys(*keys);
    const auto controls = ReadControls(aOptions, aReason);
    if (!controls) {
      return false;
    }
    for (const wire::control_address& control : *controls) {
      if (!mControl.Connect(control, false, aReason)) {
        return false;
      }
    }
    LogInfo(kLog,
            "{} listens on {}",
            mControl.Tables().self.name,
            mControl.Tables().self.httpAddress);
    return true;
  }

  void Run()
  {
    const auto guard = asio::make_work_guard(mTrafficContext);
    std::thread traffic([this] { mTrafficContext.run(); });
    net::OnStopSignal(
      mControlContext,
      [this] { BeginStop(); },
      [] { LogInfo(kLog, "Stop signal ignored: already stopping"); });
    net::OnReloadSignal(mControlContext, [this] {
      LogInfo(kLog, "SIGHUP: reads the seeds again, and no other setting");
      mControl.ReadSeedsSoon();
    });
    mControl.ReadSeedsSoon();
    mControl.RunSoon();
    mControlContext.run();
    mTrafficContext.stop();
    traffic.join();
  }

private:
  // The host turns unready first and still accepts requests while the load
  // balancer stops sending them. After the delay new ones are refused and open
  // ones finished.
  void BeginStop()
  {
    const steady_time now = net::Now();
    const stop_plan plan = PlanStop(now, mStopDelay, mStopGrace);
    asio::post(mTrafficContext, [this, plan] { mTraffic.BeginStop(plan); });
    mControl.BeginStop();
    mStopTimer.expires_after(plan.refuseAt - now);
    mStopTimer.async_wait([this](const std::error_code&) {
      asio::post(mTrafficContext, [this] {
        mTraffic.StopWhenIdle([this] {
          asio::post(mControlContext,
                     [this] { mControl.WhenSettled([this] { EndStop(); }); });
        });
      });
    });
    mExitTimer.expires_after(plan.exitBy - now);
    mExitTimer.async_wait([this](const std::error_code&) { EndStop(); });
  }

  // The traffic thread counts what is left.
  void EndStop()
  {
    asio::post(mTrafficContext, [this] {
      asio::post(mControlContext, [this, open = mTraffic.OpenRequests()] {
        LogStopEnd(open, mControl.OpenCommands());
        mControlContext.stop();
      });
    });
  }

  // Of pages that are read without a body. They have to be served while the
  // account is full, so they are bounded by themselves.
  static std::optional<net::http_server_settings> ListenAt(
    const option_values& aOptions,
    const char* aOption)
  {
    const auto address = aOptions.Address(aOption);
    if (!address) {
      return std::nullopt;
    }
    net::http_server_settings settings;
    settings.address = address->ip;
    settings.port = address->port;
    settings.maxBodyBytes = 0;
    settings.maxConnections = kMaxPageConnections;
    return settings;
  }

  traffic_settings TrafficSettings(const option_values& aOptions,
                                   span_writer aSpans,
                                   const secret_text& aEndpointSecret,
                                   front_end aFront)
  {
    traffic_settings settings;
    settings.front = std::move(aFront);
    settings.retries = { aOptions.Decimal("retry-share"),
                         aOptions.Decimal("retry-burst") };
    settings.outflowCost = aOptions.Duration("outflow-cost");
    settings.tolerance = { aOptions.Duration("rate-window"),
                           aOptions.Decimal("rate-overage"),
                           aOptions.Decimal("rate-slack") };
    settings.servesWithoutLease = aOptions.Flag("serve-without-lease");
    settings.keys = { aOptions.Duration("key-withdrawal-bound") };
    settings.targetSpread = aOptions.Decimal("target-spread");
    settings.ready = ListenAt(aOptions, "ready-listen");
    settings.metrics = ListenAt(aOptions, "metrics-listen");
    const host_address listen = *aOptions.Address("listen");
    settings.http.address = listen.ip;
    settings.http.port = listen.port;
    settings.http.maxConnections = MaxCallerConnections(aOptions);
    settings.hostName = aOptions.Text("name");
    settings.incarnation = mControl.Tables().self.incarnation;
    settings.domain = aOptions.Text("domain");
    settings.endpointSecret = aEndpointSecret.Reveal();
    settings.recording.thread = "traffic";
    settings.recording.writer = std::move(aSpans);
    settings.recording.traceShare = aOptions.Decimal("trace-share");
    settings.account = MakeAccount(aOptions);
    return settings;
  }

  control_hooks Hooks()
  {
    control_hooks hooks;
    hooks.onRenewal = [this](admission::renewal aRenewal) {
      asio::post(mControlContext,
                 [this, renewal = std::move(aRenewal)]() mutable {
                   mControl.SendRenewal(std::move(renewal));
                 });
    };
    hooks.onDemand = [this](std::vector<wire::model_demand> aDemand) {
      asio::post(mControlContext,
                 [this, demand = std::move(aDemand)]() mutable {
                   mControl.SendDemand(std::move(demand));
                 });
    };
    hooks.onQuotaRequest = [this](rates::quota_request aRequest) {
      asio::post(mControlContext,
                 [this, request = std::move(aRequest)]() mutable {
                   mControl.SendQuotaRequest(std::move(request));
                 });
    };
    if (mControl.Tables().usage) {
      hooks.onStarts = [this](std::vector<request_start> aStarts) {
        asio::post(mControlContext, [this, starts = std::move(aStarts)] {
          mControl.RecordStarts(starts);
        });
      };
    }
    hooks.onEvidence = [this](quarantine::evidence aEvidence) {
      asio::post(mControlContext, [this, evidence = std::move(aEvidence)] {
        mControl.HandleEvidence(evidence);
      });
    };
    hooks.onLoads = [this](std::vector<room::load_row> aLoads) {
      asio::post(mControlContext, [this, loads = std::move(aLoads)] {
        mControl.HandleLoads(loads);
      });
    };
    hooks.onReport = [this](endpoint_row aRow) {
      asio::post(mControlContext, [this, row = std::move(aRow)]() mutable {
        mControl.HandleReport(std::move(row));
      });
    };
    hooks.onCommand = [this](fleet_command aCommand,
                             steady_time aDeadline,
                             command_hook aOnReply) {
      auto replyOnTraffic =
        [this, hook = std::move(aOnReply)](const wire::command_reply& aReply) {
          asio::post(mTrafficContext, [hook, aReply] { hook(aReply); });
        };
      asio::post(mControlContext,
                 [this,
                  command = std::move(aCommand),
                  aDeadline,
                  hook = std::move(replyOnTraffic)]() mutable {
                   mControl.Submit(
                     std::move(command), aDeadline, std::move(hook));
                 });
    };
    return hooks;
  }

  bool ReadCredential(const option_values& aOptions, last_reason& aReason)
  {
    const auto secret = ReadSecretOption(aOptions, "credential", aReason);
    if (!secret) {
      return false;
    }
    mControl.Tables().self.credential = secret->Reveal();
    return true;
  }

  asio::io_context mControlContext{ 1 };
  asio::io_context mTrafficContext{ 1 };
  asio::steady_timer mStopTimer{ mControlContext };
  asio::steady_timer mExitTimer{ mControlContext };
  std::chrono::milliseconds mStopDelay;
  std::chrono::milliseconds mStopGrace;
  control_thread mControl;
  traffic_thread mTraffic;
};

std::optional<span_writer>
OpenSpans(const option_values& aOptions, last_reason& aReason)
{
  if (!aOptions.IsSet("spans")) {
    return span_writer();
  }
  return FileSpanWriter(
    aOptions.Path("spans"),
    { "bulrush-entry", aOptions.Text("name"), aOptions.Text("domain") },
    static_cast<std::uint64_t>(aOptions.Integer("spans-size")),
    aReason);
}

std::optional<front_end>
FindFrontEnd(const std::string& aName,
             std::span<const named_front_end> aFrontEnds,
             last_reason& aReason)
{
  if (aName == "openai") {
    return OpenAiFrontEnd();
  }
  for (const named_front_end& each : aFrontEnds) {
    if (each.name == aName) {
      return each.make();
    }
  }
  return Fail(aReason, "choose front end", aName, "no such front end");
}

} // namespace

int
RunEntry(int aCount, char** aWords, std::span<const named_front_end> aFrontEnds)
{
  // The default action would end a process that starts. Seeds are read again
  // once the signal is handled.
  std::signal(SIGHUP, SIG_IGN);
  int exitCode = 0;
  const auto options = StartWithSettings(kProgram, aCount, aWords, exitCode);
  if (!options) {
    return exitCode;
  }
  last_reason reason;
  const auto level = ParseLogLevel(options->Text("log-level"), reason);
  const auto spans = level ? OpenSpans(*options, reason) : std::nullopt;
  const auto secret = spans
                        ? ReadSecretOption(*options, "endpoint-secret", reason)
                        : std::nullopt;
  auto front = secret
                 ? FindFrontEnd(options->Text("front-end"), aFrontEnds, reason)
                 : std::nullopt;
  if (!front) {
    LogError(kLog, "Cannot start: {}", Describe(reason));
    return 1;
  }
  SetLogLevel(*level);
  ReturnFreedMemory();
  LogToStandardOutput();
  const auto readSeeds = [aCount, aWords](last_reason& aReason)
    -> std::optional<std::vector<wire::control_address>> {
    const auto loaded = LoadSettings(kProgram, aCount, aWords, aReason);
    if (!loaded) {
      return std::nullopt;
    }
    // As in a file that is being written: the default addresses are no seeds.
    if (!loaded->values.IsSet("seeds")) {
      return Fail(aReason, "read seeds", "", "the settings name none");
    }
    return ReadControls(loaded->values, aReason);
  };
  entry_process process(
    *options, *spans, *secret, std::move(*front), readSeeds);
  if (!process.Start(*options, reason)) {
    LogError(kLog, "Cannot start: {}", Describe(reason));
    return 1;
  }
  process.Run();
  return 0;
}

} // namespace bulrush::entry
