#ifndef BULRUSH_APPS_BENCH_SIGNATURE_HPP
#define BULRUSH_APPS_BENCH_SIGNATURE_HPP

/// The signature that the benchmark programs share.

#include <cstdint>

namespace bulrush {

/// Mixes a decision into a benchmark's signature. Order matters: the same
/// decisions in another order are another signature.
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
