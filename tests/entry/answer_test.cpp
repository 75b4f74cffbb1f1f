#include "entry/answer.hpp"

#include <catch2/catch.hpp>

namespace bulrush::entry {
namespace {

struct answer_fixture
{
  answer_buffer stream{ true, 0 };

  /// Units taken one by one after aParts were added.
  std::vector<std::string> Units(const std::vector<std::string>& aParts)
  {
    std::uint64_t count = 0;
    for (const std::string& part : aParts) {
      count += stream.Add(part);
    }
    std::vector<std::string> units;
    for (std::uint64_t i = 0; i < count; ++i) {
      units.push_back(stream.Take(1));
    }
    return units;
  }
};

TEST_CASE_METHOD(answer_fixture,
                 "Stream_WhenAnEventArrivesInParts_IsSplitAtItsEnd",
                 "[entry]")
{
  const std::vector<std::string> events =
    GENERATE(std::vector<std::string>{ "data: a\n\n", "data: b\n\n" },
             std::vector<std::string>{ "data: a\r\n\r\n", "data: b\r\n\r\n" },
             std::vector<std::string>{ "id: 1\ndata: a\n\n", "\n\n" },
             std::vector<std::string>{ "a\r\nb\n\r\n\r\n", "c\r\n\n" });
  const std::string text = events[0] + events[1];
  for (std::size_t first = 0; first <= text.size(); ++first) {
    for (std::size_t second = first; second <= text.size(); ++second) {
      INFO(first << ' ' << second);
      stream = answer_buffer(true, 0);
      CHECK(Units({ text.substr(0, first),
                    text.substr(first, second - first),
                    text.substr(second) }) == events);
      CHECK(stream.BufferedBytes() == 0);
    }
  }
}

TEST_CASE_METHOD(answer_fixture,
                 "Stream_WhenAnEventFollowsATakenOne_IsSplitAtItsEnd",
                 "[entry]")
{
  CHECK(Units({ "data: a long event\n\nda" }).size() == 1);
  CHECK(Units({ "ta: b\n", "\n" }) ==
        std::vector<std::string>{ "data: b\n\n" });
  CHECK(Units({ "\n" }).empty());
  CHECK(Units({ "\n" }) == std::vector<std::string>{ "\n\n" });
}

} // namespace
} // namespace bulrush::entry
