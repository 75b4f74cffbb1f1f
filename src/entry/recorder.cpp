#include "entry/recorder.hpp"

#include "entry/requests.hpp"
#include "program/program.hpp"

namespace bulrush::entry {
namespace {

constexpr metric_definition kRequests{
  "bulrush_entry_requests_total",
  metric_kind::eCounter,
  "Requests answered, by interface and status"
};
constexpr metric_definition kCallersGone{
  "bulrush_entry_callers_gone_total",
  metric_kind::eCounter,
  "Requests whose caller left before the answer was whole"
};
constexpr metric_definition kRequestTime{ "bulrush_entry_request_seconds",
                                          metric_kind::eDuration,
                                          "From request to end of answer" };
constexpr metric_definition kFirstByte{
  "bulrush_entry_first_byte_seconds",
  metric_kind::eDuration,
  "From request to first byte of a streamed answer"
};
constexpr metric_definition kAttempts{
  "bulrush_entry_attempts_total",
  metric_kind::eCounter,
  "Calls of endpoints, by status; 0 when no answer came"
};
constexpr metric_definition kAttemptTime{ "bulrush_entry_attempt_seconds",
                                          metric_kind::eDuration,
                                          "From call to end of answer" };
constexpr metric_definition kSent{
  "bulrush_entry_sent_total",
  metric_kind::eCounter,
  "Attempts sent within the local failure domain or out of it"
};
constexpr metric_definition kRevision{ "bulrush_entry_revision",
                                       metric_kind::eGauge,
                                       "Configuration in force on this host" };
constexpr metric_definition kNumber{ "bulrush_entry_manifest_number",
                                     metric_kind::eGauge,
                                     "Number of the manifest in force here" };
constexpr metric_definition kConfigurationAge{
  "bulrush_entry_configuration_age_seconds",
  metric_kind::eGauge,
  "Time since the configuration was known to be the newest"
};
constexpr metric_definition kEndpoints{ "bulrush_entry_endpoints",
                                        metric_kind::eGauge,
                                        "Endpoints known to this host" };
constexpr metric_definition kOpenRequests{ "bulrush_entry_open_requests",
                                           metric_kind::eGauge,
                                           "Requests that are being served" };
constexpr metric_definition kLease{
  "bulrush_entry_has_lease",
  metric_kind::eGauge,
  "1 while this host may serve requests with a key"
};

constexpr metric_definition kQuarantinedParts{
  "bulrush_entry_quarantined_parts",
  metric_kind::eGauge,
  "Parts of prompts that crash endpoints; requests with them are refused"
};
constexpr metric_definition kLoads{
  "bulrush_entry_endpoint_loads_since_start",
  metric_kind::eGauge,
  "Loads of endpoints: seen in answers, received from other "
  "hosts, applied of those"
};
constexpr metric_definition kSuspectedParts{
  "bulrush_entry_suspected_parts",
  metric_kind::eGauge,
  "Parts of prompts under which endpoints ended, not in quarantine"
};
constexpr metric_definition kRefusedParts{
  "bulrush_entry_quarantine_refusals_total",
  metric_kind::eCounter,
  "Requests refused or ended for a part of their prompts, by part"
};

constexpr metric_definition kUsageCounted{
  "bulrush_entry_usage_requests_total",
  metric_kind::eCounter,
  "Requests of workspaces that began to run, counted for usage reports"
};
constexpr metric_definition kUsageUnacknowledged{
  "bulrush_entry_usage_unacknowledged_requests",
  metric_kind::eGauge,
  "Counted requests that the leader has not acknowledged"
};
constexpr metric_definition kUsageLost{
  "bulrush_entry_usage_lost_requests_total",
  metric_kind::eCounter,
  "Counted requests that no leader acknowledged in time"
};

constexpr const char* kTraceparent = "traceparent";

// Callers choose paths freely, but a label must take few values.
std::string
InterfaceOf(const std::string& aPath)
{
  if (aPath == "/v1/completions" || aPath == "/v1/chat/completions") {
    return "completions";
  }
  return aPath.starts_with("/v1/") ? "models" : "service";
}

void
ReplaceField(std::vector<net::http_field>& aFields,
             const std::string& aName,
             const std::string& aValue)
{
  std::erase_if(aFields, [&aName](const net::http_field& aField) {
    return net::FindField({ aField }, aName) != nullptr;
  });
  aFields.push_back({ aName, aValue });
}

std::optional<trace_context>
FindContext(const std::vector<net::http_field>& aFields)
{
  const std::string* field = net::FindField(aFields, kTraceparent);
  last_reason ignored;
  return field == nullptr ? std::nullopt : ParseTraceparent(*field, ignored);
}

} // namespace

struct recorder::state
{
  explicit state(recorder_settings aSettings)
    : settings(std::move(aSettings))
    , page(settings.thread)
    , random(settings.seed)
  {
  }

  bool ChooseSampled()
  {
    constexpr std::uint64_t kResolution = 1'000'000;
    return random() % kResolution <
           static_cast<std::uint64_t>(settings.traceShare * kResolution);
  }

