#ifndef BULRUSH_ENTRY_ADMISSION_HPP
#define BULRUSH_ENTRY_ADMISSION_HPP

/// Admission on a traffic thread: the thread is a holder of leases and shares,
/// reserves tokens at the point of use and lets requests wait in the fair
/// queue. Decisions are those of the admission library.

#include "admission/admission.hpp"
#include "fleet/fleet.hpp"

namespace bulrush::entry {

/// Why a request is refused; it has not run.
enum class refusal_kind : std::uint8_t
{
  eOverRate,
  eCutOff,
  eTooLarge, ///< larger than the burst of the workspace
  eLate,     ///< cannot make its deadline
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
  eShort,  ///< waits for tokens
  eQueued, ///< waits for its turn
  eRunning,
};

using kind_id = typed_id<struct kind_tag>;

/// How long requests of one kind take.
struct kind_row
{
  kind_id id;
  double serviceSeconds = 0; ///< moving average from sending to the end
};

/// The part of a workspace's rate that stands at this host.
struct standing_row
{
  workspace_id id;
  admission::token_bucket bucket;
};

/// A request from its arrival to its end.
struct admitted_row
{
  request_id id;
  workspace_id workspace;
  kind_id kind;            ///< of requests that take about as long
  std::int64_t tokens = 0; ///< upper bound
  /// Longest wait for tokens; an answer after it would be late anyhow.
  std::chrono::nanoseconds patience = std::chrono::seconds{ 1 };
  steady_time arrivedAt;
  steady_time deadline;
  admission_state state = admission_state::eNew;
  admission::reservation reserved;
  std::int64_t standingTokens = 0; ///< of them from the standing part
  std::uint64_t standingPoint = 0; ///< of the history of that part's bucket
  steady_time startedAt;
  admit_hook onAdmitted;
  refuse_hook onRefused;
};

struct admission_tables
{
  admission::escrow_tables escrow;
  admission::queue_tables queue;
  table<request_id, admitted_row> requests;
  std::size_t capacity = 0; ///< requests that the endpoints bear at once
  std::size_t running = 0;
  table<kind_id, kind_row> kinds;
  admission::rate_tolerance tolerance;
  table<workspace_id, standing_row> standing;
};

struct admission_outbox
{
  std::vector<admission::renewal> renewals;
  std::vector<admit_hook> admitted;
  std::vector<std::pair<refuse_hook, refusal>> refused;
  wake_time wake;
};

/// Tables of a thread that holds what aHost is given.
admission_tables MakeAdmission(host_id aHost, std::uint64_t aIncarnation);

/// Takes over a new configuration: limits, weights, the delegate's epoch.
void SetFleet(admission_tables& aTables,
              const fleet_state& aFleet,
              domain_id aDomain,
              steady_time aNow);

/// Reserves or lets wait; one of the row's hooks is called from a later tick.
void Admit(admission_tables& aTables, admitted_row aRow);

/// Ends a request at whatever point it is; returns what it did not use.
void Finish(admission_tables& aTables,
            request_id aRequest,
            std::int64_t aUsedTokens,
            steady_time aNow);

/// All systems in their order.
void RunAdmission(admission_tables& aTables,
                  steady_time aNow,
                  admission_outbox& aOutbox);

} // namespace bulrush::entry

#endif
