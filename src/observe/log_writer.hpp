#ifndef BULRUSH_OBSERVE_LOG_WRITER_HPP
#define BULRUSH_OBSERVE_LOG_WRITER_HPP

/// Writes log lines from a thread of its own, so that no thread that logs waits
/// for the reader of the log. Not installed.

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
  /// Takes all lines that are due, with their line feeds.
  using write_hook = std::function<void(std::string_view aLines)>;
  /// The line that tells of lines that were dropped.
  using dropped_hook = std::function<std::string(std::uint64_t aLines)>;

  struct settings
  {
    /// Bytes that may wait; further lines are dropped and counted. A few
    /// seconds of a busy host's lines, and small beside its memory.
    std::size_t mostBytes = 1'048'576;
    /// Lines are written together at most so often: each write and each wake
    /// of the thread costs processor time.
    std::chrono::milliseconds writeEvery{ 100 };
  };

  log_writer(settings aSettings, write_hook aWrite, dropped_hook aDropped);
  /// Writes what is left.
  ~log_writer();
  log_writer(const log_writer&) = delete;
  log_writer& operator=(const log_writer&) = delete;

  /// Never waits for the writing. Safe from any thread.
  void Add(std::string_view aLine);

private:
  void Run();
  std::string TakeLines();

  settings mSettings;
  write_hook mWrite;
  dropped_hook mDropped;
  std::mutex mMutex;
  std::condition_variable mWake;
  std::string mLines;
  std::uint64_t mDroppedLines = 0;
  bool mIsEnding = false;
  std::thread mThread;
};

} // namespace bulrush

#endif
