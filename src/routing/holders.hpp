#ifndef BULRUSH_ROUTING_HOLDERS_HPP
#define BULRUSH_ROUTING_HOLDERS_HPP

/// Iteration over the endpoints that can serve a request's model.

#include "routing/parts.hpp"

#include <algorithm>
#include <span>

namespace bulrush::routing {

/// True if the model that is held has the requested version.
inline bool
HasVersion(const holder& aHolder, const request_facts& aFacts)
{
  return aFacts.version == 0 || aHolder.version == aFacts.version;
}

/// All endpoints that hold the requested model, in any version and state; empty
/// if none does. IndexHolders must have run since the last change of endpoints.
inline std::span<const holder>
FindHolders(const tables& aTables, const request_facts& aFacts)
{
  const auto found = aTables.holders.find({ aFacts.model, aFacts.adapter });
  return found == aTables.holders.end()
           ? std::span<const holder>{}
           : std::span<const holder>{ found->second };
}

/// True when aMatches holds for a serving endpoint that holds the requested
/// model version.
template<class predicate>
bool
AnyHolder(const tables& aTables,
          const request_facts& aFacts,
          predicate aMatches)
{
  const auto holders = FindHolders(aTables, aFacts);
  return std::any_of(holders.begin(), holders.end(), [&](const holder& aEach) {
    const endpoint_row& endpoint = aTables.endpoints.Rows()[aEach.position];
    return HasVersion(aEach, aFacts) && IsServing(endpoint) &&
           aMatches(endpoint);
  });
}

/// Calls aVisit for each serving endpoint that holds the requested model
/// version.
template<class visitor>
void
VisitHolders(const tables& aTables, const request_facts& aFacts, visitor aVisit)
{
  AnyHolder(aTables, aFacts, [&](const endpoint_row& aEndpoint) {
    aVisit(aEndpoint);
    return false;
  });
}

} // namespace bulrush::routing

#endif
