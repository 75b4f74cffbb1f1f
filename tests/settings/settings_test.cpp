#include "settings/settings.hpp"

#include <catch2/catch.hpp>

#include <sys/stat.h>
#include <unistd.h>

#include <fstream>

namespace bulrush {
namespace {

using namespace std::chrono_literals;

constexpr std::array<option_row, 9> kRows = { {
  { "listen",
    option_type::eAddress,
    "",
    "127.0.0.1:8080",
    "",
    "",
    "Where callers connect" },
  { "peers", option_type::eAddressList, "", "", "", "", "Control hosts" },
  { "threads",
    option_type::eInteger,
    "threads",
    "2",
    "1",
    "64",
    "For traffic" },
  { "share", option_type::eDecimal, "", "0.1", "0", "1", "Of retries" },
  { "lease", option_type::eDuration, "", "3s", "500ms", "1min", "To serve" },
  { "domain", option_type::eText, "", "", "", "", "Failure domain", true },
  { "open", option_type::eBool, "", "false", "", "", "Takes callers" },
  { "models", option_type::eList, "", "", "", "", "Models" },
  { "credential", option_type::eSecretFile, "", "", "", "", "Of operators" },
} };

constexpr program_options kProgram{ "test-program",
                                    "A program",
                                    kRows,
                                    "WORD" };

struct settings_fixture
{
  last_reason reason;
  std::filesystem::path folder =
    std::filesystem::temp_directory_path() /
    ("bulrush-settings-" + std::to_string(::getpid()));

  settings_fixture() { std::filesystem::create_directories(folder); }
  ~settings_fixture() { std::filesystem::remove_all(folder); }

  std::string Write(const std::string& aName,
                    const std::string& aText,
                    mode_t aMode = 0600) const
  {
    const auto file = folder / aName;
    std::ofstream(file) << aText;
    ::chmod(file.c_str(), aMode);
    return file.string();
  }

  std::optional<loaded_settings> Load(
    const std::vector<std::string>& aArguments)
  {
    std::vector<const char*> words{ "test-program" };
    for (const std::string& word : aArguments) {
      words.push_back(word.c_str());
    }
    return LoadSettings(
      kProgram, static_cast<int>(words.size()), words.data(), reason);
  }

