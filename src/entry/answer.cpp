#include "entry/answer.hpp"

#include <algorithm>
#include <charconv>

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

std::optional<std::uint64_t>
ParseId(std::string_view aText)
{
  std::uint64_t id = 0;
  const auto read =
    std::from_chars(aText.data(), aText.data() + aText.size(), id);
  const bool isNumber =
    read.ec == std::errc{} && read.ptr == aText.data() + aText.size();
  return isNumber ? std::optional(id) : std::nullopt;
}

} // namespace

answer_buffer::answer_buffer(bool aIsStream, std::uint64_t aOffset)
  : mIsStream(aIsStream)
  , mNextUnit(aOffset)
{
}

void
answer_buffer::RequireRisingIds(const std::string& aLastEvent)
{
  mRequiresRisingIds = true;
  mNewestId = ParseId(aLastEvent);
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

// An endpoint that ignores where a stream is to go on starts it again, and its
// events would come twice.
bool
answer_buffer::AddEvent(std::string aText)
{
  std::string idText = EventId(aText);
  if (mRequiresRisingIds) {
    const auto id = ParseId(idText);
    if (id && mNewestId && *id <= *mNewestId) {
      mIsOutOfOrder = true;
      return false;
    }
    mNewestId = id ? id : mNewestId;
  }
  mHasEndMark |= aText.starts_with(kEndMark);
  mEvents.push_back({ std::move(aText), std::move(idText) });
  ++mNextUnit;
  return true;
}

std::uint64_t
answer_buffer::AddEvents(std::string_view aBytes)
{
  if (mIsOutOfOrder) {
    return 0;
  }
  mTail += aBytes;
  std::uint64_t completed = 0;
  std::size_t begin = 0;
  for (std::size_t end = EndOfEvent(mTail, mSearchedBytes);
       end != std::string::npos && AddEvent(mTail.substr(begin, end - begin));
       end = EndOfEvent(mTail, begin)) {
    begin = end;
    ++completed;
  }
  mTail.erase(0, begin);
  // An incomplete event is not searched again, except for a part of its end.
  mSearchedBytes = mTail.size() - std::min(mTail.size(), kLongestPart);
  return completed;
}

std::uint64_t
answer_buffer::EndMessage()
{
  if (!mIsStream || mTail.empty() || mIsOutOfOrder) {
    return 0;
  }
  mSearchedBytes = 0;
  return AddEvent(std::exchange(mTail, {})) ? 1 : 0;
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
    stream_event& event = mEvents.front();
    mLastEvent = event.id.empty() ? mLastEvent : std::move(event.id);
    taken += event.text;
    mEvents.pop_front();
  }
  mBufferedBytes -= taken.size();
  return taken;
}

} // namespace bulrush::entry
