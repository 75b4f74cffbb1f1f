#include "net/net.hpp"

#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

namespace bulrush::net {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

/// A server that records its requests and replies, and one caller.
struct server_fixture
{
  asio::io_context context;
  std::vector<http_request> requests;
  std::vector<std::shared_ptr<http_reply>> replies;
  std::unique_ptr<http_server> server;
  tcp::socket caller{ context };
  bool isAnswering = true;

  server_fixture()
  {
    http_server_settings settings;
    settings.maxBodyBytes = 64;
    settings.maxHeaderBytes = 512;
    settings.headerTimeout = std::chrono::milliseconds(300);
    settings.idleTimeout = std::chrono::milliseconds(600);
    last_reason reason;
    auto made = Listen(
      context,
      settings,
      [this](http_request aRequest, std::shared_ptr<http_reply> aReply) {
        requests.push_back(std::move(aRequest));
        if (isAnswering) {
          aReply->Send(200, {}, "ok");
        }
        replies.push_back(std::move(aReply));
      },
      reason);
    REQUIRE(made);
    server = std::move(*made);
    Connect();
  }

  void Connect()
  {
    caller = tcp::socket(context);
    caller.connect({ asio::ip::make_address("127.0.0.1"), server->Port() });
  }

  // Sends aBytes, runs the server for aWait and returns what was received.
  std::string Exchange(
    const std::string& aBytes,
    std::chrono::milliseconds aWait = std::chrono::milliseconds(150))
  {
    asio::write(caller, asio::buffer(aBytes));
    return ReadFor(aWait);
  }

  std::string ReadFor(std::chrono::milliseconds aWait)
  {
    context.restart();
    context.run_for(aWait);
    std::string text;
    caller.non_blocking(true);
    std::array<char, 4096> buffer{};
    std::error_code error;
    while (true) {
      const std::size_t count = caller.read_some(asio::buffer(buffer), error);
      text.append(buffer.data(), count);
      if (error) {
        break;
      }
    }
    isClosed = error == asio::error::eof;
    return text;
  }

  bool isClosed = false; ///< the server closed the connection
};

const std::string kGet = "GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n";

TEST_CASE_METHOD(server_fixture, "Request_WhenComplete_IsAnswered", "[net]")
{
  CHECK(Exchange(kGet).ends_with("\r\n\r\nok"));
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].target == "/a?b=c");
  CHECK(requests[0].path == "/a");
  CHECK(requests[0].query == "b=c");
  CHECK_FALSE(isClosed);
}

TEST_CASE_METHOD(server_fixture,
                 "Requests_WhenPipelined_AreServedInOrder",
                 "[net]")
{
  const std::string both = Exchange(kGet + kGet);
  CHECK(requests.size() == 2);
  CHECK(both.find("200 OK", 10) != std::string::npos);
}

