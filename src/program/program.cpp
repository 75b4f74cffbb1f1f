#include "program/program.hpp"

namespace bulrush {

std::optional<net::link_keys>
ReadLinkKeys(const option_values& aOptions, last_reason& aReason)
{
  const auto secret = ReadSecretOption(aOptions, "link-keys", aReason);
  if (!secret) {
    return std::nullopt;
  }
  if (secret->Empty()) {
    return net::link_keys{};
  }
  return net::ParseLinkKeys(secret->Reveal(), aReason);
}

} // namespace bulrush
