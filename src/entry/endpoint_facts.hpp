#ifndef BULRUSH_ENTRY_ENDPOINT_FACTS_HPP
#define BULRUSH_ENTRY_ENDPOINT_FACTS_HPP

/// What the traffic thread's view says of endpoints, as routing wants it.

#include "entry/entry.hpp"
#include "entry/tables.hpp"

namespace bulrush::entry {

/// Entry hosts over which the fleet's allowances are divided.
std::uint32_t HostsOf(const fleet_state& aFleet);

std::vector<routing::resident> ResidentsOf(const endpoint_row& aRow);

routing::endpoint_facts FactsOf(const endpoint_row& aRow,
                                const traffic_view& aView,
                                const front_end& aFront);

} // namespace bulrush::entry

#endif
