#ifndef BULRUSH_NET_NET_HPP
#define BULRUSH_NET_NET_HPP

/// Public header of the net library: HTTP towards callers and endpoints,
/// message links between our own processes, timers. Everything runs on the
/// asio::io_context it was made with and is used from that thread only.

#include "core/core.hpp"

#include <asio/io_context.hpp>

#include <memory>

namespace bulrush::net {

/// One header field, name as received.
struct http_field
{
  std::string name;
  std::string value;
};

/// A request that a caller or an endpoint sent to this host.
struct http_request
{
  std::string method;
  std::string path;   ///< without the query string
  std::string query;  ///< without the question mark
  std::string target; ///< path and query, as they came
  std::vector<http_field> fields;
  std::string body;
  std::string peer; ///< remote address and port
};

/// The value of a header field, names compared without case; nullptr if none.
const std::string* FindField(const std::vector<http_field>& aFields,
                             std::string_view aName);

/// The answer to one http_request. Methods are called on the server's thread.
class http_reply
{
public:
  virtual ~http_reply() = default;

  /// Sends a whole answer.
  virtual void Send(int aStatus,
                    const std::vector<http_field>& aFields,
                    std::string aBody) = 0;

  /// Starts a chunked answer; Write and Finish follow.
  virtual void Start(int aStatus, const std::vector<http_field>& aFields) = 0;
  virtual void Write(std::string aBytes) = 0;

  /// Ends a chunked answer as whole.
  virtual void Finish() = 0;

  /// Closes the connection without an end marker, so that the caller sees a
  /// truncated answer.
  virtual void Abort() = 0;

  /// Bytes handed to Write and not yet taken by the caller's connection.
  virtual std::size_t UnsentBytes() const = 0;

  /// Called when the caller has gone before the answer was whole.
  std::function<void()> onGone;

