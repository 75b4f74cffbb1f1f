#include "control/tables.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <deque>

namespace bulrush::control {
namespace {

namespace fs = std::filesystem;
using std::chrono::milliseconds;

/// Six control processes that know three seeds, on links without loss.
struct voters_fixture
{
  static constexpr std::size_t kProcesses = 6;
  static constexpr std::size_t kSeeds = 3;

  struct process
  {
    std::string name;
    fs::path folder;
    std::unique_ptr<control_tables> tables; ///< null while it is down
  };

  fs::path folder;
  steady_time now = steady_time{} + std::chrono::hours{ 1 };
  std::vector<process> processes;
  std::uint64_t starts = 0;

  voters_fixture()
  {
    std::string name = (fs::temp_directory_path() / "bulrush-XXXXXX").string();
    folder = ::mkdtemp(name.data());
    for (std::size_t i = 0; i < kProcesses; ++i) {
      const std::string address = "10.0.0." + std::to_string(i + 1) + ":7100";
      processes.push_back({ address, folder / std::to_string(i), nullptr });
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
        if (!each.tables) {
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
  for (std::size_t i = 0; i < kProcesses; ++i) {
    processes[i].tables.reset();
  }
  for (std::size_t i = 0; i < kProcesses; ++i) {
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

} // namespace
} // namespace bulrush::control
