#ifndef BULRUSH_ROUTING_PARTS_HPP
#define BULRUSH_ROUTING_PARTS_HPP

/// Private header of the routing library.

#include "routing/routing.hpp"

namespace bulrush::routing {

// Systems, in the order of the tick.
void RunIndexHolders(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunAnswers(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunCancels(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunStop(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunQuarantine(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunTimeouts(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunColdStart(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunClaims(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunRetry(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunChoose(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunOutflow(tables& aTables, steady_time aNow, outbox& aOutbox);
void RunSweep(tables& aTables, steady_time aNow, outbox& aOutbox);

/// Adds the request to the list that the systems visit. Running requests are
/// not listed, so they cost nothing per tick.
void MarkPending(tables& aTables, request_row& aRequest);

/// Rebuilds the index from models to endpoints if it is stale.
void IndexHolders(tables& aTables);

/// The retry budget of a service, added with a full budget if missing.
retry_row& FindOrAddRetryBudget(tables& aTables, service_id aService);

/// True unless the endpoint is removed, leaving, draining or taken out.
bool IsServing(const endpoint_row& aEndpoint);

/// Whether endpoints of other failure domains are candidates for the request,
/// by a random draw against the share of its model.
bool MayLeaveDomain(tables& aTables,
                    const request_row& aRequest,
                    std::span<const holder> aHolders,
                    const model_load& aLoad,
                    steady_time aNow);

/// Records that an attempt is sent to the endpoint.
void RecordSend(endpoint_row& aEndpoint, steady_time aNow);

/// Updates the usual slowdown after a load was told.
void LearnSlowdown(endpoint_row& aEndpoint);

/// Updates the speed of the endpoint after a complete answer.
void LearnFromAnswer(endpoint_row& aEndpoint,
                     const attempt_row& aAttempt,
                     bool aIsStreamed,
                     steady_time aNow);

/// True unless the endpoint is cold and accepts no further request now.
bool HasColdCapacity(const tables& aTables,
                     endpoint_row& aEndpoint,
                     steady_time aNow);

/// True when the cold-start gate applies to the endpoint.
bool IsColdGated(const tables& aTables, const endpoint_row& aEndpoint);

/// Observations about the parts of prompts, see the quarantine library.
void RecordPromptCrash(tables& aTables,
                       const attempt_row& aAttempt,
                       request_row& aRequest,
                       steady_time aNow);
/// Called when a part of the answer has arrived. aIsComplete: all of it.
void RecordPromptAnswer(tables& aTables,
                        attempt_row& aAttempt,
                        const request_row& aRequest,
                        bool aIsComplete,
                        steady_time aNow);
/// Called when the attempt is sent, though a part may be in quarantine.
void MarkTrial(tables& aTables,
               attempt_row& aAttempt,
               const request_facts& aFacts);

/// Whether the request may be sent as far as its prompt is concerned.
quarantine::verdict JudgePrompt(const tables& aTables,
                                const request_row& aRequest,
                                steady_time aNow);

/// Marks an endpoint that did not answer as suspect, for a time that doubles
/// with further failures.
void MarkSuspect(const options& aOptions,
                 endpoint_row& aEndpoint,
                 steady_time aNow);

/// Records against the endpoint that the attempt failed.
void RecordFailure(tables& aTables,
                   const attempt_row& aAttempt,
                   const request_row& aRequest,
                   attempt_failure aFailure,
                   steady_time aNow);

/// Counts a broken answer and calls AvoidBroken.
void MarkBroken(const options& aOptions,
                endpoint_row& aEndpoint,
                steady_time aNow);

/// From the second broken answer in a row the endpoint is suspect, for a time
/// that doubles with further ones.
void AvoidBroken(const options& aOptions,
                 endpoint_row& aEndpoint,
                 steady_time aNow);

/// After a complete answer or a restart.
void ClearBroken(endpoint_row& aEndpoint);

/// True when sound endpoints are chosen before this one.
bool IsSuspect(const endpoint_row& aEndpoint, steady_time aNow);

/// Records that the endpoint of aAttempt states that it shuts down: it gets no
/// further request.
void MarkLeaving(tables& aTables,
                 const attempt_row& aAttempt,
                 steady_time aNow);

/// Time until an endpoint that holds the request's model accepts requests; zero
/// if one does, or if none holds it.
std::chrono::milliseconds TimeUntilAccepted(tables& aTables,
                                            const request_row& aRequest,
                                            steady_time aNow);

/// A reported queue is relied on for this time. Hosts exchange loads within 0.2
/// to 0.8 s, and without answers from an endpoint none arrive.
inline constexpr std::chrono::milliseconds kQueueReportAge{ 1'000 };

/// True for requests whose service is scheduled by targets, and when a serving
/// endpoint that holds the request's model tells its slowdown.
bool IsScheduledByTarget(tables& aTables, const request_facts& aFacts);

/// Retry-After of a request that is refused for lack of room. Where requests
/// are scheduled by target: when room is expected, spread, within a third of
/// the time that the caller has left. Elsewhere TimeUntilAccepted.
std::chrono::milliseconds RetryAfterRefusal(tables& aTables,
                                            const request_row& aRequest,
                                            steady_time aNow);

/// Resets an endpoint to its cold limit.
void ResetToCold(endpoint_row& aEndpoint);

/// Cancels an attempt; later input is ignored, its slot is held until it ends.
void CancelAttempt(attempt_row& aAttempt, outbox& aOutbox);

/// Ends a request without a live attempt that JudgePrompt refused.
void EndQuarantined(tables& aTables,
                    request_row& aRequest,
                    const quarantine::verdict& aVerdict,
                    steady_time aNow,
                    outbox& aOutbox);

/// Ends a request that waits for an endpoint: with aOutcome, or as a broken
/// stream if a part of its answer was forwarded.
void EndUnplaced(const options& aOptions,
                 request_row& aRequest,
                 request_outcome aOutcome,
                 steady_time aNow,
                 outbox& aOutbox);

/// Ends a request that has no live attempt and records its claim's outcome.
void EndRequest(const options& aOptions,
                request_row& aRequest,
                request_outcome aOutcome,
                ran_state aRan,
                steady_time aNow,
                outbox& aOutbox);

/// Fails the live attempt of aRequest. aIsKnownNotRun requires proof.
void FailAttempt(tables& aTables,
                 attempt_row& aAttempt,
                 request_row& aRequest,
                 attempt_failure aFailure,
                 bool aIsKnownNotRun,
                 steady_time aNow,
                 outbox& aOutbox);

/// True when the bytes of aAttempt are forwarded as they arrive.
bool IsForwardedOnArrival(const request_row& aRequest,
                          const attempt_row& aAttempt);

/// Records the endpoint that a prompt prefix was sent to.
void RecordPrefix(tables& aTables,
                  std::uint64_t aPrefix,
                  endpoint_id aEndpoint);

/// True when an endpoint that is neither tried nor suspect could serve the
/// request: now, or after a wait for a slot that its placement deadline allows.
bool HasOtherEndpoint(tables& aTables,
                      const request_row& aRequest,
                      steady_time aNow);

/// Until when a request may wait for an endpoint.
steady_time LastPlacement(const options& aOptions, const request_row& aRequest);

/// Why the request's attempt cannot be replaced by one at another endpoint;
/// eNone if it can.
stay_reason WhyAttemptStays(tables& aTables,
                            const request_row& aRequest,
                            steady_time aNow);

/// Whether the request, whose attempt failed, may have a further one.
bool ShouldRetry(tables& aTables, request_row& aRequest, steady_time aNow);

/// Takes a retry of the request from its budget, before it is decided.
void PayForRetry(tables& aTables, request_row& aRequest);

/// Longest gap in a stream before the request moves to another endpoint.
std::chrono::milliseconds IdleTimeout(const options& aOptions,
                                      const request_row& aRequest);

/// Until when a stream that cannot move to another endpoint is waited for: the
/// deadline of its first byte while no content was forwarded, then that of its
/// last byte, or options::streamIdleTimeout if it has none.
steady_time LastWait(const options& aOptions,
                     const attempt_row& aAttempt,
                     const request_row& aRequest);

/// True when an endpoint that can resume streams holds the request's model.
bool CanResumeSomewhere(const tables& aTables, const request_row& aRequest);

/// Ends a request that has a live attempt. If it holds a claim, its attempt
/// runs on and the outcome is stored, unless its key was withdrawn or the host
/// stops.
void EndRunningRequest(tables& aTables,
                       request_row& aRequest,
                       request_outcome aOutcome,
                       steady_time aNow,
                       outbox& aOutbox);

/// Ends a request whose caller was answered, and its attempt.
void CancelDetached(tables& aTables, request_row& aRequest, outbox& aOutbox);

/// Records the outcome of a claimed request, once.
void RecordClaimOutcome(request_row& aRequest,
                        ran_state aRan,
                        attempt_id aAttempt,
                        int aStatus,
                        outbox& aOutbox);

/// eMayHaveRun if any attempt may have run, else eNotRun.
ran_state CurrentRanState(const request_row& aRequest);

std::chrono::milliseconds TimeLeft(const request_row& aRequest,
                                   steady_time aNow);

bool HasTried(const request_row& aRequest, endpoint_id aEndpoint);

} // namespace bulrush::routing

#endif
