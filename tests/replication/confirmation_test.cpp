#include "simulated_cluster.hpp"

#include <catch2/catch.hpp>

namespace bulrush {
namespace {

using std::chrono::milliseconds;

/// Three replicas with a leader. Every run also checks, against the oracle,
/// that no confirmation claims too much.
struct confirmation_fixture
{
  simulated_cluster cluster{ 3, 7 };
  std::size_t leader = cluster.AwaitLeader();
  std::size_t follower = (leader + 1) % 3;

  steady_time ConfirmedAtHost(std::size_t aHost) const
  {
    return ConfirmedAt(*cluster.hosts[aHost].tables, cluster.ClockOf(aHost));
  }
  std::chrono::nanoseconds AgeAt(std::size_t aHost) const
  {
    return cluster.ClockOf(aHost) - ConfirmedAtHost(aHost);
  }
};

TEST_CASE_METHOD(confirmation_fixture,
                 "Confirmation_OfReplicasInTouch_IsAFewHeartbeatsOld",
                 "[replication]")
{
  cluster.Run(milliseconds(1'000));
  for (std::size_t host = 0; host < cluster.hosts.size(); ++host) {
    CHECK(AgeAt(host) < 5 * cluster.settings.heartbeat);
  }
}

TEST_CASE_METHOD(confirmation_fixture,
                 "Confirmation_UnderSteadyWrites_IsAFewHeartbeatsOld",
                 "[replication]")
{
  for (int i = 0; i < 200; ++i) {
    cluster.ProposeAt(leader);
    cluster.Run(milliseconds(5));
  }
  CHECK(AgeAt(follower) < 5 * cluster.settings.heartbeat);
}

TEST_CASE_METHOD(confirmation_fixture,
                 "Confirmation_OfAFollowerThatIsCutOff_StopsAtTheCut",
                 "[replication]")
{
  cluster.Run(milliseconds(1'000));
  cluster.Isolate(follower);
  const steady_time cutAt = cluster.ClockOf(follower);
  cluster.Run(milliseconds(5'000));
  CHECK(ConfirmedAtHost(follower) <= cutAt);
  cluster.Heal();
  cluster.Run(milliseconds(3'000));
  CHECK(AgeAt(follower) < 5 * cluster.settings.heartbeat);
}

TEST_CASE_METHOD(confirmation_fixture,
                 "Confirmation_OfALeaderThatIsCutOff_StopsAtTheCut",
                 "[replication]")
{
  cluster.Run(milliseconds(1'000));
  cluster.Isolate(leader);
  const steady_time cutAt = cluster.ClockOf(leader);
  cluster.Run(milliseconds(5'000));
  CHECK(ConfirmedAtHost(leader) <= cutAt);
}

TEST_CASE_METHOD(confirmation_fixture,
                 "Confirmation_OfALeaderThatWasSuspended_IsFromBefore",
                 "[replication]")
{
  cluster.Run(milliseconds(1'000));
  const steady_time pausedAt = cluster.ClockOf(leader);
  cluster.Pause(leader, milliseconds(4'000));
  REQUIRE(cluster.RunUntil(
    [&] {
      const auto now = cluster.Leader();
      return now && *now != leader;
    },
    milliseconds(4'000)));
  CHECK(ConfirmedAtHost(leader) <= pausedAt);
}

// The answer to a question of an earlier process, or of none, proves nothing.
TEST_CASE_METHOD(confirmation_fixture,
                 "Confirmation_InAMessageThatAnswersNoQuestion_IsIgnored",
                 "[replication]")
{
  cluster.Run(milliseconds(1'000));
  cluster.Isolate(follower);
  cluster.Run(milliseconds(100));
  replica_tables& tables = *cluster.hosts[follower].tables;
  const steady_time before = ConfirmedAtHost(follower);
  append_request heldUp;
  heldUp.header = { tables.settings.log,
                    cluster.hosts[leader].Id(),
                    tables.self,
                    tables.vote.term };
  heldUp.previous = { tables.released, tables.vote.term };
  heldUp.commit = tables.commit;
  heldUp.confirmationAge = milliseconds(0);
  for (const std::uint64_t answers :
       { std::uint64_t{ 0 }, tables.question.number - 1 }) {
    heldUp.answers = answers;
    cluster.Run(milliseconds(400));
    Deliver(tables, heldUp, cluster.ClockOf(follower));
    cluster.RunHost(follower);
    CHECK(ConfirmedAtHost(follower) == before);
  }
}

TEST_CASE_METHOD(confirmation_fixture,
                 "Confirmation_AfterARestart_BeginsAnew",
                 "[replication]")
{
  cluster.Run(milliseconds(1'000));
  const std::uint64_t asked = cluster.hosts[follower].tables->question.number;
  cluster.Crash(follower);
  cluster.Start(follower);
  CHECK(ConfirmedAtHost(follower) == steady_time::min());
  CHECK(cluster.hosts[follower].tables->question.number != asked);
}

} // namespace
} // namespace bulrush
