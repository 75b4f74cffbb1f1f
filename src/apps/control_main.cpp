#include "apps/control_tables.hpp"
#include "apps/link_settings.hpp"
#include "net/net.hpp"
#include "observe/observe.hpp"
#include "settings/settings.hpp"

#include <asio/io_context.hpp>

#include <csignal>

#include <unistd.h>

namespace bulrush::control {
namespace {

constexpr log_part kLog{ "control" };
constexpr int kExitBrokenLog = 3; ///< the log cannot keep its promises

constexpr auto kOptions = std::to_array<option_row>({
  { "name",
    option_type::eText,
    "",
    "control-a",
    "",
    "",
    "Name of this control process, unlike any other" },
  { "domain",
    option_type::eText,
    "",
    "domain-a",
    "",
    "",
    "Failure domain that this host is in" },
  { "listen",
    option_type::eAddress,
    "",
    "127.0.0.1:7100",
    "",
    "",
    "Address for links of hosts, operators and other control processes" },
  { "peers",
    option_type::eList,
    "",
    "",
    "",
    "",
    "Other control processes, NAME=IP:PORT with commas between them" },
  { "data",
    option_type::ePath,
    "",
    "",
    "",
    "",
    "Folder for the log; without it state is kept in memory only" },
  { "snapshot-after",
    option_type::eInteger,
    "entries",
    "1000",
    "5",
    "100000",
    "How many entries of the log one snapshot stands for" },
  { "link-keys",
    option_type::eSecretFile,
    "",
    "",
    "",
    "",
    "File with the fleet's link keys, made by bulrushctl keygen" },
  { "credential",
    option_type::eSecretFile,
    "",
    "",
    "",
    "",
    "File with the credential that operators and hosts present" },
  { "copy-lifetime",
    option_type::eDuration,
    "",
    "1h",
    "1s",
    "240h",
    "Longest life of an order under way to an engine that checks no fencing "
    "number; until it ends the memory that it may take stays reserved" },
});

constexpr program_options kProgram{
  "bulrush-control",
  "Decides the fleet's configuration, leases, placement and endpoint table",
  kOptions
};

// The log of a single process: what is proposed is committed at once.
log_hooks
MakeLocalLog(control_tables& aTables)
{
  log_hooks hooks;
  hooks.propose = [&aTables, last = std::uint64_t{ 0 }](
                    std::string aPayload,
                    last_reason&) mutable -> std::optional<position_id> {
    const position_id position{ ++last };
    aTables.committed.push_back({ position, std::move(aPayload), false });
    return position;
  };
  hooks.isLeader = [](steady_time) { return true; };
  hooks.leads = [&aTables](steady_time) -> std::optional<leader_term> {
    if (!aTables.controls.Empty()) {
      return std::nullopt; // several processes without a common log
    }
    // A process that starts again has forgotten its orders; a term that only
    // grows keeps it from being taken for the former one.
    constexpr std::uint64_t kNanosecondsInSecond = 1'000'000'000;
    leader_term leads;
    leads.term = static_cast<std::uint32_t>(aTables.self.incarnation /
                                            kNanosecondsInSecond);
    leads.holdsLease = true;
    return leads;
  };
  hooks.leaderName = [&aTables] { return aTables.self.name; };
  hooks.term = [] { return std::uint64_t{ 1 }; };
  return hooks;
}

// Everything the process holds. The members after the tables refer to them.
class control_process
{
public:
  control_process(asio::io_context& aContext, const option_values& aOptions)
    : mContext(aContext)
    , mTimer(aContext, [this](steady_time aNow) { return Tick(aNow); })
  {
    mTables.self.name = aOptions.Text("name");
    mTables.self.domain = aOptions.Text("domain");
    mTables.self.linkAddress = FormatAddress(*aOptions.Address("listen"));
    mTables.wallClock = [] { return std::chrono::system_clock::now(); };
    mTables.self.incarnation = static_cast<std::uint64_t>(
      mTables.wallClock().time_since_epoch().count());
    mTables.log = MakeLocalLog(mTables);
    mTables.orders.placement.options.copyLifetime =
      aOptions.Duration("copy-lifetime");
    mClient = net::MakeHttpClient(mContext);
  }