  void Write(const span_row& aSpan) const
  {
    if (settings.writer && aSpan.context.sampled) {
      settings.writer(aSpan);
    }
  }

  recorder_settings settings;
  metrics page;
  random_engine random;
};

namespace {

using shared_state = std::shared_ptr<recorder::state>;

// A span with its start on the monotonic clock, for durations.
struct open_span
{
  span_row row;
  steady_time begin{};

  void Begin()
  {
    row.start = std::chrono::system_clock::now();
    begin = net::Now();
  }

  std::chrono::nanoseconds Elapsed() const { return net::Now() - begin; }

  // Computed from the start, as the system clock may be adjusted meanwhile.
  void End()
  {
    row.end =
      row.start + std::chrono::duration_cast<wall_time::duration>(Elapsed());
  }
};

class recorded_reply
  : public net::http_reply
  , public std::enable_shared_from_this<recorded_reply>
{
public:
  recorded_reply(shared_state aState,
                 std::shared_ptr<net::http_reply> aReply,
                 open_span aSpan,
                 std::string aInterface)
    : mState(std::move(aState))
    , mReply(std::move(aReply))
    , mSpan(std::move(aSpan))
    , mInterface(std::move(aInterface))
  {
  }
  recorded_reply(const recorded_reply&) = delete;
  recorded_reply& operator=(const recorded_reply&) = delete;
  ~recorded_reply() override { End("the answer was given up"); }

  // The hooks hold this object weakly: it owns the reply that owns the hooks,
  // so a strong reference would be a cycle.
  void Attach()
  {
    const auto weak = weak_from_this();
    mReply->onDisconnected = [weak] {
      if (const auto self = weak.lock()) {
        self->mState->page.Add(kCallersGone, {});
        self->End("the caller has gone");
        if (self->onDisconnected) {
          self->onDisconnected();
        }
      }
    };
    mReply->onDrained = [weak] {
      const auto self = weak.lock();
      if (self && self->onDrained) {
        self->onDrained();
      }
    };
  }

  void Send(int aStatus,
            const std::vector<net::http_field>& aFields,
            std::string aBody) override
  {
    mStatus = aStatus;
    mReply->Send(aStatus, WithTrace(aFields), std::move(aBody));
    End({});
  }

  void Start(int aStatus, const std::vector<net::http_field>& aFields) override
  {
    mStatus = aStatus;
    mReply->Start(aStatus, WithTrace(aFields));
  }

  void Write(std::string aBytes) override
  {
    if (!mHasWritten) {
      mHasWritten = true;
      mState->page.Observe(kFirstByte, mSpan.Elapsed());
    }
    mReply->Write(std::move(aBytes));
  }

  void Finish() override
  {
    mReply->Finish();
    End({});
  }

  void Abort() override
  {
    mReply->Abort();
    End("the answer was cut off");
  }

  std::size_t UnsentBytes() const override { return mReply->UnsentBytes(); }
  bool HasCaller() const override { return mReply->HasCaller(); }
  net::passed_body Passed() const override { return mReply->Passed(); }

private:
  std::vector<net::http_field> WithTrace(
    std::vector<net::http_field> aFields) const
  {
    aFields.push_back(
      { "Bulrush-Trace", FormatHex(mSpan.row.context.trace.bytes) });
    return aFields;
  }

  // Records the first end only.
  void End(const std::string& aFailure)
  {
    if (mIsEnded) {
      return;
    }
    mIsEnded = true;
    const std::string status = std::to_string(mStatus);
    mState->page.Add(kRequests,
                     { { "interface", mInterface }, { "status", status } });
    mState->page.Observe(
      kRequestTime, mSpan.Elapsed(), { { "interface", mInterface } });
    mSpan.row.attributes.push_back({ "http.response.status_code", status });
    mSpan.row.failure = aFailure;
    mSpan.End();
    mState->Write(mSpan.row);
  }

  shared_state mState;
  std::shared_ptr<net::http_reply> mReply;
  open_span mSpan;
  std::string mInterface;
  int mStatus = 0;
  bool mHasWritten = false;
  bool mIsEnded = false;
};

void
SetUsage(metrics& aPage, const usage_totals& aUsage)
{
  aPage.Set(kUsageCounted, static_cast<double>(aUsage.counted));
  aPage.Set(kUsageUnacknowledged, static_cast<double>(aUsage.unacknowledged));
  aPage.Set(kUsageLost, static_cast<double>(aUsage.lost));
}

class recorded_client : public net::http_client
{
public:
  recorded_client(shared_state aState,
                  std::unique_ptr<net::http_client> aClient)
    : mState(std::move(aState))
    , mClient(std::move(aClient))
  {
  }

  call_number Start(net::http_call aCall, net::http_call_hooks aHooks) override
  {
    open_span span = BeginAttempt(aCall);
    auto number = std::make_shared<call_number>(0);
    auto onEnd = [this, number, hook = std::move(aHooks.onEnd)](
                   const net::http_call_end& aEnd) {
      EndAttempt(*number, aEnd);
      if (hook) {
        hook(aEnd);
      }
    };
    aHooks.onEnd = std::move(onEnd);
    *number = mClient->Start(std::move(aCall), std::move(aHooks));
    mOpen.emplace(*number, std::move(span));
    return *number;
  }

