#include "control/orders.hpp"

#include "control/tables.hpp"
#include "observe/observe.hpp"
#include "json/json.hpp"

namespace bulrush::control {
namespace {

using nlohmann::json;

constexpr log_component kLog{ "orders" };
constexpr int kStatusAlreadyDone = 200;
constexpr int kStatusAccepted = 202;
constexpr int kStatusStaleFencing = 409;
constexpr int kStatusDoesNotFit = 507;
/// Placement's lease is extended to just after this tick, so that each tick has
/// to confirm leadership before its decisions are sent.
constexpr std::chrono::milliseconds kTickLease{ 1 };

std::string
NameOf(const order_tables& aTables, std::uint64_t aId)
{
  const wire::artifact_name* name = aTables.names.Find({ aId });
  return name == nullptr ? "" : name->text;
}

std::uint64_t
BytesOf(const order_tables& aTables, std::uint64_t aId)
{
  const wire::artifact_name* name = aTables.names.Find({ aId });
  return name == nullptr ? 0 : name->bytes;
}

std::uint64_t
VersionId(const std::string& aVersion)
{
  return StableHash(aVersion);
}

placement::model_row
ToPlacement(const model_row& aModel)
{
  placement::model_row row;
  row.id = aModel.id;
  row.version = VersionId(aModel.version);
  row.bytes = aModel.bytes;
  row.deadline = aModel.deadline;
  row.minimumCopies = aModel.minCopies;
  return row;
}

// Adapters have no version in the manifest; zero stands for that.
placement::adapter_row
ToPlacement(const adapter_row& aAdapter)
{
  return { aAdapter.id, aAdapter.model, 0, aAdapter.bytes };
}

std::vector<placement::model_row>
ModelRows(const manifest& aManifest)
{
  std::vector<placement::model_row> rows;
  rows.reserve(aManifest.models.Size());
  for (const model_row& model : aManifest.models) {
    rows.push_back(ToPlacement(model));
  }
  return rows;
}

std::vector<placement::adapter_row>
AdapterRows(const manifest& aManifest)
{
  std::vector<placement::adapter_row> rows;
  rows.reserve(aManifest.adapters.Size());
  for (const adapter_row& adapter : aManifest.adapters) {
    rows.push_back(ToPlacement(adapter));
  }
  return rows;
}

void
SyncManifest(control_tables& aTables)
{
  order_tables& orders = aTables.orders;
  const fleet_state& fleet = aTables.fleet;
  if (orders.manifestRevision == fleet.manifestRevision) {
    return;
  }
  orders.manifestRevision = fleet.manifestRevision;
  AddNames(orders, fleet.declared);
  placement::OnManifest(
    orders.placement, ModelRows(fleet.declared), AdapterRows(fleet.declared));
  const store_limits& store = fleet.declared.store;
  orders.placement.pacing =
    placement::StorePacing(store.loadsPerSecond,
                           store.loadsAtFullSpeed,
                           store.adapterLoadsAtFullSpeed);
}

void
SyncDomains(control_tables& aTables)
{
  placement::tables& state = aTables.orders.placement;
  for (const domain_state_row& domain : aTables.fleet.domains) {
    const bool isKnownOut = state.takenOut.Find(domain.id) != nullptr;
    if (domain.isOut != isKnownOut) {
      placement::OnDomainTakenOut(state, domain.id, domain.isOut);
    }
  }
}

// An order to unload needs the name of the model or adapter. Without it
// placement must not choose the resident for eviction; its memory still counts
// as used.
placement::resident_state
StateOf(const order_tables& aTables, const placement::artifact& aArtifact)
{
  const bool isNamed =
    !NameOf(aTables, aArtifact.model.value).empty() &&
    (!aArtifact.adapter || !NameOf(aTables, aArtifact.adapter.value).empty());
  return isNamed ? placement::resident_state::eReady
                 : placement::resident_state::eUnloading;
}

std::vector<placement::reported_resident>
ResidentsOf(order_tables& aTables, const endpoint_row& aEndpoint)
{
  std::vector<placement::reported_resident> residents;
  for (const resident& held : aEndpoint.residents) {
    const std::uint64_t version = VersionId(held.version);
    if (aTables.names.Find({ version }) == nullptr) {
      aTables.names.Insert({ { version }, held.version, 0 });
    }
    const placement::artifact model{ held.model, {}, version };
    residents.push_back(
      { model, BytesOf(aTables, held.model.value), StateOf(aTables, model) });
    for (const adapter_id& adapter : held.adapters) {
      const placement::artifact adapterArtifact{ held.model, adapter, 0 };
      residents.push_back({ adapterArtifact,
                            BytesOf(aTables, adapter.value),
                            StateOf(aTables, adapterArtifact) });
    }
  }
  return residents;
}

// An endpoint reports several past orders. Placement needs the outcome of the
// one that is still open, even if others were reported after it.
const order_report*
NamedOrder(const placement::tables& aState, const endpoint_row& aEndpoint)
{
  for (const order_report& named : aEndpoint.orders) {
    const placement::order_row* order = aState.orders.Find(named.order);
    if (order != nullptr && order->endpoint == aEndpoint.id &&
        order->state != placement::order_state::eDone &&
        order->state != placement::order_state::eVoid) {
      return &named;
    }
  }
  return aEndpoint.orders.empty() ? nullptr : &aEndpoint.orders.back();
}

placement::report
ReportOf(order_tables& aTables, const endpoint_row& aEndpoint)
{
  placement::report report;
  report.endpoint = aEndpoint.id;
  report.incarnation = aEndpoint.incarnation;
  report.sequence = aEndpoint.sequence;
  report.memoryUsed = aEndpoint.usedBytes;
  report.residents = ResidentsOf(aTables, aEndpoint);
  if (const auto* named = NamedOrder(aTables.placement, aEndpoint)) {
    report.lastOrder = named->order;
    report.lastOutcome = named->isDone ? placement::order_state::eDone
                                       : placement::order_state::eVoid;
  }
  return report;
}

void
SyncEndpoint(control_tables& aTables, const endpoint_row& aEndpoint)
{
  order_tables& orders = aTables.orders;
  const placement::engine_row* known =
    orders.placement.engines.Find(aEndpoint.id);
  if (known == nullptr || known->incarnation < aEndpoint.incarnation) {
    placement::OnAnnounced(orders.placement,
                           { aEndpoint.id,
                             aEndpoint.domain,
                             aEndpoint.incarnation,
                             aEndpoint.memoryBytes,
                             aEndpoint.checksFencing },
                           aEndpoint.lastSeen);
    known = orders.placement.engines.Find(aEndpoint.id);
  }
  const bool isDraining =
    aEndpoint.isLeaving || aTables.fleet.drains.Find(aEndpoint.id) != nullptr;
  if (known->isDraining != isDraining) {
    placement::OnDraining(orders.placement, aEndpoint.id, isDraining);
  }
  const bool isNewer = !known->hasReported ||
                       known->incarnation != aEndpoint.incarnation ||
                       known->reportSequence < aEndpoint.sequence;
  if (isNewer) {
    placement::OnReport(
      orders.placement, ReportOf(orders, aEndpoint), aEndpoint.lastSeen);
  }
}

void
SyncEndpoints(control_tables& aTables)
{
  for (const known_endpoint& known : aTables.endpoints) {
    if (known.row.memoryBytes > 0) {
      SyncEndpoint(aTables, known.row);
    }
  }
}

// An engine's answer holds its incarnation and the sequence of its last report
// before the order. Without these the answer proves nothing, and the copy of
// the order may still take effect.
void
HandleAnswer(order_tables& aTables, const order_answer& aAnswer)
{
  if (!aAnswer.isSent) {
    placement::OnOrderNotSent(aTables.placement, aAnswer.order);
    return;
  }
  last_reason reason;
  const auto parsed = ParseJson(aAnswer.body, reason);
  if (!parsed) {
    LogWarning(kLog, "Ignored an engine's answer: {}", Describe(reason));
    return;
  }
  const json& body = *parsed;
  if (!body.is_object() || !body.contains("incarnation") ||
      !body.contains("sequence") ||
      !body.at("incarnation").is_number_unsigned() ||
      !body.at("sequence").is_number_unsigned()) {
    return;
  }
  const auto incarnation = body.at("incarnation").get<std::uint64_t>();
  const auto sequence = body.at("sequence").get<std::uint64_t>();
  if (aAnswer.status == kStatusAccepted) {
    placement::OnOrderAccepted(aTables.placement, aAnswer.order, incarnation);
  } else if (aAnswer.status == kStatusAlreadyDone ||
             aAnswer.status == kStatusStaleFencing ||
             aAnswer.status == kStatusDoesNotFit) {
    placement::OnOrderAnswered(
      aTables.placement, aAnswer.order, incarnation, sequence + 1);
  }
}

void
HandleAnswers(order_tables& aTables)
{
  for (const order_answer& answer : aTables.answers) {
    HandleAnswer(aTables, answer);
  }
  aTables.answers.clear();
}

void
SyncLeadership(control_tables& aTables, steady_time aNow)
{
  placement::tables& state = aTables.orders.placement;
  // Before the first manifest no model is declared, and placement would unload
  // all of them.
  const bool isDeclared = aTables.fleet.manifestRevision > 0;
  const auto leaderTerm = isDeclared && aTables.log.leaderTerm
                            ? aTables.log.leaderTerm(aNow)
                            : std::nullopt;
  if (!leaderTerm) {
    if (state.leader.isLeader) {
      placement::OnDeposed(state);
    }
    return;
  }
  if (!state.leader.isLeader || state.leader.term != leaderTerm->term) {
    placement::OnElected(
      state, leaderTerm->term, aNow, aNow + leaderTerm->previousLease, aNow);
  }
  // There is one leader per term, so after a lapsed lease is renewed in the
  // same term, the state of this process is still valid.
  if (leaderTerm->holdsLease) {
    placement::OnLeaseRenewed(state, aNow + kTickLease);
  }
}

std::vector<wire::artifact_name>
NamesOf(const order_tables& aTables, const placement::artifact& aArtifact)
{
  std::vector<wire::artifact_name> names;
  for (const std::uint64_t id :
       { aArtifact.model.value, aArtifact.adapter.value, aArtifact.version }) {
    if (const wire::artifact_name* name = aTables.names.Find({ id })) {
      names.push_back(*name);
    }
  }
  return names;
}

template<class change>
bool
Propose(control_tables& aTables,
        const change& aChange,
        std::vector<wire::artifact_name> aNames)
{
  last_reason reason;
  return aTables.log
    .propose(wire::EncodeOrderEntry({ aChange, std::move(aNames) }), reason)
    .has_value();
}

void
ProposeAll(control_tables& aTables, const placement::outbox& aOutbox)
{
  placement::tables& state = aTables.orders.placement;
  for (const placement::commit_order& change : aOutbox.commits) {
    if (!Propose(
          aTables, change, NamesOf(aTables.orders, change.order.target))) {
      placement::OnCommitFailed(state, change.order.id);
    }
  }
  for (const placement::settle_order& change : aOutbox.settlements) {
    if (!Propose(aTables, change, {})) {
      placement::OnCommitFailed(state, change.id);
    }
  }
  for (const placement::close_order& change : aOutbox.closures) {
    if (!Propose(aTables, change, {})) {
      placement::OnCommitFailed(state, change.id);
    }
  }
}

const char*
KindName(placement::order_kind aKind)
{
  switch (aKind) {
    case placement::order_kind::eLoadModel:
      return "load";
    case placement::order_kind::eUnloadModel:
      return "unload";
    case placement::order_kind::eLoadAdapter:
      return "load_adapter";
    case placement::order_kind::eUnloadAdapter:
      return "unload_adapter";
    case placement::order_kind::eSetRole:
      break;
  }
  return "role";
}

std::string
HexOf(order_id aOrder)
{
  std::array<char, 17> text{};
  std::snprintf(text.data(),
                text.size(),
                "%llx",
                static_cast<unsigned long long>(aOrder.value));
  return text.data();
}

std::string
BodyOf(const order_tables& aTables, const placement::order_row& aOrder)
{
  return json{
    { "order", HexOf(aOrder.id) },
    { "fencing", aOrder.fencingNumber },
    { "incarnation", aOrder.incarnation },
    { "kind", KindName(aOrder.kind) },
    { "model", NameOf(aTables, aOrder.target.model.value) },
    { "version", NameOf(aTables, aOrder.target.version) },
    { "adapter", NameOf(aTables, aOrder.target.adapter.value) },
    { "bytes", aOrder.bytes },
    { "role", aOrder.role }
  }.dump();
}

void
SendAll(control_tables& aTables,
        const placement::outbox& aOutbox,
        control_outbox& aOutput)
{
  order_tables& orders = aTables.orders;
  for (const placement::send_order& send : aOutbox.sends) {
    const known_endpoint* endpoint =
      aTables.endpoints.Find(send.order.endpoint);
    if (endpoint == nullptr) {
      placement::OnOrderNotSent(orders.placement, send.order.id);
      continue;
    }
    aOutput.orders.push_back(
      { send.order.id, endpoint->row.address, BodyOf(orders, send.order) });
  }
}

} // namespace

// True while no engine has announced itself: the manifest may be applied before
// the engines start.
bool
FitsOnEngines(const control_tables& aTables,
              const manifest& aManifest,
              last_reason& aReason)
{
  const auto& engines = aTables.orders.placement.engines;
  return engines.Empty() || placement::FitsMinimumCopies(engines.Rows(),
                                                         ModelRows(aManifest),
                                                         AdapterRows(aManifest),
                                                         aReason);
}

void
RunOrders(control_tables& aTables, steady_time aNow, control_outbox& aOutbox)
{
  if (aTables.residency.isEnabled || aTables.stop) {
    return;
  }
  SyncManifest(aTables);
  SyncLeadership(aTables, aNow);
  SyncEndpoints(aTables);
  SyncDomains(aTables);
  HandleAnswers(aTables.orders);
  placement::outbox decided;
  placement::RunPlacement(aTables.orders.placement, aNow, decided);
  ProposeAll(aTables, decided);
  SendAll(aTables, decided, aOutbox);
  if (aTables.orders.placement.leader.isLeader) {
    aOutbox.wake.NoLaterThan(decided.wake.at);
  }
}

} // namespace bulrush::control
