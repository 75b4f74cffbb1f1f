#include "observe/observe.hpp"

#include "observe/log_writer.hpp"

#include <fmt/chrono.h>

#include <unistd.h>

#include <atomic>

namespace bulrush {
namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kRemoved = "[removed]";
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7F;

std::atomic<log_level>&
Level()
{
  static std::atomic<log_level> sLevel = log_level::eInfo;
  return sLevel;
}

log_sink&
Sink()
{
  static log_sink sSink;
  return sSink;
}

const char*
NameOf(log_level aLevel)
{
  switch (aLevel) {
    case log_level::eDebug:
      return "debug";
    case log_level::eInfo:
      return "info";
    case log_level::eWarning:
      return "warning";
    case log_level::eError:
      break;
  }
  return "error";
}

// Control characters are escaped, because a line feed in a caller's text could
// forge a log line. Bytes of UTF-8 sequences are kept.
void
AppendEscaped(std::string& aLine, std::string_view aText)
{
  for (const char each : aText) {
    const auto byte = static_cast<unsigned char>(each);
    if (byte < kFirstPrintable || byte == kDelete) {
      aLine += fmt::format("\\x{:02x}", byte);
    } else {
      aLine += each;
    }
  }
}

// A write error is ignored: there is nowhere left to report it.
void
WriteTo(int aDescriptor, std::string_view aLines)
{
  const char* next = aLines.data();
  std::size_t remaining = aLines.size();
  while (remaining > 0) {
    const ssize_t written = ::write(aDescriptor, next, remaining);
    if (written <= 0) {
      return;
    }
    next += written;
    remaining -= static_cast<std::size_t>(written);
  }
}

std::string
FormatDroppedLine(std::uint64_t aLines)
{
  constexpr log_component kLog{ "log" };
  return FormatLogLine(
    kLog,
    log_level::eWarning,
    std::chrono::system_clock::now(),
    FormatEvent("lines_dropped", { { "count", std::to_string(aLines) } }));
}

// The thread starts on first use; pending lines are written at exit.
log_writer&
Writer()
{
  static log_writer sWriter(
    {},
    [](std::string_view aLines) { WriteTo(STDOUT_FILENO, aLines); },
    FormatDroppedLine);
  return sWriter;
}

std::atomic<bool>&
UsesWriter()
{
  static std::atomic<bool> sUsesWriter = false;
  return sUsesWriter;
}

bool
NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() ||
         aValue.find_first_of(" \t\"=") != std::string_view::npos;
}

void
AppendValue(std::string& aText, std::string_view aValue)
{
  if (!NeedsQuotes(aValue)) {
    aText += aValue;
    return;
  }
  aText += '"';
  for (const char each : aValue) {
    if (each == '"' || each == '\\') {
      aText += '\\';
    }
    aText += each;
  }
  aText += '"';
}

bool
EndsKey(char aByte)
{
  constexpr std::string_view kEnds = " \t\r\n\"',;";
  return kEnds.find(aByte) != std::string_view::npos;
}

bool
MatchesIgnoringCase(std::string_view aText, std::string_view aWord)
{
  if (aText.size() < aWord.size()) {
    return false;
  }
  for (std::size_t i = 0; i < aWord.size(); ++i) {
    if (std::tolower(static_cast<unsigned char>(aText[i])) !=
        std::tolower(static_cast<unsigned char>(aWord[i]))) {
      return false;
    }
  }
  return true;
}

} // namespace

void
SetLogLevel(log_level aLevel)
{
  Level().store(aLevel, std::memory_order_relaxed);
}

bool
IsLogged(log_level aLevel)
{
  return aLevel >= Level().load(std::memory_order_relaxed);
}

std::optional<log_level>
ParseLogLevel(std::string_view aWord, last_reason& aReason)
{
  for (const log_level level : { log_level::eDebug,
                                 log_level::eInfo,
                                 log_level::eWarning,
                                 log_level::eError }) {
    if (aWord == NameOf(level)) {
      return level;
    }
  }
  return Fail(aReason,
              "read log level",
              std::string(aWord),
              "expected debug, info, warning or error");
}

void
SetLogSink(log_sink aSink)
{
  Sink() = std::move(aSink);
}

// Callers send keys as "Authorization: Bearer KEY". Removing them here keeps
// them out of any log line or span that quotes a header.
std::string
RedactKeys(std::string_view aText)
{
  std::string clean;
  clean.reserve(aText.size());
  std::size_t position = 0;
  while (position < aText.size()) {
    if (!MatchesIgnoringCase(aText.substr(position), kBearer)) {
      clean += aText[position++];
      continue;
    }
    clean += aText.substr(position, kBearer.size());
    clean += kRemoved;
    position += kBearer.size();
    while (position < aText.size() && aText[position] == ' ') {
      ++position;
    }
    while (position < aText.size() && !EndsKey(aText[position])) {
      ++position;
    }
  }
  return clean;
}

std::string
FormatWallTime(wall_time aWhen)
{
  const auto seconds = std::chrono::floor<std::chrono::seconds>(aWhen);
  const auto fraction =
    std::chrono::duration_cast<std::chrono::milliseconds>(aWhen - seconds);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
                     fraction.count());
}

std::string
FormatLogLine(const log_component& aPart,
              log_level aLevel,
              wall_time aWhen,
              std::string_view aText)
{
  std::string line = fmt::format(
    "{} {} {}: ", aPart.prefix, FormatWallTime(aWhen), NameOf(aLevel));
  AppendEscaped(line, RedactKeys(aText));
  return line;
}

void
WriteLog(const log_component& aPart, log_level aLevel, std::string_view aText)
{
  const std::string line =
    FormatLogLine(aPart, aLevel, std::chrono::system_clock::now(), aText);
  if (Sink()) {
    Sink()(line);
    return;
  }
  if (UsesWriter().load(std::memory_order_relaxed)) {
    Writer().Add(line);
    return;
  }
  // A single write per line keeps lines of several processes from interleaving.
  WriteTo(STDERR_FILENO, line + '\n');
}

void
LogToStandardOutput()
{
  Writer();
  UsesWriter().store(true, std::memory_order_relaxed);
}

std::string
FormatEvent(std::string_view aEvent, std::span<const log_field> aFields)
{
  std::string text(aEvent);
  for (const log_field& field : aFields) {
    text += ' ';
    text += field.name;
    text += '=';
    AppendValue(text, field.value);
  }
  return text;
}

std::string
FormatEvent(std::string_view aEvent, std::initializer_list<log_field> aFields)
{
  return FormatEvent(aEvent, std::span(aFields.begin(), aFields.size()));
}

void
LogEvent(const log_component& aPart,
         log_level aLevel,
         std::string_view aEvent,
         std::initializer_list<log_field> aFields)
{
  if (IsLogged(aLevel)) {
    WriteLog(aPart, aLevel, FormatEvent(aEvent, aFields));
  }
}

void
WriteLogLines(const log_component& aPart,
              log_level aLevel,
              std::string_view aText)
{
  while (!aText.empty()) {
    const std::size_t end = aText.find('\n');
    const std::string_view line = aText.substr(0, end);
    if (!line.empty()) {
      WriteLog(aPart, aLevel, line);
    }
    if (end == std::string_view::npos) {
      return;
    }
    aText.remove_prefix(end + 1);
  }
}

} // namespace bulrush
