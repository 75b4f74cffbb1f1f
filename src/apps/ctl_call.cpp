#include "apps/ctl_commands.hpp"
#include "net/net.hpp"

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
        {},
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

std::optional<wire::message_body>
Call(const call_settings& aSettings,
     wire::message_body aBody,
     last_reason& aWhy)
{
  return caller(aSettings, std::move(aBody)).Run(aWhy);
}

} // namespace bulrush::ctl
