#ifndef BULRUSH_ENTRY_GONE_TARGETS_HPP
#define BULRUSH_ENTRY_GONE_TARGETS_HPP

/// Models, adapters and services that a newer manifest no longer declares.

#include "fleet/fleet.hpp"
#include "routing/routing.hpp"

#include <unordered_set>

namespace bulrush::entry {

/// What was declared when a request was accepted and has gone since. A model
/// that was never declared here is not listed: this host's manifest may lag
/// behind.
class gone_targets
{
public:
  /// Adds what aOld declares and aNew does not.
  void Update(const manifest& aOld, const manifest& aNew);
  /// Forgets all; for a host without open requests.
  void Clear();
  bool IsGone(const routing::request_facts& aFacts) const;

private:
  std::unordered_set<model_id, id_hash> mModels; ///< and services
  std::unordered_set<adapter_id, id_hash> mAdapters;
};

} // namespace bulrush::entry

#endif
