#ifndef BULRUSH_RESIDENCY_RESIDENCY_HPP
#define BULRUSH_RESIDENCY_RESIDENCY_HPP

/// Public header of the residency library: decides by demand which engine holds
/// which models and adapters, for engines that accept conditional orders.
///
/// Each order carries the number of orders that the engine had accepted when
/// the decision was made. The engine executes it only if that number is
/// unchanged. So a late or repeated order cannot act on a state other than the
/// one it was decided for, and no record of orders is needed. Models on engines
/// without such a condition are placed by the placement library.

#include "core/core.hpp"

namespace bulrush::residency {

using artifact_demand_id = typed_id<struct artifact_demand_tag>;

/// A model, or one of its adapters.
struct artifact
{
  model_id model;
  adapter_id adapter; ///< zero for the model itself

  auto operator<=>(const artifact&) const = default;
};

artifact_demand_id ArtifactDemandIdOf(const artifact& aArtifact);

/// A declared model.
struct model_row
{
  model_id id;
  service_id pool; ///< its engines may hold the model
  std::uint64_t bytes = 0;
  /// Its last copy may make room for copies of models with more requests.
  bool mayYield = false;
};

/// A declared adapter of a declared model.
struct adapter_row
{
  adapter_id id;
  model_id model;
  std::uint64_t bytes = 0;
};

/// A model on an engine, with its loaded adapters.
struct held_model
{
  model_id model;
  std::vector<adapter_id> adapters;

