#ifndef BULRUSH_TESTS_SUPPORT_RELAY_TABLE_HPP
#define BULRUSH_TESTS_SUPPORT_RELAY_TABLE_HPP

/// What a relay of links tells the programs under test, in a file that all map
/// into memory. Machines are known by the last byte of their address.

#include <array>
#include <atomic>
#include <cstdint>

namespace bulrush::test {

/// Environment variables of a program: the file, and its machine's address.
inline constexpr const char* kRelayTableVariable = "BULRUSH_TEST_RELAY_TABLE";
inline constexpr const char* kRelaySourceVariable = "BULRUSH_TEST_RELAY_SOURCE";

constexpr std::size_t kRelayMachines = 256;

struct relay_table
{
  std::uint16_t linkPort = 0;
  std::uint16_t relayPort = 0;  ///< of the relay, at the target's address
  std::uint16_t silentPort = 0; ///< on 127.0.0.1; drops each connection attempt
  std::array<std::atomic<bool>, kRelayMachines> isListening{};
  std::array<std::atomic<bool>, kRelayMachines * kRelayMachines> isCut{};

  std::atomic<bool>& IsCut(std::uint8_t aFrom, std::uint8_t aTo)
  {
    return isCut[aFrom * kRelayMachines + aTo];
  }
};
static_assert(std::atomic<bool>::is_always_lock_free);

} // namespace bulrush::test

#endif
