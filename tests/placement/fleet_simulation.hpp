#ifndef BULRUSH_TESTS_PLACEMENT_FLEET_SIMULATION_HPP
#define BULRUSH_TESTS_PLACEMENT_FLEET_SIMULATION_HPP

/// A simulated fleet: engines that count their memory, a network that loses and
/// delays messages, a log, and control replicas. Checks the invariants of the
/// placement tests from messages alone, independently of the library's tables.

#include "placement/placement.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <variant>

namespace bulrush::placement {

inline constexpr std::uint64_t kGigabyte = std::uint64_t{ 1 } << 30U;

/// One engine. Executes every order that arrives, except old ones if it checks
/// fencing.
struct simulated_engine
{
  endpoint_id id;
  domain_id domain;
  std::uint64_t memoryBytes = 0;
  bool checksFencing = false;
  std::uint64_t incarnation = 1;
  std::uint64_t sequence = 0;
  std::uint64_t newestFencingNumber = 0;
  order_id lastOrder;
  order_state lastOutcome = order_state::eVoid;
  std::map<artifact, std::uint64_t> residents;
  std::uint64_t peakBytes = 0;
  std::uint64_t loads = 0;
  std::uint64_t unloads = 0;

  std::uint64_t UsedBytes() const
  {
    std::uint64_t sum = 0;
    for (const auto& [what, bytes] : residents) {
      sum += bytes;
    }
    return sum;
  }

  bool HoldsModel(model_id aModel) const
  {
    return std::ranges::any_of(residents, [&](const auto& aResident) {
      return aResident.first.model == aModel && !aResident.first.adapter;
    });
  }

  void Restart()
  {
    ++incarnation;
    sequence = 0;
    newestFencingNumber = 0;
    lastOrder = {};
    lastOutcome = order_state::eVoid;
    residents.clear();
  }

  void Apply(const order_row& aOrder)
  {
    if (checksFencing && (aOrder.incarnation != incarnation ||
                          aOrder.fencingNumber < newestFencingNumber)) {
      return;
    }
    newestFencingNumber = std::max(newestFencingNumber, aOrder.fencingNumber);
    lastOrder = aOrder.id;
    lastOutcome = order_state::eDone;
    switch (aOrder.kind) {
      case order_kind::eLoadModel:
      case order_kind::eLoadAdapter:
        loads += residents.contains(aOrder.target) ? 0 : 1;
        residents[aOrder.target] = aOrder.bytes;
        break;
      case order_kind::eUnloadModel:
        ++unloads;
        std::erase_if(residents, [&](const auto& aResident) {
          return aResident.first == aOrder.target ||
                 (aResident.first.adapter &&
                  aResident.first.model == aOrder.target.model);
        });
        break;
      case order_kind::eUnloadAdapter:
        ++unloads;
        residents.erase(aOrder.target);
        break;
      case order_kind::eSetRole:
        break;
    }
    peakBytes = std::max(peakBytes, UsedBytes());
  }

  report Report()
  {
    report result;
    result.endpoint = id;
    result.incarnation = incarnation;
    result.sequence = ++sequence;
    result.lastOrder = lastOrder;
    result.lastOutcome = lastOutcome;
    result.memoryUsed = UsedBytes();
    for (const auto& [what, bytes] : residents) {
      result.residents.push_back({ what, bytes, resident_state::eReady });
    }
    return result;
  }
};

/// A copy of an order in flight, with the replica that sent it.
struct copy_in_flight
{
  order_row order;
  std::size_t sender = 0;
};

/// An answer in flight to the replica that sent the order.
struct answer_in_flight
{
  order_id order;
  std::uint64_t incarnation = 0;
  std::uint64_t visibleFrom = 0; ///< report sequence that includes its effects
  std::size_t receiver = 0;
};

using log_command = std::variant<commit_order, settle_order, close_order>;

struct proposal
{
  log_command command;
  std::size_t proposer = 0;
};

class fleet_simulation
{
public:
  static constexpr std::size_t kReplicas = 3;
  static constexpr std::chrono::milliseconds kLease{ 3000 };

  steady_time now{ std::chrono::hours{ 1 } };
  std::vector<simulated_engine> engines;
  std::vector<tables> replicas{ kReplicas };
  std::size_t leader = 0;
  std::uint32_t term = 0;

  std::vector<proposal> proposals;
  std::vector<log_command> log;
  std::vector<std::size_t> applied = std::vector<std::size_t>(kReplicas, 0);

  std::vector<copy_in_flight> copies;
  std::vector<answer_in_flight> answers;
  std::vector<report> reports;

  std::vector<model_row> models;
  std::vector<adapter_row> adapters;
  std::set<domain_id> takenOut;