  bool operator==(const held_model&) const = default;
};

enum class order_kind : std::uint8_t
{
  eLoadModel,
  eUnloadModel,
  eLoadAdapter,
  eUnloadAdapter,
};

/// The latest order to an engine, until its outcome is known.
struct open_order
{
  order_kind kind = order_kind::eLoadModel;
  struct artifact artifact;
  steady_time sentAt;      ///< or the time to send it
  bool isAccepted = false; ///< the engine executes it
  bool isSent = true;
};

/// An engine's announcement, sent periodically without a query.
struct announcement
{
  endpoint_id id;
  std::uint64_t incarnation = 0;
  domain_id domain;
  service_id pool;
  std::uint64_t memoryBytes = 0;
  std::uint32_t adapterCapacity = 0; ///< 0: no limit
  bool acceptsRequests = true;       ///< neither draining nor taken out
  std::vector<held_model> held;
  std::vector<model_id> inMemory; ///< cached in its machine's memory
  std::vector<model_id> onDisk;   ///< cached on its machine's disk
};

/// An engine's answer to a query of its state.
struct engine_state
{
  std::uint64_t incarnation = 0;
  std::uint64_t orderCount = 0; ///< orders accepted since its start
  bool isBusy = false;          ///< is loading or unloading a model
  std::vector<held_model> held; ///< including adapters being loaded
};

/// A model with the time at which its load was seen to be complete.
struct loaded_model
{
  model_id model;
  steady_time at;
};

struct engine_row
{
  endpoint_id id;
  announcement announced;
  bool isKnown = false; ///< held and orderCount match the engine
  std::uint64_t orderCount = 0;
  bool isBusy = false;
  std::vector<held_model> held;
  std::vector<loaded_model> loads; ///< latest load of each model
  std::optional<open_order> open;
  bool isQueried = false;
  steady_time nextQueryAt;              ///< no query earlier
  steady_time changedAt;                ///< when an order was last accepted
  std::optional<steady_time> publishAt; ///< when to publish `held` to hosts
};

/// Demand for a model or an adapter.
struct artifact_demand_row
{
  artifact_demand_id id;
  struct artifact artifact;
  double rate = 0;            ///< requests/s, moving average
  std::uint32_t requests = 0; ///< since the average was updated
  std::uint32_t waiting = 0;  ///< largest number that a host reported
  steady_time lastRequestAt;  ///< latest reported demand
};

struct settings
{
  double storeLoadsPerSecond = 1.0;
  std::chrono::milliseconds answerTimeout{ 1'000 }; ///< of an order or query
  std::chrono::milliseconds adapterLoadTime{ 12 };  ///< time to load an adapter
  /// Shortest time between queries of an engine; covers the lag of its answers.
  std::chrono::milliseconds queryInterval{ 250 };
  std::chrono::milliseconds loadTimeout{ 12'000 }; ///< of a model
  /// Longest time by which announcements lag behind accepted orders.
  std::chrono::milliseconds announcementLag{ 2'500 };
  std::chrono::milliseconds rateInterval{ 500 };   ///< of the moving average
  std::chrono::milliseconds expireAfter{ 30'000 }; ///< demand without requests
  double rateGain = 0.35;       ///< weight of the newest interval
  double maxRatePerCopy = 12.0; ///< requests/s above which a copy is added
  /// A copy is evicted only for a needed copy whose value is more than this
  /// many times the rate that each remaining copy would get.
  double evictionFactor = 2.0;
  /// Of models that may yield: value of the last copy, in units of the rate of
  /// the requests that then wait for a load.
  double lastCopyFactor = 2.0;
  /// Hosts are notified of an unload this long before the order is sent, so
  /// that no request reaches the engine after it.
  std::chrono::milliseconds unloadNotice{ 30 };
  /// The last copy of a model may be evicted after this time without requests.
  std::chrono::milliseconds idleAfter{ 6'000 };
  /// A copy is kept for at least this time after its load, since a load is
  /// expensive and the requests for it take a while to arrive.
  std::chrono::milliseconds minStay{ 4'000 };
  std::size_t maxConcurrentUnloads = 4; ///< of models, one for each engine
};

struct tables
{
  settings options;
  table<model_id, model_row> models;
  table<adapter_id, adapter_row> adapters;
  /// Declared before, and held by an engine when that ended.
  table<model_id, model_row> withdrawnModels;
  table<adapter_id, adapter_row> withdrawnAdapters;
  table<endpoint_id, engine_row> engines;
  table<artifact_demand_id, artifact_demand_row> demands;
  bool mayOrder = false;  ///< this process is leader and has the lease
  steady_time ordersFrom; ///< orders of previous leaders may arrive until then
  steady_time nextLoad;   ///< earliest load from the store, by its rate limit
  steady_time nextRateUpdate;
};

struct send_order
{
  endpoint_id endpoint;
  std::uint64_t incarnation = 0;
  order_kind kind = order_kind::eLoadModel;
  struct artifact artifact;
  std::uint64_t expectedOrders = 0;
};

struct query_engine
{
  endpoint_id endpoint;
};

struct outbox
{
  std::vector<send_order> orders;
  std::vector<query_engine> queries;
  std::vector<endpoint_id> changed; ///< engines whose models changed
  wake_time wake;
};

/// The outcome of an order as answered.
enum class order_answer : std::uint8_t
{
  eAccepted, ///< the engine executes it
  eNoChange, ///< no change was needed
  eConflict, ///< the state differs, or an order is in progress
  eRefused,  ///< another engine answered, or the order is invalid
  eNoAnswer, ///< no answer; it may be executed later
};

/// Replaces the declared models and adapters.
void OnManifest(tables& aTables,
                std::span<const model_row> aModels,
                std::span<const adapter_row> aAdapters,
                double aStoreLoadsPerSecond);

/// Handles an engine's announcement.
void OnAnnounced(tables& aTables,
                 const announcement& aAnnounced,
                 steady_time aNow);
/// Removes an engine.
void OnEngineRemoved(tables& aTables, endpoint_id aEngine);

/// Handles the answer to a query; nullopt if none came in time.
void HandleEngineState(tables& aTables,
                       endpoint_id aEngine,
                       const std::optional<engine_state>& aState,
                       steady_time aNow,
                       outbox& aOutbox);

/// Handles the answer to the engine's open order.
void HandleOrderAnswer(tables& aTables,
                       endpoint_id aEngine,
                       order_answer aAnswer,
                       steady_time aNow,
                       outbox& aOutbox);

/// Handles a host's demand report: aRequests for aArtifact arrived since its
/// last report, and aWaiting wait there because no engine holds aArtifact.
void OnDemand(tables& aTables,
              const artifact& aArtifact,
              std::uint32_t aRequests,
              std::uint32_t aWaiting,
              steady_time aNow);

/// This process may send orders from aFrom on, or may not any more.
void OnLeadership(tables& aTables, bool aMayOrder, steady_time aFrom);

/// One tick: runs every system in the order of kSystems.
void RunResidency(tables& aTables, steady_time aNow, outbox& aOutbox);

/// Models and adapters for which hosts may send requests to an engine: those it
/// holds, less one about to be unloaded.
std::vector<held_model> ServedModels(const engine_row& aEngine);

/// Memory in bytes that an engine's models and adapters use, by the sizes that
/// are or were declared. A model or adapter that this process has never seen
/// declared counts as the largest one that is.
std::uint64_t HeldBytes(const tables& aTables, const engine_row& aEngine);

} // namespace bulrush::residency

#endif
