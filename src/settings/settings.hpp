#ifndef BULRUSH_SETTINGS_SETTINGS_HPP
#define BULRUSH_SETTINGS_SETTINGS_HPP

/// Public header of the settings library: a program's table of options, their
/// values from an INI file and the command line, and secrets from files.

#include "core/core.hpp"

#include <filesystem>
#include <map>

namespace bulrush {

/// Type of an option's value, and its notation.
enum class option_type
{
  eText,
  eInteger,     ///< "17"
  eDecimal,     ///< "0.25"
  eDuration,    ///< "250ms", "3s", "5min" or "1h"
  eAddress,     ///< "127.0.0.1:8080" or "[::1]:8080"; port 0: any free one
  eAddressList, ///< comma-separated addresses
  eList,        ///< comma-separated words
  eBool,        ///< "true" or "false"
  ePath,
  eSecretFile ///< a file that only its owner can access
};

/// One option. An empty default of an address, path or secret file means "not
/// set". Bounds have the notation of the value; empty: no bound.
struct option_row
{
  const char* name; ///< INI key; on the command line after "--"
  option_type type;
  const char* unit; ///< shown in the help, e.g. "requests"; empty for none
  const char* defaultValue;
  const char* minimum;
  const char* maximum;
  const char* help; ///< one sentence without a full stop
  bool isRequired = false;
};

/// A program's options, and texts of its help.
struct program_options
{
  const char* program;
  const char* purpose;
  std::span<const option_row> rows;
  const char* arguments = ""; ///< help on positional ones; empty: none allowed
};

/// An IP address and a port.
struct host_address
{
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const host_address&) const = default;
};

/// "IP:port", with brackets around an IPv6 address.
std::string FormatAddress(const host_address& aAddress);
std::optional<host_address> ParseAddress(std::string_view aText,
                                         last_reason& aReason);

/// A number with "ms", "s", "min" or "h", e.g. "1.5s".
std::optional<std::chrono::milliseconds> ParseDuration(std::string_view aText,
                                                       last_reason& aReason);
std::string FormatDuration(std::chrono::milliseconds aDuration);

/// Validated values. A getter throws std::logic_error if the table has no
/// option of that name and type: this is an error in the program, not in the
/// settings.
class option_values
{
public:
  explicit option_values(std::span<const option_row> aRows);

  const std::string& Text(std::string_view aName) const;
  std::int64_t Integer(std::string_view aName) const;
  double Decimal(std::string_view aName) const;
  std::chrono::milliseconds Duration(std::string_view aName) const;
  /// nullopt when not set.
  std::optional<host_address> Address(std::string_view aName) const;
  std::vector<host_address> Addresses(std::string_view aName) const;
  std::vector<std::string> List(std::string_view aName) const;
  bool Flag(std::string_view aName) const;
  /// Path of a file, also of a secret file. Empty when not set.
  std::filesystem::path Path(std::string_view aName) const;

  /// False when the value is empty.
  bool IsSet(std::string_view aName) const;

  /// Positional arguments of the command line, in order.
  const std::vector<std::string>& Arguments() const { return mArguments; }

  /// For LoadSettings, which passes validated values only.
  void Assign(std::string_view aName, std::string aValue);
  void AssignArguments(std::vector<std::string> aArguments);

private:
  const std::string& ValueOf(std::string_view aName, option_type aType) const;

  std::span<const option_row> mRows;
  std::map<std::string, std::string, std::less<>> mValues;
  std::vector<std::string> mArguments;
};

/// An invalid, unknown or missing setting.
struct setting_fault
{
  std::string location; ///< "entry.ini:12" or "command line"
  std::string key;
  std::string found;
  std::string expected;
};

/// "place: key = found: expected ...".
std::string Describe(const setting_fault& aFault);

/// Whether aText is a valid value of aRow. If not, sets aFault.expected.
bool IsValid(const option_row& aRow,
             const std::string& aText,
             setting_fault& aFault);

/// What a program does after reading its settings.
enum class settings_action
{
  eRun,
  eExit ///< after printing help, the option table or a check's result
};

struct loaded_settings
{
  option_values values;
  settings_action action = settings_action::eRun;
  std::string output; ///< for standard output when action is eExit
};

/// Reads the file of "--config FILE" and the command line, which takes
/// precedence over the file. On failure aReason's text lists all faults, one
/// per line.
/// "--check-config", "--help" and "--options-table" result in eExit.
std::optional<loaded_settings> LoadSettings(const program_options& aProgram,
                                            int aArgumentCount,
                                            const char* const* aArguments,
                                            last_reason& aReason);

/// LoadSettings for a main function: prints faults to standard error and other
/// output to standard output. On nullopt the program has to exit with
/// aExitCode: 0, or kBadSettings after faults.
inline constexpr int kBadSettings = 2;
std::optional<option_values> StartWithSettings(const program_options& aProgram,
                                               int aArgumentCount,
                                               const char* const* aArguments,
                                               int& aExitCode);

/// The table of options in Markdown, for the operators' documentation.
std::string OptionsTable(const program_options& aProgram);

/// A secret. Has no formatter and no stream operator, so that it cannot be
/// logged by mistake.
class secret_text
{
public:
  secret_text() = default;
  explicit secret_text(std::string aBytes)
    : mBytes(std::move(aBytes))
  {
  }
  /// Use only where the secret is sent, stored or compared.
  const std::string& Reveal() const { return mBytes; }
  bool Empty() const { return mBytes.empty(); }

private:
  std::string mBytes;
};

/// Reads the first line of aFile. Fails if group or others can access the file,
/// if another user owns it, if it is not a regular file or above 4 KiB, and if
/// the line is empty.
std::optional<secret_text> ReadSecret(const std::filesystem::path& aFile,
                                      last_reason& aReason);

/// Reads the secret from the file that an option names. An empty secret when
/// the option is not set; nullopt when ReadSecret fails.
std::optional<secret_text> ReadSecretOption(const option_values& aOptions,
                                            std::string_view aOption,
                                            last_reason& aReason);

/// Creates aFile with mode 0600. Fails when it exists already.
bool WriteSecret(const std::filesystem::path& aFile,
                 const secret_text& aSecret,
                 last_reason& aReason);

/// Compares in a time that depends only on the lengths.
bool EqualInConstantTime(std::string_view aLeft, std::string_view aRight);

} // namespace bulrush

#endif
