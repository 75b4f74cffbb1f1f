#ifndef BULRUSH_RATES_RATES_HPP
#define BULRUSH_RATES_RATES_HPP

/// Public header of the rates library: rate limits over all hosts, with a
/// bounded overshoot in a time window. The leader holds a token pool for each
/// limit. Hosts request tokens a little ahead of their demand, and granted
/// tokens expire soon, so no part of a limit lies idle at one host while
/// another is short of tokens. The use in a window is at most what the pool
/// granted in that window and in one token lifetime before it. Grants are not
/// recorded: a lost message loses its tokens, and the pools of a new leader
/// start empty.

#include "admission/admission.hpp"

namespace bulrush::rates {

using admission::resource;
using admission::resource_id;
using admission::share;

/// The limit on requests/s to a cold endpoint over all hosts, in a window of
/// 1 s. Set by the manifest's services.
resource ColdRateOf(endpoint_id aEndpoint, std::uint64_t aIncarnation);

/// Time from a quota request until the granted tokens expire.
std::chrono::milliseconds LifetimeOf(const resource& aResource);

/// Rate and size of the pool of a cold endpoint. Within a second hosts use at
/// most aPerSecond plus a burst of a quarter of it, or of 1 if that is more.
share PoolOfColdEndpoint(double aPerSecond);

/// Overshoot of a rate that operators tolerate in a time window. Most of it is
/// used for tokens that hosts hold in advance.
struct rate_tolerance
{
  std::chrono::milliseconds window{ 0 }; ///< 0: no overshoot
  double overage = 0;     ///< fraction of what the rate allows in a window
  double slackTokens = 0; ///< added to the overage
};

/// A rate, split into a pool and a baseline.
struct split_rate
{
  share pool;     ///< held by the leader, requested by hosts
  share baseline; ///< sum over all hosts, each has an equal part
};

/// Splits a rate so that pool and baseline together stay within the tolerance
/// in every window of its length. There is no baseline if one of aHosts equal
/// parts could not hold a request.
split_rate SplitRate(const rate_tolerance& aTolerance,
                     double aTokensPerSecond,
                     double aBurstTokens,
                     std::uint32_t aHosts);

// --------------------------------------------------------------- messages

/// A host's request for tokens of one limit, in thousandths of a token.
struct quota_request_row
{
  struct resource resource;
  /// Units that each waiting request lacks, in order of arrival. Fewer are of
  /// no use to it, so the pool grants all of them or none.
  std::vector<std::int64_t> waiting;
  std::int64_t ahead = 0; ///< for requests that are expected soon
};

/// All units that a row requests.
std::int64_t UnitsOf(const quota_request_row& aRow);

/// A quota request: host to leader.
struct quota_request
{
  std::uint64_t sequence = 0;
  std::vector<quota_request_row> rows;
};

/// Tokens granted for one requested row.
struct quota_grant_row
{
  struct resource resource;
  std::int64_t units = 0;
  std::chrono::nanoseconds refillsIn{}; ///< zero: granted in full
};

/// A quota grant: the leader's answer to one quota request.
struct quota_grant
{
  std::uint64_t sequence = 0;
  std::vector<quota_grant_row> rows;
};

// ------------------------------------------------------------------ hosts

/// Tokens of one grant.
struct granted_lot
{
  std::int64_t units = 0;
  steady_time expiresAt;
};

/// The quota of one limit at this host.
struct quota_row
{
  resource_id id;
  struct resource resource;
  /// The part of the limit that this host has without a request, so also when
  /// the leader is unreachable.
  admission::token_bucket baseline;
  std::vector<granted_lot> lots; ///< by expiry, the earliest first
  double demandRate = 0;         ///< units/s, moving average
  double requestRate = 0;        ///< requests/s, moving average
  std::int64_t demandUnits = 0;  ///< requested since demandSince
  int demandRequests = 0;        ///< requests since demandSince
  steady_time demandSince;
  /// Units of each request that waits in this tick, in order of arrival.
  std::vector<std::int64_t> waiting;
  std::optional<steady_time> nextRequestAt; ///< none earlier
  steady_time poolRefilledAt; ///< when the pool expects to cover the shortfall
};

/// Tokens consumed for one request.
struct consumed_quota
{
  resource_id quotaId;
  std::int64_t baseline = 0;     ///< units
  std::uint64_t changeCount = 0; ///< of the baseline bucket
  std::int64_t granted = 0;      ///< units
  steady_time grantExpiresAt;    ///< earliest expiry of the granted units
};

struct quota_settings
{
  /// A host requests tokens when it holds less than its demand for this time.
  std::chrono::milliseconds requestBelow{ 150 };
  /// Requested tokens cover the expected demand for this time, but for half a
  /// token lifetime at most.
  std::chrono::milliseconds requestAhead{ 500 };
  /// Tokens are requested ahead only if so many requests are expected in that
  /// time; with fewer they would mostly expire unused.
  double minRequestsAhead = 2;
  /// Later answers count as lost. Round trips in a region take a few
  /// milliseconds.
  std::chrono::milliseconds answerTimeout{ 100 };
  /// Shortest time between two quota requests, so that one message covers
  /// several callers' requests.
  std::chrono::milliseconds requestInterval{ 15 };
  std::chrono::milliseconds demandInterval{ 250 }; ///< of the moving average
  double demandGain = 0.3;                ///< weight of the newest interval
  std::chrono::seconds expireAfter{ 10 }; ///< unused quotas
};

/// Totals over all limits since the start of the process, in units.
struct quota_totals
{
  std::int64_t requested = 0;    ///< from the pool
  std::int64_t granted = 0;      ///< by the pool
  std::int64_t baselineUsed = 0; ///< consumed from baselines
  std::int64_t grantedUsed = 0;  ///< consumed from grants, less returned
  std::int64_t expired = 0;      ///< granted units that nothing consumed
};

struct quota_tables
{
  quota_settings settings;
  quota_totals totals;
  table<resource_id, quota_row> quotas;
  std::uint64_t sequence = 0;      ///< of the latest quota request
  steady_time sentAt;              ///< the latest quota request
  bool isAwaiting = false;         ///< an answer to it
  bool isReachable = true;         ///< the latest quota request was answered
  std::vector<quota_grant> grants; ///< input: arrived grants
};

struct quota_outbox
{
  std::optional<quota_request> request;
  bool hasNewQuota = false;
  wake_time wake;
};

/// Sets the baseline of a limit at this host; adds its quota row.
void SetBaseline(quota_tables& aTables,
                 const resource& aResource,
                 const share& aBaseline,
                 steady_time aNow);

/// Adds aUnits to the measured demand; call it once for each request.
void RecordDemand(quota_tables& aTables,
                  const resource& aResource,
                  std::int64_t aUnits,
                  steady_time aNow);

/// Consumes aUnits, those of the baseline first; nullopt with too few units.
std::optional<consumed_quota> TryConsumeQuota(quota_tables& aTables,
                                              const resource& aResource,
                                              std::int64_t aUnits,
                                              steady_time aNow);

/// Adds a request of aUnits that waits in this tick to the next quota request.
void RecordWaiting(quota_tables& aTables,
                   const resource& aResource,
                   std::int64_t aUnits,
                   steady_time aNow);

/// Returns aUnits of aConsumed that were not used. Granted units keep their
/// expiry.
void ReturnUnused(quota_tables& aTables,
                  const consumed_quota& aConsumed,
                  std::int64_t aUnits,
                  steady_time aNow);

/// Units that can be consumed now.
std::int64_t Available(quota_tables& aTables,
                       const resource& aResource,
                       steady_time aNow);

/// Handles the leader's answers. Run it before requests consume tokens.
void RunQuotaGrants(quota_tables& aTables,
                    steady_time aNow,
                    quota_outbox& aOut);
/// Requests missing tokens. Run it after requests have consumed tokens.
void RunQuotaRequests(quota_tables& aTables,
                      steady_time aNow,
                      quota_outbox& aOut);

// ----------------------------------------------------------------- leader

struct pool_row
{
  resource_id id;
  struct resource resource;
  admission::token_bucket bucket;
  steady_time lastRequestAt;       ///< by any host
  std::uint64_t requests = 0;      ///< since they were last logged
  std::int64_t requestedUnits = 0; ///< by these requests
  std::int64_t grantedUnits = 0;   ///< by the answers to them
};

struct pool_tables
{
  table<resource_id, pool_row> pools;
};

/// Sets the rate and size of a pool. A new pool is empty, since the previous
/// leader may have granted all tokens of its own.
void SetPool(pool_tables& aTables,
             const resource& aResource,
             const share& aShare,
             steady_time aNow);

/// Answers a quota request: whole waiting requests in order, then what is
/// requested ahead while the pool is at least half full. A limit without a pool
/// grants nothing.
quota_grant HandleQuotaRequest(pool_tables& aTables,
                               const quota_request& aRequest,
                               steady_time aNow);

/// Erases the pools of cold endpoints without quota requests for 10 s.
void EvictIdlePools(pool_tables& aTables, steady_time aNow);

} // namespace bulrush::rates

#endif
