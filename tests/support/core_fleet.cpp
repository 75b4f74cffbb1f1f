#include "support/core_fleet.hpp"

#include "support/durable_disk.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace bulrush::test {
namespace {

constexpr int kSubnets = 250;

std::string
Join(const std::vector<std::string>& aWords)
{
  std::string text;
  for (const std::string& word : aWords) {
    text += (text.empty() ? "" : ",") + word;
  }
  return text;
}

} // namespace

core_fleet::core_fleet(std::vector<std::string> aDomains,
                       std::size_t aControlsPerDomain,
                       std::size_t aHosts,
                       core_links aLinks)
  : mDomains(std::move(aDomains))
{
  std::string name =
    (std::filesystem::temp_directory_path() / "bulrush-core-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  mFolder = name;
  if (aLinks == core_links::eRelayed) {
    relay = std::make_unique<link_relay>(mFolder / "relay", mLinkPort);
  }
  std::random_device random;
  mNet = "127." + std::to_string(1 + random() % kSubnets) + "." +
         std::to_string(1 + random() % kSubnets) + ".";
  for (std::size_t i = 0; i < aControlsPerDomain * mDomains.size(); ++i) {
    controls.push_back({ NextIp(), mDomains[i % mDomains.size()], nullptr });
  }
  for (machine& control : controls) {
    StartControl(control, true);
  }
  for (std::size_t i = 0; i < aHosts; ++i) {
    hosts.push_back({ NextIp(), mDomains[i % mDomains.size()], nullptr });
    StartHost(hosts.back());
  }
}

core_fleet::~core_fleet()
{
  controls.clear();
  hosts.clear();
  std::error_code ignored; // the folder is temporary in any case
  std::filesystem::remove_all(mFolder, ignored);
}

std::string
core_fleet::NextIp()
{
  return mNet + std::to_string(++mLastAddress);
}

// aPreloaded: of the library that the machine's program needs in any case.
std::vector<std::string>
core_fleet::EnvironmentOf(const machine& aMachine, std::string aPreloaded) const
{
  std::vector<std::string> environment;
  if (relay) {
    environment = relay->EnvironmentOf(aMachine.ip);
    aPreloaded += aPreloaded.empty() ? "" : ":";
    aPreloaded += BULRUSH_RELAYED_LINKS;
  }
  if (!aPreloaded.empty()) {
    environment.push_back("LD_PRELOAD=" + aPreloaded);
  }
  return environment;
}

std::string
core_fleet::At(const machine& aMachine, std::uint16_t aPort) const
{
  return aMachine.ip + ":" + std::to_string(aPort);
}

std::string
core_fleet::Seeds() const
{
  std::vector<std::string> seeds;
  for (std::size_t i = 0; i < mDomains.size(); ++i) {
    seeds.push_back(At(controls[i], mHttpPort));
  }
  return Join(seeds);
}

std::filesystem::path
core_fleet::DataOf(const machine& aControl) const
{
  return mFolder / "data" / aControl.ip;
}

std::filesystem::path
core_fleet::RecordOf(const machine& aControl) const
{
  return mFolder / "durable" / aControl.ip;
}

std::filesystem::path
core_fleet::SettingsOf(const machine& aMachine) const
{
  return mFolder / (aMachine.ip + ".ini");
}

void
core_fleet::WriteSettings(const machine& aMachine) const
{
  std::ofstream(SettingsOf(aMachine)) << "seeds = " << Seeds() << '\n';
}

void
core_fleet::WriteSeeds() const
{
  for (const std::vector<machine>* machines : { &controls, &hosts }) {
    for (const machine& each : *machines) {
      WriteSettings(each);
    }
  }
}

void
core_fleet::Exchange(machine& aControl)
{
  KillControl(aControl);
  aControl.ip = NextIp();
  WriteSeeds();
  StartControl(aControl);
}

void
core_fleet::StartControl(machine& aControl, bool aIsFirstStart)
{
  WriteSettings(aControl);
  const auto data = DataOf(aControl);
  std::filesystem::create_directories(data);
  std::filesystem::create_directories(RecordOf(aControl));
  std::vector<std::string> environment =
    EnvironmentOf(aControl, BULRUSH_DURABLE_DISK);
  environment.push_back(std::string(kDurableDiskVariable) + "=" +
                        RecordOf(aControl).string());
  if (relay) {
    relay->AddTarget(aControl.ip);
  }
  aControl.program = std::make_unique<process>(
    "bulrush-control",
    std::vector<std::string>{ "--config",
                              SettingsOf(aControl).string(),
                              "--domain",
                              aControl.domain,
                              "--domains",
                              Join(mDomains),
                              "--listen",
                              At(aControl, mLinkPort),
                              "--http-listen",
                              At(aControl, mHttpPort),
                              "--front-end",
                              "platform",
                              aIsFirstStart ? "--first-start=true"
                                            : "--first-start=false",
                              "--data",
                              data.string() },
    mFolder,
    environment);
}

void
core_fleet::KillControl(machine& aControl) const
{
  if (relay) {
    relay->HandleKill(aControl.ip);
  }
  aControl.program.reset();
}

void
core_fleet::StartHost(machine& aHost)
{
  WriteSettings(aHost);
  const auto index = std::to_string(&aHost - hosts.data());
  aHost.program = std::make_unique<process>(
    "bulrush-entry",
    std::vector<std::string>{ "--config",
                              SettingsOf(aHost).string(),
                              "--name",
                              "host-" + index,
                              "--domain",
                              aHost.domain,
                              "--listen",
                              At(aHost, mListenPort),
                              "--metrics-listen",
                              At(aHost, mMetricsPort),
                              "--front-end",
                              "platform",
                              "--serve-without-lease",
                              "--seed-port",
                              std::to_string(mLinkPort) },
    mFolder,
    EnvironmentOf(aHost, ""));
}

void
core_fleet::LosePower(const std::string& aDomain)
{
  for (std::vector<machine>* machines : { &controls, &hosts }) {
    for (const machine& each : *machines) {
      each.program->Signal(SIGKILL);
    }
  }
  for (std::vector<machine>* machines : { &controls, &hosts }) {
    for (machine& each : *machines) {
      each.program.reset();
    }
  }
  for (const machine& control : controls) {
    if (control.domain == aDomain) {
      std::filesystem::remove_all(DataOf(control));
      std::filesystem::remove_all(RecordOf(control));
    } else {
      test::LosePower(RecordOf(control), DataOf(control));
    }
  }
}

void
core_fleet::StartAll(std::mt19937& aRandom)
{
  std::vector<std::pair<machine*, bool>> stopped;
  for (machine& control : controls) {
    stopped.emplace_back(&control, true);
  }
  for (machine& host : hosts) {
    stopped.emplace_back(&host, false);
  }
  std::erase_if(
    stopped, [](const auto& aEach) { return aEach.first->program != nullptr; });
  std::ranges::shuffle(stopped, aRandom);
  for (const auto& [each, isControl] : stopped) {
    isControl ? StartControl(*each) : StartHost(*each);
  }
}

void
core_fleet::Configure(const std::vector<const machine*>& aControls)
{
  const std::string text = configuration(++mLastNumber);
  std::size_t next = 0;
  const bool isAcknowledged = WaitUntil([&] {
    const machine& control = *aControls[next++ % aControls.size()];
    return SendHttpRequest("POST",
                           "http://" + At(control, mHttpPort) +
                             "/Config.Replace",
                           { "Content-Type: application/json" },
                           text)
             .status == 200;
  });
  if (!isAcknowledged) {
    throw std::runtime_error("no control process acknowledged configuration " +
                             std::to_string(mLastNumber) + '\n' +
                             ControlLogs());
  }
}

void
core_fleet::Configure()
{
  std::vector<const machine*> running;
  for (const machine& control : controls) {
    if (control.program) {
      running.push_back(&control);
    }
  }
  Configure(running);
}

std::optional<int>
core_fleet::ReadNumber(const machine& aControl) const
{
  const http_answer answer = SendHttpRequest(
    "GET", "http://" + At(aControl, mHttpPort) + "/Config.Read");
  if (answer.status != 200) {
    return std::nullopt;
  }
  return nlohmann::json::parse(answer.body).at("version").get<int>();
}

int
core_fleet::NumberAt(const machine& aHost) const
{
  const std::string name = "\nbulrush_entry_manifest_number";
  const std::string page =
    SendHttpRequest("GET", "http://" + At(aHost, mMetricsPort) + "/metrics")
      .body;
  const std::size_t line = page.find(name);
  const std::size_t value = page.find(' ', line + 1);
  return line == std::string::npos ? 0 : std::atoi(page.c_str() + value);
}

std::vector<std::string>
core_fleet::ControlAddresses() const
{
  std::vector<std::string> addresses;
  for (const machine& control : controls) {
    addresses.push_back(At(control, mHttpPort));
  }
  return addresses;
}

std::vector<std::string>
core_fleet::HostAddresses() const
{
  std::vector<std::string> addresses;
  for (const machine& host : hosts) {
    addresses.push_back(At(host, mListenPort));
  }
  return addresses;
}

std::string
core_fleet::ControlLogs() const
{
  std::string logs;
  for (const machine& control : controls) {
    if (control.program) {
      logs += control.ip + " of " + control.domain + '\n' +
              control.program->Log() + '\n';
    }
  }
  return logs;
}

std::string
core_fleet::LeaderIp(const machine& aControl) const
{
  const std::string field = "leader control=";
  const std::string log = aControl.program->Log();
  const std::size_t found = log.rfind(field);
  if (found == std::string::npos) {
    return "";
  }
  const std::size_t from = found + field.size();
  return log.substr(from, log.find(':', from) - from);
}

} // namespace bulrush::test
