#include "entry/answer.hpp"

#include <algorithm>
#include <charconv>

namespace bulrush::entry {

namespace {

constexpr std::string_view kEndMark = "data: [DONE]";
/// "\r\n\r" may become the end of an event.
constexpr std::size_t kLongestPart = 3;
constexpr std::size_t kBlockBytes = 65'536;

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

// Value of the first line of aEvent that holds aField, without the one space
// that may come before it.
std::optional<std::string_view>
FieldOf(std::string_view aEvent, std::string_view aField)
{
  std::size_t line = 0;
  while (line < aEvent.size()) {
    const std::size_t end = std::min(aEvent.find('\n', line), aEvent.size());
    std::string_view text = aEvent.substr(line, end - line);
    if (text.ends_with('\r')) {
      text.remove_suffix(1);
    }
    const std::string_view name = text.substr(0, text.find(':'));
    if (!name.empty() && name == aField) {
      text.remove_prefix(std::min(name.size() + 1, text.size()));
      if (text.starts_with(' ')) {
        text.remove_prefix(1);
      }
      return text;
    }
    line = end + 1;
  }
  return std::nullopt;
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

void
byte_blocks::Append(std::string_view aBytes)
{
  mSize += aBytes.size();
  while (!aBytes.empty()) {
    if (mBlocks.empty() || mBlocks.back().size() == kBlockBytes) {
      mBlocks.emplace_back();
    }
    std::string& block = mBlocks.back();
    const std::size_t count =
      std::min(aBytes.size(), kBlockBytes - block.size());
    block += aBytes.substr(0, count);
    aBytes.remove_prefix(count);
  }
}

std::string
byte_blocks::Take()
{
  std::string bytes;
  if (mBlocks.size() == 1) {
    bytes = std::move(mBlocks.front());
    mBlocks.clear();
  }
  bytes.reserve(mSize);
  for (; !mBlocks.empty(); mBlocks.pop_front()) {
    bytes += mBlocks.front();
  }
  mSize = 0;
  return bytes;
}

std::string
byte_blocks::Last(std::size_t aCount) const
{
  std::string bytes;
  for (auto block = mBlocks.rbegin();
       block != mBlocks.rend() && bytes.size() < aCount;
       ++block) {
    const std::size_t count = std::min(block->size(), aCount - bytes.size());
    bytes.insert(0, *block, block->size() - count, count);
  }
  return bytes;
}

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
  mHasNewContent = !mIsStream && !aBytes.empty();
  if (mIsStream) {
    return AddEvents(aBytes);
  }
  mTail.Append(aBytes);
  mNextUnit += aBytes.size();
  return aBytes.size();
}

// An endpoint that ignores where a stream is to go on starts it again, and its
// events would come twice.
bool
answer_buffer::AddEvent(std::string aText)
{
  std::string idText(FieldOf(aText, "id").value_or(""));
  if (mRequiresRisingIds) {
    const auto id = ParseId(idText);
    if (id && mNewestId && *id <= *mNewestId) {
      mIsOutOfOrder = true;
      return false;
    }
    mNewestId = id ? id : mNewestId;
  }
  mHasEndMark |= aText.starts_with(kEndMark);
  mHasNewContent |= FieldOf(aText, "data").has_value();
  mEvents.push_back({ std::move(aText), std::move(idText) });
  ++mNextUnit;
  return true;
}

// Only the new bytes are searched, after the last ones of an incomplete event
// that may be a part of its end.
std::uint64_t
answer_buffer::AddEvents(std::string_view aBytes)
{
  if (mIsOutOfOrder) {
    return 0;
  }
  const std::string part = mTail.Last(kLongestPart);
  const std::string searched = part + std::string(aBytes);
  std::uint64_t completed = 0;
  std::size_t begin = part.size(); // of the bytes that are not in mTail yet
  for (std::size_t end = EndOfEvent(searched, 0); end != std::string::npos;
       end = EndOfEvent(searched, begin)) {
    mTail.Append(std::string_view(searched).substr(begin, end - begin));
    begin = end;
    if (!AddEvent(mTail.Take())) {
      return completed;
    }
    ++completed;
  }
  mTail.Append(std::string_view(searched).substr(begin));
  return completed;
}

// An endpoint that crashes closes its connections too. Where only that ends the
// message, the rest of an event is all that shows it.
std::uint64_t
answer_buffer::EndMessage()
{
  mHasNewContent = false;
  if (!mIsStream || mTail.Size() == 0 || mIsOutOfOrder) {
    return 0;
  }
  const std::string last = mTail.Last(kLongestPart + 1);
  if (mTail.Size() > kLongestPart ||
      last.find_first_not_of("\r\n") != std::string::npos) {
    mEndsInsideEvent = true;
    return 0;
  }
  return AddEvent(mTail.Take()) ? 1 : 0;
}

std::string
answer_buffer::Take(std::uint64_t aCount)
{
  if (!mIsStream) {
    mBufferedBytes = 0;
    return mTail.Take();
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
