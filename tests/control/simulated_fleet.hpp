#ifndef BULRUSH_TESTS_SIMULATED_FLEET_HPP
#define BULRUSH_TESTS_SIMULATED_FLEET_HPP

/// Control processes and entry hosts whose messages a test delivers or loses.

#include "control/tables.hpp"
#include "entry/tables.hpp"

#include <deque>
#include <map>

namespace bulrush::control {

/// A message on its way.
struct simulated_message
{
  std::string from;
  std::string to;
  wire::message_body body;
};

struct simulated_control
{
  control_tables tables;
  std::size_t applied = 0; ///< entries of the common log
  bool isStopped = false;  ///< receives, runs and sends nothing
  bool lags = false;       ///< receives no entries of the log
};

/// A message on a link that takes time for each byte.
struct delayed_message
{
  steady_time arrivesAt;
  simulated_message message;
};

struct simulated_host
{
  std::deque<delayed_message> link; ///< to the host, from all senders
  std::uint64_t linkBytes = 0;      ///< sent to the host
  entry::entry_tables tables;
  /// Newest view of the traffic threads.
  entry::traffic_view view;
  /// Of a traffic thread: parts of prompts that crash endpoints.
  quarantine::tables prompts;
  std::uint64_t publishedPrompts = 0; ///< serial of the newest change
  /// Of other hosts, as they were passed to a traffic thread.
  std::vector<room::load_row> receivedLoads;
};

/// A fleet with one log, led by the first control process. Time passes in steps
/// of 10 ms, in which each message arrives unless it is lost.
struct simulated_fleet
{
  static constexpr std::chrono::milliseconds kStep{ 10 };
  static constexpr std::size_t kNameBytes = 110; ///< in each route, twice

  steady_time now = steady_time{} + std::chrono::hours{ 1 };
  std::map<std::string, simulated_control> controls;
  std::map<std::string, simulated_host> hosts;
  std::vector<std::string> log;
  std::vector<simulated_message> messages;
  /// Of the link to each host; zero: messages arrive in the next step.
  std::uint64_t hostBytesPerSecond = 0;
  /// True for messages that get lost.
  std::function<bool(const simulated_message&)> isLost;
  /// Alters messages on their way.
  std::function<void(simulated_message&)> change;
  std::uint64_t lastCall = 0;
  std::map<std::uint64_t, answer_kind> answers; ///< to HTTP calls

  simulated_fleet(int aControls, int aHosts)
  {
    for (int i = 0; i < aControls; ++i) {
      controls["control-" + std::to_string(i)];
    }
    for (auto& [name, control] : controls) {
      SetUp(name, control);
    }
    for (int i = 0; i < aHosts; ++i) {
      SetUp("host-" + std::to_string(i), i % aControls);
    }
  }
  simulated_fleet(const simulated_fleet&) = delete;
  simulated_fleet& operator=(const simulated_fleet&) = delete;

  const std::string& Leader() const { return controls.begin()->first; }

  void SetUp(const std::string& aName, simulated_control& aControl)
  {
    control_tables& tables = aControl.tables;
    tables.self.name = aName;
    tables.self.linkAddress = aName;
    tables.self.domain = "north";
    tables.self.incarnation = 1;
    tables.wallClock = [] { return wall_time{}; };
    tables.log.propose = [this](std::string aPayload, last_reason&) {
      log.push_back(std::move(aPayload));
      return std::optional(position_id{ log.size() });
    };
    tables.log.isLeader = [this, aName](steady_time) {
      return aName == Leader();
    };
    tables.log.leaderTerm = [this, aName](steady_time) {
      return aName == Leader() ? std::optional(leader_term{ 1, {}, true })
                               : std::nullopt;
    };
    tables.log.isCaughtUp = [this, &aControl](steady_time) {
      return aControl.applied == log.size();
    };
    tables.log.leaderName = [this] { return Leader(); };
    tables.log.term = [] { return std::uint64_t{ 1 }; };
    for (const auto& [name, other] : controls) {
      if (name != aName) {
        control_row row;
        row.id = IdOf<replica_id>(name);
        row.name = name;
        row.address = name;
        tables.controls.Insert(row);
      }
    }
  }

