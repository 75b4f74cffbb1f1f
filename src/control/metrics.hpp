#ifndef BULRUSH_CONTROL_METRICS_HPP
#define BULRUSH_CONTROL_METRICS_HPP

/// Counters and gauges of a control process.

#include "control/tables.hpp"
#include "memory/memory.hpp"
#include "observe/observe.hpp"

namespace bulrush::control {

/// Work of a process since its last "load" line.
struct load_row
{
  steady_time since{};
  std::uint64_t ticks = 0;
  std::uint64_t messages = 0;   ///< received
  std::uint64_t dropped = 0;    ///< not sent: peer disconnected or queue full
  std::size_t largestInbox = 0; ///< messages that one tick found waiting
  std::chrono::nanoseconds busy{ 0 };
  std::chrono::nanoseconds longestTick{ 0 };
};

/// Adds one tick to aRow. Logs and clears it once a second.
void RecordLoad(load_row& aRow,
                std::size_t aInbox,
                std::chrono::nanoseconds aDuration,
                steady_time aNow);

/// Counts outgoing messages, orders, queries and answers, and records the time
/// that the tick took.
void CountTick(metrics& aMetrics,
               const control_outbox& aOutbox,
               std::chrono::nanoseconds aDuration);

/// Prometheus text, with gauges set from the tables and from aMemory.
std::string MetricsPage(metrics& aMetrics,
                        const control_tables& aTables,
                        const memory::usage& aMemory,
                        steady_time aNow);

} // namespace bulrush::control

#endif
