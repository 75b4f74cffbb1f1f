#ifndef BULRUSH_CONTROL_LOG_HPP
#define BULRUSH_CONTROL_LOG_HPP

/// The replicated log under bulrush-control: founding, replacement of members
/// and the way of commands through the log.

#include "replication/replication.hpp"
#include "wire/wire.hpp"

namespace bulrush::control {

struct control_tables;
struct control_outbox;
struct received;
struct log_hooks;

/// Another control process, as its latest hello described it.
struct known_replica
{
  replica_id id; ///< IdOf its name
  std::string name;
  replica_id identity; ///< of its data folder
  bool isEmpty = false;
  bool hasAnswered = false; ///< a question of this process
  bool isFounder = false;   ///< named by the settings
  steady_time heardAt{};
};

/// A caller that waits for a replacement to be whole.
struct replace_row
{
  typed_id<struct replace_tag> id;
  std::string peer;
  std::uint64_t call = 0;
  replica_id oldIdentity;
  replica_id newIdentity;
  steady_time deadline{};
};

/// Rows of the log under bulrush-control.
struct log_tables
{
  std::optional<disk_log> disk;
  replica_tables replica;
  table<replica_id, known_replica> known;
  table<typed_id<struct replace_tag>, replace_row> replacements;
  std::uint64_t lastReplacement = 0;
  steady_time nextHello{};
  bool mayFound = true; ///< this may be the first start of the fleet
  /// Processes are named by the addresses of their links, may join unasked and
  /// take the place of members that are lost.
  bool repairsItself = false;
};

/// Opens the data folder. Fails when it is damaged or held by another process.
std::optional<std::unique_ptr<log_tables>> OpenLog(
  const std::filesystem::path& aFolder,
  replica_settings aSettings,
  const std::vector<std::string>& aPeers,
  steady_time aNow,
  last_reason& aReason);

/// Hooks through which the other systems reach the log.
log_hooks MakeReplicatedLog(log_tables& aLog);

/// Takes the messages that concern the log; false for all others.
bool TakeLogMessage(control_tables& aTables,
                    const received& aInput,
                    steady_time aNow,
                    control_outbox& aOutbox);

/// An older hello tells nothing of the present.
inline constexpr std::chrono::milliseconds kHelloFresh{ 1'000 };

/// Links to a control process that was not known before; its row.
known_replica& Meet(control_tables& aTables,
                    const std::string& aName,
                    const std::string& aAddress,
                    control_outbox& aOutbox);

bool IsMember(const log_tables& aLog, replica_id aIdentity);

/// For processes named by their addresses: links to all members, and on the
/// leader, replaces those that are lost.
void LinkMembers(control_tables& aTables, control_outbox& aOutbox);
void RepairMembers(control_tables& aTables, steady_time aNow);

/// Systems, in their order around RunApply.
void RunLog(control_tables& aTables, steady_time aNow, control_outbox& aOutbox);
void RunLogSnapshot(control_tables& aTables,
                    steady_time aNow,
                    control_outbox& aOutbox);

/// Begins to hand leadership over, for a graceful stop. False when there is
/// nothing to wait for.
bool BeginHandOver(control_tables& aTables, steady_time aNow);

/// True once another replica is known to lead.
bool IsHandedOver(const control_tables& aTables);

} // namespace bulrush::control

#endif
