#include "net/http_connection.hpp"

#include "net/http_head.hpp"
#include "net/http_status.hpp"

#include <asio/write.hpp>
#include <fmt/format.h>

#include <tuple>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bulrush::net {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
/// Limit for pipelined input that is buffered while a request is answered.
constexpr std::size_t kMaxPipelinedBytes = 65'536;
/// Time for a caller to read the last answer before the connection is closed.
/// Closing at once with unread input would reset the connection and could
/// destroy the answer.
constexpr std::chrono::seconds kLingerTimeout{ 1 };
constexpr int kStoppingStatus = 503;
/// A larger body is written by itself and not copied behind its head.
constexpr std::size_t kMaxCopiedBytes = 65'536;

// Whole seconds below the time after which an idle connection is closed.
std::chrono::seconds
KeepAliveTime(std::chrono::milliseconds aIdleTimeout)
{
  return std::chrono::duration_cast<std::chrono::seconds>(
    aIdleTimeout - std::chrono::milliseconds{ 1 });
}

// An assignment of {} would keep the block for the life of the connection.
void
FreeBlock(std::string& aText)
{
  std::string().swap(aText);
}

class connection_reply : public http_reply
{
public:
  connection_reply(std::weak_ptr<http_connection> aConnection,
                   std::uint64_t aRequest)
    : mConnection(std::move(aConnection))
    , mRequest(aRequest)
  {
  }

  void Send(int aStatus,
            const std::vector<http_field>& aFields,
            std::string aBody) override
  {
    if (const auto connection = mConnection.lock()) {
      Count(
        connection->SendAnswer(mRequest, aStatus, aFields, std::move(aBody)));
    }
  }
  void Start(int aStatus, const std::vector<http_field>& aFields) override
  {
    if (const auto connection = mConnection.lock()) {
      connection->SendHead(mRequest, aStatus, aFields);
    }
  }
  void Write(std::string aBytes) override
  {
    if (const auto connection = mConnection.lock()) {
      Count(connection->SendChunk(mRequest, aBytes));
    }
  }
  void Finish() override
  {
    if (const auto connection = mConnection.lock()) {
      connection->SendEnd(mRequest);
    }
  }
  void Abort() override
  {
    if (const auto connection = mConnection.lock()) {
      connection->Abort(mRequest);
    }
  }
  std::size_t UnsentBytes() const override
  {
    const auto connection = mConnection.lock();
    return connection ? connection->UnsentBytes(mRequest) : 0;
  }
  bool HasCaller() const override
  {
    const auto connection = mConnection.lock();
    return connection && connection->HasCaller(mRequest);
  }
  passed_body Passed() const override { return mPassed; }

private:
  void Count(std::size_t aBytes)
  {
    if (aBytes > 0 && !mPassed.firstAt) {
      mPassed.firstAt = Now();
    }
    mPassed.bytes += aBytes;
  }

  std::weak_ptr<http_connection> mConnection;
  std::uint64_t mRequest;
  passed_body mPassed;
};

} // namespace

// Parser callbacks, which store the parts of the request in mRequest.
http_parser_settings
http_connection::ParserSettings()
{
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_url =
    [](http_parser* aParser, const char* aAt, std::size_t aCount) {
      static_cast<http_connection*>(aParser->data)
        ->mRequest.target.append(aAt, aCount);
      return 0;
    };
  settings.on_header_field =
    [](http_parser* aParser, const char* aAt, std::size_t aCount) {
      auto& fields =
        static_cast<http_connection*>(aParser->data)->mRequest.fields;
      fields.push_back({ std::string(aAt, aCount), "" });
      return 0;
    };
  settings.on_header_value =
    [](http_parser* aParser, const char* aAt, std::size_t aCount) {
      auto& fields =
        static_cast<http_connection*>(aParser->data)->mRequest.fields;
      fields.back().value.append(aAt, aCount);
      return 0;
    };
  settings.on_body = [](http_parser* aParser,
                        const char* aAt,
                        std::size_t aCount) {
    auto& connection = *static_cast<http_connection*>(aParser->data);
    const std::size_t limit = connection.Limits().maxBodyBytes;
    connection.mIsTooLarge |= connection.mRequest.body.size() + aCount > limit;
    if (connection.mIsTooLarge) {
      return 1;
    }
    connection.mRequest.body.append(aAt, aCount);
    return 0;
  };
  settings.on_message_complete = [](http_parser* aParser) {
    static_cast<http_connection*>(aParser->data)->mIsComplete = true;
    http_parser_pause(aParser, 1);
    return 0;
  };
  return settings;
}

