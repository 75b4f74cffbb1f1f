#include "support/model_servers.hpp"

#include "support/processes.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <deque>

namespace bulrush::test {
namespace {

using asio::ip::tcp;

std::string
EventText(int aNumber)
{
  return "id: " + std::to_string(aNumber) + "\ndata: token" +
         std::to_string(aNumber) + "\n\n";
}

std::string
Chunk(const std::string& aText)
{
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", aText.size());
  return size.data() + aText + "\r\n";
}

bool
HasPart(const std::string& aPrompt, const std::string& aPart)
{
  return !aPart.empty() &&
         ("," + aPrompt).find("," + aPart + ":") != std::string::npos;
}

/// Settings and records that all servers share.
struct shared_state
{
  asio::io_context& context;
  std::vector<std::string> controls;
  model_server_options options;
  std::unique_ptr<net::http_client> client;
  std::string crashingPart;
  stream_end end = stream_end::eWhole;
  std::vector<steady_time> crashes;
  std::vector<server_arrival> arrivals;
  std::uint64_t lastBoot = 0;
};

class session;

/// One server at one address. Its process may end and start again.
class server : public std::enable_shared_from_this<server>
{
public:
  server(shared_state& aState, std::size_t aIndex)
    : state(aState)
    , mIndex(aIndex)
    , mAcceptor(aState.context)
    , mHeartbeat(aState.context)
    , mRestart(aState.context)
  {
  }

  void Start()
  {
    const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), mPort);
    mAcceptor.open(endpoint.protocol());
    mAcceptor.set_option(tcp::acceptor::reuse_address(true));
    mAcceptor.bind(endpoint);
    mAcceptor.listen();
    mBorn = ++state.lastBoot;
    mSequence = 0;
    name = "i-" + std::to_string(mIndex) + "-" + std::to_string(mBorn);
    Accept();
    SendHeartbeat();
  }

  void Crash()
  {
    if (!mAcceptor.is_open()) {
      return;
    }
    state.crashes.push_back(net::Now());
    Stop();
    mRestart.expires_after(state.options.downTime);
    mRestart.async_wait(
      [self = shared_from_this()](const std::error_code& aError) {
        if (!aError) {
          self->Start();
        }
      });
  }

  void Stop();

  shared_state& state;
  std::string name;

private:
  void Accept();

  void SendHeartbeat()
  {
    if (!mAcceptor.is_open()) {
      return;
    }
    const model_server_options& options = state.options;
    net::http_call call;
    call.url = "http://" + state.controls[mIndex % state.controls.size()] +
               "/Instances.Heartbeat/" + name;
    call.fields = { { "Content-Type", "application/json" } };
    call.body =
      "{\"service\":\"" + options.service +
      "\",\"address\":\"127.0.0.1:" + std::to_string(mPort) + "\",\"zone\":\"" +
      options.domains[mIndex % options.domains.size()] +
      "\",\"version\":\"v1\",\"slots\":" + std::to_string(options.slots) +
      ",\"state\":\"ready\",\"coldRemainingMs\":0,\"models\":[],"
      "\"born\":" +
      std::to_string(mBorn) + ",\"sequence\":" + std::to_string(++mSequence) +
      "}";
    state.client->Start(std::move(call), {});
    mHeartbeat.expires_after(options.heartbeatInterval);
    mHeartbeat.async_wait(
      [self = shared_from_this()](const std::error_code& aError) {
        if (!aError) {
          self->SendHeartbeat();
        }
      });
  }

  std::size_t mIndex;
  tcp::acceptor mAcceptor;
  asio::steady_timer mHeartbeat;
  asio::steady_timer mRestart;
  const std::uint16_t mPort = FreePort(); // kept while the server is down
  std::uint64_t mBorn = 0;
  std::uint64_t mSequence = 0;
  std::vector<std::weak_ptr<session>> mSessions;
};

/// A caller's connection, which serves one request at a time.
class session : public std::enable_shared_from_this<session>
{
public:
  session(std::shared_ptr<server> aServer, tcp::socket aSocket)
    : mServer(std::move(aServer))
    , mSocket(std::move(aSocket))
    , mTimer(mServer->state.context)
  {
  }

