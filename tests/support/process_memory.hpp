#ifndef BULRUSH_TESTS_SUPPORT_PROCESS_MEMORY_HPP
#define BULRUSH_TESTS_SUPPORT_PROCESS_MEMORY_HPP

#include <cstddef>
#include <fstream>
#include <stdexcept>
#include <string>

namespace bulrush::test {

inline constexpr std::size_t kMegabyte = 1U << 20U;

/// Resident memory of one process: "VmRSS" now, "VmHWM" at its peak.
inline std::size_t
MemoryBytes(int aPid, const std::string& aName)
{
  std::ifstream status("/proc/" + std::to_string(aPid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(aName + ":")) {
      return std::stoul(line.substr(line.find(':') + 1)) * 1024;
    }
  }
  throw std::runtime_error("no " + aName + " of process " +
                           std::to_string(aPid));
}

/// From now on "VmHWM" is the peak since this call.
inline void
ResetPeak(int aPid)
{
  std::ofstream("/proc/" + std::to_string(aPid) + "/clear_refs") << "5";
}

} // namespace bulrush::test

#endif
