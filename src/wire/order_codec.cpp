#include "wire/orders.pb.h"
#include "wire/wire.hpp"

namespace bulrush::wire {
namespace {

constexpr std::uint32_t kLastKind =
  static_cast<std::uint32_t>(placement::order_kind::eSetRole);
constexpr std::uint32_t kLastState =
  static_cast<std::uint32_t>(placement::order_state::eVoid);

void
Put(const placement::order_row& aFrom, pb::Order& aTo)
{
  aTo.set_id(aFrom.id.value);
  aTo.set_endpoint(aFrom.endpoint.value);
  aTo.set_incarnation(aFrom.incarnation);
  aTo.set_fencing(aFrom.fencingNumber);
  aTo.set_kind(static_cast<std::uint32_t>(aFrom.kind));
  aTo.set_model(aFrom.target.model.value);
  aTo.set_adapter(aFrom.target.adapter.value);
  aTo.set_version(aFrom.target.version);
  aTo.set_bytes(aFrom.bytes);
  aTo.set_role(aFrom.role);
  aTo.set_report_sequence(aFrom.reportSequence);
  aTo.set_state(static_cast<std::uint32_t>(aFrom.state));
}

std::optional<placement::order_row>
Get(const pb::Order& aFrom)
{
  if (aFrom.kind() > kLastKind || aFrom.state() > kLastState) {
    return std::nullopt;
  }
  placement::order_row row;
  row.id = { aFrom.id() };
  row.endpoint = { aFrom.endpoint() };
  row.incarnation = aFrom.incarnation();
  row.fencingNumber = aFrom.fencing();
  row.kind = static_cast<placement::order_kind>(aFrom.kind());
  row.target = { { aFrom.model() }, { aFrom.adapter() }, aFrom.version() };
  row.bytes = aFrom.bytes();
  row.role = aFrom.role();
  row.reportSequence = aFrom.report_sequence();
  row.state = static_cast<placement::order_state>(aFrom.state());
  return row;
}

void
Put(const artifact_name& aFrom, pb::ArtifactName& aTo)
{
  aTo.set_id(aFrom.id.value);
  aTo.set_text(aFrom.text);
  aTo.set_bytes(aFrom.bytes);
}

artifact_name
Get(const pb::ArtifactName& aFrom)
{
  return { { aFrom.id() }, aFrom.text(), aFrom.bytes() };
}

void
PutChange(const placement::commit_order& aFrom,
          const std::vector<artifact_name>& aNames,
          pb::OrderEntry& aTo)
{
  Put(aFrom.order, *aTo.mutable_commit()->mutable_order());
  for (const artifact_name& name : aNames) {
    Put(name, *aTo.mutable_commit()->add_names());
  }
}

void
PutChange(const placement::settle_order& aFrom,
          const std::vector<artifact_name>&,
          pb::OrderEntry& aTo)
{
  auto* to = aTo.mutable_settle();
  to->set_id(aFrom.id.value);
  to->set_endpoint(aFrom.endpoint.value);
  to->set_is_done(aFrom.outcome == placement::order_state::eDone);
  to->set_incarnation(aFrom.incarnation);
  to->set_report_sequence(aFrom.reportSequence);
  to->set_is_closed(aFrom.isClosed);
  to->set_closes_earlier(aFrom.closesEarlier);
}

void
PutChange(const placement::close_order& aFrom,
          const std::vector<artifact_name>&,
          pb::OrderEntry& aTo)
{
  aTo.mutable_close()->set_id(aFrom.id.value);
  aTo.mutable_close()->set_endpoint(aFrom.endpoint.value);
}

placement::settle_order
GetChange(const pb::SettleOrder& aFrom)
{
  placement::settle_order to;
  to.id = { aFrom.id() };
  to.endpoint = { aFrom.endpoint() };
  to.outcome = aFrom.is_done() ? placement::order_state::eDone
                               : placement::order_state::eVoid;
  to.incarnation = aFrom.incarnation();
  to.reportSequence = aFrom.report_sequence();
  to.isClosed = aFrom.is_closed();
  to.closesEarlier = aFrom.closes_earlier();
  return to;
}

} // namespace

std::string
EncodeOrderEntry(const order_entry& aEntry)
{
  pb::OrderEntry to;
  std::visit([&](const auto& aChange) { PutChange(aChange, aEntry.names, to); },
             aEntry.change);
  return to.SerializeAsString();
}

std::optional<order_entry>
DecodeOrderEntry(const std::string& aBytes)
{
  pb::OrderEntry from;
  if (!from.ParseFromString(aBytes)) {
    return std::nullopt;
  }
  order_entry entry;
  switch (from.change_case()) {
    case pb::OrderEntry::kCommit: {
      const auto order = Get(from.commit().order());
      if (!order) {
        return std::nullopt;
      }
      entry.change = placement::commit_order{ *order };
      for (const auto& name : from.commit().names()) {
        entry.names.push_back(Get(name));
      }
      return entry;
    }
    case pb::OrderEntry::kSettle:
      entry.change = GetChange(from.settle());
      return entry;
    case pb::OrderEntry::kClose:
      entry.change = placement::close_order{ { from.close().id() },
                                             { from.close().endpoint() } };
      return entry;
    case pb::OrderEntry::CHANGE_NOT_SET:
      break;
  }
  return std::nullopt;
}

std::string
EncodeLedger(const order_ledger& aLedger)
{
  pb::OrderLedger to;
  for (const placement::order_row& row : aLedger.orders) {
    Put(row, *to.add_orders());
  }
  for (const placement::ledger_row& row : aLedger.ledger) {
    auto* added = to.add_ledger();
    added->set_endpoint(row.id.value);
    added->set_incarnation(row.incarnation);
    added->set_report_sequence(row.reportSequence);
    added->set_last_order(row.lastOrder.value);
  }
  for (const artifact_name& name : aLedger.names) {
    Put(name, *to.add_names());
  }
  return to.SerializeAsString();
}

std::optional<order_ledger>
DecodeLedger(const std::string& aBytes, last_reason& aReason)
{
  pb::OrderLedger from;
  if (!from.ParseFromString(aBytes)) {
    return Fail(aReason, "decode order ledger", "", "malformed bytes");
  }
  order_ledger ledger;
  for (const auto& order : from.orders()) {
    const auto row = Get(order);
    if (!row) {
      return Fail(aReason, "decode order ledger", "", "unknown kind of order");
    }
    ledger.orders.push_back(*row);
  }
  for (const auto& row : from.ledger()) {
    ledger.ledger.push_back({ { row.endpoint() },
                              row.incarnation(),
                              row.report_sequence(),
                              { row.last_order() } });
  }
  for (const auto& name : from.names()) {
    ledger.names.push_back(Get(name));
  }
  return ledger;
}

} // namespace bulrush::wire
