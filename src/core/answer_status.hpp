#ifndef BULRUSH_CORE_ANSWER_STATUS_HPP
#define BULRUSH_CORE_ANSWER_STATUS_HPP

namespace bulrush {

/// True for the status of an answer. Statuses below are interim, and any other
/// is an error of its sender.
constexpr bool
IsFinalStatus(int aStatus)
{
  constexpr int kFirstFinal = 200;
  constexpr int kLastFinal = 599;
  return aStatus >= kFirstFinal && aStatus <= kLastFinal;
}

} // namespace bulrush

#endif
