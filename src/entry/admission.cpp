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

// Tokens that stand here need nobody's leave. They start at nothing, so that a
// host that was restarted has no more than one that was not.
std::int64_t
StandingTokens(admission_tables& aTables,
               workspace_id aWorkspace,
               std::int64_t aWanted,
               steady_time aNow)
{
  standing_row* standing = aTables.standing.Find(aWorkspace);
  if (standing == nullptr) {
    return 0;
  }
  admission::Refill(standing->bucket, aNow);
  return std::clamp<std::int64_t>(
    standing->bucket.level / admission::kUnitsPerToken, 0, aWanted);
}

void
TakeStanding(admission_tables& aTables,
             admitted_row& aRow,
             std::int64_t aTokens,
             steady_time aNow)
{
  aRow.standingTokens = aTokens;
  if (aTokens == 0) {
    return;
  }
  admission::token_bucket& bucket =
    aTables.standing.Find(aRow.workspace)->bucket;
  admission::Take(bucket, aTokens * admission::kUnitsPerToken, aNow);
  aRow.standingPoint = bucket.point;
}

// What was not used goes back to where it came from, the standing part first.
void
Settle(admission_tables& aTables,
       const admitted_row& aRow,
       std::int64_t aUsed,
       steady_time aNow)
{
  const std::int64_t unused = std::max<std::int64_t>(0, aRow.tokens - aUsed);
  const std::int64_t back = std::min(unused, aRow.standingTokens);
  standing_row* standing = aTables.standing.Find(aRow.workspace);
  if (back > 0 && standing != nullptr) {
    admission::PutBack(standing->bucket,
                       back * admission::kUnitsPerToken,
                       aRow.standingPoint,
                       aNow);
  }
  if (aRow.reserved.workspace) {
    const std::int64_t used = aRow.reserved.tokens - (unused - back);
    admission::SettleTokens(aTables.escrow, aRow.reserved, used, aNow);
  }
}

// What can be had is reserved now, from what stands here and then from the
// share; what is short waits for the delegate.
void
TryReserve(admission_tables& aTables,
           admitted_row& aRow,
           steady_time aNow,
           admission_outbox& aOutbox)
{
  const std::int64_t standing =
    StandingTokens(aTables, aRow.workspace, aRow.tokens, aNow);
  if (standing == aRow.tokens && standing > 0) {
    TakeStanding(aTables, aRow, standing, aNow);
    Enqueue(aTables, aRow);
    return;
  }
  const bool isNew = aRow.state == admission_state::eNew;
  const auto waited =
    isNew ? std::chrono::nanoseconds{ 0 }
          : std::max(std::chrono::nanoseconds{ 1 },
                     std::chrono::nanoseconds{ aNow - aRow.arrivedAt });
  const auto patience =
    std::min(aRow.patience, aTables.escrow.settings.patience);
  const auto answer = admission::ReserveTokens(
    aTables.escrow,
    aRow.workspace,
    aRow.tokens - standing,
    waited < patience ? waited : aTables.escrow.settings.patience,
    aNow);
  switch (answer.outcome) {
    case reserve_outcome::eReserved:
      aRow.reserved = answer.reserved;
      TakeStanding(aTables, aRow, standing, aNow);
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

namespace {

// Each host has an equal part. Before the hosts are counted none has any.
void
SetStanding(admission_tables& aTables,
            const fleet_state& aFleet,
            steady_time aNow)
{
  const auto& workspaces = aFleet.declared.workspaces;
  aTables.standing.EraseIf([&](const standing_row& aRow) {
    return workspaces.Find(aRow.id) == nullptr;
  });
  for (const workspace_row& workspace : workspaces) {
    if (aFleet.hosts == 0 || workspace.tokensPerSecond == 0) {
      continue;
    }
    const admission::share all = admission::DealRate(aTables.tolerance,
                                                     workspace.tokensPerSecond,
                                                     workspace.burstTokens)
                                   .standing;
    const admission::share part{ all.rate / aFleet.hosts,
                                 all.size / aFleet.hosts };
    standing_row* row = aTables.standing.Find(workspace.id);
    if (row == nullptr) {
      standing_row fresh;
      fresh.id = workspace.id;
      fresh.bucket.filledAt = aNow;
      row = &aTables.standing.Insert(std::move(fresh));
    }
    if (row->bucket.share != part) {
      admission::Resize(row->bucket, part, aNow);
    }
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
