#ifndef BULRUSH_PLACEMENT_SYSTEMS_HPP
#define BULRUSH_PLACEMENT_SYSTEMS_HPP

/// What the sources of the placement library share. Not a public header.

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

// Accounts.

bool IsLoad(order_kind aKind);
bool IsUnload(order_kind aKind);
/// Neither done nor void yet.
bool IsUnresolved(const order_row& aOrder);
bool IsSilent(const tables& aTables,
              const engine_row& aEngine,
              steady_time aNow);
resident_id ResidentId(endpoint_id aEndpoint, const artifact& aWhat);
/// Row of the index; nullptr for an endpoint that has not announced itself.
engine_view* ViewOf(tables& aTables, endpoint_id aEndpoint);
const engine_view* ViewOf(const tables& aTables, endpoint_id aEndpoint);
/// Builds the index over the tables.
void BuildView(tables& aTables, steady_time aNow);
/// Whether a copy of an unload of aWhat may still reach the engine.
bool MayVanish(const tables& aTables,
               endpoint_id aEndpoint,
               const artifact& aWhat);
/// Whether the resident is in its declared version.
bool IsCurrent(const tables& aTables, const artifact& aWhat);
/// Whether unloading the resident leaves another safe copy of all it holds.
bool MayUnload(const tables& aTables, const resident_row& aResident);
/// Position of a declared model or adapter, nullopt if it is not declared.
std::optional<std::size_t> PositionOf(const tables& aTables, model_id aModel);
std::optional<std::size_t> PositionOf(const tables& aTables,
                                      adapter_id aAdapter);
/// Free bytes of an engine under its account.
std::uint64_t FreeBytes(const engine_view& aEngine);
/// The account of an engine with the orders that it has.
std::uint64_t ReservedBytes(const tables& aTables,
                            const engine_row& aEngine,
                            std::span<const order_id> aOrders);
/// Whether a copy of a load may make the artifact resident again.
bool MayReturn(const tables& aTables, const resident_row& aResident);
/// Bytes that unloading the resident would free: none while a copy of its load
/// may still arrive.
std::uint64_t BytesFreed(const tables& aTables, const resident_row& aResident);

/// Counts one copy in or out of the index.
void CountCopy(tables& aTables,
               const engine_view& aEngine,
               const artifact& aWhat,
               const copy_counts& aChange,
               bool aIsAdded);
/// Takes an artifact that is about to be unloaded out of the index.
void CountUnload(tables& aTables, engine_view& aEngine, const artifact& aWhat);
/// Bytes by which the reservation would grow with one more load.
std::uint64_t ExtraBytes(const tables& aTables,
                         const engine_view& aEngine,
                         const artifact& aWhat,
                         std::uint64_t aBytes);

// Ledger.

/// Adds an intent, if the engine is idle and the account has room for it.
bool IntendOrder(tables& aTables,
                 engine_view& aEngine,
                 order_kind aKind,
                 const artifact& aWhat,
                 std::uint64_t aBytes);
void IntendUnload(tables& aTables, engine_view& aEngine, const artifact& aWhat);
order_kind LoadKind(const artifact& aWhat);
/// Adds a load or an adapter call to the calls in progress.
void CountCall(pacing_state& aState, order_kind aKind);
/// Counts the unresolved calls for the index.
void ViewCalls(tables& aTables, steady_time aNow);
/// Whether the pacing rule leaves room for one more order of this kind.
bool HasLoadSlot(const tables& aTables, order_kind aKind, steady_time aNow);

// Coverage.

/// Why a copy is wanted; the earlier reason may displace more.
enum class need_class
{
  eMinimum, ///< fewer copies in the fleet than declared
  eDomain,  ///< none in a failure domain
  eReplica, ///< demand
};

/// A model or adapter that is to be loaded somewhere.
struct need
{
  need_class reason = need_class::eMinimum;
  artifact what;
  std::uint64_t bytes = 0;     ///< of the artifact
  std::uint64_t roomBytes = 0; ///< with the adapters that will come beside it
  double score = 0;
  std::optional<std::size_t> domain; ///< anywhere without
};

/// Loads the artifact on the engine with most room, or takes the next step to
/// make room for it. False: no engine can make room.
bool Place(tables& aTables, const need& aNeed, steady_time aNow);
need NeedOf(const tables& aTables,
            need_class aReason,
            const model_row& aModel,
            std::optional<std::size_t> aDomain,
            steady_time aNow);

// Replicas.

/// The aged rate of a demand row.
double RateAt(const demand_row& aDemand,
              std::chrono::nanoseconds aHalfLife,
              steady_time aNow);
demand_id DemandId(model_id aModel, domain_id aDomain);
/// Worth of the copy that a resident is.
double ScoreOf(const tables& aTables,
               const model_row& aModel,
               domain_id aDomain,
               std::size_t aCopies,
               steady_time aNow);

} // namespace bulrush::placement

#endif
