#include "settings/settings.hpp"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace bulrush {
namespace {

constexpr const char* kCommandLine = "command line";

// INI reader that keeps a value as one string. CLI11's default reader splits it
// at blanks and commas, but whether to split depends on the option's type.
class whole_value_ini : public CLI::ConfigBase
{
public:
  whole_value_ini()
  {
    constexpr char kNoArrayStart = '\x01';
    constexpr char kNoArrayEnd = '\x02';
    constexpr char kNoSeparator = '\x03';
    comment(';');
    arrayBounds(kNoArrayStart, kNoArrayEnd);
    arrayDelimiter(kNoSeparator);
  }
};

// A value as written, with its location for error messages.
struct written_value
{
  std::string location;
  std::string key;
  std::string value;
};

struct written_settings
{
  std::vector<written_value> values;
  std::vector<setting_fault> faults;
};

// The parsed command line; options of the table are in `written`.
struct command_line
{
  std::string configFile;
  bool checkConfig = false;
  bool optionsTable = false;
  std::string help; ///< not empty: the text to print for --help
  std::vector<std::string> arguments;
  written_settings written;
};

const option_row*
FindRow(const program_options& aProgram, const std::string& aName)
{
  for (const option_row& row : aProgram.rows) {
    if (aName == row.name) {
      return &row;
    }
  }
  return nullptr;
}

std::string
OptionHelp(const option_row& aRow)
{
  std::string help = aRow.help;
  if (*aRow.unit != '\0') {
    help += fmt::format(", in {}", aRow.unit);
  }
  if (*aRow.defaultValue != '\0') {
    help += fmt::format(" [{}]", aRow.defaultValue);
  }
  return help;
}

bool
IsBlankOrComment(const std::string& aLine)
{
  const std::size_t first = aLine.find_first_not_of(" \t\r");
  return first == std::string::npos || aLine[first] == ';' ||
         aLine[first] == '#';
}

bool
IsSection(const std::string& aLine, std::string& aName)
{
  const std::size_t first = aLine.find_first_not_of(" \t");
  const std::size_t last = aLine.find_last_not_of(" \t\r");
  if (aLine[first] != '[' || aLine[last] != ']') {
    return false;
  }
  aName = aLine.substr(first + 1, last - first - 1);
  return true;
}

// CLI11 parses one line at a time, since its results have no line numbers,
// which error messages need.
void
ReadLine(const program_options& aProgram,
         const std::string& aLine,
         const std::string& aLocation,
         written_settings& aWritten)
{
  if (IsBlankOrComment(aLine)) {
    return;
  }
  std::string section;
  if (IsSection(aLine, section)) {
    if (section != aProgram.program) {
      aWritten.faults.push_back(
        { aLocation,
          "[" + section + "]",
          "",
          fmt::format("no section but [{}]", aProgram.program) });
    }
    return;
  }
  std::istringstream stream(aLine);
  const auto items = whole_value_ini().from_config(stream);
  if (aLine.find('=') == std::string::npos || items.size() != 1) {
    aWritten.faults.push_back({ aLocation, aLine, "", "KEY = VALUE" });
    return;
  }
  aWritten.values.push_back(
    { aLocation, items[0].fullname(), items[0].inputs.at(0) });
}

written_settings
ReadFile(const program_options& aProgram, const std::string& aFile)
{
  written_settings written;
  std::ifstream stream(aFile);
  if (!stream) {
    written.faults.push_back(
      { kCommandLine, "config", aFile, "a file that can be read" });
    return written;
  }
  std::string line;
  for (int number = 1; std::getline(stream, line); ++number) {
    ReadLine(aProgram, line, fmt::format("{}:{}", aFile, number), written);
  }
  return written;
}

// CLI11 passes on unknown words instead of failing, so that they are reported
// together with all other faults.
void
SortRemainder(const program_options& aProgram,
              const std::vector<std::string>& aRemainder,
              command_line& aResult)
{
  const bool allowsArguments = *aProgram.arguments != '\0';
  for (const std::string& word : aRemainder) {
    if (allowsArguments && !word.starts_with("-")) {
      aResult.arguments.push_back(word);
      continue;
    }
    aResult.written.faults.push_back(
      { kCommandLine, word, "", "an option that --help lists" });
  }
}

// A Boolean option is written "--json" or "--json=false". A word after "--json"
// is not its value but a positional argument.
void
AddOption(CLI::App& aApp, const option_row& aRow, std::string& aValue)
{
  const std::string name = std::string("--") + aRow.name;
  if (aRow.type == option_type::eBool) {
    aApp.add_flag(name, aValue, OptionHelp(aRow));
  } else {
    aApp.add_option(name, aValue, OptionHelp(aRow));
  }
}

command_line
ReadCommandLine(const program_options& aProgram,
                int aArgumentCount,
                const char* const* aArguments)
{
  command_line result;
  CLI::App app(aProgram.purpose, aProgram.program);
  app.allow_extras();
  app.add_option("--config", result.configFile, "INI file of settings");
  app.add_flag("--check-config",
               result.checkConfig,
               "Check the settings, print all faults, and exit");
  app.add_flag("--options-table",
               result.optionsTable,
               "Print the table of options in Markdown, and exit");
  app.footer(aProgram.arguments);
  std::map<std::string, std::string> values;
  for (const option_row& row : aProgram.rows) {
    AddOption(app, row, values[row.name]);
  }
  try {
    app.parse(aArgumentCount, aArguments);
  } catch (const CLI::CallForHelp&) {
    result.help = app.help();
    return result;
  } catch (const CLI::ParseError& error) {
    result.written.faults.push_back(
      { kCommandLine, error.what(), "", "--option VALUE" });
  }
  SortRemainder(aProgram, app.remaining(), result);
  for (const option_row& row : aProgram.rows) {
    if (app.count(std::string("--") + row.name) > 0) {
      result.written.values.push_back(
        { kCommandLine, row.name, values[row.name] });
    }
  }
  return result;
}

void
CheckValue(const program_options& aProgram,
           const written_value& aWritten,
           std::vector<setting_fault>& aFaults,
           option_values& aValues)
{
  setting_fault fault{ aWritten.location, aWritten.key, aWritten.value, {} };
  const option_row* const row = FindRow(aProgram, aWritten.key);
  if (row == nullptr) {
    fault.found.clear();
    fault.expected = "a key of the table of options";
    aFaults.push_back(std::move(fault));
    return;
  }
  if (!IsValid(*row, aWritten.value, fault)) {
    aFaults.push_back(std::move(fault));
    return;
  }
  aValues.Assign(aWritten.key, aWritten.value);
}

// A key given twice in one file is nearly always an editing mistake, so it is a
// fault rather than the last value winning.
void
CheckDuplicates(const std::vector<written_value>& aValues,
                std::vector<setting_fault>& aFaults)
{
  std::map<std::string, std::string> locations;
  for (const written_value& each : aValues) {
    const auto [found, isNew] = locations.emplace(each.key, each.location);
    if (!isNew) {
      aFaults.push_back({ each.location,
                          each.key,
                          each.value,
                          "each key once; it is also at " + found->second });
    }
  }
}

void
CheckRequired(const program_options& aProgram,
              const option_values& aValues,
              const std::vector<setting_fault>& aEarlier,
              std::vector<setting_fault>& aFaults)
{
  for (const option_row& row : aProgram.rows) {
    const bool isReported = std::any_of(
      aEarlier.begin(), aEarlier.end(), [&row](const setting_fault& aFault) {
        return aFault.key == row.name;
      });
    if (row.isRequired && !isReported && !aValues.IsSet(row.name)) {
      aFaults.push_back(
        { "settings", row.name, "", fmt::format("a value: {}", row.help) });
    }
  }
}

std::vector<setting_fault>
CheckAll(const program_options& aProgram,
         const command_line& aCommandLine,
         option_values& aValues)
{
  std::vector<setting_fault> faults;
  if (!aCommandLine.configFile.empty()) {
    written_settings file = ReadFile(aProgram, aCommandLine.configFile);
    faults = std::move(file.faults);
    CheckDuplicates(file.values, faults);
    for (const written_value& each : file.values) {
      CheckValue(aProgram, each, faults, aValues);
    }
  }
  const written_settings& commandLine = aCommandLine.written;
  faults.insert(
    faults.end(), commandLine.faults.begin(), commandLine.faults.end());
  for (const written_value& each : commandLine.values) {
    CheckValue(aProgram, each, faults, aValues);
  }
  const std::vector<setting_fault> earlier = faults;
  CheckRequired(aProgram, aValues, earlier, faults);
  return faults;
}

std::string
JoinFaults(const std::vector<setting_fault>& aFaults)
{
  std::string text;
  for (const setting_fault& fault : aFaults) {
    text += text.empty() ? "" : "\n";
    text += Describe(fault);
  }
  return text;
}

const char*
TypeName(option_type aType)
{
  switch (aType) {
    case option_type::eText:
      return "text";
    case option_type::eInteger:
      return "integer";
    case option_type::eDecimal:
      return "number";
    case option_type::eDuration:
      return "duration";
    case option_type::eAddress:
      return "address";
    case option_type::eAddressList:
      return "addresses";
    case option_type::eList:
      return "list";
    case option_type::eBool:
      return "true or false";
    case option_type::ePath:
      return "path";
    case option_type::eSecretFile:
      break;
  }
  return "secret file";
}

std::string
RangeOf(const option_row& aRow)
{
  const std::string minimum = aRow.minimum;
  const std::string maximum = aRow.maximum;
  if (!minimum.empty() && !maximum.empty()) {
    return fmt::format("{} to {}", minimum, maximum);
  }
  if (!minimum.empty()) {
    return "at least " + minimum;
  }
  return maximum.empty() ? std::string() : "at most " + maximum;
}

} // namespace

