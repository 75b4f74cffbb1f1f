#include "admission/admission.hpp"

#include <algorithm>

namespace bulrush::admission {

namespace {

// The finalizer of SplitMix64: a bijection that scatters adjacent values.
std::uint64_t
Spread(std::uint64_t aValue)
{
  std::uint64_t spread = aValue + 0x9E3779B97F4A7C15ULL;
  spread = (spread ^ (spread >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  spread = (spread ^ (spread >> 27U)) * 0x94D049BB133111EBULL;
  return spread ^ (spread >> 31U);
}

// The first value is scattered before the second is added. Otherwise holders
// and incarnations that increase together would collide.
std::uint64_t
Mix(std::uint64_t aFirst, std::uint64_t aSecond)
{
  return Spread(Spread(aFirst) + aSecond);
}

} // namespace

share
operator+(const share& aLeft, const share& aRight)
{
  return { aLeft.rate + aRight.rate, aLeft.size + aRight.size };
}

// Not below zero: after a limit was lowered, the shares divided before may
// exceed it.
share
operator-(const share& aLeft, const share& aRight)
{
  return { std::max<std::int64_t>(0, aLeft.rate - aRight.rate),
           std::max<std::int64_t>(0, aLeft.size - aRight.size) };
}

share
ComponentMax(const share& aLeft, const share& aRight)
{
  return { std::max(aLeft.rate, aRight.rate),
           std::max(aLeft.size, aRight.size) };
}

share
ComponentMin(const share& aLeft, const share& aRight)
{
  return { std::min(aLeft.rate, aRight.rate),
           std::min(aLeft.size, aRight.size) };
}

bool
Fits(const share& aPart, const share& aWhole)
{
  return aPart.rate <= aWhole.rate && aPart.size <= aWhole.size;
}

resource
RateOf(workspace_id aWorkspace)
{
  return { resource_kind::eRate, aWorkspace.value, 0 };
}

resource
SlotsOf(endpoint_id aEndpoint, std::uint64_t aIncarnation)
{
  return { resource_kind::eSlots, aEndpoint.value, aIncarnation };
}

resource_id
IdOfResource(const resource& aResource)
{
  const auto kind = static_cast<std::uint64_t>(aResource.kind);
  return { Mix(Mix(kind, aResource.subject), aResource.incarnation) };
}

holder_id
HolderOf(host_id aHost)
{
  return { aHost.value };
}

holder_id
HolderOf(domain_id aDomain, std::uint64_t aEpoch)
{
  return { Mix(aDomain.value, aEpoch) };
}

process_id
ProcessOf(holder_id aHolder, std::uint64_t aIncarnation)
{
  return { Mix(aHolder.value, aIncarnation) };
}

account_id
AccountOf(process_id aProcess, resource_id aResource)
{
  return { Mix(aProcess.value, aResource.value) };
}

} // namespace bulrush::admission
