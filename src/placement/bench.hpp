#ifndef BULRUSH_PLACEMENT_BENCH_HPP
#define BULRUSH_PLACEMENT_BENCH_HPP

/// Deterministic work for the decision benchmark. Not a public header.

#include <cstddef>
#include <cstdint>

namespace bulrush::placement {

/// What a benchmark run decided.
struct bench_result
{
  std::uint64_t signature = 0; ///< the same for the same decisions
  std::size_t rounds = 0;      ///< plans made
  std::size_t orders = 0;      ///< orders sent
};

/// Runs aRounds plans one second apart over a fleet whose engines do each order
/// at once, in ten failure domains, with demand that moves.
bench_result BenchPlacementRounds(std::size_t aEngines,
                                  std::size_t aModels,
                                  std::size_t aRounds);

} // namespace bulrush::placement

#endif
