#include "apps/ctl_commands.hpp"
#include "net/net.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <unistd.h>

namespace bulrush::ctl {
namespace {

constexpr std::chrono::milliseconds kTryEvery{ 1'500 };

// One call: sent to one control process after another, since any of them
// passes commands on to the leader. Every command is safe to repeat.
class caller
{
public:
  caller(const call_settings& aSettings, wire::message_body aBody)
    : mSettings(aSettings)
    , mBody(std::move(aBody))
    , mTimer(mContext, [this](steady_time aNow) { return Tick(aNow); })
  {
  }

  std::optional<wire::message_body> Run(last_reason& aWhy)
  {
    mDeadline = std::chrono::steady_clock::now() + mSettings.timeout;
    for (const std::string& address : mSettings.controls) {
      auto link = net::ConnectLink(
        mContext,
        address,
        "ctl-" + std::to_string(::getpid()) + "-" +
          std::to_string(
            std::chrono::system_clock::now().time_since_epoch().count()),
        mSettings.linkKeys,
        [this](const std::string& aBytes) { Receive(aBytes); },
        aWhy);
      if (!link) {
        return std::nullopt;
      }
      mLinks.push_back(std::move(*link));
    }
    mTimer.RunSoon();
    mContext.run();
    if (!mAnswer) {
      return Fail(aWhy,
                  "call control",
                  mSettings.controls.empty() ? "" : mSettings.controls.front(),
                  mLastText.empty() ? "no answer in time" : mLastText);
    }
    return mAnswer;
  }

private:
  // A link that is not connected yet drops what is sent, so a failed send is
  // tried again soon.
  wake_time Tick(steady_time aNow)
  {
    wake_time wake;
    if (aNow >= mDeadline || mLinks.empty()) {
      mContext.stop();
      return wake;
    }
    if (aNow >= mNextTry) {
      const std::string bytes = wire::Encode({ "bulrushctl", 1, mBody }, aNow);
      const bool isSent = mLinks[mTries % mLinks.size()]->Send(bytes);
      if (isSent || ++mFailedSends % kSendsPerLink == 0) {
        ++mTries;
      }
      mNextTry = aNow + (isSent ? kTryEvery : kResendEvery);
    }
    wake.NoLaterThan(mNextTry);
    wake.NoLaterThan(mDeadline);
    return wake;
  }

  void Receive(const std::string& aBytes)
  {
    last_reason why;
    auto message = wire::Decode(aBytes, std::chrono::steady_clock::now(), why);
    if (!message) {
      return;
    }
    const auto* reply = std::get_if<wire::command_reply>(&message->body);
    if (reply != nullptr && (reply->outcome == wire::call_outcome::eNoLeader ||
                             reply->outcome == wire::call_outcome::eUnknown)) {
      mLastText = reply->text;
      mNextTry = std::chrono::steady_clock::now() + kResendEvery;
      mTimer.RunSoon();
      return;
    }
    mAnswer = std::move(message->body);
    mContext.stop();
  }

  static constexpr std::chrono::milliseconds kResendEvery{ 20 };
  static constexpr std::uint64_t kSendsPerLink = 10;

  const call_settings& mSettings;
  wire::message_body mBody;
  asio::io_context mContext{ 1 };
  net::tick_timer mTimer;
  std::vector<std::unique_ptr<net::link_client>> mLinks;
  std::optional<wire::message_body> mAnswer;
  std::string mLastText;
  steady_time mDeadline{};
  steady_time mNextTry{};
  std::uint64_t mTries = 0;
  std::uint64_t mFailedSends = 0;
};

} // namespace

namespace {

constexpr std::chrono::milliseconds kSpreadFor{ 500 };
constexpr std::chrono::milliseconds kAskAgain{ 100 };

// Runs an io_context for a while: links connect and send in the background.
void
RunFor(asio::io_context& aContext, std::chrono::milliseconds aDuration)
{
  aContext.restart();
  aContext.run_for(aDuration);
}

std::vector<std::string>
PendingDomains(const wire::status_reply& aStatus, std::uint64_t aRevision)
{
  constexpr std::chrono::milliseconds kHeardLately{ 5'000 };
  std::vector<std::string> pending;
  for (const wire::domain_status& domain : aStatus.domains) {
    const bool isHeard = domain.age < kHeardLately;
    if (isHeard && domain.confirmedRevision >= aRevision) {
      continue;
    }
    pending.push_back("failure domain " + domain.name +
                      (isHeard
                         ? " has not confirmed it"
                         : " is not heard of; it may go on without it for the "
                           "manifest's cut_off_grace_s"));
  }
  return pending;
}

} // namespace

bool
Spread(const call_settings& aSettings, const key_hash& aKey)
{
  asio::io_context context{ 1 };
  last_reason why;
  std::vector<std::unique_ptr<net::link_client>> links;
  for (const std::string& address : aSettings.controls) {
    auto link = net::ConnectLink(
      context,
      address,
      "ctl-spread-" + std::to_string(::getpid()),
      aSettings.linkKeys,
      [](const std::string&) {},
      why);
    if (link) {
      links.push_back(std::move(*link));
    }
  }
  const std::string bytes = wire::Encode(
    { "bulrushctl", 1, wire::tombstones{ { aKey }, aSettings.credential } },
    std::chrono::steady_clock::now());
  const auto end = std::chrono::steady_clock::now() + kSpreadFor;
  std::size_t reached = 0;
  std::vector<bool> isTold(links.size(), false);
  while (reached < links.size() && std::chrono::steady_clock::now() < end) {
    for (std::size_t i = 0; i < links.size(); ++i) {
      if (!isTold[i] && links[i]->Send(bytes)) {
        isTold[i] = true;
        ++reached;
      }
    }
    RunFor(context, std::chrono::milliseconds(20));
  }
  return reached > 0;
}

bool
WaitForRevision(const call_settings& aSettings,
                std::uint64_t aRevision,
                std::vector<std::string>& aPending)
{
  const auto end = std::chrono::steady_clock::now() + aSettings.wait;
  do {
    last_reason why;
    const auto answer =
      Call(aSettings, wire::status_call{ 1, aSettings.credential }, why);
    const auto* status =
      answer ? std::get_if<wire::status_reply>(&*answer) : nullptr;
    aPending = { "no control process says so" };
    if (status != nullptr && status->revision >= aRevision) {
      aPending = PendingDomains(*status, aRevision);
    }
    if (aPending.empty()) {
      return true;
    }
    asio::io_context context{ 1 };
    const auto guard = asio::make_work_guard(context);
    RunFor(context, kAskAgain);
  } while (std::chrono::steady_clock::now() < end);
  return false;
}

std::optional<wire::message_body>
Call(const call_settings& aSettings,
     wire::message_body aBody,
     last_reason& aWhy)
{
  return caller(aSettings, std::move(aBody)).Run(aWhy);
}

} // namespace bulrush::ctl
