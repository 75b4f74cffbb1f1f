#include "net/net.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <fstream>
#include <thread>

namespace bulrush::net {
namespace {

using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr std::size_t kMegabyte = 1U << 20U;
/// Longer than any test; a call that only its timeout ends has failed.
constexpr std::chrono::milliseconds kLongTimeout{ 20'000 };
constexpr std::chrono::milliseconds kPromptly{ 3'000 };

const std::string kChunkedHead =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::size_t
PeakResidentBytes()
{
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) {
      return std::stoul(line.substr(line.find(':') + 1)) * 1024;
    }
  }
  return 0;
}

/// Sets the peak to the memory in use now.
void
ResetPeakResidentBytes()
{
  std::ofstream("/proc/self/clear_refs") << "5";
}

/// A start and a block that is repeated.
struct answer_bytes
{
  std::string start;
  std::string block;
};

/// Answers one request with a start and then a block that it repeats until the
/// caller closes the connection.
class endless_server
{
public:
  endless_server(std::string aStart, std::string aBlock)
    : mThread([this, start = std::move(aStart), block = std::move(aBlock)] {
      Serve(start, block);
    })
  {
  }
  ~endless_server() { mThread.join(); }
  endless_server(const endless_server&) = delete;
  endless_server& operator=(const endless_server&) = delete;

  std::string Url() const
  {
    return "http://127.0.0.1:" + std::to_string(mPort) + "/";
  }
  bool IsClosed() const { return mIsClosed; }

private:
  void Serve(const std::string& aStart, const std::string& aBlock)
  {
    std::error_code error;
    tcp::socket socket = mAcceptor.accept(error);
    asio::streambuf request;
    asio::read_until(socket, request, "\r\n\r\n", error);
    asio::write(socket, asio::buffer(aStart), error);
    std::string bytes;
    while (bytes.size() < kBlockBytes) {
      bytes += aBlock;
    }
    while (!error) {
      asio::write(socket, asio::buffer(bytes), error);
    }
    mIsClosed = true;
  }

  static constexpr std::size_t kBlockBytes = 65'536;

  asio::io_context mContext;
  tcp::acceptor mAcceptor{ mContext,
                           { asio::ip::make_address("127.0.0.1"), 0 } };
  std::uint16_t mPort = mAcceptor.local_endpoint().port();
  std::atomic<bool> mIsClosed{ false };
  std::thread mThread;
};

struct client_fixture
{
  asio::io_context context;
  std::unique_ptr<http_client> client = MakeHttpClient(context);
  std::optional<http_call_end> end;
  std::size_t bodyBytes = 0;

  client_fixture() { ResetPeakResidentBytes(); }

  // Runs one call to its end and until the server's connection is closed.
  void Call(const endless_server& aServer, std::size_t aMaxBodyBytes = 0)
  {
    http_call call;
    call.method = "GET";
    call.url = aServer.Url();
    call.timeout = kLongTimeout;
    call.maxBodyBytes = aMaxBodyBytes;
    http_call_hooks hooks;
    hooks.onBytes = [this](std::string_view aBytes) {
      bodyBytes += aBytes.size();
    };
    hooks.onEnd = [this](const http_call_end& aEnd) { end = aEnd; };
    client->Start(std::move(call), std::move(hooks));
    const auto until = std::chrono::steady_clock::now() + kPromptly;
    while ((!end || !aServer.IsClosed()) &&
           std::chrono::steady_clock::now() < until) {
      context.restart();
      context.run_for(10ms);
    }
    isClosed = aServer.IsClosed();
    client.reset(); // closes the connection, so that the server's thread ends
  }

  /// The head is at most 64 KiB; sockets and libcurl buffer far less than the
  /// rest.
  void RequireEndedEarly(std::size_t aPeakBefore) const
  {
    CHECK(PeakResidentBytes() < aPeakBefore + 4 * kMegabyte);
    REQUIRE(end.has_value());
    INFO(end->error << " status " << end->status);
    CHECK(isClosed);
    CHECK_FALSE(end->isComplete);
    CHECK(end->requestSent);
    CHECK_FALSE(end->error.empty());
  }

  bool isClosed = false;
};

TEST_CASE_METHOD(client_fixture,
                 "HttpClient_WhenAHeadIsEndless_EndsTheCall",
                 "[net]")
{
  const auto [start, block] =
    GENERATE(answer_bytes{ "HTTP/1.1 200 ", "O" },
             answer_bytes{ "HTTP/1.1 200 OK\r\nX: ", "x" },
             answer_bytes{ "HTTP/1.1 200 OK\r\n", "X: y\r\n" },
             answer_bytes{ "", "HTTP/1.1 100 Continue\r\n\r\n" },
             answer_bytes{ "", "garbage" },
             answer_bytes{ "", std::string(16, '\0') },
             answer_bytes{ "", "\r\n" });
  INFO(start << '|' << block);
  const std::size_t before = PeakResidentBytes();
  endless_server server(start, block);
  Call(server);
  RequireEndedEarly(before);
  CHECK(bodyBytes == 0);
}

TEST_CASE_METHOD(client_fixture,
                 "HttpClient_WhenTrailerFieldsAreEndless_EndsTheCall",
                 "[net]")
{
  const std::size_t before = PeakResidentBytes();
  endless_server server(kChunkedHead + "2\r\nok\r\n0\r\n", "X: y\r\n");
  Call(server);
  RequireEndedEarly(before);
}

TEST_CASE_METHOD(client_fixture,
                 "HttpClient_WhenABodyPassesItsLimit_EndsTheCall",
                 "[net]")
{
  constexpr std::size_t kLimit = 100'000;
  const std::string start =
    GENERATE(as<std::string>(),
             "HTTP/1.1 200 OK\r\n\r\n",
             "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n",
             "HTTP/1.1 500 Error\r\nContent-Length: 9000000000000\r\n\r\n");
  INFO(start);
  const std::size_t before = PeakResidentBytes();
  endless_server server(start, "no answer");
  Call(server, kLimit);
  RequireEndedEarly(before);
  CHECK(bodyBytes <= kLimit);
}

} // namespace
} // namespace bulrush::net
