#include "apps/ctl_commands.hpp"
#include "observe/observe.hpp"
#include "program/program.hpp"
#include "settings/settings.hpp"

namespace bulrush::ctl {
namespace {

constexpr log_component kLog{ "ctl" };

constexpr auto kOptions = std::to_array<option_row>({
  { "control",
    option_type::eAddressList,
    "",
    "127.0.0.1:7100",
    "",
    "",
    "Control processes to connect to, tried in turn" },
  { "link-keys",
    option_type::eSecretFile,
    "",
    "",
    "",
    "",
    "File with the fleet's link keys, made by keygen" },
  { "wait",
    option_type::eDuration,
    "",
    "8s",
    "0ms",
    "10min",
    "How long to wait until a change is in force everywhere" },
  { "credential",
    option_type::eSecretFile,
    "",
    "",
    "",
    "",
    "File with the operators' credential" },
  { "timeout",
    option_type::eDuration,
    "",
    "10s",
    "100ms",
    "10min",
    "How long to wait for an answer before the outcome is reported as "
    "unknown" },
  { "json",
    option_type::eBool,
    "",
    "false",
    "",
    "",
    "Print JSON instead of tables" },
  { "expect",
    option_type::eInteger,
    "revision",
    "-1",
    "-1",
    "",
    "apply: manifest revision to replace; -1 fetches the current one first" },
  { "key-file",
    option_type::ePath,
    "",
    "",
    "",
    "",
    "key issue: where to write the new key; standard output if not set" },
  { "spans",
    option_type::eList,
    "",
    "",
    "",
    "",
    "trace: span files, collected from the hosts" },
  { "logs",
    option_type::eList,
    "",
    "",
    "",
    "",
    "trace: log files of the hosts; ID is then a request id" },
});

constexpr program_options kProgram{
  "bulrushctl",
  "Operates a bulrushladder fleet",
  kOptions,
  "keygen FILE | apply FILE | diff FILE | check FILE | status | key issue "
  "WORKSPACE | "
  "key withdraw HASH-OR-FILE | endpoint drain NAME | endpoint undrain NAME | "
  "domain take-out NAME | domain bring-back NAME | "
  "quarantine hold PART | quarantine release PART | "
  "control replace OLD[=NEW] | trace ID"
};

int
Run(int aCount, char** aWords)
{
  int exitCode = 0;
  const auto options = StartWithSettings(kProgram, aCount, aWords, exitCode);
  if (!options) {
    return exitCode;
  }
  call_settings settings;
  for (const host_address& address : options->Addresses("control")) {
    settings.controls.push_back(FormatAddress(address));
  }
  settings.timeout = options->Duration("timeout");
  settings.wait = options->Duration("wait");
  settings.isJson = options->Flag("json");
  settings.spanFiles = options->List("spans");
  settings.logFiles = options->List("logs");
  settings.keyFile = options->Path("key-file");
  if (options->Integer("expect") >= 0) {
    settings.expectedRevision =
      static_cast<std::uint64_t>(options->Integer("expect"));
  }
  last_reason reason;
  const auto keys = ReadLinkKeys(*options, reason);
  if (!keys) {
    WriteLogLines(kLog, log_level::eError, Describe(reason));
    return eExitUsage;
  }
  settings.linkKeys = *keys;
  const auto credential = ReadSecretOption(*options, "credential", reason);
  if (!credential) {
    WriteLogLines(kLog, log_level::eError, Describe(reason));
    return eExitUsage;
  }
  settings.credential = credential->Reveal();
  const int code = RunCommand(settings, options->Arguments(), reason);
  if (code != eExitDone) {
    WriteLogLines(kLog, log_level::eError, Describe(reason));
  }
  return code;
}

} // namespace
} // namespace bulrush::ctl

int
main(int aCount, char** aWords)
{
  return bulrush::ctl::Run(aCount, aWords);
}
