#ifndef BULRUSH_ENTRY_REQUEST_RUNNER_HPP
#define BULRUSH_ENTRY_REQUEST_RUNNER_HPP

/// The rows and members of request_runner; not for other folders. Its functions
/// are defined by job: requests.cpp has the tick, request_view.cpp what the
/// control thread published, endpoint_calls.cpp the calls to endpoints,
/// caller_answers.cpp the answers to callers, request_claims.cpp the claims.

#include "entry/answer.hpp"
#include "entry/gone_targets.hpp"
#include "entry/requests.hpp"

namespace bulrush::entry {

/// An unanswered request, or a claimed one that runs on without its caller.
struct waiting_row
{
  request_id id;
  routed_request request;
  claim_id claim;
  std::uint64_t token = 0;
  std::vector<net::http_field> answerFields; ///< for the caller
  std::string body;                          ///< of a non-streamed answer
  memory::holder held;                       ///< of the body
  int status = 0;
  bool isCounted = false;   ///< it began to run
  bool isStarted = false;   ///< the head of a stream was sent to the caller
  std::string lastEvent;    ///< id of the last event sent to the caller
  std::uint64_t events = 0; ///< of a stream, sent to the caller
};

/// A call to an endpoint.
struct call_row
{
  attempt_id id;
  request_id request;
  net::http_client::call_number call = 0;
  attempt_metadata metadata; ///< as sent to the endpoint
  steady_time startedAt;
  int status = 0; ///< of its answer; zero: no status line arrived
  std::optional<routing::answer_head> head;
  std::vector<net::http_field> answerFields;
  bool isStreamed = false;
  bool isPaused = false;     ///< its answer is not read
  bool awaitsCaller = false; ///< the caller has not read what was sent
  memory::holder held;       ///< of the answer
  std::unique_ptr<answer_buffer> answer;
};

class request_runner::implementation
{
public:
  implementation(asio::io_context& aContext,
                 const request_runner_settings& aSettings,
                 std::unique_ptr<net::http_client> aClient,
                 commit_hook aOnCommand,
                 demand_hook aOnDemand,
                 evidence_hook aOnEvidence,
                 load_hook aOnLoads,
                 start_hook aOnStarts,
                 std::function<void(part_id)> aOnRefusedPart);
  std::size_t OpenRequests() const;
  void RunSoon();
  void SetStop(const stop_plan& aPlan);
  void WhenIdle(std::function<void()> aOnIdle);
  void SetView(const traffic_view& aView);
  void HandleEvidence(const quarantine::evidence& aEvidence);
  quarantine_counts Quarantine() const;
  void HandleLoads(const std::vector<room::load_row>& aLoads);
  load_counts Loads() const;
  void Start(routed_request aRequest);

private:
  static routing::options OptionsOf(const request_runner_settings& aSettings);
  static routing::hooks HooksOf(const request_runner_settings& aSettings);
  void AllowServedVersion(routing::request_facts& aFacts);
  wake_time Tick(steady_time aNow);
  void CountSent(endpoint_id aEndpoint) const;
  void LogOutflow(const routing::outflow_change& aChange) const;
  void PublishEvidence();
  void NotifyIfIdle();

  // request_view.cpp
  void DivideRetryBudget();
  void UpdateEndpoints(bool aAll);
  void RemoveGoneEndpoints();
  void LogRemovalUnderAttempts(endpoint_id aEndpoint) const;
  void UpdateGoneTargets(const fleet_state& aNew);
  void CancelWithdrawnKeys();

  // endpoint_calls.cpp
  void OnHead(attempt_id aAttempt, const net::http_answer_head& aHead);
  void RecordStart(const call_row& aRow);
  void HandleLoad(attempt_id aAttempt, const routing::endpoint_load& aLoad);
  void OnBytes(attempt_id aAttempt, std::string_view aBytes);
  void OnEnd(attempt_id aAttempt, const net::http_call_end& aEnd);
  void LogLeaving(const call_row& aRow,
                  const routing::answer_head& aHead) const;
  void LogFailure(const call_row& aRow,
                  const char* aHow,
                  const std::string& aError) const;
  void LogKept(const routing::kept_attempt& aKept, steady_time aNow) const;
  bool IsWhole(const call_row& aRow) const;
  std::size_t MaxHeldBytes() const;
  bool StatesTooLargeLength(const std::vector<net::http_field>& aFields) const;
  void End(attempt_id aAttempt, routing::attempt_end aHow);
  memory::holder HoldAnswer(attempt_id aAttempt, endpoint_id aEndpoint);
  void UpdatePause(attempt_id aAttempt);
  void EndForMemory(attempt_id aAttempt, const std::string& aReason);
  void EraseEnded();
  void StartCall(const routing::start_attempt& aStart);
  attempt_metadata AttemptOf(const routing::start_attempt& aStart,
                             const waiting_row& aWaiting) const;
  void Cancel(attempt_id aAttempt);

  // caller_answers.cpp
  void OnDisconnected(request_id aRequest);
  void Forward(const routing::forward_to_caller& aForward);
  void OnDrained(request_id aRequest);
  void EndCaller(const routing::end_request& aEnd);
  void SendEnd(const routing::end_request& aEnd, waiting_row& aRow);
  static int StatusOf(const routing::end_request& aEnd,
                      const waiting_row& aRow);
  std::optional<std::int64_t> UsedTokens(const routing::end_request& aEnd,
                                         const waiting_row& aRow) const;
  static void FinishAnswer(waiting_row& aRow);

  // request_claims.cpp
  static claim_id ClaimOf(const routed_request& aRequest);
  void Claim(const routing::request_claim& aAsk, steady_time aNow);
  void OnClaim(request_id aRequest,
               const claim_request& aClaim,
               const wire::command_reply& aReply);
  void Record(const routing::record_outcome& aRecord, steady_time aNow);
  void Release(claim_id aClaim, std::uint64_t aToken, steady_time aNow);
  void Commit(fleet_change aChange, steady_time aDeadline, command_hook aHook);

  /// The latest report of an endpoint that was passed to routing.
  struct report_key
  {
    endpoint_id id;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    bool operator==(const report_key&) const = default;
  };

  const front_end& mFront;
  retry_budget mRetryBudget;
  std::function<void(bool)> mOnSent; ///< see request_runner_settings
  commit_hook mOnCommand;
  demand_reporter mDemand;
  evidence_hook mOnEvidence;
  load_reporter mLoads;
  load_counts mLoadCounts;
  start_reporter mStarts;
  std::function<void(part_id)> mOnRefusedPart;
  std::uint64_t mPublishedEvidence = 0; ///< serial of the newest change
  random_engine mClaimTokens;
  traffic_view mView;
  gone_targets mGoneTargets;
  routing::tables mEngine;
  routing::outbox mOutbox;
  table<endpoint_id, report_key> mReports;
  std::unordered_map<endpoint_id, std::string, id_hash> mEndpointNames;
  table<request_id, waiting_row> mWaiting;
  table<attempt_id, call_row> mCalls;
  std::vector<attempt_id> mEnded;
  std::vector<request_id> mAnswered;
  std::shared_ptr<memory::account> mAccount;
  /// Outcomes that are being committed, by number.
  std::unordered_map<std::uint64_t, memory::holder> mHeldOutcomes;
  std::uint64_t mLastOutcome = 0;
  std::unique_ptr<net::http_client> mClient;
  std::function<void()> mOnIdle;
  net::tick_timer mTimer;
};

} // namespace bulrush::entry

#endif
