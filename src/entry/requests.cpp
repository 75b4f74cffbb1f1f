#include "entry/requests.hpp"

#include "entry/answer.hpp"
#include "entry/endpoint_facts.hpp"
#include "entry/gone_targets.hpp"
#include "entry/outcomes.hpp"
#include "entry/request_log.hpp"
#include "program/program.hpp"

#include <algorithm>

namespace bulrush::entry {

using net::Now;
using routing::request_outcome;

namespace {

constexpr log_component kLog{ "request" };
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr std::chrono::seconds kRecordTimeout{ 30 };
/// Share of the fleet's retry budget that is divided among the known hosts; the
/// rest covers hosts that have started and are not counted yet.
constexpr double kRetryBudgetShare = 0.75;
/// Round trips within a region take a few milliseconds.
constexpr std::chrono::milliseconds kConnectTimeout{ 300 };
constexpr std::size_t kMaxBufferedBytes = 33'554'432;
constexpr std::size_t kMaxStoredBytes = 65'536;
constexpr std::size_t kPauseAtBytes = 262'144;

/// An unanswered request, or a claimed one that runs on without its caller.
struct waiting_row
{
  request_id id;
  routed_request request;
  claim_id claim;
  std::uint64_t token = 0;
  std::vector<net::http_field> answerFields; ///< for the caller
  std::string body;                          ///< of a non-streamed answer
  int status = 0;
  bool isStarted = false; ///< the head of a stream was sent to the caller
  std::string lastEvent;  ///< id of the last event sent to the caller
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
  bool isPaused = false;
  std::unique_ptr<answer_buffer> answer;
};

} // namespace

class request_runner::implementation
{
public:
  implementation(asio::io_context& aContext,
                 const request_runner_settings& aSettings,
                 std::unique_ptr<net::http_client> aClient,
                 commit_hook aOnCommand,
                 demand_hook aOnDemand,
                 evidence_hook aOnEvidence,
                 std::function<void(part_id)> aOnRefusedPart)
    : mFront(*aSettings.front)
    , mRetryBudget(aSettings.retries)
    , mOnCommand(std::move(aOnCommand))
    , mDemand(std::move(aOnDemand))
    , mOnEvidence(std::move(aOnEvidence))
    , mOnRefusedPart(std::move(aOnRefusedPart))
    , mClaimTokens(aSettings.seed)
    , mEngine(OptionsOf(aSettings), HooksOf(aSettings))
    , mClient(std::move(aClient))
    , mTimer(aContext, [this](steady_time aNow) { return Tick(aNow); })
  {
    mEngine.quarantined.self = aSettings.host;
    mEngine.policy.isTargetGone = [this](const routing::request_facts& aFacts) {
      return mGoneTargets.IsGone(aFacts);
    };
  }

  std::size_t OpenRequests() const { return mWaiting.Size(); }
  void RunSoon() { mTimer.RunSoon(); }

  void SetStop(const stop_plan& aPlan)
  {
    mEngine.settings.placementDeadline = aPlan.placeBy;
    mEngine.settings.finishBy = aPlan.finishBy;
    mTimer.RunSoon();
  }

  void WhenIdle(std::function<void()> aOnIdle)
  {
    mOnIdle = std::move(aOnIdle);
    mTimer.RunSoon();
  }

  void SetView(const traffic_view& aView)
  {
    const bool hasNewFleet = mView.fleet != aView.fleet;
    const bool hasNewKeys = hasNewFleet || mView.tombstones != aView.tombstones;
    UpdateGoneTargets(*aView.fleet);
    mView = aView;
    DivideRetryBudget();
    UpdateEndpoints(hasNewFleet);
    if (hasNewKeys) {
      CancelWithdrawnKeys();
    }
    mTimer.RunSoon();
  }

  void HandleEvidence(const quarantine::evidence& aEvidence)
  {
    quarantine::Merge(mEngine.quarantined, aEvidence, Now());
    mTimer.RunSoon();
  }

  quarantine_counts Quarantine() const
  {
    quarantine_counts counts;
    for (const auto& row : mEngine.quarantined.suspects) {
      ++(quarantine::IsQuarantined(mEngine.quarantined, row)
           ? counts.quarantined
           : counts.suspected);
    }
    return counts;
  }

