#ifndef BULRUSH_CONTROL_ORDERS_HPP
#define BULRUSH_CONTROL_ORDERS_HPP

/// Placement in bulrush-control: copies endpoint reports into the placement
/// tables, proposes placement's commands to the log, sends its orders to
/// engines.

#include "wire/wire.hpp"

namespace bulrush::control {

struct control_tables;
struct control_outbox;

/// One copy of an order, to be sent over HTTP.
struct order_call
{
  order_id order;
  std::string address; ///< of the endpoint, IP:port
  std::string body;    ///< JSON, docs/API.md
};

/// Result of sending one copy of an order.
struct order_answer
{
  order_id order;
  bool isSent = true; ///< false: no byte was sent
  int status = 0;     ///< zero: no answer arrived
  std::string body;
};

/// State of placement and of its orders.
struct order_tables
{
  placement::tables placement;
  table<wire::artifact_name_id, wire::artifact_name> names;
  std::vector<order_answer> answers;  ///< since the last tick
  std::uint64_t manifestRevision = 0; ///< of the manifest given to placement
};

/// Applies a log payload; false when it is not an order entry.
bool ApplyOrderEntry(control_tables& aTables, const std::string& aPayload);

/// Encodes the orders for a log snapshot, and restores them from one. The bytes
/// are appended to those of wire::EncodeState.
std::string OrderSnapshot(const control_tables& aTables);
bool InstallOrders(control_tables& aTables,
                   const std::string& aState,
                   last_reason& aReason);

/// Stores the names that the manifest declares, so that a resident model can be
/// named in an order after a later manifest no longer declares it.
void AddNames(order_tables& aTables, const manifest& aManifest);

/// Whether the announced engines have enough memory for the models and adapters
/// of a manifest.
bool FitsOnEngines(const control_tables& aTables,
                   const manifest& aManifest,
                   last_reason& aReason);

/// System: decides on placement, proposes commands and sends orders.
void RunOrders(control_tables& aTables,
               steady_time aNow,
               control_outbox& aOutbox);

} // namespace bulrush::control

#endif
