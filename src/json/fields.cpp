#include "json/json.hpp"

#include <algorithm>

namespace bulrush {
namespace {

using nlohmann::json;

constexpr double kMaxExact = 9007199254740992.0; // 2^53

bool
IsControl(char aByte)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(aByte);
  return byte < kFirstPrintable || byte == kDelete;
}

std::string
Range(const json& aMin, const json& aMax)
{
  return " from " + aMin.dump() + " to " + aMax.dump();
}

} // namespace

std::optional<std::uint64_t>
ToWhole(const json& aValue)
{
  if (aValue.is_number_unsigned()) {
    return aValue.get<std::uint64_t>();
  }
  if (!aValue.is_number_float()) {
    return std::nullopt;
  }
  const auto value = aValue.get<double>();
  if (!(value >= 0 && value <= kMaxExact)) {
    return std::nullopt;
  }
  const auto whole = static_cast<std::uint64_t>(value);
  return static_cast<double>(whole) == value ? std::optional(whole)
                                             : std::nullopt;
}

field_reader::field_reader(const json& aObject)
  : mObject(aObject)
{
  if (!aObject.is_object()) {
    mFault = "expected an object";
  }
}

std::uint64_t
field_reader::Whole(const char* aName,
                    std::uint64_t aMin,
                    std::uint64_t aMax,
                    std::optional<std::uint64_t> aDefault)
{
  const json* field = Find(aName, !aDefault);
  if (field == nullptr) {
    return aDefault.value_or(0);
  }
  const auto value = ToWhole(*field);
  if (!value || *value < aMin || *value > aMax) {
    AddFault(aName, "a whole number" + Range(aMin, aMax));
    return 0;
  }
  return *value;
}

double
field_reader::Number(const char* aName,
                     double aMin,
                     double aMax,
                     std::optional<double> aDefault)
{
  const json* field = Find(aName, !aDefault);
  if (field == nullptr) {
    return aDefault.value_or(0);
  }
  const bool isInRange = field->is_number() && field->get<double>() >= aMin &&
                         field->get<double>() <= aMax;
  if (!isInRange) {
    AddFault(aName, "a number" + Range(aMin, aMax));
    return 0;
  }
  return field->get<double>();
}

std::string
field_reader::Text(const char* aName, std::size_t aMaxBytes)
{
  const json* field = Find(aName, true);
  if (field == nullptr) {
    return "";
  }
  std::string text = field->is_string() ? field->get<std::string>() : "";
  if (text.empty() || text.size() > aMaxBytes ||
      std::any_of(text.begin(), text.end(), IsControl)) {
    AddFault(aName,
             "1 to " + std::to_string(aMaxBytes) +
               " bytes without control characters");
    return "";
  }
  return text;
}

const json&
field_reader::List(const char* aName)
{
  static const json kEmpty = json::array();
  const json* field = Find(aName, false);
  if (field == nullptr) {
    return kEmpty;
  }
  if (!field->is_array()) {
    AddFault(aName, "a list");
    return kEmpty;
  }
  return *field;
}

const json*
field_reader::Find(const char* aName, bool aIsRequired)
{
  const auto found = mObject.find(aName);
  if (found != mObject.end()) {
    return &*found;
  }
  if (aIsRequired) {
    AddFault(aName, "a value");
  }
  return nullptr;
}

void
field_reader::AddFault(const char* aName, const std::string& aExpected)
{
  if (!mFault) {
    mFault = std::string(aName) + ": expected " + aExpected;
  }
}

} // namespace bulrush
