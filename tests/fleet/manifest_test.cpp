#include "fleet/fleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace bulrush {
namespace {

struct manifest_fixture
{
  std::vector<manifest_fault> faults;

  std::optional<manifest> Parse(const std::string& aText)
  {
    faults.clear();
    return ParseManifest(aText, faults);
  }

  bool HasFaultAt(const std::string& aPath) const
  {
    return std::any_of(faults.begin(), faults.end(), [&](const auto& aFault) {
      return aFault.path == aPath;
    });
  }
};

const std::string kValidManifest = R"({"name":"press","version":"7",
  "failure_domains":[{"name":"a"},{"name":"b","region":"punjab"}],
  "models":[{"name":"draft","version":"3","bytes":1000,"deadline_ms":900}],
  "adapters":[{"name":"school","model":"draft","bytes":10}],
  "workspaces":[{"name":"dealer","tokens_per_s":10,"burst_tokens":100,
    "models":["draft"]}],
  "routes":[{"path":"/desk","service":"desk","idempotent":false}]})";

TEST_CASE_METHOD(manifest_fixture, "Manifest_WhenValid_HasEveryRow", "[fleet]")
{
  const auto parsed = Parse(kValidManifest);
  REQUIRE(parsed);
  CHECK(faults.empty());
  CHECK(parsed->models.Find(IdOf<model_id>("draft"))->deadline ==
        std::chrono::milliseconds(900));
  CHECK(parsed->adapters.Find(IdOf<adapter_id>("school"))->model ==
        IdOf<model_id>("draft"));
  CHECK_FALSE(parsed->routes.Find(IdOf<route_id>("/desk"))->isIdempotent);
  CHECK(parsed->domains.Find(IdOf<domain_id>("b"))->region == "punjab");
}

TEST_CASE_METHOD(manifest_fixture,
                 "Manifest_WithSeveralFaults_ReportsEachWithItsPath",
                 "[fleet]")
{
  const auto parsed = Parse(R"({"name":"x","version":"1","colour":"red",
    "failure_domains":[{"name":"a"}],
    "models":[{"name":"m","bytes":-5},{"name":"n","bytes":1},
              {"name":"n","bytes":1}],
    "adapters":[{"name":"t","model":"absent"}],
    "workspaces":[{"name":"w","tokens_per_s":"many","burst_tokens":5,
                   "models":["gone"]}],
    "routes":[{"path":"desk","service":"d"}]})");
  CHECK_FALSE(parsed);
  CHECK(HasFaultAt("/colour"));
  CHECK(HasFaultAt("/models/0/bytes"));
  CHECK(HasFaultAt("/models/2"));
  CHECK(HasFaultAt("/adapters/0/model"));
  CHECK(HasFaultAt("/workspaces/0/tokens_per_s"));
  CHECK(HasFaultAt("/workspaces/0/models"));
  CHECK(HasFaultAt("/routes/0/path"));
}

TEST_CASE_METHOD(manifest_fixture,
                 "Manifest_WithAKeyOfTwoWorkspaces_IsRefused",
                 "[fleet]")
{
  const std::string hash = ToHex(HashKey("k"));
  const std::string workspace =
    R"(","tokens_per_s":1,"burst_tokens":1,"key_hashes":[")" + hash + R"("]})";
  CHECK_FALSE(Parse(R"({"name":"x","version":"1",
    "failure_domains":[{"name":"a"}],"workspaces":[{"name":"v)" +
                    workspace + R"(,{"name":"w)" + workspace + "]}"));
  CHECK(HasFaultAt("/workspaces"));
}

TEST_CASE_METHOD(manifest_fixture,
                 "Manifest_WhenTruncatedAnywhere_IsRefused",
                 "[fleet]")
{
  for (std::size_t length = 0; length < kValidManifest.size(); ++length) {
    REQUIRE_FALSE(Parse(kValidManifest.substr(0, length)));
    REQUIRE_FALSE(faults.empty());
  }
}

} // namespace
} // namespace bulrush