  bool ReasonContains(const std::string& aText) const
  {
    return reason.text.find(aText) != std::string::npos;
  }
};

TEST_CASE_METHOD(settings_fixture,
                 "LoadSettings_WithoutAFile_UsesTheDefaults",
                 "[settings]")
{
  const auto loaded = Load({ "--domain", "north" });
  REQUIRE(loaded.has_value());
  const option_values& values = loaded->values;
  CHECK(loaded->action == settings_action::eRun);
  CHECK(values.Address("listen") == host_address{ "127.0.0.1", 8080 });
  CHECK(values.Addresses("peers").empty());
  CHECK(values.Integer("threads") == 2);
  CHECK(values.Decimal("share") == 0.1);
  CHECK(values.Duration("lease") == 3s);
  CHECK(values.Text("domain") == "north");
  CHECK_FALSE(values.Flag("open"));
  CHECK(values.Path("credential").empty());
}

TEST_CASE_METHOD(settings_fixture,
                 "LoadSettings_WithAFile_ReadsEveryType",
                 "[settings]")
{
  const auto secret = Write("key", "s3cret\n");
  const auto file = Write("a.ini",
                          "; a comment\n# another\n\n[test-program]\n"
                          "listen = [::1]:0\n"
                          "peers = 10.0.0.1:7000, 10.0.0.2:7000\n"
                          "threads=8 ; for eight cores\n"
                          "lease = 1.5s\nopen = true\n"
                          "domain = north of the river\n"
                          "models = draft, proof\n"
                          "credential = " +
                            secret + "\n");
  const auto loaded = Load({ "--config", file });
  INFO(reason.text);
  REQUIRE(loaded.has_value());
  const option_values& values = loaded->values;
  CHECK(values.Address("listen") == host_address{ "::1", 0 });
  CHECK(
    values.Addresses("peers") ==
    std::vector<host_address>{ { "10.0.0.1", 7000 }, { "10.0.0.2", 7000 } });
  CHECK(values.Integer("threads") == 8);
  CHECK(values.Duration("lease") == 1500ms);
  CHECK(values.Text("domain") == "north of the river");
  CHECK(values.Flag("open"));
  CHECK(values.List("models") == std::vector<std::string>{ "draft", "proof" });
  CHECK(values.Path("credential") == secret);
}

TEST_CASE_METHOD(
  settings_fixture,
  "LoadSettings_WhenFileAndCommandLineSetAKey_UsesTheCommandLine",
  "[settings]")
{
  const auto file = Write("a.ini", "domain = north\nthreads = 4\n");
  const auto loaded = Load({ "--config", file, "--threads=6" });
  REQUIRE(loaded.has_value());
  CHECK(loaded->values.Integer("threads") == 6);
  CHECK(loaded->values.Text("domain") == "north");
}

TEST_CASE_METHOD(settings_fixture,
                 "LoadSettings_WithManyFaults_ReportsAllWithFileLineAndKey",
                 "[settings]")
{
  const auto open = Write("open-key", "s3cret\n", 0644);
  const auto file = Write("a.ini",
                          "listen = entry-1:80\n"
                          "thread = 4\n"
                          "threads = 65\n"
                          "lease = 3\n"
                          "open = yes\n"
                          "peers = 10.0.0.1:1, 10.0.0.2\n"
                          "share = 1.5\n"
                          "x\n"
                          "[other]\n"
                          "credential = " +
                            open +
                            "\n"
                            "lease = 2s\n");
  CHECK_FALSE(Load({ "--config", file, "--nonsense", "--share", "x" }));
  CHECK(reason.step == "read settings");
  INFO(reason.text);
  CHECK(
    ReasonContains(file + ":1: listen = entry-1:80: expected an IP number"));
  CHECK(ReasonContains(file + ":2: thread: expected a key of the table"));
  CHECK(ReasonContains(file +
                       ":3: threads = 65: expected an integer from 1 to 64"));
  CHECK(ReasonContains(file +
                       ":4: lease = 3: expected a duration with ms, s, min"));
  CHECK(ReasonContains(file + ":5: open = yes: expected true or false"));
  CHECK(ReasonContains(file + ":6: peers = "));
  CHECK(
    ReasonContains(file + ":7: share = 1.5: expected a number from 0 to 1"));
  CHECK(ReasonContains(file + ":8: x: expected KEY = VALUE"));
  CHECK(ReasonContains(file +
                       ":9: [other]: expected no section but [test-program]"));
  CHECK(ReasonContains(file + ":10: credential"));
  CHECK(ReasonContains("group or others can access it"));
  CHECK(ReasonContains(file + ":11: lease = 2s: expected each key once"));
  CHECK(ReasonContains("command line: --nonsense"));
  CHECK(ReasonContains("command line: share = x: expected a number"));
  CHECK(ReasonContains("settings: domain: expected a value: Failure domain"));
}

TEST_CASE_METHOD(settings_fixture,
                 "LoadSettings_WhenTheFileIsMissing_ReportsItsName",
                 "[settings]")
{
  CHECK_FALSE(Load({ "--domain", "a", "--config", "/nowhere/a.ini" }));
  CHECK(ReasonContains("command line: config = /nowhere/a.ini"));
}

TEST_CASE_METHOD(settings_fixture,
                 "LoadSettings_WithCheckConfig_ExitsWithItsResult",
                 "[settings]")
{
  const auto good = Load({ "--domain", "a", "--check-config" });
  REQUIRE(good.has_value());
  CHECK(good->action == settings_action::eExit);
  CHECK(good->output == "settings: good\n");
  CHECK_FALSE(Load({ "--check-config" }));
}

TEST_CASE_METHOD(settings_fixture,
                 "LoadSettings_WithHelp_ListsEveryOption",
                 "[settings]")
{
  const auto help = Load({ "--help" });
  REQUIRE(help.has_value());
  CHECK(help->action == settings_action::eExit);
  for (const option_row& row : kRows) {
    CHECK(help->output.find(std::string("--") + row.name) != std::string::npos);
  }
}

TEST_CASE_METHOD(settings_fixture,
                 "LoadSettings_WithPositionalArguments_KeepsTheirOrder",
                 "[settings]")
{
  const auto loaded = Load({ "key", "issue", "--domain", "a", "school" });
  REQUIRE(loaded.has_value());
  CHECK(loaded->values.Arguments() ==
        std::vector<std::string>{ "key", "issue", "school" });
}

TEST_CASE_METHOD(settings_fixture,
                 "LoadSettings_WithABooleanOption_KeepsTheNextWordAsAnArgument",
                 "[settings]")
{
  const auto on = Load({ "--domain", "a", "--open", "status" });
  INFO(reason.text);
  REQUIRE(on.has_value());
  CHECK(on->values.Flag("open"));
  CHECK(on->values.Arguments() == std::vector<std::string>{ "status" });
  const auto off = Load({ "--domain", "a", "--open=false" });
  REQUIRE(off.has_value());
  CHECK_FALSE(off->values.Flag("open"));
  CHECK_FALSE(Load({ "--domain", "a", "--open=perhaps" }).has_value());
  CHECK(ReasonContains("open"));
}

TEST_CASE_METHOD(settings_fixture,
                 "OptionValues_WhenReadAsAnotherType_Throw",
                 "[settings]")
{
  const option_values values(kRows);
  CHECK_THROWS_AS(values.Text("threads"), std::logic_error);
  CHECK_THROWS_AS(values.Text("nothing"), std::logic_error);
}

TEST_CASE_METHOD(settings_fixture,
                 "OptionsTable_OfAProgram_HasARowForEachOption",
                 "[settings]")
{
  const std::string text = OptionsTable(kProgram);
  CHECK(text.find("| `threads` | integer | threads | 1 to 64 | 2 | For") !=
        std::string::npos);
  CHECK(text.find("| `domain` | text |  |  | required |") != std::string::npos);
}

TEST_CASE_METHOD(settings_fixture,
                 "ParseDuration_OfEachUnit_ReturnsItsLength",
                 "[settings]")
{
  CHECK(ParseDuration("250ms", reason) == 250ms);
  CHECK(ParseDuration("1.5s", reason) == 1500ms);
  CHECK(ParseDuration("2min", reason) == 2min);
  CHECK(ParseDuration("1h", reason) == 1h);
  for (const char* bad : { "", "s", "5", "-1s", "1e99h", "nans", "1 s" }) {
    INFO(bad);
    CHECK_FALSE(ParseDuration(bad, reason).has_value());
  }
  CHECK(FormatDuration(1500ms) == "1500ms");
  CHECK(FormatDuration(3s) == "3s");
}

TEST_CASE_METHOD(settings_fixture,
                 "ParseAddress_OfBadText_IsRefused",
                 "[settings]")
{
  for (const char* bad : { "",
                           "127.0.0.1",
                           "127.0.0.1:",
                           "127.0.0.1:65536",
                           "127.0.0.1:-1",
                           "localhost:80",
                           "::1:80",
                           "[127.0.0.1]:80",
                           "256.0.0.1:80" }) {
    INFO(bad);
    CHECK_FALSE(ParseAddress(bad, reason).has_value());
  }
  const auto address = ParseAddress("[::1]:80", reason);
  REQUIRE(address.has_value());
  CHECK(FormatAddress(*address) == "[::1]:80");
}

TEST_CASE_METHOD(settings_fixture,
                 "ReadSecret_WhenOthersCanReadTheFile_IsRefused",
                 "[settings]")
{
  const auto good = ReadSecret(Write("good", "s3cret\r\nrest\n"), reason);
  REQUIRE(good.has_value());
  CHECK(good->Reveal() == "s3cret");
  for (const mode_t mode : { 0640, 0604, 0620, 0601 }) {
    CHECK_FALSE(ReadSecret(Write("open", "s3cret\n", mode), reason));
    CHECK(ReasonContains("chmod 600"));
    CHECK_FALSE(ReasonContains("s3cret"));
  }
  CHECK_FALSE(ReadSecret(Write("empty", "\n"), reason));
  CHECK_FALSE(ReadSecret(Write("long", std::string(5000, 'a')), reason));
  CHECK_FALSE(ReadSecret(folder, reason));
  CHECK_FALSE(ReadSecret(folder / "none", reason));
}

TEST_CASE_METHOD(settings_fixture,
                 "WriteSecret_WhenTheFileExists_FailsAndKeepsIt",
                 "[settings]")
{
  const auto file = folder / "new";
  REQUIRE(WriteSecret(file, secret_text("first"), reason));
  CHECK_FALSE(WriteSecret(file, secret_text("second"), reason));
  const auto read = ReadSecret(file, reason);
  REQUIRE(read.has_value());
  CHECK(read->Reveal() == "first");
}

TEST_CASE_METHOD(settings_fixture,
                 "EqualInConstantTime_OfTwoTexts_IsTrueOnlyIfEqual",
                 "[settings]")
{
  CHECK(EqualInConstantTime("abc", "abc"));
  CHECK(EqualInConstantTime("", ""));
  CHECK_FALSE(EqualInConstantTime("abc", "abd"));
  CHECK_FALSE(EqualInConstantTime("abc", "abcabc"));
  CHECK_FALSE(EqualInConstantTime("abcabc", "abc"));
  CHECK_FALSE(EqualInConstantTime("", "a"));
  CHECK_FALSE(EqualInConstantTime("a", ""));
}

} // namespace
} // namespace bulrush
