#include "support/process_memory.hpp"
#include "support/processes.hpp"

#include <catch2/catch.hpp>

#include <fstream>

namespace bulrush::test {
namespace {

using nlohmann::json;

/// Default of memory-limit.
constexpr std::size_t kLimit = 256 * kMegabyte;
constexpr int kChanges = 20;
constexpr int kRoutes = 2'000;

// One control process and one entry host.
struct large_manifest_fixture
{
  fleet running{ { { "domain-a" }, 1, "" } };

  large_manifest_fixture() { running.Start(); }

  /// Each version differs from the one before in all routes.
  static std::string Manifest(int aVersion, std::size_t aPathBytes)
  {
    json manifest = json::parse(
      DefaultManifest({ "domain-a" }, std::to_string(2 + aVersion)));
    for (int i = 0; i < kRoutes; ++i) {
      std::string path =
        "/desk/" + std::to_string(aVersion) + "-" + std::to_string(i) + "/";
      path.resize(std::max(path.size(), aPathBytes), 'p');
      manifest["routes"].push_back({ { "path", path }, { "service", "desk" } });
    }
    return manifest.dump();
  }

  void Apply(const std::string& aManifest) const
  {
    const auto file = running.folder / "large.json";
    std::ofstream(file) << aManifest;
    const program_result applied = running.Ctl({ "apply", file.string() });
    INFO(applied.errors);
    REQUIRE(applied.exitCode == 0);
  }

  void ApplyMany(std::size_t aPathBytes)
  {
    for (int version = 0; version < kChanges; ++version) {
      Apply(Manifest(version, aPathBytes));
    }
    for (const auto* each :
         { running.controls[0].get(), running.entries[0].get() }) {
      INFO((each == running.controls[0].get() ? "control" : "entry")
           << " peak " << MemoryBytes(each->Pid(), "VmHWM") / kMegabyte
           << " MB, rest " << MemoryBytes(each->Pid(), "VmRSS") / kMegabyte
           << " MB");
      CHECK(MemoryBytes(each->Pid(), "VmHWM") < kLimit);
    }
  }
};

TEST_CASE_METHOD(large_manifest_fixture,
                 "Fleet_WhenALargeManifestChangesOften_StaysWithinMemory",
                 "[process][memory]")
{
  ApplyMany(0);
}

TEST_CASE_METHOD(large_manifest_fixture,
                 "Fleet_WhenAManifestOfLongPathsChangesOften_StaysWithinMemory",
                 "[process][memory]")
{
  ApplyMany(120);
}

} // namespace
} // namespace bulrush::test
