#include "entry/tables.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <set>

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

TEST_CASE_METHOD(control_choice_fixture,
                 "Host_WithoutAnAnswerToItsReport_ReportsToOthersSoon",
                 "[entry]")
{
  entry_tables tables = HostNamed("host", now);
  std::vector<std::string> reportedTo;
  for (int i = 0; i < 10; ++i) {
    entry_outbox out;
    RunEntryControl(tables, now, out);
    for (const outgoing& message : out.messages) {
      if (std::holds_alternative<wire::host_report>(message.body)) {
        reportedTo.push_back(message.controlAddress);
      }
    }
    now += std::chrono::milliseconds{ 100 };
  }
  // Within a second each process that is left of four has been tried, so that a
  // change reaches the host in time even if three of them are cut off.
  const std::set<std::string> tried(reportedTo.begin(), reportedTo.end());
  CHECK(tried.size() >= 3);
}

} // namespace
} // namespace bulrush::entry
