#include "apps/fake_tables.hpp"
#include "json/json.hpp"

#include <stdexcept>

namespace bulrush::fake {
namespace {

using nlohmann::json;

const std::vector<net::http_field> kJson = { { "Content-Type",
                                               "application/json" } };

json
ParseBody(const std::string& aText)
{
  last_reason reason;
  auto body = ParseJson(aText, reason);
  if (!body) {
    throw std::invalid_argument(reason.text);
  }
  return std::move(*body);
}

// Consumes one use of a fault of this kind; nullopt if none is active.
std::optional<fault_row>
UseFault(fake_tables& aTables, const std::string& aKind)
{
  for (fault_row& fault : aTables.faults) {
    if (fault.kind == aKind && fault.remaining > 0) {
      const fault_row used = fault;
      if (--fault.remaining == 0) {
        aTables.faults.Erase(used.id);
      }
      return used;
    }
  }
  return std::nullopt;
}

void
HandleFault(fake_tables& aTables, const json& aBody, steady_time aNow)
{
  const std::string kind = aBody.at("fault").get<std::string>();
  const std::chrono::milliseconds duration(aBody.value("ms", 0));
  if (kind == "silent") {
    aTables.isSilent = aBody.value("on", true);
  } else if (kind == "leave") {
    aTables.isLeaving = true;
    aTables.nextReport = aNow;
  } else if (kind == "cold") {
    aTables.coldUntil = aNow + duration;
    aTables.nextReport = aNow;
  } else if (kind == "restart") {
    ++aTables.self.incarnation;
    aTables.sequence = 0;
    aTables.coldUntil = aNow + duration;
    aTables.nextReport = aNow;
  } else if (kind == "clear") {
    aTables.faults.Clear();
    aTables.isSilent = false;
  } else {
    fault_row row;
    row.id = { ++aTables.lastFaultId };
    row.kind = kind;
    row.remaining = aBody.value("count", std::uint64_t{ 1 });
    row.delay = duration;
    aTables.faults.Insert(row);
  }
}

json
FormatStats(const fake_tables& aTables)
{
  const fake_counters& counters = aTables.counters;
  json residents = json::array();
  for (const resident_row& row : aTables.residents) {
    residents.push_back({ { "model", row.model },
                          { "version", row.version },
                          { "adapter", row.adapter },
                          { "bytes", row.bytes },
                          { "ready", row.isReady } });
  }
  return { { "runs", counters.runs },
           { "runs_by_tag", counters.runsByTag },
           { "cancelled", counters.cancelled },
           { "refused", counters.refused },
           { "keys_seen", counters.keysSeen },
           { "running", aTables.runs.Size() },
           { "at_once_peak", counters.concurrencyPeak },
           { "memory_peak", counters.memoryPeak },
           { "memory_bytes", aTables.self.memoryBytes },
           { "orders", counters.orders },
           { "residents", residents } };
}

// Contains the sequence number of the latest report sent before this answer.
std::string
FormatOrderAnswer(const fake_tables& aTables)
{
  return json{
    { "incarnation", aTables.self.incarnation },
    { "sequence", aTables.sequence }
  }.dump();
}

void
HandleOrder(fake_tables& aTables,
            const json& aBody,
            net::http_reply& aReply,
            steady_time aNow)
{
  if (UseFault(aTables, "lose_order")) {
    aReply.Abort();
    return;
  }
  ++aTables.counters.orders;
  order_row row;
  row.id = { std::stoull(aBody.at("order").get<std::string>(), nullptr, 16) };
  row.fencing = aBody.at("fencing").get<std::uint64_t>();
  const auto answer = [&aTables, &aReply](int aStatus) {
    aReply.Send(aStatus, kJson, FormatOrderAnswer(aTables));
  };
  // Without fencing checks the endpoint executes every copy of an order.
  const order_row* known = aTables.orders.Find(row.id);
  if (known != nullptr && aTables.self.checksFencing) {
    answer(known->isDone ? 200 : 202);
    return;
  }
  const std::uint64_t expectedIncarnation =
    aBody.value("incarnation", aTables.self.incarnation);
  if (aTables.self.checksFencing &&
      (row.fencing < aTables.highestFencing ||
       expectedIncarnation != aTables.self.incarnation)) {
    answer(409);
    return;
  }
  aTables.highestFencing = std::max(aTables.highestFencing, row.fencing);
  row.kind = aBody.at("kind").get<std::string>();
  row.model = aBody.value("model", "");
  row.version = aBody.value("version", "");
  row.adapter = aBody.value("adapter", "");
  row.bytes = aBody.value("bytes", std::uint64_t{ 0 });
  if (const auto delayed = UseFault(aTables, "hold_order")) {
    row.doneAt = aNow + delayed->delay;
    aTables.delayedOrders.Insert({ row.id, row, aNow + delayed->delay });
    aReply.Abort();
    return;
  }
  const bool isLost = UseFault(aTables, "lose_order_answer").has_value();
  row.doneAt = aNow + aTables.self.loadTime;
  if (const auto late = UseFault(aTables, "late_order")) {
    row.doneAt += late->delay;
  }
  aTables.orders.Insert(row);
  aTables.arrivedOrders.push_back(row.id);
  if (isLost) {
    aReply.Abort();
  } else {
    answer(202);
  }
}

std::string
TagOf(const net::http_request& aRequest, const json& aBody)
{
  if (aBody.is_object() && aBody.contains("tag") && aBody["tag"].is_string()) {
    return aBody["tag"].get<std::string>();
  }
  return aRequest.path;
}

std::uint32_t
CurrentSlots(const fake_tables& aTables, steady_time aNow)
{
  return aNow < aTables.coldUntil ? aTables.self.coldSlots : aTables.self.slots;
}

bool
Refuse(fake_tables& aTables,
       const std::string& aAttempt,
       net::http_reply& aReply)
{
  ++aTables.counters.refused;
  aReply.Send(503,
              { { "Content-Type", "application/json" },
                { "Bulrush-Attempt", aAttempt },
                { "Bulrush-Not-Run", "true" } },
              "{\"error\":{\"message\":\"overloaded\"}}");
  return false;
}

// The run is counted before it is answered: tests use the count to check how
// often a request was run, also when the answer is lost.
run_row&
BeginRun(fake_tables& aTables,
         const net::http_request& aRequest,
         std::shared_ptr<net::http_reply> aReply,
         const json& aBody,
         steady_time aNow)
{
  run_row row;
  row.id = { ++aTables.lastRunId };
  if (const auto* attempt =
        net::FindField(aRequest.fields, "Bulrush-Attempt")) {
    row.attempt = *attempt;
  }
  row.reply = std::move(aReply);
  row.nextToken = aNow + aTables.self.firstToken;
  if (const auto late = UseFault(aTables, "late")) {
    row.nextToken += late->delay;
  }
  row.isLost = UseFault(aTables, "lose_answer").has_value();
  row.isTruncated = UseFault(aTables, "truncate").has_value();
  if (UseFault(aTables, "cross")) {
    row.attempt += "0";
  }
  row.tag = TagOf(aRequest, aBody);
  ++aTables.counters.runs;
  ++aTables.counters.runsByTag[row.tag];
  run_row& stored = aTables.runs.Insert(std::move(row));
  aTables.counters.concurrencyPeak = std::max<std::uint64_t>(
    aTables.counters.concurrencyPeak, aTables.runs.Size());
  return stored;
}

void
HandleRun(fake_tables& aTables,
          const net::http_request& aRequest,
          std::shared_ptr<net::http_reply> aReply,
          steady_time aNow)
{
  if (net::FindField(aRequest.fields, "Authorization") != nullptr) {
    ++aTables.counters.keysSeen;
  }
  const auto* attempt = net::FindField(aRequest.fields, "Bulrush-Attempt");
  const bool isFull =
    aTables.runs.Size() >= CurrentSlots(aTables, aNow) + aTables.self.slots;
  if (UseFault(aTables, "refuse") || isFull) {
    Refuse(aTables, attempt == nullptr ? "" : *attempt, *aReply);
    return;
  }
  last_reason ignored; // services take any body
  const json body = ParseJson(aRequest.body, ignored).value_or(json());
  run_row& run = BeginRun(aTables, aRequest, std::move(aReply), body, aNow);
  run.isService = !aRequest.path.starts_with("/v1/");
  if (!run.isService && body.is_object()) {
    run.model = body.value("model", "");
    run.isStream = body.value("stream", false);
    run.tokens = body.value("max_tokens", std::uint64_t{ 16 });
    if (const auto* resume =
          net::FindField(aRequest.fields, "Bulrush-Resume")) {
      run.resumedAtToken = std::stoull(*resume);
      run.sent = run.resumedAtToken;
    }
  }
  run.reply->onDisconnected = [&aTables, id = run.id] {
    ++aTables.counters.cancelled;
    aTables.runs.Erase(id);
  };
}

} // namespace

void
HandleRequest(fake_tables& aTables,
              const net::http_request& aRequest,
              std::shared_ptr<net::http_reply> aReply,
              steady_time aNow)
{
  try {
    if (aRequest.path == "/stats") {
      aReply->Send(200, kJson, FormatStats(aTables).dump());
    } else if (aRequest.path == "/faults") {
      HandleFault(aTables, ParseBody(aRequest.body), aNow);
      aReply->Send(200, kJson, "{\"ok\":true}");
    } else if (aRequest.path == "/orders") {
      HandleOrder(aTables, ParseBody(aRequest.body), *aReply, aNow);
    } else {
      HandleRun(aTables, aRequest, std::move(aReply), aNow);
    }
  } catch (const std::exception& error) {
    aReply->Send(400, kJson, json{ { "error", error.what() } }.dump());
  }
}

} // namespace bulrush::fake
