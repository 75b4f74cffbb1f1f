#ifndef BULRUSH_CONTROL_ENGINE_CALLS_HPP
#define BULRUSH_CONTROL_ENGINE_CALLS_HPP

/// HTTP calls of a control process to engines and endpoints.

#include "control/control.hpp"
#include "control/tables.hpp"

namespace bulrush::control {

/// Receivers of what the calls bring. A call that fails brings an answer, too.
struct engine_call_hooks
{
  std::function<void(engine_answer)> onEngineAnswer;
  std::function<void(order_answer)> onOrderAnswer;
};

class engine_calls
{
public:
  /// @param aFrontEnd is read with each call and outlives this object.
  engine_calls(asio::io_context& aContext,
               const front_end& aFrontEnd,
               engine_call_hooks aHooks);

  void SendEngineOrder(endpoint_id aEngine, const engine_order& aOrder);
  void SendStateQuery(endpoint_id aEngine, const engine_query& aQuery);
  void SendOrder(order_call aCall);
  std::size_t Running() const { return mClient->Running(); }

private:
  const front_end& mFrontEnd;
  engine_call_hooks mHooks;
  std::unique_ptr<net::http_client> mClient;
};

} // namespace bulrush::control

#endif
