#include "entry/admission.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace bulrush::entry {
namespace {

using admission::reserve_outcome;

/// Weight of the newest request in the average of service times.
constexpr double kServiceTimeGain = 0.1;

constexpr std::chrono::seconds kRetryAfterMissedDeadline{ 1 };
constexpr std::chrono::milliseconds kRetryAfterStop{ 250 };
/// Added to the time at which the pool expects to have tokens again; callers
/// that were refused together are spread over as long again.
constexpr std::chrono::milliseconds kRetryMargin{ 250 };

void
Refuse(admission_tables& aTables,
       const admitted_row& aRow,
       const refusal& aRefusal,
       admission_outbox& aOutbox)
{
  aOutbox.refused.emplace_back(aRow.onRefused, aRefusal);
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

// Returns unused tokens to the quota or the share that they came from.
void
SettleTokens(admission_tables& aTables,
             const admitted_row& aRow,
             std::int64_t aUsed,
             steady_time aNow)
{
  const std::int64_t unused = std::max<std::int64_t>(0, aRow.tokens - aUsed);
  if (aRow.consumed) {
    rates::ReturnUnused(aTables.quotas, *aRow.consumed, UnitsOf(unused), aNow);
  }
  if (aRow.reserved.workspace) {
    admission::SettleTokens(aTables.escrow, aRow.reserved, aUsed, aNow);
  }
}

std::chrono::nanoseconds
MaxWaitOf(const admission_tables& aTables, const admitted_row& aRow)
{
  const auto maxWait = aTables.quotas.isReachable
                         ? aRow.maxWait
                         : std::max(aRow.maxWait, aRow.maxWaitWithoutLeader);
  return std::min(maxWait, aTables.escrow.settings.maxWait);
}

// Time until the pool expects to hold the missing tokens, plus a margin, since
// other requests compete for them.
std::chrono::nanoseconds
RefillTime(const admission_tables& aTables,
           const admission::resource& aWhat,
           request_id aRequest,
           steady_time aNow)
{
  constexpr std::uint64_t kSpreadSteps = 8;
  const auto spread =
    kRetryMargin / kSpreadSteps * (aRequest.value % kSpreadSteps);
  const auto* quota =
    aTables.quotas.quotas.Find(admission::IdOfResource(aWhat));
  const std::chrono::nanoseconds refill = quota == nullptr
                                            ? std::chrono::nanoseconds{ 0 }
                                            : quota->poolRefilledAt - aNow;
  return kRetryMargin + spread +
         std::max(std::chrono::nanoseconds{ 0 }, refill);
}

// In order of arrival within a workspace: small requests don't overtake a large
// one as long as they can still wait.
void
TryConsume(admission_tables& aTables,
           admitted_row& aRow,
           std::unordered_set<workspace_id, id_hash>& aShortWorkspaces,
           steady_time aNow,
           admission_outbox& aOutbox)
{
  const admission::resource what = admission::RateOf(aRow.workspace);
  const std::int64_t units = UnitsOf(aRow.tokens);
  if (!std::exchange(aRow.isInDemand, true)) {
    rates::RecordDemand(aTables.quotas, what, units, aNow);
  }
  const steady_time until = aRow.arrivedAt + MaxWaitOf(aTables, aRow);
  const bool mayWait = aNow < until;
  if (!mayWait || !aShortWorkspaces.contains(aRow.workspace)) {
    aRow.consumed = rates::TryConsumeQuota(aTables.quotas, what, units, aNow);
  }
  if (aRow.consumed) {
    Enqueue(aTables, aRow);
    return;
  }
  if (mayWait) {
    rates::RecordWaiting(aTables.quotas, what, units, aNow);
    aShortWorkspaces.insert(aRow.workspace);
    aRow.state = admission_state::eWaitingForTokens;
    aOutbox.wake.NoLaterThan(until);
    return;
  }
  const auto kind = aTables.quotas.isReachable ? refusal_kind::eOverRate
                                               : refusal_kind::eRateUnreachable;
  Refuse(
    aTables, aRow, { kind, RefillTime(aTables, what, aRow.id, aNow) }, aOutbox);
}

// Reserves tokens that are held here; else the request waits for the delegate.
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
  const auto maxWait = MaxWaitOf(aTables, aRow);
  const auto answer = admission::ReserveTokens(
    aTables.escrow,
    aRow.workspace,
    aRow.tokens,
    waited < maxWait ? waited : aTables.escrow.settings.maxWait,
    aNow);
  switch (answer.outcome) {
    case reserve_outcome::eReserved:
      aRow.reserved = answer.reserved;
      Enqueue(aTables, aRow);
      return;
    case reserve_outcome::ePending:
      aRow.state = admission_state::eWaitingForTokens;
      aOutbox.wake.NoLaterThan(
        std::min(aNow + answer.retryAfter, aRow.arrivedAt + maxWait));
      return;
    case reserve_outcome::eOverRate:
      Refuse(
        aTables, aRow, { refusal_kind::eOverRate, answer.retryAfter }, aOutbox);
      return;
    case reserve_outcome::eCutOff:
      Refuse(aTables,
             aRow,
             { refusal_kind::eRateUnreachable, answer.retryAfter },
             aOutbox);
      return;
  }
}

void
RunQuotaGrants(admission_tables& aTables,
               steady_time aNow,
               admission_outbox& aOutbox)
{
  rates::quota_outbox out;
  rates::RunQuotaGrants(aTables.quotas, aNow, out);
  aOutbox.hasNewQuota = out.hasNewQuota;
}

void
RunQuotaRequests(admission_tables& aTables,
                 steady_time aNow,
                 admission_outbox& aOutbox)
{
  rates::quota_outbox out;
  rates::RunQuotaRequests(aTables.quotas, aNow, out);
  aOutbox.quotaRequest = std::move(out.request);
  aOutbox.wake.NoLaterThan(out.wake.at);
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

// In order of arrival, so that small requests cannot starve a large one.
void
RunReservations(admission_tables& aTables,
                steady_time aNow,
                admission_outbox& aOutbox)
{
  std::vector<request_id> waiting;
  for (const admitted_row& row : aTables.requests) {
    if (row.state == admission_state::eNew ||
        row.state == admission_state::eWaitingForTokens) {
      waiting.push_back(row.id);
    }
  }
  std::ranges::sort(waiting);
  std::unordered_set<workspace_id, id_hash> shortWorkspaces;
  for (const request_id id : waiting) {
    admitted_row& row = *aTables.requests.Find(id);
    if (ToleratesWindow(aTables)) {
      TryConsume(aTables, row, shortWorkspaces, aNow, aOutbox);
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
    SettleTokens(aTables, row, 0, aNow);
    Refuse(aTables,
           row,
           { refusal_kind::eMissesDeadline, kRetryAfterMissedDeadline },
           aOutbox);
  }
  for (const request_id id : out.send) {
    admitted_row& row = *aTables.requests.Find(id);
    row.state = admission_state::eRunning;
    row.startedAt = aNow;
    ++aTables.running;
    aOutbox.admitted.push_back(row.onAdmitted);
  }
}

// Refused in time to be served by another host.
void
RunStop(admission_tables& aTables, steady_time aNow, admission_outbox& aOutbox)
{
  const auto isWaiting = [](const admitted_row& aRow) {
    return aRow.state != admission_state::eRunning;
  };
  if (!std::ranges::any_of(aTables.requests, isWaiting)) {
    return;
  }
  if (aNow < aTables.admitBy) {
    aOutbox.wake.NoLaterThan(aTables.admitBy);
    return;
  }
  std::vector<admitted_row> waiting;
  std::ranges::copy_if(
    aTables.requests, std::back_inserter(waiting), isWaiting);
  for (const admitted_row& row : waiting) {
    if (row.state == admission_state::eQueued) {
      admission::Cancel(aTables.queue, row.id);
      SettleTokens(aTables, row, 0, aNow);
    }
    Refuse(aTables, row, { refusal_kind::eStopping, kRetryAfterStop }, aOutbox);
  }
}

constexpr std::array<named_system<admission_tables, admission_outbox>, 6>
  kSystems{ {
    { "escrow", RunEscrow },
    { "purse_answers", RunQuotaGrants },
    { "reservations", RunReservations },
    { "draws", RunQuotaRequests },
    { "turns", RunTurns },
    { "stop", RunStop },
  } };

// One average per kind: long streams must not distort the estimate for short
// look-ups.
void
RecordServiceTime(admission_tables& aTables,
                  kind_id aKind,
                  std::chrono::nanoseconds aTime)
{
  kind_row* kind = aTables.kinds.Find(aKind);
  if (kind == nullptr) {
    kind = &aTables.kinds.Insert({ aKind, 0 });
  }
  const double seconds = std::chrono::duration<double>{ aTime }.count();
  kind->serviceSeconds += kServiceTimeGain * (seconds - kind->serviceSeconds);
}

} // namespace

namespace {

// The baseline of a rate is divided equally among the hosts. While their number
// is unknown, no host has a baseline.
void
SetBaseline(admission_tables& aTables,
            const fleet_state& aFleet,
            steady_time aNow)
{
  if (!ToleratesWindow(aTables) || aFleet.hosts == 0) {
    return;
  }
  const auto& workspaces = aFleet.declared.workspaces;
  for (const rates::quota_row& quota : aTables.quotas.quotas) {
    const bool isRate = quota.resource.kind == admission::resource_kind::eRate;
    if (isRate && !workspaces.Find(workspace_id{ quota.resource.subject })) {
      rates::SetBaseline(aTables.quotas, quota.resource, {}, aNow);
    }
  }
  for (const workspace_row& workspace : workspaces) {
    if (workspace.tokensPerSecond == 0) {
      continue; // unlimited
    }
    const admission::share all = rates::SplitRate(aTables.tolerance,
                                                  workspace.tokensPerSecond,
                                                  workspace.burstTokens,
                                                  aFleet.hosts)
                                   .baseline;
    rates::SetBaseline(aTables.quotas,
                       admission::RateOf(workspace.id),
                       { all.rate / aFleet.hosts, all.size / aFleet.hosts },
                       aNow);
  }
}

} // namespace

bool
ToleratesWindow(const admission_tables& aTables)
{
  return aTables.tolerance.window.count() > 0;
}

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
  SetBaseline(aTables, aFleet, aNow);
  aTables.escrow.revision = aFleet.revision;
  for (const workspace_row& workspace : aFleet.declared.workspaces) {
    admission::SetWeight(aTables.queue, workspace.id, workspace.weight);
  }
  const domain_state_row* domain = aFleet.domains.Find(aDomain);
  if (domain != nullptr && domain->delegate) {
    admission::FollowParent(
      aTables.escrow, domain->epoch, admission::parent_succession::eStartsNew);
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
    SettleTokens(aTables, *row, 0, aNow);
  } else if (row->state == admission_state::eRunning) {
    --aTables.running;
    RecordServiceTime(aTables, row->kind, aNow - row->startedAt);
    SettleTokens(aTables, *row, aUsedTokens, aNow);
  }
  aTables.requests.Erase(aRequest);
}

// Renewals are dropped until the first delegate is known.
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