  /// Called each time written bytes have left.
  std::function<void()> onDrained;
};

/// What callers may send, and how long they may take.
struct http_server_limits
{
  std::size_t maxHeaderBytes = 16'384;
  std::size_t maxBodyBytes = 4'194'304;
  std::chrono::milliseconds headerTimeout{ 20'000 }; ///< from its first byte
  std::chrono::milliseconds idleTimeout{ 60'000 };   ///< between requests
};

struct http_server_settings : http_server_limits
{
  std::string address = "127.0.0.1";
  std::uint16_t port = 0; ///< zero takes a free one
  std::size_t maxConnections = 3'500;
  std::chrono::milliseconds readTimeout{ 20'000 }; ///< of a body
  /// Answers a message that cannot be read; its connection is closed after it.
  /// Not set: plain text.
  std::function<void(http_reply&, int aStatus, const std::string& aText)>
    onFault;
};

/// Serves HTTP/1.1. Source: Asio and http_parser.
class http_server
{
public:
  using request_hook =
    std::function<void(http_request, std::shared_ptr<http_reply>)>;

  virtual ~http_server() = default;

  /// The port that is listened on.
  virtual std::uint16_t Port() const = 0;

  /// For messages that begin from now on.
  virtual void SetLimits(const http_server_limits& aLimits) = 0;

  /// From now on each answer closes its connection.
  virtual void BeginDrain() = 0;

  /// Takes no new connections. aOnFlushed is called once, when every answer
  /// that was given has left or lost its connection.
  virtual void StopWhenFlushed(std::function<void()> aOnFlushed) = 0;
};

/// Listens; nullopt with a reason when the address cannot be bound.
std::optional<std::unique_ptr<http_server>> Listen(
  asio::io_context& aContext,
  const http_server_settings& aSettings,
  http_server::request_hook aOnRequest,
  last_reason& aWhy);

/// A request that this host sends.
struct http_call
{
  std::string method = "POST";
  std::string url;
  std::vector<http_field> fields;
  std::string body;
  std::chrono::milliseconds timeout{ 0 }; ///< zero for none
  std::chrono::milliseconds connectTimeout{ 1'000 };
  bool freshConnection = false; ///< never resent by the library
};

/// How a call ended.
struct http_call_end
{
  bool whole = false;  ///< the answer arrived to its end
  bool anySent = true; ///< false only if no byte of the request left
  int status = 0;      ///< zero when no status line arrived
  std::string error;   ///< why it is not whole
};

/// What a call tells while it runs.
struct http_call_hooks
{
  std::function<void(int aStatus, const std::vector<http_field>& aFields)>
    onHeaders;
  std::function<void(std::string_view aBytes)> onBytes;
  std::function<void(const http_call_end& aEnd)> onEnd;
};

/// Sends HTTP requests. Source: libcurl's multi interface.
class http_client
{
public:
  using call_number = std::uint64_t;

  virtual ~http_client() = default;

  /// Starts a call. onEnd is called exactly once, never from within Start,
  /// unless the call is cancelled.
  virtual call_number Start(http_call aCall, http_call_hooks aHooks) = 0;

  /// Drops a call at once; its hooks are not called any more.
  virtual void Cancel(call_number aCall) = 0;

  /// Stops and resumes reading the answer, for back-pressure.
  virtual void Pause(call_number aCall) = 0;
  virtual void Resume(call_number aCall) = 0;

  virtual std::size_t Running() const = 0;
};

std::unique_ptr<http_client> MakeHttpClient(asio::io_context& aContext);

/// The fleet's ZeroMQ CURVE keys, Z85 text. Every process of the fleet holds
/// the same pair: links are encrypted, and only a peer that proves to hold the
/// secret key is let in. Both empty: no encryption, for loopback only.
struct link_keys
{
  std::string publicKey;
  std::string secretKey;
};

/// Makes a new pair; nullopt when the library lacks CURVE.
std::optional<link_keys> MakeLinkKeys(last_reason& aWhy);

/// "PUBLIC SECRET", as in the file that bulrushctl keygen writes.
std::string FormatLinkKeys(const link_keys& aKeys);
std::optional<link_keys> ParseLinkKeys(const std::string& aText,
                                       last_reason& aWhy);

/// The listening side of links between our processes: a ROUTER socket.
class link_server
{
public:
  using message_hook =
    std::function<void(std::string aPeer, std::string aBytes)>;

  virtual ~link_server() = default;

  /// Sends to a peer by the identity it presented. False when the peer is
  /// away or its queue is full: the message is dropped and counted.
  virtual bool Send(const std::string& aPeer, const std::string& aBytes) = 0;
  virtual std::uint64_t Dropped() const = 0;
};

std::optional<std::unique_ptr<link_server>> ListenLink(
  asio::io_context& aContext,
  const std::string& aAddress,
  const link_keys& aKeys,
  link_server::message_hook aOnMessage,
  last_reason& aWhy);

/// The connecting side: a DEALER socket that reconnects by itself and drops
/// messages while its peer is away.
class link_client
{
public:
  using message_hook = std::function<void(std::string aBytes)>;

  virtual ~link_client() = default;
  virtual bool Send(const std::string& aBytes) = 0;
  virtual std::uint64_t Dropped() const = 0;
};

/// aIdentity is what the server sees as the peer.
std::optional<std::unique_ptr<link_client>> ConnectLink(
  asio::io_context& aContext,
  const std::string& aAddress,
  const std::string& aIdentity,
  const link_keys& aKeys,
  link_client::message_hook aOnMessage,
  last_reason& aWhy);

/// Runs a tick when input has arrived or the next deadline is due, never more
/// often.
class tick_timer
{
public:
  using tick_hook = std::function<wake_time(steady_time aNow)>;

  tick_timer(asio::io_context& aContext, tick_hook aOnTick);
  ~tick_timer();
  tick_timer(const tick_timer&) = delete;
  tick_timer& operator=(const tick_timer&) = delete;

  /// Asks for a tick as soon as the handlers now running have returned;
  /// several calls before it make one tick.
  void RunSoon();

private:
  struct state;
  std::shared_ptr<state> mState;
};

/// Calls aOnSignal once for SIGTERM or SIGINT.
void OnStopSignal(asio::io_context& aContext, std::function<void()> aOnSignal);

/// Calls aOnSignal for each SIGHUP.
void OnReloadSignal(asio::io_context& aContext,
                    std::function<void()> aOnSignal);

} // namespace bulrush::net

#endif