  void Start(routed_request aRequest)
  {
    waiting_row row;
    row.id = aRequest.facts.id;
    row.token = mClaimTokens();
    row.claim = ClaimOf(aRequest);
    aRequest.reply->onDisconnected = [this, id = row.id] {
      OnDisconnected(id);
    };
    aRequest.reply->onDrained = [this, id = row.id] { OnDrained(id); };
    AllowServedVersion(aRequest.facts);
    mDemand.Count({ aRequest.facts.model, aRequest.facts.adapter });
    routing::AddRequest(mEngine, aRequest.facts);
    row.request = std::move(aRequest);
    mWaiting.Insert(std::move(row));
    mTimer.RunSoon();
  }

private:
  static routing::options OptionsOf(const request_runner_settings& aSettings)
  {
    routing::options options;
    options.localDomain = IdOf<domain_id>(aSettings.domain);
    options.seed = aSettings.seed;
    options.trustsNotRun = aSettings.front->trustsNotRun;
    options.endpointsCheckIncarnation =
      aSettings.front->endpointsCheckIncarnation;
    return options;
  }

  static routing::hooks HooksOf(const request_runner_settings& aSettings)
  {
    routing::hooks hooks = routing::DefaultHooks();
    hooks.coldGate = aSettings.coldGate;
    return hooks;
  }

  // An idempotency key is scoped to one workspace and one path.
  static claim_id ClaimOf(const routed_request& aRequest)
  {
    const routing::request_facts& facts = aRequest.facts;
    return IdOf<claim_id>(FormatId(facts.workspace.value) + '\n' +
                          aRequest.path + '\n' + facts.idempotencyKey);
  }

  // While the declared version is still loading everywhere, any version serves.
  void AllowServedVersion(routing::request_facts& aFacts)
  {
    if (!routing::IsServed(
          mEngine, { { aFacts.model, aFacts.adapter }, aFacts.version })) {
      aFacts.version = 0;
    }
  }

  // Each host uses an equal part of the fleet's retry budget.
  void DivideRetryBudget()
  {
    if (mRetryBudget.share > 0) {
      mEngine.settings.retryShare = kRetryBudgetShare * mRetryBudget.share;
      mEngine.settings.retryBurst =
        kRetryBudgetShare * mRetryBudget.burst / HostCount(*mView.fleet);
    }
  }

  // Input -------------------------------------------------------------------

  void UpdateEndpoints(bool aAll)
  {
    for (const endpoint_row& row : *mView.endpoints) {
      const report_key latest{ row.id, row.incarnation, row.sequence };
      const report_key* known = mReports.Find(row.id);
      if (!aAll && known != nullptr && *known == latest) {
        continue;
      }
      mReports.Insert(latest);
      mEndpointNames[row.id] = row.name;
      routing::UpdateEndpoint(mEngine, FactsOf(row, mView, mFront));
      routing::SetResidents(mEngine, row.id, ResidentsOf(row));
    }
    if (mReports.Size() != mView.endpoints->size()) {
      RemoveGoneEndpoints();
    }
  }

  void RemoveGoneEndpoints()
  {
    std::unordered_set<endpoint_id, id_hash> present;
    for (const endpoint_row& row : *mView.endpoints) {
      present.insert(row.id);
    }
    mReports.EraseIf([&](const report_key& aKnown) {
      const bool isGone = !present.contains(aKnown.id);
      if (isGone) {
        LogRemovalUnderAttempts(aKnown.id);
        routing::RemoveEndpoint(mEngine, aKnown.id);
        mEndpointNames.erase(aKnown.id);
      }
      return isGone;
    });
  }

  void LogRemovalUnderAttempts(endpoint_id aEndpoint) const
  {
    const auto* endpoint = mEngine.endpoints.Find(aEndpoint);
    if (endpoint != nullptr && endpoint->inFlight > 0) {
      LogRemovedEndpoint(mEndpointNames.at(aEndpoint), endpoint->inFlight);
    }
  }

