#include "entry/resolve.hpp"

#include <catch2/catch.hpp>

namespace bulrush::entry {
namespace {

/// An entry host whose manifest declares one workspace with a key, and a
/// control process that knows more revisions than the host has applied.
struct configuration_fixture
{
  entry_tables tables;
  traffic_view view;
  front_end front;
  random_engine random{ 1 };
  steady_time now = net::Now();

  configuration_fixture()
  {
    control_row control;
    control.id = IdOf<replica_id>("control");
    control.address = "10.0.0.1:7100";
    tables.controls.Insert(control);
  }

  static fleet_command Manifest()
  {
    apply_manifest change;
    change.text = R"({"name":"test","version":"1","number":1,
      "failure_domains":[{"name":"north"}],
      "workspaces":[{"name":"school","key_hashes":[")" +
                  ToHex(HashKey("known")) + R"("]}],
      "services":[{"name":"desk"}],
      "routes":[{"path":"/a/","host":"h","prefix":true,"service":"desk"}]})";
    fleet_command command;
    command.change = change;
    return command;
  }

  void Tick()
  {
    entry_outbox out;
    RunEntryControl(tables, now, out);
    if (out.view) {
      view = *out.view;
    }
  }

  /// Reports, and delivers the answer of a control process that has applied
  /// aNewest and of which the host has every command up to revision 1.
  void Update(std::uint64_t aNewest, bool aIsCaughtUp = true)
  {
    Tick();
    wire::host_update update;
    update.renewal = tables.lastReport;
    update.revision = aNewest;
    update.leader = "control";
    update.isCaughtUp = aIsCaughtUp;
    update.commands = { { 1, Manifest() } };
    wire::message message;
    message.sender = "control";
    message.body = update;
    tables.inbox.push_back(message);
    Tick();
  }

  /// Status of the error for a request, zero if it is resolved.
  int StatusFor(const std::string& aKey, const std::string& aPath)
  {
    net::http_request request;
    request.method = "POST";
    request.path = aPath;
    caller_call call;
    call.host = "h";
    call.key = aKey;
    resolved_call resolved;
    caller_error error;
    const resolve_context context{ view, front, std::nullopt, random };
    return Resolve(context, request, call, resolved, error) ? 0 : error.status;
  }
};

TEST_CASE_METHOD(configuration_fixture,
                 "UnknownKey_WhileTheHostLagsBehind_IsNotDenied",
                 "[entry]")
{
  Update(5);
  CHECK(StatusFor("known", "/a/1") == 0);
  CHECK(StatusFor("added later", "/a/1") == 503);
  CHECK(StatusFor("known", "/b/1") == 503);
}

TEST_CASE_METHOD(configuration_fixture,
                 "UnknownKey_WithTheNewestConfiguration_IsDenied",
                 "[entry]")
{
  Update(1);
  CHECK(StatusFor("never issued", "/a/1") == 401);
  CHECK(StatusFor("known", "/b/1") == 404);
}

TEST_CASE_METHOD(configuration_fixture,
                 "UnknownKey_WithoutARecentUpdate_IsNotDenied",
                 "[entry]")
{
  now -= std::chrono::seconds{ 5 };
  Update(1);
  CHECK(StatusFor("known", "/a/1") == 0);
  CHECK(StatusFor("added later", "/a/1") == 503);
}

// Guards against hosts that start beside control processes without a leader and
// serve by a configuration that another one has replaced.
struct started_host_fixture : configuration_fixture
{
  static constexpr std::chrono::milliseconds kWait{ 12'000 };

  started_host_fixture() { tables.confirmationWait = kWait; }
};

TEST_CASE_METHOD(started_host_fixture,
                 "StartedHost_WithAnUnconfirmedConfiguration_ServesNothing",
                 "[entry]")
{
  Update(1, false);
  now += kWait - std::chrono::milliseconds{ 1 };
  Tick();
  CHECK(StatusFor("known", "/a/1") == 503);
}

TEST_CASE_METHOD(started_host_fixture,
                 "StartedHost_ThatLacksARevision_ServesNothing",
                 "[entry]")
{
  Update(2);
  CHECK(StatusFor("known", "/a/1") == 503);
}

TEST_CASE_METHOD(started_host_fixture,
                 "StartedHost_OnceItsConfigurationIsTheNewest_Serves",
                 "[entry]")
{
  Update(1, false);
  Update(1);
  CHECK(StatusFor("known", "/a/1") == 0);
}

TEST_CASE_METHOD(started_host_fixture,
                 "StartedHost_WithoutAConfirmationForTheWholeWait_Serves",
                 "[entry]")
{
  Update(1, false);
  now += kWait;
  Tick();
  CHECK(StatusFor("known", "/a/1") == 0);
}

TEST_CASE_METHOD(started_host_fixture,
                 "Host_ThatServes_KeepsServingWithoutAConfirmation",
                 "[entry]")
{
  Update(1);
  now += kWait;
  Update(2, false);
  CHECK(StatusFor("known", "/a/1") == 0);
}

} // namespace
} // namespace bulrush::entry
