#include "stand_in.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>
#include <utility>

namespace review {
namespace {

using clock_type = std::chrono::steady_clock;

const clock_type::time_point kStart = clock_type::now();
std::mutex gRecordMutex;
std::ofstream gRecord;

std::string
LowerCase(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
  return aText;
}

sockaddr_in
ToSocketAddress(const address& aAddress)
{
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(aAddress.port));
  inet_pton(AF_INET, aAddress.ip.c_str(), &to.sin_addr);
  return to;
}

bool
WaitFor(int aSocket, short aEvents, double aUntil)
{
  pollfd entry{ aSocket, aEvents, 0 };
  const double left = std::max(0.0, aUntil - Elapsed());
  return poll(&entry, 1, static_cast<int>(left * 1000)) > 0;
}

int
Connect(const address& aTo, double aUntil)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  fcntl(fd, F_SETFL, O_NONBLOCK);
  const sockaddr_in to = ToSocketAddress(aTo);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0 &&
      errno != EINPROGRESS) {
    close(fd);
    return -1;
  }
  int error = 0;
  socklen_t size = sizeof(error);
  if (!WaitFor(fd, POLLOUT, aUntil) ||
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

bool
SendAll(int aSocket, const std::string& aBytes, double aUntil)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count =
      send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
    } else if (errno != EAGAIN || !WaitFor(aSocket, POLLOUT, aUntil)) {
      return false;
    }
  }
  return true;
}

/// A message that is read from a socket: start line, fields, body by length.
struct message
{
  std::string start;
  std::map<std::string, std::string> fields;
  std::string body;
  bool isWhole = false;
};

void
ParseHead(const std::string& aHead, message& aMessage)
{
  std::istringstream lines(aHead);
  std::getline(lines, aMessage.start);
  for (std::string line; std::getline(lines, line);) {
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      value.erase(value.find_last_not_of("\r \n") + 1);
      aMessage.fields[LowerCase(line.substr(0, colon))] = value;
    }
  }
}

// Position after the last chunk; npos: not all there yet.
std::size_t
EndOfChunks(const std::string& aBytes, std::size_t aFrom)
{
  std::size_t at = aFrom;
  for (;;) {
    const std::size_t line = aBytes.find("\r\n", at);
    if (line == std::string::npos) {
      return line;
    }
    const std::size_t size =
      std::strtoul(aBytes.substr(at, line - at).c_str(), nullptr, 16);
    at = line + 2 + size + 2;
    if (at > aBytes.size()) {
      return std::string::npos;
    }
    if (size == 0) {
      return at;
    }
  }
}

message
Receive(int aSocket, std::string& aBuffer, double aUntil)
{
  message found;
  std::size_t end = std::string::npos;
  std::size_t needed = 0;
  for (;;) {
    if (end == std::string::npos) {
      end = aBuffer.find("\r\n\r\n");
      if (end != std::string::npos) {
        ParseHead(aBuffer.substr(0, end + 2), found);
        const auto length = found.fields.find("content-length");
        needed = end + 4;
        needed += length == found.fields.end() ? 0 : std::stoul(length->second);
      }
    }
    if (end != std::string::npos &&
        found.fields["transfer-encoding"] == "chunked") {
      needed = EndOfChunks(aBuffer, end + 4);
    }
    if (end != std::string::npos && aBuffer.size() >= needed) {
      found.body = aBuffer.substr(end + 4, needed - end - 4);
      aBuffer.erase(0, needed);
      found.isWhole = true;
      return found;
    }
    char bytes[16384];
    const ssize_t count = recv(aSocket, bytes, sizeof(bytes), 0);
    if (count > 0) {
      aBuffer.append(bytes, static_cast<std::size_t>(count));
    } else if (count == 0 || errno != EAGAIN ||
               !WaitFor(aSocket, POLLIN, aUntil)) {
      return found;
    }
  }
}

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void
ReplaceAll(std::string& aText, const std::string& aFrom, const std::string& aTo)
{
  for (std::size_t at = aText.find(aFrom); at != std::string::npos;
       at = aText.find(aFrom, at + aTo.size())) {
    aText.replace(at, aFrom.size(), aTo);
  }
}

