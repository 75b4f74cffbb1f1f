#include "control/control.hpp"
#include "control/engine_calls.hpp"
#include "control/metrics.hpp"
#include "control/options.hpp"
#include "control/stop.hpp"
#include "control/tables.hpp"
#include "duties/duties.hpp"
#include "net/net.hpp"
#include "observe/observe.hpp"
#include "program/program.hpp"
#include "settings/settings.hpp"

#include <asio/io_context.hpp>

#include <csignal>

#include <unistd.h>

namespace bulrush::control {
namespace {

constexpr log_component kLog{ "control" };
/// Exit code after a failed write of the log or an unreadable snapshot.
constexpr int kExitBrokenLog = 3;
/// Of the metrics page.
constexpr std::size_t kMaxPageConnections = 256;
/// A parsed text of small values takes up to 40 times its size in small blocks.
constexpr std::size_t kLargeBodyBytes = 262'144;
/// Callers send a call to another process after a second without an answer.
constexpr std::chrono::milliseconds kMaxUnread{ 900 };
/// Seconds, in which calls that were complete have been answered.
constexpr const char* kRetryAfterNoMemory = "1";

const char*
NameOf(answer_kind aKind)
{
  switch (aKind) {
    case answer_kind::eDone:
      return "done";
    case answer_kind::eInvalid:
      return "invalid";
    case answer_kind::eUnknown:
      break;
  }
  return "unknown";
}

// Answers a call that did not arrive in full.
void
RefuseRead(net::http_reply& aReply, const net::refused_read& aRead)
{
  std::vector<net::http_field> fields{ { "Content-Type", "text/plain" } };
  if (aRead.reason == net::read_refusal::eNoMemory) {
    LogEvent(kLog,
             log_level::eWarning,
             "call_refused",
             { { "caller", aRead.head->peer },
               { "path", aRead.head->path },
               { "reason", aRead.text } });
    fields.push_back({ "Retry-After", kRetryAfterNoMemory });
  }
  aReply.Send(aRead.status, fields, aRead.text + "\n");
}

/// Reads the settings as they are now.
using read_settings_hook =
  std::function<std::optional<option_values>(last_reason& aReason)>;

// Tables, connections and timers of the process. Members declared after mTables
// refer to it.
class control_process
{
public:
  control_process(asio::io_context& aContext,
                  const option_values& aOptions,
                  read_settings_hook aReadSettings)
    : mContext(aContext)
    , mReadSettings(std::move(aReadSettings))
    , mStopGrace(aOptions.Duration("stop-grace"))
    , mMaxConnections(MaxCallerConnections(aOptions))
    , mAccount(MakeAccount(aOptions))
    , mTimer(aContext, [this](steady_time aNow) { return Tick(aNow); })
    , mCalls(aContext, mFrontEnd, mAccount, CallHooks())
  {
    net::BalanceOn(mContext, mAccount);
    mTables.self.name = aOptions.IsSet("seeds")
                          ? FormatAddress(*aOptions.Address("listen"))
                          : aOptions.Text("name");
    mTables.self.domain = aOptions.Text("domain");
    mTables.self.isExpendable = !aOptions.Flag("dependable");
    mTables.self.linkAddress = FormatAddress(*aOptions.Address("listen"));
    mTables.wallClock = [] { return std::chrono::system_clock::now(); };
    mTables.self.incarnation = static_cast<std::uint64_t>(
      mTables.wallClock().time_since_epoch().count());
    mTables.log = MakeLocalLog(mTables);
    mTables.endpointTimeout = aOptions.Duration("heartbeat-interval") * 5 / 2;
    mTables.orders.placement.options.copyLifetime =
      aOptions.Duration("copy-lifetime");
  }

