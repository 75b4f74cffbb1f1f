#ifndef BULRUSH_TESTS_SUPPORT_RAW_ENDPOINT_HPP
#define BULRUSH_TESTS_SUPPORT_RAW_ENDPOINT_HPP

/// An endpoint on a bare socket that can truncate its answers, which HTTP
/// server libraries prevent. It counts the requests that it ran.

#include <atomic>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bulrush::test {

/// How the endpoint responds to one request.
enum class response_mode
{
  eComplete,
  eClose,         ///< closes the connection after the request
  eTruncateBody,  ///< sends fewer bytes than Content-Length
  eTruncateChunks ///< sends only the first half of a stream
};

class raw_endpoint
{
public:
  static constexpr int kTokens = 8; ///< of each stream

  /// Reports the service "desk" and the resident model "draft".
  raw_endpoint(std::string aName,
               std::string aDomain,
               std::vector<std::string> aEntries);
  ~raw_endpoint();
  raw_endpoint(const raw_endpoint&) = delete;
  raw_endpoint& operator=(const raw_endpoint&) = delete;

  /// Modes of the next requests, in order; later ones are answered completely.
  void SetResponseModes(std::deque<response_mode> aModes);
  int Runs() const { return mRuns; }

private:
  void Serve();
  void Report();
  void Answer(int aSocket);
  response_mode NextResponseMode();

  std::string mName;
  std::string mDomain;
  std::vector<std::string> mEntries;
  int mListener = -1;
  std::uint16_t mPort = 0;
  int mSequence = 0;
  std::atomic<int> mRuns{ 0 };
  std::atomic<bool> mIsStopping{ false };
  std::mutex mMutex;
  std::deque<response_mode> mResponseModes;
  std::thread mThread;
};

} // namespace bulrush::test

#endif
