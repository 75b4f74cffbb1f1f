/// The memory bounds of a program: its allocator, its account and their
/// metrics.

#include "program/program.hpp"

#include <malloc.h>

namespace bulrush {

namespace {

constexpr std::size_t kBytesInMegabyte = 1'048'576;
/// A larger block is mapped by itself and unmapped when it is freed. Blocks of
/// the heap that lie between small ones never return to the system, and a
/// process that is given little memory would stay near its limit after a peak.
constexpr int kMappedBlockBytes = 32'768;
constexpr int kKeptFreeBytes = 65'536;

constexpr metric_definition kBudget{
  "bulrush_held_budget_bytes",
  metric_kind::eGauge,
  "Bytes that requests and answers may hold in this process"
};
constexpr metric_definition kHeld{ "bulrush_held_bytes",
                                   metric_kind::eGauge,
                                   "Bytes that requests and answers hold" };
constexpr metric_definition kPeak{
  "bulrush_held_peak_bytes",
  metric_kind::eGauge,
  "Most bytes that requests and answers held at once"
};
constexpr metric_definition kPaused{
  "bulrush_held_paused",
  metric_kind::eGauge,
  "Requests and answers that are not read on for want of memory"
};
constexpr metric_definition kEnded{
  "bulrush_held_ended_total",
  metric_kind::eCounter,
  "Requests and answers ended for want of memory"
};
constexpr metric_definition kRefused{ "bulrush_held_refused_total",
                                      metric_kind::eCounter,
                                      "Requests refused for want of memory" };

} // namespace

// One arena: each further one keeps free blocks of its own.
void
ReturnFreedMemory()
{
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kKeptFreeBytes);
}

void
ReturnFreedBlocks()
{
  malloc_trim(kKeptFreeBytes);
}

std::shared_ptr<memory::account>
MakeAccount(const option_values& aOptions)
{
  const auto megabytes =
    static_cast<std::size_t>(aOptions.Integer("memory-limit"));
  return std::make_shared<memory::account>(
    memory::LimitsFor(megabytes * kBytesInMegabyte));
}

void
SetMemoryMetrics(metrics& aMetrics, const memory::usage& aUsage)
{
  const auto set = [&](const metric_definition& aMetric,
                       std::uint64_t aValue,
                       const metric_labels& aLabels = {}) {
    aMetrics.Set(aMetric, static_cast<double>(aValue), aLabels);
  };
  set(kBudget, aUsage.budget);
  set(kPeak, aUsage.peak);
  set(kPaused, aUsage.paused);
  set(kRefused, aUsage.refused);
  for (std::size_t i = 0; i < memory::kHolderKinds; ++i) {
    const auto kind = static_cast<memory::holder_kind>(i);
    const metric_labels labels{ { "kind", memory::KindName(kind) } };
    set(kHeld, aUsage.bytes[i], labels);
    set(kEnded, aUsage.ended[i], labels);
  }
}

} // namespace bulrush
