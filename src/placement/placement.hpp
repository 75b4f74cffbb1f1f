#ifndef BULRUSH_PLACEMENT_PLACEMENT_HPP
#define BULRUSH_PLACEMENT_PLACEMENT_HPP

/// Public header of the placement library: which engine holds which model and
/// adapter, the load and unload orders, and the memory reserved for them.
///
/// One control replica leads. Its tick calls RunPlacement and sends the intents
/// of the outbox: commands go to the replicated log, orders to engines. Every
/// replica applies the committed commands, so that a new leader knows every
/// order that may have been sent.
///
/// Requirements on an endpoint:
/// - loads are idempotent: loading a resident artifact changes nothing;
/// - its incarnation grows with each start, its report sequence with each
/// report;
/// - unloading a model unloads that model's adapters;
/// - if it is declared to check fencing, it refuses an order whose fencing
/// number
///   is older than the newest it has seen, or that names another incarnation.

#include "core/core.hpp"

namespace bulrush::placement {

using resident_id = typed_id<struct resident_tag>;
using demand_id = typed_id<struct demand_tag>;

/// A model, or one of its adapters, in one version.
struct artifact
{
  model_id model;
  adapter_id adapter; ///< zero for the model itself
  std::uint64_t version = 0;

  auto operator<=>(const artifact&) const = default;
};

enum class order_kind
{
  eLoadModel,
  eUnloadModel,
  eLoadAdapter,
  eUnloadAdapter,
  eSetRole,
};

/// Intended: not in the log yet. Committed: in the log. Sent: this leader has
/// sent at least one copy. Done and void (not executed): settled by the
/// engine's report; the row stays until no copy of the order can arrive any
/// more.
enum class order_state
{
  eIntended,
  eCommitted,
  eSent,
  eDone,
  eVoid,
};

enum class resident_state
{
  eLoading,
  eReady,
  eUnloading,
};

/// An engine as its announcement and its latest report describe it.
struct engine_row
{
  endpoint_id id;
  domain_id domain;
  std::uint64_t incarnation = 0;
  std::uint64_t memoryBytes = 0;
  bool checksFencing = false;
  bool isDraining = false;
  bool isTakenOut = false;
  std::uint32_t role = 0;         ///< as reported
  std::uint32_t declaredRole = 0; ///< as declared

  bool hasReported = false; ///< to this leader
  std::uint64_t reportSequence = 0;
  std::uint64_t memoryUsed = 0; ///< bytes, as reported
  order_id lastOrder;           ///< the last order that it applied or voided
  order_state lastOutcome = order_state::eVoid;
  steady_time lastReport;
  steady_time reportingSince; ///< start of reports without a long gap
  steady_time backoffUntil;   ///< no new order earlier, after a refusal
  std::vector<resident_id> residents;
};

/// An artifact that an engine reported.
struct resident_row
{
  resident_id id;
  endpoint_id endpoint;
  artifact content;
  std::uint64_t bytes = 0;
  resident_state state = resident_state::eReady;
  steady_time since; ///< first seen by this leader
};

/// An order to an engine. The first block is replicated, the second belongs to
/// the leader that sends it.
struct order_row
{
  order_id id; ///< term in the upper 32 bits, number in the lower
  endpoint_id endpoint;
  std::uint64_t incarnation = 0;
  std::uint64_t fencingNumber = 0; ///< grows with each order
  order_kind kind = order_kind::eSetRole;
  artifact target;
  std::uint64_t bytes = 0; ///< memory that the artifact takes or took
  std::uint32_t role = 0;
  std::uint64_t reportSequence = 0; ///< of the report used for the decision
  order_state state = order_state::eIntended;

