/// The attempts of all hosts by endpoint. The leader adds them up, since hosts
/// report to it anyway, and each report is answered with the sums. Answers the
/// load of many hosts that each see a small part of what an endpoint runs.

#include "control/tables.hpp"

namespace bulrush::control {
namespace {

/// Two reports may be lost.
constexpr std::chrono::milliseconds kReportLifetime{ 1'500 };
constexpr std::chrono::milliseconds kExpiryInterval{ 500 };

void
AddToSums(attempts_tables& aTables, const host_attempts_row& aHost)
{
  for (const wire::endpoint_attempts& each : aHost.attempts) {
    aTables.sums[each.endpoint] += each.running;
  }
}

void
TakeFromSums(attempts_tables& aTables, const host_attempts_row& aHost)
{
  for (const wire::endpoint_attempts& each : aHost.attempts) {
    const auto sum = aTables.sums.find(each.endpoint);
    sum->second -= each.running;
    if (sum->second == 0) {
      aTables.sums.erase(sum);
    }
  }
}

// Of hosts that ended or report to another leader.
void
ExpireReports(attempts_tables& aTables, steady_time aNow)
{
  if (aNow < aTables.nextExpiry) {
    return;
  }
  aTables.nextExpiry = aNow + kExpiryInterval;
  aTables.hosts.EraseIf([&](const host_attempts_row& aHost) {
    const bool isExpired = aHost.receivedAt + kReportLifetime <= aNow;
    if (isExpired) {
      TakeFromSums(aTables, aHost);
    }
    return isExpired;
  });
}

std::vector<wire::endpoint_attempts>
Sums(const attempts_tables& aTables)
{
  std::vector<wire::endpoint_attempts> sums;
  sums.reserve(aTables.sums.size());
  for (const auto& [endpoint, running] : aTables.sums) {
    sums.push_back({ endpoint, running });
  }
  return sums;
}

} // namespace

// Reports of one host may be reordered by a change of its connection.
void
HandleAttempts(control_tables& aTables,
               const received_message& aInput,
               const wire::demand_report& aReport,
               steady_time aNow,
               control_outbox& aOutbox)
{
  attempts_tables& tables = aTables.attempts;
  if (aReport.number == 0 || !aTables.log.isLeader(aNow)) {
    return; // zero: of an earlier release
  }
  ExpireReports(tables, aNow);
  const auto id = IdOf<host_id>(aInput.peer);
  const std::uint64_t incarnation = aInput.message.incarnation;
  if (const host_attempts_row* known = tables.hosts.Find(id)) {
    const std::pair newest(known->incarnation, known->number);
    if (std::pair(incarnation, aReport.number) <= newest) {
      return;
    }
    TakeFromSums(tables, *known);
  }
  host_attempts_row row{
    id, incarnation, aReport.number, aReport.attempts, aNow
  };
  AddToSums(tables, row);
  tables.hosts.Insert(std::move(row));
  aOutbox.messages.push_back(
    { aInput.peer, "", wire::attempts_update{ aReport.number, Sums(tables) } });
}

} // namespace bulrush::control
