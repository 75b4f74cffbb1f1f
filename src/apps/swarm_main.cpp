#include "apps/swarm_tables.hpp"
#include "net/net.hpp"
#include "observe/observe.hpp"
#include "program/program.hpp"
#include "settings/settings.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace bulrush::swarm {
namespace {

constexpr log_component kLog{ "swarm" };

constexpr std::array<option_row, 9> kOptions{ {
  { "control",
    option_type::eAddress,
    "",
    "127.0.0.1:7100",
    "",
    "",
    "Control process to connect to" },
  { "pids",
    option_type::eList,
    "",
    "",
    "",
    "",
    "Process ids whose CPU time and memory are measured" },
  { "domain",
    option_type::eText,
    "",
    "domain-a",
    "",
    "",
    "Failure domain of the hosts" },
  { "hosts",
    option_type::eInteger,
    "hosts",
    "10",
    "1",
    "500",
    "Entry hosts to simulate" },
  { "endpoints",
    option_type::eInteger,
    "endpoints",
    "3",
    "0",
    "100",
    "Endpoints that report through each host" },
  { "residents",
    option_type::eInteger,
    "models",
    "4",
    "0",
    "100",
    "Models resident on each endpoint" },
  { "report-every",
    option_type::eDuration,
    "",
    "500ms",
    "10ms",
    "1min",
    "Interval of reports" },
  { "seconds",
    option_type::eDuration,
    "",
    "10s",
    "1s",
    "10min",
    "How long to measure, after a warm-up of two seconds" },
  { "link-keys",
    option_type::eSecretFile,
    "",
    "",
    "",
    "",
    "File with the fleet's link keys" },
} };

constexpr program_options kProgram{
  "bulrush-swarm",
  "Simulates many entry hosts to measure their load on a control process",
  kOptions
};

constexpr std::chrono::seconds kWarmUp{ 2 };

// CPU time and resident memory of a process, from /proc.
struct process_usage
{
  std::chrono::milliseconds cpuTime{ 0 };
  std::uint64_t residentBytes = 0;
};

process_usage
ReadUsage(std::int64_t aPid)
{
  constexpr int kFieldsBeforeUserTime = 11;
  process_usage usage;
  std::ifstream stat("/proc/" + std::to_string(aPid) + "/stat");
  std::string text;
  std::getline(stat, text);
  const std::size_t close = text.rfind(')');
  if (close == std::string::npos) {
    return usage;
  }
  std::istringstream fields(text.substr(close + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    fields >> skipped;
  }
  std::int64_t user = 0;
  std::int64_t system = 0;
  fields >> user >> system;
  usage.cpuTime =
    std::chrono::milliseconds((user + system) * 1'000 / ::sysconf(_SC_CLK_TCK));
  std::ifstream statm("/proc/" + std::to_string(aPid) + "/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  statm >> total >> resident;
  usage.residentBytes =
    resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
  return usage;
}

class swarm_process
{
public:
  swarm_process(asio::io_context& aContext, const option_values& aOptions)
    : mContext(aContext)
    , mMeasureTime(aOptions.Duration("seconds"))
    , mTimer(aContext, [this](steady_time aNow) { return Tick(aNow); })
    , mPhaseTimer(aContext)
  {
    swarm_settings& settings = mTables.settings;
    settings.domain = aOptions.Text("domain");
    settings.hosts = static_cast<std::size_t>(aOptions.Integer("hosts"));
    settings.endpointsPerHost =
      static_cast<std::size_t>(aOptions.Integer("endpoints"));
    settings.residentsPerEndpoint =
      static_cast<std::size_t>(aOptions.Integer("residents"));
    settings.reportInterval = aOptions.Duration("report-every");
    mTables.incarnation = static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count());
    for (const std::string& pid : aOptions.List("pids")) {
      mPids.push_back(std::stoll(pid));
    }
    AddHosts(mTables, std::chrono::steady_clock::now());
  }

  bool Start(const option_values& aOptions, last_reason& aReason)
  {
    const auto keys = ReadLinkKeys(aOptions, aReason);
    if (!keys) {
      return false;
    }
    const std::string address = FormatAddress(*aOptions.Address("control"));
    for (const swarm_host& host : mTables.hosts) {
      auto link = net::ConnectLink(
        mContext,
        address,
        host.name,
        *keys,
        [this, id = host.id](const std::string& aBytes) {
          Receive(id, aBytes);
        },
        aReason);
      if (!link) {
        return false;
      }
      mLinks.emplace(host.id, std::move(*link));
    }
    mTimer.RunSoon();
    RunAfter(kWarmUp, [this] { BeginMeasuring(); });
    return true;
  }

private:
  void RunAfter(std::chrono::milliseconds aDelay, std::function<void()> aWork)
  {
    mPhaseTimer.expires_after(aDelay);
    mPhaseTimer.async_wait(
      [work = std::move(aWork)](const std::error_code& aError) {
        if (!aError) {
          work();
        }
      });
  }

  void BeginMeasuring()
  {
    for (const std::int64_t pid : mPids) {
      mBefore.push_back(ReadUsage(pid));
    }
    for (swarm_host& host : mTables.hosts) {
      host.bytesSent = 0;
      host.bytesReceived = 0;
      host.leases = 0;
    }
    RunAfter(mMeasureTime, [this] { EndMeasuring(); });
  }

  // Prints one CSV row: hosts, endpoints per host, residents per endpoint;
  // bytes sent, bytes received and leases per host and second; then for each
  // process id the CPU usage in percent of a core and the resident memory in
  // megabytes.
  void EndMeasuring()
  {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t leases = 0;
    for (const swarm_host& host : mTables.hosts) {
      sent += host.bytesSent;
      received += host.bytesReceived;
      leases += host.leases;
    }
    const double seconds = std::chrono::duration<double>(mMeasureTime).count();
    const double hostSeconds =
      static_cast<double>(mTables.hosts.Size()) * seconds;
    fmt::print("{},{},{},{:.1f},{:.1f},{:.2f}",
               mTables.hosts.Size(),
               mTables.settings.endpointsPerHost,
               mTables.settings.residentsPerEndpoint,
               static_cast<double>(sent) / hostSeconds,
               static_cast<double>(received) / hostSeconds,
               static_cast<double>(leases) / hostSeconds);
    for (std::size_t i = 0; i < mPids.size(); ++i) {
      const process_usage usage = ReadUsage(mPids[i]);
      const std::chrono::duration<double> busy =
        usage.cpuTime - mBefore[i].cpuTime;
      fmt::print(",{:.3f},{:.2f}",
                 busy.count() / seconds * 100,
                 static_cast<double>(usage.residentBytes) / 1e6);
    }
    fmt::print("\n");
    mContext.stop();
  }

  void Receive(host_id aHost, const std::string& aBytes)
  {
    last_reason reason;
    auto message =
      wire::Decode(aBytes, std::chrono::steady_clock::now(), reason);
    if (message) {
      mTables.inbox.push_back({ aHost, aBytes.size(), std::move(*message) });
      mTimer.RunSoon();
    }
  }

  wake_time Tick(steady_time aNow)
  {
    swarm_outbox outbox;
    RunSwarm(mTables, aNow, outbox);
    for (auto& [id, report] : outbox.reports) {
      swarm_host& host = *mTables.hosts.Find(id);
      const std::string bytes = wire::Encode(
        { host.name, mTables.incarnation, std::move(report) }, aNow);
      if (mLinks.at(id)->Send(bytes)) {
        host.bytesSent += bytes.size();
      }
    }
    return outbox.wake;
  }

  asio::io_context& mContext;
  swarm_tables mTables;
  std::vector<std::int64_t> mPids;
  std::chrono::milliseconds mMeasureTime;
  std::vector<process_usage> mBefore;
  net::tick_timer mTimer;
  asio::steady_timer mPhaseTimer;
  std::unordered_map<host_id, std::unique_ptr<net::link_client>, id_hash>
    mLinks;
};

int
Run(int aCount, char** aWords)
{
  int exitCode = 0;
  const auto options = StartWithSettings(kProgram, aCount, aWords, exitCode);
  if (!options) {
    return exitCode;
  }
  asio::io_context context{ 1 };
  swarm_process process(context, *options);
  last_reason reason;
  if (!process.Start(*options, reason)) {
    LogError(kLog, "Cannot start: {}", Describe(reason));
    return 1;
  }
  context.run();
  return 0;
}

} // namespace
} // namespace bulrush::swarm

int
main(int aCount, char** aWords)
{
  return bulrush::swarm::Run(aCount, aWords);
}
