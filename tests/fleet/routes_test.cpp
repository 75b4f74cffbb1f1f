#include "fleet/fleet.hpp"

#include <catch2/catch.hpp>

namespace bulrush {
namespace {

std::string
NumberedManifest(std::uint64_t aNumber, const std::string& aKey)
{
  return R"({"name":"press","version":")" + std::to_string(aNumber) +
         R"(","number":)" + std::to_string(aNumber) +
         R"(,"failure_domains":[{"name":"a"}],"source":"text )" +
         std::to_string(aNumber) +
         R"(","workspaces":[{"name":"dealer","tokens_per_s":10,
         "burst_tokens":100,"key_hashes":[")" +
         ToHex(HashKey(aKey)) + R"("]}]})";
}

struct routes_fixture
{
  std::vector<manifest_fault> faults;
  fleet_state state;

  std::optional<manifest> Parse(const std::string& aRoutes,
                                const std::string& aServices = "[]")
  {
    faults.clear();
    return ParseManifest(R"({"name":"press","version":"1",
      "failure_domains":[{"name":"a"}],"services":)" +
                           aServices + R"(,"routes":)" + aRoutes + "}",
                         faults);
  }

  command_result ApplyNumbered(std::uint64_t aNumber,
                               const std::string& aKey = "k1")
  {
    apply_manifest change;
    change.text = NumberedManifest(aNumber, aKey);
    return Apply(state, { wall_time{}, change });
  }
};

TEST_CASE_METHOD(routes_fixture,
                 "Route_WithPrefixes_IsTheLongestMatch",
                 "[fleet]")
{
  const auto parsed = Parse(R"([
    {"path":"/a/","prefix":true,"host":"x.example","service":"one"},
    {"path":"/a/b/","prefix":true,"host":"x.example","service":"two"},
    {"path":"/a/","prefix":true,"service":"any"}])");
  REQUIRE(parsed);
  const auto service = [&](const char* aHost, const char* aPath) {
    const route_row* row = FindRoute(*parsed, aHost, aPath);
    return row == nullptr ? std::string() : row->targets[0].service;
  };
  CHECK(service("x.example", "/a/b/c") == "two");
  CHECK(service("x.example", "/a/b/") == "two");
  CHECK(service("x.example", "/a/b") == "one");
  CHECK(service("y.example", "/a/b/c") == "any");
  CHECK(service("x.example", "/b/").empty());
  CHECK(service("x.example", "").empty());
}

TEST_CASE_METHOD(routes_fixture, "Route_WithFaults_IsRefused", "[fleet]")
{
  CHECK_FALSE(Parse(R"([{"path":"/a/","prefix":true,
    "targets":[{"service":"s","weight":0}]}])"));
  CHECK_FALSE(Parse(R"([{"path":"/a","prefix":true,"service":"s"}])"));
  CHECK_FALSE(Parse(R"([{"path":"/a/","deadline_ms":0,"service":"s"}])"));
  CHECK_FALSE(Parse(R"([{"path":"/a/","host":"h","service":"s"},
    {"path":"/a/","host":"h","service":"t"}])"));
  CHECK_FALSE(Parse(R"([{"path":"/a/","service":"s"}])", R"([{"name":"t"}])"));
  CHECK(Parse(R"([{"path":"/a/","service":"t"}])", R"([{"name":"t"}])"));
}

TEST_CASE_METHOD(routes_fixture,
                 "Number_WhenNotAboveTheOneInForce_ChangesNothing",
                 "[fleet]")
{
  CHECK(ApplyNumbered(7).isDone);
  const std::uint64_t revision = state.revision;
  CHECK(ApplyNumbered(7, "k2").isDone);
  CHECK(ApplyNumbered(5).isDone);
  CHECK(state.revision == revision);
  CHECK(state.declared.source == "text 7");
  CHECK(ApplyNumbered(12).isDone);
  CHECK(state.declared.source == "text 12");
}

TEST_CASE_METHOD(routes_fixture,
                 "DeclaredKey_WhenNoLongerDeclared_IsInvalid",
                 "[fleet]")
{
  ApplyNumbered(1, "k1");
  const auto dealer = IdOf<workspace_id>("dealer");
  REQUIRE(FindWorkspace(state, HashKey("k1")) == dealer);
  Apply(state, { wall_time{}, issue_key{ HashKey("issued"), dealer } });
  ApplyNumbered(2, "k2");
  CHECK_FALSE(FindWorkspace(state, HashKey("k1")));
  CHECK(FindWorkspace(state, HashKey("k2")) == dealer);
  CHECK(FindWorkspace(state, HashKey("issued")) == dealer);
  ApplyNumbered(3, "k1");
  CHECK(FindWorkspace(state, HashKey("k1")) == dealer);
}

TEST_CASE_METHOD(routes_fixture,
                 "HostCount_WhenItChanges_IsANewRevision",
                 "[fleet]")
{
  const std::uint64_t before = state.revision;
  Apply(state, { wall_time{}, count_hosts{ 8 } });
  Apply(state, { wall_time{}, count_hosts{ 8 } });
  CHECK(state.hosts == 8);
  CHECK(state.revision == before + 1);
}

TEST_CASE_METHOD(routes_fixture,
                 "Patch_OfRoutesOnTwoHosts_KeepsThemApart",
                 "[fleet]")
{
  const std::string from = R"({"name":"p","version":"1",
    "failure_domains":[{"name":"a"}],"routes":[
    {"host":"x","path":"/a/","service":"s"},
    {"host":"y","path":"/a/","service":"s"}]})";
  const std::string to = R"({"name":"p","version":"2",
    "failure_domains":[{"name":"a"}],"routes":[
    {"host":"x","path":"/a/","service":"s"},
    {"host":"y","path":"/a/","service":"t"},{"path":"/a/","service":"u"}]})";
  last_reason reason;
  const auto patched = PatchManifest(from, DiffManifests(from, to), reason);
  REQUIRE(patched);
  CHECK(*patched == CanonicalManifest(to));
}

} // namespace
} // namespace bulrush
