#ifndef BULRUSH_ENTRY_OUTCOMES_HPP
#define BULRUSH_ENTRY_OUTCOMES_HPP

/// What callers are told of outcomes, and what the log of claims says.

#include "entry/admission.hpp"
#include "entry/entry.hpp"
#include "wire/wire.hpp"

namespace bulrush::entry {

/// The error for a request that ended without an answer.
caller_error ErrorOf(const routing::end_request& aEnd);

/// The error for a request that was not let in.
caller_error ErrorOf(const refusal& aRefusal);

/// The code of a message that cannot be read, by its status.
const char* FaultCode(int aStatus);

routing::claim_answer ClaimAnswerOf(const wire::command_reply& aReply);

/// What a stored outcome keeps of the fields.
std::string ContentTypeOf(const std::vector<net::http_field>& aFields);

} // namespace bulrush::entry

#endif
