#ifndef BULRUSH_ENTRY_OPENAI_HPP
#define BULRUSH_ENTRY_OPENAI_HPP

/// The completions interface: parses its HTTP requests and formats its answers.

#include "entry/entry.hpp"

namespace bulrush::entry {

std::string FormatError(const caller_error& aError,
                        const std::string& aRequestId);

/// Sends an error as a whole answer.
void SendError(net::http_reply& aReply,
               const caller_error& aError,
               const std::string& aRequestId);

/// A parsed completion request.
struct completion_call
{
  std::string modelName; ///< of a model or an adapter
  bool isStream = false;
  std::uint64_t promptTokens = 0; ///< upper bound
  std::uint64_t maxTokens = 0;
  std::string body; ///< for the endpoint, with max_tokens set
  /// Hashes of the messages of a chat, or of the prompt.
  std::vector<part_id> parts;
};

std::optional<completion_call> ParseCompletion(
  const net::http_request& aRequest,
  caller_error& aError);

/// False, with the error, for a body above the limit or a method that the path
/// does not support.
bool CheckRequest(const net::http_request& aRequest,
                  std::size_t aMaxBodyBytes,
                  caller_error& aError);

/// Tokens used, from the "usage" of an answer; nullopt if it has none.
std::optional<std::int64_t> ReadUsage(const std::string& aBody);

/// The key of an Authorization: Bearer field. A key in the query string is
/// refused, since proxies log it.
std::optional<std::string> ParseBearer(const net::http_request& aRequest,
                                       caller_error& aError);

/// Parses an endpoint's report, see docs/API.md.
std::optional<endpoint_row> ParseEndpointReport(const std::string& aBody,
                                                steady_time aNow,
                                                last_reason& aReason);

/// The models and adapters that a workspace may use, as JSON.
std::string FormatModelList(const manifest& aManifest,
                            const workspace_row& aWorkspace);

} // namespace bulrush::entry

#endif
