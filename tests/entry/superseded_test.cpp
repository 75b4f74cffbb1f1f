#include "entry/control_systems.hpp"
#include "entry/resolve.hpp"
#include "observe/observe.hpp"

#include <catch2/catch.hpp>

namespace bulrush::entry {
namespace {

using std::chrono::milliseconds;

/// A host with revision 1 in force, whose control process answers its reports.
struct superseded_host_fixture
{
  static constexpr milliseconds kReportInterval{ 500 };
  entry_tables tables;
  traffic_view view;
  /// Soon after the boot of the machine, so that it is past at the present
  /// time.
  steady_time now = steady_time{} + std::chrono::seconds{ 10 };

  superseded_host_fixture()
  {
    control_row control;
    control.id = IdOf<replica_id>("control");
    control.address = "10.0.0.1:7100";
    tables.controls.Insert(control);
    Tick();
    wire::host_update update = Answer(1);
    update.commands = { { 1, Manifest() } };
    Receive(update);
  }

  static fleet_command Manifest()
  {
    apply_manifest change;
    change.text = R"({"name":"test","version":"1","number":1,
      "failure_domains":[{"name":"north"}],
      "workspaces":[{"name":"school","key_hashes":[")" +
                  ToHex(HashKey("known")) + R"("]}],
      "models":[{"name":"proof","bytes":1}],
      "services":[{"name":"desk"}],
      "routes":[{"path":"/a/","prefix":true,"service":"desk"},
        {"path":"/open/","prefix":true,"service":"desk","open":true}]})";
    fleet_command command;
    command.change = change;
    return command;
  }

  static wire::numbered_command Change(std::uint64_t aRevision)
  {
    fleet_command command;
    command.change = count_hosts{ static_cast<std::uint32_t>(aRevision) };
    return { aRevision, command };
  }

  /// Of a control process that has applied aRevision.
  wire::host_update Answer(std::uint64_t aRevision,
                           bool aIsCaughtUp = true) const
  {
    wire::host_update update;
    update.renewal = tables.lastReport;
    update.revision = aRevision;
    update.leader = "control";
    update.isCaughtUp = aIsCaughtUp;
    return update;
  }

  void Tick()
  {
    entry_outbox out;
    RunEntryControl(tables, now, out);
    if (out.view) {
      view = *out.view;
    }
  }

  void Receive(const wire::host_update& aUpdate)
  {
    wire::message message;
    message.sender = "control";
    message.body = aUpdate;
    tables.inbox.push_back(message);
    Tick();
  }

  /// The sender has aLast, and sends what is new since aFirst.
  void ReceiveCommands(std::uint64_t aFirst, std::uint64_t aLast)
  {
    wire::host_update update = Answer(aLast);
    for (std::uint64_t revision = aFirst; revision <= aLast; ++revision) {
      update.commands.push_back(Change(revision));
    }
    Receive(update);
  }

  /// A part of revision aRevision, of which aBytes bytes arrived before.
  void ReceivePart(std::uint64_t aRevision, std::uint64_t aBytes)
  {
    wire::host_update update = Answer(aRevision);
    update.part = wire::configuration_part{
      { aRevision, 0 }, 1'000, aBytes, std::string(10, 'x')
    };
    Receive(update);
  }

  /// Time passes, with an answer to each report.
  void Pass(milliseconds aTime,
            std::uint64_t aRevision,
            bool aIsCaughtUp = true)
  {
    const steady_time end = now + aTime;
    while (now < end) {
      now = std::min<steady_time>(now + kReportInterval, end);
      Receive(Answer(aRevision, aIsCaughtUp));
    }
  }

  bool IsRefusing() const { return now >= view.refusesFrom; }
  bool IsReady() const { return IsInRotation(view, {}, now); }

