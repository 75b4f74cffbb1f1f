#include "support/soak_checks.hpp"
#include "support/soak_troubles.hpp"

#include "net/net.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>

namespace bulrush::test {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kSoakTime{ 12 };
constexpr std::chrono::milliseconds kTick{ 20 };
constexpr std::chrono::milliseconds kOperatorPause{ 400 };
constexpr int kReleaseDeadlineMs = 5'000;
/// Of ten calls, one uses a withdrawn key if there is one.
constexpr std::uint64_t kCallsPerWithdrawnKey = 10;

// The seeds of a run: BULRUSH_SOAK_SEEDS of them, from BULRUSH_SOAK_FIRST on.
std::uint64_t
ReadNumber(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::stoull(text);
}

/// Keys that callers use while an operator replaces them.
class soak_keys
{
public:
  std::string Choose(random_engine& aRandom)
  {
    const std::lock_guard guard(mLock);
    const bool usesWithdrawn =
      !mWithdrawn.empty() && aRandom() % kCallsPerWithdrawnKey == 0;
    return usesWithdrawn ? mLastWithdrawn : mCurrent;
  }

  void SetCurrent(const std::string& aKey)
  {
    const std::lock_guard guard(mLock);
    mCurrent = aKey;
  }

  std::string Current()
  {
    const std::lock_guard guard(mLock);
    return mCurrent;
  }

  void AddWithdrawn(const std::string& aKey, steady_time aAt)
  {
    const std::lock_guard guard(mLock);
    mWithdrawn[aKey] = aAt;
    mLastWithdrawn = aKey;
  }

  /// Whether the withdrawal was in force everywhere before aAt.
  bool IsWithdrawn(const std::string& aKey, steady_time aAt) const
  {
    const auto found = mWithdrawn.find(aKey);
    return found != mWithdrawn.end() && found->second < aAt;
  }

private:
  std::mutex mLock;
  std::string mCurrent;
  std::string mLastWithdrawn;
  std::map<std::string, steady_time> mWithdrawn;
};

// A fleet in three failure domains, whose processes are stopped, killed and
// suspended, and whose configuration changes, while callers use it.
class soak
{
public:
  explicit soak(std::uint64_t aSeed)
    : mSeed(aSeed)
    , mRunning(Options())
  {
    mRunning.Start();
    for (const std::string& domain : mDomains) {
      mDesks.push_back(mRunning.AddEndpoint(
        "desk-" + domain,
        domain,
        { "--services", "desk", "--first-token", "30ms" }));
      mRunning.AddEndpoint("engine-" + domain,
                           domain,
                           { "--memory",
                             "10000",
                             "--models",
                             "draft:1:1000",
                             "--cold-slots",
                             "8",
                             "--first-token",
                             "20ms",
                             "--per-token",
                             "5ms" });
    }
    mKeys.SetCurrent(mRunning.IssueKey("press"));
    REQUIRE(ServesAtEachHost("before"));
  }

  void Run()
  {
    soak_troubles troubles(mRunning, mSeed, net::Now() + kSoakTime);
    soak_callers callers(CallerSettings());
    std::thread operators([this] { Operate(); });
    while (troubles.Tick(net::Now())) {
      std::this_thread::sleep_for(kTick);
    }
    mIsOperatorStopping = true;
    operators.join();
    mCalls = callers.Stop();
    Check(troubles);
  }

private:
  fleet_options Options() const
  {
    constexpr std::uint64_t kMaxHostsPerDomain = 3;
    fleet_options options;
    options.domains = mDomains;
    options.entriesPerDomain = 1 + mSeed % kMaxHostsPerDomain;
    options.manifest = Manifest(1);
    options.entryArguments = { "--stop-delay", "300ms", "--stop-grace", "8s" };
    return options;
  }

  std::string Manifest(int aVersion) const
  {
    json manifest =
      json::parse(DefaultManifest(mDomains, std::to_string(aVersion)));
    manifest["models"][0]["version"] = "1";
    manifest["routes"][0]["deadline_ms"] = kReleaseDeadlineMs + aVersion;
    return manifest.dump();
  }

  soak_caller_settings CallerSettings()
  {
    soak_caller_settings settings;
    settings.seed = mSeed;
    for (std::size_t i = 0; i < mRunning.entries.size(); ++i) {
      settings.hosts.push_back(mRunning.EntryAddress(i));
    }
    settings.chooseKey = [this](random_engine& aRandom) {
      return mKeys.Choose(aRandom);
    };
    return settings;
  }

  // Changes of the configuration, which overlap with the troubles.
  void Operate()
  {
    random_engine random{ mSeed };
    int version = 1;
    while (!mIsOperatorStopping) {
      if (random() % 2 == 0) {
        ++version;
        const auto file =
          mRunning.folder / ("manifest-" + std::to_string(version) + ".json");
        std::ofstream(file) << Manifest(version);
        mRunning.Ctl({ "--timeout", "5s", "apply", file.string() });
      } else {
        ReplaceKey();
      }
      std::this_thread::sleep_for(kOperatorPause);
    }
  }

