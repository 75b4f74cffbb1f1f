#ifndef BULRUSH_ADMISSION_BOOKS_HPP
#define BULRUSH_ADMISSION_BOOKS_HPP

/// Internal to the admission library: the books that its sources share.

#include "admission/admission.hpp"

namespace bulrush::admission {

/// How long what is booked outlives its lease.
std::chrono::nanoseconds HoldOf(const escrow_settings& aSettings,
                                const resource& aResource);

/// All that is held, also what is being given back.
share Held(const holding_row& aHolding);

/// Fits the bucket to the undivided part; returns the units that no longer fit.
std::int64_t FitBucket(const escrow_tables& aTables,
                       holding_row& aHolding,
                       steady_time aNow);

/// Ends what has lapsed by aNow.
void LapseHolding(const escrow_tables& aTables,
                  holding_row& aHolding,
                  steady_time aNow);

/// Changes what is booked for one account and the sum of the holding with it.
void Book(escrow_tables& aTables,
          holding_row& aHolding,
          account_row& aAccount,
          const share& aHeld,
          steady_time aNow);

/// The account of a process for one holding, added when there is none.
account_row& OpenAccount(escrow_tables& aTables,
                         process_id aProcess,
                         const holding_row& aHolding);

/// Whether the holder of an account has renewed within its lease.
bool IsLive(const escrow_tables& aTables,
            const account_row& aRow,
            steady_time aNow);

/// Whether shares of a predecessor may be held that this node does not know.
bool IsWaitingOut(const escrow_tables& aTables,
                  const holding_row& aHolding,
                  steady_time aNow);

/// Whether this node and all above it are connected up to the root.
bool ReachesRoot(const escrow_tables& aTables, steady_time aNow);

/// Removes rows that say nothing any more.
void ForgetRows(escrow_tables& aTables, steady_time aNow);

} // namespace bulrush::admission

#endif