http_connection::http_connection(asio::ip::tcp::socket aSocket,
                                 std::shared_ptr<server_state> aState)
  : mSocket(std::move(aSocket))
  , mState(std::move(aState))
{
  std::error_code ignored; // a lost connection fails at the first read
  const auto remote = mSocket.remote_endpoint(ignored);
  mPeer = fmt::format("{}:{}", remote.address().to_string(), remote.port());
  mSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  mSocket.non_blocking(true, ignored);
}

void
http_connection::Start()
{
  BeginHead();
  Read();
}

void
http_connection::Read()
{
  if (mIsReading || mIsReadPaused || IsClosed() ||
      mInput.size() > kMaxPipelinedBytes) {
    return;
  }
  mIsReading = true;
  mSocket.async_wait(
    asio::ip::tcp::socket::wait_read,
    [self = shared_from_this()](const std::error_code& aError) {
      self->mIsReading = false;
      self->OnReadable(aError);
    });
}

void
http_connection::OnReadable(std::error_code aError)
{
  if (mIsReadPaused || IsClosed()) {
    return;
  }
  std::size_t count = 0;
  if (!aError) {
    count = mSocket.read_some(asio::buffer(mState->readBuffer), aError);
  }
  if (aError == asio::error::would_block) {
    Read();
  } else if (aError) {
    NotifyDisconnected();
    Close();
  } else {
    OnRead(count);
  }
}

void
http_connection::OnRead(std::size_t aCount)
{
  if (mPhase == phase::eLinger) {
    Read();
    return;
  }
  if (mPhase == phase::eHead && mInput.empty()) {
    BeginHead();
  }
  mInput.append(mState->readBuffer.data(), aCount);
  Process();
  if (mState->isStopping) {
    RefuseIfPartial();
  }
  CountInput();
  Read();
}

void
http_connection::Process()
{
  bool canContinue = true;
  while (canContinue && !mInput.empty()) {
    switch (mPhase) {
      case phase::eHead:
        canContinue = ProcessHead();
        break;
      case phase::eBody:
        canContinue = ProcessBody();
        break;
      default:
        return;
    }
  }
}

// The head is parsed only after all of it was checked.
bool
http_connection::ProcessHead()
{
  while (mInput.starts_with("\r\n")) {
    mInput.erase(0, 2); // RFC 9112 allows empty lines before a request
  }
  const std::size_t end = mInput.find(kHeadEnd);
  const std::size_t limit = Limits().maxHeaderBytes;
  if (std::min(end, mInput.size()) > limit) {
    Refuse(431, "the head is larger than " + std::to_string(limit) + " bytes");
    return false;
  }
  if (end == std::string::npos) {
    if (const auto error = CheckHeadBytes(mInput)) {
      Refuse(400, *error);
    }
    return false;
  }
  const std::string_view head =
    std::string_view(mInput).substr(0, end + kHeadEnd.size());
  if (const auto error = CheckHead(head)) {
    Refuse(400, *error);
    return false;
  }
  http_parser_init(&mParser, HTTP_REQUEST);
  mParser.data = this;
  mRequest = {};
  mIsComplete = false;
  mIsTooLarge = false;
  mPhase = phase::eBody;
  mPhaseDeadline = Now() + mState->settings.readTimeout;
  const bool canContinue = ProcessBody();
  const bool isPartial = mPhase == phase::eBody;
  if (isPartial && !HasRoom(RemainingBody(), RemainingBody())) {
    RefuseForMemory();
    return false;
  }
  if (isPartial && FindField(mRequest.fields, "Expect") != nullptr) {
    Queue("HTTP/1.1 100 Continue\r\n\r\n");
  }
  return canContinue;
}

bool
http_connection::ProcessBody()
{
  static const http_parser_settings kSettings = ParserSettings();
  const std::size_t used =
    http_parser_execute(&mParser, &kSettings, mInput.data(), mInput.size());
  if (mIsTooLarge) {
    Refuse(413,
           "the body is larger than " + std::to_string(Limits().maxBodyBytes) +
             " bytes");
    return false;
  }
  const http_errno error = HTTP_PARSER_ERRNO(&mParser);
  if (!mIsComplete && error != HPE_OK) {
    Refuse(400, http_errno_description(error));
    return false;
  }
  mInput.erase(0, used);
  if (!mIsComplete) {
    return false;
  }
  http_parser_pause(&mParser, 0);
  Dispatch();
  return false;
}

// Also of a request that is refused, whose fields may not have been parsed.
void
http_connection::DescribeRequest()
{
  mRequest.peer = mPeer;
  mRequest.method = http_method_str(static_cast<http_method>(mParser.method));
  std::tie(mRequest.path, mRequest.query) = SplitTarget(mRequest.target);
}

// The kernel takes bytes while the process is suspended. Zero where it does not
// tell.
std::chrono::milliseconds
http_connection::TimeSinceArrival()
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  const bool isKnown =
    ::getsockopt(
      mSocket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
  return std::chrono::milliseconds{ isKnown ? info.tcpi_last_data_recv : 0 };
}

