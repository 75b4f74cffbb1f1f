#include "model_fleet_fixture.hpp"
#include "support/raw_connection.hpp"

#include <csignal>
#include <thread>

namespace bulrush::test {
namespace {

using nlohmann::json;

const std::string kTakeOut = "/Evacuate.Start/north";
const std::string kBringBack = "/Evacuate.Finish/north";
/// For a process to read what arrived while it was suspended.
constexpr std::chrono::milliseconds kReadTime{ 1'500 };

/// Three control processes, one of which is suspended while calls are made.
struct late_calls_fixture : model_fleet_fixture
{
  // Repeated at each process in turn, as an operator does.
  void Order(const std::string& aPath, std::size_t aWithout)
  {
    std::size_t next = 0;
    REQUIRE(WaitUntil([&] {
      const std::size_t control = next++ % running.controls.size();
      return control != aWithout &&
             SendHttpRequest(
               "POST", "http://" + running.ControlHttpAddress(control) + aPath)
                 .status == 200;
    }));
  }

  // Sends the call, and closes the connection without reading an answer.
  void SendAndLeave(const std::string& aPath, std::size_t aControl) const
  {
    const raw_connection call(running.ControlHttpAddress(aControl));
    REQUIRE(call.IsConnected());
    call.Send("POST " + aPath + " HTTP/1.1\r\nHost: h\r\n" +
              "Content-Length: 0\r\n\r\n");
  }

  bool IsListed(const std::string& aEndpoint) const
  {
    const json status = running.Status();
    for (const json& row : status["endpoints"]) {
      if (row["name"] == aEndpoint) {
        return true;
      }
    }
    return false;
  }

  bool IsOut() const
  {
    const json status = running.Status();
    for (const json& row : status["domains"]) {
      if (row["name"] == "north") {
        return row["out"];
      }
    }
    return false;
  }
};

// Guards against a call that its caller gave up, read after a suspension and
// taken for a new one: it undid a newer evacuation.
TEST_CASE_METHOD(late_calls_fixture,
                 "Evacuation_WhenASuspendedProcessReadsAnOlderOrder_Stays",
                 "[process][late]")
{
  constexpr std::size_t kNone = SIZE_MAX;
  for (std::size_t control = 0; control < running.controls.size(); ++control) {
    INFO("control " << control);
    Order(kTakeOut, kNone);
    running.controls[control]->Signal(SIGSTOP);
    SendAndLeave(kBringBack, control);
    std::this_thread::sleep_for(std::chrono::milliseconds{ 200 });
    Order(kBringBack, control);
    Order(kTakeOut, control);
    running.controls[control]->Signal(SIGCONT);
    std::this_thread::sleep_for(kReadTime);
    CHECK(IsOut());
    const std::string log = running.controls[control]->Log();
    INFO(log);
    CHECK(log.find("late_call_dropped") != std::string::npos);
  }
}

// A server may say that it leaves and exit without reading the answer.
TEST_CASE_METHOD(late_calls_fixture,
                 "Removal_WhoseServerExitsAtOnce_IsApplied",
                 "[process][late]")
{
  const json report = { { "service", "desk" }, { "address", "127.0.0.1:9" },
                        { "zone", "north" },   { "version", "v1" },
                        { "slots", 4 },        { "state", "ready" },
                        { "sequence", 1 },     { "born", 1 } };
  REQUIRE(WaitUntil([&] {
    return SendHttpRequest("POST",
                           "http://" + running.ControlHttpAddress(0) +
                             "/Instances.Heartbeat/i-1",
                           { "Content-Type: application/json" },
                           report.dump())
             .status == 200;
  }));
  REQUIRE(WaitUntil([&] { return IsListed("i-1"); }));
  // Suspended, the process reads the call with the end of its connection.
  running.controls[0]->Signal(SIGSTOP);
  SendAndLeave("/Instances.Deregister/i-1", 0);
  std::this_thread::sleep_for(std::chrono::milliseconds{ 100 });
  running.controls[0]->Signal(SIGCONT);
  // Well before the endpoint would be removed for its silence.
  CHECK(WaitUntil([&] { return !IsListed("i-1"); },
                  std::chrono::milliseconds{ 1'000 }));
}

} // namespace
} // namespace bulrush::test
