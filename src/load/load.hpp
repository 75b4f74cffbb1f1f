#ifndef BULRUSH_LOAD_LOAD_HPP
#define BULRUSH_LOAD_LOAD_HPP

/// Public header of the load library: which requests an experiment sends and
/// when, and what its results amount to. It sends nothing and reads no clock.

#include "core/core.hpp"
#include "fleet/fleet.hpp"

namespace bulrush::load {

/// Time since the first request could be sent.
using offset = std::chrono::nanoseconds;

// ---------------------------------------------------------------------------
// What is asked

/// A time in which the rate of a workspace, or the share of a target, is a
/// multiple of the usual one.
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

/// What a request asks for: a model, an adapter or the path of a route.
struct load_target
{
  target_id id;
  std::string name;
  bool isRoute = false;
  bool isIdempotent = true;
  double share = 1; ///< relative to the other targets
  offset deadline{ 0 };
  double routeTokens = 0; ///< what a call of the route costs
  std::vector<surge> surges;
};

/// Bounds of a number of tokens; drawn from evenly.
struct token_range
{
  std::uint64_t least = 1;
  std::uint64_t most = 1;
};

/// A time in which an operator keeps a failure domain out of service.
struct domain_absence
{
  std::string domain;
  offset from{ 0 };
  offset to{ 0 };
};

/// A checked load file with what it takes from the manifest.
struct load_plan
{
  std::string name;
  std::uint64_t seed = 1;
  offset duration{ 0 };
  offset warmUp{ 0 };     ///< at the begin, not measured
  double meanBatch = 1;   ///< requests that arrive at the same moment
  double streamShare = 1; ///< of completions
  std::uint32_t accelerators = 1;
  token_range promptTokens;
  token_range outputTokens;
  std::vector<domain_absence> absences;
  table<workspace_id, load_workspace> workspaces;
  table<target_id, load_target> targets;
  manifest declared;
};

/// Reads a load file (docs/OPERATIONS.md) against the manifest in force. Every
/// fault is added to aFaults; nullopt if there is any.
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
  bool isWithinRate = false; ///< by the oracle's token bucket
};

/// All requests in the order of their times: an open loop, which does not wait
/// for answers. The same plan gives the same requests.
std::vector<planned_request> PlanRequests(const load_plan& aPlan);

/// Tokens that aRequest may use at most: its cost in the oracle's bucket.
double CostOf(const load_plan& aPlan, const planned_request& aRequest);

/// The body that asks for aRequest. Without aTag the calls of a route cannot be
/// told apart by the service.
std::string FormatBody(const load_plan& aPlan,
                       const planned_request& aRequest,
                       const std::string& aTag);

// ---------------------------------------------------------------------------
// What came of it

enum class load_outcome : std::uint8_t
{
  eAnswered,   ///< whole and right
  eRefused,    ///< "not run"
  eMayHaveRun, ///< an error that admits that it may have run
  eBroken,     ///< ended before it was whole, or did not end
  eWrong       ///< not the answer to this request
};

const char* NameOf(load_outcome aOutcome);

/// Reads an answer as its bytes arrive and judges it at its end.
class answer_reader
{
public:
  /// What an answer has to be like.
  struct expectation
  {
    bool isStream = false;
    bool isRoute = false;
    std::uint64_t tokens = 0; ///< at most; exactly if isCounted
    bool isCounted = false;   ///< the tokens are "t0 ", "t1 ", ... and so on
  };

  explicit answer_reader(expectation aExpectation)
    : mExpectation(aExpectation)
  {
  }

  void TakeStatus(int aStatus) { mStatus = aStatus; }
  void TakeBytes(std::string_view aBytes);

  /// The verdict. aIsWhole: the transfer came to its end without a fault.
  load_outcome Finish(bool aIsWhole);

  std::uint64_t Tokens() const { return mTokens; }
  int Status() const { return mStatus; }
  const std::string& Code() const { return mCode; } ///< of an error

private:
  void TakeEvent(std::string_view aData);
  void TakeToken(const std::string& aText);
  load_outcome FinishError();
  load_outcome FinishStream() const;
  load_outcome FinishWhole();

  expectation mExpectation;
  int mStatus = 0;
  std::string mBytes; ///< not yet read
  std::string mCode;
  std::uint64_t mTokens = 0;
  bool mIsDone = false;   ///< the end mark of a stream came
  bool mHasError = false; ///< an error came in a stream
  bool mIsWrong = false;
};

/// One request after its end. Offsets that did not occur are zero.
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
  bool isDirect = false; ///< asked of the endpoint itself, for comparison only
};

/// Whether it was whole and right before its deadline, from the planned time.
bool IsOnTime(const load_plan& aPlan, const result_row& aResult);

struct latency_summary
{
  std::uint64_t count = 0;
  offset p50{ 0 };
  offset p95{ 0 };
  offset p99{ 0 };
  offset longest{ 0 };
};

/// Percentiles by nearest rank.
latency_summary Summarize(std::vector<offset> aSamples);

struct workspace_measure
{
  workspace_id id;
  std::string name;
  std::uint64_t asked = 0;
  std::uint64_t withinRate = 0;
  std::uint64_t onTime = 0;           ///< of all that was asked
  std::uint64_t onTimeWithinRate = 0; ///< of what was within the rate
  std::uint64_t refused = 0;
  std::uint64_t refusedWithinRate = 0;
  double excessTokens = 0; ///< answered beyond the rate and burst, at the worst

  /// On-time share of what was within the rate; 1 when nothing was.
  double Attainment() const;
};

/// Service in one part of an experiment with a domain's absence.
struct phase_measure
{
  std::string name; ///< "before", "DOMAIN out", "after"
  offset from{ 0 };
  offset to{ 0 };
  std::uint64_t withinRate = 0;
  std::uint64_t onTime = 0;
};

/// The measures of one experiment. Requests of the warm-up are left out.
struct load_measures
{
  std::uint64_t asked = 0;
  std::uint64_t withinRate = 0;
  std::uint64_t onTime = 0;
  std::array<std::uint64_t, 5> outcomes{}; ///< by load_outcome
  std::uint64_t refusedWithinRate = 0;
  std::uint64_t modelMoves = 0; ///< loads that engines did
  double attainment = 0;        ///< on-time share of what was within the rate
  double onTimePerAcceleratorSecond = 0;
  table<workspace_id, workspace_measure> workspaces;
  workspace_id worst; ///< none when nothing was within a rate
  std::vector<phase_measure> phases;
  latency_summary firstToken;       ///< from sending, of answers
  latency_summary betweenTokens;    ///< mean of each answer
  latency_summary whole;            ///< from sending, of answers
  latency_summary firstTokenDirect; ///< of requests past the entry hosts
};

load_measures Measure(const load_plan& aPlan,
                      const table<request_id, result_row>& aResults,
                      std::uint64_t aModelMoves);

// ---------------------------------------------------------------------------
// How it is shown

/// For people.
std::string FormatMeasures(const load_plan& aPlan,
                           const load_measures& aMeasures);

/// One line for each request; times in milliseconds.
std::string FormatResultsCsv(const load_plan& aPlan,
                             const table<request_id, result_row>& aResults);

/// On time, refused and other outcomes in each second, with absences shaded.
std::string FormatPlotSvg(const load_plan& aPlan,
                          const table<request_id, result_row>& aResults);

} // namespace bulrush::load

#endif
