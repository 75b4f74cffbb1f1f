#ifndef BULRUSH_ENTRY_LOAD_REPORTS_HPP
#define BULRUSH_ENTRY_LOAD_REPORTS_HPP

/// Loads of endpoints in the answers to one traffic thread, as they are passed
/// on for other hosts.

#include "room/room.hpp"

namespace bulrush::entry {

/// Passes loads between the threads of a host.
using load_hook = std::function<void(std::vector<room::load_row>)>;

/// Loads of endpoints at one traffic thread.
struct load_counts
{
  std::uint64_t seen = 0;     ///< in answers, passed on for other hosts
  std::uint64_t received = 0; ///< that other hosts observed
  std::uint64_t applied = 0;  ///< of those received, newer than what was known
};

class load_reporter
{
public:
  explicit load_reporter(load_hook aOnLoads);

  /// Keeps a load that states its slowdown until the next report, in place of
  /// an older one of the endpoint.
  void Record(const room::load_row& aLoad);

  /// Passes the loads on if due; sets aWake to the next time to call.
  void Report(steady_time aNow, wake_time& aWake);

private:
  load_hook mOnLoads;
  table<endpoint_id, room::load_row> mLoads;
  steady_time mNextReport;
};

} // namespace bulrush::entry

#endif
