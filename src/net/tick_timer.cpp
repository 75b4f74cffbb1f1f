#include "net/net.hpp"

#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <ctime>

namespace bulrush::net {

// After a suspension, leases that this process granted or holds have expired
// for all others. A clock that stood still would keep them.
steady_time
Now()
{
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return steady_time{ std::chrono::seconds{ time.tv_sec } +
                      std::chrono::nanoseconds{ time.tv_nsec } };
}

struct tick_timer::state
{
  asio::io_context& context;
  asio::steady_timer timer;
  tick_hook onTick;
  bool isPending = false;
  bool isStopped = false;

  state(asio::io_context& aContext, tick_hook aOnTick)
    : context(aContext)
    , timer(aContext)
    , onTick(std::move(aOnTick))
  {
  }
};

namespace {

// After each tick the timer is armed for the wake time that the tick returned.
// Without one, the thread sleeps in the kernel until input arrives.
template<class state_type>
void
Tick(const std::shared_ptr<state_type>& aState)
{
  if (aState->isStopped) {
    return;
  }
  aState->isPending = false;
  const wake_time wake = aState->onTick(Now());
  if (aState->isStopped || wake.at == steady_time::max()) {
    return;
  }
  const steady_time now = Now();
  aState->timer.expires_after(std::max(wake.at, now) - now);
  aState->timer.async_wait([aState](const std::error_code& aError) {
    if (!aError && !aState->isPending) {
      Tick(aState);
    }
  });
}

} // namespace

tick_timer::tick_timer(asio::io_context& aContext, tick_hook aOnTick)
  : mState(std::make_shared<state>(aContext, std::move(aOnTick)))
{
}

tick_timer::~tick_timer()
{
  mState->isStopped = true;
  mState->timer.cancel();
}

void
tick_timer::RunSoon()
{
  if (mState->isPending) {
    return;
  }
  mState->isPending = true;
  asio::post(mState->context, [state = mState] { Tick(state); });
}

namespace {

using signal_hook = std::function<void()>;

// A signal_set that is destroyed restores the default action, which ends the
// process, so the wait goes on for as long as the io_context exists.
void
WaitForSignals(const std::shared_ptr<asio::signal_set>& aSignals,
               const std::shared_ptr<signal_hook>& aHook)
{
  aSignals->async_wait([aSignals, aHook](const std::error_code& aError, int) {
    if (!aError) {
      (*aHook)();
      WaitForSignals(aSignals, aHook);
    }
  });
}

} // namespace

void
OnStopSignal(asio::io_context& aContext,
             std::function<void()> aOnSignal,
             std::function<void()> aOnRepeat)
{
  signal_hook hook = [onSignal = std::move(aOnSignal),
                      onRepeat = std::move(aOnRepeat)]() mutable {
    if (const auto first = std::exchange(onSignal, nullptr)) {
      first();
    } else {
      onRepeat();
    }
  };
  WaitForSignals(std::make_shared<asio::signal_set>(aContext, SIGTERM, SIGINT),
                 std::make_shared<signal_hook>(std::move(hook)));
}

void
OnReloadSignal(asio::io_context& aContext, std::function<void()> aOnSignal)
{
  WaitForSignals(std::make_shared<asio::signal_set>(aContext, SIGHUP),
                 std::make_shared<signal_hook>(std::move(aOnSignal)));
}

} // namespace bulrush::net
