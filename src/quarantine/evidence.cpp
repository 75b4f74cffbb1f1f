/// What was observed here and elsewhere about parts of prompts.

#include "quarantine/quarantine.hpp"

#include <algorithm>
#include <tuple>

namespace bulrush::quarantine {
namespace {

/// Times travel as ages, so each hop between processes shifts them by its
/// latency. Rows that differ by less are the same.
constexpr std::chrono::milliseconds kClockTolerance{ 200 };
/// An operator's release is kept so long, against the hold that it ended: a
/// process that was cut off may still have it.
constexpr std::chrono::hours kReleaseLifetime{ 24 };

bool
IsSame(const crash& aLeft, const crash& aRight)
{
  return aLeft.endpoint == aRight.endpoint &&
         aLeft.incarnation == aRight.incarnation;
}

bool
IsKnownToRun(const tables& aTables, const crash& aCrash)
{
  const running_row* running = aTables.running.Find(aCrash.endpoint);
  return running != nullptr && running->incarnation == aCrash.incarnation &&
         running->at + kClockTolerance >= aCrash.at;
}

bool
IsCleared(const tables& aTables, part_id aPart, steady_time aSince)
{
  const cleared_row* cleared = aTables.cleared.Find(aPart);
  return cleared != nullptr && cleared->at + kClockTolerance >= aSince;
}

bool
WasAnswered(const tables& aTables, part_id aPart, steady_time aBefore)
{
  const answer_slot& slot = aTables.answers[aPart.value % kAnswerSlots];
  return slot.part == aPart &&
         slot.at + aTables.settings.answerLifetime >= aBefore;
}

// Full tables lose the row with the fewest crashes, then the oldest one.
void
MakeRoom(tables& aTables)
{
  if (aTables.suspects.Size() < kMaxSuspects) {
    return;
  }
  const auto rows = aTables.suspects.Rows();
  const auto weakest = std::min_element(
    rows.begin(),
    rows.end(),
    [](const suspect_row& aLeft, const suspect_row& aRight) {
      return std::tuple(aLeft.isHeld, aLeft.crashes.size(), aLeft.newestCrash) <
             std::tuple(
               aRight.isHeld, aRight.crashes.size(), aRight.newestCrash);
    });
  const part_id id = weakest->id;
  aTables.suspects.Erase(id);
}

suspect_row&
FindOrAdd(tables& aTables, part_id aPart)
{
  suspect_row* row = aTables.suspects.Find(aPart);
  if (row == nullptr) {
    MakeRoom(aTables);
    suspect_row added;
    added.id = aPart;
    row = &aTables.suspects.Insert(std::move(added));
  }
  return *row;
}

// Requests that crash endpoints differ in all but the part at fault, so what
// all of them have in common shrinks to it.
bool
KeepCommon(std::vector<part_id>& aCommon, const std::vector<part_id>& aOther)
{
  return std::erase_if(aCommon, [&aOther](part_id aPart) {
           return std::find(aOther.begin(), aOther.end(), aPart) ==
                  aOther.end();
         }) > 0;
}

// False if the crash was known and adds nothing.
bool
AddCrash(tables& aTables,
         part_id aPart,
         const crash& aCrash,
         const std::vector<part_id>& aTogether)
{
  if (IsKnownToRun(aTables, aCrash) || IsCleared(aTables, aPart, aCrash.at)) {
    return false;
  }
  suspect_row& row = FindOrAdd(aTables, aPart);
  bool isNews = false;
  if (row.crashes.empty()) {
    row.together = aTogether;
    isNews = true;
  } else {
    isNews = KeepCommon(row.together, aTogether);
  }
  const bool isKnown = std::any_of(
    row.crashes.begin(), row.crashes.end(), [&aCrash](const crash& aKnown) {
      return IsSame(aKnown, aCrash);
    });
  if (!isKnown && row.crashes.size() < kMaxCrashes) {
    row.crashes.push_back(aCrash);
    isNews = true;
  }
  if (!isKnown && aCrash.at > row.newestCrash) {
    row.newestCrash = aCrash.at;
    isNews = true;
  }
  if (isNews) {
    row.serial = ++aTables.serial;
  }
  return isNews;
}

void
EraseOldestCleared(tables& aTables)
{
  if (aTables.cleared.Size() < kMaxCleared) {
    return;
  }
  const auto rows = aTables.cleared.Rows();
  const auto oldest =
    std::min_element(rows.begin(),
                     rows.end(),
                     [](const cleared_row& aLeft, const cleared_row& aRight) {
                       return aLeft.at < aRight.at;
                     });
  const part_id id = oldest->id;
  aTables.cleared.Erase(id);
}

// A part that had an answer explains no crash, so it is no longer among the
// parts that may explain those of others.
void
RemoveFromTogether(tables& aTables, part_id aPart)
{
  for (suspect_row& row : aTables.suspects) {
    if (std::erase(row.together, aPart) > 0) {
      row.serial = ++aTables.serial;
    }
  }
}

// Whether the row is cleared by an answer, or by an operator, at aAt.
bool
ClearsRow(const suspect_row& aRow, steady_time aAt, bool aIsByOperator)
{
  const steady_time until = aAt + kClockTolerance;
  if (aRow.isHeld) {
    return aIsByOperator && aRow.heldAt <= until;
  }
  return std::any_of(
    aRow.crashes.begin(), aRow.crashes.end(), [until](const crash& aCrash) {
      return aCrash.at <= until;
    });
}

// Crashes after aAt stay.
void
ClearRow(tables& aTables, suspect_row& aRow, steady_time aAt)
{
  const steady_time until = aAt + kClockTolerance;
  std::erase_if(aRow.crashes,
                [until](const crash& aCrash) { return aCrash.at <= until; });
  aRow.isHeld = false;
  aRow.serial = ++aTables.serial;
  if (aRow.crashes.empty()) {
    const part_id id = aRow.id;
    aTables.suspects.Erase(id);
  }
}

bool
Clear(tables& aTables, part_id aPart, steady_time aAt, bool aIsByOperator)
{
  const cleared_row* known = aTables.cleared.Find(aPart);
  suspect_row* row = aTables.suspects.Find(aPart);
  const bool clearsRow = row != nullptr && ClearsRow(*row, aAt, aIsByOperator);
  if (known != nullptr && known->at + kClockTolerance >= aAt && !clearsRow) {
    return false;
  }
  if (known == nullptr) {
    EraseOldestCleared(aTables);
  }
  // A release stays one: an answer must not bring back the hold that it ended.
  const bool isRelease =
    aIsByOperator || (known != nullptr && known->isByOperator);
  aTables.cleared.Insert({ aPart, aAt, isRelease, ++aTables.serial });
  if (clearsRow) {
    ClearRow(aTables, *row, aAt);
  }
  RemoveFromTogether(aTables, aPart);
  return true;
}

// Takes the crash of a process that runs from all rows.
bool
EraseCrash(tables& aTables, const crash& aCrash)
{
  bool hasErased = false;
  for (suspect_row& row : aTables.suspects) {
    const auto isSame = [&aCrash](const crash& aKnown) {
      return IsSame(aKnown, aCrash) && aKnown.at <= aCrash.at + kClockTolerance;
    };
    if (std::erase_if(row.crashes, isSame) > 0) {
      row.serial = ++aTables.serial;
      hasErased = true;
    }
  }
  aTables.suspects.EraseIf([](const suspect_row& aRow) {
    return aRow.crashes.empty() && !aRow.isHeld;
  });
  return hasErased;
}

bool
MarkRunning(tables& aTables,
            endpoint_id aEndpoint,
            std::uint64_t aIncarnation,
            steady_time aAt)
{
  const running_row* known = aTables.running.Find(aEndpoint);
  if (known != nullptr && known->incarnation > aIncarnation) {
    return false;
  }
  const bool hasErased = EraseCrash(aTables, { aEndpoint, aIncarnation, aAt });
  const bool isKnown = known != nullptr && known->incarnation == aIncarnation &&
                       known->at + kClockTolerance >= aAt;
  if (isKnown && !hasErased) {
    return false;
  }
  aTables.running.Insert({ aEndpoint, aIncarnation, aAt, ++aTables.serial });
  return true;
}

bool
HasCrash(const tables& aTables,
         endpoint_id aEndpoint,
         std::uint64_t aIncarnation,
         steady_time aBefore)
{
  return std::any_of(
    aTables.suspects.begin(),
    aTables.suspects.end(),
    [&](const suspect_row& aRow) {
      return std::any_of(
        aRow.crashes.begin(), aRow.crashes.end(), [&](const crash& aCrash) {
          return aCrash.endpoint == aEndpoint &&
                 aCrash.incarnation == aIncarnation && aCrash.at < aBefore;
        });
    });
}

bool
MergeHold(tables& aTables, const suspect_row& aFrom)
{
  const cleared_row* cleared = aTables.cleared.Find(aFrom.id);
  const bool isReleased = cleared != nullptr && cleared->isByOperator &&
                          cleared->at + kClockTolerance >= aFrom.heldAt;
  if (!aFrom.isHeld || isReleased) {
    return false;
  }
  suspect_row& row = FindOrAdd(aTables, aFrom.id);
  if (row.isHeld && row.heldAt + kClockTolerance >= aFrom.heldAt) {
    return false;
  }
  row.isHeld = true;
  row.heldAt = aFrom.heldAt;
  row.serial = ++aTables.serial;
  return true;
}

bool
MergeTrial(tables& aTables, const suspect_row& aFrom)
{
  suspect_row* row = aTables.suspects.Find(aFrom.id);
  if (row == nullptr || aFrom.lastTrial.number <= row->lastTrial.number) {
    return false;
  }
  row->lastTrial = aFrom.lastTrial;
  row->serial = ++aTables.serial;
  return true;
}

// An answer here since the crash, or shortly before it, clears the part for
// all.
bool
MergeSuspect(tables& aTables, const suspect_row& aFrom, steady_time aNow)
{
  if (aFrom.id == part_id{}) {
    return false;
  }
  bool isNews = MergeHold(aTables, aFrom);
  for (const crash& each : aFrom.crashes) {
    if (!aFrom.isHeld && WasAnswered(aTables, aFrom.id, each.at)) {
      isNews |= Clear(aTables, aFrom.id, std::min(each.at, aNow), false);
    } else {
      isNews |= AddCrash(aTables, aFrom.id, each, aFrom.together);
    }
  }
  return MergeTrial(aTables, aFrom) || isNews;
}

} // namespace

tables::tables()
  : tables(options{})
{
}

tables::tables(options aOptions)
  : settings(aOptions)
  , answers(kAnswerSlots)
{
}

void
RecordCrash(tables& aTables,
            const crash& aCrash,
            std::span<const part_id> aParts)
{
  std::vector<part_id> unanswered;
  for (const part_id part : aParts.first(std::min(aParts.size(), kMaxParts))) {
    if (!WasAnswered(aTables, part, aCrash.at)) {
      unanswered.push_back(part);
    }
  }
  for (const part_id part : unanswered) {
    AddCrash(aTables, part, aCrash, unanswered);
  }
}

void
RecordAnswer(tables& aTables, std::span<const part_id> aParts, steady_time aNow)
{
  for (const part_id part : aParts) {
    aTables.answers[part.value % kAnswerSlots] = { part, aNow };
    const suspect_row* row = aTables.suspects.Find(part);
    if (row != nullptr && !row->isHeld) {
      Clear(aTables, part, aNow, false);
    }
  }
}

void
RecordRunning(tables& aTables,
              endpoint_id aEndpoint,
              std::uint64_t aIncarnation,
              steady_time aNow)
{
  if (!aTables.suspects.Empty() &&
      HasCrash(aTables, aEndpoint, aIncarnation, aNow)) {
    MarkRunning(aTables, aEndpoint, aIncarnation, aNow);
  }
}

void
RecordCheckIn(tables& aTables,
              endpoint_id aEndpoint,
              std::uint64_t aIncarnation,
              steady_time aNow)
{
  RecordRunning(
    aTables, aEndpoint, aIncarnation, aNow - aTables.settings.checkInDelay);
}

bool
Merge(tables& aTables, const evidence& aEvidence, steady_time aNow)
{
  bool isNews = false;
  for (const running_row& each : aEvidence.running) {
    isNews |=
      MarkRunning(aTables, each.id, each.incarnation, std::min(each.at, aNow));
  }
  for (const cleared_row& each : aEvidence.cleared) {
    isNews |=
      Clear(aTables, each.id, std::min(each.at, aNow), each.isByOperator);
  }
  for (const suspect_row& each : aEvidence.suspects) {
    isNews |= MergeSuspect(aTables, each, aNow);
  }
  return isNews;
}

evidence
ChangesSince(const tables& aTables, std::uint64_t aSerial)
{
  evidence changes;
  const auto add = [aSerial](const auto& aFrom, auto& aTo) {
    for (const auto& row : aFrom) {
      if (row.serial > aSerial) {
        aTo.push_back(row);
      }
    }
  };
  if (aTables.serial > aSerial) {
    add(aTables.suspects, changes.suspects);
    add(aTables.cleared, changes.cleared);
    add(aTables.running, changes.running);
  }
  return changes;
}

void
Hold(tables& aTables, part_id aPart, steady_time aNow)
{
  suspect_row& row = FindOrAdd(aTables, aPart);
  row.isHeld = true;
  row.heldAt = aNow;
  row.serial = ++aTables.serial;
}

void
Release(tables& aTables, part_id aPart, steady_time aNow)
{
  Clear(aTables, aPart, aNow, true);
}

void
Expire(tables& aTables, steady_time aNow)
{
  const options& settings = aTables.settings;
  aTables.suspects.EraseIf([&](const suspect_row& aRow) {
    return !IsQuarantined(settings, aRow) &&
           aRow.newestCrash + settings.suspicionLifetime <= aNow;
  });
  const auto isOld = [&](const auto& aRow) {
    return aRow.at + settings.clearedLifetime <= aNow;
  };
  aTables.cleared.EraseIf([&](const cleared_row& aRow) {
    return isOld(aRow) &&
           (!aRow.isByOperator || aRow.at + kReleaseLifetime <= aNow);
  });
  aTables.running.EraseIf(isOld);
  std::erase_if(aTables.usedTrials, [&aTables](const auto& aUsed) {
    return aTables.suspects.Find(aUsed.first) == nullptr;
  });
}

} // namespace bulrush::quarantine
