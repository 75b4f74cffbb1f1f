#ifndef BULRUSH_PLACEMENT_BENCH_HPP
#define BULRUSH_PLACEMENT_BENCH_HPP

/// Private header: a deterministic benchmark of the placement decisions.

#include <cstddef>
#include <cstdint>

namespace bulrush::placement {

struct bench_result
{
  std::uint64_t signature = 0; ///< hash of all decisions
  std::size_t rounds = 0;      ///< plans made
  std::size_t orders = 0;      ///< orders sent
};

/// Runs aRounds plans one second apart over a fleet in ten failure domains
/// whose engines execute each order at once, with changing demand.
bench_result BenchPlacementRounds(std::size_t aEngines,
                                  std::size_t aModels,
                                  std::size_t aRounds);

} // namespace bulrush::placement

#endif
