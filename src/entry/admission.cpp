#include "entry/admission.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace bulrush::entry {
namespace {

using admission::reserve_outcome;

/// Weight of the newest request in the average of service times.
constexpr double kServiceGain = 0.1;

constexpr std::chrono::seconds kRetryWhenLate{ 1 };
/// Callers that were refused together come back so much after the pool expects
/// to have tokens again, spread over as long again.
constexpr std::chrono::milliseconds kRetryWhenShort{ 250 };

void
Refuse(admission_tables& aTables,
       const admitted_row& aRow,
       const refusal& aWhy,
       admission_outbox& aOutbox)
{
  aOutbox.refused.emplace_back(aRow.onRefused, aWhy);
  aTables.requests.Erase(aRow.id);
}

void
Enqueue(admission_tables& aTables, admitted_row& aRow)
{
  aRow.state = admission_state::eQueued;
  const kind_row* kind = aTables.kinds.Find(aRow.kind);
  const std::chrono::duration<double> service{ kind == nullptr
                                                 ? 0.0
                                                 : kind->serviceSeconds };
  admission::queued_row queued;
  queued.id = aRow.id;
  queued.workspace = aRow.workspace;
  queued.tokens = aRow.tokens;
  queued.arrivedAt = aRow.arrivedAt;
  queued.deadline = aRow.deadline;
  queued.serviceTime =
    std::chrono::duration_cast<std::chrono::nanoseconds>(service);
  admission::Enqueue(aTables.queue, queued);
}

std::int64_t
UnitsOf(std::int64_t aTokens)
{
  return aTokens * admission::kUnitsPerToken;
}

// What was not used goes back to where it came from.
void
Settle(admission_tables& aTables,
       const admitted_row& aRow,
       std::int64_t aUsed,
       steady_time aNow)
{
  const std::int64_t unused = std::max<std::int64_t>(0, aRow.tokens - aUsed);
  if (aRow.paid) {
    rates::Return(aTables.purses, *aRow.paid, UnitsOf(unused), aNow);
  }
  if (aRow.reserved.workspace) {
    admission::SettleTokens(aTables.escrow, aRow.reserved, aUsed, aNow);
  }
}

std::chrono::nanoseconds
PatienceOf(const admission_tables& aTables, const admitted_row& aRow)
{
  const auto wanted = aTables.purses.isReachable
                        ? aRow.patience
                        : std::max(aRow.patience, aRow.patienceCutOff);
  return std::min(wanted, aTables.escrow.settings.patience);
}

// The pool's word on when it holds what was lacking, and longer, since others
// wait too.
std::chrono::nanoseconds
RefillTime(const admission_tables& aTables,
           const admission::resource& aWhat,
           request_id aRequest,
           steady_time aNow)
{
  constexpr std::uint64_t kParts = 8;
  const auto spread = kRetryWhenShort / kParts * (aRequest.value % kParts);
  const auto* purse =
    aTables.purses.purses.Find(admission::IdOfResource(aWhat));
  const std::chrono::nanoseconds lack =
    purse == nullptr ? std::chrono::nanoseconds{ 0 } : purse->holdsAt - aNow;
  return kRetryWhenShort + spread +
         std::max(std::chrono::nanoseconds{ 0 }, lack);
}

// In the order of arrival within a workspace: a large request is not overtaken
// by small ones for as long as they may wait too.
void
TryPay(admission_tables& aTables,
       admitted_row& aRow,
       std::unordered_set<workspace_id, id_hash>& aShort,
       steady_time aNow,
       admission_outbox& aOutbox)
{
  const admission::resource what = admission::RateOf(aRow.workspace);
  const std::int64_t units = UnitsOf(aRow.tokens);
  if (!std::exchange(aRow.isCounted, true)) {
    rates::NoteDemand(aTables.purses, what, units, aNow);
  }
  const steady_time until = aRow.arrivedAt + PatienceOf(aTables, aRow);
  const bool mayWait = aNow < until;
  if (mayWait && aShort.contains(aRow.workspace)) {
    rates::NoteLack(aTables.purses, what, units, aNow);
  } else {
    aRow.paid = rates::Pay(aTables.purses, what, units, aNow);
  }
  if (aRow.paid) {
    Enqueue(aTables, aRow);
    return;
  }
  if (mayWait) {
    aShort.insert(aRow.workspace);
    aRow.state = admission_state::eShort;
    aOutbox.wake.NoLaterThan(until);
    return;
  }
  const auto kind = aTables.purses.isReachable ? refusal_kind::eOverRate
                                               : refusal_kind::eCutOff;
  Refuse(
    aTables, aRow, { kind, RefillTime(aTables, what, aRow.id, aNow) }, aOutbox);
}

// What can be had is reserved now; what is short waits for the delegate.
void
TryReserve(admission_tables& aTables,
           admitted_row& aRow,
           steady_time aNow,
           admission_outbox& aOutbox)
{
  const bool isNew = aRow.state == admission_state::eNew;
  const auto waited =
    isNew ? std::chrono::nanoseconds{ 0 }
          : std::max(std::chrono::nanoseconds{ 1 },
                     std::chrono::nanoseconds{ aNow - aRow.arrivedAt });
  const auto patience = PatienceOf(aTables, aRow);
  const auto answer = admission::ReserveTokens(
    aTables.escrow,
    aRow.workspace,
    aRow.tokens,
    waited < patience ? waited : aTables.escrow.settings.patience,
    aNow);
  switch (answer.outcome) {
    case reserve_outcome::eReserved:
      aRow.reserved = answer.reserved;
      Enqueue(aTables, aRow);
      return;
    case reserve_outcome::eShort:
      aRow.state = admission_state::eShort;
      aOutbox.wake.NoLaterThan(
        std::min(aNow + answer.retryAfter, aRow.arrivedAt + patience));
      return;
    case reserve_outcome::eOverRate:
      Refuse(
        aTables, aRow, { refusal_kind::eOverRate, answer.retryAfter }, aOutbox);
      return;
    case reserve_outcome::eCutOff:
      Refuse(
        aTables, aRow, { refusal_kind::eCutOff, answer.retryAfter }, aOutbox);
      return;
  }
}

void
RunPurseAnswers(admission_tables& aTables,
                steady_time aNow,
                admission_outbox& aOutbox)
{
  rates::purse_outbox out;
  rates::RunAnswers(aTables.purses, aNow, out);
  aOutbox.hasNewTokens = out.hasNewTokens;
}

void
RunDraws(admission_tables& aTables, steady_time aNow, admission_outbox& aOutbox)
{
  rates::purse_outbox out;
  rates::RunDraws(aTables.purses, aNow, out);
  aOutbox.draw = std::move(out.sent);
  aOutbox.wake.NoLaterThan(out.wake.at);
}

bool
ToleratesWindow(const admission_tables& aTables)
{
  return aTables.tolerance.window.count() > 0;
}

void
RunEscrow(admission_tables& aTables,
          steady_time aNow,
          admission_outbox& aOutbox)
{
  admission::escrow_outbox out;
  RunTick(admission::kEscrowSystems, aTables.escrow, aNow, out);
  aOutbox.renewals = std::move(out.renewals);
  aOutbox.wake.NoLaterThan(out.wake.at);
}

// In the order of arrival, so that a large request is not overtaken for ever.
void
RunReservations(admission_tables& aTables,
                steady_time aNow,
                admission_outbox& aOutbox)
{
  std::vector<request_id> waiting;
  for (const admitted_row& row : aTables.requests) {
    if (row.state == admission_state::eNew ||
        row.state == admission_state::eShort) {
      waiting.push_back(row.id);
    }
  }
  std::ranges::sort(waiting);
  std::unordered_set<workspace_id, id_hash> isShort;
  for (const request_id id : waiting) {
    admitted_row& row = *aTables.requests.Find(id);
    if (ToleratesWindow(aTables)) {
      TryPay(aTables, row, isShort, aNow, aOutbox);
    } else {
      TryReserve(aTables, row, aNow, aOutbox);
    }
  }
}

void
RunTurns(admission_tables& aTables, steady_time aNow, admission_outbox& aOutbox)
{
  aTables.queue.maySend =
    aTables.capacity > aTables.running ? aTables.capacity - aTables.running : 0;
  admission::queue_outbox out;
  RunTick(admission::kQueueSystems, aTables.queue, aNow, out);
  aOutbox.wake.NoLaterThan(out.wake.at);
  for (const admission::shed_request& shed : out.shed) {
    const admitted_row row = *aTables.requests.Find(shed.id);
    Settle(aTables, row, 0, aNow);
    Refuse(aTables, row, { refusal_kind::eLate, kRetryWhenLate }, aOutbox);
  }
  for (const request_id id : out.send) {
    admitted_row& row = *aTables.requests.Find(id);
    row.state = admission_state::eRunning;
    row.startedAt = aNow;
    ++aTables.running;
    aOutbox.admitted.push_back(row.onAdmitted);
  }
}

constexpr std::array<named_system<admission_tables, admission_outbox>, 5>
  kSystems{ {
    { "escrow", RunEscrow },
    { "purse_answers", RunPurseAnswers },
    { "reservations", RunReservations },
    { "draws", RunDraws },
    { "turns", RunTurns },
  } };

// Kinds are kept apart: a stream of seconds says nothing of a lookup.
void
NoteServiceTime(admission_tables& aTables,
                kind_id aKind,
                std::chrono::nanoseconds aTime)
{
  kind_row* kind = aTables.kinds.Find(aKind);
  if (kind == nullptr) {
    kind = &aTables.kinds.Insert({ aKind, 0 });
  }
  const double seconds = std::chrono::duration<double>{ aTime }.count();
  kind->serviceSeconds += kServiceGain * (seconds - kind->serviceSeconds);
}

} // namespace

