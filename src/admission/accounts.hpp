#ifndef BULRUSH_ADMISSION_ACCOUNTS_HPP
#define BULRUSH_ADMISSION_ACCOUNTS_HPP

/// Internal to the admission library: holdings and accounts.

#include "admission/admission.hpp"

namespace bulrush::admission {

/// How long a held share may stay in use after its lease.
std::chrono::nanoseconds HoldTimeOf(const escrow_settings& aSettings,
                                    const resource& aResource);

/// The held share, including the part that holders have yet to return.
share Held(const holding_row& aHolding);

/// Resizes the bucket to the undivided part; returns the units that no longer
/// fit.
std::int64_t FitBucket(const escrow_tables& aTables,
                       holding_row& aHolding,
                       steady_time aNow);

/// Removes the parts of the share whose lease has ended by aNow.
void LapseHolding(const escrow_tables& aTables,
                  holding_row& aHolding,
                  steady_time aNow);

/// Sets the held share of one account and updates the sum in the holding.
void RecordHeld(escrow_tables& aTables,
                holding_row& aHolding,
                account_row& aAccount,
                const share& aHeld,
                steady_time aNow);

/// The account of a process for one holding; adds it if missing.
account_row& FindOrAddAccount(escrow_tables& aTables,
                              process_id aProcess,
                              const holding_row& aHolding);

/// Whether the holder of an account has renewed within its lease.
bool IsLive(const escrow_tables& aTables,
            const account_row& aRow,
            steady_time aNow);

/// Whether holders may have shares from a previous parent that this node does
/// not know of.
bool MayHaveUnknownGrants(const escrow_tables& aTables,
                          const holding_row& aHolding,
                          steady_time aNow);

/// Whether this node and all above it are connected up to the root.
bool ReachesRoot(const escrow_tables& aTables, steady_time aNow);

/// Erases empty rows.
void EraseUnusedRows(escrow_tables& aTables, steady_time aNow);

} // namespace bulrush::admission

#endif
