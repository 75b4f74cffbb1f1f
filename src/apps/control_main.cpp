#include "control/control.hpp"
#include "platform/platform.hpp"

int
main(int aCount, char** aWords)
{
  const std::array<bulrush::control::named_front_end, 1> frontEnds{
    { { "platform", bulrush::platform::ControlFrontEnd } }
  };
  return bulrush::control::RunControlHost(aCount, aWords, frontEnds);
}
