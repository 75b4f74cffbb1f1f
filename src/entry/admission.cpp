#include "entry/admission.hpp"

#include <algorithm>

namespace bulrush::entry {
namespace {

using admission::reserve_outcome;

/// Weight of the newest request in the average of service times.
constexpr double kServiceGain = 0.1;

constexpr std::chrono::seconds kRetryWhenLate{ 1 };

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
  const std::chrono::duration<double> service{
    kind == nullptr ? 0.0 : kind->serviceSeconds
  };
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
  const auto patience =
    std::min(aRow.patience, aTables.escrow.settings.patience);
  const auto answer =
    admission::ReserveTokens(aTables.escrow,
                             aRow.workspace,
                             aRow.tokens,
                             waited < patience
                               ? waited
                               : aTables.escrow.settings.patience,
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
  for (const request_id id : waiting) {
    TryReserve(aTables, *aTables.requests.Find(id), aNow, aOutbox);
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
    admission::SettleTokens(aTables.escrow, row.reserved, 0, aNow);
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

constexpr std::array<named_system<admission_tables, admission_outbox>, 3>
  kSystems{ {
    { "escrow", RunEscrow },
    { "reservations", RunReservations },
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
         domain_id aDomain)
{
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
    admission::SettleTokens(aTables.escrow, row->reserved, 0, aNow);
  } else if (row->state == admission_state::eRunning) {
    --aTables.running;
    NoteServiceTime(aTables, row->kind, aNow - row->startedAt);
    admission::SettleTokens(aTables.escrow, row->reserved, aUsedTokens, aNow);
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
