#include "duties/selection.hpp"

namespace bulrush::duties {

duty_selection
SelectDuties(std::span<const std::string> aNames)
{
  duty_selection selection;
  for (const std::string& name : aNames) {
    if (name == "usage_report") {
      selection.hasUsageReports = true;
    } else {
      selection.unknown.push_back(name);
    }
  }
  return selection;
}

} // namespace bulrush::duties
