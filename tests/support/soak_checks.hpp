#ifndef BULRUSH_TESTS_SUPPORT_SOAK_CHECKS_HPP
#define BULRUSH_TESTS_SUPPORT_SOAK_CHECKS_HPP

/// What callers of a soak must not see.

#include "support/soak_callers.hpp"

namespace bulrush::test {

/// What is known of a soak apart from its calls.
struct soak_facts
{
  /// Whether the host of a call was killed while the call used it.
  std::function<bool(const call_row&)> wasKilled;
  /// Whether the withdrawal of a key was in force everywhere before a time.
  std::function<bool(const std::string& aKey, steady_time aAt)> isWithdrawn;
  std::map<std::string, int> runs; ///< of requests, by tag
};

/// A line for each call that breaks a promise, and for each release that ran
/// too often, not often enough, or though its answers say that it did not.
std::vector<std::string> FindProblems(const std::vector<call_row>& aCalls,
                                      const soak_facts& aFacts);

} // namespace bulrush::test

#endif
