#include "apps/ctl_commands.hpp"
#include "observe/observe.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <set>

namespace bulrush::ctl {
namespace {

/// For each endpoint of a request, the number of endpoint events to show from
/// before the request's first line. A change shortly before, such as an
/// endpoint that left, often explains why the request failed.
constexpr std::size_t kMaxEarlierEvents = 8;

/// A log line, "PREFIX TIME LEVEL: EVENT NAME=VALUE...".
struct log_line
{
  std::string time;
  std::string file;
  std::string text;
};

// The value of field aName in aText; empty if there is none.
std::string
ValueOf(const std::string& aText, const std::string& aName)
{
  const std::size_t at = aText.find(" " + aName + "=");
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t begin = at + aName.size() + 2;
  return aText.substr(begin, aText.find(' ', begin) - begin);
}

std::vector<log_line>
ReadLogs(const std::vector<std::string>& aFiles)
{
  std::vector<log_line> lines;
  for (const std::string& name : aFiles) {
    std::ifstream file(name);
    for (std::string text; std::getline(file, text);) {
      const std::size_t time = text.find(' ');
      if (time != std::string::npos) {
        lines.push_back(
          { text.substr(time + 1, text.find(' ', time + 1) - time - 1),
            name,
            std::move(text) });
      }
    }
  }
  std::stable_sort(lines.begin(),
                   lines.end(),
                   [](const log_line& aLeft, const log_line& aRight) {
                     return aLeft.time < aRight.time;
                   });
  return lines;
}

bool
IsEndpointEvent(const log_line& aLine, const std::string& aEndpoint)
{
  return ValueOf(aLine.text, "endpoint") == aEndpoint &&
         ValueOf(aLine.text, "request").empty();
}

// Adds the endpoint's latest events before the request's first line, and all
// events between its first and last line.
void
AddEndpointEvents(const std::vector<log_line>& aLines,
                  const std::string& aEndpoint,
                  std::size_t aFirst,
                  std::size_t aLast,
                  std::set<std::size_t>& aShown)
{
  std::size_t before = 0;
  for (std::size_t i = aFirst; i > 0 && before < kMaxEarlierEvents; --i) {
    if (IsEndpointEvent(aLines[i - 1], aEndpoint)) {
      aShown.insert(i - 1);
      ++before;
    }
  }
  for (std::size_t i = aFirst; i <= aLast; ++i) {
    if (IsEndpointEvent(aLines[i], aEndpoint)) {
      aShown.insert(i);
    }
  }
}

} // namespace

int
ShowRequest(const std::vector<std::string>& aFiles,
            const std::string& aRequest,
            last_reason& aReason)
{
  const std::vector<log_line> lines = ReadLogs(aFiles);
  std::set<std::size_t> shown;
  std::set<std::string> endpoints;
  for (std::size_t i = 0; i < lines.size(); ++i) {
    if (ValueOf(lines[i].text, "request") == aRequest) {
      shown.insert(i);
      endpoints.insert(ValueOf(lines[i].text, "endpoint"));
    }
  }
  if (shown.empty()) {
    Fail(aReason, "read logs", aRequest, "no file that --logs names holds it");
    return eExitNotDone;
  }
  endpoints.erase("");
  const std::size_t first = *shown.begin();
  const std::size_t last = *shown.rbegin();
  for (const std::string& endpoint : endpoints) {
    AddEndpointEvents(lines, endpoint, first, last, shown);
  }
  for (const std::size_t i : shown) {
    std::fputs((lines[i].file + ": " + lines[i].text + "\n").c_str(), stdout);
  }
  return eExitDone;
}

} // namespace bulrush::ctl