  void UpdateGoneTargets(const fleet_state& aNew)
  {
    if (mView.fleet->manifestRevision == aNew.manifestRevision) {
      return;
    }
    if (mWaiting.Empty()) {
      mGoneTargets.Clear();
    }
    mGoneTargets.Update(mView.fleet->declared, aNew.declared);
  }

  // Only withdrawal cancels requests. A key that is just removed from the
  // manifest admits no new requests, and those admitted are finished.
  void CancelWithdrawnKeys()
  {
    for (const waiting_row& row : mWaiting) {
      const key_hash& key = row.request.facts.key;
      const key_row* known = mView.fleet->keys.Find(key);
      const bool isWithdrawn = (known != nullptr && known->isWithdrawn) ||
                               mView.tombstones->contains(key);
      if (isWithdrawn) {
        routing::CancelByKey(mEngine, key);
      }
    }
  }

  void OnDisconnected(request_id aRequest)
  {
    routing::OnCallerDisconnected(mEngine, aRequest);
    mTimer.RunSoon();
  }

  void OnHead(attempt_id aAttempt, const net::http_answer_head& aHead)
  {
    call_row* row = mCalls.Find(aAttempt);
    row->status = aHead.status;
    row->answerFields = mFront.answerFields(aHead.fields);
    if (const auto load = mFront.readLoad(aHead.fields)) {
      HandleLoad(aAttempt, *load);
    }
    routing::answer_head head =
      mFront.readAnswer(row->metadata, aHead.status, aHead.fields);
    head.isFirstOnConnection = aHead.isFirstOnConnection;
    row->head = head;
    LogLeaving(*row, head);
    const bool isSuccess =
      aHead.status >= kFirstSuccess && aHead.status < kFirstRedirect;
    row->answer = std::make_unique<answer_buffer>(row->isStreamed && isSuccess,
                                                  head.startOffset);
    if (mFront.eventIdsRise) {
      const waiting_row* waiting = mWaiting.Find(row->request);
      row->answer->RequireRisingIds(waiting == nullptr ? ""
                                                       : waiting->lastEvent);
    }
    routing::OnAttemptHeaders(mEngine, aAttempt, head, Now());
    mTimer.RunSoon();
  }

  void HandleLoad(attempt_id aAttempt, const endpoint_load& aLoad)
  {
    if (const auto* attempt = mEngine.attempts.Find(aAttempt)) {
      routing::OnEndpointLoad(
        mEngine, attempt->endpoint, aLoad.running + aLoad.queued, Now());
    }
  }

  void OnBytes(attempt_id aAttempt, std::string_view aBytes)
  {
    call_row* row = mCalls.Find(aAttempt);
    if (row->answer == nullptr) {
      return;
    }
    const std::uint64_t first = row->answer->NextUnit();
    const std::uint64_t count = row->answer->Add(aBytes);
    if (row->answer->BufferedBytes() > kMaxBufferedBytes) {
      mClient->Cancel(row->call);
      LogFailure(*row,
                 "truncated",
                 "buffered more than " + std::to_string(kMaxBufferedBytes) +
                   " bytes");
      End(aAttempt, routing::attempt_end::eTruncated);
      return;
    }
    routing::OnAttemptBytes(
      mEngine, aAttempt, first, count, row->answer->HasNewContent(), Now());
    if (row->answer->IsOutOfOrder()) {
      mClient->Cancel(row->call);
      LogFailure(*row, "out_of_order", "an event id does not follow");
      End(aAttempt, routing::attempt_end::eTruncated);
    }
    mTimer.RunSoon();
  }

