#include "support/processes.hpp"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

namespace bulrush::test {
namespace {

constexpr std::chrono::milliseconds kPollInterval{ 20 };
constexpr long kRequestTimeoutMs = 30'000;

std::string
ProgramPath(const std::string& aProgram)
{
  return std::string(BULRUSH_PROGRAMS) + "/" + aProgram;
}

std::string
ReadAll(const std::filesystem::path& aFile)
{
  std::ifstream file(aFile, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

int
Spawn(const std::string& aProgram,
      const std::vector<std::string>& aArguments,
      const std::string& aOutput,
      const std::string& aErrors,
      std::vector<std::string> aEnvironment = {})
{
  std::vector<std::string> arguments = { ProgramPath(aProgram) };
  arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) {
    argv.push_back(argument.data());
  }
  argv.push_back(nullptr);
  std::vector<char*> variables;
  for (char** variable = environ; *variable != nullptr; ++variable) {
    variables.push_back(*variable);
  }
  for (std::string& variable : aEnvironment) {
    variables.push_back(variable.data());
  }
  variables.push_back(nullptr);
  const int pid = ::fork();
  if (pid != 0) {
    return pid;
  }
  const int flags = O_WRONLY | O_CREAT | O_APPEND;
  ::dup2(::open(aOutput.c_str(), flags, 0600), STDOUT_FILENO);
  ::dup2(::open(aErrors.c_str(), flags, 0600), STDERR_FILENO);
  ::execve(argv[0], argv.data(), variables.data());
  ::_exit(127);
}

std::filesystem::path
NewFolder()
{
  std::string name =
    (std::filesystem::temp_directory_path() / "bulrush-XXXXXX").string();
  return ::mkdtemp(name.data());
}

std::size_t
AppendBody(char* aData, std::size_t aSize, std::size_t aCount, void* aTarget)
{
  static_cast<std::string*>(aTarget)->append(aData, aSize * aCount);
  return aSize * aCount;
}

std::size_t
StoreHeaderField(char* aData,
                 std::size_t aSize,
                 std::size_t aCount,
                 void* aTarget)
{
  std::string line(aData, aSize * aCount);
  const std::size_t colon = line.find(':');
  if (colon != std::string::npos) {
    std::string name = line.substr(0, colon);
    for (char& letter : name) {
      letter = static_cast<char>(std::tolower(letter));
    }
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    value.erase(value.find_last_not_of("\r\n ") + 1);
    (*static_cast<std::map<std::string, std::string>*>(aTarget))[name] = value;
  }
  return aSize * aCount;
}

} // namespace

// The socket stays bound without listening. Others may listen at its port, but
// the kernel gives it to no outgoing connection and no second caller.
std::uint16_t
FreePort()
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  constexpr int kOn = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &kOn, sizeof(kOn));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    throw std::runtime_error("no free port on loopback");
  }
  socklen_t size = sizeof(address);
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

bool
WaitUntil(const std::function<bool()>& aIsTrue,
          std::chrono::milliseconds aTimeout)
{
  const auto end = std::chrono::steady_clock::now() + aTimeout;
  while (!aIsTrue()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

process::process(const std::string& aProgram,
                 const std::vector<std::string>& aArguments,
                 const std::filesystem::path& aFolder,
                 const std::vector<std::string>& aEnvironment)
{
  static int sCount = 0;
  mLog = aFolder / (aProgram + "-" + std::to_string(++sCount) + ".log");
  mPid =
    Spawn(aProgram, aArguments, mLog.string(), mLog.string(), aEnvironment);
}

process::~process()
{
  if (IsRunning()) {
    ::kill(mPid, SIGCONT);
    ::kill(mPid, SIGKILL);
    Wait();
  }
}

void
process::Signal(int aSignal) const
{
  if (!mExit) {
    ::kill(mPid, aSignal);
  }
}

int
process::Wait()
{
  if (!mExit) {
    int status = 0;
    ::waitpid(mPid, &status, 0);
    mExit = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  return *mExit;
}

bool
process::IsRunning()
{
  if (mExit) {
    return false;
  }
  int status = 0;
  if (::waitpid(mPid, &status, WNOHANG) == mPid) {
    mExit = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return false;
  }
  return true;
}

std::string
process::Log() const
{
  return ReadAll(mLog);
}

program_result
RunProgram(const std::string& aProgram,
           const std::vector<std::string>& aArguments)
{
  const std::filesystem::path folder = NewFolder();
  const auto output = folder / "out";
  const auto errors = folder / "err";
  const int pid = Spawn(aProgram, aArguments, output, errors);
  int status = 0;
  ::waitpid(pid, &status, 0);
  program_result result;
  result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  result.output = ReadAll(output);
  result.errors = ReadAll(errors);
  std::filesystem::remove_all(folder);
  return result;
}

std::string
HeaderField(const std::string& aHead, const std::string& aName)
{
  const std::size_t found = aHead.find("\r\n" + aName + ": ");
  if (found == std::string::npos) {
    return "";
  }
  const std::size_t from = found + aName.size() + 4;
  return aHead.substr(from, aHead.find("\r\n", from) - from);
}

http_answer
SendHttpRequest(const std::string& aMethod,
                const std::string& aUrl,
                const std::vector<std::string>& aFields,
                const std::string& aBody)
{
  http_answer answer;
  CURL* curl = curl_easy_init();
  curl_slist* fields = curl_slist_append(nullptr, "Expect:");
  for (const std::string& field : aFields) {
    fields = curl_slist_append(fields, field.c_str());
  }
  curl_easy_setopt(curl, CURLOPT_URL, aUrl.c_str());
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, aMethod.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, fields);
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, kRequestTimeoutMs);
  if (!aBody.empty() || aMethod == "POST") {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, aBody.data());
    curl_easy_setopt(
      curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(aBody.size()));
  }
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer.body);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, &StoreHeaderField);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, &answer.fields);
  const CURLcode code = curl_easy_perform(curl);
  long status = 0;
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
  if (code == CURLE_OK) {
    answer.status = static_cast<int>(status);
  } else {
    answer.error = curl_easy_strerror(code);
  }
  curl_slist_free_all(fields);
  curl_easy_cleanup(curl);
  return answer;
}

