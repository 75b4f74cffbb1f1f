#include "entry/openai.hpp"

#include <catch2/catch.hpp>

namespace bulrush::entry {
namespace {

struct odd_report_fixture
{
  last_reason reason;

  bool IsTaken(const std::string& aName,
               const std::string& aPort,
               const std::string& aNumbers)
  {
    return ParseEndpointReport(R"({"failure_domain":"a","endpoint":")" + aName +
                                 R"(","address":"127.0.0.1:)" + aPort + "\"," +
                                 aNumbers + "}",
                               steady_time{},
                               reason)
      .has_value();
  }
};

TEST_CASE_METHOD(odd_report_fixture,
                 "Report_WithAFieldOutOfRange_IsRefused",
                 "[entry]")
{
  const std::string sound = R"("incarnation":1,"sequence":1)";
  REQUIRE(IsTaken("x", "9", sound));
  CHECK_FALSE(IsTaken("x", "0", sound));
  CHECK_FALSE(IsTaken(std::string(3'000, 'x'), "9", sound));
  CHECK_FALSE(IsTaken("x\\n", "9", sound));
  CHECK_FALSE(IsTaken("x", "9", sound + R"(,"slots":70000)"));
  CHECK_FALSE(IsTaken("x", "9", sound + R"(,"cold_slots":70000)"));
  CHECK_FALSE(
    IsTaken("x", "9", R"("incarnation":18446744073709551615,"sequence":1)"));
  CHECK_FALSE(
    IsTaken("x", "9", R"("incarnation":1,"sequence":18446744073709551615)"));
}

TEST_CASE_METHOD(odd_report_fixture, "Usage_OutOfRange_IsUnknown", "[entry]")
{
  const front_end front = OpenAiFrontEnd();
  CHECK(front.readUsage(R"({"usage":{"total_tokens":5}})") == 5);
  CHECK_FALSE(
    front.readUsage(R"({"usage":{"total_tokens":18446744073709551615}})"));
  CHECK_FALSE(front.readUsage(R"({"usage":{"total_tokens":-1}})"));
}

} // namespace
} // namespace bulrush::entry
