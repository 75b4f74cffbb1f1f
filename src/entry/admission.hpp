#ifndef BULRUSH_ENTRY_ADMISSION_HPP
#define BULRUSH_ENTRY_ADMISSION_HPP

/// Admission on a traffic thread: the thread holds a lease and shares of
/// limits, reserves tokens for each request and queues requests fairly.
/// The admission and rates libraries make the decisions.

#include "admission/admission.hpp"
#include "fleet/fleet.hpp"
#include "rates/rates.hpp"
#include "routing/routing.hpp"

namespace bulrush::entry {

/// Why a request is refused before it runs.
enum class refusal_kind : std::uint8_t
{
  eOverRate,
  eRateUnreachable, ///< no tokens here, and no way to request more
  eTooLarge,        ///< larger than the burst of the workspace
  eMissesDeadline,
  eStopping, ///< this host stops
};

struct refusal
{
  refusal_kind kind = refusal_kind::eOverRate;
  std::chrono::nanoseconds retryAfter{};
};

using admit_hook = std::function<void(steady_time aNow)>;
using refuse_hook = std::function<void(const refusal&)>;

enum class admission_state : std::uint8_t
{
  eNew,
  eWaitingForTokens,
  eQueued, ///< in the fair queue
  eRunning,
};

using kind_id = typed_id<struct kind_tag>;

/// Service time of requests of one kind: one route or one model.
struct kind_row
{
  kind_id id;
  double serviceSeconds = 0; ///< moving average, from admission to the end
};

/// A request from its arrival to its end.
struct admitted_row
{
  request_id id;
  workspace_id workspace;
  kind_id kind;            ///< requests of similar service time
  std::int64_t tokens = 0; ///< upper bound
  /// Longest wait for tokens; with a longer one the answer would be late.
  std::chrono::nanoseconds maxWait = std::chrono::seconds{ 1 };
  /// Longest wait while the leader is unreachable; long enough for another to
  /// be elected.
  std::chrono::nanoseconds maxWaitWithoutLeader{ 0 };
  steady_time arrivedAt;
  steady_time deadline;
  admission_state state = admission_state::eNew;
  admission::reservation reserved; ///< if tolerance.window is zero
  std::optional<rates::consumed_quota> consumed; ///< if it is not
  bool isInDemand = false;                       ///< in the demand for the rate
  steady_time startedAt;
  admit_hook onAdmitted;
  refuse_hook onRefused;
};

struct admission_tables
{
  admission::escrow_tables escrow;
  admission::queue_tables queue;
  table<request_id, admitted_row> requests;
  std::size_t capacity = 0; ///< concurrent requests that endpoints accept
  std::size_t running = 0;
  table<kind_id, kind_row> kinds;
  rates::rate_tolerance tolerance; ///< window 0: rates use the escrow
  rates::quota_tables quotas;
  /// Requests that are not admitted by then are refused; set when the host
  /// stops.
  steady_time admitBy = steady_time::max();
};

struct admission_outbox
{
  std::vector<admission::renewal> renewals;
  std::optional<rates::quota_request> quotaRequest;
  bool hasNewQuota = false; ///< cold-start gates may open
  std::vector<admit_hook> admitted;
  std::vector<std::pair<refuse_hook, refusal>> refused;
  wake_time wake;
};

/// Rates are served from baselines and the leader's pools.
bool ToleratesWindow(const admission_tables& aTables);

/// Tables of a thread that is the holder for aHost.
admission_tables MakeAdmission(host_id aHost, std::uint64_t aIncarnation);

/// Applies a new configuration: limits, weights, the delegate's epoch.
void SetFleet(admission_tables& aTables,
              const fleet_state& aFleet,
              domain_id aDomain,
              steady_time aNow);

/// Adds a request; a later tick calls one of the row's hooks.
void Admit(admission_tables& aTables, admitted_row aRow);

/// Ends a request in any state and returns its unused tokens.
void Finish(admission_tables& aTables,
            request_id aRequest,
            std::int64_t aUsedTokens,
            steady_time aNow);

/// Whether a cold endpoint accepts one more request from this host: by its
/// cold rate if it has one, else by its slots. If not, more are requested.
bool IsColdGateOpen(admission_tables& aTables,
                    const routing::endpoint_facts& aEndpoint,
                    steady_time aNow);
void EnterColdGate(admission_tables& aTables,
                   const routing::endpoint_facts& aEndpoint,
                   steady_time aEnds,
                   steady_time aNow);
void LeaveColdGate(admission_tables& aTables,
                   endpoint_id aEndpoint,
                   std::uint64_t aIncarnation);

/// All systems in their order.
void RunAdmission(admission_tables& aTables,
                  steady_time aNow,
                  admission_outbox& aOutbox);

} // namespace bulrush::entry

#endif