  void ReplaceKey()
  {
    const program_result issued =
      mRunning.Ctl({ "--timeout", "5s", "key", "issue", "press" });
    if (issued.exitCode != 0) {
      return;
    }
    const std::string replaced = mKeys.Current();
    mKeys.SetCurrent(issued.output.substr(0, issued.output.find('\n')));
    const program_result withdrawn =
      mRunning.Ctl({ "--timeout", "5s", "key", "withdraw", replaced });
    if (withdrawn.exitCode == 0) {
      mKeys.AddWithdrawn(replaced, net::Now());
      ++mWithdrawals;
    }
  }

  void Check(const soak_troubles& aTroubles)
  {
    const soak_facts facts{ [&aTroubles](const call_row& aCall) {
                             return aTroubles.WasKilled(
                               aCall.host, aCall.connectedAt, aCall.endedAt);
                           },
                            [this](const std::string& aKey, steady_time aAt) {
                              return mKeys.IsWithdrawn(aKey, aAt);
                            },
                            Runs() };
    std::vector<std::string> problems = FindProblems(mCalls, facts);
    problems.insert(
      problems.end(), aTroubles.Faults().begin(), aTroubles.Faults().end());
    if (!ServesAtEachHost("after")) {
      problems.push_back("no service at each host after the troubles");
    }
    Print(aTroubles, problems.size());
    if (!problems.empty()) {
      KeepLogs(aTroubles);
    }
    for (const std::string& problem : problems) {
      UNSCOPED_INFO(problem);
    }
    INFO("seed " << mSeed);
    CHECK(problems.empty());
  }

  std::map<std::string, int> Runs() const
  {
    std::map<std::string, int> runs;
    for (const std::string& address : mDesks) {
      const json stats = json::parse(
        SendHttpRequest("GET", "http://" + address + "/stats").body);
      for (const auto& [tag, count] : stats.at("runs_by_tag").items()) {
        runs[tag] += count.get<int>();
      }
    }
    return runs;
  }

  bool ServesAtEachHost(const std::string& aTag)
  {
    for (std::size_t host = 0; host < mRunning.entries.size(); ++host) {
      const bool isServing = WaitUntil([&] {
        const std::string key = mKeys.Current();
        return mRunning.Post(host, "/desk/releases", key, { { "tag", aTag } })
                   .status == 200 &&
               mRunning
                   .Post(host,
                         "/v1/completions",
                         key,
                         { { "model", "draft" }, { "max_tokens", 1 } })
                   .status == 200;
      });
      if (!isServing) {
        return false;
      }
    }
    return true;
  }

  void Print(const soak_troubles& aTroubles, std::size_t aProblems) const
  {
    std::map<int, int> statuses;
    for (const call_row& call : mCalls) {
      ++statuses[call.answer.status];
    }
    std::cout << "soak seed=" << mSeed << " hosts=" << mRunning.entries.size()
              << " events=" << aTroubles.Done().size()
              << " withdrawals=" << mWithdrawals << " calls=" << mCalls.size();
    for (const auto& [status, count] : statuses) {
      std::cout << " status_" << status << '=' << count;
    }
    std::cout << " problems=" << aProblems << std::endl;
  }

  // The folder of a fleet is removed with it.
  void KeepLogs(const soak_troubles& aTroubles) const
  {
    const auto kept = std::filesystem::temp_directory_path() /
                      ("bulrush-soak-" + std::to_string(mSeed));
    std::error_code ignored;
    std::filesystem::create_directories(kept, ignored);
    for (const auto& file :
         std::filesystem::directory_iterator(mRunning.folder)) {
      if (file.path().extension() == ".log") {
        std::filesystem::copy(file.path(),
                              kept,
                              std::filesystem::copy_options::overwrite_existing,
                              ignored);
      }
    }
    std::ofstream done(kept / "troubles");
    for (const std::string& line : aTroubles.Done()) {
      done << line << '\n';
    }
    std::cout << "soak seed=" << mSeed << " logs in " << kept << std::endl;
  }

  const std::uint64_t mSeed;
  const std::vector<std::string> mDomains{ "north", "south", "west" };
  fleet mRunning;
  std::vector<std::string> mDesks; ///< addresses
  soak_keys mKeys;
  std::atomic<bool> mIsOperatorStopping = false;
  int mWithdrawals = 0;
  std::vector<call_row> mCalls;
};

struct soak_fixture
{
  const std::uint64_t first = ReadNumber("BULRUSH_SOAK_FIRST", 1);
  const std::uint64_t seeds = ReadNumber("BULRUSH_SOAK_SEEDS", 3);
};

TEST_CASE_METHOD(soak_fixture,
                 "Fleet_UnderOverlappingTroubles_TellsItsCallersTheTruth",
                 "[process][soak]")
{
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    soak(seed).Run();
  }
}

} // namespace
} // namespace bulrush::test
