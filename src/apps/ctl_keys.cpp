#include "apps/ctl_handlers.hpp"

#include "settings/settings.hpp"

#include <fmt/format.h>
#include <openssl/rand.h>

#include <fstream>

namespace bulrush::ctl {
namespace {

constexpr std::size_t kKeyBytes = 24;
constexpr std::string_view kKeyPrefix = "bl-";

std::optional<std::string>
GenerateKey(last_reason& aReason)
{
  std::array<unsigned char, kKeyBytes> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    return Fail(aReason, "make key", "", "no random bytes");
  }
  std::string key(kKeyPrefix);
  for (const unsigned char byte : bytes) {
    key += fmt::format("{:02x}", byte);
  }
  return key;
}

} // namespace

// The key is generated here, and only its hash is sent. It is stored or printed
// before the command is sent, so that a lost answer does not lose the key.
int
IssueKey(const call_settings& aSettings,
         const std::string& aWorkspace,
         last_reason& aReason)
{
  const auto key = GenerateKey(aReason);
  if (!key) {
    return eExitNotDone;
  }
  if (!aSettings.keyFile.empty()) {
    std::ofstream file(aSettings.keyFile);
    std::filesystem::permissions(aSettings.keyFile,
                                 std::filesystem::perms::owner_read |
                                   std::filesystem::perms::owner_write);
    file << *key << "\n";
  } else {
    Print(*key);
  }
  return SendCommand(aSettings,
                     issue_key{ HashKey(*key), IdOf<workspace_id>(aWorkspace) },
                     aReason);
}

// All reachable control processes apply the withdrawal immediately; the command
// in the log then makes it durable.
int
WithdrawKey(const call_settings& aSettings,
            const key_hash& aKey,
            last_reason& aReason)
{
  PublishWithdrawal(aSettings, aKey);
  return SendCommand(aSettings, withdraw_key{ aKey }, aReason);
}

int
MakeLinkKeyFile(const std::string& aName, last_reason& aReason)
{
  const auto keys = net::MakeLinkKeys(aReason);
  if (!keys ||
      !WriteSecret(aName, secret_text(net::FormatLinkKeys(*keys)), aReason)) {
    return eExitUsage;
  }
  return eExitDone;
}

key_hash
ResolveKeyHash(const std::string& aName)
{
  if (const auto hash = ParseHash(aName)) {
    return *hash;
  }
  std::ifstream file(aName);
  std::string key;
  if (file && std::getline(file, key)) {
    return HashKey(key);
  }
  return HashKey(aName);
}

} // namespace bulrush::ctl