// Removes a section of the template with its content.
void
RemoveSection(std::string& aText, const std::string& aName)
{
  const std::string closing = "{{/" + aName + "}}\n";
  const std::size_t begin = aText.find("{{#" + aName + "}}");
  const std::size_t end = aText.find(closing);
  if (begin != std::string::npos && end != std::string::npos) {
    aText.erase(begin, end + closing.size() - begin);
  }
}

bool
IsFree(const address& aAddress)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in at = ToSocketAddress(aAddress);
  const bool isFree =
    bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0;
  close(fd);
  return isFree;
}

} // namespace

double
Elapsed()
{
  return std::chrono::duration<double>(clock_type::now() - kStart).count();
}

void
SleepFor(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

void
SleepUntil(double aAt)
{
  SleepFor(std::max(0.0, aAt - Elapsed()));
}

void
OpenRecord(const std::string& aPath)
{
  gRecord.open(aPath, std::ios::trunc);
}

void
Record(const std::string& aLine)
{
  const std::lock_guard<std::mutex> lock(gRecordMutex);
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f ", Elapsed());
  gRecord << time << aLine << std::endl;
}

http_answer
Call(const address& aTo,
     const std::string& aMethod,
     const std::string& aPath,
     const std::map<std::string, std::string>& aFields,
     const std::string& aBody,
     double aTimeout)
{
  http_answer answer;
  const double until = Elapsed() + aTimeout;
  const int fd = Connect(aTo, until);
  if (fd < 0) {
    return answer;
  }
  std::string bytes = aMethod + " " + aPath + " HTTP/1.1\r\n";
  if (aFields.find("Host") == aFields.end()) {
    bytes += "Host: " + aTo.Text() + "\r\n";
  }
  for (const auto& [name, value] : aFields) {
    bytes += name + ": " + value + "\r\n";
  }
  if (aMethod == "POST") {
    bytes += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  bytes += "\r\n" + aBody;
  if (SendAll(fd, bytes, until)) {
    std::string buffer;
    const message received = Receive(fd, buffer, until);
    if (received.start.size() > 12) {
      answer.status = std::atoi(received.start.substr(9, 3).c_str());
    }
    answer.fields = received.fields;
    answer.body = received.body;
    answer.isWhole = received.isWhole;
  }
  close(fd);
  return answer;
}

// ---- the platform -----------------------------------------------------------

deployment::deployment(std::string aFolder, int aFronts)
  : mFolder(std::move(aFolder))
{
  std::random_device random;
  mNet = "127." + std::to_string(16 + random() % 200) + "." +
         std::to_string(random() % 250) + ".";
  while (mPorts.size() < 5) {
    const int port = 20'000 + static_cast<int>(random() % 10'000);
    if (IsFree({ "127.0.0.1", port }) && IsFree({ mNet + "10", port }) &&
        std::find(mPorts.begin(), mPorts.end(), port) == mPorts.end()) {
      mPorts.push_back(port);
    }
  }
  for (const std::string& zone : kZones) {
    controls.push_back({ "core-" + zone, zone, FreeIp(), true, "", 0 });
  }
  for (const std::string& zone : kZones) {
    for (int i = 0; i < aFronts; ++i) {
      fronts.push_back({ "edge-" + zone + "-" + std::to_string(i + 1),
                         zone,
                         FreeIp(),
                         false,
                         "",
                         0 });
    }
  }
}

deployment::~deployment()
{
  for (std::vector<machine>* machines : { &controls, &fronts }) {
    for (machine& each : *machines) {
      if (each.pid > 0) {
        kill(each.pid, SIGCONT);
        Kill(each);
      }
    }
  }
}

std::size_t
deployment::Leader() const
{
  const std::string event = " leader control=";
  for (const machine& control : controls) {
    const std::string log = ReadFile(mFolder + "/" + control.name + ".log");
    const std::size_t at = log.rfind(event);
    if (at == std::string::npos) {
      continue;
    }
    for (std::size_t i = 0; i < controls.size(); ++i) {
      if (log.compare(at + event.size(),
                      controls[i].ip.size() + 1,
                      controls[i].ip + ":") == 0) {
        return i;
      }
    }
  }
  return 0;
}

std::string
deployment::FreeIp()
{
  return mNet + std::to_string(mNextHost++);
}

address
deployment::ControlOf(const machine& aMachine) const
{
  return { aMachine.ip, mPorts[0] };
}

address
deployment::FrontOf(const machine& aMachine) const
{
  return { aMachine.ip, mPorts[1] };
}

address
deployment::ReadyOf(const machine& aMachine) const
{
  return { aMachine.ip, mPorts[2] };
}

// Fills in a template of the deploy file, as the platform does. The metrics
// port is fixed there; here the machines share one network.
std::string
deployment::Render(const machine& aMachine, bool aIsFirst) const
{
  std::string text =
    ReadFile(aMachine.isControl ? "deploy/control.ini" : "deploy/entry.ini");
  std::string zones;
  for (const std::string& zone : kZones) {
    zones += (zones.empty() ? "" : ",") + zone + "=region-1";
  }
  std::string seeds;
  for (const machine& control : controls) {
    seeds += (seeds.empty() ? "" : ",") + ControlOf(control).Text();
  }
  RemoveSection(text, "bounds.strictRevoke");
  ReplaceAll(text, "{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", zones);
  const std::map<std::string, std::string> values{
    { "zone", aMachine.zone },
    { "ip", aMachine.ip },
    { "nodeName", aMachine.name },
    { "internalPortRange.0", std::to_string(mPorts[3]) },
    { "listen.control", ControlOf(aMachine).Text() },
    { "listen.front", FrontOf(aMachine).Text() },
    { "listen.ready", ReadyOf(aMachine).Text() },
    { "seeds", seeds },
    { "firstStart", aIsFirst ? "true" : "false" },
    { "dataDir", mFolder + "/" + aMachine.name },
    { "limits.memoryMb", aMachine.isControl ? "256" : "260" },
    { "limits.maxFds", "4096" },
    { "heartbeatMs", "1200" },
    { "bounds.quotaWindowS", "8" },
    { "bounds.quotaOverage", "0.1" },
    { "bounds.quotaSlack", "7500" },
    { "bounds.leaseMs", "3000" },
    { "bounds.graceS", "8" },
    { "bounds.retryBudgetRatio", "0.2" },
    { "bounds.retryBudgetExtra", "56" }
  };
  for (const auto& [name, value] : values) {
    ReplaceAll(text, "{{" + name + "}}", value);
  }
  return text;
}

void
deployment::Start(machine& aMachine, bool aIsFirst)
{
  mkdir((mFolder + "/" + aMachine.name).c_str(), 0700);
  aMachine.settings = mFolder + "/" + aMachine.name + ".conf";
  std::ofstream(aMachine.settings) << Render(aMachine, aIsFirst);
  const std::string program =
    aMachine.isControl ? "target/bulrush-control" : "target/bulrush-entry";
  const std::string log = mFolder + "/" + aMachine.name + ".log";
  aMachine.pid = fork();
  if (aMachine.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    execl(program.c_str(),
          program.c_str(),
          "--config",
          aMachine.settings.c_str(),
          nullptr);
    _exit(127);
  }
  Record("started " + aMachine.name + " at " + aMachine.ip + ", process " +
         std::to_string(aMachine.pid));
}

void
deployment::Signal(const machine& aMachine, int aSignal) const
{
  Record("signal " + std::string(strsignal(aSignal)) + " to " + aMachine.name);
  kill(aMachine.pid, aSignal);
}

void
deployment::Kill(machine& aMachine)
{
  kill(aMachine.pid, SIGKILL);
  waitpid(aMachine.pid, nullptr, 0);
  aMachine.pid = 0;
  Record("killed " + aMachine.name);
}

bool
deployment::IsRunning(machine& aMachine)
{
  return aMachine.pid > 0 && waitpid(aMachine.pid, nullptr, WNOHANG) == 0;
}

void
deployment::StartAll()
{
  for (std::vector<machine>* machines : { &controls, &fronts }) {
    for (machine& each : *machines) {
      Start(each, true);
    }
  }
}

// ---- servers ----------------------------------------------------------------

server::server(deployment& aDeployment, std::string aId, std::string aZone)
  : mDeployment(aDeployment)
  , mId(std::move(aId))
  , mZone(std::move(aZone))
  , mAddress{ aDeployment.FreeIp(), aDeployment.ServerPort() }
  , mBorn(std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count())
{
  mListener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in at = ToSocketAddress(mAddress);
  bind(mListener, reinterpret_cast<const sockaddr*>(&at), sizeof(at));
  listen(mListener, 128);
  fcntl(mListener, F_SETFL, O_NONBLOCK);
  mAcceptor = std::thread([this] { Accept(); });
}

server::~server()
{
  Stop();
}

void
server::Stop()
{
  mIsStopping = true;
  StopCheckIns();
  if (!mAcceptor.joinable()) {
    return;
  }
  mAcceptor.join();
  for (std::thread& worker : mWorkers) {
    worker.join();
  }
}

void
server::Accept()
{
  while (!mIsStopping) {
    if (!WaitFor(mListener, POLLIN, Elapsed() + 0.05)) {
      continue;
    }
    const int fd = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0) {
      fcntl(fd, F_SETFL, O_NONBLOCK);
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      mWorkers.emplace_back([this, fd] { Serve(fd); });
    }
  }
  close(std::exchange(mListener, -1));
}

