#ifndef BULRUSH_ENTRY_ENDPOINT_FACTS_HPP
#define BULRUSH_ENTRY_ENDPOINT_FACTS_HPP

/// Converts endpoints of the traffic thread's view into the types of routing.

#include "entry/entry.hpp"
#include "entry/tables.hpp"

namespace bulrush::entry {

/// Number of entry hosts among which fleet-wide limits are divided.
std::uint32_t HostCount(const fleet_state& aFleet);

std::vector<routing::resident> ResidentsOf(const endpoint_row& aRow);

routing::endpoint_facts FactsOf(const endpoint_row& aRow,
                                const traffic_view& aView,
                                const front_end& aFront);

} // namespace bulrush::entry

#endif
