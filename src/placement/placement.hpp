#ifndef BULRUSH_PLACEMENT_PLACEMENT_HPP
#define BULRUSH_PLACEMENT_PLACEMENT_HPP

/// Public header of the placement library: which engine holds which model and
/// adapter, the orders that bring it about, and the memory that they may take.
///
/// One control replica leads. Its tick calls RunPlacement and sends the intents
/// of the outbox: commands go to the replicated log, orders to engines. Every
/// replica applies the committed commands, so that a new leader finds every
/// order that may ever have been sent.
///
/// What is asked of an endpoint:
/// - it holds an artifact once: loading what is resident changes nothing;
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

/// Intended: proposed to the log. Committed: in the log. Sent: at least one
/// copy left this leader. Done and void: settled by the engine's report; the
/// row stays until no copy of the order can arrive any more.
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
  std::uint32_t role = 0;       ///< as reported
  std::uint32_t wantedRole = 0; ///< as declared

  bool hasReported = false; ///< to this leader
  std::uint64_t reportSequence = 0;
  std::uint64_t memoryUsed = 0; ///< bytes, as reported
  order_id lastOrder;           ///< the order it applied or voided last
  order_state lastOutcome = order_state::eVoid;
  steady_time lastReport;
  steady_time reportsSince; ///< start of reports without a long gap
  steady_time notBefore;    ///< no new order earlier, after a failed one
  std::vector<resident_id> residents;
};

/// An artifact that an engine reported.
struct resident_row
{
  resident_id id;
  endpoint_id endpoint;
  artifact what;
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
  artifact what;
  std::uint64_t bytes = 0; ///< memory that the artifact takes or took
  std::uint32_t role = 0;
  std::uint64_t reportSequence = 0; ///< report that the decision rests on
  order_state state = order_state::eIntended;

  std::uint32_t copiesOut = 0;        ///< copies without an answer
  std::uint64_t shownIncarnation = 0; ///< the report that shows what the
  std::uint64_t shownSequence = 0;    ///< answered copies did, or a later one
  std::uint32_t attempts = 0;
  bool isTaken = false; ///< the only copy sent is being acted upon
  steady_time nextSend;
  steady_time lastSend;
  steady_time proposedAt;  ///< of the command that waits for the log
  bool isProposed = false; ///< a command for it waits for the log
};

/// What the log knows of an endpoint, so that a new leader tells an old report
/// from a new one.
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
  double copyRate = 0;           ///< requests/s that one copy bears; 0: unknown
};

/// A declared adapter of a declared model.
struct adapter_row
{
  adapter_id id;
  model_id model;
  std::uint64_t version = 0;
  std::uint64_t bytes = 0;
};

/// Requests for a model from one failure domain, aged exponentially.
struct demand_row
{
  demand_id id;
  model_id model;
  domain_id domain;
  double rate = 0; ///< requests/s at `updated`
  steady_time updated;
};

/// A failure domain that operators have taken out.
struct domain_row
{
  domain_id id;
};

/// An endpoint makes itself known.
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
  artifact what;
  std::uint64_t bytes = 0;
  resident_state state = resident_state::eReady;
};

/// An engine's account of itself, taken in one moment.
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

/// Command for the log: the order may be sent once this is committed.
struct commit_order
{
  order_row order;
};

/// Command for the log: the engine's report has decided the order.
struct settle_order
{
  order_id id;
  endpoint_id endpoint;
  order_state outcome = order_state::eVoid; ///< eDone or eVoid
  std::uint64_t incarnation = 0;            ///< of the deciding report
  std::uint64_t reportSequence = 0;
  bool isClosed = false;      ///< no copy of it can arrive any more
  bool closesEarlier = false; ///< the engine refuses every earlier order
};

/// Command for the log: no copy of a settled order can arrive any more.
struct close_order
{
  order_id id;
  endpoint_id endpoint;
};

/// Send one copy of a committed order, on a connection of its own.
struct send_order
{
  order_row order;
};

/// What RunPlacement asks for. The caller empties it after each tick.
struct outbox
{
  std::vector<commit_order> commits;
  std::vector<settle_order> settlements;
  std::vector<close_order> closures;
  std::vector<send_order> sends;
  wake_time wake;
};

/// Calls in progress, as the pacing rule sees them.
struct pacing_state
{
  std::size_t loads = 0;        ///< model loads in progress
  std::size_t adapterCalls = 0; ///< adapter loads in progress
  steady_time lastLoad;         ///< when a load last left
  steady_time startedAt;        ///< when this leader began to send
};

/// The earliest time at which an order of this kind may be sent; nullopt: not
/// before another has finished.
using pacing_rule = std::function<
  std::optional<steady_time>(const pacing_state&, order_kind, steady_time)>;

