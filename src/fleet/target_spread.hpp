#ifndef BULRUSH_FLEET_TARGET_SPREAD_HPP
#define BULRUSH_FLEET_TARGET_SPREAD_HPP

/// Services whose requests are scheduled by their targets.

#include "fleet/fleet.hpp"

#include <unordered_set>

namespace bulrush {

using service_set = std::unordered_set<service_id, id_hash>;

/// Services of which the longest target of a route is at least aSpread times
/// the shortest. aSpread 0: none.
service_set ServicesByTarget(const manifest& aManifest, double aSpread);

} // namespace bulrush

#endif
