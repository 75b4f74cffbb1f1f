#ifndef BULRUSH_TESTS_SUPPORT_CORE_FLEET_HPP
#define BULRUSH_TESTS_SUPPORT_CORE_FLEET_HPP

/// Control processes and hosts that find each other by seeds, as on the
/// platform: each machine has an address of its own on loopback, and all have
/// the same ports.

#include "support/link_relay.hpp"
#include "support/processes.hpp"

#include <random>

namespace bulrush::test {

/// Within this time after its acknowledgement a configuration is in force.
constexpr std::chrono::milliseconds kApplyTime{ 2'000 };
/// After a disturbance of the control processes; hosts are in touch from then.
constexpr std::chrono::milliseconds kContactTime{ 3'000 };

/// A program at an address of its own.
struct machine
{
  std::string ip;
  std::string domain;
  std::unique_ptr<process> program;
};

/// Whether links pass through a relay that can cut them.
enum class core_links
{
  eDirect,
  eRelayed
};

class core_fleet
{
public:
  /// Starts all processes for the first time. The first control process of each
  /// domain is a seed.
  core_fleet(std::vector<std::string> aDomains,
             std::size_t aControlsPerDomain,
             std::size_t aHosts,
             core_links aLinks = core_links::eDirect);
  ~core_fleet();
  core_fleet(const core_fleet&) = delete;
  core_fleet& operator=(const core_fleet&) = delete;

  /// An address that no machine of this fleet has had.
  std::string NextIp();
  /// Starts a control process with its data folder; the seeds are those of now.
  void StartControl(machine& aControl, bool aIsFirstStart = false);
  void StartHost(machine& aHost);
  void KillControl(machine& aControl) const;
  /// Writes the seeds of now into the settings of all machines, as the platform
  /// does after an exchange.
  void WriteSeeds() const;
  /// Replaces a control machine by one with an empty disk at a new address.
  void Exchange(machine& aControl);

  /// Kills all processes. Control processes keep only what they have synced,
  /// and those of aDomain lose their disks.
  void LosePower(const std::string& aDomain);
  /// Starts all that do not run, in an order drawn by aRandom.
  void StartAll(std::mt19937& aRandom);

  /// Sends a new configuration to each control process in turn, as an operator
  /// does, until one acknowledges it.
  void Configure(const std::vector<const machine*>& aControls);
  /// The same, sent to any running control process.
  void Configure();
  /// Number of the configuration that was acknowledged last.
  int LastNumber() const { return mLastNumber; }
  /// Number of the configuration that a control process reads back; nullopt: it
  /// refuses.
  std::optional<int> ReadNumber(const machine& aControl) const;
  /// Number of the configuration in force at a host; zero: none.
  int NumberAt(const machine& aHost) const;
  /// Logs of all running control processes since their latest start.
  std::string ControlLogs() const;
  /// Of the control process that leads, as aControl logged it last.
  std::string LeaderIp(const machine& aControl) const;

  /// Addresses for calls of servers and operators, and for callers.
  std::vector<std::string> ControlAddresses() const;
  std::vector<std::string> HostAddresses() const;

  std::vector<machine> controls; ///< the first of each domain come first
  std::vector<machine> hosts;
  std::unique_ptr<link_relay> relay; ///< null: links are direct
  /// Text of the configuration with a number.
  std::function<std::string(int aNumber)> configuration = EmptyConfiguration;

private:
  std::vector<std::string> EnvironmentOf(const machine& aMachine,
                                         std::string aPreloaded) const;
  std::string At(const machine& aMachine, std::uint16_t aPort) const;
  std::string Seeds() const;
  std::filesystem::path SettingsOf(const machine& aMachine) const;
  void WriteSettings(const machine& aMachine) const;
  std::filesystem::path DataOf(const machine& aControl) const;
  std::filesystem::path RecordOf(const machine& aControl) const;

  std::vector<std::string> mDomains;
  std::filesystem::path mFolder;
  std::string mNet;
  int mLastAddress = 0;
  int mLastNumber = 0;
  const std::uint16_t mLinkPort = FreePort();
  const std::uint16_t mHttpPort = FreePort();
  const std::uint16_t mListenPort = FreePort();
  const std::uint16_t mMetricsPort = FreePort();
};

} // namespace bulrush::test

#endif
