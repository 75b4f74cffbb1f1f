#ifndef BULRUSH_TESTS_SUPPORT_MODEL_SERVERS_HPP
#define BULRUSH_TESTS_SUPPORT_MODEL_SERVERS_HPP

/// Stand-ins for model servers that speak the platform's protocol. They answer
/// in streams of events, and a part of a prompt can end their processes. All
/// run on one io_context.

#include "net/net.hpp"

#include <memory>

namespace bulrush::test {

/// How the answers of the servers end.
enum class stream_end
{
  eWhole,               ///< in chunks, with the last one
  eUnframed,            ///< whole; ends with its connection
  eUnframedInsideEvent, ///< ends with its connection, inside an event
  eChunkedInsideEvent,  ///< with the last chunk, inside an event
  eUnframedBeforeLine   ///< ends with its connection, before an empty line
};

struct model_server_options
{
  std::size_t count = 1;
  std::vector<std::string> domains = { "domain-a" }; ///< in turn
  std::string service = "drafts";
  std::uint32_t slots = 8;
  int events = 8;
  std::chrono::milliseconds firstEvent{ 100 };
  std::chrono::milliseconds eventInterval{ 10 };
  std::chrono::milliseconds heartbeatInterval{ 600 };
  std::chrono::milliseconds downTime{ 3'000 }; ///< after a crash
  /// A server that crashes has sent the head of its answer.
  bool sendsHead = false;
};

/// A request that reached a server.
struct server_arrival
{
  std::string request; ///< id that the caller gave it
  std::string prompt;
  steady_time at;
};

class model_servers
{
public:
  /// Heartbeats go to the control processes at aControls in turn.
  model_servers(asio::io_context& aContext,
                std::vector<std::string> aControls,
                model_server_options aOptions);
  ~model_servers();
  model_servers(const model_servers&) = delete;
  model_servers& operator=(const model_servers&) = delete;

  /// From now on a request whose prompt has this part ends the process of its
  /// server when its answer begins; an empty text for none.
  void CrashOn(std::string aPart);
  void EndStreams(stream_end aHow);

  /// Ends of processes, in order.
  const std::vector<steady_time>& Crashes() const;
  const std::vector<server_arrival>& Arrivals() const;
  /// Arrivals after aFrom whose prompt has aPart.
  std::size_t ArrivalsOf(const std::string& aPart, steady_time aFrom) const;

  class implementation;

private:
  std::unique_ptr<implementation> mImplementation;
};

} // namespace bulrush::test

#endif
