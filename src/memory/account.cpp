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
/// Of the budget. A whole answer and the others of its endpoint together stay
/// within a quarter, so that three faulty endpoints leave room for the rest.
constexpr std::size_t kOwnerPausePercent = 12;
constexpr std::size_t kOneHolderPercent = 13;
/// The usual request or answer is smaller and is never held up.
constexpr std::size_t kLargeBytes = 65'536;

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
  bounds.ownerPause = Share(bounds.budget, kOwnerPausePercent);
  bounds.oneHolder = Share(bounds.budget, kOneHolderPercent);
  bounds.large = kLargeBytes;
  return bounds;
}

account::account(const limits& aLimits)
  : mLimits(aLimits)
{
  mUsage.budget = aLimits.budget;
}

bool
account::Admit(std::size_t aBytes)
{
  const bool isLarge = aBytes > mLimits.large;
  const std::size_t bound = isLarge ? mLimits.pauseAt : mLimits.budget;
  const bool isAdmitted = mBytes + aBytes <= bound;
  mUsage.refused += isAdmitted ? 0 : 1;
  return isAdmitted;
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
  row.stalledAt = aBytes > row.bytes ? 0 : row.stalledAt;
  row.bytes = aBytes;
  mUsage.peak = std::max(mUsage.peak, mBytes);
  // Also when the pressure ends, so that paused holders go on.
  const bool mustBalance = IsUnderPressure(owner) || wasUnderPressure;
  if (mustBalance && !mIsBalancePending && onPressure) {
    mIsBalancePending = true;
    onPressure();
  }
}

void
account::Detach(holder_id aHolder)
{
  holder_row& row = *mHolders.Find(aHolder);
  row.hooks = {};
  SetPaused(row, false);
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

// Owner zero stands for many.
bool
account::IsUnderPressure(const owner_row& aOwner) const
{
  return mBytes > mLimits.pauseAt ||
         (aOwner.id && aOwner.bytes > mLimits.ownerPause);
}

bool
account::ShouldPause(const holder_row& aRow) const
{
  return aRow.hooks.onPause && !aRow.isEnding && aRow.bytes > mLimits.large &&
         IsUnderPressure(*mOwners.Find(aRow.owner));
}

// One large holder goes on reading, of its owner, or of all when the sum is too
// large: if all of them waited for each other, none would be complete.
void
account::SetPauses()
{
  const bool isSumTooLarge = mBytes > mLimits.pauseAt;
  std::unordered_map<owner_id, const holder_row*, id_hash> readers;
  for (const holder_row& row : mHolders) {
    if (ShouldPause(row)) {
      const owner_id group = isSumTooLarge ? owner_id{} : row.owner;
      const auto known = readers.try_emplace(group, &row).first;
      known->second = ReadsBefore(row, *known->second) ? &row : known->second;
    }
  }
  std::vector<std::pair<holder_id, bool>> changes;
  for (const holder_row& row : mHolders) {
    const owner_id group = isSumTooLarge ? owner_id{} : row.owner;
    const bool isPaused = ShouldPause(row) && readers.at(group) != &row;
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
    } else if (row.hooks.onEnd && row.bytes > 0) {
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
    if (isRead && row.bytes == row.bytesAtCheck) {
      row.stalledAt = mChecks;
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
