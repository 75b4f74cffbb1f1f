#ifndef BULRUSH_LOAD_LOAD_HPP
#define BULRUSH_LOAD_LOAD_HPP

/// Public header of the load library: plans the requests of a load experiment
/// and evaluates its results. It does no I/O and reads no clock.

#include "core/core.hpp"
#include "fleet/fleet.hpp"

namespace bulrush::load {

/// Time since the start of the sending phase.
using offset = std::chrono::nanoseconds;

// ---------------------------------------------------------------------------
// Plan

/// A period in which the rate of a workspace, or the share of a target, is
/// multiplied by a factor.
struct surge
{
  offset from{ 0 };
  offset to{ 0 };
  double factor = 1;
};

struct load_workspace
{
  workspace_id id;
  std::string name;
  double requestsPerSecond = 0;
  std::vector<surge> surges;
};

using target_id = typed_id<struct target_tag>;

/// The target of requests: a model, an adapter or the path of a route.
struct load_target
{
  target_id id;
  std::string name;
  bool isRoute = false;
  bool isIdempotent = true;
  double share = 1; ///< relative to the other targets
  offset deadline{ 0 };
  double routeTokens = 0; ///< token cost of one call of the route
  std::vector<surge> surges;
};

/// Inclusive bounds of a token count, which is distributed uniformly.
struct token_range
{
  std::uint64_t min = 1;
  std::uint64_t max = 1;
};

/// A period in which an operator keeps a failure domain out of service.
struct domain_absence
{
  std::string domain;
  offset from{ 0 };
  offset to{ 0 };
};

/// A validated load file, completed from the manifest.
struct load_plan
{
  std::string name;
  std::uint64_t seed = 1;
  offset duration{ 0 };
  offset warmUp{ 0 };     ///< at the start, excluded from the measures
  double meanBatch = 1;   ///< mean number of requests that arrive together
  double streamShare = 1; ///< share of completions that are streamed
  std::uint32_t accelerators = 1;
  token_range promptTokens;
  token_range outputTokens;
  std::vector<domain_absence> absences;
  table<workspace_id, load_workspace> workspaces;
  table<target_id, load_target> targets;
  manifest declared;
};

/// Parses a load file (docs/OPERATIONS.md) and validates it against the current
/// manifest. Adds every fault to aFaults; nullopt if there is any.
std::optional<load_plan> ParseLoadPlan(std::string_view aText,
                                       const manifest& aManifest,
                                       std::vector<manifest_fault>& aFaults);

/// One request of the experiment, before it is sent.
struct planned_request
{
  request_id id;
  offset at{ 0 };
  workspace_id workspace;
  target_id target;
  bool isStream = true;
  std::uint64_t promptTokens = 0;
  std::uint64_t outputTokens = 0;
  bool isWithinRate = false; ///< admitted by the oracle's token bucket
};

/// All requests, ordered by time. The load is open-loop: sending does not wait
/// for answers. The same plan gives the same requests.
std::vector<planned_request> PlanRequests(const load_plan& aPlan);

/// The most tokens that aRequest may use: its cost in the oracle's bucket.
double CostOf(const load_plan& aPlan, const planned_request& aRequest);

/// The HTTP body of aRequest. aTag identifies the call to the service of a
/// route; completions do not carry it.
std::string FormatBody(const load_plan& aPlan,
                       const planned_request& aRequest,
                       const std::string& aTag);

// ---------------------------------------------------------------------------
// Results

enum class load_outcome : std::uint8_t
{
  eAnswered,   ///< complete and correct
  eRefused,    ///< an error that states that it was not run
  eMayHaveRun, ///< an error that states that it may have run
  eBroken,     ///< incomplete, or without an end
  eWrong       ///< malformed, or the answer to another request
};

const char* NameOf(load_outcome aOutcome);

/// Parses an answer as its bytes arrive and determines its outcome at the end.
class answer_reader
{
public:
  /// Properties that the answer is checked against.
  struct expectation
  {
    bool isStream = false;
    bool isRoute = false;
    std::uint64_t tokens = 0;       ///< upper limit; exact if hasNumberedTokens
    bool hasNumberedTokens = false; ///< the tokens are "t0 ", "t1 ", ...
  };

  explicit answer_reader(expectation aExpectation)
    : mExpectation(aExpectation)
  {
  }

