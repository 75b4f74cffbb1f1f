#include "simulated_cluster.hpp"

#include <catch2/catch.hpp>

namespace bulrush {
namespace {

using std::chrono::milliseconds;

const replica_id kSelf{ 1 };
const replica_id kSecond{ 2 };
const replica_id kThird{ 3 };
const replica_id kStranger{ 9 };
const membership kThree{ { kSelf, member_kind::eVoter, "a" },
                         { kSecond, member_kind::eVoter, "b" },
                         { kThird, member_kind::eVoter, "c" } };

/// One replica that hears only what the test says.
struct one_replica_fixture
{
  memory_disk disk{ kSelf };
  recovered_log log;
  replica_tables tables;
  steady_time now{ std::chrono::hours(1) };
  last_reason reason;

  one_replica_fixture()
  {
    log.identity = kSelf;
    log.entries.push_back({ 1, 1, entry_kind::eMembership, {}, kThree });
    log.vote = { 1, {} };
  }

  void Start()
  {
    replica_settings settings;
    settings.name = "a";
    settings.electionTimeout = milliseconds(200);
    settings.leaseMargin = milliseconds(20);
    settings.heartbeat = milliseconds(30);
    tables = StartReplica(settings, log, disk.Hooks(), now);
  }
  replica_outbox Tick()
  {
    replica_outbox outbox;
    RunReplica(tables, now, outbox);
    return outbox;
  }
  template<class message>
  replica_outbox Hear(message aMessage, replica_id aFrom, log_term aTerm)
  {
    aMessage.header = { "fleet", aFrom, kSelf, aTerm };
    Deliver(tables, aMessage, now);
    return Tick();
  }
  // Waits out the election timeout and wins with the vote of kSecond.
  void Lead()
  {
    Start();
    now += milliseconds(400);
    Tick();
    REQUIRE(tables.role == replica_role::ePreCandidate);
    const log_term term = tables.vote.term + 1;
    Hear(vote_reply{ {}, true, true }, kSecond, term);
    REQUIRE(tables.role == replica_role::eCandidate);
    Hear(vote_reply{ {}, false, true }, kSecond, term);
    REQUIRE(tables.role == replica_role::eLeader);
  }
  append_reply Accepts(log_index aMatch) const
  {
    append_reply reply;
    reply.accepted = true;
    reply.previous = aMatch;
    reply.match = aMatch;
    reply.sentAt = now;
    return reply;
  }
  template<class message>
  static std::vector<message> Only(const replica_outbox& aOutbox)
  {
    std::vector<message> found;
    for (const replica_message& any : aOutbox.messages) {
      if (const message* one = std::get_if<message>(&any)) {
        found.push_back(*one);
      }
    }
    return found;
  }
};

TEST_CASE_METHOD(one_replica_fixture,
                 "Commit_OfAnEarlierTermsEntry_WaitsForOneOfItsOwnTerm",
                 "[replication]")
{
  log.entries.push_back({ 2, 1, entry_kind::ePayload, "old", {} });
  Lead();
  REQUIRE(tables.termStart == 3);
  // The old entry is on a quorum now, and yet another leader may replace it.
  Hear(Accepts(2), kSecond, tables.vote.term);
  CHECK(tables.commit == 0);
  Hear(Accepts(3), kSecond, tables.vote.term);
  CHECK(tables.commit == 3);
}

TEST_CASE_METHOD(one_replica_fixture,
                 "Voter_RightAfterARestart_RefusesToElectAnotherLeader",
                 "[replication]")
{
  Start();
  vote_request request;
  request.last = { 9, 9 };
  now += milliseconds(100);
  CHECK(Hear(request, kSecond, 5).messages.empty());
  CHECK(tables.vote.term == 1);
  now += milliseconds(101);
  const auto replies = Only<vote_reply>(Hear(request, kSecond, 5));
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].granted);
}

TEST_CASE_METHOD(one_replica_fixture,
                 "Voter_ThatHearsItsLeader_RefusesToElectAnotherOne",
                 "[replication]")
{
  Start();
  now += milliseconds(300);
  append_request heartbeat;
  heartbeat.previous = { 1, 1 };
  Hear(heartbeat, kSecond, 4);
  vote_request request;
  request.last = { 9, 9 };
  request.preVote = true;
  now += milliseconds(190);
  CHECK(Hear(request, kThird, 5).messages.empty());
  request.preVote = false;
  CHECK(Hear(request, kThird, 5).messages.empty());
  CHECK(tables.vote.term == 4);
  // The leader itself may ask for an election.
  request.handOver = true;
  CHECK(Only<vote_reply>(Hear(request, kThird, 5)).size() == 1);
  CHECK(tables.vote.votedFor == kThird);
}

