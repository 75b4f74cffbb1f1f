#include "json/json.hpp"

namespace bulrush {
namespace {

using nlohmann::json;

// The bound that a prefix of aText exceeds. Up to the first fault in aText the
// parser builds exactly these levels and at most these values.
std::optional<std::string>
FindExceededBound(std::string_view aText)
{
  std::size_t depth = 0;
  std::size_t values = 1;
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
      ++values;
      if (++depth > kMaxJsonDepth) {
        return "nested more than " + std::to_string(kMaxJsonDepth) +
               " levels deep";
      }
    } else if (byte == ',') {
      ++values;
    } else if ((byte == ']' || byte == '}') && depth > 0) {
      --depth;
    }
    if (values > kMaxJsonValues) {
      return "more than " + std::to_string(kMaxJsonValues) + " values";
    }
  }
  return std::nullopt;
}

} // namespace

std::optional<json>
ParseJson(std::string_view aText, last_reason& aReason)
{
  const std::string step = "read JSON";
  if (const auto exceeded = FindExceededBound(aText)) {
    return Fail(aReason, step, "", *exceeded);
  }
  try {
    return json::parse(aText);
  } catch (const json::exception& error) {
    return Fail(aReason, step, "", error.what());
  }
}

} // namespace bulrush
