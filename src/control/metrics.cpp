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
constexpr metric_definition kQuestions{ "bulrush_control_questions_total",
                                        metric_kind::eCounter,
                                        "Questions for the state of engines" };
constexpr metric_definition kAnswers{ "bulrush_control_http_answers_total",
                                      metric_kind::eCounter,
                                      "Calls over HTTP answered" };
constexpr metric_definition kTickTime{ "bulrush_control_tick_seconds",
                                       metric_kind::eDuration,
                                       "Time that a tick takes" };

} // namespace

void
CountTick(metrics& aPage,
          const control_outbox& aOutbox,
          std::chrono::nanoseconds aTook)
{
  const auto add = [&](const metric_definition& aWhat, std::size_t aCount) {
    if (aCount > 0) {
      aPage.Add(aWhat, {}, static_cast<double>(aCount));
    }
  };
  add(kMessages, aOutbox.messages.size());
  add(kOrders, aOutbox.engineOrders.size() + aOutbox.orders.size());
  add(kQuestions, aOutbox.questions.size());
  add(kAnswers, aOutbox.httpAnswers.size());
  aPage.Observe(kTickTime, aTook);
}

std::string
MetricsPage(metrics& aPage, const control_tables& aTables, steady_time aNow)
{
  aPage.Set(kLeads, aTables.log.isLeader(aNow) ? 1 : 0);
  aPage.Set(kTerm, static_cast<double>(aTables.log.term()));
  aPage.Set(kRevision, static_cast<double>(aTables.fleet.revision));
  aPage.Set(kEndpoints, static_cast<double>(aTables.endpoints.Size()));
  aPage.Set(kHosts, static_cast<double>(aTables.hosts.Size()));
  return PrometheusText(std::span(&aPage, 1));
}

} // namespace bulrush::control
