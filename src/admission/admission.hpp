#ifndef BULRUSH_ADMISSION_ADMISSION_HPP
#define BULRUSH_ADMISSION_ADMISSION_HPP

/// Public header of the admission library: leases to serve, escrowed shares of
/// rates and cold-start slots, token buckets, the fair queue.
///
/// One escrow mechanism serves each level: the fleet divides a limit over
/// failure domains, a domain's delegate divides its share over hosts. A node
/// is a set of escrow_tables; the root has a limit in place of a parent, a
/// host has no holders. Amounts are integers: millitokens for rates, slots for
/// cold starts.

#include "core/core.hpp"

namespace bulrush::admission {

// ---------------------------------------------------------------- amounts

/// Units of a rate resource in one token.
inline constexpr std::int64_t kUnitsPerToken = 1000;

/// A share of a limit. For a workspace rate: millitokens per second and
/// millitokens of burst. For cold-start slots: rate is 0 and size counts slots.
struct share
{
  std::int64_t rate = 0;
  std::int64_t size = 0;

  bool operator==(const share&) const = default;
};

share operator+(const share& aLeft, const share& aRight);
/// Difference in each component, not below zero.
share operator-(const share& aLeft, const share& aRight);
share ComponentMax(const share& aLeft, const share& aRight);
share ComponentMin(const share& aLeft, const share& aRight);
/// True when no component of aPart exceeds that of aWhole.
bool Fits(const share& aPart, const share& aWhole);

enum class resource_kind : std::uint8_t
{
  eRate = 1,
  eSlots = 2,
  eColdRate = 3,
};

/// A limited resource: the rate of a workspace, or the cold-start slots or the
/// rate of one incarnation of an endpoint.
struct resource
{
  resource_kind kind = resource_kind::eRate;
  std::uint64_t subject = 0;     ///< workspace or endpoint id
  std::uint64_t incarnation = 0; ///< of the endpoint; 0 for a rate

