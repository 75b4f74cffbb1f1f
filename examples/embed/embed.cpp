/// Embeds the fleet state machine in a separate program. Two manifests with the
/// same version but different texts are applied: the first is accepted, the
/// second is refused with the reason.

#include <fleet/fleet.hpp>

#include <cstdio>

namespace {

bulrush::command_result
ApplyText(bulrush::fleet_state& aState, const std::string& aRate)
{
  const std::string text =
    R"({"name":"embed","version":"1","failure_domains":[{"name":"a"}],
        "workspaces":[{"name":"w","burst_tokens":10,"tokens_per_s":)" +
    aRate + "}]}";
  return bulrush::Apply(
    aState, { bulrush::wall_time{}, bulrush::apply_manifest{ 0, text } });
}

} // namespace

int
main()
{
  bulrush::fleet_state state;
  const auto winner = ApplyText(state, "10");
  const auto loser = ApplyText(state, "20");
  std::printf("first: %s, second: %s (%s)\n",
              winner.code.c_str(),
              loser.code.c_str(),
              loser.text.c_str());
  return winner.isDone && !loser.isDone ? 0 : 1;
}
