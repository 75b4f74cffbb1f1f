#include "net/net.hpp"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <zmq.hpp>

namespace bulrush::net {
namespace {

constexpr int kHighWaterMark = 4096;
/// A client that has received nothing for this long sends a heartbeat.
constexpr std::chrono::milliseconds kHeartbeatInterval{ 500 };
/// A connection is replaced when no heartbeat was answered for this long.
constexpr std::chrono::milliseconds kHeartbeatTimeout{ 1'500 };
constexpr int kMaxUnanswered =
  static_cast<int>(kHeartbeatTimeout / kHeartbeatInterval);
/// A handshake on a connection that falls silent is given up after the time of
/// an idle interval and the unanswered heartbeats.
constexpr int kHandshakeTimeoutMs = 2'000;
constexpr int kReconnectMs = 50;
constexpr int kReconnectMaxMs = 500;
/// The kernel retransmits a SYN after 1, 3 and 7 s, so without this timeout a
/// link would stay down for seconds after the network recovers.
constexpr int kConnectTimeoutMs = 400;
/// The connection is closed if data stays unacknowledged for this long.
constexpr int kUnacknowledgedTimeoutMs = 1'500;
/// An idle connection is probed by the kernel each second and closed when a
/// probe stays unacknowledged for kUnacknowledgedTimeoutMs.
constexpr int kKeepAliveSeconds = 1;
constexpr int kKeepAliveCount = 2;
constexpr std::int64_t kMaxMessageBytes = 16'777'216;

// One context per process, so that all links share its I/O thread.
zmq::context_t&
SharedContext()
{
  static zmq::context_t sContext{ 1 };
  return sContext;
}

/// A heartbeat has two empty parts; messages of users have one part. Clients
/// send heartbeats and servers echo them.
const std::string kHeartbeatPart;

// A ZeroMQ socket on an io_context. Its descriptor is edge-triggered, so after
// each event and each send the socket is read until it has no more input.
class polled_socket : public std::enable_shared_from_this<polled_socket>
{
public:
  polled_socket(asio::io_context& aContext, zmq::socket_type aType)
    : mContext(aContext)
    , mSocket(SharedContext(), aType)
    , mDescriptor(aContext)
  {
    mSocket.set(zmq::sockopt::linger, 0);
    mSocket.set(zmq::sockopt::sndhwm, kHighWaterMark);
    mSocket.set(zmq::sockopt::rcvhwm, kHighWaterMark);
    // ZeroMQ's own heartbeats stay off: libzmq 4.3.4 aborts the process when it
    // writes one on a connection that was reset while its input was stopped at
    // the receive high water mark.
    mSocket.set(zmq::sockopt::handshake_ivl, kHandshakeTimeoutMs);
    mSocket.set(zmq::sockopt::tcp_keepalive, 1);
    mSocket.set(zmq::sockopt::tcp_keepalive_idle, kKeepAliveSeconds);
    mSocket.set(zmq::sockopt::tcp_keepalive_intvl, kKeepAliveSeconds);
    mSocket.set(zmq::sockopt::tcp_keepalive_cnt, kKeepAliveCount);
    mSocket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
    mSocket.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMs);
    mSocket.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
    mSocket.set(zmq::sockopt::tcp_maxrt, kUnacknowledgedTimeoutMs);
    mSocket.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
  }

  ~polled_socket()
  {
    if (mDescriptor.is_open()) {
      mDescriptor.release();
    }
  }
  polled_socket(const polled_socket&) = delete;
  polled_socket& operator=(const polled_socket&) = delete;

  zmq::socket_t& Socket() { return mSocket; }

  // Starts to deliver messages, as lists of parts, to aOnParts.
  void Open(std::function<void(std::vector<std::string>)> aOnParts)
  {
    mOnParts = std::move(aOnParts);
    mDescriptor.assign(mSocket.get(zmq::sockopt::fd));
    Wait();
    DrainSoon();
  }

  void Close()
  {
    mOnParts = nullptr;
    if (mDescriptor.is_open()) {
      mDescriptor.release();
    }
    mSocket.close();
  }

  // Counts a message that cannot be sent as dropped.
  bool Send(const std::vector<const std::string*>& aParts)
  {
    const bool isSent = TrySend(aParts);
    if (!isSent) {
      ++mDropped;
    }
    return isSent;
  }

  bool TrySend(const std::vector<const std::string*>& aParts)
  {
    bool isSent = true;
    for (std::size_t i = 0; i < aParts.size() && isSent; ++i) {
      const auto more = i + 1 < aParts.size() ? zmq::send_flags::sndmore
                                              : zmq::send_flags::none;
      isSent = SendPart(*aParts[i], more);
    }
    DrainSoon();
    return isSent;
  }

  // To read the events may consume the edge that signalled input.
  bool CanSend()
  {
    const bool canSend = (mSocket.get(zmq::sockopt::events) & ZMQ_POLLOUT) != 0;
    DrainSoon();
    return canSend;
  }

  std::uint64_t Dropped() const { return mDropped; }

private:
  bool SendPart(const std::string& aPart, zmq::send_flags aFlags)
  {
    try {
      return mSocket
        .send(zmq::buffer(aPart), aFlags | zmq::send_flags::dontwait)
        .has_value();
    } catch (const zmq::error_t&) {
      return false; // EHOSTUNREACH: the peer is not connected
    }
  }

  void Wait()
  {
    mDescriptor.async_wait(
      asio::posix::stream_descriptor::wait_read,
      [self = shared_from_this()](const std::error_code& aError) {
        if (aError || !self->mOnParts) {
          return;
        }
        self->Drain();
        if (self->mDescriptor.is_open()) {
          self->Wait();
        }
      });
  }

  // A send may consume the edge that signalled input, so the socket is read
  // after it as well.
  void DrainSoon()
  {
    if (mIsDrainPending) {
      return;
    }
    mIsDrainPending = true;
    asio::post(mContext, [self = shared_from_this()] {
      self->mIsDrainPending = false;
      self->Drain();
    });
  }

  void Drain()
  {
    while (mOnParts && (mSocket.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
      std::vector<std::string> parts;
      bool hasMore = true;
      while (hasMore) {
        zmq::message_t part;
        if (!mSocket.recv(part, zmq::recv_flags::dontwait)) {
          return;
        }
        parts.push_back(part.to_string());
        hasMore = part.more();
      }
      mOnParts(std::move(parts));
    }
  }

  asio::io_context& mContext;
  zmq::socket_t mSocket;
  asio::posix::stream_descriptor mDescriptor;
  std::function<void(std::vector<std::string>)> mOnParts;
  std::uint64_t mDropped = 0;
  bool mIsDrainPending = false;
};

// Handles ZeroMQ's authentication requests (RFC 27, ZAP): accepts only peers
// that hold the fleet's key pair.
class link_authenticator
{
public:
  link_authenticator(asio::io_context& aContext, const std::string& aPublicKey)
    : mSocket(std::make_shared<polled_socket>(aContext, zmq::socket_type::rep))
  {
    std::array<std::uint8_t, kRawKeyBytes> raw{};
    zmq_z85_decode(raw.data(), aPublicKey.c_str());
    mAllowed.assign(raw.begin(), raw.end());
    mSocket->Socket().bind(kEndpoint);
    mSocket->Open([this](const std::vector<std::string>& aParts) {
      HandleRequest(aParts);
    });
  }
  // A closed socket keeps its address until ZeroMQ's threads have ended it,
  // which would fail the next server's bind.
  ~link_authenticator()
  {
    mSocket->Socket().unbind(kEndpoint);
    mSocket->Close();
  }
  link_authenticator(const link_authenticator&) = delete;
  link_authenticator& operator=(const link_authenticator&) = delete;

private:
  static constexpr const char* kEndpoint = "inproc://zeromq.zap.01";
  static constexpr std::size_t kRawKeyBytes = 32;
  static constexpr std::size_t kRequestId = 1;
  static constexpr std::size_t kMechanism = 5;
  static constexpr std::size_t kCredentials = 6;

  void HandleRequest(const std::vector<std::string>& aParts)
  {
    if (aParts.size() <= kRequestId) {
      return;
    }
    const bool isAllowed = aParts.size() > kCredentials &&
                           aParts[kMechanism] == "CURVE" &&
                           aParts[kCredentials] == mAllowed;
    const std::string version = "1.0";
    const std::string code = isAllowed ? "200" : "400";
    const std::string text = isAllowed ? "OK" : "not of this fleet";
    const std::string empty;
    mSocket->Send(
      { &version, &aParts[kRequestId], &code, &text, &empty, &empty });
  }

  std::shared_ptr<polled_socket> mSocket;
  std::string mAllowed;
};

// Replaces the connection of a client whose heartbeats stay unanswered.
// Timeouts are counted in heartbeats rather than in time, so that a client that
// was suspended waits for the answers that arrived meanwhile.
class link_heartbeat : public std::enable_shared_from_this<link_heartbeat>
{
public:
  link_heartbeat(asio::io_context& aContext,
                 std::shared_ptr<polled_socket> aSocket,
                 std::string aEndpoint)
    : mSocket(std::move(aSocket))
    , mEndpoint(std::move(aEndpoint))
    , mTimer(aContext)
  {
  }

  void Start() { WaitUntil(Now()); }

  void Stop()
  {
    mIsStopped = true;
    mTimer.cancel();
  }

  void HandleArrival()
  {
    mLastArrival = Now();
    mWasConnected = true;
    mUnanswered = 0;
  }

  void HandleSent() { mWasConnected = true; }

private:
  void WaitUntil(steady_time aTime)
  {
    mTimer.expires_after(aTime - Now());
    mTimer.async_wait([self = shared_from_this()](const std::error_code&) {
      if (!self->mIsStopped) {
        self->Tick(Now());
      }
    });
  }

  // Nothing is counted before the socket has accepted a message on this
  // connection: until then ZeroMQ is still connecting. After that, a send fails
  // as well when the queue is full, which must not hide a silent connection.
  void Tick(steady_time aNow)
  {
    if (aNow < mLastArrival + kHeartbeatInterval) {
      WaitUntil(mLastArrival + kHeartbeatInterval);
      return;
    }
    if (mUnanswered == kMaxUnanswered) {
      Reconnect();
    } else {
      mWasConnected =
        mSocket->TrySend({ &kHeartbeatPart, &kHeartbeatPart }) || mWasConnected;
      mUnanswered += mWasConnected ? 1 : 0;
    }
    WaitUntil(aNow + kHeartbeatInterval);
  }

  void Reconnect()
  {
    mUnanswered = 0;
    mWasConnected = false;
    mSocket->Socket().disconnect(mEndpoint);
    mSocket->Socket().connect(mEndpoint);
  }

  std::shared_ptr<polled_socket> mSocket;
  std::string mEndpoint;
  asio::steady_timer mTimer;
  steady_time mLastArrival{};
  int mUnanswered = 0;
  bool mWasConnected = false;
  bool mIsStopped = false;
};

class zmq_link_server : public link_server
{
public:
  zmq_link_server(std::shared_ptr<polled_socket> aSocket,
                  std::unique_ptr<link_authenticator> aAuthenticator)
    : mAuthenticator(std::move(aAuthenticator))
    , mSocket(std::move(aSocket))
  {
  }
  ~zmq_link_server() override { mSocket->Close(); }
  zmq_link_server(const zmq_link_server&) = delete;
  zmq_link_server& operator=(const zmq_link_server&) = delete;

  bool Send(const std::string& aPeer, const std::string& aBytes) override
  {
    return mSocket->Send({ &aPeer, &aBytes });
  }
  std::uint64_t Dropped() const override { return mSocket->Dropped(); }

private:
  std::unique_ptr<link_authenticator> mAuthenticator;
  std::shared_ptr<polled_socket> mSocket;
};

class zmq_link_client : public link_client
{
public:
  zmq_link_client(std::shared_ptr<polled_socket> aSocket,
                  std::shared_ptr<link_heartbeat> aHeartbeat)
    : mSocket(std::move(aSocket))
    , mHeartbeat(std::move(aHeartbeat))
  {
  }
  ~zmq_link_client() override
  {
    mHeartbeat->Stop();
    mSocket->Close();
  }
  zmq_link_client(const zmq_link_client&) = delete;
  zmq_link_client& operator=(const zmq_link_client&) = delete;

  bool Send(const std::string& aBytes) override
  {
    const bool isSent = mSocket->Send({ &aBytes });
    if (isSent) {
      mHeartbeat->HandleSent();
    }
    return isSent;
  }
  bool CanSend() override { return mSocket->CanSend(); }
  std::uint64_t Dropped() const override { return mSocket->Dropped(); }

private:
  std::shared_ptr<polled_socket> mSocket;
  std::shared_ptr<link_heartbeat> mHeartbeat;
};

} // namespace

std::optional<link_keys>
MakeLinkKeys(last_reason& aReason)
{
  constexpr std::size_t kKeyTextBytes = 41; // 40 characters of Z85 and a zero
  std::array<char, kKeyTextBytes> publicKey{};
  std::array<char, kKeyTextBytes> secretKey{};
  if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0) {
    return Fail(aReason, "make link keys", "", zmq_strerror(zmq_errno()));
  }
  return link_keys{ publicKey.data(), secretKey.data() };
}

std::string
FormatLinkKeys(const link_keys& aKeys)
{
  return aKeys.publicKey + " " + aKeys.secretKey;
}

std::optional<link_keys>
ParseLinkKeys(const std::string& aText, last_reason& aReason)
{
  constexpr std::size_t kZ85KeyBytes = 40;
  const std::size_t space = aText.find(' ');
  if (space != kZ85KeyBytes || aText.size() != 2 * kZ85KeyBytes + 1) {
    return Fail(aReason,
                "read link keys",
                "",
                "expected two Z85 keys of 40 characters and a space");
  }
  return link_keys{ aText.substr(0, kZ85KeyBytes),
                    aText.substr(kZ85KeyBytes + 1) };
}

std::optional<std::unique_ptr<link_server>>
ListenLink(asio::io_context& aContext,
           const std::string& aAddress,
           const link_keys& aKeys,
           link_server::message_hook aOnMessage,
           last_reason& aReason)
{
  try {
    auto socket =
      std::make_shared<polled_socket>(aContext, zmq::socket_type::router);
    // A restarted peer replaces the connection that still has its identity.
    socket->Socket().set(zmq::sockopt::router_handover, true);
    socket->Socket().set(zmq::sockopt::router_mandatory, true);
    std::unique_ptr<link_authenticator> authenticator;
    if (!aKeys.secretKey.empty()) {
      authenticator =
        std::make_unique<link_authenticator>(aContext, aKeys.publicKey);
      socket->Socket().set(zmq::sockopt::zap_domain, "bulrush");
      socket->Socket().set(zmq::sockopt::curve_server, true);
      socket->Socket().set(zmq::sockopt::curve_secretkey, aKeys.secretKey);
    }
    socket->Socket().bind("tcp://" + aAddress);
    // The socket owns its hook, so the hook refers to it by a plain pointer.
    socket->Open(
      [hook = std::move(aOnMessage), answering = socket.get()](auto aParts) {
        const std::string& peer = aParts.front();
        if (aParts.size() == 2) {
          hook(std::move(aParts[0]), std::move(aParts[1]));
        } else if (aParts.size() == 3 && aParts[1] == kHeartbeatPart &&
                   aParts[2] == kHeartbeatPart) {
          answering->TrySend({ &peer, &kHeartbeatPart, &kHeartbeatPart });
        }
      });
    return std::make_unique<zmq_link_server>(std::move(socket),
                                             std::move(authenticator));
  } catch (const std::exception& error) {
    return Fail(aReason, "listen for links", aAddress, error.what());
  }
}

std::optional<std::unique_ptr<link_client>>
ConnectLink(asio::io_context& aContext,
            const std::string& aAddress,
            const std::string& aIdentity,
            const link_keys& aKeys,
            link_client::message_hook aOnMessage,
            last_reason& aReason)
{
  try {
    auto socket =
      std::make_shared<polled_socket>(aContext, zmq::socket_type::dealer);
    // Nothing is queued while the peer is not connected, so that no outdated
    // messages are delivered after a reconnect.
    socket->Socket().set(zmq::sockopt::immediate, true);
    socket->Socket().set(zmq::sockopt::routing_id, aIdentity);
    if (!aKeys.secretKey.empty()) {
      socket->Socket().set(zmq::sockopt::curve_serverkey, aKeys.publicKey);
      socket->Socket().set(zmq::sockopt::curve_publickey, aKeys.publicKey);
      socket->Socket().set(zmq::sockopt::curve_secretkey, aKeys.secretKey);
    }
    const std::string endpoint = "tcp://" + aAddress;
    socket->Socket().connect(endpoint);
    auto heartbeat =
      std::make_shared<link_heartbeat>(aContext, socket, endpoint);
    socket->Open([hook = std::move(aOnMessage), heartbeat](auto aParts) {
      heartbeat->HandleArrival();
      if (aParts.size() == 1) {
        hook(std::move(aParts[0]));
      }
    });
    heartbeat->Start();
    return std::make_unique<zmq_link_client>(std::move(socket),
                                             std::move(heartbeat));
  } catch (const std::exception& error) {
    return Fail(aReason, "connect link", aAddress, error.what());
  }
}

} // namespace bulrush::net
