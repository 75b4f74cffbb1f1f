/// Which requests are sent, wait or are refused, and who tries a part again.

#include "quarantine/quarantine.hpp"

#include <algorithm>

namespace bulrush::quarantine {
namespace {

bool
Contains(std::span<const part_id> aParts, part_id aPart)
{
  return std::find(aParts.begin(), aParts.end(), aPart) != aParts.end();
}

// Callers write the parts. A part that came only beside others may be innocent,
// so a request without these is not refused: its answer tells them apart.
bool
HasAllInCommon(const suspect_row& aRow, std::span<const part_id> aParts)
{
  return std::all_of(aRow.together.begin(),
                     aRow.together.end(),
                     [&](part_id aPart) { return Contains(aParts, aPart); });
}

// Checked at the point of use, so that a process that was suspended does not
// use a permission that has ended.
bool
HasTrial(const tables& aTables, const suspect_row& aRow, steady_time aNow)
{
  const trial& last = aRow.lastTrial;
  const auto used = aTables.usedTrials.find(aRow.id);
  const bool isUsed =
    used != aTables.usedTrials.end() && used->second >= last.number;
  return last.number > 0 && last.host == aTables.self && aNow < last.endsAt &&
         last.endsAt > aRow.newestCrash && !isUsed;
}

verdict
JudgePart(const tables& aTables,
          const suspect_row& aRow,
          std::span<const part_id> aParts,
          bool aIsRetry,
          bool aIsUnderWay,
          steady_time aNow)
{
  const auto count = static_cast<std::uint32_t>(aRow.crashes.size());
  const verdict refused{ verdict_kind::eRefuse, aRow.id, count, {} };
  if (aRow.isHeld) {
    return refused;
  }
  const bool isQuarantined = IsQuarantined(aTables.settings, aRow);
  if (isQuarantined && HasAllInCommon(aRow, aParts)) {
    return HasTrial(aTables, aRow, aNow) && !aIsUnderWay ? verdict{} : refused;
  }
  if (aIsRetry && count > 1) {
    return refused;
  }
  const steady_time pauseEnds =
    aRow.newestCrash + aTables.settings.suspicionPause;
  if (aIsUnderWay) {
    return { verdict_kind::eWait, aRow.id, count, steady_time::max() };
  }
  // The retry of the only request that saw a crash is the quickest way to clear
  // its parts.
  if (!aIsRetry && aNow < pauseEnds) {
    return { verdict_kind::eWait, aRow.id, count, pauseEnds };
  }
  return {};
}

host_id
NextHost(std::span<const host_id> aHosts, host_id aLast)
{
  host_id next;
  host_id first;
  for (const host_id host : aHosts) {
    if (!first || host < first) {
      first = host;
    }
    if (host > aLast && (!next || host < next)) {
      next = host;
    }
  }
  return next ? next : first;
}

} // namespace

bool
IsQuarantined(const options& aOptions, const suspect_row& aRow)
{
  return aRow.isHeld || aRow.crashes.size() >= aOptions.crashesToQuarantine;
}

const char*
StateName(const options& aOptions, const suspect_row& aRow)
{
  if (aRow.isHeld) {
    return "held";
  }
  return IsQuarantined(aOptions, aRow) ? "quarantined" : "suspected";
}

verdict
Judge(const tables& aTables,
      std::span<const part_id> aParts,
      bool aIsRetry,
      const std::function<bool(part_id)>& aIsUnderWay,
      steady_time aNow)
{
  verdict worst;
  if (aTables.suspects.Empty()) {
    return worst;
  }
  for (const part_id part : aParts) {
    const suspect_row* row = aTables.suspects.Find(part);
    if (row == nullptr) {
      continue;
    }
    const verdict judged =
      JudgePart(aTables, *row, aParts, aIsRetry, aIsUnderWay(part), aNow);
    if (judged.kind > worst.kind ||
        (judged.kind == worst.kind && judged.until > worst.until)) {
      worst = judged;
    }
  }
  return worst;
}

void
UseTrials(tables& aTables, std::span<const part_id> aParts)
{
  for (const part_id part : aParts) {
    const suspect_row* row = aTables.suspects.Find(part);
    if (row != nullptr && row->lastTrial.number > 0) {
      aTables.usedTrials[part] = row->lastTrial.number;
    }
  }
}

void
GiveTrials(tables& aTables,
           std::span<const host_id> aHosts,
           steady_time aNow,
           wake_time& aWake)
{
  const options& settings = aTables.settings;
  for (suspect_row& row : aTables.suspects) {
    if (row.isHeld || !IsQuarantined(settings, row) || aHosts.empty()) {
      continue;
    }
    const steady_time due =
      std::max(row.newestCrash + settings.quarantineTime, row.lastTrial.endsAt);
    if (aNow < due) {
      aWake.NoLaterThan(due);
      continue;
    }
    row.lastTrial = { row.lastTrial.number + 1,
                      NextHost(aHosts, row.lastTrial.host),
                      aNow + settings.trialTime };
    row.serial = ++aTables.serial;
    aWake.NoLaterThan(row.lastTrial.endsAt);
  }
}

} // namespace bulrush::quarantine
