#ifndef BULRUSH_ENTRY_RESOLVE_HPP
#define BULRUSH_ENTRY_RESOLVE_HPP

/// Resolves a caller's request by the manifest in force into what routing and
/// admission need: workspace, service or model, deadline and tokens.

#include "entry/admission.hpp"
#include "entry/entry.hpp"
#include "entry/tables.hpp"
#include "fleet/target_spread.hpp"

namespace bulrush::entry {

/// Inputs of the resolution.
struct resolve_context
{
  const traffic_view& view;
  const front_end& front;
  /// Why this host serves no request with a key now; nullopt: it does.
  std::optional<caller_error> keyRefusal;
  random_engine& random; ///< for weighted targets
  /// Services that are scheduled by targets; nullptr: none.
  const service_set* servicesByTarget = nullptr;
};

/// A request resolved by the manifest.
struct resolved_call
{
  routing::request_facts facts;
  const workspace_row* workspace = nullptr; ///< nullptr on open routes
  std::int64_t tokens = 0;
  kind_id kind;
  std::chrono::milliseconds target{ 0 }; ///< target latency; 0: none
};

/// The workspace of a key; nullptr with the error.
const workspace_row* Authorise(const resolve_context& aContext,
                               const std::string& aKey,
                               caller_error& aError);

/// The error for a key that the manifest here does not have.
caller_error UnknownKey(const resolve_context& aContext);

/// The error of a host whose lease has lapsed.
caller_error NoLease();

/// The error of a host that may not know that a key was withdrawn.
caller_error KeysUnconfirmed(std::chrono::milliseconds aRetryAfter);

/// False with the error for a request that is refused. Leaves facts.id of
/// aResolved unchanged.
bool Resolve(const resolve_context& aContext,
             const net::http_request& aRequest,
             const caller_call& aCall,
             resolved_call& aResolved,
             caller_error& aError);

} // namespace bulrush::entry

#endif
