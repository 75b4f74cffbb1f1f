#include "entry/entry.hpp"
#include "platform/platform.hpp"

int
main(int aCount, char** aWords)
{
  const std::array<bulrush::entry::named_front_end, 1> frontEnds{
    { { "platform", bulrush::platform::EntryFrontEnd } }
  };
  return bulrush::entry::RunEntry(aCount, aWords, frontEnds);
}