std::string
request::Field(const std::string& aName) const
{
  const auto found = fields.find(aName);
  return found == fields.end() ? std::string() : found->second;
}

void
server::Serve(int aSocket)
{
  std::string buffer;
  while (!mIsStopping) {
    if (buffer.empty() && !WaitFor(aSocket, POLLIN, Elapsed() + 0.1)) {
      continue;
    }
    message received = Receive(aSocket, buffer, Elapsed() + 5);
    if (!received.isWhole) {
      break;
    }
    request read;
    std::istringstream line(received.start);
    line >> read.method >> read.path;
    read.fields = std::move(received.fields);
    read.body = std::move(received.body);
    if (!Handle(aSocket, read)) {
      break;
    }
  }
  if (mIsStopping) {
    constexpr linger kReset{ 1, 0 };
    setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &kReset, sizeof(kReset));
  }
  close(aSocket);
}

bool
server::SendRaw(int aSocket, const std::string& aBytes) const
{
  return SendAll(aSocket, aBytes, Elapsed() + 5);
}

bool
server::Send(int aSocket,
             int aStatus,
             const std::string& aFields,
             const std::string& aBody) const
{
  return SendRaw(aSocket,
                 "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n" +
                   aFields + "Content-Length: " + std::to_string(aBody.size()) +
                   "\r\n\r\n" + aBody);
}

