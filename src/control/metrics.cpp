#include "control/metrics.hpp"

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
constexpr metric_definition kTickTime{ "bulrush_control_tick_seconds",
                                       metric_kind::eDuration,
                                       "Time that a tick takes" };

} // namespace

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
  aMetrics.Observe(kTickTime, aDuration);
}

std::string
MetricsPage(metrics& aMetrics, const control_tables& aTables, steady_time aNow)
{
  aMetrics.Set(kLeads, aTables.log.isLeader(aNow) ? 1 : 0);
  aMetrics.Set(kTerm, static_cast<double>(aTables.log.term()));
  aMetrics.Set(kRevision, static_cast<double>(aTables.fleet.revision));
  aMetrics.Set(kEndpoints, static_cast<double>(aTables.endpoints.Size()));
  aMetrics.Set(kHosts, static_cast<double>(aTables.hosts.Size()));
  return PrometheusText(std::span(&aMetrics, 1));
}

} // namespace bulrush::control
