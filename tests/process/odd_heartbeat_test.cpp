#include "support/processes.hpp"

#include <catch2/catch.hpp>

namespace bulrush::test {
namespace {

// A control process of the platform's protocol, without any entry host.
struct odd_heartbeat_fixture
{
  const std::string address = "127.0.0.1:" + std::to_string(FreePort());
  const std::string sound =
    R"({"service":"desk","address":"127.0.0.1:9","zone":"a","slots":4,)"
    R"("state":"ready","sequence":4,"born":1700000000000)";
  std::filesystem::path folder =
    std::filesystem::temp_directory_path() /
    ("bulrush-odd-heartbeat-" + std::to_string(FreePort()));
  std::unique_ptr<process> control;

  odd_heartbeat_fixture()
  {
    std::filesystem::create_directories(folder / "data");
    control = std::make_unique<process>(
      "bulrush-control",
      std::vector<std::string>{ "--name",
                                "c",
                                "--domain",
                                "a",
                                "--domains",
                                "a",
                                "--listen",
                                "127.0.0.1:" + std::to_string(FreePort()),
                                "--http-listen",
                                address,
                                "--front-end",
                                "platform",
                                "--data",
                                (folder / "data").string() },
      folder);
    REQUIRE(WaitUntil([&] { return Heartbeat("i-0", sound + "}") == 200; }));
  }

  ~odd_heartbeat_fixture()
  {
    control.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
  }

  int Post(const std::string& aPath, const std::string& aBody) const
  {
    return SendHttpRequest("POST", "http://" + address + aPath, {}, aBody)
      .status;
  }

  int Heartbeat(const std::string& aId, const std::string& aBody) const
  {
    return Post("/Instances.Heartbeat/" + aId, aBody);
  }
};

TEST_CASE_METHOD(odd_heartbeat_fixture,
                 "Control_WhenMessagesAreNestedDeep_RefusesThemAndKeepsServing",
                 "[process]")
{
  constexpr std::size_t kLevels = 60'000;
  const std::string nested =
    std::string(kLevels, '[') + std::string(kLevels, ']');
  CHECK(Heartbeat("i-9", sound + R"(,"models":)" + nested + "}") == 400);
  CHECK(Heartbeat("i-9", sound + R"(,"atHand":)" + nested + "}") == 400);
  CHECK(Post("/Config.Replace",
             R"({"version":7,"services":[],"routes":[],"tenants":)" + nested +
               "}") == 400);
  REQUIRE(control->IsRunning());
  CHECK(Heartbeat("i-9", sound + "}") == 200);
}

TEST_CASE_METHOD(odd_heartbeat_fixture,
                 "Control_WhenAHeartbeatIsOutOfRange_RefusesItAndTakesTheNext",
                 "[process]")
{
  const std::string start = R"({"service":"desk","zone":"a","state":"ready",)";
  for (const char* rest :
       { R"("address":"127.0.0.1:9","slots":4,"sequence":4,"born":1e300})",
         R"("address":"127.0.0.1:9","slots":4,"sequence":4,"born":-1})",
         R"("address":"127.0.0.1:9","slots":4,"sequence":4,"born":1e20})",
         R"("address":"127.0.0.1:9","slots":4,"sequence":1e30,"born":1})",
         R"("address":"127.0.0.1:9","slots":4,"sequence":-4,"born":1})",
         R"("address":"127.0.0.1:9","slots":4294967297,"sequence":4,"born":1})",
         R"("address":"127.0.0.1:9","slots":-3,"sequence":4,"born":1})",
         R"("address":"127.0.0.1:9","slots":1.5,"sequence":4,"born":1})",
         R"("address":"127.0.0.1:0","slots":4,"sequence":4,"born":1})" }) {
    INFO(rest);
    CHECK(Heartbeat("i-9", start + rest) == 400);
  }
  CHECK(Heartbeat("", sound + "}") == 400);
  CHECK(Heartbeat(std::string(3'000, 'i'), sound + "}") == 400);
  REQUIRE(control->IsRunning());
  CHECK(Heartbeat("i-9", sound + "}") == 200);
  for (const char* text : { "born: expected a whole number",
                            "endpoint=i-9 address=127.0.0.1:9 "
                            "incarnation=1700000000000" }) {
    INFO(text);
    CHECK(WaitUntil(
      [&] { return control->Log().find(text) != std::string::npos; }));
  }
}

} // namespace
} // namespace bulrush::test
