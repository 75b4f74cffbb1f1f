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

  command_result Do(fleet_change aChange)
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
    return Do(claim);
  }
};

TEST_CASE_METHOD(state_fixture,
                 "Apply_WhenTheAnswerWasLost_GivesTheSameAnswerAgain",
                 "[fleet]")
{
  const auto first = Do(apply_manifest{ 0, ManifestText("1") });
  REQUIRE(first.isDone);
  REQUIRE(Do(apply_manifest{ 1, ManifestText("2") }).isDone);
  const auto again = Do(apply_manifest{ 0, ManifestText("1") });
  CHECK(again.isDone);
  CHECK(again.revision == first.revision);
  CHECK(state.declared.version == "2");
}

TEST_CASE_METHOD(state_fixture,
                 "Apply_WithATakenVersionAndAnotherText_NamesTheWinner",
                 "[fleet]")
{
  REQUIRE(Do(apply_manifest{ 0, ManifestText("1") }).isDone);
  const auto loser = Do(apply_manifest{ 0, ManifestText("1", 5) });
  CHECK_FALSE(loser.isDone);
  CHECK(loser.code == "version_taken");
  CHECK(loser.text.find(ToHex(state.manifestDigest)) != std::string::npos);
}

TEST_CASE_METHOD(state_fixture,
                 "Apply_OnAMovedRevision_ChangesNothing",
                 "[fleet]")
{
  REQUIRE(Do(apply_manifest{ 0, ManifestText("1") }).isDone);
  const std::uint64_t before = state.revision;
  const auto late = Do(apply_manifest{ 0, ManifestText("2") });
  CHECK(late.code == "revision_moved");
  CHECK(state.revision == before);
  CHECK(state.declared.version == "1");
}

TEST_CASE_METHOD(state_fixture,
                 "Apply_AsAPatch_LeadsToTheVeryStateOfTheText",
                 "[fleet]")
{
  REQUIRE(Do(apply_manifest{ 0, ManifestText("1") }).isDone);
  fleet_state byText = state;
  const apply_manifest change{ 1, ManifestText("2", 7) };
  const apply_manifest shortened = ShortenApply(state, change);
  REQUIRE_FALSE(shortened.patch.empty());
  CHECK(shortened.patch.size() < change.text.size());
  CHECK(Do(shortened).isDone);
  Apply(byText, { now, change });
  CHECK(state.manifestText == byText.manifestText);
  CHECK(state.manifestDigest == byText.manifestDigest);
  CHECK(state.revision == byText.revision);
  CHECK(Do(shortened).text == "applied before");
  CHECK(Do(change).text == "applied before");
}

TEST_CASE_METHOD(state_fixture,
                 "Apply_WithAPatchOfAnotherText_ChangesNothing",
                 "[fleet]")
{
  REQUIRE(Do(apply_manifest{ 0, ManifestText("1") }).isDone);
  apply_manifest change =
    ShortenApply(state, apply_manifest{ 1, ManifestText("2", 7) });
  change.digest = HashKey("another text");
  CHECK(Do(change).code == "bad_patch");
  CHECK(state.declared.version == "1");
}

TEST_CASE_METHOD(state_fixture,
                 "Key_WhenWithdrawnBeforeItWasIssued_NeverWorks",
                 "[fleet]")
{
  REQUIRE(Do(apply_manifest{ 0, ManifestText("1") }).isDone);
  const key_hash key = HashKey("secret");
  REQUIRE(Do(withdraw_key{ key }).isDone);
  CHECK_FALSE(Do(issue_key{ key, IdOf<workspace_id>("dealer") }).isDone);
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
  REQUIRE(
    Do(record_outcome{ IdOf<claim_id>("c"), 1, 200, "text/plain", "done" })
      .isDone);
  const auto again = Claim("c", 2);
  CHECK(again.claim == claim_answer::eStored);
  CHECK(again.storedBody == "done");
  CHECK_FALSE(Do(record_outcome{ IdOf<claim_id>("c"), 9, 500, "", "" }).isDone);
}

