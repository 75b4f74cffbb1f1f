#include "support/processes.hpp"
#include "support/raw_endpoint.hpp"

#include <catch2/catch.hpp>

namespace bulrush::test {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kRequests = 200;
/// Well under the half that each of two equal endpoints gets.
constexpr int kMaxFaultyRequests = kRequests / 5;
constexpr int kDeadlineMs = 1'000;

// One host and two endpoints for the route /desk/releases: a faulty one in its
// failure domain and a sound one in aSoundDomain.
struct faulty_share_fixture
{
  fleet running;
  std::string key;
  std::unique_ptr<raw_endpoint> faulty;

  explicit faulty_share_fixture(const std::string& aSoundDomain = "domain-a")
    : running({ { "domain-a", "domain-b" }, 1, Manifest() })
  {
    running.Start();
    key = running.IssueKey("press");
    faulty = std::make_unique<raw_endpoint>(
      "faulty", "domain-a", std::vector{ running.EntryAddress(0) });
    REQUIRE(WaitUntil([&] { return Release().status == 200; }));
    running.AddEndpoint("sound", aSoundDomain, { "--services", "desk" });
  }

  static std::string Manifest()
  {
    json manifest = json::parse(DefaultManifest({ "domain-a", "domain-b" }));
    manifest["routes"][0]["deadline_ms"] = kDeadlineMs;
    manifest["workspaces"][0].erase("tokens_per_s");
    manifest["workspaces"][0].erase("burst_tokens");
    return manifest.dump();
  }

  http_answer Release() const
  {
    return running.Post(0, "/desk/releases", key, { { "tag", "plate 1" } });
  }

  /// Waits until the host uses the sound endpoint.
  void WaitForSound(const endless_answer& aAnswer) const
  {
    faulty->SetEndlessAnswer(aAnswer);
    REQUIRE(WaitUntil([&] { return Release().status == 200; }));
  }

  void CheckShare(const endless_answer& aAnswer) const
  {
    WaitForSound(aAnswer);
    const int begun = faulty->EndlessBegun();
    int answered = 0;
    for (int i = 0; i < kRequests; ++i) {
      answered += Release().status == 200 ? 1 : 0;
    }
    const int atFaulty = faulty->EndlessBegun() - begun;
    WARN(atFaulty << " of " << kRequests << " requests reached the faulty "
                  << "endpoint, " << answered << " were answered");
    CHECK(atFaulty <= kMaxFaultyRequests);
    CHECK(answered >= kRequests - kMaxFaultyRequests);
  }

  void CheckShares() const
  {
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: "
                             "application/json\r\nBulrush-Attempt: {attempt}"
                             "\r\n";
    for (const endless_answer& answer :
         { endless_answer{ head + "\r\n", "{" },
           endless_answer{ head + "Content-Length: 4000\r\n\r\n{", "" },
           endless_answer{ "no answer\r\n\r\n", "x" } }) {
      INFO(answer.start);
      CheckShare(answer);
    }
  }
};

struct faulty_near_fixture : faulty_share_fixture
{
  faulty_near_fixture()
    : faulty_share_fixture("domain-b")
  {
  }
};

TEST_CASE_METHOD(faulty_share_fixture,
                 "Endpoint_WithoutWholeAnswers_GetsFewerRequestsOfItsService",
                 "[process][memory]")
{
  CheckShares();
}

TEST_CASE_METHOD(faulty_near_fixture,
                 "Endpoint_WithoutWholeAnswers_GetsFewerThanASoundOneAfar",
                 "[process][memory]")
{
  CheckShares();
}

} // namespace
} // namespace bulrush::test
