#include "memory/memory.hpp"

namespace bulrush::memory {

holder::holder(std::shared_ptr<account> aAccount,
               holder_kind aKind,
               owner_id aOwner,
               holder_hooks aHooks)
  : mAccount(std::move(aAccount))
{
  if (mAccount) {
    mId = mAccount->Add(aKind, aOwner, std::move(aHooks));
  }
}

holder::~holder()
{
  Release();
}

holder::holder(holder&& aOther) noexcept
  : mAccount(std::move(aOther.mAccount))
  , mId(std::exchange(aOther.mId, {}))
{
}

holder&
holder::operator=(holder&& aOther) noexcept
{
  if (this != &aOther) {
    Release();
    mAccount = std::move(aOther.mAccount);
    mId = std::exchange(aOther.mId, {});
  }
  return *this;
}

void
holder::Set(std::size_t aBytes)
{
  if (mAccount) {
    mAccount->SetBytes(mId, aBytes);
  }
}

void
holder::Complete()
{
  if (mAccount) {
    mAccount->Complete(mId);
  }
}

bool
holder::IsPaused() const
{
  return mAccount && mAccount->Find(mId)->isPaused;
}

void
holder::Release()
{
  if (mAccount) {
    mAccount->Remove(mId);
    mAccount.reset();
  }
}

} // namespace bulrush::memory
