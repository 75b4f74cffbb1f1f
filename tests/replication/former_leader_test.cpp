#include "simulated_cluster.hpp"

#include <catch2/catch.hpp>

namespace bulrush {
namespace {

using std::chrono::milliseconds;

/// Five replicas with entries, and the leader of their latest term.
struct former_leader_fixture
{
  simulated_cluster cluster{ 5, 20261206 };
  std::size_t leader = 0;

  former_leader_fixture()
  {
    REQUIRE(cluster.ProposeAndAwait(5));
    cluster.Run(milliseconds{ 500 });
    leader = cluster.AwaitLeader();
  }

  replica_tables& Tables(std::size_t aHost)
  {
    return *cluster.hosts[aHost].tables;
  }

  void RestartAll()
  {
    for (std::size_t i = 0; i < cluster.hosts.size(); ++i) {
      cluster.Crash(i);
    }
    for (std::size_t i = 0; i < cluster.hosts.size(); ++i) {
      cluster.Start(i);
    }
  }

  /// Whether aVoter grants its trial vote at once to aCandidate, which asks for
  /// the next term with as long a log.
  bool Grants(std::size_t aVoter, std::size_t aCandidate)
  {
    replica_tables& tables = Tables(aVoter);
    vote_request request;
    request.preVote = true;
    request.header = { cluster.settings.log,
                       cluster.hosts[aCandidate].Id(),
                       tables.self,
                       tables.vote.term + 1 };
    request.last = { tables.entries.back().index, tables.entries.back().term };
    Deliver(tables, request, cluster.ClockOf(aVoter));
    replica_outbox out;
    RunReplica(tables, cluster.ClockOf(aVoter), out);
    for (const replica_message& message : out.messages) {
      const auto* reply = std::get_if<vote_reply>(&message);
      if (reply != nullptr && reply->granted &&
          reply->header.to == request.header.from) {
        return true;
      }
    }
    return false;
  }
};

TEST_CASE_METHOD(former_leader_fixture,
                 "Replicas_RestartedAtOnce_FollowTheirFormerLeaderSoon",
                 "[replication]")
{
  RestartAll();
  cluster.Run(cluster.settings.electionTimeout / 2);
  CHECK(cluster.Leader() == leader);
  CHECK(cluster.ProposeAndAwait(5));
  CHECK_NOTHROW(cluster.EndFaultsAndCheck());
}

TEST_CASE_METHOD(former_leader_fixture,
                 "Replicas_RestartedWithoutTheirFormerLeader_ElectAnother",
                 "[replication]")
{
  RestartAll();
  cluster.Crash(leader);
  CHECK(cluster.AwaitLeader() != leader);
  CHECK(cluster.ProposeAndAwait(5));
  CHECK_NOTHROW(cluster.EndFaultsAndCheck());
}

// Guards the lease of a leader that replaced another in the same term: a
// follower may have voted for the one that lost.
TEST_CASE_METHOD(former_leader_fixture,
                 "Follower_AfterARestart_RefusesAllButItsLeaderForATimeout",
                 "[replication]")
{
  const std::size_t follower = (leader + 1) % cluster.hosts.size();
  const std::size_t other = (leader + 2) % cluster.hosts.size();
  Tables(follower).vote.votedFor = cluster.hosts[other].Id();
  cluster.Run(milliseconds{ 500 }); // it hears from the leader again
  cluster.Isolate(follower);
  cluster.Crash(follower);
  cluster.Start(follower);
  CHECK_FALSE(Grants(follower, other));
  CHECK(Grants(follower, leader));
}

TEST_CASE_METHOD(former_leader_fixture,
                 "Follower_WithALeader_RefusesOthers",
                 "[replication]")
{
  const std::size_t follower = (leader + 1) % cluster.hosts.size();
  const std::size_t other = (leader + 2) % cluster.hosts.size();
  CHECK_FALSE(Grants(follower, other));
}

} // namespace
} // namespace bulrush
