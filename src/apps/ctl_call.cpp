#include "apps/ctl_commands.hpp"
#include "net/net.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <unistd.h>

namespace bulrush::ctl {
namespace {

constexpr std::chrono::milliseconds kRetryInterval{ 1'500 };

// A call that is sent to the control processes in turn until one of them
// answers. Any of them forwards commands to the leader, and all commands are
// idempotent, so resending is safe.
class control_call
{
public:
  control_call(const call_settings& aSettings, wire::message_body aBody)
    : mSettings(aSettings)
    , mBody(std::move(aBody))
    , mTimer(mContext, [this](steady_time aNow) { return Tick(aNow); })
  {
  }

  std::optional<wire::message_body> Run(last_reason& aReason)
  {
    mDeadline = net::Now() + mSettings.timeout;
    for (const std::string& address : mSettings.controls) {
      auto link = net::ConnectLink(
        mContext,
        address,
        "ctl-" + std::to_string(::getpid()) + "-" +
          std::to_string(
            std::chrono::system_clock::now().time_since_epoch().count()),
        mSettings.linkKeys,
        [this](const std::string& aBytes) { Receive(aBytes); },
        aReason);
      if (!link) {
        return std::nullopt;
      }
      mLinks.push_back(std::move(*link));
    }
    mTimer.RunSoon();
    mContext.run();
    if (!mAnswer) {
      return Fail(aReason,
                  "call control",
                  mSettings.controls.empty() ? "" : mSettings.controls.front(),
                  mLastReplyText.empty() ? "no answer in time"
                                         : mLastReplyText);
    }
    return mAnswer;
  }

private:
  // A link that is not connected yet drops messages, so a failed send is
  // retried after kResendInterval instead of kRetryInterval.
  wake_time Tick(steady_time aNow)
  {
    wake_time wake;
    if (aNow >= mDeadline || mLinks.empty()) {
      mContext.stop();
      return wake;
    }
    if (aNow >= mNextSend) {
      const std::string bytes = wire::Encode({ "bulrushctl", 1, mBody }, aNow);
      const bool isSent = mLinks[mAttempts % mLinks.size()]->Send(bytes);
      if (isSent || ++mFailedSends % kSendsPerLink == 0) {
        ++mAttempts;
      }
      mNextSend = aNow + (isSent ? kRetryInterval : kResendInterval);
    }
    wake.NoLaterThan(mNextSend);
    wake.NoLaterThan(mDeadline);
    return wake;
  }

  void Receive(const std::string& aBytes)
  {
    last_reason reason;
    auto message = wire::Decode(aBytes, net::Now(), reason);
    if (!message) {
      return;
    }
    const auto* reply = std::get_if<wire::command_reply>(&message->body);
    if (reply != nullptr && (reply->outcome == wire::call_outcome::eNoLeader ||
                             reply->outcome == wire::call_outcome::eUnknown)) {
      mLastReplyText = reply->text;
      mNextSend = net::Now() + kResendInterval;
      mTimer.RunSoon();
      return;
    }
    mAnswer = std::move(message->body);
    mContext.stop();
  }

  static constexpr std::chrono::milliseconds kResendInterval{ 20 };
  static constexpr std::uint64_t kSendsPerLink = 10;

  const call_settings& mSettings;
  wire::message_body mBody;
  asio::io_context mContext{ 1 };
  net::tick_timer mTimer;
  std::vector<std::unique_ptr<net::link_client>> mLinks;
  std::optional<wire::message_body> mAnswer;
  std::string mLastReplyText;
  steady_time mDeadline{};
  steady_time mNextSend{};
  std::uint64_t mAttempts = 0;
  std::uint64_t mFailedSends = 0;
};

} // namespace

namespace {

constexpr std::chrono::milliseconds kPublishTimeout{ 500 };
constexpr std::chrono::milliseconds kPollInterval{ 100 };

// Runs aContext for aDuration, which lets links connect and send.
void
RunFor(asio::io_context& aContext, std::chrono::milliseconds aDuration)
{
  aContext.restart();
  aContext.run_for(aDuration);
}

std::vector<std::string>
DescribePendingDomains(const wire::status_reply& aStatus,
                       std::uint64_t aRevision)
{
  constexpr std::chrono::milliseconds kReachableTimeout{ 5'000 };
  std::vector<std::string> pending;
  for (const wire::domain_status& domain : aStatus.domains) {
    const bool isReachable = domain.age < kReachableTimeout;
    if (isReachable && domain.confirmedRevision >= aRevision) {
      continue;
    }
    pending.push_back("failure domain " + domain.name +
                      (isReachable
                         ? " has not confirmed it"
                         : " is not heard of; it may go on without it for the "
                           "manifest's cut_off_grace_s"));
  }
  return pending;
}

} // namespace

bool
PublishWithdrawal(const call_settings& aSettings, const key_hash& aKey)
{
  asio::io_context context{ 1 };
  last_reason reason;
  std::vector<std::unique_ptr<net::link_client>> links;
  for (const std::string& address : aSettings.controls) {
    auto link = net::ConnectLink(
      context,
      address,
      "ctl-spread-" + std::to_string(::getpid()),
      aSettings.linkKeys,
      [](const std::string&) {},
      reason);
    if (link) {
      links.push_back(std::move(*link));
    }
  }
  const std::string bytes = wire::Encode(
    { "bulrushctl", 1, wire::tombstones{ { aKey }, aSettings.credential } },
    net::Now());
  const auto end = net::Now() + kPublishTimeout;
  std::size_t sent = 0;
  std::vector<bool> isSent(links.size(), false);
  while (sent < links.size() && net::Now() < end) {
    for (std::size_t i = 0; i < links.size(); ++i) {
      if (!isSent[i] && links[i]->Send(bytes)) {
        isSent[i] = true;
        ++sent;
      }
    }
    RunFor(context, std::chrono::milliseconds(20));
  }
  return sent > 0;
}

bool
WaitForRevision(const call_settings& aSettings,
                std::uint64_t aRevision,
                std::vector<std::string>& aPending)
{
  const auto end = net::Now() + aSettings.wait;
  do {
    last_reason reason;
    const auto answer =
      Call(aSettings, wire::status_call{ 1, aSettings.credential }, reason);
    const auto* status =
      answer ? std::get_if<wire::status_reply>(&*answer) : nullptr;
    aPending = { "no control process says so" };
    if (status != nullptr && status->revision >= aRevision) {
      aPending = DescribePendingDomains(*status, aRevision);
    }
    if (aPending.empty()) {
      return true;
    }
    asio::io_context context{ 1 };
    const auto guard = asio::make_work_guard(context);
    RunFor(context, kPollInterval);
  } while (net::Now() < end);
  return false;
}

std::optional<wire::message_body>
Call(const call_settings& aSettings,
     wire::message_body aBody,
     last_reason& aReason)
{
  return control_call(aSettings, std::move(aBody)).Run(aReason);
}

} // namespace bulrush::ctl
