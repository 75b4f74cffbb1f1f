#include "load/load.hpp"
#include "json/json.hpp"

namespace bulrush::load {
namespace {

using nlohmann::json;

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataField = "data:";
constexpr std::string_view kDone = "[DONE]";
constexpr int kFirstErrorStatus = 400;

// A token of English text has about four bytes.
constexpr std::string_view kPromptToken = "ink ";

std::string
MakePrompt(std::uint64_t aTokens)
{
  std::string prompt;
  for (std::uint64_t i = 0; i < aTokens; ++i) {
    prompt += kPromptToken;
  }
  return prompt;
}

// The text of the first choice, in any of the forms that model servers use.
// nullopt if there is none: the first event of a stream often has a role only.
std::optional<std::string>
FindText(const json& aAnswer)
{
  const json choices = aAnswer.value("choices", json::array());
  if (!choices.is_array() || choices.empty() || !choices[0].is_object()) {
    return std::nullopt;
  }
  const json& choice = choices[0];
  for (const char* member : { "delta", "message" }) {
    const auto found = choice.find(member);
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
NumberedToken(std::uint64_t aIndex)
{
  return "t" + std::to_string(aIndex) + " ";
}

std::string
NumberedTokens(std::uint64_t aTokens)
{
  std::string text;
  for (std::uint64_t i = 0; i < aTokens; ++i) {
    text += NumberedToken(i);
  }
  return text;
}

std::string
StringMember(const json& aObject, const char* aName)
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
                      { "content", MakePrompt(aRequest.promptTokens) } };
  return json{
    { "model", target.name },
    { "stream", aRequest.isStream },
    { "max_tokens", aRequest.outputTokens },
    { "messages", json::array({ message }) }
  }.dump();
}

void
answer_reader::HandleBytes(std::string_view aBytes)
{
  mBytes += aBytes;
  if (!mExpectation.isStream || mStatus >= kFirstErrorStatus) {
    return;
  }
  std::size_t begin = 0;
  for (std::size_t end = mBytes.find(kEventEnd); end != std::string::npos;
       end = mBytes.find(kEventEnd, begin)) {
    const std::string_view event =
      std::string_view(mBytes).substr(begin, end - begin);
    const std::size_t data = event.find(kDataField);
    if (data != std::string_view::npos) {
      HandleEvent(event.substr(data + kDataField.size()));
    }
    begin = end + kEventEnd.size();
  }
  mBytes.erase(0, begin);
}

void
answer_reader::HandleEvent(std::string_view aData)
{
  if (aData.starts_with(' ')) {
    aData.remove_prefix(1);
  }
  if (aData == kDone) {
    mIsDone = true;
    return;
  }
  last_reason ignored; // the outcome says that the answer is wrong
  const auto event = ParseJson(aData, ignored);
  if (!event || !event->is_object()) {
    mIsWrong = true;
    return;
  }
  const auto error = event->find("error");
  if (error != event->end() && error->is_object()) {
    mHasError = true;
    mCode = StringMember(*error, "code");
    return;
  }
  if (const auto text = FindText(*event)) {
    HandleToken(*text);
  }
}

// A token out of order or after the end marker belongs to another answer.
void
answer_reader::HandleToken(const std::string& aText)
{
  const bool isExpected = !mIsDone && (!mExpectation.hasNumberedTokens ||
                                       aText == NumberedToken(mTokens));
  mIsWrong = mIsWrong || !isExpected;
  ++mTokens;
}

load_outcome
answer_reader::Finish(bool aIsComplete)
{
  if (mIsWrong) {
    return load_outcome::eWrong;
  }
  if (mHasError) {
    return load_outcome::eMayHaveRun;
  }
  if (!aIsComplete || mStatus == 0) {
    return load_outcome::eBroken;
  }
  if (mStatus >= kFirstErrorStatus) {
    return FinishError();
  }
  return mExpectation.isStream ? FinishStream() : FinishJson();
}

// An error that does not state whether the request ran counts as a wrong
// answer: the caller cannot decide whether a retry is safe.
load_outcome
answer_reader::FinishError()
{
  last_reason ignored;
  const json body = ParseJson(mBytes, ignored).value_or(json());
  const bool isError =
    body.is_object() && body.contains("error") && body["error"].is_object();
  if (!isError) {
    return load_outcome::eWrong;
  }
  mCode = StringMember(body["error"], "code");
  const std::string ran = StringMember(body["error"], "ran");
  if (ran == "not_run") {
    return load_outcome::eRefused;
  }
  return ran == "may_have_run" ? load_outcome::eMayHaveRun
                               : load_outcome::eWrong;
}

// A stream that ends without its end marker is a wrong answer: the caller
// cannot tell the truncated stream from a complete one.
load_outcome
answer_reader::FinishStream() const
{
  const bool isComplete =
    mIsDone && mTokens <= mExpectation.tokens &&
    (!mExpectation.hasNumberedTokens || mTokens == mExpectation.tokens);
  return isComplete ? load_outcome::eAnswered : load_outcome::eWrong;
}

load_outcome
answer_reader::FinishJson()
{
  last_reason ignored;
  const auto parsed = ParseJson(mBytes, ignored);
  if (mExpectation.isRoute) {
    return parsed ? load_outcome::eAnswered : load_outcome::eWrong;
  }
  if (!parsed || !parsed->is_object()) {
    return load_outcome::eWrong;
  }
  const json& body = *parsed;
  const auto text = FindText(body);
  const json usage = body.value("usage", json::object());
  mTokens = usage.is_object()
              ? usage.value("completion_tokens", std::uint64_t{ 0 })
              : 0;
  const bool isCorrect = text && (!mExpectation.hasNumberedTokens ||
                                  *text == NumberedTokens(mExpectation.tokens));
  return isCorrect ? load_outcome::eAnswered : load_outcome::eWrong;
}

} // namespace bulrush::load
