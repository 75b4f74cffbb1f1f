#include "load/load.hpp"

#include <catch2/catch.hpp>

namespace bulrush::load {
namespace {

using namespace std::chrono_literals;

constexpr const char* kManifest = R"({
  "name": "test", "version": "1",
  "failure_domains": [{"name": "north"}, {"name": "south"}],
  "models": [
    {"name": "diary", "bytes": 100, "deadline_ms": 1000},
    {"name": "almanac", "bytes": 100, "deadline_ms": 2000}],
  "adapters": [{"name": "school-crest", "model": "diary", "bytes": 10}],
  "workspaces": [
    {"name": "dealer", "tokens_per_s": 100, "burst_tokens": 200},
    {"name": "school", "tokens_per_s": 1000, "burst_tokens": 2000,
     "models": ["diary"]}],
  "routes": [{"path": "/plates/release", "service": "plates", "tokens": 5,
              "idempotent": false}]
})";

constexpr const char* kLoad = R"({
  "name": "friday", "seed": 7, "duration_s": 100, "warm_up_s": 10,
  "accelerators": 4,
  "prompt_tokens": {"least": 10, "most": 10},
  "output_tokens": {"least": 10, "most": 10},
  "workspaces": [
    {"name": "dealer", "requests_per_s": 20,
     "surges": [{"from_s": 50, "to_s": 60, "factor": 5}]},
    {"name": "school", "requests_per_s": 10}],
  "targets": [{"name": "/plates/release", "share": 0.25}],
  "skew": 1, "skewed_share": 0.75,
  "absences": [{"domain": "north", "from_s": 40, "to_s": 70}]
})";

struct load_fixture
{
  std::vector<manifest_fault> faults;
  std::optional<manifest> declared = ParseManifest(kManifest, faults);

  load_plan Parse(const char* aText)
  {
    auto plan = ParseLoadPlan(aText, declared.value(), faults);
    INFO(Describe(faults));
    REQUIRE(plan.has_value());
    return *plan;
  }

  std::uint64_t CountBetween(const std::vector<planned_request>& aRequests,
                             const char* aWorkspace,
                             offset aFrom,
                             offset aTo) const
  {
    std::uint64_t count = 0;
    for (const planned_request& each : aRequests) {
      const bool isCounted = each.workspace == IdOf<workspace_id>(aWorkspace) &&
                             each.at >= aFrom && each.at < aTo;
      count += isCounted ? 1 : 0;
    }
    return count;
  }
};

TEST_CASE_METHOD(load_fixture,
                 "ParseLoadPlan_OfAGoodFile_TakesDeadlinesFromTheManifest",
                 "[load]")
{
  const load_plan plan = Parse(kLoad);
  CHECK(plan.targets.Size() == 4);
  CHECK(plan.targets.Find(IdOf<target_id>("diary"))->deadline == 1s);
  CHECK(plan.targets.Find(IdOf<target_id>("almanac"))->deadline == 2s);
  CHECK(plan.targets.Find(IdOf<target_id>("school-crest"))->deadline == 1s);
  const load_target* release =
    plan.targets.Find(IdOf<target_id>("/plates/release"));
  CHECK(release->isRoute);
  CHECK_FALSE(release->isIdempotent);
  // Zipf with exponent 1 over three names: 6/11, 3/11 and 2/11 of 0.75.
  CHECK(plan.targets.Find(IdOf<target_id>("diary"))->share ==
        Approx(0.75 * 6 / 11));
}

TEST_CASE_METHOD(load_fixture,
                 "ParseLoadPlan_OfABadFile_ReportsEveryFaultWithItsPath",
                 "[load]")
{
  const char* const text = R"({
    "name": 5, "duration_s": 1, "warm_up_s": 2, "speed": 9,
    "workspaces": [{"name": "nobody", "requests_per_s": -1}],
    "targets": [{"name": "novel"}],
    "absences": [{"domain": "east", "from_s": 5, "to_s": 5}]
  })";
  CHECK_FALSE(ParseLoadPlan(text, declared.value(), faults).has_value());
  std::vector<std::string> paths;
  for (const manifest_fault& fault : faults) {
    paths.push_back(fault.path);
  }
  const std::vector<std::string> expected = {
    "/name",
    "/duration_s",
    "/workspaces/0/requests_per_s",
    "/workspaces/0/name",
    "/targets/0/name",
    "/absences/0/domain",
    "/absences/0/to_s",
    "/speed",
  };
  CHECK(paths == expected);
}

TEST_CASE_METHOD(load_fixture,
                 "ParseLoadPlan_OfBrokenJson_ReportsTheFault",
                 "[load]")
{
  CHECK_FALSE(ParseLoadPlan("{", declared.value(), faults).has_value());
  REQUIRE(faults.size() == 1);
  CHECK(faults[0].text == "expected JSON");
}

