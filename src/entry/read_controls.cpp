#include "entry/read_controls.hpp"

namespace bulrush::entry {

// With seeds, the names of control processes are not known yet, so their
// addresses stand in.
std::optional<std::vector<wire::control_address>>
ReadControls(const option_values& aOptions, last_reason& aReason)
{
  std::vector<wire::control_address> controls;
  const auto port = static_cast<std::uint16_t>(aOptions.Integer("seed-port"));
  for (const host_address& seed : aOptions.Addresses("seeds")) {
    const std::string address = FormatAddress({ seed.ip, port });
    controls.push_back({ address, address });
  }
  if (!controls.empty()) {
    return controls;
  }
  for (const std::string& control : aOptions.List("control")) {
    const std::size_t equals = control.find('=');
    if (equals == std::string::npos) {
      return Fail(aReason, "read control", control, "expected NAME=IP:PORT");
    }
    controls.push_back(
      { control.substr(0, equals), control.substr(equals + 1) });
  }
  return controls;
}

} // namespace bulrush::entry