  bool operator==(const resource&) const = default;
};

using resource_id = typed_id<struct resource_tag>;
using holder_id = typed_id<struct holder_tag>;
using process_id = typed_id<struct process_tag>;
using account_id = typed_id<struct account_tag>;

resource RateOf(workspace_id aWorkspace);
resource SlotsOf(endpoint_id aEndpoint, std::uint64_t aIncarnation);
resource_id IdOfResource(const resource& aResource);
/// Identity of a host as a holder at its delegate.
holder_id HolderOf(host_id aHost);
/// Identity of a delegate as a holder at the root. A new epoch is a new holder.
holder_id HolderOf(domain_id aDomain, std::uint64_t aEpoch);
process_id ProcessOf(holder_id aHolder, std::uint64_t aIncarnation);
account_id AccountOf(process_id aProcess, resource_id aResource);

// ----------------------------------------------------------------- bucket

/// The smallest headroom that a bucket had since one of its changes.
struct headroom_mark
{
  std::uint64_t changeCount = 0;
  std::int64_t headroom = 0; ///< units
};

/// Token bucket: fills at share.rate up to share.size, starts empty.
struct token_bucket
{
  struct share share;
  std::int64_t level = 0; ///< units
  steady_time filledAt;
  std::uint64_t changeCount = 0;            ///< changes so far
  std::vector<headroom_mark> headroomMarks; ///< ascending by headroom
};

/// Adds the inflow since the last call, rounded down to whole units.
void Refill(token_bucket& aBucket, steady_time aNow);

/// Changes the share and returns the units that no longer fit.
std::int64_t Resize(token_bucket& aBucket,
                    const share& aShare,
                    steady_time aNow);

/// Consumes aUnits; with fewer in the bucket it consumes none and returns
/// false.
bool TryConsume(token_bucket& aBucket, std::int64_t aUnits, steady_time aNow);

/// Adds aUnits that were transferred with a share, up to the bucket's size.
void AddUnits(token_bucket& aBucket, std::int64_t aUnits, steady_time aNow);

/// Refunds aUnits of a TryConsume after which the bucket's changeCount was
/// aChangeCount, as far as the bucket had headroom for them ever since. Returns
/// the refunded units.
std::int64_t Refund(token_bucket& aBucket,
                    std::int64_t aUnits,
                    std::uint64_t aChangeCount,
                    steady_time aNow);

/// Time until the bucket holds aUnits; nullopt if its share does not allow it.
std::optional<std::chrono::nanoseconds> TimeUntil(const token_bucket& aBucket,
                                                  std::int64_t aUnits,
                                                  steady_time aNow);

// --------------------------------------------------------------- messages

/// One resource in a renewal.
struct renewal_row
{
  struct resource resource;
  share held;  ///< upper bound of what the sender holds
  share floor; ///< the part that outlives the lease
  share demand;
  std::int64_t returned = 0; ///< units returned since the sender's start
};

/// Holder to parent: demand, returned units and acknowledgement in one message.
/// Resources that are not listed are not held. The sender accepts only the
/// answer to its latest renewal, so a renewal voids the answers to earlier
/// ones.
struct renewal
{
  holder_id holder;
  std::uint64_t incarnation = 0; ///< of the sender's process
  std::uint64_t epoch = 0;       ///< of the addressed parent
  std::uint64_t sequence = 0;
  std::uint64_t accepted = 0; ///< sequence of the last accepted answer
  std::uint64_t revision = 0; ///< manifest applied by all processes below
  std::chrono::nanoseconds servesFor{}; ///< remaining lease to serve
  bool isLeaving = false; ///< the sender has stopped and holds nothing
  std::vector<renewal_row> rows;
};

/// One resource in a grant.
struct grant_row
{
  struct resource resource;
  struct share share;
  struct share floor;
  std::int64_t tokens = 0; ///< units transferred with the share
  std::chrono::nanoseconds lasts{};
  std::chrono::nanoseconds floorLasts{};
};

/// Parent to holder: the answer to one renewal. The holder counts the durations
/// from when it sent the renewal. Resources that are not listed get no share.
struct grant
{
  holder_id holder;
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  std::chrono::nanoseconds serveFor{}; ///< lease to serve; 0 refuses it
  bool reachesRoot = false; ///< the parent and all above it are connected
  std::vector<grant_row> rows;
};

// ----------------------------------------------------------------- tables

/// The link to the parent.
struct link_row
{
  holder_id self;
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  std::uint64_t accepted = 0;
  steady_time sentAt;
  steady_time renewAt;
  steady_time servesUntil; ///< lease to serve, after the margin for drift
  bool isAwaiting = false;
  bool hasShortfall = false; ///< renew again after retryInterval
  bool reachesRoot = false;  ///< by the last answer
};

/// This node's share of one resource and its division among holders.
struct holding_row
{
  resource_id id;
  struct resource resource;
  share granted; ///< by the parent; the limit at the root
  share floor;
  share divided; ///< among holders; at a host the slots in use
  share covered; ///< part of the held share that the parent has recorded
  share demand;
  steady_time lapsesAt;
  steady_time floorLapsesAt;
  std::uint64_t epoch = 0;   ///< of the parent that granted it
  std::int64_t returned = 0; ///< units returned since the start
  token_bucket undivided;
  double demandRate = 0;         ///< units per second, moving average
  std::int64_t demandUnits = 0;  ///< requested since demandSince
  std::int64_t waitingUnits = 0; ///< of the requests that wait for tokens
  steady_time waitingCountedAt;  ///< when waitingUnits was last counted
  std::int64_t reservations = 0; ///< not settled yet
  steady_time demandSince;
};

/// A process that holds a share below this node.
struct holder_row
{
  process_id id;
  holder_id holder;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t revision = 0;
  std::uint64_t accepted = 0; ///< last answer that it has accepted
  steady_time receivedAt;
  steady_time servesUntil;
  bool isAnswerDue = false;
};

/// Upper bound of what one process may hold of one resource.
struct account_row
{
  account_id id;
  resource_id resource;
  process_id process;
  share held;
  share floor;
  share reported; ///< held according to the last renewal
  share demand;
  share target;
  steady_time expiresAt;
  steady_time floorExpiresAt;
  std::int64_t returned = 0;   ///< by the last renewal
  std::int64_t tokensSent = 0; ///< with the last grant
  std::uint64_t sequence = 0;  ///< of the last recorded renewal
};

/// Input of a division rule, and its result.
struct division_row
{
  share held;
  share demand;
  share target; ///< written by the rule
};

/// Writes the targets; their sum is at most aTotal.
using division_rule =
  std::function<void(const share& aTotal, std::span<division_row> aRows)>;

/// Max-min fair by demand over a base share for each, with hysteresis.
void DivideByDemand(const share& aTotal, std::span<division_row> aRows);
/// For comparison: the same fixed share for each.
void DivideEqually(const share& aTotal, std::span<division_row> aRows);

struct escrow_settings
{
  bool isRoot = false;
  std::uint64_t epoch = 0; ///< of this node as a parent
  /// Lease of the shares granted to holders.
  std::chrono::nanoseconds shareLease = std::chrono::seconds{ 3 };
  /// Lease to serve granted to holders: 3 s to hosts, the grace to delegates.
  std::chrono::nanoseconds serveLease = std::chrono::seconds{ 3 };
  /// How long floors outlive the lease; the grace of a domain that is cut off.
  std::chrono::nanoseconds floorLease{};
  /// Longest lease that a holder's own holders may have. The previous shares of
  /// a restarted holder stay recorded for this time.
  std::chrono::nanoseconds holderLease = std::chrono::seconds{ 3 };
  /// A slot may stay in use for this time after its lease.
  std::chrono::nanoseconds slotHold = std::chrono::seconds{ 60 };
  std::chrono::nanoseconds renewEvery = std::chrono::seconds{ 1 };
  /// Earliest renewal after the previous one when there is a shortfall.
  std::chrono::nanoseconds retryInterval = std::chrono::milliseconds{ 100 };
  /// Later answers count as lost.
  std::chrono::nanoseconds answerTimeout = std::chrono::milliseconds{ 500 };
  /// Longest time that a request may wait for its tokens.
  std::chrono::nanoseconds maxWait = std::chrono::milliseconds{ 1000 };
  /// Part of a limit that is granted as floors, in thousandths.
  std::int64_t floorPerMille = 0;
  /// Number of holders among which the floors are divided.
  std::int64_t floorHolders = 1;
  /// Until then no share grows, since shares granted by a previous parent may
  /// still be held.
  steady_time previousGrantsUntil = steady_time::min();
  /// Until then no revision counts as covered, since holders of a previous
  /// parent may still serve.
  steady_time coverageKnownFrom = steady_time::min();
  division_rule divide = DivideByDemand;
};

struct escrow_tables
{
  escrow_settings settings;
  link_row link;
  std::uint64_t revision = 0;         ///< applied by this process
  std::uint64_t requiredRevision = 0; ///< holders behind it may not serve
  table<resource_id, holding_row> holdings;
  table<process_id, holder_row> holders;
  table<account_id, account_row> accounts;
  std::vector<renewal> renewals; ///< input
  std::vector<grant> grants;     ///< input
};

struct escrow_outbox
{
  std::vector<renewal> renewals; ///< to the parent
  std::vector<grant> grants;     ///< each to its holder
  wake_time wake;
};

// ----------------------------------------------------------------- leases

/// Length of a lease as the holder counts it: less a margin for clock drift.
std::chrono::nanoseconds LessDrift(std::chrono::nanoseconds aLease);

/// A time that a holder measured, as the parent counts it: plus that margin.
std::chrono::nanoseconds PlusDrift(std::chrono::nanoseconds aTime);

/// Whether the lease to serve is valid. Call it at the point of use, after the
/// input was read, with a time read at that point.
bool MayServe(const link_row& aLink, steady_time aNow);

/// How a new parent treats the shares that the previous one granted.
enum class parent_succession : std::uint8_t
{
  eContinues, ///< waits for their leases to end and adopts held shares
  eStartsNew, ///< has a share of its own; previous ones expire
};

/// Switches to a new parent. Held shares are kept until their lease ends or the
/// new parent's first grant replaces them. No effect if aEpoch is not newer.
void FollowParent(escrow_tables& aTables,
                  std::uint64_t aEpoch,
                  parent_succession aSuccession);

/// Returns all shares at a planned stop; the renewal goes to the outbox. The
/// holders below must have left, or their leases must have ended.
void Leave(escrow_tables& aTables,
           steady_time aNow,
           struct escrow_outbox& aOut);

/// The newest revision that all processes below this node that may still serve
/// have applied.
std::uint64_t CoveredRevision(const escrow_tables& aTables, steady_time aNow);

/// A process that has yet to apply a revision.
struct pending_holder
{
  holder_id holder;
  std::uint64_t revision = 0;
  steady_time until; ///< latest end of its lease to serve
};
std::vector<pending_holder> HoldersBehind(const escrow_tables& aTables,
                                          std::uint64_t aRevision,
                                          steady_time aNow);

// -------------------------------------------------------------- allotments

/// Sets a limit at the root. A lower limit applies to the undivided part at
/// once and to each held share when its holder confirms or its lease ends.
void SetLimit(escrow_tables& aTables,
              const resource& aResource,
              const share& aLimit,
              steady_time aNow);

/// Records a share that a process of aHolder may hold from a previous root.
void RecordAssumedShare(escrow_tables& aTables,
                        holder_id aHolder,
                        const resource& aResource,
                        const share& aShare,
                        steady_time aUntil,
                        steady_time aNow);

/// Voids the slot limits of an endpoint's older incarnations at the root.
void VoidOlderIncarnations(escrow_tables& aTables,
                           endpoint_id aEndpoint,
                           std::uint64_t aIncarnation,
                           steady_time aNow);

/// The part of a holding that is neither divided nor in use.
share Undivided(const escrow_tables& aTables,
                const holding_row& aHolding,
                steady_time aNow);

/// The holding of aResource, added when there is none.
holding_row& HoldingOf(escrow_tables& aTables,
                       const resource& aResource,
                       steady_time aNow);

void RunGrants(escrow_tables& aTables, steady_time aNow, escrow_outbox& aOut);
void RunLapses(escrow_tables& aTables, steady_time aNow, escrow_outbox& aOut);
void RunRenewals(escrow_tables& aTables, steady_time aNow, escrow_outbox& aOut);
void RunDivision(escrow_tables& aTables, steady_time aNow, escrow_outbox& aOut);
void RunReports(escrow_tables& aTables, steady_time aNow, escrow_outbox& aOut);

/// The order of one tick, at every level.
inline constexpr std::array<named_system<escrow_tables, escrow_outbox>, 5>
  kEscrowSystems{ {
    { "grants", RunGrants },
    { "lapses", RunLapses },
    { "renewals", RunRenewals },
    { "division", RunDivision },
    { "reports", RunReports },
  } };

// ------------------------------------------------------------- reservation

enum class reserve_outcome : std::uint8_t
{
  eReserved,
  ePending,  ///< more was requested; try again after the parent's answer
  eOverRate, ///< refused: the fleet-wide limit is exhausted
  eCutOff,   ///< refused: the share is used up and the root is unreachable
};

/// Tokens reserved for a request, as an upper bound, from its workspace's rate.
struct reservation
{
  workspace_id workspace;
  std::int64_t tokens = 0;
  std::uint64_t changeCount = 0; ///< of the bucket after it
};

struct reserve_answer
{
  reserve_outcome outcome = reserve_outcome::eCutOff;
  std::chrono::nanoseconds retryAfter{};
  reservation reserved; ///< when the outcome is eReserved
};

/// Reserves aTokens for a request that has waited aWaited for them. With too
/// few tokens the outcome is ePending while aWaited is below the longest wait.
reserve_answer ReserveTokens(escrow_tables& aTables,
                             workspace_id aWorkspace,
                             std::int64_t aTokens,
                             std::chrono::nanoseconds aWaited,
                             steady_time aNow);

/// Ends a reservation and refunds its unused tokens. Call it once for each.
void SettleTokens(escrow_tables& aTables,
                  const reservation& aReserved,
                  std::int64_t aUsed,
                  steady_time aNow);

/// Whether a slot is free now. If not, the next renewal requests one.
bool HasSlot(escrow_tables& aTables,
             endpoint_id aEndpoint,
             std::uint64_t aIncarnation,
             steady_time aNow);

/// Acquires a cold-start slot for an attempt that ends at aEnds or earlier.
/// False when none is free or aEnds exceeds the lease and slotHold.
bool AcquireSlot(escrow_tables& aTables,
                 endpoint_id aEndpoint,
                 std::uint64_t aIncarnation,
                 steady_time aEnds,
                 steady_time aNow);
void ReleaseSlot(escrow_tables& aTables,
                 endpoint_id aEndpoint,
                 std::uint64_t aIncarnation);

// -------------------------------------------------------------- fair queue

/// A request that waits to be sent.
struct queued_row
{
  request_id id;
  workspace_id workspace;
  std::int64_t tokens = 0; ///< reserved upper bound; its cost in the queue
  steady_time arrivedAt;
  steady_time deadline;
  std::chrono::nanoseconds serviceTime{}; ///< estimated time to the answer
};

/// An entry of the heap of one lane, earliest deadline first.
struct lane_entry
{
  steady_time deadline;
  std::uint64_t order = 0; ///< of arrival, breaks ties
  request_id request;
};

/// The queue of one workspace.
struct lane_row
{
  workspace_id id;
  double weight = 1;
  double virtualTime = 0; ///< tokens served over weight
  std::int64_t queuedTokens = 0;
  std::size_t queued = 0;
  std::vector<lane_entry> heap;
};

struct queue_tables;

/// Whether to refuse a request rather than send it now.
using shed_rule = std::function<bool(const queued_row&, steady_time)>;
/// The next request to send; a null id when the queue is empty.
using pick_rule = std::function<request_id(queue_tables&)>;

/// Sheds requests that would miss their deadline even if sent now.
bool ShedLate(const queued_row& aRequest, steady_time aNow);
/// For comparison: sheds requests only after their deadline.
bool ShedExpired(const queued_row& aRequest, steady_time aNow);
/// The lane with the least virtual time; in it the earliest deadline.
request_id PickFair(queue_tables& aTables);
/// For comparison: first in, first out over all workspaces.
request_id PickFirst(queue_tables& aTables);

struct queue_tables
{
  table<request_id, queued_row> requests;
  table<workspace_id, lane_row> lanes;
  std::vector<lane_entry> arrivals; ///< heap by order, for PickFirst
  double virtualTime = 0;
  std::uint64_t nextOrder = 0;
  std::size_t maySend = 0; ///< requests that the endpoints can accept now
  shed_rule shed = ShedLate;
  pick_rule pick = PickFair;
};

struct shed_request
{
  request_id id;
  std::chrono::nanoseconds lateBy{};
};

struct queue_outbox
{
  std::vector<request_id> send;
  std::vector<shed_request> shed; ///< refused, not run
  wake_time wake;
};

/// Weight of a workspace; the default is 1.
void SetWeight(queue_tables& aTables, workspace_id aWorkspace, double aWeight);
void Enqueue(queue_tables& aTables, const queued_row& aRequest);
/// Removes a request whose caller disconnected; false when it is not queued.
bool Cancel(queue_tables& aTables, request_id aRequest);

void RunQueue(queue_tables& aTables, steady_time aNow, queue_outbox& aOut);

inline constexpr std::array<named_system<queue_tables, queue_outbox>, 1>
  kQueueSystems{ { { "queue", RunQueue } } };

} // namespace bulrush::admission

#endif
