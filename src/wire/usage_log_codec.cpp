/// Usage windows in the replicated log.

#include "wire/usage.pb.h"
#include "wire/wire.hpp"

namespace bulrush::wire {
namespace {

void
Put(const duties::usage_window& aFrom, pb::UsageWindow& aTo)
{
  aTo.set_number(aFrom.id.value);
  for (const duties::usage_total& total : aFrom.totals) {
    auto* to = aTo.add_totals();
    to->set_workspace(total.workspace);
    to->set_requests(total.requests);
  }
}

duties::usage_window
Get(const pb::UsageWindow& aFrom)
{
  duties::usage_window window;
  window.id = { aFrom.number() };
  for (const auto& total : aFrom.totals()) {
    window.totals.push_back({ total.workspace(), total.requests() });
  }
  return window;
}

} // namespace

std::string
EncodeUsageEntry(const usage_entry& aEntry)
{
  pb::UsageEntry to;
  if (const auto* window = std::get_if<duties::usage_window>(&aEntry)) {
    Put(*window, *to.mutable_finalized());
  } else {
    to.mutable_reported()->set_through(
      std::get<windows_reported>(aEntry).through);
  }
  return to.SerializeAsString();
}

std::optional<usage_entry>
DecodeUsageEntry(const std::string& aBytes)
{
  pb::UsageEntry from;
  if (!from.ParseFromString(aBytes)) {
    return std::nullopt;
  }
  switch (from.change_case()) {
    case pb::UsageEntry::kFinalized:
      return Get(from.finalized());
    case pb::UsageEntry::kReported:
      return windows_reported{ from.reported().through() };
    case pb::UsageEntry::CHANGE_NOT_SET:
      break;
  }
  return std::nullopt;
}

std::string
EncodeWindowLog(const duties::window_log& aLog)
{
  pb::UsageLog to;
  for (const duties::usage_window& window : aLog.waiting) {
    Put(window, *to.add_waiting());
  }
  to.set_reported_through(aLog.reportedThrough);
  return to.SerializeAsString();
}

std::optional<duties::window_log>
DecodeWindowLog(const std::string& aBytes, last_reason& aReason)
{
  pb::UsageLog from;
  if (!from.ParseFromString(aBytes)) {
    return Fail(aReason, "decode usage windows", "", "malformed bytes");
  }
  duties::window_log log;
  for (const auto& window : from.waiting()) {
    log.waiting.Insert(Get(window));
  }
  log.reportedThrough = from.reported_through();
  return log;
}

} // namespace bulrush::wire
