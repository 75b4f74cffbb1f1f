#ifndef BULRUSH_MEMORY_MEMORY_HPP
#define BULRUSH_MEMORY_MEMORY_HPP

/// Public header of the memory library: one account of the bytes that a process
/// holds for callers and endpoints, bounded in their sum. It decides which
/// holder stops reading, which is ended and what is refused; the hooks of the
/// holders execute it. Not synchronized.

#include "core/core.hpp"

#include <memory>

namespace bulrush::memory {

enum class holder_kind : std::uint8_t
{
  eRequest, ///< a request that arrives, or is being served
  eAnswer,  ///< an answer of an endpoint that is not passed on yet
  eOutput,  ///< bytes that a caller has not read yet
  eOutcome  ///< stored answers that are not committed yet
};
inline constexpr std::size_t kHolderKinds = 4;

/// The kind in metrics and log lines.
const char* KindName(holder_kind aKind);

/// Bounds in bytes, all derived from the memory that a process may use.
struct limits
{
  std::size_t budget = 0;       ///< of all holders; above it, they are ended
  std::size_t pauseAt = 0;      ///< of all holders; large ones stop reading
  std::size_t pauseOwnerAt = 0; ///< of one owner; its large holders likewise
  std::size_t maxAnswer = 0;    ///< of a single answer
  std::size_t large = 0;        ///< larger ones stop reading and are ended
};

limits LimitsFor(std::size_t aProcessBytes);

/// A holder that does not grow by limits::large in this time has another one
/// read in its place. Sound servers may fall silent for a second.
inline constexpr std::chrono::milliseconds kProgressInterval{ 1'500 };

using holder_id = typed_id<struct account_holder_tag>;
using owner_id = typed_id<struct owner_tag>; ///< endpoint or caller's address

/// How an account acts on a holder. Called from Balance only.
struct holder_hooks
{
  std::function<void(bool aIsPaused)> onPause; ///< not set: cannot stop reading
  /// Ends the holder, which then releases its bytes; not set: cannot be ended.
  std::function<void(const std::string& aReason)> onEnd;
};

struct holder_row
{
  holder_id id; ///< rises with time
  holder_kind kind = holder_kind::eRequest;
  owner_id owner;
  std::size_t bytes = 0;
  bool isPaused = false;
  bool isEnding = false;
  std::size_t bytesAtCheck = 0; ///< at the last CheckProgress; 0: was paused
  std::uint64_t stalledAt = 0;  ///< check at which it had not grown; 0: none
  holder_hooks hooks;
};

struct owner_row
{
  owner_id id;
  std::size_t bytes = 0;
  std::size_t holders = 0;
};

/// Numbers for the metrics page.
struct usage
{
  std::size_t budget = 0;
  std::array<std::size_t, kHolderKinds> bytes{}; ///< held, by kind
  std::size_t peak = 0;                          ///< of the sum
  std::size_t paused = 0;                        ///< holders now
  std::array<std::uint64_t, kHolderKinds> ended{};
  std::uint64_t refused = 0;
};

class account
{
public:
  explicit account(const limits& aLimits);
  account(const account&) = delete;
  account& operator=(const account&) = delete;

  const limits& Limits() const { return mLimits; }
  std::size_t Bytes() const { return mBytes; }

  /// Whether a request of aSize bytes may go on, of which aMissing are not
  /// counted yet. False is counted as a refusal. Reserves nothing.
  bool HasRoom(std::size_t aSize, std::size_t aMissing);

  /// Stops reading, resumes it and ends holders, as the bounds ask for.
  void Balance();

  /// To be called each kProgressInterval while NeedsChecks is true, so that a
  /// holder that does not grow cannot keep others from being read.
  void CheckProgress();
  bool NeedsChecks() const { return mPaused > 0; }

  /// Called when Balance has something to do, once until it has run; the hook
  /// is to have it run soon and must not run it itself.
  std::function<void()> onPressure;

  usage Usage() const;

private:
  friend class holder;
  holder_id Add(holder_kind aKind, owner_id aOwner, holder_hooks aHooks);
  void SetBytes(holder_id aHolder, std::size_t aBytes);
  void Complete(holder_id aHolder);
  void Remove(holder_id aHolder);
  const holder_row* Find(holder_id aHolder) const;

  void SetPaused(holder_row& aRow, bool aIsPaused);
  void MoveToOwner(holder_row& aRow, owner_id aOwner);
  void RequestBalance();
  owner_id ReaderGroup(const holder_row& aRow) const;
  bool IsUnderPressure(const owner_row& aOwner) const;
  bool ShouldPause(const holder_row& aRow) const;
  void SetPauses();
  void EndLargest();

  limits mLimits;
  table<holder_id, holder_row> mHolders;
  table<owner_id, owner_row> mOwners;
  std::size_t mBytes = 0;
  std::size_t mPaused = 0; ///< holders
  std::uint64_t mChecks = 0;
  usage mUsage;
  std::uint64_t mLastHolder = 0;
  bool mIsBalancePending = false;
};

/// A part of an account that is released with it. Default-made, it counts
/// nothing.
class holder
{
public:
  holder() = default;
  holder(std::shared_ptr<account> aAccount,
         holder_kind aKind,
         owner_id aOwner,
         holder_hooks aHooks);
  ~holder();
  holder(holder&& aOther) noexcept;
  holder& operator=(holder&& aOther) noexcept;
  holder(const holder&) = delete;
  holder& operator=(const holder&) = delete;

  void Set(std::size_t aBytes);
  /// It is whole: from now on it neither stops reading nor is ended, and is not
  /// counted for its owner.
  void Complete();
  bool IsPaused() const;
  bool IsCounting() const { return mAccount != nullptr; }

private:
  void Release();

  std::shared_ptr<account> mAccount;
  holder_id mId;
};

} // namespace bulrush::memory

#endif
