#ifndef BULRUSH_ENTRY_DEMAND_HPP
#define BULRUSH_ENTRY_DEMAND_HPP

/// Demand for models on one traffic thread, as it is reported to the leader.

#include "routing/routing.hpp"
#include "wire/wire.hpp"

namespace bulrush::entry {

/// Passes the demand to the control thread.
using demand_hook = std::function<void(std::vector<wire::model_demand>)>;

class demand_reporter
{
public:
  explicit demand_reporter(demand_hook aOnDemand);

  /// Counts one request for a model.
  void Count(const routing::model_key& aModel);

  /// Reports the demand if due; sets aWake to the next time to call.
  void Report(routing::tables& aEngine, steady_time aNow, wake_time& aWake);

private:
  /// Demand for one model since the last report.
  struct model_count
  {
    std::uint32_t requests = 0;
    std::uint32_t waiting = 0;     ///< now, since no endpoint holds the model
    steady_time waitingReportedAt; ///< when they were last reported
  };

  bool CountWaiting(routing::tables& aEngine, steady_time aNow);

  demand_hook mOnDemand;
  std::unordered_map<routing::model_key, model_count, routing::model_key_hash>
    mModels;
  steady_time mNextReport;
};

} // namespace bulrush::entry

#endif
