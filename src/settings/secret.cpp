#include "settings/settings.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace bulrush {
namespace {

constexpr std::size_t kMaxSecretBytes = 4096;
constexpr mode_t kOwnerOnly = S_IRUSR | S_IWUSR;

// Closes a file descriptor at the end of the scope.
class descriptor
{
public:
  explicit descriptor(int aValue)
    : mValue(aValue)
  {
  }
  descriptor(const descriptor&) = delete;
  descriptor& operator=(const descriptor&) = delete;
  ~descriptor()
  {
    if (mValue >= 0) {
      ::close(mValue);
    }
  }
  int Get() const { return mValue; }

private:
  int mValue;
};

// Checks the open file, not its path: another file may appear at the path
// between the check and the read.
bool
IsPrivate(int aDescriptor, std::string& aFault)
{
  struct stat status = {};
  if (::fstat(aDescriptor, &status) != 0) {
    aFault = std::strerror(errno);
    return false;
  }
  if (!S_ISREG(status.st_mode)) {
    aFault = "it is not a regular file";
    return false;
  }
  if (status.st_uid != ::geteuid()) {
    aFault = "it is owned by another user";
    return false;
  }
  if ((status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
    aFault = "group or others can access it; run chmod 600 on it";
    return false;
  }
  return true;
}

} // namespace

std::optional<secret_text>
ReadSecret(const std::filesystem::path& aFile, last_reason& aReason)
{
  const auto fail = [&](std::string aText) {
    return Fail(aReason, "read secret", aFile.string(), std::move(aText));
  };
  // Without O_NONBLOCK, opening a named pipe would block until it has a writer.
  const descriptor file(
    ::open(aFile.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
  if (file.Get() < 0) {
    return fail(std::strerror(errno));
  }
  std::string fault;
  if (!IsPrivate(file.Get(), fault)) {
    return fail(fault);
  }
  std::string bytes(kMaxSecretBytes + 1, '\0');
  const ssize_t count = ::read(file.Get(), bytes.data(), bytes.size());
  if (count < 0) {
    return fail(std::strerror(errno));
  }
  if (static_cast<std::size_t>(count) > kMaxSecretBytes) {
    return fail("it is longer than 4 KiB");
  }
  bytes.resize(static_cast<std::size_t>(count));
  bytes.resize(std::min(bytes.size(), bytes.find_first_of("\r\n")));
  if (bytes.empty()) {
    return fail("its first line is empty");
  }
  return secret_text(std::move(bytes));
}

std::optional<secret_text>
ReadSecretOption(const option_values& aOptions,
                 std::string_view aOption,
                 last_reason& aReason)
{
  if (!aOptions.IsSet(aOption)) {
    return secret_text();
  }
  return ReadSecret(aOptions.Path(aOption), aReason);
}

bool
WriteSecret(const std::filesystem::path& aFile,
            const secret_text& aSecret,
            last_reason& aReason)
{
  const auto fail = [&] {
    Fail(aReason, "write secret", aFile.string(), std::strerror(errno));
    return false;
  };
  const descriptor file(
    ::open(aFile.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, kOwnerOnly));
  if (file.Get() < 0) {
    return fail();
  }
  const std::string line = aSecret.Reveal() + "\n";
  if (::write(file.Get(), line.data(), line.size()) !=
      static_cast<ssize_t>(line.size())) {
    return fail();
  }
  return ::fsync(file.Get()) == 0 || fail();
}

// Always compares every byte of aRight, and a difference in length is part of
// the result, so the running time does not reveal where the first difference
// is.
bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight)
{
  volatile unsigned char difference = aLeft.size() == aRight.size() ? 0 : 1;
  for (std::size_t i = 0; i < aRight.size(); ++i) {
    const char left = aLeft.empty() ? '\0' : aLeft[i % aLeft.size()];
    difference = static_cast<unsigned char>(
      difference | static_cast<unsigned char>(left ^ aRight[i]));
  }
  return difference == 0;
}

} // namespace bulrush
