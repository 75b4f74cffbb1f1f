#ifndef BULRUSH_CONTROL_ORDERS_HPP
#define BULRUSH_CONTROL_ORDERS_HPP

/// Placement under bulrush-control: what endpoints report becomes rows of the
/// placement tables, its commands go through the log, its orders to engines.

#include "wire/wire.hpp"

namespace bulrush::control {

struct control_tables;
struct control_outbox;

/// One copy of an order that is to be sent over HTTP.
struct order_call
{
  order_id order;
  std::string address; ///< of the endpoint, IP:port
  std::string body;    ///< JSON, docs/API.md
};

/// How the call of one copy ended.
struct order_answer
{
  order_id order;
  bool isSent = true; ///< false: no byte of it left
  int status = 0;     ///< zero: no answer arrived
  std::string body;
};

/// Rows of placement under bulrush-control.
struct order_tables
{
  placement::tables placement;
  table<wire::artifact_name_id, wire::artifact_name> names;
  std::vector<order_answer> answers;  ///< since the last tick
  std::uint64_t manifestRevision = 0; ///< that placement has been given
};

/// Applies a payload of the log; false when it concerns no order.
bool ApplyOrderEntry(control_tables& aTables, const std::string& aPayload);

/// The orders as part of a snapshot of the log, and back. The bytes follow
/// those of wire::EncodeState.
std::string OrderSnapshot(const control_tables& aTables);
bool InstallOrders(control_tables& aTables,
                   const std::string& aState,
                   last_reason& aWhy);

/// Remembers the names that the manifest declares, so that what is resident can
/// be named in an order after it is no longer declared.
void LearnNames(order_tables& aTables, const manifest& aManifest);

/// Whether the engines that have announced themselves can hold a manifest.
bool CanHold(const control_tables& aTables,
             const manifest& aManifest,
             last_reason& aWhy);

/// System: decides on placement, proposes commands and sends orders.
void RunOrders(control_tables& aTables,
               steady_time aNow,
               control_outbox& aOutbox);

} // namespace bulrush::control

#endif