  bool Start(const option_values& aOptions,
             front_end aFrontEnd,
             last_reason& aReason)
  {
    mFrontEnd = std::move(aFrontEnd);
    mTables.residency.isEnabled = static_cast<bool>(mFrontEnd.writeOrder);
    mTables.residency.orderHandOver = aOptions.Duration("order-hand-over");
    mTables.residency.targetSpread = aOptions.Decimal("target-spread");
    mTables.leases.tolerance = { aOptions.Duration("rate-window"),
                                 aOptions.Decimal("rate-overage"),
                                 aOptions.Decimal("rate-slack") };
    ReadUsage(aOptions);
    ReadDomains(aOptions);
    if (!ReadSecrets(aOptions, aReason) ||
        !OpenReplicatedLog(aOptions, aReason) ||
        !ListenHttp(aOptions, aReason) || !ListenMetrics(aOptions, aReason)) {
      return false;
    }
    auto server = net::ListenLink(
      mContext,
      mTables.self.linkAddress,
      mLinkKeys,
      [this](std::string aPeer, const std::string& aBytes) {
        Receive(std::move(aPeer), aBytes);
      },
      aReason);
    if (!server) {
      return false;
    }
    mServer = std::move(*server);
    for (const wire::control_address& peer : mPeers) {
      if (!Link(peer, aReason)) {
        return false;
      }
    }
    LogInfo(
      kLog, "{} listens on {}", mTables.self.name, mTables.self.linkAddress);
    mTimer.RunSoon();
    return true;
  }

  void BeginStop()
  {
    LogInfo(kLog,
            "Stopping: waits at most {} for {}",
            FormatDuration(mStopGrace),
            Describe(OpenWork(mTables, mCalls.Running())));
    control::BeginStop(mTables, mStopGrace, net::Now());
    if (mHttp) {
      mHttp->BeginDrain();
    }
    mTimer.RunSoon();
  }

  void ReadSeedsSoon()
  {
    if (mTables.replicated) {
      mTables.replicated->hasNewSeeds = true;
    }
    mTimer.RunSoon();
  }

  int ExitCode() const { return mExitCode; }

private:
  engine_call_hooks CallHooks()
  {
    engine_call_hooks hooks;
    hooks.onEngineAnswer = [this](engine_answer aAnswer) {
      mTables.residency.answers.push_back(std::move(aAnswer));
      mTimer.RunSoon();
    };
    hooks.onUsageAnswer = [this](usage_answer aAnswer) {
      mTables.usage.answers.push_back(aAnswer);
      mTimer.RunSoon();
    };
    hooks.onOrderAnswer = [this](order_answer aAnswer) {
      mTables.orders.answers.push_back(std::move(aAnswer));
      mTimer.RunSoon();
    };
    return hooks;
  }

  bool OpenReplicatedLog(const option_values& aOptions, last_reason& aReason)
  {
    if (!ReadPeers(aOptions, aReason)) {
      return false;
    }
    if (!aOptions.IsSet("data")) {
      return true;
    }
    std::vector<std::string> names;
    for (const wire::control_address& peer : mPeers) {
      names.push_back(peer.name);
    }
    constexpr log_index kKeptFraction = 5;
    replica_settings settings;
    settings.name = mTables.self.name;
    settings.snapshotAfterEntries =
      static_cast<log_index>(aOptions.Integer("snapshot-after"));
    settings.keptEntries = settings.snapshotAfterEntries / kKeptFraction;
    auto log = OpenLog(
      aOptions.Path("data"), std::move(settings), names, net::Now(), aReason);
    if (!log) {
      return false;
    }
    mTables.replicated = std::move(*log);
    mTables.replicated->hasDynamicMembers = aOptions.IsSet("seeds");
    mTables.replicated->mayBootstrap =
      aOptions.Flag("first-start") && mMayBootstrap;
    mTables.log = MakeReplicatedLog(*mTables.replicated);
    return true;
  }

  bool ReadSecrets(const option_values& aOptions, last_reason& aReason)
  {
    const auto keys = ReadLinkKeys(aOptions, aReason);
    if (!keys) {
      return false;
    }
    mLinkKeys = *keys;
    const auto secret = ReadSecretOption(aOptions, "credential", aReason);
    if (!secret) {
      return false;
    }
    mTables.self.credential = secret->Reveal();
    return true;
  }

  // Only the IP addresses of seeds are used: all control processes listen for
  // links on the same port as this one.
  static std::vector<wire::control_address> SeedsOf(
    const option_values& aOptions)
  {
    const std::uint16_t port = aOptions.Address("listen")->port;
    std::vector<wire::control_address> seeds;
    for (const host_address& seed : aOptions.Addresses("seeds")) {
      const std::string address = FormatAddress({ seed.ip, port });
      seeds.push_back({ address, address });
    }
    return seeds;
  }

