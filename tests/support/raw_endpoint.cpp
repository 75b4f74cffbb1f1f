#include "support/raw_endpoint.hpp"

#include "support/processes.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bulrush::test {

namespace {

using nlohmann::json;

constexpr int kReportIntervalMs = 400;
constexpr int kBacklog = 64;
constexpr std::size_t kEndlessBlockBytes = 65'536;
constexpr std::string_view kAttemptMark = "{attempt}";

// Head and body of one request; empty when the peer closed too early.
std::string
ReadRequest(int aSocket)
{
  std::string text;
  std::array<char, 4096> buffer{};
  for (;;) {
    const std::size_t end = text.find("\r\n\r\n");
    if (end != std::string::npos) {
      const std::string length = HeaderField(text, "Content-Length");
      const std::size_t body = length.empty() ? 0 : std::stoul(length);
      if (text.size() >= end + 4 + body) {
        return text;
      }
    }
    const ssize_t count = recv(aSocket, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
      return "";
    }
    text.append(buffer.data(), static_cast<std::size_t>(count));
  }
}

void
SendAll(int aSocket, const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const ssize_t count =
      send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return;
    }
    sent += static_cast<std::size_t>(count);
  }
}

std::string
Chunk(const std::string& aText)
{
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", aText.size());
  return size.data() + aText + "\r\n";
}

std::string
TokenEvent(int aToken)
{
  const json delta = { { "content", "t" + std::to_string(aToken) + " " } };
  const json choice = { { "index", 0 }, { "delta", delta } };
  return "data: " + json{ { "choices", { choice } } }.dump() + "\n\n";
}

std::string
StreamAnswer(const std::string& aHead, response_mode aMode)
{
  const bool isHalf = aMode == response_mode::eTruncateChunks ||
                      aMode == response_mode::eEndInsideEvent ||
                      aMode == response_mode::eEndChunksInsideEvent;
  const bool isChunked = aMode != response_mode::eEndInsideEvent;
  const auto frame = [isChunked](const std::string& aText) {
    return isChunked ? Chunk(aText) : aText;
  };
  const std::string resume = HeaderField(aHead, "Bulrush-Resume");
  const int from = resume.empty() ? 0 : std::stoi(resume);
  const int to = isHalf ? raw_endpoint::kTokens / 2 : raw_endpoint::kTokens;
  std::string answer = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
  answer += isChunked ? "Transfer-Encoding: chunked\r\n" : "";
  answer += "Connection: close\r\nBulrush-Resume: " + std::to_string(from) +
            "\r\nBulrush-Attempt: " + HeaderField(aHead, "Bulrush-Attempt") +
            "\r\n\r\n";
  for (int token = from; token < to; ++token) {
    answer += frame(TokenEvent(token));
  }
  if (!isHalf) {
    answer += frame("data: [DONE]\n\n");
  } else if (aMode != response_mode::eTruncateChunks) {
    const std::string event = TokenEvent(std::max(from, to));
    answer += frame(event.substr(0, event.size() / 2));
  }
  if (isChunked && aMode != response_mode::eTruncateChunks) {
    answer += "0\r\n\r\n";
  }
  return answer;
}

std::string
JsonAnswer(const std::string& aHead, bool aIsTruncated)
{
  const std::string body = "{\"ok\":true}";
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
         "Connection: close\r\nContent-Length: " +
         std::to_string(body.size()) +
         "\r\nBulrush-Attempt: " + HeaderField(aHead, "Bulrush-Attempt") +
         "\r\n\r\n" + (aIsTruncated ? body.substr(0, 4) : body);
}

} // namespace

raw_endpoint::raw_endpoint(std::string aName,
                           std::string aDomain,
                           std::vector<std::string> aEntries,
                           int aSlots)
  : mName(std::move(aName))
  , mDomain(std::move(aDomain))
  , mEntries(std::move(aEntries))
  , mSlots(aSlots)
{
  mListener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* genericAddress = reinterpret_cast<sockaddr*>(&address);
  if (bind(mListener, genericAddress, size) != 0 ||
      listen(mListener, kBacklog) != 0 ||
      getsockname(mListener, genericAddress, &size) != 0) {
    throw std::runtime_error("raw endpoint: cannot listen on loopback");
  }
  mPort = ntohs(address.sin_port);
  mThread = std::thread([this] { Serve(); });
}

raw_endpoint::~raw_endpoint()
{
  mIsStopping = true;
  mThread.join();
  for (std::thread& thread : mEndlessThreads) {
    thread.join();
  }
  close(mListener);
}

void
raw_endpoint::SetResponseModes(std::deque<response_mode> aModes)
{
  const std::lock_guard guard(mMutex);
  mResponseModes = std::move(aModes);
}

response_mode
raw_endpoint::NextResponseMode()
{
  const std::lock_guard guard(mMutex);
  if (mResponseModes.empty()) {
    return response_mode::eComplete;
  }
  const response_mode mode = mResponseModes.front();
  mResponseModes.pop_front();
  return mode;
}

