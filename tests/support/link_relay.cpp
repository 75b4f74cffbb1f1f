#include "support/link_relay.hpp"

#include "support/processes.hpp"

#include <asio/post.hpp>
#include <asio/write.hpp>
#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <future>
#include <stdexcept>

namespace bulrush::test {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{ 10 };
/// The kernel sends unacknowledged bytes again after this time, then after
/// twice that, and so on.
constexpr milliseconds kFirstRetransmission{ 200 };
/// The times that links set for the kernel (src/net/link.cpp).
constexpr milliseconds kUnacknowledgedTimeout{ 1'500 };
constexpr milliseconds kKeepAliveInterval{ 1'000 };
/// An end that hears nothing gives up at the second unanswered probe.
constexpr milliseconds kSilenceTimeout = 2 * kKeepAliveInterval;
/// A sender's window: an end that sends more has to wait.
constexpr std::size_t kMaxHeldBytes = 2'097'152;
constexpr std::size_t kReadBytes = 65'536;
/// More than the queue of the silent port takes.
constexpr int kWaitingConnections = 4;

steady_time
Now()
{
  return std::chrono::steady_clock::now();
}

std::uint8_t
MachineOf(const asio::ip::address& aAddress)
{
  return aAddress.to_v4().to_bytes().back();
}

std::uint8_t
MachineOf(const std::string& aIp)
{
  return MachineOf(asio::ip::make_address(aIp));
}

// The first retransmission of bytes sent at aSince that is not lost.
steady_time
ArrivalOf(steady_time aSince, steady_time aHealedAt)
{
  milliseconds wait = kFirstRetransmission;
  steady_time at = aSince + wait;
  while (at < aHealedAt) {
    wait *= 2;
    at += wait;
  }
  return at;
}

// The peer sees a reset, as of a socket that is gone.
void
Reset(tcp::socket& aSocket)
{
  std::error_code ignored; // the peer may have closed it
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

} // namespace

/// Two sockets of the relay, which stand for those of the two machines.
struct link_relay::connection
{
  struct end
  {
    explicit end(tcp::socket aSocket)
      : socket(std::move(aSocket))
    {
    }

    tcp::socket socket;
    std::uint8_t machine = 0;
    bool isOpen = true;
    bool isPaused = false;
    std::string read = std::string(kReadBytes, '\0');
    std::string held;    ///< sent by this end
    std::string written; ///< on their way to the other end
    /// Since when bytes of this end are sent again and again.
    std::optional<steady_time> unacknowledgedSince;
    steady_time lastHeard; ///< when anything arrived here
  };

  connection(tcp::socket aClient, tcp::socket aServer)
    : ends{ end(std::move(aClient)), end(std::move(aServer)) }
  {
  }

  std::array<end, 2> ends;
};

link_relay::link_relay(std::filesystem::path aTable, std::uint16_t aLinkPort)
  : mTableFile(std::move(aTable))
  , mTimer(mContext)
  , mSilent(mContext)
{
  const int file =
    ::open(mTableFile.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  void* mapped = MAP_FAILED;
  if (file >= 0 && ::ftruncate(file, sizeof(relay_table)) == 0) {
    mapped = ::mmap(nullptr,
                    sizeof(relay_table),
                    PROT_READ | PROT_WRITE,
                    MAP_SHARED,
                    file,
                    0);
  }
  if (mapped == MAP_FAILED) {
    throw std::runtime_error("no relay table at " + mTableFile.string());
  }
  ::close(file);
  mTable = new (mapped) relay_table;
  mTable->linkPort = aLinkPort;
  mTable->relayPort = FreePort();
  OpenSilentPort();
  WaitForTick();
  mThread = std::thread([this] { mContext.run(); });
}

link_relay::~link_relay()
{
  mContext.stop();
  mThread.join();
  ::munmap(mTable, sizeof(relay_table));
}

// The kernel drops attempts to connect while a listener's queue is full.
void
link_relay::OpenSilentPort()
{
  mSilent.open(tcp::v4());
  mSilent.bind({ asio::ip::address_v4::loopback(), 0 });
  mSilent.listen(0);
  mTable->silentPort = mSilent.local_endpoint().port();
  for (int i = 0; i < kWaitingConnections; ++i) {
    mWaiting.emplace_back(mContext).async_connect(
      mSilent.local_endpoint(), [](const std::error_code&) {});
  }
}

void
link_relay::RunInThread(const std::function<void()>& aWork)
{
  std::promise<void> done;
  asio::post(mContext, [&] {
    aWork();
    done.set_value();
  });
  done.get_future().wait();
}

std::vector<std::string>
link_relay::EnvironmentOf(const std::string& aIp) const
{
  return { std::string(kRelayTableVariable) + "=" + mTableFile.string(),
           std::string(kRelaySourceVariable) + "=" + aIp };
}

void
link_relay::AddTarget(const std::string& aIp)
{
  RunInThread([&] {
    const tcp::endpoint address(asio::ip::make_address(aIp), mTable->relayPort);
    for (const tcp::acceptor& each : mAcceptors) {
      if (each.local_endpoint() == address) {
        return;
      }
    }
    Accept(mAcceptors.emplace_back(mContext, address));
  });
}

void
link_relay::HandleKill(const std::string& aIp)
{
  mTable->isListening[MachineOf(aIp)] = false;
}

void
link_relay::Cut(const std::string& aFrom, const std::string& aTo)
{
  RunInThread([&] { mTable->IsCut(MachineOf(aFrom), MachineOf(aTo)) = true; });
}

void
link_relay::Heal(const std::string& aFrom, const std::string& aTo)
{
  RunInThread([&] {
    const auto pair = std::make_pair(MachineOf(aFrom), MachineOf(aTo));
    mTable->IsCut(pair.first, pair.second) = false;
    mHealedAt[pair] = Now();
  });
}

void
link_relay::Accept(tcp::acceptor& aAcceptor)
{
  aAcceptor.async_accept(
    [this, &aAcceptor](const std::error_code& aError, tcp::socket aClient) {
      if (!aError) {
        Start(std::move(aClient));
      }
      Accept(aAcceptor);
    });
}

void
link_relay::Start(tcp::socket aClient)
{
  std::error_code error;
  const tcp::endpoint source = aClient.remote_endpoint(error);
  const tcp::endpoint target = aClient.local_endpoint(error);
  tcp::socket server(mContext);
  if (!error) {
    server.connect({ target.address(), mTable->linkPort }, error);
  }
  if (error) {
    Reset(aClient);
    return;
  }
  auto ref =
    std::make_shared<connection>(std::move(aClient), std::move(server));
  ref->ends[0].machine = MachineOf(source.address());
  ref->ends[1].machine = MachineOf(target.address());
  mConnections.push_back(ref);
  for (std::size_t i = 0; i < ref->ends.size(); ++i) {
    ref->ends[i].socket.set_option(tcp::no_delay(true), error);
    ref->ends[i].lastHeard = Now();
    Read(ref, i);
  }
}

void
link_relay::Read(const connection_ref& aRef, std::size_t aEnd)
{
  connection::end& end = aRef->ends[aEnd];
  end.socket.async_read_some(
    asio::buffer(end.read),
    [this, aRef, aEnd](const std::error_code& aError, std::size_t aBytes) {
      connection::end& from = aRef->ends[aEnd];
      if (!from.isOpen) {
        return;
      }
      if (aError) {
        if (IsBroken(*aRef)) {
          from.held.clear(); // what an end that closes has sent is lost
        }
        Reset(from.socket);
        from.isOpen = false;
        return;
      }
      from.held.append(from.read, 0, aBytes);
      if (IsBroken(*aRef) && !from.unacknowledgedSince) {
        from.unacknowledgedSince = Now();
      }
      Pump(aRef, aEnd);
      from.isPaused = from.held.size() >= kMaxHeldBytes;
      if (!from.isPaused) {
        Read(aRef, aEnd);
      }
    });
}

void
link_relay::Pump(const connection_ref& aRef, std::size_t aEnd)
{
  connection::end& from = aRef->ends[aEnd];
  connection::end& to = aRef->ends[1 - aEnd];
  if (from.held.empty() || !from.written.empty() || !to.isOpen ||
      MustHold(*aRef, aEnd)) {
    return;
  }
  from.written.swap(from.held);
  if (from.isPaused) {
    from.isPaused = false;
    Read(aRef, aEnd);
  }
  asio::async_write(
    to.socket,
    asio::buffer(from.written),
    [this, aRef, aEnd](const std::error_code& aError, std::size_t) {
      aRef->ends[aEnd].written.clear();
      if (!aError) {
        aRef->ends[1 - aEnd].lastHeard = Now();
        Pump(aRef, aEnd);
      }
    });
}

bool
link_relay::IsBroken(const connection& aConnection) const
{
  const std::uint8_t client = aConnection.ends[0].machine;
  const std::uint8_t server = aConnection.ends[1].machine;
  return mTable->IsCut(client, server) || mTable->IsCut(server, client);
}

steady_time
link_relay::HealedAt(const connection& aConnection) const
{
  const std::uint8_t client = aConnection.ends[0].machine;
  const std::uint8_t server = aConnection.ends[1].machine;
  steady_time latest{};
  for (const auto& pair :
       { std::make_pair(client, server), std::make_pair(server, client) }) {
    const auto found = mHealedAt.find(pair);
    latest = std::max(latest,
                      found == mHealedAt.end() ? steady_time{} : found->second);
  }
  return latest;
}

// Without acknowledgements an end sends what its window takes until it has to
// send the first bytes again.
bool
link_relay::MustHold(const connection& aConnection, std::size_t aEnd) const
{
  const connection::end& from = aConnection.ends[aEnd];
  if (!from.unacknowledgedSince) {
    return false;
  }
  if (mTable->IsCut(from.machine, aConnection.ends[1 - aEnd].machine)) {
    return true;
  }
  return IsBroken(aConnection)
           ? Now() > *from.unacknowledgedSince + kFirstRetransmission
           : Now() <
               ArrivalOf(*from.unacknowledgedSince, HealedAt(aConnection));
}

void
link_relay::WaitForTick()
{
  mTimer.expires_after(kTickInterval);
  mTimer.async_wait([this](const std::error_code&) {
    const steady_time now = Now();
    for (const connection_ref& each : mConnections) {
      Tick(each, now);
    }
    mConnections.remove_if([](const connection_ref& aRef) {
      return !aRef->ends[0].isOpen && !aRef->ends[1].isOpen;
    });
    WaitForTick();
  });
}

void
link_relay::Tick(const connection_ref& aRef, steady_time aNow)
{
  const bool isBroken = IsBroken(*aRef);
  for (std::size_t i = 0; i < aRef->ends.size(); ++i) {
    connection::end& end = aRef->ends[i];
    if (!isBroken) {
      end.lastHeard = aNow;
      if (end.unacknowledgedSince && !MustHold(*aRef, i)) {
        end.unacknowledgedSince.reset();
      }
    }
    Pump(aRef, i);
  }
  if (silentEnds == silent_ends::eTimeOut) {
    TimeOutEnds(*aRef, aNow);
  }
  if (!isBroken) {
    CloseOrphan(*aRef, aNow);
  }
}

void
link_relay::TimeOutEnds(connection& aConnection, steady_time aNow) const
{
  for (connection::end& end : aConnection.ends) {
    const bool isUnacknowledged =
      end.unacknowledgedSince &&
      aNow >= *end.unacknowledgedSince + kUnacknowledgedTimeout;
    if (end.isOpen &&
        (isUnacknowledged || aNow >= end.lastHeard + kSilenceTimeout)) {
      end.held.clear();
      Reset(end.socket);
      end.isOpen = false;
    }
  }
}

// An end whose peer is gone learns it by the answer to what it sends, or to a
// probe of the kernel.
void
link_relay::CloseOrphan(connection& aConnection, steady_time aNow) const
{
  for (std::size_t i = 0; i < aConnection.ends.size(); ++i) {
    connection::end& left = aConnection.ends[i];
    const connection::end& gone = aConnection.ends[1 - i];
    const bool isDelivered = gone.held.empty() && gone.written.empty();
    const bool isAnswered = !left.held.empty() && !MustHold(aConnection, i);
    if (left.isOpen && !gone.isOpen && isDelivered &&
        (isAnswered || aNow >= HealedAt(aConnection) + kKeepAliveInterval)) {
      Reset(left.socket);
      left.isOpen = false;
    }
  }
}

} // namespace bulrush::test
