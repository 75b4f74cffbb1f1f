#include "entry/endpoint_facts.hpp"

#include "entry/requests.hpp"

#include <algorithm>
#include <charconv>

namespace bulrush::entry {
namespace {

constexpr int kHexadecimal = 16;

// Requests/s of all hosts that a cold endpoint accepts; the cold-start gate
// divides it among the hosts.
double
ColdRate(const endpoint_row& aRow, const traffic_view& aView)
{
  for (const std::string& service : aRow.services) {
    const service_row* row =
      aView.fleet->declared.services.Find(IdOf<service_id>(service));
    if (row != nullptr) {
      return row->coldRequestsPerSecond;
    }
  }
  return 0;
}

} // namespace

// While the number of hosts is unknown, each assumes that there are many.
std::uint32_t
HostCount(const fleet_state& aFleet)
{
  constexpr std::uint32_t kAssumedHosts = 16;
  return aFleet.hosts == 0 ? kAssumedHosts : aFleet.hosts;
}

std::vector<routing::resident>
ResidentsOf(const endpoint_row& aRow)
{
  std::vector<routing::resident> residents;
  for (const resident& loaded : aRow.residents) {
    const std::uint64_t version = VersionOf(loaded.version);
    residents.push_back({ loaded.model, {}, version });
    for (const adapter_id& adapter : loaded.adapters) {
      residents.push_back({ loaded.model, adapter, version });
    }
  }
  for (const std::string& service : aRow.services) {
    residents.push_back({ ServiceId(service), {}, VersionOf("") });
  }
  return residents;
}

// The cold-start gate limits what a host sends to a cold endpoint. Of a warm
// one each host may use all slots.
routing::endpoint_facts
FactsOf(const endpoint_row& aRow,
        const traffic_view& aView,
        const front_end& aFront)
{
  const fleet_state& fleet = *aView.fleet;
  routing::endpoint_facts facts;
  facts.id = aRow.id;
  facts.incarnation = aRow.incarnation;
  facts.domain = aRow.domain;
  facts.address = aRow.address;
  facts.isDraining = aRow.isLeaving || fleet.drains.Find(aRow.id) != nullptr;
  facts.isDomainOut = IsOut(fleet, aRow.domain);
  facts.canResume = aRow.canResume;
  facts.reportsColdState = aFront.endpointsReportCold;
  facts.coldRequestRate = ColdRate(aRow, aView);
  facts.reportsCold = aRow.isCold;
  facts.slots = aRow.slots;
  facts.coldSlots = aRow.coldSlots;
  facts.allottedSlots = aRow.slots;
  facts.allottedIncarnation = aRow.incarnation;
  if (aFront.endpointsReportLoad) {
    facts.reportedInFlight = aRow.running + aRow.queued;
  }
  facts.reportedAt = aRow.lastSeen;
  return facts;
}

model_id
ServiceId(const std::string& aService)
{
  return IdOf<model_id>("service\n" + aService);
}

// Routing uses zero for "any version", so no version may hash to it.
std::uint64_t
VersionOf(const std::string& aVersion)
{
  return std::max<std::uint64_t>(1, StableHash(aVersion));
}

std::string
FormatId(std::uint64_t aValue)
{
  std::array<char, kHexadecimal> digits{};
  const auto end =
    std::to_chars(digits.begin(), digits.end(), aValue, kHexadecimal).ptr;
  return { digits.begin(), end };
}

} // namespace bulrush::entry
