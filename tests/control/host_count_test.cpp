#include "control/tables.hpp"

#include <catch2/catch.hpp>

namespace bulrush::control {
namespace {

/// The leader, and two other control processes that send it the hosts that
/// report to them.
struct host_count_fixture
{
  control_tables tables;
  steady_time now = steady_time{} + std::chrono::hours{ 1 };
  std::uint64_t lastPosition = 0;

  host_count_fixture()
  {
    tables.self.name = "control-0";
    tables.self.domain = "north";
    tables.wallClock = [] { return wall_time{}; };
    tables.log.propose = [this](std::string aPayload, last_reason&) {
      const position_id position{ ++lastPosition };
      tables.committed.push_back({ position, std::move(aPayload), false });
      return std::optional(position);
    };
    tables.log.isLeader = [](steady_time) { return true; };
    tables.log.isCaughtUp = [](steady_time) { return true; };
    tables.log.leaderName = [this] { return tables.self.name; };
    tables.log.term = [] { return std::uint64_t{ 1 }; };
    for (const std::string name : { "control-1", "control-2" }) {
      control_row control;
      control.id = IdOf<replica_id>(name);
      control.name = name;
      tables.controls.Insert(control);
    }
    fleet_command command;
    apply_manifest change;
    change.text = R"({"name":"test","version":"1","number":1,
      "failure_domains":[{"name":"north"}]})";
    command.change = change;
    last_reason reason;
    tables.log.propose(wire::EncodeCommand(command), reason);
  }

  void Receive(const std::string& aSender, wire::message_body aBody)
  {
    received_message input;
    input.peer = aSender;
    input.message.sender = aSender;
    input.message.incarnation = 1;
    input.message.body = std::move(aBody);
    tables.inbox.push_back(std::move(input));
  }

  /// Passes some seconds without further messages.
  void Run(std::chrono::seconds aTime)
  {
    for (const steady_time end = now + aTime; now < end;
         now += std::chrono::milliseconds{ 100 }) {
      control_outbox out;
      RunControl(tables, now, out);
    }
  }
};

TEST_CASE_METHOD(host_count_fixture,
                 "Host_ThatReportedToSeveralControlProcesses_CountsOnce",
                 "[control]")
{
  wire::host_report report;
  report.domain = "north";
  Receive("host-1", report);
  Receive("host-2", report);
  wire::endpoint_gossip gossip;
  gossip.reporting = { IdOf<host_id>("host-1"), IdOf<host_id>("host-2") };
  Receive("control-1", gossip);
  gossip.reporting.push_back(IdOf<host_id>("host-3"));
  Receive("control-2", gossip);
  Run(std::chrono::seconds{ 3 });
  CHECK(tables.fleet.hosts == 3);
}

TEST_CASE_METHOD(host_count_fixture,
                 "Host_WhoseFormerConnectionStillDelivers_CountsOnce",
                 "[control]")
{
  wire::host_report report;
  report.domain = "north";
  Receive("host-1", report);
  Receive("host-1", report);
  tables.inbox.back().peer = "generated";
  Run(std::chrono::seconds{ 3 });
  CHECK(tables.fleet.hosts == 1);
}

} // namespace
} // namespace bulrush::control