void
server::AddArrival(const request& aRequest)
{
  const std::string id = aRequest.Field("x-attempt-id");
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mArrivals.push_back({ Elapsed(), id, aRequest.path });
  }
  Record("ran " + id + " at " + mId + " in " + mZone);
}

bool
server::Handle(int aSocket, const request& aRequest)
{
  const std::string expected = aRequest.Field("x-expect-instance");
  const std::string id = aRequest.Field("x-attempt-id");
  const std::string echo = "X-Attempt-Id: " + id + "\r\n";
  if (aRequest.path == "/health") {
    return Send(aSocket, 200, "X-Instance-Id: " + mId + "\r\n", "");
  }
  if (!expected.empty() && expected != mId) {
    return Send(aSocket, 421, echo + "X-Not-Executed: 1\r\n", "");
  }
  if (id.empty()) {
    return Send(aSocket, 400, "X-Not-Executed: 1\r\n", "");
  }
  AddArrival(aRequest);
  ++mRunning;
  SleepFor(workMs / 1000.0);
  --mRunning;
  if (mIsStopping) {
    return false;
  }
  return Send(aSocket,
              200,
              echo + "X-Server-Seal: seal-" + id +
                "\r\nX-Server-Load: " + std::to_string(mRunning) + ",0,6\r\n",
              std::string(800, 'b'));
}

