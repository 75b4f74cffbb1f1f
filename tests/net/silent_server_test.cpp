#include "net/net.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <atomic>

namespace bulrush::net {
namespace {

using asio::ip::tcp;
using namespace std::chrono_literals;

/// Longer than the loss detection of idle connections takes.
constexpr std::chrono::milliseconds kSilence{ 2'500 };
constexpr std::chrono::milliseconds kLongTimeout{ 20'000 };
constexpr int kReceiveBufferBytes = 4'096;
/// More than the buffers of both sockets hold.
constexpr std::size_t kLargeBody = 16U << 20U;
/// More than libcurl passes on in one call of a hook.
constexpr std::size_t kLargeAnswer = 1U << 20U;

int
Option(int aFd, int aLevel, int aName)
{
  int value = -1;
  socklen_t size = sizeof(value);
  return ::getsockopt(aFd, aLevel, aName, &value, &size) == 0 ? value : -1;
}

/// How the kernel treats silence on a connection.
struct silence_limits
{
  bool isProbed = false;
  std::chrono::milliseconds unacknowledged{ 0 }; ///< zero: the kernel's own
};

/// The descriptors of this process that are connected to a local port.
std::vector<int>
SocketsTo(std::uint16_t aPort)
{
  std::vector<int> found;
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  for (int fd = 0;
       fd < static_cast<int>(std::min<rlim_t>(limit.rlim_cur, 1024));
       ++fd) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    if (::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) == 0 &&
        peer.sin_family == AF_INET && ntohs(peer.sin_port) == aPort) {
      found.push_back(fd);
    }
  }
  return found;
}

/// Answers the requests of one connection, in the context of the test. Reads
/// nothing while it is silent; its kernel acknowledges until its buffer is
/// full.
class silent_server
{
public:
  explicit silent_server(asio::io_context& aContext)
    : mAcceptor(aContext)
    , mSocket(aContext)
    , mTimer(aContext)
  {
    mAcceptor.open(tcp::v4());
    mAcceptor.set_option(
      asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    mAcceptor.bind({ asio::ip::make_address("127.0.0.1"), 0 });
    mAcceptor.listen();
    mAcceptor.async_accept(mSocket, [this](const std::error_code& aError) {
      if (!aError) {
        FallSilent();
      }
    });
  }

  std::uint16_t Port() const { return mAcceptor.local_endpoint().port(); }
  std::string Url() const
  {
    return "http://127.0.0.1:" + std::to_string(Port()) + "/";
  }

  std::chrono::milliseconds silence{ 0 }; ///< before it reads
  std::string answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"; ///< to each request
  std::size_t requestBytes = 0; ///< of the body that it waits for

  void WriteRest(const std::string& aBytes)
  {
    asio::write(mSocket, asio::buffer(aBytes));
  }

private:
  void FallSilent()
  {
    mTimer.expires_after(silence);
    mTimer.async_wait([this](const std::error_code& aError) {
      if (!aError) {
        Read();
      }
    });
  }

  void Read()
  {
    mSocket.async_read_some(
      asio::buffer(mBuffer),
      [this](const std::error_code& aError, std::size_t aCount) {
        if (aError) {
          return;
        }
        mRequest.append(mBuffer.data(), aCount);
        const std::size_t head = mRequest.find("\r\n\r\n");
        if (head == std::string::npos ||
            mRequest.size() < head + 4 + requestBytes) {
          Read();
          return;
        }
        mRequest.clear();
        asio::async_write(mSocket,
                          asio::buffer(answer),
                          [this](const std::error_code& aWriteError, auto) {
                            if (!aWriteError) {
                              Read();
                            }
                          });
      });
  }

  tcp::acceptor mAcceptor;
  tcp::socket mSocket;
  asio::steady_timer mTimer;
  std::array<char, 65'536> mBuffer{};
  std::string mRequest;
};

struct silence_fixture
{
  asio::io_context context;
  silent_server server{ context };
  std::unique_ptr<http_client> client = MakeHttpClient(context);
  std::optional<http_call_end> end;
  http_client::call_number call = 0;
  std::size_t bodyBytes = 0;
  bool isFirstOnConnection = false;
  std::function<void()> onBytes;

  ~silence_fixture() { client.reset(); }

