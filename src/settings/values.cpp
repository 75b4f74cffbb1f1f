#include "settings/settings.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>
#include <cmath>
#include <stdexcept>

namespace bulrush {
namespace {

constexpr int kAddressBytes = 16; // size of an IPv6 address
constexpr std::uint64_t kLastPort = 65535;

struct duration_unit
{
  std::string_view suffix;
  std::chrono::milliseconds length;
};

// "ms" is before "s", because a text that ends in "ms" ends in "s" as well.
constexpr std::array<duration_unit, 4> kDurationUnits = { {
  { "ms", std::chrono::milliseconds(1) },
  { "min", std::chrono::minutes(1) },
  { "s", std::chrono::seconds(1) },
  { "h", std::chrono::hours(1) },
} };

constexpr std::chrono::hours kMaxDuration{ 24 * 365 };

template<class number>
std::optional<number>
ParseNumber(std::string_view aText)
{
  number value{};
  const char* const end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, value);
  if (aText.empty() || result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  if constexpr (std::is_floating_point_v<number>) {
    if (!std::isfinite(value)) {
      return std::nullopt;
    }
  }
  return value;
}

std::string
Trimmed(std::string_view aText)
{
  constexpr std::string_view kBlank = " \t";
  const std::size_t first = aText.find_first_not_of(kBlank);
  if (first == std::string_view::npos) {
    return {};
  }
  const std::size_t last = aText.find_last_not_of(kBlank);
  return std::string(aText.substr(first, last - first + 1));
}

std::vector<std::string>
SplitList(std::string_view aText)
{
  std::vector<std::string> words;
  while (!aText.empty()) {
    const std::size_t comma = aText.find(',');
    std::string word = Trimmed(aText.substr(0, comma));
    if (!word.empty()) {
      words.push_back(std::move(word));
    }
    if (comma == std::string_view::npos) {
      break;
    }
    aText.remove_prefix(comma + 1);
  }
  return words;
}

bool
IsIpAddress(const std::string& aIp, bool aIsBracketed)
{
  std::array<unsigned char, kAddressBytes> bytes{};
  return ::inet_pton(
           aIsBracketed ? AF_INET6 : AF_INET, aIp.c_str(), bytes.data()) == 1;
}

// A numeric value for the check of its bounds; durations in milliseconds.
std::optional<double>
Measure(option_type aType, std::string_view aText)
{
  if (aType == option_type::eDuration) {
    last_reason ignored;
    const auto duration = ParseDuration(aText, ignored);
    if (!duration) {
      return std::nullopt;
    }
    return static_cast<double>(duration->count());
  }
  if (aType == option_type::eInteger) {
    const auto value = ParseNumber<std::int64_t>(aText);
    if (!value) {
      return std::nullopt;
    }
    return static_cast<double>(*value);
  }
  return ParseNumber<double>(aText);
}

std::string
ExpectedNumber(const option_row& aRow)
{
  std::string text = "an integer";
  if (aRow.type == option_type::eDecimal) {
    text = "a number";
  }
  if (aRow.type == option_type::eDuration) {
    text = "a duration with ms, s, min or h";
  }
  const std::string minimum = aRow.minimum;
  const std::string maximum = aRow.maximum;
  if (!minimum.empty() && !maximum.empty()) {
    text += fmt::format(" from {} to {}", minimum, maximum);
  } else if (!minimum.empty()) {
    text += fmt::format(" of at least {}", minimum);
  } else if (!maximum.empty()) {
    text += fmt::format(" of at most {}", maximum);
  }
  return text;
}

bool
IsNumberValid(const option_row& aRow,
              const std::string& aText,
              setting_fault& aFault)
{
  const auto value = Measure(aRow.type, aText);
  const auto minimum = Measure(aRow.type, aRow.minimum);
  const auto maximum = Measure(aRow.type, aRow.maximum);
  const bool isInRange = value && (!minimum || *value >= *minimum) &&
                         (!maximum || *value <= *maximum);
  if (!isInRange) {
    aFault.expected = ExpectedNumber(aRow);
  }
  return isInRange;
}

bool
IsAddressValid(std::string_view aText, setting_fault& aFault)
{
  last_reason reason;
  if (ParseAddress(aText, reason)) {
    return true;
  }
  aFault.expected = reason.text;
  return false;
}

bool
IsAddressListValid(const std::string& aText, setting_fault& aFault)
{
  for (const std::string& each : SplitList(aText)) {
    if (!IsAddressValid(each, aFault)) {
      return false;
    }
  }
  return true;
}

const option_row&
RowOf(std::span<const option_row> aRows, std::string_view aName)
{
  for (const option_row& row : aRows) {
    if (row.name == aName) {
      return row;
    }
  }
  throw std::logic_error(fmt::format("no option is named {}", aName));
}

} // namespace

std::string
FormatAddress(const host_address& aAddress)
{
  const bool isVersion6 = aAddress.ip.find(':') != std::string::npos;
  return isVersion6 ? fmt::format("[{}]:{}", aAddress.ip, aAddress.port)
                    : fmt::format("{}:{}", aAddress.ip, aAddress.port);
}

// Host names are refused: hosts connect to each other by IP address, and a DNS
// lookup would block.
std::optional<host_address>
ParseAddress(std::string_view aText, last_reason& aReason)
{
  const auto fail = [&] {
    return Fail(aReason,
                "read address",
                std::string(aText),
                "an IP number and a port, such as 127.0.0.1:8080");
  };
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return fail();
  }
  std::string_view ip = aText.substr(0, colon);
  const bool isBracketed =
    ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (isBracketed) {
    ip = ip.substr(1, ip.size() - 2);
  }
  const auto port = ParseNumber<std::uint64_t>(aText.substr(colon + 1));
  host_address address{ std::string(ip), 0 };
  if (!port || *port > kLastPort || !IsIpAddress(address.ip, isBracketed)) {
    return fail();
  }
  address.port = static_cast<std::uint16_t>(*port);
  return address;
}