namespace {

// Each host has an equal part. Before the hosts are counted none has any.
void
SetStanding(admission_tables& aTables,
            const fleet_state& aFleet,
            steady_time aNow)
{
  if (!ToleratesWindow(aTables) || aFleet.hosts == 0) {
    return;
  }
  const auto& workspaces = aFleet.declared.workspaces;
  for (const rates::purse_row& purse : aTables.purses.purses) {
    const bool isRate = purse.what.kind == admission::resource_kind::eRate;
    if (isRate && !workspaces.Find(workspace_id{ purse.what.subject })) {
      rates::SetStanding(aTables.purses, purse.what, {}, aNow);
    }
  }
  for (const workspace_row& workspace : workspaces) {
    if (workspace.tokensPerSecond == 0) {
      continue; // there is no limit to divide
    }
    const admission::share all = rates::DealRate(aTables.tolerance,
                                                 workspace.tokensPerSecond,
                                                 workspace.burstTokens)
                                   .standing;
    rates::SetStanding(aTables.purses,
                       admission::RateOf(workspace.id),
                       { all.rate / aFleet.hosts, all.size / aFleet.hosts },
                       aNow);
  }
}

} // namespace

admission_tables
MakeAdmission(host_id aHost, std::uint64_t aIncarnation)
{
  admission_tables tables;
  tables.escrow.link.self = admission::HolderOf(aHost);
  tables.escrow.link.incarnation = aIncarnation;
  return tables;
}

