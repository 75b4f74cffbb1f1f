#include "apps/load_process.hpp"
#include "observe/observe.hpp"
#include "settings/settings.hpp"

#include <asio/io_context.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace bulrush::load {
namespace {

constexpr log_part kLog{ "load" };

constexpr int kExitDone = 0;
constexpr int kExitFailed = 1;
constexpr int kExitWrong = 3;

constexpr std::array<option_row, 12> kOptions{ {
  { "manifest",
    option_type::ePath,
    "",
    "",
    "",
    "",
    "The manifest in force",
    true },
  { "load", option_type::ePath, "", "", "", "", "The load file", true },
  { "entries",
    option_type::eAddressList,
    "",
    "127.0.0.1:8080",
    "",
    "",
    "Entry hosts, chosen in turn among those that are ready" },
  { "keys",
    option_type::ePath,
    "",
    "",
    "",
    "",
    "Folder with a secret file for each workspace, named like it" },
  { "endpoints",
    option_type::eAddressList,
    "",
    "",
    "",
    "",
    "Endpoints that count their runs, asked before and after" },
  { "direct",
    option_type::eAddressList,
    "",
    "",
    "",
    "",
    "Endpoints that a share of the streams goes to directly" },
  { "direct-share",
    option_type::eDecimal,
    "",
    "0.5",
    "0",
    "1",
    "Share of the streams for the endpoints named by direct" },
  { "counts-tokens",
    option_type::eBool,
    "",
    "false",
    "",
    "",
    "Whether answers are held against those of fake-endpoint" },
  { "drain",
    option_type::eDuration,
    "",
    "30s",
    "0s",
    "1h",
    "Longest wait for answers after the last request" },
  { "seed",
    option_type::eInteger,
    "",
    "-1",
    "-1",
    "",
    "Replaces the seed of the load file; -1 keeps it" },
  { "csv", option_type::ePath, "", "", "", "", "File for a line a request" },
  { "plot", option_type::ePath, "", "", "", "", "File for an SVG plot" },
} };

constexpr program_options kProgram{
  "bulrush-load",
  "Sends an open-loop load and reports how it was served",
  kOptions
};

std::optional<std::string>
ReadFile(const std::filesystem::path& aFile, last_reason& aWhy)
{
  std::ifstream stream(aFile, std::ios::binary);
  if (!stream) {
    return Fail(aWhy, "read file", aFile.string(), "it cannot be opened");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

bool
WriteFile(const std::filesystem::path& aFile,
          const std::string& aText,
          last_reason& aWhy)
{
  std::ofstream stream(aFile, std::ios::binary);
  stream << aText;
  stream.flush();
  if (!stream) {
    Fail(aWhy, "write file", aFile.string(), "it cannot be written");
    return false;
  }
  return true;
}

std::optional<load_plan>
ReadPlan(const option_values& aOptions, last_reason& aWhy)
{
  const auto manifestText = ReadFile(aOptions.Path("manifest"), aWhy);
  if (!manifestText) {
    return std::nullopt;
  }
  const auto loadText = ReadFile(aOptions.Path("load"), aWhy);
  if (!loadText) {
    return std::nullopt;
  }
  std::vector<manifest_fault> faults;
  const auto declared = ParseManifest(*manifestText, faults);
  if (!declared) {
    return Fail(aWhy,
                "read manifest",
                aOptions.Path("manifest").string(),
                Describe(faults));
  }
  auto plan = ParseLoadPlan(*loadText, *declared, faults);
  if (!plan) {
    return Fail(
      aWhy, "read load file", aOptions.Path("load").string(), Describe(faults));
  }
  if (aOptions.Integer("seed") >= 0) {
    plan->seed = static_cast<std::uint64_t>(aOptions.Integer("seed"));
  }
  return plan;
}

bool
ReadKeys(const option_values& aOptions,
         const load_plan& aPlan,
         load_settings& aSettings,
         last_reason& aWhy)
{
  if (!aOptions.IsSet("keys")) {
    return true;
  }
  for (const load_workspace& workspace : aPlan.workspaces) {
    const auto key = ReadSecret(aOptions.Path("keys") / workspace.name, aWhy);
    if (!key) {
      return false;
    }
    aSettings.keys[workspace.id] = key->Reveal();
  }
  return true;
}

std::vector<std::string>
AddressTexts(const option_values& aOptions, const char* aName)
{
  std::vector<std::string> texts;
  for (const host_address& address : aOptions.Addresses(aName)) {
    texts.push_back(FormatAddress(address));
  }
  return texts;
}

std::optional<load_settings>
MakeSettings(const option_values& aOptions,
             const load_plan& aPlan,
             last_reason& aWhy)
{
  load_settings settings;
  const auto started = std::chrono::system_clock::now().time_since_epoch();
  settings.runName = fmt::format("{}-{}", aPlan.seed, started.count());
  settings.entries = AddressTexts(aOptions, "entries");
  settings.endpoints = AddressTexts(aOptions, "endpoints");
  settings.direct = AddressTexts(aOptions, "direct");
  settings.directShare = aOptions.Decimal("direct-share");
  settings.countsTokens = aOptions.Flag("counts-tokens");
  settings.drain = aOptions.Duration("drain");
  if (settings.entries.empty()) {
    return Fail(aWhy, "read settings", "entries", "expected at least one");
  }
  if (!ReadKeys(aOptions, aPlan, settings, aWhy)) {
    return std::nullopt;
  }
  return settings;
}

std::string
FormatChecks(const load_report& aReport)
{
  return fmt::format("\nsent again to another host {}, repeated under their "
                     "idempotency key {}\nnon-idempotent calls that ran twice "
                     "{}, keys seen by endpoints {}, endpoints overcommitted "
                     "{}{}\n",
                     aReport.resent,
                     aReport.repeated,
                     aReport.doubledCalls,
                     aReport.keysSeen,
                     aReport.overcommitted,
                     aReport.isCutShort ? "\nCUT SHORT by a signal" : "");
}

int
Report(const option_values& aOptions,
       const load_plan& aPlan,
       const load_report& aReport)
{
  const load_measures measures =
    Measure(aPlan, aReport.results, aReport.orders);
  const std::string text =
    FormatMeasures(aPlan, measures) + FormatChecks(aReport);
  std::fputs(text.c_str(), stdout);
  last_reason why;
  const bool isWritten =
    (!aOptions.IsSet("csv") ||
     WriteFile(
       aOptions.Path("csv"), FormatResultsCsv(aPlan, aReport.results), why)) &&
    (!aOptions.IsSet("plot") || WriteFile(aOptions.Path("plot"),
                                          FormatPlotSvg(aPlan, aReport.results),
                                          why));
  if (!isWritten) {
    WriteLogLines(kLog, log_level::eError, Describe(why));
    return kExitFailed;
  }
  const auto wrong =
    measures.outcomes[static_cast<std::size_t>(load_outcome::eWrong)];
  const bool isRight = wrong == 0 && aReport.doubledCalls == 0 &&
                       aReport.keysSeen == 0 && aReport.overcommitted == 0;
  return isRight ? kExitDone : kExitWrong;
}

int
Run(int aCount, char** aWords)
{
  int exitCode = 0;
  const auto options = StartWithSettings(kProgram, aCount, aWords, exitCode);
  if (!options) {
    return exitCode;
  }
  last_reason why;
  const auto plan = ReadPlan(*options, why);
  const auto settings =
    plan ? MakeSettings(*options, *plan, why) : std::nullopt;
  if (!settings) {
    WriteLogLines(kLog, log_level::eError, "cannot start: " + Describe(why));
    return kExitFailed;
  }
  asio::io_context context{ 1 };
  load_report report;
  load_process process(
    context, *plan, *settings, [&](const load_report& aReport) {
      report = aReport;
      context.stop();
    });
  net::OnStopSignal(context, [&process] { process.Stop(); });
  process.Start();
  context.run();
  return Report(*options, *plan, report);
}

} // namespace
} // namespace bulrush::load

int
main(int aCount, char** aWords)
{
  return bulrush::load::Run(aCount, aWords);
}