void
raw_endpoint::SetEndlessAnswer(std::optional<endless_answer> aAnswer)
{
  const std::lock_guard guard(mMutex);
  mEndlessAnswer = std::move(aAnswer);
}

std::optional<endless_answer>
raw_endpoint::EndlessAnswer()
{
  const std::lock_guard guard(mMutex);
  return mEndlessAnswer;
}

void
raw_endpoint::ReportEmptyEngine(std::uint64_t aMemoryBytes)
{
  mMemoryBytes = aMemoryBytes;
}

// Sends without blocking, so that a caller that neither reads nor closes does
// not keep the destructor waiting.
void
raw_endpoint::SendEndless(int aSocket, const endless_answer& aAnswer)
{
  const std::string request = ReadRequest(aSocket);
  if (request.empty()) {
    close(aSocket);
    return;
  }
  ++mEndlessBegun;
  std::string start = aAnswer.start;
  const std::size_t mark = start.find(kAttemptMark);
  if (mark != std::string::npos) {
    start.replace(
      mark, kAttemptMark.size(), HeaderField(request, "Bulrush-Attempt"));
  }
  SendAll(aSocket, start);
  if (aAnswer.block.empty()) {
    WaitForClose(aSocket);
    return;
  }
  std::string block;
  while (block.size() < kEndlessBlockBytes) {
    block += aAnswer.block;
  }
  std::size_t sent = 0;
  while (!mIsStopping) {
    pollfd socket{ aSocket, POLLOUT, 0 };
    if (poll(&socket, 1, kReportIntervalMs) <= 0) {
      continue;
    }
    const ssize_t count = send(aSocket,
                               block.data() + sent,
                               block.size() - sent,
                               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count <= 0) {
      ++mEndlessClosed;
      break;
    }
    sent = (sent + static_cast<std::size_t>(count)) % block.size();
  }
  close(aSocket);
}

void
raw_endpoint::WaitForClose(int aSocket)
{
  char byte = 0;
  while (!mIsStopping) {
    pollfd socket{ aSocket, POLLIN, 0 };
    if (poll(&socket, 1, kReportIntervalMs) > 0 &&
        recv(aSocket, &byte, 1, 0) <= 0) {
      ++mEndlessClosed;
      break;
    }
  }
  close(aSocket);
}

void
raw_endpoint::Serve()
{
  while (!mIsStopping) {
    Report();
    pollfd listener{ mListener, POLLIN, 0 };
    while (poll(&listener, 1, kReportIntervalMs) > 0) {
      const int accepted = accept(mListener, nullptr, nullptr);
      if (auto endless = EndlessAnswer()) {
        mEndlessThreads.emplace_back(
          [this, accepted, answer = std::move(*endless)] {
            SendEndless(accepted, answer);
          });
        continue;
      }
      Answer(accepted);
      close(accepted);
    }
  }
}

void
raw_endpoint::Report()
{
  const json draft = { { "model", "draft" }, { "version", "1" } };
  const std::uint64_t memory = mMemoryBytes;
  const json residents = memory == 0 ? json::array({ draft }) : json::array();
  const json report = { { "endpoint", mName },
                        { "memory_bytes", memory },
                        { "incarnation", 1 },
                        { "sequence", ++mSequence },
                        { "address", "127.0.0.1:" + std::to_string(mPort) },
                        { "failure_domain", mDomain },
                        { "slots", mSlots },
                        { "cold_slots", mSlots },
                        { "resume", true },
                        { "residents", residents },
                        { "services", json::array({ "desk" }) } };
  for (const std::string& entry : mEntries) {
    SendHttpRequest("POST",
                    "http://" + entry + "/v1/endpoints/report",
                    { "Content-Type: application/json" },
                    report.dump());
  }
}

// A complete request counts as run, even if its answer is truncated or missing.
void
raw_endpoint::Answer(int aSocket)
{
  const std::string request = ReadRequest(aSocket);
  if (request.empty() || request.starts_with("POST /orders")) {
    return;
  }
  ++mRuns;
  const response_mode mode = NextResponseMode();
  if (mode == response_mode::eClose) {
    return;
  }
  const bool isStream = request.find("\"stream\":true") != std::string::npos;
  std::string answer =
    isStream ? StreamAnswer(request, mode)
             : JsonAnswer(request, mode == response_mode::eTruncateBody);
  if (mIsLeaving) {
    const std::size_t statusEnd = answer.find("\r\n") + 2;
    answer.insert(statusEnd, "Bulrush-Leaving: true\r\n");
  }
  if (mode == response_mode::eTruncateHead) {
    const std::size_t statusEnd = answer.find("\r\n") + 2;
    answer.resize(answer.find("\r\n", statusEnd) + 2);
  }
  SendAll(aSocket, answer);
}

} // namespace bulrush::test