  void HandleStatus(int aStatus) { mStatus = aStatus; }
  void HandleBytes(std::string_view aBytes);

  /// Returns the outcome. aIsComplete: the transfer ended without an error.
  load_outcome Finish(bool aIsComplete);

  std::uint64_t Tokens() const { return mTokens; }
  int Status() const { return mStatus; }
  const std::string& Code() const { return mCode; } ///< of an error

private:
  void HandleEvent(std::string_view aData);
  void HandleToken(const std::string& aText);
  load_outcome FinishError();
  load_outcome FinishStream() const;
  load_outcome FinishJson();

  expectation mExpectation;
  int mStatus = 0;
  std::string mBytes; ///< not yet parsed
  std::string mCode;
  std::uint64_t mTokens = 0;
  bool mIsDone = false;   ///< the end marker of a stream arrived
  bool mHasError = false; ///< an error event arrived in a stream
  bool mIsWrong = false;
};

/// The result of one request. Offsets of events that did not occur are zero.
struct result_row
{
  request_id id;
  planned_request planned;
  load_outcome outcome = load_outcome::eBroken;
  int status = 0;
  std::string code; ///< of the error body
  offset sentAt{ 0 };
  offset firstTokenAt{ 0 };
  offset endedAt{ 0 };
  std::uint64_t tokens = 0; ///< of the answer
  bool isDirect = false; ///< sent past the entry hosts, as a latency baseline
};

/// Whether the complete and correct answer arrived within the target's
/// deadline, counted from the planned time of the request.
bool IsOnTime(const load_plan& aPlan, const result_row& aResult);

struct latency_summary
{
  std::uint64_t count = 0;
  offset p50{ 0 };
  offset p95{ 0 };
  offset p99{ 0 };
  offset longest{ 0 };
};

/// Percentiles by the nearest-rank method.
latency_summary Summarize(std::vector<offset> aSamples);

struct workspace_measure
{
  workspace_id id;
  std::string name;
  std::uint64_t requests = 0;
  std::uint64_t withinRate = 0;
  std::uint64_t onTime = 0;           ///< of all requests
  std::uint64_t onTimeWithinRate = 0; ///< of requests within the rate
  std::uint64_t refused = 0;
  std::uint64_t refusedWithinRate = 0;
  double excessTokens = 0; ///< peak of answered tokens beyond rate and burst

  /// On-time share of requests within the rate; 1 if there were none.
  double Attainment() const;
};

/// Requests within the rate before, during or after a domain's absence.
struct phase_measure
{
  std::string name; ///< "before", "DOMAIN out", "after"
  offset from{ 0 };
  offset to{ 0 };
  std::uint64_t withinRate = 0;
  std::uint64_t onTime = 0;
};

/// The measures of one experiment, without the requests of the warm-up.
struct load_measures
{
  std::uint64_t requests = 0;
  std::uint64_t withinRate = 0;
  std::uint64_t onTime = 0;
  std::array<std::uint64_t, 5> outcomes{}; ///< by load_outcome
  std::uint64_t refusedWithinRate = 0;
  std::uint64_t modelMoves = 0; ///< loads that engines did
  double attainment = 0;        ///< on-time share of requests within the rate
  double onTimePerAcceleratorSecond = 0;
  table<workspace_id, workspace_measure> workspaces;
  workspace_id worst; ///< none if no request was within a rate
  std::vector<phase_measure> phases;
  latency_summary firstToken;       ///< since sending, of answered requests
  latency_summary betweenTokens;    ///< mean interval of each answer
  latency_summary completeAnswer;   ///< since sending, of answered requests
  latency_summary firstTokenDirect; ///< of requests sent past the entry hosts
};

load_measures Measure(const load_plan& aPlan,
                      const table<request_id, result_row>& aResults,
                      std::uint64_t aModelMoves);

// ---------------------------------------------------------------------------
// Output

/// The report that bulrush-load prints.
std::string FormatMeasures(const load_plan& aPlan,
                           const load_measures& aMeasures);

/// One line for each request; times in milliseconds.
std::string FormatResultsCsv(const load_plan& aPlan,
                             const table<request_id, result_row>& aResults);

/// On-time, refused and other requests per second, with absences shaded.
std::string FormatPlotSvg(const load_plan& aPlan,
                          const table<request_id, result_row>& aResults);

} // namespace bulrush::load

#endif