void
server::Crash()
{
  mIsStopping = true;
  mChecksIn = false;
}

std::string
server::NextCheckIn(const std::string& aState)
{
  // A higher number never has older content.
  const std::lock_guard<std::mutex> lock(mNumbering);
  const std::string description = Description();
  return R"({"service":")" + Service() + R"(","address":")" + mAddress.Text() +
         R"(","zone":")" + mZone + R"(","version":"v1","slots":6,"state":")" +
         aState + R"(","coldRemainingMs":0,"born":)" + std::to_string(mBorn) +
         description + R"(,"sequence":)" + std::to_string(++mSequence) + "}";
}

bool
server::CheckIn(const std::string& aBody, std::size_t aFirst)
{
  const std::size_t count = mDeployment.controls.size();
  for (std::size_t i = 0; i < count; ++i) {
    const machine& control = mDeployment.controls[(aFirst + i) % count];
    const http_answer answer = Call(mDeployment.ControlOf(control),
                                    "POST",
                                    "/Instances.Heartbeat/" + mId,
                                    { { "Content-Type", "application/json" } },
                                    aBody,
                                    1.0);
    if (answer.status / 100 == 2) {
      return true;
    }
  }
  return false;
}

void
server::StartCheckIns(std::size_t aFirst)
{
  mChecksIn = true;
  mCheckIns = std::thread([this, aFirst] {
    while (mChecksIn) {
      CheckIn(NextCheckIn("ready"), aFirst);
      for (int i = 0; i < 24 && mChecksIn; ++i) {
        SleepFor(0.05);
      }
    }
  });
}

void
server::StopCheckIns()
{
  mChecksIn = false;
  if (mCheckIns.joinable()) {
    mCheckIns.join();
  }
}

std::vector<arrival>
server::Arrivals() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mArrivals;
}

// ---- model servers ----------------------------------------------------------

namespace {

// The value of a field of a small JSON object, without its quotes.
std::string
JsonField(const std::string& aText, const std::string& aName)
{
  const std::string key = "\"" + aName + "\":";
  std::size_t at = aText.find(key);
  if (at == std::string::npos) {
    return "";
  }
  at += key.size();
  const bool isText = aText[at] == '"';
  const std::size_t end =
    isText ? aText.find('"', at + 1) : aText.find_first_of(",}", at);
  return isText ? aText.substr(at + 1, end - at - 1)
                : aText.substr(at, end - at);
}

} // namespace

engine::engine(deployment& aDeployment,
               std::string aId,
               std::string aZone,
               std::vector<model> aKnown,
               std::vector<std::string> aHeld)
  : server(aDeployment, std::move(aId), std::move(aZone))
  , mKnown(std::move(aKnown))
{
  const std::lock_guard<std::mutex> lock(mState);
  for (const std::string& name : aHeld) {
    mHeld[name];
  }
  mJobs = std::thread([this] { RunJobs(); });
}

engine::~engine()
{
  Stop();
  mEndsJobs = true;
  mJobs.join();
}

bool
engine::IsBusy() const
{
  const std::lock_guard<std::mutex> lock(mState);
  return mIsBusy;
}

bool
engine::Holds(const std::string& aModel) const
{
  const std::lock_guard<std::mutex> lock(mState);
  return mHeld.contains(aModel);
}

// Called with the lock.
std::string
engine::Models() const
{
  std::string models;
  for (const auto& [name, adapters] : mHeld) {
    std::string names;
    for (const std::string& adapter : adapters) {
      names += (names.empty() ? "\"" : ",\"") + adapter + "\"";
    }
    models += (models.empty() ? "" : ",");
    models +=
      R"({"name":")" + name + R"(","version":1,"adapters":[)" + names + "]}";
  }
  return R"("stage":"both","models":[)" + models + "]";
}

std::string
engine::Description() const
{
  const std::lock_guard<std::mutex> lock(mState);
  return "," + Models();
}

