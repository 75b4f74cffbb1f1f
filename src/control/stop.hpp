#ifndef BULRUSH_CONTROL_STOP_HPP
#define BULRUSH_CONTROL_STOP_HPP

/// The planned stop of a control process. Leadership is handed over first.
/// Meanwhile new calls are refused and open ones are finished, until the part
/// of the grace period is over that is kept for the end of the process.

#include "core/core.hpp"

namespace bulrush::control {

struct control_tables;

/// A planned stop that has begun.
struct stop_row
{
  steady_time since{};
  steady_time handOverBy{}; ///< the stop goes on without another leader
  steady_time answerBy{};   ///< open calls are answered as undecided
  steady_time endBy{};      ///< the process ends with unsent answers
  bool isHandingOver = false;
  std::optional<steady_time> idleSince; ///< nothing is open
  bool isEnding = false;                ///< the last answers are being sent
};

/// Text of the answer to a call that a stopping process does not run.
inline constexpr const char* kStopsText = "this process is stopping";

/// Calls and orders without an answer.
struct open_work
{
  std::size_t httpCalls = 0;
  std::size_t linkCalls = 0;
  std::size_t engineCalls = 0; ///< orders and state queries
};
open_work OpenWork(const control_tables& aTables, std::size_t aEngineCalls);
bool IsEmpty(const open_work& aWork);
/// "1 HTTP calls, 0 calls over links, 0 calls to engines".
std::string Describe(const open_work& aWork);

/// Begins a stop that ends before aNow + aGrace.
void BeginStop(control_tables& aTables,
               std::chrono::milliseconds aGrace,
               steady_time aNow);

/// The time by which a call that waits has to be answered.
steady_time AnswerBy(const control_tables& aTables, steady_time aDeadline);

/// During a stop: whether the process may end once its answers are sent. Sets
/// the time of the next check in aWake.
bool MayEnd(control_tables& aTables,
            std::size_t aEngineCalls,
            steady_time aNow,
            wake_time& aWake);

} // namespace bulrush::control

#endif