  void ReadRequest()
  {
    asio::async_read_until(
      mSocket,
      mInput,
      "\r\n\r\n",
      [self = shared_from_this()](const std::error_code& aError,
                                  std::size_t aCount) {
        if (!aError) {
          self->ReadBody(aCount);
        }
      });
  }

  void Close(bool aResets)
  {
    mTimer.cancel();
    std::error_code ignored;
    if (aResets) {
      mSocket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    mSocket.close(ignored);
  }

private:
  void ReadBody(std::size_t aHeadBytes)
  {
    mHead.assign(asio::buffers_begin(mInput.data()),
                 asio::buffers_begin(mInput.data()) +
                   static_cast<std::ptrdiff_t>(aHeadBytes));
    mInput.consume(aHeadBytes);
    const std::string length = HeaderField(mHead, "Content-Length");
    const std::size_t body = length.empty() ? 0 : std::stoul(length);
    const std::size_t missing = body - std::min(body, mInput.size());
    asio::async_read(mSocket,
                     mInput,
                     asio::transfer_exactly(missing),
                     [self = shared_from_this(),
                      body](const std::error_code& aError, std::size_t) {
                       if (!aError) {
                         self->mInput.consume(body);
                         self->Begin();
                       }
                     });
  }

  void Begin()
  {
    shared_state& state = mServer->state;
    const std::string instance = HeaderField(mHead, "X-Expect-Instance");
    if (!instance.empty() && instance != mServer->name) {
      Write("HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n"
            "Content-Length: 0\r\n\r\n",
            [this] { ReadRequest(); });
      return;
    }
    const std::string prompt = HeaderField(mHead, "X-Prompt-Prefix");
    state.arrivals.push_back(
      { HeaderField(mHead, "X-Attempt-Id"), prompt, net::Now() });
    mEnd = state.end;
    const std::string resumed = HeaderField(mHead, "Last-Event-Id");
    mNext = resumed.empty() ? 1 : std::stoi(resumed) + 1;
    Wait(state.options.firstEvent, [this] { BeginAnswer(); });
  }

  void BeginAnswer()
  {
    shared_state& state = mServer->state;
    const bool crashes =
      HasPart(HeaderField(mHead, "X-Prompt-Prefix"), state.crashingPart);
    if (crashes && !state.options.sendsHead) {
      mServer->Crash();
      return;
    }
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "X-Server-Seal: seal\r\nX-Attempt-Id: " +
                       HeaderField(mHead, "X-Attempt-Id") + "\r\n";
    head += IsChunked() ? "Transfer-Encoding: chunked\r\n\r\n"
                        : "Connection: close\r\n\r\n";
    Write(std::move(head), [this, crashes] {
      if (crashes) {
        Wait(std::chrono::milliseconds{ 5 }, [this] { mServer->Crash(); });
      } else {
        SendEvent();
      }
    });
  }

  bool IsChunked() const
  {
    return mEnd == stream_end::eWhole ||
           mEnd == stream_end::eChunkedInsideEvent;
  }

  void SendEvent()
  {
    const model_server_options& options = mServer->state.options;
    const bool isWhole =
      mEnd == stream_end::eWhole || mEnd == stream_end::eUnframed;
    if (mNext > options.events || (!isWhole && mNext > options.events / 2)) {
      Finish();
      return;
    }
    const std::string event = EventText(mNext++);
    Write(IsChunked() ? Chunk(event) : event, [this] {
      Wait(mServer->state.options.eventInterval, [this] { SendEvent(); });
    });
  }

  void Finish()
  {
    const std::string event = EventText(mNext);
    switch (mEnd) {
      case stream_end::eWhole:
        Write("0\r\n\r\n", [this] { ReadRequest(); });
        return;
      case stream_end::eChunkedInsideEvent:
        Write(Chunk(event.substr(0, event.size() / 2)) + "0\r\n\r\n",
              [this] { ReadRequest(); });
        return;
      case stream_end::eUnframedInsideEvent:
        Write(event.substr(0, event.size() / 2), [this] { Close(false); });
        return;
      case stream_end::eUnframedBeforeLine:
        Write(event.substr(0, event.size() - 1), [this] { Close(false); });
        return;
      case stream_end::eUnframed:
        Close(false);
        return;
    }
  }

  void Wait(std::chrono::milliseconds aTime, std::function<void()> aThen)
  {
    mTimer.expires_after(aTime);
    mTimer.async_wait([self = shared_from_this(),
                       then = std::move(aThen)](const std::error_code& aError) {
      if (!aError) {
        then();
      }
    });
  }

  void Write(std::string aBytes, std::function<void()> aThen)
  {
    mOutput = std::move(aBytes);
    asio::async_write(mSocket,
                      asio::buffer(mOutput),
                      [self = shared_from_this(), then = std::move(aThen)](
                        const std::error_code& aError, std::size_t) {
                        if (!aError && self->mSocket.is_open()) {
                          then();
                        }
                      });
  }

  std::shared_ptr<server> mServer;
  tcp::socket mSocket;
  asio::steady_timer mTimer;
  asio::streambuf mInput;
  std::string mHead;
  std::string mOutput;
  stream_end mEnd = stream_end::eWhole;
  int mNext = 1;
};

void
server::Accept()
{
  mAcceptor.async_accept([self = shared_from_this()](
                           const std::error_code& aError, tcp::socket aSocket) {
    if (aError) {
      return;
    }
    std::erase_if(self->mSessions,
                  [](const auto& aSession) { return aSession.expired(); });
    auto accepted = std::make_shared<session>(self, std::move(aSocket));
    self->mSessions.push_back(accepted);
    accepted->ReadRequest();
    self->Accept();
  });
}

void
server::Stop()
{
  std::error_code ignored;
  mAcceptor.close(ignored);
  mHeartbeat.cancel();
  mRestart.cancel();
  for (const auto& each : std::exchange(mSessions, {})) {
    if (const auto open = each.lock()) {
      open->Close(true);
    }
  }
}

} // namespace

