#include "support/core_fleet.hpp"
#include "support/route_probes.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <set>
#include <sstream>
#include <thread>

namespace bulrush::test {
namespace {

using std::chrono::milliseconds;

/// Configurations older than this many are taken for newer ones.
constexpr int kServices = 12;
constexpr milliseconds kConfigureInterval{ 1'000 };
constexpr milliseconds kStepInterval{ 20 };
/// From a request to its answer, at most.
constexpr milliseconds kAnswerTime{ 1'000 };
constexpr milliseconds kSettleTime{ 4'000 };
constexpr int kCutHostsAtOnce = 2;

std::uint64_t
ReadSetting(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::stoull(text);
}

struct configuration_row
{
  int number = 0;
  steady_time sentAt;
  steady_time acknowledgedAt = steady_time::max();
};

/// A kill, a start, a cut or a heal; without a host, one of the core.
struct disturbance_row
{
  steady_time at;
  std::optional<std::size_t> host;
  std::string text;
};

/// A host has no control process that it knows and that knows the newest
/// configuration.
struct gap_row
{
  std::size_t host = 0;
  steady_time from;
  steady_time until = steady_time::max();
};

/// Directions of a cut link.
enum class cut_ways
{
  eBoth,
  eThere,
  eBack
};

struct host_cut
{
  std::set<std::size_t> controls; ///< indices, also of those replaced since
  std::vector<std::string> ips;   ///< all that are cut
  cut_ways ways = cut_ways::eBoth;
};

/// Three control processes and eight hosts whose links are cut and healed while
/// control processes are exchanged and configurations change.
class cut_links_fixture
{
public:
  void RunTroubles();
  void CheckRequests() const;

protected:
  const std::uint64_t mSeed = ReadSetting("BULRUSH_CUTS_SEED", 1);
  const std::chrono::seconds mTime{ ReadSetting("BULRUSH_CUTS_SECONDS", 35) };

private:
  struct violation
  {
    steady_time first;
    steady_time last;
    int requests = 0;
    std::string service;
    int expected = 0;
  };

  milliseconds Draw(milliseconds aFrom, milliseconds aUntil);
  std::size_t DrawIndex(std::size_t aCount);
  void After(milliseconds aWait, std::function<void()> aAction);
  void Note(std::optional<std::size_t> aHost, const std::string& aText);
  void SetLink(const std::string& aFrom,
               const std::string& aTo,
               cut_ways aWays,
               bool aIsCut) const;
  void CutHost(std::size_t aLine);
  void HealHost(std::size_t aLine, std::size_t aHost);
  void DisturbCore();
  void Exchange();
  void CutControl();
  void SetControlLinks(std::size_t aControl, cut_ways aWays, bool aIsCut);
  void UpdateGaps();
  void Configure();

  bool IsCalm(std::size_t aHost, steady_time aAt) const;
  std::vector<violation> FindViolations(std::size_t aHost, int& aJudged) const;
  bool IsAllowed(const route_probe& aProbe, int aOldest) const;
  std::string Describe(std::size_t aHost,
                       const std::vector<violation>& aFound) const;
  double Seconds(steady_time aTime) const;

  const std::vector<std::string> mDomains{ "north", "south", "west" };
  core_fleet mRunning{ mDomains, 1, 8, core_links::eRelayed };
  std::mt19937 mRandom{ static_cast<unsigned>(mSeed) };
  std::unique_ptr<route_probes> mProbes;
  steady_time mStartedAt;
  std::multimap<steady_time, std::function<void()>> mActions;
  std::vector<disturbance_row> mDisturbances;
  std::vector<gap_row> mGaps;
  std::map<std::size_t, host_cut> mCuts; ///< by host
  std::optional<std::size_t> mIsolated;  ///< control process
  std::size_t mNextExchange = 0;

  // of the thread that changes the configuration
  std::mutex mMutex;
  std::vector<std::string> mControlIps;
  std::vector<configuration_row> mConfigurations;
  std::string mFailure;
  std::atomic<bool> mIsEnding = false;
};

milliseconds
cut_links_fixture::Draw(milliseconds aFrom, milliseconds aUntil)
{
  return aFrom + milliseconds{ mRandom() % (aUntil - aFrom).count() };
}

std::size_t
cut_links_fixture::DrawIndex(std::size_t aCount)
{
  return mRandom() % aCount;
}

void
cut_links_fixture::After(milliseconds aWait, std::function<void()> aAction)
{
  mActions.emplace(net::Now() + aWait, std::move(aAction));
}

double
cut_links_fixture::Seconds(steady_time aTime) const
{
  return std::chrono::duration<double>(aTime - mStartedAt).count();
}

void
cut_links_fixture::Note(std::optional<std::size_t> aHost,
                        const std::string& aText)
{
  mDisturbances.push_back({ net::Now(), aHost, aText });
}

void
cut_links_fixture::SetLink(const std::string& aFrom,
                           const std::string& aTo,
                           cut_ways aWays,
                           bool aIsCut) const
{
  const auto set = [&](const std::string& aSource, const std::string& aTarget) {
    aIsCut ? mRunning.relay->Cut(aSource, aTarget)
           : mRunning.relay->Heal(aSource, aTarget);
  };
  if (aWays != cut_ways::eBack) {
    set(aFrom, aTo);
  }
  if (aWays != cut_ways::eThere) {
    set(aTo, aFrom);
  }
}

std::string
Name(cut_ways aWays)
{
  return aWays == cut_ways::eBoth    ? "both ways"
         : aWays == cut_ways::eThere ? "from it"
                                     : "to it";
}

// Each line has hosts of its own, so that a host has one cut at a time.
void
cut_links_fixture::CutHost(std::size_t aLine)
{
  const std::size_t host =
    DrawIndex(mRunning.hosts.size() / kCutHostsAtOnce) * kCutHostsAtOnce +
    aLine;
  host_cut cut;
  cut.ways = static_cast<cut_ways>(DrawIndex(3));
  const std::size_t count = 1 + DrawIndex(mRunning.controls.size());
  while (cut.controls.size() < count) {
    cut.controls.insert(DrawIndex(mRunning.controls.size()));
  }
  std::string text = "cut " + Name(cut.ways) + " from";
  for (const std::size_t control : cut.controls) {
    cut.ips.push_back(mRunning.controls[control].ip);
    SetLink(mRunning.hosts[host].ip, cut.ips.back(), cut.ways, true);
    text += ' ' + cut.ips.back();
  }
  mCuts[host] = cut;
  Note(host, text);
  UpdateGaps();
  After(Draw(milliseconds{ 1'000 }, milliseconds{ 6'000 }),
        [this, aLine, host] { HealHost(aLine, host); });
}

void
cut_links_fixture::HealHost(std::size_t aLine, std::size_t aHost)
{
  const host_cut cut = mCuts[aHost];
  mCuts.erase(aHost);
  for (const std::string& ip : cut.ips) {
    SetLink(mRunning.hosts[aHost].ip, ip, cut.ways, false);
  }
  Note(aHost, "healed");
  UpdateGaps();
  // long enough for the host to learn of a control process that is new
  After(Draw(kContactTime, 2 * kContactTime),
        [this, aLine] { CutHost(aLine); });
}

void
cut_links_fixture::DisturbCore()
{
  DrawIndex(3) == 0 ? CutControl() : Exchange();
}

void
cut_links_fixture::Exchange()
{
  const std::size_t index = mNextExchange++ % mRunning.controls.size();
  machine& control = mRunning.controls[index];
  std::string text = "exchanged " + control.ip;
  mRunning.KillControl(control);
  {
    const std::lock_guard lock(mMutex);
    control.ip = mRunning.NextIp();
    mControlIps[index] = control.ip;
  }
  for (auto& [host, cut] : mCuts) {
    // a host without a network has none to new machines either
    if (cut.controls.size() == mRunning.controls.size()) {
      cut.ips.push_back(control.ip);
      SetLink(mRunning.hosts[host].ip, control.ip, cut.ways, true);
    }
    cut.controls.insert(index); // the host may not know the new one
  }
  mRunning.WriteSeeds();
  mRunning.StartControl(control);
  mProbes->SetControls(mRunning.ControlAddresses());
  text += " for " + control.ip;
  Note(std::nullopt, text);
  UpdateGaps();
  After(Draw(milliseconds{ 7'000 }, milliseconds{ 9'000 }),
        [this] { DisturbCore(); });
}

void
cut_links_fixture::SetControlLinks(std::size_t aControl,
                                   cut_ways aWays,
                                   bool aIsCut)
{
  for (const machine& other : mRunning.controls) {
    if (&other != &mRunning.controls[aControl]) {
      SetLink(mRunning.controls[aControl].ip, other.ip, aWays, aIsCut);
    }
  }
}

void
cut_links_fixture::CutControl()
{
  const std::size_t control = DrawIndex(mRunning.controls.size());
  const auto ways = static_cast<cut_ways>(DrawIndex(3));
  SetControlLinks(control, ways, true);
  mIsolated = control;
  Note(std::nullopt,
       "cut " + mRunning.controls[control].ip + ' ' + Name(ways) +
         " from the other control processes");
  UpdateGaps();
  After(Draw(milliseconds{ 1'000 }, milliseconds{ 6'000 }),
        [this, control, ways] {
          SetControlLinks(control, ways, false);
          mIsolated.reset();
          Note(std::nullopt, "healed " + mRunning.controls[control].ip);
          UpdateGaps();
          After(Draw(kSettleTime, 2 * kSettleTime), [this] { DisturbCore(); });
        });
}

void
cut_links_fixture::UpdateGaps()
{
  for (std::size_t host = 0; host < mRunning.hosts.size(); ++host) {
    const auto cut = mCuts.find(host);
    bool isInTouch = cut == mCuts.end();
    for (std::size_t i = 0; !isInTouch && i < mRunning.controls.size(); ++i) {
      isInTouch = !cut->second.controls.contains(i) && mIsolated != i;
    }
    const auto open = std::ranges::find_if(mGaps, [&](const gap_row& aGap) {
      return aGap.host == host && aGap.until == steady_time::max();
    });
    if (isInTouch && open != mGaps.end()) {
      open->until = net::Now();
    } else if (!isInTouch && open == mGaps.end()) {
      mGaps.push_back({ host, net::Now() });
    }
  }
}

// In a thread of its own, as an acknowledgement may take long.
void
cut_links_fixture::Configure()
{
  while (!mIsEnding) {
    std::vector<machine> controls;
    {
      const std::lock_guard lock(mMutex);
      for (const std::string& ip : mControlIps) {
        controls.push_back({ ip, "", nullptr });
      }
      mConfigurations.push_back({ mRunning.LastNumber() + 1, net::Now() });
    }
    std::vector<const machine*> addresses;
    addresses.reserve(controls.size());
    for (const machine& control : controls) {
      addresses.push_back(&control);
    }
    const int first = mRunning.LastNumber() % static_cast<int>(controls.size());
    std::rotate(addresses.begin(), addresses.begin() + first, addresses.end());
    try {
      mRunning.Configure(addresses);
    } catch (const std::exception& error) {
      mFailure = error.what();
      return;
    }
    {
      const std::lock_guard lock(mMutex);
      mConfigurations.back().acknowledgedAt = net::Now();
    }
    std::this_thread::sleep_for(kConfigureInterval);
  }
}

void
cut_links_fixture::RunTroubles()
{
  mRunning.relay->silentEnds =
    mSeed % 2 == 0 ? silent_ends::eKeep : silent_ends::eTimeOut;
  mRunning.configuration = [](int aNumber) {
    return ProbedConfigurationAmong(kServices, aNumber);
  };
  for (const machine& control : mRunning.controls) {
    mControlIps.push_back(control.ip);
  }
  mProbes = std::make_unique<route_probes>(
    mRunning.ControlAddresses(), mRunning.HostAddresses(), mDomains, kServices);
  mRunning.Configure();
  REQUIRE(WaitUntil([this] {
    std::set<std::size_t> serving;
    for (const route_probe& probe : mProbes->Answered()) {
      if (!probe.service.empty()) {
        serving.insert(probe.host);
      }
    }
    return serving.size() == mRunning.hosts.size();
  }));
  mStartedAt = net::Now();
  Note(std::nullopt, "started");
  std::thread operators([this] { Configure(); });
  for (std::size_t line = 0; line < kCutHostsAtOnce; ++line) {
    After(Draw(kContactTime, 2 * kContactTime),
          [this, line] { CutHost(line); });
  }
  After(kSettleTime, [this] { DisturbCore(); });
  while (net::Now() < mStartedAt + mTime) {
    while (mActions.begin()->first <= net::Now()) {
      const std::function<void()> action = mActions.begin()->second;
      mActions.erase(mActions.begin());
      action();
    }
    std::this_thread::sleep_for(kStepInterval);
  }
  mIsEnding = true;
  operators.join();
}

bool
cut_links_fixture::IsCalm(std::size_t aHost, steady_time aAt) const
{
  const bool isDisturbed =
    std::ranges::any_of(mDisturbances, [&](const disturbance_row& aRow) {
      return aRow.host.value_or(aHost) == aHost && aAt > aRow.at &&
             aAt < aRow.at + kContactTime;
    });
  const bool isInGap = std::ranges::any_of(mGaps, [&](const gap_row& aGap) {
    return aGap.host == aHost && aAt > aGap.from && aAt < aGap.until;
  });
  return !isDisturbed && !isInGap;
}

// Whether a configuration names the service that was in force or that may have
// come into force until the answer.
bool
cut_links_fixture::IsAllowed(const route_probe& aProbe, int aOldest) const
{
  return std::ranges::any_of(
    mConfigurations, [&](const configuration_row& aRow) {
      return aRow.number >= aOldest &&
             aRow.sentAt < aProbe.sentAt + kAnswerTime &&
             aProbe.service == ProbedService(aRow.number, kServices);
    });
}

std::vector<cut_links_fixture::violation>
cut_links_fixture::FindViolations(std::size_t aHost, int& aJudged) const
{
  std::vector<violation> found;
  for (const route_probe& probe : mProbes->Answered()) {
    int oldest = 0;
    for (const configuration_row& row : mConfigurations) {
      // not a sum, as the time of those without acknowledgement is the greatest
      if (row.acknowledgedAt < probe.sentAt - kApplyTime) {
        oldest = row.number;
      }
    }
    if (probe.host != aHost || probe.service.empty() || oldest == 0 ||
        !IsCalm(aHost, probe.sentAt)) {
      continue;
    }
    ++aJudged;
    if (IsAllowed(probe, oldest)) {
      continue;
    }
    if (found.empty() || found.back().service != probe.service ||
        found.back().expected != oldest) {
      found.push_back({ probe.sentAt, probe.sentAt, 0, probe.service, oldest });
    }
    found.back().first = std::min(found.back().first, probe.sentAt);
    found.back().last = std::max(found.back().last, probe.sentAt);
    ++found.back().requests;
  }
  return found;
}

std::string
cut_links_fixture::Describe(std::size_t aHost,
                            const std::vector<violation>& aFound) const
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(2);
  text << "host " << mRunning.hosts[aHost].ip << '\n';
  for (const violation& each : aFound) {
    text << each.requests << " requests from " << Seconds(each.first) << " to "
         << Seconds(each.last) << " s ran on " << each.service << ", expected "
         << ProbedService(each.expected, kServices) << " or later\n";
  }
  for (const disturbance_row& row : mDisturbances) {
    if (row.host.value_or(aHost) == aHost) {
      text << Seconds(row.at) << ' ' << row.text << '\n';
    }
  }
  for (const configuration_row& row : mConfigurations) {
    text << "configuration " << row.number << " sent " << Seconds(row.sentAt)
         << " acknowledged "
         << (row.acknowledgedAt == steady_time::max()
               ? -1
               : Seconds(row.acknowledgedAt))
         << '\n';
  }
  text << mRunning.hosts[aHost].program->Log() << '\n';
  return text.str();
}

void
cut_links_fixture::CheckRequests() const
{
  INFO("seed " << mSeed);
  INFO(mFailure);
  CHECK(mFailure.empty());
  int judgedInAll = 0;
  for (std::size_t host = 0; host < mRunning.hosts.size(); ++host) {
    int judged = 0;
    const std::vector<violation> found = FindViolations(host, judged);
    INFO((found.empty() ? "" : Describe(host, found)));
    CHECK(found.empty());
    CHECK(judged > 0);
    judgedInAll += judged;
  }
  std::cout << "cut links: seed " << mSeed << ", " << judgedInAll
            << " requests judged, " << mConfigurations.size()
            << " configurations, " << mDisturbances.size() << " disturbances, "
            << mGaps.size() << " times without a core\n";
}

// Guards against hosts that follow a control process without a link to the
// others, or that wait for one behind a cut link.
TEST_CASE_METHOD(cut_links_fixture,
                 "Hosts_WhenLinksAreCutAndHealed_FollowInTime",
                 "[process][core]")
{
  RunTroubles();
  CheckRequests();
}

} // namespace
} // namespace bulrush::test