TEST_CASE_METHOD(server_fixture, "Chunks_WhenValid_AreOneBody", "[net]")
{
  Exchange("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
           "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].body == "abcde");
}

TEST_CASE_METHOD(server_fixture,
                 "Chunks_WhenInvalid_AreRefusedAndClosed",
                 "[net]")
{
  const std::string answer = Exchange(
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
  CHECK(answer.starts_with("HTTP/1.1 400"));
  CHECK(isClosed);
  CHECK(requests.empty());
}

TEST_CASE_METHOD(server_fixture, "Head_WhenInvalid_IsRefusedAndClosed", "[net]")
{
  const std::string answer = Exchange("GET / HTTP/1.1\nHost: h\r\n\r\n" + kGet);
  CHECK(answer.starts_with("HTTP/1.1 400"));
  CHECK(answer.find("Connection: close") != std::string::npos);
  CHECK(isClosed);
  CHECK(requests.empty());
}

TEST_CASE_METHOD(server_fixture,
                 "Limits_WhenExceeded_AreAnsweredWithTheirStatus",
                 "[net]")
{
  CHECK(Exchange("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n" +
                 std::string(65, 'x'))
          .starts_with("HTTP/1.1 413"));
  Connect();
  CHECK(Exchange("GET / HTTP/1.1\r\nA: " + std::string(600, 'x'))
          .starts_with("HTTP/1.1 431"));
  Connect();
  CHECK(Exchange("GET / HTTP/1.1\r\n", std::chrono::milliseconds(700))
          .starts_with("HTTP/1.1 408"));
  CHECK(requests.empty());
}

TEST_CASE_METHOD(server_fixture, "Connection_WhenIdleTooLong_IsClosed", "[net]")
{
  Exchange(kGet);
  ReadFor(std::chrono::milliseconds(1'200));
  CHECK(isClosed);
}

TEST_CASE_METHOD(server_fixture, "Stream_WhenAborted_HasNoLastChunk", "[net]")
{
  isAnswering = false;
  Exchange(kGet);
  REQUIRE(replies.size() == 1);
  replies[0]->Start(200, {});
  replies[0]->Write("data: 1\n\n");
  context.restart();
  context.run_for(std::chrono::milliseconds(50));
  replies[0]->Abort();
  const std::string text = ReadFor(std::chrono::milliseconds(50));
  CHECK(text.find("data: 1") != std::string::npos);
  CHECK_FALSE(text.ends_with("0\r\n\r\n"));
  CHECK(isClosed);
}

TEST_CASE_METHOD(server_fixture,
                 "Stream_WhenAbortedAfterAWrite_DeliversItWithoutALastChunk",
                 "[net]")
{
  isAnswering = false;
  Exchange(kGet);
  REQUIRE(replies.size() == 1);
  replies[0]->Start(200, {});
  replies[0]->Write("data: 1\n\n");
  replies[0]->Abort();
  replies[0]->Write("data: 2\n\n");
  const std::string text = ReadFor(std::chrono::milliseconds(50));
  CHECK(text.find("data: 1") != std::string::npos);
  CHECK(text.find("data: 2") == std::string::npos);
  CHECK_FALSE(text.ends_with("0\r\n\r\n"));
  CHECK(isClosed);
}

TEST_CASE_METHOD(server_fixture, "Caller_WhenDisconnected_IsReported", "[net]")
{
  isAnswering = false;
  Exchange(kGet);
  REQUIRE(replies.size() == 1);
  bool isDisconnected = false;
  replies[0]->onDisconnected = [&isDisconnected] { isDisconnected = true; };
  caller.close();
  context.restart();
  context.run_for(std::chrono::milliseconds(50));
  CHECK(isDisconnected);
}

TEST_CASE_METHOD(server_fixture,
                 "Drain_WhenBegun_ClosesAfterTheAnswer",
                 "[net]")
{
  server->BeginDrain();
  CHECK(Exchange(kGet).find("Connection: close") != std::string::npos);
  CHECK(isClosed);
}

TEST_CASE_METHOD(server_fixture,
                 "Drain_BegunAfterTheHead_KeepsTheConnectionForOneMoreRequest",
                 "[net]")
{
  isAnswering = false;
  Exchange(kGet);
  REQUIRE(replies.size() == 1);
  replies[0]->Start(200, {});
  replies[0]->Write("data: 1\n\n");
  server->BeginDrain();
  replies[0]->Finish();
  CHECK(ReadFor(milliseconds(50)).ends_with("0\r\n\r\n"));
  CHECK_FALSE(isClosed);
  isAnswering = true;
  CHECK(Exchange(kGet).find("Connection: close") != std::string::npos);
  CHECK(isClosed);
}

TEST_CASE_METHOD(server_fixture,
                 "Stop_WithAnIdleConnection_AnswersARequestThatCrossesIt",
                 "[net]")
{
  Exchange(kGet);
  server->StopWhenFlushed([] {});
  CHECK(Exchange(kGet).find("Connection: close") != std::string::npos);
  CHECK(requests.size() == 2);
}

TEST_CASE_METHOD(server_fixture,
                 "Stop_WithARequestInTheBacklog_AnswersItBeforeItIsFlushed",
                 "[net]")
{
  std::vector<tcp::socket> callers;
  for (int i = 0; i < 3; ++i) {
    Connect();
    asio::write(caller, asio::buffer(std::string(kGet)));
    callers.push_back(std::move(caller));
  }
  std::size_t answeredWhenFlushed = 0;
  server->StopWhenFlushed([&] { answeredWhenFlushed = requests.size(); });
  for (tcp::socket& each : callers) {
    caller = std::move(each);
    CHECK(ReadFor(milliseconds(150)).starts_with("HTTP/1.1 200"));
  }
  CHECK(answeredWhenFlushed == 3);
}

TEST_CASE_METHOD(server_fixture,
                 "Stop_WithAHalfReadRequest_AnswersItBeforeItIsFlushed",
                 "[net]")
{
  const std::string whole =
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n" +
    std::string(50, 'x');
  const std::size_t half = GENERATE(10U, 60U);
  Exchange(whole.substr(0, half));
  bool isFlushed = false;
  server->StopWhenFlushed([&isFlushed] { isFlushed = true; });
  CHECK_FALSE(isFlushed);
  const std::string answer = Exchange(whole.substr(half));
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("Connection: close") != std::string::npos);
  CHECK(isClosed); // not reset by the unread rest
  CHECK_FALSE(isFlushed);
  caller.close();
  context.restart();
  context.run_for(milliseconds(50));
  CHECK(isFlushed);
  CHECK(requests.empty());
}

TEST_CASE_METHOD(server_fixture,
                 "Stop_WhenACallerSendsNoFurther_IsFlushedInBoundedTime",
                 "[net]")
{
  Exchange("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n");
  bool isFlushed = false;
  server->StopWhenFlushed([&isFlushed] { isFlushed = true; });
  CHECK(ReadFor(milliseconds(2'500)).starts_with("HTTP/1.1 503"));
  CHECK(isFlushed);
}

/// A server whose limits change while the caller's connection is open.
struct limits_fixture : server_fixture
{
  http_server_limits limits;

  limits_fixture()
  {
    limits.maxBodyBytes = 64;
    limits.maxHeaderBytes = 512;
    limits.headerTimeout = std::chrono::milliseconds(300);
    limits.idleTimeout = std::chrono::milliseconds(600);
  }

  void SetIdleTimeout(std::chrono::milliseconds aTime)
  {
    limits.idleTimeout = aTime;
    server->SetLimits(limits);
  }
};

const std::string kPostHead =
  "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60\r\n\r\n";

TEST_CASE_METHOD(limits_fixture,
                 "Connection_IdleWhenTheLimitIsRaised_StaysOpen",
                 "[net]")
{
  Exchange(kGet);
  SetIdleTimeout(std::chrono::milliseconds(5'000));
  ReadFor(std::chrono::milliseconds(1'500));
  CHECK_FALSE(isClosed);
  CHECK(Exchange(kGet).ends_with("\r\n\r\nok"));
}

TEST_CASE_METHOD(limits_fixture,
                 "Connection_IdleWhenTheLimitIsLowered_StaysForTheOldOne",
                 "[net]")
{
  SetIdleTimeout(std::chrono::milliseconds(1'500));
  Exchange(kGet);
  SetIdleTimeout(std::chrono::milliseconds(50));
  ReadFor(std::chrono::milliseconds(800));
  CHECK_FALSE(isClosed);
  ReadFor(std::chrono::milliseconds(2'500));
  CHECK(isClosed);
}

TEST_CASE_METHOD(limits_fixture,
                 "Head_HalfReadWhenLimitsAreLowered_IsReadByTheOldOnes",
                 "[net]")
{
  Exchange("GET /a HTTP/1.1\r\nHost: h\r\nA: " + std::string(100, 'x'),
           std::chrono::milliseconds(20));
  limits.maxHeaderBytes = 16;
  limits.headerTimeout = std::chrono::milliseconds(1);
  server->SetLimits(limits);
  ReadFor(std::chrono::milliseconds(150));
  CHECK(Exchange("\r\n\r\n").ends_with("\r\n\r\nok"));
}

TEST_CASE_METHOD(limits_fixture,
                 "Head_HalfReadWhenItsTimeIsRaised_MayTakeLonger",
                 "[net]")
{
  Exchange("GET /a HTTP/1.1\r\n", std::chrono::milliseconds(20));
  limits.headerTimeout = std::chrono::milliseconds(5'000);
  server->SetLimits(limits);
  CHECK(ReadFor(std::chrono::milliseconds(1'500)).empty());
  CHECK(Exchange("Host: h\r\n\r\n").ends_with("\r\n\r\nok"));
}

TEST_CASE_METHOD(limits_fixture,
                 "Body_HalfReadWhenTheLimitIsLowered_IsReadByTheOldOne",
                 "[net]")
{
  Exchange(kPostHead + std::string(30, 'x'), std::chrono::milliseconds(20));
  limits.maxBodyBytes = 8;
  server->SetLimits(limits);
  CHECK(Exchange(std::string(30, 'x')).ends_with("\r\n\r\nok"));
  CHECK(Exchange(kPostHead + std::string(60, 'x')).starts_with("HTTP/1.1 413"));
}

TEST_CASE_METHOD(limits_fixture,
                 "Answer_ThatKeepsItsConnection_SaysForHowLong",
                 "[net]")
{
  CHECK(Exchange(kGet).find("Keep-Alive") == std::string::npos);
  SetIdleTimeout(std::chrono::milliseconds(5'000));
  CHECK(Exchange(kGet).find("\r\nKeep-Alive: timeout=4\r\n") !=
        std::string::npos);
  SetIdleTimeout(std::chrono::milliseconds(1'000));
  CHECK(Exchange(kGet).find("Keep-Alive") == std::string::npos);
  SetIdleTimeout(std::chrono::milliseconds(1'001));
  CHECK(Exchange(kGet).find("\r\nKeep-Alive: timeout=1\r\n") !=
        std::string::npos);
  server->BeginDrain();
  CHECK(Exchange(kGet).find("Keep-Alive") == std::string::npos);
}

TEST_CASE_METHOD(limits_fixture,
                 "Connection_KeptByAnAnswerBeforeTheLimitIsLowered_StaysOpen",
                 "[net]")
{
  SetIdleTimeout(std::chrono::milliseconds(3'000));
  isAnswering = false;
  Exchange(kGet);
  REQUIRE(replies.size() == 1);
  replies[0]->Start(200, {});
  SetIdleTimeout(std::chrono::milliseconds(50));
  replies[0]->Finish();
  ReadFor(std::chrono::milliseconds(1'500));
  CHECK_FALSE(isClosed);
}

} // namespace
} // namespace bulrush::net
