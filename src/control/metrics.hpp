#ifndef BULRUSH_CONTROL_METRICS_HPP
#define BULRUSH_CONTROL_METRICS_HPP

/// Counters and gauges of a control process.

#include "control/tables.hpp"
#include "observe/observe.hpp"

namespace bulrush::control {

/// Counts outgoing messages, orders, queries and answers, and records the time
/// that the tick took.
void CountTick(metrics& aMetrics,
               const control_outbox& aOutbox,
               std::chrono::nanoseconds aDuration);

/// Prometheus text, with gauges set from the tables.
std::string MetricsPage(metrics& aMetrics,
                        const control_tables& aTables,
                        steady_time aNow);

} // namespace bulrush::control

#endif
