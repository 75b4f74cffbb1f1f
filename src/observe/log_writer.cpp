#include "observe/log_writer.hpp"

#include <utility>

namespace bulrush {

log_writer::log_writer(settings aSettings,
                       write_hook aWrite,
                       dropped_hook aDropped)
  : mSettings(aSettings)
  , mWrite(std::move(aWrite))
  , mFormatDropped(std::move(aDropped))
  , mThread([this] { Run(); })
{
}

log_writer::~log_writer()
{
  {
    const std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mWake.notify_one();
  mThread.join();
}

// Only the first line of a batch wakes the writer thread; it collects further
// lines for writeInterval before it writes.
void
log_writer::Add(std::string_view aLine)
{
  bool isFirst = false;
  {
    const std::lock_guard lock(mMutex);
    isFirst = mLines.empty();
    if (mLines.size() + aLine.size() >= mSettings.maxPendingBytes) {
      ++mDroppedLines;
      return;
    }
    mLines += aLine;
    mLines += '\n';
  }
  if (isFirst) {
    mWake.notify_one();
  }
}

std::string
log_writer::TakeLines()
{
  const std::lock_guard lock(mMutex);
  std::string lines = std::exchange(mLines, {});
  if (const auto dropped = std::exchange(mDroppedLines, 0); dropped > 0) {
    lines += mFormatDropped(dropped);
    lines += '\n';
  }
  return lines;
}

void
log_writer::Run()
{
  bool isStopping = false;
  while (!isStopping) {
    {
      std::unique_lock lock(mMutex);
      mWake.wait(lock, [this] { return mIsStopping || !mLines.empty(); });
      mWake.wait_for(
        lock, mSettings.writeInterval, [this] { return mIsStopping; });
      isStopping = mIsStopping;
    }
    const std::string lines = TakeLines();
    if (!lines.empty()) {
      mWrite(lines);
    }
  }
}

} // namespace bulrush
