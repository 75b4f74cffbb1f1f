#include "observe/observe.hpp"
#include "json/json.hpp"

#include <charconv>

namespace bulrush {
namespace {

using nlohmann::json;

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::string_view kRemoved = "[removed]";
constexpr int kStatusError = 2; // STATUS_CODE_ERROR of OTLP

// Fields of a traceparent: "00-" 32 digits "-" 16 digits "-" 2 digits.
constexpr std::size_t kTraceBegin = 3;
constexpr std::size_t kTraceDigits = 32;
constexpr std::size_t kSpanBegin = 36;
constexpr std::size_t kSpanDigits = 16;
constexpr std::size_t kFlagsBegin = 53;
constexpr std::size_t kHeaderSize = 55;
constexpr std::uint8_t kSampledFlag = 1;

// Accepts lower case only, as W3C Trace Context requires.
template<std::size_t count>
bool
ParseHex(std::string_view aText, std::array<std::uint8_t, count>& aBytes)
{
  if (aText.size() != 2 * count) {
    return false;
  }
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t high = kHexDigits.find(aText[2 * i]);
    const std::size_t low = kHexDigits.find(aText[2 * i + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos) {
      return false;
    }
    aBytes[i] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return true;
}

template<std::size_t count>
void
FillRandom(std::array<std::uint8_t, count>& aBytes, random_engine& aRandom)
{
  // All zero means "no id" and must not be generated.
  do {
    for (std::uint8_t& byte : aBytes) {
      byte = static_cast<std::uint8_t>(aRandom());
    }
  } while (aBytes == std::array<std::uint8_t, count>{});
}

json
FormatAttribute(std::string_view aName, std::string_view aValue)
{
  return json{ { "key", aName }, { "value", { { "stringValue", aValue } } } };
}

std::string
LowerCase(std::string_view aText)
{
  std::string lower(aText);
  for (char& each : lower) {
    each = static_cast<char>(std::tolower(static_cast<unsigned char>(each)));
  }
  return lower;
}

bool
MayHoldKey(std::string_view aName)
{
  const std::string name = LowerCase(aName);
  for (const char* word :
       { "authorization", "api-key", "api_key", "cookie", "secret" }) {
    if (name.find(word) != std::string::npos) {
      return true;
    }
  }
  return false;
}

json
FormatAttributes(const std::vector<span_attribute>& aAttributes)
{
  json list = json::array();
  for (const span_attribute& each : aAttributes) {
    list.push_back(FormatAttribute(
      each.name,
      MayHoldKey(each.name) ? std::string(kRemoved) : RedactKeys(each.value)));
  }
  return list;
}

// OTLP/JSON writes 64-bit integers as decimal strings.
std::string
FormatNanoseconds(wall_time aWhen)
{
  const auto sinceEpoch = std::chrono::duration_cast<std::chrono::nanoseconds>(
    aWhen.time_since_epoch());
  return std::to_string(sinceEpoch.count());
}

wall_time
ParseNanoseconds(const std::string& aText)
{
  std::int64_t count = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), count);
  return wall_time(std::chrono::duration_cast<wall_time::duration>(
    std::chrono::nanoseconds(count)));
}

std::string
FindAttribute(const json& aList, std::string_view aName)
{
  for (const json& each : aList) {
    if (each.at("key") == aName) {
      return each.at("value").at("stringValue");
    }
  }
  return {};
}

span_row
ReadSpan(const json& aSpan)
{
  span_row row;
  ParseHex(aSpan.at("traceId").get<std::string>(), row.context.trace.bytes);
  ParseHex(aSpan.at("spanId").get<std::string>(), row.context.span.bytes);
  ParseHex(aSpan.value("parentSpanId", std::string()), row.parent.bytes);
  row.name = aSpan.at("name");
  row.kind = static_cast<span_kind>(aSpan.at("kind").get<int>());
  row.start = ParseNanoseconds(aSpan.at("startTimeUnixNano"));
  row.end = ParseNanoseconds(aSpan.at("endTimeUnixNano"));
  for (const json& each : aSpan.at("attributes")) {
    row.attributes.push_back(
      { each.at("key"), each.at("value").at("stringValue") });
  }
  if (aSpan.contains("status")) {
    row.failure = aSpan.at("status").value("message", std::string());
  }
  return row;
}

} // namespace

std::string
FormatHex(std::span<const std::uint8_t> aBytes)
{
  std::string text;
  text.reserve(2 * aBytes.size());
  for (const std::uint8_t byte : aBytes) {
    text += kHexDigits[byte / 16];
    text += kHexDigits[byte % 16];
  }
  return text;
}

