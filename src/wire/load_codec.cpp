/// Loads of endpoints in the messages of hosts and control processes.

#include "wire/bodies.hpp"

#include <algorithm>
#include <cmath>

namespace bulrush::wire {
namespace {

using std::chrono::milliseconds;

constexpr double kPercent = 100;
/// Far longer than a load is kept.
constexpr std::int64_t kLongestAge = 3'600'000;

std::uint32_t
ToPercent(std::optional<double> aSlowdown)
{
  return aSlowdown ? static_cast<std::uint32_t>(
                       std::lround(std::max(1.0, *aSlowdown * kPercent)))
                   : 0;
}

} // namespace

void
PutLoads(const std::vector<room::load_row>& aFrom,
         steady_time aNow,
         repeated<pb::EndpointLoad>& aTo)
{
  for (const room::load_row& from : aFrom) {
    auto* to = aTo.Add();
    to->set_endpoint(from.id.value);
    to->set_incarnation(from.incarnation);
    to->set_running(from.running);
    to->set_queued(from.queued);
    to->set_slowdown_percent(ToPercent(from.slowdown));
    to->set_age_ms(std::max<std::int64_t>(
      0,
      std::chrono::duration_cast<milliseconds>(aNow - from.observedAt)
        .count()));
  }
}

std::vector<room::load_row>
GetLoads(const repeated<pb::EndpointLoad>& aFrom, steady_time aNow)
{
  std::vector<room::load_row> loads;
  for (const auto& from : aFrom) {
    const std::uint32_t percent = from.slowdown_percent();
    const milliseconds age(
      std::clamp<std::int64_t>(from.age_ms(), 0, kLongestAge));
    loads.push_back(
      { { from.endpoint() },
        from.incarnation(),
        from.running(),
        from.queued(),
        percent == 0 ? std::nullopt : std::optional(percent / kPercent),
        aNow - age,
        0,
        {} });
  }
  return loads;
}

} // namespace bulrush::wire
