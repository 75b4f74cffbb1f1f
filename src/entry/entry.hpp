#ifndef BULRUSH_ENTRY_ENTRY_HPP
#define BULRUSH_ENTRY_ENTRY_HPP

/// Public header of the entry library: the program of an entry host, and the
/// front end that tells it how callers and endpoints speak.

#include "fleet/fleet.hpp"
#include "net/net.hpp"
#include "routing/routing.hpp"

namespace bulrush::entry {

/// Why a caller's request was not answered as asked.
struct caller_error
{
  int status = 500;
  std::string code;
  std::string text;
  bool mayHaveRun = false;
  std::optional<std::chrono::milliseconds> retryAfter;
};

/// A shared piece of a prompt, in the order in which a prompt lists them.
struct prompt_part
{
  std::uint64_t id = 0;
  std::uint64_t tokens = 0;
};

/// What a caller asks for, as the front end read it.
struct caller_call
{
  std::string id;          ///< the caller's own name for it; empty: none
  std::string key;         ///< empty: none came
  std::string host;        ///< that the caller asked for
  std::string model;       ///< empty: none is named
  std::string adapter;     ///< of the model; empty: the model alone
  bool isByModel = false;  ///< the model's name decides, not host and path
  bool isStreamed = false; ///< asked for; of a route the manifest decides
  std::optional<std::int64_t> tokens; ///< upper bound of prompt and answer
  std::int64_t answerTokens = 0;      ///< upper bound of the answer
  std::vector<prompt_part> prompt;
  std::optional<std::chrono::milliseconds> timeLeft; ///< the caller waits
  std::string resumeAfter; ///< id of the last event that the caller has
  std::vector<net::http_field> fields; ///< to be passed on to the endpoint
  std::string body;                    ///< to be passed on
};

/// What one attempt tells its endpoint besides the caller's own fields.
struct attempt_call
{
  attempt_id attempt;
  std::string callerId;
  std::string endpoint;  ///< name of the endpoint that is meant
  std::string workspace; ///< name; empty on open routes
  std::chrono::milliseconds timeLeft{ 0 };
  std::uint64_t resumeOffset = 0; ///< events that the caller has from us
  std::string resumeAfter;        ///< id of the last event that the caller has
};

/// Requests of all hosts at an endpoint, as it says in an answer.
struct endpoint_load
{
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
};

/// How callers and endpoints speak. Plain translation: no hook keeps state,
/// waits or chooses.
struct front_end
{
  /// nullopt with the error for a request that cannot be read.
  std::function<std::optional<caller_call>(const net::http_request&,
                                           caller_error&)>
    readCall;
  std::function<void(const attempt_call&, std::vector<net::http_field>&)>
    writeAttempt;
  std::function<routing::answer_head(const attempt_call&,
                                     int aStatus,
                                     const std::vector<net::http_field>&)>
    readAnswer;
  std::function<std::optional<endpoint_load>(
    const std::vector<net::http_field>&)>
    readLoad;
  /// The fields of an endpoint's answer that its caller is shown.
  std::function<std::vector<net::http_field>(
    const std::vector<net::http_field>&)>
    answerFields;
  std::function<
    void(net::http_reply&, const caller_error&, const std::string& aRequestId)>
    sendError;
  /// Ends a stream of which the caller has a part, so that it looks broken.
  std::function<
    void(net::http_reply&, const caller_error&, const std::string& aRequestId)>
    breakStream;
  /// Name of the model of a service that a call means, as the manifest has it.
  std::function<std::string(const std::string& aService,
                            const std::string& aModel)>
    modelName;
  std::function<std::string(const std::string& aService,
                            const std::string& aModel,
                            const std::string& aAdapter)>
    adapterName;
  /// Tokens that a whole answer says it used; not set: the bound counts.
  std::function<std::optional<std::int64_t>(const std::string& aBody)>
    readUsage;
  bool servesPages = true;        ///< models, reports, metrics beside callers
  bool streamsHaveEndMark = true; ///< else a stream ends as its message does
  bool endpointsSayWhenCold = false;
  bool trustsRefusals = false; ///< "not run" from an endpoint is proof
};

/// The completions interface of docs/API.md.
front_end OpenAiFrontEnd();

/// Runs bulrush-entry with the front end that the settings name.
struct named_front_end
{
  std::string name;
  std::function<front_end()> make;
};
int RunEntry(int aCount,
             char** aWords,
             std::span<const named_front_end> aFrontEnds);

} // namespace bulrush::entry

#endif