  /// Models that may lose their last copy: an engine restarted, they were
  /// withdrawn or their domain was taken out.
  std::set<model_id> exemptFromLossCheck;
  std::vector<std::string> violations;
  std::vector<steady_time> loadSends;

  void AddEngine(std::uint64_t aId,
                 std::uint64_t aDomain,
                 std::uint64_t aMemory,
                 bool aChecksFencing)
  {
    simulated_engine engine;
    engine.id = endpoint_id{ aId };
    engine.domain = domain_id{ aDomain };
    engine.memoryBytes = aMemory;
    engine.checksFencing = aChecksFencing;
    engines.push_back(engine);
    Announce(engines.back());
  }

  void Announce(const simulated_engine& aEngine)
  {
    for (tables& replica : replicas) {
      OnAnnounced(replica,
                  { aEngine.id,
                    aEngine.domain,
                    aEngine.incarnation,
                    aEngine.memoryBytes,
                    aEngine.checksFencing },
                  now);
    }
  }

  void ApplyManifest()
  {
    for (tables& replica : replicas) {
      OnManifest(replica, models, adapters);
    }
  }

  void TakeOut(domain_id aDomain, bool aIsTakenOut)
  {
    if (aIsTakenOut) {
      takenOut.insert(aDomain);
    } else {
      takenOut.erase(aDomain);
    }
    for (tables& replica : replicas) {
      OnDomainTakenOut(replica, aDomain, aIsTakenOut);
    }
  }

  /// Elects replica aTo. The previous leader steps down only when its lease
  /// ends; its proposals are lost.
  void ChangeLeader(std::size_t aTo)
  {
    const bool isFirst = term == 0;
    leader = aTo % kReplicas;
    ++term;
    proposals.clear();
    CatchUp(leader);
    const steady_time earliestSend = isFirst ? now : now + kLease;
    OnElected(replicas[leader], term, now, earliestSend, now + kLease);
    for (std::size_t i = 0; i < kReplicas; ++i) {
      if (i != leader && replicas[i].leader.isLeader) {
        replicas[i].leader.leaseUntil =
          std::min(replicas[i].leader.leaseUntil, earliestSend);
      }
    }
  }

  void CatchUp(std::size_t aReplica)
  {
    for (; applied[aReplica] < log.size(); ++applied[aReplica]) {
      tables& replica = replicas[aReplica];
      std::visit([&](const auto& aCommand) { Commit(replica, aCommand); },
                 log[applied[aReplica]]);
    }
  }

  /// Commits the oldest proposal if its proposer still leads. Only the leader
  /// applies it now; the other replicas do when they are elected.
  void CommitOne()
  {
    if (proposals.empty()) {
      return;
    }
    const proposal first = proposals.front();
    proposals.erase(proposals.begin());
    if (first.proposer == leader) {
      log.push_back(first.command);
      CatchUp(leader);
    }
  }

  void LoseProposal()
  {
    if (!proposals.empty()) {
      proposals.erase(proposals.begin());
    }
  }

  /// Renews the leader's lease, deposes leaders whose lease ended, and runs the
  /// tick of every replica.
  void Tick()
  {
    OnLeaseRenewed(replicas[leader], now + kLease);
    for (std::size_t i = 0; i < kReplicas; ++i) {
      if (replicas[i].leader.isLeader && now >= replicas[i].leader.leaseUntil) {
        OnDeposed(replicas[i]);
      }
      TickReplica(i);
    }
  }

  void DeliverCopy(std::size_t aIndex)
  {
    if (copies.empty()) {
      return;
    }
    const auto position =
      copies.begin() + static_cast<std::ptrdiff_t>(aIndex % copies.size());
    const copy_in_flight copy = *position;
    copies.erase(position);
    for (simulated_engine& engine : engines) {
      if (engine.id == copy.order.endpoint) {
        ApplyCopy(engine, copy);
      }
    }
  }

  void DeliverAnswer(std::size_t aIndex)
  {
    if (answers.empty()) {
      return;
    }
    const auto position =
      answers.begin() + static_cast<std::ptrdiff_t>(aIndex % answers.size());
    const answer_in_flight answer = *position;
    answers.erase(position);
    OnOrderAnswered(replicas[answer.receiver],
                    answer.order,
                    answer.incarnation,
                    answer.visibleFrom);
  }

  void DeliverReport(std::size_t aIndex)
  {
    if (reports.empty()) {
      return;
    }
    const auto position =
      reports.begin() + static_cast<std::ptrdiff_t>(aIndex % reports.size());
    const report taken = *position;
    reports.erase(position);
    for (tables& replica : replicas) {
      OnReport(replica, taken, now);
    }
  }

  void RestartEngine(std::size_t aIndex)
  {
    simulated_engine& engine = engines[aIndex % engines.size()];
    for (const auto& [what, bytes] : engine.residents) {
      exemptFromLossCheck.insert(what.model);
    }
    engine.Restart();
    Announce(engine);
  }

