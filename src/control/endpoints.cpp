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

// An endpoint that left returns only as a newer incarnation: delayed messages
// of the old process must not restore it.
bool
HasLeft(const control_tables& aTables, const endpoint_row& aRow)
{
  const removed_endpoint* removed = aTables.removedEndpoints.Find(aRow.id);
  return removed != nullptr && removed->hasLeft &&
         aRow.incarnation <= removed->incarnation;
}

} // namespace

void
UpdateEndpoint(control_tables& aTables, const endpoint_row& aRow, bool aIsOwn)
{
  known_endpoint* known = aTables.endpoints.Find(aRow.id);
  if (known == nullptr) {
    if (HasLeft(aTables, aRow) || IsSupersededAtAddress(aTables, aRow)) {
      return;
    }
    aTables.removedEndpoints.Erase(aRow.id);
    LogEndpoint("endpoint_joined", aRow);
    aTables.endpoints.Insert({ aRow.id, aRow, ++aTables.serial, aIsOwn });
    return;
  }
  if (!IsNewer(aRow, known->row)) {
    return;
  }
  const bool isSame = IsSameExceptLoad(aRow, known->row);
  known->row = aRow;
  known->isOwn = aIsOwn;
  if (!isSame) {
    LogEndpoint("endpoint_changed", aRow);
    known->serial = ++aTables.serial;
  }
}

void
RemoveEndpoint(control_tables& aTables, endpoint_id aEndpoint, bool aHasLeft)
{
  const known_endpoint* known = aTables.endpoints.Find(aEndpoint);
  if (known == nullptr) {
    return;
  }
  LogEndpoint(aHasLeft ? "endpoint_left" : "endpoint_silent", known->row);
  aTables.removedEndpoints.Insert({ aEndpoint,
                                    ++aTables.serial,
                                    known->isOwn,
                                    aHasLeft,
                                    known->row.incarnation });
  aTables.endpoints.Erase(aEndpoint);
}

} // namespace bulrush::control
