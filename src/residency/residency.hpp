#ifndef BULRUSH_RESIDENCY_RESIDENCY_HPP
#define BULRUSH_RESIDENCY_RESIDENCY_HPP

/// Public header of the residency library: which engine holds which model and
/// adapter, by what callers ask for, on engines that take conditional orders.
///
/// Each order names the number of orders that the engine had accepted when the
/// decision was made. The engine carries it out only while that number holds,
/// so an order that is late, lost or repeated can never act upon another state
/// than the one it was decided for, and no ledger of them is needed. Engines
/// without such a condition are placed by the placement library.

#include "core/core.hpp"

namespace bulrush::residency {

using want_id = typed_id<struct want_tag>;

/// A model, or one of its adapters.
struct artifact
{
  model_id model;
  adapter_id adapter; ///< zero for the model itself

  auto operator<=>(const artifact&) const = default;
};

want_id WantOf(const artifact& aWhat);

/// A declared model.
struct model_row
{
  model_id id;
  service_id pool; ///< whose engines may hold it
  std::uint64_t bytes = 0;
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

/// The order that an engine was sent last, until its outcome is known.
struct open_order
{
  order_kind kind = order_kind::eLoadModel;
  artifact what;
  steady_time sentAt;      ///< or is to be sent then
  bool isAccepted = false; ///< it is being carried out
  bool isSent = true;
};

/// What an engine tells unasked, with its announcements.
struct announcement
{
  endpoint_id id;
  std::uint64_t incarnation = 0;
  domain_id domain;
  service_id pool;
  std::uint64_t memoryBytes = 0;
  std::uint32_t adapterPlaces = 0; ///< 0: no limit
  bool takesWork = true;           ///< neither leaving nor taken out
  std::vector<held_model> held;
  std::vector<model_id> inMemory; ///< of its machine, ready to be loaded
  std::vector<model_id> onDisk;
};

/// What an engine answers when it is asked for its state.
struct engine_state
{
  std::uint64_t incarnation = 0;
  std::uint64_t orderCount = 0; ///< orders accepted since its start
  bool isBusy = false;          ///< loads or unloads a model
  std::vector<held_model> held; ///< adapters on their way among them
};

/// When an engine was found to have loaded a model.
struct loaded_model
{
  model_id model;
  steady_time at;
};

struct engine_row
{
  endpoint_id id;
  announcement told;
  bool isKnown = false; ///< held and orderCount are those of the engine
  std::uint64_t orderCount = 0;
  bool isBusy = false;
  std::vector<held_model> held;
  std::vector<loaded_model> loads; ///< of models, latest ones
  std::optional<open_order> open;
  bool isAsked = false;
  steady_time askFrom;                  ///< not to be asked earlier
  steady_time changedAt;                ///< when an order was last accepted
  std::optional<steady_time> publishAt; ///< `held` changed; hosts hear then
};

/// What callers ask for.
struct want_row
{
  want_id id;
  artifact what;
  double rate = 0;            ///< requests/s, moving average
  std::uint32_t requests = 0; ///< since the average was updated
  std::uint32_t waiting = 0;  ///< at the hosts that reported last
  steady_time askedAt;        ///< last request
};

struct settings
{
  double storeLoadsPerSecond = 1.0;
  std::chrono::milliseconds answerWithin{ 1'000 }; ///< of an order or question
  std::chrono::milliseconds adapterTime{ 12 };     ///< an adapter takes to load
  std::chrono::milliseconds askAgain{ 250 }; ///< engines' answers lag by this
  std::chrono::milliseconds loadWithin{ 12'000 }; ///< then the engine is asked
  std::chrono::milliseconds announcementLag{ 2'500 }; ///< oldest in use
  std::chrono::milliseconds rateInterval{ 500 };      ///< of the moving average
  std::chrono::milliseconds forgetAfter{ 30'000 };    ///< a want nobody renews
  double rateGain = 0.35;      ///< weight of the newest interval
  double copyRate = 12.0;      ///< requests/s above which a copy is added
  double evictionFactor = 2.0; ///< a copy is worth so many times its victim
  /// Hosts hear that a model goes so long before its engine is ordered to drop
  /// it, so that no request meets the order.
  std::chrono::milliseconds newsTime{ 30 };
  /// A model that nobody asked for in this time may lose its last copy.
  std::chrono::milliseconds idleAfter{ 6'000 };
  /// A copy stays so long after its load: what it was loaded for takes a while
  /// to arrive, and a load is dear.
  std::chrono::milliseconds leastStay{ 4'000 };
  std::size_t unloadsAtOnce = 4; ///< engines that make room at the same time
};

struct tables
{
  settings options;
  table<model_id, model_row> models;
  table<adapter_id, adapter_row> adapters;
  table<endpoint_id, engine_row> engines;
  table<want_id, want_row> wants;
  bool mayOrder = false;  ///< this process leads and holds the lease
  steady_time ordersFrom; ///< earlier orders of others may still arrive
  steady_time nextLoad;   ///< of a model, for the store's pace
  steady_time nextRates;
};

struct send_order
{
  endpoint_id endpoint;
  std::uint64_t incarnation = 0;
  order_kind kind = order_kind::eLoadModel;
  artifact what;
  std::uint64_t expectedOrders = 0;
};

struct ask_engine
{
  endpoint_id endpoint;
};

struct outbox
{
  std::vector<send_order> orders;
  std::vector<ask_engine> asks;
  std::vector<endpoint_id> changed; ///< engines whose models changed
  wake_time wake;
};

/// How an order was answered.
enum class order_answer : std::uint8_t
{
  eAccepted, ///< it is being carried out
  eHeld,     ///< nothing was to be done
  eConflict, ///< the state was another one, or an order is in progress
  eRefused,  ///< another engine is there, or the order is not understood
  eNone,     ///< no answer; it may be carried out later
};

/// Replaces the declared models and adapters.
void OnManifest(tables& aTables,
                std::span<const model_row> aModels,
                std::span<const adapter_row> aAdapters,
                double aStoreLoadsPerSecond);

/// Takes what an engine announced; engines that are gone are removed.
void OnAnnounced(tables& aTables,
                 const announcement& aAnnounced,
                 steady_time aNow);
void OnGone(tables& aTables, endpoint_id aEngine);

/// The answer to ask_engine; nullopt when none came.
void OnState(tables& aTables,
             endpoint_id aEngine,
             const std::optional<engine_state>& aState,
             steady_time aNow,
             outbox& aOutbox);

/// The answer to the engine's open order.
void OnAnswer(tables& aTables,
              endpoint_id aEngine,
              order_answer aAnswer,
              steady_time aNow,
              outbox& aOutbox);

/// aRequests came for aWhat at one host since it reported last, and aWaiting
/// wait there because no engine holds it.
void OnDemand(tables& aTables,
              const artifact& aWhat,
              std::uint32_t aRequests,
              std::uint32_t aWaiting,
              steady_time aNow);

/// This process may order from aFrom on, or no more.
void OnLeadership(tables& aTables, bool aMayOrder, steady_time aFrom);

/// One tick: every system in the order that residency.cpp writes down.
void RunResidency(tables& aTables, steady_time aNow, outbox& aOutbox);

/// What hosts may send an engine requests for: what it holds and is not about
/// to drop.
std::vector<held_model> Serving(const engine_row& aEngine);

/// Bytes that an engine holds, by the declared sizes.
std::uint64_t HeldBytes(const tables& aTables, const engine_row& aEngine);

} // namespace bulrush::residency

#endif
