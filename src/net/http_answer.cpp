/// The answers on a caller's connection, and its end.

#include "net/http_connection.hpp"

#include "net/http_status.hpp"

#include <asio/write.hpp>
#include <fmt/format.h>

namespace bulrush::net {
namespace {

/// Time for a caller to read the last answer before the connection is closed.
/// Closing at once with unread input would reset the connection and could
/// destroy the answer.
constexpr std::chrono::seconds kLingerTimeout{ 1 };
/// A larger body is written by itself and not copied behind its head.
constexpr std::size_t kMaxCopiedBytes = 65'536;

// Whole seconds below the time after which an idle connection is closed.
std::chrono::seconds
KeepAliveTime(std::chrono::milliseconds aIdleTimeout)
{
  return std::chrono::duration_cast<std::chrono::seconds>(
    aIdleTimeout - std::chrono::milliseconds{ 1 });
}

} // namespace

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
                      self->mWriting = {};
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
  std::error_code ignored; // the socket is released in any case
  mSocket.close(ignored);
  if (hasUnsent && --mState->unsentAnswers == 0 && mState->onFlushed) {
    std::exchange(mState->onFlushed, nullptr)();
  }
}

} // namespace bulrush::net
