#include "entry/tables.hpp"

#include <catch2/catch.hpp>

#include <map>

namespace bulrush::entry {
namespace {

/// Entry hosts that all found the same control processes by seeds.
struct control_choice_fixture
{
  static constexpr int kHosts = 80;
  static constexpr int kControls = 4;
  steady_time now = steady_time{} + std::chrono::hours{ 1 };

  entry_tables HostNamed(const std::string& aName, steady_time aLastSeen) const
  {
    entry_tables tables;
    tables.self.name = aName;
    tables.spreadsReports = true;
    for (int i = 0; i < kControls; ++i) {
      control_row control;
      control.address = "10.0.0." + std::to_string(i + 1) + ":7100";
      control.id = IdOf<replica_id>(control.address);
      control.preference = static_cast<std::size_t>(i);
      control.lastSeen = aLastSeen;
      tables.controls.Insert(control);
    }
    return tables;
  }

  /// No process gets more than twice its equal share.
  void CheckSpread(steady_time aLastSeen) const
  {
    std::map<std::string, int> reports;
    for (int i = 0; i < kHosts; ++i) {
      const entry_tables tables =
        HostNamed("host-" + std::to_string(i), aLastSeen);
      ++reports[CurrentControl(tables, now)->address];
    }
    for (const auto& [address, count] : reports) {
      INFO(address);
      CHECK(count <= 2 * kHosts / kControls);
    }
  }
};

TEST_CASE_METHOD(control_choice_fixture,
                 "Hosts_WithTheSameSeeds_SpreadOverControlProcesses",
                 "[entry]")
{
  CheckSpread(now);
}

TEST_CASE_METHOD(control_choice_fixture,
                 "Hosts_WithoutAnUpdate_StartAtDifferentControlProcesses",
                 "[entry]")
{
  CheckSpread(steady_time{});
}

} // namespace
} // namespace bulrush::entry
