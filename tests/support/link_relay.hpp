#ifndef BULRUSH_TESTS_SUPPORT_LINK_RELAY_HPP
#define BULRUSH_TESTS_SUPPORT_LINK_RELAY_HPP

/// Carries the links between machines on loopback, and cuts and heals them as a
/// network does that drops packets.

#include "core/core.hpp"
#include "support/relay_table.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <filesystem>
#include <list>
#include <map>
#include <thread>

namespace bulrush::test {

/// How the ends of a connection act while a pair is cut.
enum class silent_ends
{
  eKeep,   ///< they hold what they send, for as long as the cut lasts
  eTimeOut ///< they give up after the times that links set in the kernel
};

class link_relay
{
public:
  /// The relay's table is written to aTable.
  link_relay(std::filesystem::path aTable, std::uint16_t aLinkPort);
  ~link_relay();
  link_relay(const link_relay&) = delete;
  link_relay& operator=(const link_relay&) = delete;

  /// Environment of a program at aIp, besides the preloaded library.
  std::vector<std::string> EnvironmentOf(const std::string& aIp) const;
  /// Carries the links to a machine from now on.
  void AddTarget(const std::string& aIp);
  /// Call it before a target is killed.
  void HandleKill(const std::string& aIp);

  /// Where the relay takes the connections to a target, at its address.
  std::uint16_t Port() const { return mTable->relayPort; }

  /// Drops packets from aFrom to aTo; answers take the way back, so that no
  /// connection works in full.
  void Cut(const std::string& aFrom, const std::string& aTo);
  void Heal(const std::string& aFrom, const std::string& aTo);

  std::atomic<silent_ends> silentEnds = silent_ends::eTimeOut;

private:
  struct connection;
  using connection_ref = std::shared_ptr<connection>;

  void Accept(asio::ip::tcp::acceptor& aAcceptor);
  void Start(asio::ip::tcp::socket aClient);
  void Read(const connection_ref& aRef, std::size_t aEnd);
  void Pump(const connection_ref& aRef, std::size_t aEnd);
  bool IsBroken(const connection& aConnection) const;
  steady_time HealedAt(const connection& aConnection) const;
  bool MustHold(const connection& aConnection, std::size_t aEnd) const;
  void WaitForTick();
  void Tick(const connection_ref& aRef, steady_time aNow);
  void TimeOutEnds(connection& aConnection, steady_time aNow) const;
  void CloseOrphan(connection& aConnection, steady_time aNow) const;
  void OpenSilentPort();
  void RunInThread(const std::function<void()>& aWork);

  std::filesystem::path mTableFile;
  relay_table* mTable = nullptr;
  asio::io_context mContext;
  asio::steady_timer mTimer;
  std::list<asio::ip::tcp::acceptor> mAcceptors;
  asio::ip::tcp::acceptor mSilent;
  std::list<asio::ip::tcp::socket> mWaiting; ///< fill the silent port's queue
  std::list<connection_ref> mConnections;
  std::map<std::pair<std::uint8_t, std::uint8_t>, steady_time> mHealedAt;
  std::thread mThread;
};

} // namespace bulrush::test

#endif
