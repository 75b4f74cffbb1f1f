#include "control/tables.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <map>

namespace bulrush::control {
namespace {

namespace fs = std::filesystem;
using std::chrono::milliseconds;

/// Control processes that know three seeds, on links without loss.
struct voters_fixture
{
  static constexpr std::size_t kSeeds = 3;

  struct process
  {
    std::string name;
    std::string domain;
    fs::path folder;
    std::unique_ptr<control_tables> tables; ///< null while it is down
    bool isStalled = false; ///< its messages wait, as while a sync lasts
  };

  fs::path folder;
  steady_time now = steady_time{} + std::chrono::hours{ 1 };
  std::vector<process> processes;
  std::uint64_t starts = 0;

  voters_fixture()
    : voters_fixture(std::vector<std::string>(6))
  {
  }
  /// One process in each failure domain that is listed.
  explicit voters_fixture(const std::vector<std::string>& aDomains)
  {
    std::string name = (fs::temp_directory_path() / "bulrush-XXXXXX").string();
    folder = ::mkdtemp(name.data());
    for (const std::string& domain : aDomains) {
      const std::size_t i = processes.size();
      const std::string address = "10.0.0." + std::to_string(i + 1) + ":7100";
      processes.push_back(
        { address, domain, folder / std::to_string(i), nullptr });
      Start(i, true);
    }
  }
  ~voters_fixture()
  {
    processes.clear();
    fs::remove_all(folder);
  }
  voters_fixture(const voters_fixture&) = delete;
  voters_fixture& operator=(const voters_fixture&) = delete;

  void Start(std::size_t aIndex, bool aIsFirstStart)
  {
    process& each = processes[aIndex];
    fs::create_directories(each.folder);
    each.tables = std::make_unique<control_tables>();
    control_tables& tables = *each.tables;
    tables.self.name = each.name;
    tables.self.domain = each.domain;
    tables.self.linkAddress = each.name;
    tables.self.incarnation = ++starts;
    tables.wallClock = [] { return wall_time{}; };
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < kSeeds; ++i) {
      if (i != aIndex) {
        seeds.push_back(processes.size() > i
                          ? processes[i].name
                          : "10.0.0." + std::to_string(i + 1) + ":7100");
      }
    }
    last_reason reason;
    replica_settings settings;
    settings.name = each.name;
    auto log = OpenLog(each.folder, settings, seeds, now, reason);
    REQUIRE(log);
    tables.replicated = std::move(*log);
    tables.replicated->hasDynamicMembers = true;
    tables.replicated->mayBootstrap = aIsFirstStart && aIndex < kSeeds;
    tables.log = MakeReplicatedLog(*tables.replicated);
    for (const std::string& seed : seeds) {
      control_row control;
      control.id = IdOf<replica_id>(seed);
      control.name = seed;
      control.address = seed;
      tables.controls.Insert(control);
    }
  }

  void Wipe(std::size_t aIndex)
  {
    processes[aIndex].tables.reset();
    fs::remove_all(processes[aIndex].folder);
  }

  process* Named(const std::string& aName)
  {
    for (process& each : processes) {
      if (each.name == aName && each.tables) {
        return &each;
      }
    }
    return nullptr;
  }

  void Run(milliseconds aTime)
  {
    for (const steady_time end = now + aTime; now < end;
         now += milliseconds{ 10 }) {
      for (process& each : processes) {
        if (!each.tables || each.isStalled) {
          continue;
        }
        control_outbox out;
        RunControl(*each.tables, now, out);
        for (outgoing_message& message : out.messages) {
          process* to = Named(message.control);
          if (to != nullptr) {
            received_message input;
            input.peer = each.name;
            input.message.sender = each.name;
            input.message.incarnation = each.tables->self.incarnation;
            input.message.body = std::move(message.body);
            to->tables->inbox.push_back(std::move(input));
          }
        }
      }
    }
  }

  /// Members by failure domain, as the leader lists them.
  std::map<std::string, std::size_t> MembersByDomain() const
  {
    std::map<std::string, std::size_t> members;
    REQUIRE(Leader());
    for (const log_member& member :
         processes[*Leader()].tables->replicated->replica.members) {
      const auto found =
        std::ranges::find(processes, member.name, &process::name);
      REQUIRE(found != processes.end());
      ++members[found->domain];
    }
    return members;
  }

