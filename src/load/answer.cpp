#include "load/load.hpp"

#include <nlohmann/json.hpp>

namespace bulrush::load {
namespace {

using nlohmann::json;

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataField = "data:";
constexpr std::string_view kDone = "[DONE]";
constexpr int kFirstError = 400;

// A token of ordinary text is about four bytes long.
constexpr std::string_view kTokenText = "ink ";

std::string
PromptOf(std::uint64_t aTokens)
{
  std::string prompt;
  for (std::uint64_t i = 0; i < aTokens; ++i) {
    prompt += kTokenText;
  }
  return prompt;
}

// The text of a choice in any of the forms that model servers use; nullopt
// when there is none, as in the first event that names the role only.
std::optional<std::string>
FindText(const json& aAnswer)
{
  const json choices = aAnswer.value("choices", json::array());
  if (!choices.is_array() || choices.empty() || !choices[0].is_object()) {
    return std::nullopt;
  }
  const json& choice = choices[0];
  for (const char* part : { "delta", "message" }) {
    const auto found = choice.find(part);
    if (found != choice.end() && found->is_object() &&
        found->contains("content") && (*found)["content"].is_string()) {
      return (*found)["content"].get<std::string>();
    }
  }
  const auto text = choice.find("text");
  if (text != choice.end() && text->is_string()) {
    return text->get<std::string>();
  }
  return std::nullopt;
}

std::string
CountedToken(std::uint64_t aIndex)
{
  return "t" + std::to_string(aIndex) + " ";
}

std::string
CountedText(std::uint64_t aTokens)
{
  std::string text;
  for (std::uint64_t i = 0; i < aTokens; ++i) {
    text += CountedToken(i);
  }
  return text;
}

std::string
TextMember(const json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : std::string();
}

} // namespace

std::string
FormatBody(const load_plan& aPlan,
           const planned_request& aRequest,
           const std::string& aTag)
{
  const load_target& target = *aPlan.targets.Find(aRequest.target);
  if (target.isRoute) {
    return json{ { "tag", aTag } }.dump();
  }
  const json message{ { "role", "user" },
                      { "content", PromptOf(aRequest.promptTokens) } };
  return json{
    { "model", target.name },
    { "stream", aRequest.isStream },
    { "max_tokens", aRequest.outputTokens },
    { "messages", json::array({ message }) }
  }.dump();
}

void
answer_reader::TakeBytes(std::string_view aBytes)
{
  mBytes += aBytes;
  if (!mExpectation.isStream || mStatus >= kFirstError) {
    return;
  }
  std::size_t begin = 0;
  for (std::size_t end = mBytes.find(kEventEnd); end != std::string::npos;
       end = mBytes.find(kEventEnd, begin)) {
    const std::string_view event =
      std::string_view(mBytes).substr(begin, end - begin);
    const std::size_t data = event.find(kDataField);
    if (data != std::string_view::npos) {
      TakeEvent(event.substr(data + kDataField.size()));
    }
    begin = end + kEventEnd.size();
  }
  mBytes.erase(0, begin);
}

void
answer_reader::TakeEvent(std::string_view aData)
{
  if (aData.starts_with(' ')) {
    aData.remove_prefix(1);
  }
  if (aData == kDone) {
    mIsDone = true;
    return;
  }
  const json event = json::parse(aData, nullptr, false);
  if (event.is_discarded() || !event.is_object()) {
    mIsWrong = true;
    return;
  }
  if (event.contains("error") && event["error"].is_object()) {
    mHasError = true;
    mCode = TextMember(event["error"], "code");
    return;
  }
  if (const auto text = FindText(event)) {
    TakeToken(*text);
  }
}

// An event out of order or after the end belongs to another answer.
void
answer_reader::TakeToken(const std::string& aText)
{
  const bool isExpected =
    !mIsDone && (!mExpectation.isCounted || aText == CountedToken(mTokens));
  mIsWrong = mIsWrong || !isExpected;
  ++mTokens;
}

load_outcome
answer_reader::Finish(bool aIsWhole)
{
  if (mIsWrong) {
    return load_outcome::eWrong;
  }
  if (mHasError) {
    return load_outcome::eMayHaveRun;
  }
  if (!aIsWhole || mStatus == 0) {
    return load_outcome::eBroken;
  }
  if (mStatus >= kFirstError) {
    return FinishError();
  }
  return mExpectation.isStream ? FinishStream() : FinishWhole();
}

// An error that does not say whether the request ran is a wrong answer: it
// leaves the caller without what it needs to know.
load_outcome
answer_reader::FinishError()
{
  const json body = json::parse(mBytes, nullptr, false);
  const bool isError =
    body.is_object() && body.contains("error") && body["error"].is_object();
  if (!isError) {
    return load_outcome::eWrong;
  }
  mCode = TextMember(body["error"], "code");
  const std::string ran = TextMember(body["error"], "ran");
  if (ran == "not_run") {
    return load_outcome::eRefused;
  }
  return ran == "may_have_run" ? load_outcome::eMayHaveRun
                               : load_outcome::eWrong;
}

// A stream that ends without its mark ended silently, which a caller cannot
// tell from a whole one.
load_outcome
answer_reader::FinishStream() const
{
  const bool isWhole =
    mIsDone && mTokens <= mExpectation.tokens &&
    (!mExpectation.isCounted || mTokens == mExpectation.tokens);
  return isWhole ? load_outcome::eAnswered : load_outcome::eWrong;
}

load_outcome
answer_reader::FinishWhole()
{
  const json body = json::parse(mBytes, nullptr, false);
  if (mExpectation.isRoute) {
    return body.is_discarded() ? load_outcome::eWrong : load_outcome::eAnswered;
  }
  if (!body.is_object()) {
    return load_outcome::eWrong;
  }
  const auto text = FindText(body);
  const json usage = body.value("usage", json::object());
  mTokens = usage.is_object()
              ? usage.value("completion_tokens", std::uint64_t{ 0 })
              : 0;
  const bool isRight = text && (!mExpectation.isCounted ||
                                *text == CountedText(mExpectation.tokens));
  return isRight ? load_outcome::eAnswered : load_outcome::eWrong;
}

} // namespace bulrush::load
