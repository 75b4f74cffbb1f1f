#include "fleet/fleet.hpp"

#include <catch2/catch.hpp>

namespace bulrush {
namespace {

constexpr std::size_t kLevels = 500'000;

const std::string kManifest =
  R"({"name":"n","version":"1","failure_domains":[{"name":"a"}]})";

std::string
Nested()
{
  return std::string(kLevels, '[') + std::string(kLevels, ']');
}

struct nested_manifest_fixture
{
  std::vector<manifest_fault> faults;
  last_reason reason;

  bool IsPatched(const std::string& aPatch)
  {
    return PatchManifest(kManifest, aPatch, reason).has_value();
  }
};

TEST_CASE_METHOD(nested_manifest_fixture,
                 "Manifest_WhenNestedDeep_IsRefused",
                 "[fleet]")
{
  REQUIRE(ParseManifest(kManifest, faults));
  CHECK_FALSE(
    ParseManifest(R"({"workspaces":[{"models":[)" + Nested() + "]}]}", faults));
  CHECK_FALSE(ParseManifest(Nested(), faults));
  CHECK(Describe(faults).find("nested") != std::string::npos);
}

TEST_CASE_METHOD(nested_manifest_fixture,
                 "Patch_WithANestedValue_IsRefused",
                 "[fleet]")
{
  REQUIRE(IsPatched(R"([{"op":"add","path":"/source","value":"s"}])"));
  CHECK_FALSE(
    IsPatched(R"([{"op":"add","path":"/source","value":)" + Nested() + "}]"));
  CHECK(reason.text.find("nested") != std::string::npos);
}

// Each copy of a value into itself doubles the number of levels.
TEST_CASE_METHOD(nested_manifest_fixture,
                 "Patch_ThatCopiesAValueIntoItself_IsRefused",
                 "[fleet]")
{
  constexpr int kCopies = 20;
  std::string patch = R"([{"op":"add","path":"/x","value":{}})";
  std::string path = "/x";
  for (int i = 0; i < kCopies; ++i) {
    patch += R"(,{"op":"copy","from":"/x","path":"/x/y"})";
    patch += R"(,{"op":"move","from":"/x","path":"/z"})";
    patch += R"(,{"op":"add","path":"/x","value":{}})";
    patch += R"(,{"op":"move","from":"/z","path":"/x/z"})";
  }
  CHECK_FALSE(IsPatched(patch + "]"));
}

TEST_CASE_METHOD(nested_manifest_fixture,
                 "Patch_ThatAddsLevelByLevel_IsRefused",
                 "[fleet]")
{
  constexpr int kSteps = 100;
  std::string patch = R"([{"op":"add","path":"/x","value":{}})";
  std::string path = "/x";
  for (int i = 0; i < kSteps; ++i) {
    path += "/x";
    patch += R"(,{"op":"add","path":")" + path + R"(","value":{}})";
  }
  CHECK_FALSE(IsPatched(patch + "]"));
}

} // namespace
} // namespace bulrush
