#include "json/json.hpp"

#include <catch2/catch.hpp>

namespace bulrush {
namespace {

std::string
Nested(std::size_t aLevels)
{
  return std::string(aLevels, '[') + std::string(aLevels, ']');
}

struct parse_fixture
{
  last_reason reason;

  bool IsParsed(const std::string& aText)
  {
    return ParseJson(aText, reason).has_value();
  }
};

TEST_CASE_METHOD(parse_fixture,
                 "ParseJson_OfManyValues_AcceptsUpToTheBound",
                 "[json]")
{
  const auto list = [](std::size_t aValues) {
    std::string text = "[{}";
    for (std::size_t i = 2; i < aValues; ++i) {
      text += ",0";
    }
    return text + "]";
  };
  CHECK(IsParsed(list(kMaxJsonValues - 1)));
  CHECK_FALSE(IsParsed(list(kMaxJsonValues + 1)));
  CHECK(reason.text == "more than 524288 values");
  const std::string commas(kMaxJsonValues, ',');
  CHECK(IsParsed("{\"a\":\"" + commas + "\"}"));
}

TEST_CASE_METHOD(parse_fixture,
                 "ParseJson_OfNestedText_AcceptsUpToTheBound",
                 "[json]")
{
  CHECK(IsParsed(Nested(kMaxJsonDepth)));
  CHECK_FALSE(IsParsed(Nested(kMaxJsonDepth + 1)));
  CHECK(reason.text == "nested more than 64 levels deep");
  CHECK_FALSE(IsParsed(Nested(1'000'000)));
  CHECK_FALSE(IsParsed(std::string(1'000'000, '[')));
  std::string objects;
  for (int i = 0; i < 100'000; ++i) {
    objects += R"({"a":)";
  }
  CHECK_FALSE(IsParsed(objects));
}

TEST_CASE_METHOD(parse_fixture,
                 "ParseJson_OfBracketsInStrings_CountsNoLevel",
                 "[json]")
{
  const std::string brackets(1'000, '[');
  CHECK(IsParsed("\"" + brackets + "\""));
  CHECK(IsParsed(R"(["\")" + brackets + R"("])"));
  CHECK(IsParsed(R"(["\\",)" + Nested(kMaxJsonDepth - 1) + "]"));
  CHECK_FALSE(IsParsed(R"(["\\",)" + Nested(kMaxJsonDepth) + "]"));
}

TEST_CASE_METHOD(parse_fixture,
                 "ParseJson_OfManySiblings_CountsOnlyOpenLevels",
                 "[json]")
{
  std::string list = "[0";
  for (int i = 0; i < 1'000; ++i) {
    list += ",[{}]";
  }
  CHECK(IsParsed(list + "]"));
}

TEST_CASE_METHOD(parse_fixture, "ParseJson_OfInvalidText_IsRefused", "[json]")
{
  for (const char* text : { "", "{", "]", "[}", "{} x", "\"\xff\"", "nan" }) {
    INFO(text);
    reason = {};
    CHECK_FALSE(IsParsed(text));
    CHECK_FALSE(reason.text.empty());
  }
}

} // namespace
} // namespace bulrush
