#include "apps/link_settings.hpp"

namespace bulrush {

std::optional<net::link_keys>
ReadLinkKeys(const option_values& aOptions, last_reason& aWhy)
{
  if (!aOptions.IsSet("link-keys")) {
    return net::link_keys{};
  }
  const auto secret = ReadSecret(aOptions.Path("link-keys"), aWhy);
  if (!secret) {
    return std::nullopt;
  }
  return net::ParseLinkKeys(secret->Reveal(), aWhy);
}

} // namespace bulrush
