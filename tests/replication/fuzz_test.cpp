#include "simulated_cluster.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <rapidcheck/state.h>

#include <algorithm>
#include <ostream>

namespace bulrush {
namespace {

using std::chrono::milliseconds;

/// Model state of rapidcheck: only the number of hosts. All else is random.
struct fuzz_model
{
  std::size_t hosts = 3;
};

enum class fuzz_action
{
  eRun,
  ePropose,
  eCrash,
  eStart,
  ePause,
  eCut,
  eIsolate,
  eHeal,
  eDisturb,
  eWipe,
  eReplace,
  eHandOver,
  eFailSync,
  eLastAction,
};

const char*
NameOf(fuzz_action aAction)
{
  static constexpr std::array<const char*, 13> kNames{
    "run",  "propose", "crash", "start",   "pause",     "cut",      "isolate",
    "heal", "disturb", "wipe",  "replace", "hand over", "fail sync"
  };
  return kNames[static_cast<std::size_t>(aAction)];
}

bool
IsHeldByAHost(const simulated_cluster& aCluster, replica_id aId)
{
  return std::any_of(
    aCluster.hosts.begin(),
    aCluster.hosts.end(),
    [&](const simulated_replica& aHost) { return aHost.Id() == aId; });
}

bool
IsMember(const replica_tables& aTables, replica_id aId)
{
  return std::any_of(
    aTables.members.begin(),
    aTables.members.end(),
    [&](const log_member& aMember) { return aMember.id == aId; });
}

/// One random step: an action on a host; the meaning of `amount` depends on the
/// action.
struct fuzz_step : rc::state::Command<fuzz_model, simulated_cluster>
{
  fuzz_action action = fuzz_action::eRun;
  std::size_t host = 0;
  std::size_t other = 0;
  int amount = 0;

  explicit fuzz_step(const fuzz_model& aModel)
    : action(
        static_cast<fuzz_action>(*rc::gen::weightedElement<int>({ { 8, 0 },
                                                                  { 10, 1 },
                                                                  { 3, 2 },
                                                                  { 4, 3 },
                                                                  { 2, 4 },
                                                                  { 2, 5 },
                                                                  { 2, 6 },
                                                                  { 3, 7 },
                                                                  { 2, 8 },
                                                                  { 1, 9 },
                                                                  { 2, 10 },
                                                                  { 1, 11 },
                                                                  { 1, 12 } })))
    , host(*rc::gen::inRange<std::size_t>(0, aModel.hosts))
    , other(*rc::gen::inRange<std::size_t>(0, aModel.hosts))
    , amount(*rc::gen::inRange(1, 100))
  {
  }

  void run(const fuzz_model& /*aModel*/,
           simulated_cluster& aCluster) const override
  {
    switch (action) {
      case fuzz_action::eRun:
        aCluster.Run(milliseconds(amount * 10));
        break;
      case fuzz_action::ePropose:
        ProposeSome(aCluster);
        break;
      case fuzz_action::eCrash:
        aCluster.Crash(host);
        break;
      case fuzz_action::eStart:
        aCluster.Start(host);
        break;
      case fuzz_action::ePause:
        aCluster.Pause(host, milliseconds(amount * 20));
        break;
      case fuzz_action::eCut:
        aCluster.Cut(host, other);
        break;
      case fuzz_action::eIsolate:
        aCluster.Isolate(host);
        break;
      case fuzz_action::eHeal:
        aCluster.Heal();
        break;
      case fuzz_action::eDisturb:
        aCluster.lossRate = amount % 4 * 0.1;
        aCluster.repeatRate = amount % 3 * 0.2;
        break;
      case fuzz_action::eWipe:
        Wipe(aCluster);
        break;
      case fuzz_action::eReplace:
        Replace(aCluster);
        break;
      case fuzz_action::eHandOver:
        HandOverAt(aCluster);
        break;
      case fuzz_action::eFailSync:
        aCluster.hosts[host].disk->failsSync = true;
        break;
      case fuzz_action::eLastAction:
        break;
    }
  }

