#ifndef BULRUSH_ENTRY_ANSWER_HPP
#define BULRUSH_ENTRY_ANSWER_HPP

/// The bytes of one attempt's answer, split into the units that routing counts:
/// events of a stream, bytes of any other answer.

#include "core/core.hpp"

#include <deque>

namespace bulrush::entry {

/// Bytes in blocks of bounded size. A string that grows copies itself into one
/// of twice the size, so that for a while it takes three times its size.
class byte_blocks
{
public:
  void Append(std::string_view aBytes);
  /// Removes and returns all bytes.
  std::string Take();
  std::size_t Size() const { return mSize; }
  /// The last aCount bytes, or all if there are fewer.
  std::string Last(std::size_t aCount) const;

private:
  std::deque<std::string> mBlocks;
  std::size_t mSize = 0;
};

class answer_buffer
{
public:
  /// aIsStream: units are server-sent events; the first has number aOffset.
  answer_buffer(bool aIsStream, std::uint64_t aOffset);

  /// From now on event ids must rise, and be above aLastEvent unless that is
  /// empty.
  void RequireRisingIds(const std::string& aLastEvent);

  /// Appends bytes; returns the number of units they completed.
  std::uint64_t Add(std::string_view aBytes);

  /// Removes and returns the next aCount units of a stream, else all bytes.
  std::string Take(std::uint64_t aCount);

  /// True if the last Add or EndMessage completed a unit that is more than a
  /// comment: bytes, or an event with data.
  bool HasNewContent() const { return mHasNewContent; }
  /// Number of the unit that the next Add may complete.
  std::uint64_t NextUnit() const { return mNextUnit; }
  bool IsStream() const { return mIsStream; }
  /// True once the stream's end mark was seen.
  bool HasEndMark() const { return mHasEndMark; }
  /// True once an event did not follow the one before it. It is dropped, and so
  /// are all later ones.
  bool IsOutOfOrder() const { return mIsOutOfOrder; }
  /// Called at the complete end of the message: line ends that are left of a
  /// stream become its last unit. Returns the number of units that this
  /// completed.
  std::uint64_t EndMessage();
  /// True once the message of a stream ended inside an event.
  bool EndsInsideEvent() const { return mEndsInsideEvent; }

  /// Value of the latest "id" field among events taken; empty if none.
  const std::string& LastEvent() const { return mLastEvent; }
  std::size_t BufferedBytes() const { return mBufferedBytes; }

private:
  struct stream_event
  {
    std::string text;
    std::string id;
  };

  std::uint64_t AddEvents(std::string_view aBytes);
  bool AddEvent(std::string aText);

  bool mIsStream;
  bool mHasEndMark = false;
  bool mHasNewContent = false;
  std::uint64_t mNextUnit;
  std::size_t mBufferedBytes = 0;
  byte_blocks mTail; ///< incomplete event of a stream, else the body
  std::string mLastEvent;
  std::deque<stream_event> mEvents;
  bool mRequiresRisingIds = false;
  bool mIsOutOfOrder = false;
  bool mEndsInsideEvent = false;
  std::optional<std::uint64_t> mNewestId; ///< among events added
};

} // namespace bulrush::entry

#endif
