#ifndef BULRUSH_APPS_SWARM_TABLES_HPP
#define BULRUSH_APPS_SWARM_TABLES_HPP

/// Tables of bulrush-swarm, which stands in for many entry hosts towards one
/// control process, to measure what each of them costs it.

#include "wire/wire.hpp"

namespace bulrush::swarm {

/// A host that the program plays.
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
  std::chrono::milliseconds reportEvery{ 500 };
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
  std::uint64_t incarnation = 1; ///< of all hosts and their endpoints
};

struct swarm_outbox
{
  std::vector<std::pair<host_id, wire::host_report>> reports;
  wake_time wake;
};

/// Fills the host table.
void AddHosts(swarm_tables& aTables, steady_time aNow);

void RunSwarm(swarm_tables& aTables, steady_time aNow, swarm_outbox& aOutbox);

} // namespace bulrush::swarm

#endif
