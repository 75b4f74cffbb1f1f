#ifndef BULRUSH_CONTROL_CONTROL_HPP
#define BULRUSH_CONTROL_CONTROL_HPP

/// Public header of the control library: the program of a control host, and
/// the front end that tells it how endpoints and operators speak over HTTP.

#include "fleet/fleet.hpp"
#include "net/net.hpp"
#include "residency/residency.hpp"

#include <variant>

namespace bulrush::control {

/// An endpoint tells of itself.
struct check_in
{
  endpoint_row endpoint;
};

/// An endpoint is about to end.
struct sign_off
{
  std::string endpoint;
};

/// The operator's manifest, numbered, in the manifest's own form.
struct put_manifest
{
  std::string text;
};

/// Asks for the text that the manifest in force was translated from.
struct get_manifest
{};

/// Takes a failure domain out of service or brings it back.
struct move_domain
{
  std::string domain;
  bool isOut = false;
};

using http_call =
  std::variant<check_in, sign_off, put_manifest, get_manifest, move_domain>;

/// What became of a call.
enum class answer_kind : std::uint8_t
{
  eDone,
  eInvalid, ///< it cannot be read, or names what does not exist
  eUnknown, ///< no decision; it may be in force yet
};

struct http_answer
{
  answer_kind kind = answer_kind::eUnknown;
  std::string text; ///< a reason, or what was asked for
};

/// What reading a call needs to know of this process.
struct call_context
{
  std::vector<domain_row> domains; ///< of the settings
  steady_time now;
};

/// An order to an engine that carries it out on a condition only.
struct engine_order
{
  std::string endpoint; ///< name
  std::string address;  ///< IP:port
  residency::order_kind kind = residency::order_kind::eLoadModel;
  std::string model;   ///< names as the manifest has them
  std::string adapter; ///< empty: the model itself
  std::uint64_t expectedOrders = 0;
  std::string holder;      ///< name of this process
  std::uint64_t fence = 0; ///< grows with each leader
};

/// What a question for an engine's state is made of.
struct engine_question
{
  std::string endpoint;
  std::string address;
  std::string service;
};

/// How endpoints and operators speak over HTTP. Plain translation.
struct front_end
{
  /// nullopt with the reason for a call that cannot be read.
  std::function<std::optional<http_call>(const net::http_request&,
                                         const call_context&,
                                         last_reason&)>
    readCall;
  std::function<
    void(net::http_reply&, const net::http_request&, const http_answer&)>
    sendAnswer;
  /// Calls to engines that take conditional orders; not set: orders go by the
  /// ledger of the placement library.
  std::function<net::http_call(const engine_order&)> writeOrder;
  std::function<residency::order_answer(int aStatus)> readOrderAnswer;
  std::function<net::http_call(const engine_question&)> writeQuestion;
  std::function<std::optional<residency::engine_state>(const engine_question&,
                                                       const std::string& aBody,
                                                       last_reason&)>
    readState;
};

/// Runs bulrush-control with the front end that the settings name; none serves
/// no HTTP.
struct named_front_end
{
  std::string name;
  std::function<front_end()> make;
};
int RunControlHost(int aCount,
                   char** aWords,
                   std::span<const named_front_end> aFrontEnds);

} // namespace bulrush::control

#endif