TEST_CASE_METHOD(load_fixture,
                 "PlanRequests_WithTheSameSeed_GivesTheSameRequests",
                 "[load]")
{
  const load_plan plan = Parse(kLoad);
  const auto first = PlanRequests(plan);
  const auto second = PlanRequests(plan);
  REQUIRE(first.size() == second.size());
  bool isSame = true;
  for (std::size_t i = 0; i < first.size(); ++i) {
    isSame = isSame && first[i].at == second[i].at &&
             first[i].target == second[i].target &&
             first[i].workspace == second[i].workspace;
  }
  CHECK(isSame);
  load_plan other = plan;
  other.seed = 8;
  CHECK(PlanRequests(other).front().at != first.front().at);
}

TEST_CASE_METHOD(load_fixture,
                 "PlanRequests_WithASurge_MultipliesTheRateByItsFactor",
                 "[load]")
{
  const auto requests = PlanRequests(Parse(kLoad));
  // 20 requests per second for 40 s, and 100 per second for 10 s. The margin is
  // four standard deviations of a Poisson count.
  CHECK(CountBetween(requests, "dealer", 0s, 40s) ==
        Approx(800).margin(4 * 28.3));
  CHECK(CountBetween(requests, "dealer", 50s, 60s) ==
        Approx(1000).margin(4 * 31.7));
  CHECK(CountBetween(requests, "school", 50s, 60s) ==
        Approx(100).margin(4 * 10));
}

TEST_CASE_METHOD(load_fixture,
                 "PlanRequests_OfALimitedWorkspace_TargetsItsModelsOnly",
                 "[load]")
{
  std::uint64_t count = 0;
  for (const planned_request& each : PlanRequests(Parse(kLoad))) {
    if (each.workspace == IdOf<workspace_id>("school")) {
      ++count;
      CHECK(each.target != IdOf<target_id>("almanac"));
    }
  }
  CHECK(count > 0);
}

TEST_CASE_METHOD(load_fixture,
                 "PlanRequests_WithBatches_KeepsTheMeanRate",
                 "[load]")
{
  load_plan plan = Parse(kLoad);
  plan.meanBatch = 5;
  const auto requests = PlanRequests(plan);
  std::size_t together = 0;
  for (std::size_t i = 1; i < requests.size(); ++i) {
    together += requests[i].at == requests[i - 1].at ? 1 : 0;
  }
  CHECK(static_cast<double>(together) >
        0.7 * static_cast<double>(requests.size()));
  CHECK(CountBetween(requests, "school", 0s, 100s) ==
        Approx(1000).margin(4 * 95));
}

