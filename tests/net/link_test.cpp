#include "net/net.hpp"

#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <sys/wait.h>
#include <unistd.h>

#include <thread>

namespace bulrush::net {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr const char* kServerCase = "LinkServer_RunAsAProcess_IsReadLate";
constexpr const char* kServerPort = "BULRUSH_TEST_LINK_PORT";
constexpr std::size_t kReceiveMark = 4'096; // messages, as in link.cpp
// Covers the heartbeats and timeouts of a connection that was reset.
constexpr milliseconds kUnreadTime{ 2'500 };

tcp::endpoint
Loopback(std::uint16_t aPort)
{
  return { asio::ip::make_address("127.0.0.1"), aPort };
}

std::string
Address(std::uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

std::uint16_t
FindFreePort(asio::io_context& aContext)
{
  return tcp::acceptor(aContext, Loopback(0)).local_endpoint().port();
}

/// A peer that speaks just enough ZMTP 3.0 to send frames.
class raw_peer
{
public:
  raw_peer(asio::io_context& aContext, std::uint16_t aPort)
    : mSocket(aContext)
  {
    std::error_code error;
    do {
      std::this_thread::sleep_for(milliseconds(20));
      mSocket = tcp::socket(aContext);
    } while (mSocket.connect(Loopback(aPort), error));
    std::string greeting(kGreetingBytes, '\0');
    greeting.replace(0, 1, "\xff");
    greeting.replace(9, 2, "\x7f\x03");
    greeting.replace(12, 4, "NULL");
    asio::write(mSocket, asio::buffer(greeting));
    const std::string socketType = { 0, 0, 0, 6, 'D', 'E', 'A', 'L', 'E', 'R' };
    const std::string ready = "\x05READY\x0bSocket-Type" + socketType;
    asio::write(mSocket,
                asio::buffer(std::string{ 4, char(ready.size()) } + ready));
    ReadHandshake();
  }

  // Sends until the server has accepted no byte for a while.
  std::size_t Fill()
  {
    constexpr int kStalledTries = 20;
    const std::string frame = std::string{ 0, 100 } + std::string(100, 'x');
    std::string frames;
    for (int i = 0; i < 100; ++i) {
      frames += frame;
    }
    mSocket.non_blocking(true);
    std::size_t sent = 0;
    std::size_t offset = 0;
    for (int tries = 0; tries < kStalledTries;) {
      std::error_code error;
      const std::size_t count = mSocket.write_some(
        asio::buffer(frames.data() + offset, frames.size() - offset), error);
      if (error && error != asio::error::would_block) {
        FAIL(error.message());
      }
      sent += count;
      offset = (offset + count) % frames.size();
      tries = count > 0 ? 0 : tries + 1;
      if (count == 0) {
        std::this_thread::sleep_for(milliseconds(20));
      }
    }
    return sent / frame.size();
  }

  void Reset()
  {
    mSocket.set_option(asio::socket_base::linger(true, 0));
    mSocket.close();
  }

private:
  // Reads the server's greeting and its READY command.
  void ReadHandshake()
  {
    std::string bytes(kGreetingBytes + 2, '\0');
    asio::read(mSocket, asio::buffer(bytes));
    bytes.resize(static_cast<std::uint8_t>(bytes.back()));
    asio::read(mSocket, asio::buffer(bytes));
  }

  static constexpr std::size_t kGreetingBytes = 64;

  tcp::socket mSocket;
};

/// Forwards connections to a server; silenced connections stay open, and their
/// bytes are accepted and discarded.
class silencing_proxy
{
public:
  silencing_proxy(asio::io_context& aContext, std::uint16_t aServerPort)
    : mContext(aContext)
    , mAcceptor(aContext, Loopback(0))
    , mServerPort(aServerPort)
  {
    Accept();
  }

  std::uint16_t Port() const { return mAcceptor.local_endpoint().port(); }
  std::size_t Accepted() const { return mPairs.size(); }

  void SetNewConnectionsSilent(bool aIsSilent) { mIsSilent = aIsSilent; }

  void SilenceOpenConnections()
  {
    for (const auto& pair : mPairs) {
      pair->isSilent = true;
    }
  }

private:
  struct connection_pair
  {
    tcp::socket client;
    tcp::socket server;
    std::array<char, 4096> fromClient{};
    std::array<char, 4096> fromServer{};
    bool isSilent = false;
  };

  void Accept()
  {
    mAcceptor.async_accept([this](std::error_code aError, tcp::socket aSocket) {
      if (aError) {
        return;
      }
      auto pair = std::make_shared<connection_pair>(
        connection_pair{ std::move(aSocket), tcp::socket(mContext) });
      pair->isSilent = mIsSilent;
      pair->server.connect(Loopback(mServerPort));
      Forward(pair, pair->client, pair->server, pair->fromClient);
      Forward(pair, pair->server, pair->client, pair->fromServer);
      mPairs.push_back(std::move(pair));
      Accept();
    });
  }

  void Forward(const std::shared_ptr<connection_pair>& aPair,
               tcp::socket& aFrom,
               tcp::socket& aTo,
               std::array<char, 4096>& aBuffer)
  {
    aFrom.async_read_some(
      asio::buffer(aBuffer),
      [this, aPair, &aFrom, &aTo, &aBuffer](std::error_code aError,
                                            std::size_t aCount) {
        std::error_code error;
        if (aError) {
          if (!aPair->isSilent) {
            aTo.close(error);
          }
          return;
        }
        if (!aPair->isSilent) {
          asio::write(aTo, asio::buffer(aBuffer.data(), aCount), error);
        }
        Forward(aPair, aFrom, aTo, aBuffer);
      });
  }

  asio::io_context& mContext;
  tcp::acceptor mAcceptor;
  std::uint16_t mServerPort;
  std::vector<std::shared_ptr<connection_pair>> mPairs;
  bool mIsSilent = false;
};

/// An encrypted server and its client with a proxy between them, on one
/// io_context.
struct link_fixture
{
  asio::io_context context;
  std::vector<std::string> atServer;
  std::vector<std::string> atClient;
  std::unique_ptr<link_server> server;
  std::unique_ptr<silencing_proxy> proxy;
  std::unique_ptr<link_client> client;

  link_fixture()
  {
    const std::uint16_t port = FindFreePort(context);
    last_reason reason;
    const auto keys = MakeLinkKeys(reason);
    REQUIRE(keys);
    auto listening = ListenLink(
      context,
      Address(port),
      *keys,
      [this](const std::string&, std::string aBytes) {
        atServer.push_back(std::move(aBytes));
      },
      reason);
    INFO(Describe(reason));
    REQUIRE(listening);
    server = std::move(*listening);
    proxy = std::make_unique<silencing_proxy>(context, port);
    auto connected = ConnectLink(
      context,
      Address(proxy->Port()),
      "client",
      *keys,
      [this](std::string aBytes) { atClient.push_back(std::move(aBytes)); },
      reason);
    REQUIRE(connected);
    client = std::move(*connected);
  }

  bool RunUntil(milliseconds aTimeout, const std::function<bool()>& aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + aTimeout;
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() >= end) {
        return false;
      }
      context.restart();
      context.run_for(milliseconds(10));
    }
    return true;
  }

  // Sends to the server until a message arrives there.
  bool SendUntilReceived(milliseconds aTimeout)
  {
    const std::size_t before = atServer.size();
    return RunUntil(aTimeout, [&] {
      client->Send("to server");
      return atServer.size() > before;
    });
  }

  bool AnswerUntilReceived(milliseconds aTimeout)
  {
    const std::size_t before = atClient.size();
    return RunUntil(aTimeout, [&] {
      server->Send("client", "to client");
      return atClient.size() > before;
    });
  }
};

// A server in a process of its own, started by the case below: an assertion
// that fails in ZeroMQ ends the whole process.
TEST_CASE("LinkServer_RunAsAProcess_IsReadLate", "[.][link-server]")
{
  const char* port = std::getenv(kServerPort);
  REQUIRE(port != nullptr);
  asio::io_context context;
  std::size_t received = 0;
  last_reason reason;
  const auto server = ListenLink(
    context,
    Address(static_cast<std::uint16_t>(std::stoi(port))),
    {},
    [&](const std::string&, const std::string&) { ++received; },
    reason);
  REQUIRE(server);
  std::this_thread::sleep_for(kUnreadTime);
  context.run_for(milliseconds(500));
  CHECK(received > 0);
}

TEST_CASE("LinkServer_WhenAFullPeerResets_KeepsRunning", "[links]")
{
  asio::io_context context;
  const std::uint16_t port = FindFreePort(context);
  const int pid = ::fork();
  if (pid == 0) {
    ::setenv(kServerPort, std::to_string(port).c_str(), 1);
    ::execl("/proc/self/exe", "test_net", kServerCase, nullptr);
    ::_exit(127);
  }
  raw_peer peer(context, port);
  CHECK(peer.Fill() > kReceiveMark);
  peer.Reset();
  int status = 0;
  REQUIRE(::waitpid(pid, &status, 0) == pid);
  INFO("signal " << (WIFSIGNALED(status) ? WTERMSIG(status) : 0));
  CHECK(WIFEXITED(status));
  CHECK(WEXITSTATUS(status) == 0);
}

TEST_CASE_METHOD(link_fixture,
                 "LinkClient_WhenItsConnectionFallsSilent_Reconnects",
                 "[links]")
{
  // An idle interval and three unanswered heartbeats of 0.5 s, and the pauses
  // of a new connection.
  constexpr milliseconds kReplaceTimeout{ 2'500 };
  REQUIRE(SendUntilReceived(milliseconds(2'000)));
  REQUIRE(AnswerUntilReceived(milliseconds(2'000)));
  for (int i = 0; i < 2; ++i) {
    proxy->SilenceOpenConnections();
    REQUIRE(SendUntilReceived(kReplaceTimeout));
    REQUIRE(AnswerUntilReceived(milliseconds(500)));
  }
}

TEST_CASE_METHOD(link_fixture,
                 "LinkClient_WhenItsHandshakeFallsSilent_Reconnects",
                 "[links]")
{
  // The handshake's timeout of 2 s, and two attempts to connect of 0.4 s with
  // the pauses before them.
  constexpr milliseconds kReplaceTimeout{ 3'000 };
  proxy->SetNewConnectionsSilent(true);
  REQUIRE(RunUntil(milliseconds(2'000), [&] { return proxy->Accepted() > 0; }));
  proxy->SetNewConnectionsSilent(false);
  REQUIRE(SendUntilReceived(kReplaceTimeout));
}

TEST_CASE_METHOD(link_fixture,
                 "LinkClient_WhenIdle_KeepsItsConnection",
                 "[links]")
{
  REQUIRE(SendUntilReceived(milliseconds(2'000)));
  RunUntil(milliseconds(100), [] { return false; });
  const std::size_t received = atServer.size();
  RunUntil(milliseconds(3'000), [] { return false; });
  CHECK(proxy->Accepted() == 1);
  CHECK(atServer.size() == received);
  CHECK(atClient.empty());
  CHECK(client->Send("to server"));
}

TEST_CASE_METHOD(link_fixture,
                 "LinkClient_WhoseServerIsGone_CannotSend",
                 "[links]")
{
  CHECK_FALSE(client->CanSend());
  REQUIRE(RunUntil(milliseconds(2'000), [this] { return client->CanSend(); }));
  server.reset();
  CHECK(RunUntil(milliseconds(2'000), [this] { return !client->CanSend(); }));
}

// Only the client sends: its messages alone are no sign that it receives.
TEST_CASE_METHOD(link_fixture,
                 "LinkClient_WhenNothingIsSentToIt_KeepsItsConnection",
                 "[links]")
{
  REQUIRE(SendUntilReceived(milliseconds(2'000)));
  RunUntil(milliseconds(3'000), [this] {
    client->Send("to server");
    return false;
  });
  CHECK(proxy->Accepted() == 1);
  CHECK(atClient.empty());
}

} // namespace
} // namespace bulrush::net
