#include "net/net.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>

namespace bulrush::net {
namespace {

using asio::ip::tcp;
using namespace std::chrono_literals;

/// Longer than any test; a call that only its timeout ends has failed.
constexpr std::chrono::milliseconds kLongTimeout{ 20'000 };

/// A client, and a server that answers one request with given bytes and closes
/// the connection.
struct truncated_answer_fixture
{
  asio::io_context context;
  std::unique_ptr<http_client> client = MakeHttpClient(context);
  std::optional<http_call_end> end;
  bool hasHead = false;
  http_answer_head head;

  void Call(const std::string& aAnswer)
  {
    asio::io_context serverContext;
    tcp::acceptor acceptor(serverContext,
                           { asio::ip::make_address("127.0.0.1"), 0 });
    std::thread server([&] {
      std::error_code error;
      tcp::socket socket = acceptor.accept(error);
      asio::streambuf request;
      asio::read_until(socket, request, "\r\n\r\n", error);
      asio::write(socket, asio::buffer(aAnswer), error);
    });
    http_call call;
    call.method = "GET";
    call.url =
      "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) +
      "/";
    call.timeout = kLongTimeout;
    http_call_hooks hooks;
    hooks.onHead = [this](const http_answer_head& aHead) {
      hasHead = true;
      head = aHead;
    };
    hooks.onEnd = [this](const http_call_end& aEnd) { end = aEnd; };
    client->Start(std::move(call), std::move(hooks));
    while (!end) {
      context.restart();
      context.run_for(10ms);
    }
    server.join();
  }
};

TEST_CASE_METHOD(truncated_answer_fixture,
                 "Answer_ThatEndsInsideItsHead_IsIncomplete",
                 "[net]")
{
  const std::string answer =
    GENERATE(as<std::string>(),
             "HTTP/1.1 20",
             "HTTP/1.1 200 OK",
             "HTTP/1.1 200 OK\r\n",
             "HTTP/1.1 200 OK\r\nContent-Ty",
             "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n",
             "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX: y",
             "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
             "HTTP/1.1 204 No Content\r\n",
             "HTTP/1.1 503 Unavailable\r\nRetry-After: 1\r\n",
             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n");
  INFO(answer);
  Call(answer);
  CHECK_FALSE(end->isComplete);
  CHECK_FALSE(end->error.empty());
  CHECK_FALSE(hasHead);
}

TEST_CASE_METHOD(truncated_answer_fixture,
                 "Answer_WithoutALength_EndsWithItsConnection",
                 "[net]")
{
  const std::string answer =
    GENERATE(as<std::string>(),
             "HTTP/1.1 200 OK\r\n\r\n",
             "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nbody",
             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n");
  INFO(answer);
  Call(answer);
  CHECK(end->isComplete);
  CHECK(hasHead);
}

TEST_CASE_METHOD(truncated_answer_fixture,
                 "Answer_WithTrailersAfterAnEmptyBody_HasNoSuchFields",
                 "[net]")
{
  Call("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Early: 1\r\n\r\n"
       "0\r\nX-Late: 1\r\n\r\n");
  CHECK(end->isComplete);
  CHECK(FindField(head.fields, "X-Early") != nullptr);
  CHECK(FindField(head.fields, "X-Late") == nullptr);
}

} // namespace
} // namespace bulrush::net
