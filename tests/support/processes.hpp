#ifndef BULRUSH_TESTS_SUPPORT_PROCESSES_HPP
#define BULRUSH_TESTS_SUPPORT_PROCESSES_HPP

/// Starts the project's programs on loopback for tests, asks them over HTTP
/// and ends them, by process id.

#include "core/core.hpp"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <map>
#include <memory>

namespace bulrush::test {

/// How long a test waits for something that must happen. Generous: no test
/// asserts on time, this only ends a test that would hang.
constexpr std::chrono::seconds kPatience{ 30 };

/// A port that was free a moment ago.
std::uint16_t FreePort();

/// Polls until aIsTrue or kPatience has passed; returns the last verdict.
bool WaitUntil(const std::function<bool()>& aIsTrue,
               std::chrono::milliseconds aPatience = kPatience);

/// A running program. Its standard error goes to a file in aFolder.
class process
{
public:
  process(const std::string& aProgram,
          const std::vector<std::string>& aArguments,
          const std::filesystem::path& aFolder);
  ~process(); ///< kills it if it still runs
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  void Signal(int aSignal) const;
  /// Waits for the end; the exit code, or minus the signal.
  int Wait();
  bool IsRunning();
  std::string Log() const;
  const std::filesystem::path& LogFile() const { return mLog; }
  int Pid() const { return mPid; }

private:
  int mPid = 0;
  std::optional<int> mExit;
  std::filesystem::path mLog;
};

/// Runs a program to its end.
struct finished
{
  int exitCode = 0;
  std::string output; ///< standard output
  std::string errors; ///< standard error
};
finished RunProgram(const std::string& aProgram,
                    const std::vector<std::string>& aArguments);

struct http_answer
{
  int status = 0; ///< zero when the answer was not whole
  std::string body;
  std::map<std::string, std::string> fields; ///< names in lower case
  std::string error;
};

/// One HTTP request on a new connection, waited for.
http_answer Ask(const std::string& aMethod,
                const std::string& aUrl,
                const std::vector<std::string>& aFields = {},
                const std::string& aBody = "");

struct fleet_options
{
  std::vector<std::string> domains = { "domain-a" };
  std::size_t entriesPerDomain = 1;
  std::string manifest;                           ///< empty for DefaultManifest
  std::vector<std::string> entryArguments = {};   ///< besides the usual ones
  std::vector<std::string> controlArguments = {}; ///< besides the usual ones
};

/// A fleet on loopback: a control process and entry hosts in each failure
/// domain. Endpoints are added by the test.
class fleet
{
public:
  explicit fleet(fleet_options aOptions = {});
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  /// Starts everything and applies the manifest.
  void Start();

  finished Ctl(std::vector<std::string> aArguments) const;
  nlohmann::json Status() const;

  /// Issues a key for a workspace.
  std::string IssueKey(const std::string& aWorkspace) const;

  /// Starts a fake endpoint that reports to the entries of its domain;
  /// returns its address.
  std::string AddEndpoint(const std::string& aName,
                          const std::string& aDomain,
                          std::vector<std::string> aArguments);

  void StartControl(std::size_t aIndex);
  void StartEntry(std::size_t aIndex);

  /// "127.0.0.1:PORT".
  std::string EntryAddress(std::size_t aIndex) const;
  std::string ControlAddress(std::size_t aIndex) const;
  std::filesystem::path ControlData(std::size_t aIndex) const;
  std::string ControlName(std::size_t aIndex) const;

  http_answer Post(std::size_t aEntry,
                   const std::string& aPath,
                   const std::string& aKey,
                   const nlohmann::json& aBody,
                   std::vector<std::string> aFields = {}) const;

  std::filesystem::path folder;
  std::vector<std::unique_ptr<process>> controls;
  std::vector<std::unique_ptr<process>> entries;
  std::map<std::string, std::unique_ptr<process>> endpoints;
  std::map<std::string, std::string> endpointAddresses;

private:
  std::string ControlList(std::size_t aFirst) const;

  fleet_options mOptions;
  std::vector<std::uint16_t> mControlPorts;
  std::vector<std::uint16_t> mEntryPorts;
};

/// One model "draft", an adapter "school", workspaces "press" and "small",
/// routes /desk/releases (not idempotent) and /desk/status (open).
std::string DefaultManifest(const std::vector<std::string>& aDomains,
                            const std::string& aVersion = "1");

} // namespace bulrush::test

#endif