TEST_CASE_METHOD(one_replica_fixture,
                 "Lease_OnALateAnswer_CountsFromWhenTheRequestWasSent",
                 "[replication]")
{
  Lead();
  Hear(Accepts(2), kSecond, tables.vote.term);
  REQUIRE(IsLeaseHeld(tables, now));
  append_reply late = Accepts(2);
  now += milliseconds(150);
  Hear(late, kSecond, tables.vote.term);
  CHECK(IsLeaseHeld(tables, now));
  CHECK_FALSE(IsLeaseHeld(tables, now + milliseconds(40)));
}

TEST_CASE_METHOD(one_replica_fixture,
                 "Vote_OfOneThatIsNoVoter_IsNotCounted",
                 "[replication]")
{
  Start();
  now += milliseconds(400);
  Tick();
  Hear(vote_reply{ {}, true, true }, kSecond, 2);
  REQUIRE(tables.role == replica_role::eCandidate);
  Hear(vote_reply{ {}, false, true }, kStranger, 2);
  CHECK(tables.role == replica_role::eCandidate);
}

TEST_CASE_METHOD(one_replica_fixture,
                 "Members_OfAnEntryThatIsCut_AreInForceNoMore",
                 "[replication]")
{
  const membership two{ kThree[0], kThree[1] };
  log.entries.push_back({ 2, 1, entry_kind::eMembership, {}, two });
  Start();
  REQUIRE(tables.members == two);
  append_request request;
  request.previous = { 1, 1 };
  request.entries.push_back({ 2, 2, entry_kind::eNoOp, {}, {} });
  Hear(request, kSecond, 2);
  CHECK(tables.members == kThree);
  CHECK(tables.membersIndex == 1);
}

TEST_CASE_METHOD(one_replica_fixture,
                 "Snapshot_TakenDuringAChange_HoldsTheMembersOfItsIndex",
                 "[replication]")
{
  Lead();
  Hear(Accepts(2), kSecond, tables.vote.term);
  REQUIRE(tables.commit == 2);
  REQUIRE(ChangeMember(
    tables, { kStranger, member_kind::eLearner, "d" }, now, reason));
  REQUIRE(tables.members.size() == 4);
  REQUIRE(SaveSnapshot(tables, "state", reason));
  CHECK(tables.snapshot.at.index == 2);
  CHECK(tables.snapshot.members == kThree);
  CHECK(disk.Durable().snapshot.members == kThree);
}

TEST_CASE_METHOD(one_replica_fixture,
                 "SnapshotChunk_OutOfOrderMixedOrDamaged_IsNotInstalled",
                 "[replication]")
{
  Start();
  const std::string state = "0123456789";
  snapshot_chunk chunk;
  chunk.at = { 50, 3 };
  chunk.members = kThree;
  chunk.totalBytes = state.size();
  chunk.checksum = StableHash(state);
  const auto hear = [&](std::uint64_t aOffset, const std::string& aBytes) {
    chunk.offset = aOffset;
    chunk.bytes = aBytes;
    const auto replies = Only<snapshot_reply>(Hear(chunk, kSecond, 4));
    REQUIRE(replies.size() == 1);
    return replies[0];
  };
  CHECK(hear(0, "01234").nextOffset == 5);
  // Repeated and ahead of order: the answer names what is wanted.
  CHECK(hear(0, "01234").nextOffset == 5);
  CHECK(hear(7, "789").nextOffset == 5);
  // Another snapshot starts from its beginning.
  chunk.at = { 60, 3 };
  CHECK(hear(5, "56789").nextOffset == 0);
  CHECK(hear(0, "01234").nextOffset == 5);
  // Wrong bytes end in the checksum, and the transfer starts again.
  CHECK_FALSE(hear(5, "5678X").installed);
  CHECK(tables.commit == 0);
  CHECK(hear(0, "01234").nextOffset == 5);
  CHECK(hear(5, "56789").installed);
  CHECK(tables.commit == 60);
  CHECK(tables.snapshot.state == state);
  CHECK(disk.Durable().snapshot.state == state);
}

TEST_CASE_METHOD(one_replica_fixture,
                 "SnapshotChunk_LargerThanTheBound_IsRefused",
                 "[replication]")
{
  Start();
  snapshot_chunk chunk;
  chunk.at = { 50, 3 };
  chunk.totalBytes = tables.settings.maxSnapshotBytes + 1;
  chunk.bytes = "x";
  Hear(chunk, kSecond, 4);
  CHECK(tables.incoming.bytes.empty());
}

TEST_CASE_METHOD(one_replica_fixture,
                 "HandOver_WhenTheTargetKeepsSilent_EndsTheLeadership",
                 "[replication]")
{
  Lead();
  Hear(Accepts(2), kSecond, tables.vote.term);
  REQUIRE(HandOver(tables, now, reason) == kSecond);
  REQUIRE(Only<time_out_now>(Tick()).size() == 1);
  CHECK_FALSE(IsLeaseHeld(tables, now));
  // Answers go on, so that only the hand-over can end the leadership.
  now += milliseconds(150);
  Hear(Accepts(2), kThird, tables.vote.term);
  CHECK(tables.role == replica_role::eLeader);
  now += milliseconds(60);
  Hear(Accepts(2), kThird, tables.vote.term);
  CHECK(tables.role == replica_role::eFollower);
}

