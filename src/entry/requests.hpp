#ifndef BULRUSH_ENTRY_REQUESTS_HPP
#define BULRUSH_ENTRY_REQUESTS_HPP

/// Carries out what the routing library decides for one traffic thread: calls
/// to endpoints, answers to callers, claims in the fleet's log.

#include "entry/demand.hpp"
#include "entry/entry.hpp"
#include "entry/tables.hpp"
#include "net/net.hpp"
#include "routing/routing.hpp"

#include <asio/io_context.hpp>

namespace bulrush::entry {

/// A request that was let in, with what an endpoint is to be sent.
struct routed_request
{
  routing::request_facts facts;
  net::http_call call; ///< without address, attempt and connection
  std::string path;
  std::string target;   ///< path and query, as the caller sent them
  std::string callerId; ///< the caller's own name for it, or this host's
  steady_time arrivedAt;
  std::string workspaceName;
  std::string resumeAfter; ///< id of the last event that the caller has
  std::shared_ptr<net::http_reply> reply;
  /// Called once at the end with the tokens used, if the answer says so.
  std::function<void(std::optional<std::int64_t> aUsedTokens)> onEnded;
};

/// Retries of all hosts together, for each service: a share of its requests and
/// a fixed number besides.
struct retry_allowance
{
  double share = 0; ///< 0: as routing has it by itself
  double burst = 0;
};

struct request_runner_settings
{
  std::string domain;
  std::uint64_t seed = 1; ///< of attempt ids and claim tokens: new each start
  const front_end* front = nullptr; ///< outlives the runner
  retry_allowance retries;
  routing::cold_gate coldGate;
};

/// Asks the control thread to have a command committed; answers on this thread.
using commit_hook =
  std::function<void(fleet_command, steady_time aDeadline, command_hook)>;

class request_runner
{
public:
  request_runner(asio::io_context& aContext,
                 const request_runner_settings& aSettings,
                 std::unique_ptr<net::http_client> aClient,
                 commit_hook aOnCommand,
                 demand_hook aOnDemand);
  ~request_runner();
  request_runner(const request_runner&) = delete;
  request_runner& operator=(const request_runner&) = delete;

  /// Takes over endpoints, domains and withdrawn keys.
  void SetView(const traffic_view& aView);
  void Start(routed_request aRequest);
  /// Something that a request may wait for has changed.
  void RunSoon();
  /// Requests whose callers wait, and claimed ones whose outcome is awaited.
  std::size_t Open() const;
  /// Requests that wait for an endpoint at aBy are refused as not run.
  void PlaceBy(steady_time aBy);
  /// Calls aOnIdle once, as soon as no request is open.
  void WhenIdle(std::function<void()> aOnIdle);

private:
  class implementation;
  std::unique_ptr<implementation> mImplementation;
};

/// The model id under which a plain service is routed to.
model_id ServiceId(const std::string& aService);

/// The number under which a version is routed to; never zero.
std::uint64_t VersionOf(const std::string& aVersion);

/// The text of an id in header fields and error bodies.
std::string FormatId(std::uint64_t aValue);

} // namespace bulrush::entry

#endif
