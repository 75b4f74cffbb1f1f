/// Delivery of configurations to hosts: as commands, whole, or in parts.

#include "control/tables.hpp"
#include "observe/observe.hpp"

#include <algorithm>

namespace bulrush::control {
namespace {

constexpr log_component kLog{ "control" };

constexpr std::size_t kMaxRecentCommands = 512;
/// A larger configuration is sent in parts of this size: 50 ms on a link of
/// 10 Mbit/s, for which endpoints that leave and answers to reports wait.
constexpr std::size_t kPartBytes = 64UL * 1024;
/// Two parts keep the link busy while a report of the first is under way.
constexpr std::uint64_t kMaxBytesInFlight = 2 * kPartBytes;

std::size_t
SizeOf(const fleet_command& aCommand)
{
  const auto* manifest = std::get_if<apply_manifest>(&aCommand.change);
  return manifest == nullptr ? 0
                             : manifest->text.size() + manifest->patch.size();
}

void
LogConfiguration(const host_row& aHost,
                 std::uint64_t aRevision,
                 std::size_t aBytes,
                 bool aIsInParts)
{
  LogEvent(kLog,
           log_level::eInfo,
           "configuration_sent",
           { { "host", aHost.name },
             { "from_revision", std::to_string(aHost.revision) },
             { "revision", std::to_string(aRevision) },
             { "bytes", std::to_string(aBytes) },
             { "in_parts", aIsInParts ? "yes" : "no" } });
}

void
LogRepeated(const host_row& aHost,
            const wire::host_report& aReport,
            std::uint64_t aSentRevision)
{
  LogEvent(kLog,
           log_level::eInfo,
           "configuration_repeated",
           { { "host", aHost.name },
             { "revision", std::to_string(aReport.revision) },
             { "sent_revision", std::to_string(aSentRevision) } });
}

// Hosts use neither claims nor the source of the manifest.
std::string
EncodeForHosts(fleet_state aState)
{
  aState.claims.Clear();
  aState.declared.source.clear();
  return wire::EncodeState(aState);
}

// Encoded once for all hosts.
std::shared_ptr<const encoded_configuration>
EncodedConfiguration(control_tables& aTables)
{
  const std::uint64_t revision = aTables.fleet.revision;
  if (!aTables.encoded || aTables.encoded->id.revision != revision) {
    std::string bytes = EncodeForHosts(aTables.fleet);
    const wire::configuration_id id{ revision, StableHash(bytes) };
    aTables.encoded = std::make_shared<const encoded_configuration>(
      encoded_configuration{ id, std::move(bytes) });
  }
  return aTables.encoded;
}

// What the host has received of aConfiguration, from any control process. A
// host with all of it has it in force and reports its revision.
std::uint64_t
ReceivedBytes(const std::optional<wire::configuration_progress>& aProgress,
              const encoded_configuration& aConfiguration)
{
  const bool isPart = aProgress && aProgress->of == aConfiguration.id &&
                      aProgress->bytes < aConfiguration.bytes.size();
  return isPart ? aProgress->bytes : 0;
}

// A host with a slow link or processor would take seconds for a history that
// contains more than one whole manifest.
bool
AddCommands(const control_tables& aTables,
            const host_row& aHost,
            wire::host_update& aUpdate)
{
  const std::uint64_t from = aHost.revision;
  if (aTables.recent.empty() || aTables.recent.front().revision > from + 1) {
    return false;
  }
  std::size_t bytes = 0;
  for (const wire::numbered_command& command : aTables.recent) {
    bytes += command.revision > from ? SizeOf(command.command) : 0;
  }
  if (bytes > aTables.fleet.manifestText.size() ||
      (bytes > kPartBytes && aHost.incoming)) {
    return false;
  }
  for (const wire::numbered_command& command : aTables.recent) {
    if (command.revision > from) {
      aUpdate.commands.push_back(command);
    }
  }
  LogConfiguration(aHost, aUpdate.revision, bytes, false);
  return true;
}

// A host runs what an update carries before it reports the update.
void
CheckWhole(host_row& aHost, const wire::host_report& aReport)
{
  const bool isReceived =
    aHost.sentRevision > 0 && aReport.receivedUpdate >= aHost.sentWithUpdate;
  if (aReport.revision >= aHost.sentRevision) {
    aHost.sentRevision = 0;
  } else if (isReceived) {
    LogRepeated(aHost, aReport, aHost.sentRevision);
    aHost.sentRevision = 0;
  }
}

} // namespace

// A message that takes longer on a host's link than its report waits for the
// answer makes the host turn to another process, which would send the same
// again. So a large configuration goes in parts, each at the host's request.
void
AddConfiguration(control_tables& aTables,
                 host_row& aHost,
                 wire::host_update& aUpdate)
{
  if (!AddCommands(aTables, aHost, aUpdate)) {
    auto encoded = EncodedConfiguration(aTables);
    const std::uint64_t received = ReceivedBytes(aHost.incoming, *encoded);
    const std::size_t bytes = encoded->bytes.size();
    const bool isInParts = bytes > kPartBytes && aHost.incoming;
    LogConfiguration(aHost, aUpdate.revision, bytes - received, isInParts);
    if (isInParts) {
      aHost.transfer = { std::move(encoded), received, received, 0 };
      return;
    }
    aUpdate.snapshot = encoded->bytes;
  }
  aHost.sentRevision = aUpdate.revision;
  aHost.sentWithUpdate = aUpdate.number;
}

bool
HasPartToSend(const host_row& aHost)
{
  const configuration_transfer& transfer = aHost.transfer;
  return transfer.configuration &&
         transfer.sentBytes < transfer.configuration->bytes.size() &&
         transfer.sentBytes < transfer.receivedBytes + kMaxBytesInFlight;
}

void
AddPart(host_row& aHost, wire::host_update& aUpdate)
{
  configuration_transfer& transfer = aHost.transfer;
  const encoded_configuration& configuration = *transfer.configuration;
  wire::configuration_part part;
  part.of = configuration.id;
  part.totalBytes = configuration.bytes.size();
  part.offset = transfer.sentBytes;
  part.bytes = configuration.bytes.substr(transfer.sentBytes, kPartBytes);
  transfer.sentBytes += part.bytes.size();
  transfer.lastUpdate = aUpdate.number;
  aUpdate.part = std::move(part);
}

// A host that has the update with the last part but not its bytes dropped them,
// as it has begun with another configuration or found this one damaged.
void
HandleProgress(host_row& aHost, const wire::host_report& aReport)
{
  CheckWhole(aHost, aReport);
  configuration_transfer& transfer = aHost.transfer;
  if (!transfer.configuration) {
    return;
  }
  const std::uint64_t sentRevision = transfer.configuration->id.revision;
  const std::uint64_t received =
    ReceivedBytes(aReport.incoming, *transfer.configuration);
  const bool isDone = aReport.revision >= sentRevision;
  const bool isDropped = aReport.receivedUpdate >= transfer.lastUpdate &&
                         received < transfer.sentBytes;
  if (isDropped && !isDone) {
    LogRepeated(aHost, aReport, sentRevision);
  }
  if (isDone || isDropped) {
    transfer = {};
  } else {
    transfer.receivedBytes = received;
  }
}

// Those before more than one whole manifest are never sent (AddCommands),
// and several hundred large ones would be the memory of the process.
void
DropOldCommands(control_tables& aTables)
{
  std::deque<wire::numbered_command>& recent = aTables.recent;
  const std::size_t limit = aTables.fleet.manifestText.size();
  std::size_t bytes = 0;
  std::size_t kept = 0;
  while (kept < std::min(recent.size(), kMaxRecentCommands) &&
         bytes + SizeOf(recent[recent.size() - kept - 1].command) <= limit) {
    bytes += SizeOf(recent[recent.size() - kept - 1].command);
    ++kept;
  }
  recent.erase(recent.begin(),
               recent.end() - static_cast<std::ptrdiff_t>(kept));
}

} // namespace bulrush::control
