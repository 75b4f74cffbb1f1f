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
/// The kernel repeats an opening packet after 1, 3 and 7 s: a link that was cut
/// for seconds would stay down for seconds more.
constexpr int kConnectTimeoutMs = 400;
/// Bytes without acknowledgement for so long: the connection is given up.
constexpr int kUnacknowledgedMs = 1'500;
constexpr std::int64_t kMaxMessageBytes = 16'777'216;

// One context for the process: sockets of several links share its I/O thread.
zmq::context_t&
SharedContext()
{
  static zmq::context_t sContext{ 1 };
  return sContext;
}

// A ZeroMQ socket on an io_context. Its descriptor is edge-triggered, so after
// each wake and each send the socket is drained until it has no more input.
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
    mSocket.set(zmq::sockopt::tcp_maxrt, kUnacknowledgedMs);
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

  // Begins to deliver messages, as lists of parts, to aOnParts.
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
  bool SendPart(const std::string& aPart, zmq::send_flags aMore)
  {
    try {
      return mSocket.send(zmq::buffer(aPart), aMore | zmq::send_flags::dontwait)
        .has_value();
    } catch (const zmq::error_t&) {
      return false; // EHOSTUNREACH: the peer is away
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

  // A send may consume the edge that announced input, so input is looked for
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

// Answers ZeroMQ's question (RFC 27, ZAP) whether a peer may link: only one
// that holds the fleet's own key pair.
class link_gate
{
public:
  link_gate(asio::io_context& aContext, const std::string& aPublicKey)
    : mSocket(std::make_shared<polled_socket>(aContext, zmq::socket_type::rep))
  {
    std::array<std::uint8_t, kRawKeyBytes> raw{};
    zmq_z85_decode(raw.data(), aPublicKey.c_str());
    mAllowed.assign(raw.begin(), raw.end());
    mSocket->Socket().bind("inproc://zeromq.zap.01");
    mSocket->Open(
      [this](const std::vector<std::string>& aParts) { Answer(aParts); });
  }
  ~link_gate() { mSocket->Close(); }
  link_gate(const link_gate&) = delete;
  link_gate& operator=(const link_gate&) = delete;

private:
  static constexpr std::size_t kRawKeyBytes = 32;
  static constexpr std::size_t kRequestId = 1;
  static constexpr std::size_t kMechanism = 5;
  static constexpr std::size_t kCredentials = 6;

  void Answer(const std::vector<std::string>& aParts)
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
                  std::unique_ptr<link_gate> aGate)
    : mGate(std::move(aGate))
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
  std::unique_ptr<link_gate> mGate;
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
MakeLinkKeys(last_reason& aWhy)
{
  constexpr std::size_t kKeyText = 41; // 40 characters of Z85 and a zero
  std::array<char, kKeyText> publicKey{};
  std::array<char, kKeyText> secretKey{};
  if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0) {
    return Fail(aWhy, "make link keys", "", zmq_strerror(zmq_errno()));
  }
  return link_keys{ publicKey.data(), secretKey.data() };
}

std::string
FormatLinkKeys(const link_keys& aKeys)
{
  return aKeys.publicKey + " " + aKeys.secretKey;
}

std::optional<link_keys>
ParseLinkKeys(const std::string& aText, last_reason& aWhy)
{
  constexpr std::size_t kZ85Key = 40;
  const std::size_t space = aText.find(' ');
  if (space != kZ85Key || aText.size() != 2 * kZ85Key + 1) {
    return Fail(aWhy,
                "read link keys",
                "",
                "expected two Z85 keys of 40 characters and a space");
  }
  return link_keys{ aText.substr(0, kZ85Key), aText.substr(kZ85Key + 1) };
}

std::optional<std::unique_ptr<link_server>>
ListenLink(asio::io_context& aContext,
           const std::string& aAddress,
           const link_keys& aKeys,
           link_server::message_hook aOnMessage,
           last_reason& aWhy)
{
  try {
    auto socket =
      std::make_shared<polled_socket>(aContext, zmq::socket_type::router);
    // A peer that restarted takes its identity over from its old connection.
    socket->Socket().set(zmq::sockopt::router_handover, true);
    socket->Socket().set(zmq::sockopt::router_mandatory, true);
    std::unique_ptr<link_gate> gate;
    if (!aKeys.secretKey.empty()) {
      gate = std::make_unique<link_gate>(aContext, aKeys.publicKey);
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
                                             std::move(gate));
  } catch (const std::exception& error) {
    return Fail(aWhy, "listen for links", aAddress, error.what());
  }
}

std::optional<std::unique_ptr<link_client>>
ConnectLink(asio::io_context& aContext,
            const std::string& aAddress,
            const std::string& aIdentity,
            const link_keys& aKeys,
            link_client::message_hook aOnMessage,
            last_reason& aWhy)
{
  try {
    auto socket =
      std::make_shared<polled_socket>(aContext, zmq::socket_type::dealer);
    // Nothing is queued for a peer that is away: after a cut only messages
    // sent since are delivered.
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
    return Fail(aWhy, "connect link", aAddress, error.what());
  }
}

} // namespace bulrush::net
