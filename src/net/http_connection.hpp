#ifndef BULRUSH_NET_HTTP_CONNECTION_HPP
#define BULRUSH_NET_HTTP_CONNECTION_HPP

/// One connection of a caller to the HTTP server.

#include "net/net.hpp"

#include <asio/ip/tcp.hpp>
#include <http_parser.h>

#include <deque>

namespace bulrush::net {

/// What the connections of one server share.
struct server_state
{
  http_server_settings settings;
  http_server::request_hook onRequest;
  std::size_t unsentAnswers = 0;
  bool isDraining = false; ///< answers close their connections
  std::function<void()> onFlushed;
};

class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
  http_connection(asio::ip::tcp::socket aSocket,
                  std::shared_ptr<server_state> aState);

  void Start();
  /// Ends it if its time is over; returns when to look again.
  steady_time CheckTime(steady_time aNow);
  /// Ends it at once when no request is being read or answered.
  void CloseIfIdle();
  void Close();
  bool IsClosed() const { return mPhase == phase::eClosed; }

  // For the reply to the request numbered aRequest; others change nothing.
  void SendWhole(std::uint64_t aRequest,
                 int aStatus,
                 const std::vector<http_field>& aFields,
                 const std::string& aBody);
  void SendHead(std::uint64_t aRequest,
                int aStatus,
                const std::vector<http_field>& aFields);
  void SendChunk(std::uint64_t aRequest, const std::string& aBytes);
  void SendEnd(std::uint64_t aRequest);
  void Abort(std::uint64_t aRequest);
  std::size_t UnsentBytes(std::uint64_t aRequest) const;

private:
  enum class phase : std::uint8_t
  {
    eHead,      ///< waits for a request or reads its head
    eBody,      ///< reads its body
    eAnswering, ///< the request was handed over
    eLinger,    ///< the last answer has left; what still comes is dropped
    eClosed
  };

  void Read();
  void OnRead(std::size_t aCount);
  void Process();
  bool ProcessHead();
  bool ProcessBody();
  void HandOver();
  void Refuse(int aStatus, const std::string& aText);
  void TellGone();

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
  steady_time mPhaseEnds;
  std::array<char, 16'384> mBuffer{};
  std::string mInput; ///< read and not parsed
  bool mIsReading = false;

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
  bool mIsStarted = false;  ///< the head of a chunked answer is in the queue
  bool mIsAnswered = false; ///< all of the answer is in the queue
};

} // namespace bulrush::net

#endif