  /// The error for a request at the present time, later than `now`.
  caller_error ErrorFor(const caller_call& aCall,
                        const std::string& aPath) const
  {
    const front_end front;
    random_engine random{ 1 };
    net::http_request request;
    request.method = "POST";
    request.path = aPath;
    resolved_call resolved;
    caller_error error;
    error.status = 0;
    const resolve_context context{ view, front, std::nullopt, random };
    Resolve(context, request, aCall, resolved, error);
    return error;
  }
};

TEST_CASE_METHOD(superseded_host_fixture,
                 "SupersededHost_AtTheBound_RefusesAndIsNotReady",
                 "[entry]")
{
  Receive(Answer(2));
  Pass(kMaxSupersededAge - milliseconds{ 1 }, 2);
  CHECK_FALSE(IsRefusing());
  CHECK(IsReady());
  CHECK_FALSE(tables.isRefusing);
  Pass(milliseconds{ 1 }, 2);
  CHECK(IsRefusing());
  CHECK_FALSE(IsReady());
  CHECK(tables.isRefusing);
}

// The traffic thread reads its own clock, also before the next view comes.
TEST_CASE_METHOD(superseded_host_fixture,
                 "SupersededHost_WithoutATickAtTheBound_Refuses",
                 "[entry]")
{
  Receive(Answer(2));
  now += kMaxSupersededAge;
  CHECK(IsRefusing());
}

TEST_CASE_METHOD(superseded_host_fixture,
                 "SupersededHost_PastTheBound_AnswersNotRunAndSoon",
                 "[entry]")
{
  Receive(Answer(2));
  caller_call byRoute;
  byRoute.key = "known";
  caller_call byModel = byRoute;
  byModel.isByModel = true;
  byModel.model = "proof";
  for (const caller_error& error : { ErrorFor(byRoute, "/a/1"),
                                     ErrorFor(byRoute, "/unknown/1"),
                                     ErrorFor({}, "/open/1"),
                                     ErrorFor(byModel, "/v1/completions") }) {
    CHECK(error.status == 503);
    CHECK(error.code == "configuration_superseded");
    CHECK_FALSE(error.mayHaveRun);
    REQUIRE(error.retryAfter);
    CHECK(*error.retryAfter <= milliseconds{ 500 });
  }
}

TEST_CASE_METHOD(superseded_host_fixture,
                 "SupersededHost_WithTheNewerConfiguration_ServesAtOnce",
                 "[entry]")
{
  Receive(Answer(2));
  Pass(2 * kMaxSupersededAge, 2);
  REQUIRE(IsRefusing());
  ReceiveCommands(2, 2);
  CHECK_FALSE(IsRefusing());
  CHECK(IsReady());
  caller_call call;
  call.key = "known";
  CHECK(ErrorFor(call, "/a/1").status == 0);
}

TEST_CASE_METHOD(superseded_host_fixture,
                 "SupersededHost_WhileItRefuses_LogsItsBeginningAndItsEnd",
                 "[entry]")
{
  std::vector<std::string> lines;
  SetLogSink([&](std::string_view aLine) {
    if (aLine.find("configuration_superseded") != std::string_view::npos) {
      lines.emplace_back(aLine);
    }
  });
  Receive(Answer(2));
  Pass(4 * kMaxSupersededAge, 2);
  CHECK(lines.size() == 1);
  ReceiveCommands(2, 2);
  Pass(4 * kMaxSupersededAge, 2);
  SetLogSink({});
  REQUIRE(lines.size() == 2);
  CHECK(lines.front().find("refuses=yes") != std::string::npos);
  CHECK(lines.back().find("refuses=no") != std::string::npos);
}

// On a link of 1 Mbit/s a part takes half a second.
TEST_CASE_METHOD(superseded_host_fixture,
                 "SupersededHost_WhilePartsArrive_Serves",
                 "[entry]")
{
  std::uint64_t bytes = 0;
  for (int part = 0; part < 20; ++part) {
    ReceivePart(2, bytes);
    bytes += 10;
    now += kMaxSupersededAge - milliseconds{ 1 };
    CHECK_FALSE(IsRefusing());
  }
  now += milliseconds{ 1 };
  CHECK(IsRefusing());
}

