#include "support/processes.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <random>
#include <thread>

namespace bulrush::test {
namespace {

using std::chrono::milliseconds;

/// Within this time after its acknowledgement a configuration is in force.
constexpr milliseconds kApplyTime{ 2'000 };
/// After a disturbance of the control processes; hosts are in touch from then.
constexpr milliseconds kContactTime{ 3'000 };
constexpr std::size_t kHosts = 8;
constexpr std::size_t kExchanges = 12;

/// A program at an address of its own.
struct machine
{
  std::string ip;
  std::unique_ptr<process> program;
};

/// Three control processes that are found by seeds, at addresses of their own
/// and with the same ports, and hosts that know only the first three.
struct exchanged_core_fixture
{
  const std::vector<std::string> domains{ "north", "south", "west" };
  std::filesystem::path folder;
  std::string net;
  int lastAddress = 0;
  int lastNumber = 0;
  const std::uint16_t linkPort = FreePort();
  const std::uint16_t httpPort = FreePort();
  const std::uint16_t listenPort = FreePort();
  const std::uint16_t metricsPort = FreePort();
  std::vector<machine> controls;
  std::vector<machine> hosts;

  exchanged_core_fixture()
  {
    std::string name =
      (std::filesystem::temp_directory_path() / "bulrush-core-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    folder = name;
    std::random_device random;
    net = "127." + std::to_string(1 + random() % 250) + "." +
          std::to_string(1 + random() % 250) + ".";
    for (std::size_t i = 0; i < domains.size(); ++i) {
      controls.push_back({ NextIp(), nullptr });
    }
    const std::string seeds = Seeds();
    for (std::size_t i = 0; i < domains.size(); ++i) {
      StartControl(i, seeds, true);
    }
    for (std::size_t i = 0; i < kHosts; ++i) {
      StartHost(seeds);
    }
  }
  ~exchanged_core_fixture()
  {
    controls.clear();
    hosts.clear();
    std::error_code ignored; // the folder is temporary in any case
    std::filesystem::remove_all(folder, ignored);
  }
  exchanged_core_fixture(const exchanged_core_fixture&) = delete;
  exchanged_core_fixture& operator=(const exchanged_core_fixture&) = delete;

  std::string NextIp() { return net + std::to_string(++lastAddress); }

  static std::string At(const machine& aMachine, std::uint16_t aPort)
  {
    return aMachine.ip + ":" + std::to_string(aPort);
  }

  std::string Seeds() const
  {
    std::string seeds;
    for (const machine& control : controls) {
      seeds += (seeds.empty() ? "" : ",") + At(control, httpPort);
    }
    return seeds;
  }

  void StartControl(std::size_t aIndex,
                    const std::string& aSeeds,
                    bool aIsFirstStart)
  {
    machine& control = controls[aIndex];
    const auto data = folder / control.ip;
    std::filesystem::create_directories(data);
    control.program = std::make_unique<process>(
      "bulrush-control",
      std::vector<std::string>{ "--domain",
                                domains[aIndex],
                                "--domains",
                                "north,south,west",
                                "--listen",
                                At(control, linkPort),
                                "--http-listen",
                                At(control, httpPort),
                                "--front-end",
                                "platform",
                                "--seeds",
                                aSeeds,
                                aIsFirstStart ? "--first-start=true"
                                              : "--first-start=false",
                                "--data",
                                data.string() },
      folder);
  }

  void StartHost(const std::string& aSeeds)
  {
    machine host{ NextIp(), nullptr };
    host.program = std::make_unique<process>(
      "bulrush-entry",
      std::vector<std::string>{ "--name",
                                "host-" + std::to_string(hosts.size()),
                                "--domain",
                                domains[hosts.size() % domains.size()],
                                "--listen",
                                At(host, listenPort),
                                "--metrics-listen",
                                At(host, metricsPort),
                                "--front-end",
                                "platform",
                                "--serve-without-lease",
                                "--seeds",
                                aSeeds,
                                "--seed-port",
                                std::to_string(linkPort) },
      folder);
    hosts.push_back(std::move(host));
  }

  // Repeated at each control process in turn, as an operator does.
  void Configure()
  {
    const std::string configuration = EmptyConfiguration(++lastNumber);
    std::size_t next = 0;
    REQUIRE(WaitUntil([&] {
      const machine& control = controls[next++ % controls.size()];
      return control.program &&
             SendHttpRequest("POST",
                             "http://" + At(control, httpPort) +
                               "/Config.Replace",
                             { "Content-Type: application/json" },
                             configuration)
                 .status == 200;
    }));
  }

  // Number of the configuration in force at a host.
  int NumberAt(const machine& aHost) const
  {
    const std::string name = "\nbulrush_entry_manifest_number";
    const std::string page =
      SendHttpRequest("GET", "http://" + At(aHost, metricsPort) + "/metrics")
        .body;
    const std::size_t line = page.find(name);
    const std::size_t value = page.find(' ', line + 1);
    return line == std::string::npos ? 0 : std::atoi(page.c_str() + value);
  }

  void CheckAllHosts() const
  {
    for (const machine& host : hosts) {
      const int number = NumberAt(host);
      INFO("host " << host.ip << " at " << number << " of " << lastNumber
                   << '\n'
                   << (number < lastNumber ? host.program->Log() : ""));
      CHECK(number == lastNumber);
    }
  }
};

// Guards against hosts that look for a control process among those that are
// gone: they ran an older configuration for seconds, or for good.
TEST_CASE_METHOD(exchanged_core_fixture,
                 "Hosts_WhenTheCoreIsExchangedAgainAndAgain_FollowInTime",
                 "[process][core]")
{
  Configure();
  for (std::size_t i = 0; i < kExchanges; ++i) {
    const std::size_t index = i % controls.size();
    INFO("exchange " << i);
    controls[index].program.reset();
    const auto exchangedAt = std::chrono::steady_clock::now();
    controls[index].ip = NextIp();
    StartControl(index, Seeds(), false);
    Configure();
    const auto acknowledgedAt = std::chrono::steady_clock::now();
    std::this_thread::sleep_until(
      std::max(exchangedAt + kContactTime, acknowledgedAt + kApplyTime));
    CheckAllHosts();
  }
}

} // namespace
} // namespace bulrush::test
