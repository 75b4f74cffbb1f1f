#ifndef BULRUSH_ENTRY_TRAFFIC_HPP
#define BULRUSH_ENTRY_TRAFFIC_HPP

/// A traffic thread of bulrush-entry: callers' HTTP on one side, calls to
/// endpoints on the other. It owns its request rows and reads the view that
/// the control thread published last.

#include "entry/entry.hpp"
#include "entry/recorder.hpp"
#include "entry/requests.hpp"
#include "entry/tables.hpp"
#include "net/net.hpp"
#include "rates/rates.hpp"

#include <asio/io_context.hpp>

namespace bulrush::entry {

/// What a traffic thread tells the control thread; each hook may be called
/// from the traffic thread.
struct control_hooks
{
  std::function<void(endpoint_row)> onReport;
  std::function<void(fleet_command, steady_time aDeadline, command_hook)>
    onCommand;
  std::function<void(admission::renewal)> onRenewal; ///< to the delegate
  std::function<void(std::vector<wire::wanted_model>)> onDemand; ///< to the
                                                                 ///< leader
  std::function<void(rates::draw)> onDraw; ///< to the leader
};

struct traffic_settings
{
  net::http_server_settings http;
  std::string hostName;
  std::uint64_t incarnation = 0; ///< of this process
  std::string domain;
  recorder_settings recording;
  std::string endpointSecret; ///< empty: reports need none
  front_end front;
  /// Address of its own for the balancer's question; none: a page.
  std::optional<net::http_server_settings> ready;
  std::optional<net::http_server_settings> metrics; ///< address of its own
  /// Known keys are served also while the lease has lapsed.
  bool servesWithoutLease = false;
  retry_allowance retries;
  rates::rate_tolerance tolerance;
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

  bool Start(last_reason& aWhy);
  std::uint16_t Port() const;

  /// On the thread of the io_context only.
  void SetView(traffic_view aView);
  void TakeGrant(admission::grant aGrant);
  void TakeDrawn(rates::drawn aDrawn);
  std::size_t OpenRequests() const;
  /// Refuses new requests as not run, finishes those it has, then calls
  /// aOnStopped, once.
  void StopWhenIdle(std::function<void()> aOnStopped);

private:
  class implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace bulrush::entry

#endif
