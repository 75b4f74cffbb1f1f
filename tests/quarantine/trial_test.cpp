#include "quarantine/quarantine_fixture.hpp"

#include <map>

namespace bulrush::quarantine {
namespace {

/// A leading control process and the hosts that it gives trials to.
struct trial_fixture : quarantine_fixture
{
  tables leader;
  std::vector<host_id> hosts{ host_id{ 5 }, host_id{ 3 }, host_id{ 9 } };
  std::map<host_id, tables> tablesOf;

  trial_fixture()
  {
    Condemn(kBad);
    Merge(leader, ChangesSince(host, 0), now);
    for (const host_id id : hosts) {
      tablesOf[id].self = id;
    }
  }

  void GiveTrialsNow()
  {
    wake_time wake;
    GiveTrials(leader, hosts, now, wake);
    for (auto& [id, each] : tablesOf) {
      Merge(each, ChangesSince(leader, 0), now);
    }
  }

  /// Sends what each host may send; returns how many requests that were.
  int SendTrials()
  {
    int sent = 0;
    for (auto& [id, each] : tablesOf) {
      for (int i = 0; i < 3; ++i) {
        if (Judge(each, Parts({ kBad }), false, Never(), now).kind ==
            verdict_kind::eFree) {
          UseTrials(each, Parts({ kBad }));
          ++sent;
        }
      }
    }
    return sent;
  }
};

TEST_CASE_METHOD(trial_fixture,
                 "Quarantine_BeforeItsTimeIsOver_HasNoTrial",
                 "[quarantine]")
{
  now += leader.settings.quarantineTime - milliseconds{ 1 };
  GiveTrialsNow();
  CHECK(SendTrials() == 0);
}

TEST_CASE_METHOD(trial_fixture,
                 "Quarantine_AfterItsTime_HasOneTrialAtOneHost",
                 "[quarantine]")
{
  now += leader.settings.quarantineTime;
  GiveTrialsNow();
  CHECK(SendTrials() == 1);
  now += leader.settings.trialTime;
  CHECK(SendTrials() == 0);
}

TEST_CASE_METHOD(trial_fixture,
                 "Trial_UnderWhichAProcessEnds_StartsTheQuarantineAgain",
                 "[quarantine]")
{
  now += leader.settings.quarantineTime;
  GiveTrialsNow();
  REQUIRE(SendTrials() == 1);
  RecordCrash(leader, { endpoint_id{ 77 }, 1, now }, Parts({ kBad }));
  for (int i = 0; i < 5; ++i) {
    now += leader.settings.trialTime;
    GiveTrialsNow();
    CHECK(SendTrials() == 0);
  }
}

TEST_CASE_METHOD(trial_fixture,
                 "Trial_ThatNoHostUses_GoesToTheNextHost",
                 "[quarantine]")
{
  now += leader.settings.quarantineTime;
  GiveTrialsNow();
  const host_id first = leader.suspects.Find(kBad)->lastTrial.host;
  now += leader.settings.trialTime;
  GiveTrialsNow();
  CHECK(leader.suspects.Find(kBad)->lastTrial.host != first);
  CHECK(SendTrials() == 1);
}

TEST_CASE_METHOD(trial_fixture,
                 "Trial_OfAHostThatWasSuspended_HasEnded",
                 "[quarantine]")
{
  now += leader.settings.quarantineTime;
  GiveTrialsNow();
  now += leader.settings.trialTime + milliseconds{ 1 };
  CHECK(SendTrials() == 0);
}

TEST_CASE_METHOD(trial_fixture,
                 "Trial_ThatIsAnswered_EndsTheQuarantine",
                 "[quarantine]")
{
  now += leader.settings.quarantineTime;
  GiveTrialsNow();
  REQUIRE(SendTrials() == 1);
  RecordAnswer(leader, Parts({ kBad }), now);
  GiveTrialsNow();
  for (auto& [id, each] : tablesOf) {
    CHECK(each.suspects.Empty());
  }
}

} // namespace
} // namespace bulrush::quarantine
