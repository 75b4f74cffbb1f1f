/// Residency by demand under bulrush-control: the manifest, announcements and
/// hosts' demand become rows of the residency library; what it decides becomes
/// orders, and news for the hosts.

#include "control/tables.hpp"
#include "observe/observe.hpp"

namespace bulrush::control {
namespace {

constexpr log_part kLog{ "residency" };

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
    case residency::order_answer::eHeld:
      return "held";
    case residency::order_answer::eConflict:
      return "conflict";
    case residency::order_answer::eRefused:
      return "refused";
    case residency::order_answer::eNone:
      return "none";
  }
  return "unknown";
}

/// A host that has asked for nothing for so long is told nothing unasked.
constexpr std::chrono::seconds kHostSilence{ 5 };

void
LogOrder(const control_tables& aTables,
         const residency::send_order& aOrder,
         const engine_order& aSent)
{
  const residency::want_row* want =
    aTables.residency.decisions.wants.Find(residency::WantOf(aOrder.what));
  LogEvent(
    kLog,
    log_level::eInfo,
    "order_sent",
    { { "order", NameOf(aOrder.kind) },
      { "endpoint", aSent.endpoint },
      { "model", aSent.model },
      { "adapter", aSent.adapter },
      { "expected_orders", std::to_string(aSent.expectedOrders) },
      { "term", std::to_string(aSent.fence) },
      { "requests_per_s",
        fmt::format("{:.1f}", want == nullptr ? 0 : want->rate) },
      { "waiting", std::to_string(want == nullptr ? 0 : want->waiting) } });
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

void
TakeManifest(control_tables& aTables)
{
  residency_tables& residency = aTables.residency;
  const fleet_state& fleet = aTables.fleet;
  if (residency.manifestRevision == fleet.manifestRevision) {
    return;
  }
  residency.manifestRevision = fleet.manifestRevision;
  std::vector<residency::model_row> models;
  for (const model_row& model : fleet.declared.models) {
    models.push_back(
      { model.id, IdOf<service_id>(model.service), model.bytes });
  }
  std::vector<residency::adapter_row> adapters;
  for (const adapter_row& adapter : fleet.declared.adapters) {
    adapters.push_back({ adapter.id, adapter.model, adapter.bytes });
  }
  residency::OnManifest(
    residency.decisions, models, adapters, fleet.declared.store.loadsPerSecond);
}

residency::announcement
AnnouncementOf(const control_tables& aTables,
               const endpoint_row& aRow,
               const service_row& aService)
{
  residency::announcement told;
  told.id = aRow.id;
  told.incarnation = aRow.incarnation;
  told.domain = aRow.domain;
  told.pool = aService.id;
  told.memoryBytes = aService.memoryBytes;
  told.adapterPlaces = aService.adapterPlaces;
  told.takesWork = !aRow.isLeaving && !IsOut(aTables.fleet, aRow.domain) &&
                   aTables.fleet.drains.Find(aRow.id) == nullptr;
  for (const resident& held : aRow.residents) {
    told.held.push_back({ held.model, held.adapters });
  }
  told.inMemory = aRow.inMemory;
  told.onDisk = aRow.onDisk;
  return told;
}

void
TakeEngines(control_tables& aTables, steady_time aNow)
{
  residency::tables& decisions = aTables.residency.decisions;
  for (const known_endpoint& known : aTables.endpoints) {
    const service_row* service = ServiceOf(aTables, known.row);
    if (service != nullptr && service->isEngine) {
      residency::OnAnnounced(
        decisions, AnnouncementOf(aTables, known.row, *service), aNow);
    }
  }
  std::vector<endpoint_id> gone;
  for (const residency::engine_row& engine : decisions.engines) {
    if (aTables.endpoints.Find(engine.id) == nullptr) {
      gone.push_back(engine.id);
    }
  }
  for (const endpoint_id id : gone) {
    residency::OnGone(decisions, id);
    aTables.residency.held.Erase(id);
  }
}

void
TakeLeadership(control_tables& aTables, steady_time aNow)
{
  const auto leads = aTables.log.leads ? aTables.log.leads(aNow) : std::nullopt;
  const bool mayOrder = leads && leads->holdsLease;
  const steady_time from =
    leads ? aNow + leads->formerLease + aTables.residency.handOver : aNow;
  if (mayOrder != aTables.residency.decisions.mayOrder) {
    LogEvent(kLog,
             log_level::eInfo,
             mayOrder ? "may_order" : "may_order_no_more",
             { { "term", std::to_string(leads ? leads->term : 0) } });
  }
  residency::OnLeadership(aTables.residency.decisions, mayOrder, from);
}

void
TakeAnswers(control_tables& aTables,
            steady_time aNow,
            residency::outbox& aOutbox)
{
  residency::tables& decisions = aTables.residency.decisions;
  for (const engine_answer& answer : aTables.residency.answers) {
    LogAnswer(aTables, answer);
    if (answer.order) {
      residency::OnAnswer(
        decisions, answer.engine, *answer.order, aNow, aOutbox);
    } else {
      residency::OnState(decisions, answer.engine, answer.state, aNow, aOutbox);
    }
  }
  aTables.residency.answers.clear();
}

// Reports of an engine come from before its orders were carried out; what the
// leader knows of it goes ahead of them.
void
NoteHeld(control_tables& aTables, endpoint_id aEngine)
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
  for (const residency::held_model& held : residency::Serving(*engine)) {
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
  const auto leads = aTables.log.leads(aNow);
  const manifest& declared = aTables.fleet.declared;
  for (const residency::send_order& order : aDecided.orders) {
    const known_endpoint* known = aTables.endpoints.Find(order.endpoint);
    const model_row* model = declared.models.Find(order.what.model);
    const adapter_row* adapter = declared.adapters.Find(order.what.adapter);
    if (known == nullptr || model == nullptr || !leads) {
      continue; // the open order runs into its time limit
    }
    engine_order sent;
    sent.endpoint = known->row.name;
    sent.address = known->row.address;
    sent.kind = order.kind;
    sent.model = model->name;
    sent.adapter = adapter == nullptr ? "" : adapter->name;
    sent.expectedOrders = order.expectedOrders;
    sent.holder = aTables.self.name;
    sent.fence = leads->term;
    LogOrder(aTables, order, sent);
    aOutbox.engineOrders.emplace_back(order.endpoint, std::move(sent));
  }
  for (const residency::ask_engine& ask : aDecided.asks) {
    if (const known_endpoint* known = aTables.endpoints.Find(ask.endpoint)) {
      aOutbox.questions.emplace_back(ask.endpoint,
                                     engine_question{ known->row.name,
                                                      known->row.address,
                                                      known->row.services[0] });
    }
  }
}

// Every host that asks hears of each change once; a host that started anew
// hears of all.
void
TellHosts(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  residency_tables& residency = aTables.residency;
  residency.hosts.EraseIf([&](const asking_host& aHost) {
    return aHost.heardAt + kHostSilence <= aNow;
  });
  for (asking_host& host : residency.hosts) {
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

} // namespace

void
TakeDemand(control_tables& aTables,
           const received& aInput,
           const wire::wanted_models& aWanted,
           steady_time aNow)
{
  residency_tables& residency = aTables.residency;
  const auto id = IdOf<host_id>(aInput.peer);
  asking_host* host = residency.hosts.Find(id);
  if (host == nullptr) {
    asking_host row;
    row.id = id;
    row.peer = aInput.peer;
    host = &residency.hosts.Insert(std::move(row));
  }
  if (host->incarnation != aInput.message.incarnation) {
    host->incarnation = aInput.message.incarnation;
    host->sentSerial = 0;
  }
  host->heardAt = aNow;
  for (const wire::wanted_model& wanted : aWanted.models) {
    residency::OnDemand(residency.decisions,
                        { wanted.model, wanted.adapter },
                        wanted.requests,
                        wanted.waiting,
                        aNow);
  }
}

void
RunResidents(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  residency_tables& residency = aTables.residency;
  if (!residency.isUsed || aTables.fleet.manifestRevision == 0) {
    return;
  }
  TakeManifest(aTables);
  TakeLeadership(aTables, aNow);
  TakeEngines(aTables, aNow);
  residency::outbox decided;
  TakeAnswers(aTables, aNow, decided);
  residency::RunResidency(residency.decisions, aNow, decided);
  for (const endpoint_id engine : decided.changed) {
    NoteHeld(aTables, engine);
  }
  if (residency.decisions.mayOrder) {
    SendOrders(aTables, decided, aNow, aOutbox);
    TellHosts(aTables, aNow, aOutbox);
    aOutbox.wake.NoLaterThan(decided.wake.at);
  }
}

} // namespace bulrush::control
