#include "platform/order.hpp"
#include "platform/platform.hpp"

#include <catch2/catch.hpp>

namespace bulrush::platform {
namespace {

// A message whose field aName, which the reader copies, is nested deep.
std::string
WithNestedField(const std::string& aStart, const std::string& aName)
{
  constexpr std::size_t kLevels = 500'000;
  return aStart + ",\"" + aName + "\":" + std::string(kLevels, '[') +
         std::string(kLevels, ']') + "}";
}

struct nested_input_fixture
{
  std::vector<domain_row> domains{ { IdOf<domain_id>("a"), "a", "r" } };
  last_reason reason;

  void CheckReason() const
  {
    CHECK(reason.text.find("nested") != std::string::npos);
  }
};

TEST_CASE_METHOD(nested_input_fixture,
                 "Heartbeat_WhenNestedDeep_IsRefused",
                 "[platform]")
{
  const std::string start =
    R"({"service":"llm","address":"10.0.0.9:8080","zone":"a","slots":32,)"
    R"("state":"ready","sequence":4,"born":1700000000000)";
  CHECK(ReadHeartbeat("i-1", start + "}", steady_time{}, reason));
  for (const char* field : { "models", "atHand", "unknown" }) {
    INFO(field);
    reason = {};
    CHECK_FALSE(ReadHeartbeat(
      "i-1", WithNestedField(start, field), steady_time{}, reason));
    CheckReason();
  }
}

TEST_CASE_METHOD(nested_input_fixture,
                 "Configuration_WhenNestedDeep_IsRefused",
                 "[platform]")
{
  const std::string start =
    R"({"version":7,"services":[{"name":"desk"}],"routes":[])";
  CHECK(ReadConfiguration(start + "}", domains, reason));
  for (const char* field : { "tenants", "limits", "unknown" }) {
    INFO(field);
    reason = {};
    CHECK_FALSE(
      ReadConfiguration(WithNestedField(start, field), domains, reason));
    CheckReason();
  }
}

TEST_CASE_METHOD(nested_input_fixture,
                 "EngineState_WhenNestedDeep_IsRefused",
                 "[platform]")
{
  const std::string start =
    R"({"models":[],"busy":false,"sequence":2,"born":17)";
  const control::engine_query query{ "i-1", "10.0.0.9:8080", "llm" };
  CHECK(ReadState(query, start + "}", reason));
  CHECK_FALSE(ReadState(query, WithNestedField(start, "coming"), reason));
  CheckReason();
}

} // namespace
} // namespace bulrush::platform