  void show(std::ostream& aStream) const override
  {
    aStream << NameOf(action) << " host " << host << " other " << other
            << " amount " << amount;
  }

  void ProposeSome(simulated_cluster& aCluster) const
  {
    for (int i = 0; i < amount % 12 + 1; ++i) {
      for (std::size_t each = 0; each < aCluster.hosts.size(); ++each) {
        aCluster.ProposeAt(each);
      }
      aCluster.Run(milliseconds(amount % 7));
    }
  }

  // Wipes a host only if no other wiped member remains to be replaced: wiping a
  // quorum loses committed entries in any log.
  void Wipe(simulated_cluster& aCluster) const
  {
    const auto leader = aCluster.Leader();
    if (!leader || *leader == host) {
      return;
    }
    const replica_tables& tables = *aCluster.hosts[*leader].tables;
    if (tables.membersIndex > tables.commit) {
      return;
    }
    for (const log_member& member : tables.members) {
      if (!IsHeldByAHost(aCluster, member.id)) {
        return;
      }
    }
    aCluster.Wipe(host);
    aCluster.Start(host);
  }

  // Replaces a wiped member, or else `host`, by a host that is not a member.
  void Replace(simulated_cluster& aCluster) const
  {
    const auto leader = aCluster.Leader();
    if (!leader) {
      return;
    }
    replica_tables& tables = *aCluster.hosts[*leader].tables;
    replica_id oldId = aCluster.hosts[host].Id();
    for (const log_member& member : tables.members) {
      if (!IsHeldByAHost(aCluster, member.id)) {
        oldId = member.id;
      }
    }
    for (const simulated_replica& candidate : aCluster.hosts) {
      if (!IsMember(tables, candidate.Id())) {
        last_reason reason;
        ReplaceMember(tables,
                      oldId,
                      { candidate.Id(), member_kind::eLearner, candidate.name },
                      reason);
        break;
      }
    }
    aCluster.Run(milliseconds(amount * 10));
  }

  void HandOverAt(simulated_cluster& aCluster) const
  {
    const auto leader = aCluster.Leader();
    if (!leader) {
      return;
    }
    last_reason reason;
    HandOver(
      *aCluster.hosts[*leader].tables, aCluster.ClockOf(*leader), reason);
    aCluster.RunHost(*leader);
  }
};

struct log_fuzz_fixture
{
  static void RunCase(std::size_t aMembers, std::size_t aSpares)
  {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    simulated_cluster cluster(aMembers, seed);
    for (std::size_t i = 0; i < aSpares; ++i) {
      cluster.AddHost();
    }
    const fuzz_model model{ cluster.hosts.size() };
    // Injects no faults before the first election: the log is lost if the
    // bootstrapping replica loses its disk before it has replicated.
    cluster.AwaitLeader();
    try {
      // Replaces rc::state::check, which recurses infinitely in C++20.
      const auto steps = *rc::state::gen::commands(
        [&] { return model; }, rc::state::gen::execOneOfWithArgs<fuzz_step>());
      rc::state::runAll(steps, model, cluster);
      cluster.EndFaultsAndCheck();
    } catch (const guarantee_violation& violation) {
      RC_FAIL(violation.what());
    }
    RC_CLASSIFY(cluster.oracle.LastCommitted() > 20, "over 20 entries");
    RC_CLASSIFY(cluster.oracle.AcknowledgedCount() > 5, "over 5 acknowledged");
    RC_CLASSIFY(cluster.deliveredChunks > 0, "with snapshots sent");
  }
};

TEST_CASE_METHOD(log_fuzz_fixture,
                 "Log_OfThreeReplicasUnderRandomFaults_KeepsItsGuarantees",
                 "[replication][fuzz]")
{
  rc::prop("one log, no entry lost, one leader for each term",
           [] { RunCase(3, 1); });
}

TEST_CASE_METHOD(log_fuzz_fixture,
                 "Log_OfFiveReplicasUnderRandomFaults_KeepsItsGuarantees",
                 "[replication][fuzz]")
{
  rc::prop("one log, no entry lost, one leader for each term",
           [] { RunCase(5, 2); });
}

} // namespace
} // namespace bulrush
