#include "core/answer_status.hpp"
#include "net/net.hpp"
#include "net/response_lines.hpp"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bulrush::net {
namespace {

constexpr long kMaxIdleConnections = 64;
/// Of the status lines, header fields and trailer fields of one answer. Four
/// times the head that the server accepts by default.
constexpr std::size_t kMaxHeadBytes = 65'536;
/// A call that has received as much lets the other work of its thread run
/// before it reads on. libcurl reads all that has arrived otherwise.
constexpr std::size_t kTurnBytes = 131'072;
/// libcurl passes each chunk of an answer by itself, and passing one on takes
/// as long as copying this many bytes.
constexpr std::size_t kBytesPerChunk = 512;
/// Of a connection to an endpoint, for bytes that are not read yet.
constexpr int kReceiveBufferBytes = 65'536;
/// Of connections that no call uses: the interval of their keep-alive probes.
/// One that falls silent is closed after this idle time and the probes below.
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
/// Of connections that no call uses: time without an acknowledgement.
constexpr std::chrono::milliseconds kUnacknowledgedTimeout{ 1'000 };

// libcurl owns the descriptor; the watch only waits on it and releases it
// before libcurl closes it.
struct socket_watch
{
  asio::posix::stream_descriptor descriptor;
  int events = 0;
  bool isClosed = false;
  bool isWaitingToRead = false;
  bool isWaitingToWrite = false;

  explicit socket_watch(asio::io_context& aContext)
    : descriptor(aContext)
  {
  }
};

struct running_call
{
  http_client::call_number number = 0;
  CURL* easy = nullptr;
  curl_slist* fieldList = nullptr;
  http_call call;
  http_call_hooks hooks;
  http_answer_head head;
  std::size_t headBytes = 0;
  std::size_t bodyBytes = 0;
  std::string failure;    ///< reason for which a callback ended the call
  bool isSending = false; ///< the request is being sent or has been
  bool isHeadComplete = false;
  bool isHeadReported = false;
  bool hasInvalidStatus = false;
  bool isCancelled = false;
  bool isPaused = false; ///< by its owner
  std::size_t turnBytes = 0;
  bool isTurnOver = false;
  std::function<void()> onTurnOver;
};

// False for a status that is neither final nor interim: what follows is no
// answer. libcurl 7.88 passes on 101 and 600 to 999.
bool
CheckStatusLine(running_call& aCall, std::string_view aLine)
{
  const std::optional<int> status = ParseStatusLine(aLine);
  if (status && (IsFinalStatus(*status) || IsInterimStatus(*status))) {
    return true;
  }
  aCall.hasInvalidStatus = true;
  aCall.failure = status ? "invalid status " + std::to_string(*status)
                         : std::string("status line without a valid status");
  return false;
}

void
ReportHeadOnce(running_call& aCall)
{
  if (aCall.isHeadReported) {
    return;
  }
  aCall.isHeadReported = true;
  long status = 0;
  long connects = 0;
  curl_easy_getinfo(aCall.easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo(aCall.easy, CURLINFO_NUM_CONNECTS, &connects);
  aCall.head.status = static_cast<int>(status);
  aCall.head.isFirstOnConnection = connects > 0;
  if (aCall.hooks.onHead) {
    aCall.hooks.onHead(aCall.head);
  }
}

// libcurl bounds a head but not the number of trailer fields, which it passes
// to this callback too. Returning zero ends the call.
std::size_t
OnHeaderLine(char* aData, std::size_t aSize, std::size_t aCount, void* aCall)
{
  auto& call = *static_cast<running_call*>(aCall);
  const std::string_view line(aData, aSize * aCount);
  call.headBytes += line.size();
  if (call.headBytes > kMaxHeadBytes) {
    call.failure =
      "head larger than " + std::to_string(kMaxHeadBytes) + " bytes";
    return 0;
  }
  const bool isStatusLine = line.starts_with("HTTP/");
  if (call.isHeadReported || (call.isHeadComplete && !isStatusLine)) {
    return line.size(); // a trailer field
  }
  if (isStatusLine && !CheckStatusLine(call, line)) {
    return 0;
  }
  if (isStatusLine) { // repeated after a 1xx answer
    call.head.fields.clear();
    call.isHeadComplete = false;
  } else if (line == "\r\n" || line == "\n") {
    call.isHeadComplete = true;
  } else if (auto field = ParseFieldLine(line)) {
    call.head.fields.push_back(std::move(*field));
  }
  return line.size();
}

std::size_t
OnBodyBytes(char* aData, std::size_t aSize, std::size_t aCount, void* aCall)
{
  auto& call = *static_cast<running_call*>(aCall);
  if (call.isCancelled) {
    return 0;
  }
  ReportHeadOnce(call);
  if (call.isPaused || call.turnBytes >= kTurnBytes) {
    call.isTurnOver = true;
    if (!call.isPaused) {
      call.onTurnOver();
    }
    return CURL_WRITEFUNC_PAUSE; // libcurl passes these bytes again
  }
  const std::string_view bytes(aData, aSize * aCount);
  call.turnBytes += std::max(bytes.size(), kBytesPerChunk);
  call.bodyBytes += bytes.size();
  const std::size_t limit = call.call.maxBodyBytes;
  if (limit > 0 && call.bodyBytes > limit) {
    call.failure = "body larger than " + std::to_string(limit) + " bytes";
    return 0;
  }
  if (call.hooks.onBytes && !call.isCancelled) {
    call.hooks.onBytes(bytes);
  }
  return call.isCancelled ? 0 : bytes.size();
}

// libcurl sends a request again by itself when a kept connection closes before
// a byte of the answer. Whether to send again, and to whom, is decided and
// counted by the caller of this library. The repeat is told to open a new
// connection, so that it takes no other kept one, and OpenSocket refuses that.
int
OnSend(void* aCall, char*, char*, int, int)
{
  auto& call = *static_cast<running_call*>(aCall);
  if (call.isSending) {
    return CURL_PREREQFUNC_ABORT;
  }
  call.isSending = true;
  curl_easy_setopt(call.easy, CURLOPT_FRESH_CONNECT, 1L);
  return CURL_PREREQFUNC_OK;
}

curl_socket_t
OpenSocket(void* aCall, curlsocktype, curl_sockaddr* aAddress)
{
  auto& call = *static_cast<running_call*>(aCall);
  if (call.isSending) {
    call.failure = "the kept connection was closed before the answer";
    return CURL_SOCKET_BAD;
  }
  return ::socket(
    aAddress->family, aAddress->socktype | SOCK_CLOEXEC, aAddress->protocol);
}

bool
SetOption(curl_socket_t aFd, int aLevel, int aName, int aValue)
{
  return ::setsockopt(aFd, aLevel, aName, &aValue, sizeof(aValue)) == 0;
}

// An idle connection whose peer is lost without closing it is detected within
// seconds, so that no request is sent on it. A running call has no such limit:
// its server may stand still and go on, and whoever started the call decides
// how long to wait. An error means that the descriptor is being closed or is
// no TCP socket.
void
SetLossDetection(curl_socket_t aFd, bool aIsOn)
{
  SetOption(aFd, SOL_SOCKET, SO_KEEPALIVE, aIsOn ? 1 : 0);
  SetOption(aFd,
            IPPROTO_TCP,
            TCP_USER_TIMEOUT,
            aIsOn ? static_cast<int>(kUnacknowledgedTimeout.count()) : 0);
}

bool
SetProbeIntervals(curl_socket_t aFd)
{
  return SetOption(aFd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIntervalSeconds) &&
         SetOption(
           aFd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds) &&
         SetOption(aFd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

bool
IsClosedByPeer(CURLcode aResult)
{
  return aResult == CURLE_GOT_NOTHING || aResult == CURLE_RECV_ERROR ||
         aResult == CURLE_SEND_ERROR || aResult == CURLE_PARTIAL_FILE;
}

// The kernel would let a buffer grow to megabytes, outside of any account. A
// cancelled request must not reach the endpoint later. Closing with a reset
// discards unsent data; after a normal close the kernel would still deliver it
// once the network recovers.
int
SetUpSocket(void*, curl_socket_t aFd, curlsocktype)
{
  constexpr linger kResetOnClose{ 1, 0 };
  const bool resetsOnClose =
    ::setsockopt(
      aFd, SOL_SOCKET, SO_LINGER, &kResetOnClose, sizeof(kResetOnClose)) == 0;
  const bool isSetUp =
    resetsOnClose && SetProbeIntervals(aFd) &&
    SetOption(aFd, SOL_SOCKET, SO_RCVBUF, kReceiveBufferBytes);
  return isSetUp ? CURL_SOCKOPT_OK : CURL_SOCKOPT_ERROR;
}

class curl_client : public http_client
{
public:
  explicit curl_client(asio::io_context& aContext)
    : mContext(aContext)
    , mTimer(aContext)
    , mMulti(curl_multi_init())
  {
    curl_multi_setopt(mMulti, CURLMOPT_SOCKETFUNCTION, &curl_client::OnSocket);
    curl_multi_setopt(mMulti, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(mMulti, CURLMOPT_TIMERFUNCTION, &curl_client::OnTimer);
    curl_multi_setopt(mMulti, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(mMulti, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  }

  ~curl_client() override
  {
    *mIsAlive = false;
    for (auto& [number, call] : mCalls) {
      Free(*call);
    }
    curl_multi_cleanup(mMulti);
    for (auto& [fd, watch] : mWatches) {
      ReleaseWatch(*watch);
    }
  }
  curl_client(const curl_client&) = delete;
  curl_client& operator=(const curl_client&) = delete;

  call_number Start(http_call aCall, http_call_hooks aHooks) override
  {
    auto call = std::make_unique<running_call>();
    call->number = ++mLastNumber;
    call->call = std::move(aCall);
    call->hooks = std::move(aHooks);
    call->easy = curl_easy_init();
    Configure(*call);
    curl_multi_add_handle(mMulti, call->easy);
    const call_number number = call->number;
    call->onTurnOver = [this, number] {
      Post([this, number] { BeginTurn(number); });
    };
    mCalls.emplace(number, std::move(call));
    return number;
  }

  // libcurl must not be re-entered from its callbacks, so the handle is removed
  // later. No hook is called from now on.
  void Cancel(call_number aCall) override
  {
    const auto found = mCalls.find(aCall);
    if (found == mCalls.end() || found->second->isCancelled) {
      return;
    }
    found->second->isCancelled = true;
    Post([this, aCall] { Remove(aCall); });
  }

  void Pause(call_number aCall) override { SetPause(aCall, true); }
  void Resume(call_number aCall) override { SetPause(aCall, false); }
  std::size_t Running() const override { return mCalls.size(); }

private:
  void Post(std::function<void()> aWork)
  {
    asio::post(mContext, [alive = mIsAlive, work = std::move(aWork)] {
      if (*alive) {
        work();
      }
    });
  }

  // A pause holds from the next bytes on, also within a callback of libcurl.
  void SetPause(call_number aCall, bool aIsPaused)
  {
    const auto found = mCalls.find(aCall);
    if (found == mCalls.end() || found->second->isCancelled) {
      return;
    }
    found->second->isPaused = aIsPaused;
    Post([this, aCall] { BeginTurn(aCall); });
  }

  void BeginTurn(call_number aCall)
  {
    const auto found = mCalls.find(aCall);
    if (found == mCalls.end() || found->second->isCancelled) {
      return;
    }
    running_call& call = *found->second;
    call.turnBytes = 0;
    call.isTurnOver = false;
    // Passes the bytes that were kept, and fails if their callback does.
    const CURLcode result = curl_easy_pause(
      call.easy, call.isPaused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
    if (result != CURLE_OK) {
      End(call, result);
      return;
    }
    // libcurl would read on by its timer, after a millisecond.
    RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
  }

  // Sends only the fields of the call: for libcurl, a line "Name:" suppresses
  // its own field and "Name;" sends an empty one.
  static void AddFields(running_call& aCall)
  {
    const auto add = [&aCall](const std::string& aLine) {
      aCall.fieldList = curl_slist_append(aCall.fieldList, aLine.c_str());
    };
    for (const http_field& field : aCall.call.fields) {
      add(field.value.empty() ? field.name + ";"
                              : field.name + ": " + field.value);
    }
    for (const char* name : { "Accept", "Content-Type" }) {
      if (FindField(aCall.call.fields, name) == nullptr) {
        add(std::string(name) + ":");
      }
    }
    add("Expect:");
  }

  // Expect is suppressed because waiting for 100-continue would delay the body
  // and make it unclear whether any of it was sent. Redirects are not followed.
  static void Configure(running_call& aCall)
  {
    CURL* easy = aCall.easy;
    const http_call& call = aCall.call;
    AddFields(aCall);
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, aCall.fieldList);
    const std::string& body = call.body.Get();
    if (!body.empty() || call.method == "POST") {
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.data());
      curl_easy_setopt(easy,
                       CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(body.size()));
    }
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(
      easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(
      easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    curl_easy_setopt(easy,
                     CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(call.connectTimeout.count()));
    curl_easy_setopt(
      easy, CURLOPT_FRESH_CONNECT, call.freshConnection ? 1L : 0L);
    curl_easy_setopt(
      easy, CURLOPT_FORBID_REUSE, call.freshConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeaderLine);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &aCall);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBodyBytes);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &aCall);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &aCall);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &SetUpSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &OpenSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &aCall);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &aCall);
  }

  void Free(running_call& aCall)
  {
    curl_multi_remove_handle(mMulti, aCall.easy);
    curl_easy_cleanup(aCall.easy);
    curl_slist_free_all(aCall.fieldList);
  }

  void Remove(call_number aCall)
  {
    const auto found = mCalls.find(aCall);
    if (found == mCalls.end()) {
      return;
    }
    const std::unique_ptr<running_call> call = std::move(found->second);
    mCalls.erase(found);
    Free(*call);
  }

  static int OnSocket(CURL* aEasy,
                      curl_socket_t aFd,
                      int aEvents,
                      void* aSelf,
                      void*)
  {
    static_cast<curl_client*>(aSelf)->Watch(aEasy, aFd, aEvents);
    return 0;
  }

  static int OnTimer(CURLM*, long aTimeoutMs, void* aSelf)
  {
    static_cast<curl_client*>(aSelf)->ArmTimer(aTimeoutMs);
    return 0;
  }

  void ArmTimer(long aTimeoutMs)
  {
    mTimer.cancel();
    if (aTimeoutMs < 0) {
      return;
    }
    mTimer.expires_after(std::chrono::milliseconds(aTimeoutMs));
    mTimer.async_wait([this, alive = mIsAlive](const std::error_code& aError) {
      if (!aError && *alive) {
        RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
      }
    });
  }

  static void ReleaseWatch(socket_watch& aWatch)
  {
    aWatch.isClosed = true;
    if (aWatch.descriptor.is_open()) {
      aWatch.descriptor.release();
    }
  }

  static bool IsPaused(CURL* aEasy)
  {
    const running_call* call = nullptr;
    return curl_easy_getinfo(aEasy, CURLINFO_PRIVATE, &call) == CURLE_OK &&
           call != nullptr && (call->isPaused || call->isTurnOver);
  }

  // libcurl has a descriptor watched exactly while a call that is not paused
  // uses it.
  void Watch(CURL* aEasy, curl_socket_t aFd, int aEvents)
  {
    auto& watch = mWatches[aFd];
    if (aEvents == CURL_POLL_REMOVE) {
      SetLossDetection(aFd, !IsPaused(aEasy));
      if (watch) {
        ReleaseWatch(*watch);
      }
      mWatches.erase(aFd);
      return;
    }
    if (!watch) {
      watch = std::make_shared<socket_watch>(mContext);
      watch->descriptor.assign(aFd);
      SetLossDetection(aFd, false);
    }
    watch->events = aEvents;
    WaitFor(aFd, watch);
  }

  void WaitFor(curl_socket_t aFd, const std::shared_ptr<socket_watch>& aWatch)
  {
    using descriptor = asio::posix::stream_descriptor;
    if ((aWatch->events & CURL_POLL_IN) != 0 && !aWatch->isWaitingToRead) {
      aWatch->isWaitingToRead = true;
      Wait(aFd, aWatch, descriptor::wait_read, CURL_CSELECT_IN);
    }
    if ((aWatch->events & CURL_POLL_OUT) != 0 && !aWatch->isWaitingToWrite) {
      aWatch->isWaitingToWrite = true;
      Wait(aFd, aWatch, descriptor::wait_write, CURL_CSELECT_OUT);
    }
  }

  void Wait(curl_socket_t aFd,
            const std::shared_ptr<socket_watch>& aWatch,
            asio::posix::stream_descriptor::wait_type aType,
            int aEvent)
  {
    aWatch->descriptor.async_wait(
      aType,
      [this, alive = mIsAlive, aFd, watch = aWatch, aEvent](
        const std::error_code& aError) {
        if (!*alive || watch->isClosed) {
          return;
        }
        const bool isRead = aEvent == CURL_CSELECT_IN;
        (isRead ? watch->isWaitingToRead : watch->isWaitingToWrite) = false;
        const int eventBit = isRead ? CURL_POLL_IN : CURL_POLL_OUT;
        if ((watch->events & eventBit) == 0) {
          return; // libcurl no longer waits for this event
        }
        RunSocketAction(aFd, aError ? CURL_CSELECT_ERR : aEvent);
        if (*alive && !watch->isClosed && !aError) {
          WaitFor(aFd, watch);
        }
      });
  }

  void RunSocketAction(curl_socket_t aFd, int aEvents)
  {
    int running = 0;
    curl_multi_socket_action(mMulti, aFd, aEvents, &running);
    HandleEndedCalls();
  }

  void HandleEndedCalls()
  {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(mMulti, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      running_call* call = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
      End(*call, message->data.result);
    }
  }

  // libcurl takes an answer without a length whose connection closes inside its
  // head as complete, with an empty body.
  // requestSent is false only if libcurl counts no request byte and connecting
  // failed or timed out.
  void End(running_call& aCall, CURLcode aResult)
  {
    http_call_end end;
    long status = 0;
    long requestBytes = 0;
    curl_easy_getinfo(aCall.easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(aCall.easy, CURLINFO_REQUEST_SIZE, &requestBytes);
    const bool isFinal =
      !aCall.hasInvalidStatus && IsFinalStatus(static_cast<int>(status));
    end.status = isFinal ? static_cast<int>(status) : 0;
    end.isComplete = aResult == CURLE_OK && aCall.isHeadComplete && isFinal;
    if (aResult == CURLE_OK && !aCall.isHeadComplete) {
      aCall.failure = "the connection was closed inside the head";
    }
    const bool failedBeforeSend =
      aResult == CURLE_COULDNT_CONNECT || aResult == CURLE_OPERATION_TIMEDOUT;
    end.requestSent = !failedBeforeSend || requestBytes > 0;
    // A repeat that OpenSocket refused.
    const bool isRefusedAfterSend =
      aResult == CURLE_COULDNT_CONNECT && requestBytes > 0;
    end.isClosedByPeer = IsClosedByPeer(aResult) || isRefusedAfterSend ||
                         (aResult == CURLE_OK && !aCall.isHeadComplete);
    if (!end.isComplete) {
      end.error = aCall.failure.empty() ? curl_easy_strerror(aResult)
                                        : std::move(aCall.failure);
    }
    if (end.isComplete && !aCall.isCancelled) {
      ReportHeadOnce(aCall);
    }
    const bool isCancelled = aCall.isCancelled;
    const auto onEnd = std::move(aCall.hooks.onEnd);
    Remove(aCall.number);
    if (onEnd && !isCancelled) {
      onEnd(end);
    }
  }

  asio::io_context& mContext;
  asio::steady_timer mTimer;
  CURLM* mMulti;
  call_number mLastNumber = 0;
  std::unordered_map<call_number, std::unique_ptr<running_call>> mCalls;
  std::unordered_map<curl_socket_t, std::shared_ptr<socket_watch>> mWatches;
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
};

} // namespace

std::unique_ptr<http_client>
MakeHttpClient(asio::io_context& aContext)
{
  static const CURLcode kInitialised = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)kInitialised;
  return std::make_unique<curl_client>(aContext);
}

} // namespace bulrush::net
