#include "net/net.hpp"

#include <catch2/catch.hpp>

#include <csignal>

namespace bulrush::net {
namespace {

/// A process that counts the signals that tell it to stop.
struct signal_fixture
{
  asio::io_context context;
  int stops = 0;
  int repeats = 0;
  int reloads = 0;

  signal_fixture()
  {
    OnStopSignal(
      context, [this] { ++stops; }, [this] { ++repeats; });
    OnReloadSignal(context, [this] { ++reloads; });
  }

  void Raise(int aSignal)
  {
    std::raise(aSignal);
    context.run_for(std::chrono::milliseconds{ 50 });
  }
};

TEST_CASE_METHOD(signal_fixture, "StopSignal_WhenRaised_StopsOnce", "[net]")
{
  Raise(SIGTERM);
  CHECK(stops == 1);
  CHECK(repeats == 0);
}

// A signal without a handler ends the process and with it this program.
TEST_CASE_METHOD(signal_fixture,
                 "StopSignal_WhenRaisedAgain_IsReportedOnly",
                 "[net]")
{
  Raise(SIGTERM);
  Raise(SIGTERM);
  Raise(SIGINT);
  CHECK(stops == 1);
  CHECK(repeats == 2);
}

TEST_CASE_METHOD(signal_fixture,
                 "ReloadSignal_AfterAStopSignal_IsReported",
                 "[net]")
{
  Raise(SIGTERM);
  Raise(SIGHUP);
  Raise(SIGHUP);
  CHECK(stops == 1);
  CHECK(reloads == 2);
}

} // namespace
} // namespace bulrush::net
