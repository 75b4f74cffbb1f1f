#ifndef BULRUSH_TESTS_ROUTING_SIMULATION_HPP
#define BULRUSH_TESTS_ROUTING_SIMULATION_HPP

/// Simulated environment of routing engines: endpoints that count their runs, a
/// transport that loses and misdelivers answers, a claims log, and callers that
/// record their answers. It is the oracle of the stateful fuzz test and does
/// not depend on how the engine decides.

#include "routing/routing.hpp"

#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace bulrush::routing {

using std::chrono::milliseconds;

inline constexpr std::uint64_t kAnswerLength = 12;
inline constexpr std::size_t kHosts = 2;
inline constexpr std::uint64_t kEndpoints = 4;

/// Thrown when an invariant of the engine does not hold.
struct invariant_violation : std::logic_error
{
  using std::logic_error::logic_error;
};

inline void
Expect(bool aHolds, const std::string& aViolation)
{
  if (!aHolds) {
    throw invariant_violation(aViolation);
  }
}

/// One step of a script: an operation with two random parameters.
struct step
{
  std::uint8_t operation = 0;
  std::uint32_t first = 0;
  std::uint32_t second = 0;
};

/// How a simulated call proceeds.
enum class call_behavior : std::uint8_t
{
  eAnswers,
  eTruncates,
  eLostAfterRun,
  eLostBeforeRun,
  eNotSent,
  eRefusesNotRun,
  eRefusesUnspecified,
  eServerError,
  eMisdelivers,
  eSkipsBytes,
  eResumesAtWrongOffset,
  eCount
};

/// An attempt at the transport.
struct call
{
  attempt_id attempt;
  request_id request;
  endpoint_id endpoint;
  std::size_t host = 0;
  std::uint64_t offset = 0; ///< of the next unit
  std::uint64_t resumeOffset = 0;
  request_id bodyOf;        ///< request that its body answers
  std::uint32_t resets = 0; ///< cold_bound::resets at its start
  bool isBodyWrong = false; ///< an error, or not from resumeOffset
  bool isHeadSent = false;
  bool isCancelled = false;
};

/// Limit of calls in flight from one host to a cold endpoint.
struct cold_bound
{
  std::uint32_t resets = 0;
  std::uint32_t inFlight = 0;
};

struct caller
{
  request_facts facts;
  std::size_t host = 0;
  std::uint64_t received = 0;
  std::uint32_t runs = 0;
  bool isEnded = false;
  bool isHostLost = false;
  bool wasReportedNotRun = false;
};

/// Claim of one workspace and Idempotency-Key.
struct claim_record
{
  request_id holder;
  claim_answer outcome = claim_answer::eInProgress;
  key_hash bodyDigest;
};

struct pending_claim
{
  std::size_t host = 0;
  request_claim claim;
};

class routing_simulation
{
public:
  routing_simulation();

  void Run(const step& aStep);
  /// Ends all calls and advances the time; then every request must have ended.
  void Drain();

  std::size_t RequestCount() const { return mCallers.size(); }
  std::size_t AnsweredCount() const { return mAnswered; }

private:
  void AddRequestOp(const step& aStep);
  void CallOp(const step& aStep);
  void ClaimOp(const step& aStep);
  void EndpointOp(const step& aStep);
  void CallerOp(const step& aStep);
  void HostOp(const step& aStep);

  void TickHost(std::size_t aHost);
  void Execute(std::size_t aHost, const outbox& aOut);
  void OnStart(std::size_t aHost, const start_attempt& aStart);
  void OnForward(const forward_to_caller& aForward);
  void OnEnd(const end_request& aEnd);
  void OnRecord(const record_outcome& aRecord);
  void CountRun(const call& aCall);
  void SendHead(call& aCall, int aStatus, bool aStatesNotRun = false);
  void SendBody(call& aCall, std::uint64_t aCount);
  void EndCall(std::size_t aIndex, attempt_end aEnd);
  claim_answer AnswerClaim(const request_claim& aClaim);
  void Reset(cold_bound& aBound);
  void ReplaceHost(std::size_t aHost);
  endpoint_facts FactsFor(std::size_t aHost, std::uint64_t aEndpoint) const;
  void Announce();

  struct fake_endpoint
  {
    std::uint64_t incarnation = 1;
    bool isDraining = false;
    bool isRemoved = false;
    std::uint32_t allotted = 3;
    std::uint64_t allottedIncarnation = 1;
  };

  steady_time mNow = steady_time{} + std::chrono::hours{ 1 };
  std::vector<tables> mEngines;
  std::map<std::uint64_t, fake_endpoint> mEndpoints;
  std::map<request_id, caller> mCallers;
  std::vector<call> mCalls;
  std::map<attempt_id, call> mEnded; ///< within the current step
  std::map<std::pair<workspace_id, std::string>, claim_record> mClaims;
  std::map<std::pair<workspace_id, std::string>, std::uint32_t> mKeyedRuns;
  std::vector<pending_claim> mPendingClaims;
  std::map<std::pair<std::size_t, endpoint_id>, cold_bound> mColdBounds;
  std::uint64_t mLastRequest = 0;
  std::uint64_t mHostGeneration = 0;
  std::size_t mAnswered = 0;
};

} // namespace bulrush::routing

#endif
