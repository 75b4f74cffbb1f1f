#ifndef BULRUSH_ENTRY_ADMISSION_RUNNER_HPP
#define BULRUSH_ENTRY_ADMISSION_RUNNER_HPP

/// Runs admission for one traffic thread: its tick, its messages to the control
/// thread, and the requests that wait for tokens and their turn.

#include "entry/admission.hpp"
#include "entry/entry.hpp"
#include "entry/requests.hpp"
#include "entry/resolve.hpp"
#include "entry/stop.hpp"
#include "entry/tables.hpp"
#include "net/net.hpp"

#include <asio/io_context.hpp>

namespace bulrush::entry {

struct admission_runner_settings
{
  std::string hostName;
  std::uint64_t incarnation = 0; ///< of this process
  std::string domain;
  rates::rate_tolerance tolerance;
  const front_end* front = nullptr; ///< outlives the runner
};

struct admission_runner_hooks
{
  std::function<void(admission::renewal)> onRenewal;
  std::function<void(rates::quota_request)> onQuotaRequest;
  std::function<void(routed_request, steady_time aNow)> onAdmitted;
  std::function<void()> onNewQuota; ///< cold-start gates may open
};

class admission_runner
{
public:
  admission_runner(asio::io_context& aContext,
                   admission_runner_settings aSettings,
                   admission_runner_hooks aHooks);
  admission_runner(const admission_runner&) = delete;
  admission_runner& operator=(const admission_runner&) = delete;

  void SetView(const traffic_view& aView);
  void HandleShareGrant(admission::grant aGrant);
  void HandleQuotaGrant(rates::quota_grant aGrant);
  void SetStop(const stop_plan& aPlan);
  /// Once no request is left, returns the shares and calls aOnReturned.
  void ReturnSharesWhenIdle(std::function<void()> aOnReturned);

  /// Queues a request for tokens and its turn. It is passed on once admitted,
  /// or refused.
  void Admit(routed_request aRequest, const resolved_call& aResolved);
  /// Ends a request and returns its unused tokens.
  void Release(request_id aRequest, std::int64_t aUsedTokens);

  /// The cold-start gate of the requests that are routed.
  routing::cold_gate ColdGate();
  bool HasLease(steady_time aNow) const;
  std::size_t OpenRequests() const { return mTables.requests.Size(); }

private:
  std::size_t Capacity() const;
  std::int64_t LargestRequest(const workspace_row& aWorkspace) const;
  refuse_hook RefusalOf(const routed_request& aRequest, std::int64_t aTokens);
  std::int64_t HeldUnits(const admission::resource& aWhat) const;
  void LogRefusal(const std::string& aCallerId,
                  const std::string& aName,
                  workspace_id aWorkspace,
                  std::int64_t aTokens,
                  const refusal& aRefusal);
  /// The caller of a request that is not admitted yet has left.
  void LogCallerGone(request_id aRequest,
                     const std::string& aCallerId,
                     const std::string& aWorkspace) const;
  void LogQuotaUse(steady_time aNow);
  wake_time Tick(steady_time aNow);
  void ReturnShares(steady_time aNow);

  admission_runner_settings mSettings;
  admission_runner_hooks mHooks;
  traffic_view mView;
  admission_tables mTables;
  std::function<void()> mOnReturned; ///< set while open requests finish
  steady_time mNextQuotaLog;
  net::tick_timer mTimer;
};

} // namespace bulrush::entry

#endif
