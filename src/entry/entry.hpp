#ifndef BULRUSH_ENTRY_ENTRY_HPP
#define BULRUSH_ENTRY_ENTRY_HPP

/// Public header of the entry library: the program of an entry host, and the
/// front end that translates the protocol of callers and endpoints.

#include "fleet/fleet.hpp"
#include "net/net.hpp"
#include "routing/routing.hpp"

namespace bulrush::entry {

/// The error with which a caller's request is answered.
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

/// A caller's request as the front end parsed it.
struct caller_call
{
  std::string id;          ///< request id set by the caller; may be empty
  std::string key;         ///< API key; empty if the request has none
  std::string host;        ///< value of the Host field
  std::string model;       ///< empty if the request names none
  std::string adapter;     ///< of the model; empty for the base model
  bool isByModel = false;  ///< routed by model name, not by host and path
  bool isStreamed = false; ///< if isByModel; else the route decides
  std::optional<std::int64_t> tokens; ///< upper bound, prompt and answer
  std::int64_t answerTokens = 0;      ///< upper bound of the answer
  std::vector<prompt_part> prompt;
  /// Parts of the prompt that other requests may share.
  std::vector<part_id> sharedParts;
  std::optional<std::chrono::milliseconds> timeLeft; ///< until it gives up
  std::string resumeAfter; ///< id of the last event that the caller received
  std::vector<net::http_field> fields; ///< to be forwarded to the endpoint
  std::string body;                    ///< to be forwarded
};

/// What an attempt sends to its endpoint besides the caller's own fields.
struct attempt_metadata
{
  attempt_id attempt;
  std::string callerId;
  std::string endpoint;  ///< name of the intended endpoint
  std::string workspace; ///< name; empty on open routes
  std::chrono::milliseconds timeLeft{ 0 };
  std::uint64_t resumeOffset = 0; ///< events already sent to the caller
  std::string resumeAfter;    ///< id of the last event that the caller received
  std::optional<int> urgency; ///< 0 (first) to 9; not set: not stated
};

/// Protocol of callers and endpoints. Pure translation: the hooks keep no
/// state, do not block and make no routing decisions.
struct front_end
{
  /// nullopt with the error for a request that cannot be parsed.
  std::function<std::optional<caller_call>(const net::http_request&,
                                           caller_error&)>
    readCall;
  std::function<void(const attempt_metadata&, std::vector<net::http_field>&)>
    writeAttempt;
  std::function<routing::answer_head(const attempt_metadata&,
                                     int aStatus,
                                     const std::vector<net::http_field>&)>
    readAnswer;
  std::function<std::optional<routing::endpoint_load>(
    const std::vector<net::http_field>&)>
    readLoad;
  /// The fields of an endpoint's answer that are forwarded to the caller.
  std::function<std::vector<net::http_field>(
    const std::vector<net::http_field>&)>
    answerFields;
  std::function<
    void(net::http_reply&, const caller_error&, const std::string& aRequestId)>
    sendError;
  /// Ends a partly sent stream so that the caller sees that it is incomplete.
  std::function<
    void(net::http_reply&, const caller_error&, const std::string& aRequestId)>
    breakStream;
  /// Name in the manifest of a model that a service runs.
  std::function<std::string(const std::string& aService,
                            const std::string& aModel)>
    modelName;
  std::function<std::string(const std::string& aService,
                            const std::string& aModel,
                            const std::string& aAdapter)>
    adapterName;
  /// Tokens used, from the body of a complete answer. If not set, the upper
  /// bound is charged.
  std::function<std::optional<std::int64_t>(const std::string& aBody)>
    readUsage;
  bool servesPages = true;        ///< models, reports, health and metrics
  bool streamsHaveEndMark = true; ///< else the end of the message ends a stream
  bool eventIdsRise = false;      ///< numeric ids of a stream's events
  bool endpointsReportCold = false;
  bool endpointsReportLoad = true; ///< their reports count all requests
  bool trustsNotRun = false;       ///< an endpoint's "not run" is relied upon
  /// Endpoints refuse requests for another incarnation of theirs.
  bool endpointsCheckIncarnation = false;
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
