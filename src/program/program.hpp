#ifndef BULRUSH_PROGRAM_PROGRAM_HPP
#define BULRUSH_PROGRAM_PROGRAM_HPP

/// The settings of links that several programs share.

#include "net/net.hpp"
#include "settings/settings.hpp"

namespace bulrush {

/// The keys in the file that option "link-keys" names; empty keys when it is
/// not set; nullopt when the file cannot be used.
std::optional<net::link_keys> ReadLinkKeys(const option_values& aOptions,
                                           last_reason& aWhy);

} // namespace bulrush

#endif
