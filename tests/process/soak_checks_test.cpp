#include "support/soak_checks.hpp"

#include <catch2/catch.hpp>

namespace bulrush::test {
namespace {

/// One call of a soak, sound until a test changes it.
struct soak_checks_fixture
{
  call_row call;
  bool isKilled = false;
  bool isWithdrawn = false;
  std::map<std::string, int> runs;

  soak_checks_fixture() { call.tag = "call 1 1"; }

  void AnswerStream(int aTokens, const std::string& aEnd)
  {
    call.kind = call_kind::eStream;
    call.tokens = 3;
    std::string body;
    for (int i = 0; i < aTokens; ++i) {
      body += R"(data: {"text":"t)" + std::to_string(i) + " \"}\n\n";
    }
    call.answer = { 200, true, false, body + aEnd };
  }

  void AnswerRelease()
  {
    call.kind = call_kind::eRelease;
    call.answer = { 200, true, false, R"({"tag":"call 1 1"})" };
    runs = { { call.tag, 1 } };
  }

  void Refuse(const std::string& aRan)
  {
    call.kind = call_kind::eRelease;
    call.answer = { 503, true, false, R"({"error":{"ran":")" + aRan + "\"}}" };
  }

  /// Number of problems.
  std::size_t Problems() const
  {
    return FindProblems(
             { call },
             { [this](const call_row&) { return isKilled; },
               [this](const std::string&, steady_time) { return isWithdrawn; },
               runs })
      .size();
  }
};

TEST_CASE_METHOD(soak_checks_fixture,
                 "Call_WithoutAnAnswer_IsAProblemUnlessItsHostWasKilled",
                 "[process][soak_checks]")
{
  call.kind = call_kind::eStatus;
  CHECK(Problems() == 1);
  isKilled = true;
  CHECK(Problems() == 0);
}

TEST_CASE_METHOD(soak_checks_fixture,
                 "Stream_ThatIsNotWhole_IsAProblemUnlessItSaysSo",
                 "[process][soak_checks]")
{
  AnswerStream(3, "data: [DONE]\n\n");
  CHECK(Problems() == 0);
  AnswerStream(3, "");
  CHECK(Problems() == 1);
  AnswerStream(2, "data: [DONE]\n\n");
  CHECK(Problems() == 1);
  AnswerStream(2, "");
  call.answer.isComplete = false;
  CHECK(Problems() == 1);
  AnswerStream(2, "event: error\n\n");
  call.answer.isComplete = false;
  CHECK(Problems() == 0);
}

TEST_CASE_METHOD(soak_checks_fixture,
                 "Stream_WithAnEventTwice_IsAProblem",
                 "[process][soak_checks]")
{
  const std::string again = R"(data: {"text":"t2 "})"
                            "\n\n";
  AnswerStream(3, again + "event: error\n\n");
  call.answer.isComplete = false;
  CHECK(Problems() == 1);
}

TEST_CASE_METHOD(soak_checks_fixture,
                 "Answer_ToAnotherRequest_IsAProblem",
                 "[process][soak_checks]")
{
  AnswerRelease();
  CHECK(Problems() == 0);
  call.answer.body = R"({"tag":"call 1 2"})";
  CHECK(Problems() == 1);
}

TEST_CASE_METHOD(soak_checks_fixture,
                 "Answer_WithAWithdrawnKey_IsAProblem",
                 "[process][soak_checks]")
{
  AnswerRelease();
  isWithdrawn = true;
  CHECK(Problems() == 1);
}

TEST_CASE_METHOD(soak_checks_fixture,
                 "Answer_ThatWasCut_IsAProblemUnlessItsHostWasKilled",
                 "[process][soak_checks]")
{
  SECTION("of a call")
  {
    AnswerRelease();
  }
  SECTION("an error")
  {
    Refuse("not_run");
  }
  call.answer.isComplete = false;
  CHECK(Problems() == 1);
  isKilled = true;
  CHECK(Problems() == 0);
}

TEST_CASE_METHOD(soak_checks_fixture,
                 "Release_ThatRanMoreOrLessThanItsAnswersSay_IsAProblem",
                 "[process][soak_checks]")
{
  AnswerRelease();
  runs.clear();
  CHECK(Problems() == 1);
  runs = { { call.tag, 2 } };
  CHECK(Problems() == 1);
  Refuse("not_run");
  runs = { { call.tag, 1 } };
  CHECK(Problems() == 1);
  Refuse("may_have_run");
  CHECK(Problems() == 0);
  Refuse("");
  CHECK(Problems() == 1);
}

} // namespace
} // namespace bulrush::test
