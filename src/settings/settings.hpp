#ifndef BULRUSH_SETTINGS_SETTINGS_HPP
#define BULRUSH_SETTINGS_SETTINGS_HPP

/// Public header of the settings library: a program's table of options, read
/// from one INI file and the command line, and secrets from files.

#include "core/core.hpp"

#include <filesystem>
#include <map>

namespace bulrush {

/// What an option holds and how it is written.
enum class option_type
{
  eText,
  eInteger,     ///< "17"
  eDecimal,     ///< "0.25"
  eDuration,    ///< "250ms", "3s", "5min" or "1h"
  eAddress,     ///< "127.0.0.1:8080" or "[::1]:8080"; port 0 takes a free one
  eAddressList, ///< addresses with commas between them
  eList,        ///< words with commas between them
  eBool,        ///< "true" or "false"
  ePath,
  eSecretFile ///< a file that group and others cannot read
};

/// One option. An empty default of an address, path or secret file means "not
/// set"; bounds are in the notation of the value, empty for none.
struct option_row
{
  const char* name; ///< of the INI key, and of the command line after "--"
  option_type type;
  const char* unit; ///< for people, e.g. "requests"; empty for none
  const char* defaultValue;
  const char* least;
  const char* most;
  const char* help; ///< one sentence without a full stop
  bool isRequired = false;
};

/// A program's options and what its help shows.
struct program_options
{
  const char* program;
  const char* purpose;
  std::span<const option_row> rows;
  const char* arguments = ""; ///< help on words without "--"; empty for none
};

/// An IP number and a port.
struct host_address
{
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const host_address&) const = default;
};

/// "IP:port", with brackets around an IPv6 number.
std::string FormatAddress(const host_address& aAddress);
std::optional<host_address> ParseAddress(std::string_view aText,
                                         last_reason& aReason);

/// A number with "ms", "s", "min" or "h", e.g. "1.5s".
std::optional<std::chrono::milliseconds> ParseDuration(std::string_view aText,
                                                       last_reason& aReason);
std::string FormatDuration(std::chrono::milliseconds aDuration);

/// Checked values. A getter for a name or type that the table does not have
/// throws std::logic_error: that is a fault of the program, not of its user.
class option_values
{
public:
  explicit option_values(std::span<const option_row> aRows);

  const std::string& Text(std::string_view aName) const;
  std::int64_t Integer(std::string_view aName) const;
  double Decimal(std::string_view aName) const;
  std::chrono::milliseconds Duration(std::string_view aName) const;
  /// nullopt when it is not set.
  std::optional<host_address> Address(std::string_view aName) const;
  std::vector<host_address> Addresses(std::string_view aName) const;
  std::vector<std::string> List(std::string_view aName) const;
  bool Flag(std::string_view aName) const;
  /// Empty when it is not set. Also for secret files.
  std::filesystem::path Path(std::string_view aName) const;

  /// False when the value is an empty one.
  bool IsSet(std::string_view aName) const;

  /// Words of the command line without "--", in their order.
  const std::vector<std::string>& Arguments() const { return mArguments; }

  /// For the reader of settings: values it has checked.
  void Assign(std::string_view aName, std::string aValue);
  void AssignArguments(std::vector<std::string> aArguments);

private:
  const std::string& ValueOf(std::string_view aName, option_type aType) const;

  std::span<const option_row> mRows;
  std::map<std::string, std::string, std::less<>> mValues;
  std::vector<std::string> mArguments;
};

/// A value that cannot be used.
struct setting_fault
{
  std::string place; ///< "entry.ini:12" or "command line"
  std::string key;
  std::string found;
  std::string expected;
};

/// "place: key = found: expected ...".
std::string Describe(const setting_fault& aFault);

/// Whether aText is a value of aRow; fills aFault's expectation when not.
bool IsValid(const option_row& aRow,
             const std::string& aText,
             setting_fault& aFault);

/// What a program does after its settings were read.
enum class settings_action
{
  eRun,
  eStop ///< help, the table or the result of a check was asked for
};

struct loaded_settings
{
  option_values values;
  settings_action action = settings_action::eRun;
  std::string output; ///< for standard output when action is eStop
};

/// Reads "--config FILE" and the command line, which goes before the file. All
/// faults are in aReason's text, one a line; also then nothing has started.
/// "--check-config", "--help" and "--options-table" ask for eStop.
std::optional<loaded_settings> LoadSettings(const program_options& aProgram,
                                            int aCount,
                                            const char* const* aWords,
                                            last_reason& aReason);

/// LoadSettings for a main function: prints what there is to print. On nullopt
/// the program returns aExitCode: 0, or kBadSettings.
inline constexpr int kBadSettings = 2;
std::optional<option_values> StartWithSettings(const program_options& aProgram,
                                               int aCount,
                                               const char* const* aWords,
                                               int& aExitCode);

/// The table of options in Markdown, for the operators' page.
std::string OptionsTable(const program_options& aProgram);

/// A secret. It has no formatter and no stream operator, so it cannot be
/// logged by mistake.
class secret_text
{
public:
  secret_text() = default;
  explicit secret_text(std::string aBytes)
    : mBytes(std::move(aBytes))
  {
  }
  /// For the one place that sends or compares it.
  const std::string& Reveal() const { return mBytes; }
  bool Empty() const { return mBytes.empty(); }

private:
  std::string mBytes;
};

/// The first line of aFile. Refused: a file that group or others can read or
/// write, one of another user, not a regular file, empty, above 4 KiB.
std::optional<secret_text> ReadSecret(const std::filesystem::path& aFile,
                                      last_reason& aReason);

/// The secret in the file that an option names; an empty one when the option is
/// not set; nullopt when the file cannot be used.
std::optional<secret_text> ReadSecretOption(const option_values& aOptions,
                                            std::string_view aOption,
                                            last_reason& aReason);

/// Creates aFile with mode 0600; refused when it is there already.
bool WriteSecret(const std::filesystem::path& aFile,
                 const secret_text& aSecret,
                 last_reason& aReason);

/// Compares in a time that depends on the lengths only.
bool EqualInConstantTime(std::string_view aLeft, std::string_view aRight);

} // namespace bulrush

#endif
