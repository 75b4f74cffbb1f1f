#include "apps/fake_tables.hpp"

#include <nlohmann/json.hpp>

namespace bulrush::fake {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kReportInterval{ 250 };
constexpr std::size_t kReportedOrders = 16;

// The id includes the version, because two versions of a model are resident
// while one replaces the other.
typed_id<struct resident_tag>
ResidentId(const std::string& aModel,
           const std::string& aVersion,
           const std::string& aAdapter)
{
  return IdOf<typed_id<struct resident_tag>>(aModel + "\n" + aVersion + "\n" +
                                             aAdapter);
}

typed_id<struct resident_tag>
ResidentId(const order_row& aOrder)
{
  return aOrder.adapter.empty() ? ResidentId(aOrder.model, aOrder.version, "")
                                : ResidentId(aOrder.model, "", aOrder.adapter);
}

std::uint64_t
UsedBytes(const fake_tables& aTables)
{
  std::uint64_t used = 0;
  for (const resident_row& row : aTables.residents) {
    used += row.bytes;
  }
  return used;
}

void
UpdateMemoryPeak(fake_tables& aTables)
{
  aTables.counters.memoryPeak =
    std::max(aTables.counters.memoryPeak, UsedBytes(aTables));
}

// Memory is allocated when a load starts, as in an engine that allocates before
// it copies weights, and freed when an unload ends.
void
BeginOrder(fake_tables& aTables, const order_row& aOrder)
{
  if (aOrder.kind != "load" && aOrder.kind != "load_adapter") {
    return;
  }
  const auto id = ResidentId(aOrder);
  if (aTables.residents.Find(id) != nullptr) {
    return;
  }
  resident_row row;
  row.id = id;
  row.model = aOrder.model;
  row.version = aOrder.version;
  row.adapter = aOrder.adapter;
  row.bytes = aOrder.bytes;
  row.readyAt = aOrder.doneAt;
  aTables.residents.Insert(row);
  UpdateMemoryPeak(aTables);
}

void
EndOrder(fake_tables& aTables, order_row& aOrder)
{
  aOrder.isDone = true;
  const auto id = ResidentId(aOrder);
  if (aOrder.kind == "unload") {
    aTables.residents.EraseIf([&](const resident_row& aRow) {
      return aRow.id == id ||
             (aRow.model == aOrder.model && !aRow.adapter.empty());
    });
  } else if (aOrder.kind == "unload_adapter") {
    aTables.residents.Erase(id);
  } else if (resident_row* row = aTables.residents.Find(id)) {
    row->isReady = true;
  }
}

void
DeliverDelayedOrders(fake_tables& aTables,
                     steady_time aNow,
                     fake_outbox& aOutbox)
{
  for (const delayed_order_row& delayed : aTables.delayedOrders) {
    if (delayed.arrivesAt > aNow) {
      aOutbox.wake.NoLaterThan(delayed.arrivesAt);
      continue;
    }
    aTables.orders.Insert(delayed.order);
    aTables.arrivedOrders.push_back(delayed.id);
  }
  aTables.delayedOrders.EraseIf(
    [aNow](const delayed_order_row& aRow) { return aRow.arrivesAt <= aNow; });
}

void
RunOrders(fake_tables& aTables, steady_time aNow, fake_outbox& aOutbox)
{
  DeliverDelayedOrders(aTables, aNow, aOutbox);
  for (order_row& order : aTables.orders) {
    if (order.isDone) {
      continue;
    }
    BeginOrder(aTables, order);
    if (order.doneAt <= aNow) {
      EndOrder(aTables, order);
      aTables.nextReport = aNow;
    } else {
      aOutbox.wake.NoLaterThan(order.doneAt);
    }
  }
}

std::string
FormatTokenEvent(const run_row& aRun, std::uint64_t aIndex)
{
  const json event = {
    { "id", aRun.attempt },
    { "object", "chat.completion.chunk" },
    { "model", aRun.model },
    { "choices",
      { { { "index", 0 },
          { "delta", { { "content", "t" + std::to_string(aIndex) + " " } } },
          { "text", "t" + std::to_string(aIndex) + " " },
          { "finish_reason", nullptr } } } }
  };
  return "data: " + event.dump() + "\n\n";
}

std::string
FormatAnswer(const run_row& aRun)
{
  std::string text;
  for (std::uint64_t i = 0; i < aRun.tokens; ++i) {
    text += "t" + std::to_string(i) + " ";
  }
  return json{
    { "id", aRun.attempt },
    { "object", "chat.completion" },
    { "model", aRun.model },
    { "choices",
      { { { "index", 0 },
          { "message", { { "role", "assistant" }, { "content", text } } },
          { "text", text },
          { "finish_reason", "length" } } } },
    { "usage",
      { { "prompt_tokens", 8 },
        { "completion_tokens", aRun.tokens },
        { "total_tokens", aRun.tokens + 8 } } }
  }.dump();
}

// Sends the tokens that are due; returns true when the stream has ended.
bool
StepStream(run_row& aRun,
           steady_time aNow,
           std::chrono::milliseconds aTokenInterval)
{
  aRun.reply->Start(
    200,
    { { "Content-Type", "text/event-stream" },
      { "Bulrush-Attempt", aRun.attempt },
      { "Bulrush-Resume", std::to_string(aRun.resumedAtToken) } });
  while (aRun.nextToken <= aNow && aRun.sent < aRun.tokens) {
    if (aRun.isTruncated && aRun.sent >= aRun.tokens / 2) {
      aRun.reply->Abort();
      return true;
    }
    aRun.reply->Write(FormatTokenEvent(aRun, aRun.sent));
    ++aRun.sent;
    aRun.nextToken += aTokenInterval;
  }
  if (aRun.sent < aRun.tokens) {
    return false;
  }
  aRun.reply->Write("data: [DONE]\n\n");
  aRun.reply->Finish();
  return true;
}

// The time at which an answer that is not streamed is complete.
steady_time
CompletionTime(const run_row& aRun, std::chrono::milliseconds aTokenInterval)
{
  return aRun.nextToken +
         static_cast<std::int64_t>(aRun.tokens) * aTokenInterval;
}

bool
StepJsonAnswer(run_row& aRun,
               steady_time aNow,
               std::chrono::milliseconds aTokenInterval)
{
  if (aNow < CompletionTime(aRun, aTokenInterval)) {
    return false;
  }
  const std::vector<net::http_field> fields = {
    { "Content-Type", "application/json" }, { "Bulrush-Attempt", aRun.attempt }
  };
  if (aRun.isTruncated) {
    aRun.reply->Start(200, fields);
    aRun.reply->Write("{\"half\":");
    aRun.reply->Abort();
    return true;
  }
  if (!aRun.isService) {
    aRun.reply->Send(200, fields, FormatAnswer(aRun));
    return true;
  }
  const json answer = { { "ok", true },
                        { "run", aRun.id.value },
                        { "tag", aRun.tag } };
  aRun.reply->Send(200, fields, answer.dump());
  return true;
}

bool
Step(run_row& aRun, steady_time aNow, std::chrono::milliseconds aTokenInterval)
{
  if (aNow < aRun.nextToken) {
    return false;
  }
  if (aRun.isLost) {
    aRun.reply->Abort();
    return true;
  }
  return aRun.isStream ? StepStream(aRun, aNow, aTokenInterval)
                       : StepJsonAnswer(aRun, aNow, aTokenInterval);
}

void
RunRequests(fake_tables& aTables, steady_time aNow, fake_outbox& aOutbox)
{
  std::vector<run_id> ended;
  const auto tokenInterval = aTables.self.perToken;
  for (run_row& run : aTables.runs) {
    if (Step(run, aNow, tokenInterval)) {
      ended.push_back(run.id);
      continue;
    }
    const bool isGenerating = !run.isStream && run.nextToken <= aNow;
    aOutbox.wake.NoLaterThan(isGenerating ? CompletionTime(run, tokenInterval)
                                          : run.nextToken);
  }
  for (const run_id& id : ended) {
    aTables.runs.Erase(id);
  }
}

json
FormatResidents(const fake_tables& aTables)
{
  json list = json::array();
  for (const resident_row& row : aTables.residents) {
    if (!row.isReady || !row.adapter.empty()) {
      continue;
    }
    json adapters = json::array();
    for (const resident_row& adapter : aTables.residents) {
      if (adapter.isReady && !adapter.adapter.empty() &&
          adapter.model == row.model) {
        adapters.push_back(adapter.adapter);
      }
    }
    list.push_back({ { "model", row.model },
                     { "version", row.version },
                     { "adapters", adapters } });
  }
  return list;
}

json
FormatOrders(const fake_tables& aTables)
{
  json list = json::array();
  const std::size_t count = aTables.arrivedOrders.size();
  const std::size_t from =
    count > kReportedOrders ? count - kReportedOrders : 0;
  for (std::size_t i = from; i < count; ++i) {
    const order_row& row = *aTables.orders.Find(aTables.arrivedOrders[i]);
    if (!row.isDone && !row.isVoid) {
      continue;
    }
    std::array<char, 17> hex{};
    std::snprintf(hex.data(),
                  hex.size(),
                  "%llx",
                  static_cast<unsigned long long>(row.id.value));
    list.push_back({ { "order", hex.data() },
                     { "fencing", row.fencing },
                     { "done", row.isDone } });
  }
  return list;
}

std::string
FormatReport(fake_tables& aTables, steady_time aNow)
{
  const self_row& self = aTables.self;
  return json{
    { "endpoint", self.name },
    { "incarnation", self.incarnation },
    { "sequence", ++aTables.sequence },
    { "address", self.address },
    { "failure_domain", self.domain },
    { "kind", self.memoryBytes > 0 ? "engine" : "service" },
    { "memory_bytes", self.memoryBytes },
    { "used_bytes", UsedBytes(aTables) },
    { "slots", self.slots },
    { "cold_slots", self.coldSlots },
    { "cold", aNow < aTables.coldUntil },
    { "resume", self.canResume },
    { "checks_fencing", self.checksFencing },
    { "leaving", aTables.isLeaving },
    { "running", aTables.runs.Size() },
    { "queued", 0 },
    { "residents", FormatResidents(aTables) },
    { "services", self.services },
    { "orders", FormatOrders(aTables) }
  }.dump();
}

void
RunReport(fake_tables& aTables, steady_time aNow, fake_outbox& aOutbox)
{
  if (aNow >= aTables.nextReport) {
    aTables.nextReport = aNow + kReportInterval;
    if (!aTables.isSilent) {
      aOutbox.reports.push_back(FormatReport(aTables, aNow));
    }
  }
  aOutbox.wake.NoLaterThan(aTables.nextReport);
}

constexpr std::array<named_system<fake_tables, fake_outbox>, 3> kSystems{
  { { "orders", RunOrders },
    { "requests", RunRequests },
    { "report", RunReport } }
};

} // namespace

void
AddResident(fake_tables& aTables,
            const std::string& aModel,
            const std::string& aVersion,
            std::uint64_t aBytes)
{
  resident_row row;
  row.id = ResidentId(aModel, aVersion, "");
  row.model = aModel;
  row.version = aVersion;
  row.bytes = aBytes;
  row.isReady = true;
  aTables.residents.Insert(row);
  UpdateMemoryPeak(aTables);
}

void
RunFake(fake_tables& aTables, steady_time aNow, fake_outbox& aOutbox)
{
  RunTick(kSystems, aTables, aNow, aOutbox);
}

} // namespace bulrush::fake
