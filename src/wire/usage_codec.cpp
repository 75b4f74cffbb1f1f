/// Counts of requests that began to run, from hosts to the leader.

#include "wire/bodies.hpp"

#include <algorithm>

namespace bulrush::wire {
namespace {

using std::chrono::milliseconds;

/// Far longer than a slice is kept.
constexpr std::int64_t kLongestAge = 3'600'000;

} // namespace

void
PutBody(const usage_report& aFrom, steady_time, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_usage_report();
  to->set_incarnation(aFrom.incarnation);
  to->set_wall_ms(
    std::chrono::duration_cast<milliseconds>(aFrom.sentAt.time_since_epoch())
      .count());
  for (const usage_slice& from : aFrom.slices) {
    auto* slice = to->add_slices();
    slice->set_number(from.number);
    slice->set_age_ms(from.age.count());
    for (const usage_count& each : from.counts) {
      auto* count = slice->add_counts();
      count->set_workspace(each.workspace.value);
      count->set_requests(each.requests);
    }
  }
}

void
PutBody(const usage_ack& aFrom, steady_time, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_usage_ack();
  to->set_incarnation(aFrom.incarnation);
  to->set_through(aFrom.through);
}

std::optional<message_body>
GetBody(const pb::UsageReport& aFrom, steady_time)
{
  usage_report report;
  report.incarnation = aFrom.incarnation();
  report.sentAt = wall_time(milliseconds(aFrom.wall_ms()));
  for (const auto& from : aFrom.slices()) {
    usage_slice slice;
    slice.number = from.number();
    slice.age =
      milliseconds(std::clamp<std::int64_t>(from.age_ms(), 0, kLongestAge));
    for (const auto& count : from.counts()) {
      slice.counts.push_back({ { count.workspace() }, count.requests() });
    }
    report.slices.push_back(std::move(slice));
  }
  return report;
}

std::optional<message_body>
GetBody(const pb::UsageAck& aFrom, steady_time)
{
  return usage_ack{ aFrom.incarnation(), aFrom.through() };
}

} // namespace bulrush::wire
