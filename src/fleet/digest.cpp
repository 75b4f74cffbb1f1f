#include "fleet/fleet.hpp"

#include <openssl/sha.h>

namespace bulrush {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

std::optional<std::uint8_t>
ParseHexDigit(char aDigit)
{
  const std::size_t position = kHexDigits.find(aDigit);
  if (position == std::string_view::npos) {
    return std::nullopt;
  }
  return static_cast<std::uint8_t>(position);
}

} // namespace

// Keys are long and random, so a dictionary attack is not feasible and one
// round of SHA-256 suffices.
key_hash
HashKey(std::string_view aKey)
{
  key_hash hash;
  SHA256(reinterpret_cast<const unsigned char*>(aKey.data()),
         aKey.size(),
         hash.bytes.data());
  return hash;
}

std::string
ToHex(const key_hash& aHash)
{
  std::string text;
  for (const std::uint8_t byte : aHash.bytes) {
    text += kHexDigits[byte >> 4U];
    text += kHexDigits[byte & 0x0FU];
  }
  return text;
}

std::optional<key_hash>
ParseHash(std::string_view aHex)
{
  key_hash hash;
  if (aHex.size() != 2 * hash.bytes.size()) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < hash.bytes.size(); ++i) {
    const auto high = ParseHexDigit(aHex[2 * i]);
    const auto low = ParseHexDigit(aHex[2 * i + 1]);
    if (!high || !low) {
      return std::nullopt;
    }
    hash.bytes[i] = static_cast<std::uint8_t>((*high << 4U) | *low);
  }
  return hash;
}

} // namespace bulrush