// Called with the lock.
int
engine::HeldMb() const
{
  int held = 0;
  for (const model& each : mKnown) {
    const auto found = mHeld.find(each.name);
    if (found != mHeld.end()) {
      held +=
        each.weightsMb + kAdapterMb * static_cast<int>(found->second.size());
    }
  }
  return held;
}

int
engine::Order(const request& aRequest)
{
  const std::string& body = aRequest.body;
  const std::string name = JsonField(body, "model");
  const std::string adapter = JsonField(body, "adapter");
  const std::string expected = JsonField(body, "expected");
  const bool isLoad = JsonField(body, "operation") == "model_load";
  const auto known =
    std::find_if(mKnown.begin(), mKnown.end(), [&](const model& aModel) {
      return aModel.name == name;
    });
  const std::lock_guard<std::mutex> lock(mState);
  if (JsonField(body, "holder").empty() ||
      JsonField(body, "fencingToken").empty() || known == mKnown.end()) {
    return 400;
  }
  if (mIsBusy || (!expected.empty() && std::stoi(expected) != mOrders)) {
    return 409;
  }
  const auto held = mHeld.find(name);
  if (!adapter.empty()) {
    if (held == mHeld.end()) {
      return 400;
    }
    auto& adapters = held->second;
    const auto at = std::find(adapters.begin(), adapters.end(), adapter);
    if ((at != adapters.end()) == isLoad) {
      return 200;
    }
    ++mOrders;
    if (isLoad) {
      adapters.push_back(adapter);
      return 202;
    }
    adapters.erase(at);
    return 200;
  }
  if ((held != mHeld.end()) == isLoad) {
    return 200;
  }
  ++mOrders;
  mIsBusy = true;
  mJobModel = name;
  mIsJobLoad = isLoad;
  mJobEnds = Elapsed() + (isLoad ? known->loadS : 0);
  if (isLoad && HeldMb() + known->weightsMb > kWeightsMb) {
    mHasOverflowed = true;
  }
  return 202;
}

// Ends orders to load after their time, and orders to unload once the model's
// last run has ended. A server without memory for a load crashes.
void
engine::RunJobs()
{
  while (!mEndsJobs) {
    bool hasEnded = false;
    {
      const std::lock_guard<std::mutex> lock(mState);
      if (IsStopping()) {
        // The process is gone.
      } else if (mHasOverflowed) {
        Record(Id() + " crashes: ordered to load " + mJobModel + " above " +
               std::to_string(kWeightsMb) + " MB");
        Crash();
      } else if (mIsBusy && Elapsed() >= mJobEnds &&
                 (mIsJobLoad || mRuns[mJobModel] == 0)) {
        if (mIsJobLoad) {
          mHeld[mJobModel];
        } else {
          mHeld.erase(mJobModel);
        }
        mIsBusy = false;
        hasEnded = true;
        Record(Id() + (mIsJobLoad ? " loaded " : " unloaded ") + mJobModel);
      }
    }
    if (hasEnded) {
      CheckIn(NextCheckIn("ready"), 0);
    }
    SleepFor(0.01);
  }
}

bool
engine::Stream(int aSocket, const request& aRequest)
{
  const std::string id = aRequest.Field("x-attempt-id");
  const std::string asked = aRequest.Field("x-model");
  const std::string name = asked.substr(0, asked.find('/'));
  const std::string adapter =
    name.size() < asked.size() ? asked.substr(name.size() + 1) : "";
  const std::string echo = "X-Attempt-Id: " + id + "\r\n";
  {
    const std::lock_guard<std::mutex> lock(mState);
    const auto held = mHeld.find(name);
    const bool isHeld =
      held != mHeld.end() &&
      (adapter.empty() ||
       std::find(held->second.begin(), held->second.end(), adapter) !=
         held->second.end());
    if (!isHeld) {
      return Send(aSocket, 421, echo + "X-Not-Executed: 1\r\n", "");
    }
    ++mRuns[name];
  }
  AddArrival(aRequest);
  bool isSent =
    SendRaw(aSocket,
            "HTTP/1.1 200 OK\r\n" + echo + "X-Server-Seal: seal-" + id +
              "\r\nContent-Type: text/event-stream\r\n"
              "Transfer-Encoding: chunked\r\n\r\n");
  for (int number = 1; isSent && number <= events; ++number) {
    SleepFor(0.05);
    if (IsStopping()) {
      ++mBrokenStreams;
      isSent = false;
      break;
    }
    const std::string event =
      "id: " + std::to_string(number) + "\ndata: token\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    isSent = SendRaw(aSocket, size + event + "\r\n");
  }
  isSent = isSent && SendRaw(aSocket, "0\r\n\r\n");
  const std::lock_guard<std::mutex> lock(mState);
  --mRuns[name];
  return isSent;
}

