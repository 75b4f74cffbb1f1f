#ifndef BULRUSH_NET_HTTP_HEAD_HPP
#define BULRUSH_NET_HTTP_HEAD_HPP

/// Checks of a request's head that parsers differ in. Two that read one message
/// differently can be made to see different requests, so what is ambiguous is
/// refused.

#include <optional>
#include <string>
#include <string_view>

namespace bulrush::net {

/// What is wrong with the bytes of a head so far; nullopt when nothing is.
/// @param aHead may end anywhere before the empty line that ends the head.
std::optional<std::string> CheckHeadBytes(std::string_view aHead);

/// What is wrong with a whole head, the empty line included.
std::optional<std::string> CheckHead(std::string_view aHead);

} // namespace bulrush::net

#endif
