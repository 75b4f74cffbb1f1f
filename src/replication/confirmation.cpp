/// Up to when a replica knows all that was committed. Only the answer to a
/// question proves it: a message of the leader may have been held up on its
/// way, and may come from a leader that another has replaced since.

#include "replication/replica_steps.hpp"

#include <algorithm>

namespace bulrush {
namespace {

// A majority has answered a request of this time in the leader's term, so no
// later leader had been elected by then.
steady_time
ConfirmedAsLeaderAt(const replica_tables& aTables, steady_time aNow)
{
  const bool knowsCommits = aTables.commit >= aTables.termStart &&
                            aTables.released >= aTables.termStart;
  return knowsCommits ? QuorumAnsweredSendTime(aTables, aNow)
                      : steady_time::min();
}

} // namespace

// One question at a time, repeated until it is answered, so that a lost reply
// costs nothing.
std::uint64_t
AskForConfirmation(replica_tables& aTables, steady_time aNow)
{
  confirmation_question& question = aTables.question;
  if (question.askedAt == steady_time::min()) {
    question.askedAt = aNow;
  }
  return question.number;
}

void
HandleQuestion(peer_row& aPeer, std::uint64_t aQuestion, steady_time aNow)
{
  if (aQuestion != aPeer.question) {
    aPeer.question = aQuestion;
    aPeer.questionAt = aNow;
  }
}

void
AnswerQuestion(const replica_tables& aTables,
               const peer_row& aPeer,
               steady_time aNow,
               append_request& aRequest)
{
  aRequest.answers = aPeer.question;
  const steady_time confirmedAt = ConfirmedAsLeaderAt(aTables, aNow);
  if (aPeer.question != 0 && confirmedAt != steady_time::min()) {
    aRequest.confirmationAge =
      std::max(std::chrono::nanoseconds{ 0 },
               std::chrono::nanoseconds{ aPeer.questionAt - confirmedAt });
  }
}

// While an earlier one waits for its entries, a later one is not kept: under
// steady writes each would be replaced before its entries are released.
void
HandleConfirmation(replica_tables& aTables, const append_request& aRequest)
{
  confirmation_question& question = aTables.question;
  if (!aRequest.confirmationAge || aRequest.answers != question.number ||
      question.askedAt == steady_time::min()) {
    return;
  }
  if (!aTables.unreleased) {
    aTables.unreleased = { question.askedAt - *aRequest.confirmationAge,
                           aRequest.commit };
  }
  ++question.number;
  question.askedAt = steady_time::min();
}

void
RunConfirmation(replica_tables& aTables,
                steady_time /*aNow*/,
                replica_outbox& /*aOutbox*/)
{
  if (aTables.unreleased && aTables.released >= aTables.unreleased->commit) {
    aTables.confirmedAt = std::max(aTables.confirmedAt, aTables.unreleased->at);
    aTables.unreleased.reset();
  }
}

steady_time
ConfirmedAt(const replica_tables& aTables, steady_time aNow)
{
  return aTables.role == replica_role::eLeader
           ? std::max(aTables.confirmedAt, ConfirmedAsLeaderAt(aTables, aNow))
           : aTables.confirmedAt;
}

} // namespace bulrush
