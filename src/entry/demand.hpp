#ifndef BULRUSH_ENTRY_DEMAND_HPP
#define BULRUSH_ENTRY_DEMAND_HPP

/// What callers of one traffic thread ask for, as the leader is told of it.

#include "routing/routing.hpp"
#include "wire/wire.hpp"

namespace bulrush::entry {

/// Tells the control thread what callers ask for.
using demand_hook = std::function<void(std::vector<wire::wanted_model>)>;

class demand_teller
{
public:
  explicit demand_teller(demand_hook aOnDemand);

  void Note(const routing::model_key& aWanted);

  /// Tells what is due; aWake is when to come back.
  void Tell(routing::tables& aEngine, steady_time aNow, wake_time& aWake);

private:
  /// What callers ask for since it was told last.
  struct wanted
  {
    std::uint32_t requests = 0;
    std::uint32_t waiting = 0; ///< now, as nothing holds it
    steady_time toldWaiting;   ///< when the leader was told of them last
  };

  bool CountWaiting(routing::tables& aEngine, steady_time aNow);

  demand_hook mOnDemand;
  std::unordered_map<routing::model_key, wanted, routing::model_key_hash>
    mWanted;
  steady_time mNext;
};

} // namespace bulrush::entry

#endif
