#include "core/core.hpp"

#include <xxhash.h>

namespace bulrush {

std::string
Describe(const last_reason& aReason)
{
  std::string line = aReason.step;
  if (!aReason.peer.empty()) {
    line += " (" + aReason.peer + ")";
  }
  return line + ": " + aReason.text;
}

std::nullopt_t
Fail(last_reason& aReason,
     std::string aStep,
     std::string aPeer,
     std::string aText)
{
  aReason.step = std::move(aStep);
  aReason.peer = std::move(aPeer);
  aReason.text = std::move(aText);
  return std::nullopt;
}

// XXH64 is specified, so ids do not depend on the compiler or the library;
// std::hash gives no such guarantee.
std::uint64_t
StableHash(std::string_view aText)
{
  return XXH64(aText.data(), aText.size(), 0);
}

} // namespace bulrush
