#ifndef BULRUSH_NET_HTTP_HEAD_HPP
#define BULRUSH_NET_HTTP_HEAD_HPP

/// Checks of a request's head for syntax that HTTP parsers treat differently.
/// Ambiguous heads are refused, since they allow request smuggling: two parsers
/// on the path would see different requests.

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace bulrush::net {

/// Checks the bytes of an incomplete head; nullopt if valid, else the error.
/// @param aHead may end anywhere before the final empty line.
std::optional<std::string> CheckHeadBytes(std::string_view aHead);

/// Checks a complete head, including the empty line; nullopt if valid, else the
/// error.
std::optional<std::string> CheckHead(std::string_view aHead);

/// Path and query of a request target, without the question mark between them.
std::pair<std::string, std::string> SplitTarget(std::string_view aTarget);

} // namespace bulrush::net

#endif
