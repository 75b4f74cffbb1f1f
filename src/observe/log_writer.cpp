#include "observe/log_writer.hpp"

#include <utility>

namespace bulrush {

log_writer::log_writer(settings aSettings,
                       write_hook aWrite,
                       dropped_hook aDropped)
  : mSettings(aSettings)
  , mWrite(std::move(aWrite))
  , mDropped(std::move(aDropped))
  , mThread([this] { Run(); })
{
}

log_writer::~log_writer()
{
  {
    const std::lock_guard lock(mMutex);
    mIsEnding = true;
  }
  mWake.notify_one();
  mThread.join();
}

// The thread sleeps until the first line of a batch; further ones need not wake
// it.
void
log_writer::Add(std::string_view aLine)
{
  bool isFirst = false;
  {
    const std::lock_guard lock(mMutex);
    isFirst = mLines.empty();
    if (mLines.size() + aLine.size() >= mSettings.mostBytes) {
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
    lines += mDropped(dropped);
    lines += '\n';
  }
  return lines;
}

void
log_writer::Run()
{
  bool isEnding = false;
  while (!isEnding) {
    {
      std::unique_lock lock(mMutex);
      mWake.wait(lock, [this] { return mIsEnding || !mLines.empty(); });
      mWake.wait_for(lock, mSettings.writeEvery, [this] { return mIsEnding; });
      isEnding = mIsEnding;
    }
    const std::string lines = TakeLines();
    if (!lines.empty()) {
      mWrite(lines);
    }
  }
}

} // namespace bulrush