  void OnEnd(attempt_id aAttempt, const net::http_call_end& aEnd)
  {
    call_row& row = *mCalls.Find(aAttempt);
    if (aEnd.isComplete && row.answer != nullptr &&
        !mFront.streamsHaveEndMark) {
      const std::uint64_t first = row.answer->NextUnit();
      const std::uint64_t count = row.answer->EndMessage();
      routing::OnAttemptBytes(
        mEngine, aAttempt, first, count, row.answer->HasNewContent(), Now());
    }
    auto how = routing::attempt_end::eLost;
    const char* text = "lost";
    if (!aEnd.requestSent) {
      how = routing::attempt_end::eNotSent;
      text = "not_sent";
    } else if (aEnd.isComplete && IsWhole(row) && !row.answer->IsOutOfOrder()) {
      how = routing::attempt_end::eComplete;
      text = "answered";
    } else if (row.answer != nullptr) {
      how = routing::attempt_end::eTruncated;
      text = "truncated";
    }
    const bool isSuccess =
      row.status >= kFirstSuccess && row.status < kFirstRedirect;
    const bool endsInsideEvent =
      row.answer != nullptr && row.answer->EndsInsideEvent();
    if (how != routing::attempt_end::eComplete || !isSuccess) {
      LogFailure(
        row, text, endsInsideEvent ? "ended inside an event" : aEnd.error);
    }
    if (aEnd.isClosedByPeer || endsInsideEvent) {
      routing::OnConnectionLost(mEngine, aAttempt);
    }
    End(aAttempt, how);
  }

  // Logged for the first answer of an endpoint that states so.
  void LogLeaving(const call_row& aRow, const routing::answer_head& aHead) const
  {
    const auto* attempt = mEngine.attempts.Find(aRow.id);
    const auto* endpoint =
      attempt == nullptr ? nullptr : mEngine.endpoints.Find(attempt->endpoint);
    if (aHead.isLeaving && endpoint != nullptr && !endpoint->isLeaving) {
      LogLeavingAnswer(aRow.metadata);
    }
  }

  void LogFailure(const call_row& aRow,
                  const char* aHow,
                  const std::string& aError) const
  {
    if (const waiting_row* waiting = mWaiting.Find(aRow.request)) {
      LogFailedAttempt(waiting->request,
                       { aRow.metadata.endpoint,
                         aHow,
                         aRow.status,
                         aError,
                         Now() - aRow.startedAt,
                         aRow.head });
    }
  }

  void LogKept(const routing::kept_attempt& aKept, steady_time aNow) const
  {
    const waiting_row* waiting = mWaiting.Find(aKept.request);
    const call_row* call = mCalls.Find(aKept.attempt);
    if (waiting != nullptr && call != nullptr) {
      LogKeptAttempt(waiting->request, call->metadata.endpoint, aKept, aNow);
    }
  }

  // A stream without its end mark, or that ends inside an event, is truncated
  // even if the message is complete.
  bool IsWhole(const call_row& aRow) const
  {
    if (aRow.answer == nullptr || !aRow.answer->IsStream()) {
      return aRow.answer != nullptr;
    }
    return mFront.streamsHaveEndMark ? aRow.answer->HasEndMark()
                                     : !aRow.answer->EndsInsideEvent();
  }

  // The row is kept until routing no longer needs its bytes.
  void End(attempt_id aAttempt, routing::attempt_end aHow)
  {
    routing::OnAttemptEnd(mEngine, aAttempt, aHow, Now());
    mEnded.push_back(aAttempt);
    mTimer.RunSoon();
  }

  // Decisions ---------------------------------------------------------------

  wake_time Tick(steady_time aNow)
  {
    mOutbox.Clear();
    routing::Tick(mEngine, aNow, mOutbox);
    for (const routing::cancel_attempt& each : mOutbox.cancels) {
      Cancel(each.attempt);
    }
    for (const routing::forward_to_caller& each : mOutbox.forwards) {
      Forward(each);
    }
    for (const routing::record_outcome& each : mOutbox.records) {
      Record(each, aNow);
    }
    for (const routing::end_request& each : mOutbox.ends) {
      EndCaller(each);
    }
    for (const routing::request_claim& each : mOutbox.claims) {
      Claim(each, aNow);
    }
    for (const routing::start_attempt& each : mOutbox.starts) {
      StartCall(each);
    }
    for (const routing::kept_attempt& each : mOutbox.kept) {
      LogKept(each, aNow);
    }
    EraseEnded();
    PublishEvidence();
    NotifyIfIdle();
    mDemand.Report(mEngine, aNow, mOutbox.wake);
    return mOutbox.wake;
  }

  void PublishEvidence()
  {
    auto changes =
      quarantine::ChangesSince(mEngine.quarantined, mPublishedEvidence);
    if (!changes.Empty()) {
      LogEvidence(kLog, mEngine.quarantined, changes);
      mOnEvidence(std::move(changes));
    }
    mPublishedEvidence = mEngine.quarantined.serial;
  }

