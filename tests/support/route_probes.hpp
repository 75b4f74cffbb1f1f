#ifndef BULRUSH_TESTS_SUPPORT_ROUTE_PROBES_HPP
#define BULRUSH_TESTS_SUPPORT_ROUTE_PROBES_HPP

/// Shows by which configuration hosts handle requests: a route that each
/// configuration moves to the next of some services, servers of all, and
/// requests that are sent to every host all the time.

#include "net/net.hpp"

#include <asio/steady_timer.hpp>

#include <mutex>
#include <thread>

namespace bulrush::test {

/// The configuration aNumber, in the platform's protocol. Its route leads to
/// ProbedService(aNumber).
std::string ProbedConfiguration(int aNumber);
std::string ProbedService(int aNumber, int aServices = 2);
/// The same with more services in turn, which tell more configurations apart.
std::string ProbedConfigurationAmong(int aServices, int aNumber);

/// A request, and the service that ran it; empty: refused or lost.
struct route_probe
{
  std::size_t host = 0;
  steady_time sentAt;
  std::string service;
};

class route_probes
{
public:
  /// Servers announce themselves to control processes at aControls, in each of
  /// aDomains; requests go to aHosts.
  route_probes(std::vector<std::string> aControls,
               std::vector<std::string> aHosts,
               const std::vector<std::string>& aDomains,
               int aServices = 2);
  ~route_probes();
  route_probes(const route_probes&) = delete;
  route_probes& operator=(const route_probes&) = delete;

  /// Replaces the addresses of the control processes.
  void SetControls(std::vector<std::string> aControls);
  /// Requests that have been answered, in the order of their ends.
  std::vector<route_probe> Answered() const;

private:
  class server;

  void Probe();
  void Send(std::size_t aHost);

  asio::io_context mContext;
  std::vector<std::string> mControls;
  std::vector<std::string> mHosts;
  std::unique_ptr<net::http_client> mClient;
  std::vector<std::unique_ptr<server>> mServers;
  asio::steady_timer mTimer;
  std::uint64_t mLastProbe = 0;
  mutable std::mutex mMutex;
  std::vector<route_probe> mAnswered;
  std::thread mThread;
};

} // namespace bulrush::test

#endif
