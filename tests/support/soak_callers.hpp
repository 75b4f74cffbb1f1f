#ifndef BULRUSH_TESTS_SUPPORT_SOAK_CALLERS_HPP
#define BULRUSH_TESTS_SUPPORT_SOAK_CALLERS_HPP

/// Callers of a soak: threads that send one request after the other, each on a
/// connection that it keeps until the host closes it or is gone.

#include "support/kept_connection.hpp"

#include <atomic>
#include <mutex>
#include <thread>

namespace bulrush::test {

enum class call_kind : std::uint8_t
{
  eRelease,      ///< may run once
  eKeyedRelease, ///< may run once, and is sent again until it is answered
  eStatus,       ///< on a route that needs no key
  eStream
};

struct call_row
{
  call_kind kind = call_kind::eStatus;
  std::string tag; ///< unique, but for repeats of a keyed release
  std::string key;
  int tokens = 0; ///< of a stream
  std::size_t host = 0;
  steady_time connectedAt;
  steady_time sentAt;
  steady_time endedAt;
  caller_answer answer;
};

/// Name, tag, host, times and answer of a call.
std::string Describe(const call_row& aCall);

struct soak_caller_settings
{
  std::uint64_t seed = 1;
  std::size_t callers = 8;
  std::vector<std::string> hosts;
  /// The key of the next call; called on all threads.
  std::function<std::string(random_engine&)> chooseKey;
};

class soak_callers
{
public:
  explicit soak_callers(soak_caller_settings aSettings);
  ~soak_callers();
  soak_callers(const soak_callers&) = delete;
  soak_callers& operator=(const soak_callers&) = delete;

  /// Waits for the running calls; returns all calls.
  std::vector<call_row> Stop();

private:
  struct caller_row;

  void Run(caller_row& aCaller);
  call_row Draw(caller_row& aCaller);
  void Send(caller_row& aCaller, call_row aCall);

  const soak_caller_settings mSettings;
  std::atomic<bool> mIsStopping = false;
  std::vector<std::unique_ptr<caller_row>> mCallers;
};

} // namespace bulrush::test

#endif
