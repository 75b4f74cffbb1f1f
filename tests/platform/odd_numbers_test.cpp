#include "platform/order.hpp"
#include "platform/platform.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace bulrush::platform {
namespace {

using nlohmann::json;

struct odd_field
{
  const char* name;
  const char* named; ///< field that the reason names
  std::vector<const char*> values;
};

struct odd_numbers_fixture
{
  const std::string sound =
    R"({"service":"llm","address":"10.0.0.9:8080","zone":"a","slots":32,
      "state":"ready","sequence":4,"born":1700000000000,"coldRemainingMs":0,
      "models":[{"name":"daka","version":3,"adapters":[]}]})";
  last_reason reason;

  bool IsTaken(const std::string& aId, const std::string& aText)
  {
    reason = {};
    return ReadHeartbeat(aId, aText, steady_time{}, reason).has_value();
  }

  // The text of the number is kept, since it may not fit any type.
  std::string With(const std::string& aName, const std::string& aValue) const
  {
    json document = json::parse(sound);
    document.erase(aName);
    const std::string rest = document.dump();
    return "{\"" + aName + "\":" + aValue + "," + rest.substr(1);
  }
};

TEST_CASE_METHOD(odd_numbers_fixture,
                 "Heartbeat_WithANumberOutOfRange_IsRefusedByField",
                 "[platform]")
{
  REQUIRE(IsTaken("i-1", sound));
  const std::vector<odd_field> fields = {
    { "born",
      "born",
      { "1e300",
        "-1",
        "18446744073709551616",
        "18446744073709551615",
        "0.5" } },
    { "sequence", "sequence", { "1e30", "-4", "18446744073709551615", "4.5" } },
    { "slots", "slots", { "4294967297", "-3", "1.5", "0", "65537", "1e300" } },
    { "coldRemainingMs", "coldRemainingMs", { "-1", "\"5\"" } },
    { "remainingMs", "remainingMs", { "-1", "\"5\"" } },
    { "models",
      "version",
      { R"([{"name":"daka","version":-1}])",
        R"([{"name":"daka","version":1e300}])" } },
    { "models", "models", { "7", "{}" } },
    { "address",
      "address",
      { R"("10.0.0.9:0")",
        R"("10.0.0.9:65536")",
        R"("10.0.0.9")",
        R"("10.0.0.9:80/x")" } },
    { "service", "service", { R"("")", R"("a\u0000b")", R"("a\nb")" } },
  };
  for (const odd_field& field : fields) {
    for (const char* value : field.values) {
      INFO(field.name << " " << value);
      CHECK_FALSE(IsTaken("i-1", With(field.name, value)));
      CHECK(reason.text.find(field.named) != std::string::npos);
    }
  }
}

TEST_CASE_METHOD(odd_numbers_fixture,
                 "Heartbeat_AtTheEndsOfTheRanges_IsTaken",
                 "[platform]")
{
  CHECK(IsTaken("i-1", With("slots", "65536")));
  CHECK(IsTaken("i-1", With("slots", "1")));
  CHECK(IsTaken("i-1", With("sequence", "0")));
  CHECK(IsTaken("i-1", With("born", "9223372036854775807")));
  CHECK(IsTaken("i-1", With("address", R"("10.0.0.9:65535")")));
  CHECK(IsTaken("i-1", With("remainingMs", "1500.5")));
  CHECK(IsTaken(std::string(128, 'i'), sound));
}

TEST_CASE_METHOD(odd_numbers_fixture,
                 "Heartbeat_WithAnOddId_IsRefused",
                 "[platform]")
{
  for (const std::string& id : { std::string(),
                                 std::string(129, 'i'),
                                 std::string(3'000, 'i'),
                                 std::string("i\r\nX: 1"),
                                 std::string("i\0", 2),
                                 std::string("i 1"),
                                 std::string("i\xff"),
                                 std::string("i\x7f") }) {
    INFO(id);
    CHECK_FALSE(IsTaken(id, sound));
  }
}

TEST_CASE_METHOD(odd_numbers_fixture,
                 "EngineState_WithANumberOutOfRange_IsRefused",
                 "[platform]")
{
  const auto isTaken = [this](const char* aSequence, const char* aBorn) {
    const std::string text = std::string(R"({"models":[],"busy":false,)") +
                             R"("sequence":)" + aSequence + R"(,"born":)" +
                             aBorn + "}";
    return ReadState({ "i-1", "10.0.0.9:80", "llm" }, text, reason).has_value();
  };
  CHECK(isTaken("2", "17"));
  CHECK_FALSE(isTaken("-2", "17"));
  CHECK_FALSE(isTaken("1e30", "17"));
  CHECK_FALSE(isTaken("2", "1e300"));
  CHECK_FALSE(isTaken("2", "18446744073709551615"));
}

} // namespace
} // namespace bulrush::platform
