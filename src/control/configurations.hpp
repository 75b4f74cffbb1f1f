#ifndef BULRUSH_CONTROL_CONFIGURATIONS_HPP
#define BULRUSH_CONTROL_CONFIGURATIONS_HPP

/// Delivery of configurations to hosts.

#include "wire/wire.hpp"

#include <memory>

namespace bulrush::control {

struct control_tables;
struct host_row;

/// A configuration as hosts get it.
struct encoded_configuration
{
  wire::configuration_id id;
  std::string bytes;
};

/// Delivery of a configuration in parts.
struct configuration_transfer
{
  /// Null: none is under way. The newest is sent when this has arrived.
  std::shared_ptr<const encoded_configuration> configuration;
  std::uint64_t sentBytes = 0;
  std::uint64_t receivedBytes = 0; ///< reported by the host
  std::uint64_t lastUpdate = 0;    ///< number of the update with the last part
};

/// Records what a host's report says of the configuration that is on its way.
void HandleProgress(host_row& aHost, const wire::host_report& aReport);

/// Whether the host can take another part now.
bool HasPartToSend(const host_row& aHost);

/// Adds the next part of the configuration that is under way to the host.
void AddPart(host_row& aHost, wire::host_update& aUpdate);

/// Adds what the host lacks of the newest configuration, or begins to send it
/// in parts.
void AddConfiguration(control_tables& aTables,
                      host_row& aHost,
                      wire::host_update& aUpdate);

/// Drops the recent commands that no update would carry.
void DropOldCommands(control_tables& aTables);

} // namespace bulrush::control

#endif
