#ifndef BULRUSH_OBSERVE_LOG_WRITER_HPP
#define BULRUSH_OBSERVE_LOG_WRITER_HPP

/// Writes log lines from a background thread, so that logging never blocks on a
/// slow reader of the log. Not installed.

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace bulrush {

class log_writer
{
public:
  /// Writes all pending lines, each ending in a line feed.
  using write_hook = std::function<void(std::string_view aLines)>;
  /// Formats the line that reports how many lines were dropped.
  using dropped_hook = std::function<std::string(std::uint64_t aLines)>;

  struct settings
  {
    /// Size limit of pending lines; further ones are dropped and counted.
    /// Holds a few seconds of a busy host's log and is small relative to the
    /// host's memory.
    std::size_t maxPendingBytes = 1'048'576;
    /// Shortest interval between writes. Lines are batched, because each write
    /// and each wake-up of the thread costs processor time.
    std::chrono::milliseconds writeInterval{ 100 };
  };

  log_writer(settings aSettings, write_hook aWrite, dropped_hook aDropped);
  /// Writes pending lines and joins the thread.
  ~log_writer();
  log_writer(const log_writer&) = delete;
  log_writer& operator=(const log_writer&) = delete;

  /// Queues a line without waiting for it to be written. Thread-safe.
  void Add(std::string_view aLine);

private:
  void Run();
  std::string TakeLines();

  settings mSettings;
  write_hook mWrite;
  dropped_hook mFormatDropped;
  std::mutex mMutex;
  std::condition_variable mWake;
  std::string mLines;
  std::uint64_t mDroppedLines = 0;
  bool mIsStopping = false;
  std::thread mThread;
};

} // namespace bulrush

#endif
