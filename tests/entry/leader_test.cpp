#include "entry/tables.hpp"

#include <catch2/catch.hpp>

namespace bulrush::entry {
namespace {

/// An entry host with updates of several control processes.
struct leader_fixture
{
  entry_tables tables;
  steady_time now = steady_time{} + std::chrono::hours{ 1 };

  void Receive(const std::string& aLeader, std::uint64_t aTerm)
  {
    wire::host_update update;
    update.leader = aLeader;
    update.term = aTerm;
    wire::message message;
    message.sender = "control";
    message.body = update;
    tables.inbox.push_back(message);
    entry_outbox out;
    RunEntryControl(tables, now, out);
  }
};

TEST_CASE_METHOD(leader_fixture,
                 "Host_ReceivingThePreviousLeadersName_KeepsTheNewOne",
                 "[entry]")
{
  Receive("control-1", 3);
  CHECK(tables.leader == "control-1");
  Receive("control-2", 4);
  CHECK(tables.leader == "control-2");
  Receive("control-1", 3);
  CHECK(tables.leader == "control-2");
}

} // namespace
} // namespace bulrush::entry
