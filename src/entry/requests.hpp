#ifndef BULRUSH_ENTRY_REQUESTS_HPP
#define BULRUSH_ENTRY_REQUESTS_HPP

/// Executes the decisions of the routing library for one traffic thread: calls
/// to endpoints, answers to callers, claims in the replicated state.

#include "entry/demand.hpp"
#include "entry/entry.hpp"
#include "entry/key_rule.hpp"
#include "entry/load_reports.hpp"
#include "entry/recorder.hpp"
#include "entry/request_starts.hpp"
#include "entry/stop.hpp"
#include "entry/tables.hpp"
#include "net/net.hpp"
#include "routing/routing.hpp"

#include <asio/io_context.hpp>

namespace bulrush::entry {

/// An admitted request, with what is sent to the endpoint.
struct routed_request
{
  routing::request_facts facts;
  net::http_call call; ///< without address, attempt and connection
  std::string path;
  std::string target;   ///< path and query, as the caller sent them
  std::string callerId; ///< request id of the caller, else of this host
  steady_time arrivedAt;
  std::string workspaceName;
  std::string resumeAfter; ///< id of the last event that the caller received
  std::shared_ptr<net::http_reply> reply;
  std::shared_ptr<memory::holder> held; ///< what it holds of the account
  /// Called once at the end with the tokens used, if known.
  std::function<void(std::optional<std::int64_t> aUsedTokens)> onEnded;
};

/// Retry budget of all hosts together for each service: a share of its requests
/// plus a burst.
struct retry_budget
{
  double share = 0; ///< retries per request; 0: the default of routing
  double burst = 0; ///< retries
};

struct request_runner_settings
{
  std::string domain;
  std::uint64_t seed = 1; ///< of attempt ids and claim tokens; new each start
  const front_end* front = nullptr; ///< outlives the runner
  retry_budget retries;
  routing::cold_gate coldGate;
  host_id host;
  std::shared_ptr<memory::account> account; ///< not set: unbounded
  key_rule keys;
  std::chrono::milliseconds outflowCost{ 0 }; ///< see routing::options
  /// An attempt is sent within the local domain, or out of it; called if
  /// outflowCost is not 0.
  std::function<void(bool aIsOut)> onSent;
};

/// Has the control thread commit a command; the reply is handled on this
/// thread.
using commit_hook =
  std::function<void(fleet_command, steady_time aDeadline, command_hook)>;

/// What this thread observed about parts of prompts, for other hosts.
using evidence_hook = std::function<void(quarantine::evidence)>;

class request_runner
{
public:
  request_runner(asio::io_context& aContext,
                 const request_runner_settings& aSettings,
                 std::unique_ptr<net::http_client> aClient,
                 commit_hook aOnCommand,
                 demand_hook aOnDemand,
                 evidence_hook aOnEvidence,
                 load_hook aOnLoads,
                 start_hook aOnStarts,
                 std::function<void(part_id)> aOnRefusedPart);
  ~request_runner();
  request_runner(const request_runner&) = delete;
  request_runner& operator=(const request_runner&) = delete;

  /// Applies endpoints, failure domains and withdrawn keys of the view.
  void SetView(const traffic_view& aView);
  void Start(routed_request aRequest);
  /// Adds what other hosts observed about parts of prompts.
  void HandleEvidence(const quarantine::evidence& aEvidence);
  quarantine_counts Quarantine() const;
  /// Adds loads of endpoints that other hosts observed.
  void HandleLoads(const std::vector<room::load_row>& aLoads);
  load_counts Loads() const;
  /// Runs a tick soon, since a condition that requests wait for has changed.
  void RunSoon();
  /// Number of unanswered requests and of claimed ones that still run.
  std::size_t OpenRequests() const;
  /// Applies the times by which requests start and end.
  void SetStop(const stop_plan& aPlan);
  /// Calls aOnIdle once, as soon as no request is open.
  void WhenIdle(std::function<void()> aOnIdle);

private:
  class implementation;
  std::unique_ptr<implementation> mImplementation;
};

/// The model id that stands for a service in routing.
model_id ServiceId(const std::string& aService);

/// The number that stands for a version in routing; never zero.
std::uint64_t VersionOf(const std::string& aVersion);

/// An id in hexadecimal, as in header fields and error bodies.
std::string FormatId(std::uint64_t aValue);

} // namespace bulrush::entry

#endif
