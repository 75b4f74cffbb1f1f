#ifndef BULRUSH_CONTROL_CONTROL_HPP
#define BULRUSH_CONTROL_CONTROL_HPP

/// Public header of the control library: the program of a control host, and
/// the front end that translates the HTTP calls of endpoints and operators.

#include "duties/duties.hpp"
#include "fleet/fleet.hpp"
#include "net/net.hpp"
#include "residency/residency.hpp"

#include <variant>

namespace bulrush::control {

/// An endpoint announces itself or its current state.
struct register_endpoint
{
  endpoint_row endpoint;
};

/// An endpoint is about to shut down.
struct deregister_endpoint
{
  std::string endpoint;
};

/// Text of the operator's manifest, with its number.
struct put_manifest
{
  std::string text;
  std::string source = {}; ///< what the text was generated from
};

/// Requests the source text of the manifest in force.
struct get_manifest
{};

/// Takes a failure domain out of service, or brings it back.
struct change_domain_state
{
  std::string domain;
  bool isOut = false;
};

using http_call = std::variant<register_endpoint,
                               deregister_endpoint,
                               put_manifest,
                               get_manifest,
                               change_domain_state>;

/// Outcome of a call.
enum class answer_kind : std::uint8_t
{
  eDone,
  eInvalid, ///< malformed, or refers to something that does not exist
  eUnknown, ///< not decided in time; it may still take effect
};

struct http_answer
{
  answer_kind kind = answer_kind::eUnknown;
  std::string text; ///< a reason, or the requested text
};

/// State of this process that is needed to parse a call.
struct call_context
{
  std::vector<domain_row> domains; ///< from the settings
  steady_time now;
};

/// A conditional order: the engine refuses it when its count of orders differs
/// from expectedOrders.
struct engine_order
{
  std::string endpoint; ///< name
  std::string address;  ///< IP:port
  residency::order_kind kind = residency::order_kind::eLoadModel;
  std::string model;   ///< name in the manifest
  std::string adapter; ///< name in the manifest; empty for the model itself
  std::uint64_t expectedOrders = 0;
  std::string holder;              ///< name of this process
  std::uint64_t fencingNumber = 0; ///< rises with each leader
};

/// A query for the state of an engine.
struct engine_query
{
  std::string endpoint;
  std::string address;
  std::string service;
};

/// The usage report of a window.
struct usage_call
{
  std::string address;             ///< of the platform's API, HOST:PORT
  std::string holder;              ///< name of this process
  std::uint64_t fencingNumber = 0; ///< rises with each leader
  std::uint64_t window = 0;
  std::vector<duties::usage_total> totals;
};

/// Translation between HTTP and the calls of this library; decides nothing.
struct front_end
{
  /// nullopt, with the reason, for a malformed call.
  std::function<std::optional<http_call>(const net::http_request&,
                                         const call_context&,
                                         last_reason&)>
    readCall;
  std::function<
    void(net::http_reply&, const net::http_request&, const http_answer&)>
    sendAnswer;
  /// For engines that support conditional orders. Not set: the placement
  /// library decides on orders and records them in its ledger.
  std::function<net::http_call(const engine_order&)> writeOrder;
  std::function<residency::order_answer(int aStatus)> readOrderAnswer;
  std::function<net::http_call(const engine_query&)> writeStateQuery;
  std::function<std::optional<residency::engine_state>(const engine_query&,
                                                       const std::string& aBody,
                                                       last_reason&)>
    readState;
  /// For platforms that take usage reports. Not set: none are sent.
  std::function<net::http_call(const usage_call&)> writeUsage;
  std::function<duties::call_outcome(int aStatus)> readUsageAnswer;
};

/// Runs bulrush-control with the front end that the settings name; "none"
/// serves no HTTP.
struct named_front_end
{
  std::string name;
  std::function<front_end()> make;
};
int RunControlHost(int aArgumentCount,
                   char** aArguments,
                   std::span<const named_front_end> aFrontEnds);

} // namespace bulrush::control

#endif
