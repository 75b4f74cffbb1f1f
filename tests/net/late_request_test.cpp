#include "net/net.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>

namespace bulrush::net {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

/// A server that is not run while a caller sends its request, and notes what it
/// knows of the caller when the request is passed on.
struct late_request_fixture
{
  asio::io_context context;
  std::unique_ptr<http_server> server;
  tcp::socket caller{ context };
  std::optional<bool> hadCaller;
  milliseconds unreadFor{ 0 };
  std::shared_ptr<http_reply> reply;

  late_request_fixture()
  {
    last_reason reason;
    auto made = Listen(
      context,
      {},
      [this](const http_request& aRequest, std::shared_ptr<http_reply> aReply) {
        hadCaller = aReply->HasCaller();
        unreadFor = aRequest.unreadFor;
        reply = std::move(aReply);
      },
      reason);
    REQUIRE(made);
    server = std::move(*made);
    caller.connect({ asio::ip::make_address("127.0.0.1"), server->Port() });
  }

  void Send(const std::string& aBytes)
  {
    asio::write(caller, asio::buffer(aBytes));
  }

  void RunUntilPassedOn()
  {
    const steady_time end = Now() + milliseconds{ 2'000 };
    while (!hadCaller && Now() < end) {
      context.restart();
      context.run_one_for(milliseconds{ 50 });
    }
    REQUIRE(hadCaller);
  }
};

const std::string kPost = "POST /a HTTP/1.1\r\nHost: h\r\n\r\n";

// Guards against a call that its caller has given up and that is carried out.
TEST_CASE_METHOD(late_request_fixture,
                 "Request_WhoseCallerLeftBeforeItWasRead_HasNoCaller",
                 "[net]")
{
  Send(kPost);
  caller.close();
  std::this_thread::sleep_for(milliseconds{ 20 });
  RunUntilPassedOn();
  CHECK_FALSE(*hadCaller);
}

TEST_CASE_METHOD(late_request_fixture,
                 "Request_WhoseCallerWaits_HasACaller",
                 "[net]")
{
  Send(kPost + kPost);
  RunUntilPassedOn();
  CHECK(*hadCaller);
  CHECK(unreadFor < milliseconds{ 200 });
  caller.close();
  std::this_thread::sleep_for(milliseconds{ 20 });
  reply->Send(200, {}, "");
  CHECK_FALSE(reply->HasCaller());
}

// Guards against a call that a suspended process reads seconds later as new.
TEST_CASE_METHOD(late_request_fixture,
                 "Request_ThatLayUnread_StatesForHowLong",
                 "[net]")
{
  Send(kPost);
  std::this_thread::sleep_for(milliseconds{ 300 });
  RunUntilPassedOn();
  CHECK(*hadCaller);
  CHECK(unreadFor >= milliseconds{ 290 });
  CHECK(unreadFor < milliseconds{ 2'000 });
}

} // namespace
} // namespace bulrush::net
