#include "simulated_cluster.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace bulrush {
namespace {

using std::chrono::milliseconds;

struct three_replicas_fixture
{
  simulated_cluster cluster{ 3, 20261204 };

  std::size_t Other(std::size_t aFirst, std::size_t aSecond) const
  {
    return 3 - aFirst - aSecond;
  }
  std::size_t AnyFollower(std::size_t aLeader) const
  {
    return (aLeader + 1) % 3;
  }
  log_term TermOf(std::size_t aHost) const
  {
    return cluster.hosts[aHost].tables->vote.term;
  }
};

TEST_CASE_METHOD(three_replicas_fixture,
                 "Log_WhenBootstrapped_ElectsOneLeaderAndAccepts",
                 "[replication]")
{
  CHECK(cluster.ProposeAndAwait(20));
  CHECK(cluster.oracle.AcknowledgedCount() == 20);
  CHECK_NOTHROW(cluster.EndFaultsAndCheck());
}

TEST_CASE_METHOD(three_replicas_fixture,
                 "Leader_WhenItCrashes_IsReplacedWithoutLossOfAcceptedEntries",
                 "[replication]")
{
  REQUIRE(cluster.ProposeAndAwait(5));
  const std::size_t first = *cluster.Leader();
  cluster.Crash(first);
  const std::size_t second = cluster.AwaitLeader();
  CHECK(second != first);
  CHECK(cluster.ProposeAndAwait(5));
  CHECK_NOTHROW(cluster.EndFaultsAndCheck());
}

TEST_CASE_METHOD(three_replicas_fixture,
                 "Leader_WithoutAQuorum_StepsDownWithinTheElectionTimeout",
                 "[replication]")
{
  const std::size_t leader = cluster.AwaitLeader();
  cluster.Isolate(leader);
  cluster.Run(cluster.settings.electionTimeout + milliseconds(50));
  const replica_tables& tables = *cluster.hosts[leader].tables;
  CHECK(tables.role != replica_role::eLeader);
  CHECK_FALSE(IsLeaseHeld(tables, cluster.ClockOf(leader)));
  CHECK_FALSE(cluster.ProposeAt(leader).has_value());
}

TEST_CASE_METHOD(three_replicas_fixture,
                 "Follower_RestartedWithoutItsLeader_LacksTheLeadersState",
                 "[replication]")
{
  REQUIRE(cluster.ProposeAndAwait(3));
  cluster.Run(milliseconds(500));
  const std::size_t follower = AnyFollower(cluster.AwaitLeader());
  const auto isCaughtUp = [&] {
    return IsCaughtUp(*cluster.hosts[follower].tables,
                      cluster.ClockOf(follower));
  };
  CHECK(isCaughtUp());
  cluster.Isolate(follower);
  cluster.Run(milliseconds(100)); // delivers what was already sent
  cluster.Crash(follower);
  cluster.Start(follower);
  cluster.Run(milliseconds(100));
  CHECK_FALSE(isCaughtUp());
  REQUIRE(cluster.ProposeAndAwait(3));
  cluster.Run(cluster.settings.electionTimeout);
  CHECK_FALSE(isCaughtUp());
  cluster.Heal();
  REQUIRE(cluster.ProposeAndAwait(3));
  cluster.Run(milliseconds(500));
  CHECK(isCaughtUp());
}

TEST_CASE_METHOD(three_replicas_fixture,
                 "Leader_IsolatedForLongAndReturning_RevertsNoEntry",
                 "[replication]")
{
  REQUIRE(cluster.ProposeAndAwait(3));
  const std::size_t old = *cluster.Leader();
  cluster.Isolate(old);
  // Proposals of the isolated leader can't be committed.
  cluster.ProposeAt(old);
  cluster.ProposeAt(old);
  cluster.Run(milliseconds(1500));
  REQUIRE(cluster.ProposeAndAwait(40));
  const std::size_t next = *cluster.Leader();
  REQUIRE(next != old);
  const log_term term = TermOf(next);
  cluster.Run(milliseconds(60000));
  cluster.Heal();
  cluster.Run(milliseconds(2000));
  CHECK(cluster.Leader() == next);
  CHECK(TermOf(next) == term);
  CHECK_NOTHROW(cluster.EndFaultsAndCheck());
  CHECK(cluster.hosts[old].state == cluster.hosts[next].state);
}

TEST_CASE_METHOD(three_replicas_fixture,
                 "Follower_IsolatedAndReturning_LeavesTheLeaderInPlace",
                 "[replication]")
{
  const std::size_t leader = cluster.AwaitLeader();
  const std::size_t follower = AnyFollower(leader);
  const log_term term = TermOf(leader);
  cluster.Isolate(follower);
  cluster.Run(milliseconds(5000));
  CHECK(TermOf(follower) == term);
  cluster.Heal();
  cluster.Run(milliseconds(2000));
  CHECK(cluster.Leader() == leader);
  CHECK(TermOf(leader) == term);
}

TEST_CASE_METHOD(three_replicas_fixture,
                 "Leader_WhenOneLinkOfThreeIsCut_StaysInPlace",
                 "[replication]")
{
  REQUIRE(cluster.ProposeAndAwait(3));
  cluster.Run(milliseconds(200));
  const std::size_t leader = cluster.AwaitLeader();
  const std::size_t follower = AnyFollower(leader);
  const log_term term = TermOf(leader);
  cluster.Cut(leader, follower);
  cluster.Run(milliseconds(5000));
  CHECK(cluster.Leader() == leader);
  CHECK(TermOf(Other(leader, follower)) == term);
  CHECK(cluster.ProposeAndAwait(3));
}

TEST_CASE_METHOD(three_replicas_fixture,
                 "Leader_PausedAndResumed_ServesNoStaleRead",
                 "[replication]")
{
  REQUIRE(cluster.ProposeAndAwait(3));
  const std::size_t paused = *cluster.Leader();
  cluster.Pause(paused, milliseconds(3000));
  cluster.Run(milliseconds(1500));
  REQUIRE(cluster.ProposeAndAwait(3));
  // Still paused: its role is unchanged, but its lease has expired.
  CHECK(cluster.hosts[paused].tables->role == replica_role::eLeader);
  CHECK_FALSE(
    IsLeaseHeld(*cluster.hosts[paused].tables, cluster.ClockOf(paused)));
  CHECK_NOTHROW(cluster.EndFaultsAndCheck());
}

TEST_CASE_METHOD(three_replicas_fixture,
                 "Follower_FarBehind_GetsASnapshotInChunks",
                 "[replication]")
{
  const std::size_t leader = cluster.AwaitLeader();
  const std::size_t follower = AnyFollower(leader);
  cluster.Crash(follower);
  REQUIRE(cluster.ProposeAndAwait(120));
  REQUIRE(cluster.hosts[*cluster.Leader()].tables->base.index > 50);
  cluster.deliveredChunks = 0;
  cluster.Start(follower);
  cluster.Run(milliseconds(2000));
  CHECK(cluster.deliveredChunks > 3);
  CHECK(cluster.hosts[follower].state.size() == 120);
  CHECK_NOTHROW(cluster.EndFaultsAndCheck());
}

TEST_CASE_METHOD(three_replicas_fixture,
                 "Log_UnderManyEntries_IsBoundedBySnapshots",
                 "[replication]")
{
  REQUIRE(cluster.ProposeAndAwait(300));
  cluster.Run(milliseconds(500));
  const std::size_t maxEntries =
    cluster.settings.snapshotAfterEntries + cluster.settings.keptEntries + 2;
  for (const simulated_replica& host : cluster.hosts) {
    CHECK(host.tables->entries.size() <= maxEntries);
  }
}

TEST_CASE_METHOD(three_replicas_fixture,
                 "LostHost_ReplacedThroughALearner_RestoresFaultTolerance",
                 "[replication]")
{
  REQUIRE(cluster.ProposeAndAwait(30));
  const std::size_t leader = *cluster.Leader();
  const std::size_t lost = AnyFollower(leader);
  const replica_id lostId = cluster.hosts[lost].Id();
  cluster.Crash(lost);
  REQUIRE(cluster.ProposeAndAwait(30));
  const std::size_t newMember = cluster.AddHost();
  REQUIRE(cluster.Replace(lost, lostId, newMember));
  // A second host is lost right after the replacement.
  const std::size_t second = Other(leader, lost);
  cluster.Crash(second);
  CHECK(cluster.ProposeAndAwait(10));
  CHECK_NOTHROW(cluster.EndFaultsAndCheck());
  CHECK(cluster.oracle.AcknowledgedCount() == 71);
}

TEST_CASE_METHOD(three_replicas_fixture,
                 "Leader_LostRightAfterAReplacement_IsReplacedByAnotherVoter",
                 "[replication]")
{
  REQUIRE(cluster.ProposeAndAwait(30));
  const std::size_t leader = *cluster.Leader();
  const std::size_t lost = AnyFollower(leader);
  const replica_id lostId = cluster.hosts[lost].Id();
  cluster.Crash(lost);
  REQUIRE(cluster.ProposeAndAwait(5));
  const std::size_t newMember = cluster.AddHost();
  REQUIRE(cluster.Replace(lost, lostId, newMember));
  cluster.Crash(*cluster.Leader());
  CHECK(cluster.ProposeAndAwait(10));
  CHECK_NOTHROW(cluster.EndFaultsAndCheck());
}

TEST_CASE_METHOD(three_replicas_fixture,
                 "Leader_ToBeReplaced_TransfersLeadershipFirst",
                 "[replication]")
{
  REQUIRE(cluster.ProposeAndAwait(5));
  const std::size_t leader = *cluster.Leader();
  const replica_id oldId = cluster.hosts[leader].Id();
  const std::size_t newMember = cluster.AddHost();
  CHECK(cluster.Replace(leader, oldId, newMember));
  CHECK(cluster.ProposeAndAwait(5));
}

TEST_CASE_METHOD(three_replicas_fixture,
                 "WipedHost_WithANewIdentity_CountsInNoQuorum",
                 "[replication]")
{
  REQUIRE(cluster.ProposeAndAwait(10));
  const std::size_t leader = *cluster.Leader();
  const std::size_t wiped = AnyFollower(leader);
  const replica_id oldId = cluster.hosts[wiped].Id();
  cluster.Wipe(wiped);
  cluster.Start(wiped);
  cluster.Run(milliseconds(3000));
  CHECK(cluster.hosts[wiped].Id() != oldId);
  CHECK(cluster.hosts[wiped].tables->members.empty());
  CHECK(cluster.hosts[wiped].tables->role == replica_role::eFollower);
  // One voter and the wiped host are no quorum of three.
  cluster.Crash(Other(leader, wiped));
  cluster.Run(milliseconds(3000));
  CHECK_FALSE(cluster.Leader().has_value());
  cluster.Start(Other(leader, wiped));
  REQUIRE(cluster.Replace(wiped, oldId, wiped));
  cluster.Crash(Other(leader, wiped));
  CHECK(cluster.ProposeAndAwait(5));
  CHECK_NOTHROW(cluster.EndFaultsAndCheck());
}

TEST_CASE_METHOD(three_replicas_fixture,
                 "Learner_ThatLags_IsNotMadeAVoter",
                 "[replication]")
{
  REQUIRE(cluster.ProposeAndAwait(10));
  const std::size_t leader = *cluster.Leader();
  const std::size_t newMember = cluster.AddHost();
  replica_tables& tables = *cluster.hosts[leader].tables;
  const replica_id id = cluster.hosts[newMember].Id();
  last_reason reason;
  cluster.Isolate(newMember);
  REQUIRE(ChangeMember(tables,
                       { id, member_kind::eLearner, "new" },
                       cluster.ClockOf(leader),
                       reason));
  cluster.RunHost(leader);
  cluster.Run(milliseconds(500));
  CHECK_FALSE(ChangeMember(tables,
                           { id, member_kind::eVoter, "new" },
                           cluster.ClockOf(leader),
                           reason));
  CHECK(reason.text == "has not caught up");
  cluster.Heal();
  cluster.Run(milliseconds(500));
  CHECK(ChangeMember(tables,
                     { id, member_kind::eVoter, "new" },
                     cluster.ClockOf(leader),
                     reason));
}

TEST_CASE_METHOD(three_replicas_fixture,
                 "SecondChange_WhileOneIsInProgress_IsRefused",
                 "[replication]")
{
  REQUIRE(cluster.ProposeAndAwait(1));
  const std::size_t leader = *cluster.Leader();
  replica_tables& tables = *cluster.hosts[leader].tables;
  const steady_time clock = cluster.ClockOf(leader);
  last_reason reason;
  REQUIRE(ChangeMember(
    tables, { replica_id{ 1 }, member_kind::eLearner, "x" }, clock, reason));
  CHECK_FALSE(ChangeMember(
    tables, { replica_id{ 2 }, member_kind::eLearner, "y" }, clock, reason));
  CHECK(reason.text == "another change is under way");
}

TEST_CASE_METHOD(three_replicas_fixture,
                 "Removal_ThatWouldLeaveNoQuorumAnswering_IsRefused",
                 "[replication]")
{
  REQUIRE(cluster.ProposeAndAwait(1));
  const std::size_t leader = *cluster.Leader();
  const std::size_t dead = AnyFollower(leader);
  cluster.Crash(dead);
  cluster.Run(milliseconds(1000));
  replica_tables& tables = *cluster.hosts[leader].tables;
  last_reason reason;
  CHECK_FALSE(RemoveMember(tables,
                           cluster.hosts[Other(leader, dead)].Id(),
                           cluster.ClockOf(leader),
                           reason));
  CHECK(reason.text == "the new voters would have no quorum that answers");
}

TEST_CASE_METHOD(three_replicas_fixture,
                 "HandOver_AtAGracefulStop_TransfersLeadershipWithoutATimeout",
                 "[replication]")
{
  REQUIRE(cluster.ProposeAndAwait(5));
  const std::size_t leader = *cluster.Leader();
  last_reason reason;
  const auto target =
    HandOver(*cluster.hosts[leader].tables, cluster.ClockOf(leader), reason);
  REQUIRE(target.has_value());
  CHECK_FALSE(cluster.ProposeAt(leader).has_value());
  cluster.RunHost(leader);
  const bool moved = cluster.RunUntil(
    [&] {
      const auto next = cluster.Leader();
      return next && cluster.hosts[*next].Id() == *target;
    },
    cluster.settings.electionTimeout / 2);
  CHECK(moved);
  CHECK(cluster.ProposeAndAwait(5));
}

TEST_CASE_METHOD(three_replicas_fixture,
                 "Replica_WhenSyncFails_StopsAndConfirmsNothing",
                 "[replication]")
{
  REQUIRE(cluster.ProposeAndAwait(3));
  const std::size_t leader = *cluster.Leader();
  const std::size_t follower = AnyFollower(leader);
  cluster.hosts[follower].disk->failsSync = true;
  REQUIRE(cluster.ProposeAndAwait(1));
  cluster.Run(milliseconds(200));
  REQUIRE(cluster.hosts[follower].stopped.has_value());
  CHECK(cluster.hosts[follower].stopped->step == "sync");
  CHECK(cluster.ProposeAndAwait(3));
  CHECK_NOTHROW(cluster.EndFaultsAndCheck());
}

TEST_CASE_METHOD(three_replicas_fixture,
                 "Leader_WhenItsDiskIsFull_StopsAndAnotherOneLeads",
                 "[replication]")
{
  REQUIRE(cluster.ProposeAndAwait(3));
  const std::size_t leader = *cluster.Leader();
  cluster.hosts[leader].disk->failsWrite = true;
  CHECK_FALSE(cluster.ProposeAt(leader).has_value());
  cluster.RunHost(leader);
  REQUIRE(cluster.hosts[leader].stopped.has_value());
  CHECK(cluster.hosts[leader].stopped->text == "no space left");
  CHECK(cluster.ProposeAndAwait(3));
  CHECK_NOTHROW(cluster.EndFaultsAndCheck());
}

TEST_CASE_METHOD(three_replicas_fixture,
                 "Log_WhenEveryProcessRestarts_ContainsAllAcceptedEntries",
                 "[replication]")
{
  REQUIRE(cluster.ProposeAndAwait(250));
  for (std::size_t i = 0; i < 3; ++i) {
    cluster.Crash(i);
  }
  CHECK_NOTHROW(cluster.EndFaultsAndCheck());
  CHECK(cluster.oracle.AcknowledgedCount() == 251);
}

TEST_CASE_METHOD(three_replicas_fixture,
                 "Replica_RestartedAlone_AppliesCommittedEntries",
                 "[replication]")
{
  REQUIRE(cluster.ProposeAndAwait(7));
  cluster.Run(milliseconds(200));
  REQUIRE(cluster.ProposeAndAwait(1));
  cluster.Run(milliseconds(200));
  for (std::size_t i = 0; i < 3; ++i) {
    cluster.Crash(i);
  }
  cluster.Start(0);
  cluster.Run(milliseconds(1000));
  // Only the last commit index may not have been synced.
  CHECK(cluster.hosts[0].state.size() >= 7);
}

TEST_CASE_METHOD(three_replicas_fixture,
                 "Message_ForAnotherLogOrIdentity_IsDropped",
                 "[replication]")
{
  const std::size_t leader = cluster.AwaitLeader();
  replica_tables& tables = *cluster.hosts[leader].tables;
  append_request request;
  request.header = { "other", replica_id{ 7 }, tables.self, 99 };
  Deliver(tables, request, cluster.ClockOf(leader));
  CHECK(tables.inbox.empty());
  request.header = { "fleet", replica_id{ 7 }, replica_id{ 8 }, 99 };
  Deliver(tables, request, cluster.ClockOf(leader));
  CHECK(tables.inbox.empty());
  request.header.to = tables.self;
  Deliver(tables, request, cluster.ClockOf(leader));
  CHECK(tables.inbox.size() == 1);
}

} // namespace
} // namespace bulrush
