/// Discovery of control processes, and of who runs on which data folder.

#include "control/tables.hpp"
#include "observe/observe.hpp"

#include <algorithm>

namespace bulrush::control {
namespace {

constexpr log_component kLog{ "log" };

constexpr std::chrono::milliseconds kHelloInterval{ 200 };
constexpr std::chrono::milliseconds kToldLeaderMaxAge{ 2 * kHelloInterval };
/// A control process that was not seen for this long is gone. Regions may lose
/// each other for an hour, and hosts that report beyond the cut have to count.
constexpr std::chrono::hours kPeerLifetime{ 2 };

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
    if (IsListed(aTables, control)) {
      hello.controls.push_back({ control.name, control.address });
    }
  }
  return hello;
}

void
AddPeers(control_tables& aTables,
         const wire::replica_hello& aHello,
         steady_time aNow,
         control_outbox& aOutbox)
{
  for (const wire::control_address& other : aHello.controls) {
    if (other.name != aTables.self.name) {
      AddPeer(aTables, other.name, other.address, aNow, aOutbox);
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
        steady_time aNow,
        control_outbox& aOutbox)
{
  const auto id = IdOf<replica_id>(aName);
  if (aTables.controls.Find(id) == nullptr) {
    control_row row;
    row.id = id;
    row.name = aName;
    row.address = aAddress;
    row.knownSince = aNow;
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

bool
IsVoter(const log_tables& aLog, replica_id aIdentity)
{
  return std::ranges::any_of(
    aLog.replica.members, [&](const log_member& aMember) {
      return aMember.id == aIdentity && aMember.kind == member_kind::eVoter;
    });
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
    AddPeer(aTables, name, aHello.address, aNow, aOutbox);
    AddPeers(aTables, aHello, aNow, aOutbox);
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
ConnectMembers(control_tables& aTables,
               steady_time aNow,
               control_outbox& aOutbox)
{
  for (const log_member& member : aTables.replicated->replica.members) {
    const bool isSelf = member.name == aTables.self.name;
    if (!isSelf &&
        aTables.controls.Find(IdOf<replica_id>(member.name)) == nullptr) {
      AddPeer(aTables, member.name, member.name, aNow, aOutbox);
    }
  }
}

// A process that was not seen here is not passed on: after it is gone, each
// would learn it from the others again and again.
bool
IsListed(const control_tables& aTables, const control_row& aControl)
{
  const bool isFound =
    aTables.replicated && aTables.replicated->hasDynamicMembers;
  return !isFound || aControl.lastSeen != steady_time{};
}

// A process that is cut off keeps its rows, without which it would find nobody.
void
DropLostPeers(control_tables& aTables,
              steady_time aNow,
              control_outbox& aOutbox)
{
  log_tables& log = *aTables.replicated;
  if (aTables.log.leaderName().empty()) {
    return;
  }
  aTables.controls.EraseIf([&](const control_row& aRow) {
    const known_replica* known = log.known.Find(aRow.id);
    const bool isNeeded =
      (known != nullptr && known->isConfigured) ||
      std::ranges::find(log.replica.members, aRow.name, &log_member::name) !=
        log.replica.members.end();
    const steady_time lastSeen = std::max(aRow.lastSeen, aRow.knownSince);
    if (isNeeded || aNow < lastSeen + kPeerLifetime) {
      return false;
    }
    LogEvent(
      kLog, log_level::eInfo, "control_dropped", { { "control", aRow.name } });
    log.known.Erase(aRow.id);
    aOutbox.lostLinks.push_back(aRow.name);
    return true;
  });
}

} // namespace bulrush::control
