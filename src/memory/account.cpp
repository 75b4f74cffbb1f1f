#include "memory/memory.hpp"

#include <algorithm>

namespace bulrush::memory {

namespace {

constexpr std::size_t kPercent = 100;
/// Of the memory of a process. The rest is for its own tables, for copies while
/// an answer is put together, and for what the sockets hold unread.
constexpr std::size_t kBudgetPercent = 40;
/// Of the budget.
constexpr std::size_t kPausePercent = 75;
/// Of the budget. An answer and the others of its endpoint together stay within
/// a quarter, so that three faulty endpoints leave room for the rest.
constexpr std::size_t kPauseOwnerPercent = 12;
constexpr std::size_t kMaxAnswerPercent = 13;
/// The usual request or answer is smaller and is never held up.
constexpr std::size_t kLargeBytes = 65'536;

constexpr owner_id kNoOwner{};

std::size_t
Share(std::size_t aBytes, std::size_t aPercent)
{
  return aBytes / kPercent * aPercent;
}

// The oldest that still grows; those that have stalled take turns.
bool
ReadsBefore(const holder_row& aOne, const holder_row& aOther)
{
  return std::pair(aOne.stalledAt, aOne.id) <
         std::pair(aOther.stalledAt, aOther.id);
}

} // namespace

const char*
KindName(holder_kind aKind)
{
  switch (aKind) {
    case holder_kind::eRequest:
      return "request";
    case holder_kind::eAnswer:
      return "answer";
    case holder_kind::eOutput:
      return "output";
    case holder_kind::eOutcome:
      return "outcome";
  }
  return "other";
}

limits
LimitsFor(std::size_t aProcessBytes)
{
  limits bounds;
  bounds.budget = Share(aProcessBytes, kBudgetPercent);
  bounds.pauseAt = Share(bounds.budget, kPausePercent);
  bounds.pauseOwnerAt = Share(bounds.budget, kPauseOwnerPercent);
  bounds.maxAnswer = Share(bounds.budget, kMaxAnswerPercent);
  bounds.large = kLargeBytes;
  return bounds;
}

account::account(const limits& aLimits)
  : mLimits(aLimits)
{
  mUsage.budget = aLimits.budget;
}

bool
account::HasRoom(std::size_t aSize, std::size_t aMissing)
{
  const bool isLarge = aSize > mLimits.large;
  const std::size_t bound = isLarge ? mLimits.pauseAt : mLimits.budget;
  const bool hasRoom = mBytes + aMissing <= bound;
  mUsage.refused += hasRoom ? 0 : 1;
  return hasRoom;
}

holder_id
account::Add(holder_kind aKind, owner_id aOwner, holder_hooks aHooks)
{
  holder_row row;
  row.id = holder_id{ ++mLastHolder };
  row.kind = aKind;
  row.owner = aOwner;
  row.hooks = std::move(aHooks);
  if (mOwners.Find(aOwner) == nullptr) {
    mOwners.Insert({ aOwner, 0, 0 });
  }
  ++mOwners.Find(aOwner)->holders;
  return mHolders.Insert(std::move(row)).id;
}

void
account::SetBytes(holder_id aHolder, std::size_t aBytes)
{
  holder_row& row = *mHolders.Find(aHolder);
  owner_row& owner = *mOwners.Find(row.owner);
  const bool wasUnderPressure = IsUnderPressure(owner);
  const auto replace = [&](std::size_t& aSum) { aSum += aBytes - row.bytes; };
  replace(mBytes);
  replace(owner.bytes);
  replace(mUsage.bytes[static_cast<std::size_t>(row.kind)]);
  row.bytes = aBytes;
  mUsage.peak = std::max(mUsage.peak, mBytes);
  // Also when the pressure ends, so that paused holders go on.
  if (IsUnderPressure(owner) || wasUnderPressure) {
    RequestBalance();
  }
}

void
account::RequestBalance()
{
  if (!mIsBalancePending && onPressure) {
    mIsBalancePending = true;
    onPressure();
  }
}

// The holders of its owner that are paused may go on without it.
void
account::Complete(holder_id aHolder)
{
  holder_row& row = *mHolders.Find(aHolder);
  row.hooks = {};
  SetPaused(row, false);
  MoveToOwner(row, kNoOwner);
  if (mPaused > 0) {
    RequestBalance();
  }
}

void
account::MoveToOwner(holder_row& aRow, owner_id aOwner)
{
  owner_row& before = *mOwners.Find(aRow.owner);
  before.bytes -= aRow.bytes;
  if (--before.holders == 0) {
    mOwners.Erase(before.id);
  }
  if (mOwners.Find(aOwner) == nullptr) {
    mOwners.Insert({ aOwner, 0, 0 });
  }
  owner_row& after = *mOwners.Find(aOwner);
  after.bytes += aRow.bytes;
  ++after.holders;
  aRow.owner = aOwner;
}

void
account::Remove(holder_id aHolder)
{
  SetBytes(aHolder, 0);
  SetPaused(*mHolders.Find(aHolder), false);
  const owner_id owner = mHolders.Find(aHolder)->owner;
  mHolders.Erase(aHolder);
  if (--mOwners.Find(owner)->holders == 0) {
    mOwners.Erase(owner);
  }
}

const holder_row*
account::Find(holder_id aHolder) const
{
  return mHolders.Find(aHolder);
}

void
account::SetPaused(holder_row& aRow, bool aIsPaused)
{
  if (aRow.isPaused != aIsPaused) {
    aRow.isPaused = aIsPaused;
    aIsPaused ? ++mPaused : --mPaused;
  }
}

bool
account::IsUnderPressure(const owner_row& aOwner) const
{
  return mBytes > mLimits.pauseAt ||
         (aOwner.id != kNoOwner && aOwner.bytes > mLimits.pauseOwnerAt);
}

bool
account::ShouldPause(const holder_row& aRow) const
{
  return aRow.hooks.onPause && !aRow.isEnding && aRow.bytes > mLimits.large &&
         IsUnderPressure(*mOwners.Find(aRow.owner));
}

// Of those that share a reader, one goes on. The ids cannot be those of owners,
// which are hashes.
owner_id
account::ReaderGroup(const holder_row& aRow) const
{
  return mBytes > mLimits.pauseAt
           ? owner_id{ static_cast<std::uint64_t>(aRow.kind) }
           : aRow.owner;
}

// One large holder of an owner goes on reading, or one of a kind when the sum
// is too large: if all waited for each other, none would be complete.
void
account::SetPauses()
{
  std::unordered_map<owner_id, const holder_row*, id_hash> readers;
  for (const holder_row& row : mHolders) {
    if (ShouldPause(row)) {
      const auto known = readers.try_emplace(ReaderGroup(row), &row).first;
      known->second = ReadsBefore(row, *known->second) ? &row : known->second;
    }
  }
  std::vector<std::pair<holder_id, bool>> changes;
  for (const holder_row& row : mHolders) {
    const bool isPaused =
      ShouldPause(row) && readers.at(ReaderGroup(row)) != &row;
    if (isPaused != row.isPaused) {
      changes.emplace_back(row.id, isPaused);
    }
  }
  for (const auto& [id, isPaused] : changes) {
    holder_row* row = mHolders.Find(id); // a hook may have removed it
    if (row != nullptr && row->hooks.onPause) {
      SetPaused(*row, isPaused);
      const auto hook = row->hooks.onPause;
      hook(isPaused);
    }
  }
}

// Ended holders release their bytes later, and these do not count here.
void
account::EndLargest()
{
  std::vector<std::pair<std::size_t, holder_id>> candidates;
  std::size_t remaining = mBytes;
  for (const holder_row& row : mHolders) {
    if (row.isEnding) {
      remaining -= row.bytes;
    } else if (row.hooks.onEnd && row.bytes > mLimits.large) {
      candidates.emplace_back(row.bytes, row.id);
    }
  }
  std::sort(candidates.begin(), candidates.end(), std::greater<>());
  for (const auto& [bytes, id] : candidates) {
    if (remaining <= mLimits.budget) {
      return;
    }
    remaining -= bytes;
    holder_row* row = mHolders.Find(id);
    if (row != nullptr) { // no other hook has removed it
      row->isEnding = true;
      ++mUsage.ended[static_cast<std::size_t>(row->kind)];
      const auto hook = std::move(row->hooks.onEnd);
      hook("the process holds " + std::to_string(mBytes) + " of at most " +
           std::to_string(mLimits.budget) + " bytes, " + std::to_string(bytes) +
           " of them here");
    }
  }
}

// Those that are paused cannot grow and are not judged.
void
account::CheckProgress()
{
  ++mChecks;
  for (holder_row& row : mHolders) {
    const bool isRead = ShouldPause(row) && !row.isPaused;
    const bool wasRead = row.bytesAtCheck > 0;
    if (isRead && wasRead && row.bytes < row.bytesAtCheck + mLimits.large) {
      row.stalledAt = mChecks;
    } else if (isRead && wasRead) {
      row.stalledAt = 0;
    }
    row.bytesAtCheck = isRead ? row.bytes : 0;
  }
  Balance();
}

void
account::Balance()
{
  mIsBalancePending = false;
  if (mBytes > mLimits.budget) {
    EndLargest();
  }
  SetPauses();
}

usage
account::Usage() const
{
  usage now = mUsage;
  now.paused = mPaused;
  return now;
}

} // namespace bulrush::memory