  void NotifyIfIdle()
  {
    if (mOnIdle && mWaiting.Empty()) {
      const auto hook = std::move(mOnIdle);
      mOnIdle = nullptr;
      hook();
    }
  }

  // Erases ended calls and requests that routing has removed.
  void EraseEnded()
  {
    for (const attempt_id attempt : mEnded) {
      if (mEngine.attempts.Find(attempt) == nullptr) {
        mCalls.Erase(attempt);
      }
    }
    std::erase_if(mEnded, [this](attempt_id aAttempt) {
      return mCalls.Find(aAttempt) == nullptr;
    });
    for (const request_id request : mAnswered) {
      if (mEngine.requests.Find(request) == nullptr) {
        mWaiting.Erase(request);
      }
    }
    std::erase_if(mAnswered, [this](request_id aRequest) {
      return mWaiting.Find(aRequest) == nullptr;
    });
  }

  void StartCall(const routing::start_attempt& aStart)
  {
    waiting_row& waiting = *mWaiting.Find(aStart.request);
    // A stop shortens them.
    const auto& facts = mEngine.requests.Find(aStart.request)->facts;
    waiting.request.facts.deadline = facts.deadline;
    waiting.request.facts.lastByteDeadline = facts.lastByteDeadline;
    call_row row;
    row.metadata = AttemptOf(aStart, waiting);
    net::http_call call = waiting.request.call;
    call.url = "http://" + aStart.address + waiting.request.target;
    mFront.writeAttempt(row.metadata, call.fields);
    call.freshConnection = aStart.freshConnection;
    call.connectTimeout = std::min(kConnectTimeout, aStart.timeout);
    const attempt_id attempt = aStart.attempt;
    LogAttempt(mEngine, aStart, waiting.request, row.metadata, *mView.fleet);
    row.id = attempt;
    row.startedAt = Now();
    row.request = aStart.request;
    row.isStreamed = waiting.request.facts.isStreamed;
    row.call = mClient->Start(
      std::move(call),
      { [this, attempt](const net::http_answer_head& aHead) {
         OnHead(attempt, aHead);
       },
        [this, attempt](std::string_view aBytes) { OnBytes(attempt, aBytes); },
        [this, attempt](const net::http_call_end& aEnd) {
          OnEnd(attempt, aEnd);
        } });
    mCalls.Insert(std::move(row));
  }

  attempt_metadata AttemptOf(const routing::start_attempt& aStart,
                             const waiting_row& aWaiting) const
  {
    attempt_metadata metadata;
    metadata.attempt = aStart.attempt;
    metadata.callerId = aWaiting.request.callerId;
    metadata.workspace = aWaiting.request.workspaceName;
    const auto name = mEndpointNames.find(aStart.endpoint);
    metadata.endpoint = name == mEndpointNames.end() ? "" : name->second;
    const auto& facts = aWaiting.request.facts;
    const steady_time end =
      facts.isStreamed && facts.lastByteDeadline != steady_time::max()
        ? facts.lastByteDeadline
        : facts.deadline;
    metadata.timeLeft =
      std::max(std::chrono::milliseconds{ 1 },
               std::chrono::floor<std::chrono::milliseconds>(end - Now()));
    metadata.resumeOffset = aStart.resumeOffset;
    metadata.resumeAfter = aWaiting.lastEvent.empty()
                             ? aWaiting.request.resumeAfter
                             : aWaiting.lastEvent;
    return metadata;
  }

  // The client calls no hooks of a cancelled call, so its end is passed to
  // routing here. The endpoint notices by the closed connection.
  void Cancel(attempt_id aAttempt)
  {
    if (const call_row* row = mCalls.Find(aAttempt)) {
      mClient->Cancel(row->call);
      LogFailure(*row, "given_up", "");
      End(aAttempt, routing::attempt_end::eCancelled);
    }
  }

