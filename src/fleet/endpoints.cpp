#include "fleet/fleet.hpp"

#include <algorithm>
#include <charconv>

namespace bulrush {
namespace {

bool
IsVisible(char aByte)
{
  return aByte > ' ' && aByte <= '~';
}

bool
HasPort(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  std::uint16_t port = 0;
  const char* const end = aAddress.data() + aAddress.size();
  const auto read = std::from_chars(aAddress.data() + colon + 1, end, port);
  return read.ec == std::errc{} && read.ptr == end && port != 0;
}

std::string
UpTo(std::uint64_t aMax)
{
  return "a whole number up to " + std::to_string(aMax);
}

// nullptr, or the field at fault with what it is expected to be.
struct field_fault
{
  const char* field = nullptr;
  std::string expected;
};

field_fault
FindFault(const endpoint_row& aRow)
{
  const std::string& name = aRow.name;
  if (name.empty() || name.size() > kMaxEndpointNameBytes ||
      !std::all_of(name.begin(), name.end(), IsVisible)) {
    return { "id",
             "1 to " + std::to_string(kMaxEndpointNameBytes) +
               " visible ASCII characters" };
  }
  if (aRow.incarnation > kMaxIncarnation) {
    return { "incarnation", UpTo(kMaxIncarnation) };
  }
  if (aRow.sequence > kMaxSequence) {
    return { "sequence", UpTo(kMaxSequence) };
  }
  if (aRow.slots < 1 || aRow.slots > kMaxSlots) {
    return { "slots", "from 1 to " + std::to_string(kMaxSlots) };
  }
  if (aRow.coldSlots > kMaxSlots) {
    return { "cold slots", UpTo(kMaxSlots) };
  }
  if (!HasPort(aRow.address)) {
    return { "address", "a port from 1 to 65535" };
  }
  return {};
}

} // namespace

bool
IsInRange(const endpoint_row& aRow, last_reason& aReason)
{
  const field_fault fault = FindFault(aRow);
  if (fault.field == nullptr) {
    return true;
  }
  // The name may hold control characters.
  Fail(aReason,
       "check endpoint",
       "",
       std::string(fault.field) + ": expected " + fault.expected);
  return false;
}

} // namespace bulrush
