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

TEST_CASE_METHOD(answer_fixture,
                 "Body_InPartsOfAnySize_IsTakenWhole",
                 "[entry]")
{
  answer_buffer body(false, 0);
  std::string expected;
  for (const std::size_t size : { 1, 65'535, 1, 65'536, 200'000, 3 }) {
    const std::string part(size, static_cast<char>('a' + expected.size() % 26));
    CHECK(body.Add(part) == size);
    expected += part;
  }
  CHECK(body.BufferedBytes() == expected.size());
  CHECK(body.Take(0) == expected);
  CHECK(body.Take(0).empty());
}

TEST_CASE_METHOD(answer_fixture,
                 "Stream_WhenAnEventIsLargerThanABlock_IsSplitAtItsEnd",
                 "[entry]")
{
  const std::string text = "data: " + std::string(150'000, 'x');
  CHECK(Units({ text, "\r\n\r", "\ndata" }) ==
        std::vector<std::string>{ text + "\r\n\r\n" });
}

TEST_CASE_METHOD(answer_fixture,
                 "ResumedStream_ThatStartsAgain_IsOutOfOrder",
                 "[entry]")
{
  const std::string first = GENERATE("1", "11", "12");
  stream.RequireRisingIds("12");
  CHECK(Units({ "id: " + first + "\ndata: a\n\nid: 13\ndata: b\n\n" }).empty());
  CHECK(stream.IsOutOfOrder());
  CHECK(Units({ "id: 14\ndata: c\n\n" }).empty());
  CHECK(stream.EndMessage() == 0);
}

TEST_CASE_METHOD(answer_fixture,
                 "ResumedStream_ThatGoesOn_IsInOrder",
                 "[entry]")
{
  stream.RequireRisingIds("12");
  CHECK(Units({ "id: 13\ndata: a\n\n", "id: 15\ndata: b\n\n", ": note\n\n" })
          .size() == 3);
  CHECK_FALSE(stream.IsOutOfOrder());
  CHECK(stream.LastEvent() == "15");
}

TEST_CASE_METHOD(answer_fixture,
                 "Stream_WithARepeatedEvent_EndsBeforeIt",
                 "[entry]")
{
  stream.RequireRisingIds("");
  CHECK(Units({ "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 2\ndata: b\n\n" })
          .size() == 2);
  CHECK(stream.IsOutOfOrder());
}

TEST_CASE_METHOD(answer_fixture,
                 "Stream_ThatEndsInsideAnEvent_IsNotWhole",
                 "[entry]")
{
  const std::string rest = GENERATE(
    as<std::string>(), "id: 3\nda", "id: 3\ndata: c\n", "i", ": c\r\n");
  INFO(rest);
  CHECK(Units({ "id: 2\ndata: b\n\n" + rest }).size() == 1);
  CHECK(stream.EndMessage() == 0);
  CHECK(stream.EndsInsideEvent());
}

TEST_CASE_METHOD(answer_fixture,
                 "Stream_ThatEndsWithLineEnds_IsWholeWithThem",
                 "[entry]")
{
  const std::string rest = GENERATE(as<std::string>(), "", "\n", "\r\n");
  CHECK(Units({ "id: 2\ndata: b\n\n" + rest }).size() == 1);
  CHECK(stream.EndMessage() == (rest.empty() ? 0 : 1));
  CHECK_FALSE(stream.EndsInsideEvent());
  CHECK(stream.Take(1) == rest);
}

TEST_CASE_METHOD(answer_fixture,
                 "Stream_OfEventsWithoutData_HasNoNewContent",
                 "[entry]")
{
  const std::string comment = GENERATE(
    as<std::string>(), ": ping\n\n", "\n\n", "id: 3\r\n\r\n", "database\n\n");
  CHECK(stream.Add(comment) == 1);
  CHECK_FALSE(stream.HasNewContent());
  CHECK(stream.Add(comment + "id: 4\ndata: a\n\n") == 2);
  CHECK(stream.HasNewContent());
  CHECK(stream.Add("data: an event") == 0);
  CHECK_FALSE(stream.HasNewContent());
  CHECK(stream.Add("\n\n" + comment) == 2);
  CHECK(stream.HasNewContent());
}

TEST_CASE_METHOD(answer_fixture,
                 "Stream_WithoutRisingIdsRequired_MayRepeatThem",
                 "[entry]")
{
  CHECK(Units({ "id: 2\n\nid: 2\n\nid: 1\n\n" }).size() == 3);
}

} // namespace
} // namespace bulrush::entry
