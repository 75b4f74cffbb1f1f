#include "simulated_cluster.hpp"

#include <catch2/catch.hpp>

namespace bulrush {
namespace {

using std::chrono::milliseconds;

const replica_id kSelf{ 1 };
const replica_id kSecond{ 2 };
const replica_id kThird{ 3 };
const replica_id kNonMember{ 9 };
const membership kThreeVoters{ { kSelf, member_kind::eVoter, "a" },
                               { kSecond, member_kind::eVoter, "b" },
                               { kThird, member_kind::eVoter, "c" } };

/// One replica that receives messages only from the test.
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
    log.entries.push_back({ 1, 1, entry_kind::eMembership, {}, kThreeVoters });
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
  replica_outbox Receive(message aMessage, replica_id aFrom, log_term aTerm)
  {
    aMessage.header = { "fleet", aFrom, kSelf, aTerm };
    Deliver(tables, aMessage, now);
    return Tick();
  }
  // Passes the election timeout and wins with the vote of kSecond.
  void Lead()
  {
    Start();
    now += milliseconds(400);
    Tick();
    REQUIRE(tables.role == replica_role::ePreCandidate);
    const log_term term = tables.vote.term + 1;
    Receive(vote_reply{ {}, true, true }, kSecond, term);
    REQUIRE(tables.role == replica_role::eCandidate);
    Receive(vote_reply{ {}, false, true }, kSecond, term);
    REQUIRE(tables.role == replica_role::eLeader);
  }
  append_reply AcceptingReply(log_index aMatch) const
  {
    append_reply reply;
    reply.accepted = true;
    reply.previous = aMatch;
    reply.match = aMatch;
    reply.sentAt = now;
    return reply;
  }
  template<class message>
  static std::vector<message> MessagesOf(const replica_outbox& aOutbox)
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
                 "Commit_OfAnEarlierTermsEntry_WaitsForOneOfTheLeadersTerm",
                 "[replication]")
{
  log.entries.push_back({ 2, 1, entry_kind::ePayload, "old", {} });
  Lead();
  REQUIRE(tables.termStart == 3);
  // The old entry is on a quorum now, but a later leader may still replace it.
  Receive(AcceptingReply(2), kSecond, tables.vote.term);
  CHECK(tables.commit == 0);
  Receive(AcceptingReply(3), kSecond, tables.vote.term);
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
  CHECK(Receive(request, kSecond, 5).messages.empty());
  CHECK(tables.vote.term == 1);
  now += milliseconds(101);
  const auto replies = MessagesOf<vote_reply>(Receive(request, kSecond, 5));
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].granted);
}

TEST_CASE_METHOD(one_replica_fixture,
                 "Voter_WithAnActiveLeader_RefusesToElectAnotherOne",
                 "[replication]")
{
  Start();
  now += milliseconds(300);
  append_request heartbeat;
  heartbeat.previous = { 1, 1 };
  Receive(heartbeat, kSecond, 4);
  vote_request request;
  request.last = { 9, 9 };
  request.preVote = true;
  now += milliseconds(190);
  CHECK(Receive(request, kThird, 5).messages.empty());
  request.preVote = false;
  CHECK(Receive(request, kThird, 5).messages.empty());
  CHECK(tables.vote.term == 4);
  // An election requested by the leader itself is not refused.
  request.handOver = true;
  CHECK(MessagesOf<vote_reply>(Receive(request, kThird, 5)).size() == 1);
  CHECK(tables.vote.votedFor == kThird);
}

TEST_CASE_METHOD(one_replica_fixture,
                 "Lease_OnALateAnswer_CountsFromWhenTheRequestWasSent",
                 "[replication]")
{
  Lead();
  Receive(AcceptingReply(2), kSecond, tables.vote.term);
  REQUIRE(IsLeaseHeld(tables, now));
  append_reply late = AcceptingReply(2);
  now += milliseconds(150);
  Receive(late, kSecond, tables.vote.term);
  CHECK(IsLeaseHeld(tables, now));
  CHECK_FALSE(IsLeaseHeld(tables, now + milliseconds(40)));
}

