#include "control/stop.hpp"

#include "control/tables.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace bulrush::control {
namespace {

constexpr std::chrono::milliseconds kHandOverTimeout{ 2'000 };
/// Part of the grace period in which no call may be open any more.
constexpr int kEndFraction = 10;
/// Time for the last messages to leave the queues of links, and for calls that
/// are in the buffers of connections to be read and refused.
constexpr std::chrono::milliseconds kIdleTime{ 100 };

// A hand-over that found no successor leaves this process the leader.
bool
IsHandOverDone(const control_tables& aTables, steady_time aNow)
{
  const stop_row& stop = *aTables.stop;
  return !stop.isHandingOver || aNow >= stop.handOverBy ||
         IsHandedOver(aTables);
}

} // namespace

open_work
OpenWork(const control_tables& aTables, std::size_t aEngineCalls)
{
  open_work work;
  for (const pending_call& call : aTables.calls) {
    ++(call.httpCall ? work.httpCalls : work.linkCalls);
  }
  work.httpCalls += aTables.httpInbox.size();
  if (aTables.replicated) {
    work.linkCalls += aTables.replicated->replacements.Size();
  }
  work.engineCalls = aEngineCalls;
  return work;
}

bool
IsEmpty(const open_work& aWork)
{
  return aWork.httpCalls + aWork.linkCalls + aWork.engineCalls == 0;
}

std::string
Describe(const open_work& aWork)
{
  return fmt::format("{} HTTP calls, {} calls over links, {} calls to engines",
                     aWork.httpCalls,
                     aWork.linkCalls,
                     aWork.engineCalls);
}

void
BeginStop(control_tables& aTables,
          std::chrono::milliseconds aGrace,
          steady_time aNow)
{
  stop_row stop;
  stop.since = aNow;
  stop.answerBy = aNow + aGrace - aGrace / kEndFraction;
  stop.endBy = aNow + aGrace - aGrace / kEndFraction / 2;
  stop.handOverBy = std::min(aNow + kHandOverTimeout, stop.answerBy);
  stop.isHandingOver = BeginHandOver(aTables, aNow);
  aTables.stop = stop;
}

steady_time
AnswerBy(const control_tables& aTables, steady_time aDeadline)
{
  return aTables.stop ? std::min(aDeadline, aTables.stop->answerBy) : aDeadline;
}

bool
MayEnd(control_tables& aTables,
       std::size_t aEngineCalls,
       steady_time aNow,
       wake_time& aWake)
{
  stop_row& stop = *aTables.stop;
  const steady_time last =
    stop.answerBy + std::min<std::chrono::nanoseconds>(
                      kIdleTime, (stop.endBy - stop.answerBy) / 2);
  if (aNow >= last) {
    return true;
  }
  aWake.NoLaterThan(last);
  if (!IsHandOverDone(aTables, aNow)) {
    aWake.NoLaterThan(stop.handOverBy);
    return false;
  }
  if (!IsEmpty(OpenWork(aTables, aEngineCalls))) {
    stop.idleSince.reset();
    return false;
  }
  if (!stop.idleSince) {
    stop.idleSince = aNow;
  }
  aWake.NoLaterThan(*stop.idleSince + kIdleTime);
  return aNow >= *stop.idleSince + kIdleTime;
}

} // namespace bulrush::control
