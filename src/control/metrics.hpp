#ifndef BULRUSH_CONTROL_METRICS_HPP
#define BULRUSH_CONTROL_METRICS_HPP

/// Counters and gauges of a control process.

#include "control/tables.hpp"
#include "observe/observe.hpp"

namespace bulrush::control {

/// Counts what leaves and how long the tick took.
void CountTick(metrics& aPage,
               const control_outbox& aOutbox,
               std::chrono::nanoseconds aTook);

/// Prometheus text, with what the tables say now.
std::string MetricsPage(metrics& aPage,
                        const control_tables& aTables,
                        steady_time aNow);

} // namespace bulrush::control

#endif
