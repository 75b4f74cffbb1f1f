/// The part that a caller's connection has of the account of its server.

#include "net/http_connection.hpp"

#include <limits>

namespace bulrush::net {
namespace {

constexpr int kNoMemoryStatus = 503;

} // namespace

// Callers are told apart by their address without the port.
memory::owner_id
http_connection::Owner() const
{
  return IdOf<memory::owner_id>(mPeer.substr(0, mPeer.rfind(':')));
}

std::size_t
http_connection::InputBytes() const
{
  std::size_t bytes =
    mInput.size() + mRequest.body.size() + mRequest.target.size();
  for (const http_field& field : mRequest.fields) {
    bytes += field.name.size() + field.value.size();
  }
  return bytes;
}

// Zero for a chunked body, whose length is not known.
std::size_t
http_connection::RemainingBody() const
{
  constexpr auto kUnknown = std::numeric_limits<std::uint64_t>::max();
  return mParser.content_length == kUnknown ? 0 : mParser.content_length;
}

bool
http_connection::HasRoom(std::size_t aSize, std::size_t aMissing)
{
  return !mState->settings.account ||
         mState->settings.account->HasRoom(aSize, aMissing);
}

// A request that arrives in one piece is counted only once it is passed on.
void
http_connection::CountInput()
{
  if (!mState->settings.account) {
    return;
  }
  if (!IsPartial()) {
    mHeldInput.reset();
    mIsReadPaused = false;
    return;
  }
  if (!mHeldInput) {
    const std::weak_ptr<http_connection> weak = weak_from_this();
    memory::holder_hooks hooks;
    hooks.onPause = [weak](bool aIsPaused) {
      if (const auto self = weak.lock()) {
        self->SetReadPause(aIsPaused);
      }
    };
    hooks.onEnd = [weak](const std::string&) {
      if (const auto self = weak.lock()) {
        self->RefuseForMemory();
      }
    };
    mHeldInput = std::make_shared<memory::holder>(mState->settings.account,
                                                  memory::holder_kind::eRequest,
                                                  Owner(),
                                                  std::move(hooks));
  }
  mHeldInput->Set(InputBytes());
}

// The time for which the server does not read is not the caller's.
void
http_connection::SetReadPause(bool aIsPaused)
{
  mIsReadPaused = aIsPaused;
  const steady_time now = Now();
  if (aIsPaused) {
    mReadPausedAt = now;
  } else {
    (mPhase == phase::eBody ? mPhaseDeadline : mHeadStart) +=
      now - mReadPausedAt;
  }
  Read();
}

void
http_connection::RefuseForMemory()
{
  Refuse(read_refusal::eNoMemory,
         kNoMemoryStatus,
         "this host has no memory left for the request");
}

// Kept until the request is no longer needed, which may be after its answer.
std::shared_ptr<memory::holder>
http_connection::TakeRequestHolder()
{
  if (!mState->settings.account) {
    return nullptr;
  }
  if (!mHeldInput) {
    mHeldInput = std::make_shared<memory::holder>(mState->settings.account,
                                                  memory::holder_kind::eRequest,
                                                  Owner(),
                                                  memory::holder_hooks{});
  }
  mHeldInput->Set(InputBytes());
  mHeldInput->Complete();
  mIsReadPaused = false;
  return std::exchange(mHeldInput, nullptr);
}

void
http_connection::CountOutput()
{
  const std::size_t bytes = mOutput.size() + mWriting.size();
  if (!mState->settings.account || IsClosed()) {
    return;
  }
  if (bytes == 0) {
    mHeldOutput = {};
    return;
  }
  if (!mHeldOutput.IsCounting()) {
    const std::weak_ptr<http_connection> weak = weak_from_this();
    memory::holder_hooks hooks;
    hooks.onEnd = [weak](const std::string& aReason) {
      if (const auto self = weak.lock()) {
        self->EndUnread(aReason);
      }
    };
    mHeldOutput = memory::holder(mState->settings.account,
                                 memory::holder_kind::eOutput,
                                 Owner(),
                                 std::move(hooks));
  }
  mHeldOutput.Set(bytes);
}

void
http_connection::EndUnread(const std::string& aReason)
{
  if (mState->settings.onUnreadEnded) {
    mState->settings.onUnreadEnded(mPeer, aReason);
  }
  NotifyDisconnected();
  Close();
}

} // namespace bulrush::net