bool
engine::Handle(int aSocket, const request& aRequest)
{
  const std::string expected = aRequest.Field("x-expect-instance");
  if (!expected.empty() && expected != Id()) {
    return Send(aSocket, 421, "X-Not-Executed: 1\r\n", "");
  }
  if (aRequest.path == "/report") {
    std::string report;
    {
      const std::lock_guard<std::mutex> lock(mState);
      report = "{" + Models() + R"(,"busy":)" + (mIsBusy ? "true" : "false") +
               R"(,"sequence":)" + std::to_string(mOrders) + R"(,"born":)" +
               std::to_string(Born()) +
               R"(,"queued":0,"running":0,"kvUsed":0,"kvTotal":90000)" +
               R"(,"handles":0})";
    }
    return Send(aSocket, 200, "Content-Type: application/json\r\n", report);
  }
  if (aRequest.path == "/order") {
    const int status = Order(aRequest);
    Record(Id() + " has the order " + aRequest.body + ", answers " +
           std::to_string(status));
    return Send(aSocket, status, "", "");
  }
  if (aRequest.path.starts_with("/draft/")) {
    return Stream(aSocket, aRequest);
  }
  return server::Handle(aSocket, aRequest);
}

// ---- consumers --------------------------------------------------------------

consumers::consumers(deployment& aDeployment, double aInterval, bool aIsOnce)
  : mDeployment(aDeployment)
{
  for (std::size_t i = 0; i < aDeployment.fronts.size(); ++i) {
    mThreads.emplace_back(
      [this, i, aInterval, aIsOnce] { Run(i, aInterval, aIsOnce); });
  }
}

consumers::~consumers()
{
  mIsStopping = true;
  for (std::thread& each : mThreads) {
    each.join();
  }
}

void
consumers::Run(std::size_t aFront, double aInterval, bool aIsOnce)
{
  const machine& front = mDeployment.fronts[aFront];
  for (int number = 0; !mIsStopping; ++number) {
    const std::string id = (aIsOnce ? "b" : "c") + std::to_string(aFront) +
                           "-" + std::to_string(number);
    Record("sent " + id + " to " + front.name);
    const http_answer answer = Call(mDeployment.FrontOf(front),
                                    aIsOnce ? "POST" : "GET",
                                    aIsOnce ? "/book/1" : "/status/1",
                                    { { "Host", "desk.example" },
                                      { "X-Attempt-Id", id },
                                      { "X-Deadline-Ms", "1000" } },
                                    "",
                                    1.0);
    Record("answered " + id + " " + std::to_string(answer.status));
    ++(answer.status == 200 && answer.isWhole ? mServed : mFailed);
    const bool saysNothing =
      answer.status == 0 || answer.status == 502 || answer.status == 504;
    mLost += saysNothing ? 1 : 0;
    SleepFor(aInterval);
  }
}

// ---- the operator -----------------------------------------------------------

namespace {

std::string
ModelsOf(const std::vector<model>& aModels)
{
  std::string text;
  for (const model& each : aModels) {
    text += text.empty() ? "" : ",";
    text += R"({"name":")" + each.name + R"(","weightsMb":)" +
            std::to_string(each.weightsMb) + R"(,"loadS":)" +
            std::to_string(each.loadS) + R"(,"adapters":)" +
            std::to_string(each.adapters) + R"(,"adapterMb":)" +
            std::to_string(kAdapterMb) + "}";
  }
  return text;
}

} // namespace

