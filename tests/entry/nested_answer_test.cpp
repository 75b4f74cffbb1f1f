#include "entry/openai.hpp"

#include <catch2/catch.hpp>

namespace bulrush::entry {
namespace {

struct nested_answer_fixture
{
  const front_end front = OpenAiFrontEnd();
};

TEST_CASE_METHOD(nested_answer_fixture,
                 "Usage_OfAnAnswerThatIsNestedDeep_IsUnknown",
                 "[entry]")
{
  constexpr std::size_t kLevels = 500'000;
  REQUIRE(front.readUsage(R"({"usage":{"total_tokens":5}})") == 5);
  const std::string nested =
    std::string(kLevels, '[') + std::string(kLevels, ']');
  CHECK_FALSE(front.readUsage(R"({"usage":)" + nested + "}"));
  CHECK_FALSE(front.readUsage(nested));
}

} // namespace
} // namespace bulrush::entry
