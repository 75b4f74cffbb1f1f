#include "program/program.hpp"

#include <fmt/format.h>

namespace bulrush {

namespace {

// Hosts that did not know an endpoint have its id only. Its incarnation is also
// in the lines endpoint_joined, with its name.
std::string
DescribeCrashes(const quarantine::suspect_row& aRow)
{
  std::string text;
  for (const quarantine::crash& each : aRow.crashes) {
    text += fmt::format("{}{:x}@{}",
                        text.empty() ? "" : ",",
                        each.endpoint.value,
                        each.incarnation);
  }
  return text;
}

} // namespace

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

// The rest is for endpoints, links and files.
std::size_t
MaxCallerConnections(const option_values& aOptions)
{
  constexpr std::size_t kParts = 6;
  return static_cast<std::size_t>(aOptions.Integer("descriptor-limit")) *
         (kParts - 1) / kParts;
}

std::string
DescribeParts(const std::vector<part_id>& aParts)
{
  std::string text;
  for (const part_id part : aParts) {
    text += fmt::format("{}{:x}", text.empty() ? "" : ",", part.value);
  }
  return text;
}

void
LogEvidence(const log_component& aComponent,
            const quarantine::options& aOptions,
            const quarantine::evidence& aChanges)
{
  for (const quarantine::suspect_row& row : aChanges.suspects) {
    LogEvent(aComponent,
             log_level::eInfo,
             "prompt_part",
             { { "part", fmt::format("{:x}", row.id.value) },
               { "state", quarantine::StateName(aOptions, row) },
               { "crashes", DescribeCrashes(row) },
               { "together", DescribeParts(row.together) },
               { "trial", std::to_string(row.lastTrial.number) } });
  }
  for (const quarantine::cleared_row& row : aChanges.cleared) {
    LogEvent(aComponent,
             log_level::eInfo,
             "prompt_part",
             { { "part", fmt::format("{:x}", row.id.value) },
               { "state", "cleared" },
               { "by", row.isByOperator ? "operator" : "answer" } });
  }
  for (const quarantine::running_row& row : aChanges.running) {
    LogEvent(aComponent,
             log_level::eInfo,
             "endpoint_runs",
             { { "endpoint", fmt::format("{:x}", row.id.value) },
               { "incarnation", std::to_string(row.incarnation) } });
  }
}

} // namespace bulrush
