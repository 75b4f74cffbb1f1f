#include "support/soak_callers.hpp"

#include "net/net.hpp"

#include <sstream>

namespace bulrush::test {
namespace {

constexpr std::uint64_t kSeedStride = 1'000;
constexpr int kMaxTokens = 60;
constexpr int kMaxRepeats = 20;
constexpr std::chrono::milliseconds kRepeatPause{ 100 };
constexpr std::chrono::milliseconds kMaxThinkTime{ 30 };
constexpr std::size_t kShownBytes = 300;

std::string
PathOf(call_kind aKind)
{
  switch (aKind) {
    case call_kind::eStatus:
      return "/desk/status";
    case call_kind::eStream:
      return "/v1/completions";
    default:
      return "/desk/releases";
  }
}

std::string
BodyOf(const call_row& aCall)
{
  if (aCall.kind == call_kind::eStream) {
    return nlohmann::json{
      { "model", "draft" }, { "max_tokens", aCall.tokens }, { "stream", true }
    }.dump();
  }
  return nlohmann::json{ { "tag", aCall.tag } }.dump();
}

std::vector<std::string>
FieldsOf(const call_row& aCall)
{
  std::vector<std::string> fields;
  if (!aCall.key.empty()) {
    fields.push_back("Authorization: Bearer " + aCall.key);
  }
  if (aCall.kind == call_kind::eKeyedRelease) {
    fields.push_back("Idempotency-Key: " + aCall.tag);
  }
  return fields;
}

} // namespace

std::string
Describe(const call_row& aCall)
{
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  std::ostringstream text;
  text << PathOf(aCall.kind) << ' ' << aCall.tag << " host=" << aCall.host
       << " after_connect_ms="
       << duration_cast<milliseconds>(aCall.sentAt - aCall.connectedAt).count()
       << " took_ms="
       << duration_cast<milliseconds>(aCall.endedAt - aCall.sentAt).count()
       << " status=" << aCall.answer.status
       << " complete=" << aCall.answer.isComplete << ' ';
  const std::string& body = aCall.answer.body;
  text << (body.size() > kShownBytes ? body.substr(body.size() - kShownBytes)
                                     : body);
  return text.str();
}

struct soak_callers::caller_row
{
  std::size_t number = 0;
  random_engine random;
  std::size_t host = 0;
  std::unique_ptr<kept_connection> connection;
  steady_time connectedAt;
  int sent = 0;
  int repeats = 0; ///< of the call to repeat
  std::optional<call_row> toRepeat;
  std::vector<call_row> calls;
  std::thread thread;
};

soak_callers::soak_callers(soak_caller_settings aSettings)
  : mSettings(std::move(aSettings))
{
  for (std::size_t i = 0; i < mSettings.callers; ++i) {
    auto caller = std::make_unique<caller_row>();
    caller->number = i;
    caller->random.seed(mSettings.seed * kSeedStride + i);
    caller->host = i % mSettings.hosts.size();
    mCallers.push_back(std::move(caller));
  }
  for (auto& caller : mCallers) {
    caller->thread = std::thread([this, &row = *caller] { Run(row); });
  }
}

soak_callers::~soak_callers()
{
  Stop();
}

std::vector<call_row>
soak_callers::Stop()
{
  mIsStopping = true;
  std::vector<call_row> calls;
  for (auto& caller : mCallers) {
    if (caller->thread.joinable()) {
      caller->thread.join();
    }
    calls.insert(calls.end(), caller->calls.begin(), caller->calls.end());
  }
  return calls;
}

void
soak_callers::Run(caller_row& aCaller)
{
  while (!mIsStopping) {
    if (!aCaller.connection || !aCaller.connection->IsUsable()) {
      aCaller.connectedAt = net::Now();
      aCaller.connection =
        std::make_unique<kept_connection>(mSettings.hosts[aCaller.host]);
    }
    if (!aCaller.connection->IsUsable()) {
      aCaller.host = (aCaller.host + 1) % mSettings.hosts.size();
      std::this_thread::sleep_for(kRepeatPause);
      continue;
    }
    if (aCaller.toRepeat) {
      Send(aCaller, *std::exchange(aCaller.toRepeat, std::nullopt));
    } else {
      aCaller.repeats = 0;
      Send(aCaller, Draw(aCaller));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{
      aCaller.random() % static_cast<std::uint64_t>(kMaxThinkTime.count()) });
  }
}

call_row
soak_callers::Draw(caller_row& aCaller)
{
  constexpr std::array kKinds{ call_kind::eRelease,
                               call_kind::eKeyedRelease,
                               call_kind::eStatus,
                               call_kind::eStream };
  call_row call;
  call.kind = kKinds[aCaller.random() % kKinds.size()];
  call.tag = "call " + std::to_string(aCaller.number) + ' ' +
             std::to_string(++aCaller.sent);
  call.tokens = 1 + static_cast<int>(aCaller.random() % kMaxTokens);
  return call;
}

// A keyed release that has no answer goes to the next host.
void
soak_callers::Send(caller_row& aCaller, call_row aCall)
{
  aCall.key =
    aCall.kind == call_kind::eStatus ? "" : mSettings.chooseKey(aCaller.random);
  aCall.host = aCaller.host;
  aCall.connectedAt = aCaller.connectedAt;
  aCall.sentAt = net::Now();
  aCall.answer = aCaller.connection->Post(
    PathOf(aCall.kind), FieldsOf(aCall), BodyOf(aCall));
  aCall.endedAt = net::Now();
  aCaller.calls.push_back(aCall);
  if (aCall.kind == call_kind::eKeyedRelease && aCall.answer.status != 200 &&
      ++aCaller.repeats < kMaxRepeats) {
    aCaller.toRepeat = aCall;
    aCaller.connection.reset();
    aCaller.host = (aCaller.host + 1) % mSettings.hosts.size();
    std::this_thread::sleep_for(kRepeatPause);
  }
}

} // namespace bulrush::test