std::optional<trace_id>
ParseTraceId(std::string_view aText, last_reason& aReason)
{
  trace_id id;
  if (!ParseHex(aText, id.bytes) || id == trace_id{}) {
    return Fail(aReason,
                "read trace id",
                {},
                "expected 32 lower-case hexadecimal digits, not all zero");
  }
  return id;
}

// Later versions of the header start with the same four fields and may append
// more; version 00 has exactly these four.
std::optional<trace_context>
ParseTraceparent(std::string_view aHeader, last_reason& aReason)
{
  const auto fail = [&aReason] {
    return Fail(aReason,
                "read traceparent",
                {},
                "expected VERSION-TRACE-SPAN-FLAGS in hexadecimal digits");
  };
  if (aHeader.size() < kHeaderSize) {
    return fail();
  }
  std::array<std::uint8_t, 1> version{};
  std::array<std::uint8_t, 1> flags{};
  trace_context context;
  const bool wellFormed =
    ParseHex(aHeader.substr(0, 2), version) && aHeader[2] == '-' &&
    ParseHex(aHeader.substr(kTraceBegin, kTraceDigits), context.trace.bytes) &&
    aHeader[kSpanBegin - 1] == '-' &&
    ParseHex(aHeader.substr(kSpanBegin, kSpanDigits), context.span.bytes) &&
    aHeader[kFlagsBegin - 1] == '-' &&
    ParseHex(aHeader.substr(kFlagsBegin, 2), flags);
  if (!wellFormed || version[0] == 0xFF) {
    return fail();
  }
  const bool isLonger = aHeader.size() > kHeaderSize;
  if (isLonger && (version[0] == 0 || aHeader[kHeaderSize] != '-')) {
    return fail();
  }
  if (context.trace == trace_id{} || context.span == span_id{}) {
    return fail();
  }
  context.sampled = (flags[0] & kSampledFlag) != 0;
  return context;
}

std::string
FormatTraceparent(const trace_context& aContext)
{
  return fmt::format("00-{}-{}-{}",
                     FormatHex(aContext.trace.bytes),
                     FormatHex(aContext.span.bytes),
                     aContext.sampled ? "01" : "00");
}

trace_context
NewTrace(random_engine& aRandom)
{
  trace_context context;
  FillRandom(context.trace.bytes, aRandom);
  FillRandom(context.span.bytes, aRandom);
  return context;
}

trace_context
ChildOf(const trace_context& aParent, random_engine& aRandom)
{
  trace_context context = aParent;
  FillRandom(context.span.bytes, aRandom);
  return context;
}

std::string
FormatSpan(const span_row& aSpan, const span_source& aSource)
{
  json span{ { "traceId", FormatHex(aSpan.context.trace.bytes) },
             { "spanId", FormatHex(aSpan.context.span.bytes) },
             { "name", aSpan.name },
             { "kind", static_cast<int>(aSpan.kind) },
             { "startTimeUnixNano", FormatNanoseconds(aSpan.start) },
             { "endTimeUnixNano", FormatNanoseconds(aSpan.end) },
             { "attributes", FormatAttributes(aSpan.attributes) } };
  if (aSpan.parent != span_id{}) {
    span["parentSpanId"] = FormatHex(aSpan.parent.bytes);
  }
  if (!aSpan.failure.empty()) {
    span["status"] = { { "code", kStatusError },
                       { "message", RedactKeys(aSpan.failure) } };
  }
  json resource = json::array();
  resource.push_back(FormatAttribute("service.name", aSource.service));
  resource.push_back(FormatAttribute("host.name", aSource.host));
  resource.push_back(FormatAttribute("failure_domain", aSource.domain));
  json scope;
  scope["spans"] = json::array({ std::move(span) });
  json document;
  document["resource"]["attributes"] = std::move(resource);
  document["scopeSpans"] = json::array({ std::move(scope) });
  json line;
  line["resourceSpans"] = json::array({ std::move(document) });
  // Invalid UTF-8 from a caller is replaced; otherwise dump() would throw and
  // the span would be lost.
  return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<parsed_span>
ParseSpan(std::string_view aLine, last_reason& aReason)
{
  const auto line = ParseJson(aLine, aReason);
  if (!line) {
    return Fail(aReason, "read span", {}, aReason.text);
  }
  try {
    const json& document = line->at("resourceSpans").at(0);
    const json& resource = document.at("resource").at("attributes");
    parsed_span parsed;
    parsed.source.service = FindAttribute(resource, "service.name");
    parsed.source.host = FindAttribute(resource, "host.name");
    parsed.source.domain = FindAttribute(resource, "failure_domain");
    parsed.span = ReadSpan(document.at("scopeSpans").at(0).at("spans").at(0));
    return parsed;
  } catch (const json::exception& error) {
    return Fail(aReason, "read span", {}, error.what());
  }
}

} // namespace bulrush
