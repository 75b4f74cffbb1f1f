#include "net/http_connection.hpp"

#include <asio/steady_timer.hpp>

namespace bulrush::net {

namespace {

using asio::ip::tcp;

/// One timer checks the timeouts of all connections, at most once per this
/// interval; timeouts are accurate to it.
constexpr std::chrono::milliseconds kTimeoutResolution{ 100 };
/// Delay before accepting again after an error, such as running out of file
/// descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 100 };
/// A server that stops still answers what arrives within this time: requests
/// that callers sent before they could know of it. Several round trips.
constexpr std::chrono::milliseconds kStopLinger{ 100 };
/// Of a connection in the kernel, each way.
constexpr int kBufferBytes = 65'536;

class asio_server : public http_server
{
public:
  asio_server(asio::io_context& aContext,
              const http_server_settings& aSettings,
              request_hook aOnRequest)
    : mAcceptor(aContext)
    , mTimer(aContext)
    , mAcceptTimer(aContext)
    , mStopTimer(aContext)
    , mState(std::make_shared<server_state>())
  {
    mState->settings = aSettings;
    mState->onRequest = std::move(aOnRequest);
    const tcp::endpoint endpoint(asio::ip::make_address(aSettings.address),
                                 aSettings.port);
    mAcceptor.open(endpoint.protocol());
    mAcceptor.set_option(tcp::acceptor::reuse_address(true));
    // Accepted connections inherit them. The kernel would let them grow to
    // megabytes each.
    mAcceptor.set_option(tcp::socket::receive_buffer_size(kBufferBytes));
    mAcceptor.set_option(tcp::socket::send_buffer_size(kBufferBytes));
    mAcceptor.bind(endpoint);
    mAcceptor.listen();
    mPort = mAcceptor.local_endpoint().port();
    Accept();
  }

  ~asio_server() override
  {
    *mIsAlive = false;
    mState->onRequest = nullptr;
    mState->onFlushed = nullptr;
    for (const auto& connection : mConnections) {
      connection->Close();
    }
  }
  asio_server(const asio_server&) = delete;
  asio_server& operator=(const asio_server&) = delete;

  std::uint16_t Port() const override { return mPort; }

  void SetLimits(const http_server_limits& aLimits) override
  {
    http_server_settings& settings = mState->settings;
    settings.maxHeaderBytes = aLimits.maxHeaderBytes;
    settings.maxBodyBytes = aLimits.maxBodyBytes;
    settings.headerTimeout = aLimits.headerTimeout;
    settings.idleTimeout = aLimits.idleTimeout;
  }

  void BeginDrain() override { mState->isDraining = true; }
  void EndDrain() override { mState->isDraining = mState->isStopping; }

  void StopWhenFlushed(std::function<void()> aOnFlushed) override
  {
    mState->isDraining = true;
    AcceptBacklog();
    std::error_code ignored; // no connection is accepted in any case
    mAcceptor.close(ignored);
    mState->isStopping = true;
    for (const auto& connection : std::vector(mConnections)) {
      connection->RefuseIfPartial();
    }
    mStopTimer.expires_after(kStopLinger);
    mStopTimer.async_wait(
      [this, alive = mIsAlive, hook = std::move(aOnFlushed)](
        const std::error_code& aError) {
        if (aError || !*alive) {
          return;
        }
        if (mState->unsentAnswers == 0) {
          hook();
        } else {
          mState->onFlushed = hook;
        }
      });
  }

private:
  void Accept()
  {
    mAcceptor.async_accept(
      [this, alive = mIsAlive](const std::error_code& aError,
                               tcp::socket aSocket) {
        if (!*alive || !mAcceptor.is_open()) {
          return;
        }
        if (aError) {
          AcceptLater();
          return;
        }
        AddConnection(std::move(aSocket));
        Accept();
      });
  }

  // The kernel resets what it has accepted and nobody took over when the
  // listener closes, with the requests that were sent on it.
  void AcceptBacklog()
  {
    std::error_code error;
    mAcceptor.non_blocking(true, error);
    while (!error) {
      tcp::socket accepted(mAcceptor.get_executor());
      mAcceptor.accept(accepted, error);
      if (!error) {
        AddConnection(std::move(accepted));
      }
    }
  }

  void AcceptLater()
  {
    mAcceptTimer.expires_after(kAcceptRetryDelay);
    mAcceptTimer.async_wait(
      [this, alive = mIsAlive](const std::error_code& aError) {
        if (!aError && *alive && mAcceptor.is_open()) {
          Accept();
        }
      });
  }

  void AddConnection(tcp::socket aSocket)
  {
    std::erase_if(mConnections, [](const auto& aConnection) {
      return aConnection->IsClosed();
    });
    if (mConnections.size() >= mState->settings.maxConnections) {
      return; // the destructor of aSocket closes it
    }
    mConnections.push_back(
      std::make_shared<http_connection>(std::move(aSocket), mState));
    mConnections.back()->Start();
    if (!mIsTimerArmed) {
      ArmTimer(Now() + kTimeoutResolution);
    }
  }

  void ArmTimer(steady_time aWhen)
  {
    mIsTimerArmed = true;
    mTimer.expires_after(aWhen - Now());
    mTimer.async_wait([this, alive = mIsAlive](const std::error_code& aError) {
      if (!aError && *alive) {
        CheckTimeouts();
      }
    });
  }

  // The wait is bounded, since a connection that enters a new phase may have an
  // earlier deadline than the one the timer was set for.
  void CheckTimeouts()
  {
    constexpr std::chrono::seconds kMaxCheckInterval{ 1 };
    const steady_time now = Now();
    steady_time next = now + kMaxCheckInterval;
    for (const auto& connection : std::vector(mConnections)) {
      next = std::min(next, connection->CheckTimeout(now));
    }
    std::erase_if(mConnections, [](const auto& aConnection) {
      return aConnection->IsClosed();
    });
    mIsTimerArmed = false;
    if (!mConnections.empty()) {
      ArmTimer(std::max(next, now + kTimeoutResolution));
    }
  }

  tcp::acceptor mAcceptor;
  asio::steady_timer mTimer;
  asio::steady_timer mAcceptTimer;
  asio::steady_timer mStopTimer;
  std::shared_ptr<server_state> mState;
  std::vector<std::shared_ptr<http_connection>> mConnections;
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
  std::uint16_t mPort = 0;
  bool mIsTimerArmed = false;
};

} // namespace

std::optional<std::unique_ptr<http_server>>
Listen(asio::io_context& aContext,
       const http_server_settings& aSettings,
       http_server::request_hook aOnRequest,
       last_reason& aReason)
{
  try {
    return std::make_unique<asio_server>(
      aContext, aSettings, std::move(aOnRequest));
  } catch (const std::exception& error) {
    return Fail(aReason,
                "listen for HTTP",
                aSettings.address + ":" + std::to_string(aSettings.port),
                error.what());
  }
}

} // namespace bulrush::net
