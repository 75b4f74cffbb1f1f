#ifndef BULRUSH_APPS_SWARM_TABLES_HPP
#define BULRUSH_APPS_SWARM_TABLES_HPP

/// Tables of bulrush-swarm, which simulates many entry hosts of one control
/// process to measure the load that each of them causes.

#include "wire/wire.hpp"

namespace bulrush::swarm {

/// A simulated host.
struct swarm_host
{
  host_id id;
  std::string name;
  std::uint64_t revision = 0;
  std::uint64_t renewal = 0;
  std::uint64_t sequence = 0;
  steady_time nextReport{};
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
  std::uint64_t leases = 0;
};

struct swarm_settings
{
  std::string domain = "domain-a";
  std::size_t hosts = 10;
  std::size_t endpointsPerHost = 3;
  std::size_t residentsPerEndpoint = 4;
  std::chrono::milliseconds reportInterval{ 500 };
};

struct swarm_input
{
  host_id host;
  std::size_t bytes = 0;
  wire::message message;
};

struct swarm_tables
{
  swarm_settings settings;
  table<host_id, swarm_host> hosts;
  std::vector<swarm_input> inbox;
  std::uint64_t incarnation = 1; ///< shared by all hosts and their endpoints
};

struct swarm_outbox
{
  std::vector<std::pair<host_id, wire::host_report>> reports;
  wake_time wake;
};

/// Adds the configured number of hosts.
void AddHosts(swarm_tables& aTables, steady_time aNow);

void RunSwarm(swarm_tables& aTables, steady_time aNow, swarm_outbox& aOutbox);

} // namespace bulrush::swarm

#endif
