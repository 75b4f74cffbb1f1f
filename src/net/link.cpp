#include "net/net.hpp"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <zmq.hpp>

namespace bulrush::net {
namespace {

constexpr int kHighWaterMark = 4096;
constexpr int kHeartbeatMs = 500;
constexpr int kHeartbeatTimeoutMs = 1'500;
constexpr int kReconnectMs = 50;
constexpr int kReconnectMaxMs = 500;
/// The kernel retransmits a SYN after 1, 3 and 7 s, so without this timeout a
/// link would stay down for seconds after the network recovers.
constexpr int kConnectTimeoutMs = 400;
/// The connection is closed if data stays unacknowledged for this long.
constexpr int kUnacknowledgedTimeoutMs = 1'500;
constexpr std::int64_t kMaxMessageBytes = 16'777'216;

// One context per process, so that all links share its I/O thread.
zmq::context_t&
SharedContext()
{
  static zmq::context_t sContext{ 1 };
  return sContext;
}

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
    mSocket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatMs);
    mSocket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
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

  bool Send(const std::vector<const std::string*>& aParts)
  {
    bool isSent = true;
    for (std::size_t i = 0; i < aParts.size() && isSent; ++i) {
      const auto more = i + 1 < aParts.size() ? zmq::send_flags::sndmore
                                              : zmq::send_flags::none;
      isSent = SendPart(*aParts[i], more);
    }
    DrainSoon();
    if (!isSent) {
      ++mDropped;
    }
    return isSent;
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
    mSocket->Socket().bind("inproc://zeromq.zap.01");
    mSocket->Open([this](const std::vector<std::string>& aParts) {
      HandleRequest(aParts);
    });
  }
  ~link_authenticator() { mSocket->Close(); }
  link_authenticator(const link_authenticator&) = delete;
  link_authenticator& operator=(const link_authenticator&) = delete;

private:
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
  explicit zmq_link_client(std::shared_ptr<polled_socket> aSocket)
    : mSocket(std::move(aSocket))
  {
  }
  ~zmq_link_client() override { mSocket->Close(); }
  zmq_link_client(const zmq_link_client&) = delete;
  zmq_link_client& operator=(const zmq_link_client&) = delete;

  bool Send(const std::string& aBytes) override
  {
    return mSocket->Send({ &aBytes });
  }
  std::uint64_t Dropped() const override { return mSocket->Dropped(); }

private:
  std::shared_ptr<polled_socket> mSocket;
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
    socket->Open([hook = std::move(aOnMessage)](auto aParts) {
      if (aParts.size() == 2) {
        hook(std::move(aParts[0]), std::move(aParts[1]));
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
    socket->Socket().connect("tcp://" + aAddress);
    socket->Open([hook = std::move(aOnMessage)](auto aParts) {
      if (aParts.size() == 1) {
        hook(std::move(aParts[0]));
      }
    });
    return std::make_unique<zmq_link_client>(std::move(socket));
  } catch (const std::exception& error) {
    return Fail(aReason, "connect link", aAddress, error.what());
  }
}

} // namespace bulrush::net