TEST_CASE_METHOD(superseded_host_fixture,
                 "SupersededHost_WithTheSamePartAgainAndAgain_Refuses",
                 "[entry]")
{
  ReceivePart(2, 0);
  const steady_time first = now;
  while (now < first + kMaxSupersededAge) {
    now += kReportInterval;
    ReceivePart(2, 500); // not the part that follows
  }
  CHECK(IsRefusing());
}

TEST_CASE_METHOD(superseded_host_fixture,
                 "Host_UnderSteadyChangesThatItTakesLate_Serves",
                 "[entry]")
{
  for (std::uint64_t revision = 2; revision < 100; ++revision) {
    Receive(Answer(revision + 1));
    now += milliseconds{ 200 };
    wire::host_update update = Answer(revision + 1);
    update.commands = { Change(revision) };
    Receive(update);
    CHECK_FALSE(IsRefusing());
  }
}

TEST_CASE_METHOD(superseded_host_fixture,
                 "SupersededHost_ThatIsToldOfMoreAndMoreChanges_Refuses",
                 "[entry]")
{
  std::uint64_t revision = 2;
  Receive(Answer(revision));
  const steady_time first = now;
  while (now < first + kMaxSupersededAge) {
    CHECK_FALSE(IsRefusing());
    now += milliseconds{ 100 };
    Receive(Answer(++revision));
  }
  CHECK(IsRefusing());
}

// Each change counts from when it was told.
TEST_CASE_METHOD(superseded_host_fixture,
                 "SupersededHost_ThatTakesOnlyTheFirstOfTwoChanges_Refuses",
                 "[entry]")
{
  Receive(Answer(2));
  Receive(Answer(3));
  Pass(kMaxSupersededAge - milliseconds{ 1 }, 3);
  wire::host_update update = Answer(3);
  update.commands = { Change(2) };
  Receive(update);
  REQUIRE(tables.fleet->revision == 2);
  now += milliseconds{ 1 };
  CHECK(IsRefusing());
}

TEST_CASE_METHOD(superseded_host_fixture,
                 "SupersededHost_ThatIsCutOff_Serves",
                 "[entry]")
{
  Receive(Answer(2));
  now += kMaxSilence - milliseconds{ 1 };
  Tick();
  CHECK(IsRefusing());
  now += milliseconds{ 1 };
  Tick();
  CHECK_FALSE(IsRefusing());
  CHECK(IsReady());
}

// Its failure domain is cut off, with a control process that lags.
TEST_CASE_METHOD(superseded_host_fixture,
                 "SupersededHost_AnsweredOnlyByALaggingProcess_Serves",
                 "[entry]")
{
  Receive(Answer(2));
  Pass(kMaxSilence, 1, false);
  CHECK_FALSE(IsRefusing());
}

TEST_CASE_METHOD(superseded_host_fixture,
                 "SupersededHost_ThatIsBackInTouch_HasTheWholeBoundAgain",
                 "[entry]")
{
  Receive(Answer(2));
  now += 2 * kMaxSilence;
  Tick();
  Receive(Answer(3));
  Pass(kMaxSupersededAge - milliseconds{ 1 }, 3);
  CHECK_FALSE(IsRefusing());
  Pass(milliseconds{ 1 }, 3);
  CHECK(IsRefusing());
}

// A process that lags tells a lower revision than others did before.
TEST_CASE_METHOD(
  superseded_host_fixture,
  "Host_WithTheNewestConfiguration_ServesWhateverLaggingOnesTell",
  "[entry]")
{
  ReceiveCommands(2, 3);
  Pass(4 * kMaxSupersededAge, 2, false);
  Pass(4 * kMaxSupersededAge, 3);
  CHECK_FALSE(IsRefusing());
}

} // namespace
} // namespace bulrush::entry