  void Start(std::string aBody = "")
  {
    end.reset();
    bodyBytes = 0;
    server.requestBytes = aBody.size();
    http_call next;
    next.url = server.Url();
    next.body = std::move(aBody);
    next.timeout = kLongTimeout;
    http_call_hooks hooks;
    hooks.onHead = [this](const http_answer_head& aHead) {
      isFirstOnConnection = aHead.isFirstOnConnection;
    };
    hooks.onBytes = [this](std::string_view aBytes) {
      bodyBytes += aBytes.size();
      if (onBytes) {
        onBytes();
      }
    };
    hooks.onEnd = [this](const http_call_end& aEnd) { end = aEnd; };
    call = client->Start(std::move(next), std::move(hooks));
  }

  void RunUntil(const std::function<bool()>& aIsTrue)
  {
    const steady_time until = Now() + kLongTimeout;
    while (!aIsTrue() && Now() < until) {
      context.restart();
      context.run_for(5ms);
    }
    REQUIRE(aIsTrue());
  }

  void RunToEnd()
  {
    RunUntil([this] { return end.has_value(); });
    INFO(end->error);
    CHECK(end->isComplete);
  }

  silence_limits Limits() const
  {
    const std::vector<int> sockets = SocketsTo(server.Port());
    REQUIRE(sockets.size() == 1);
    return { Option(sockets[0], SOL_SOCKET, SO_KEEPALIVE) != 0,
             std::chrono::milliseconds(
               Option(sockets[0], IPPROTO_TCP, TCP_USER_TIMEOUT)) };
  }

  void CheckNoLimits() const
  {
    CHECK_FALSE(Limits().isProbed);
    CHECK(Limits().unacknowledged.count() == 0);
  }

  /// Runs until the kernel has limits or none, as expected.
  void RequireLimits(bool aExpected)
  {
    RunUntil([&] {
      return SocketsTo(server.Port()).size() == 1 &&
             Limits().isProbed == aExpected;
    });
    CHECK((Limits().unacknowledged.count() > 0) == aExpected);
  }
};

TEST_CASE_METHOD(silence_fixture,
                 "Call_WhoseServerReadsNothingForSeconds_IsAnswered",
                 "[net][silence]")
{
  server.silence = kSilence;
  Start(std::string(kLargeBody, 'x'));
  RunToEnd();
  CHECK(end->status == 200);
  CHECK(bodyBytes == 2);
}

TEST_CASE_METHOD(silence_fixture,
                 "Connection_WhileACallRuns_HasNoLimitOfSilence",
                 "[net][silence]")
{
  server.silence = 300ms;
  Start();
  RequireLimits(false);
  RunToEnd();
}

TEST_CASE_METHOD(silence_fixture,
                 "Connection_WhileItIsIdle_IsProbed",
                 "[net][silence]")
{
  Start();
  RunToEnd();
  RequireLimits(true);
}

TEST_CASE_METHOD(silence_fixture,
                 "Connection_WhenItIsUsedAgain_HasNoLimitUntilTheNextEnd",
                 "[net][silence]")
{
  Start();
  RunToEnd();
  RequireLimits(true);
  server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no";
  Start();
  RunUntil([this] { return bodyBytes == 1; });
  CHECK_FALSE(isFirstOnConnection);
  CheckNoLimits();
  server.WriteRest("k");
  RunToEnd();
  RequireLimits(true);
}

// A caller that reads slowly pauses the call for as long as it likes.
TEST_CASE_METHOD(silence_fixture,
                 "Connection_WhileItsCallIsPaused_HasNoLimitOfSilence",
                 "[net][silence]")
{
  server.answer =
    "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kLargeAnswer) +
    "\r\n\r\n" + std::string(kLargeAnswer, 'x');
  onBytes = [this] { client->Pause(call); };
  Start();
  RunUntil([this] { return bodyBytes > 0; });
  const steady_time until = Now() + 200ms;
  RunUntil([&] { return Now() >= until; });
  CHECK(bodyBytes < kLargeAnswer);
  CheckNoLimits();
  onBytes = nullptr;
  client->Resume(call);
  RunToEnd();
  CHECK(bodyBytes == kLargeAnswer);
  RequireLimits(true);
}

} // namespace
} // namespace bulrush::net