void
SetFleet(admission_tables& aTables,
         const fleet_state& aFleet,
         domain_id aDomain,
         steady_time aNow)
{
  SetStanding(aTables, aFleet, aNow);
  aTables.escrow.revision = aFleet.revision;
  for (const workspace_row& workspace : aFleet.declared.workspaces) {
    admission::SetWeight(aTables.queue, workspace.id, workspace.weight);
  }
  const domain_state_row* domain = aFleet.domains.Find(aDomain);
  if (domain != nullptr && domain->delegate) {
    admission::FollowParent(
      aTables.escrow, domain->epoch, admission::succession::eStartsNew);
  }
}

void
Admit(admission_tables& aTables, admitted_row aRow)
{
  aTables.requests.Insert(std::move(aRow));
}

void
Finish(admission_tables& aTables,
       request_id aRequest,
       std::int64_t aUsedTokens,
       steady_time aNow)
{
  const admitted_row* row = aTables.requests.Find(aRequest);
  if (row == nullptr) {
    return;
  }
  if (row->state == admission_state::eQueued) {
    admission::Cancel(aTables.queue, aRequest);
    Settle(aTables, *row, 0, aNow);
  } else if (row->state == admission_state::eRunning) {
    --aTables.running;
    NoteServiceTime(aTables, row->kind, aNow - row->startedAt);
    Settle(aTables, *row, aUsedTokens, aNow);
  }
  aTables.requests.Erase(aRequest);
}

// Before the first delegate is known there is nobody to renew with.
void
RunAdmission(admission_tables& aTables,
             steady_time aNow,
             admission_outbox& aOutbox)
{
  RunTick(kSystems, aTables, aNow, aOutbox);
  if (aTables.escrow.link.epoch == 0) {
    aOutbox.renewals.clear();
  }
}

} // namespace bulrush::entry