  void ReadSeeds(steady_time aNow, control_outbox& aOutbox)
  {
    last_reason reason;
    if (const auto settings = mReadSettings(reason)) {
      HandleSeeds(mTables, SeedsOf(*settings), aNow, aOutbox);
    } else {
      LogWarning(kLog, "Cannot read the seeds again: {}", Describe(reason));
    }
  }

  bool ReadPeers(const option_values& aOptions, last_reason& aReason)
  {
    for (const wire::control_address& seed : SeedsOf(aOptions)) {
      if (seed.address == mTables.self.name) {
        mMayBootstrap = true;
      } else {
        mPeers.push_back(seed);
      }
    }
    if (aOptions.IsSet("seeds")) {
      return true;
    }
    mMayBootstrap = true;
    for (const std::string& peer : aOptions.List("peers")) {
      const std::size_t equals = peer.find('=');
      if (equals == std::string::npos) {
        Fail(aReason, "read peers", peer, "expected NAME=IP:PORT");
        return false;
      }
      mPeers.push_back({ peer.substr(0, equals), peer.substr(equals + 1) });
    }
    return true;
  }

  void ReadUsage(const option_values& aOptions)
  {
    const duties::duty_selection selected =
      duties::SelectDuties(aOptions.List("duties"));
    for (const std::string& name : selected.unknown) {
      LogEvent(kLog, log_level::eWarning, "duty_unknown", { { "duty", name } });
    }
    if (!mFrontEnd.writeUsage || !aOptions.IsSet("usage-address") ||
        !selected.hasUsageReports) {
      return;
    }
    mTables.usage.address = aOptions.Text("usage-address");
    duties::ledger_settings& settings = mTables.usage.ledger.settings;
    settings.window = aOptions.Duration("usage-window");
    settings.late = aOptions.Duration("usage-late");
    settings.dutyLease = aOptions.Duration("duty-lease");
    // Rounded up, so that the platform never sees more calls than its rate.
    const std::chrono::duration<double> interval(1 /
                                                 aOptions.Decimal("duty-rate"));
    settings.callInterval =
      std::chrono::ceil<std::chrono::milliseconds>(interval);
  }

  void ReadDomains(const option_values& aOptions)
  {
    for (const std::string& text : aOptions.List("domains")) {
      const std::size_t equals = std::min(text.find('='), text.size());
      domain_row row;
      row.name = text.substr(0, equals);
      row.id = IdOf<domain_id>(row.name);
      row.region = equals < text.size() ? text.substr(equals + 1) : "";
      mDomains.push_back(std::move(row));
    }
  }

  net::http_server_settings HttpSettings(const host_address& aListen) const
  {
    net::http_server_settings settings;
    settings.address = aListen.ip;
    settings.port = aListen.port;
    settings.maxConnections = mMaxConnections;
    settings.account = mAccount;
    settings.onReadError = RefuseRead;
    settings.onUnreadEnded = [](const std::string& aPeer,
                                const std::string& aReason) {
      LogEvent(kLog,
               log_level::eWarning,
               "unread_answer_ended",
               { { "caller", aPeer }, { "reason", aReason } });
    };
    return settings;
  }

  bool ListenHttp(const option_values& aOptions, last_reason& aReason)
  {
    const auto listen = aOptions.Address("http-listen");
    if (!mFrontEnd.readCall || !listen) {
      return true;
    }
    auto server = net::Listen(
      mContext,
      HttpSettings(*listen),
      [this](net::http_request aRequest,
             std::shared_ptr<net::http_reply> aReply) {
        HandleHttpCall(std::move(aRequest), std::move(aReply));
      },
      aReason);
    if (!server) {
      return false;
    }
    mHttp = std::move(*server);
    mTables.self.httpAddress = FormatAddress({ listen->ip, mHttp->Port() });
    return true;
  }

