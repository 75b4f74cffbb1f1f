#include "apps/fake_tables.hpp"
#include "observe/observe.hpp"
#include "settings/settings.hpp"

#include <asio/io_context.hpp>

namespace bulrush::fake {
namespace {

constexpr log_component kLog{ "fake" };

constexpr std::array<option_row, 15> kOptions{ {
  { "name", option_type::eText, "", "fake-1", "", "", "Name of the endpoint" },
  { "domain",
    option_type::eText,
    "",
    "domain-a",
    "",
    "",
    "Failure domain that it is in" },
  { "listen",
    option_type::eAddress,
    "",
    "127.0.0.1:0",
    "",
    "",
    "Address for requests, orders, /faults and /stats" },
  { "report-to",
    option_type::eAddressList,
    "",
    "",
    "",
    "",
    "Entry hosts to report to; the next is tried when one fails" },
  { "memory",
    option_type::eInteger,
    "bytes",
    "0",
    "0",
    "",
    "Accelerator memory; zero for a plain service" },
  { "models",
    option_type::eList,
    "",
    "",
    "",
    "",
    "Models resident at startup, NAME:VERSION:BYTES" },
  { "services",
    option_type::eList,
    "",
    "",
    "",
    "",
    "Plain services that it serves" },
  { "slots",
    option_type::eInteger,
    "requests",
    "8",
    "1",
    "4096",
    "Concurrent requests when warm" },
  { "cold-slots",
    option_type::eInteger,
    "requests",
    "2",
    "1",
    "4096",
    "Concurrent requests while cold" },
  { "cold-for",
    option_type::eDuration,
    "",
    "0ms",
    "0ms",
    "1h",
    "How long it is cold after startup" },
  { "first-token",
    option_type::eDuration,
    "",
    "5ms",
    "0ms",
    "1h",
    "Time to the first token" },
  { "per-token",
    option_type::eDuration,
    "",
    "1ms",
    "0ms",
    "1min",
    "Time for each further token" },
  { "load-time",
    option_type::eDuration,
    "",
    "50ms",
    "0ms",
    "1h",
    "Time to execute an order" },
  { "checks-fencing",
    option_type::eBool,
    "",
    "true",
    "",
    "",
    "Whether orders with an old fencing number are refused" },
  { "secret",
    option_type::eSecretFile,
    "",
    "",
    "",
    "",
    "File with the secret that authenticates its reports" },
} };

constexpr program_options kProgram{ "fake-endpoint",
                                    "Simulates an endpoint in tests",
                                    kOptions };

constexpr std::chrono::milliseconds kReportTimeout{ 500 };

class fake_process
{
public:
  fake_process(asio::io_context& aContext, const option_values& aOptions)
    : mClient(net::MakeHttpClient(aContext))
    , mTimer(aContext, [this](steady_time aNow) { return Tick(aNow); })
  {
    self_row& self = mTables.self;
    self.name = aOptions.Text("name");
    self.domain = aOptions.Text("domain");
    self.memoryBytes = static_cast<std::uint64_t>(aOptions.Integer("memory"));
    self.services = aOptions.List("services");
    self.slots = static_cast<std::uint32_t>(aOptions.Integer("slots"));
    self.coldSlots = static_cast<std::uint32_t>(aOptions.Integer("cold-slots"));
    self.firstToken = aOptions.Duration("first-token");
    self.perToken = aOptions.Duration("per-token");
    self.loadTime = aOptions.Duration("load-time");
    self.checksFencing = aOptions.Flag("checks-fencing");
    self.incarnation = static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count());
    for (const host_address& address : aOptions.Addresses("report-to")) {
      self.reportTo.push_back(FormatAddress(address));
    }
    mTables.coldUntil =
      std::chrono::steady_clock::now() + aOptions.Duration("cold-for");
  }

  bool Start(asio::io_context& aContext,
             const option_values& aOptions,
             last_reason& aReason)
  {
    if (aOptions.IsSet("secret")) {
      const auto secret = ReadSecret(aOptions.Path("secret"), aReason);
      if (!secret) {
        return false;
      }
      mSecret = *secret;
    }
    if (!AddModels(aOptions.List("models"), aReason)) {
      return false;
    }
    const host_address listen = *aOptions.Address("listen");
    net::http_server_settings settings;
    settings.address = listen.ip;
    settings.port = listen.port;
    auto server = net::Listen(
      aContext,
      settings,
      [this](const net::http_request& aRequest,
             std::shared_ptr<net::http_reply> aReply) {
        HandleRequest(mTables,
                      aRequest,
                      std::move(aReply),
                      std::chrono::steady_clock::now());
        mTimer.RunSoon();
      },
      aReason);
    if (!server) {
      return false;
    }
    mServer = std::move(*server);
    mTables.self.address = FormatAddress({ listen.ip, mServer->Port() });
    LogInfo(kLog, "{} listens on {}", mTables.self.name, mTables.self.address);
    mTimer.RunSoon();
    return true;
  }

private:
  bool AddModels(const std::vector<std::string>& aModels, last_reason& aReason)
  {
    for (const std::string& model : aModels) {
      const std::size_t first = model.find(':');
      const std::size_t second = model.find(':', first + 1);
      if (first == std::string::npos || second == std::string::npos) {
        Fail(aReason, "read models", model, "expected NAME:VERSION:BYTES");
        return false;
      }
      AddResident(mTables,
                  model.substr(0, first),
                  model.substr(first + 1, second - first - 1),
                  std::stoull(model.substr(second + 1)));
    }
    return true;
  }

  wake_time Tick(steady_time aNow)
  {
    fake_outbox outbox;
    RunFake(mTables, aNow, outbox);
    for (const std::string& body : outbox.reports) {
      SendReport(body);
    }
    return outbox.wake;
  }

  // Reports go to one host; when a report fails, the next host is tried.
  void SendReport(const std::string& aBody)
  {
    const auto& hosts = mTables.self.reportTo;
    if (hosts.empty()) {
      return;
    }
    net::http_call call;
    call.url = "http://" + hosts[mReportHostIndex % hosts.size()] +
               "/v1/endpoints/report";
    call.fields.push_back({ "Content-Type", "application/json" });
    if (!mSecret.Empty()) {
      call.fields.push_back({ "Bulrush-Secret", mSecret.Reveal() });
    }
    call.body = aBody;
    call.timeout = kReportTimeout;
    net::http_call_hooks hooks;
    hooks.onEnd = [this](const net::http_call_end& aEnd) {
      if (!aEnd.isComplete || aEnd.status != 200) {
        ++mReportHostIndex;
        mTables.nextReport =
          std::chrono::steady_clock::now() + std::chrono::milliseconds(50);
        mTimer.RunSoon();
      }
    };
    mClient->Start(std::move(call), std::move(hooks));
  }

  fake_tables mTables;
  secret_text mSecret;
  std::unique_ptr<net::http_client> mClient;
  net::tick_timer mTimer;
  std::unique_ptr<net::http_server> mServer;
  std::size_t mReportHostIndex = 0;
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
  fake_process process(context, *options);
  last_reason reason;
  if (!process.Start(context, *options, reason)) {
    LogError(kLog, "Cannot start: {}", Describe(reason));
    return 1;
  }
  net::OnStopSignal(
    context,
    [&context] { context.stop(); },
    [] { LogInfo(kLog, "Already stopping"); });
  context.run();
  return 0;
}

} // namespace
} // namespace bulrush::fake

int
main(int aCount, char** aWords)
{
  return bulrush::fake::Run(aCount, aWords);
}
