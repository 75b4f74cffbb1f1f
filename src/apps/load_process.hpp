#ifndef BULRUSH_APPS_LOAD_PROCESS_HPP
#define BULRUSH_APPS_LOAD_PROCESS_HPP

/// The running side of bulrush-load: sends a plan's requests at their times to
/// the ready entry hosts, as the platform's balancer would, and keeps results.

#include "load/load.hpp"
#include "net/net.hpp"

#include <map>

namespace bulrush::load {

/// An entry host and whether it last said that it is ready.
struct entry_row
{
  host_id id;
  std::string address;
  bool isReady = false;
  std::uint64_t sent = 0;
};

/// A request under way.
struct flight_row
{
  request_id id;
  planned_request planned;
  host_id entry; ///< none when it went to an endpoint itself
  net::http_client::call_number call = 0;
  bool isDirect = false; ///< to an endpoint itself
  answer_reader reader{ {} };
  steady_time sentAt{};
  steady_time firstTokenAt{};
  std::uint32_t tries = 0;
};

/// What endpoints that count say of all that they ran.
struct endpoint_totals
{
  std::uint64_t asked = 0;         ///< endpoints that answered
  std::uint64_t orders = 0;        ///< to load or unload
  std::uint64_t keysSeen = 0;      ///< requests that carried a caller's key
  std::uint64_t overcommitted = 0; ///< endpoints that once held too much
  std::map<std::string, std::uint64_t> runsByTag;
};

struct load_settings
{
  std::string runName;                ///< unlike that of any other run
  std::vector<std::string> entries;   ///< IP:port
  std::vector<std::string> endpoints; ///< that answer GET /stats
  std::vector<std::string> direct;    ///< endpoints to be asked directly
  double directShare = 0;
  bool countsTokens = false;            ///< answers hold "t0 ", "t1 " and so on
  std::chrono::milliseconds drain{ 0 }; ///< longest wait after the last request
  std::map<workspace_id, std::string> keys;
};

struct load_report
{
  table<request_id, result_row> results;
  std::uint64_t orders = 0;       ///< during the experiment
  std::uint64_t doubledCalls = 0; ///< of non-idempotent routes
  std::uint64_t keysSeen = 0;
  std::uint64_t overcommitted = 0;
  std::uint64_t resent = 0; ///< to another host, nothing of them had been sent
  std::uint64_t repeated = 0; ///< with their idempotency key, after a loss
  bool isCutShort = false;    ///< stopped by a signal
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

  /// Sends no more; what is under way is waited for.
  void Stop();

private:
  class implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace bulrush::load

#endif
