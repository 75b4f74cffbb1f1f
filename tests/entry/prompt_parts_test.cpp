#include "entry/openai.hpp"

#include <catch2/catch.hpp>

namespace bulrush::entry {
namespace {

/// Requests of the completions interface.
struct prompt_parts_fixture
{
  const std::string system = R"({"role":"system","content":"be brief"})";
  const std::string hello = R"({"role":"user","content":"hello"})";
  const std::string other = R"({"role":"user","content":"other"})";

  static std::vector<part_id> Parts(const std::string& aMembers)
  {
    net::http_request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.fields = { { "Content-Type", "application/json" },
                       { "Authorization", "Bearer bl-1" } };
    request.body = R"({"model":"draft",)" + aMembers + "}";
    caller_error error;
    const auto call = OpenAiFrontEnd().readCall(request, error);
    INFO(error.text);
    REQUIRE(call);
    return call->sharedParts;
  }
};

TEST_CASE_METHOD(prompt_parts_fixture,
                 "Chats_WithAMessageInCommon_ShareItsPart",
                 "[entry]")
{
  const auto first = Parts(R"("messages":[)" + system + "," + hello + "]");
  const auto second = Parts(R"("messages":[)" + system + "," + other + "]");
  REQUIRE(first.size() == 2);
  REQUIRE(second.size() == 2);
  CHECK(first[0] == second[0]);
  CHECK(first[1] != second[1]);
}

TEST_CASE_METHOD(prompt_parts_fixture,
                 "Prompt_SentAgain_HasTheSamePart",
                 "[entry]")
{
  const auto first = Parts(R"("prompt":"write a novel")");
  REQUIRE(first.size() == 1);
  CHECK(first == Parts(R"("prompt":"write a novel","stream":true)"));
  CHECK(first != Parts(R"("prompt":"write a poem")"));
}

TEST_CASE_METHOD(prompt_parts_fixture,
                 "Chat_WithManyMessages_HasABoundedNumberOfParts",
                 "[entry]")
{
  std::string messages = hello;
  for (int i = 0; i < 100; ++i) {
    messages += "," + hello;
  }
  CHECK(Parts(R"("messages":[)" + messages + "]").size() ==
        quarantine::kMaxParts);
  CHECK(Parts(R"("messages":7)").empty());
}

} // namespace
} // namespace bulrush::entry
