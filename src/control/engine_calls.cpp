#include "control/engine_calls.hpp"

#include "observe/observe.hpp"

namespace bulrush::control {
namespace {

constexpr log_component kLog{ "control" };
constexpr std::chrono::milliseconds kOrderTimeout{ 2'000 };
/// Engines answer orders and state queries at once, without waiting for a
/// slot.
constexpr std::chrono::milliseconds kEngineTimeout{ 1'000 };
/// Of one endpoint's answer to an order or a state query; far more than a
/// state with all models and adapters takes.
constexpr std::size_t kMaxAnswerBytes = 1'048'576;

} // namespace

engine_calls::engine_calls(asio::io_context& aContext,
                           const front_end& aFrontEnd,
                           engine_call_hooks aHooks)
  : mFrontEnd(aFrontEnd)
  , mHooks(std::move(aHooks))
  , mClient(net::MakeHttpClient(aContext))
{
}

// Kept connections may resend a request; the order's condition makes that
// harmless.
void
engine_calls::SendEngineOrder(endpoint_id aEngine, const engine_order& aOrder)
{
  net::http_call call = mFrontEnd.writeOrder(aOrder);
  call.timeout = kEngineTimeout;
  call.maxBodyBytes = kMaxAnswerBytes;
  net::http_call_hooks hooks;
  hooks.onEnd = [this, aEngine](const net::http_call_end& aEnd) {
    engine_answer answer;
    answer.engine = aEngine;
    answer.order = aEnd.isComplete ? mFrontEnd.readOrderAnswer(aEnd.status)
                                   : residency::order_answer::eNoAnswer;
    mHooks.onEngineAnswer(std::move(answer));
  };
  mClient->Start(std::move(call), std::move(hooks));
}

void
engine_calls::SendStateQuery(endpoint_id aEngine, const engine_query& aQuery)
{
  net::http_call call = mFrontEnd.writeStateQuery(aQuery);
  call.timeout = kEngineTimeout;
  call.maxBodyBytes = kMaxAnswerBytes;
  auto body = std::make_shared<std::string>();
  net::http_call_hooks hooks;
  hooks.onBytes = [body](std::string_view aBytes) { *body += aBytes; };
  hooks.onEnd = [this, aEngine, aQuery, body](const net::http_call_end& aEnd) {
    engine_answer answer;
    answer.engine = aEngine;
    last_reason reason;
    if (aEnd.isComplete && aEnd.status == 200) {
      answer.state = mFrontEnd.readState(aQuery, *body, reason);
    }
    if (!answer.state) {
      LogWarning(kLog,
                 "State query to engine {} failed: status {} {} {}",
                 aQuery.endpoint,
                 aEnd.status,
                 aEnd.error,
                 Describe(reason));
    }
    mHooks.onEngineAnswer(std::move(answer));
  };
  mClient->Start(std::move(call), std::move(hooks));
}

// A new connection for each order: the HTTP library then never resends it,
// and the answer comes from the process that was dialled for this order.
void
engine_calls::SendOrder(order_call aCall)
{
  net::http_call call;
  call.url = "http://" + aCall.address + "/orders";
  call.fields = { { "Content-Type", "application/json" } };
  call.body = std::move(aCall.body);
  call.timeout = kOrderTimeout;
  call.maxBodyBytes = kMaxAnswerBytes;
  call.freshConnection = true;
  auto answer = std::make_shared<order_answer>();
  answer->order = aCall.order;
  net::http_call_hooks hooks;
  hooks.onBytes = [answer](std::string_view aBytes) { answer->body += aBytes; };
  hooks.onEnd = [this, answer](const net::http_call_end& aEnd) {
    answer->isSent = aEnd.requestSent;
    answer->status = aEnd.isComplete ? aEnd.status : 0;
    mHooks.onOrderAnswer(std::move(*answer));
  };
  mClient->Start(std::move(call), std::move(hooks));
}

} // namespace bulrush::control
