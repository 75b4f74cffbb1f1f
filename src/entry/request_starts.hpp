#ifndef BULRUSH_ENTRY_REQUEST_STARTS_HPP
#define BULRUSH_ENTRY_REQUEST_STARTS_HPP

/// Requests that began to run on one traffic thread, as they are counted for
/// usage reports.

#include "entry/tables.hpp"

namespace bulrush::entry {

/// Passes starts to the control thread; not set: none are recorded.
using start_hook = std::function<void(std::vector<request_start>)>;

class start_reporter
{
public:
  explicit start_reporter(start_hook aOnStarts);

  void Record(workspace_id aWorkspace, steady_time aNow);

  /// Reports the starts if a batch is due; sets aWake to when one will be.
  void Report(steady_time aNow, wake_time& aWake);

  /// Reports the starts at once.
  void Flush();

private:
  start_hook mOnStarts;
  std::vector<request_start> mStarts;
};

} // namespace bulrush::entry

#endif
