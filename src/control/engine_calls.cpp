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
                           std::shared_ptr<memory::account> aAccount,
                           engine_call_hooks aHooks)
  : mFrontEnd(aFrontEnd)
  , mAccount(std::move(aAccount))
  , mHooks(std::move(aHooks))
  , mClient(net::MakeHttpClient(aContext))
{
}

// An answer that the account ends is reported as one that broke off.
void
engine_calls::Start(endpoint_id aEndpoint,
                    net::http_call aCall,
                    const end_hook& aOnEnd)
{
  aCall.maxBodyBytes = kMaxAnswerBytes;
  const auto answer = std::make_shared<held_answer>();
  const std::weak_ptr<held_answer> weak = answer;
  memory::holder_hooks bounds;
  bounds.onPause = [this, weak](bool aIsPaused) {
    if (const auto held = weak.lock()) {
      aIsPaused ? mClient->Pause(held->call) : mClient->Resume(held->call);
    }
  };
  bounds.onEnd =
    [this, weak, aOnEnd, url = aCall.url](const std::string& aReason) {
      if (const auto held = weak.lock()) {
        mClient->Cancel(held->call);
        LogEvent(kLog,
                 log_level::eWarning,
                 "answer_ended",
                 { { "url", url }, { "reason", aReason } });
        net::http_call_end end;
        end.error = aReason;
        aOnEnd(end, "");
      }
    };
  answer->held = memory::holder(mAccount,
                                memory::holder_kind::eAnswer,
                                memory::owner_id{ aEndpoint.value },
                                std::move(bounds));
  net::http_call_hooks hooks;
  hooks.onBytes = [answer](std::string_view aBytes) {
    answer->body += aBytes;
    answer->held.Set(answer->body.size());
  };
  hooks.onEnd = [answer, aOnEnd](const net::http_call_end& aEnd) {
    answer->held = {};
    aOnEnd(aEnd, std::move(answer->body));
  };
  answer->call = mClient->Start(std::move(aCall), std::move(hooks));
}

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
  Start(aEngine,
        std::move(call),
        [this, aEngine, aQuery](const net::http_call_end& aEnd,
                                const std::string& aBody) {
          engine_answer answer;
          answer.engine = aEngine;
          last_reason reason;
          if (aEnd.isComplete && aEnd.status == 200) {
            answer.state = mFrontEnd.readState(aQuery, aBody, reason);
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
        });
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
  call.freshConnection = true;
  Start(IdOf<endpoint_id>(aCall.address),
        std::move(call),
        [this, order = aCall.order](const net::http_call_end& aEnd,
                                    std::string aBody) {
          order_answer answer;
          answer.order = order;
          answer.isSent = aEnd.requestSent;
          answer.status = aEnd.isComplete ? aEnd.status : 0;
          answer.body = std::move(aBody);
          mHooks.onOrderAnswer(std::move(answer));
        });
}

// On a new connection the HTTP library never resends a call, which might be
// after the lease.
void
engine_calls::SendUsage(const outgoing_usage& aUsage)
{
  net::http_call call = mFrontEnd.writeUsage(aUsage.usage);
  call.timeout = aUsage.timeout;
  call.maxBodyBytes = kMaxAnswerBytes;
  call.freshConnection = true;
  net::http_call_hooks hooks;
  hooks.onEnd = [this, number = aUsage.call](const net::http_call_end& aEnd) {
    mUsageCall.reset();
    mHooks.onUsageAnswer({ number,
                           aEnd.isComplete
                             ? mFrontEnd.readUsageAnswer(aEnd.status)
                             : duties::call_outcome::eNoAnswer });
  };
  mUsageCall = mClient->Start(std::move(call), std::move(hooks));
}

void
engine_calls::AbortUsage()
{
  if (mUsageCall) {
    mClient->Cancel(*mUsageCall);
    mUsageCall.reset();
  }
}

} // namespace bulrush::control
