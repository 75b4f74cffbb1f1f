#ifndef BULRUSH_ADMISSION_ADMISSION_HPP
#define BULRUSH_ADMISSION_ADMISSION_HPP

/// Public header of the admission library: leases to serve, escrowed
/// allotments of rates and cold-start slots, token buckets, the fair queue.
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
share Largest(const share& aLeft, const share& aRight);
share Smallest(const share& aLeft, const share& aRight);
/// True when no component of aPart is above aWhole.
bool Fits(const share& aPart, const share& aWhole);

enum class resource_kind : std::uint8_t
{
  eRate = 1,
  eSlots = 2,
  eColdRate = 3,
};

/// What is divided: the rate of a workspace, or the cold-start slots or rate of
/// one incarnation of an endpoint.
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
/// The holder that a host is to its delegate.
holder_id HolderOf(host_id aHost);
/// The holder that a delegate is to the fleet: a new epoch is a new holder.
holder_id HolderOf(domain_id aDomain, std::uint64_t aEpoch);
process_id ProcessOf(holder_id aHolder, std::uint64_t aIncarnation);
account_id AccountOf(process_id aProcess, resource_id aResource);

// ----------------------------------------------------------------- bucket

/// The least room that a bucket had since a point in its history.
struct room_mark
{
  std::uint64_t point = 0;
  std::int64_t room = 0; ///< units
};

/// Token bucket: fills at share.rate up to share.size, starts empty.
struct token_bucket
{
  struct share share;
  std::int64_t level = 0; ///< units
  steady_time filledAt;
  std::uint64_t point = 0;      ///< counts the changes
  std::vector<room_mark> rooms; ///< least room since, later marks have more
};

/// Adds what has flowed in since the last call; never more than the rate gives.
void Refill(token_bucket& aBucket, steady_time aNow);

/// Changes the share and returns the units that no longer fit.
std::int64_t Resize(token_bucket& aBucket,
                    const share& aShare,
                    steady_time aNow);

/// Takes aUnits when they are there, else takes nothing and returns false.
bool Take(token_bucket& aBucket, std::int64_t aUnits, steady_time aNow);

/// Adds aUnits that moved here with a share, up to the size of the bucket.
void Put(token_bucket& aBucket, std::int64_t aUnits, steady_time aNow);

/// Undoes aUnits of a Take that was made at aPoint of the bucket's history, as
/// far as the bucket had room for them ever since. Returns what was put back.
std::int64_t PutBack(token_bucket& aBucket,
                     std::int64_t aUnits,
                     std::uint64_t aPoint,
                     steady_time aNow);

/// Time until the bucket holds aUnits; nullopt when it never will.
std::optional<std::chrono::nanoseconds> TimeUntil(const token_bucket& aBucket,
                                                  std::int64_t aUnits,
                                                  steady_time aNow);

// --------------------------------------------------------------- messages

/// One resource in a renewal.
struct renewal_row
{
  resource what;
  share held;                ///< the sender holds no more than this
  share floor;               ///< of which this does not lapse with the lease
  share want;                ///< demand
  std::int64_t returned = 0; ///< units given back since the sender's start
};

/// Holder to parent: demand, return and confirmation in one message. Resources
/// that are not listed are not held. The sender takes an answer to its latest
/// renewal only, so each renewal voids the answers to all earlier ones.
struct renewal
{
  holder_id holder;
  std::uint64_t incarnation = 0; ///< of the sender's process
  std::uint64_t epoch = 0;       ///< of the parent that is addressed
  std::uint64_t sequence = 0;
  std::uint64_t accepted = 0; ///< sequence of the last answer taken
  std::uint64_t revision = 0; ///< all below the sender apply this manifest
  std::chrono::nanoseconds servesFor{}; ///< left of the lease to serve
  bool isLeaving = false; ///< the sender serves no more and holds nothing
  std::vector<renewal_row> rows;
};

/// One resource in a grant.
struct grant_row
{
  resource what;
  struct share share;
  struct share floor;
  std::int64_t tokens = 0; ///< units that move with the share
  std::chrono::nanoseconds lasts{};
  std::chrono::nanoseconds floorLasts{};
};

/// Parent to holder, the answer to one renewal. Durations count from before the
/// renewal was sent. Resources that are not listed are granted no share.
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
  bool isShort = false;     ///< some resource is short: ask at once
  bool reachesRoot = false; ///< according to the last answer
};

