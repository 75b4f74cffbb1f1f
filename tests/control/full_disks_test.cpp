#include "control/tables.hpp"
#include "observe/observe.hpp"
#include "support/lossy_disk.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>

namespace bulrush::control {
namespace {

namespace fs = std::filesystem;
using std::chrono::milliseconds;

/// Control processes whose disks run full in turn, never two at once. A process
/// whose write fails ends and starts again after a short delay.
struct full_disks_fixture
{
  static constexpr milliseconds kStep{ 10 };
  static constexpr std::size_t kSeeds = 3;
  /// Each caller has an answer within the time limit of a decision.
  static constexpr milliseconds kAnswerBound{ 1'000 };
  /// Two elections of up to two election timeouts (700 ms), the time after
  /// which a silent member is replaced (1,500 ms), and a restart (500 ms).
  static constexpr milliseconds kBound{ 2 * 2 * 700 + 1'500 + 500 };

  struct process
  {
    std::string name;
    fs::path folder;
    lossy_disk disk;
    std::unique_ptr<control_tables> tables; ///< null while it is down
    steady_time nextStart{};
    std::size_t ends = 0;
  };

  struct call
  {
    std::size_t process = 0;
    int number = 0;
    steady_time sent;
    std::optional<answer_kind> answer;
    std::string text;
  };

  fs::path folder;
  steady_time now = steady_time{} + std::chrono::hours{ 1 };
  random_engine random;
  std::vector<process> processes;
  std::map<std::uint64_t, call> calls;
  bool hasDynamicMembers = false;
  bool isFirstStart = true;
  std::uint64_t starts = 0;
  std::uint64_t lastCall = 0;
  int number = 0;
  int acknowledged = 0;
  std::size_t acknowledgements = 0;

  full_disks_fixture()
  {
    SetLogLevel(log_level::eError);
    std::string name = (fs::temp_directory_path() / "bulrush-XXXXXX").string();
    folder = ::mkdtemp(name.data());
  }
  ~full_disks_fixture()
  {
    processes.clear();
    fs::remove_all(folder);
    SetLogLevel(log_level::eInfo);
  }
  full_disks_fixture(const full_disks_fixture&) = delete;
  full_disks_fixture& operator=(const full_disks_fixture&) = delete;

  int Draw(int aBelow)
  {
    return std::uniform_int_distribution<int>(0, aBelow - 1)(random);
  }
  milliseconds DrawTime(milliseconds aFrom, milliseconds aBelow)
  {
    return aFrom +
           milliseconds{ Draw(static_cast<int>((aBelow - aFrom).count())) };
  }

  void SetUp(std::size_t aProcesses, bool aHasDynamicMembers, int aSeed)
  {
    processes.clear();
    calls.clear();
    fs::remove_all(folder);
    random.seed(static_cast<std::uint64_t>(aSeed));
    hasDynamicMembers = aHasDynamicMembers;
    isFirstStart = true;
    number = 0;
    acknowledged = 0;
    acknowledgements = 0;
    for (std::size_t i = 0; i < aProcesses; ++i) {
      process each;
      each.name = "10.0.0." + std::to_string(i + 1) + ":7100";
      each.folder = folder / std::to_string(i);
      processes.push_back(std::move(each));
    }
    Run(milliseconds{ 8'000 }, false);
    isFirstStart = false;
    REQUIRE(Leader());
  }

  void Start(std::size_t aIndex)
  {
    process& each = processes[aIndex];
    fs::create_directories(each.folder);
    auto tables = std::make_unique<control_tables>();
    tables->self.name = each.name;
    tables->self.linkAddress = each.name;
    tables->self.incarnation = ++starts;
    tables->wallClock = [] { return wall_time{}; };
    std::vector<std::string> peers;
    const std::size_t count = hasDynamicMembers ? kSeeds : processes.size();
    for (std::size_t i = 0; i < count; ++i) {
      if (i != aIndex) {
        peers.push_back(processes[i].name);
      }
    }
    replica_settings settings;
    settings.name = each.name;
    settings.snapshotAfterEntries = 20;
    settings.keptEntries = 4;
    last_reason reason;
    auto log =
      OpenLog(each.folder, settings, peers, now, reason, each.disk.Hooks());
    if (!log) {
      INFO(Describe(reason));
      REQUIRE(each.disk.isFull);
      End(each);
      return;
    }
    tables->replicated = std::move(*log);
    tables->replicated->hasDynamicMembers = hasDynamicMembers;
    tables->replicated->mayBootstrap =
      isFirstStart && (!hasDynamicMembers || aIndex < kSeeds);
    tables->log = MakeReplicatedLog(*tables->replicated);
    for (const std::string& peer : peers) {
      control_row control;
      control.id = IdOf<replica_id>(peer);
      control.name = peer;
      control.address = peer;
      tables->controls.Insert(control);
    }
    each.tables = std::move(tables);
  }

  // Calls that the process has not answered fail at their callers.
  void End(process& aProcess)
  {
    aProcess.tables.reset();
    aProcess.nextStart =
      now + DrawTime(milliseconds{ 100 }, milliseconds{ 500 });
    ++aProcess.ends;
    std::erase_if(calls, [&](const auto& aCall) {
      return &processes[aCall.second.process] == &aProcess &&
             !aCall.second.answer;
    });
  }

  std::uint64_t Change(std::size_t aProcess)
  {
    const std::string text = std::to_string(++number);
    put_manifest change;
    change.text = R"({"name":"test","version":")" + text + R"(","number":)" +
                  text + R"(,"failure_domains":[{"name":"north"}]})";
    change.source = change.text;
    calls[++lastCall] = { aProcess, number, now, {}, {} };
    processes[aProcess].tables->httpInbox.push_back(
      { http_call_id{ lastCall }, std::move(change) });
    return lastCall;
  }

  void Answer(const answered_call& aAnswer)
  {
    const auto found = calls.find(aAnswer.id.value);
    if (found == calls.end()) {
      return;
    }
    found->second.answer = aAnswer.answer.kind;
    found->second.text = aAnswer.answer.text;
    if (aAnswer.answer.kind == answer_kind::eDone) {
      acknowledged = std::max(acknowledged, found->second.number);
      ++acknowledgements;
    }
  }

  void Send(const process& aFrom, outgoing_message& aMessage)
  {
    for (process& to : processes) {
      if (to.tables && to.name == aMessage.control + aMessage.peer) {
        received_message input;
        input.peer = aFrom.name;
        input.message.sender = aFrom.name;
        input.message.incarnation = aFrom.tables->self.incarnation;
        input.message.body = std::move(aMessage.body);
        to.tables->inbox.push_back(std::move(input));
        return;
      }
    }
  }

  void Tick(process& aProcess)
  {
    control_outbox out;
    RunControl(*aProcess.tables, now, out);
    if (out.fatal) {
      INFO(Describe(*out.fatal));
      REQUIRE(aProcess.disk.isFull);
      End(aProcess);
      return;
    }
    for (outgoing_message& message : out.messages) {
      Send(aProcess, message);
    }
    for (const answered_call& answer : out.httpAnswers) {
      Answer(answer);
    }
  }

  void Run(milliseconds aTime, bool aWithChanges)
  {
    for (const steady_time end = now + aTime; now < end; now += kStep) {
      for (std::size_t i = 0; i < processes.size(); ++i) {
        if (!processes[i].tables && now >= processes[i].nextStart) {
          Start(i);
        }
        if (processes[i].tables) {
          Tick(processes[i]);
        }
      }
      const std::size_t any =
        static_cast<std::size_t>(Draw(static_cast<int>(processes.size())));
      if (aWithChanges && Draw(10) == 0 && processes[any].tables) {
        Change(any);
      }
      for (const auto& [id, call] : calls) {
        if (!call.answer && now >= call.sent + kAnswerBound) {
          FAIL(processes[call.process].name << " answers no change");
        }
      }
      std::erase_if(calls, [&](const auto& aCall) {
        return aCall.second.answer && now > aCall.second.sent + kBound;
      });
    }
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

  // A third of the time, the disk of the leader.
  std::size_t AnyDisk()
  {
    const auto leader = Leader();
    return leader && Draw(3) == 0 ? *leader
                                  : static_cast<std::size_t>(
                                      Draw(static_cast<int>(processes.size())));
  }

  void FillDisksInTurn()
  {
    const int count = 4 + Draw(6);
    for (int i = 0; i < count; ++i) {
      lossy_disk& disk = processes[AnyDisk()].disk;
      const int room = Draw(2) * Draw(200);
      disk.room = static_cast<std::size_t>(room);
      disk.isFull = true;
      Run(DrawTime(milliseconds{ 1'000 }, milliseconds{ 5'000 }), true);
      disk.isFull = false;
      const auto pause = DrawTime(milliseconds{}, milliseconds{ 3'000 });
      Run(Draw(2) * pause, true);
    }
  }

  const log_tables& LogOf(std::size_t aProcess) const
  {
    return *processes[aProcess].tables->replicated;
  }

  bool IsHeld(replica_id aIdentity) const
  {
    for (std::size_t i = 0; i < processes.size(); ++i) {
      if (LogOf(i).replica.self == aIdentity) {
        return true;
      }
    }
    return false;
  }

  void CheckMembers() const
  {
    const auto leader = Leader();
    REQUIRE(leader);
    const replica_tables& replica = LogOf(*leader).replica;
    CHECK_FALSE(replica.replacement);
    CHECK(replica.membersIndex <= replica.commit);
    for (const log_member& member : replica.members) {
      INFO(member.name);
      CHECK(member.kind == member_kind::eVoter);
      CHECK(IsHeld(member.id));
    }
    const std::size_t count = processes.size();
    CHECK(replica.members.size() == count - (count % 2 == 0 ? 1 : 0));
    for (std::size_t i = 0; i < processes.size(); ++i) {
      if (IsMember(LogOf(*leader), LogOf(i).replica.self)) {
        CHECK(LogOf(i).replica.leader == replica.self);
        CHECK(LogOf(i).replica.commit == replica.commit);
      }
    }
  }

  void CheckThatEachProcessTakesAChange()
  {
    for (std::size_t i = 0; i < processes.size(); ++i) {
      const std::uint64_t id = Change(i);
      Run(kAnswerBound, false);
      INFO(processes[i].name << ": " << calls[id].text);
      CHECK(calls[id].answer == answer_kind::eDone);
    }
  }

  void CheckThatAPowerLossKeepsAcknowledgedChanges()
  {
    calls.clear();
    for (process& each : processes) {
      each.tables.reset();
      each.disk.LosePower(each.folder / "fleet");
    }
    Run(kBound, false);
    const auto leader = Leader();
    REQUIRE(leader);
    CHECK(processes[*leader].tables->fleet.declared.number >=
          static_cast<std::uint64_t>(acknowledged));
  }

  // Returns how often processes ended.
  std::size_t RunHistory(std::size_t aProcesses,
                         bool aHasDynamicMembers,
                         int aSeed)
  {
    INFO(aProcesses << " processes, seed " << aSeed);
    SetUp(aProcesses, aHasDynamicMembers, aSeed);
    FillDisksInTurn();
    std::size_t ends = 0;
    for (const process& each : processes) {
      ends += each.ends;
    }
    // A power loss during changes, in every other history.
    if (aSeed % 2 == 1) {
      CheckThatAPowerLossKeepsAcknowledgedChanges();
    }
    Run(kBound, true);
    Run(kAnswerBound, false);
    for (const process& each : processes) {
      CHECK(each.tables);
    }
    CheckMembers();
    CheckThatEachProcessTakesAChange();
    CheckThatAPowerLossKeepsAcknowledgedChanges();
    return ends;
  }

  void RunHistories(std::size_t aProcesses, bool aHasDynamicMembers, int aCount)
  {
    std::size_t ends = 0;
    for (int seed = 1; seed <= aCount; ++seed) {
      ends += RunHistory(aProcesses, aHasDynamicMembers, seed);
    }
    CHECK(ends > 2U * static_cast<std::size_t>(aCount));
  }
};

TEST_CASE_METHOD(full_disks_fixture,
                 "Change_AtAProcessThatIsNoMember_Commits",
                 "[control]")
{
  SetUp(4, true, 1);
  CheckMembers();
  CheckThatEachProcessTakesAChange();
}

TEST_CASE_METHOD(full_disks_fixture,
                 "Changes_AfterDisksOfThreeFixedMembersWereFullInTurn_Commit",
                 "[control]")
{
  RunHistories(3, false, 8);
}

TEST_CASE_METHOD(full_disks_fixture,
                 "Changes_AfterDisksOfFiveFixedMembersWereFullInTurn_Commit",
                 "[control]")
{
  RunHistories(5, false, 8);
}

TEST_CASE_METHOD(full_disks_fixture,
                 "Changes_AfterDisksOfThreeVotersWereFullInTurn_Commit",
                 "[control]")
{
  RunHistories(3, true, 8);
}

TEST_CASE_METHOD(full_disks_fixture,
                 "Changes_AfterDisksOfFiveVotersWereFullInTurn_Commit",
                 "[control]")
{
  RunHistories(5, true, 8);
}

TEST_CASE_METHOD(full_disks_fixture,
                 "Changes_AfterDisksOfFiveVotersAndASpareWereFullInTurn_Commit",
                 "[control]")
{
  RunHistories(6, true, 8);
}

TEST_CASE_METHOD(full_disks_fixture,
                 "Changes_AfterDisksOfSevenVotersWereFullInTurn_Commit",
                 "[control]")
{
  RunHistories(7, true, 8);
}

TEST_CASE_METHOD(full_disks_fixture,
                 "Changes_AfterDisksWereFullInTurnInManyHistories_Commit",
                 "[.long]")
{
  const char* const given = std::getenv("HISTORIES");
  const int count = given != nullptr ? std::atoi(given) : 100;
  for (const std::size_t processCount : { 3U, 4U, 5U, 6U, 7U }) {
    RunHistories(processCount, true, count);
  }
  for (const std::size_t processCount : { 3U, 5U, 7U }) {
    RunHistories(processCount, false, count);
  }
}

} // namespace
} // namespace bulrush::control
