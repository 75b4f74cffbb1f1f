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

/// Parses one JSON text in UTF-8. nullopt with the reason for any other text
/// and for one that is nested deeper than kMaxJsonDepth; no part of such a
/// value is built. The last of duplicate keys counts.
std::optional<nlohmann::json> ParseJson(std::string_view aText,
                                        last_reason& aReason);

} // namespace bulrush

#endif