  void Advance(std::chrono::milliseconds aBy)
  {
    now += aBy;
    Tick();
  }

  /// Runs aSteps of 500 ms in which every engine reports and every message is
  /// delivered at once.
  void RunWithoutFaults(std::size_t aSteps)
  {
    for (std::size_t step = 0; step < aSteps; ++step) {
      for (simulated_engine& engine : engines) {
        reports.push_back(engine.Report());
      }
      DeliverAll();
      Advance(std::chrono::milliseconds{ 250 });
      DeliverAll();
      Advance(std::chrono::milliseconds{ 250 });
    }
  }

  void DeliverAll()
  {
    while (!copies.empty()) {
      DeliverCopy(0);
    }
    while (!answers.empty()) {
      DeliverAnswer(0);
    }
    while (!reports.empty()) {
      DeliverReport(0);
    }
    while (!proposals.empty()) {
      CommitOne();
    }
  }

  /// Engines, in domains not taken out, that hold the model in this version.
  std::size_t CopiesOf(const model_row& aModel,
                       std::optional<domain_id> aDomain = std::nullopt) const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(engines, [&](const simulated_engine& aEngine) {
        return (!aDomain || aEngine.domain == *aDomain) &&
               !takenOut.contains(aEngine.domain) &&
               aEngine.residents.contains({ aModel.id, {}, aModel.version });
      }));
  }

  std::size_t CopiesOf(const adapter_row& aAdapter) const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(engines, [&](const simulated_engine& aEngine) {
        return !takenOut.contains(aEngine.domain) &&
               aEngine.residents.contains(
                 { aAdapter.model, aAdapter.id, aAdapter.version }) &&
               aEngine.HoldsModel(aAdapter.model);
      }));
  }

  std::uint64_t LoadsAndUnloads() const
  {
    std::uint64_t loadsAndUnloads = 0;
    for (const simulated_engine& engine : engines) {
      loadsAndUnloads += engine.loads + engine.unloads;
    }
    return loadsAndUnloads;
  }

private:
  static void Commit(tables& aReplica, const commit_order& aCommand)
  {
    OnOrderCommitted(aReplica, aCommand);
  }
  static void Commit(tables& aReplica, const settle_order& aCommand)
  {
    OnOrderSettled(aReplica, aCommand);
  }
  static void Commit(tables& aReplica, const close_order& aCommand)
  {
    OnOrderClosed(aReplica, aCommand);
  }

  void TickReplica(std::size_t aReplica)
  {
    outbox out;
    RunPlacement(replicas[aReplica], now, out);
    for (const commit_order& command : out.commits) {
      proposals.push_back({ command, aReplica });
    }
    for (const settle_order& command : out.settlements) {
      proposals.push_back({ command, aReplica });
    }
    for (const close_order& command : out.closures) {
      proposals.push_back({ command, aReplica });
    }
    for (const send_order& send : out.sends) {
      copies.push_back({ send.order, aReplica });
      CheckLoadRate(send.order);
    }
  }

  void CheckLoadRate(const order_row& aOrder)
  {
    if (aOrder.kind != order_kind::eLoadModel) {
      return;
    }
    if (!loadSends.empty() &&
        now - loadSends.back() < std::chrono::milliseconds{ 500 }) {
      violations.push_back("two loads were sent within 500 ms");
    }
    loadSends.push_back(now);
  }

  void ApplyCopy(simulated_engine& aEngine, const copy_in_flight& aCopy)
  {
    const std::set<model_id> before = Reachable();
    aEngine.Apply(aCopy.order);
    if (aEngine.UsedBytes() > aEngine.memoryBytes) {
      violations.push_back("engine " + std::to_string(aEngine.id.value) +
                           " holds more than its memory");
    }
    const std::set<model_id> after = Reachable();
    for (const model_id model : before) {
      if (!after.contains(model) && !exemptFromLossCheck.contains(model)) {
        violations.push_back("model " + std::to_string(model.value) +
                             " lost its last copy to an order");
      }
    }
    answers.push_back({ aCopy.order.id,
                        aEngine.incarnation,
                        aEngine.sequence + 1,
                        aCopy.sender });
  }

  /// Declared models with a copy on an engine in a domain not taken out.
  std::set<model_id> Reachable() const
  {
    std::set<model_id> reachable;
    for (const model_row& model : models) {
      if (std::ranges::any_of(engines, [&](const simulated_engine& aEngine) {
            return aEngine.HoldsModel(model.id) &&
                   !takenOut.contains(aEngine.domain);
          })) {
        reachable.insert(model.id);
      }
    }
    return reachable;
  }
};

} // namespace bulrush::placement

#endif
