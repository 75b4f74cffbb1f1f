#ifndef BULRUSH_ENTRY_READ_CONTROLS_HPP
#define BULRUSH_ENTRY_READ_CONTROLS_HPP

/// The control processes that the settings name.

#include "settings/settings.hpp"
#include "wire/wire.hpp"

#include <functional>

namespace bulrush::entry {

/// By seeds or by names.
std::optional<std::vector<wire::control_address>> ReadControls(
  const option_values& aOptions,
  last_reason& aReason);

/// Reads them from the settings as these are now.
using read_controls_hook =
  std::function<std::optional<std::vector<wire::control_address>>(
    last_reason& aReason)>;

} // namespace bulrush::entry

#endif