TEST_CASE_METHOD(load_fixture,
                 "PlanRequests_BeyondTheRate_MarksRequestsThatTheBucketAdmits",
                 "[load]")
{
  const load_plan plan = Parse(kLoad);
  double within = 0;
  double beyond = 0;
  for (const planned_request& each : PlanRequests(plan)) {
    if (each.workspace == IdOf<workspace_id>("dealer")) {
      (each.isWithinRate ? within : beyond) += CostOf(plan, each);
    }
  }
  // 100 tokens per second for 100 s plus the burst of 200.
  CHECK(within <= 10'200);
  CHECK(within > 9'500);
  CHECK(beyond > 0);
}

// Results that are added by hand, with a latency and an outcome each.
struct result_fixture : load_fixture
{
  load_plan plan = Parse(kLoad);
  table<request_id, result_row> results;

  result_row& Add(const char* aWorkspace,
                  offset aAt,
                  load_outcome aOutcome,
                  offset aTook,
                  bool aIsWithinRate = true)
  {
    result_row row;
    row.id = request_id{ results.Size() + 1 };
    row.planned.id = row.id;
    row.planned.at = aAt;
    row.planned.workspace = IdOf<workspace_id>(aWorkspace);
    row.planned.target = IdOf<target_id>("diary");
    row.planned.promptTokens = 10;
    row.planned.outputTokens = 10;
    row.planned.isWithinRate = aIsWithinRate;
    row.outcome = aOutcome;
    row.sentAt = aAt;
    row.firstTokenAt = aAt + aTook / 2;
    row.endedAt = aAt + aTook;
    row.tokens = 11;
    return results.Insert(std::move(row));
  }
};

TEST_CASE_METHOD(result_fixture,
                 "Measure_OfMixedResults_GivesTheFourMeasures",
                 "[load]")
{
  Add("dealer", 20s, load_outcome::eAnswered, 500ms);
  Add("dealer", 21s, load_outcome::eAnswered, 1500ms); // late
  Add("dealer", 45s, load_outcome::eRefused, 1ms);
  Add("dealer", 46s, load_outcome::eRefused, 1ms, false);
  Add("school", 50s, load_outcome::eAnswered, 900ms);
  Add("school", 80s, load_outcome::eAnswered, 1000ms);
  Add("school", 5s, load_outcome::eBroken, 10ms); // in the warm-up
  const load_measures measures = Measure(plan, results, 3);
  CHECK(measures.requests == 6);
  CHECK(measures.withinRate == 5);
  CHECK(measures.onTime == 3);
  CHECK(measures.attainment == Approx(0.6));
  CHECK(measures.onTimePerAcceleratorSecond == Approx(3.0 / 90 / 4));
  CHECK(measures.modelMoves == 3);
  CHECK(measures.worst == IdOf<workspace_id>("dealer"));
  CHECK(measures.workspaces.Find(measures.worst)->Attainment() ==
        Approx(1.0 / 3));
  CHECK(measures.refusedWithinRate == 1);
  REQUIRE(measures.phases.size() == 3);
  CHECK(measures.phases[0].name == "before");
  CHECK(measures.phases[0].withinRate == 2);
  CHECK(measures.phases[0].onTime == 1);
  CHECK(measures.phases[1].name == "north out");
  CHECK(measures.phases[1].withinRate == 2);
  CHECK(measures.phases[1].onTime == 1);
  CHECK(measures.phases[2].withinRate == 1);
  CHECK(measures.phases[2].onTime == 1);
  CHECK(measures.completeAnswer.count == 4);
  CHECK(measures.firstToken.p50 == 450ms);
  CHECK(measures.betweenTokens.longest == 75ms);
}

TEST_CASE_METHOD(result_fixture,
                 "IsOnTime_WhenTheSenderIsLate_CountsFromThePlannedTime",
                 "[load]")
{
  result_row& row = Add("dealer", 20s, load_outcome::eAnswered, 900ms);
  CHECK(IsOnTime(plan, row));
  row.sentAt += 200ms;
  row.endedAt += 200ms;
  CHECK_FALSE(IsOnTime(plan, row));
}

TEST_CASE_METHOD(result_fixture,
                 "Measure_OfAnswersBeyondRateAndBurst_GivesTheExcess",
                 "[load]")
{
  // 15 simultaneous answers of 21 tokens each: 315 tokens, 115 above the burst
  // of 200.
  for (int i = 0; i < 15; ++i) {
    Add("dealer", 20s, load_outcome::eAnswered, 500ms);
  }
  const load_measures measures = Measure(plan, results, 0);
  const auto* dealer = measures.workspaces.Find(IdOf<workspace_id>("dealer"));
  CHECK(dealer->excessTokens == Approx(115));
  const auto* school = measures.workspaces.Find(IdOf<workspace_id>("school"));
  CHECK(school->excessTokens == 0);
}

TEST_CASE_METHOD(result_fixture,
                 "Summarize_OfAHundredSamples_GivesNearestRanks",
                 "[load]")
{
  std::vector<offset> samples;
  for (int i = 100; i > 0; --i) {
    samples.emplace_back(std::chrono::milliseconds(i));
  }
  const latency_summary summary = Summarize(samples);
  CHECK(summary.count == 100);
  CHECK(summary.p50 == 50ms);
  CHECK(summary.p95 == 95ms);
  CHECK(summary.p99 == 99ms);
  CHECK(summary.longest == 100ms);
  CHECK(Summarize({}).count == 0);
}

TEST_CASE_METHOD(result_fixture,
                 "FormatResultsCsv_OfResults_HasALineForEachRequest",
                 "[load]")
{
  Add("dealer", 20s, load_outcome::eAnswered, 500ms);
  Add("dealer", 21s, load_outcome::eRefused, 1ms).code = "rate_exceeded";
  const std::string csv = FormatResultsCsv(plan, results);
  CHECK(std::count(csv.begin(), csv.end(), '\n') == 3);
  CHECK(csv.find("1,20000.000,20000.000,20250.000,20500.000,dealer,diary,1,10,"
                 "10,11,1,0,answered,0,,1\n") != std::string::npos);
  CHECK(csv.find(",refused,0,rate_exceeded,0\n") != std::string::npos);
}

TEST_CASE_METHOD(result_fixture,
                 "FormatMeasures_OfResults_NamesTheFourMeasures",
                 "[load]")
{
  Add("dealer", 20s, load_outcome::eAnswered, 500ms);
  Add("school", 45s, load_outcome::eRefused, 1ms);
  const std::string text = FormatMeasures(plan, Measure(plan, results, 2));
  CHECK(text.find("1. on time: 50.00% of 2 within the rate") !=
        std::string::npos);
  CHECK(text.find("2 model moves") != std::string::npos);
  CHECK(text.find("2. worst-served workspace: school, 0.00% on time") !=
        std::string::npos);
  CHECK(text.find("3. refused although within the rate: 1") !=
        std::string::npos);
  CHECK(text.find("north out") != std::string::npos);
}

TEST_CASE_METHOD(result_fixture,
                 "FormatPlotSvg_OfResults_ShadesTheAbsence",
                 "[load]")
{
  Add("dealer", 20s, load_outcome::eAnswered, 500ms);
  plan.name = "a < b & c";
  const std::string svg = FormatPlotSvg(plan, results);
  CHECK(svg.starts_with("<svg "));
  CHECK(svg.ends_with("</svg>\n"));
  CHECK(svg.find(">north out</text>") != std::string::npos);
  CHECK(svg.find(">a &lt; b &amp; c</text>") != std::string::npos);
}

} // namespace
} // namespace bulrush::load
