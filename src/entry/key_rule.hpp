#ifndef BULRUSH_ENTRY_KEY_RULE_HPP
#define BULRUSH_ENTRY_KEY_RULE_HPP

/// Whether a host may serve requests with a key by the configuration that it
/// has. Answers the load of a host that is cut off from control while keys are
/// withdrawn.

#include "core/core.hpp"

namespace bulrush::entry {

struct key_rule
{
  /// Time after which a withdrawn key works at no host, in touch or not; zero:
  /// it may work at a host for as long as that is cut off.
  std::chrono::milliseconds withdrawalBound{ 0 };
};

/// Until then a host serves keys whose configuration held all that was
/// committed before aConfirmedAt; steady_time{} there: never confirmed.
steady_time KeysUsableUntil(const key_rule& aRule, steady_time aConfirmedAt);

/// From then on the host is not ready, and closes connections with its answers,
/// so that callers have gone to other hosts before it refuses them.
steady_time LeavesRotationAt(const key_rule& aRule, steady_time aConfirmedAt);

/// For a caller that is refused by a host that left the rotation at aLeftAt.
std::chrono::milliseconds RetryAfterUnconfirmed(steady_time aLeftAt,
                                                steady_time aNow);

} // namespace bulrush::entry

#endif
