#include "net/net.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

namespace bulrush::net {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

const std::string kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Answers the first requests of each connection, and then reads one more and
/// closes the connection without an answer. Counts what arrives.
class closing_server
{
public:
  explicit closing_server(int aAnswered, bool aReadsLast = true)
    : mAnswered(aAnswered)
    , mReadsLast(aReadsLast)
    , mThread([this] { Serve(); })
  {
  }
  ~closing_server()
  {
    mIsStopping = true;
    std::error_code ignored; // wakes the thread
    asio::io_context context;
    tcp::socket(context).connect(Endpoint(), ignored);
    mThread.join();
  }
  closing_server(const closing_server&) = delete;
  closing_server& operator=(const closing_server&) = delete;

  tcp::endpoint Endpoint() const { return mAcceptor.local_endpoint(); }
  int Arrivals() const { return mArrivals; }
  int Connections() const { return mConnections; }

private:
  // An outer loop of one connection each, as a pool of one.
  void Serve()
  {
    while (!mIsStopping) {
      std::error_code error;
      tcp::socket socket = mAcceptor.accept(error);
      ++mConnections;
      for (int i = 0; i < mAnswered && !error; ++i) {
        if (Read(socket)) {
          asio::write(socket, asio::buffer(kAnswer), error);
        }
      }
      if (mReadsLast) {
        Read(socket);
      }
    }
  }

  bool Read(tcp::socket& aSocket)
  {
    asio::streambuf bytes;
    std::error_code error;
    asio::read_until(aSocket, bytes, "\r\n\r\n", error);
    mArrivals += error ? 0 : 1;
    return !error;
  }

  asio::io_context mContext;
  tcp::acceptor mAcceptor{ mContext,
                           { asio::ip::make_address("127.0.0.1"), 0 } };
  int mAnswered;
  bool mReadsLast;
  std::atomic<bool> mIsStopping{ false };
  std::atomic<int> mArrivals{ 0 };
  std::atomic<int> mConnections{ 0 };
  std::thread mThread;
};

struct resend_fixture
{
  /// Ends after the client, whose kept connection it reads from.
  std::unique_ptr<closing_server> server;
  asio::io_context context;
  std::unique_ptr<http_client> client = MakeHttpClient(context);

  http_call_end Call(const std::string& aMethod)
  {
    std::optional<http_call_end> end;
    http_call call;
    call.method = aMethod;
    call.url = "http://127.0.0.1:" + std::to_string(server->Endpoint().port());
    call.timeout = milliseconds{ 2'000 };
    http_call_hooks hooks;
    hooks.onEnd = [&](const http_call_end& aEnd) { end = aEnd; };
    client->Start(std::move(call), std::move(hooks));
    const steady_time limit = Now() + milliseconds{ 5'000 };
    while (!end && Now() < limit) {
      context.restart();
      context.run_one_for(milliseconds{ 50 });
    }
    REQUIRE(end);
    return *end;
  }
};

// Guards against a library that sends a request again by itself: arrivals that
// neither the attempts of a request nor its retry budget count.
TEST_CASE_METHOD(resend_fixture,
                 "Request_WhoseKeptConnectionCloses_IsSentOnce",
                 "[net]")
{
  const std::string method = GENERATE("GET", "POST");
  INFO(method);
  server = std::make_unique<closing_server>(1);
  REQUIRE(Call(method).isComplete);
  const http_call_end end = Call(method);
  CHECK_FALSE(end.isComplete);
  CHECK(end.requestSent);
  CHECK(end.isClosedByPeer);
  CHECK(end.error == "the kept connection was closed before the answer");
  CHECK(server->Arrivals() == 2);
  CHECK(server->Connections() == 1);
  // The next call is not affected.
  CHECK(Call(method).isComplete);
  CHECK(server->Arrivals() == 3);
}

TEST_CASE_METHOD(resend_fixture,
                 "Request_WhoseNewConnectionCloses_IsSentOnce",
                 "[net]")
{
  server = std::make_unique<closing_server>(0);
  const http_call_end end = Call("POST");
  CHECK_FALSE(end.isComplete);
  CHECK(end.requestSent);
  CHECK(end.isClosedByPeer);
  CHECK(server->Arrivals() == 1);
}

// A connection that is known to be closed is not used, so nothing is lost.
TEST_CASE_METHOD(resend_fixture,
                 "Request_AfterItsKeptConnectionClosed_UsesANewOne",
                 "[net]")
{
  server = std::make_unique<closing_server>(1, false);
  REQUIRE(Call("GET").isComplete);
  std::this_thread::sleep_for(milliseconds{ 50 });
  CHECK(Call("GET").isComplete);
  CHECK(server->Arrivals() == 2);
  CHECK(server->Connections() == 2);
}

} // namespace
} // namespace bulrush::net