/// What this node holds of one resource.
struct holding_row
{
  resource_id id;
  resource what;
  share granted; ///< by the parent; at the root the limit
  share floor;
  share divided; ///< over holders; at a host the slots in use
  share covered; ///< part of what is held that this node's parent has booked
  share want;
  steady_time lapsesAt;
  steady_time floorLapsesAt;
  std::uint64_t epoch = 0;   ///< of the parent that granted it
  std::int64_t returned = 0; ///< units given back since the start
  token_bucket undivided;
  double demandRate = 0;         ///< units per second, moving average
  std::int64_t demandUnits = 0;  ///< asked for since demandSince
  std::int64_t waiting = 0;      ///< units that short requests wait for
  steady_time waitingAt;         ///< when they were counted last
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
  std::uint64_t accepted = 0; ///< last answer that it has taken
  steady_time receivedAt;
  steady_time servesUntil;
  bool isAnswerDue = false;
};

/// The most that one process may hold of one resource, as this node knows.
struct account_row
{
  account_id id;
  resource_id resource;
  process_id process;
  share held;
  share floor;
  share reported; ///< held according to the last renewal
  share want;
  share target;
  steady_time expiresAt;
  steady_time floorExpiresAt;
  std::int64_t returned = 0;   ///< by the last renewal
  std::int64_t tokensSent = 0; ///< with the last grant
  std::uint64_t sequence = 0;  ///< of the last renewal that was booked
};

/// Input of a division rule, and its result.
struct division_row
{
  share held;
  share want;
  share target; ///< written by the rule
};

/// Writes the targets; their sum is at most aTotal.
using division_rule =
  std::function<void(const share& aTotal, std::span<division_row> aRows)>;

/// Max-min fair by demand over a base share for each, with hysteresis.
void DivideByDemand(const share& aTotal, std::span<division_row> aRows);
/// The plain baseline: the same fixed share for each.
void DivideEqually(const share& aTotal, std::span<division_row> aRows);

struct escrow_settings
{
  bool isRoot = false;
  std::uint64_t epoch = 0; ///< of this node as a parent
  /// Lease of the shares given to holders.
  std::chrono::nanoseconds shareLease = std::chrono::seconds{ 3 };
  /// Lease to serve given to holders: 3 s to hosts, the grace to delegates.
  std::chrono::nanoseconds serveLease = std::chrono::seconds{ 3 };
  /// How long floors outlive the lease; the grace of a domain that is cut off.
  std::chrono::nanoseconds floorLease{};
  /// Longest lease that a holder's own holders may have. A restarted holder's
  /// former shares stay booked for so long.
  std::chrono::nanoseconds holderLease = std::chrono::seconds{ 3 };
  /// A slot may stay in use for so long after its lease.
  std::chrono::nanoseconds slotHold = std::chrono::seconds{ 60 };
  std::chrono::nanoseconds renewEvery = std::chrono::seconds{ 1 };
  /// Shortest time between an answer and a renewal for want of a share.
  std::chrono::nanoseconds askAgain = std::chrono::milliseconds{ 100 };
  /// An answer that takes longer counts as lost.
  std::chrono::nanoseconds answerWithin = std::chrono::milliseconds{ 500 };
  /// Longest wait of a request for its tokens before it is refused.
  std::chrono::nanoseconds patience = std::chrono::milliseconds{ 1000 };
  /// Part of a limit that is dealt out as floors, in thousandths.
  std::int64_t floorMille = 0;
  /// Holders among which the floors are dealt out.
  std::int64_t floorHolders = 1;
  /// Nothing is divided anew before this, while what a predecessor granted
  /// may still be held.
  steady_time waitOutUntil = steady_time::min();
  /// No revision counts as covered before this, while holders of a predecessor
  /// may still serve.
  steady_time coversFrom = steady_time::min();
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

/// Length of a lease at the holder: less a margin for drift between clocks.
std::chrono::nanoseconds LessDrift(std::chrono::nanoseconds aLease);

/// The same at the parent for a time that a holder measured.
std::chrono::nanoseconds PlusDrift(std::chrono::nanoseconds aTime);

/// Whether the lease to serve holds. Call it at the point of use, after the
/// input was read, with a time read then.
bool MayServe(const link_row& aLink, steady_time aNow);

/// What a new parent knows of its predecessor's books.
enum class succession : std::uint8_t
{
  eContinues, ///< it waits out the former leases and takes over what is held
  eStartsNew, ///< it has a share of its own; former shares run out
};

/// Follows a new parent. Former shares are kept until their lease runs out or
/// the new parent's first grant replaces them. An older or equal epoch changes
/// nothing.
void FollowParent(escrow_tables& aTables,
                  std::uint64_t aEpoch,
                  succession aSuccession);

/// Hands everything back at a planned stop; the renewal goes to the outbox.
/// Holders below must have left, or their leases have run out.
void Leave(escrow_tables& aTables,
           steady_time aNow,
           struct escrow_outbox& aOut);

/// The newest revision that every process below this node applies, as far as
/// any of them may still serve.
std::uint64_t CoveredRevision(const escrow_tables& aTables, steady_time aNow);

/// A process that keeps a revision from being accepted.
struct pending_holder
{
  holder_id holder;
  std::uint64_t revision = 0;
  steady_time until; ///< its lease to serve ends then at the latest
};
std::vector<pending_holder> HoldersBehind(const escrow_tables& aTables,
                                          std::uint64_t aRevision,
                                          steady_time aNow);

// -------------------------------------------------------------- allotments

/// Sets or changes a limit at the root. A lower one binds the undivided part at
/// once and the rest as holders confirm or their leases run out.
void SetLimit(escrow_tables& aTables,
              const resource& aResource,
              const share& aLimit,
              steady_time aNow);

/// Books a share that a process of aHolder may hold from an earlier root.
void AssumeHeld(escrow_tables& aTables,
                holder_id aHolder,
                const resource& aResource,
                const share& aShare,
                steady_time aUntil,
                steady_time aNow);

/// Drops what endpoints' older incarnations were given at the root.
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
  eShort,    ///< the parent was asked; try again when its answer is in
  eOverRate, ///< refuse: the whole fleet was asked and has no more
  eCutOff,   ///< refuse: the share is used up and the fleet is out of reach
};