  std::optional<std::size_t> Leader() const
  {
    for (std::size_t i = 0; i < processes.size(); ++i) {
      if (processes[i].tables && processes[i].tables->log.isLeader(now)) {
        return i;
      }
    }
    return std::nullopt;
  }
};

TEST_CASE_METHOD(voters_fixture,
                 "AcknowledgedManifest_WhenTwoOfSixDisksAreLost_IsKept",
                 "[control]")
{
  Run(milliseconds{ 10'000 });
  const auto leader = Leader();
  REQUIRE(leader);
  control_tables& tables = *processes[*leader].tables;
  fleet_command command;
  apply_manifest change;
  change.text = R"({"name":"test","version":"1","number":1,
    "failure_domains":[{"name":"north"}]})";
  command.change = change;
  last_reason reason;
  REQUIRE(tables.log.propose(wire::EncodeCommand(command), reason));
  while (tables.fleet.manifestRevision == 0) {
    Run(milliseconds{ 10 });
  }
  // All stop at the moment of the acknowledgement; the leader and the member
  // that answered first, by the order of names, lose their disks.
  const std::size_t second = *leader == 0 ? 1 : 0;
  Wipe(*leader);
  Wipe(second);
  for (process& each : processes) {
    each.tables.reset();
  }
  for (std::size_t i = 0; i < processes.size(); ++i) {
    Start(i, false);
  }
  Run(milliseconds{ 10'000 });
  REQUIRE(Leader());
  CHECK(processes[*Leader()].tables->fleet.declared.number == 1);
}

TEST_CASE_METHOD(voters_fixture,
                 "Voters_AmongSixProcesses_AreOddInNumber",
                 "[control]")
{
  Run(milliseconds{ 10'000 });
  REQUIRE(Leader());
  const membership& members =
    processes[*Leader()].tables->replicated->replica.members;
  CHECK(std::ranges::count(members, member_kind::eVoter, &log_member::kind) ==
        5);
}

TEST_CASE_METHOD(voters_fixture,
                 "Learner_WhoseReplacementEndedWithItsLeader_IsSettled",
                 "[control]")
{
  Run(milliseconds{ 10'000 });
  REQUIRE(Leader());
  replica_tables& replica = processes[*Leader()].tables->replicated->replica;
  const auto spare = std::ranges::find_if(processes, [&](const auto& aEach) {
    return std::ranges::find(replica.members, aEach.name, &log_member::name) ==
           replica.members.end();
  });
  REQUIRE(spare != processes.end());
  last_reason reason;
  REQUIRE(ChangeMember(replica,
                       { spare->tables->replicated->replica.self,
                         member_kind::eLearner,
                         spare->name },
                       now,
                       reason));
  Run(milliseconds{ 5'000 });
  REQUIRE(Leader());
  const membership& members =
    processes[*Leader()].tables->replicated->replica.members;
  CHECK(std::ranges::count(members, member_kind::eLearner, &log_member::kind) ==
        0);
  CHECK(std::ranges::count(members, member_kind::eVoter, &log_member::kind) ==
        5);
}

// Guards against a log that is never joined again: the learner's machine was
// exchanged, and its replacement waited for it without end.
TEST_CASE_METHOD(voters_fixture,
                 "Learner_WhoseProcessIsGone_GivesItsPlaceToAnother",
                 "[control]")
{
  const auto findLearner = [&]() -> process* {
    const auto leader = Leader();
    if (!leader) {
      return nullptr;
    }
    for (const log_member& member :
         processes[*leader].tables->replicated->replica.members) {
      if (member.kind == member_kind::eLearner) {
        return Named(member.name);
      }
    }
    return nullptr;
  };
  for (int i = 0; i < 1'000 && findLearner() == nullptr; ++i) {
    Run(milliseconds{ 10 });
  }
  process* learner = findLearner();
  REQUIRE(learner != nullptr);
  learner->tables.reset();
  Run(milliseconds{ 15'000 });
  REQUIRE(Leader());
  const membership& members =
    processes[*Leader()].tables->replicated->replica.members;
  CHECK(members.size() == 5);
  CHECK(std::ranges::count(members, member_kind::eVoter, &log_member::kind) ==
        5);
  CHECK(std::ranges::find(members, learner->name, &log_member::name) ==
        members.end());
}

// Guards against rows, links and counted hosts of control processes that were
// exchanged long ago.
TEST_CASE_METHOD(voters_fixture,
                 "Process_ThatIsGoneForGood_IsDroppedAndOthersStay",
                 "[control]")
{
  Run(milliseconds{ 10'000 });
  const std::string gone = processes.back().name;
  processes.back().tables.reset();
  Run(milliseconds{ 5'000 });
  now += std::chrono::hours{ 2 };
  Run(milliseconds{ 5'000 });
  for (const process& each : processes) {
    for (const process& other : processes) {
      const bool isKnown =
        each.tables &&
        each.tables->controls.Find(IdOf<replica_id>(other.name)) != nullptr;
      INFO(each.name << " and " << other.name);
      CHECK(isKnown == (each.tables && other.tables && &each != &other));
    }
  }
}

/// A seed in each of three failure domains, and four more processes in each,
/// which join domain by domain.
struct domain_voters_fixture : voters_fixture
{
  domain_voters_fixture()
    : voters_fixture({ "north",
                       "south",
                       "west",
                       "north",
                       "north",
                       "north",
                       "north",
                       "south",
                       "south",
                       "south",
                       "south",
                       "west",
                       "west",
                       "west",
                       "west" })
  {
  }

  void StopDomain(const std::string& aDomain)
  {
    for (process& each : processes) {
      if (each.domain == aDomain) {
        each.tables.reset();
      }
    }
  }
};

// Guards against a log that stops for good with the disks of one failure
// domain, which held most voters.
TEST_CASE_METHOD(domain_voters_fixture,
                 "Log_WhenAnyFailureDomainIsLost_StillCommits",
                 "[control]")
{
  Run(milliseconds{ 10'000 });
  const auto members = MembersByDomain();
  CHECK(members == std::map<std::string, std::size_t>{
                     { "north", 3 }, { "south", 3 }, { "west", 3 } });
  StopDomain("north");
  Run(milliseconds{ 5'000 });
  CHECK(Leader());
}

TEST_CASE_METHOD(domain_voters_fixture,
                 "Voters_WhenOneOfThemIsLost_AreReplacedInTheirDomain",
                 "[control]")
{
  Run(milliseconds{ 10'000 });
  processes[1].tables.reset();
  Run(milliseconds{ 5'000 });
  CHECK(MembersByDomain() == std::map<std::string, std::size_t>{
                               { "north", 3 }, { "south", 3 }, { "west", 3 } });
}

// Guards against changes that only machines hold which may be lost at any time.
TEST_CASE_METHOD(domain_voters_fixture,
                 "ExpendableProcesses_BesideOthers_DoNotVote",
                 "[control]")
{
  for (std::size_t i = kSeeds; i < processes.size(); ++i) {
    processes[i].tables->self.isExpendable = true;
  }
  Run(milliseconds{ 10'000 });
  CHECK(MembersByDomain() == std::map<std::string, std::size_t>{
                               { "north", 1 }, { "south", 1 }, { "west", 1 } });
}

TEST_CASE_METHOD(domain_voters_fixture,
                 "ExpendableVoter_WhereAnotherProcessWaits_LeavesForIt",
                 "[control]")
{
  for (std::size_t i = 0; i + 3 < processes.size(); ++i) {
    processes[i].tables->self.isExpendable = i != 0;
  }
  Run(milliseconds{ 10'000 });
  REQUIRE(Leader());
  for (const log_member& member :
       processes[*Leader()].tables->replicated->replica.members) {
    const process* voter = Named(member.name);
    REQUIRE(voter != nullptr);
    INFO(member.name);
    CHECK_FALSE(voter->tables->self.isExpendable);
  }
}

/// As many processes in one failure domain as would make it the larger part.
struct lopsided_voters_fixture : voters_fixture
{
  lopsided_voters_fixture()
    : voters_fixture({ "north", "south", "west", "north", "north" })
  {
  }
};

TEST_CASE_METHOD(lopsided_voters_fixture,
                 "Voters_WhereOnlyOneDomainHasMore_StayOneOfEach",
                 "[control]")
{
  Run(milliseconds{ 10'000 });
  CHECK(MembersByDomain() == std::map<std::string, std::size_t>{
                               { "north", 1 }, { "south", 1 }, { "west", 1 } });
}

/// Three control processes, each in a failure domain of its own, that are
/// exchanged for empty ones at new addresses.
struct exchanged_voters_fixture : voters_fixture
{
  /// A machine counts as lost until so long after its successor has started.
  static constexpr milliseconds kCatchUpTime{ 4'000 };
  static constexpr milliseconds kTick{ 10 };
  /// A join is complete after fewer ticks.
  static constexpr int kJoinTicks = 12;

  std::size_t exchanges = 0;

  exchanged_voters_fixture()
    : voters_fixture({ "north", "south", "west" })
  {
    Run(milliseconds{ 5'000 });
  }

  void Exchange(std::size_t aIndex)
  {
    const std::string number = std::to_string(++exchanges);
    processes[aIndex] = { "10.0.1." + number + ":7100",
                          processes[aIndex].domain,
                          folder / ("exchanged-" + number),
                          nullptr };
    Start(aIndex, false);
  }

  const membership& MembersAt(std::size_t aIndex) const
  {
    return processes[aIndex].tables->replicated->replica.members;
  }

  std::size_t VotersAt(std::size_t aIndex) const
  {
    return static_cast<std::size_t>(std::ranges::count(
      MembersAt(aIndex), member_kind::eVoter, &log_member::kind));
  }

  /// Voters of the list at a process that run no more.
  std::size_t LostVotersAt(std::size_t aIndex)
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(MembersAt(aIndex), [&](const log_member& aMember) {
        return aMember.kind == member_kind::eVoter &&
               Named(aMember.name) == nullptr;
      }));
  }

  /// Whether the voters are exactly the processes that run, at each of them.
  bool AreVotersThoseThatRun()
  {
    for (std::size_t i = 0; i < processes.size(); ++i) {
      if (VotersAt(i) != processes.size() ||
          MembersAt(i).size() != processes.size() || LostVotersAt(i) != 0) {
        return false;
      }
    }
    return true;
  }

  /// Exchanges a process. Some ticks after the new one is told of the log, the
  /// other follower stalls, whose index is returned.
  std::size_t ExchangeAndStall(std::size_t aIndex, int aTicks)
  {
    Exchange(aIndex);
    for (int i = 0; i < 1'000 && MembersAt(aIndex).empty(); ++i) {
      Run(kTick);
    }
    Run(aTicks * kTick);
    REQUIRE(Leader());
    const std::size_t stalled = 0 + 1 + 2 - aIndex - *Leader();
    processes[stalled].isStalled = true;
    return stalled;
  }

  bool RunUntilVotersAreThoseThatRun(milliseconds aLimit)
  {
    for (const steady_time end = now + aLimit; now < end;) {
      if (Leader() && AreVotersThoseThatRun()) {
        return true;
      }
      Run(kTick);
    }
    return false;
  }
};

// Guards against a list of voters that can't commit: of four, two are lost.
TEST_CASE_METHOD(exchanged_voters_fixture,
                 "Voters_WhenExchangedOneAfterAnother_AreReplacedBeforeTheNext",
                 "[control]")
{
  REQUIRE(AreVotersThoseThatRun());
  for (std::size_t i = 0; i < 30; ++i) {
    INFO("exchange " << i);
    REQUIRE(Leader());
    Exchange(i % 3 == 0 ? *Leader() : i % processes.size());
    for (const steady_time end = now + kCatchUpTime; now < end;) {
      Run(kTick);
      for (std::size_t at = 0; at < processes.size(); ++at) {
        CHECK(LostVotersAt(at) <= 1);
      }
    }
    REQUIRE(AreVotersThoseThatRun());
  }
}

// Guards against a lost voter among four, after which the next loss stops the
// log for good: its replacement ended with its leader.
TEST_CASE_METHOD(exchanged_voters_fixture,
                 "LostVoter_WhoseReplacementEndedWithItsLeader_IsRemoved",
                 "[control]")
{
  for (const bool isLeaderLost : { false, true }) {
    for (int ticks = 0; ticks < kJoinTicks; ++ticks) {
      INFO("the other follower stalls "
           << ticks << " ticks after the join; "
           << "the leader is lost: " << isLeaderLost);
      REQUIRE(Leader());
      const std::size_t lost = isLeaderLost ? *Leader() : (*Leader() + 1) % 3;
      const std::size_t stalled = ExchangeAndStall(lost, ticks);
      Run(milliseconds{ 2'000 });
      processes[stalled].isStalled = false;
      REQUIRE(RunUntilVotersAreThoseThatRun(kCatchUpTime));
    }
  }
}

} // namespace
} // namespace bulrush::control
