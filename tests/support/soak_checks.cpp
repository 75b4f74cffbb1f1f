#include "support/soak_checks.hpp"

#include <charconv>

namespace bulrush::test {
namespace {

using nlohmann::json;

constexpr int kOk = 200;

// Field "ran" of an error; empty for any other body.
std::string
RanOf(const std::string& aBody)
{
  const json error = json::parse(aBody, nullptr, false);
  return error.is_object() && error.contains("error")
           ? error["error"].value("ran", "")
           : "";
}

std::string
ProblemOfError(const caller_answer& aAnswer, bool aIsKilled)
{
  if (!aAnswer.isComplete) {
    return aIsKilled ? "" : "an error was cut";
  }
  const std::string ran = RanOf(aAnswer.body);
  return ran == "not_run" || ran == "may_have_run"
           ? ""
           : "an error does not say whether the request ran";
}

std::string
ProblemOfBody(const call_row& aCall, bool aIsKilled)
{
  if (!aCall.answer.isComplete) {
    return aIsKilled ? "" : "an answer was cut";
  }
  const json body = json::parse(aCall.answer.body, nullptr, false);
  return body.is_object() && body.value("tag", "") == aCall.tag
           ? ""
           : "an answer to another request";
}

/// Number of the tokens t0, t1, ...; none if they do not follow.
std::optional<int>
CountTokens(std::string_view aBody)
{
  constexpr std::string_view kToken = R"("text":"t)";
  int tokens = 0;
  for (std::size_t at = aBody.find(kToken); at != std::string_view::npos;
       at = aBody.find(kToken, at + 1)) {
    const std::string_view text = aBody.substr(at + kToken.size());
    int token = -1;
    std::from_chars(text.data(), text.data() + text.size(), token);
    if (token != tokens) {
      return std::nullopt;
    }
    ++tokens;
  }
  return tokens;
}

std::string
ProblemOfStream(const call_row& aCall, bool aIsKilled)
{
  const std::string& body = aCall.answer.body;
  const auto tokens = CountTokens(body);
  if (!tokens) {
    return "a stream whose events do not follow";
  }
  if (aCall.answer.isComplete) {
    return *tokens == aCall.tokens && body.ends_with("data: [DONE]\n\n")
             ? ""
             : "a broken stream that ends as complete";
  }
  return aIsKilled || body.find("event: error") != std::string::npos
           ? ""
           : "a stream was cut without an error";
}

std::string
ProblemOf(const call_row& aCall, const soak_facts& aFacts)
{
  const bool isKilled = aFacts.wasKilled(aCall);
  if (aCall.answer.status == 0) {
    return isKilled ? "" : "no answer";
  }
  if (aCall.answer.status != kOk) {
    return ProblemOfError(aCall.answer, isKilled);
  }
  if (aFacts.isWithdrawn(aCall.key, aCall.sentAt)) {
    return "served with a withdrawn key";
  }
  return aCall.kind == call_kind::eStream ? ProblemOfStream(aCall, isKilled)
                                          : ProblemOfBody(aCall, isKilled);
}

/// What the answers to a release say of its runs.
struct release_row
{
  int least = 0;
  int most = 0;
};

std::map<std::string, release_row>
ReleasesOf(const std::vector<call_row>& aCalls)
{
  std::map<std::string, release_row> releases;
  for (const call_row& call : aCalls) {
    if (call.kind != call_kind::eRelease &&
        call.kind != call_kind::eKeyedRelease) {
      continue;
    }
    release_row& row = releases[call.tag];
    if (call.answer.status == kOk) {
      row.least = 1;
    }
    if (RanOf(call.answer.body) != "not_run") {
      row.most = 1;
    }
  }
  return releases;
}

} // namespace

std::vector<std::string>
FindProblems(const std::vector<call_row>& aCalls, const soak_facts& aFacts)
{
  std::vector<std::string> problems;
  for (const call_row& call : aCalls) {
    const std::string problem = ProblemOf(call, aFacts);
    if (!problem.empty()) {
      problems.push_back(problem + ": " + Describe(call));
    }
  }
  for (const auto& [tag, row] : ReleasesOf(aCalls)) {
    const auto found = aFacts.runs.find(tag);
    const int count = found == aFacts.runs.end() ? 0 : found->second;
    if (count < row.least || count > row.most) {
      problems.push_back("a release ran " + std::to_string(count) +
                         " times, expected " + std::to_string(row.least) +
                         " to " + std::to_string(row.most) + ": " + tag);
    }
  }
  return problems;
}

} // namespace bulrush::test
