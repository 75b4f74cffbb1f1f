#include "control/tables.hpp"
#include "observe/observe.hpp"

namespace bulrush::control {
namespace {

constexpr log_component kLog{ "endpoints" };

void
LogEndpoint(const char* aEvent, const endpoint_row& aRow)
{
  LogEvent(kLog,
           log_level::eInfo,
           aEvent,
           { { "endpoint", aRow.name },
             { "address", aRow.address },
             { "incarnation", std::to_string(aRow.incarnation) },
             { "sequence", std::to_string(aRow.sequence) },
             { "leaving", aRow.isLeaving ? "yes" : "no" },
             { "cold", aRow.isCold ? "yes" : "no" },
             { "models", std::to_string(aRow.residents.size()) } });
}

// Load figures change with each report. Publishing each of these to every host
// would cost more than the target allows, so only other changes get a serial.
bool
IsSameExceptLoad(const endpoint_row& aLeft, const endpoint_row& aRight)
{
  return aLeft.incarnation == aRight.incarnation &&
         aLeft.address == aRight.address && aLeft.slots == aRight.slots &&
         aLeft.coldSlots == aRight.coldSlots && aLeft.isCold == aRight.isCold &&
         aLeft.isLeaving == aRight.isLeaving &&
         aLeft.residents == aRight.residents &&
         aLeft.services == aRight.services;
}

// A newer process at the same address replaces the older one, whose delayed
// messages are ignored.
bool
IsSupersededAtAddress(control_tables& aTables, const endpoint_row& aRow)
{
  std::vector<endpoint_id> older;
  for (const known_endpoint& known : aTables.endpoints) {
    if (known.id == aRow.id || known.row.address != aRow.address) {
      continue;
    }
    if (known.row.incarnation > aRow.incarnation) {
      return true;
    }
    older.push_back(known.id);
  }
  for (const endpoint_id id : older) {
    RemoveEndpoint(aTables, id, true);
  }
  return false;
}

// Delayed reports must not restore an endpoint.
bool
MayReturn(const control_tables& aTables, const endpoint_row& aRow)
{
  const removed_row* known = aTables.removedEndpoints.Find(aRow.id);
  return known == nullptr || IsAfter(aRow, known->removed);
}

// Another control process took a delayed report for a new one. It may have been
// started since the endpoint left.
void
CorrectSender(control_tables& aTables, const endpoint_row& aOutdated)
{
  const known_endpoint* known = aTables.endpoints.Find(aOutdated.id);
  const bool isWrong = known == nullptr
                         ? HasLeft(aTables, aOutdated.id)
                         : IsNewer(known->row, aOutdated) &&
                             known->row.isLeaving && !aOutdated.isLeaving;
  if (isWrong) {
    LogEvent(kLog,
             log_level::eInfo,
             "outdated_endpoint_corrected",
             { { "endpoint", aOutdated.name },
               { "incarnation", std::to_string(aOutdated.incarnation) },
               { "sequence", std::to_string(aOutdated.sequence) } });
    aTables.corrections.insert(aOutdated.id);
  }
}

void
Remove(control_tables& aTables,
       const known_endpoint& aKnown,
       removed_endpoint aRemoved,
       bool aIsOwn)
{
  LogEndpoint(aRemoved.hasLeft ? "endpoint_left" : "endpoint_silent",
              aKnown.row);
  const endpoint_id id = aKnown.id;
  aTables.removedEndpoints.Insert({ id, ++aTables.serial, aIsOwn, aRemoved });
  aTables.endpoints.Erase(id);
}

} // namespace

void
UpdateEndpoint(control_tables& aTables, const endpoint_row& aRow, bool aIsOwn)
{
  last_reason reason;
  if (!IsInRange(aRow, reason)) {
    LogWarning(kLog, "Ignored an endpoint: {}", Describe(reason));
    return;
  }
  known_endpoint* known = aTables.endpoints.Find(aRow.id);
  if (known == nullptr) {
    if (!MayReturn(aTables, aRow)) {
      if (!aIsOwn) {
        CorrectSender(aTables, aRow);
      }
      return;
    }
    if (IsSupersededAtAddress(aTables, aRow)) {
      return;
    }
    aTables.removedEndpoints.Erase(aRow.id);
    LogEndpoint("endpoint_joined", aRow);
    aTables.endpoints.Insert({ aRow.id, aRow, ++aTables.serial, aIsOwn });
    return;
  }
  if (!IsNewer(aRow, known->row)) {
    if (!aIsOwn) {
      CorrectSender(aTables, aRow);
    }
    return;
  }
  if (aIsOwn) {
    quarantine::RecordCheckIn(
      aTables.quarantined, aRow.id, aRow.incarnation, aRow.lastSeen);
  }
  const bool isSame = IsSameExceptLoad(aRow, known->row);
  known->row = aRow;
  known->isOwn = aIsOwn;
  if (!isSame) {
    LogEndpoint("endpoint_changed", aRow);
    known->serial = ++aTables.serial;
  }
}

// The process that handles a removal publishes it, whichever process the
// endpoint reported to before.
void
RemoveEndpoint(control_tables& aTables, endpoint_id aEndpoint, bool aHasLeft)
{
  const known_endpoint* known = aTables.endpoints.Find(aEndpoint);
  if (known != nullptr) {
    const endpoint_row& row = known->row;
    Remove(aTables,
           *known,
           { aEndpoint, row.incarnation, row.sequence, aHasLeft },
           true);
    return;
  }
  removed_row* silent = aTables.removedEndpoints.Find(aEndpoint);
  if (silent != nullptr && aHasLeft && !silent->removed.hasLeft) {
    silent->removed.hasLeft = true;
    silent->isOwn = true;
    silent->serial = ++aTables.serial;
  }
}

// Without the newest report of the endpoint, the one that is known here is
// taken for it.
void
HandleRemoval(control_tables& aTables, const removed_endpoint& aRemoved)
{
  if (aRemoved.incarnation > kMaxIncarnation ||
      aRemoved.sequence > kMaxSequence) {
    LogWarning(kLog, "Ignored a removed endpoint: number out of range");
    return;
  }
  const known_endpoint* known = aTables.endpoints.Find(aRemoved.id);
  if (known == nullptr) {
    const removed_row* before = aTables.removedEndpoints.Find(aRemoved.id);
    const bool isNewer = before == nullptr ||
                         aRemoved.incarnation > before->removed.incarnation ||
                         (aRemoved.incarnation == before->removed.incarnation &&
                          aRemoved.hasLeft && !before->removed.hasLeft);
    if (isNewer) {
      aTables.removedEndpoints.Insert(
        { aRemoved.id, ++aTables.serial, false, aRemoved });
    }
    return;
  }
  const endpoint_row& row = known->row;
  if (aRemoved.incarnation == 0) {
    Remove(aTables,
           *known,
           { row.id, row.incarnation, row.sequence, aRemoved.hasLeft },
           false);
    return;
  }
  if (!IsAfter(row, aRemoved)) {
    Remove(aTables, *known, aRemoved, false);
  }
}

bool
HasLeft(const control_tables& aTables, endpoint_id aEndpoint)
{
  const removed_row* known = aTables.removedEndpoints.Find(aEndpoint);
  return known != nullptr && known->removed.hasLeft;
}

// A control process that has just started knows of no endpoint that left.
void
RepublishRemovals(control_tables& aTables)
{
  for (const removed_row& removed : aTables.removedEndpoints) {
    if (removed.removed.hasLeft) {
      aTables.corrections.insert(removed.id);
    }
  }
  for (const known_endpoint& known : aTables.endpoints) {
    if (known.row.isLeaving) {
      aTables.corrections.insert(known.id);
    }
  }
}

} // namespace bulrush::control
