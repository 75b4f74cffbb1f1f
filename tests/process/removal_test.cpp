#include "support/processes.hpp"

#include <catch2/catch.hpp>

#include <fstream>
#include <future>

namespace bulrush::test {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kDeadline{ 20'000 };
/// For a request to reach the host and wait there.
constexpr std::chrono::milliseconds kUnderWay{ 500 };

// A host without endpoints: its requests wait for one.
struct removal_fixture
{
  fleet running{ { { "domain-a" }, 1, Manifest("1", true) } };

  removal_fixture() { running.Start(); }

  static std::string Manifest(const std::string& aVersion, bool aHasRoutes)
  {
    json manifest = json::parse(DefaultManifest({ "domain-a" }, aVersion));
    manifest["routes"][1]["deadline_ms"] = kDeadline.count();
    if (!aHasRoutes) {
      manifest["routes"] = json::array();
    }
    return manifest.dump();
  }

  void Apply(const std::string& aManifest) const
  {
    const auto file = running.folder / "next.json";
    std::ofstream(file) << aManifest;
    REQUIRE(running.Ctl({ "apply", file.string() }).exitCode == 0);
  }
};

TEST_CASE_METHOD(removal_fixture,
                 "Request_WhoseServiceGoesWhileItWaits_IsRefusedAtOnce",
                 "[process][removal]")
{
  auto answer = std::async(std::launch::async, [this] {
    return running.Post(0, "/desk/status", "", {});
  });
  REQUIRE_FALSE(WaitUntil(
    [&] {
      return answer.wait_for(std::chrono::seconds(0)) !=
             std::future_status::timeout;
    },
    kUnderWay));
  const auto changedAt = std::chrono::steady_clock::now();
  Apply(Manifest("2", false));
  const http_answer refused = answer.get();
  CHECK(std::chrono::steady_clock::now() - changedAt < kDeadline / 2);
  INFO(refused.status << ' ' << refused.error << refused.body);
  INFO(running.entries[0]->Log());
  CHECK(refused.status == 503);
  CHECK(json::parse(refused.body)["error"]["ran"] == "not_run");
}

} // namespace
} // namespace bulrush::test
