#include "net/http_head.hpp"

#include <catch2/catch.hpp>

#include <array>

namespace bulrush::net {
namespace {

struct head_case
{
  const char* name;
  std::string head;
};

const std::string kHost = "Host: a.example\r\n";

// Without these checks each of them is answered 200 or the connection is closed
// without an answer.
const std::array<head_case, 16> kInvalidHeads{ {
  { "bare line feed", "GET / HTTP/1.1\n" + kHost + "\r\n" },
  { "bare carriage return", "GET / HTTP/1.1\r\nA: b\rc\r\n" + kHost + "\r\n" },
  { "folded field", "GET / HTTP/1.1\r\n" + kHost + "A: b\r\n c\r\n\r\n" },
  { "blank before colon", "GET / HTTP/1.1\r\n" + kHost + "A : b\r\n\r\n" },
  { "no name", "GET / HTTP/1.1\r\n" + kHost + ": b\r\n\r\n" },
  { "no colon", "GET / HTTP/1.1\r\n" + kHost + "A b\r\n\r\n" },
  { "no host", "GET / HTTP/1.1\r\nA: b\r\n\r\n" },
  { "two hosts", "GET / HTTP/1.1\r\n" + kHost + kHost + "\r\n" },
  { "both lengths",
    "POST / HTTP/1.1\r\n" + kHost +
      "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n" },
  { "repeated length",
    "POST / HTTP/1.1\r\n" + kHost +
      "Content-Length: 3\r\nContent-Length: 3\r\n\r\n" },
  { "signed length",
    "POST / HTTP/1.1\r\n" + kHost + "Content-Length: +3\r\n\r\n" },
  { "other encoding",
    "POST / HTTP/1.1\r\n" + kHost +
      "Transfer-Encoding: gzip, chunked\r\n\r\n" },
  { "nul", std::string("GET / HTTP/1.1\r\nA: b\0c\r\n", 23) + kHost + "\r\n" },
  { "no version", "GET /\r\n" + kHost + "\r\n" },
  { "two targets", "GET / / HTTP/1.1\r\n" + kHost + "\r\n" },
  { "other version", "GET / HTTP/3.1\r\n" + kHost + "\r\n" },
} };

struct head_fixture
{};

TEST_CASE_METHOD(head_fixture, "Head_WhenAmbiguous_IsRefused", "[net]")
{
  for (const head_case& each : kInvalidHeads) {
    INFO(each.name);
    CHECK(CheckHead(each.head).has_value());
  }
}

TEST_CASE_METHOD(head_fixture, "Head_WhenValid_IsAccepted", "[net]")
{
  CHECK_FALSE(CheckHead("GET /a?b HTTP/1.1\r\n" + kHost + "\r\n"));
  CHECK_FALSE(CheckHead("GET / HTTP/1.0\r\n\r\n"));
  CHECK_FALSE(CheckHead("POST / HTTP/1.1\r\nhost:a\r\nTransfer-Encoding: "
                        "Chunked\r\nX-Empty:\r\n\r\n"));
  CHECK_FALSE(CheckHead("PUT / HTTP/1.1\r\n" + kHost +
                        "Content-Length: 12 \r\nA:\tb\r\n\r\n"));
}

TEST_CASE_METHOD(head_fixture,
                 "HeadBytes_WhenTruncatedAnywhere_AreAccepted",
                 "[net]")
{
  const std::string head = "GET / HTTP/1.1\r\n" + kHost + "A: b\r\n\r\n";
  for (std::size_t end = 0; end <= head.size(); ++end) {
    CHECK_FALSE(CheckHeadBytes(std::string_view(head).substr(0, end)));
  }
}

} // namespace
} // namespace bulrush::net
