/// Pools of limits in bulrush-control, held by the leader. Decisions are those
/// of the rates library.

#include "control/tables.hpp"
#include "observe/observe.hpp"

namespace bulrush::control {
namespace {

constexpr log_part kLog{ "control" };

/// Endpoints and their cold limits are looked up this often at least.
constexpr std::chrono::seconds kForgetEvery{ 1 };

void
SetRates(control_tables& aTables, steady_time aNow)
{
  pool_state& state = aTables.pools;
  if (state.manifestRevision == aTables.fleet.manifestRevision) {
    return;
  }
  state.manifestRevision = aTables.fleet.manifestRevision;
  for (const workspace_row& workspace : aTables.fleet.declared.workspaces) {
    if (workspace.tokensPerSecond == 0) {
      continue; // there is no limit to hold
    }
    const rates::dealt_rate dealt = rates::DealRate(aTables.leases.tolerance,
                                                    workspace.tokensPerSecond,
                                                    workspace.burstTokens);
    rates::SetPool(
      state.pools, admission::RateOf(workspace.id), dealt.pool, aNow);
  }
}

// Only the incarnation that is known to be there gets a pool: what an older one
// bore says nothing of it.
void
SetColdRate(control_tables& aTables,
            const admission::resource& aWhat,
            steady_time aNow)
{
  const known_endpoint* known =
    aTables.endpoints.Find(endpoint_id{ aWhat.subject });
  if (known == nullptr || known->row.incarnation != aWhat.incarnation) {
    return;
  }
  for (const std::string& service : known->row.services) {
    const service_row* row =
      aTables.fleet.declared.services.Find(IdOf<service_id>(service));
    if (row != nullptr && row->coldPerSecond > 0) {
      rates::SetPool(aTables.pools.pools,
                     aWhat,
                     rates::PoolOfColdEndpoint(row->coldPerSecond),
                     aNow);
    }
  }
}

} // namespace

// A former leader gives nothing once its lease is over, and the pools of a new
// one start empty. They fill from the moment it leads.
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
TakeDraw(control_tables& aTables,
         const received& aInput,
         const rates::draw& aDraw,
         steady_time aNow,
         control_outbox& aOutbox)
{
  if (!aTables.log.isLeader(aNow)) {
    return;
  }
  RunPools(aTables, aNow, aOutbox);
  pool_state& state = aTables.pools;
  for (const rates::draw_row& row : aDraw.rows) {
    if (row.what.kind == admission::resource_kind::eColdRate) {
      SetColdRate(aTables, row.what, aNow);
    }
  }
  aOutbox.messages.push_back(
    { aInput.peer, "", rates::Answer(state.pools, aDraw, aNow) });
  if (aNow >= state.nextForget) {
    rates::ForgetIdle(state.pools, aNow);
    state.nextForget = aNow + kForgetEvery;
  }
}

} // namespace bulrush::control
