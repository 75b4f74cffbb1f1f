#include "apps/ctl_handlers.hpp"

#include <fmt/format.h>

#include <fstream>
#include <sstream>

namespace bulrush::ctl {
namespace {

std::optional<std::string>
ReadFile(const std::string& aName, last_reason& aReason)
{
  std::ifstream file(aName, std::ios::binary);
  if (!file) {
    return Fail(aReason, "read file", aName, "it cannot be opened");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::optional<wire::manifest_reply>
FetchManifest(const call_settings& aSettings, last_reason& aReason)
{
  const auto answer =
    Call(aSettings, wire::manifest_call{ 1, aSettings.credential }, aReason);
  if (!answer) {
    return std::nullopt;
  }
  const auto* reply = std::get_if<wire::manifest_reply>(&*answer);
  if (reply == nullptr) {
    return Fail(aReason, "ask for manifest", "control", "unexpected answer");
  }
  return *reply;
}

std::optional<manifest>
ReadManifest(const std::string& aName, std::string& aText, last_reason& aReason)
{
  const auto text = ReadFile(aName, aReason);
  if (!text) {
    return std::nullopt;
  }
  std::vector<manifest_fault> faults;
  auto parsed = ParseManifest(*text, faults);
  if (!parsed) {
    return Fail(aReason, "check manifest", aName, "\n" + Describe(faults));
  }
  aText = *text;
  return parsed;
}

} // namespace

int
ApplyFile(const call_settings& aSettings,
          const std::string& aName,
          last_reason& aReason)
{
  std::string text;
  if (!ReadManifest(aName, text, aReason)) {
    return eExitUsage;
  }
  std::uint64_t expected = 0;
  if (aSettings.expectedRevision) {
    expected = *aSettings.expectedRevision;
  } else {
    const auto current = FetchManifest(aSettings, aReason);
    if (!current) {
      return eExitNotDone;
    }
    expected = current->manifestRevision;
  }
  return SendCommand(
    aSettings, apply_manifest{ expected, std::move(text) }, aReason);
}

int
CheckFile(const std::string& aName, last_reason& aReason)
{
  std::string text;
  const auto parsed = ReadManifest(aName, text, aReason);
  if (!parsed) {
    return eExitUsage;
  }
  Print(fmt::format("{} version {}: {} models, {} adapters, {} workspaces",
                    parsed->name,
                    parsed->version,
                    parsed->models.Size(),
                    parsed->adapters.Size(),
                    parsed->workspaces.Size()));
  return eExitDone;
}

int
DiffFile(const call_settings& aSettings,
         const std::string& aName,
         last_reason& aReason)
{
  std::string text;
  const auto proposed = ReadManifest(aName, text, aReason);
  if (!proposed) {
    return eExitUsage;
  }
  const auto current = FetchManifest(aSettings, aReason);
  if (!current) {
    return eExitNotDone;
  }
  manifest currentManifest;
  if (!current->text.empty()) {
    std::vector<manifest_fault> faults;
    currentManifest = ParseManifest(current->text, faults).value_or(manifest{});
  }
  for (const std::string& line : DescribeChanges(currentManifest, *proposed)) {
    Print(line);
  }
  return eExitDone;
}

} // namespace bulrush::ctl