class model_servers::implementation
{
public:
  implementation(asio::io_context& aContext,
                 std::vector<std::string> aControls,
                 model_server_options aOptions)
    : state{ aContext,
             std::move(aControls),
             std::move(aOptions),
             net::MakeHttpClient(aContext),
             {},
             stream_end::eWhole,
             {},
             {},
             static_cast<std::uint64_t>(net::Now().time_since_epoch() /
                                        std::chrono::milliseconds{ 1 }) }
  {
    for (std::size_t i = 0; i < state.options.count; ++i) {
      servers.push_back(std::make_shared<server>(state, i));
      servers.back()->Start();
    }
  }

  shared_state state;
  std::vector<std::shared_ptr<server>> servers;
};

model_servers::model_servers(asio::io_context& aContext,
                             std::vector<std::string> aControls,
                             model_server_options aOptions)
  : mImplementation(std::make_unique<implementation>(aContext,
                                                     std::move(aControls),
                                                     std::move(aOptions)))
{
}

// Handlers that are cancelled here still run, and use the state.
model_servers::~model_servers()
{
  for (const auto& each : mImplementation->servers) {
    each->Stop();
  }
  mImplementation->state.context.restart();
  mImplementation->state.context.poll();
}

void
model_servers::CrashOn(std::string aPart)
{
  mImplementation->state.crashingPart = std::move(aPart);
}

void
model_servers::EndStreams(stream_end aHow)
{
  mImplementation->state.end = aHow;
}

const std::vector<steady_time>&
model_servers::Crashes() const
{
  return mImplementation->state.crashes;
}

const std::vector<server_arrival>&
model_servers::Arrivals() const
{
  return mImplementation->state.arrivals;
}

std::size_t
model_servers::ArrivalsOf(const std::string& aPart, steady_time aFrom) const
{
  const auto& arrivals = Arrivals();
  return static_cast<std::size_t>(std::count_if(
    arrivals.begin(), arrivals.end(), [&](const server_arrival& aArrival) {
      return aArrival.at >= aFrom && HasPart(aArrival.prompt, aPart);
    }));
}

} // namespace bulrush::test
