#ifndef BULRUSH_APPS_LOAD_PROCESS_HPP
#define BULRUSH_APPS_LOAD_PROCESS_HPP

/// Runs a load experiment: sends a plan's requests at their planned times to
/// the ready entry hosts, as the platform's load balancer does, and collects
/// results.

#include "load/load.hpp"
#include "net/net.hpp"

#include <map>

namespace bulrush::load {

/// An entry host with the result of its last readiness probe.
struct entry_row
{
  host_id id;
  std::string address;
  bool isReady = false;
  std::uint64_t sent = 0;
};

/// A request that is in flight.
struct in_flight_row
{
  request_id id;
  planned_request planned;
  host_id entry; ///< none if sent directly to an endpoint
  net::http_client::call_number call = 0;
  bool isDirect = false; ///< sent directly to an endpoint
  answer_reader reader{ {} };
  steady_time sentAt{};
  steady_time firstTokenAt{};
  std::uint32_t tries = 0;
};

/// Totals over the /stats of endpoints, since their start.
struct endpoint_totals
{
  std::uint64_t endpoints = 0;     ///< that answered
  std::uint64_t orders = 0;        ///< load and unload orders
  std::uint64_t keysSeen = 0;      ///< requests with a caller's key
  std::uint64_t overcommitted = 0; ///< endpoints whose memory was exceeded
  std::map<std::string, std::uint64_t> runsByTag;
};

struct load_settings
{
  std::string runName;                ///< unique for each run
  std::vector<std::string> entries;   ///< IP:port
  std::vector<std::string> endpoints; ///< with GET /stats
  std::vector<std::string> direct;    ///< endpoints to send to directly
  double directShare = 0;
  bool countsTokens = false; ///< answers consist of "t0 ", "t1 ", ...
  std::chrono::milliseconds drain{ 0 }; ///< wait limit after the last request
  std::map<workspace_id, std::string> keys;
};

struct load_report
{
  table<request_id, result_row> results;
  std::uint64_t orders = 0;          ///< during the experiment
  std::uint64_t duplicatedCalls = 0; ///< to non-idempotent routes, run twice
  std::uint64_t keysSeen = 0;
  std::uint64_t overcommitted = 0;
  std::uint64_t resent = 0;   ///< to another host; no byte had been sent
  std::uint64_t repeated = 0; ///< with the same idempotency key
  bool isInterrupted = false; ///< stopped by a signal
};

class load_process
{
public:
  using done_hook = std::function<void(const load_report&)>;

  load_process(asio::io_context& aContext,
               const load_plan& aPlan,
               load_settings aSettings,
               done_hook aOnDone);
  ~load_process();
  load_process(const load_process&) = delete;
  load_process& operator=(const load_process&) = delete;

  void Start();

  /// Stops sending and waits for requests in flight.
  void Stop();

private:
  class implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace bulrush::load

#endif
