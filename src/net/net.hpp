#ifndef BULRUSH_NET_NET_HPP
#define BULRUSH_NET_NET_HPP

/// Public header of the net library: HTTP with callers and endpoints, message
/// links between the fleet's processes, timers. Each object runs on the
/// asio::io_context it was made with and is used on that thread only.

#include "core/core.hpp"
#include "memory/memory.hpp"

#include <asio/io_context.hpp>

#include <memory>

namespace bulrush::net {

/// The time now. Counts the time for which the machine was suspended, unlike
/// std::chrono::steady_clock, whose type it has: points in time of the two are
/// not comparable.
steady_time Now();

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
  std::string target; ///< path and query as received
  std::vector<http_field> fields;
  std::string body;
  std::string peer; ///< remote address and port
  /// Time for which its last bytes lay in the kernel before they were read.
  std::chrono::milliseconds unreadFor{ 0 };
  /// Its part of the server's account; released with the last copy.
  std::shared_ptr<memory::holder> held;
};

/// The value of a header field, names compared without case; nullptr if none.
const std::string* FindField(const std::vector<http_field>& aFields,
                             std::string_view aName);

/// Time from a Retry-After field in seconds, which may have a fraction; at most
/// a day. nullopt if there is none, or for a date.
std::optional<std::chrono::milliseconds> ReadRetryAfter(
  const std::vector<http_field>& aFields);

/// The body of an answer as far as it was passed to the caller's connection.
struct passed_body
{
  std::uint64_t bytes = 0;
  std::optional<steady_time> firstAt; ///< of its first byte; none without one
};

/// The answer to one http_request. Methods are called on the server's thread.
class http_reply
{
public:
  virtual ~http_reply() = default;

  /// Sends a complete answer.
  virtual void Send(int aStatus,
                    const std::vector<http_field>& aFields,
                    std::string aBody) = 0;

  /// Starts a chunked answer; Write and Finish follow.
  virtual void Start(int aStatus, const std::vector<http_field>& aFields) = 0;
  virtual void Write(std::string aBytes) = 0;

  /// Ends a chunked answer as complete.
  virtual void Finish() = 0;

  /// Closes the connection after the written bytes and without the last chunk,
  /// so that the caller sees that the answer is truncated.
  virtual void Abort() = 0;

  /// Bytes passed to Write and not yet accepted by the caller's connection.
  virtual std::size_t UnsentBytes() const = 0;

  /// False once the caller has closed the connection, also if that has not been
  /// read yet.
  virtual bool HasCaller() const = 0;

  /// What was passed on while the connection was open.
  virtual passed_body Passed() const = 0;

  /// Called when the caller disconnects before the answer is complete.
  std::function<void()> onDisconnected;

  /// Called each time all written bytes were accepted by the connection.
  std::function<void()> onDrained;
};

