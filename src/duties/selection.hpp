#ifndef BULRUSH_DUTIES_SELECTION_HPP
#define BULRUSH_DUTIES_SELECTION_HPP

/// Which duties a deployment asks for.

#include <span>
#include <string>
#include <vector>

namespace bulrush::duties {

struct duty_selection
{
  bool hasUsageReports = false;
  std::vector<std::string> unknown; ///< asked for and not provided here
};

/// Reads the names that the settings list.
duty_selection SelectDuties(std::span<const std::string> aNames);

} // namespace bulrush::duties

#endif
