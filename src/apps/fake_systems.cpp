#include "apps/fake_tables.hpp"

#include <nlohmann/json.hpp>

namespace bulrush::fake {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kReportEvery{ 250 };
constexpr std::size_t kReportedOrders = 16;

typed_id<struct resident_tag>
ResidentId(const std::string& aModel, const std::string& aAdapter)
{
  return IdOf<typed_id<struct resident_tag>>(aModel + "\n" + aAdapter);
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
CountMemory(fake_tables& aTables)
{
  aTables.counters.memoryPeak =
    std::max(aTables.counters.memoryPeak, UsedBytes(aTables));
}

// Memory is taken when an order begins, as an engine does that allocates
// before it copies weights; unloading frees when it ends.
void
BeginOrder(fake_tables& aTables, const order_row& aOrder)
{
  if (aOrder.kind != "load" && aOrder.kind != "load_adapter") {
    return;
  }
  const auto id = ResidentId(aOrder.model, aOrder.adapter);
  const resident_row* known = aTables.residents.Find(id);
  if (known != nullptr && known->version == aOrder.version) {
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
  CountMemory(aTables);
}

void
EndOrder(fake_tables& aTables, order_row& aOrder)
{
  aOrder.isDone = true;
  const auto id = ResidentId(aOrder.model, aOrder.adapter);
  if (aOrder.kind == "unload" || aOrder.kind == "unload_adapter") {
    aTables.residents.Erase(id);
  } else if (resident_row* row = aTables.residents.Find(id)) {
    row->isReady = true;
  }
}

void
RunOrders(fake_tables& aTables, steady_time aNow, fake_outbox& aOutbox)
{
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
TokenEvent(const run_row& aRun, std::uint64_t aIndex)
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
WholeAnswer(const run_row& aRun)
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

// False while tokens are left.
bool
StepStream(run_row& aRun, steady_time aNow, std::chrono::milliseconds aEvery)
{
  aRun.reply->Start(200,
                    { { "Content-Type", "text/event-stream" },
                      { "Bulrush-Attempt", aRun.attempt },
                      { "Bulrush-Resume", std::to_string(aRun.resumedAt) } });
  while (aRun.nextToken <= aNow && aRun.sent < aRun.tokens) {
    if (aRun.isTruncated && aRun.sent >= aRun.tokens / 2) {
      aRun.reply->Abort();
      return true;
    }
    aRun.reply->Write(TokenEvent(aRun, aRun.sent));
    ++aRun.sent;
    aRun.nextToken += aEvery;
  }
  if (aRun.sent < aRun.tokens) {
    return false;
  }
  aRun.reply->Write("data: [DONE]\n\n");
  aRun.reply->Finish();
  return true;
}

// When a whole answer is ready.
steady_time
EndOf(const run_row& aRun, std::chrono::milliseconds aEvery)
{
  return aRun.nextToken + static_cast<std::int64_t>(aRun.tokens) * aEvery;
}

bool
StepWhole(run_row& aRun, steady_time aNow, std::chrono::milliseconds aEvery)
{
  if (aNow < EndOf(aRun, aEvery)) {
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
  aRun.reply->Send(200,
                   fields,
                   aRun.isService
                     ? json{ { "ok", true }, { "run", aRun.id.value } }.dump()
                     : WholeAnswer(aRun));
  return true;
}

bool
Step(run_row& aRun, steady_time aNow, std::chrono::milliseconds aEvery)
{
  if (aNow < aRun.nextToken) {
    return false;
  }
  if (aRun.isLost) {
    aRun.reply->Abort();
    return true;
  }
  return aRun.isStream ? StepStream(aRun, aNow, aEvery)
                       : StepWhole(aRun, aNow, aEvery);
}

void
RunRequests(fake_tables& aTables, steady_time aNow, fake_outbox& aOutbox)
{
  std::vector<run_id> ended;
  const auto every = aTables.self.perToken;
  for (run_row& run : aTables.runs) {
    if (Step(run, aNow, every)) {
      ended.push_back(run.id);
      continue;
    }
    const bool isWholeUnderWay = !run.isStream && run.nextToken <= aNow;
    aOutbox.wake.NoLaterThan(isWholeUnderWay ? EndOf(run, every)
                                             : run.nextToken);
  }
  for (const run_id& id : ended) {
    aTables.runs.Erase(id);
  }
}

json
ResidentList(const fake_tables& aTables)
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
OrderList(const fake_tables& aTables)
{
  json list = json::array();
  const std::size_t count = aTables.orderLog.size();
  const std::size_t from =
    count > kReportedOrders ? count - kReportedOrders : 0;
  for (std::size_t i = from; i < count; ++i) {
    const order_row& row = *aTables.orders.Find(aTables.orderLog[i]);
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
Report(fake_tables& aTables, steady_time aNow)
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
    { "residents", ResidentList(aTables) },
    { "services", self.services },
    { "orders", OrderList(aTables) }
  }.dump();
}

void
RunReport(fake_tables& aTables, steady_time aNow, fake_outbox& aOutbox)
{
  if (aNow >= aTables.nextReport) {
    aTables.nextReport = aNow + kReportEvery;
    if (!aTables.isSilent) {
      aOutbox.reports.push_back(Report(aTables, aNow));
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
  row.id = ResidentId(aModel, "");
  row.model = aModel;
  row.version = aVersion;
  row.bytes = aBytes;
  row.isReady = true;
  aTables.residents.Insert(row);
  CountMemory(aTables);
}

void
RunFake(fake_tables& aTables, steady_time aNow, fake_outbox& aOutbox)
{
  RunTick(kSystems, aTables, aNow, aOutbox);
}

} // namespace bulrush::fake
