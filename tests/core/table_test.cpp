#include "core/core.hpp"

#include <catch2/catch.hpp>

namespace bulrush {
namespace {

struct counter_row
{
  model_id id;
  int count = 0;
};

struct table_fixture
{
  table<model_id, counter_row> rows;

  void Fill(int aCount)
  {
    for (int i = 1; i <= aCount; ++i) {
      rows.Insert({ model_id{ static_cast<std::uint64_t>(i) }, i });
    }
  }
};

TEST_CASE_METHOD(table_fixture,
                 "Table_WhenARowIsErased_FindsEveryOtherRow",
                 "[core]")
{
  Fill(10);
  REQUIRE(rows.Erase(model_id{ 3 }));
  CHECK_FALSE(rows.Erase(model_id{ 3 }));
  CHECK(rows.Find(model_id{ 3 }) == nullptr);
  for (std::uint64_t i = 1; i <= 10; ++i) {
    if (i != 3) {
      REQUIRE(rows.Find(model_id{ i }) != nullptr);
      CHECK(rows.Find(model_id{ i })->count == static_cast<int>(i));
    }
  }
}

TEST_CASE_METHOD(table_fixture,
                 "Table_WhenAnIdIsInsertedTwice_KeepsTheLaterRow",
                 "[core]")
{
  rows.Insert({ model_id{ 1 }, 1 });
  rows.Insert({ model_id{ 1 }, 2 });
  CHECK(rows.Size() == 1);
  CHECK(rows.Find(model_id{ 1 })->count == 2);
}

TEST_CASE_METHOD(table_fixture,
                 "Table_WhenRowsAreErasedByPredicate_KeepsTheRest",
                 "[core]")
{
  Fill(10);
  const auto erased =
    rows.EraseIf([](const counter_row& aRow) { return aRow.count % 2 == 0; });
  CHECK(erased == 5);
  CHECK(rows.Size() == 5);
  for (const counter_row& row : rows) {
    CHECK(row.count % 2 == 1);
    CHECK(rows.Find(row.id) == &row);
  }
}

TEST_CASE_METHOD(table_fixture,
                 "IdOf_WithTheSameName_GivesTheSameIdInEveryRelease",
                 "[core]")
{
  // Ids are part of the wire format: XXH64 with seed 0.
  CHECK(IdOf<model_id>("leather") == IdOf<model_id>("leather"));
  CHECK(IdOf<model_id>("leather") != IdOf<model_id>("stitching"));
  CHECK(StableHash("") == 0xEF46DB3751D8E999ULL);
}

} // namespace
} // namespace bulrush
