#include "control/metrics.hpp"

#include "program/program.hpp"

namespace bulrush::control {
namespace {

constexpr metric_definition kLeads{ "bulrush_control_leads",
                                    metric_kind::eGauge,
                                    "1 while this process leads the log" };
constexpr metric_definition kTerm{ "bulrush_control_term",
                                   metric_kind::eGauge,
                                   "Term of the log" };
constexpr metric_definition kRevision{ "bulrush_control_revision",
                                       metric_kind::eGauge,
                                       "Configuration applied here" };
constexpr metric_definition kEndpoints{ "bulrush_control_endpoints",
                                        metric_kind::eGauge,
                                        "Endpoints known here" };
constexpr metric_definition kHosts{ "bulrush_control_hosts",
                                    metric_kind::eGauge,
                                    "Hosts that report here" };
constexpr metric_definition kLoads{ "bulrush_control_endpoint_loads",
                                    metric_kind::eGauge,
                                    "Endpoints whose load is known here" };
constexpr metric_definition kLoadMessages{
  "bulrush_control_endpoint_loads_since_start",
  metric_kind::eGauge,
  "Loads of endpoints: received, merged of those, sent"
};
constexpr metric_definition kMessages{ "bulrush_control_messages_total",
                                       metric_kind::eCounter,
                                       "Messages to hosts and controls" };
constexpr metric_definition kOrders{ "bulrush_control_orders_total",
                                     metric_kind::eCounter,
                                     "Orders sent to engines" };
constexpr metric_definition kStateQueries{
  "bulrush_control_questions_total",
  metric_kind::eCounter,
  "Questions for the state of engines"
};
constexpr metric_definition kAnswers{ "bulrush_control_http_answers_total",
                                      metric_kind::eCounter,
                                      "Calls over HTTP answered" };
constexpr metric_definition kUsageSent{ "bulrush_control_usage_sent_total",
                                        metric_kind::eCounter,
                                        "Calls with a usage report" };
constexpr metric_definition kUsageAcknowledged{
  "bulrush_control_usage_acknowledged_total",
  metric_kind::eCounter,
  "Usage reports that the platform accepted"
};
constexpr metric_definition kUsageRefused{
  "bulrush_control_usage_refused_total",
  metric_kind::eCounter,
  "Calls with a usage report that the platform refused"
};
constexpr metric_definition kUsageUnanswered{
  "bulrush_control_usage_unanswered_total",
  metric_kind::eCounter,
  "Calls with a usage report that got no answer"
};
constexpr metric_definition kUsageWaiting{ "bulrush_control_usage_waiting",
                                           metric_kind::eGauge,
                                           "Finalized windows in the log that "
                                           "are not acknowledged" };
constexpr metric_definition kTickTime{ "bulrush_control_tick_seconds",
                                       metric_kind::eDuration,
                                       "Time that a tick takes" };

constexpr log_component kLog{ "control" };

constexpr std::chrono::seconds kLoadInterval{ 1 };

std::string
Milliseconds(std::chrono::nanoseconds aTime)
{
  const std::chrono::duration<double, std::milli> time = aTime;
  return fmt::format("{:.1f}", time.count());
}

void
SetLoadMetrics(metrics& aMetrics, const load_sharing& aLoads)
{
  const auto set = [&](const char* aOutcome, std::uint64_t aCount) {
    aMetrics.Set(
      kLoadMessages, static_cast<double>(aCount), { { "outcome", aOutcome } });
  };
  set("received", aLoads.received);
  set("merged", aLoads.merged);
  set("sent", aLoads.sent);
  aMetrics.Set(kLoads, static_cast<double>(aLoads.known.loads.Size()));
}

} // namespace

// Busy time near the interval, or a large inbox, means that answers to hosts
// are late because of this process.
void
RecordLoad(load_row& aRow,
           std::size_t aInbox,
           std::chrono::nanoseconds aDuration,
           steady_time aNow)
{
  if (aRow.ticks == 0) {
    aRow.since = std::max(aRow.since, aNow - aDuration);
  }
  ++aRow.ticks;
  aRow.messages += aInbox;
  aRow.largestInbox = std::max(aRow.largestInbox, aInbox);
  aRow.busy += aDuration;
  aRow.longestTick = std::max(aRow.longestTick, aDuration);
  if (aNow < aRow.since + kLoadInterval) {
    return;
  }
  LogEvent(kLog,
           log_level::eInfo,
           "load",
           { { "over_ms", Milliseconds(aNow - aRow.since) },
             { "ticks", std::to_string(aRow.ticks) },
             { "busy_ms", Milliseconds(aRow.busy) },
             { "longest_tick_ms", Milliseconds(aRow.longestTick) },
             { "messages", std::to_string(aRow.messages) },
             { "largest_inbox", std::to_string(aRow.largestInbox) },
             { "dropped", std::to_string(aRow.dropped) } });
  aRow = {};
  aRow.since = aNow;
}

void
CountTick(metrics& aMetrics,
          const control_outbox& aOutbox,
          std::chrono::nanoseconds aDuration)
{
  const auto add = [&](const metric_definition& aMetric, std::size_t aCount) {
    if (aCount > 0) {
      aMetrics.Add(aMetric, {}, static_cast<double>(aCount));
    }
  };
  add(kMessages, aOutbox.messages.size());
  add(kOrders, aOutbox.engineOrders.size() + aOutbox.orders.size());
  add(kStateQueries, aOutbox.stateQueries.size());
  add(kAnswers, aOutbox.httpAnswers.size());
  add(kUsageSent, aOutbox.usage.send ? 1 : 0);
  add(kUsageAcknowledged, aOutbox.usage.acknowledged);
  add(kUsageRefused, aOutbox.usage.refused);
  add(kUsageUnanswered, aOutbox.usage.unanswered);
  aMetrics.Observe(kTickTime, aDuration);
}

std::string
MetricsPage(metrics& aMetrics,
            const control_tables& aTables,
            const memory::usage& aMemory,
            steady_time aNow)
{
  SetMemoryMetrics(aMetrics, aMemory);
  SetLoadMetrics(aMetrics, aTables.loads);
  aMetrics.Set(kLeads, aTables.log.isLeader(aNow) ? 1 : 0);
  aMetrics.Set(kTerm, static_cast<double>(aTables.log.term()));
  aMetrics.Set(kRevision, static_cast<double>(aTables.fleet.revision));
  aMetrics.Set(kEndpoints, static_cast<double>(aTables.endpoints.Size()));
  aMetrics.Set(kHosts, static_cast<double>(aTables.hosts.Size()));
  aMetrics.Set(kUsageWaiting,
               static_cast<double>(aTables.usage.ledger.log.waiting.Size()));
  return PrometheusText(std::span(&aMetrics, 1));
}

} // namespace bulrush::control
