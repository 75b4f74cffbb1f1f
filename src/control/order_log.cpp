#include "control/orders.hpp"
#include "control/tables.hpp"

namespace bulrush::control {
namespace {

void
AddName(order_tables& aTables, const wire::artifact_name& aName)
{
  wire::artifact_name* known = aTables.names.Find(aName.id);
  if (known == nullptr) {
    aTables.names.Insert(aName);
  } else if (aName.bytes > 0) {
    known->bytes = aName.bytes;
  }
}

void
Apply(order_tables& aTables, const placement::commit_order& aChange)
{
  placement::OnOrderCommitted(aTables.placement, aChange);
}

void
Apply(order_tables& aTables, const placement::settle_order& aChange)
{
  placement::OnOrderSettled(aTables.placement, aChange);
}

void
Apply(order_tables& aTables, const placement::close_order& aChange)
{
  placement::OnOrderClosed(aTables.placement, aChange);
}

} // namespace

bool
ApplyOrderEntry(control_tables& aTables, const std::string& aPayload)
{
  const auto entry = wire::DecodeOrderEntry(aPayload);
  if (!entry) {
    return false;
  }
  for (const wire::artifact_name& name : entry->names) {
    AddName(aTables.orders, name);
  }
  std::visit([&](const auto& aChange) { Apply(aTables.orders, aChange); },
             entry->change);
  return true;
}

std::string
OrderSnapshot(const control_tables& aTables)
{
  const order_tables& orders = aTables.orders;
  wire::order_ledger ledger;
  for (const placement::order_row& row : orders.placement.orders) {
    if (row.state != placement::order_state::eIntended) {
      ledger.orders.push_back(row);
    }
  }
  for (const placement::ledger_row& row : orders.placement.ledger) {
    ledger.ledger.push_back(row);
  }
  for (const wire::artifact_name& name : orders.names) {
    ledger.names.push_back(name);
  }
  return wire::EncodeLedger(ledger);
}

bool
InstallOrders(control_tables& aTables,
              const std::string& aState,
              last_reason& aReason)
{
  const auto ledger = wire::DecodeLedger(aState, aReason);
  if (!ledger) {
    return false;
  }
  order_tables& orders = aTables.orders;
  placement::OnDeposed(orders.placement);
  orders.placement.orders.Clear();
  orders.placement.ledger.Clear();
  orders.names.Clear();
  orders.manifestRevision = 0;
  for (const placement::order_row& row : ledger->orders) {
    orders.placement.orders.Insert(row);
  }
  for (const placement::ledger_row& row : ledger->ledger) {
    orders.placement.ledger.Insert(row);
  }
  for (const wire::artifact_name& name : ledger->names) {
    orders.names.Insert(name);
  }
  // Which orders the previous leader has sent is not in the snapshot, so each
  // counts as committed and possibly sent.
  placement::OnDeposed(orders.placement);
  return true;
}

void
AddNames(order_tables& aTables, const manifest& aManifest)
{
  for (const model_row& model : aManifest.models) {
    AddName(aTables, { { model.id.value }, model.name, model.bytes });
    AddName(aTables, { { StableHash(model.version) }, model.version, 0 });
  }
  for (const adapter_row& adapter : aManifest.adapters) {
    AddName(aTables, { { adapter.id.value }, adapter.name, adapter.bytes });
  }
}

} // namespace bulrush::control
