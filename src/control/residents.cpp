/// Residency by demand in bulrush-control: copies the manifest, announcements
/// and demand of hosts into the tables of the residency library, sends its
/// orders to engines, and publishes their effects to the hosts.

#include "control/tables.hpp"
#include "fleet/target_spread.hpp"
#include "observe/observe.hpp"

#include <algorithm>

namespace bulrush::control {
namespace {

constexpr log_component kLog{ "residency" };

const char*
NameOf(residency::order_kind aKind)
{
  switch (aKind) {
    case residency::order_kind::eLoadModel:
      return "load_model";
    case residency::order_kind::eUnloadModel:
      return "unload_model";
    case residency::order_kind::eLoadAdapter:
      return "load_adapter";
    case residency::order_kind::eUnloadAdapter:
      return "unload_adapter";
  }
  return "unknown";
}

const char*
NameOf(residency::order_answer aAnswer)
{
  switch (aAnswer) {
    case residency::order_answer::eAccepted:
      return "accepted";
    case residency::order_answer::eNoChange:
      return "held";
    case residency::order_answer::eConflict:
      return "conflict";
    case residency::order_answer::eRefused:
      return "refused";
    case residency::order_answer::eNoAnswer:
      return "none";
  }
  return "unknown";
}

/// Shortest interval between rounds for announcements and demand; shorter than
/// the load of an adapter, which takes 12 ms.
constexpr std::chrono::milliseconds kRoundInterval{ 10 };

/// Updates stop for hosts that have reported no demand for this long.
constexpr std::chrono::seconds kHostTimeout{ 5 };

void
LogOrder(const control_tables& aTables,
         const residency::send_order& aOrder,
         const engine_order& aSent)
{
  const residency::artifact_demand_row* demand =
    aTables.residency.decisions.demands.Find(
      residency::ArtifactDemandIdOf(aOrder.artifact));
  LogEvent(
    kLog,
    log_level::eInfo,
    "order_sent",
    { { "order", NameOf(aOrder.kind) },
      { "endpoint", aSent.endpoint },
      { "model", aSent.model },
      { "adapter", aSent.adapter },
      { "expected_orders", std::to_string(aSent.expectedOrders) },
      { "term", std::to_string(aSent.fencingNumber) },
      { "requests_per_s",
        fmt::format("{:.1f}", demand == nullptr ? 0 : demand->rate) },
      { "waiting", std::to_string(demand == nullptr ? 0 : demand->waiting) } });
}

void
LogAnswer(const control_tables& aTables, const engine_answer& aAnswer)
{
  const known_endpoint* known = aTables.endpoints.Find(aAnswer.engine);
  const std::string name = known == nullptr ? "" : known->row.name;
  if (aAnswer.order) {
    LogEvent(kLog,
             log_level::eInfo,
             "order_answered",
             { { "endpoint", name }, { "answer", NameOf(*aAnswer.order) } });
  } else if (aAnswer.state) {
    LogEvent(kLog,
             log_level::eInfo,
             "engine_state",
             { { "endpoint", name },
               { "orders", std::to_string(aAnswer.state->orderCount) },
               { "busy", aAnswer.state->isBusy ? "yes" : "no" },
               { "models", std::to_string(aAnswer.state->held.size()) } });
  }
}

const service_row*
ServiceOf(const control_tables& aTables, const endpoint_row& aRow)
{
  for (const std::string& service : aRow.services) {
    const service_row* row =
      aTables.fleet.declared.services.Find(IdOf<service_id>(service));
    if (row != nullptr) {
      return row;
    }
  }
  return nullptr;
}

// The names of what is neither declared nor held any more are dropped.
void
SyncNames(residency_tables& aResidency, const manifest& aDeclared)
{
  const residency::tables& decisions = aResidency.decisions;
  aResidency.modelNames.EraseIf([&](const model_name_row& aRow) {
    return decisions.withdrawnModels.Find(aRow.id) == nullptr;
  });
  aResidency.adapterNames.EraseIf([&](const adapter_name_row& aRow) {
    return decisions.withdrawnAdapters.Find(aRow.id) == nullptr;
  });
  for (const model_row& model : aDeclared.models) {
    aResidency.modelNames.Insert({ model.id, model.name });
  }
  for (const adapter_row& adapter : aDeclared.adapters) {
    aResidency.adapterNames.Insert({ adapter.id, adapter.name });
  }
}

void
SyncManifest(control_tables& aTables)
{
  residency_tables& residency = aTables.residency;
  const fleet_state& fleet = aTables.fleet;
  if (residency.manifestRevision == fleet.manifestRevision) {
    return;
  }
  residency.manifestRevision = fleet.manifestRevision;
  const service_set byTarget =
    ServicesByTarget(fleet.declared, residency.targetSpread);
  std::vector<residency::model_row> models;
  for (const model_row& model : fleet.declared.models) {
    const auto service = IdOf<service_id>(model.service);
    models.push_back(
      { model.id, service, model.bytes, byTarget.contains(service) });
  }
  std::vector<residency::adapter_row> adapters;
  for (const adapter_row& adapter : fleet.declared.adapters) {
    adapters.push_back({ adapter.id, adapter.model, adapter.bytes });
  }
  residency::OnManifest(
    residency.decisions, models, adapters, fleet.declared.store.loadsPerSecond);
  SyncNames(residency, fleet.declared);
}

residency::announcement
AnnouncementOf(const control_tables& aTables,
               const endpoint_row& aRow,
               const service_row& aService)
{
  residency::announcement announced;
  announced.id = aRow.id;
  announced.incarnation = aRow.incarnation;
  announced.domain = aRow.domain;
  announced.pool = aService.id;
  announced.memoryBytes = aService.memoryBytes;
  announced.adapterCapacity = aService.adapterCapacity;
  announced.acceptsRequests = !aRow.isLeaving &&
                              !IsOut(aTables.fleet, aRow.domain) &&
                              aTables.fleet.drains.Find(aRow.id) == nullptr;
  for (const resident& held : aRow.residents) {
    announced.held.push_back({ held.model, held.adapters });
  }
  announced.inMemory = aRow.inMemory;
  announced.onDisk = aRow.onDisk;
  return announced;
}

void
SyncEngines(control_tables& aTables, steady_time aNow)
{
  residency::tables& decisions = aTables.residency.decisions;
  for (const known_endpoint& known : aTables.endpoints) {
    const service_row* service = ServiceOf(aTables, known.row);
    if (service != nullptr && service->isEngine) {
      residency::OnAnnounced(
        decisions, AnnouncementOf(aTables, known.row, *service), aNow);
    }
  }
  std::vector<endpoint_id> removed;
  for (const residency::engine_row& engine : decisions.engines) {
    if (aTables.endpoints.Find(engine.id) == nullptr) {
      removed.push_back(engine.id);
    }
  }
  for (const endpoint_id id : removed) {
    residency::OnEngineRemoved(decisions, id);
    aTables.residency.held.Erase(id);
  }
}

void
SyncLeadership(control_tables& aTables, steady_time aNow)
{
  const auto leaderTerm =
    aTables.log.leaderTerm ? aTables.log.leaderTerm(aNow) : std::nullopt;
  const bool mayOrder = leaderTerm && leaderTerm->holdsLease;
  const steady_time from = leaderTerm ? aNow + leaderTerm->previousLease +
                                          aTables.residency.orderHandOver
                                      : aNow;
  if (mayOrder != aTables.residency.decisions.mayOrder) {
    LogEvent(kLog,
             log_level::eInfo,
             mayOrder ? "may_order" : "may_order_no_more",
             { { "term", std::to_string(leaderTerm ? leaderTerm->term : 0) } });
    aTables.residency.roundDue = aNow;
  }
  residency::OnLeadership(aTables.residency.decisions, mayOrder, from);
}

void
HandleAnswers(control_tables& aTables,
              steady_time aNow,
              residency::outbox& aOutbox)
{
  residency::tables& decisions = aTables.residency.decisions;
  for (const engine_answer& answer : aTables.residency.answers) {
    LogAnswer(aTables, answer);
    if (answer.order) {
      residency::HandleOrderAnswer(
        decisions, answer.engine, *answer.order, aNow, aOutbox);
    } else {
      residency::HandleEngineState(
        decisions, answer.engine, answer.state, aNow, aOutbox);
    }
  }
  aTables.residency.answers.clear();
}

// An engine's reports may predate the completion of its orders, so hosts use
// the leader's view of what it holds in preference to its reports.
void
UpdateHeld(control_tables& aTables, endpoint_id aEngine)
{
  const known_endpoint* known = aTables.endpoints.Find(aEngine);
  const residency::engine_row* engine =
    aTables.residency.decisions.engines.Find(aEngine);
  if (known == nullptr || engine == nullptr) {
    return;
  }
  held_row row;
  row.id = aEngine;
  row.serial = ++aTables.residency.serial;
  row.held.endpoint = aEngine;
  row.held.incarnation = known->row.incarnation;
  for (const residency::held_model& held : residency::ServedModels(*engine)) {
    row.held.residents.push_back({ held.model, "", held.adapters });
  }
  aTables.residency.held.Insert(std::move(row));
}

void
SendOrders(const control_tables& aTables,
           const residency::outbox& aDecided,
           steady_time aNow,
           control_outbox& aOutbox)
{
  const auto leaderTerm = aTables.log.leaderTerm(aNow);
  const residency_tables& residency = aTables.residency;
  for (const residency::send_order& order : aDecided.orders) {
    const known_endpoint* known = aTables.endpoints.Find(order.endpoint);
    const model_name_row* model =
      residency.modelNames.Find(order.artifact.model);
    const adapter_name_row* adapter =
      residency.adapterNames.Find(order.artifact.adapter);
    const bool isNamed =
      model != nullptr && (!order.artifact.adapter || adapter != nullptr);
    if (known == nullptr || !isNamed || !leaderTerm) {
      continue; // the open order times out
    }
    engine_order sent;
    sent.endpoint = known->row.name;
    sent.address = known->row.address;
    sent.kind = order.kind;
    sent.model = model->name;
    sent.adapter = adapter == nullptr ? "" : adapter->name;
    sent.expectedOrders = order.expectedOrders;
    sent.holder = aTables.self.name;
    sent.fencingNumber = leaderTerm->term;
    LogOrder(aTables, order, sent);
    aOutbox.engineOrders.emplace_back(order.endpoint, std::move(sent));
  }
  for (const residency::query_engine& query : aDecided.queries) {
    if (const known_endpoint* known = aTables.endpoints.Find(query.endpoint)) {
      aOutbox.stateQueries.emplace_back(query.endpoint,
                                        engine_query{ known->row.name,
                                                      known->row.address,
                                                      known->row.services[0] });
    }
  }
}

// Sends each change once to every host that reports demand, and all rows to a
// host that has restarted.
void
PublishHeld(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  residency_tables& residency = aTables.residency;
  residency.demandHosts.EraseIf([&](const demand_host& aHost) {
    return aHost.lastSeen + kHostTimeout <= aNow;
  });
  for (demand_host& host : residency.demandHosts) {
    if (host.sentSerial == residency.serial) {
      continue;
    }
    wire::held_update update;
    for (const held_row& row : residency.held) {
      if (row.serial > host.sentSerial) {
        update.engines.push_back(row.held);
      }
    }
    host.sentSerial = residency.serial;
    aOutbox.messages.push_back({ host.peer, "", std::move(update) });
  }
}

// Answers of engines and due times, of which there are few, don't wait for the
// interval.
bool
IsRoundDue(const residency_tables& aResidency, steady_time aNow)
{
  return aNow >= std::min(aResidency.nextRound, aResidency.roundDue) ||
         !aResidency.answers.empty();
}

void
RunRound(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  residency_tables& residency = aTables.residency;
  ++residency.rounds;
  residency.nextRound = aNow + kRoundInterval;
  SyncEngines(aTables, aNow);
  residency::outbox decided;
  HandleAnswers(aTables, aNow, decided);
  residency::RunResidency(residency.decisions, aNow, decided);
  residency.roundDue = decided.wake.at;
  for (const endpoint_id engine : decided.changed) {
    UpdateHeld(aTables, engine);
  }
  if (residency.decisions.mayOrder) {
    SendOrders(aTables, decided, aNow, aOutbox);
    PublishHeld(aTables, aNow, aOutbox);
  }
}

} // namespace

void
HandleDemand(control_tables& aTables,
             const received_message& aInput,
             const wire::demand_report& aReport,
             steady_time aNow)
{
  residency_tables& residency = aTables.residency;
  const auto id = IdOf<host_id>(aInput.peer);
  demand_host* host = residency.demandHosts.Find(id);
  if (host == nullptr) {
    demand_host row;
    row.id = id;
    row.peer = aInput.peer;
    host = &residency.demandHosts.Insert(std::move(row));
  }
  if (host->incarnation != aInput.message.incarnation) {
    host->incarnation = aInput.message.incarnation;
    host->sentSerial = 0;
  }
  host->lastSeen = aNow;
  for (const wire::model_demand& demand : aReport.models) {
    residency::OnDemand(residency.decisions,
                        { demand.model, demand.adapter },
                        demand.requests,
                        demand.waiting,
                        aNow);
  }
}

// A round reads every engine, model and demand. One for each message would take
// a large fraction of the leader's time with many hosts, so the input of a tick
// soon after a round is left to the next one. Leadership is checked in every
// tick: nothing is sent after its loss.
void
RunResidents(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  residency_tables& residency = aTables.residency;
  if (!residency.isEnabled || aTables.fleet.manifestRevision == 0 ||
      aTables.stop) {
    return;
  }
  SyncManifest(aTables);
  SyncLeadership(aTables, aNow);
  if (IsRoundDue(residency, aNow)) {
    RunRound(aTables, aNow, aOutbox);
  } else {
    residency.roundDue = std::min(residency.roundDue, residency.nextRound);
  }
  if (residency.decisions.mayOrder) {
    aOutbox.wake.NoLaterThan(residency.roundDue);
  }
}

} // namespace bulrush::control