  /// Each host reports to the control process at its place, while it can.
  void SetUp(const std::string& aName, int aPlace)
  {
    entry::entry_tables& tables = hosts[aName].tables;
    tables.self.name = aName;
    tables.self.domain = "north";
    tables.self.incarnation = 1;
    for (const auto& [name, control] : controls) {
      entry::control_row row;
      row.id = IdOf<replica_id>(name);
      row.address = name;
      row.preference = (tables.controls.Size() + controls.size() -
                        static_cast<std::size_t>(aPlace)) %
                       controls.size();
      tables.controls.Insert(row);
    }
  }

  /// Commits a manifest at the leader.
  void ApplyManifest(int aNumber, int aRoutes = 0)
  {
    const std::string number = std::to_string(aNumber);
    std::string routes;
    for (int i = 0; i < aRoutes; ++i) {
      routes += routes.empty() ? "" : ",";
      routes += R"({"host":")" + std::string(kNameBytes, 'h') +
                R"(","path":"/)" + std::to_string(i) + "/" +
                std::string(kNameBytes, 'p') + R"(","service":"s"})";
    }
    apply_manifest change;
    change.text =
      R"({"name":"test","version":")" + number + R"(","number":)" + number +
      R"(,"failure_domains":[{"name":"north"}],"routes":[)" + routes + "]}";
    fleet_command command;
    command.change = std::move(change);
    last_reason reason;
    controls.begin()->second.tables.log.propose(wire::EncodeCommand(command),
                                                reason);
  }

  /// The address follows from the length of the name.
  static endpoint_row Endpoint(const std::string& aName,
                               std::uint64_t aSequence,
                               bool aIsLeaving)
  {
    endpoint_row row;
    row.name = aName;
    row.id = IdOf<endpoint_id>(row.name);
    row.incarnation = 1;
    row.sequence = aSequence;
    row.address = "10.0.0.9:" + std::to_string(8'000 + aName.size());
    row.domain = IdOf<domain_id>("north");
    row.slots = 8;
    row.isLeaving = aIsLeaving;
    return row;
  }

  /// The endpoint's report arrives at a control process.
  void Report(const std::string& aControl,
              std::uint64_t aSequence,
              bool aIsLeaving = false,
              const std::string& aName = "engine")
  {
    endpoint_row row = Endpoint(aName, aSequence, aIsLeaving);
    row.lastSeen = now;
    controls[aControl].tables.httpInbox.push_back(
      { http_call_id{ ++lastCall }, register_endpoint{ std::move(row) } });
  }

  /// The endpoint says at a control process that it leaves for good. Returns
  /// whether that is acknowledged.
  bool Deregister(const std::string& aControl,
                  const std::string& aName = "engine")
  {
    const http_call_id call{ ++lastCall };
    controls[aControl].tables.httpInbox.push_back(
      { call, deregister_endpoint{ aName } });
    Run(kStep);
    return answers[call.value] == answer_kind::eDone;
  }

  void Run(std::chrono::milliseconds aTime)
  {
    for (const steady_time end = now + aTime; now < end; now += kStep) {
      Step();
    }
  }

  /// Whether the host may send new requests to the endpoint.
  bool IsUsed(const std::string& aHost, const std::string& aName = "engine")
  {
    for (const endpoint_row& row : *hosts[aHost].view.endpoints) {
      if (row.name == aName) {
        return !row.isLeaving;
      }
    }
    return false;
  }

  std::uint64_t NumberAt(const std::string& aHost)
  {
    return hosts[aHost].view.fleet->declared.number;
  }

  /// The process starts again. Its log is kept, all else is lost.
  void RestartControl(const std::string& aName)
  {
    simulated_control& control = controls[aName];
    const std::uint64_t incarnation = control.tables.self.incarnation;
    control.tables = {};
    control.applied = 0;
    SetUp(aName, control);
    control.tables.self.incarnation = incarnation + 1;
  }

  void RestartHost(const std::string& aName, int aPlace = 0)
  {
    const entry::entry_tables before = std::move(hosts[aName].tables);
    hosts[aName] = {};
    SetUp(aName, aPlace);
    entry::entry_tables& tables = hosts[aName].tables;
    tables.self.incarnation = before.self.incarnation + 1;
  }

private:
  void Step()
  {
    for (simulated_message& message : std::exchange(messages, {})) {
      if (isLost && isLost(message)) {
        continue;
      }
      if (change) {
        change(message);
      }
      if (hostBytesPerSecond > 0 && hosts.contains(message.to)) {
        SendOverLink(std::move(message));
      } else {
        Deliver(message);
      }
    }
    DeliverFromLinks();
    for (auto& [name, control] : controls) {
      if (!control.isStopped) {
        Run(name, control);
      }
    }
    for (auto& [name, host] : hosts) {
      entry::entry_outbox out;
      const auto changes =
        quarantine::ChangesSince(host.prompts, host.publishedPrompts);
      host.publishedPrompts = host.prompts.serial;
      if (!changes.Empty()) {
        entry::HandleEvidence(host.tables, changes, now);
      }
      entry::RunEntryControl(host.tables, now, out);
      for (entry::outgoing& message : out.messages) {
        messages.push_back(
          { name, message.controlAddress, std::move(message.body) });
      }
      if (out.view) {
        host.view = *out.view;
      }
      host.receivedLoads.insert(
        host.receivedLoads.end(), out.loads.begin(), out.loads.end());
      for (const quarantine::evidence& each : out.evidence) {
        quarantine::Merge(host.prompts, each, now);
      }
    }
  }

  void Run(const std::string& aName, simulated_control& aControl)
  {
    while (!aControl.lags && aControl.applied < log.size()) {
      const std::string& payload = log[aControl.applied++];
      aControl.tables.committed.push_back(
        { position_id{ aControl.applied }, payload, false });
    }
    control_outbox out;
    RunControl(aControl.tables, now, out);
    for (const answered_call& answered : out.httpAnswers) {
      answers[answered.id.value] = answered.answer.kind;
    }
    for (outgoing_message& message : out.messages) {
      messages.push_back(
        { aName,
          message.control.empty() ? message.peer : message.control,
          std::move(message.body) });
    }
  }

  std::uint64_t IncarnationOf(const std::string& aName)
  {
    return controls.contains(aName) ? controls[aName].tables.self.incarnation
                                    : hosts[aName].tables.self.incarnation;
  }

  wire::message ToWire(simulated_message& aMessage)
  {
    wire::message message;
    message.sender = aMessage.from;
    message.incarnation = IncarnationOf(aMessage.from);
    message.body = std::move(aMessage.body);
    return message;
  }

  void SendOverLink(simulated_message aMessage)
  {
    simulated_host& host = hosts[aMessage.to];
    const std::string bytes = wire::Encode(ToWire(aMessage), now);
    last_reason reason;
    aMessage.body = std::move(wire::Decode(bytes, now, reason).value().body);
    host.linkBytes += bytes.size();
    const steady_time freeAt =
      host.link.empty() ? now : host.link.back().arrivesAt;
    const std::chrono::nanoseconds duration{ std::chrono::seconds{ 1 } };
    host.link.push_back(
      { std::max(now, freeAt) + duration * bytes.size() / hostBytesPerSecond,
        std::move(aMessage) });
  }

  void DeliverFromLinks()
  {
    for (auto& [name, host] : hosts) {
      while (!host.link.empty() && host.link.front().arrivesAt <= now) {
        Deliver(host.link.front().message);
        host.link.pop_front();
      }
    }
  }

  void Deliver(simulated_message& aMessage)
  {
    wire::message message = ToWire(aMessage);
    const auto control = controls.find(aMessage.to);
    if (control == controls.end()) {
      hosts[aMessage.to].tables.inbox.push_back(std::move(message));
    } else if (!control->second.isStopped) {
      control->second.tables.inbox.push_back(
        { aMessage.from, std::move(message) });
    }
  }
};

} // namespace bulrush::control

#endif