/// Limits on the size and duration of requests.
struct http_server_limits
{
  std::size_t maxHeaderBytes = 16'384;
  std::size_t maxBodyBytes = 4'194'304;
  std::chrono::milliseconds headerTimeout{ 20'000 }; ///< from the first byte
  std::chrono::milliseconds idleTimeout{ 60'000 };   ///< between requests
};

/// Why a server answers a request that it has not passed on.
enum class read_refusal
{
  eInvalid, ///< malformed, too large or too slow
  eStopping,
  eNoMemory ///< the account has no room for it
};

struct refused_read
{
  read_refusal reason = read_refusal::eInvalid;
  int status = 400;
  std::string text;
  const http_request* head = nullptr; ///< what was read; nullptr if none
};

struct http_server_settings : http_server_limits
{
  std::string address = "127.0.0.1";
  std::uint16_t port = 0; ///< zero: any free port
  std::size_t maxConnections = 3'500;
  std::chrono::milliseconds readTimeout{ 20'000 }; ///< of a body
  /// Answers a request that is not passed on; its connection is closed
  /// afterwards. Not set: a plain text answer.
  std::function<void(http_reply&, const refused_read&)> onReadError;
  /// Bounds what requests and unread answers hold; not set: unbounded.
  std::shared_ptr<memory::account> account;
  /// The account ended a connection whose caller does not read its answer.
  std::function<void(const std::string& aPeer, const std::string& aReason)>
    onUnreadEnded;
};

/// Serves HTTP/1.1. Source: Asio and http_parser.
class http_server
{
public:
  using request_hook =
    std::function<void(http_request, std::shared_ptr<http_reply>)>;

  virtual ~http_server() = default;

  /// The port it listens on.
  virtual std::uint16_t Port() const = 0;

  /// Applies to requests and idle times that begin from now on. For those that
  /// have begun the higher of the old and the new limits apply.
  virtual void SetLimits(const http_server_limits& aLimits) = 0;

  /// From now on each answer that begins closes its connection.
  virtual void BeginDrain() = 0;
  /// Answers no longer say so, unless the server stops.
  virtual void EndDrain() = 0;

  /// Stops accepting connections, and refuses requests that have not arrived in
  /// full with 503. aOnFlushed is called once, when each open request is
  /// answered in full or has lost its connection.
  virtual void StopWhenFlushed(std::function<void()> aOnFlushed) = 0;
};

/// Listens; nullopt with a reason when the address cannot be bound.
std::optional<std::unique_ptr<http_server>> Listen(
  asio::io_context& aContext,
  const http_server_settings& aSettings,
  http_server::request_hook aOnRequest,
  last_reason& aReason);

/// Text that copies share.
class shared_text
{
public:
  shared_text() = default;
  shared_text(std::string aText)
    : mText(std::make_shared<const std::string>(std::move(aText)))
  {
  }
  shared_text(const char* aText)
    : shared_text(std::string(aText))
  {
  }
  const std::string& Get() const
  {
    static const std::string kEmpty;
    return mText ? *mText : kEmpty;
  }

private:
  std::shared_ptr<const std::string> mText;
};

/// A request that this host sends.
struct http_call
{
  std::string method = "POST";
  std::string url;
  std::vector<http_field> fields;
  shared_text body;
  std::chrono::milliseconds timeout{ 0 }; ///< zero for none
  std::chrono::milliseconds connectTimeout{ 1'000 };
  bool freshConnection = false; ///< never one that an earlier call used
  /// A longer body ends the call as incomplete; zero for no limit.
  std::size_t maxBodyBytes = 0;
};

/// Status and header fields of an answer.
struct http_answer_head
{
  int status = 0;
  std::vector<http_field> fields;
  /// No earlier call used the connection, so no late bytes of an answer to one
  /// can arrive on it.
  bool isFirstOnConnection = false;
};

/// How a call ended.
struct http_call_end
{
  bool isComplete = false; ///< the answer arrived completely
  bool requestSent = true; ///< false only if no byte of the request was sent
  int status = 0;          ///< of 200 to 599; zero when none arrived
  std::string error;       ///< reason if it is not complete
  /// The server's side closed or reset the connection before the end.
  bool isClosedByPeer = false;
};

/// Callbacks of a running call.
struct http_call_hooks
{
  std::function<void(const http_answer_head& aHead)> onHead;
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

  /// Aborts a call; its hooks are not called any more.
  virtual void Cancel(call_number aCall) = 0;

  /// Stops and resumes reading the answer, for back-pressure.
  virtual void Pause(call_number aCall) = 0;
  virtual void Resume(call_number aCall) = 0;

  virtual std::size_t Running() const = 0;
};

std::unique_ptr<http_client> MakeHttpClient(asio::io_context& aContext);

/// The fleet's ZeroMQ CURVE keys, Z85 text. All processes of the fleet have the
/// same pair: links are encrypted, and only peers that prove that they hold the
/// secret key are accepted. Both empty: no encryption, for loopback only.
struct link_keys
{
  std::string publicKey;
  std::string secretKey;
};

/// Makes a new pair; nullopt if ZeroMQ was built without CURVE.
std::optional<link_keys> MakeLinkKeys(last_reason& aReason);

/// "PUBLIC SECRET", as in the file that bulrushctl keygen writes.
std::string FormatLinkKeys(const link_keys& aKeys);
std::optional<link_keys> ParseLinkKeys(const std::string& aText,
                                       last_reason& aReason);

/// The listening side of links between processes: a ROUTER socket.
class link_server
{
public:
  using message_hook =
    std::function<void(std::string aPeer, std::string aBytes)>;

  virtual ~link_server() = default;

  /// Sends to a peer by its identity. False if the peer is not connected or its
  /// queue is full: the message is dropped and counted.
  virtual bool Send(const std::string& aPeer, const std::string& aBytes) = 0;
  virtual std::uint64_t Dropped() const = 0;
};

std::optional<std::unique_ptr<link_server>> ListenLink(
  asio::io_context& aContext,
  const std::string& aAddress,
  const link_keys& aKeys,
  link_server::message_hook aOnMessage,
  last_reason& aReason);

/// The connecting side: a DEALER socket that reconnects by itself and drops
/// messages while it is not connected.
class link_client
{
public:
  using message_hook = std::function<void(std::string aBytes)>;

  virtual ~link_client() = default;
  virtual bool Send(const std::string& aBytes) = 0;
  /// False without a connection, or while its queue is full.
  virtual bool CanSend() = 0;
  virtual std::uint64_t Dropped() const = 0;
};

/// @param aIdentity the name that the server sees as the peer.
std::optional<std::unique_ptr<link_client>> ConnectLink(
  asio::io_context& aContext,
  const std::string& aAddress,
  const std::string& aIdentity,
  const link_keys& aKeys,
  link_client::message_hook aOnMessage,
  last_reason& aReason);

/// Runs a tick only when input has arrived or the next deadline is due.
class tick_timer
{
public:
  using tick_hook = std::function<wake_time(steady_time aNow)>;

  tick_timer(asio::io_context& aContext, tick_hook aOnTick);
  ~tick_timer();
  tick_timer(const tick_timer&) = delete;
  tick_timer& operator=(const tick_timer&) = delete;

  /// Schedules a tick after the handlers that are running now; several calls
  /// before it are merged into one tick.
  void RunSoon();

private:
  struct state;
  std::shared_ptr<state> mState;
};

/// Has aAccount act on its holders between two handlers of aContext, and check
/// their progress while some are not read.
void BalanceOn(asio::io_context& aContext,
               const std::shared_ptr<memory::account>& aAccount);

/// Calls aOnSignal for the first SIGTERM or SIGINT, and aOnRepeat for each
/// later one, so that a second signal does not end a process that is stopping.
void OnStopSignal(asio::io_context& aContext,
                  std::function<void()> aOnSignal,
                  std::function<void()> aOnRepeat);

/// Calls aOnSignal for each SIGHUP.
void OnReloadSignal(asio::io_context& aContext,
                    std::function<void()> aOnSignal);

} // namespace bulrush::net

#endif
