#ifndef BULRUSH_NET_RESPONSE_LINES_HPP
#define BULRUSH_NET_RESPONSE_LINES_HPP

/// Lines of the head of an HTTP response.

#include "net/net.hpp"

#include <optional>
#include <string_view>

namespace bulrush::net {

/// Status of a line "HTTP/VERSION STATUS REASON"; nullopt if it has none of
/// three digits. libcurl 7.88 refuses those itself, and statuses below 100.
std::optional<int> ParseStatusLine(std::string_view aLine);

/// True for a status that another head follows. No call asks for a switch of
/// protocols, so 101 is none.
bool IsInterimStatus(int aStatus);

/// nullopt for a line that is no field.
std::optional<http_field> ParseFieldLine(std::string_view aLine);

} // namespace bulrush::net

#endif