/// The upper bound of a request's tokens, taken from the rate of its workspace.
struct reservation
{
  workspace_id workspace;
  std::int64_t tokens = 0;
  std::uint64_t point = 0; ///< of the bucket's history
};

struct reserve_answer
{
  reserve_outcome outcome = reserve_outcome::eCutOff;
  std::chrono::nanoseconds retryAfter{};
  reservation reserved; ///< when the outcome is eReserved
};

/// Reserves aTokens for a request. aWaited is how long the request has waited
/// for an answer from the parent; while it is below the patience the answer to
/// a lack of tokens is eShort.
reserve_answer ReserveTokens(escrow_tables& aTables,
                             workspace_id aWorkspace,
                             std::int64_t aTokens,
                             std::chrono::nanoseconds aWaited,
                             steady_time aNow);

/// Ends a reservation, once, and gives back the tokens that were not used.
void SettleTokens(escrow_tables& aTables,
                  const reservation& aReserved,
                  std::int64_t aUsed,
                  steady_time aNow);

/// Whether TakeSlot would find a free one now; a lack is asked for.
bool HasSlot(escrow_tables& aTables,
             endpoint_id aEndpoint,
             std::uint64_t aIncarnation,
             steady_time aNow);

/// Takes a cold-start slot for an attempt that ends by aEnds at the latest;
/// false when none is free, or aEnds is later than the lease allows.
bool TakeSlot(escrow_tables& aTables,
              endpoint_id aEndpoint,
              std::uint64_t aIncarnation,
              steady_time aEnds,
              steady_time aNow);
void ReturnSlot(escrow_tables& aTables,
                endpoint_id aEndpoint,
                std::uint64_t aIncarnation);

// -------------------------------------------------------------- fair queue

/// A request that waits to be sent.
struct queued_row
{
  request_id id;
  workspace_id workspace;
  std::int64_t tokens = 0; ///< reserved bound, the cost in the queue
  steady_time arrivedAt;
  steady_time deadline;
  std::chrono::nanoseconds serviceTime{}; ///< estimate until the answer is due
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

/// Sheds what cannot make its deadline even when sent at once.
bool ShedLate(const queued_row& aRequest, steady_time aNow);
/// The baseline: sheds nothing before its deadline is over.
bool ShedExpired(const queued_row& aRequest, steady_time aNow);
/// The lane with the least service over its weight, then earliest deadline.
request_id PickFair(queue_tables& aTables);
/// The baseline: first in, first out over all workspaces.
request_id PickFirst(queue_tables& aTables);

struct queue_tables
{
  table<request_id, queued_row> requests;
  table<workspace_id, lane_row> lanes;
  std::vector<lane_entry> arrivals; ///< heap by order, for PickFirst
  double virtualTime = 0;
  std::uint64_t nextOrder = 0;
  std::size_t maySend = 0; ///< requests that the endpoints can take now
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
/// Removes a request whose caller went away; false when it is not queued.
bool Cancel(queue_tables& aTables, request_id aRequest);

void RunQueue(queue_tables& aTables, steady_time aNow, queue_outbox& aOut);

inline constexpr std::array<named_system<queue_tables, queue_outbox>, 1>
  kQueueSystems{ { { "queue", RunQueue } } };

} // namespace bulrush::admission

#endif
