#ifndef BULRUSH_ENTRY_TRAFFIC_HPP
#define BULRUSH_ENTRY_TRAFFIC_HPP

/// A traffic thread of bulrush-entry: serves callers over HTTP and calls
/// endpoints. It owns its request rows and reads the latest view that the
/// control thread published.

#include "entry/entry.hpp"
#include "entry/recorder.hpp"
#include "entry/request_starts.hpp"
#include "entry/requests.hpp"
#include "entry/tables.hpp"
#include "net/net.hpp"
#include "rates/rates.hpp"

#include <asio/io_context.hpp>

namespace bulrush::entry {

/// Messages of a traffic thread to the control thread. The hooks are called on
/// the traffic thread.
struct control_hooks
{
  std::function<void(endpoint_row)> onReport;
  std::function<void(fleet_command, steady_time aDeadline, command_hook)>
    onCommand;
  std::function<void(admission::renewal)> onRenewal; ///< to the delegate
  std::function<void(std::vector<wire::model_demand>)> onDemand; ///< to the
                                                                 ///< leader
  std::function<void(rates::quota_request)> onQuotaRequest; ///< to the leader
  start_hook onStarts; ///< for usage reports; not set: not counted
  evidence_hook onEvidence;
  load_hook onLoads; ///< seen in answers
};

struct traffic_settings
{
  net::http_server_settings http;
  std::string hostName;
  std::uint64_t incarnation = 0; ///< of this process
  std::string domain;
  recorder_settings recording;
  std::string endpointSecret; ///< empty: reports need no secret
  front_end front;
  /// Separate address for the load balancer's readiness check; not set: only
  /// the page /readyz.
  std::optional<net::http_server_settings> ready;
  std::optional<net::http_server_settings> metrics; ///< separate address
  /// Known keys are served even if the lease has lapsed.
  bool servesWithoutLease = false;
  key_rule keys;
  /// See ServicesByTarget.
  double targetSpread = 0;
  retry_budget retries;
  std::chrono::milliseconds outflowCost{ 0 }; ///< see routing::options
  rates::rate_tolerance tolerance;
  std::shared_ptr<memory::account> account; ///< of the process
};

class traffic_thread
{
public:
  traffic_thread(asio::io_context& aContext,
                 traffic_settings aSettings,
                 control_hooks aHooks);
  ~traffic_thread();
  traffic_thread(const traffic_thread&) = delete;
  traffic_thread& operator=(const traffic_thread&) = delete;

  bool Start(last_reason& aReason);
  std::uint16_t Port() const;

  /// To be called on the thread of the io_context only.
  void SetView(traffic_view aView);
  void HandleShareGrant(admission::grant aGrant);
  void HandleQuotaGrant(rates::quota_grant aGrant);
  void HandleEvidence(const quarantine::evidence& aEvidence);
  void HandleLoads(const std::vector<room::load_row>& aLoads);
  std::size_t OpenRequests() const;
  /// The stop signal came: open requests end as planned, and a new one starts
  /// only if it can end in time.
  void BeginStop(const stop_plan& aPlan);
  /// Refuses new requests as not run, finishes the open ones, then calls
  /// aOnStopped once.
  void StopWhenIdle(std::function<void()> aOnStopped);

private:
  class implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace bulrush::entry

#endif
