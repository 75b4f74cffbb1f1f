#include "support/processes.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <fstream>
#include <sys/stat.h>

namespace bulrush::test {
namespace {

/// Programs that read their settings from a pipe, so that it is known when they
/// have begun to start.
struct early_signal_fixture
{
  std::filesystem::path folder =
    std::filesystem::temp_directory_path() /
    ("bulrush-early-" + std::to_string(::getpid()));

  early_signal_fixture() { std::filesystem::create_directories(folder); }
  ~early_signal_fixture() { std::filesystem::remove_all(folder); }
  early_signal_fixture(const early_signal_fixture&) = delete;
  early_signal_fixture& operator=(const early_signal_fixture&) = delete;

  void CheckStarts(const std::string& aProgram,
                   const std::string& aSettings) const
  {
    const std::filesystem::path pipe = folder / aProgram;
    REQUIRE(::mkfifo(pipe.c_str(), S_IRUSR | S_IWUSR) == 0);
    const process started(aProgram, { "--config", pipe.string() }, folder);
    std::ofstream settings(pipe); // waits until the program reads
    started.Signal(SIGHUP);
    settings << aSettings;
    settings.close();
    CHECK(WaitUntil(
      [&] { return started.Log().find("listens on") != std::string::npos; }));
  }
};

// Guards against programs that SIGHUP ends while they start.
TEST_CASE_METHOD(early_signal_fixture,
                 "Programs_ThatGetSighupWhileTheyStart_Start",
                 "[process]")
{
  CheckStarts("bulrush-control",
              "listen = 127.0.0.1:0\nfront-end = platform\n");
  CheckStarts("bulrush-entry", "name = host\nlisten = 127.0.0.1:0\n");
}

} // namespace
} // namespace bulrush::test
