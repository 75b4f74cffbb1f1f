/// Runs the system of a memory account.

#include "net/net.hpp"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

namespace bulrush::net {
namespace {

// Owned by the hook of its account.
class account_timer : public std::enable_shared_from_this<account_timer>
{
public:
  account_timer(asio::io_context& aContext,
                const std::shared_ptr<memory::account>& aAccount)
    : mContext(aContext)
    , mTimer(aContext)
    , mAccount(aAccount)
  {
  }

  void RunSoon()
  {
    asio::post(mContext, [self = shared_from_this()] {
      if (const auto account = self->mAccount.lock()) {
        account->Balance();
        self->Check(*account);
      }
    });
  }

private:
  void Check(const memory::account& aAccount)
  {
    if (mIsChecking || !aAccount.NeedsChecks()) {
      return;
    }
    mIsChecking = true;
    mTimer.expires_after(memory::kProgressInterval);
    mTimer.async_wait([self = shared_from_this()](const std::error_code&) {
      self->mIsChecking = false;
      if (const auto account = self->mAccount.lock()) {
        account->CheckProgress();
        self->Check(*account);
      }
    });
  }

  asio::io_context& mContext;
  asio::steady_timer mTimer;
  std::weak_ptr<memory::account> mAccount;
  bool mIsChecking = false;
};

} // namespace

void
BalanceOn(asio::io_context& aContext,
          const std::shared_ptr<memory::account>& aAccount)
{
  aAccount->onPressure = [timer = std::make_shared<account_timer>(
                            aContext, aAccount)] { timer->RunSoon(); };
}

} // namespace bulrush::net