fleet::fleet(fleet_options aOptions)
  : folder(NewFolder())
  , mOptions(std::move(aOptions))
{
  const std::size_t domains = mOptions.domains.size();
  for (std::size_t i = 0; i < domains; ++i) {
    mControlPorts.push_back(FreePort());
    mControlHttpPorts.push_back(FreePort());
  }
  for (std::size_t i = 0; i < domains * mOptions.entriesPerDomain; ++i) {
    mEntryPorts.push_back(FreePort());
  }
  controls.resize(mControlPorts.size());
  entries.resize(mEntryPorts.size());
}

fleet::~fleet()
{
  endpoints.clear();
  entries.clear();
  controls.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);
}

void
fleet::StartProcesses()
{
  for (std::size_t i = 0; i < controls.size(); ++i) {
    StartControl(i);
  }
  for (std::size_t i = 0; i < entries.size(); ++i) {
    StartEntry(i);
  }
  std::string text = mOptions.manifest;
  if (text.empty()) {
    text = DefaultManifest(mOptions.domains);
  }
  const auto file = folder / "manifest.json";
  std::ofstream(file) << text;
  const program_result applied = Ctl({ "apply", file.string() });
  if (applied.exitCode != 0) {
    std::string logs;
    for (const auto& control : controls) {
      logs += control->Log();
    }
    throw std::runtime_error("apply: " + applied.errors + logs);
  }
}

void
fleet::Start()
{
  StartProcesses();
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const std::string url = "http://" + EntryAddress(i) + "/readyz";
    if (!WaitUntil([&] { return SendHttpRequest("GET", url).status == 200; })) {
      throw std::runtime_error("entry " + std::to_string(i) +
                               " did not become ready within 30 s");
    }
  }
}

std::string
fleet::ControlName(std::size_t aIndex) const
{
  return "control-" + std::to_string(aIndex);
}

std::string
fleet::ControlAddress(std::size_t aIndex) const
{
  return "127.0.0.1:" + std::to_string(mControlPorts[aIndex]);
}

std::string
fleet::ControlHttpAddress(std::size_t aIndex) const
{
  return "127.0.0.1:" + std::to_string(mControlHttpPorts[aIndex]);
}

std::string
fleet::EntryAddress(std::size_t aIndex) const
{
  return "127.0.0.1:" + std::to_string(mEntryPorts[aIndex]);
}

std::filesystem::path
fleet::ControlData(std::size_t aIndex) const
{
  return folder / ControlName(aIndex);
}

// NAME=ADDRESS of every control process, beginning with aFirst.
std::string
fleet::ControlList(std::size_t aFirst) const
{
  std::string list;
  for (std::size_t i = 0; i < mControlPorts.size(); ++i) {
    const std::size_t index = (aFirst + i) % mControlPorts.size();
    list +=
      (i == 0 ? "" : ",") + ControlName(index) + "=" + ControlAddress(index);
  }
  return list;
}

void
fleet::StartControl(std::size_t aIndex)
{
  std::filesystem::create_directories(ControlData(aIndex));
  std::string peers = ControlList(aIndex);
  const std::size_t comma = peers.find(',');
  peers = comma == std::string::npos ? "" : peers.substr(comma + 1);
  std::vector<std::string> arguments = {
    "--name",   ControlName(aIndex),
    "--domain", mOptions.domains[aIndex],
    "--listen", ControlAddress(aIndex),
    "--data",   ControlData(aIndex).string(),
  };
  if (!peers.empty()) {
    arguments.insert(arguments.end(), { "--peers", peers });
  }
  if (mOptions.hasControlHttp) {
    arguments.insert(arguments.end(),
                     { "--http-listen", ControlHttpAddress(aIndex) });
  }
  arguments.insert(arguments.end(),
                   mOptions.controlArguments.begin(),
                   mOptions.controlArguments.end());
  controls[aIndex] =
    std::make_unique<process>("bulrush-control", arguments, folder);
}