  void Forward(const routing::forward_to_caller& aForward)
  {
    call_row& row = *mCalls.Find(aForward.attempt);
    waiting_row& waiting = *mWaiting.Find(aForward.request);
    waiting.status = aForward.status;
    waiting.answerFields = row.answerFields;
    std::string bytes = row.answer->Take(aForward.count);
    if (!row.answer->IsStream()) {
      waiting.body = std::move(bytes);
      return;
    }
    net::http_reply& reply = *waiting.request.reply;
    if (!waiting.isStarted) {
      waiting.isStarted = true;
      reply.Start(aForward.status, row.answerFields);
    }
    if (!row.answer->LastEvent().empty()) {
      waiting.lastEvent = row.answer->LastEvent();
    }
    reply.Write(std::move(bytes));
    if (reply.UnsentBytes() > kPauseAtBytes && !row.isPaused) {
      row.isPaused = true;
      mClient->Pause(row.call);
    }
  }

  // Resumes reading from the endpoint when the caller's connection has drained.
  void OnDrained(request_id aRequest)
  {
    for (call_row& row : mCalls) {
      if (row.request == aRequest && row.isPaused) {
        row.isPaused = false;
        mClient->Resume(row.call);
      }
    }
  }

  void EndCaller(const routing::end_request& aEnd)
  {
    waiting_row& row = *mWaiting.Find(aEnd.request);
    mAnswered.push_back(aEnd.request);
    LogRequestEnd(row.request, aEnd, StatusOf(aEnd, row), Now());
    if (aEnd.part) {
      mOnRefusedPart(aEnd.part);
    }
    net::http_reply& reply = *row.request.reply;
    reply.onDisconnected = nullptr;
    reply.onDrained = nullptr;
    if (row.request.onEnded) {
      row.request.onEnded(UsedTokens(aEnd, row));
    }
    if (aEnd.outcome == request_outcome::eCallerGone) {
      return;
    }
    if (aEnd.outcome == request_outcome::eAnswered) {
      FinishAnswer(row);
    } else if (aEnd.outcome == request_outcome::eStoredAnswer) {
      reply.Send(row.status,
                 { { "Content-Type", ContentTypeOf(row.answerFields) },
                   { "Idempotent-Replay", "true" } },
                 std::move(row.body));
    } else if (row.isStarted) {
      mFront.breakStream(reply, ErrorOf(aEnd), FormatId(row.id.value));
    } else {
      mFront.sendError(reply, ErrorOf(aEnd), FormatId(row.id.value));
    }
  }

  // Status sent to the caller; zero if the caller disconnected.
  static int StatusOf(const routing::end_request& aEnd, const waiting_row& aRow)
  {
    if (aEnd.outcome == request_outcome::eCallerGone) {
      return 0;
    }
    const bool isAnswer = aEnd.outcome == request_outcome::eAnswered ||
                          aEnd.outcome == request_outcome::eStoredAnswer;
    return isAnswer || aRow.isStarted ? aRow.status : ErrorOf(aEnd).status;
  }

  // The usage of a stream is unknown, so its upper bound is charged.
  std::optional<std::int64_t> UsedTokens(const routing::end_request& aEnd,
                                         const waiting_row& aRow) const
  {
    if (aEnd.ran == routing::ran_state::eNotRun) {
      return 0;
    }
    return aRow.isStarted || !mFront.readUsage ? std::nullopt
                                               : mFront.readUsage(aRow.body);
  }

  static void FinishAnswer(waiting_row& aRow)
  {
    net::http_reply& reply = *aRow.request.reply;
    if (aRow.isStarted) {
      reply.Finish();
      return;
    }
    std::vector<net::http_field> fields = std::move(aRow.answerFields);
    fields.push_back({ "Bulrush-Request", FormatId(aRow.id.value) });
    reply.Send(aRow.status, fields, std::move(aRow.body));
  }

  // Claims ------------------------------------------------------------------

  void Claim(const routing::request_claim& aAsk, steady_time aNow)
  {
    const waiting_row& row = *mWaiting.Find(aAsk.request);
    claim_request claim;
    claim.claim = row.claim;
    claim.workspace = aAsk.workspace;
    claim.bodyDigest = aAsk.bodyDigest;
    claim.token = row.token;
    claim.runLimit = std::chrono::ceil<std::chrono::milliseconds>(
      row.request.facts.deadline - aNow + mEngine.settings.detachedTimeout);
    Commit(
      claim,
      aNow + mEngine.settings.claimTimeout,
      [this, request = aAsk.request, claim](const wire::command_reply& aReply) {
        OnClaim(request, claim, aReply);
      });
  }

