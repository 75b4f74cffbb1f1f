#include "observe/observe.hpp"

#include <catch2/catch.hpp>

#include <sstream>

namespace bulrush {
namespace {

using namespace std::chrono_literals;

constexpr metric_definition kRequests{ "test_requests_total",
                                       metric_kind::eCounter,
                                       "Requests answered" };
constexpr metric_definition kInFlight{ "test_in_flight",
                                       metric_kind::eGauge,
                                       "Requests in flight" };
constexpr metric_definition kFirstToken{ "test_first_token_seconds",
                                         metric_kind::eDuration,
                                         "Time to the first token" };

struct metrics_fixture
{
  std::vector<metrics> threads{ metrics("traffic-0"), metrics("traffic-1") };

  bool HasLine(const std::string& aLine) const
  {
    std::istringstream text(PrometheusText(threads));
    std::string line;
    while (std::getline(text, line)) {
      if (line == aLine) {
        return true;
      }
    }
    return false;
  }

  double ValueOf(const std::string& aSeries) const
  {
    std::istringstream text(PrometheusText(threads));
    std::string line;
    while (std::getline(text, line)) {
      if (line.starts_with(aSeries + " ")) {
        return std::stod(line.substr(aSeries.size()));
      }
    }
    return -1;
  }
};

TEST_CASE_METHOD(metrics_fixture,
                 "PrometheusText_OfACounterInTwoThreads_GivesTheSum",
                 "[observe]")
{
  threads[0].Add(kRequests, { { "workspace", "school" }, { "code", "200" } });
  threads[1].Add(
    kRequests, { { "code", "200" }, { "workspace", "school" } }, 2);
  threads[1].Add(kRequests, { { "code", "429" }, { "workspace", "school" } });
  CHECK(HasLine("# TYPE test_requests_total counter"));
  CHECK(HasLine("# HELP test_requests_total Requests answered"));
  CHECK(HasLine("test_requests_total{code=\"200\",workspace=\"school\"} 3"));
  CHECK(HasLine("test_requests_total{code=\"429\",workspace=\"school\"} 1"));
}

TEST_CASE_METHOD(metrics_fixture,
                 "PrometheusText_OfAGaugeSetTwice_GivesTheLastValue",
                 "[observe]")
{
  threads[0].Set(kInFlight, 5);
  threads[0].Set(kInFlight, 3);
  threads[1].Set(kInFlight, 4);
  CHECK(HasLine("test_in_flight 7"));
}

TEST_CASE_METHOD(metrics_fixture,
                 "PrometheusText_OfADuration_GivesCumulativeBuckets",
                 "[observe]")
{
  threads[0].Observe(kFirstToken, 1ms);
  threads[0].Observe(kFirstToken, 20ms);
  threads[1].Observe(kFirstToken, 2min);
  CHECK(HasLine("test_first_token_seconds_bucket{le=\"0.0005\"} 0"));
  CHECK(HasLine("test_first_token_seconds_bucket{le=\"0.001\"} 1"));
  CHECK(HasLine("test_first_token_seconds_bucket{le=\"0.025\"} 2"));
  CHECK(HasLine("test_first_token_seconds_bucket{le=\"60\"} 2"));
  CHECK(HasLine("test_first_token_seconds_bucket{le=\"+Inf\"} 3"));
  CHECK(HasLine("test_first_token_seconds_count 3"));
  CHECK(ValueOf("test_first_token_seconds_sum") == Approx(120.021));
}

TEST_CASE_METHOD(metrics_fixture,
                 "PrometheusText_OfManyDurations_EstimatesTheQuantiles",
                 "[observe]")
{
  for (int i = 0; i < 1000; ++i) {
    // 7919 and 1000 are coprime: each of 1..1000 ms occurs once, shuffled.
    threads[0].Observe(kFirstToken,
                       std::chrono::milliseconds(1 + i * 7919 % 1000));
  }
  const std::string name =
    "test_first_token_seconds_quantile{thread=\"traffic-0\",quantile=";
  CHECK(ValueOf(name + "\"0.5\"}") == Approx(0.5).margin(0.02));
  CHECK(ValueOf(name + "\"0.95\"}") == Approx(0.95).margin(0.02));
  CHECK(ValueOf(name + "\"0.99\"}") == Approx(0.99).margin(0.02));
}

TEST_CASE_METHOD(metrics_fixture,
                 "PrometheusText_OfALabelWithQuotes_EscapesThem",
                 "[observe]")
{
  threads[0].Add(kRequests, { { "path", "a\"b\\c\nd" } });
  CHECK(HasLine("test_requests_total{path=\"a\\\"b\\\\c\\nd\"} 1"));
}

} // namespace
} // namespace bulrush