void
fleet::StartEntry(std::size_t aIndex)
{
  const std::size_t domain = aIndex / mOptions.entriesPerDomain;
  std::vector<std::string> arguments = {
    "--name",    "entry-" + std::to_string(aIndex),
    "--domain",  mOptions.domains[domain],
    "--listen",  EntryAddress(aIndex),
    "--control", ControlList(domain),
  };
  arguments.insert(arguments.end(),
                   mOptions.entryArguments.begin(),
                   mOptions.entryArguments.end());
  entries[aIndex] =
    std::make_unique<process>("bulrush-entry", arguments, folder);
}

program_result
fleet::Ctl(std::vector<std::string> aArguments) const
{
  std::string list;
  for (std::size_t i = 0; i < mControlPorts.size(); ++i) {
    list += (i == 0 ? "" : ",") + ControlAddress(i);
  }
  aArguments.insert(aArguments.begin(), { "--control", list });
  if (std::find(aArguments.begin(), aArguments.end(), "--timeout") ==
      aArguments.end()) {
    aArguments.insert(aArguments.begin(), { "--timeout", "30s" });
  }
  return RunProgram("bulrushctl", aArguments);
}

nlohmann::json
fleet::Status() const
{
  const program_result result = Ctl({ "--json", "status" });
  return nlohmann::json::parse(result.output, nullptr, false);
}

std::string
fleet::IssueKey(const std::string& aWorkspace) const
{
  const program_result result = Ctl({ "key", "issue", aWorkspace });
  if (result.exitCode != 0) {
    throw std::runtime_error("key issue: " + result.errors);
  }
  return result.output.substr(0, result.output.find('\n'));
}

std::string
fleet::AddEndpoint(const std::string& aName,
                   const std::string& aDomain,
                   std::vector<std::string> aArguments)
{
  std::string hosts;
  for (std::size_t i = 0; i < mEntryPorts.size(); ++i) {
    if (mOptions.domains[i / mOptions.entriesPerDomain] == aDomain) {
      hosts += (hosts.empty() ? "" : ",") + EntryAddress(i);
    }
  }
  std::string address = "127.0.0.1:" + std::to_string(FreePort());
  aArguments.insert(aArguments.end(),
                    { "--name",
                      aName,
                      "--domain",
                      aDomain,
                      "--listen",
                      address,
                      "--report-to",
                      hosts });
  endpoints[aName] =
    std::make_unique<process>("fake-endpoint", aArguments, folder);
  endpointAddresses[aName] = address;
  return address;
}

http_answer
fleet::Post(std::size_t aEntry,
            const std::string& aPath,
            const std::string& aKey,
            const nlohmann::json& aBody,
            std::vector<std::string> aFields) const
{
  aFields.push_back("Content-Type: application/json");
  if (!aKey.empty()) {
    aFields.push_back("Authorization: Bearer " + aKey);
  }
  return SendHttpRequest(
    "POST", "http://" + EntryAddress(aEntry) + aPath, aFields, aBody.dump());
}

std::string
EmptyConfiguration(int aVersion)
{
  using nlohmann::json;
  return json{
    { "version", aVersion },
    { "routes", json::array() },
    { "services", json::array() },
    { "limits",
      { { "maxHeaderBytes", 16'384 },
        { "maxBodyBytes", 4'194'304 },
        { "headerTimeoutMs", 3'000 },
        { "idleTimeoutMs", 15'000 } } }
  }.dump();
}

std::string
DefaultManifest(const std::vector<std::string>& aDomains,
                const std::string& aVersion)
{
  using nlohmann::json;
  json domains = json::array();
  for (const std::string& domain : aDomains) {
    domains.push_back({ { "name", domain } });
  }
  const json releases = { { "path", "/desk/releases" },
                          { "service", "desk" },
                          { "idempotent", false } };
  const json status = { { "path", "/desk/status" },
                        { "service", "desk" },
                        { "open", true } };
  const json press = { { "name", "press" },
                       { "tokens_per_s", 100'000 },
                       { "burst_tokens", 1'000'000 } };
  const json small = { { "name", "small" },
                       { "tokens_per_s", 100'000 },
                       { "burst_tokens", 1'000'000 } };
  const json draft = { { "name", "draft" },
                       { "version", "1" },
                       { "bytes", 1'000 } };
  const json school = { { "name", "school" },
                        { "model", "draft" },
                        { "bytes", 10 } };
  return json{
    { "name", "test" },
    { "version", aVersion },
    { "failure_domains", domains },
    { "models", json::array({ draft }) },
    { "adapters", json::array({ school }) },
    { "workspaces", json::array({ press, small }) },
    { "routes", json::array({ releases, status }) }
  }.dump();
}

} // namespace bulrush::test
