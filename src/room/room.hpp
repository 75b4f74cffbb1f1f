#ifndef BULRUSH_ROOM_ROOM_HPP
#define BULRUSH_ROOM_ROOM_HPP

/// Public header of the room library: what hosts and control processes know of
/// the room at endpoints.

#include "core/core.hpp"
#include "room/outflow.hpp"

namespace bulrush::room {

/// The load of an endpoint as a host saw it in an answer.
struct load_row
{
  endpoint_id id;
  std::uint64_t incarnation = 0;
  std::uint32_t running = 0; ///< requests of all hosts
  std::uint32_t queued = 0;  ///< requests of all hosts that wait there
  /// Time that work takes, in units of the usual time; nullopt: unknown.
  std::optional<double> slowdown;
  steady_time observedAt;
  std::uint64_t serial = 0; ///< of the latest change in these tables; not sent
  /// Host that reported it to this process, or this host; none: it came from a
  /// control process. Not sent.
  host_id source{};
};

/// Loads of endpoints, as one process knows them.
struct tables
{
  table<endpoint_id, load_row> loads;
  std::uint64_t serial = 0; ///< of the latest change
  std::chrono::milliseconds lifetime{ 5'000 };
};

/// Stores a load unless one that is as new, or one of a later incarnation, is
/// stored. True if it was.
bool MergeLoad(tables& aTables, const load_row& aLoad, steady_time aNow);

/// Whether a load is among those asked for.
using load_filter = std::function<bool(const load_row&)>;

/// The loads that changed after a serial and that aFilter accepts (not set:
/// all), newest first, at most aMost of them.
std::vector<load_row> LoadsSince(const tables& aTables,
                                 std::uint64_t aSerial,
                                 std::size_t aMost,
                                 const load_filter& aFilter = {});

/// Mean age of the loads; zero without any.
std::chrono::milliseconds MeanAge(const tables& aTables, steady_time aNow);

/// Erases loads that are older than their lifetime.
void ExpireLoads(tables& aTables, steady_time aNow);

} // namespace bulrush::room

#endif
