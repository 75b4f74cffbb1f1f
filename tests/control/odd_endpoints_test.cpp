#include "control/tables.hpp"

#include <catch2/catch.hpp>

#include <limits>

namespace bulrush::control {
namespace {

constexpr std::uint64_t kMax = std::numeric_limits<std::uint64_t>::max();

// Rows that another control process of an earlier version publishes.
struct odd_endpoints_fixture
{
  control_tables tables;
  endpoint_row sound;

  odd_endpoints_fixture()
  {
    sound.name = "i-9";
    sound.id = IdOf<endpoint_id>(sound.name);
    sound.address = "10.0.0.9:8080";
    sound.incarnation = 1'700'000'000'000;
    sound.sequence = 4;
  }

  void CheckSoundRowCounts()
  {
    UpdateEndpoint(tables, sound, true);
    const known_endpoint* known = tables.endpoints.Find(sound.id);
    REQUIRE(known != nullptr);
    CHECK(known->row.incarnation == sound.incarnation);
    CHECK(known->row.sequence == sound.sequence);
  }
};

TEST_CASE_METHOD(odd_endpoints_fixture,
                 "Endpoint_AfterARowOutOfRange_CountsStill",
                 "[control]")
{
  const std::vector<std::function<void(endpoint_row&)>> changes = {
    [](endpoint_row& aRow) { aRow.incarnation = kMax; },
    [](endpoint_row& aRow) { aRow.sequence = kMax; },
    [](endpoint_row& aRow) {
      ++aRow.sequence;
      aRow.slots = 0;
    },
    [](endpoint_row& aRow) {
      ++aRow.sequence;
      aRow.slots = kMaxSlots + 1;
    },
    [](endpoint_row& aRow) {
      ++aRow.sequence;
      aRow.address = "10.0.0.9:0";
    }
  };
  for (const auto& change : changes) {
    endpoint_row odd = sound;
    change(odd);
    UpdateEndpoint(tables, odd, false);
    CheckSoundRowCounts();
    UpdateEndpoint(tables, odd, false);
    CheckSoundRowCounts();
    tables.endpoints.Clear();
  }
}

TEST_CASE_METHOD(odd_endpoints_fixture,
                 "Endpoint_AfterARemovalOutOfRange_CountsStill",
                 "[control]")
{
  HandleRemoval(tables, { sound.id, kMax, 0, true });
  CheckSoundRowCounts();
  HandleRemoval(tables, { sound.id, sound.incarnation, kMax, false });
  CheckSoundRowCounts();
}

TEST_CASE_METHOD(odd_endpoints_fixture,
                 "Endpoint_WithAnOddName_IsIgnored",
                 "[control]")
{
  for (const std::string& name :
       { std::string(), std::string(3'000, 'i'), std::string("i\n") }) {
    endpoint_row odd = sound;
    odd.name = name;
    odd.id = IdOf<endpoint_id>(name);
    UpdateEndpoint(tables, odd, false);
    CHECK(tables.endpoints.Empty());
  }
}

} // namespace
} // namespace bulrush::control
