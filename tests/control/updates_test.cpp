#include "control/tables.hpp"

#include <catch2/catch.hpp>

namespace bulrush::control {
namespace {

using std::chrono::milliseconds;

/// A control process that leads a log of its own, and one entry host.
struct updates_fixture
{
  static constexpr int kManifests = 20;
  static constexpr int kModels = 200;

  control_tables tables;
  steady_time now = steady_time{} + std::chrono::hours{ 1 };
  std::uint64_t lastPosition = 0;
  std::uint64_t lastRenewal = 0;
  std::uint64_t incarnation = 1; ///< of the host

  updates_fixture()
  {
    tables.self.name = "control";
    tables.self.domain = "north";
    tables.wallClock = [] { return wall_time{}; };
    tables.log.propose = [this](std::string aPayload, last_reason&) {
      const position_id position{ ++lastPosition };
      tables.committed.push_back({ position, std::move(aPayload), false });
      return std::optional(position);
    };
    tables.log.isLeader = [](steady_time) { return true; };
    tables.log.isCaughtUp = [](steady_time) { return true; };
    tables.log.leaderName = [this] { return tables.self.name; };
    tables.log.term = [] { return std::uint64_t{ 1 }; };
  }

  static std::string ManifestText(int aNumber)
  {
    std::string text = R"({"name":"test","version":")" +
                       std::to_string(aNumber) + R"(","number":)" +
                       std::to_string(aNumber) +
                       R"(,"failure_domains":[{"name":"north"}],"models":[)";
    for (int i = 0; i < kModels; ++i) {
      text += (i == 0 ? R"({"name":"model-)" : R"(,{"name":"model-)") +
              std::to_string(i) + R"(","bytes":1000})";
    }
    return text + "]}";
  }

  void ApplyManifest(int aNumber)
  {
    fleet_command command;
    apply_manifest change;
    change.text = ManifestText(aNumber);
    command.change = std::move(change);
    last_reason reason;
    tables.log.propose(wire::EncodeCommand(command), reason);
    Tick();
    Tick(); // commits what the first tick proposed
  }

  std::vector<wire::host_update> Tick()
  {
    control_outbox out;
    RunControl(tables, now, out);
    std::vector<wire::host_update> updates;
    for (const outgoing_message& message : out.messages) {
      if (const auto* update = std::get_if<wire::host_update>(&message.body)) {
        updates.push_back(*update);
      }
    }
    return updates;
  }

  /// The answer to a report of a host that runs aRevision.
  wire::host_update Report(std::uint64_t aRevision,
                           std::uint64_t aReceivedUpdate = 0,
                           bool aMissesUpdates = false)
  {
    wire::host_report report;
    report.receivedUpdate = aReceivedUpdate;
    report.missesUpdates = aMissesUpdates;
    report.domain = "north";
    report.renewal = ++lastRenewal;
    report.revision = aRevision;
    received_message input;
    input.peer = "host";
    input.message.sender = "host";
    input.message.incarnation = incarnation;
    input.message.body = report;
    tables.inbox.push_back(std::move(input));
    const auto updates = Tick();
    REQUIRE(updates.size() == 1);
    return updates[0];
  }

  /// Bytes of configuration in an update.
  static std::size_t BytesOf(const wire::host_update& aUpdate)
  {
    std::size_t bytes = aUpdate.snapshot.size();
    for (const wire::numbered_command& command : aUpdate.commands) {
      bytes += wire::EncodeCommand(command.command).size();
    }
    return bytes;
  }
};

TEST_CASE_METHOD(updates_fixture,
                 "RestartedHost_AfterManyManifests_GetsOneAndNotTheHistory",
                 "[control]")
{
  for (int number = 1; number <= kManifests; ++number) {
    ApplyManifest(number);
  }
  const wire::host_update update = Report(0);
  CHECK(BytesOf(update) > ManifestText(kManifests).size() / 2);
  CHECK(BytesOf(update) < 2 * ManifestText(kManifests).size());
}

TEST_CASE_METHOD(updates_fixture,
                 "Configuration_OnItsWayToAHost_IsNotSentAgain",
                 "[control]")
{
  ApplyManifest(1);
  CHECK(BytesOf(Report(0)) > ManifestText(1).size() / 2);
  now += milliseconds{ 100 };
  CHECK(BytesOf(Report(0)) < ManifestText(1).size() / 2);
}

// Guards against a host that is not answered for the lifetime of its row, as
// incarnations come from the time of day.
TEST_CASE_METHOD(updates_fixture,
                 "Host_StartedAfterItsClockSteppedBack_GetsTheConfiguration",
                 "[control]")
{
  ApplyManifest(1);
  incarnation = 2;
  Report(0);
  incarnation = 1;
  CHECK(BytesOf(Report(0)) > ManifestText(1).size() / 2);
}

