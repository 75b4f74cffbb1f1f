#include "observe/log_writer.hpp"
#include "observe/observe.hpp"

#include <catch2/catch.hpp>

#include <sstream>

namespace bulrush {
namespace {

constexpr log_component kTestLog{ "test" };

struct log_fixture
{
  std::vector<std::string> lines;

  log_fixture()
  {
    SetLogSink([this](std::string_view aLine) { lines.emplace_back(aLine); });
    SetLogLevel(log_level::eInfo);
  }
  ~log_fixture()
  {
    SetLogSink({});
    SetLogLevel(log_level::eInfo);
  }
};

TEST_CASE_METHOD(log_fixture,
                 "Log_WhenALineIsWritten_BeginsWithThePrefixOfItsPart",
                 "[observe]")
{
  LogInfo(kTestLog, "listens on {}", "127.0.0.1:8080");
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].starts_with("test 2"));
  CHECK(lines[0].ends_with("Z info: listens on 127.0.0.1:8080"));
}

TEST_CASE_METHOD(log_fixture,
                 "Event_WhenAValueHoldsBlanksOrQuotes_IsQuoted",
                 "[observe]")
{
  LogEvent(kTestLog,
           log_level::eInfo,
           "request_refused",
           { { "request", "7f" }, { "why", "no \"room\"" }, { "peer", "" } });
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].ends_with(
    "info: request_refused request=7f why=\"no \\\"room\\\"\" peer=\"\""));
}

// A write hook that blocks until Unblock is called.
struct log_writer_fixture
{
  std::mutex mutex;
  std::condition_variable changed;
  std::string written;
  bool isBlocked = true;

  log_writer::write_hook Write()
  {
    return [this](std::string_view aLines) {
      std::unique_lock lock(mutex);
      changed.wait(lock, [this] { return !isBlocked; });
      written += aLines;
    };
  }

  void Unblock()
  {
    {
      const std::lock_guard lock(mutex);
      isBlocked = false;
    }
    changed.notify_all();
  }

  static std::string Dropped(std::uint64_t aLines)
  {
    return "dropped " + std::to_string(aLines);
  }
};

TEST_CASE_METHOD(log_writer_fixture,
                 "LogWriter_WhenItsWritesBlock_DropsAndCountsLines",
                 "[observe]")
{
  constexpr std::size_t kLines = 1'000;
  constexpr std::size_t kMaxPendingBytes = 100;
  {
    log_writer writer(
      { kMaxPendingBytes, std::chrono::milliseconds{ 0 } }, Write(), Dropped);
    for (std::size_t i = 0; i < kLines; ++i) {
      writer.Add("123456789");
    }
    Unblock();
  }
  std::size_t intact = 0;
  std::size_t dropped = 0;
  std::istringstream lines(written);
  for (std::string line; std::getline(lines, line);) {
    if (line == "123456789") {
      ++intact;
    } else {
      REQUIRE(line.starts_with("dropped "));
      dropped += std::stoul(line.substr(line.find(' ')));
    }
  }
  CHECK(intact <= 2 * kMaxPendingBytes / 10);
  CHECK(intact + dropped == kLines);
}

TEST_CASE_METHOD(log_writer_fixture,
                 "LogWriter_WhenDestroyed_WritesPendingLines",
                 "[observe]")
{
  Unblock();
  {
    log_writer writer({}, Write(), Dropped);
    writer.Add("last words");
  }
  CHECK(written == "last words\n");
}

TEST_CASE_METHOD(log_fixture,
                 "Log_BelowTheCurrentLevel_WritesNothing",
                 "[observe]")
{
  SetLogLevel(log_level::eWarning);
  LogDebug(kTestLog, "one");
  LogInfo(kTestLog, "two");
  CHECK(lines.empty());
  LogWarning(kTestLog, "three");
  LogError(kTestLog, "four");
  CHECK(lines.size() == 2);
}

TEST_CASE_METHOD(log_fixture,
                 "Log_WhenTheTextHoldsALineFeed_StaysOneLine",
                 "[observe]")
{
  LogInfo(kTestLog, "path {}", "/a\nentry forged\x1b[0m");
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].find('\n') == std::string::npos);
  CHECK(lines[0].ends_with("path /a\\x0aentry forged\\x1b[0m"));
}

TEST_CASE_METHOD(log_fixture,
                 "WriteLogLines_OfSeveralLines_GivesEachThePrefix",
                 "[observe]")
{
  WriteLogLines(kTestLog, log_level::eError, "one\n\ntwo\n");
  REQUIRE(lines.size() == 2);
  CHECK(lines[0].starts_with("test "));
  CHECK(lines[0].ends_with(" error: one"));
  CHECK(lines[1].ends_with(" error: two"));
}

TEST_CASE_METHOD(log_fixture,
                 "Log_WhenTheTextHoldsABearerKey_RemovesTheKey",
                 "[observe]")
{
  LogInfo(kTestLog, "header Authorization: bearer   sk-123, Bearer sk-456");
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].find("sk-") == std::string::npos);
  CHECK(lines[0].ends_with("bearer [removed], Bearer [removed]"));
}

TEST_CASE_METHOD(log_fixture,
                 "FormatWallTime_OfATimeWithAFraction_GivesMilliseconds",
                 "[observe]")
{
  const wall_time when{ std::chrono::seconds(1764837000) +
                        std::chrono::milliseconds(125) };
  CHECK(FormatWallTime(when) == "2025-12-04T08:30:00.125Z");
}

TEST_CASE_METHOD(log_fixture,
                 "ParseLogLevel_OfAnUnknownWord_ListsTheValidLevels",
                 "[observe]")
{
  last_reason reason;
  CHECK(ParseLogLevel("debug", reason) == log_level::eDebug);
  CHECK_FALSE(ParseLogLevel("loud", reason).has_value());
  CHECK(reason.peer == "loud");
  CHECK(reason.text == "expected debug, info, warning or error");
}

} // namespace
} // namespace bulrush
