#ifndef BULRUSH_TESTS_SUPPORT_RAW_ENDPOINT_HPP
#define BULRUSH_TESTS_SUPPORT_RAW_ENDPOINT_HPP

/// An endpoint on a bare socket that can truncate its answers or send them
/// without end, which HTTP server libraries prevent. It counts the requests
/// that it ran.

#include <atomic>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace bulrush::test {

/// How the endpoint responds to one request.
enum class response_mode
{
  eComplete,
  eClose,          ///< closes the connection after the request
  eTruncateHead,   ///< closes the connection within the header fields
  eTruncateBody,   ///< sends fewer bytes than Content-Length
  eTruncateChunks, ///< sends only the first half of a stream
  /// The same and a part of an event, then the connection's end or the last
  /// chunk ends the message.
  eEndInsideEvent,
  eEndChunksInsideEvent
};

/// Bytes sent for a request: a start, then a block that is repeated until the
/// caller closes the connection; an empty block for nothing until then.
/// "{attempt}" in the start becomes the id of the request's attempt.
struct endless_answer
{
  std::string start;
  std::string block;
};

class raw_endpoint
{
public:
  static constexpr int kTokens = 8; ///< of each stream

  /// Reports the service "desk", the resident model "draft" and aSlots.
  raw_endpoint(std::string aName,
               std::string aDomain,
               std::vector<std::string> aEntries,
               int aSlots = 8);
  ~raw_endpoint();
  raw_endpoint(const raw_endpoint&) = delete;
  raw_endpoint& operator=(const raw_endpoint&) = delete;

  /// Modes of the next requests, in order; later ones are answered completely.
  void SetResponseModes(std::deque<response_mode> aModes);
  int Runs() const { return mRuns; }

  /// From now on its answers say that it leaves, and its reports do not.
  void SayLeavingInAnswers() { mIsLeaving = true; }

  /// Answers every request from now on, orders too, with these bytes; nullopt
  /// for complete answers.
  void SetEndlessAnswer(std::optional<endless_answer> aAnswer);
  /// Endless answers that began, and those whose caller closed the connection.
  int EndlessBegun() const { return mEndlessBegun; }
  int EndlessClosed() const { return mEndlessClosed; }

  /// From now on it reports as an engine with this memory and no model, so that
  /// it receives orders.
  void ReportEmptyEngine(std::uint64_t aMemoryBytes);

private:
  void Serve();
  void Report();
  void Answer(int aSocket);
  response_mode NextResponseMode();
  std::optional<endless_answer> EndlessAnswer();
  void WaitForClose(int aSocket);
  void SendEndless(int aSocket, const endless_answer& aAnswer);

  std::string mName;
  std::string mDomain;
  std::vector<std::string> mEntries;
  int mListener = -1;
  std::uint16_t mPort = 0;
  int mSequence = 0;
  std::atomic<int> mRuns{ 0 };
  std::atomic<bool> mIsStopping{ false };
  std::atomic<bool> mIsLeaving{ false };
  std::mutex mMutex;
  std::deque<response_mode> mResponseModes;
  std::optional<endless_answer> mEndlessAnswer;
  std::atomic<int> mEndlessBegun{ 0 };
  std::atomic<int> mEndlessClosed{ 0 };
  std::atomic<std::uint64_t> mMemoryBytes{ 0 };
  const int mSlots;
  std::vector<std::thread> mEndlessThreads;
  std::thread mThread;
};

} // namespace bulrush::test

#endif
