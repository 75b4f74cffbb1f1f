#ifndef BULRUSH_TESTS_SUPPORT_RAW_ENDPOINT_HPP
#define BULRUSH_TESTS_SUPPORT_RAW_ENDPOINT_HPP

/// An endpoint on a bare socket, which breaks off answers at a given byte, as
/// no HTTP server library would. It counts what it ran.

#include <atomic>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bulrush::test {

/// What becomes of one request.
enum class raw_fate
{
  eWhole,
  eCloses,         ///< reads the request, then closes
  eTruncatesBody,  ///< fewer bytes than Content-Length says
  eTruncatesChunks ///< a stream without its last half
};

class raw_endpoint
{
public:
  static constexpr int kTokens = 8; ///< of each stream

  /// Reports as a service "desk" that also has the model "draft" resident.
  raw_endpoint(std::string aName,
               std::string aDomain,
               std::vector<std::string> aEntries);
  ~raw_endpoint();
  raw_endpoint(const raw_endpoint&) = delete;
  raw_endpoint& operator=(const raw_endpoint&) = delete;

  /// The next requests take these fates, later ones are answered whole.
  void SetFates(std::deque<raw_fate> aFates);
  int Runs() const { return mRuns; }

private:
  void Serve();
  void Report();
  void Answer(int aSocket);
  raw_fate NextFate();

  std::string mName;
  std::string mDomain;
  std::vector<std::string> mEntries;
  int mListener = -1;
  std::uint16_t mPort = 0;
  int mSequence = 0;
  std::atomic<int> mRuns{ 0 };
  std::atomic<bool> mIsStopping{ false };
  std::mutex mMutex;
  std::deque<raw_fate> mFates;
  std::thread mThread;
};

} // namespace bulrush::test

#endif
