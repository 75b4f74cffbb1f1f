#include "net/net.hpp"

#include <restinio/all.hpp>

#include <cctype>

namespace bulrush::net {

// Field names are ASCII and compared without case (RFC 9110).
const std::string*
FindField(const std::vector<http_field>& aFields, std::string_view aName)
{
  const auto isSame = [](char aLeft, char aRight) {
    return std::tolower(static_cast<unsigned char>(aLeft)) ==
           std::tolower(static_cast<unsigned char>(aRight));
  };
  for (const http_field& field : aFields) {
    if (std::equal(field.name.begin(),
                   field.name.end(),
                   aName.begin(),
                   aName.end(),
                   isSame)) {
      return &field.value;
    }
  }
  return nullptr;
}

namespace {

constexpr std::size_t kMaxUrlBytes = 8'192;
constexpr std::size_t kMaxFieldNameBytes = 256;
constexpr std::size_t kMaxFieldValueBytes = 16'384;
constexpr std::size_t kMaxFieldCount = 100;

// Bodies over the limit are read up to this factor, so that the caller gets a
// clear answer instead of a closed connection.
constexpr std::size_t kBodyReadFactor = 4;

// Two, so that RESTinio goes on reading while an answer is under way: that is
// how it notices a caller that has gone.
constexpr std::size_t kPipelinedRequests = 2;

class restinio_reply;

// Which replies are open on which connection. Shared by the listener, which
// RESTinio owns, and the server.
class connection_listener
{
public:
  void Add(restinio::connection_id_t aConnection,
           std::weak_ptr<restinio_reply> aReply)
  {
    auto& replies = mReplies[aConnection];
    std::erase_if(replies, [](const auto& aOld) { return aOld.expired(); });
    replies.push_back(std::move(aReply));
  }

  void state_changed(
    const restinio::connection_state::notice_t& aNotice) noexcept;

private:
  std::unordered_map<restinio::connection_id_t,
                     std::vector<std::weak_ptr<restinio_reply>>>
    mReplies;
};

struct server_traits : public restinio::default_single_thread_traits_t
{
  using connection_state_listener_t = connection_listener;
  using request_handler_t = std::function<restinio::request_handling_status_t(
    restinio::request_handle_t)>;
  // RESTinio looks for this name.
  static constexpr bool
    use_connection_count_limiter = // NOLINT(readability-identifier-naming)
    true;
};

restinio::http_status_line_t
StatusLine(int aStatus)
{
  static const std::unordered_map<int, const char*> kPhrases = {
    { 200, "OK" },
    { 202, "Accepted" },
    { 400, "Bad Request" },
    { 401, "Unauthorized" },
    { 403, "Forbidden" },
    { 404, "Not Found" },
    { 405, "Method Not Allowed" },
    { 408, "Request Timeout" },
    { 409, "Conflict" },
    { 413, "Content Too Large" },
    { 415, "Unsupported Media Type" },
    { 422, "Unprocessable Content" },
    { 429, "Too Many Requests" },
    { 500, "Internal Server Error" },
    { 502, "Bad Gateway" },
    { 503, "Service Unavailable" },
    { 504, "Gateway Timeout" },
  };
  const auto found = kPhrases.find(aStatus);
  return { restinio::http_status_code_t{ static_cast<std::uint16_t>(aStatus) },
           found == kPhrases.end() ? "Status" : found->second };
}

// Answers that were handed over and have not left yet, and who waits for none.
struct unsent_answers
{
  std::size_t count = 0;
  std::function<void()> onNone;