  bool ListenMetrics(const option_values& aOptions, last_reason& aReason)
  {
    const auto listen = aOptions.Address("metrics-listen");
    if (!listen) {
      return true;
    }
    // Served while the account is full, so it has bounds of its own.
    net::http_server_settings settings;
    settings.address = listen->ip;
    settings.port = listen->port;
    settings.maxBodyBytes = 0;
    settings.maxConnections = kMaxPageConnections;
    auto server = net::Listen(
      mContext,
      settings,
      [this](const net::http_request&,
             const std::shared_ptr<net::http_reply>& aReply) {
        aReply->Send(
          200,
          { { "Content-Type", "text/plain; version=0.0.4" } },
          MetricsPage(mMetrics, mTables, mAccount->Usage(), net::Now()));
      },
      aReason);
    if (!server) {
      return false;
    }
    mMetricsServer = std::move(*server);
    return true;
  }

  void HandleHttpCall(net::http_request aRequest,
                      std::shared_ptr<net::http_reply> aReply)
  {
    last_reason reason;
    const steady_time now = net::Now();
    auto call = mFrontEnd.readCall(aRequest, { mDomains, now }, reason);
    if (aRequest.body.size() > kLargeBodyBytes) {
      ReturnFreedBlocks();
    }
    if (!call) {
      LogWarning(kLog, "Refused an HTTP call: {}", Describe(reason));
      mFrontEnd.sendAnswer(
        *aReply, aRequest, { answer_kind::eInvalid, Describe(reason) });
      return;
    }
    const bool isLogged = !std::holds_alternative<register_endpoint>(*call);
    if (isLogged) {
      LogEvent(kLog,
               log_level::eInfo,
               "call",
               { { "caller", aRequest.peer },
                 { "method", aRequest.method },
                 { "path", aRequest.path } });
    }
    const http_call_id id{ ++mLastHttpCall };
    mTables.httpInbox.push_back({ id, std::move(*call) });
    aRequest.body.clear();
    mHttpReplies.emplace(
      id, waiting_reply{ std::move(aRequest), std::move(aReply), isLogged });
    mTimer.RunSoon();
  }

  void AnswerHttp(const answered_call& aAnswer)
  {
    const auto found = mHttpReplies.find(aAnswer.id);
    const waiting_reply& waiting = found->second;
    if (waiting.isLogged) {
      LogEvent(kLog,
               log_level::eInfo,
               "call_answered",
               { { "caller", waiting.request.peer },
                 { "path", waiting.request.path },
                 { "outcome", NameOf(aAnswer.answer.kind) },
                 { "revision", std::to_string(mTables.fleet.revision) },
                 { "number", std::to_string(mTables.fleet.declared.number) } });
    }
    mFrontEnd.sendAnswer(*waiting.reply, waiting.request, aAnswer.answer);
    mHttpReplies.erase(found);
  }

  bool Link(const wire::control_address& aPeer, last_reason& aReason)
  {
    if (mLinks.contains(aPeer.name)) {
      return true;
    }
    auto link = net::ConnectLink(
      mContext,
      aPeer.address,
      mTables.self.name,
      mLinkKeys,
      [this, name = aPeer.name](const std::string& aBytes) {
        Receive(name, aBytes);
      },
      aReason);
    if (!link) {
      return false;
    }
    mLinks.emplace(aPeer.name, std::move(*link));
    control_row row;
    row.name = aPeer.name;
    row.address = aPeer.address;
    row.id = IdOf<replica_id>(row.name);
    if (mTables.controls.Find(row.id) == nullptr) {
      mTables.controls.Insert(std::move(row));
    }
    return true;
  }

  void Receive(std::string aPeer, const std::string& aBytes)
  {
    last_reason reason;
    auto message = wire::Decode(aBytes, net::Now(), reason);
    if (!message) {
      LogWarning(
        kLog, "Dropped a message from {}: {}", aPeer, Describe(reason));
      return;
    }
    mTables.inbox.push_back({ std::move(aPeer), std::move(*message) });
    mTimer.RunSoon();
  }

