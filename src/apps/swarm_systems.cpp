#include "apps/swarm_tables.hpp"

namespace bulrush::swarm {
namespace {

constexpr std::uint64_t kGigabyte = 1'000'000'000;

// A report row of a typical endpoint: a few resident models and its load.
endpoint_row
MakeEndpoint(const swarm_tables& aTables,
             const swarm_host& aHost,
             std::size_t aNumber,
             steady_time aNow)
{
  endpoint_row row;
  row.name = aHost.name + "-endpoint-" + std::to_string(aNumber);
  row.id = IdOf<endpoint_id>(row.name);
  row.address = "127.0.0.1:9000";
  row.incarnation = aTables.incarnation;
  row.sequence = aHost.sequence;
  row.domain = IdOf<domain_id>(aTables.settings.domain);
  row.memoryBytes = 640 * kGigabyte;
  row.usedBytes = 500 * kGigabyte;
  row.slots = 64;
  row.coldSlots = 4;
  row.running = static_cast<std::uint32_t>(aHost.sequence % 64);
  for (std::size_t i = 0; i < aTables.settings.residentsPerEndpoint; ++i) {
    const std::string model = "model-" + std::to_string(aNumber + i);
    row.residents.push_back({ IdOf<model_id>(model), "1", {} });
  }
  row.lastSeen = aNow;
  return row;
}

void
RunIngest(swarm_tables& aTables, steady_time, swarm_outbox&)
{
  for (const swarm_input& input : aTables.inbox) {
    swarm_host* host = aTables.hosts.Find(input.host);
    host->bytesReceived += input.bytes;
    const auto* update = std::get_if<wire::host_update>(&input.message.body);
    if (update == nullptr) {
      continue;
    }
    host->revision = std::max(host->revision, update->revision);
    host->leases += update->lease.count() > 0 ? 1 : 0;
  }
  aTables.inbox.clear();
}

void
RunReports(swarm_tables& aTables, steady_time aNow, swarm_outbox& aOutbox)
{
  for (swarm_host& host : aTables.hosts) {
    if (host.nextReport <= aNow) {
      ++host.sequence;
      wire::host_report report;
      report.domain = aTables.settings.domain;
      report.renewal = ++host.renewal;
      report.revision = host.revision;
      report.httpAddress = "127.0.0.1:8080";
      for (std::size_t i = 0; i < aTables.settings.endpointsPerHost; ++i) {
        report.endpoints.push_back(MakeEndpoint(aTables, host, i, aNow));
      }
      aOutbox.reports.emplace_back(host.id, std::move(report));
      host.nextReport += aTables.settings.reportInterval;
    }
    aOutbox.wake.NoLaterThan(host.nextReport);
  }
}

constexpr std::array<named_system<swarm_tables, swarm_outbox>, 2> kSystems{
  { { "ingest", RunIngest }, { "reports", RunReports } }
};

} // namespace

// The first reports are spread over one interval, as those of real hosts are.
void
AddHosts(swarm_tables& aTables, steady_time aNow)
{
  const auto count = static_cast<std::int64_t>(aTables.settings.hosts);
  for (std::int64_t i = 0; i < count; ++i) {
    swarm_host host;
    host.name = "swarm-" + std::to_string(i);
    host.id = IdOf<host_id>(host.name);
    host.nextReport = aNow + aTables.settings.reportInterval * i / count;
    aTables.hosts.Insert(host);
  }
}

void
RunSwarm(swarm_tables& aTables, steady_time aNow, swarm_outbox& aOutbox)
{
  RunTick(kSystems, aTables, aNow, aOutbox);
}

} // namespace bulrush::swarm