  void Begin() { ++count; }
  void End()
  {
    --count;
    TellIfNone();
  }
  void TellIfNone()
  {
    if (count == 0 && onNone) {
      const auto hook = std::move(onNone);
      onNone = nullptr;
      hook();
    }
  }
};

class restinio_reply
  : public http_reply
  , public std::enable_shared_from_this<restinio_reply>
{
public:
  restinio_reply(restinio::request_handle_t aRequest,
                 std::shared_ptr<unsent_answers> aUnsent)
    : mRequest(std::move(aRequest))
    , mUnsent(std::move(aUnsent))
    , mKeepsAlive(mRequest->header().should_keep_alive())
  {
  }

  void Send(int aStatus,
            const std::vector<http_field>& aFields,
            std::string aBody) override
  {
    if (mIsEnded || mChunks) {
      return;
    }
    mIsEnded = true;
    auto response = mRequest->create_response(StatusLine(aStatus));
    SetFields(response, aFields);
    response.set_body(std::move(aBody));
    response.done(CountUntilSent());
  }

  void Start(int aStatus, const std::vector<http_field>& aFields) override
  {
    if (mIsEnded || mChunks) {
      return;
    }
    mChunks.emplace(mRequest->create_response<restinio::chunked_output_t>(
      StatusLine(aStatus)));
    SetFields(*mChunks, aFields);
    mChunks->flush();
  }

  void Write(std::string aBytes) override
  {
    if (mIsEnded || !mChunks || aBytes.empty()) {
      return;
    }
    const std::size_t count = aBytes.size();
    mUnsentBytes += count;
    mChunks->append_chunk(std::move(aBytes));
    mChunks->flush([weak = weak_from_this(), count](const auto& aError) {
      if (const auto self = weak.lock()) {
        self->OnWritten(count, static_cast<bool>(aError));
      }
    });
  }

  void Finish() override
  {
    if (mIsEnded || !mChunks) {
      return;
    }
    mIsEnded = true;
    mChunks->done(CountUntilSent());
  }

  // RESTinio closes a connection whose response is dropped before done():
  // the request handle is released and the connection shut without the last
  // chunk.
  void Abort() override
  {
    if (mIsEnded) {
      return;
    }
    mIsEnded = true;
    mIsAborted = true;
    if (!mChunks) {
      return;
    }
    mChunks->connection_close();
    mChunks.reset();
    mRequest.reset();
  }

  std::size_t UnsentBytes() const override { return mUnsentBytes; }

  void TellGone()
  {
    if (mIsEnded) {
      return;
    }
    mIsEnded = true;
    if (const auto hook = std::move(onGone)) {
      hook();
    }
  }

private:
  restinio::write_status_cb_t CountUntilSent()
  {
    mUnsent->Begin();
    return [unsent = mUnsent](const auto&) { unsent->End(); };
  }

  template<class response>
  void SetFields(response& aResponse, const std::vector<http_field>& aFields)
  {
    for (const http_field& field : aFields) {
      aResponse.append_header(field.name, field.value);
    }
    if (mKeepsAlive) {
      aResponse.connection_keep_alive();
    } else {
      aResponse.connection_close();
    }
  }

  void OnWritten(std::size_t aCount, bool aIsFailed)
  {
    mUnsentBytes -= std::min(aCount, mUnsentBytes);
    if (aIsFailed) {
      TellGone();
    } else if (onDrained) {
      onDrained();
    }
  }

  restinio::request_handle_t mRequest;
  std::shared_ptr<unsent_answers> mUnsent;
  std::optional<restinio::response_builder_t<restinio::chunked_output_t>>
    mChunks;
  std::size_t mUnsentBytes = 0;
  bool mKeepsAlive;
  bool mIsEnded = false;
  bool mIsAborted = false;
};

void
connection_listener::state_changed(
  const restinio::connection_state::notice_t& aNotice) noexcept
{
  if (!std::holds_alternative<restinio::connection_state::closed_t>(
        aNotice.cause())) {
    return;
  }
  const auto found = mReplies.find(aNotice.connection_id());
  if (found == mReplies.end()) {
    return;
  }
  const auto replies = std::move(found->second);
  mReplies.erase(found);
  for (const auto& weak : replies) {
    if (const auto reply = weak.lock()) {
      reply->TellGone();
    }
  }
}

std::vector<http_field>
CopyFields(const restinio::http_request_header_t& aHeader)
{
  std::vector<http_field> fields;
  aHeader.for_each_field(
    [&fields](const restinio::http_header_field_t& aField) {
      fields.push_back({ aField.name(), aField.value() });
    });
  return fields;
}

class restinio_server : public http_server
{
public:
  restinio_server(asio::io_context& aContext,
                  const http_server_settings& aSettings,
                  request_hook aOnRequest)
    : mListener(std::make_shared<connection_listener>())
    , mOnRequest(std::move(aOnRequest))
    , mServer(restinio::external_io_context(aContext),
              [&](auto& aTarget) { Configure(aTarget, aSettings); })
  {
    mServer.open_sync();
  }