  // A call that lay unread, as in a process that was suspended, was sent
  // elsewhere meanwhile, and an opposite one may have been confirmed since. The
  // same holds for an order whose caller has left. A server that says that it
  // leaves may be gone by then.
  void DropLateCalls()
  {
    std::erase_if(mTables.httpInbox, [this](const received_call& aCall) {
      const auto found = mHttpReplies.find(aCall.id);
      const waiting_reply& waiting = found->second;
      const bool isAbandoned =
        std::holds_alternative<change_domain_state>(aCall.call) &&
        !waiting.reply->HasCaller();
      if (!isAbandoned && waiting.request.unreadFor < kMaxUnread) {
        return false;
      }
      LogEvent(
        kLog,
        log_level::eWarning,
        "late_call_dropped",
        { { "caller", waiting.request.peer },
          { "path", waiting.request.path },
          { "unread_ms", std::to_string(waiting.request.unreadFor.count()) },
          { "caller_left", isAbandoned ? "yes" : "no" } });
      mFrontEnd.sendAnswer(
        *waiting.reply,
        waiting.request,
        { answer_kind::eUnknown, "the call was read too late" });
      mHttpReplies.erase(found);
      return true;
    });
  }

  wake_time Tick(steady_time aNow)
  {
    DropLateCalls();
    control_outbox outbox;
    const std::size_t inbox = mTables.inbox.size();
    RunControl(mTables, aNow, outbox);
    CountTick(mMetrics, outbox, net::Now() - aNow);
    if (outbox.fatal) {
      // Send nothing: the messages of this tick may depend on a write that
      // failed.
      LogError(kLog, "Must stop: {}", Describe(*outbox.fatal));
      mExitCode = kExitBrokenLog;
      mContext.stop();
      return {};
    }
    for (const std::string& name : outbox.lostLinks) {
      mLinks.erase(name);
    }
    if (outbox.readsSeeds) {
      ReadSeeds(aNow, outbox);
    }
    for (const wire::control_address& peer : outbox.links) {
      last_reason reason;
      if (!Link(peer, reason)) {
        LogWarning(kLog,
                   "Cannot connect to control process {}: {}",
                   peer.name,
                   Describe(reason));
      }
    }
    for (outgoing_message& out : outbox.messages) {
      Send(out, aNow);
    }
    for (const answered_call& answer : outbox.httpAnswers) {
      AnswerHttp(answer);
    }
    for (const auto& [engine, order] : outbox.engineOrders) {
      mCalls.SendEngineOrder(engine, order);
    }
    for (const auto& [engine, query] : outbox.stateQueries) {
      mCalls.SendStateQuery(engine, query);
    }
    for (order_call& call : outbox.orders) {
      mCalls.SendOrder(std::move(call));
    }
    SendUsage(outbox.usage);
    if (!mTables.committed.empty()) {
      mTimer.RunSoon();
    }
    const steady_time end = net::Now();
    RecordLoad(mLoad, inbox, end - aNow, end);
    if (mTables.stop) {
      ContinueStop(*mTables.stop, aNow, outbox.wake);
    }
    return outbox.wake;
  }

  // A write to the disk may have taken longer than the lease since the tick
  // began.
  void SendUsage(const usage_outbox& aUsage)
  {
    if (aUsage.abortsCall) {
      mCalls.AbortUsage();
    }
    if (!aUsage.send) {
      return;
    }
    const auto leaderTerm = mTables.log.leaderTerm(net::Now());
    if (leaderTerm && leaderTerm->holdsLease) {
      mCalls.SendUsage(*aUsage.send);
    } else {
      mTables.usage.answers.push_back({ aUsage.send->call });
      mTimer.RunSoon();
    }
  }

  void ContinueStop(stop_row& aStop, steady_time aNow, wake_time& aWake)
  {
    aWake.NoLaterThan(aStop.endBy);
    if (aNow >= aStop.endBy) {
      LogWarning(kLog, "Stopping: answers could not be sent in time");
      EndStop();
    } else if (!aStop.isEnding &&
               MayEnd(mTables, mCalls.Running(), aNow, aWake)) {
      aStop.isEnding = true;
      if (mHttp) {
        mHttp->StopWhenFlushed([this] { EndStop(); });
      } else {
        EndStop();
      }
    }
  }

  void EndStop()
  {
    LogInfo(
      kLog, "Stops, leaving {}", Describe(OpenWork(mTables, mCalls.Running())));
    mContext.stop();
  }

