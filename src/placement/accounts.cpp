// Memory accounting: an upper bound on the memory use of each engine.

#include "placement/systems.hpp"

#include <algorithm>

namespace bulrush::placement {

bool
IsLoad(order_kind aKind)
{
  return aKind == order_kind::eLoadModel || aKind == order_kind::eLoadAdapter;
}

bool
IsUnload(order_kind aKind)
{
  return aKind == order_kind::eUnloadModel ||
         aKind == order_kind::eUnloadAdapter;
}

bool
IsUnresolved(const order_row& aOrder)
{
  return aOrder.state != order_state::eDone &&
         aOrder.state != order_state::eVoid;
}

bool
IsSilent(const tables& aTables, const engine_row& aEngine, steady_time aNow)
{
  return !aEngine.hasReported ||
         aNow - aEngine.lastReport > aTables.options.silenceTimeout;
}

// A hash of endpoint and artifact, so that reports find their rows by id.
resident_id
ResidentId(endpoint_id aEndpoint, const artifact& aArtifact)
{
  std::uint64_t mixed = 0;
  for (const std::uint64_t part : { aEndpoint.value,
                                    aArtifact.model.value,
                                    aArtifact.adapter.value,
                                    aArtifact.version }) {
    mixed = (mixed ^ part) * 0x9E3779B97F4A7C15ULL;
    mixed ^= mixed >> 29U;
  }
  return resident_id{ mixed == 0 ? 1 : mixed };
}

std::optional<std::size_t>
PositionOf(const tables& aTables, model_id aModel)
{
  const model_row* row = aTables.models.Find(aModel);
  if (row == nullptr) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(row - aTables.models.Rows().data());
}

std::optional<std::size_t>
PositionOf(const tables& aTables, adapter_id aAdapter)
{
  const adapter_row* row = aTables.adapters.Find(aAdapter);
  if (row == nullptr) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(row - aTables.adapters.Rows().data());
}

namespace {

/// Reported bytes of the artifact on this engine; zero if not resident.
std::uint64_t
ResidentBytes(const tables& aTables,
              endpoint_id aEndpoint,
              const artifact& aArtifact)
{
  const resident_row* resident =
    aTables.residents.Find(ResidentId(aEndpoint, aArtifact));
  return resident == nullptr ? 0 : resident->bytes;
}

/// Bytes that the orders may need on top of the reported residents: loads that
/// may still arrive, unloads that are not confirmed. An artifact counts once.
std::uint64_t
PendingBytes(const tables& aTables, std::span<const order_row* const> aOrders)
{
  std::uint64_t pending = 0;
  for (std::size_t i = 0; i < aOrders.size(); ++i) {
    const order_row& order = *aOrders[i];
    std::uint64_t counted =
      ResidentBytes(aTables, order.endpoint, order.target);
    for (std::size_t j = 0; j < i; ++j) {
      if (aOrders[j]->target == order.target) {
        counted = std::max(counted, aOrders[j]->bytes);
      }
    }
    if (order.bytes > counted) {
      pending += order.bytes - counted;
    }
  }
  return pending;
}

std::uint64_t
ReportedBytes(const tables& aTables, const engine_row& aEngine)
{
  std::uint64_t sum = 0;
  for (const resident_id id : aEngine.residents) {
    const resident_row* resident = aTables.residents.Find(id);
    sum += resident == nullptr ? 0 : resident->bytes;
  }
  return std::max(sum, aEngine.memoryUsed);
}

} // namespace

std::uint64_t
ReservedBytes(const tables& aTables,
              const engine_row& aEngine,
              std::span<const order_id> aOrders)
{
  std::vector<const order_row*> pending;
  for (const order_id id : aOrders) {
    const order_row* order = aTables.orders.Find(id);
    if (order != nullptr && (IsLoad(order->kind) || IsUnresolved(*order))) {
      pending.push_back(order);
    }
  }
  return ReportedBytes(aTables, aEngine) + PendingBytes(aTables, pending);
}

std::uint64_t
FreeBytes(const engine_view& aEngine)
{
  return aEngine.memoryBytes -
         std::min(aEngine.memoryBytes, aEngine.reservedBytes);
}

bool
MayBeReloadedLate(const tables& aTables, const resident_row& aResident)
{
  const engine_view* engine = FindEngineView(aTables, aResident.endpoint);
  return engine != nullptr &&
         std::ranges::any_of(engine->orders, [&](order_id aId) {
           const order_row* order = aTables.orders.Find(aId);
           return order != nullptr && IsLoad(order->kind) &&
                  order->target == aResident.content;
         });
}

std::uint64_t
BytesFreed(const tables& aTables, const resident_row& aResident)
{
  return MayBeReloadedLate(aTables, aResident) ? 0 : aResident.bytes;
}

std::uint64_t
ReservedBytes(const tables& aTables, endpoint_id aEndpoint)
{
  const engine_row* engine = aTables.engines.Find(aEndpoint);
  if (engine == nullptr) {
    return 0;
  }
  std::vector<order_id> orders;
  for (const order_row& order : aTables.orders) {
    if (order.endpoint == aEndpoint) {
      orders.push_back(order.id);
    }
  }
  return ReservedBytes(aTables, *engine, orders);
}

std::uint64_t
ExtraBytes(const tables& aTables,
           const engine_view& aEngine,
           const artifact& aArtifact,
           std::uint64_t aBytes)
{
  std::uint64_t counted = ResidentBytes(aTables, aEngine.endpoint, aArtifact);
  for (const order_id id : aEngine.orders) {
    const order_row* order = aTables.orders.Find(id);
    if (order != nullptr && IsLoad(order->kind) && order->target == aArtifact) {
      counted = std::max(counted, order->bytes);
    }
  }
  return aBytes - std::min(aBytes, counted);
}

} // namespace bulrush::placement
