#include "support/model_callers.hpp"

#include "support/processes.hpp"

namespace bulrush::test {
namespace {

constexpr std::chrono::milliseconds kStep{ 10 };
constexpr int kDeadlineMs = 4'000;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;

} // namespace

model_callers::model_callers(asio::io_context& aContext,
                             std::vector<std::string> aHosts)
  : mContext(aContext)
  , mHosts(std::move(aHosts))
  , mClient(net::MakeHttpClient(aContext))
{
}

std::size_t
model_callers::Send(const std::string& aPrompt,
                    std::size_t aHost,
                    bool aRepeats)
{
  return Start(aPrompt, aHost, false, aRepeats);
}

std::size_t
model_callers::Start(const std::string& aPrompt,
                     std::size_t aHost,
                     bool aIsRepeat,
                     bool aRepeats)
{
  const std::size_t position = mRequests.size();
  caller_request request;
  request.id = "request-" + std::to_string(position);
  request.prompt = aPrompt;
  request.host = aHost % mHosts.size();
  request.isRepeat = aIsRepeat;
  request.sentAt = net::Now();
  net::http_call call;
  call.url = "http://" + mHosts[request.host] + "/drafts/new";
  call.fields = { { "X-Attempt-Id", request.id },
                  { "X-Deadline-Ms", std::to_string(kDeadlineMs) },
                  { "X-Token-Count", "100,40" },
                  { "X-Prompt-Prefix", aPrompt } };
  call.body = "draft";
  call.timeout = std::chrono::milliseconds{ kDeadlineMs };
  mRequests.push_back(std::move(request));
  mClient->Start(std::move(call),
                 { [this, position](const net::http_answer_head& aHead) {
                    mRequests[position].status = aHead.status;
                    mRequests[position].fields = aHead.fields;
                  },
                   [this, position](std::string_view aBytes) {
                     mRequests[position].body += aBytes;
                   },
                   [this, position, aRepeats](const net::http_call_end& aEnd) {
                     End(position, aEnd, aRepeats);
                   } });
  return position;
}

void
model_callers::End(std::size_t aRequest,
                   const net::http_call_end& aEnd,
                   bool aRepeats)
{
  caller_request& request = mRequests[aRequest];
  request.endedAt = net::Now();
  request.isComplete = aEnd.isComplete;
  const bool isWorthRepeating =
    request.status == kBadGateway || request.status == kUnavailable;
  if (aRepeats && isWorthRepeating) {
    const std::string prompt = request.prompt; // Start moves the requests
    Start(prompt, request.host + 1, true, false);
  }
}

const caller_request&
model_callers::Finish(std::size_t aRequest)
{
  const steady_time end = net::Now() + kTestTimeout;
  while (!mRequests[aRequest].endedAt && net::Now() < end) {
    Run(kStep);
  }
  return mRequests[aRequest];
}

void
model_callers::Run(std::chrono::milliseconds aTime,
                   const std::function<void()>& aOnStep)
{
  const steady_time end = net::Now() + aTime;
  do {
    if (aOnStep) {
      aOnStep();
    }
    mContext.restart();
    mContext.run_for(kStep);
  } while (net::Now() < end);
}

} // namespace bulrush::test
