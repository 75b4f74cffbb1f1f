#ifndef BULRUSH_TESTS_QUARANTINE_FIXTURE_HPP
#define BULRUSH_TESTS_QUARANTINE_FIXTURE_HPP

/// Tables of one host, and helpers for what it observes.

#include "quarantine/quarantine.hpp"

#include <catch2/catch.hpp>

namespace bulrush::quarantine {

using std::chrono::milliseconds;

struct quarantine_fixture
{
  const part_id kFirst{ 0x11 };
  const part_id kOther{ 0x22 };
  const part_id kBad{ 0xbad };
  const part_id kVictim{ 0x33 };
  tables host;
  steady_time now = steady_time{} + std::chrono::hours{ 100 };

  static std::vector<part_id> Parts(std::vector<part_id> aParts)
  {
    return aParts;
  }
  static std::function<bool(part_id)> Never()
  {
    return [](part_id) { return false; };
  }
  static std::function<bool(part_id)> Always()
  {
    return [](part_id) { return true; };
  }

  void Crash(std::uint64_t aEndpoint, const std::vector<part_id>& aParts)
  {
    RecordCrash(host, { endpoint_id{ aEndpoint }, 7, now }, aParts);
  }
  void Answer(const std::vector<part_id>& aParts)
  {
    RecordAnswer(host, aParts, now);
  }
  void Condemn(part_id aPart)
  {
    for (std::uint64_t endpoint = 1;
         endpoint <= host.settings.crashesToQuarantine;
         ++endpoint) {
      Crash(endpoint, { aPart });
    }
  }
  verdict_kind Kind(const std::vector<part_id>& aParts) const
  {
    return Judge(host, aParts, false, Never(), now).kind;
  }
};

} // namespace bulrush::quarantine

#endif
