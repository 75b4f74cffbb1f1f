#ifndef BULRUSH_TESTS_SUPPORT_MODEL_CALLERS_HPP
#define BULRUSH_TESTS_SUPPORT_MODEL_CALLERS_HPP

/// Callers of the platform's protocol: open-loop requests for streams, with
/// parts of prompts, and what became of them. All run on one io_context.

#include "net/net.hpp"

#include <asio/io_context.hpp>

namespace bulrush::test {

/// A caller's request for a stream, and its answer.
struct caller_request
{
  std::string id;
  std::string prompt; ///< as in X-Prompt-Prefix
  std::size_t host = 0;
  bool isRepeat = false; ///< sent again after 502 or 503
  steady_time sentAt;
  std::optional<steady_time> endedAt;
  int status = 0;
  bool isComplete = false; ///< the message ended as HTTP says
  std::string body;
  std::vector<net::http_field> fields;
};

class model_callers
{
public:
  /// Requests go to hosts at aHosts.
  model_callers(asio::io_context& aContext, std::vector<std::string> aHosts);

  /// Sends a request; aRepeats: once more after a status of 502 or 503, to
  /// another host. Returns its position.
  std::size_t Send(const std::string& aPrompt,
                   std::size_t aHost,
                   bool aRepeats = false);
  /// Runs the context until the request has ended, or for a test's longest
  /// wait.
  const caller_request& Finish(std::size_t aRequest);
  const std::vector<caller_request>& Requests() const { return mRequests; }

  /// Runs the context for aTime, and calls aOnStep every 10 ms.
  void Run(std::chrono::milliseconds aTime,
           const std::function<void()>& aOnStep = {});

private:
  std::size_t Start(const std::string& aPrompt,
                    std::size_t aHost,
                    bool aIsRepeat,
                    bool aRepeats);
  void End(std::size_t aRequest, const net::http_call_end& aEnd, bool aRepeats);

  asio::io_context& mContext;
  std::vector<std::string> mHosts;
  std::unique_ptr<net::http_client> mClient;
  std::vector<caller_request> mRequests;
};

} // namespace bulrush::test

#endif