TEST_CASE_METHOD(updates_fixture,
                 "Configuration_InAMissedUpdate_IsSentAgainAtOnce",
                 "[control]")
{
  ApplyManifest(1);
  Report(0);
  const wire::host_update again = Report(0, 0, true);
  CHECK(BytesOf(again) > ManifestText(1).size() / 2);
  CHECK(again.number == 1);
}

TEST_CASE_METHOD(updates_fixture,
                 "Configuration_ReceivedAndNotApplied_IsSentAgain",
                 "[control]")
{
  ApplyManifest(1);
  const wire::host_update sent = Report(0);
  CHECK(BytesOf(Report(0, sent.number)) > ManifestText(1).size() / 2);
}

TEST_CASE_METHOD(updates_fixture,
                 "LostConfiguration_FollowedByOthers_IsReplacedByTheNewest",
                 "[control]")
{
  ApplyManifest(1);
  Report(0); // the answer is lost
  for (int number = 2; number <= 4; ++number) {
    now += milliseconds{ 600 };
    ApplyManifest(number);
  }
  const wire::host_update again = Report(0, 0, true);
  CHECK(BytesOf(again) > ManifestText(4).size() / 2);
  CHECK(BytesOf(again) < 2 * ManifestText(4).size());
}

TEST_CASE_METHOD(updates_fixture,
                 "ManifestWithASource_IsSentToHostsWithoutIt",
                 "[control]")
{
  fleet_command command;
  apply_manifest change;
  change.text = ManifestText(1);
  change.source = std::string(100'000, 's');
  command.change = change;
  last_reason reason;
  tables.log.propose(wire::EncodeCommand(command), reason);
  Tick();
  Tick();
  CHECK(tables.fleet.declared.source == change.source);
  const wire::host_update first = Report(0);
  CHECK(BytesOf(first) > change.text.size() / 2);
  CHECK(BytesOf(first) < 2 * change.text.size());
  // A snapshot of this process keeps it, that of a host does not.
  const auto state = wire::DecodeState(wire::EncodeState(tables.fleet), reason);
  REQUIRE(state);
  CHECK(state->declared.source == change.source);
  tables.recent.clear();
  const wire::host_update snapshot = Report(0, 0, true);
  CHECK_FALSE(snapshot.snapshot.empty());
  CHECK(BytesOf(snapshot) < 2 * change.text.size());
}

// A host that lacks more than one whole manifest gets a snapshot.
TEST_CASE_METHOD(updates_fixture,
                 "Configurations_ManyAndLarge_AreKeptOnlyAsFarAsHostsGetThem",
                 "[control]")
{
  for (int number = 1; number <= kManifests; ++number) {
    ApplyManifest(number);
    std::size_t bytes = 0;
    for (const wire::numbered_command& command : tables.recent) {
      bytes += wire::EncodeCommand(command.command).size();
    }
    CHECK(bytes < 2 * ManifestText(number).size());
  }
  const wire::host_update all = Report(0);
  CHECK(BytesOf(all) > ManifestText(kManifests).size() / 2);
  CHECK(BytesOf(all) < 2 * ManifestText(kManifests).size());
  CHECK(all.revision == tables.fleet.revision);
}

// Guards against hosts that wait for their next report to learn that there is a
// leader again.
TEST_CASE_METHOD(updates_fixture,
                 "Host_WhenItsControlIsCaughtUp_IsSentAnUpdateOnce",
                 "[control]")
{
  bool isCaughtUp = false;
  tables.log.isCaughtUp = [&isCaughtUp](steady_time) { return isCaughtUp; };
  ApplyManifest(1);
  Report(0);
  REQUIRE_FALSE(Report(tables.fleet.revision).isCaughtUp);
  CHECK(Tick().empty());
  isCaughtUp = true;
  const std::vector<wire::host_update> updates = Tick();
  REQUIRE(updates.size() == 1);
  CHECK(updates.front().isCaughtUp);
  CHECK(Tick().empty());
}

// On a slow link or processor each version would arrive later than the one
// before.
TEST_CASE_METHOD(updates_fixture,
                 "Configurations_FasterThanAHostAppliesThem_DoNotQueueUp",
                 "[control]")
{
  ApplyManifest(1);
  std::size_t bytes = BytesOf(Report(0));
  const std::uint64_t first = tables.fleet.revision;
  for (int number = 2; number <= kManifests; ++number) {
    fleet_command command;
    apply_manifest change;
    change.text = ManifestText(number);
    command.change = std::move(change);
    last_reason reason;
    tables.log.propose(wire::EncodeCommand(command), reason);
    now += milliseconds{ 100 };
    for (const wire::host_update& update : Tick()) {
      bytes += BytesOf(update);
    }
  }
  CHECK(bytes < 2 * ManifestText(1).size());
  const wire::host_update next = Report(first, 1);
  CHECK(BytesOf(next) > ManifestText(kManifests).size() / 2);
  CHECK(BytesOf(next) < 2 * ManifestText(kManifests).size());
  CHECK(next.revision == tables.fleet.revision);
}

} // namespace
} // namespace bulrush::control
