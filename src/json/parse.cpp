#include "json/json.hpp"

namespace bulrush {
namespace {

using nlohmann::json;

// Whether a prefix of aText opens more levels than allowed. Up to the first
// fault in aText the parser builds exactly these levels.
bool
IsTooDeep(std::string_view aText)
{
  std::size_t depth = 0;
  bool isInString = false;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const char byte = aText[i];
    if (isInString) {
      if (byte == '\\') {
        ++i;
      }
      isInString = byte != '"';
    } else if (byte == '"') {
      isInString = true;
    } else if (byte == '[' || byte == '{') {
      if (++depth > kMaxJsonDepth) {
        return true;
      }
    } else if ((byte == ']' || byte == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

} // namespace

std::optional<json>
ParseJson(std::string_view aText, last_reason& aReason)
{
  const std::string step = "read JSON";
  if (IsTooDeep(aText)) {
    return Fail(aReason,
                step,
                "",
                "nested more than " + std::to_string(kMaxJsonDepth) +
                  " levels deep");
  }
  try {
    return json::parse(aText);
  } catch (const json::exception& error) {
    return Fail(aReason, step, "", error.what());
  }
}

} // namespace bulrush
