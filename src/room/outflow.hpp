#ifndef BULRUSH_ROOM_OUTFLOW_HPP
#define BULRUSH_ROOM_OUTFLOW_HPP

/// Part of the public header room.hpp: the share of a model's requests that
/// leaves the local failure domain.

#include "core/core.hpp"

namespace bulrush::room {

/// What is known of a model's usable endpoints in one failure domain.
struct domain_room
{
  domain_id id;
  double slots = 0;    ///< 0: none can be used from here
  double requests = 0; ///< running and queued, of all hosts
  /// Expected time to the first event there, without that between domains.
  std::chrono::microseconds wait{ 0 };
};

struct model_room
{
  model_id id; ///< an adapter counts as a model of its own
  domain_room local;
  std::span<const domain_room> others;
  std::chrono::microseconds target{ 0 };  ///< time to the first event
  std::chrono::microseconds meanRun{ 0 }; ///< for which a slot is occupied
};

enum class outflow_reason : std::uint8_t
{
  eRoom,    ///< the local domain is within the target
  eShort,   ///< it is not, and another one is faster
  eNoOther, ///< it is not, and no other domain has room
  eNoLocal, ///< no local endpoint can be used
  eFalling, ///< room is back; the share falls slowly
};

const char* Name(outflow_reason aReason);

struct outflow_row
{
  model_id id;
  double share = 0; ///< of the requests, 0 to 1
  outflow_reason reason = outflow_reason::eRoom;
  steady_time changedAt{}; ///< of the latest decision
};

struct outflow_options
{
  std::chrono::milliseconds cost{ 0 }; ///< of another failure domain
  double fallPerSecond = 0.25;
};

/// Decides the share of a model and stores it. The share rises at once and
/// falls slowly, but is never above what the other domains have room for.
outflow_row DecideOutflow(table<model_id, outflow_row>& aShares,
                          const model_room& aRoom,
                          const outflow_options& aOptions,
                          steady_time aNow);

} // namespace bulrush::room

#endif
