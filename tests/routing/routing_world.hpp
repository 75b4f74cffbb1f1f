#ifndef BULRUSH_TESTS_ROUTING_WORLD_HPP
#define BULRUSH_TESTS_ROUTING_WORLD_HPP

/// What surrounds routing engines, as simple as can be: endpoints that count
/// their runs, a transport that loses and mixes up answers, a claims log, and
/// callers who write down what they get. It is the oracle of the stateful
/// fuzz and knows nothing of how the engine decides.

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

/// A promise of the engine was broken.
struct broken_promise : std::logic_error
{
  using std::logic_error::logic_error;
};

inline void
Expect(bool aHolds, const std::string& aPromise)
{
  if (!aHolds) {
    throw broken_promise(aPromise);
  }
}

/// One step of a script: an operation and numbers to choose by.
struct step
{
  std::uint8_t operation = 0;
  std::uint32_t first = 0;
  std::uint32_t second = 0;
};

/// What a fake endpoint does with a request that reached it.
enum class call_fate : std::uint8_t
{
  eAnswers,
  eAnswersHalf,
  eRunsAndIsLost,
  eLostBefore,
  eNotSent,
  eRefusesNotRun,
  eRefusesVaguely,
  eErrs,
  eCrossed,
  eSkipsBytes,
  eResumesWrongly,
  eCount
};

/// An attempt as the transport sees it.
struct call
{
  attempt_id attempt;
  request_id request;
  endpoint_id endpoint;
  std::size_t host = 0;
  std::uint64_t offset = 0; ///< of the next unit
  std::uint64_t resumeOffset = 0;
  request_id bodyOf;        ///< whose answer its bytes are
  std::uint32_t drops = 0;  ///< of its endpoint's limit when it started
  bool isBodyWrong = false; ///< an error, or not from the offset asked for
  bool isHeadSent = false;
  bool isCancelled = false;
};

/// The most that a host may have in flight at an endpoint that is cold.
struct cold_bound
{
  std::uint32_t drops = 0;
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
  bool wasToldNotRun = false;
};

/// Of one workspace and Idempotency-Key.
struct claim_record
{
  request_id holder;
  claim_answer outcome = claim_answer::eInProgress;
  key_hash bodyDigest;
};

struct pending_claim
{
  std::size_t host = 0;
  ask_claim asked;
};

class routing_world
{
public:
  routing_world();

  void Run(const step& aStep);
  /// Lets every call end and time pass; then every request must have ended.
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
  void CarryOut(std::size_t aHost, const outbox& aOut);
  void OnStart(std::size_t aHost, const start_attempt& aStart);
  void OnForward(const forward_to_caller& aForward);
  void OnEnd(const end_request& aEnd);
  void OnRecord(const record_outcome& aRecord);
  void CountRun(const call& aCall);
  void SendHead(call& aCall, int aStatus, bool aSaysNotRun = false);
  void SendBody(call& aCall, std::uint64_t aCount);
  void EndCall(std::size_t aIndex, attempt_end aHow);
  claim_answer AnswerClaim(const ask_claim& aAsked);
  void Drop(cold_bound& aBound);
  void ReplaceHost(std::size_t aHost);
  endpoint_facts FactsFor(std::size_t aHost, std::uint64_t aEndpoint) const;
  void Announce();

  struct fake_endpoint
  {
    std::uint64_t incarnation = 1;
    bool isDraining = false;
    bool isGone = false;
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
