#include "net/http_connection.hpp"

#include <asio/steady_timer.hpp>

#include <cctype>

namespace bulrush::net {

// Field names are ASCII and compared without case (RFC 9110).
const std::string*
FindField(const std::vector<http_field>& aFields, std::string_view aName)
{
  const auto isSame = [](char aLeft, char aRight) {
    return std::tolower(static_cast<unsigned char>(aLeft)) ==
           std::tolower(static_cast<unsigned char>(aRight));
  };
  for (const http_field& field : aFields) {
    if (std::equal(field.name.begin(),
                   field.name.end(),
                   aName.begin(),
                   aName.end(),
                   isSame)) {
      return &field.value;
    }
  }
  return nullptr;
}

namespace {

using asio::ip::tcp;

/// Connections are looked at for their time limits at most so often, all with
/// one timer: a limit is exact to this.
constexpr std::chrono::milliseconds kTimeGrain{ 100 };
/// Pause before accepting again when no descriptor is left.
constexpr std::chrono::milliseconds kAcceptPause{ 100 };

class asio_server : public http_server
{
public:
  asio_server(asio::io_context& aContext,
              const http_server_settings& aSettings,
              request_hook aOnRequest)
    : mAcceptor(aContext)
    , mTimer(aContext)
    , mAcceptTimer(aContext)
    , mState(std::make_shared<server_state>())
  {
    mState->settings = aSettings;
    mState->onRequest = std::move(aOnRequest);
    const tcp::endpoint endpoint(asio::ip::make_address(aSettings.address),
                                 aSettings.port);
    mAcceptor.open(endpoint.protocol());
    mAcceptor.set_option(tcp::acceptor::reuse_address(true));
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

  void StopWhenFlushed(std::function<void()> aOnFlushed) override
  {
    mState->isDraining = true;
    std::error_code ignored; // nothing is accepted either way
    mAcceptor.close(ignored);
    for (const auto& connection : mConnections) {
      connection->CloseIfIdle();
    }
    if (mState->unsentAnswers == 0) {
      aOnFlushed();
    } else {
      mState->onFlushed = std::move(aOnFlushed);
    }
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
        Add(std::move(aSocket));
        Accept();
      });
  }

  void AcceptLater()
  {
    mAcceptTimer.expires_after(kAcceptPause);
    mAcceptTimer.async_wait(
      [this, alive = mIsAlive](const std::error_code& aError) {
        if (!aError && *alive && mAcceptor.is_open()) {
          Accept();
        }
      });
  }

  void Add(tcp::socket aSocket)
  {
    std::erase_if(mConnections, [](const auto& aConnection) {
      return aConnection->IsClosed();
    });
    if (mConnections.size() >= mState->settings.maxConnections) {
      return; // the socket closes with its object
    }
    mConnections.push_back(
      std::make_shared<http_connection>(std::move(aSocket), mState));
    mConnections.back()->Start();
    if (!mIsTimed) {
      Watch(std::chrono::steady_clock::now() + kTimeGrain);
    }
  }

  void Watch(steady_time aWhen)
  {
    mIsTimed = true;
    mTimer.expires_at(aWhen);
    mTimer.async_wait([this, alive = mIsAlive](const std::error_code& aError) {
      if (!aError && *alive) {
        CheckTimes();
      }
    });
  }

  // New limits begin with a phase, so the next look is never far away.
  void CheckTimes()
  {
    constexpr std::chrono::seconds kLongestPause{ 1 };
    const steady_time now = std::chrono::steady_clock::now();
    steady_time next = now + kLongestPause;
    for (const auto& connection : std::vector(mConnections)) {
      next = std::min(next, connection->CheckTime(now));
    }
    std::erase_if(mConnections, [](const auto& aConnection) {
      return aConnection->IsClosed();
    });
    mIsTimed = false;
    if (!mConnections.empty()) {
      Watch(std::max(next, now + kTimeGrain));
    }
  }

  tcp::acceptor mAcceptor;
  asio::steady_timer mTimer;
  asio::steady_timer mAcceptTimer;
  std::shared_ptr<server_state> mState;
  std::vector<std::shared_ptr<http_connection>> mConnections;
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
  std::uint16_t mPort = 0;
  bool mIsTimed = false;
};

} // namespace

std::optional<std::unique_ptr<http_server>>
Listen(asio::io_context& aContext,
       const http_server_settings& aSettings,
       http_server::request_hook aOnRequest,
       last_reason& aWhy)
{
  try {
    return std::make_unique<asio_server>(
      aContext, aSettings, std::move(aOnRequest));
  } catch (const std::exception& error) {
    return Fail(aWhy,
                "listen for HTTP",
                aSettings.address + ":" + std::to_string(aSettings.port),
                error.what());
  }
}

} // namespace bulrush::net
