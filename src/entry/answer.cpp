#include "entry/answer.hpp"

#include <algorithm>

namespace bulrush::entry {

namespace {

constexpr std::string_view kEndMark = "data: [DONE]";
/// "\r\n\r" may become the end of an event.
constexpr std::size_t kLongestPart = 3;

// Events end with an empty line; lines end with LF or CRLF. aFrom: no earlier
// line feed is followed by an empty line.
std::size_t
EndOfEvent(std::string_view aText, std::size_t aFrom)
{
  for (std::size_t at = aText.find('\n', aFrom); at != std::string_view::npos;
       at = aText.find('\n', at + 1)) {
    const std::string_view rest = aText.substr(at + 1);
    if (rest.starts_with('\n')) {
      return at + 2;
    }
    if (at > 0 && aText[at - 1] == '\r' && rest.starts_with("\r\n")) {
      return at + 3;
    }
  }
  return std::string_view::npos;
}

// Value of the "id" field, which must start a line.
std::string
EventId(std::string_view aEvent)
{
  constexpr std::string_view kField = "id:";
  std::size_t line = 0;
  while (line < aEvent.size()) {
    const std::size_t end = std::min(aEvent.find('\n', line), aEvent.size());
    std::string_view text = aEvent.substr(line, end - line);
    if (text.starts_with(kField)) {
      text.remove_prefix(kField.size());
      if (text.starts_with(' ')) {
        text.remove_prefix(1);
      }
      if (text.ends_with('\r')) {
        text.remove_suffix(1);
      }
      return std::string(text);
    }
    line = end + 1;
  }
  return "";
}

} // namespace

answer_buffer::answer_buffer(bool aIsStream, std::uint64_t aOffset)
  : mIsStream(aIsStream)
  , mNextUnit(aOffset)
{
}

std::uint64_t
answer_buffer::Add(std::string_view aBytes)
{
  mBufferedBytes += aBytes.size();
  if (mIsStream) {
    return AddEvents(aBytes);
  }
  mTail += aBytes;
  mNextUnit += aBytes.size();
  return aBytes.size();
}

std::uint64_t
answer_buffer::AddEvents(std::string_view aBytes)
{
  mTail += aBytes;
  std::uint64_t completed = 0;
  std::size_t begin = 0;
  for (std::size_t end = EndOfEvent(mTail, mSearchedBytes);
       end != std::string::npos;
       end = EndOfEvent(mTail, begin)) {
    mEvents.push_back(mTail.substr(begin, end - begin));
    mHasEndMark |= mEvents.back().starts_with(kEndMark);
    begin = end;
    ++completed;
  }
  mTail.erase(0, begin);
  // An incomplete event is not searched again, except for a part of its end.
  mSearchedBytes = mTail.size() - std::min(mTail.size(), kLongestPart);
  mNextUnit += completed;
  return completed;
}

std::uint64_t
answer_buffer::EndMessage()
{
  if (!mIsStream || mTail.empty()) {
    return 0;
  }
  mEvents.push_back(std::exchange(mTail, {}));
  mSearchedBytes = 0;
  ++mNextUnit;
  return 1;
}

std::string
answer_buffer::Take(std::uint64_t aCount)
{
  if (!mIsStream) {
    mBufferedBytes = 0;
    return std::exchange(mTail, {});
  }
  std::string taken;
  for (std::uint64_t i = 0; i < aCount && !mEvents.empty(); ++i) {
    const std::string id = EventId(mEvents.front());
    mLastEvent = id.empty() ? mLastEvent : id;
    taken += mEvents.front();
    mEvents.pop_front();
  }
  mBufferedBytes -= taken.size();
  return taken;
}

} // namespace bulrush::entry