  bool Start(const option_values& aOptions, last_reason& aWhy)
  {
    if (!ReadSecrets(aOptions, aWhy) || !OpenReplicatedLog(aOptions, aWhy)) {
      return false;
    }
    auto server = net::ListenLink(
      mContext,
      mTables.self.linkAddress,
      mLinkKeys,
      [this](std::string aPeer, const std::string& aBytes) {
        Receive(std::move(aPeer), aBytes);
      },
      aWhy);
    if (!server) {
      return false;
    }
    mServer = std::move(*server);
    for (const std::string& peer : aOptions.List("peers")) {
      if (!Connect(peer, aWhy)) {
        return false;
      }
    }
    LogInfo(
      kLog, "{} listens on {}", mTables.self.name, mTables.self.linkAddress);
    mTimer.RunSoon();
    return true;
  }

  // Hands leadership over before the end, so that no election timeout passes.
  void BeginStop()
  {
    const steady_time now = std::chrono::steady_clock::now();
    if (!BeginHandOver(mTables, now)) {
      mContext.stop();
      return;
    }
    mStopBy = now + kHandOverLimit;
    mTimer.RunSoon();
  }

  int ExitCode() const { return mExitCode; }

private:
  static constexpr std::chrono::milliseconds kHandOverLimit{ 2'000 };

  bool OpenReplicatedLog(const option_values& aOptions, last_reason& aWhy)
  {
    if (!aOptions.IsSet("data")) {
      return true;
    }
    std::vector<std::string> names;
    for (const std::string& peer : aOptions.List("peers")) {
      names.push_back(peer.substr(0, peer.find('=')));
    }
    constexpr log_index kKeptPart = 5;
    replica_settings settings;
    settings.name = mTables.self.name;
    settings.snapshotAfterEntries =
      static_cast<log_index>(aOptions.Integer("snapshot-after"));
    settings.keptEntries = settings.snapshotAfterEntries / kKeptPart;
    auto log = OpenLog(aOptions.Path("data"),
                       std::move(settings),
                       names,
                       std::chrono::steady_clock::now(),
                       aWhy);
    if (!log) {
      return false;
    }
    mTables.replicated = std::move(*log);
    mTables.log = MakeReplicatedLog(*mTables.replicated);
    return true;
  }

  bool ReadSecrets(const option_values& aOptions, last_reason& aWhy)
  {
    const auto keys = ReadLinkKeys(aOptions, aWhy);
    if (!keys) {
      return false;
    }
    mLinkKeys = *keys;
    const auto secret = ReadSecretOption(aOptions, "credential", aWhy);
    if (!secret) {
      return false;
    }
    mTables.self.credential = secret->Reveal();
    return true;
  }

  bool Connect(const std::string& aPeer, last_reason& aWhy)
  {
    const std::size_t equals = aPeer.find('=');
    if (equals == std::string::npos) {
      Fail(aWhy, "read peers", aPeer, "expected NAME=IP:PORT");
      return false;
    }
    control_row row;
    row.name = aPeer.substr(0, equals);
    row.address = aPeer.substr(equals + 1);
    row.id = IdOf<replica_id>(row.name);
    auto link = net::ConnectLink(
      mContext,
      row.address,
      mTables.self.name,
      mLinkKeys,
      [this, name = row.name](const std::string& aBytes) {
        Receive(name, aBytes);
      },
      aWhy);
    if (!link) {
      return false;
    }
    mLinks.emplace(row.name, std::move(*link));
    mTables.controls.Insert(row);
    return true;
  }

  void Receive(std::string aPeer, const std::string& aBytes)
  {
    last_reason why;
    auto message = wire::Decode(aBytes, std::chrono::steady_clock::now(), why);
    if (!message) {
      LogWarning(kLog, "Message from {} is dropped: {}", aPeer, Describe(why));
      return;
    }
    mTables.inbox.push_back({ std::move(aPeer), std::move(*message) });
    mTimer.RunSoon();
  }

  wake_time Tick(steady_time aNow)
  {
    control_outbox outbox;
    RunControl(mTables, aNow, outbox);
    if (outbox.fatal) {
      // Nothing leaves: what this tick says may rest on a write that failed.
      LogError(kLog, "Must stop: {}", Describe(*outbox.fatal));
      mExitCode = kExitBrokenLog;
      mContext.stop();
      return {};
    }
    for (outgoing& out : outbox.messages) {
      Send(out, aNow);
    }
    for (order_call& call : outbox.orders) {
      SendOrder(std::move(call));
    }
    if (!mTables.committed.empty()) {
      mTimer.RunSoon();
    }
    if (mStopBy) {
      if (aNow >= *mStopBy || IsHandedOver(mTables)) {
        mContext.stop();
      }
      outbox.wake.NoLaterThan(*mStopBy);
    }
    return outbox.wake;
  }

  void Send(outgoing& aOut, steady_time aNow)
  {
    const std::string bytes = wire::Encode(
      { mTables.self.name, mTables.self.incarnation, std::move(aOut.body) },
      aNow);
    if (aOut.control.empty()) {
      mServer->Send(aOut.peer, bytes);
      return;
    }
    const auto link = mLinks.find(aOut.control);
    if (link != mLinks.end()) {
      link->second->Send(bytes);
    }
  }

  // A connection of its own: the library resends nothing, and the endpoint
  // that answers is the one that was dialled for this order.
  void SendOrder(order_call aCall)
  {
    net::http_call call;
    call.url = "http://" + aCall.address + "/orders";
    call.fields = { { "Content-Type", "application/json" } };
    call.body = std::move(aCall.body);
    call.timeout = kOrderTimeout;
    call.freshConnection = true;
    auto answer = std::make_shared<order_answer>();
    answer->order = aCall.order;
    net::http_call_hooks hooks;
    hooks.onBytes = [answer](std::string_view aBytes) {
      if (answer->body.size() + aBytes.size() <= kMaxOrderAnswerBytes) {
        answer->body += aBytes;
      }
    };
    hooks.onEnd = [this, answer](const net::http_call_end& aEnd) {
      answer->isSent = aEnd.anySent;
      answer->status = aEnd.whole ? aEnd.status : 0;
      mTables.orders.answers.push_back(std::move(*answer));
      mTimer.RunSoon();
    };
    mClient->Start(std::move(call), std::move(hooks));
  }

  static constexpr std::chrono::milliseconds kOrderTimeout{ 2'000 };
  static constexpr std::size_t kMaxOrderAnswerBytes = 4096;

  asio::io_context& mContext;
  control_tables mTables;
  net::tick_timer mTimer;
  net::link_keys mLinkKeys;
  std::unique_ptr<net::link_server> mServer;
  std::unique_ptr<net::http_client> mClient;
  std::unordered_map<std::string, std::unique_ptr<net::link_client>> mLinks;
  std::optional<steady_time> mStopBy;
  int mExitCode = 0;
};

int
Run(int aCount, char** aWords)
{
  int exitCode = 0;
  const auto options = StartWithSettings(kProgram, aCount, aWords, exitCode);
  if (!options) {
    return exitCode;
  }
  // A write beyond a limit then fails, and the reason is logged.
  std::signal(SIGXFSZ, SIG_IGN);
  asio::io_context context{ 1 };
  control_process process(context, *options);
  last_reason why;
  if (!process.Start(*options, why)) {
    LogError(kLog, "Cannot start: {}", Describe(why));
    return 1;
  }
  net::OnStopSignal(context, [&process] {
    LogInfo(kLog, "Stops");
    process.BeginStop();
  });
  context.run();
  return process.ExitCode();
}

} // namespace
} // namespace bulrush::control

int
main(int aCount, char** aWords)
{
  return bulrush::control::Run(aCount, aWords);
}
