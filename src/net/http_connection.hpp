#ifndef BULRUSH_NET_HTTP_CONNECTION_HPP
#define BULRUSH_NET_HTTP_CONNECTION_HPP

/// A connection of a caller to the HTTP server.

#include "net/net.hpp"

#include <asio/ip/tcp.hpp>
#include <http_parser.h>

#include <deque>

namespace bulrush::net {

/// State shared by the connections of one server.
struct server_state
{
  http_server_settings settings;
  http_server::request_hook onRequest;
  std::size_t unsentAnswers = 0;
  bool isDraining = false; ///< answers that begin close their connections
  bool isStopping = false; ///< requests that are not read in full are refused
  std::function<void()> onFlushed;
  /// Of all connections, each for the time of one read.
  std::array<char, 16'384> readBuffer{};
};

class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
  http_connection(asio::ip::tcp::socket aSocket,
                  std::shared_ptr<server_state> aState);

  void Start();
  /// Closes the connection, or answers 408, if its deadline has passed; returns
  /// the next deadline.
  steady_time CheckTimeout(steady_time aNow);
  /// Refuses a request that has not arrived in full: the server stops.
  void RefuseIfPartial();
  void Close();
  bool IsClosed() const { return mPhase == phase::eClosed; }

  // For the reply to request number aRequest; ignored if it is not the current
  // one.
  /// These two return the bytes of the body that were accepted.
  std::size_t SendAnswer(std::uint64_t aRequest,
                         int aStatus,
                         const std::vector<http_field>& aFields,
                         std::string aBody);
  void SendHead(std::uint64_t aRequest,
                int aStatus,
                const std::vector<http_field>& aFields);
  std::size_t SendChunk(std::uint64_t aRequest, const std::string& aBytes);
  void SendEnd(std::uint64_t aRequest);
  void Abort(std::uint64_t aRequest);
  std::size_t UnsentBytes(std::uint64_t aRequest) const;
  bool HasCaller(std::uint64_t aRequest);

private:
  enum class phase : std::uint8_t
  {
    eHead,      ///< waiting for a request or reading its head
    eBody,      ///< reading its body
    eAnswering, ///< the request was dispatched
    eLinger,    ///< the last answer was sent; further input is discarded
    eClosed
  };

  void BeginHead();
  http_server_limits Limits() const;
  steady_time Deadline() const;
  void Read();
  void OnReadable(std::error_code aError);
  void OnRead(std::size_t aCount);
  void Process();
  bool ProcessHead();
  bool ProcessBody();
  void DescribeRequest();
  std::chrono::milliseconds TimeSinceArrival();
  void Dispatch();
  void Refuse(int aStatus, const std::string& aText);
  void Refuse(read_refusal aReason, int aStatus, const std::string& aText);
  void NotifyDisconnected();
  bool IsPartial() const;

  // http_memory.cpp
  memory::owner_id Owner() const;
  std::size_t InputBytes() const;
  std::size_t RemainingBody() const;
  std::shared_ptr<memory::holder> TakeRequestHolder();
  bool HasRoom(std::size_t aSize, std::size_t aMissing);
  void CountInput();
  void SetReadPause(bool aIsPaused);
  void RefuseForMemory();
  void CountOutput();
  void EndUnread(const std::string& aReason);

  bool MayAnswer(std::uint64_t aRequest) const;
  void Queue(std::string aBytes);
  void Write();
  void OnWritten(std::size_t aCount);
  void OnAnswerSent();
  void BeginLinger();
  std::string FormatHead(int aStatus,
                         const std::vector<http_field>& aFields,
                         const std::string& aFraming);

  static http_parser_settings ParserSettings();

  asio::ip::tcp::socket mSocket;
  std::shared_ptr<server_state> mState;
  std::string mPeer;
  phase mPhase = phase::eHead;
  steady_time mPhaseDeadline; ///< other than of eHead
  steady_time mHeadStart;     ///< idle, or reading a head, since then
  http_server_limits mLimits; ///< those in force at mHeadStart
  /// For which an answer said that the connection stays open.
  std::chrono::seconds mKeepAliveTime{ 0 };
  std::string mInput; ///< read and not yet parsed
  bool mIsReading = false;
  bool mIsReadPaused = false;
  steady_time mReadPausedAt;
  std::shared_ptr<memory::holder> mHeldInput; ///< of a request that arrives
  memory::holder mHeldOutput;

  http_parser mParser{};
  http_request mRequest;
  std::string mField;
  bool mIsComplete = false;
  bool mIsTooLarge = false;
  bool mKeepsAlive = true;
  bool mIsHeadRequest = false;
  std::uint64_t mRequestNumber = 0;
  std::weak_ptr<http_reply> mReply;

  std::string mOutput;  ///< to be written next
  std::string mWriting; ///< being written
  bool mIsWriting = false;
  bool mIsStarted = false;  ///< the head of a chunked answer is queued
  bool mIsAnswered = false; ///< the complete answer is queued
  bool mHoldsFlush = false; ///< counted as unsent until it is closed
};

} // namespace bulrush::net

#endif
