#include "wire/convert.hpp"

#include <algorithm>

namespace bulrush::wire {
namespace {

using std::chrono::milliseconds;

// No age is negative: what others observed has happened.
std::int64_t
AgeOf(steady_time aThen, steady_time aNow)
{
  return std::max<std::int64_t>(
    0, std::chrono::duration_cast<milliseconds>(aNow - aThen).count());
}

// Far longer than any row is kept, and short enough for the clock's range.
steady_time
TimeOf(std::int64_t aAge, steady_time aNow)
{
  constexpr std::int64_t kLongestAge = 1'000'000'000;
  return aNow - milliseconds(std::clamp<std::int64_t>(aAge, 0, kLongestAge));
}

void
PutSuspect(const quarantine::suspect_row& aFrom,
           steady_time aNow,
           pb::SuspectPart& aTo)
{
  aTo.set_part(aFrom.id.value);
  for (const quarantine::crash& from : aFrom.crashes) {
    auto* crash = aTo.add_crashes();
    crash->set_endpoint(from.endpoint.value);
    crash->set_incarnation(from.incarnation);
    crash->set_age_ms(AgeOf(from.at, aNow));
  }
  aTo.set_newest_age_ms(AgeOf(aFrom.newestCrash, aNow));
  for (const part_id part : aFrom.together) {
    aTo.add_together(part.value);
  }
  aTo.set_is_held(aFrom.isHeld);
  aTo.set_held_age_ms(AgeOf(aFrom.heldAt, aNow));
  aTo.set_trial(aFrom.lastTrial.number);
  aTo.set_trial_host(aFrom.lastTrial.host.value);
  aTo.set_trial_left_ms(AgeOf(aNow, aFrom.lastTrial.endsAt));
}

quarantine::suspect_row
GetSuspect(const pb::SuspectPart& aFrom, steady_time aNow)
{
  quarantine::suspect_row row;
  row.id = part_id{ aFrom.part() };
  for (const auto& from : aFrom.crashes()) {
    if (from.incarnation() <= kMaxIncarnation &&
        row.crashes.size() < quarantine::kMaxCrashes) {
      row.crashes.push_back({ endpoint_id{ from.endpoint() },
                              from.incarnation(),
                              TimeOf(from.age_ms(), aNow) });
    }
  }
  row.newestCrash = TimeOf(aFrom.newest_age_ms(), aNow);
  for (const auto part : aFrom.together()) {
    if (row.together.size() < quarantine::kMaxParts) {
      row.together.push_back(part_id{ part });
    }
  }
  row.isHeld = aFrom.is_held();
  row.heldAt = TimeOf(aFrom.held_age_ms(), aNow);
  // The time left counts from the arrival here, so a late message lengthens it.
  // Two hosts may then have a permission at once.
  row.lastTrial = { aFrom.trial(),
                    host_id{ aFrom.trial_host() },
                    aNow + (aNow - TimeOf(aFrom.trial_left_ms(), aNow)) };
  return row;
}

} // namespace

void
Put(const quarantine::evidence& aFrom,
    steady_time aNow,
    pb::PromptEvidence& aTo)
{
  for (const quarantine::suspect_row& row : aFrom.suspects) {
    PutSuspect(row, aNow, *aTo.add_suspects());
  }
  for (const quarantine::cleared_row& row : aFrom.cleared) {
    auto* cleared = aTo.add_cleared();
    cleared->set_part(row.id.value);
    cleared->set_age_ms(AgeOf(row.at, aNow));
    cleared->set_is_by_operator(row.isByOperator);
  }
  for (const quarantine::running_row& row : aFrom.running) {
    auto* running = aTo.add_running();
    running->set_endpoint(row.id.value);
    running->set_incarnation(row.incarnation);
    running->set_age_ms(AgeOf(row.at, aNow));
  }
}

quarantine::evidence
Get(const pb::PromptEvidence& aFrom, steady_time aNow)
{
  quarantine::evidence evidence;
  for (const auto& from : aFrom.suspects()) {
    if (from.part() != 0 &&
        evidence.suspects.size() < quarantine::kMaxSuspects) {
      evidence.suspects.push_back(GetSuspect(from, aNow));
    }
  }
  for (const auto& from : aFrom.cleared()) {
    if (from.part() != 0 && evidence.cleared.size() < quarantine::kMaxCleared) {
      evidence.cleared.push_back({ part_id{ from.part() },
                                   TimeOf(from.age_ms(), aNow),
                                   from.is_by_operator(),
                                   0 });
    }
  }
  for (const auto& from : aFrom.running()) {
    if (from.incarnation() <= kMaxIncarnation) {
      evidence.running.push_back({ endpoint_id{ from.endpoint() },
                                   from.incarnation(),
                                   TimeOf(from.age_ms(), aNow),
                                   0 });
    }
  }
  return evidence;
}

} // namespace bulrush::wire
