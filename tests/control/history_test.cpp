#include "observe/observe.hpp"
#include "simulated_fleet.hpp"

#include <catch2/catch.hpp>

#include <random>

namespace bulrush::control {
namespace {

using std::chrono::milliseconds;

/// A random history of a fleet: links that lose messages for a while, processes
/// that start again, endpoints that report late, to other processes, leave and
/// go, and new manifests.
struct history_fixture
{
  static constexpr int kControls = 3;
  static constexpr int kHosts = 4;
  static constexpr int kEndpoints = 4;
  static constexpr milliseconds kTrouble{ 6'000 };
  /// The shortest bound for a configuration or a leaving server to take effect.
  static constexpr milliseconds kBound{ 2'000 };
  static constexpr milliseconds kReportInterval{ 400 };

  struct endpoint
  {
    std::string name;
    std::string control; ///< that it reports to
    std::uint64_t sequence = 0;
    bool isLeaving = false;
    bool isGone = false;
    steady_time nextReport{};
  };
  /// A report that arrives later than it was sent.
  struct late_report
  {
    steady_time at;
    endpoint sent;
  };

  simulated_fleet fleet{ kControls, kHosts };
  std::mt19937_64 random;
  std::vector<endpoint> endpoints;
  std::vector<late_report> late;
  std::map<std::pair<std::string, std::string>, steady_time> lossy;
  int number = 0;

  int Draw(int aBelow)
  {
    return std::uniform_int_distribution<int>(0, aBelow - 1)(random);
  }
  std::string AnyControl()
  {
    return "control-" + std::to_string(Draw(kControls));
  }
  std::string AnyHost() { return "host-" + std::to_string(Draw(kHosts)); }

  history_fixture() { SetLogLevel(log_level::eWarning); }
  ~history_fixture() { SetLogLevel(log_level::eInfo); }
  history_fixture(const history_fixture&) = delete;
  history_fixture& operator=(const history_fixture&) = delete;

  void SetUp(std::uint64_t aSeed)
  {
    random.seed(aSeed);
    for (int i = 0; i < kEndpoints; ++i) {
      endpoints.push_back(
        { "engine" + std::string(static_cast<std::size_t>(i), 'x'),
          AnyControl() });
    }
    fleet.isLost = [this](const simulated_message& aMessage) {
      const auto until = lossy.find(std::minmax(aMessage.from, aMessage.to));
      return until != lossy.end() && fleet.now < until->second;
    };
  }

  void Send(const endpoint& aEndpoint)
  {
    fleet.Report(aEndpoint.control,
                 aEndpoint.sequence,
                 aEndpoint.isLeaving,
                 aEndpoint.name);
  }

  // One in ten reports is up to two seconds late.
  void SendReports(bool aMayBeLate)
  {
    for (endpoint& each : endpoints) {
      if (each.isGone || fleet.now < each.nextReport) {
        continue;
      }
      each.nextReport = fleet.now + kReportInterval;
      ++each.sequence;
      if (aMayBeLate && Draw(10) == 0) {
        late.push_back({ fleet.now + milliseconds{ Draw(2'000) }, each });
      } else {
        Send(each);
      }
    }
    std::erase_if(late, [this](const late_report& aReport) {
      if (aReport.at > fleet.now) {
        return false;
      }
      Send(aReport.sent);
      return true;
    });
  }

  // Calls one process after the other until one acknowledges.
  void Leave(endpoint& aEndpoint)
  {
    for (int i = 0; i < kControls && !aEndpoint.isGone; ++i) {
      aEndpoint.isGone = fleet.Deregister(AnyControl(), aEndpoint.name);
    }
  }

  void Disturb()
  {
    endpoint& any = endpoints[static_cast<std::size_t>(Draw(kEndpoints))];
    switch (Draw(60)) {
      case 0:
      case 1:
      case 2:
      case 3:
        lossy[std::minmax(AnyControl(),
                          Draw(2) == 0 ? AnyHost() : AnyControl())] =
          fleet.now + milliseconds{ 50 + Draw(1'500) };
        break;
      case 4:
        fleet.RestartHost(AnyHost());
        break;
      case 5:
      case 6:
        any.control = AnyControl();
        break;
      case 7:
      case 8:
        fleet.ApplyManifest(++number);
        break;
      case 9:
        any.isLeaving = any.isLeaving || Draw(4) == 0;
        break;
      case 10:
        if (!any.isGone && Draw(4) == 0) {
          Leave(any);
        }
        break;
      default:
        break;
    }
  }

  void RunHistory()
  {
    fleet.ApplyManifest(++number);
    for (const steady_time end = fleet.now + kTrouble; fleet.now < end;) {
      Disturb();
      SendReports(true);
      fleet.Run(simulated_fleet::kStep);
    }
    lossy.clear();
    for (const steady_time end = fleet.now + kBound; fleet.now < end;) {
      SendReports(false);
      fleet.Run(simulated_fleet::kStep);
    }
  }
};

TEST_CASE_METHOD(history_fixture,
                 "Hosts_WithinTheBoundAfterRandomTrouble_AgreeWithTheFleet",
                 "[control]")
{
  const auto seed = GENERATE(range(1, 101));
  INFO("seed " << seed);
  SetUp(static_cast<std::uint64_t>(seed));
  RunHistory();
  for (auto& [name, host] : fleet.hosts) {
    INFO(name);
    CHECK(fleet.NumberAt(name) == static_cast<std::uint64_t>(number));
    for (const endpoint& each : endpoints) {
      INFO(each.name << (each.isGone ? " gone" : "")
                     << (each.isLeaving ? " leaving" : ""));
      CHECK(fleet.IsUsed(name, each.name) == !(each.isLeaving || each.isGone));
    }
  }
}

} // namespace
} // namespace bulrush::control
