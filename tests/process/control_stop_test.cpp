#include "support/processes.hpp"
#include "support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <cstring>
#include <future>

namespace bulrush::test {
namespace {

using nlohmann::json;

constexpr std::size_t kControls = 3;
/// For a call to be read by the process that it was sent to.
constexpr std::chrono::milliseconds kReadTime{ 200 };

/// Three control processes that serve HTTP calls of servers and operators.
struct control_stop_fixture
{
  std::vector<std::uint16_t> linkPorts;
  std::vector<std::uint16_t> httpPorts;
  std::filesystem::path folder;
  std::vector<std::unique_ptr<process>> controls;
  std::size_t leader = 0;

  control_stop_fixture()
  {
    std::string name =
      (std::filesystem::temp_directory_path() / "bulrush-stop-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    folder = name;
    for (std::size_t i = 0; i < kControls; ++i) {
      linkPorts.push_back(FreePort());
      httpPorts.push_back(FreePort());
    }
    for (std::size_t i = 0; i < kControls; ++i) {
      Start(i);
    }
    REQUIRE(WaitUntil([this] {
      return Call(0, "POST", "/Config.Replace", EmptyConfiguration(1)).status ==
             200;
    }));
    REQUIRE(WaitUntil([this] { return FindLeader(); }));
  }
  ~control_stop_fixture()
  {
    controls.clear();
    std::error_code ignored; // the folder is temporary in any case
    std::filesystem::remove_all(folder, ignored);
  }
  control_stop_fixture(const control_stop_fixture&) = delete;
  control_stop_fixture& operator=(const control_stop_fixture&) = delete;

  static std::string Address(std::uint16_t aPort)
  {
    return "127.0.0.1:" + std::to_string(aPort);
  }
  static std::string Name(std::size_t aIndex)
  {
    return "control-" + std::to_string(aIndex);
  }

  void Start(std::size_t aIndex)
  {
    std::string peers;
    for (std::size_t i = 0; i < kControls; ++i) {
      if (i != aIndex) {
        peers += peers.empty() ? "" : ",";
        peers += Name(i) + "=" + Address(linkPorts[i]);
      }
    }
    const auto data = folder / Name(aIndex);
    std::filesystem::create_directories(data);
    controls.push_back(std::make_unique<process>(
      "bulrush-control",
      std::vector<std::string>{ "--name",
                                Name(aIndex),
                                "--domain",
                                "domain-a",
                                "--domains",
                                "domain-a",
                                "--listen",
                                Address(linkPorts[aIndex]),
                                "--http-listen",
                                Address(httpPorts[aIndex]),
                                "--front-end",
                                "platform",
                                "--peers",
                                peers,
                                "--data",
                                data.string() },
      folder));
  }

  static std::string Heartbeat(int aSequence)
  {
    return json{
      { "service", "desk" },
      { "address", "127.0.0.1:9" },
      { "zone", "domain-a" },
      { "version", "v1" },
      { "slots", 4 },
      { "state", "ready" },
      { "models", json::array() },
      { "sequence", aSequence },
      { "born", 1 }
    }.dump();
  }

  http_answer Call(std::size_t aControl,
                   const std::string& aMethod,
                   const std::string& aPath,
                   const std::string& aBody) const
  {
    return SendHttpRequest(aMethod,
                           "http://" + Address(httpPorts[aControl]) + aPath,
                           { "Content-Type: application/json" },
                           aBody);
  }

  static void SendHeartbeat(const raw_connection& aConnection, int aSequence)
  {
    const std::string body = Heartbeat(aSequence);
    aConnection.Send("POST /Instances.Heartbeat/i-1 HTTP/1.1\r\nHost: h\r\n"
                     "Content-Type: application/json\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  // Each process logs the leaders that it sees, in turn.
  bool FindLeader()
  {
    const std::string log = controls[0]->Log();
    const std::size_t last = log.rfind("control=control-");
    if (last == std::string::npos) {
      return false;
    }
    leader = static_cast<std::size_t>(
      log[last + std::strlen("control=control-")] - '0');
    return leader < kControls;
  }
  std::size_t Follower() const { return (leader + 1) % kControls; }
};

TEST_CASE_METHOD(control_stop_fixture,
                 "OpenConfiguration_WhenAFollowerIsStopped_IsAnswered",
                 "[process]")
{
  const std::size_t follower = Follower();
  controls[leader]->Signal(SIGSTOP);
  auto change = std::async(std::launch::async, [&] {
    return Call(follower, "POST", "/Config.Replace", EmptyConfiguration(2));
  });
  CHECK(change.wait_for(kReadTime) == std::future_status::timeout);
  controls[follower]->Signal(SIGTERM);
  CHECK(change.wait_for(kReadTime) == std::future_status::timeout);
  controls[leader]->Signal(SIGCONT);
  const http_answer answer = change.get();
  INFO(answer.error);
  CHECK((answer.status == 200 || answer.status == 503));
  CHECK(controls[follower]->Wait() == 0);
}

TEST_CASE_METHOD(control_stop_fixture,
                 "Heartbeat_OnAKeptConnectionDuringAStop_IsRefused",
                 "[process]")
{
  const std::size_t follower = Follower();
  const raw_connection kept(Address(httpPorts[follower]));
  SendHeartbeat(kept, 1);
  const std::string first = kept.ReadUntil("\r\n\r\n{}");
  INFO(first);
  REQUIRE(first.starts_with("HTTP/1.1 200"));
  controls[leader]->Signal(SIGSTOP);
  auto change = std::async(std::launch::async, [&] {
    return Call(follower, "POST", "/Config.Replace", EmptyConfiguration(2));
  });
  CHECK(change.wait_for(kReadTime) == std::future_status::timeout);
  controls[follower]->Signal(SIGTERM);
  CHECK(change.wait_for(kReadTime) == std::future_status::timeout);
  SendHeartbeat(kept, 2);
  const auto answer = kept.ReadToEnd();
  controls[leader]->Signal(SIGCONT);
  REQUIRE(answer);
  CHECK(answer->starts_with("HTTP/1.1 503"));
  CHECK(answer->find("Connection: close") != std::string::npos);
  CHECK(change.get().status != 0);
  CHECK(controls[follower]->Wait() == 0);
}

TEST_CASE_METHOD(control_stop_fixture,
                 "Control_WhenStoppedWithNothingOpen_StopsSoon",
                 "[process]")
{
  for (const std::size_t stopped : { Follower(), leader }) {
    const auto begin = std::chrono::steady_clock::now();
    controls[stopped]->Signal(SIGTERM);
    CHECK(controls[stopped]->Wait() == 0);
    // A tenth of the default grace period; idle processes need far less.
    CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds{ 3 });
  }
}

} // namespace
} // namespace bulrush::test
