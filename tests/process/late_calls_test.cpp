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

  // Sends the call to a process that is suspended, and gives it up.
  void OrderInVain(const std::string& aPath, std::size_t aControl) const
  {
    const raw_connection call(running.ControlHttpAddress(aControl));
    REQUIRE(call.IsConnected());
    call.Send("POST " + aPath + " HTTP/1.1\r\nHost: h\r\n" +
              "Content-Length: 0\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds{ 200 });
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
    OrderInVain(kBringBack, control);
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

} // namespace
} // namespace bulrush::test
