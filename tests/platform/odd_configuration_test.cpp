#include "platform/platform.hpp"

#include <catch2/catch.hpp>

namespace bulrush::platform {
namespace {

const std::string kConfiguration = R"({"version":7,"routes":[
  {"name":"r1","hostname":"h.example","pathPrefix":"/chat/",
   "routeType":"streaming","timeoutMs":12000,"targetLatencyMs":500,
   "priority":2,"service":"llm","maxAttempts":2,"targetGapMs":150}],
  "services":[{"name":"llm","maxConnections":370,"coldStartS":3.0,
   "coldPerS":29.0,"engine":{"weightsMb":200000.0,"adapterSlots":8,
   "kvCapacityTokens":122637,"loadsPerS":1.9,"models":[
   {"name":"daka","weightsMb":72700.0,"adapters":2,"adapterMb":66.0}]}}],
  "tenants":[{"name":"hule","apiKeys":["k1"],"plainTokens":200,
   "ratePerS":96815,"burst":96816}]})";

struct odd_configuration_fixture
{
  std::vector<domain_row> domains{ { IdOf<domain_id>("a"), "a", "r" } };
  last_reason reason;

  // Whether the configuration is taken with aTo in place of aFrom.
  bool IsTaken(const std::string& aFrom, const std::string& aTo)
  {
    std::string text = kConfiguration;
    const std::size_t position = text.find(aFrom);
    REQUIRE(position != std::string::npos);
    text.replace(position, aFrom.size(), aTo);
    const auto read = ReadConfiguration(text, domains, reason);
    std::vector<manifest_fault> faults;
    return read && ParseManifest(read->text, faults);
  }
};

TEST_CASE_METHOD(odd_configuration_fixture,
                 "Configuration_WithANumberOutOfRange_IsRefused",
                 "[platform]")
{
  REQUIRE(IsTaken("29.0", "29.0"));
  for (const char* field : { R"("version":7)",
                             R"("timeoutMs":12000)",
                             R"("targetLatencyMs":500)",
                             R"("priority":2)",
                             R"("maxAttempts":2)",
                             R"("targetGapMs":150)",
                             R"("maxConnections":370)",
                             R"("coldStartS":3.0)",
                             R"("coldPerS":29.0)",
                             R"("weightsMb":200000.0)",
                             R"("adapterSlots":8)",
                             R"("kvCapacityTokens":122637)",
                             R"("loadsPerS":1.9)",
                             R"("weightsMb":72700.0)",
                             R"("adapters":2)",
                             R"("adapterMb":66.0)",
                             R"("plainTokens":200)",
                             R"("ratePerS":96815)",
                             R"("burst":96816)" }) {
    const std::string text = field;
    const std::string name = text.substr(0, text.find(':') + 1);
    for (const char* value : { "1e300", "-1", "\"7\"" }) {
      INFO(name << value);
      CHECK_FALSE(IsTaken(text, name + value));
    }
  }
  for (const char* count : { "4294967298", "1000000" }) {
    INFO(count);
    CHECK_FALSE(
      IsTaken(R"("adapters":2)", R"("adapters":)" + std::string(count)));
  }
  // The bound holds for all models together.
  const std::string model =
    R"({"name":"daka","weightsMb":72700.0,"adapters":2,"adapterMb":66.0})";
  CHECK_FALSE(IsTaken(model,
                      R"({"name":"m1","weightsMb":1,"adapters":60000},)"
                      R"({"name":"m2","weightsMb":1,"adapters":60000})"));
  CHECK_FALSE(IsTaken(R"("maxAttempts":2)", R"("maxAttempts":4294967298)"));
  CHECK_FALSE(IsTaken(R"("priority":2)", R"("priority":1.5)"));
  CHECK_FALSE(IsTaken(R"("version":7)", R"("version":1.5)"));
}

} // namespace
} // namespace bulrush::platform