  void Send(outgoing_message& aOut, steady_time aNow)
  {
    const std::string bytes = wire::Encode(
      { mTables.self.name, mTables.self.incarnation, std::move(aOut.body) },
      aNow);
    const auto link = mLinks.find(aOut.control);
    const bool isSent = aOut.control.empty()
                          ? mServer->Send(aOut.peer, bytes)
                          : link != mLinks.end() && link->second->Send(bytes);
    mLoad.dropped += isSent ? 0 : 1;
  }

  /// An HTTP call that waits for its answer.
  struct waiting_reply
  {
    net::http_request request;
    std::shared_ptr<net::http_reply> reply;
    bool isLogged = false;
  };

  asio::io_context& mContext;
  read_settings_hook mReadSettings;
  const std::chrono::milliseconds mStopGrace;
  const std::size_t mMaxConnections; ///< of callers
  std::shared_ptr<memory::account> mAccount;
  control_tables mTables;
  front_end mFrontEnd;
  std::vector<domain_row> mDomains;
  std::vector<wire::control_address> mPeers;
  bool mMayBootstrap = false;
  std::unordered_map<http_call_id, waiting_reply, id_hash> mHttpReplies;
  std::uint64_t mLastHttpCall = 0;
  std::unique_ptr<net::http_server> mHttp;
  std::unique_ptr<net::http_server> mMetricsServer;
  metrics mMetrics{ "control" };
  load_row mLoad;
  net::tick_timer mTimer;
  net::link_keys mLinkKeys;
  std::unique_ptr<net::link_server> mServer;
  engine_calls mCalls;
  std::unordered_map<std::string, std::unique_ptr<net::link_client>> mLinks;
  int mExitCode = 0;
};

std::optional<front_end>
FindFrontEnd(const std::string& aName,
             std::span<const named_front_end> aFrontEnds,
             last_reason& aReason)
{
  if (aName == "none") {
    return front_end{};
  }
  for (const named_front_end& frontEnd : aFrontEnds) {
    if (frontEnd.name == aName) {
      return frontEnd.make();
    }
  }
  return Fail(aReason, "choose front end", aName, "no such front end");
}

} // namespace

int
RunControlHost(int aArgumentCount,
               char** aArguments,
               std::span<const named_front_end> aFrontEnds)
{
  // The default action would end a process that starts. Seeds are read again
  // once the signal is handled.
  std::signal(SIGHUP, SIG_IGN);
  int exitCode = 0;
  const auto options =
    StartWithSettings(kProgram, aArgumentCount, aArguments, exitCode);
  if (!options) {
    return exitCode;
  }
  // A write beyond the file size limit then fails with an error that is logged,
  // rather than by a signal that ends the process.
  std::signal(SIGXFSZ, SIG_IGN);
  asio::io_context context{ 1 };
  last_reason reason;
  const auto level = ParseLogLevel(options->Text("log-level"), reason);
  auto frontEnd =
    level ? FindFrontEnd(options->Text("front-end"), aFrontEnds, reason)
          : std::nullopt;
  if (!frontEnd) {
    LogError(kLog, "Cannot start: {}", Describe(reason));
    return kBadSettings;
  }
  SetLogLevel(*level);
  ReturnFreedMemory();
  LogToStandardOutput();
  const auto readSettings =
    [aArgumentCount,
     aArguments](last_reason& aReason) -> std::optional<option_values> {
    auto loaded = LoadSettings(kProgram, aArgumentCount, aArguments, aReason);
    return loaded ? std::optional(std::move(loaded->values)) : std::nullopt;
  };
  control_process process(context, *options, readSettings);
  if (!process.Start(*options, std::move(*frontEnd), reason)) {
    LogError(kLog, "Cannot start: {}", Describe(reason));
    return 1;
  }
  net::OnStopSignal(
    context,
    [&process] { process.BeginStop(); },
    [] { LogInfo(kLog, "Stop signal ignored: already stopping"); });
  net::OnReloadSignal(context, [&process] {
    LogInfo(kLog, "SIGHUP: reads the seeds again, and no other setting");
    process.ReadSeedsSoon();
  });
  process.ReadSeedsSoon();
  context.run();
  return process.ExitCode();
}

} // namespace bulrush::control
