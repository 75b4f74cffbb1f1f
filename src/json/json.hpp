#ifndef BULRUSH_JSON_JSON_HPP
#define BULRUSH_JSON_JSON_HPP

/// Public header of the json library: the only parser of JSON from outside the
/// process, and its bounds.

#include "core/core.hpp"

#include <nlohmann/json.hpp>

namespace bulrush {

/// Levels of nesting that ParseJson accepts. Copying, comparing, writing and
/// destroying a value recurse once per level.
inline constexpr std::size_t kMaxJsonDepth = 64;

/// Values that ParseJson accepts, with lists and objects. A parsed value takes
/// up to a hundred bytes, a text of small ones forty times its size.
inline constexpr std::size_t kMaxJsonValues = 524'288;

/// Parses one JSON text in UTF-8. nullopt with the reason for any other text
/// and for one that is nested deeper than kMaxJsonDepth or has more than
/// kMaxJsonValues; no part of such a value is built. The last of duplicate keys
/// counts.
std::optional<nlohmann::json> ParseJson(std::string_view aText,
                                        last_reason& aReason);

/// Reads the fields of a JSON object within bounds. Keeps the first fault,
/// which names its field; a field at fault reads as zero or empty. A missing
/// field without default is a fault. The object has to outlive the reader.
class field_reader
{
public:
  explicit field_reader(const nlohmann::json& aObject);

  /// A whole number; 5.0 is one.
  std::uint64_t Whole(const char* aName,
                      std::uint64_t aMin,
                      std::uint64_t aMax,
                      std::optional<std::uint64_t> aDefault = std::nullopt);
  double Number(const char* aName,
                double aMin,
                double aMax,
                std::optional<double> aDefault = std::nullopt);
  /// A text of 1 to aMaxBytes bytes without control characters.
  std::string Text(const char* aName, std::size_t aMaxBytes);
  /// An array; empty if the field is missing.
  const nlohmann::json& List(const char* aName);

  /// nullopt while all fields are in range.
  const std::optional<std::string>& Fault() const { return mFault; }

private:
  const nlohmann::json* Find(const char* aName, bool aIsRequired);
  void AddFault(const char* aName, const std::string& aExpected);

  const nlohmann::json& mObject;
  std::optional<std::string> mFault;
};

/// aValue as a whole number, if it is one from 0 to 2^64 - 1. Numbers written
/// with a fraction or an exponent count up to 2^53, where they are exact.
std::optional<std::uint64_t> ToWhole(const nlohmann::json& aValue);

} // namespace bulrush

#endif
