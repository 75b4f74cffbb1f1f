#include "entry/endpoint_facts.hpp"

#include "entry/requests.hpp"

#include <algorithm>
#include <charconv>

namespace bulrush::entry {
namespace {

constexpr int kHexadecimal = 16;

// What a cold endpoint bears of all hosts; the gate divides it.
double
ColdRate(const endpoint_row& aRow, const traffic_view& aView)
{
  for (const std::string& service : aRow.services) {
    const service_row* row =
      aView.fleet->declared.services.Find(IdOf<service_id>(service));
    if (row != nullptr) {
      return row->coldPerSecond;
    }
  }
  return 0;
}

} // namespace

// Until the hosts are counted, each takes itself for one of many.
std::uint32_t
HostsOf(const fleet_state& aFleet)
{
  constexpr std::uint32_t kUncounted = 16;
  return aFleet.hosts == 0 ? kUncounted : aFleet.hosts;
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

// While an endpoint is cold the gate bounds what a host sends it; warm, a host
// may use all its slots.
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
  facts.saysWhenCold = aFront.endpointsSayWhenCold;
  facts.coldRate = ColdRate(aRow, aView);
  facts.reportsCold = aRow.isCold;
  facts.slots = aRow.slots;
  facts.coldSlots = aRow.coldSlots;
  facts.allottedSlots = aRow.slots;
  facts.allottedIncarnation = aRow.incarnation;
  facts.reportedInFlight = aRow.running + aRow.queued;
  facts.reportedAt = aRow.lastSeen;
  return facts;
}

model_id
ServiceId(const std::string& aService)
{
  return IdOf<model_id>("service\n" + aService);
}

// Zero means "any version" to routing, so a version never has that hash.
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
