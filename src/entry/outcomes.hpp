#ifndef BULRUSH_ENTRY_OUTCOMES_HPP
#define BULRUSH_ENTRY_OUTCOMES_HPP

/// Errors for callers from outcomes of requests, and answers to claims.

#include "entry/admission.hpp"
#include "entry/entry.hpp"
#include "wire/wire.hpp"

namespace bulrush::entry {

/// The error for a request that ended without an answer.
caller_error ErrorOf(const routing::end_request& aEnd);

/// The error for a request that was not admitted.
caller_error ErrorOf(const refusal& aRefusal);

/// The error code for a request that cannot be read, by HTTP status.
const char* ReadErrorCode(int aStatus);

routing::claim_answer ClaimAnswerOf(const wire::command_reply& aReply);

/// The Content-Type, the only field that a stored outcome keeps.
std::string ContentTypeOf(const std::vector<net::http_field>& aFields);

} // namespace bulrush::entry

#endif
