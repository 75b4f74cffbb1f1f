#include "net/net.hpp"

#include <cctype>
#include <charconv>

namespace bulrush::net {

// Field names are ASCII and compared without case (RFC 9110).
const std::string*
FindField(const std::vector<http_field>& aFields, std::string_view aName)
{
  const auto isSame = [](char aLeft, char aRight) {
    return std::tolower(static_cast<unsigned char>(aLeft)) ==
           std::tolower(static_cast<unsigned char>(aRight));
  };
  for (const http_field& field : aFields) {
    if (std::equal(field.name.begin(),
                   field.name.end(),
                   aName.begin(),
                   aName.end(),
                   isSame)) {
      return &field.value;
    }
  }
  return nullptr;
}

// A date would need the peer's clock. The limit keeps a faulty value from
// overflowing a time.
std::optional<std::chrono::milliseconds>
ReadRetryAfter(const std::vector<http_field>& aFields)
{
  const std::string* text = FindField(aFields, "Retry-After");
  if (text == nullptr) {
    return std::nullopt;
  }
  double seconds = 0;
  const char* end = text->data() + text->size();
  const auto read = std::from_chars(text->data(), end, seconds);
  const bool isNumber = read.ec == std::errc{} && read.ptr == end;
  constexpr std::chrono::duration<double> kLongest = std::chrono::hours{ 24 };
  if (!isNumber || !(seconds >= 0)) {
    return std::nullopt;
  }
  return std::chrono::ceil<std::chrono::milliseconds>(
    std::min(std::chrono::duration<double>(seconds), kLongest));
}

} // namespace bulrush::net