/// Worth of the aCopies-th copy of a model in a failure domain; greater is
/// better. The demand row may be null.
using placement_score = std::function<double(const model_row&,
                                             const demand_row*,
                                             std::size_t aCopies,
                                             steady_time)>;

/// Loads at most aLoadsPerSecond and aLoadsAtOnce from the weight store, and
/// at most aAdapterCalls adapters at once.
pacing_rule StorePacing(double aLoadsPerSecond,
                        std::size_t aLoadsAtOnce,
                        std::size_t aAdapterCalls);

/// Rate for each copy, weighted towards short deadlines, for each byte.
placement_score DemandScore(std::chrono::nanoseconds aHalfLife);

/// The plain baseline: the model used last is worth most, in one copy.
placement_score LeastRecentlyUsedScore();

/// Settings, with their defaults.
struct settings
{
  std::chrono::milliseconds silentAfter{ 5000 }; ///< endpoint counts as lost
  std::chrono::milliseconds resendAfter{ 1000 }; ///< doubles with each resend
  std::chrono::milliseconds resendAtMost{ 30000 };
  std::chrono::milliseconds proposeAgainAfter{ 2000 };
  std::chrono::milliseconds planGap{ 100 };         ///< shortest between plans
  std::chrono::milliseconds planInterval{ 1000 };   ///< longest between plans
  std::chrono::milliseconds firstPlanAfter{ 3000 }; ///< reports come in first
  std::chrono::milliseconds failureBackoff{ 10000 };
  /// A load of an endpoint that fell silent counts as in progress for so long.
  std::chrono::milliseconds silentLoadGrace{ 30000 };
  /// Longest life of a copy on its way to an engine that ignores fencing
  /// numbers, counted while the engine reports. max(): it lives for ever.
  std::chrono::milliseconds copyLifetime{ std::chrono::hours{ 1 } };
  std::chrono::milliseconds minimumResidence{ 60000 };
  std::chrono::milliseconds roomLifetime{ 60000 }; ///< of a room being made
  std::chrono::milliseconds demandHalfLife{ 60000 };
  double evictionFactor = 2.0; ///< a newcomer is worth so many times its victim
  double busyShare = 0.8;      ///< of copyRate; above it a copy is added
};

/// Row of the tick's index of a model or an adapter.
struct copy_counts
{
  std::size_t reachable = 0; ///< ready in any version, will stay
  std::size_t safe = 0;      ///< ready in the declared version, will stay
  std::size_t lasting = 0;   ///< the same, ready or on its way
  std::size_t current = 0;   ///< declared version, ready or on its way
};

/// The tick's index of an engine.
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

/// Room that is being made for a model or adapter on one engine, so that the
/// next plan goes on where the last one began.
struct room_row
{
  demand_id id; ///< of the model or adapter in its failure domain
  endpoint_id endpoint;
  steady_time until;
};

/// Index over the tables, built at the start of a plan and kept up to date by
/// the intents that the plan adds. Not state: it can be rebuilt at any time.
struct fleet_view
{
  std::vector<domain_id> domains; ///< those with a usable engine
  std::vector<std::vector<std::size_t>> enginesOfDomain; ///< usable ones
  std::vector<std::size_t> idleInDomain;
  pacing_state calls; ///< unresolved calls, those of this plan among them
  std::vector<engine_view> engines;
  std::unordered_map<endpoint_id, std::size_t, id_hash> enginePositions;
  std::vector<copy_counts> models;   ///< by position in the table of models
  std::vector<copy_counts> adapters; ///< by position in the table of adapters
  std::vector<std::uint64_t> adapterBytes;     ///< beside each model
  std::vector<std::uint32_t> modelsInDomain;   ///< model * domains + domain
  std::vector<std::uint32_t> adaptersInDomain; ///< adapter * domains + domain
};

/// The leader's own state.
struct leadership
{
  bool isLeader = false;
  std::uint32_t term = 0;
  std::uint32_t orderCount = 0;
  order_id ownAfter; ///< only later orders were made since the election
  steady_time electedAt;
  steady_time sendsFrom;  ///< the former leader's lease has ended
  steady_time leaseUntil; ///< nothing leaves at or after this time
  steady_time planFrom;   ///< reports have come in since the election
  steady_time nextPlan;
  bool isPlanDue = false;  ///< something changed since the last plan
  bool isPlanning = false; ///< this tick plans
  pacing_state pacing;
};

