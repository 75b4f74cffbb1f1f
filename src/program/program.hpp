#ifndef BULRUSH_PROGRAM_PROGRAM_HPP
#define BULRUSH_PROGRAM_PROGRAM_HPP

/// Settings that several programs share.

#include "net/net.hpp"
#include "settings/settings.hpp"

namespace bulrush {

/// Reads the link keys from the file that option "link-keys" names. Empty keys
/// if the option is not set; nullopt if the file cannot be read or parsed.
std::optional<net::link_keys> ReadLinkKeys(const option_values& aOptions,
                                           last_reason& aReason);

} // namespace bulrush

#endif
