#ifndef BULRUSH_ROUTING_PARTS_HPP
#define BULRUSH_ROUTING_PARTS_HPP

/// Shared by the sources of the routing library; not installed.

#include "routing/routing.hpp"

namespace bulrush::routing {

// Systems, in the order of the tick.
void RunIndexHolders(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunAnswers(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunCancels(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunTimeouts(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunColdStart(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunClaims(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunRetry(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunChoose(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunSweep(tables& aTables, steady_time aNow, outbox& aOutbox);

/// Lists the request for the systems that follow. One that only runs costs a
/// tick nothing.
void Attend(tables& aTables, request_row& aRequest);

/// Brings the index from models to endpoints up to date.
void IndexHolders(tables& aTables);

/// The budget of a service, added when there is none.
retry_row& RetriesOf(tables& aTables, service_id aService);

/// Whether a cold endpoint bears one request more now.
bool MayStartCold(const tables& aTables,
                  endpoint_row& aEndpoint,
                  steady_time aNow);

/// True when all hosts together bound what the endpoint is sent.
bool IsGated(const tables& aTables, const endpoint_row& aEndpoint);

/// Leaves an endpoint that was silent to the last for a while.
void DoubtSilent(const options& aOptions,
                 endpoint_row& aEndpoint,
                 steady_time aNow);

/// Drops an endpoint to its cold limit.
void DropToCold(endpoint_row& aEndpoint);

/// Nothing of the attempt counts from here on; its slot stays taken.
void CancelAttempt(attempt_row& aAttempt, outbox& aOutbox);

/// Ends a request without a live attempt for its caller and settles its claim.
void EndRequest(const options& aOptions,
                request_row& aRequest,
                request_outcome aOutcome,
                ran_state aRan,
                steady_time aNow,
                outbox& aOutbox);

/// The live attempt of aRequest failed. aIsKnownNotRun only on proof.
void FailAttempt(tables& aTables,
                 attempt_row& aAttempt,
                 request_row& aRequest,
                 attempt_failure aFailure,
                 bool aIsKnownNotRun,
                 steady_time aNow,
                 outbox& aOutbox);

/// True when aAttempt's answer goes to the caller as it arrives.
bool IsForwardedEarly(const request_row& aRequest, const attempt_row& aAttempt);

/// Remembers where a prompt prefix was sent.
void RememberPrefix(tables& aTables,
                    std::uint64_t aPrefix,
                    endpoint_id aEndpoint);

/// True when an endpoint that was not tried yet and answers lately could serve
/// the request.
bool HasOtherEndpoint(tables& aTables,
                      const request_row& aRequest,
                      steady_time aNow);

/// True when the request's attempt may be given up for one at another endpoint.
bool MayMove(tables& aTables, const request_row& aRequest, steady_time aNow);

/// How long the request's attempt may be silent while another endpoint could
/// take it.
std::chrono::milliseconds SilenceLimit(const options& aOptions,
                                       const request_row& aRequest);

/// True when an endpoint that resumes streams holds the request's model.
bool CanResumeSomewhere(const tables& aTables, const request_row& aRequest);

/// Ends a request that has a live attempt. A claimed one is detached, so that
/// its outcome can be stored, unless its key was withdrawn.
void EndWhileRunning(tables& aTables,
                     request_row& aRequest,
                     request_outcome aOutcome,
                     steady_time aNow,
                     outbox& aOutbox);

/// Tells the claims log how a claimed request ended, once.
void SettleClaim(request_row& aRequest,
                 ran_state aRan,
                 attempt_id aAttempt,
                 int aStatus,
                 outbox& aOutbox);

/// eMayHaveRun when any attempt may have run, eNotRun otherwise.
ran_state RanSoFar(const request_row& aRequest);

std::chrono::milliseconds TimeLeft(const request_row& aRequest,
                                   steady_time aNow);

bool HasTried(const request_row& aRequest, endpoint_id aEndpoint);

} // namespace bulrush::routing

#endif
