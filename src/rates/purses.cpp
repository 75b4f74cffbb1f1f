#include "rates/rates.hpp"

#include <algorithm>

namespace bulrush::rates {
namespace {

purse_row&
PurseOf(purse_tables& aTables, const resource& aWhat, steady_time aNow)
{
  const resource_id id = admission::IdOfResource(aWhat);
  if (purse_row* found = aTables.purses.Find(id)) {
    return *found;
  }
  purse_row row;
  row.id = id;
  row.what = aWhat;
  row.standing.filledAt = aNow;
  row.demandSince = aNow;
  return aTables.purses.Insert(std::move(row));
}

void
DropLapsed(purse_row& aPurse, steady_time aNow)
{
  std::erase_if(aPurse.drawn, [aNow](const drawn_lot& aLot) {
    return aLot.lapsesAt <= aNow || aLot.units == 0;
  });
}

std::int64_t
Drawn(const purse_row& aPurse)
{
  std::int64_t units = 0;
  for (const drawn_lot& lot : aPurse.drawn) {
    units += lot.units;
  }
  return units;
}

// Checked against the time of use: a process that was frozen must not use what
// has lapsed meanwhile.
std::int64_t
Refilled(purse_row& aPurse, steady_time aNow)
{
  DropLapsed(aPurse, aNow);
  admission::Refill(aPurse.standing, aNow);
  return aPurse.standing.level + Drawn(aPurse);
}

void
AddLot(purse_row& aPurse, const drawn_lot& aLot)
{
  const auto after = std::ranges::upper_bound(
    aPurse.drawn, aLot.lapsesAt, {}, &drawn_lot::lapsesAt);
  aPurse.drawn.insert(after, aLot);
}

void
TakeDrawn(purse_row& aPurse, std::int64_t aUnits)
{
  for (drawn_lot& lot : aPurse.drawn) {
    const std::int64_t part = std::min(lot.units, aUnits);
    lot.units -= part;
    aUnits -= part;
  }
}

void
AverageDemand(const purse_settings& aSettings,
              purse_row& aPurse,
              steady_time aNow)
{
  const std::chrono::duration<double> age = aNow - aPurse.demandSince;
  if (aNow < aPurse.demandSince + aSettings.demandInterval) {
    return;
  }
  const auto now = static_cast<double>(aPurse.demandUnits) / age.count();
  aPurse.demandRate += aSettings.demandGain * (now - aPurse.demandRate);
  aPurse.demandUnits = 0;
  aPurse.demandSince = aNow;
}

std::int64_t
Within(double aRate, std::chrono::duration<double> aTime)
{
  return static_cast<std::int64_t>(aRate * aTime.count());
}

// Requests that wait draw what they lack at once; else the purse is filled
// before it runs out, unless the pool has just said that it is empty.
std::int64_t
Wanted(const purse_settings& aSettings, purse_row& aPurse, steady_time aNow)
{
  const std::int64_t available = Refilled(aPurse, aNow);
  const std::int64_t lack =
    std::max<std::int64_t>(0, aPurse.waiting - available);
  if (aPurse.refillsAt && aNow < *aPurse.refillsAt) {
    return 0;
  }
  const std::int64_t low = Within(aPurse.demandRate, aSettings.drawBelow);
  if (lack == 0 && available >= low) {
    return 0;
  }
  const auto ahead = std::min<std::chrono::milliseconds>(
    aSettings.drawAhead, LifeOf(aPurse.what) / 2);
  return std::max(
    lack, Within(aPurse.demandRate, ahead) + aPurse.waiting - available);
}

void
TakeAnswer(purse_tables& aTables,
           const drawn& aAnswer,
           steady_time aNow,
           purse_outbox& aOut)
{
  const bool isAwaited =
    aTables.isAwaiting && aAnswer.sequence == aTables.sequence;
  if (!isAwaited) {
    return; // its tokens may lapse unused
  }
  aTables.isAwaiting = false;
  aTables.isReachable = true;
  for (const drawn_row& row : aAnswer.rows) {
    purse_row& purse = PurseOf(aTables, row.what, aNow);
    // The pool gave them after the draw was sent: they lapse no later there.
    AddLot(
      purse,
      { row.units, aTables.sentAt + admission::LessDrift(LifeOf(row.what)) });
    aOut.hasNewTokens |= row.units > 0;
    purse.refillsAt.reset();
    if (row.refillsIn > row.refillsIn.zero()) {
      // Whoever asks again sooner would find it as empty.
      const auto pause = std::clamp<std::chrono::nanoseconds>(
        row.refillsIn, aTables.settings.drawEvery, LifeOf(row.what) / 4);
      purse.refillsAt = aNow + pause;
      purse.holdsAt = aNow + row.refillsIn;
    }
  }
}

void
Draw(purse_tables& aTables, steady_time aNow, purse_outbox& aOut)
{
  draw next;
  for (purse_row& purse : aTables.purses) {
    AverageDemand(aTables.settings, purse, aNow);
    const std::int64_t units = Wanted(aTables.settings, purse, aNow);
    if (units > 0) {
      next.rows.push_back({ purse.what, units });
    } else if (purse.waiting > 0 && purse.refillsAt) {
      aOut.wake.NoLaterThan(*purse.refillsAt);
    }
  }
  if (next.rows.empty()) {
    return;
  }
  next.sequence = ++aTables.sequence;
  aTables.sentAt = aNow;
  aTables.isAwaiting = true;
  aOut.wake.NoLaterThan(aNow + aTables.settings.answerWithin);
  aOut.sent = std::move(next);
}

bool
IsShort(const purse_tables& aTables)
{
  const auto purses = aTables.purses.Rows();
  return std::any_of(purses.begin(), purses.end(), [](const purse_row& aRow) {
    return aRow.waiting > 0;
  });
}

void
ForgetUnused(purse_tables& aTables, steady_time aNow)
{
  const auto& settings = aTables.settings;
  aTables.purses.EraseIf([&](const purse_row& aRow) {
    return aRow.standing.share == share{} && aRow.drawn.empty() &&
           aRow.demandUnits == 0 && aRow.waiting == 0 &&
           aRow.demandSince + settings.forgetAfter <= aNow;
  });
}

} // namespace

void
SetStanding(purse_tables& aTables,
            const resource& aWhat,
            const share& aPart,
            steady_time aNow)
{
  purse_row& purse = PurseOf(aTables, aWhat, aNow);
  if (purse.standing.share != aPart) {
    admission::Resize(purse.standing, aPart, aNow);
  }
}

void
NoteDemand(purse_tables& aTables,
           const resource& aWhat,
           std::int64_t aUnits,
           steady_time aNow)
{
  PurseOf(aTables, aWhat, aNow).demandUnits += aUnits;
}

std::optional<payment>
Pay(purse_tables& aTables,
    const resource& aWhat,
    std::int64_t aUnits,
    steady_time aNow)
{
  purse_row& purse = PurseOf(aTables, aWhat, aNow);
  if (Refilled(purse, aNow) < aUnits) {
    purse.waiting += aUnits;
    return std::nullopt;
  }
  payment paid;
  paid.from = purse.id;
  paid.standing = std::min(aUnits, purse.standing.level);
  paid.drawn = aUnits - paid.standing;
  if (paid.standing > 0) {
    admission::Take(purse.standing, paid.standing, aNow);
    paid.point = purse.standing.point;
  }
  if (paid.drawn > 0) {
    paid.drawnUntil = purse.drawn.front().lapsesAt;
    TakeDrawn(purse, paid.drawn);
  }
  return paid;
}

void
NoteLack(purse_tables& aTables,
         const resource& aWhat,
         std::int64_t aUnits,
         steady_time aNow)
{
  PurseOf(aTables, aWhat, aNow).waiting += aUnits;
}

void
Return(purse_tables& aTables,
       const payment& aPayment,
       std::int64_t aUnits,
       steady_time aNow)
{
  purse_row* purse = aTables.purses.Find(aPayment.from);
  if (purse == nullptr) {
    return;
  }
  const std::int64_t drawn = std::min(aUnits, aPayment.drawn);
  if (drawn > 0 && aNow < aPayment.drawnUntil) {
    AddLot(*purse, { drawn, aPayment.drawnUntil });
  }
  const std::int64_t standing = std::min(aUnits - drawn, aPayment.standing);
  if (standing > 0) {
    admission::PutBack(purse->standing, standing, aPayment.point, aNow);
  }
}

std::int64_t
Available(purse_tables& aTables, const resource& aWhat, steady_time aNow)
{
  return Refilled(PurseOf(aTables, aWhat, aNow), aNow);
}

// A draw without an answer in time is given up: its tokens may lapse unused,
// the next one asks for what is lacking then.
void
RunAnswers(purse_tables& aTables, steady_time aNow, purse_outbox& aOut)
{
  for (const drawn& answer : aTables.answers) {
    TakeAnswer(aTables, answer, aNow, aOut);
  }
  aTables.answers.clear();
  const steady_time late = aTables.sentAt + aTables.settings.answerWithin;
  if (aTables.isAwaiting && aNow >= late) {
    aTables.isAwaiting = false;
    aTables.isReachable = false;
  }
}

void
RunDraws(purse_tables& aTables, steady_time aNow, purse_outbox& aOut)
{
  const steady_time next = aTables.sentAt + aTables.settings.drawEvery;
  if (aTables.isAwaiting) {
    aOut.wake.NoLaterThan(aTables.sentAt + aTables.settings.answerWithin);
  } else if (aNow >= next) {
    Draw(aTables, aNow, aOut);
  } else if (IsShort(aTables)) {
    aOut.wake.NoLaterThan(next);
  }
  for (purse_row& purse : aTables.purses) {
    purse.waiting = 0; // whoever still waits says so in the next tick
  }
  ForgetUnused(aTables, aNow);
}

} // namespace bulrush::rates
