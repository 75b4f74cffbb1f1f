#ifndef BULRUSH_ROUTING_CHECK_HPP
#define BULRUSH_ROUTING_CHECK_HPP

/// Check of one endpoint for one request.

#include "routing/parts.hpp"

namespace bulrush::routing {

/// Candidates of a better tier exclude those of worse ones.
enum class tier : std::uint8_t
{
  eLocalDomain,
  eOtherDomain,
  eSuspect, ///< did not answer recently, or not completely
  eTriedBefore,
  eNone
};

/// Result of the check of an endpoint for a request.
struct endpoint_check
{
  tier rank = tier::eNone;
  bool isUsable = false;   ///< serves the model, perhaps without a free slot
  bool isHeldBack = false; ///< has a slot that is left to other requests
};

/// Whether the endpoint may be sent the request now, and how preferable it is.
/// Renews its budget of requests while it is cold.
endpoint_check CheckEndpoint(const tables& aTables,
                             endpoint_row& aEndpoint,
                             const request_row& aRequest,
                             steady_time aNow);

/// True unless the endpoint would have to continue a stream and cannot.
bool CanResumeStream(const endpoint_row& aEndpoint,
                     const request_row& aRequest);

} // namespace bulrush::routing

#endif