std::optional<std::chrono::milliseconds>
ParseDuration(std::string_view aText, last_reason& aReason)
{
  for (const duration_unit& unit : kDurationUnits) {
    if (!aText.ends_with(unit.suffix)) {
      continue;
    }
    const auto number =
      ParseNumber<double>(aText.substr(0, aText.size() - unit.suffix.size()));
    if (!number) {
      break;
    }
    const std::chrono::duration<double, std::milli> exact =
      *number * std::chrono::duration<double, std::milli>(unit.length);
    if (exact < exact.zero() || exact > kMaxDuration) {
      break;
    }
    return std::chrono::round<std::chrono::milliseconds>(exact);
  }
  return Fail(aReason,
              "read duration",
              std::string(aText),
              "expected a number with ms, s, min or h");
}

std::string
FormatDuration(std::chrono::milliseconds aDuration)
{
  if (aDuration % std::chrono::seconds(1) == aDuration.zero()) {
    return fmt::format("{}s", aDuration / std::chrono::seconds(1));
  }
  return fmt::format("{}ms", aDuration.count());
}

bool
IsValid(const option_row& aRow, const std::string& aText, setting_fault& aFault)
{
  switch (aRow.type) {
    case option_type::eInteger:
    case option_type::eDecimal:
    case option_type::eDuration:
      return IsNumberValid(aRow, aText, aFault);
    case option_type::eAddress:
      return aText.empty() || IsAddressValid(aText, aFault);
    case option_type::eAddressList:
      return IsAddressListValid(aText, aFault);
    case option_type::eBool:
      aFault.expected = "true or false";
      return aText == "true" || aText == "false";
    case option_type::eSecretFile: {
      last_reason reason;
      const bool isUsable = aText.empty() || ReadSecret(aText, reason);
      aFault.expected = "a secret file: " + reason.text;
      return isUsable;
    }
    case option_type::eText:
    case option_type::eList:
    case option_type::ePath:
      break;
  }
  return true;
}

option_values::option_values(std::span<const option_row> aRows)
  : mRows(aRows)
{
  for (const option_row& row : mRows) {
    mValues[row.name] = row.defaultValue;
  }
}

const std::string&
option_values::ValueOf(std::string_view aName, option_type aType) const
{
  if (RowOf(mRows, aName).type != aType) {
    throw std::logic_error(fmt::format("option {} has another type", aName));
  }
  return mValues.find(aName)->second;
}

const std::string&
option_values::Text(std::string_view aName) const
{
  return ValueOf(aName, option_type::eText);
}

std::int64_t
option_values::Integer(std::string_view aName) const
{
  return ParseNumber<std::int64_t>(ValueOf(aName, option_type::eInteger))
    .value();
}

double
option_values::Decimal(std::string_view aName) const
{
  return ParseNumber<double>(ValueOf(aName, option_type::eDecimal)).value();
}

std::chrono::milliseconds
option_values::Duration(std::string_view aName) const
{
  last_reason ignored;
  return ParseDuration(ValueOf(aName, option_type::eDuration), ignored).value();
}

std::optional<host_address>
option_values::Address(std::string_view aName) const
{
  last_reason ignored;
  return ParseAddress(ValueOf(aName, option_type::eAddress), ignored);
}

std::vector<host_address>
option_values::Addresses(std::string_view aName) const
{
  last_reason ignored;
  std::vector<host_address> addresses;
  for (const std::string& each :
       SplitList(ValueOf(aName, option_type::eAddressList))) {
    addresses.push_back(ParseAddress(each, ignored).value());
  }
  return addresses;
}

std::vector<std::string>
option_values::List(std::string_view aName) const
{
  return SplitList(ValueOf(aName, option_type::eList));
}

bool
option_values::Flag(std::string_view aName) const
{
  return ValueOf(aName, option_type::eBool) == "true";
}

std::filesystem::path
option_values::Path(std::string_view aName) const
{
  const bool isSecret = RowOf(mRows, aName).type == option_type::eSecretFile;
  return ValueOf(aName,
                 isSecret ? option_type::eSecretFile : option_type::ePath);
}

bool
option_values::IsSet(std::string_view aName) const
{
  return !ValueOf(aName, RowOf(mRows, aName).type).empty();
}

void
option_values::Assign(std::string_view aName, std::string aValue)
{
  mValues[RowOf(mRows, aName).name] = std::move(aValue);
}

void
option_values::AssignArguments(std::vector<std::string> aArguments)
{
  mArguments = std::move(aArguments);
}

} // namespace bulrush
