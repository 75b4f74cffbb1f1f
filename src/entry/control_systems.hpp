#ifndef BULRUSH_ENTRY_CONTROL_SYSTEMS_HPP
#define BULRUSH_ENTRY_CONTROL_SYSTEMS_HPP

/// Systems of bulrush-entry's control thread; not for other folders.

#include "entry/tables.hpp"

namespace bulrush::entry {

/// An unknown key or path may have been added after the newest configuration
/// known here. Requests are denied by one that was in force at most this long
/// ago: two reports.
inline constexpr std::chrono::milliseconds kMaxDenialAge{ 2'000 };

// control_ingest.cpp
void RunIngest(entry_tables& aTables, steady_time aNow, entry_outbox& aOutbox);

// control_loads.cpp
/// Merges loads from control; those that are newer than what is known go to the
/// traffic thread.
void MergeLoads(entry_tables& aTables,
                const std::vector<room::load_row>& aLoads,
                steady_time aNow,
                entry_outbox& aOutbox);
/// The loads that this host observed since its last report, newest first.
std::vector<room::load_row> TakeUnreportedLoads(entry_tables& aTables);
void RunLoads(entry_tables& aTables, steady_time aNow, entry_outbox& aOutbox);

// control_reports.cpp
void RunDemand(entry_tables& aTables, steady_time aNow, entry_outbox& aOutbox);
void RunQuotaRequests(entry_tables& aTables,
                      steady_time aNow,
                      entry_outbox& aOutbox);
void RunRenewals(entry_tables& aTables,
                 steady_time aNow,
                 entry_outbox& aOutbox);
void RunReportTimeout(entry_tables& aTables,
                      steady_time aNow,
                      entry_outbox& aOutbox);
void RunReport(entry_tables& aTables, steady_time aNow, entry_outbox& aOutbox);
void RunCommands(entry_tables& aTables,
                 steady_time aNow,
                 entry_outbox& aOutbox);

// control_seeds.cpp
/// Has the seeds read again when they may have changed.
void RunSeeds(entry_tables& aTables, steady_time aNow, entry_outbox& aOutbox);

// usage_reports.cpp
void RunUsage(entry_tables& aTables, steady_time aNow, entry_outbox& aOutbox);
void HandleUsageAck(entry_tables& aTables,
                    const std::string& aSender,
                    const wire::usage_ack& aAck);

} // namespace bulrush::entry

#endif