void
http_connection::Dispatch()
{
  if (!HasRoom(InputBytes(), mHeldInput ? 0 : InputBytes())) {
    RefuseForMemory();
    return;
  }
  mPhase = phase::eAnswering;
  mPhaseDeadline = steady_time::max();
  mKeepsAlive = http_should_keep_alive(&mParser) != 0;
  mIsAnswered = false;
  mIsStarted = false;
  mIsHeadRequest = mParser.method == HTTP_HEAD;
  DescribeRequest();
  mRequest.unreadFor = TimeSinceArrival();
  mRequest.held = TakeRequestHolder();
  ++mState->unsentAnswers;
  const auto reply =
    std::make_shared<connection_reply>(weak_from_this(), ++mRequestNumber);
  mReply = reply;
  mState->onRequest(std::move(mRequest), reply);
}

// After an invalid request the start of the next one is unknown, so the
// connection is closed after the answer.
void
http_connection::Refuse(int aStatus, const std::string& aText)
{
  Refuse(read_refusal::eInvalid, aStatus, aText);
}

void
http_connection::Refuse(read_refusal aReason,
                        int aStatus,
                        const std::string& aText)
{
  mHeldInput.reset();
  mIsReadPaused = false;
  mPhase = phase::eAnswering;
  mPhaseDeadline = steady_time::max();
  mKeepsAlive = false;
  mIsAnswered = false;
  mIsStarted = false;
  mIsHeadRequest = false;
  mInput.clear();
  ++mState->unsentAnswers;
  const auto reply =
    std::make_shared<connection_reply>(weak_from_this(), ++mRequestNumber);
  DescribeRequest();
  FreeBlock(mRequest.body);
  const http_request head = std::exchange(mRequest, {});
  if (mState->settings.onReadError) {
    mState->settings.onReadError(*reply, { aReason, aStatus, aText, &head });
  } else {
    reply->Send(aStatus, { { "Content-Type", "text/plain" } }, aText + "\n");
  }
}

// The flush waits until the caller closes, since exiting with unread input
// would reset the connection and could destroy the answer.
void
http_connection::RefuseIfPartial()
{
  if (IsPartial()) {
    mHoldsFlush = true;
    Refuse(
      read_refusal::eStopping, kStoppingStatus, "this host is being stopped");
  }
}

bool
http_connection::IsPartial() const
{
  return mPhase == phase::eBody || (mPhase == phase::eHead && !mInput.empty());
}

void
http_connection::NotifyDisconnected()
{
  if (mPhase != phase::eAnswering || mIsAnswered) {
    return;
  }
  if (const auto reply = mReply.lock()) {
    mReply.reset();
    if (const auto hook = std::exchange(reply->onDisconnected, nullptr)) {
      hook();
    }
  }
}

// Answers ---------------------------------------------------------------------

std::string
http_connection::FormatHead(int aStatus,
                            const std::vector<http_field>& aFields,
                            const std::string& aFraming)
{
  mKeepsAlive = mKeepsAlive && !mState->isDraining;
  std::string head =
    fmt::format("HTTP/1.1 {} {}\r\n", aStatus, ReasonPhrase(aStatus));
  for (const http_field& field : aFields) {
    head += field.name;
    head += ": ";
    head += field.value;
    head += "\r\n";
  }
  head += aFraming;
  if (!mKeepsAlive) {
    head += "Connection: close\r\n";
  } else {
    mKeepAliveTime = KeepAliveTime(mState->settings.idleTimeout);
    if (mKeepAliveTime > std::chrono::seconds{ 0 }) {
      head += fmt::format("Keep-Alive: timeout={}\r\n", mKeepAliveTime.count());
    }
  }
  head += "\r\n";
  return head;
}

// False for a reply that was already sent or whose connection has moved on to
// the next request.
bool
http_connection::MayAnswer(std::uint64_t aRequest) const
{
  return aRequest == mRequestNumber && mPhase == phase::eAnswering &&
         !mIsAnswered;
}

std::size_t
http_connection::SendAnswer(std::uint64_t aRequest,
                            int aStatus,
                            const std::vector<http_field>& aFields,
                            std::string aBody)
{
  if (!MayAnswer(aRequest) || mIsStarted) {
    return 0;
  }
  mIsAnswered = true;
  const bool hasBody = !HasNoBody(aStatus);
  std::string bytes = FormatHead(
    aStatus,
    aFields,
    hasBody ? fmt::format("Content-Length: {}\r\n", aBody.size()) : "");
  if (!hasBody || mIsHeadRequest) {
    Queue(std::move(bytes));
    return 0;
  }
  const std::size_t count = aBody.size();
  if (aBody.size() <= kMaxCopiedBytes) {
    Queue(std::move(bytes += aBody));
  } else {
    Queue(std::move(bytes));
    Queue(std::move(aBody));
  }
  return count;
}

