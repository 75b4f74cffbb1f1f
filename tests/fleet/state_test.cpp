#include "fleet/fleet.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <map>
#include <set>

namespace bulrush {
namespace {

std::string
ManifestText(const std::string& aVersion, int aVariant = 0)
{
  return R"({"name":"press","version":")" + aVersion +
         R"(","failure_domains":[{"name":"a"},{"name":"b"}],
         "workspaces":[{"name":"dealer","tokens_per_s":)" +
         std::to_string(10 + aVariant) + R"(,"burst_tokens":100}]})";
}

struct state_fixture
{
  fleet_state state;
  wall_time now{ std::chrono::seconds(1'000'000) };

  command_result ApplyChange(fleet_change aChange)
  {
    return Apply(state, { now, std::move(aChange) });
  }

  command_result Claim(const std::string& aName,
                       std::uint64_t aToken,
                       const std::string& aBody = "body")
  {
    claim_request claim;
    claim.claim = IdOf<claim_id>(aName);
    claim.workspace = IdOf<workspace_id>("dealer");
    claim.bodyDigest = HashKey(aBody);
    claim.token = aToken;
    claim.runLimit = std::chrono::seconds(10);
    return ApplyChange(claim);
  }
};

TEST_CASE_METHOD(state_fixture,
                 "Apply_WhenTheAnswerWasLost_GivesTheSameAnswerAgain",
                 "[fleet]")
{
  const auto first = ApplyChange(apply_manifest{ 0, ManifestText("1") });
  REQUIRE(first.isDone);
  REQUIRE(ApplyChange(apply_manifest{ 1, ManifestText("2") }).isDone);
  const auto again = ApplyChange(apply_manifest{ 0, ManifestText("1") });
  CHECK(again.isDone);
  CHECK(again.revision == first.revision);
  CHECK(state.declared.version == "2");
}

TEST_CASE_METHOD(state_fixture,
                 "Apply_WithAnotherTextForAnAppliedVersion_ReportsItsDigest",
                 "[fleet]")
{
  REQUIRE(ApplyChange(apply_manifest{ 0, ManifestText("1") }).isDone);
  const auto refused = ApplyChange(apply_manifest{ 0, ManifestText("1", 5) });
  CHECK_FALSE(refused.isDone);
  CHECK(refused.code == "version_taken");
  CHECK(refused.text.find(ToHex(state.manifestDigest)) != std::string::npos);
}

TEST_CASE_METHOD(state_fixture,
                 "Apply_OnAnOutdatedRevision_ChangesNothing",
                 "[fleet]")
{
  REQUIRE(ApplyChange(apply_manifest{ 0, ManifestText("1") }).isDone);
  const std::uint64_t before = state.revision;
  const auto refused = ApplyChange(apply_manifest{ 0, ManifestText("2") });
  CHECK(refused.code == "revision_moved");
  CHECK(state.revision == before);
  CHECK(state.declared.version == "1");
}

TEST_CASE_METHOD(state_fixture,
                 "Apply_AsAPatch_GivesTheSameStateAsTheText",
                 "[fleet]")
{
  REQUIRE(ApplyChange(apply_manifest{ 0, ManifestText("1") }).isDone);
  fleet_state byText = state;
  const apply_manifest change{ 1, ManifestText("2", 7) };
  const apply_manifest shortened = EncodeAsPatch(state, change);
  REQUIRE_FALSE(shortened.patch.empty());
  CHECK(shortened.patch.size() < change.text.size());
  CHECK(ApplyChange(shortened).isDone);
  Apply(byText, { now, change });
  CHECK(state.manifestText == byText.manifestText);
  CHECK(state.manifestDigest == byText.manifestDigest);
  CHECK(state.revision == byText.revision);
  CHECK(ApplyChange(shortened).text == "applied before");
  CHECK(ApplyChange(change).text == "applied before");
}

TEST_CASE_METHOD(state_fixture,
                 "Apply_WithAPatchOfAnotherText_ChangesNothing",
                 "[fleet]")
{
  REQUIRE(ApplyChange(apply_manifest{ 0, ManifestText("1") }).isDone);
  apply_manifest change =
    EncodeAsPatch(state, apply_manifest{ 1, ManifestText("2", 7) });
  change.digest = HashKey("another text");
  CHECK(ApplyChange(change).code == "bad_patch");
  CHECK(state.declared.version == "1");
}

TEST_CASE_METHOD(state_fixture,
                 "Key_WhenWithdrawnBeforeItWasIssued_IsNeverValid",
                 "[fleet]")
{
  REQUIRE(ApplyChange(apply_manifest{ 0, ManifestText("1") }).isDone);
  const key_hash key = HashKey("secret");
  REQUIRE(ApplyChange(withdraw_key{ key }).isDone);
  CHECK_FALSE(
    ApplyChange(issue_key{ key, IdOf<workspace_id>("dealer") }).isDone);
  CHECK_FALSE(FindWorkspace(state, key));
}

TEST_CASE_METHOD(state_fixture,
                 "Claim_OfARunningRequest_IsGrantedToItsOwnTokenOnly",
                 "[fleet]")
{
  CHECK(Claim("c", 1).claim == claim_answer::eGranted);
  CHECK(Claim("c", 1).claim == claim_answer::eGranted);
  CHECK(Claim("c", 2).claim == claim_answer::eInProgress);
  CHECK(Claim("c", 2, "other").claim == claim_answer::eOtherBody);
  now += std::chrono::seconds(11);
  CHECK(Claim("c", 2).claim == claim_answer::eMayHaveRun);
}

TEST_CASE_METHOD(state_fixture,
                 "Claim_AfterItsOutcomeWasRecorded_AnswersWithTheOutcome",
                 "[fleet]")
{
  Claim("c", 1);
  REQUIRE(ApplyChange(
            record_outcome{ IdOf<claim_id>("c"), 1, 200, "text/plain", "done" })
            .isDone);
  const auto again = Claim("c", 2);
  CHECK(again.claim == claim_answer::eStored);
  CHECK(again.storedBody == "done");
  CHECK_FALSE(
    ApplyChange(record_outcome{ IdOf<claim_id>("c"), 9, 500, "", "" }).isDone);
}

TEST_CASE_METHOD(state_fixture,
                 "Claim_WhenReleasedAsNotRun_CanBeGrantedAgain",
                 "[fleet]")
{
  Claim("c", 1);
  ApplyChange(release_claim{ IdOf<claim_id>("c"), 7 });
  CHECK(Claim("c", 2).claim == claim_answer::eInProgress);
  ApplyChange(release_claim{ IdOf<claim_id>("c"), 1 });
  CHECK(Claim("c", 2).claim == claim_answer::eGranted);
}

TEST_CASE_METHOD(state_fixture,
                 "Time_WhenANewLeadersClockIsBehind_DoesNotDecrease",
                 "[fleet]")
{
  Claim("c", 1);
  now += std::chrono::seconds(11);
  CHECK(Claim("c", 2).claim == claim_answer::eMayHaveRun);
  now -= std::chrono::seconds(11);
  CHECK(Claim("c", 2).claim == claim_answer::eMayHaveRun);
}

// Model of the acknowledged commands: applied versions, withdrawn keys and
// granted tokens.
struct acknowledged_state
{
  std::map<std::string, std::string> texts;       ///< manifest text by version
  std::map<std::string, std::uint64_t> revisions; ///< by version
  std::set<int> withdrawn;
  std::map<int, std::uint64_t> grantedTokens; ///< token by claim
  std::uint64_t manifests = 0;
};

key_hash
KeyNumber(int aKey)
{
  return HashKey("key " + std::to_string(aKey));
}

void
StepApply(state_fixture& aFleet, acknowledged_state& aModel)
{
  const auto version = std::to_string(*rc::gen::inRange(1, 6));
  const auto text = ManifestText(version, *rc::gen::inRange(0, 3));
  const auto expected = *rc::gen::inRange<std::uint64_t>(0, 6);
  apply_manifest change{ expected, text };
  if (*rc::gen::arbitrary<bool>()) {
    change = EncodeAsPatch(aFleet.state, std::move(change));
  }
  const auto result = aFleet.ApplyChange(change);
  const auto known = aModel.texts.find(version);
  if (known != aModel.texts.end()) {
    RC_ASSERT(result.isDone == (known->second == text));
    if (result.isDone) {
      RC_ASSERT(result.revision == aModel.revisions[version]);
    }
    return;
  }
  RC_ASSERT(result.isDone == (expected == aModel.manifests));
  if (result.isDone) {
    ++aModel.manifests;
    aModel.texts[version] = text;
    aModel.revisions[version] = result.revision;
    RC_ASSERT(aFleet.state.declared.version == version);
  }
}

void
StepKey(state_fixture& aFleet, acknowledged_state& aModel)
{
  const int number = *rc::gen::inRange(0, 4);
  if (*rc::gen::arbitrary<bool>()) {
    aFleet.ApplyChange(withdraw_key{ KeyNumber(number) });
    aModel.withdrawn.insert(number);
  } else {
    const auto result = aFleet.ApplyChange(
      issue_key{ KeyNumber(number), IdOf<workspace_id>("dealer") });
    RC_ASSERT(!(result.isDone && aModel.withdrawn.contains(number)));
  }
}

void
StepClaim(state_fixture& aFleet, acknowledged_state& aModel)
{
  const int claim = *rc::gen::inRange(0, 3);
  const auto token = *rc::gen::inRange<std::uint64_t>(1, 5);
  if (*rc::gen::inRange(0, 4) == 0) {
    aFleet.now += std::chrono::seconds(6);
  }
  const auto result = aFleet.Claim(std::to_string(claim), token);
  if (result.claim == claim_answer::eGranted) {
    const auto inserted = aModel.grantedTokens.emplace(claim, token);
    RC_ASSERT(inserted.first->second == token);
  }
}

TEST_CASE("FleetState_UnderConcurrentCommands_KeepsEveryAcknowledgement",
          "[fleet][fuzz]")
{
  rc::prop("acknowledged versions, withdrawals and grants hold", [] {
    state_fixture fleet;
    acknowledged_state model;
    const int steps = *rc::gen::inRange(1, 60);
    std::uint64_t revision = 0;
    for (int i = 0; i < steps; ++i) {
      const int kind = *rc::gen::inRange(0, 3);
      if (kind == 0) {
        StepApply(fleet, model);
      } else if (kind == 1) {
        StepKey(fleet, model);
      } else {
        StepClaim(fleet, model);
      }
      RC_ASSERT(fleet.state.revision >= revision);
      revision = fleet.state.revision;
      for (const int key : model.withdrawn) {
        RC_ASSERT(!FindWorkspace(fleet.state, KeyNumber(key)));
      }
    }
  });
}

} // namespace
} // namespace bulrush
