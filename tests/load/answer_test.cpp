#include "load/load.hpp"

#include <catch2/catch.hpp>

namespace bulrush::load {
namespace {

struct answer_fixture
{
  static std::string Token(int aIndex)
  {
    return R"(data: {"choices":[{"delta":{"content":"t)" +
           std::to_string(aIndex) + R"( "}}]})" + "\n\n";
  }

  static answer_reader Stream(std::uint64_t aTokens)
  {
    answer_reader reader({ true, false, aTokens, true });
    reader.HandleStatus(200);
    return reader;
  }

  static answer_reader JsonAnswer(int aStatus, const std::string& aBody)
  {
    answer_reader reader({ false, false, 2, true });
    reader.HandleStatus(aStatus);
    reader.HandleBytes(aBody);
    return reader;
  }
};

TEST_CASE_METHOD(answer_fixture,
                 "AnswerReader_OfAStreamSplitAnywhere_CountsItsTokens",
                 "[load]")
{
  const std::string text = Token(0) + Token(1) + "data: [DONE]\n\n";
  for (std::size_t size = 1; size < 50; ++size) {
    answer_reader reader = Stream(2);
    for (std::size_t i = 0; i < text.size(); i += size) {
      reader.HandleBytes(std::string_view(text).substr(i, size));
    }
    CHECK(reader.Tokens() == 2);
    CHECK(reader.Finish(true) == load_outcome::eAnswered);
  }
}

TEST_CASE_METHOD(answer_fixture,
                 "AnswerReader_OfAStreamWithoutItsEndMarker_IsWrong",
                 "[load]")
{
  answer_reader reader = Stream(2);
  reader.HandleBytes(Token(0) + Token(1));
  CHECK(reader.Finish(true) == load_outcome::eWrong);
}

TEST_CASE_METHOD(answer_fixture,
                 "AnswerReader_OfAStreamWithMissingOrRepeatedTokens_IsWrong",
                 "[load]")
{
  answer_reader missing = Stream(2);
  missing.HandleBytes(Token(1) + "data: [DONE]\n\n");
  CHECK(missing.Finish(true) == load_outcome::eWrong);
  answer_reader repeated = Stream(2);
  repeated.HandleBytes(Token(0) + Token(0) + "data: [DONE]\n\n");
  CHECK(repeated.Finish(true) == load_outcome::eWrong);
  answer_reader incomplete = Stream(2);
  incomplete.HandleBytes(Token(0) + "data: [DONE]\n\n");
  CHECK(incomplete.Finish(true) == load_outcome::eWrong);
}

TEST_CASE_METHOD(answer_fixture,
                 "AnswerReader_OfATruncatedStream_IsBroken",
                 "[load]")
{
  answer_reader reader = Stream(2);
  reader.HandleBytes(Token(0));
  CHECK(reader.Finish(false) == load_outcome::eBroken);
}

TEST_CASE_METHOD(answer_fixture,
                 "AnswerReader_OfAStreamWithAnErrorEvent_MayHaveRun",
                 "[load]")
{
  answer_reader reader = Stream(2);
  reader.HandleBytes(Token(0) +
                     "event: error\ndata: {\"error\":{\"code\":"
                     "\"endpoint_failed\",\"ran\":\"may_have_run\"}}\n\n");
  CHECK(reader.Finish(true) == load_outcome::eMayHaveRun);
  CHECK(reader.Code() == "endpoint_failed");
}

TEST_CASE_METHOD(answer_fixture,
                 "AnswerReader_OfAJsonAnswer_ChecksItsText",
                 "[load]")
{
  const std::string good = R"({"choices":[{"message":{"content":"t0 t1 "}}],)"
                           R"("usage":{"completion_tokens":2}})";
  answer_reader reader = JsonAnswer(200, good);
  CHECK(reader.Finish(true) == load_outcome::eAnswered);
  CHECK(reader.Tokens() == 2);
  CHECK(JsonAnswer(200, good.substr(0, 30)).Finish(true) ==
        load_outcome::eWrong);
  CHECK(JsonAnswer(200, R"({"choices":[{"text":"t0 "}]})").Finish(true) ==
        load_outcome::eWrong);
  CHECK(JsonAnswer(200, "[]").Finish(true) == load_outcome::eWrong);
  CHECK(JsonAnswer(200, good).Finish(false) == load_outcome::eBroken);
}

TEST_CASE_METHOD(answer_fixture,
                 "AnswerReader_OfAnError_ReadsWhetherItRan",
                 "[load]")
{
  answer_reader refused =
    JsonAnswer(429, R"({"error":{"code":"rate_limited","ran":"not_run"}})");
  CHECK(refused.Finish(true) == load_outcome::eRefused);
  CHECK(refused.Code() == "rate_limited");
  CHECK(JsonAnswer(502, R"({"error":{"code":"x","ran":"may_have_run"}})")
          .Finish(true) == load_outcome::eMayHaveRun);
  CHECK(JsonAnswer(502, R"({"error":{"code":"x"}})").Finish(true) ==
        load_outcome::eWrong);
  CHECK(JsonAnswer(502, "Bad gateway").Finish(true) == load_outcome::eWrong);
}

TEST_CASE_METHOD(answer_fixture,
                 "AnswerReader_WithoutAnyAnswer_IsBroken",
                 "[load]")
{
  answer_reader reader({ true, false, 2, true });
  CHECK(reader.Finish(false) == load_outcome::eBroken);
}

} // namespace
} // namespace bulrush::load
