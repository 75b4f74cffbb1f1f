#ifndef BULRUSH_TESTS_SUPPORT_PROCESSES_HPP
#define BULRUSH_TESTS_SUPPORT_PROCESSES_HPP

/// Starts the project's programs on loopback for tests, sends them HTTP
/// requests and terminates them by process id.

#include "core/core.hpp"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <map>
#include <memory>

namespace bulrush::test {

/// Longest wait for an expected condition. Generous, as no test asserts on
/// time: it only ends a test that would hang.
constexpr std::chrono::seconds kTestTimeout{ 30 };

/// A TCP port that no other socket gets while this process runs, and on which
/// any process may listen that allows the reuse of addresses.
std::uint16_t FreePort();

/// Polls until aIsTrue returns true or aTimeout has passed; false on time-out.
bool WaitUntil(const std::function<bool()>& aIsTrue,
               std::chrono::milliseconds aTimeout = kTestTimeout);

/// A running program. Its standard output and error go to a file in aFolder.
class process
{
public:
  process(const std::string& aProgram,
          const std::vector<std::string>& aArguments,
          const std::filesystem::path& aFolder,
          const std::vector<std::string>& aEnvironment = {}); ///< NAME=VALUE
  ~process(); ///< kills the program if it still runs
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  void Signal(int aSignal) const;
  /// Waits for the exit; returns the exit code, or minus the signal's number.
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

/// Result of RunProgram.
struct program_result
{
  int exitCode = 0;
  std::string output; ///< standard output
  std::string errors; ///< standard error
};

/// Runs a program to its end.
program_result RunProgram(const std::string& aProgram,
                          const std::vector<std::string>& aArguments);

struct http_answer
{
  int status = 0; ///< zero when the answer was incomplete
  std::string body;
  std::map<std::string, std::string> fields; ///< names in lower case
  std::string error;
};

/// Value of a field of an HTTP head, with its name as sent; empty if none.
std::string HeaderField(const std::string& aHead, const std::string& aName);

/// Sends an HTTP request on a new connection and waits for the answer.
http_answer SendHttpRequest(const std::string& aMethod,
                            const std::string& aUrl,
                            const std::vector<std::string>& aFields = {},
                            const std::string& aBody = "");

struct fleet_options
{
  std::vector<std::string> domains = { "domain-a" };
  std::size_t entriesPerDomain = 1;
  std::string manifest;                         ///< empty for DefaultManifest
  std::vector<std::string> entryArguments = {}; ///< in addition to the defaults
  std::vector<std::string>
    controlArguments = {};     ///< in addition to the defaults
  bool hasControlHttp = false; ///< control processes listen for HTTP calls
};

/// A fleet on loopback: a control process and entry hosts in each failure
/// domain. Tests add the endpoints.
class fleet
{
public:
  explicit fleet(fleet_options aOptions = {});
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  /// Starts all processes, applies the manifest and waits for readiness.
  void Start();
  /// The same without the wait, for front ends without the page /readyz.
  void StartProcesses();

  program_result Ctl(std::vector<std::string> aArguments) const;
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
  std::string ControlHttpAddress(std::size_t aIndex) const;
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
  std::vector<std::uint16_t> mControlHttpPorts;
  std::vector<std::uint16_t> mEntryPorts;
};

/// A configuration in the platform's protocol, without routes or services.
std::string EmptyConfiguration(int aVersion);

/// One model "draft", an adapter "school", workspaces "press" and "small",
/// routes /desk/releases (not idempotent) and /desk/status (open).
std::string DefaultManifest(const std::vector<std::string>& aDomains,
                            const std::string& aVersion = "1");

} // namespace bulrush::test

#endif
