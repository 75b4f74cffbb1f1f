#include "net/response_lines.hpp"

#include <algorithm>
#include <charconv>

namespace bulrush::net {

std::optional<int>
ParseStatusLine(std::string_view aLine)
{
  constexpr std::size_t kDigits = 3;
  const std::size_t space = std::min(aLine.find(' '), aLine.size());
  aLine.remove_prefix(space);
  aLine.remove_prefix(std::min(aLine.find_first_not_of(' '), aLine.size()));
  const std::size_t end = aLine.find_first_of(" \r\n");
  const std::string_view digits = aLine.substr(0, end);
  int status = 0;
  const auto read =
    std::from_chars(digits.data(), digits.data() + digits.size(), status);
  const bool isNumber = digits.size() == kDigits && digits.front() != '-' &&
                        read.ec == std::errc{} &&
                        read.ptr == digits.data() + digits.size();
  return isNumber ? std::optional(status) : std::nullopt;
}

bool
IsInterimStatus(int aStatus)
{
  constexpr int kContinue = 100;
  constexpr int kSwitchingProtocols = 101;
  constexpr int kFirstFinal = 200;
  return aStatus >= kContinue && aStatus < kFirstFinal &&
         aStatus != kSwitchingProtocols;
}

std::optional<http_field>
ParseFieldLine(std::string_view aLine)
{
  const std::size_t colon = aLine.find(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view value = aLine.substr(colon + 1);
  while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) {
    value.remove_prefix(1);
  }
  while (!value.empty() && (value.back() == '\r' || value.back() == '\n' ||
                            value.back() == ' ')) {
    value.remove_suffix(1);
  }
  return http_field{ std::string(aLine.substr(0, colon)), std::string(value) };
}

} // namespace bulrush::net
