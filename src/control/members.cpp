/// Which control processes are members of the log: meeting those that are new,
/// and putting those that wait to join in the place of lost ones.

#include "control/tables.hpp"
#include "observe/observe.hpp"

#include <algorithm>

namespace bulrush::control {
namespace {

constexpr log_part kLog{ "log" };

/// A member that says nothing for so long gives way to a process that waits to
/// join: several heartbeats and reconnects of its link.
constexpr std::chrono::milliseconds kMemberSilence{ 1'500 };

bool
IsSilent(const control_tables& aTables,
         const log_member& aMember,
         steady_time aNow)
{
  const control_row* control =
    aTables.controls.Find(IdOf<replica_id>(aMember.name));
  return control == nullptr || control->lastHeard + kMemberSilence <= aNow;
}

// The member whose place aNewcomer takes: the one of its name, whose folder is
// lost, else one that has fallen silent.
const log_member*
FindPlace(const control_tables& aTables,
          const known_replica& aNewcomer,
          steady_time aNow)
{
  const log_member* silent = nullptr;
  for (const log_member& member : aTables.replicated->replica.members) {
    if (member.name == aNewcomer.name) {
      return &member;
    }
    if (member.name != aTables.self.name && IsSilent(aTables, member, aNow)) {
      silent = &member;
    }
  }
  return silent;
}

} // namespace

// Links to a control process that was not known before.
known_replica&
Meet(control_tables& aTables,
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

// Members that the log names are linked to, wherever the settings point.
void
LinkMembers(control_tables& aTables, control_outbox& aOutbox)
{
  for (const log_member& member : aTables.replicated->replica.members) {
    const bool isSelf = member.name == aTables.self.name;
    if (!isSelf &&
        aTables.controls.Find(IdOf<replica_id>(member.name)) == nullptr) {
      Meet(aTables, member.name, member.name, aOutbox);
    }
  }
}

// The leader puts processes that wait to join in the place of lost members,
// one at a time. So the number of voters stays as it was founded.
void
RepairMembers(control_tables& aTables, steady_time aNow)
{
  log_tables& log = *aTables.replicated;
  const replica_tables& replica = log.replica;
  const bool isBusy =
    replica.replacement || replica.membersIndex > replica.commit;
  if (isBusy || !IsLeaseHeld(replica, aNow)) {
    return;
  }
  for (const known_replica& known : log.known) {
    const bool waits = known.identity && !IsMember(log, known.identity) &&
                       aNow < known.heardAt + kHelloFresh;
    const log_member* old = waits ? FindPlace(aTables, known, aNow) : nullptr;
    if (old == nullptr) {
      continue;
    }
    last_reason reason;
    const log_member newcomer{ known.identity,
                               member_kind::eLearner,
                               known.name };
    if (ReplaceMember(log.replica, old->id, newcomer, reason)) {
      LogInfo(kLog, "{} takes the place of {}", known.name, old->name);
    } else {
      LogWarning(kLog, "{} cannot join: {}", known.name, Describe(reason));
    }
    return;
  }
}

} // namespace bulrush::control
