#ifndef BULRUSH_ENTRY_ADMISSION_HPP
#define BULRUSH_ENTRY_ADMISSION_HPP

/// Admission on a traffic thread: the thread is a holder of leases and shares,
/// reserves tokens at the point of use and lets requests wait in the fair
/// queue. Decisions are those of the admission library.

#include "admission/admission.hpp"
#include "fleet/fleet.hpp"
#include "rates/rates.hpp"
#include "routing/routing.hpp"

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

/// A request from its arrival to its end.
struct admitted_row
{
  request_id id;
  workspace_id workspace;
  kind_id kind;            ///< of requests that take about as long
  std::int64_t tokens = 0; ///< upper bound
  /// Longest wait for tokens; an answer after it would be late anyhow.
  std::chrono::nanoseconds patience = std::chrono::seconds{ 1 };
  /// The same while the leader is out of reach: another is elected soon.
  std::chrono::nanoseconds patienceCutOff{ 0 };
  steady_time arrivedAt;
  steady_time deadline;
  admission_state state = admission_state::eNew;
  admission::reservation reserved;    ///< of a rate that is shared out, or
  std::optional<rates::payment> paid; ///< of one that tolerates a window
  bool isCounted = false;             ///< as demand
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
  rates::rate_tolerance tolerance; ///< none: rates are shared out
  rates::purse_tables purses;
};

struct admission_outbox
{
  std::vector<admission::renewal> renewals;
  std::optional<rates::draw> draw;
  bool hasNewTokens = false; ///< for what waits elsewhere
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

/// Whether the endpoint bears one request more of this host while it is cold,
/// by its rate or else by its slots; a lack is asked for.
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