TEST_CASE_METHOD(state_fixture,
                 "Claim_ReleasedAsNotRun_MayBeTakenAnew",
                 "[fleet]")
{
  Claim("c", 1);
  Do(release_claim{ IdOf<claim_id>("c"), 7 });
  CHECK(Claim("c", 2).claim == claim_answer::eInProgress);
  Do(release_claim{ IdOf<claim_id>("c"), 1 });
  CHECK(Claim("c", 2).claim == claim_answer::eGranted);
}

TEST_CASE_METHOD(state_fixture,
                 "Time_WhenANewLeadersClockIsBehind_DoesNotRunBackwards",
                 "[fleet]")
{
  Claim("c", 1);
  now += std::chrono::seconds(11);
  CHECK(Claim("c", 2).claim == claim_answer::eMayHaveRun);
  now -= std::chrono::seconds(11);
  CHECK(Claim("c", 2).claim == claim_answer::eMayHaveRun);
}

// What operators can know of a fleet without its code: versions that were
// acknowledged, keys that were withdrawn, tokens that were granted.
struct operators_model
{
  std::map<std::string, std::string> texts;      ///< by version
  std::map<std::string, std::uint64_t> answered; ///< revision by version
  std::set<int> withdrawn;
  std::map<int, std::uint64_t> holder; ///< claim to token
  std::uint64_t manifests = 0;
};

key_hash
KeyNumber(int aKey)
{
  return HashKey("key " + std::to_string(aKey));
}

void
StepApply(state_fixture& aFleet, operators_model& aModel)
{
  const auto version = std::to_string(*rc::gen::inRange(1, 6));
  const auto text = ManifestText(version, *rc::gen::inRange(0, 3));
  const auto expected = *rc::gen::inRange<std::uint64_t>(0, 6);
  apply_manifest change{ expected, text };
  if (*rc::gen::arbitrary<bool>()) {
    change = ShortenApply(aFleet.state, std::move(change));
  }
  const auto result = aFleet.Do(change);
  const auto known = aModel.texts.find(version);
  if (known != aModel.texts.end()) {
    RC_ASSERT(result.isDone == (known->second == text));
    if (result.isDone) {
      RC_ASSERT(result.revision == aModel.answered[version]);
    }
    return;
  }
  RC_ASSERT(result.isDone == (expected == aModel.manifests));
  if (result.isDone) {
    ++aModel.manifests;
    aModel.texts[version] = text;
    aModel.answered[version] = result.revision;
    RC_ASSERT(aFleet.state.declared.version == version);
  }
}

void
StepKey(state_fixture& aFleet, operators_model& aModel)
{
  const int number = *rc::gen::inRange(0, 4);
  if (*rc::gen::arbitrary<bool>()) {
    aFleet.Do(withdraw_key{ KeyNumber(number) });
    aModel.withdrawn.insert(number);
  } else {
    const auto result =
      aFleet.Do(issue_key{ KeyNumber(number), IdOf<workspace_id>("dealer") });
    RC_ASSERT(!(result.isDone && aModel.withdrawn.contains(number)));
  }
}

void
StepClaim(state_fixture& aFleet, operators_model& aModel)
{
  const int claim = *rc::gen::inRange(0, 3);
  const auto token = *rc::gen::inRange<std::uint64_t>(1, 5);
  if (*rc::gen::inRange(0, 4) == 0) {
    aFleet.now += std::chrono::seconds(6);
  }
  const auto result = aFleet.Claim(std::to_string(claim), token);
  if (result.claim == claim_answer::eGranted) {
    const auto inserted = aModel.holder.emplace(claim, token);
    RC_ASSERT(inserted.first->second == token);
  }
}

TEST_CASE("FleetState_UnderRacingOperators_KeepsEveryAcknowledgement",
          "[fleet][fuzz]")
{
  rc::prop("acknowledged versions, withdrawals and grants hold", [] {
    state_fixture fleet;
    operators_model model;
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
