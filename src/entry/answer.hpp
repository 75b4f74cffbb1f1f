#ifndef BULRUSH_ENTRY_ANSWER_HPP
#define BULRUSH_ENTRY_ANSWER_HPP

/// The bytes of one attempt's answer, cut into the units that routing counts:
/// events of a stream, bytes of anything else.

#include "core/core.hpp"

#include <deque>

namespace bulrush::entry {

class answer_buffer
{
public:
  /// aIsStream: units are server-sent events; the first has number aOffset.
  answer_buffer(bool aIsStream, std::uint64_t aOffset);

  /// Adds bytes; returns how many units they completed.
  std::uint64_t Add(std::string_view aBytes);

  /// Takes the next aCount units out, as they arrived.
  std::string Take(std::uint64_t aCount);

  /// Number of the unit that the next Add may complete.
  std::uint64_t NextUnit() const { return mNextUnit; }
  bool IsStream() const { return mIsStream; }
  /// True once the stream's end mark was seen.
  bool HasEndMark() const { return mHasEndMark; }
  /// The message ended whole: what is left of a stream is its last unit.
  /// Returns how many units that completed.
  std::uint64_t EndWhole();

  /// Value of the "id" field of the last event that was taken; empty: none.
  const std::string& LastEvent() const { return mLastEvent; }
  std::size_t HeldBytes() const { return mHeldBytes; }

private:
  std::uint64_t AddEvents(std::string_view aBytes);

  bool mIsStream;
  bool mHasEndMark = false;
  std::uint64_t mNextUnit;
  std::size_t mHeldBytes = 0;
  std::string mTail; ///< of an event that is not complete; or the whole body
  std::string mLastEvent;
  std::deque<std::string> mEvents;
};

} // namespace bulrush::entry

#endif