TEST_CASE_METHOD(one_replica_fixture,
                 "Vote_OfANonVoter_IsNotCounted",
                 "[replication]")
{
  Start();
  now += milliseconds(400);
  Tick();
  Receive(vote_reply{ {}, true, true }, kSecond, 2);
  REQUIRE(tables.role == replica_role::eCandidate);
  Receive(vote_reply{ {}, false, true }, kNonMember, 2);
  CHECK(tables.role == replica_role::eCandidate);
}

TEST_CASE_METHOD(one_replica_fixture,
                 "Members_OfATruncatedEntry_AreReverted",
                 "[replication]")
{
  const membership two{ kThreeVoters[0], kThreeVoters[1] };
  log.entries.push_back({ 2, 1, entry_kind::eMembership, {}, two });
  Start();
  REQUIRE(tables.members == two);
  append_request request;
  request.previous = { 1, 1 };
  request.entries.push_back({ 2, 2, entry_kind::eNoOp, {}, {} });
  Receive(request, kSecond, 2);
  CHECK(tables.members == kThreeVoters);
  CHECK(tables.membersIndex == 1);
}

TEST_CASE_METHOD(one_replica_fixture,
                 "Snapshot_TakenDuringAChange_HoldsTheMembersOfItsIndex",
                 "[replication]")
{
  Lead();
  Receive(AcceptingReply(2), kSecond, tables.vote.term);
  REQUIRE(tables.commit == 2);
  REQUIRE(ChangeMember(
    tables, { kNonMember, member_kind::eLearner, "d" }, now, reason));
  REQUIRE(tables.members.size() == 4);
  REQUIRE(SaveSnapshot(tables, "state", reason));
  CHECK(tables.snapshot.at.index == 2);
  CHECK(tables.snapshot.members == kThreeVoters);
  CHECK(disk.Durable().snapshot.members == kThreeVoters);
}

TEST_CASE_METHOD(one_replica_fixture,
                 "SnapshotChunk_OutOfOrderMixedOrDamaged_IsNotInstalled",
                 "[replication]")
{
  Start();
  const std::string state = "0123456789";
  snapshot_chunk chunk;
  chunk.at = { 50, 3 };
  chunk.members = kThreeVoters;
  chunk.totalBytes = state.size();
  chunk.checksum = StableHash(state);
  const auto receive = [&](std::uint64_t aOffset, const std::string& aBytes) {
    chunk.offset = aOffset;
    chunk.bytes = aBytes;
    const auto replies = MessagesOf<snapshot_reply>(Receive(chunk, kSecond, 4));
    REQUIRE(replies.size() == 1);
    return replies[0];
  };
  CHECK(receive(0, "01234").nextOffset == 5);
  // Duplicated and out of order: the answer contains the expected offset.
  CHECK(receive(0, "01234").nextOffset == 5);
  CHECK(receive(7, "789").nextOffset == 5);
  // Another snapshot starts from its beginning.
  chunk.at = { 60, 3 };
  CHECK(receive(5, "56789").nextOffset == 0);
  CHECK(receive(0, "01234").nextOffset == 5);
  // Wrong bytes fail the checksum, and the transfer restarts.
  CHECK_FALSE(receive(5, "5678X").installed);
  CHECK(tables.commit == 0);
  CHECK(receive(0, "01234").nextOffset == 5);
  CHECK(receive(5, "56789").installed);
  CHECK(tables.commit == 60);
  CHECK(tables.snapshot.state == state);
  CHECK(disk.Durable().snapshot.state == state);
}

// Guards against a process that has just got a snapshot, and lets hosts serve
// and deny requests by it although the leader has committed more.
TEST_CASE_METHOD(one_replica_fixture,
                 "Replica_WithASnapshotOlderThanTheCommit_IsNotCaughtUp",
                 "[replication]")
{
  Start();
  const std::string state = "0123456789";
  snapshot_chunk chunk;
  chunk.at = { 50, 4 };
  chunk.members = kThreeVoters;
  chunk.totalBytes = state.size();
  chunk.checksum = StableHash(state);
  chunk.bytes = state;
  chunk.commit = 51;
  REQUIRE(Receive(chunk, kSecond, 4).install);
  CHECK_FALSE(IsCaughtUp(tables, now));
  append_request request;
  request.previous = chunk.at;
  request.commit = chunk.commit;
  request.entries = { { 51, 4, entry_kind::ePayload, "x", {} } };
  Receive(request, kSecond, 4);
  CHECK(IsCaughtUp(tables, now));
}

