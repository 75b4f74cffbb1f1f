#include "admission/admission.hpp"

#include <algorithm>
#include <numeric>

namespace bulrush::admission {

namespace {

/// Holders together get 1/kIdleDivisor of the part that exceeds all demand.
constexpr std::int64_t kIdleDivisor = 4;

/// A target within 1/kHysteresisDivisor of the held share leaves it unchanged.
constexpr std::int64_t kHysteresisDivisor = 8;

/// One component of a division.
struct component
{
  std::int64_t held = 0;
  std::int64_t demand = 0;
  std::int64_t target = 0;
};

// Max-min fairness: the smallest demands are met in full, and the holders with
// larger demands share the remainder equally. Returns the unassigned part.
std::int64_t
FillByDemand(std::int64_t aTotal, std::vector<component>& aComponents)
{
  std::vector<std::size_t> order(aComponents.size());
  std::iota(order.begin(), order.end(), 0);
  std::ranges::sort(
    order, {}, [&](std::size_t aIndex) { return aComponents[aIndex].demand; });
  std::int64_t left = aTotal;
  auto unserved = static_cast<std::int64_t>(aComponents.size());
  for (const std::size_t index : order) {
    component& next = aComponents[index];
    next.target = std::min(next.demand, left / unserved);
    left -= next.target;
    --unserved;
  }
  return left;
}

// Each holder gets a little beyond its demand, so that the first requests at an
// idle holder need not wait for a grant. The rest stays undivided for later
// demand.
std::int64_t
AddIdleShare(std::int64_t aLeft, std::vector<component>& aComponents)
{
  const auto count = static_cast<std::int64_t>(aComponents.size());
  const std::int64_t each = aLeft / kIdleDivisor / count;
  for (component& next : aComponents) {
    next.target += each;
  }
  return aLeft - each * count;
}

// Hysteresis: small changes of demand do not move shares.
void
KeepNearTargets(std::int64_t aLeft, std::vector<component>& aComponents)
{
  for (component& next : aComponents) {
    const std::int64_t change = next.held - next.target;
    const bool isNear = std::abs(change) <= next.held / kHysteresisDivisor;
    if (isNear && change <= aLeft) {
      aLeft -= change;
      next.target = next.held;
    }
  }
}

void
DivideComponent(std::int64_t aTotal, std::vector<component>& aComponents)
{
  const std::int64_t unassigned = FillByDemand(aTotal, aComponents);
  const std::int64_t left = AddIdleShare(unassigned, aComponents);
  KeepNearTargets(left, aComponents);
}

} // namespace

void
DivideByDemand(const share& aTotal, std::span<division_row> aRows)
{
  if (aRows.empty()) {
    return;
  }
  std::vector<component> rates;
  std::vector<component> sizes;
  for (const division_row& row : aRows) {
    rates.push_back({ row.held.rate, row.demand.rate });
    sizes.push_back({ row.held.size, row.demand.size });
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
