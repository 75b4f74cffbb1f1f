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
  static constexpr int kExchangedControls = 12;
  static constexpr std::chrono::milliseconds kTick{ 100 };
  steady_time now = steady_time{} + std::chrono::hours{ 1 };

  entry_tables HostNamed(const std::string& aName,
                         steady_time aLastSeen,
                         int aControls = kControls) const
  {
    entry_tables tables;
    tables.self.name = aName;
    tables.spreadsReports = true;
    for (int i = 0; i < aControls; ++i) {
      control_row control;
      control.address = "10.0.0." + std::to_string(i + 1) + ":7100";
      control.id = IdOf<replica_id>(control.address);
      control.preference = static_cast<std::size_t>(i);
      control.lastSeen = aLastSeen;
      tables.controls.Insert(control);
    }
    return tables;
  }

  /// Addresses that are reported to within aTime, in order.
  std::vector<std::string> ReportsOf(entry_tables& aTables,
                                     std::chrono::milliseconds aTime)
  {
    std::vector<std::string> reportedTo;
    for (const steady_time end = now + aTime; now < end; now += kTick) {
      entry_outbox out;
      RunEntryControl(aTables, now, out);
      for (const outgoing& message : out.messages) {
        if (std::holds_alternative<wire::host_report>(message.body)) {
          reportedTo.push_back(message.controlAddress);
        }
      }
    }
    return reportedTo;
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
  const std::vector<std::string> reportedTo =
    ReportsOf(tables, std::chrono::seconds{ 1 });
  // Within a second each process that is left of four has been tried, so that a
  // change reaches the host in time even if three of them are cut off.
  const std::set<std::string> tried(reportedTo.begin(), reportedTo.end());
  CHECK(tried.size() >= 3);
}

// Guards against a search among control hosts that were replaced: it took
// longer than a configuration may take to be in force.
TEST_CASE_METHOD(control_choice_fixture,
                 "Host_WhoseControlIsLost_ReportsOnlyWhereItHasALink",
                 "[entry]")
{
  entry_tables tables =
    HostNamed("host", steady_time{}, kExchangedControls + 2);
  const std::set<std::string> linked{ "10.0.0.5:7100", "10.0.0.14:7100" };
  tables.canSend = [&linked](const control_row& aControl) {
    return linked.contains(aControl.address);
  };
  const std::vector<std::string> reportedTo =
    ReportsOf(tables, std::chrono::milliseconds{ 700 });
  CHECK(std::set<std::string>(reportedTo.begin(), reportedTo.end()) == linked);
}

TEST_CASE_METHOD(control_choice_fixture,
                 "Host_WithoutAnyLink_StillReportsToAll",
                 "[entry]")
{
  entry_tables tables = HostNamed("host", steady_time{});
  tables.canSend = [](const control_row&) { return false; };
  const std::vector<std::string> reportedTo =
    ReportsOf(tables, std::chrono::seconds{ 2 });
  const std::set<std::string> tried(reportedTo.begin(), reportedTo.end());
  CHECK(tried.size() == kControls);
}

// Guards against a start that lasts for the time of a lost report, as no link
// is up yet when the first one is sent.
TEST_CASE_METHOD(control_choice_fixture,
                 "Host_WhoseLinksComeUp_ReportsAtOnce",
                 "[entry]")
{
  constexpr std::chrono::milliseconds kStep{ 10 };
  constexpr std::chrono::milliseconds kLinkTime{ 60 };
  entry_tables tables = HostNamed("host", steady_time{});
  const steady_time upAt = now + kLinkTime;
  tables.canSend = [&](const control_row&) { return now >= upAt; };
  bool isReported = false;
  for (; now < upAt + kLinkTime; now += kStep) {
    entry_outbox out;
    RunEntryControl(tables, now, out);
    isReported = isReported || (now >= upAt && !out.messages.empty());
  }
  CHECK(isReported);
}

// Guards against rows and links of control processes that were exchanged.
TEST_CASE_METHOD(control_choice_fixture,
                 "Control_ThatNoProcessListsAnyMore_IsDropped",
                 "[entry]")
{
  entry_tables tables = HostNamed("host", now);
  for (control_row& control : tables.controls) {
    control.isFound = true;
    control.listedAt = now;
  }
  const std::string sender = tables.controls.begin()->address;
  const std::string gone = (tables.controls.end() - 1)->address;
  entry_outbox out;
  for (int i = 0; i < 2; ++i) {
    wire::host_update update;
    update.isCaughtUp = true;
    update.leader = sender;
    for (const control_row& control : tables.controls) {
      if (control.address != gone) {
        update.controls.push_back({ control.address, control.address });
      }
    }
    tables.inbox.push_back({ sender, 1, std::move(update) });
    RunEntryControl(tables, now, out);
    CHECK(out.lostLinks.size() == static_cast<std::size_t>(i));
    now += std::chrono::seconds{ 30 };
  }
  CHECK(tables.controls.Size() == kControls - 1);
  CHECK(out.lostLinks == std::vector{ gone });
}

} // namespace
} // namespace bulrush::entry
