/// Preloaded into a program under test. Records what its syncs have made
/// durable, so that LosePower can take away the rest. Files become durable with
/// their own sync, with the name that they have then; renamed and removed names
/// and new folders with that of their folder.

#include "support/durable_disk.hpp"

#include <dlfcn.h>
#include <unistd.h>

#include <climits>
#include <cstdlib>

namespace {

namespace fs = std::filesystem;

fs::path
PathOf(int aFile)
{
  std::error_code error; // a descriptor without a path has no names to record
  return fs::read_symlink("/proc/self/fd/" + std::to_string(aFile), error);
}

void
Record(int aFile)
{
  const char* root = std::getenv(bulrush::test::kDurableDiskVariable);
  const fs::path path = PathOf(aFile);
  if (root != nullptr && fs::is_directory(path)) {
    bulrush::test::RecordFolder(root, path);
  } else if (root != nullptr && fs::is_regular_file(path)) {
    bulrush::test::RecordFile(root, path);
  }
}

} // namespace

extern "C" int
fsync(int aFile)
{
  using sync_function = int (*)(int);
  static const auto kNext =
    reinterpret_cast<sync_function>(::dlsym(RTLD_NEXT, "fsync"));
  const int result = kNext(aFile);
  if (result == 0) {
    Record(aFile);
  }
  return result;
}
