/// Membership of the log: discovery of control processes, and replacement of
/// lost members by processes that wait to join.

#include "control/tables.hpp"
#include "observe/observe.hpp"

#include <algorithm>

namespace bulrush::control {
namespace {

constexpr log_component kLog{ "log" };

constexpr std::chrono::milliseconds kHelloInterval{ 200 };
constexpr std::chrono::milliseconds kToldLeaderMaxAge{ 2 * kHelloInterval };

/// A member that was not seen for this long may be replaced by a process that
/// waits to join. Allows for several heartbeats and reconnects of its link.
constexpr std::chrono::milliseconds kMemberTimeout{ 1'500 };

/// Up to so many control processes vote. With nearly all of them as voters,
/// more than half of them can go on, and a change is kept when fewer disks are
/// lost; each vote more makes a commit wait for more disks.
constexpr std::size_t kMaxVoters = 9;

bool
IsSilent(const control_tables& aTables,
         const log_member& aMember,
         steady_time aNow)
{
  const control_row* control =
    aTables.controls.Find(IdOf<replica_id>(aMember.name));
  return control == nullptr || control->lastSeen + kMemberTimeout <= aNow;
}

// The member that aCandidate replaces: the one of the same name, whose data
// folder was lost, else one that is silent.
const log_member*
FindReplaceable(const control_tables& aTables,
                const known_replica& aCandidate,
                steady_time aNow)
{
  const log_member* silent = nullptr;
  for (const log_member& member : aTables.replicated->replica.members) {
    if (member.name == aCandidate.name) {
      return &member;
    }
    if (member.name != aTables.self.name && IsSilent(aTables, member, aNow)) {
      silent = &member;
    }
  }
  return silent;
}

bool
IsWaiting(const log_tables& aLog, const known_replica& aKnown, steady_time aNow)
{
  return aKnown.identity && !IsMember(aLog, aKnown.identity) &&
         aNow < aKnown.lastSeen + kHelloMaxAge;
}

// A replacement ends with its leader, also after its learner was added. The
// next leader goes on with it while a member is silent or the voters are even
// in number. Otherwise the learner leaves and waits to join like any other
// process.
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
  const bool isSettled =
    silent != members.end() || isEven
      ? ReplaceMember(replica,
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

// Voters are added in pairs: with an odd number of them, one part of any split
// in two has a quorum.
bool
HasRoomForVoter(const log_tables& aLog, steady_time aNow)
{
  const std::size_t members = aLog.replica.members.size();
  const auto waiting = std::count_if(
    aLog.known.begin(), aLog.known.end(), [&](const known_replica& aKnown) {
      return IsWaiting(aLog, aKnown, aNow);
    });
  const bool isEven = members % 2 == 0;
  return members < kMaxVoters && (isEven || waiting >= 2);
}

wire::replica_hello
HelloOf(const control_tables& aTables)
{
  const log_tables& log = *aTables.replicated;
  wire::replica_hello hello;
  hello.log = log.replica.settings.log;
  hello.identity = log.replica.self;
  hello.isEmpty = IsEmpty(log.replica) && log.replica.vote.term == 0;
  hello.nonce = aTables.self.incarnation;
  hello.address = aTables.self.linkAddress;
  for (const control_row& control : aTables.controls) {
    hello.controls.push_back({ control.name, control.address });
  }
  return hello;
}

void
AddPeers(control_tables& aTables,
         const wire::replica_hello& aHello,
         control_outbox& aOutbox)
{
  for (const wire::control_address& other : aHello.controls) {
    if (other.name != aTables.self.name) {
      AddPeer(aTables, other.name, other.address, aOutbox);
    }
  }
}

} // namespace

// Empty for no identity, which processes without a hello have as well.
std::string
NameOf(const log_tables& aLog, replica_id aIdentity)
{
  if (!aIdentity) {
    return "";
  }
  for (const log_member& member : aLog.replica.members) {
    if (member.id == aIdentity) {
      return member.name;
    }
  }
  for (const known_replica& known : aLog.known) {
    if (known.identity == aIdentity) {
      return known.name;
    }
  }
  return "";
}

known_replica&
AddPeer(control_tables& aTables,
        const std::string& aName,
        const std::string& aAddress,
        control_outbox& aOutbox)
{
  const auto id = IdOf<replica_id>(aName);
  if (aTables.controls.Find(id) == nullptr) {
    control_row row;
    row.id = id;
    row.name = aName;
    row.address = aAddress;
    aTables.controls.Insert(std::move(row));
    aOutbox.links.push_back({ aName, aAddress });
  }
  log_tables& log = *aTables.replicated;
  known_replica* known = log.known.Find(id);
  if (known == nullptr) {
    known_replica row;
    row.id = id;
    row.name = aName;
    known = &log.known.Insert(std::move(row));
  }
  return *known;
}

bool
IsMember(const log_tables& aLog, replica_id aIdentity)
{
  return std::any_of(
    aLog.replica.members.begin(),
    aLog.replica.members.end(),
    [&](const log_member& aMember) { return aMember.id == aIdentity; });
}

// Records which process runs on which data folder. For bootstrap only an answer
// to a hello of this incarnation counts, as delayed ones may be outdated.
void
HandleHello(control_tables& aTables,
            const received_message& aInput,
            const wire::replica_hello& aHello,
            steady_time aNow,
            control_outbox& aOutbox)
{
  log_tables& log = *aTables.replicated;
  const std::string& name = aInput.message.sender;
  if (aHello.log != log.replica.settings.log || name == aTables.self.name) {
    return;
  }
  if (log.hasDynamicMembers) {
    AddPeer(aTables, name, aHello.address, aOutbox);
    AddPeers(aTables, aHello, aOutbox);
  }
  known_replica* known = log.known.Find(IdOf<replica_id>(name));
  if (known == nullptr) {
    return; // not configured as a peer
  }
  known->identity = aHello.identity;
  known->isEmpty = aHello.isEmpty;
  known->lastSeen = aNow;
  if (aHello.isAnswer) {
    known->hasAnsweredHello = aHello.nonce == aTables.self.incarnation;
    if (!aHello.leader.empty()) {
      log.toldLeader = aHello.leader;
      log.toldLeaderAt = aNow;
    }
    return;
  }
  wire::replica_hello answer = HelloOf(aTables);
  answer.isAnswer = true;
  answer.nonce = aHello.nonce;
  if (!IsMember(log, aHello.identity)) {
    answer.leader = NameOf(log, log.replica.leader);
  }
  aOutbox.messages.push_back({ "", name, std::move(answer) });
}

// A member that was removed while it was cut off is still listed in its own
// log. It has no leader, and asks to join like a new process.
void
SendHellos(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  log_tables& log = *aTables.replicated;
  if (IsMember(log, log.replica.self) && log.replica.leader) {
    log.toldLeader.clear();
    return;
  }
  if (aNow >= log.toldLeaderAt + kToldLeaderMaxAge) {
    log.toldLeader.clear();
  }
  if (aNow >= log.nextHello) {
    log.nextHello = aNow + kHelloInterval;
    for (const known_replica& known : log.known) {
      aOutbox.messages.push_back({ "", known.name, HelloOf(aTables) });
    }
  }
  aOutbox.wake.NoLaterThan(log.nextHello);
}

// Connects to every member recorded in the log, also to those that the settings
// do not list.
void
ConnectMembers(control_tables& aTables, control_outbox& aOutbox)
{
  for (const log_member& member : aTables.replicated->replica.members) {
    const bool isSelf = member.name == aTables.self.name;
    if (!isSelf &&
        aTables.controls.Find(IdOf<replica_id>(member.name)) == nullptr) {
      AddPeer(aTables, member.name, member.name, aOutbox);
    }
  }
}

// The leader replaces lost members by processes that wait to join, one at a
// time, and adds others as voters.
void
ReplaceLostMembers(control_tables& aTables, steady_time aNow)
{
  log_tables& log = *aTables.replicated;
  const replica_tables& replica = log.replica;
  const bool isBusy =
    replica.replacement || replica.membersIndex > replica.commit;
  if (isBusy || !IsLeaseHeld(replica, aNow)) {
    return;
  }
  if (SettleLearner(aTables, aNow)) {
    return;
  }
  for (const known_replica& known : log.known) {
    const bool isWaiting = IsWaiting(log, known, aNow);
    const log_member* old =
      isWaiting ? FindReplaceable(aTables, known, aNow) : nullptr;
    const bool isAdded =
      isWaiting && old == nullptr && HasRoomForVoter(log, aNow);
    if (old == nullptr && !isAdded) {
      continue;
    }
    last_reason reason;
    const log_member candidate{ known.identity,
                                member_kind::eLearner,
                                known.name };
    // A replacement of no member only adds the new one.
    const replica_id oldId = isAdded ? replica_id{} : old->id;
    if (!ReplaceMember(log.replica, oldId, candidate, reason)) {
      LogWarning(
        kLog, "{} cannot join the log: {}", known.name, Describe(reason));
    } else if (isAdded) {
      LogInfo(kLog, "{} joins the log", known.name);
    } else {
      LogInfo(kLog, "{} takes the place of {}", known.name, old->name);
    }
    return;
  }
}

} // namespace bulrush::control
