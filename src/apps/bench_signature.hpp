#ifndef BULRUSH_APPS_BENCH_SIGNATURE_HPP
#define BULRUSH_APPS_BENCH_SIGNATURE_HPP

/// The decision signature of the benchmark programs.

#include <cstdint>

namespace bulrush {

/// Adds a decision to a benchmark's signature. The result depends on the order
/// of decisions.
inline void
Mix(std::uint64_t& aSignature, std::uint64_t aValue)
{
  constexpr std::uint64_t kPrime = 0x100000001B3ULL;
  constexpr unsigned kShift = 29;
  aSignature = (aSignature ^ aValue) * kPrime;
  aSignature ^= aSignature >> kShift;
}

} // namespace bulrush

#endif
