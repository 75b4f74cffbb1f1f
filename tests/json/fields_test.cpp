#include "json/json.hpp"

#include <catch2/catch.hpp>

#include <limits>

namespace bulrush {
namespace {

constexpr std::uint64_t kMax = std::numeric_limits<std::uint64_t>::max();

struct fields_fixture
{
  last_reason reason;

  nlohmann::json Object(const std::string& aValue)
  {
    return ParseJson(R"({"a":)" + aValue + "}", reason).value();
  }

  std::optional<std::uint64_t> Whole(const std::string& aValue,
                                     std::uint64_t aMin,
                                     std::uint64_t aMax)
  {
    const auto object = Object(aValue);
    field_reader reader(object);
    const std::uint64_t value = reader.Whole("a", aMin, aMax);
    return reader.Fault() ? std::nullopt : std::optional(value);
  }
};

TEST_CASE_METHOD(fields_fixture, "Whole_WithinTheRange_IsReadExactly", "[json]")
{
  CHECK(Whole("0", 0, 9) == 0);
  CHECK(Whole("9", 0, 9) == 9);
  CHECK(Whole("9.0", 0, 9) == 9);
  CHECK(Whole("18446744073709551615", 0, kMax) == kMax);
  CHECK(Whole("9007199254740993", 0, kMax) == 9'007'199'254'740'993);
}

TEST_CASE_METHOD(fields_fixture, "Whole_OfAnotherValue_IsAFault", "[json]")
{
  for (const char* value : { "-1",
                             "-0.5",
                             "1.5",
                             "1e300",
                             "-1e300",
                             "1e17",
                             "18446744073709551616",
                             "\"4\"",
                             "null",
                             "true",
                             "[4]" }) {
    INFO(value);
    CHECK_FALSE(Whole(value, 0, kMax));
  }
  CHECK_FALSE(Whole("10", 0, 9));
  CHECK_FALSE(Whole("0", 1, 9));
}

TEST_CASE_METHOD(fields_fixture, "Fault_OfAField_NamesItAndTheRange", "[json]")
{
  const auto object = Object("-3");
  field_reader reader(object);
  CHECK(reader.Whole("a", 1, 9) == 0);
  CHECK(reader.Fault() == "a: expected a whole number from 1 to 9");
  reader.Text("b", 5);
  CHECK(reader.Fault() == "a: expected a whole number from 1 to 9");
  const nlohmann::json list = nlohmann::json::array();
  CHECK(field_reader(list).Fault() == "expected an object");
}

TEST_CASE_METHOD(fields_fixture,
                 "Field_WhenMissing_ReadsAsItsDefaultOrIsAFault",
                 "[json]")
{
  const nlohmann::json object = nlohmann::json::object();
  field_reader reader(object);
  CHECK(reader.Whole("a", 1, 9, 4) == 4);
  CHECK(reader.Number("a", 0, 1, 0.5) == 0.5);
  CHECK(reader.List("a").empty());
  CHECK_FALSE(reader.Fault());
  reader.Number("a", 0, 1);
  CHECK(reader.Fault() == "a: expected a value");
}

TEST_CASE_METHOD(fields_fixture,
                 "Text_WithControlCharacters_IsAFault",
                 "[json]")
{
  for (const char* value :
       { R"("")", R"("a\n")", R"("\u0000")", R"("\u007f")", "7" }) {
    INFO(value);
    const auto object = Object(value);
    field_reader reader(object);
    reader.Text("a", 9);
    CHECK(reader.Fault());
  }
  const auto object = Object(R"("0123456789")");
  field_reader within(object);
  CHECK(within.Text("a", 10) == "0123456789");
  CHECK_FALSE(within.Fault());
  field_reader above(object);
  above.Text("a", 9);
  CHECK(above.Fault());
}

} // namespace
} // namespace bulrush
