#include "observe/observe.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <memory>

namespace bulrush {
namespace {

constexpr log_component kSpanLog{ "span" };
constexpr mode_t kOwnerOnly = S_IRUSR | S_IWUSR;

// A file opened for appending; the destructor closes it.
class span_file
{
public:
  span_file(std::filesystem::path aFile, std::uint64_t aMaxBytes)
    : mFile(std::move(aFile))
    , mMaxBytes(aMaxBytes)
  {
  }
  span_file(const span_file&) = delete;
  span_file& operator=(const span_file&) = delete;
  ~span_file() { Close(); }

  bool Open()
  {
    mDescriptor = ::open(
      mFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kOwnerOnly);
    return mDescriptor >= 0;
  }

  // A span that cannot be written is dropped, because tracing must not fail a
  // request. Only the first such error is logged.
  void Append(std::string aLine)
  {
    aLine += '\n';
    if (IsFull()) {
      Rotate();
    }
    const ssize_t written = ::write(mDescriptor, aLine.data(), aLine.size());
    if (written != static_cast<ssize_t>(aLine.size()) && !mHasFailed) {
      mHasFailed = true;
      LogWarning(
        kSpanLog,
        "cannot append span to {}: {}; dropping spans that cannot be written",
        mFile.string(),
        std::strerror(errno));
    }
  }

private:
  // Uses the size on disk, because other threads append to the file as well.
  bool IsFull() const
  {
    struct stat status = {};
    return ::fstat(mDescriptor, &status) == 0 &&
           static_cast<std::uint64_t>(status.st_size) >= mMaxBytes;
  }

  // If another writer has already rotated the file, it is only reopened:
  // renaming again would overwrite the full ".1" file with the new one.
  void Rotate()
  {
    struct stat opened = {};
    struct stat current = {};
    const bool isCurrent = ::fstat(mDescriptor, &opened) == 0 &&
                           ::stat(mFile.c_str(), &current) == 0 &&
                           opened.st_ino == current.st_ino;
    if (isCurrent) {
      const std::filesystem::path rotated = mFile.string() + ".1";
      std::error_code ignored;
      std::filesystem::rename(mFile, rotated, ignored);
    }
    Close();
    Open();
  }

  void Close()
  {
    if (mDescriptor >= 0) {
      ::close(mDescriptor);
      mDescriptor = -1;
    }
  }

  std::filesystem::path mFile;
  std::uint64_t mMaxBytes;
  int mDescriptor = -1;
  bool mHasFailed = false;
};

} // namespace

std::optional<span_writer>
FileSpanWriter(const std::filesystem::path& aFile,
               span_source aSource,
               std::uint64_t aMaxBytes,
               last_reason& aReason)
{
  auto file = std::make_shared<span_file>(aFile, aMaxBytes);
  if (!file->Open()) {
    return Fail(
      aReason, "open span file", aFile.string(), std::strerror(errno));
  }
  return [file, source = std::move(aSource)](const span_row& aSpan) {
    file->Append(FormatSpan(aSpan, source));
  };
}

} // namespace bulrush