/// Everything that placement knows.
struct tables
{
  table<endpoint_id, engine_row> engines;
  table<resident_id, resident_row> residents;
  table<order_id, order_row> orders;
  table<endpoint_id, ledger_row> ledger;
  table<model_id, model_row> models;
  table<adapter_id, adapter_row> adapters;
  table<demand_id, demand_row> demand;
  table<demand_id, room_row> rooms;
  table<domain_id, domain_row> takenOut;
  leadership leader;
  fleet_view view;
  settings options;
  pacing_rule pacing = StorePacing(2.0, 9, 70);
  placement_score score = DemandScore(std::chrono::minutes{ 1 });
};

/// Runs every system once, in the order that kPlacementSystems gives.
void RunPlacement(tables& aTables, steady_time aNow, outbox& aOutbox);

/// The names of the systems in the order in which they run.
std::vector<std::string_view> PlacementSystemNames();

/// This replica leads from now on, its log barrier applied. It sends nothing
/// before aSendsFrom (the former leader's lease) nor from aLeaseUntil on.
void OnElected(tables& aTables,
               std::uint32_t aTerm,
               steady_time aNow,
               steady_time aSendsFrom,
               steady_time aLeaseUntil);
/// The lease was renewed.
void OnLeaseRenewed(tables& aTables, steady_time aLeaseUntil);
/// This replica leads no more: intents that are not committed are forgotten.
void OnDeposed(tables& aTables);

/// Commands that the log committed; every replica applies them in log order.
/// False: the command does not fit the ledger and changed nothing.
bool OnOrderCommitted(tables& aTables, const commit_order& aCommand);
bool OnOrderSettled(tables& aTables, const settle_order& aCommand);
bool OnOrderClosed(tables& aTables, const close_order& aCommand);

/// A proposal will not be committed; it may be made anew.
void OnCommitFailed(tables& aTables, order_id aOrder);

void OnAnnounced(tables& aTables,
                 const announcement& aAnnouncement,
                 steady_time aNow);
/// False: the report is older than what is known, and changed nothing.
bool OnReport(tables& aTables, const report& aReport, steady_time aNow);

/// The endpoint answered one copy of aOrder. What the copy did shows in each
/// report of aIncarnation from aSequence on.
void OnOrderAnswered(tables& aTables,
                     order_id aOrder,
                     std::uint64_t aIncarnation,
                     std::uint64_t aSequence);
/// The endpoint has a copy of aOrder and will act on it; the report that names
/// the order tells the outcome.
void OnOrderTaken(tables& aTables, order_id aOrder, std::uint64_t aIncarnation);
/// One copy of aOrder never left: no byte of it was sent.
void OnOrderNotSent(tables& aTables, order_id aOrder);

/// aRequests came for aModel from aDomain.
void OnDemand(tables& aTables,
              model_id aModel,
              domain_id aDomain,
              double aRequests,
              steady_time aNow);

/// Replaces the declared models and adapters.
void OnManifest(tables& aTables,
                std::span<const model_row> aModels,
                std::span<const adapter_row> aAdapters);
/// Marks each engine of aDomain as taken out or brought back.
void OnDomainTakenOut(tables& aTables, domain_id aDomain, bool aIsTakenOut);
void OnDraining(tables& aTables, endpoint_id aEndpoint, bool aIsDraining);

/// Bytes that the engine may come to hold: what it reports, its unresolved
/// order and every copy of an earlier load that may still arrive.
std::uint64_t ReservedBytes(const tables& aTables, endpoint_id aEndpoint);

/// Models whose only safe copies are on engines of aDomain. Empty: the domain
/// can be taken out without a model lost.
std::vector<model_id> ModelsOnlyIn(const tables& aTables,
                                   domain_id aDomain,
                                   steady_time aNow);

/// What PlanFits found.
struct fit
{
  std::uint64_t bytesNeeded = 0;
  std::uint64_t bytesOffered = 0;
  std::uint64_t largestHole = 0; ///< free bytes left on one engine
};

/// Whether the engines can hold the declared minimum of every model, with the
/// adapters beside them. A refusal is cautious, as that of PlanFits is.
std::optional<fit> PlanHolds(std::span<const engine_row> aEngines,
                             std::span<const model_row> aModels,
                             std::span<const adapter_row> aAdapters,
                             last_reason& aReason);

/// Whether PlanHolds is true and the engines still have room on one engine for
/// the largest model, so that versions can change one copy at a time. A fit is
/// a proof: the packing was found. A refusal is cautious: a packing that
/// first-fit decreasing does not find may exist. A copy in each failure domain
/// is not part of the promise.
/// @param aReason names the model and the bytes that are missing.
std::optional<fit> PlanFits(std::span<const engine_row> aEngines,
                            std::span<const model_row> aModels,
                            std::span<const adapter_row> aAdapters,
                            last_reason& aReason);

} // namespace bulrush::placement

#endif
