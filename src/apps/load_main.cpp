#include "apps/load_process.hpp"
#include "observe/observe.hpp"
#include "settings/settings.hpp"

#include <asio/io_context.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace bulrush::load {
namespace {

constexpr log_component kLog{ "load" };

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
    "Entry hosts; requests are spread over the ready ones" },
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
    "Endpoints with GET /stats, queried before and after the run" },
  { "direct",
    option_type::eAddressList,
    "",
    "",
    "",
    "",
    "Endpoints that receive a share of the streams directly" },
  { "direct-share",
    option_type::eDecimal,
    "",
    "0.5",
    "0",
    "1",
    "Share of the streams that is sent to the endpoints of direct" },
  { "counts-tokens",
    option_type::eBool,
    "",
    "false",
    "",
    "",
    "Whether answers must equal those of fake-endpoint" },
  { "drain",
    option_type::eDuration,
    "",
    "30s",
    "0s",
    "1h",
    "How long to wait for answers after the last request" },
  { "seed",
    option_type::eInteger,
    "",
    "-1",
    "-1",
    "",
    "Replaces the seed of the load file; -1 keeps it" },
  { "csv",
    option_type::ePath,
    "",
    "",
    "",
    "",
    "CSV file to write, one line per request" },
  { "plot", option_type::ePath, "", "", "", "", "SVG plot to write" },
} };

constexpr program_options kProgram{
  "bulrush-load",
  "Sends an open-loop load and reports outcomes and latencies",
  kOptions
};

std::optional<std::string>
ReadFile(const std::filesystem::path& aFile, last_reason& aReason)
{
  std::ifstream stream(aFile, std::ios::binary);
  if (!stream) {
    return Fail(aReason, "read file", aFile.string(), "it cannot be opened");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

bool
WriteFile(const std::filesystem::path& aFile,
          const std::string& aText,
          last_reason& aReason)
{
  std::ofstream stream(aFile, std::ios::binary);
  stream << aText;
  stream.flush();
  if (!stream) {
    Fail(aReason, "write file", aFile.string(), "it cannot be written");
    return false;
  }
  return true;
}

std::optional<load_plan>
ReadPlan(const option_values& aOptions, last_reason& aReason)
{
  const auto manifestText = ReadFile(aOptions.Path("manifest"), aReason);
  if (!manifestText) {
    return std::nullopt;
  }
  const auto loadText = ReadFile(aOptions.Path("load"), aReason);
  if (!loadText) {
    return std::nullopt;
  }
  std::vector<manifest_fault> faults;
  const auto declared = ParseManifest(*manifestText, faults);
  if (!declared) {
    return Fail(aReason,
                "read manifest",
                aOptions.Path("manifest").string(),
                Describe(faults));
  }
  auto plan = ParseLoadPlan(*loadText, *declared, faults);
  if (!plan) {
    return Fail(aReason,
                "read load file",
                aOptions.Path("load").string(),
                Describe(faults));
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
         last_reason& aReason)
{
  if (!aOptions.IsSet("keys")) {
    return true;
  }
  for (const load_workspace& workspace : aPlan.workspaces) {
    const auto key =
      ReadSecret(aOptions.Path("keys") / workspace.name, aReason);
    if (!key) {
      return false;
    }
    aSettings.keys[workspace.id] = key->Reveal();
  }
  return true;
}

std::vector<std::string>
FormatAddresses(const option_values& aOptions, const char* aName)
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
             last_reason& aReason)
{
  load_settings settings;
  const auto started = std::chrono::system_clock::now().time_since_epoch();
  settings.runName = fmt::format("{}-{}", aPlan.seed, started.count());
  settings.entries = FormatAddresses(aOptions, "entries");
  settings.endpoints = FormatAddresses(aOptions, "endpoints");
  settings.direct = FormatAddresses(aOptions, "direct");
  settings.directShare = aOptions.Decimal("direct-share");
  settings.countsTokens = aOptions.Flag("counts-tokens");
  settings.drain = aOptions.Duration("drain");
  if (settings.entries.empty()) {
    return Fail(aReason, "read settings", "entries", "expected at least one");
  }
  if (!ReadKeys(aOptions, aPlan, settings, aReason)) {
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
                     aReport.duplicatedCalls,
                     aReport.keysSeen,
                     aReport.overcommitted,
                     aReport.isInterrupted ? "\nCUT SHORT by a signal" : "");
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
  last_reason reason;
  const bool isWritten =
    (!aOptions.IsSet("csv") ||
     WriteFile(aOptions.Path("csv"),
               FormatResultsCsv(aPlan, aReport.results),
               reason)) &&
    (!aOptions.IsSet("plot") || WriteFile(aOptions.Path("plot"),
                                          FormatPlotSvg(aPlan, aReport.results),
                                          reason));
  if (!isWritten) {
    WriteLogLines(kLog, log_level::eError, Describe(reason));
    return kExitFailed;
  }
  const auto wrong =
    measures.outcomes[static_cast<std::size_t>(load_outcome::eWrong)];
  const bool isCorrect = wrong == 0 && aReport.duplicatedCalls == 0 &&
                         aReport.keysSeen == 0 && aReport.overcommitted == 0;
  return isCorrect ? kExitDone : kExitWrong;
}

int
Run(int aCount, char** aWords)
{
  int exitCode = 0;
  const auto options = StartWithSettings(kProgram, aCount, aWords, exitCode);
  if (!options) {
    return exitCode;
  }
  last_reason reason;
  const auto plan = ReadPlan(*options, reason);
  const auto settings =
    plan ? MakeSettings(*options, *plan, reason) : std::nullopt;
  if (!settings) {
    WriteLogLines(kLog, log_level::eError, "cannot start: " + Describe(reason));
    return kExitFailed;
  }
  asio::io_context context{ 1 };
  load_report report;
  load_process process(
    context, *plan, *settings, [&](const load_report& aReport) {
      report = aReport;
      context.stop();
    });
  net::OnStopSignal(
    context,
    [&process] { process.Stop(); },
    [] { WriteLogLines(kLog, log_level::eInfo, "already stopping"); });
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
