#include "net/http_head.hpp"

#include <algorithm>
#include <cctype>

namespace bulrush::net {
namespace {

constexpr std::string_view kLineEnd = "\r\n";

/// Counts of the fields that determine the length and the host of a message.
struct framing_fields
{
  int hosts = 0;
  int lengths = 0;
  int encodings = 0;
};

bool
IsToken(std::string_view aText)
{
  constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), [&](unsigned char aByte) {
           return std::isalnum(aByte) != 0 ||
                  kTokenMarks.find(static_cast<char>(aByte)) !=
                    std::string_view::npos;
         });
}

bool
IsSameName(std::string_view aName, std::string_view aLowerCase)
{
  return std::equal(aName.begin(),
                    aName.end(),
                    aLowerCase.begin(),
                    aLowerCase.end(),
                    [](unsigned char aLeft, unsigned char aRight) {
                      return std::tolower(aLeft) == aRight;
                    });
}

std::string_view
Trim(std::string_view aText)
{
  const auto isBlank = [](char aByte) { return aByte == ' ' || aByte == '\t'; };
  while (!aText.empty() && isBlank(aText.front())) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && isBlank(aText.back())) {
    aText.remove_suffix(1);
  }
  return aText;
}

bool
IsNumber(std::string_view aText)
{
  constexpr std::size_t kMaxDigits = 18;
  return !aText.empty() && aText.size() <= kMaxDigits &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aByte) {
           return std::isdigit(aByte) != 0;
         });
}

std::optional<std::string>
CheckField(std::string_view aLine, framing_fields& aSeen)
{
  if (aLine.front() == ' ' || aLine.front() == '\t') {
    return "a header field is continued on another line";
  }
  const std::size_t colon = aLine.find(':');
  if (colon == std::string_view::npos || !IsToken(aLine.substr(0, colon))) {
    return "the name of a header field is not valid";
  }
  const std::string_view name = aLine.substr(0, colon);
  const std::string_view value = Trim(aLine.substr(colon + 1));
  if (IsSameName(name, "host")) {
    ++aSeen.hosts;
  } else if (IsSameName(name, "content-length")) {
    ++aSeen.lengths;
    if (!IsNumber(value)) {
      return "Content-Length is not a number";
    }
  } else if (IsSameName(name, "transfer-encoding")) {
    ++aSeen.encodings;
    if (!IsSameName(value, "chunked")) {
      return "Transfer-Encoding is not chunked";
    }
  }
  return std::nullopt;
}

std::optional<std::string>
CheckRequestLine(std::string_view aLine, bool& aNeedsHost)
{
  const std::size_t first = aLine.find(' ');
  const std::size_t second = aLine.rfind(' ');
  if (first == std::string_view::npos || first == second ||
      !IsToken(aLine.substr(0, first))) {
    return "the request line is not valid";
  }
  const std::string_view target = aLine.substr(first + 1, second - first - 1);
  const std::string_view version = aLine.substr(second + 1);
  const bool isTargetValid =
    !target.empty() && target.find(' ') == std::string_view::npos;
  if (!isTargetValid || (version != "HTTP/1.1" && version != "HTTP/1.0")) {
    return "the request line is not valid";
  }
  aNeedsHost = version == "HTTP/1.1";
  return std::nullopt;
}

std::optional<std::string>
CheckFraming(const framing_fields& aSeen, bool aNeedsHost)
{
  if (aSeen.hosts > 1 || (aNeedsHost && aSeen.hosts == 0)) {
    return "expected one Host field";
  }
  if (aSeen.lengths > 1 || aSeen.encodings > 1 ||
      aSeen.lengths + aSeen.encodings > 1) {
    return "the length of the body is stated more than once";
  }
  return std::nullopt;
}

} // namespace

std::optional<std::string>
CheckHeadBytes(std::string_view aHead)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7F;
  for (std::size_t i = 0; i < aHead.size(); ++i) {
    const auto byte = static_cast<unsigned char>(aHead[i]);
    const bool isLast = i + 1 == aHead.size();
    if (byte == '\r' && (isLast || aHead[i + 1] == '\n')) {
      continue;
    }
    if (byte == '\n' && i > 0 && aHead[i - 1] == '\r') {
      continue;
    }
    if ((byte < kFirstPrintable && byte != '\t') || byte == kDelete) {
      return "the head holds a control character or a bare line end";
    }
  }
  return std::nullopt;
}

std::optional<std::string>
CheckHead(std::string_view aHead)
{
  if (auto error = CheckHeadBytes(aHead)) {
    return error;
  }
  std::size_t end = aHead.find(kLineEnd);
  bool needsHost = true;
  if (auto error = CheckRequestLine(aHead.substr(0, end), needsHost)) {
    return error;
  }
  framing_fields seen;
  std::size_t line = end + kLineEnd.size();
  for (end = aHead.find(kLineEnd, line); end != line;
       end = aHead.find(kLineEnd, line)) {
    if (auto error = CheckField(aHead.substr(line, end - line), seen)) {
      return error;
    }
    line = end + kLineEnd.size();
  }
  return CheckFraming(seen, needsHost);
}

std::pair<std::string, std::string>
SplitTarget(std::string_view aTarget)
{
  const std::size_t mark = std::min(aTarget.find('?'), aTarget.size());
  const std::size_t query = std::min(mark + 1, aTarget.size());
  return { std::string(aTarget.substr(0, mark)),
           std::string(aTarget.substr(query)) };
}

} // namespace bulrush::net
