#include "admission/admission.hpp"

#include <algorithm>
#include <numeric>

namespace bulrush::admission {

namespace {

/// Without demand, holders together get one part in so many of what is left.
constexpr std::int64_t kIdleDivisor = 4;

/// A target within one part in so many of the share held changes nothing.
constexpr std::int64_t kHysteresisDivisor = 8;

/// One component of a division.
struct claim
{
  std::int64_t held = 0;
  std::int64_t want = 0;
  std::int64_t target = 0;
};

// Max-min fairness: the smallest demands are met in full, so a holder with a
// flood takes only what the others leave. Returns what is left over.
std::int64_t
FillByWant(std::int64_t aTotal, std::vector<claim>& aClaims)
{
  std::vector<std::size_t> order(aClaims.size());
  std::iota(order.begin(), order.end(), 0);
  std::ranges::sort(
    order, {}, [&](std::size_t aIndex) { return aClaims[aIndex].want; });
  std::int64_t left = aTotal;
  auto unserved = static_cast<std::int64_t>(aClaims.size());
  for (const std::size_t index : order) {
    claim& next = aClaims[index];
    next.target = std::min(next.want, left / unserved);
    left -= next.target;
    --unserved;
  }
  return left;
}

// A holder without demand gets a little, so that its first requests need not
// wait for an answer; the rest stays undivided, to be given when asked for.
std::int64_t
AddIdleShare(std::int64_t aLeft, std::vector<claim>& aClaims)
{
  const auto count = static_cast<std::int64_t>(aClaims.size());
  const std::int64_t each = aLeft / kIdleDivisor / count;
  for (claim& next : aClaims) {
    next.target += each;
  }
  return aLeft - each * count;
}

// Hysteresis keeps shares from moving on every small change of demand.
void
KeepNearTargets(std::int64_t aLeft, std::vector<claim>& aClaims)
{
  for (claim& next : aClaims) {
    const std::int64_t change = next.held - next.target;
    const bool isNear = std::abs(change) <= next.held / kHysteresisDivisor;
    if (isNear && change <= aLeft) {
      aLeft -= change;
      next.target = next.held;
    }
  }
}

void
DivideComponent(std::int64_t aTotal, std::vector<claim>& aClaims)
{
  const std::int64_t unwanted = FillByWant(aTotal, aClaims);
  const std::int64_t left = AddIdleShare(unwanted, aClaims);
  KeepNearTargets(left, aClaims);
}

} // namespace

void
DivideByDemand(const share& aTotal, std::span<division_row> aRows)
{
  if (aRows.empty()) {
    return;
  }
  std::vector<claim> rates;
  std::vector<claim> sizes;
  for (const division_row& row : aRows) {
    rates.push_back({ row.held.rate, row.want.rate });
    sizes.push_back({ row.held.size, row.want.size });
  }
  DivideComponent(aTotal.rate, rates);
  DivideComponent(aTotal.size, sizes);
  for (std::size_t i = 0; i < aRows.size(); ++i) {
    aRows[i].target = { rates[i].target, sizes[i].target };
  }
}

void
DivideEqually(const share& aTotal, std::span<division_row> aRows)
{
  const auto count = static_cast<std::int64_t>(aRows.size());
  for (division_row& row : aRows) {
    row.target = { aTotal.rate / count, aTotal.size / count };
  }
}

} // namespace bulrush::admission
