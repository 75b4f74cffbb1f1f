#include "entry/tables.hpp"
#include "observe/observe.hpp"

namespace bulrush::entry {
namespace {

constexpr log_part kLog{ "entry" };

constexpr std::chrono::milliseconds kReportEvery{ 1'000 };
constexpr std::chrono::milliseconds kControlSilence{ 1'500 };
/// Pause before the next control process is asked when one knows no leader.
constexpr std::chrono::milliseconds kReportElsewhere{ 250 };
constexpr std::chrono::milliseconds kCommandRetry{ 700 };
/// The engines' own reports are older than this at most; then they say more
/// than the leader's last word.
constexpr std::chrono::milliseconds kHeldFor{ 10'000 };

// A host applies the very commands that the log holds, so the configuration
// it serves by is the one that was committed. Anything out of order is left
// for the next update; nothing older than what is in force is taken.
void
TakeConfiguration(entry_tables& aTables, const wire::host_update& aUpdate)
{
  if (!aUpdate.snapshot.empty()) {
    last_reason why;
    auto state = wire::DecodeState(aUpdate.snapshot, why);
    if (state && state->revision > aTables.fleet->revision) {
      aTables.fleet = std::make_shared<fleet_state>(std::move(*state));
      aTables.hasNewFleet = true;
    }
  }
  std::shared_ptr<fleet_state> next;
  for (const wire::numbered_command& command : aUpdate.commands) {
    const fleet_state& current = next ? *next : *aTables.fleet;
    if (command.revision != current.revision + 1) {
      continue;
    }
    if (!next) {
      next = std::make_shared<fleet_state>(*aTables.fleet);
    }
    Apply(*next, command.command);
  }
  if (next) {
    aTables.fleet = std::move(next);
    aTables.hasNewFleet = true;
  }
}

bool
TakeEndpoint(entry_tables& aTables, const endpoint_row& aRow)
{
  const endpoint_row* known = aTables.endpoints.Find(aRow.id);
  if (known != nullptr && !IsNewer(aRow, *known)) {
    return false;
  }
  aTables.endpoints.Insert(aRow);
  aTables.hasNewEndpoints = true;
  return true;
}

void
TakeTombstones(entry_tables& aTables, const std::vector<key_hash>& aKeys)
{
  for (const key_hash& key : aKeys) {
    if (aTables.tombstones.Find(key) == nullptr) {
      aTables.tombstones.Insert({ key });
      aTables.hasNewTombstones = true;
    }
  }
}

// Control processes join and leave; the update names those there are.
void
TakeControls(entry_tables& aTables,
             const wire::host_update& aUpdate,
             entry_outbox& aOutbox)
{
  for (const wire::control_address& control : aUpdate.controls) {
    if (aTables.controls.Find(IdOf<replica_id>(control.name)) == nullptr) {
      aOutbox.links.push_back(control);
    }
  }
  if (!aUpdate.leader.empty() && aUpdate.leader != aTables.leader) {
    aTables.leader = aUpdate.leader;
    LogEvent(
      kLog, log_level::eInfo, "leader", { { "control", aTables.leader } });
  }
}

void
Take(entry_tables& aTables,
     const wire::host_update& aUpdate,
     entry_outbox& aOutbox)
{
  TakeControls(aTables, aUpdate, aOutbox);
  TakeTombstones(aTables, aUpdate.tombstones);
  TakeConfiguration(aTables, aUpdate);
  for (const endpoint_row& row : aUpdate.endpoints) {
    TakeEndpoint(aTables, row);
  }
  for (const endpoint_id& id : aUpdate.goneEndpoints) {
    if (aTables.endpoints.Erase(id)) {
      aTables.hasNewEndpoints = true;
    }
  }
}

void
Take(entry_tables& aTables, const wire::held_update& aUpdate, steady_time aNow)
{
  for (const wire::held_models& engine : aUpdate.engines) {
    aTables.held.Insert(
      { engine.endpoint, engine.incarnation, engine.residents, aNow });
  }
  aTables.hasNewEndpoints = true;
}

// "No leader" is tried again until the deadline; the same command is safe to
// repeat, since the state machine knows it by its claim and token.
void
Take(entry_tables& aTables,
     const wire::command_reply& aReply,
     entry_outbox& aOutbox)
{
  const pending_command* command =
    aTables.commands.Find(call_id{ aReply.call });
  if (command == nullptr || aReply.outcome == wire::call_outcome::eNoLeader) {
    return;
  }
  aOutbox.replies.emplace_back(command->onReply, aReply);
  aTables.commands.Erase(call_id{ aReply.call });
}

// A control process that is cut off from the leader answers, and knows nothing
// new; another one is asked at once.
void
NoteLeader(entry_tables& aTables,
           const std::string& aSender,
           const wire::host_update& aUpdate)
{
  control_row* control = aTables.controls.Find(IdOf<replica_id>(aSender));
  if (control == nullptr) {
    return;
  }
  control->knowsLeader = !aUpdate.leader.empty();
  if (!control->knowsLeader) {
    aTables.nextReport =
      std::min(aTables.nextReport, control->lastHeard + kReportElsewhere);
  }
}

void
RunIngest(entry_tables& aTables, steady_time aNow, entry_outbox& aOutbox)
{
  const auto inbox = std::move(aTables.inbox);
  aTables.inbox.clear();
  for (const wire::message& message : inbox) {
    if (control_row* control =
          aTables.controls.Find(IdOf<replica_id>(message.sender))) {
      control->lastHeard = aNow;
    }
    if (const auto* update = std::get_if<wire::host_update>(&message.body)) {
      NoteLeader(aTables, message.sender, *update);
      Take(aTables, *update, aOutbox);
    } else if (const auto* held =
                 std::get_if<wire::held_update>(&message.body)) {
      Take(aTables, *held, aNow);
    } else if (const auto* granted =
                 std::get_if<wire::share_grant>(&message.body)) {
      aOutbox.grants.push_back(granted->grant);
    } else if (const auto* drawn = std::get_if<rates::drawn>(&message.body)) {
      aOutbox.drawn.push_back(*drawn);
    } else if (const auto* reply =
                 std::get_if<wire::command_reply>(&message.body)) {
      Take(aTables, *reply, aOutbox);
    }
  }
  const auto reports = std::move(aTables.reports);
  aTables.reports.clear();
  for (const endpoint_row& row : reports) {
    if (TakeEndpoint(aTables, row)) {
      aTables.unsent.push_back(row);
    }
  }
}

// The delegate of the own failure domain, as the configuration names it.
const control_row*
Delegate(const entry_tables& aTables)
{
  const auto domain = IdOf<domain_id>(aTables.self.domain);
  const domain_state_row* state = aTables.fleet->domains.Find(domain);
  return state == nullptr ? nullptr : aTables.controls.Find(state->delegate);
}

// Renewals that nobody can take are dropped; the next ones stand for them.
void
RunRenewals(entry_tables& aTables, steady_time, entry_outbox& aOutbox)
{
  const control_row* delegate = Delegate(aTables);
  for (admission::renewal& next : aTables.renewals) {
    if (delegate != nullptr) {
      wire::share_renewal sent{ std::move(next), aTables.self.domain, false };
      aOutbox.messages.push_back({ delegate->address, std::move(sent) });
    }
  }
  aTables.renewals.clear();
}

// The leader alone gives orders, so it alone need know.
void
RunDemand(entry_tables& aTables, steady_time, entry_outbox& aOutbox)
{
  if (aTables.wanted.empty()) {
    return;
  }
  const control_row* leader =
    aTables.controls.Find(IdOf<replica_id>(aTables.leader));
  wire::wanted_models sent{ std::exchange(aTables.wanted, {}) };
  if (leader != nullptr) {
    aOutbox.messages.push_back({ leader->address, std::move(sent) });
  }
}

// The leader alone holds pools. A draw that nobody can take runs into its time
// limit.
void
RunDraws(entry_tables& aTables, steady_time, entry_outbox& aOutbox)
{
  const control_row* leader =
    aTables.controls.Find(IdOf<replica_id>(aTables.leader));
  for (rates::draw& next : aTables.draws) {
    if (leader != nullptr) {
      aOutbox.messages.push_back({ leader->address, std::move(next) });
    }
  }
  aTables.draws.clear();
}

// Reports in good time, and earlier when endpoints reported.
void
RunReport(entry_tables& aTables, steady_time aNow, entry_outbox& aOutbox)
{
  const bool isDue = aNow >= aTables.nextReport;
  if (!isDue && aTables.unsent.empty()) {
    aOutbox.wake.NoLaterThan(aTables.nextReport);
    return;
  }
  const control_row* control = CurrentControl(aTables, aNow);
  if (control == nullptr) {
    return;
  }
  wire::host_report report;
  report.domain = aTables.self.domain;
  report.renewal = ++aTables.lastReport;
  report.revision = aTables.fleet->revision;
  report.endpoints = std::move(aTables.unsent);
  report.httpAddress = aTables.self.httpAddress;
  report.isLeaving = aTables.isStopping;
  aTables.unsent.clear();
  aOutbox.messages.push_back({ control->address, std::move(report) });
  aTables.nextReport = aNow + kReportEvery;
  aOutbox.wake.NoLaterThan(aTables.nextReport);
}

void
RunCommands(entry_tables& aTables, steady_time aNow, entry_outbox& aOutbox)
{
  const control_row* control = CurrentControl(aTables, aNow);
  std::vector<call_id> late;
  for (pending_command& command : aTables.commands) {
    if (command.deadline <= aNow) {
      late.push_back(command.id);
      continue;
    }
    if (command.nextSend <= aNow && control != nullptr) {
      wire::command_call call;
      call.call = command.id.value;
      call.command = command.command;
      call.credential = aTables.self.credential;
      aOutbox.messages.push_back({ control->address, std::move(call) });
      command.nextSend = aNow + kCommandRetry;
    }
    aOutbox.wake.NoLaterThan(std::min(command.nextSend, command.deadline));
  }
  for (const call_id& id : late) {
    wire::command_reply reply;
    reply.call = id.value;
    reply.outcome = wire::call_outcome::eUnknown;
    reply.text = "no decision before the deadline";
    aOutbox.replies.emplace_back(aTables.commands.Find(id)->onReply, reply);
    aTables.commands.Erase(id);
  }
}

// Endpoints as they report themselves, with what the leader knows better.
std::vector<endpoint_row>
EffectiveEndpoints(const entry_tables& aTables, steady_time aNow)
{
  std::vector<endpoint_row> rows(aTables.endpoints.begin(),
                                 aTables.endpoints.end());
  for (endpoint_row& row : rows) {
    const held_row* held = aTables.held.Find(row.id);
    if (held != nullptr && held->incarnation == row.incarnation &&
        aNow < held->heardAt + kHeldFor) {
      row.residents = held->residents;
    }
  }
  return rows;
}

void
RunPublish(entry_tables& aTables, steady_time aNow, entry_outbox& aOutbox)
{
  traffic_view& view = aTables.published;
  const bool isSame = !aTables.hasNewFleet && !aTables.hasNewEndpoints &&
                      !aTables.hasNewTombstones &&
                      view.isStopping == aTables.isStopping;
  if (isSame) {
    return;
  }
  if (aTables.hasNewFleet) {
    view.fleet = aTables.fleet;
    LogEvent(kLog,
             log_level::eInfo,
             "configuration",
             { { "revision", std::to_string(aTables.fleet->revision) },
               { "number", std::to_string(aTables.fleet->declared.number) } });
  }
  if (aTables.hasNewEndpoints) {
    view.endpoints = std::make_shared<const std::vector<endpoint_row>>(
      EffectiveEndpoints(aTables, aNow));
  }
  if (aTables.hasNewTombstones) {
    std::unordered_set<key_hash, id_hash> keys;
    for (const tombstone_row& row : aTables.tombstones) {
      keys.insert(row.id);
    }
    view.tombstones =
      std::make_shared<const std::unordered_set<key_hash, id_hash>>(
        std::move(keys));
  }
  view.isStopping = aTables.isStopping;
  aTables.hasNewFleet = false;
  aTables.hasNewEndpoints = false;
  aTables.hasNewTombstones = false;
  aOutbox.view = view;
}

constexpr std::array<named_system<entry_tables, entry_outbox>, 7> kSystems{
  { { "ingest", RunIngest },
    { "demand", RunDemand },
    { "draws", RunDraws },
    { "renewals", RunRenewals },
    { "report", RunReport },
    { "commands", RunCommands },
    { "publish", RunPublish } }
};

} // namespace

// The most preferred one that was heard of lately and knows the leader; if
// there is none, each in turn.
const control_row*
CurrentControl(const entry_tables& aTables, steady_time aNow)
{
  const control_row* best = nullptr;
  const control_row* inTurn = nullptr;
  for (const control_row& row : aTables.controls) {
    const bool isAlive =
      row.knowsLeader && row.lastHeard + kControlSilence > aNow;
    if (isAlive && (best == nullptr || row.preference < best->preference)) {
      best = &row;
    }
    const std::uint64_t turn = aTables.lastReport % aTables.controls.Size();
    if (row.preference == turn) {
      inTurn = &row;
    }
  }
  return best != nullptr ? best : inTurn;
}

void
RunEntryControl(entry_tables& aTables, steady_time aNow, entry_outbox& aOutbox)
{
  RunTick(kSystems, aTables, aNow, aOutbox);
}

} // namespace bulrush::entry
