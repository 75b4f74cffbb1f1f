#include "support/process_memory.hpp"
#include "support/processes.hpp"
#include "support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <future>

namespace bulrush::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Default of memory-limit.
constexpr std::size_t kLimit = 256 * kMegabyte;
/// What a node may spend for control.
constexpr std::size_t kRestLimit = 64 * kMegabyte;
constexpr std::size_t kMaxBodyBytes = 4 * kMegabyte;
constexpr int kCallers = 100;
constexpr milliseconds kSoundInterval{ 100 };

// A control process of the platform's protocol, without any entry host.
struct control_memory_fixture
{
  const std::string address = "127.0.0.1:" + std::to_string(FreePort());
  const std::string metrics = "127.0.0.1:" + std::to_string(FreePort());
  const std::string sound =
    R"({"service":"desk","address":"127.0.0.1:9","zone":"a","slots":4,)"
    R"("state":"ready","sequence":4,"born":1700000000000)";
  std::filesystem::path folder =
    std::filesystem::temp_directory_path() /
    ("bulrush-control-memory-" + std::to_string(FreePort()));
  std::unique_ptr<process> control;

  control_memory_fixture()
  {
    std::filesystem::create_directories(folder / "data");
    control = std::make_unique<process>(
      "bulrush-control",
      std::vector<std::string>{ "--name",
                                "c",
                                "--domain",
                                "a",
                                "--domains",
                                "a",
                                "--listen",
                                "127.0.0.1:" + std::to_string(FreePort()),
                                "--http-listen",
                                address,
                                "--metrics-listen",
                                metrics,
                                "--front-end",
                                "platform",
                                "--data",
                                (folder / "data").string() },
      folder);
    REQUIRE(WaitUntil([&] { return Heartbeat("i-0", sound + "}") == 200; }));
  }

  ~control_memory_fixture()
  {
    control.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
  }

  int Heartbeat(const std::string& aId, const std::string& aBody) const
  {
    return SendHttpRequest("POST",
                           "http://" + address + "/Instances.Heartbeat/" + aId,
                           {},
                           aBody)
      .status;
  }

  std::string MetricsPage() const
  {
    return SendHttpRequest("GET", "http://" + metrics + "/metrics").body;
  }

  std::size_t Memory(const std::string& aName) const
  {
    return MemoryBytes(control->Pid(), aName);
  }

  /// Sends sound heartbeats at a steady rate for aTime; each has to be
  /// answered.
  void RequireSoundHeartbeats(milliseconds aTime) const
  {
    const auto end = steady_clock::now() + aTime;
    while (steady_clock::now() < end) {
      const auto start = steady_clock::now();
      REQUIRE(Heartbeat("i-0", sound + "}") == 200);
      WaitUntil([&] { return steady_clock::now() > start + kSoundInterval; });
    }
  }

  void RequireMemory() const
  {
    REQUIRE(control->IsRunning());
    UNSCOPED_INFO("peak " << Memory("VmHWM") / kMegabyte << " MB");
    CHECK(Memory("VmHWM") < kLimit);
    const bool isFreed = WaitUntil([&] { return Memory("VmRSS") < kRestLimit; },
                                   milliseconds(2'000));
    INFO("rest " << Memory("VmRSS") / kMegabyte << " MB");
    CHECK(isFreed);
  }
};

// Callers that have sent all but the last byte of a heartbeat.
struct unfinished_heartbeats_fixture : control_memory_fixture
{
  const std::string head = "POST /Instances.Heartbeat/i-9 HTTP/1.1\r\n"
                           "Host: h\r\nContent-Length: " +
                           std::to_string(kMaxBodyBytes) + "\r\n\r\n";
  const std::string body = std::string(kMaxBodyBytes - 1, ' ');
  std::vector<std::unique_ptr<raw_connection>> callers;
  std::vector<std::future<void>> sends;

  ~unfinished_heartbeats_fixture() { Leave(); }

  /// @param aAddresses that the callers share.
  void Send(int aAddresses)
  {
    for (int i = 0; i < kCallers; ++i) {
      callers.push_back(std::make_unique<raw_connection>(
        address, "127.0.0." + std::to_string(2 + i % aAddresses)));
      REQUIRE(callers.back()->IsConnected());
      sends.push_back(
        std::async(std::launch::async, [this, caller = callers.back().get()] {
          caller->Send(head + body);
        }));
    }
  }

  void Leave()
  {
    for (const auto& caller : callers) {
      caller->CloseSending();
    }
    sends.clear();
    callers.clear();
  }
};

TEST_CASE_METHOD(unfinished_heartbeats_fixture,
                 "Control_WhenHeartbeatsLackTheirLastByte_StaysWithinMemory",
                 "[process][memory]")
{
  for (const int addresses : { 1, 20 }) {
    INFO(addresses << " addresses");
    ResetPeak(control->Pid());
    Send(addresses);
    RequireSoundHeartbeats(std::chrono::seconds(4));
    Leave();
    RequireMemory();
    CHECK(Heartbeat("i-1", sound + "}" + std::string(kMaxBodyBytes / 2, ' ')) ==
          200);
  }
  CHECK(MetricsPage().find("bulrush_held_budget_bytes 107") !=
        std::string::npos);
}

TEST_CASE_METHOD(unfinished_heartbeats_fixture,
                 "Control_WithoutRoomForAHeartbeat_RefusesItWithARetryTime",
                 "[process][memory]")
{
  Send(20);
  std::string answer;
  const bool isRefused = WaitUntil([&] {
    const raw_connection late(address, "127.0.0.99");
    late.Send(head + "{");
    milliseconds wait{ 200 };
    answer = WaitUntil([&] { return late.HasInput(); }, wait)
               ? late.ReadUntil("\r\n\r\n")
               : "";
    return !answer.empty();
  });
  INFO(answer << MetricsPage());
  REQUIRE(isRefused);
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("Retry-After: 1\r\n") != std::string::npos);
  CHECK(WaitUntil([&] {
    const std::string log = control->Log();
    return log.find("call_refused caller=127.0.0.99:") != std::string::npos &&
           log.find(" path=/Instances.Heartbeat/i-9 ") != std::string::npos;
  }));
  CHECK(MetricsPage().find("bulrush_held_refused 0\n") == std::string::npos);
  RequireSoundHeartbeats(std::chrono::seconds(1));
}

// Its text is far smaller than what a parser makes of it.
TEST_CASE_METHOD(control_memory_fixture,
                 "Control_WhenAHeartbeatHoldsManySmallValues_StaysWithinMemory",
                 "[process][memory]")
{
  const auto fill = [](const std::string& aValue) {
    std::string list = "[" + aValue;
    while (list.size() + aValue.size() + 1 < kMaxBodyBytes - 1'024) {
      list += "," + aValue;
    }
    return list + "]";
  };
  for (const char* value : { "0", "[]", "{}", R"({"":0})", R"("")" }) {
    INFO(value);
    ResetPeak(control->Pid());
    for (const char* field : { "models", "other" }) {
      Heartbeat("i-9", sound + ",\"" + field + "\":" + fill(value) + "}");
    }
    RequireMemory();
    CHECK(Heartbeat("i-0", sound + "}") == 200);
  }
}

} // namespace
} // namespace bulrush::test