  void Cancel(call_number aCall) override
  {
    mClient->Cancel(aCall);
    EndAttempt(aCall, { false, true, 0, "cancelled" });
  }
  void Pause(call_number aCall) override { mClient->Pause(aCall); }
  void Resume(call_number aCall) override { mClient->Resume(aCall); }
  std::size_t Running() const override { return mClient->Running(); }

private:
  open_span BeginAttempt(net::http_call& aCall)
  {
    open_span span;
    span.row.name = "attempt";
    span.row.kind = span_kind::eClient;
    if (const auto parent = FindContext(aCall.fields)) {
      span.row.context = ChildOf(*parent, mState->random);
      span.row.parent = parent->span;
    } else {
      span.row.context = NewTrace(mState->random);
      span.row.context.sampled = false;
    }
    ReplaceField(
      aCall.fields, kTraceparent, FormatTraceparent(span.row.context));
    span.row.attributes.push_back({ "url.full", aCall.url });
    if (const auto* attempt = net::FindField(aCall.fields, "Bulrush-Attempt")) {
      span.row.attributes.push_back({ "bulrush.attempt", *attempt });
    }
    span.Begin();
    return span;
  }

  void EndAttempt(call_number aCall, const net::http_call_end& aEnd)
  {
    auto open = mOpen.extract(aCall);
    if (open.empty()) {
      return;
    }
    open_span& span = open.mapped();
    const std::string status = std::to_string(aEnd.status);
    mState->page.Add(kAttempts, { { "status", status } });
    mState->page.Observe(kAttemptTime, span.Elapsed());
    span.row.attributes.push_back({ "http.response.status_code", status });
    span.row.failure = aEnd.isComplete ? std::string() : aEnd.error;
    span.End();
    mState->Write(span.row);
  }

  shared_state mState;
  std::unique_ptr<net::http_client> mClient;
  std::unordered_map<call_number, open_span> mOpen;
};

} // namespace

recorder::recorder(recorder_settings aSettings)
  : mState(std::make_shared<state>(std::move(aSettings)))
{
}

recorder::~recorder() = default;

std::shared_ptr<net::http_reply>
recorder::Record(net::http_request& aRequest,
                 std::shared_ptr<net::http_reply> aReply)
{
  open_span span;
  span.row.name = aRequest.method + " " + InterfaceOf(aRequest.path);
  span.row.kind = span_kind::eServer;
  if (const auto parent = FindContext(aRequest.fields)) {
    span.row.context = ChildOf(*parent, mState->random);
    span.row.parent = parent->span;
  } else {
    span.row.context = NewTrace(mState->random);
    span.row.context.sampled = mState->ChooseSampled();
  }
  // Without the query string, since some callers put keys there.
  span.row.attributes.push_back({ "url.path", aRequest.path });
  span.Begin();
  ReplaceField(
    aRequest.fields, kTraceparent, FormatTraceparent(span.row.context));
  auto recorded = std::make_shared<recorded_reply>(
    mState, std::move(aReply), std::move(span), InterfaceOf(aRequest.path));
  recorded->Attach();
  return recorded;
}

std::unique_ptr<net::http_client>
recorder::Record(std::unique_ptr<net::http_client> aClient)
{
  return std::make_unique<recorded_client>(mState, std::move(aClient));
}

void
recorder::CountRefusedPart(part_id aPart)
{
  mState->page.Add(kRefusedParts, { { "part", FormatId(aPart.value) } });
}

void
recorder::CountSent(bool aIsOut)
{
  mState->page.Add(kSent, { { "to", aIsOut ? "out" : "within" } });
}

std::string
recorder::Page(const host_gauges& aGauges)
{
  metrics& page = mState->page;
  page.Set(kRevision, static_cast<double>(aGauges.revision));
  page.Set(kNumber, static_cast<double>(aGauges.number));
  page.Set(kConfigurationAge,
           std::chrono::duration<double>(aGauges.configurationAge).count());
  page.Set(kEndpoints, static_cast<double>(aGauges.endpoints));
  page.Set(kOpenRequests, static_cast<double>(aGauges.openRequests));
  page.Set(kLease, aGauges.hasLease ? 1 : 0);
  page.Set(kQuarantinedParts,
           static_cast<double>(aGauges.quarantine.quarantined));
  page.Set(kSuspectedParts, static_cast<double>(aGauges.quarantine.suspected));
  const load_counts& loads = aGauges.loads;
  page.Set(kLoads, static_cast<double>(loads.seen), { { "outcome", "seen" } });
  page.Set(
    kLoads, static_cast<double>(loads.received), { { "outcome", "received" } });
  page.Set(
    kLoads, static_cast<double>(loads.applied), { { "outcome", "applied" } });
  SetMemoryMetrics(page, aGauges.memory);
  if (aGauges.usage) {
    SetUsage(page, *aGauges.usage);
  }
  return PrometheusText(std::span(&page, 1));
}

} // namespace bulrush::entry
