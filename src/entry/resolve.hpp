#ifndef BULRUSH_ENTRY_RESOLVE_HPP
#define BULRUSH_ENTRY_RESOLVE_HPP

/// From what a caller asks for to what routing and admission need: key, route,
/// service, deadline and tokens, by the manifest in force.

#include "entry/admission.hpp"
#include "entry/entry.hpp"
#include "entry/tables.hpp"

namespace bulrush::entry {

/// What a call is resolved by.
struct resolve_context
{
  const traffic_view& view;
  const front_end& front;
  bool mayServeKeys = false; ///< this host may serve requests with a key now
  random_engine& random;     ///< of weighted routes
};

/// What the manifest says of a call.
struct resolved_call
{
  routing::request_facts facts;
  const workspace_row* workspace = nullptr; ///< none on open routes
  std::int64_t tokens = 0;
  kind_id kind;
  std::chrono::milliseconds target{ 0 }; ///< on time until then; 0: unknown
};

/// The workspace that a key works for; nullptr with the error.
const workspace_row* Authorise(const resolve_context& aIn,
                               const std::string& aKey,
                               caller_error& aError);

/// The error of a host that has lost touch with its control hosts.
caller_error NoLease();

/// False with the error for a call that is not let in. The id of the request
/// stays as it is.
bool Resolve(const resolve_context& aIn,
             const net::http_request& aRequest,
             const caller_call& aCall,
             resolved_call& aTo,
             caller_error& aError);

} // namespace bulrush::entry

#endif
