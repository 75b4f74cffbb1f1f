/// Token pools of limits, held by the leader. The rates library makes the
/// decisions.

#include "control/tables.hpp"
#include "observe/observe.hpp"

namespace bulrush::control {
namespace {

constexpr log_component kLog{ "control" };

/// Interval between the lines about a pool that hosts draw from.
constexpr std::chrono::seconds kLogInterval{ 1 };
/// All hosts that are reachable apply a new host count within this time.
constexpr std::chrono::seconds kBaselineHandOverTimeout{ 3 };
/// Interval at which idle pools are expired.
constexpr std::chrono::seconds kExpiryInterval{ 1 };

// With more hosts a rate may lose its baseline to the pool. The pool takes it
// over only when the count has not changed for a while, after hosts have given
// it up. A smaller count takes effect at once.
bool
HasNewHostCount(pool_state& aState, std::uint32_t aHosts, steady_time aNow)
{
  if (aState.newHosts != aHosts) {
    aState.newHosts = aHosts;
    aState.newHostsSince = aNow;
  }
  const bool isFirst = aState.manifestRevision == 0;
  return aState.hosts != aHosts &&
         (isFirst || aHosts < aState.hosts ||
          aNow >= aState.newHostsSince + kBaselineHandOverTimeout);
}

void
SetRates(control_tables& aTables, steady_time aNow)
{
  pool_state& state = aTables.pools;
  const bool hasNewHosts = HasNewHostCount(state, aTables.fleet.hosts, aNow);
  if (!hasNewHosts &&
      state.manifestRevision == aTables.fleet.manifestRevision) {
    return;
  }
  if (hasNewHosts) {
    state.hosts = aTables.fleet.hosts;
  }
  state.manifestRevision = aTables.fleet.manifestRevision;
  for (const workspace_row& workspace : aTables.fleet.declared.workspaces) {
    if (workspace.tokensPerSecond == 0) {
      continue; // not limited
    }
    const rates::split_rate split = rates::SplitRate(aTables.leases.tolerance,
                                                     workspace.tokensPerSecond,
                                                     workspace.burstTokens,
                                                     state.hosts);
    rates::SetPool(
      state.pools, admission::RateOf(workspace.id), split.pool, aNow);
  }
}

// Only the current incarnation of an endpoint gets a pool: an older one may
// have had another limit.
void
SetColdRate(control_tables& aTables,
            const admission::resource& aResource,
            steady_time aNow)
{
  const known_endpoint* known =
    aTables.endpoints.Find(endpoint_id{ aResource.subject });
  if (known == nullptr || known->row.incarnation != aResource.incarnation) {
    return;
  }
  for (const std::string& service : known->row.services) {
    const service_row* row =
      aTables.fleet.declared.services.Find(IdOf<service_id>(service));
    if (row != nullptr && row->coldRequestsPerSecond > 0) {
      rates::SetPool(aTables.pools.pools,
                     aResource,
                     rates::PoolOfColdEndpoint(row->coldRequestsPerSecond),
                     aNow);
    }
  }
}

// One line a second for each workspace that hosts requested tokens for since
// the last one.
void
LogPools(control_tables& aTables, steady_time aNow)
{
  pool_state& state = aTables.pools;
  if (aNow < state.nextLog) {
    return;
  }
  state.nextLog = aNow + kLogInterval;
  const auto tokens = [](std::int64_t aUnits) {
    return std::to_string(aUnits / admission::kUnitsPerToken);
  };
  for (rates::pool_row& pool : state.pools.pools) {
    const workspace_row* workspace = aTables.fleet.declared.workspaces.Find(
      workspace_id{ pool.resource.subject });
    if (workspace == nullptr || pool.requests == 0) {
      continue;
    }
    LogEvent(kLog,
             log_level::eInfo,
             "pool",
             { { "workspace", workspace->name },
               { "requests", std::to_string(pool.requests) },
               { "requested", tokens(pool.requestedUnits) },
               { "granted", tokens(pool.grantedUnits) },
               { "level", tokens(pool.bucket.level) },
               { "rate", tokens(pool.bucket.share.rate) },
               { "hosts", std::to_string(aTables.fleet.hosts) } });
    pool.requests = 0;
    pool.requestedUnits = 0;
    pool.grantedUnits = 0;
  }
}

} // namespace

// A previous leader grants nothing once its lease has ended, and the pools of a
// new leader start empty and refill from then on. So the two together grant no
// more than the limit.
void
RunPools(control_tables& aTables, steady_time aNow, control_outbox& /*aOutbox*/)
{
  if (!aTables.log.isLeader(aNow)) {
    return;
  }
  pool_state& state = aTables.pools;
  if (state.term != aTables.log.term()) {
    state = {};
    state.term = aTables.log.term();
    LogEvent(kLog,
             log_level::eInfo,
             "leads",
             { { "term", std::to_string(state.term) },
               { "revision", std::to_string(aTables.fleet.revision) } });
  }
  SetRates(aTables, aNow);
}

void
HandleQuotaRequest(control_tables& aTables,
                   const received_message& aInput,
                   const rates::quota_request& aRequest,
                   steady_time aNow,
                   control_outbox& aOutbox)
{
  if (!aTables.log.isLeader(aNow)) {
    return;
  }
  RunPools(aTables, aNow, aOutbox);
  pool_state& state = aTables.pools;
  for (const rates::quota_request_row& row : aRequest.rows) {
    if (row.resource.kind == admission::resource_kind::eColdRate) {
      SetColdRate(aTables, row.resource, aNow);
    }
  }
  aOutbox.messages.push_back(
    { aInput.peer,
      "",
      rates::HandleQuotaRequest(state.pools, aRequest, aNow) });
  LogPools(aTables, aNow);
  if (aNow >= state.nextExpiry) {
    rates::EvictIdlePools(state.pools, aNow);
    state.nextExpiry = aNow + kExpiryInterval;
  }
}

} // namespace bulrush::control
