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
  std::function<void(usage_answer)> onUsageAnswer;
};

class engine_calls
{
public:
  /// @param aFrontEnd is read with each call and outlives this object.
  /// @param aAccount bounds what answers hold.
  engine_calls(asio::io_context& aContext,
               const front_end& aFrontEnd,
               std::shared_ptr<memory::account> aAccount,
               engine_call_hooks aHooks);

  void SendEngineOrder(endpoint_id aEngine, const engine_order& aOrder);
  void SendStateQuery(endpoint_id aEngine, const engine_query& aQuery);
  void SendOrder(order_call aCall);
  /// One call at a time.
  void SendUsage(const outgoing_usage& aUsage);
  /// Its answer, if there is an open call, is not reported.
  void AbortUsage();
  std::size_t Running() const { return mClient->Running(); }

private:
  /// An answer that arrives.
  struct held_answer
  {
    std::string body;
    memory::holder held;
    net::http_client::call_number call = 0;
  };
  using end_hook =
    std::function<void(const net::http_call_end&, std::string aBody)>;

  void Start(endpoint_id aEndpoint,
             net::http_call aCall,
             const end_hook& aOnEnd);

  const front_end& mFrontEnd;
  std::shared_ptr<memory::account> mAccount;
  engine_call_hooks mHooks;
  std::unique_ptr<net::http_client> mClient;
  std::optional<net::http_client::call_number> mUsageCall;
};

} // namespace bulrush::control

#endif