TEST_CASE_METHOD(one_replica_fixture,
                 "HandOver_BeforeTheTargetHasCaughtUp_CanBeGivenUp",
                 "[replication]")
{
  Lead();
  Hear(Accepts(2), kSecond, tables.vote.term);
  REQUIRE(Propose(tables, "more", reason));
  REQUIRE(HandOver(tables, now, reason) == kSecond);
  CHECK(Only<time_out_now>(Tick()).empty());
  CHECK_FALSE(Propose(tables, "even more", reason));
  now += milliseconds(150);
  Hear(Accepts(2), kSecond, tables.vote.term);
  now += milliseconds(60);
  Tick();
  CHECK(tables.role == replica_role::eLeader);
  CHECK(Propose(tables, "even more", reason));
}

TEST_CASE_METHOD(one_replica_fixture,
                 "Leader_ThatContradictsACommittedEntry_StopsTheReplica",
                 "[replication]")
{
  log.commit = 1;
  Start();
  append_request request;
  request.previous = { 0, 0 };
  request.entries.push_back({ 1, 2, entry_kind::eNoOp, {}, {} });
  const replica_outbox outbox = Hear(request, kSecond, 2);
  REQUIRE(outbox.fatal.has_value());
  CHECK(outbox.fatal->text == "the leader contradicts a committed entry");
  CHECK(outbox.messages.empty());
}

TEST_CASE_METHOD(one_replica_fixture,
                 "Tick_WhoseSyncFails_ReleasesNothing",
                 "[replication]")
{
  Start();
  disk.failsSync = true;
  append_request request;
  request.previous = { 1, 1 };
  request.commit = 2;
  request.entries.push_back({ 2, 2, entry_kind::ePayload, "x", {} });
  replica_outbox outbox = Hear(request, kSecond, 2);
  REQUIRE(outbox.fatal.has_value());
  CHECK(outbox.fatal->step == "sync");
  CHECK(outbox.messages.empty());
  CHECK(outbox.committed.empty());
  disk.failsSync = false;
  outbox = Hear(request, kSecond, 2);
  CHECK(outbox.fatal.has_value());
  CHECK(outbox.messages.empty());
}

TEST_CASE_METHOD(one_replica_fixture,
                 "AppendRequest_WithAGapOrALaterTerm_IsRefused",
                 "[replication]")
{
  Start();
  append_request request;
  request.previous = { 1, 1 };
  request.entries.push_back({ 3, 2, entry_kind::eNoOp, {}, {} });
  auto replies = Only<append_reply>(Hear(request, kSecond, 2));
  REQUIRE(replies.size() == 1);
  CHECK_FALSE(replies[0].accepted);
  request.entries[0] = { 2, 7, entry_kind::eNoOp, {}, {} };
  replies = Only<append_reply>(Hear(request, kSecond, 2));
  REQUIRE(replies.size() == 1);
  CHECK_FALSE(replies[0].accepted);
  CHECK(tables.entries.size() == 1);
}

TEST_CASE_METHOD(one_replica_fixture,
                 "Propose_BeyondItsBounds_IsRefusedWithTheReason",
                 "[replication]")
{
  Start();
  CHECK_FALSE(Propose(tables, "x", reason));
  CHECK(reason.text == "not the leader");
  Lead();
  tables.settings.maxEntryBytes = 10;
  CHECK_FALSE(Propose(tables, "12345678901", reason));
  CHECK(reason.text == "the entry is too large");
  tables.settings.maxUncommittedEntries = 3;
  CHECK(Propose(tables, "x", reason));
  CHECK_FALSE(Propose(tables, "x", reason));
  CHECK(reason.text == "too many entries wait for a quorum");
}

TEST_CASE_METHOD(one_replica_fixture,
                 "Batch_OfManyEntries_StaysWithinItsBytes",
                 "[replication]")
{
  Lead();
  tables.settings.maxBatchBytes = 1000;
  Hear(Accepts(2), kSecond, tables.vote.term);
  for (int i = 0; i < 50; ++i) {
    REQUIRE(Propose(tables, std::string(100, 'x'), reason));
  }
  const auto requests = Only<append_request>(Tick());
  std::size_t most = 0;
  for (const append_request& request : requests) {
    most = std::max(most, request.entries.size());
  }
  CHECK(most == 7);
}

TEST_CASE_METHOD(one_replica_fixture,
                 "Messages_ThatOverflowTheInbox_AreDroppedAndCounted",
                 "[replication]")
{
  Start();
  vote_request request;
  request.header = { "fleet", kSecond, kSelf, 1 };
  for (int i = 0; i < 5000; ++i) {
    Deliver(tables, request, now);
  }
  CHECK(tables.inbox.size() == 4096);
  CHECK(tables.droppedMessages == 904);
}

} // namespace
} // namespace bulrush
