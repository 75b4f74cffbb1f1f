#ifndef BULRUSH_QUARANTINE_QUARANTINE_HPP
#define BULRUSH_QUARANTINE_QUARANTINE_HPP

/// Public header of the quarantine library: finds parts of prompts that crash
/// endpoints, by the processes that ended under them and the answers that they
/// never had, and refuses requests with such a part. Hosts and control
/// processes each own a `tables` and merge what the others observed. Merging
/// needs no order and no quorum.

#include "core/core.hpp"

#include <functional>
#include <span>
#include <vector>

namespace bulrush::quarantine {

/// The end of an endpoint's process, as seen by its connections.
struct crash
{
  endpoint_id endpoint;
  std::uint64_t incarnation = 0;
  steady_time at;
};

/// Permission of one host for one request with a quarantined part.
struct trial
{
  std::uint64_t number = 0; ///< rises with each trial of the part; 0: none yet
  host_id host;
  steady_time endsAt;
};

/// A part under which processes ended, without an answer since.
struct suspect_row
{
  part_id id;
  std::vector<crash> crashes; ///< one for each process; the first kMaxCrashes
  steady_time newestCrash;    ///< also of those that were not kept
  /// Parts without an answer that every request under which a process ended had
  /// in common, this one included.
  std::vector<part_id> together;
  bool isHeld = false; ///< an operator quarantined it at heldAt
  steady_time heldAt;
  trial lastTrial;
  std::uint64_t serial = 0; ///< of its latest change
};

/// A part that is cleared of what was observed until then.
struct cleared_row
{
  part_id id;
  steady_time at;
  bool isByOperator = false; ///< else by an answer
  std::uint64_t serial = 0;
};

/// A process that runs, though its connections suggested its end.
struct running_row
{
  endpoint_id id;
  std::uint64_t incarnation = 0;
  steady_time at;
  std::uint64_t serial = 0;
};

/// Rows that a process publishes to others. Their serials are not published.
struct evidence
{
  std::vector<suspect_row> suspects;
  std::vector<cleared_row> cleared;
  std::vector<running_row> running;

  bool Empty() const
  {
    return suspects.empty() && cleared.empty() && running.empty();
  }
};

struct options
{
  /// Processes that end under a part before requests with it are refused.
  std::uint32_t crashesToQuarantine = 3;
  /// A part with an answer within this time before a crash is not suspected.
  std::chrono::milliseconds answerLifetime{ 10'000 };
  /// Until so long after a crash no further request with a suspected part is
  /// sent, so that those under way show whether the part is at fault.
  std::chrono::milliseconds suspicionPause{ 500 };
  /// Suspicions below crashesToQuarantine end so long after the newest crash.
  std::chrono::milliseconds suspicionLifetime{ 60'000 };
  /// A quarantined part gets its first trial so long after the newest crash.
  std::chrono::milliseconds quarantineTime{ 600'000 };
  /// Time in which the host of a trial may send its request.
  std::chrono::milliseconds trialTime{ 30'000 };
  /// Cleared and running rows are kept so long, against late evidence.
  std::chrono::milliseconds clearedLifetime{ 60'000 };
  /// A check-in proves that a process runs if it comes so long after its
  /// supposed end. Before, it may have been under way.
  std::chrono::milliseconds checkInDelay{ 2'000 };
};

inline constexpr std::size_t kMaxSuspects = 256;
inline constexpr std::size_t kMaxCleared = 256;
inline constexpr std::size_t kMaxCrashes = 8;
/// Of one request; the first ones count.
inline constexpr std::size_t kMaxParts = 16;
inline constexpr std::size_t kAnswerSlots = 4'096;

/// Newest answer to a request with a part.
struct answer_slot
{
  part_id part;
  steady_time at;
};

struct tables
{
  tables();
  explicit tables(options aOptions);

  options settings;
  host_id self; ///< of a host
  table<part_id, suspect_row> suspects;
  table<part_id, cleared_row> cleared;
  table<endpoint_id, running_row> running;
  std::vector<answer_slot> answers; ///< by hash; of this process's requests
  std::unordered_map<part_id, std::uint64_t, id_hash> usedTrials;
  std::uint64_t serial = 0; ///< of the newest change
};

// Observations ---------------------------------------------------------------

/// A process ended while a request with these parts had no answer under way.
void RecordCrash(tables& aTables,
                 const crash& aCrash,
                 std::span<const part_id> aParts);
/// The answer to a request with these parts is under way beyond its first
/// event, or complete.
void RecordAnswer(tables& aTables,
                  std::span<const part_id> aParts,
                  steady_time aNow);
/// A process sent something at aNow.
void RecordRunning(tables& aTables,
                   endpoint_id aEndpoint,
                   std::uint64_t aIncarnation,
                   steady_time aNow);
/// A check-in of a process arrived, perhaps late.
void RecordCheckIn(tables& aTables,
                   endpoint_id aEndpoint,
                   std::uint64_t aIncarnation,
                   steady_time aNow);
/// Adds what another process observed; false if all of it was known.
bool Merge(tables& aTables, const evidence& aEvidence, steady_time aNow);
/// Rows that changed after aSerial.
evidence ChangesSince(const tables& aTables, std::uint64_t aSerial);

/// An operator's decisions about a part.
void Hold(tables& aTables, part_id aPart, steady_time aNow);
void Release(tables& aTables, part_id aPart, steady_time aNow);

// Decisions ------------------------------------------------------------------

enum class verdict_kind : std::uint8_t
{
  eFree,
  eWait,  ///< for a request under way with the part, or until `until`
  eRefuse ///< quarantined
};

struct verdict
{
  verdict_kind kind = verdict_kind::eFree;
  part_id part;
  std::uint32_t crashes = 0; ///< under the part
  steady_time until{};       ///< of eWait
};

/// Whether a request may be sent.
/// @param aIsRetry an endpoint's process ended under the request itself.
/// @param aIsUnderWay whether a request with a part waits for its answer here.
verdict Judge(const tables& aTables,
              std::span<const part_id> aParts,
              bool aIsRetry,
              const std::function<bool(part_id)>& aIsUnderWay,
              steady_time aNow);

/// Whether requests with the part alone are refused, but for trials.
bool IsQuarantined(const options& aOptions, const suspect_row& aRow);
/// Short name for logs and displays: held, quarantined or suspected.
const char* StateName(const options& aOptions, const suspect_row& aRow);

/// Notes that a request with these parts is sent: it uses up their trials.
void UseTrials(tables& aTables, std::span<const part_id> aParts);

/// Removes what is too old.
void Expire(tables& aTables, steady_time aNow);

/// Gives each part whose time in quarantine is over a trial at one of aHosts,
/// in turn. Called by one process of the fleet only.
void GiveTrials(tables& aTables,
                std::span<const host_id> aHosts,
                steady_time aNow,
                wake_time& aWake);

} // namespace bulrush::quarantine

#endif
