#include "support/processes.hpp"

#include <catch2/catch.hpp>

namespace bulrush::test {
namespace {

// A control process whose links are encrypted with keys from a file.
struct link_keys_fixture
{
  fleet running{ { { "domain-a" }, 1, "", {}, {} } };

  std::string MakeKeys(const std::string& aName) const
  {
    auto file = (running.folder / aName).string();
    REQUIRE(RunProgram("bulrushctl", { "keygen", file }).exitCode == 0);
    return file;
  }

  std::unique_ptr<process> StartControl(const std::string& aKeys) const
  {
    return std::make_unique<process>("bulrush-control",
                                     std::vector<std::string>{
                                       "--name",
                                       "control-0",
                                       "--domain",
                                       "domain-a",
                                       "--listen",
                                       running.ControlAddress(0),
                                       "--link-keys",
                                       aKeys,
                                     },
                                     running.folder);
  }

  int StatusWith(const std::vector<std::string>& aOptions) const
  {
    std::vector<std::string> arguments = { "--control",
                                           running.ControlAddress(0) };
    arguments.insert(arguments.end(), aOptions.begin(), aOptions.end());
    arguments.insert(arguments.end(), { "--timeout", "2s", "status" });
    return RunProgram("bulrushctl", arguments).exitCode;
  }
};

TEST_CASE_METHOD(link_keys_fixture,
                 "Link_WithKeys_AcceptsOnlyPeersWithTheSameKeys",
                 "[process][links]")
{
  constexpr int kExitNotDone = 3;
  const std::string keys = MakeKeys("fleet.keys");
  const auto control = StartControl(keys);
  CHECK(WaitUntil([&] { return StatusWith({ "--link-keys", keys }) == 0; }));
  CHECK(StatusWith({}) == kExitNotDone);
  CHECK(StatusWith({ "--link-keys", MakeKeys("other.keys") }) == kExitNotDone);
  CHECK(StatusWith({ "--link-keys", keys }) == 0);
}

TEST_CASE_METHOD(link_keys_fixture,
                 "Link_WithKeysThatOthersCanRead_DoesNotStart",
                 "[process][links]")
{
  constexpr int kExitUsage = 2;
  const std::string keys = MakeKeys("fleet.keys");
  std::filesystem::permissions(keys,
                               std::filesystem::perms::others_read,
                               std::filesystem::perm_options::add);
  CHECK(StatusWith({ "--link-keys", keys }) == kExitUsage);
  const auto control = StartControl(keys);
  CHECK(control->Wait() != 0);
}

} // namespace
} // namespace bulrush::test
