#include "entry/answer.hpp"

namespace bulrush::entry {

namespace {

constexpr std::string_view kEndMark = "data: [DONE]";

// Events end with an empty line; lines end with LF or CRLF.
std::size_t
EndOfEvent(const std::string& aText)
{
  const std::size_t plain = aText.find("\n\n");
  const std::size_t carriage = aText.find("\r\n\r\n");
  if (plain == std::string::npos && carriage == std::string::npos) {
    return std::string::npos;
  }
  if (carriage < plain) {
    return carriage + std::string_view("\r\n\r\n").size();
  }
  return plain + std::string_view("\n\n").size();
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
  for (std::size_t end = EndOfEvent(mTail); end != std::string::npos;
       end = EndOfEvent(mTail)) {
    mEvents.push_back(mTail.substr(0, end));
    mTail.erase(0, end);
    mHasEndMark |= mEvents.back().starts_with(kEndMark);
    ++completed;
  }
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