  std::uint16_t Port() const override { return mPort; }

  void StopWhenFlushed(std::function<void()> aOnFlushed) override
  {
    mServer.close_sync();
    mUnsent->onNone = std::move(aOnFlushed);
    mUnsent->TellIfNone();
  }

private:
  template<class settings>
  void Configure(settings& aTarget, const http_server_settings& aSettings)
  {
    aTarget.address(aSettings.address)
      .port(aSettings.port)
      .connection_state_listener(mListener)
      .max_parallel_connections(aSettings.maxConnections)
      .max_pipelined_requests(kPipelinedRequests)
      .read_next_http_message_timelimit(aSettings.readTimeout)
      .write_http_response_timelimit(aSettings.writeTimeout)
      .handle_request_timeout(aSettings.handleTimeout)
      .buffer_size(64U * 1024U)
      .incoming_http_msg_limits(
        restinio::incoming_http_msg_limits_t{}
          .max_url_size(kMaxUrlBytes)
          .max_field_name_size(kMaxFieldNameBytes)
          .max_field_value_size(kMaxFieldValueBytes)
          .max_field_count(kMaxFieldCount)
          .max_body_size(aSettings.maxBodyBytes * kBodyReadFactor))
      .acceptor_options_setter([](auto& aOptions) {
        aOptions.set_option(asio::ip::tcp::acceptor::reuse_address(true));
      })
      .socket_options_setter([](auto& aOptions) {
        aOptions.set_option(asio::ip::tcp::no_delay(true));
      })
      .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& aAcceptor) {
        mPort = aAcceptor.local_endpoint().port();
      })
      .request_handler([this](restinio::request_handle_t aRequest) {
        return Handle(std::move(aRequest));
      });
  }

  restinio::request_handling_status_t Handle(
    restinio::request_handle_t aRequest)
  {
    http_request request;
    const auto& header = aRequest->header();
    request.method = header.method().c_str();
    request.path = std::string(header.path());
    request.query = std::string(header.query());
    request.target = header.request_target();
    request.fields = CopyFields(header);
    request.body = aRequest->body();
    request.peer =
      fmt::format("{}:{}",
                  aRequest->remote_endpoint().address().to_string(),
                  aRequest->remote_endpoint().port());
    const auto connection = aRequest->connection_id();
    auto reply = std::make_shared<restinio_reply>(std::move(aRequest), mUnsent);
    mListener->Add(connection, reply);
    mOnRequest(std::move(request), std::move(reply));
    return restinio::request_accepted();
  }

  std::shared_ptr<connection_listener> mListener;
  request_hook mOnRequest;
  std::shared_ptr<unsent_answers> mUnsent = std::make_shared<unsent_answers>();
  std::uint16_t mPort = 0;
  restinio::http_server_t<server_traits> mServer;
};

} // namespace

std::optional<std::unique_ptr<http_server>>
Listen(asio::io_context& aContext,
       const http_server_settings& aSettings,
       http_server::request_hook aOnRequest,
       last_reason& aWhy)
{
  try {
    return std::make_unique<restinio_server>(
      aContext, aSettings, std::move(aOnRequest));
  } catch (const std::exception& error) {
    return Fail(aWhy,
                "listen for HTTP",
                aSettings.address + ":" + std::to_string(aSettings.port),
                error.what());
  }
}

} // namespace bulrush::net
