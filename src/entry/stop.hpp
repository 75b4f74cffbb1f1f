#ifndef BULRUSH_ENTRY_STOP_HPP
#define BULRUSH_ENTRY_STOP_HPP

/// The points in time of a planned stop.

#include "core/core.hpp"

namespace bulrush::entry {

struct stop_plan
{
  steady_time refuseAt; ///< requests that arrive later are refused
  /// Requests that wait for an endpoint, tokens or a claim then are refused, in
  /// time to be served by another host.
  steady_time placeBy;
  steady_time finishBy; ///< every open request ends
  steady_time exitBy;   ///< the process exits, whatever is left
};

/// @param aSignalledAt time of the stop signal
/// @param aDelay       requests are taken for this long
/// @param aGrace       the process is killed then
stop_plan PlanStop(steady_time aSignalledAt,
                   std::chrono::milliseconds aDelay,
                   std::chrono::milliseconds aGrace);

} // namespace bulrush::entry

#endif