  std::uint32_t unansweredCopies = 0;   ///< copies without an answer
  std::uint64_t visibleIncarnation = 0; ///< first report that includes the
  std::uint64_t visibleSequence = 0;    ///< effects of all answered copies
  std::uint32_t attempts = 0;
  bool isAccepted = false; ///< the engine is executing the only copy
  steady_time nextSend;
  steady_time lastSend;
  steady_time proposedAt;  ///< of the command that awaits its commit
  bool isProposed = false; ///< a command for it awaits its commit
};

/// Replicated: the latest report of an endpoint that a decision used. A new
/// leader rejects older reports.
struct ledger_row
{
  endpoint_id id;
  std::uint64_t incarnation = 0;
  std::uint64_t reportSequence = 0;
  order_id lastOrder;
};

/// A declared model.
struct model_row
{
  model_id id;
  std::uint64_t version = 0;
  std::uint64_t bytes = 0;
  std::chrono::milliseconds deadline{ 1000 };
  std::size_t minimumCopies = 1; ///< in the fleet
  double copyRate = 0;           ///< capacity of a copy, requests/s; 0: unknown
};

/// A declared adapter of a declared model.
struct adapter_row
{
  adapter_id id;
  model_id model;
  std::uint64_t version = 0;
  std::uint64_t bytes = 0;
};

/// Request rate for a model from one failure domain, decaying exponentially.
struct demand_row
{
  demand_id id;
  model_id model;
  domain_id domain;
  double rate = 0; ///< requests/s at `updated`
  steady_time updated;
};

/// A failure domain that operators have taken out of service.
struct domain_row
{
  domain_id id;
};

/// An endpoint announces its engine.
struct announcement
{
  endpoint_id endpoint;
  domain_id domain;
  std::uint64_t incarnation = 0;
  std::uint64_t memoryBytes = 0;
  bool checksFencing = false;
};

struct reported_resident
{
  artifact content;
  std::uint64_t bytes = 0;
  resident_state state = resident_state::eReady;
};

/// A consistent snapshot of an engine's state.
struct report
{
  endpoint_id endpoint;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  order_id lastOrder;
  order_state lastOutcome = order_state::eVoid; ///< eDone or eVoid
  std::uint64_t memoryUsed = 0;
  std::uint32_t role = 0;
  std::vector<reported_resident> residents;
};

/// Log command: the order may be sent once this is committed.
struct commit_order
{
  order_row order;
};

/// Log command: the engine's report shows the outcome of the order.
struct settle_order
{
  order_id id;
  endpoint_id endpoint;
  order_state outcome = order_state::eVoid; ///< eDone or eVoid
  std::uint64_t incarnation = 0;            ///< of the deciding report
  std::uint64_t reportSequence = 0;
  bool isClosed = false;      ///< no copy of it can still arrive
  bool closesEarlier = false; ///< the engine refuses every earlier order
};

/// Log command: no copy of a settled order can still arrive.
struct close_order
{
  order_id id;
  endpoint_id endpoint;
};

/// Sends one copy of a committed order on a separate connection.
struct send_order
{
  order_row order;
};

/// Output of RunPlacement. The caller empties it after each tick.
struct outbox
{
  std::vector<commit_order> commits;
  std::vector<settle_order> settlements;
  std::vector<close_order> closures;
  std::vector<send_order> sends;
  wake_time wake;
};

/// Input of the pacing rule: calls in progress.
struct pacing_state
{
  std::size_t loads = 0;        ///< model loads in progress
  std::size_t adapterCalls = 0; ///< adapter loads in progress
  steady_time lastLoad;         ///< when the last load was sent
  steady_time startedAt;        ///< when this leader started to send
};

/// The earliest time at which an order of this kind may be sent; nullopt: only
/// after another one has finished.
using pacing_rule = std::function<
  std::optional<steady_time>(const pacing_state&, order_kind, steady_time)>;

/// Score of the aCopies-th copy of a model in a failure domain; higher is
/// better. The demand row may be null.
using placement_score = std::function<double(const model_row&,
                                             const demand_row*,
                                             std::size_t aCopies,
                                             steady_time)>;

/// Limits loads from the weight store to aLoadsPerSecond and aLoadsAtOnce, and
/// concurrent adapter loads to aAdapterCalls.
pacing_rule StorePacing(double aLoadsPerSecond,
                        std::size_t aLoadsAtOnce,
                        std::size_t aAdapterCalls);

/// Request rate per copy and GiB, weighted by 1 / deadline.
placement_score DemandScore(std::chrono::nanoseconds aHalfLife);

/// Baseline for comparisons: recently used models first, one copy each.
placement_score LeastRecentlyUsedScore();

/// Settings, with their defaults.
struct settings
{
  std::chrono::milliseconds silenceTimeout{ 5000 }; ///< without reports
  std::chrono::milliseconds retryInterval{ 1000 }; ///< doubles with each resend
  std::chrono::milliseconds maxRetryInterval{ 30000 };
  std::chrono::milliseconds proposalRetryInterval{ 2000 };
  std::chrono::milliseconds minPlanInterval{ 100 };  ///< when something changed
  std::chrono::milliseconds maxPlanInterval{ 1000 }; ///< when nothing changed
  std::chrono::milliseconds initialPlanDelay{ 3000 }; ///< after an election
  std::chrono::milliseconds failureBackoff{ 10000 };
  /// A load on a silent endpoint counts as in progress for this long.
  std::chrono::milliseconds silentLoadTimeout{ 30000 };
  /// Upper bound on the delivery of an order copy to an engine that ignores
  /// fencing numbers, counted while the engine reports. max(): unbounded.
  std::chrono::milliseconds copyLifetime{ std::chrono::hours{ 1 } };
  std::chrono::milliseconds minimumResidence{ 60000 };
  std::chrono::milliseconds reclaimTimeout{ 60000 }; ///< of a reclaim_row
  std::chrono::milliseconds demandHalfLife{ 60000 };
  double evictionFactor = 2.0;    ///< min score ratio, new copy to victim
  double targetUtilization = 0.8; ///< of copyRate; above it, a copy is added
};

/// Copies of a model or adapter on usable engines. Those with an unresolved
/// unload don't count; "stable" copies can't be removed by a late unload
/// either.
struct copy_counts
{
  std::size_t ready = 0;         ///< ready, any version, stable
  std::size_t readyCurrent = 0;  ///< ready, declared version, stable
  std::size_t stableCurrent = 0; ///< ready or loading, declared version, stable
  std::size_t current = 0;       ///< ready or loading, declared version
};

/// Row of an engine in fleet_view.
struct engine_view
{
  endpoint_id endpoint;
  std::size_t domain = 0; ///< position in `domains`, if usable
  std::uint64_t memoryBytes = 0;
  std::uint64_t reservedBytes = 0;
  bool isUsable = false;        ///< reports, not draining, not taken out
  bool isIdle = false;          ///< usable, without an unresolved order
  std::vector<order_id> orders; ///< unresolved or not closed
};

/// The engine on which memory is being freed for a model or adapter. Evictions
/// take several plans; later plans continue on the same engine.
struct reclaim_row
{
  demand_id id; ///< of the model or adapter in its failure domain
  endpoint_id endpoint;
  steady_time until;
};

/// Index over the tables. Built at the start of a plan and updated with each
/// order that the plan adds; can be rebuilt at any time.
struct fleet_view
{
  std::vector<domain_id> domains; ///< those with a usable engine
  std::vector<std::vector<std::size_t>> enginesOfDomain; ///< usable ones
  std::vector<std::size_t> idleInDomain;
  pacing_state calls; ///< unresolved calls, including this plan's
  std::vector<engine_view> engines;
  std::unordered_map<endpoint_id, std::size_t, id_hash> enginePositions;
  std::vector<copy_counts> models;   ///< by position in the table of models
  std::vector<copy_counts> adapters; ///< by position in the table of adapters
  std::vector<std::uint64_t> adapterBytes;     ///< of each model's adapters
  std::vector<std::uint32_t> modelsInDomain;   ///< model * domains + domain
  std::vector<std::uint32_t> adaptersInDomain; ///< adapter * domains + domain
};

/// The leader's own state.
struct leadership
{
  bool isLeader = false;
  std::uint32_t term = 0;
  std::uint32_t orderCount = 0;
  order_id lastOrderBeforeElection; ///< last order id before the election
  steady_time electedAt;
  steady_time earliestSend; ///< end of the previous leader's lease
  steady_time leaseUntil;   ///< nothing is sent at or after this time
  steady_time earliestPlan; ///< leaves time for reports after the election
  steady_time nextPlan;
  bool isPlanDue = false;  ///< something changed since the last plan
  bool isPlanning = false; ///< the current tick makes a plan
  pacing_state pacing;
};

/// All state of placement.
struct tables
{
  table<endpoint_id, engine_row> engines;
  table<resident_id, resident_row> residents;
  table<order_id, order_row> orders;
  table<endpoint_id, ledger_row> ledger;
  table<model_id, model_row> models;
  table<adapter_id, adapter_row> adapters;
  table<demand_id, demand_row> demand;
  table<demand_id, reclaim_row> reclaims;
  table<domain_id, domain_row> takenOut;
  leadership leader;
  fleet_view view;
  settings options;
  pacing_rule pacing = StorePacing(2.0, 9, 70);
  placement_score score = DemandScore(std::chrono::minutes{ 1 });
};

/// Runs every system once, in the order of kPlacementSystems.
void RunPlacement(tables& aTables, steady_time aNow, outbox& aOutbox);

/// The names of the systems in the order in which they run.
std::vector<std::string_view> PlacementSystemNames();

/// This replica has become leader and has applied the log up to its own term.
/// It sends nothing before aSendsFrom, the end of the previous leader's lease,
/// nor from aLeaseUntil on.
void OnElected(tables& aTables,
               std::uint32_t aTerm,
               steady_time aNow,
               steady_time aEarliestSend,
               steady_time aLeaseUntil);
/// The lease was renewed.
void OnLeaseRenewed(tables& aTables, steady_time aLeaseUntil);
/// This replica is no longer leader: discards intents that are not committed.
void OnDeposed(tables& aTables);

/// Commands that the log committed; every replica applies them in log order.
/// False: the command conflicts with the ledger and changed nothing.
bool OnOrderCommitted(tables& aTables, const commit_order& aCommand);
bool OnOrderSettled(tables& aTables, const settle_order& aCommand);
bool OnOrderClosed(tables& aTables, const close_order& aCommand);

/// The proposal for aOrder failed; it will be made again.
void OnCommitFailed(tables& aTables, order_id aOrder);

void OnAnnounced(tables& aTables,
                 const announcement& aAnnouncement,
                 steady_time aNow);
/// False: the report is outdated and changed nothing.
bool OnReport(tables& aTables, const report& aReport, steady_time aNow);

/// The endpoint answered one copy of aOrder. Reports of aIncarnation from
/// aSequence on include its effects.
void OnOrderAnswered(tables& aTables,
                     order_id aOrder,
                     std::uint64_t aIncarnation,
                     std::uint64_t aSequence);
/// The endpoint accepted a copy of aOrder and will execute it. The outcome
/// follows in the report that names the order.
void OnOrderAccepted(tables& aTables,
                     order_id aOrder,
                     std::uint64_t aIncarnation);
/// One copy of aOrder was not sent, not even in part.
void OnOrderNotSent(tables& aTables, order_id aOrder);

/// Adds aRequests to the demand for aModel from aDomain.
void OnDemand(tables& aTables,
              model_id aModel,
              domain_id aDomain,
              double aRequests,
              steady_time aNow);

/// Replaces the declared models and adapters.
void OnManifest(tables& aTables,
                std::span<const model_row> aModels,
                std::span<const adapter_row> aAdapters);
/// Marks the engines of aDomain as taken out or brought back.
void OnDomainTakenOut(tables& aTables, domain_id aDomain, bool aIsTakenOut);
void OnDraining(tables& aTables, endpoint_id aEndpoint, bool aIsDraining);

/// Upper bound on the engine's memory use in bytes: the reported use, its
/// unresolved order and every earlier load of which a copy may still arrive.
std::uint64_t ReservedBytes(const tables& aTables, endpoint_id aEndpoint);

/// Models that would have no ready copy without aDomain. Empty: the domain can
/// be taken out without losing a model.
std::vector<model_id> ModelsOnlyIn(const tables& aTables,
                                   domain_id aDomain,
                                   steady_time aNow);

/// Result of FitsMinimumCopies and FitsWithVersionChange.
struct fit_result
{
  std::uint64_t bytesNeeded = 0;
  std::uint64_t bytesAvailable = 0;
  std::uint64_t largestFreeBytes = 0; ///< most free bytes on one engine
};

/// Whether the engines have memory for the minimum copies of every model with
/// its adapters. Conservative, see FitsWithVersionChange.
std::optional<fit_result> FitsMinimumCopies(
  std::span<const engine_row> aEngines,
  std::span<const model_row> aModels,
  std::span<const adapter_row> aAdapters,
  last_reason& aReason);

/// Whether FitsMinimumCopies succeeds and one engine keeps enough free memory
/// for the largest model, so that versions can change one copy at a time.
/// Conservative: a packing that first-fit decreasing does not find may exist.
/// Does not check for a copy in each failure domain.
/// @param aReason names the model and the bytes that do not fit.
std::optional<fit_result> FitsWithVersionChange(
  std::span<const engine_row> aEngines,
  std::span<const model_row> aModels,
  std::span<const adapter_row> aAdapters,
  last_reason& aReason);

} // namespace bulrush::placement

#endif
