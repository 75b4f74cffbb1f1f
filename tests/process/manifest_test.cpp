#include "support/processes.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <fstream>
#include <future>

namespace bulrush::test {
namespace {

using nlohmann::json;

struct manifest_race_fixture
{
  fleet running{ { { "north", "south" }, 1, "", {}, {} } };

  manifest_race_fixture() { running.Start(); }

  // Writes the default manifest with the given version, rate and model size.
  std::string WriteManifest(const std::string& aFile,
                            const std::string& aVersion,
                            int aRate,
                            std::uint64_t aModelBytes = 1'000) const
  {
    json document =
      json::parse(DefaultManifest({ "north", "south" }, aVersion));
    document["workspaces"][0]["tokens_per_s"] = aRate;
    document["models"][0]["bytes"] = aModelBytes;
    const auto path = running.folder / aFile;
    std::ofstream(path) << document;
    return path.string();
  }
};

TEST_CASE_METHOD(manifest_race_fixture,
                 "Apply_ByTwoOperatorsUnderOneVersion_HasOneWinner",
                 "[process][manifest]")
{
  const auto first = WriteManifest("first.json", "2", 111);
  const auto second = WriteManifest("second.json", "2", 222);
  const auto apply = [&](const std::string& aFile) {
    return running.Ctl({ "--expect", "1", "apply", aFile }).exitCode;
  };
  auto firstApply = std::async(std::launch::async, apply, first);
  auto secondApply = std::async(std::launch::async, apply, second);
  const int firstCode = firstApply.get();
  const int secondCode = secondApply.get();
  CHECK(firstCode + secondCode == 1); // one succeeds (0), one is refused (1)
  const auto winner = firstCode == 0 ? first : second;
  CHECK(running.Ctl({ "diff", winner }).output.empty());
  CHECK(running.Ctl({ "--expect", "1", "apply", winner }).exitCode == 0);
}

TEST_CASE_METHOD(manifest_race_fixture,
                 "Apply_OfAManifestThatNoEngineCanHold_IsRefused",
                 "[process][manifest]")
{
  running.AddEndpoint(
    "engine", "north", { "--memory", "10000", "--models", "draft:1:1000" });
  REQUIRE(WaitUntil([&] { return running.Status()["endpoints"].size() == 1; }));
  const json before = running.Status();
  const program_result refused =
    running.Ctl({ "apply", WriteManifest("large.json", "2", 100, 20'000) });
  CHECK(refused.exitCode == 1);
  CHECK(refused.errors.find("does_not_fit") != std::string::npos);
  CHECK(running.Status()["manifest_revision"] == before["manifest_revision"]);
  const program_result accepted =
    running.Ctl({ "apply", WriteManifest("small.json", "3", 100, 2'000) });
  CHECK(accepted.exitCode == 0);
}

TEST_CASE_METHOD(manifest_race_fixture,
                 "Entry_WhenRestarted_ServesTheLatestRevisionOnly",
                 "[process][manifest]")
{
  const std::string key = running.IssueKey("press");
  REQUIRE(running.Ctl({ "key", "withdraw", key }).exitCode == 0);
  running.entries[0]->Signal(SIGKILL);
  running.entries[0]->Wait();
  running.StartEntry(0);
  const std::string url = "http://" + running.EntryAddress(0);
  REQUIRE(WaitUntil(
    [&] { return SendHttpRequest("GET", url + "/readyz").status == 200; }));
  const auto answer =
    running.Post(0, "/v1/completions", key, { { "model", "draft" } });
  CHECK(answer.status == 401);
}

} // namespace
} // namespace bulrush::test