TEST_CASE_METHOD(one_replica_fixture,
                 "Snapshot_LargerThanTheLimit_IsRefused",
                 "[replication]")
{
  Start();
  snapshot_chunk chunk;
  chunk.at = { 50, 3 };
  chunk.totalBytes = tables.settings.maxSnapshotBytes + 1;
  chunk.bytes = "x";
  Receive(chunk, kSecond, 4);
  CHECK(tables.incoming.bytes.empty());
}

TEST_CASE_METHOD(one_replica_fixture,
                 "HandOver_WhenTheTargetDoesNotAnswer_EndsTheLeadership",
                 "[replication]")
{
  Lead();
  Receive(AcceptingReply(2), kSecond, tables.vote.term);
  REQUIRE(HandOver(tables, now, reason) == kSecond);
  REQUIRE(MessagesOf<time_out_now>(Tick()).size() == 1);
  CHECK_FALSE(IsLeaseHeld(tables, now));
  // A quorum keeps answering, so that only the hand-over can end the
  // leadership.
  now += milliseconds(150);
  Receive(AcceptingReply(2), kThird, tables.vote.term);
  CHECK(tables.role == replica_role::eLeader);
  now += milliseconds(60);
  Receive(AcceptingReply(2), kThird, tables.vote.term);
  CHECK(tables.role == replica_role::eFollower);
}

TEST_CASE_METHOD(one_replica_fixture,
                 "HandOver_WhenTheTargetDoesNotCatchUp_IsAbandoned",
                 "[replication]")
{
  Lead();
  Receive(AcceptingReply(2), kSecond, tables.vote.term);
  REQUIRE(Propose(tables, "more", reason));
  REQUIRE(HandOver(tables, now, reason) == kSecond);
  CHECK(MessagesOf<time_out_now>(Tick()).empty());
  CHECK_FALSE(Propose(tables, "even more", reason));
  now += milliseconds(150);
  Receive(AcceptingReply(2), kSecond, tables.vote.term);
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
  const replica_outbox outbox = Receive(request, kSecond, 2);
  REQUIRE(outbox.fatal.has_value());
  CHECK(outbox.fatal->text == "the leader contradicts a committed entry");
  CHECK(outbox.messages.empty());
}

TEST_CASE_METHOD(one_replica_fixture,
                 "Tick_WhoseSyncFails_OutputsNothing",
                 "[replication]")
{
  Start();
  disk.failsSync = true;
  append_request request;
  request.previous = { 1, 1 };
  request.commit = 2;
  request.entries.push_back({ 2, 2, entry_kind::ePayload, "x", {} });
  replica_outbox outbox = Receive(request, kSecond, 2);
  REQUIRE(outbox.fatal.has_value());
  CHECK(outbox.fatal->step == "sync");
  CHECK(outbox.messages.empty());
  CHECK(outbox.committed.empty());
  disk.failsSync = false;
  outbox = Receive(request, kSecond, 2);
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
  auto replies = MessagesOf<append_reply>(Receive(request, kSecond, 2));
  REQUIRE(replies.size() == 1);
  CHECK_FALSE(replies[0].accepted);
  request.entries[0] = { 2, 7, entry_kind::eNoOp, {}, {} };
  replies = MessagesOf<append_reply>(Receive(request, kSecond, 2));
  REQUIRE(replies.size() == 1);
  CHECK_FALSE(replies[0].accepted);
  CHECK(tables.entries.size() == 1);
}

TEST_CASE_METHOD(one_replica_fixture,
                 "Propose_BeyondItsLimits_IsRefusedWithTheReason",
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
                 "Batch_OfManyEntries_StaysWithinMaxBatchBytes",
                 "[replication]")
{
  Lead();
  tables.settings.maxBatchBytes = 1000;
  Receive(AcceptingReply(2), kSecond, tables.vote.term);
  for (int i = 0; i < 50; ++i) {
    REQUIRE(Propose(tables, std::string(100, 'x'), reason));
  }
  const auto requests = MessagesOf<append_request>(Tick());
  std::size_t maxEntries = 0;
  for (const append_request& request : requests) {
    maxEntries = std::max(maxEntries, request.entries.size());
  }
  CHECK(maxEntries == 7);
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
