#include "settings/settings.hpp"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace bulrush {
namespace {

constexpr const char* kCommandLine = "command line";

// An INI reader that takes a value whole: CLI11's own would split it at blanks
// and commas, which are the business of the option's type.
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

// A value as it was written, with its place for messages.
struct written_value
{
  std::string place;
  std::string key;
  std::string value;
};

struct written_settings
{
  std::vector<written_value> values;
  std::vector<setting_fault> faults;
};

// What the command line holds besides options of the table.
struct command_line
{
  std::string configFile;
  bool checkConfig = false;
  bool optionsTable = false;
  std::string help; ///< not empty when it was asked for
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

// Lines are handed to the library one at a time, which is how messages come to
// have a line number.
void
ReadLine(const program_options& aProgram,
         const std::string& aLine,
         const std::string& aPlace,
         written_settings& aWritten)
{
  if (IsBlankOrComment(aLine)) {
    return;
  }
  std::string section;
  if (IsSection(aLine, section)) {
    if (section != aProgram.program) {
      aWritten.faults.push_back(
        { aPlace,
          "[" + section + "]",
          "",
          fmt::format("no section but [{}]", aProgram.program) });
    }
    return;
  }
  std::istringstream stream(aLine);
  const auto items = whole_value_ini().from_config(stream);
  if (aLine.find('=') == std::string::npos || items.size() != 1) {
    aWritten.faults.push_back({ aPlace, aLine, "", "KEY = VALUE" });
    return;
  }
  aWritten.values.push_back(
    { aPlace, items[0].fullname(), items[0].inputs.at(0) });
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

// An unknown word is a fault beside the others, so CLI11 is told to pass it on.
void
TakeRemainder(const program_options& aProgram,
              const std::vector<std::string>& aRemainder,
              command_line& aResult)
{
  const bool takesArguments = *aProgram.arguments != '\0';
  for (const std::string& word : aRemainder) {
    if (takesArguments && !word.starts_with("-")) {
      aResult.arguments.push_back(word);
      continue;
    }
    aResult.written.faults.push_back(
      { kCommandLine, word, "", "an option that --help lists" });
  }
}

// A switch stands alone ("--json", or "--json=false"): a word after it is an
// argument of its own.
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
                int aCount,
                const char* const* aWords)
{
  command_line result;
  CLI::App app(aProgram.purpose, aProgram.program);
  app.allow_extras();
  app.add_option("--config", result.configFile, "The INI file of settings");
  app.add_flag("--check-config",
               result.checkConfig,
               "Check the settings, say what is wrong, and stop");
  app.add_flag("--options-table",
               result.optionsTable,
               "Print the table of options in Markdown, and stop");
  app.footer(aProgram.arguments);
  std::map<std::string, std::string> values;
  for (const option_row& row : aProgram.rows) {
    AddOption(app, row, values[row.name]);
  }
  try {
    app.parse(aCount, aWords);
  } catch (const CLI::CallForHelp&) {
    result.help = app.help();
    return result;
  } catch (const CLI::ParseError& error) {
    result.written.faults.push_back(
      { kCommandLine, error.what(), "", "--option VALUE" });
  }
  TakeRemainder(aProgram, app.remaining(), result);
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
  setting_fault fault{ aWritten.place, aWritten.key, aWritten.value, {} };
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

// A key given twice in one file is nearly always an edit gone wrong.
void
CheckRepeats(const std::vector<written_value>& aValues,
             std::vector<setting_fault>& aFaults)
{
  std::map<std::string, std::string> places;
  for (const written_value& each : aValues) {
    const auto [found, isNew] = places.emplace(each.key, each.place);
    if (!isNew) {
      aFaults.push_back({ each.place,
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
    const bool isNamed = std::any_of(
      aEarlier.begin(), aEarlier.end(), [&row](const setting_fault& aFault) {
        return aFault.key == row.name;
      });
    if (row.isRequired && !isNamed && !aValues.IsSet(row.name)) {
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
    CheckRepeats(file.values, faults);
    for (const written_value& each : file.values) {
      CheckValue(aProgram, each, faults, aValues);
    }
  }
  const written_settings& typed = aCommandLine.written;
  faults.insert(faults.end(), typed.faults.begin(), typed.faults.end());
  for (const written_value& each : typed.values) {
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
  const std::string least = aRow.least;
  const std::string most = aRow.most;
  if (!least.empty() && !most.empty()) {
    return fmt::format("{} to {}", least, most);
  }
  if (!least.empty()) {
    return "at least " + least;
  }
  return most.empty() ? std::string() : "at most " + most;
}

} // namespace

std::string
Describe(const setting_fault& aFault)
{
  const std::string found =
    aFault.found.empty() ? std::string() : " = " + aFault.found;
  return fmt::format(
    "{}: {}{}: expected {}", aFault.place, aFault.key, found, aFault.expected);
}

std::optional<loaded_settings>
LoadSettings(const program_options& aProgram,
             int aCount,
             const char* const* aWords,
             last_reason& aReason)
{
  command_line commandLine = ReadCommandLine(aProgram, aCount, aWords);
  loaded_settings loaded{ option_values(aProgram.rows), {}, {} };
  if (!commandLine.help.empty() || commandLine.optionsTable) {
    loaded.action = settings_action::eStop;
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
    loaded.action = settings_action::eStop;
    loaded.output = "settings: good\n";
  }
  return loaded;
}

std::optional<option_values>
StartWithSettings(const program_options& aProgram,
                  int aCount,
                  const char* const* aWords,
                  int& aExitCode)
{
  last_reason reason;
  auto loaded = LoadSettings(aProgram, aCount, aWords, reason);
  if (!loaded) {
    fmt::print(stderr, "{}\n", reason.text);
    aExitCode = kBadSettings;
    return std::nullopt;
  }
  if (loaded->action == settings_action::eStop) {
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