std::string
Describe(const setting_fault& aFault)
{
  const std::string found =
    aFault.found.empty() ? std::string() : " = " + aFault.found;
  return fmt::format("{}: {}{}: expected {}",
                     aFault.location,
                     aFault.key,
                     found,
                     aFault.expected);
}

std::optional<loaded_settings>
LoadSettings(const program_options& aProgram,
             int aArgumentCount,
             const char* const* aArguments,
             last_reason& aReason)
{
  command_line commandLine =
    ReadCommandLine(aProgram, aArgumentCount, aArguments);
  loaded_settings loaded{ option_values(aProgram.rows), {}, {} };
  if (!commandLine.help.empty() || commandLine.optionsTable) {
    loaded.action = settings_action::eExit;
    loaded.output = commandLine.help.empty() ? OptionsTable(aProgram)
                                             : std::move(commandLine.help);
    return loaded;
  }
  const auto faults = CheckAll(aProgram, commandLine, loaded.values);
  if (!faults.empty()) {
    return Fail(aReason, "read settings", aProgram.program, JoinFaults(faults));
  }
  loaded.values.AssignArguments(std::move(commandLine.arguments));
  if (commandLine.checkConfig) {
    loaded.action = settings_action::eExit;
    loaded.output = "settings: good\n";
  }
  return loaded;
}

std::optional<option_values>
StartWithSettings(const program_options& aProgram,
                  int aArgumentCount,
                  const char* const* aArguments,
                  int& aExitCode)
{
  last_reason reason;
  auto loaded = LoadSettings(aProgram, aArgumentCount, aArguments, reason);
  if (!loaded) {
    fmt::print(stderr, "{}\n", reason.text);
    aExitCode = kBadSettings;
    return std::nullopt;
  }
  if (loaded->action == settings_action::eExit) {
    fmt::print("{}", loaded->output);
    aExitCode = 0;
    return std::nullopt;
  }
  return std::move(loaded->values);
}

std::string
OptionsTable(const program_options& aProgram)
{
  std::string text = "| key | type | unit | range | default | meaning |\n"
                     "| --- | --- | --- | --- | --- | --- |\n";
  for (const option_row& row : aProgram.rows) {
    text += fmt::format("| `{}` | {} | {} | {} | {} | {} |\n",
                        row.name,
                        TypeName(row.type),
                        row.unit,
                        RangeOf(row),
                        row.isRequired ? "required" : row.defaultValue,
                        row.help);
  }
  return text;
}

} // namespace bulrush
