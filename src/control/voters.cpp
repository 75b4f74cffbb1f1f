/// Which control processes vote on the log. The leader replaces lost members by
/// processes that wait to join, and adds others, so that the log outlives the
/// loss of a failure domain and of any number of expendable machines.

#include "control/tables.hpp"
#include "observe/observe.hpp"

#include <algorithm>
#include <map>

namespace bulrush::control {
namespace {

constexpr log_component kLog{ "log" };

/// A member that was not seen for this long may be replaced by a process that
/// waits to join. Allows for several heartbeats and reconnects of its link.
constexpr std::chrono::milliseconds kMemberTimeout{ 1'500 };

/// Up to so many control processes vote. With nearly all of them as voters,
/// more than half of them can go on, and a change is kept when fewer disks are
/// lost; each vote more makes a commit wait for more disks.
constexpr std::size_t kMaxVoters = 9;

using domain_counts = std::map<std::string, std::size_t>;

bool
IsSilent(const control_tables& aTables,
         const log_member& aMember,
         steady_time aNow)
{
  const control_row* control =
    aTables.controls.Find(IdOf<replica_id>(aMember.name));
  return control == nullptr || control->lastSeen + kMemberTimeout <= aNow;
}

/// A failure domain and expendability, as the process itself states them.
struct voter_traits
{
  std::string domain;
  bool isExpendable = false;
};

// nullopt before the first gossip of the process.
std::optional<voter_traits>
TraitsOf(const control_tables& aTables, const std::string& aName)
{
  if (aName == aTables.self.name) {
    return voter_traits{ aTables.self.domain, aTables.self.isExpendable };
  }
  const control_row* control = aTables.controls.Find(IdOf<replica_id>(aName));
  return control == nullptr || control->incarnation == 0
           ? std::nullopt
           : std::optional(
               voter_traits{ control->domain, control->isExpendable });
}

bool
IsWaiting(const control_tables& aTables,
          const known_replica& aKnown,
          steady_time aNow)
{
  const log_tables& aLog = *aTables.replicated;
  return TraitsOf(aTables, aKnown.name) && aKnown.identity &&
         !IsMember(aLog, aKnown.identity) &&
         aNow < aKnown.lastSeen + kHelloMaxAge;
}

// Without aLeaving. Learners count, as they are to vote.
domain_counts
CountMembers(const control_tables& aTables, const log_member* aLeaving)
{
  domain_counts counts;
  for (const log_member& member : aTables.replicated->replica.members) {
    const auto traits = TraitsOf(aTables, member.name);
    if (traits && &member != aLeaving) {
      ++counts[traits->domain];
    }
  }
  return counts;
}

// Whether the others are a quorum when all of one failure domain are lost.
bool
BearsLossOfADomain(const domain_counts& aCounts)
{
  std::size_t members = 0;
  for (const auto& [domain, count] : aCounts) {
    members += count;
  }
  return std::ranges::all_of(aCounts, [&](const auto& aDomain) {
    return members - aDomain.second >= members / 2 + 1;
  });
}

// A learner whose process is lost, or has lost its data folder, never catches
// up.
bool
IsGone(const control_tables& aTables,
       const log_member& aLearner,
       steady_time aNow)
{
  const known_replica* known =
    aTables.replicated->known.Find(IdOf<replica_id>(aLearner.name));
  const bool hasNewFolder =
    known != nullptr && known->identity && known->identity != aLearner.id;
  return hasNewFolder || IsSilent(aTables, aLearner, aNow);
}

// Nothing else changes the members meanwhile, so that a replacement which
// cannot end would keep all other processes out of the log.
void
CancelIfGone(control_tables& aTables, steady_time aNow)
{
  replica_tables& replica = aTables.replicated->replica;
  if (!replica.replacement) {
    return;
  }
  const log_member& joining = replica.replacement->newMember;
  if (!IsVoter(*aTables.replicated, joining.id) &&
      IsGone(aTables, joining, aNow)) {
    LogWarning(kLog, "{} is gone and does not join", joining.name);
    CancelReplacement(replica);
  }
}

// A replacement ends with its leader, also after its learner was added. The
// next leader goes on with it while a member is silent or the voters are even
// in number. Otherwise the learner leaves and waits to join like any other
// process, as does one that is gone.
bool
SettleLearner(control_tables& aTables, steady_time aNow)
{
  replica_tables& replica = aTables.replicated->replica;
  const membership& members = replica.members;
  const auto isLearner = [](const log_member& aMember) {
    return aMember.kind == member_kind::eLearner;
  };
  const auto found = std::ranges::find_if(members, isLearner);
  if (found == members.end()) {
    return false;
  }
  const log_member& learner = *found;
  const auto silent =
    std::ranges::find_if(members, [&](const log_member& aMember) {
      return aMember.id != learner.id && aMember.id != replica.self &&
             IsSilent(aTables, aMember, aNow);
    });
  const bool isEven =
    (members.size() - std::ranges::count_if(members, isLearner)) % 2 == 0;
  last_reason reason;
  const bool goesOn =
    (silent != members.end() || isEven) && !IsGone(aTables, learner, aNow);
  const bool isSettled =
    goesOn ? ReplaceMember(replica,
                           silent != members.end() ? silent->id : replica_id{},
                           learner,
                           reason)
               .has_value()
           : RemoveMember(replica, learner.id, aNow, reason).has_value();
  if (!isSettled) {
    LogWarning(kLog, "{} stays a learner: {}", learner.name, Describe(reason));
  }
  return true;
}

std::vector<const known_replica*>
WaitingProcesses(const control_tables& aTables, steady_time aNow)
{
  std::vector<const known_replica*> waiting;
  for (const known_replica& known : aTables.replicated->known) {
    if (IsWaiting(aTables, known, aNow)) {
      waiting.push_back(&known);
    }
  }
  return waiting;
}

// The best first: processes that are not expendable, of the failure domain with
// the fewest members.
void
SortByMerit(const control_tables& aTables,
            const domain_counts& aCounts,
            std::vector<const known_replica*>& aWaiting)
{
  const auto meritOf = [&](const known_replica* aKnown) {
    const voter_traits traits = *TraitsOf(aTables, aKnown->name);
    const auto found = aCounts.find(traits.domain);
    return std::pair(traits.isExpendable,
                     found == aCounts.end() ? 0 : found->second);
  };
  std::ranges::stable_sort(aWaiting, std::less<>(), meritOf);
}

/// A process that joins, and the member that leaves for it; none: it is added.
struct voter_change
{
  const known_replica* joining = nullptr;
  const log_member* leaving = nullptr;
};

// A process whose data folder was lost takes its former place.
std::optional<voter_change>
ChooseReturn(const control_tables& aTables,
             const std::vector<const known_replica*>& aWaiting)
{
  const membership& members = aTables.replicated->replica.members;
  for (const known_replica* known : aWaiting) {
    const auto same =
      std::ranges::find(members, known->name, &log_member::name);
    if (same != members.end()) {
      return voter_change{ known, &*same };
    }
  }
  return std::nullopt;
}

std::optional<voter_change>
ChooseReplacement(const control_tables& aTables,
                  std::vector<const known_replica*> aWaiting,
                  steady_time aNow)
{
  for (const log_member& member : aTables.replicated->replica.members) {
    if (member.name != aTables.self.name && IsSilent(aTables, member, aNow)) {
      SortByMerit(aTables, CountMembers(aTables, &member), aWaiting);
      return voter_change{ aWaiting.front(), &member };
    }
  }
  return std::nullopt;
}

// A member leaves for a better one if it is expendable, or if the loss of its
// failure domain would leave no quorum.
std::optional<voter_change>
ChooseMove(const control_tables& aTables,
           const std::vector<const known_replica*>& aWaiting,
           domain_counts aCounts)
{
  const bool bearsLoss = BearsLossOfADomain(aCounts);
  for (const known_replica* known : aWaiting) {
    const voter_traits joining = *TraitsOf(aTables, known->name);
    for (const log_member& member : aTables.replicated->replica.members) {
      const voter_traits leaving = *TraitsOf(aTables, member.name);
      const bool isWorse = joining.isExpendable && !leaving.isExpendable;
      const bool isSafer =
        (leaving.isExpendable && !joining.isExpendable) ||
        (!bearsLoss && aCounts[leaving.domain] > aCounts[joining.domain] + 1);
      if (member.name != aTables.self.name && isSafer && !isWorse) {
        return voter_change{ known, &member };
      }
    }
  }
  return std::nullopt;
}

// Voters are added in pairs: with an odd number of them, one part of any split
// in two has a quorum. A pair must not make a failure domain indispensable.
std::optional<voter_change>
ChooseAddition(const control_tables& aTables,
               std::vector<const known_replica*> aWaiting,
               const domain_counts& aCounts)
{
  const std::size_t members = aTables.replicated->replica.members.size();
  if (members >= kMaxVoters) {
    return std::nullopt;
  }
  const voter_change first{ aWaiting.front(), nullptr };
  if (members % 2 == 0) {
    return first;
  }
  domain_counts pair = aCounts;
  for (int i = 0; i < 2; ++i) {
    SortByMerit(aTables, pair, aWaiting);
    if (aWaiting.empty()) {
      return std::nullopt;
    }
    const voter_traits traits = *TraitsOf(aTables, aWaiting.front()->name);
    if (traits.isExpendable) {
      return std::nullopt;
    }
    ++pair[traits.domain];
    aWaiting.erase(aWaiting.begin());
  }
  return BearsLossOfADomain(pair) || !BearsLossOfADomain(aCounts)
           ? std::optional(first)
           : std::nullopt;
}

std::optional<voter_change>
ChooseChange(const control_tables& aTables, steady_time aNow)
{
  std::vector<const known_replica*> waiting = WaitingProcesses(aTables, aNow);
  if (waiting.empty()) {
    return std::nullopt;
  }
  if (const auto change = ChooseReturn(aTables, waiting)) {
    return change;
  }
  if (const auto change = ChooseReplacement(aTables, waiting, aNow)) {
    return change;
  }
  // A new leader learns of the members within a second.
  const bool knowsAll = std::ranges::all_of(
    aTables.replicated->replica.members, [&](const log_member& aMember) {
      return TraitsOf(aTables, aMember.name).has_value();
    });
  if (!knowsAll) {
    return std::nullopt;
  }
  const domain_counts counts = CountMembers(aTables, nullptr);
  SortByMerit(aTables, counts, waiting);
  const auto move = ChooseMove(aTables, waiting, counts);
  return move ? move : ChooseAddition(aTables, waiting, counts);
}

// A replacement ends with its leader, also between the vote of the new member
// and the removal of the lost one. No process waits then to take its place, and
// the next loss would stop the log. Of an even number of voters a lost one only
// adds to those that have to confirm an entry.
void
RemoveLostVoter(control_tables& aTables, steady_time aNow)
{
  replica_tables& replica = aTables.replicated->replica;
  const membership& members = replica.members;
  if (members.size() % 2 != 0) {
    return;
  }
  const auto lost =
    std::ranges::find_if(members, [&](const log_member& aMember) {
      return aMember.id != replica.self && IsSilent(aTables, aMember, aNow);
    });
  if (lost == members.end()) {
    return;
  }
  const std::string name = lost->name;
  last_reason reason;
  if (RemoveMember(replica, lost->id, aNow, reason)) {
    LogInfo(kLog, "{} is lost and leaves the log", name);
  } else {
    LogWarning(kLog, "{} stays in the log: {}", name, Describe(reason));
  }
}

} // namespace

// One change at a time.
void
RunVoters(control_tables& aTables, steady_time aNow)
{
  log_tables& log = *aTables.replicated;
  const replica_tables& replica = log.replica;
  if (replica.membersIndex > replica.commit || !IsLeaseHeld(replica, aNow)) {
    return;
  }
  CancelIfGone(aTables, aNow);
  if (replica.replacement || SettleLearner(aTables, aNow)) {
    return;
  }
  const auto change = ChooseChange(aTables, aNow);
  if (!change) {
    RemoveLostVoter(aTables, aNow);
    return;
  }
  const std::string joining = change->joining->name;
  const std::string leaving = change->leaving ? change->leaving->name : "";
  // A replacement of no member only adds the new one.
  const replica_id leavingId =
    change->leaving ? change->leaving->id : replica_id{};
  last_reason reason;
  if (!ReplaceMember(
        log.replica,
        leavingId,
        { change->joining->identity, member_kind::eLearner, joining },
        reason)) {
    LogWarning(kLog, "{} cannot join the log: {}", joining, Describe(reason));
  } else if (leaving.empty()) {
    LogInfo(kLog, "{} joins the log", joining);
  } else {
    LogInfo(kLog, "{} takes the place of {}", joining, leaving);
  }
}

} // namespace bulrush::control