std::string
Configuration(int aVersion, const std::vector<model>& aModels)
{
  const std::string route =
    R"(,"hostname":"desk.example","priority":2,"maxAttempts":2)"
    R"(,"allowAnonymous":true,"sticky":false)";
  std::string routes =
    R"({"name":"status","pathPrefix":"/status/","routeType":"idempotent")"
    R"(,"timeoutMs":1000,"targetLatencyMs":100,"resumable":false)"
    R"(,"service":"desk")" +
    route + R"(},{"name":"book","pathPrefix":"/book/")" +
    R"(,"routeType":"non_idempotent","timeoutMs":1000)" +
    R"(,"targetLatencyMs":100,"resumable":false,"service":"desk")" + route +
    "}";
  std::string services =
    R"({"name":"desk","healthPath":"/health","maxConnections":110)"
    R"(,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0})";
  if (!aModels.empty()) {
    routes += R"(,{"name":"draft","pathPrefix":"/draft/")"
              R"(,"routeType":"streaming","timeoutMs":15000)"
              R"(,"targetLatencyMs":4000,"targetGapMs":200,"resumable":false)"
              R"(,"service":"models")" +
              route + "}";
    services +=
      R"(,{"name":"models","healthPath":"/health","maxConnections":240)"
      R"(,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0)"
      R"(,"engine":{"slots":32,"kvCapacityTokens":79419)"
      R"(,"kvTokenBytes":327680,"models":[)" +
      ModelsOf(aModels) + R"(],"weightsMb":)" + std::to_string(kWeightsMb) +
      R"(,"adapterSlots":5,"loadsPerS":2.8}})";
  }
  return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" +
         routes + R"(],"services":[)" + services +
         R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304)" +
         R"(,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

http_answer
AskModel(deployment& aDeployment,
         const machine& aFront,
         const std::string& aModel,
         const std::string& aId,
         double aTimeout)
{
  Record("sent " + aId + " for " + aModel + " to " + aFront.name);
  http_answer answer = Call(
    aDeployment.FrontOf(aFront),
    "POST",
    "/draft/1",
    { { "Host", "desk.example" },
      { "X-Attempt-Id", aId },
      { "X-Deadline-Ms", std::to_string(static_cast<int>(aTimeout * 1000)) },
      { "X-Model", aModel },
      { "X-Token-Count", "500,80" },
      { "X-Prompt-Prefix", "5c1e07a2:400," + aId.substr(1) + ":100" } },
    "prompt",
    aTimeout);
  Record("answered " + aId + " " + std::to_string(answer.status) +
         (answer.isWhole ? "" : ", not whole"));
  return answer;
}

int
Operate(deployment& aDeployment,
        const std::string& aPath,
        const std::string& aBody,
        std::size_t aFirst,
        double aLimit)
{
  const double until = Elapsed() + aLimit;
  double backoff = 0.1;
  for (std::size_t i = aFirst; Elapsed() < until; ++i) {
    const machine& control =
      aDeployment.controls[i % aDeployment.controls.size()];
    Record("operator sends " + aPath + " to " + control.name);
    const http_answer answer = Call(aDeployment.ControlOf(control),
                                    "POST",
                                    aPath,
                                    { { "Content-Type", "application/json" } },
                                    aBody,
                                    1.0);
    Record("operator has " + std::to_string(answer.status) + " from " +
           control.name);
    if (answer.status / 100 == 2 || answer.status / 100 == 4) {
      return answer.status;
    }
    SleepFor(backoff);
    backoff = std::min(1.0, backoff * 1.5);
  }
  return 0;
}

bool
Prepare(deployment& aDeployment, const std::string& aConfiguration)
{
  if (Operate(aDeployment, "/Config.Replace", aConfiguration, 0, 15) != 200) {
    return false;
  }
  const double until = Elapsed() + 15;
  for (const machine& front : aDeployment.fronts) {
    while (
      Call(aDeployment.ReadyOf(front), "GET", "/readiness", {}, "", 1).status !=
      200) {
      if (Elapsed() > until) {
        return false;
      }
      SleepFor(0.1);
    }
  }
  return true;
}

} // namespace review
