#ifndef BULRUSH_PROGRAM_PROGRAM_HPP
#define BULRUSH_PROGRAM_PROGRAM_HPP

/// Settings, memory bounds and log lines that several programs share.

#include "net/net.hpp"
#include "observe/observe.hpp"
#include "quarantine/quarantine.hpp"
#include "settings/settings.hpp"

namespace bulrush {

/// Reads the link keys from the file that option "link-keys" names. Empty keys
/// if the option is not set; nullopt if the file cannot be read or parsed.
std::optional<net::link_keys> ReadLinkKeys(const option_values& aOptions,
                                           last_reason& aReason);

/// Has the allocator return large freed blocks to the system at once. Called
/// before other threads start.
void ReturnFreedMemory();

/// Returns freed small blocks to the system, which takes milliseconds. To be
/// called after work that made very many of them.
void ReturnFreedBlocks();

/// The account of a process that may use option "memory-limit".
std::shared_ptr<memory::account> MakeAccount(const option_values& aOptions);

/// Connections of callers for a process with option "descriptor-limit".
std::size_t MaxCallerConnections(const option_values& aOptions);

/// Sets the gauges and counters of aUsage.
void SetMemoryMetrics(metrics& aMetrics, const memory::usage& aUsage);

/// Ids of parts of prompts for a log line, in hexadecimal.
std::string DescribeParts(const std::vector<part_id>& aParts);

/// Writes a line for each row of aChanges.
void LogEvidence(const log_component& aComponent,
                 const quarantine::options& aOptions,
                 const quarantine::evidence& aChanges);

} // namespace bulrush

#endif
