#ifndef BULRUSH_PLACEMENT_SYSTEMS_HPP
#define BULRUSH_PLACEMENT_SYSTEMS_HPP

/// Private header: declarations shared by the sources of the library.

#include "placement/placement.hpp"

namespace bulrush::placement {

/// The systems, in the order in which a tick runs them.
void SettleOrders(tables& aTables, steady_time aNow, outbox& aOutbox);
void CloseOrders(tables& aTables, steady_time aNow, outbox& aOutbox);
void StartPlan(tables& aTables, steady_time aNow, outbox& aOutbox);
void CoverModels(tables& aTables, steady_time aNow, outbox& aOutbox);
void CoverAdapters(tables& aTables, steady_time aNow, outbox& aOutbox);
void RemoveUndeclared(tables& aTables, steady_time aNow, outbox& aOutbox);
void AddReplicas(tables& aTables, steady_time aNow, outbox& aOutbox);
void SetRoles(tables& aTables, steady_time aNow, outbox& aOutbox);
void ProposeOrders(tables& aTables, steady_time aNow, outbox& aOutbox);
void SendOrders(tables& aTables, steady_time aNow, outbox& aOutbox);

// Memory accounting.

bool IsLoad(order_kind aKind);
bool IsUnload(order_kind aKind);
/// Neither done nor void.
bool IsUnresolved(const order_row& aOrder);
bool IsSilent(const tables& aTables,
              const engine_row& aEngine,
              steady_time aNow);
resident_id ResidentId(endpoint_id aEndpoint, const artifact& aArtifact);
/// Row of the index; nullptr for an endpoint without an announcement.
engine_view* FindEngineView(tables& aTables, endpoint_id aEndpoint);
const engine_view* FindEngineView(const tables& aTables, endpoint_id aEndpoint);
void BuildView(tables& aTables, steady_time aNow);
/// Whether a copy of a settled unload of aWhat may still reach the engine.
bool MayBeUnloadedLate(const tables& aTables,
                       endpoint_id aEndpoint,
                       const artifact& aArtifact);
/// Whether the artifact is declared in this version.
bool IsCurrent(const tables& aTables, const artifact& aArtifact);
/// Whether enough other copies of the resident, and of the adapters that would
/// be unloaded with it, remain.
bool MayUnload(const tables& aTables, const resident_row& aResident);
/// Position of a declared model or adapter, nullopt if it is not declared.
std::optional<std::size_t> PositionOf(const tables& aTables, model_id aModel);
std::optional<std::size_t> PositionOf(const tables& aTables,
                                      adapter_id aAdapter);
/// Memory of the engine that is not reserved, in bytes.
std::uint64_t FreeBytes(const engine_view& aEngine);
/// Reserved bytes of an engine with the given orders.
std::uint64_t ReservedBytes(const tables& aTables,
                            const engine_row& aEngine,
                            std::span<const order_id> aOrders);
/// Whether a copy of a load that still arrives may load the artifact again.
bool MayBeReloadedLate(const tables& aTables, const resident_row& aResident);
/// Bytes that unloading the resident would free: zero while a copy of its load
/// may still arrive.
std::uint64_t BytesFreed(const tables& aTables, const resident_row& aResident);

/// Adds one copy to the counts of its model or adapter, or removes it.
void CountCopy(tables& aTables,
               const engine_view& aEngine,
               const artifact& aArtifact,
               const copy_counts& aChange,
               bool aIsAdded);
/// Removes an artifact that is to be unloaded, and a model's adapters with it,
/// from the counts.
void CountUnload(tables& aTables,
                 engine_view& aEngine,
                 const artifact& aArtifact);
/// Bytes that a load of the artifact would add to the engine's reservation.
std::uint64_t ExtraBytes(const tables& aTables,
                         const engine_view& aEngine,
                         const artifact& aArtifact,
                         std::uint64_t aBytes);

// Ledger.

/// The id of the latest order that this leader has created.
order_id LastOrderId(const leadership& aLeader);
/// Whether this leader created the order since its election. Only then does it
/// know all copies that were sent.
bool IsFromThisLeadership(const leadership& aLeader, const order_row& aOrder);
/// Creates an order if the engine is idle and has the memory for it.
bool IntendOrder(tables& aTables,
                 engine_view& aEngine,
                 order_kind aKind,
                 const artifact& aArtifact,
                 std::uint64_t aBytes);
void IntendUnload(tables& aTables,
                  engine_view& aEngine,
                  const artifact& aArtifact);
order_kind LoadKind(const artifact& aArtifact);
/// Adds a call of this kind to the calls in progress.
void CountCall(pacing_state& aState, order_kind aKind);
/// Counts the unresolved calls into fleet_view::calls.
void IndexCalls(tables& aTables, steady_time aNow);
/// Whether the pacing rule allows one more order of this kind.
bool HasLoadSlot(const tables& aTables, order_kind aKind, steady_time aNow);

// Coverage.

/// Why a copy is requested, by priority; earlier reasons may evict more.
enum class copy_reason
{
  eMinimum, ///< fewer copies in the fleet than the minimum
  eDomain,  ///< no copy in a failure domain
  eReplica, ///< demand
};

/// A copy of a model or adapter that is to be loaded.
struct copy_request
{
  copy_reason reason = copy_reason::eMinimum;
  artifact target;
  std::uint64_t bytes = 0;             ///< of the artifact
  std::uint64_t bytesWithAdapters = 0; ///< with the adapters that will follow
  double score = 0;
  std::optional<std::size_t> domain; ///< any if not set
};

/// Orders the load on the engine with the most free memory, or the next step
/// to free memory for it. False: no engine can free enough.
bool Place(tables& aTables, const copy_request& aRequest, steady_time aNow);
copy_request RequestFor(const tables& aTables,
                        copy_reason aReason,
                        const model_row& aModel,
                        std::optional<std::size_t> aDomain,
                        steady_time aNow);

// Replicas.

/// The decayed rate of a demand row, in requests/s.
double RateAt(const demand_row& aDemand,
              std::chrono::nanoseconds aHalfLife,
              steady_time aNow);
demand_id DemandId(model_id aModel, domain_id aDomain);
/// Score of the aCopies-th copy of aModel in aDomain.
double ScoreOf(const tables& aTables,
               const model_row& aModel,
               domain_id aDomain,
               std::size_t aCopies,
               steady_time aNow);

} // namespace bulrush::placement

#endif