  void OnClaim(request_id aRequest,
               const claim_request& aClaim,
               const wire::command_reply& aReply)
  {
    if (aReply.outcome == wire::call_outcome::eUnknown) {
      Release(aClaim.claim, aClaim.token, Now());
    }
    if (waiting_row* row = mWaiting.Find(aRequest)) {
      row->status = aReply.result.storedStatus;
      row->answerFields = { { "Content-Type",
                              aReply.result.storedContentType } };
      row->body = aReply.result.storedBody;
    }
    routing::OnClaimAnswer(mEngine, aRequest, ClaimAnswerOf(aReply));
    mTimer.RunSoon();
  }

  // "May have run" is not recorded: a claim without an outcome means the same.
  void Record(const routing::record_outcome& aRecord, steady_time aNow)
  {
    const waiting_row& row = *mWaiting.Find(aRecord.request);
    if (aRecord.ran == routing::ran_state::eNotRun) {
      Release(row.claim, row.token, aNow);
      return;
    }
    if (aRecord.ran != routing::ran_state::eRan) {
      return;
    }
    call_row& call = *mCalls.Find(aRecord.attempt);
    record_outcome outcome;
    outcome.claim = row.claim;
    outcome.token = row.token;
    outcome.status = aRecord.status;
    outcome.contentType = ContentTypeOf(call.answerFields);
    outcome.body = row.body.empty() ? call.answer->Take(0) : row.body;
    if (outcome.body.size() <= kMaxStoredBytes) {
      Commit(outcome, aNow + kRecordTimeout, {});
    }
  }

  void Release(claim_id aClaim, std::uint64_t aToken, steady_time aNow)
  {
    Commit(release_claim{ aClaim, aToken }, aNow + kRecordTimeout, {});
  }

  void Commit(fleet_change aChange, steady_time aDeadline, command_hook aHook)
  {
    fleet_command command;
    command.change = std::move(aChange);
    if (!aHook) {
      aHook = [](const wire::command_reply&) {};
    }
    mOnCommand(std::move(command), aDeadline, std::move(aHook));
  }

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
  commit_hook mOnCommand;
  demand_reporter mDemand;
  evidence_hook mOnEvidence;
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
  std::unique_ptr<net::http_client> mClient;
  std::function<void()> mOnIdle;
  net::tick_timer mTimer;
};

request_runner::request_runner(asio::io_context& aContext,
                               const request_runner_settings& aSettings,
                               std::unique_ptr<net::http_client> aClient,
                               commit_hook aOnCommand,
                               demand_hook aOnDemand,
                               evidence_hook aOnEvidence,
                               std::function<void(part_id)> aOnRefusedPart)
  : mImplementation(std::make_unique<implementation>(aContext,
                                                     aSettings,
                                                     std::move(aClient),
                                                     std::move(aOnCommand),
                                                     std::move(aOnDemand),
                                                     std::move(aOnEvidence),
                                                     std::move(aOnRefusedPart)))
{
}

request_runner::~request_runner() = default;

void
request_runner::SetView(const traffic_view& aView)
{
  mImplementation->SetView(aView);
}

void
request_runner::Start(routed_request aRequest)
{
  mImplementation->Start(std::move(aRequest));
}

void
request_runner::HandleEvidence(const quarantine::evidence& aEvidence)
{
  mImplementation->HandleEvidence(aEvidence);
}

quarantine_counts
request_runner::Quarantine() const
{
  return mImplementation->Quarantine();
}

void
request_runner::RunSoon()
{
  mImplementation->RunSoon();
}

void
request_runner::SetStop(const stop_plan& aPlan)
{
  mImplementation->SetStop(aPlan);
}

void
request_runner::WhenIdle(std::function<void()> aOnIdle)
{
  mImplementation->WhenIdle(std::move(aOnIdle));
}

std::size_t
request_runner::OpenRequests() const
{
  return mImplementation->OpenRequests();
}

} // namespace bulrush::entry
