#include "support/route_probes.hpp"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include <stdexcept>

namespace bulrush::test {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kProbeInterval{ 20 };
constexpr std::chrono::milliseconds kHeartbeatInterval{ 300 };
constexpr std::chrono::milliseconds kCallTimeout{ 1'000 };
constexpr int kRouteTimeoutMs = 1'000;
constexpr int kTargetMs = 100;
constexpr int kMaxConnections = 500;
constexpr int kSlots = 64;
constexpr int kMisdirected = 421;
constexpr int kSuccess = 200;
constexpr const char* kHost = "probe.example";
constexpr const char* kPath = "/probe/";

json
DescribeService(const std::string& aName)
{
  return { { "name", aName },
           { "healthPath", "/health" },
           { "maxConnections", kMaxConnections },
           { "protocol", "h1" },
           { "tls", false },
           { "coldStartS", 0.0 },
           { "coldPerS", 0.0 } };
}

} // namespace

std::string
ProbedService(int aNumber, int aServices)
{
  return "service-" + std::to_string(aNumber % aServices);
}

std::string
ProbedConfiguration(int aNumber)
{
  return ProbedConfigurationAmong(2, aNumber);
}

std::string
ProbedConfigurationAmong(int aServices, int aNumber)
{
  json services = json::array();
  for (int i = 0; i < aServices; ++i) {
    services.push_back(DescribeService(ProbedService(i, aServices)));
  }
  const json route = { { "name", "probe" },
                       { "hostname", kHost },
                       { "pathPrefix", kPath },
                       { "routeType", "idempotent" },
                       { "timeoutMs", kRouteTimeoutMs },
                       { "targetLatencyMs", kTargetMs },
                       { "priority", 1 },
                       { "service", ProbedService(aNumber, aServices) },
                       { "maxAttempts", 1 } };
  return json{
    { "version", aNumber },
    { "routes", json::array({ route }) },
    { "services", services },
    { "limits",
      { { "maxHeaderBytes", 16'384 },
        { "maxBodyBytes", 4'194'304 },
        { "headerTimeoutMs", 3'000 },
        { "idleTimeoutMs", 15'000 } } }
  }.dump();
}

/// Answers with the name of its service.
class route_probes::server
{
public:
  server(route_probes& aProbes,
         std::string aId,
         std::string aService,
         std::string aDomain)
    : mProbes(aProbes)
    , mId(std::move(aId))
    , mService(std::move(aService))
    , mDomain(std::move(aDomain))
    , mTimer(aProbes.mContext)
  {
    last_reason reason;
    auto listening = net::Listen(
      aProbes.mContext,
      {},
      [this](const net::http_request& aRequest,
             const std::shared_ptr<net::http_reply>& aReply) {
        Serve(aRequest, *aReply);
      },
      reason);
    if (!listening) {
      throw std::runtime_error(Describe(reason));
    }
    mServer = std::move(*listening);
    Announce();
  }

private:
  void Serve(const net::http_request& aRequest, net::http_reply& aReply) const
  {
    const std::string* id = net::FindField(aRequest.fields, "X-Attempt-Id");
    const std::string* expected =
      net::FindField(aRequest.fields, "X-Expect-Instance");
    if (expected != nullptr && *expected != mId) {
      aReply.Send(kMisdirected, { { "X-Not-Executed", "1" } }, "");
      return;
    }
    aReply.Send(kSuccess,
                { { "X-Attempt-Id", id == nullptr ? "" : *id },
                  { "X-Server-Seal", "s" } },
                mService);
  }

  // To the same control process until it fails, as the protocol has it.
  void Announce()
  {
    const std::string& control =
      mProbes.mControls[mControl % mProbes.mControls.size()];
    net::http_call call;
    call.url = "http://" + control + "/Instances.Heartbeat/" + mId;
    call.fields = { { "Content-Type", "application/json" } };
    call.timeout = kCallTimeout;
    call.body = json{
      { "service", mService },
      { "address", "127.0.0.1:" + std::to_string(mServer->Port()) },
      { "zone", mDomain },
      { "version", "v1" },
      { "slots", kSlots },
      { "state", "ready" },
      { "coldRemainingMs", 0 },
      { "born", 1 },
      { "sequence", ++mSequence }
    }.dump();
    net::http_call_hooks hooks;
    hooks.onEnd = [this](const net::http_call_end& aEnd) {
      mControl += aEnd.status == kSuccess ? 0 : 1;
      mTimer.expires_after(kHeartbeatInterval);
      mTimer.async_wait([this](const std::error_code& aError) {
        if (!aError) {
          Announce();
        }
      });
    };
    mProbes.mClient->Start(std::move(call), std::move(hooks));
  }

  route_probes& mProbes;
  std::string mId;
  std::string mService;
  std::string mDomain;
  std::unique_ptr<net::http_server> mServer;
  asio::steady_timer mTimer;
  std::size_t mControl = 0;
  int mSequence = 0;
};

route_probes::route_probes(std::vector<std::string> aControls,
                           std::vector<std::string> aHosts,
                           const std::vector<std::string>& aDomains,
                           int aServices)
  : mControls(std::move(aControls))
  , mHosts(std::move(aHosts))
  , mClient(net::MakeHttpClient(mContext))
  , mTimer(mContext)
{
  for (const std::string& domain : aDomains) {
    for (int number = 0; number < aServices; ++number) {
      const std::string service = ProbedService(number, aServices);
      std::string id = service;
      id += '-';
      id += domain;
      mServers.push_back(
        std::make_unique<server>(*this, std::move(id), service, domain));
    }
  }
  Probe();
  mThread = std::thread([this] { mContext.run(); });
}

route_probes::~route_probes()
{
  mContext.stop();
  mThread.join();
}

void
route_probes::SetControls(std::vector<std::string> aControls)
{
  asio::post(mContext, [this, controls = std::move(aControls)]() mutable {
    mControls = std::move(controls);
  });
}

std::vector<route_probe>
route_probes::Answered() const
{
  const std::lock_guard lock(mMutex);
  return mAnswered;
}

void
route_probes::Probe()
{
  for (std::size_t host = 0; host < mHosts.size(); ++host) {
    Send(host);
  }
  mTimer.expires_after(kProbeInterval);
  mTimer.async_wait([this](const std::error_code& aError) {
    if (!aError) {
      Probe();
    }
  });
}

void
route_probes::Send(std::size_t aHost)
{
  const auto probe = std::make_shared<route_probe>();
  probe->host = aHost;
  probe->sentAt = net::Now();
  net::http_call call;
  call.method = "GET";
  call.url = "http://" + mHosts[aHost];
  call.url += kPath;
  call.fields = { { "Host", kHost },
                  { "X-Attempt-Id", std::to_string(++mLastProbe) },
                  { "X-Deadline-Ms", std::to_string(kRouteTimeoutMs) } };
  call.timeout = kCallTimeout;
  const auto status = std::make_shared<int>(0);
  net::http_call_hooks hooks;
  hooks.onHead = [status](const net::http_answer_head& aHead) {
    *status = aHead.status;
  };
  hooks.onBytes = [probe, status](std::string_view aBytes) {
    probe->service += *status == kSuccess ? aBytes : "";
  };
  hooks.onEnd = [this, probe](const net::http_call_end&) {
    const std::lock_guard lock(mMutex);
    mAnswered.push_back(*probe);
  };
  mClient->Start(std::move(call), std::move(hooks));
}

} // namespace bulrush::test
