#include "fleet/target_spread.hpp"

#include <algorithm>
#include <unordered_map>

namespace bulrush {
namespace {

struct target_range
{
  std::chrono::milliseconds shortest = std::chrono::milliseconds::max();
  std::chrono::milliseconds longest{ 0 };
};

} // namespace

// In order of arrival, requests of a patient class take the slots that an
// urgent one needs. Where targets are similar, that order is as good as any.
service_set
ServicesByTarget(const manifest& aManifest, double aSpread)
{
  if (aSpread <= 0) {
    return {};
  }
  std::unordered_map<service_id, target_range, id_hash> ranges;
  for (const route_row& route : aManifest.routes) {
    if (route.target.count() == 0) {
      continue;
    }
    for (const route_target& target : route.targets) {
      target_range& range = ranges[IdOf<service_id>(target.service)];
      range.shortest = std::min(range.shortest, route.target);
      range.longest = std::max(range.longest, route.target);
    }
  }
  service_set services;
  for (const auto& [service, range] : ranges) {
    if (std::chrono::duration<double>(range.longest) >=
        aSpread * std::chrono::duration<double>(range.shortest)) {
      services.insert(service);
    }
  }
  return services;
}

} // namespace bulrush