void
http_connection::SendHead(std::uint64_t aRequest,
                          int aStatus,
                          const std::vector<http_field>& aFields)
{
  if (!MayAnswer(aRequest) || mIsStarted) {
    return;
  }
  mIsStarted = true;
  mOutput += FormatHead(aStatus, aFields, "Transfer-Encoding: chunked\r\n");
}

std::size_t
http_connection::SendChunk(std::uint64_t aRequest, const std::string& aBytes)
{
  if (!MayAnswer(aRequest) || !mIsStarted || aBytes.empty()) {
    return 0;
  }
  mOutput += fmt::format("{:x}\r\n", aBytes.size());
  mOutput += aBytes;
  Queue("\r\n");
  return aBytes.size();
}

void
http_connection::SendEnd(std::uint64_t aRequest)
{
  if (!MayAnswer(aRequest) || !mIsStarted) {
    return;
  }
  mIsAnswered = true;
  Queue("0\r\n\r\n");
}

// The caller detects the truncation by the missing last chunk. What was written
// before is still sent, for a limited time.
void
http_connection::Abort(std::uint64_t aRequest)
{
  if (!MayAnswer(aRequest)) {
    return;
  }
  if (!mIsWriting && mOutput.empty()) {
    Close();
    return;
  }
  mIsAnswered = true;
  mKeepsAlive = false;
  mPhaseDeadline = Now() + kLingerTimeout;
  Write();
}

std::size_t
http_connection::UnsentBytes(std::uint64_t aRequest) const
{
  return aRequest == mRequestNumber ? mOutput.size() + mWriting.size() : 0;
}

// A pipelined request hides the end behind it; its caller has not left.
bool
http_connection::HasCaller(std::uint64_t aRequest)
{
  if (!MayAnswer(aRequest)) {
    return false;
  }
  char byte = 0;
  std::error_code error;
  mSocket.receive(
    asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return !error || error == asio::error::would_block;
}

void
http_connection::Queue(std::string aBytes)
{
  if (mOutput.empty()) {
    mOutput = std::move(aBytes);
  } else {
    mOutput += aBytes;
  }
  CountOutput();
  Write();
}

// Output that is queued during a write is sent with the next one.
void
http_connection::Write()
{
  if (mIsWriting || mOutput.empty() || IsClosed()) {
    return;
  }
  mIsWriting = true;
  mWriting = std::exchange(mOutput, {});
  asio::async_write(mSocket,
                    asio::buffer(mWriting),
                    [self = shared_from_this()](const std::error_code& aError,
                                                std::size_t aCount) {
                      self->mIsWriting = false;
                      FreeBlock(self->mWriting);
                      self->CountOutput();
                      if (aError) {
                        self->NotifyDisconnected();
                        self->Close();
                      } else {
                        self->OnWritten(aCount);
                      }
                    });
}

void
http_connection::OnWritten(std::size_t /*aCount*/)
{
  if (!mOutput.empty()) {
    Write();
    return;
  }
  if (mPhase == phase::eAnswering && mIsAnswered) {
    OnAnswerSent();
    return;
  }
  const auto reply = mReply.lock();
  if (reply && reply->onDrained) {
    reply->onDrained();
  }
}

// A caller that was not told that the connection closes may have sent its next
// request already, so only an answer that says so closes it.
void
http_connection::OnAnswerSent()
{
  mIsAnswered = false;
  if (!mHoldsFlush) {
    --mState->unsentAnswers;
  }
  if (!mKeepsAlive) {
    BeginLinger();
  } else {
    BeginHead();
    Process();
    Read();
  }
  if (mState->unsentAnswers == 0 && mState->onFlushed) {
    std::exchange(mState->onFlushed, nullptr)();
  }
}

void
http_connection::BeginLinger()
{
  mPhase = phase::eLinger;
  mPhaseDeadline = Now() + kLingerTimeout;
  mInput.clear();
  std::error_code ignored; // the peer may have closed first
  mSocket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  Read();
}

void
http_connection::Close()
{
  if (IsClosed()) {
    return;
  }
  const bool hasUnsent = mPhase == phase::eAnswering || mHoldsFlush;
  mPhase = phase::eClosed;
  mHeldInput.reset();
  mHeldOutput = {};
  // The server keeps a closed connection for a while; mWriting is freed when
  // its write ends.
  FreeBlock(mOutput);
  FreeBlock(mInput);
  std::error_code ignored; // the socket is released in any case
  mSocket.close(ignored);
  if (hasUnsent && --mState->unsentAnswers == 0 && mState->onFlushed) {
    std::exchange(mState->onFlushed, nullptr)();
  }
}
} // namespace bulrush::net
