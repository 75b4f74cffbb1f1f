#include "net/net.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

namespace bulrush::net {
namespace {

using asio::ip::tcp;

/// A server whose account has no room for a large body, and one caller.
struct refused_read_fixture
{
  static constexpr std::size_t kProcessBytes = 1'048'576;
  asio::io_context context;
  std::vector<refused_read> refusals;
  std::vector<http_request> heads;
  std::unique_ptr<http_server> server;
  tcp::socket caller{ context };

  refused_read_fixture()
  {
    http_server_settings settings;
    settings.account =
      std::make_shared<memory::account>(memory::LimitsFor(kProcessBytes));
    settings.onReadError = [this](http_reply& aReply,
                                  const refused_read& aRead) {
      refusals.push_back(aRead);
      heads.push_back(*aRead.head);
      aReply.Send(aRead.status, {}, "");
    };
    last_reason reason;
    auto made = Listen(
      context,
      settings,
      [](const http_request&, const std::shared_ptr<http_reply>&) {},
      reason);
    REQUIRE(made);
    server = std::move(*made);
    caller.connect({ asio::ip::make_address("127.0.0.1"), server->Port() });
  }

  void Send(const std::string& aBytes)
  {
    asio::write(caller, asio::buffer(aBytes));
    context.restart();
    context.run_for(std::chrono::milliseconds(150));
  }

  std::string CallerAddress() const
  {
    const auto local = caller.local_endpoint();
    return local.address().to_string() + ":" + std::to_string(local.port());
  }
};

TEST_CASE_METHOD(refused_read_fixture,
                 "Request_RefusedForMemory_IsDescribedWithItsCallerAndPath",
                 "[net]")
{
  Send("POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n");
  REQUIRE(refusals.size() == 1);
  CHECK(refusals[0].reason == read_refusal::eNoMemory);
  CHECK(refusals[0].status == 503);
  CHECK(heads[0].peer == CallerAddress());
  CHECK(heads[0].method == "POST");
  CHECK(heads[0].path == "/a");
  CHECK(heads[0].query == "b=c");
}

TEST_CASE_METHOD(refused_read_fixture,
                 "Head_WhenInvalid_IsDescribedWithItsCaller",
                 "[net]")
{
  Send("GET /a HTTP/1.1\r\nHost : h\r\n\r\n");
  REQUIRE(refusals.size() == 1);
  CHECK(refusals[0].reason == read_refusal::eInvalid);
  CHECK(heads[0].peer == CallerAddress());
  CHECK(heads[0].path.empty());
}

} // namespace
} // namespace bulrush::net
